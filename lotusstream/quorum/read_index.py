"""Linearizable reads without a log entry: a majority first confirms that this node is still the leader."""

from __future__ import annotations

from lotusstream.quorum import events
from lotusstream.quorum.state import RaftState, ReadIndexRequest, Role


class ReadIndex:
    """Completes a read once the state machine holds all entries committed before the read arrived.

    A read waits until a majority has answered a heartbeat round that started after the read arrived. Without
    that wait, a leader that has not heard of a newer leader yet would serve stale data.
    """

    def __init__(self, state: RaftState) -> None:
        self._state = state

    def on_read(self, ticket: int) -> None:
        """Queues a read, and makes the next heartbeat round due at once."""
        state = self._state
        if state.role != Role.LEADER:
            state.fail_request(ticket, "not the leader", state.leader)
            return
        leading = state.leading
        leading.pending_reads.append(ReadIndexRequest(ticket, leading.heartbeat_round + 1))
        leading.next_heartbeat_at = state.now

    def complete_reads(self) -> None:
        """Completes the reads whose heartbeat round a majority has answered."""
        state = self._state
        leading = state.leading
        still_pending = []
        for read in leading.pending_reads:
            answered = self._answered_since(read.round)
            if state.is_majority(answered | {state.incarnation}):
                state.emit(events.CompleteRequest(read.ticket))
            else:
                still_pending.append(read)
        leading.pending_reads = still_pending

    def _answered_since(self, round: int) -> set[str]:
        """Return the incarnations that answered this heartbeat round or a later one."""
        followers = self._state.leading.followers
        return {each for each, progress in followers.items() if progress.acked_round >= round}
