"""The timeouts and limits of a Raft node."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RaftTiming:
    """Timeouts and limits. An election timeout is drawn between one and two times `election_timeout_us`."""

    heartbeat_us: int  # interval between two heartbeats of the leader
    election_timeout_us: int  # shortest time without a message of a leader before an election
    max_batch_bytes: int = 64 << 10  # largest size of the entries, or of the snapshot chunk, in one message
    compaction_entry_count: int = 1000  # entries applied since the last snapshot that trigger the next one
    max_open_proposal_count: int = 1000  # largest number of proposals that wait for their commit
