"""Raft consensus without I/O: `RaftNode` takes events and returns actions. See docs/design/leases.md."""
