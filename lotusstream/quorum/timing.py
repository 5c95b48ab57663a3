"""The times and bounds that a Raft node works with."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RaftTiming:
    """Times in microseconds; an election timeout is drawn between `election_timeout_us` and twice that."""

    heartbeat_us: int  # between two heartbeats of the leader
    election_timeout_us: int  # the shortest time without a leader before an election
    max_batch_bytes: int = 64 << 10  # of entries, or of a snapshot, in one message
    compaction_entry_count: int = 1000  # applied entries before the log is compacted into a snapshot
    max_open_proposal_count: int = 1000  # proposals that may wait for their commit at once
