"""Applies committed entries to the caller's state machine, and compacts the log into snapshots."""

from __future__ import annotations

from lotusstream.quorum import events, messages
from lotusstream.quorum.bootstrap import find_member
from lotusstream.quorum.read_index import ReadIndex
from lotusstream.quorum.state import RaftState, Role


class CommittedEntries:
    """Applies each committed entry once and in log order, so that all nodes reach the same state."""

    def __init__(self, state: RaftState, read_index: ReadIndex) -> None:
        self._state = state
        self._read_index = read_index

    def apply_and_request_snapshot(self) -> None:
        """Applies newly committed entries, then requests a snapshot if the log has grown too long.

        A leader also completes pending reads, and steps down if a committed entry removed this node from the
        members.
        """
        state = self._state
        while state.applied_index < state.commit_index:
            state.applied_index += 1
            self._apply_entry(state.applied_index)
        if state.role == Role.LEADER:
            self._after_leader_applied()
        if state.applied_index - state.log.snapshot.index >= state.timing.compaction_entry_count:
            state.emit(events.TakeSnapshot(state.applied_index))

    def on_snapshot_taken(self, index: int, snapshot_state: bytes) -> None:
        """Replaces the log up to `index` by a snapshot.

        Ignores an `index` that is not after the present snapshot, or is after the last applied entry.
        """
        state = self._state
        if not state.log.snapshot.index < index <= state.applied_index:
            return
        state.log.compact(index, snapshot_state)
        state.replace_stored_log()

    def _apply_entry(self, index: int) -> None:
        state = self._state
        entry = state.log.entry_at(index)
        if entry.kind == messages.EntryKind.MEMBERS:
            state.emit(events.ReportMembershipChange(index, state.log.members_at(index)))
        ticket = state.leading.open_proposals.pop(index, None)
        state.emit(events.ApplyEntry(index, entry.kind, entry.data, ticket))

    def _after_leader_applied(self) -> None:
        state = self._state
        # A leader can't know the newest commit index before an entry of its own term is committed.
        if state.leading.pending_reads and state.log.term_at(state.commit_index) == state.term:
            self._read_index.complete_reads()
        is_member = find_member(state.members, state.incarnation) is not None
        if not is_member and state.log.members_index <= state.commit_index:
            state.become_follower(state.term, "", "this node is no longer a member")
