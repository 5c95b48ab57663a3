"""Leadership transfer: a leader that shuts down, or is to be removed, asks another voter to succeed it."""

from __future__ import annotations

from lotusstream.quorum import messages
from lotusstream.quorum.bootstrap import find_member
from lotusstream.quorum.state import PendingTransfer, RaftState, Role


class LeadershipTransfer:
    """Transfers leadership to the voter with the highest match index.

    During the transfer the leader rejects proposals, so that the target can catch up. If the target is not
    elected within an election timeout, the leader abandons the transfer and stays leader.
    """

    def __init__(self, state: RaftState) -> None:
        self._state = state

    def on_shutdown(self) -> None:
        """Starts the shutdown: a leader transfers its leadership, and this node starts no more elections."""
        state = self._state
        state.is_shutting_down = True
        if state.role == Role.LEADER:
            self.start_or_continue()

    def start_or_continue(self) -> None:
        """Chooses a target if there is none, and sends TimeoutNow once the target holds the whole log."""
        state = self._state
        if state.leading.transfer is None:
            state.leading.transfer = self._choose_target()
        transfer = state.leading.transfer
        if transfer is None:
            return
        target = find_member(state.members, transfer.target_incarnation)
        if target is None:
            return
        if state.leading.match_index(target.incarnation) == state.log.last_index:
            message = messages.TimeoutNow(state.term)
            state.send(target.name, target.incarnation, message, after_persist=False)

    def expire_if_due(self) -> bool:
        """Abandons the transfer if its deadline has passed. Returns whether a transfer was abandoned."""
        leading = self._state.leading
        if leading.transfer is None or self._state.now < leading.transfer.deadline:
            return False
        leading.transfer = None
        return True

    def _choose_target(self) -> PendingTransfer | None:
        state = self._state
        target = max(
            state.other_voters(),
            key=lambda member: (state.leading.match_index(member.incarnation), member.name),
            default=None,
        )
        if target is None:
            return None
        return PendingTransfer(target.incarnation, state.now + state.timing.election_timeout_us)
