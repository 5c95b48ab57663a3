"""A replicated log among a few nodes (Raft), without I/O: events in, actions out; docs/design/leases.md."""
