"""Membership changes: adds and removes members one at a time, each after the previous one is committed."""

from __future__ import annotations

from lotusstream.quorum import events, messages
from lotusstream.quorum.bootstrap import find_member
from lotusstream.quorum.join import JoiningNode, JoinProtocol
from lotusstream.quorum.leadership_transfer import LeadershipTransfer
from lotusstream.quorum.replicated_log import encode_members
from lotusstream.quorum.replication import Replication
from lotusstream.quorum.state import PendingMembershipChange, RaftState, Role


class MembershipChange:
    """Changes the members of the cluster. Only the leader does this.

    Invariant: two consecutive member lists differ by at most one voter, so any majority of one list shares a
    node with any majority of the other, and no term can have two leaders during a change. A new member is a
    learner, without a vote, until its log has caught up.
    """

    def __init__(
        self,
        state: RaftState,
        join: JoinProtocol,
        replication: Replication,
        transfer: LeadershipTransfer,
    ) -> None:
        self._state = state
        self._join = join
        self._replication = replication
        self._transfer = transfer

    def on_change(self, event: events.MembershipChangeSubmitted) -> None:
        """Starts a membership change, or fails the request if the change is not possible."""
        state = self._state
        if state.role != Role.LEADER:
            state.fail_request(event.ticket, "not the leader", state.leader)
            return
        if state.leading.membership_change is not None:
            state.fail_request(event.ticket, "another membership change is in progress", state.name)
            return
        joining_node = self._join.joining_nodes.get(event.name)
        incarnation = event.incarnation or (joining_node.incarnation if joining_node else "")
        reason = self._rejection_reason(event, incarnation)
        if reason:
            state.fail_request(event.ticket, reason, state.name)
            return
        state.leading.membership_change = PendingMembershipChange(
            event.ticket, event.name, incarnation, event.add
        )

    def advance(self) -> None:
        """Takes the next step of a membership change once the newest member list is committed.

        Without a pending change, replaces a member that has restarted with a new disk.
        """
        state = self._state
        if state.log.members_index > state.commit_index:
            return
        if state.log.term_at(state.commit_index) != state.term:
            return
        if self._promote_learner():
            return
        if state.leading.membership_change is not None:
            self._apply_change(state.leading.membership_change)
            return
        self._replace_returned_member()

    def abandon(self, reason: str) -> None:
        """Fails the pending change, if there is one."""
        state = self._state
        change = state.leading.membership_change
        if change is not None:
            state.fail_request(change.ticket, reason, state.name)
        state.leading.membership_change = None

    def _rejection_reason(self, event: events.MembershipChangeSubmitted, incarnation: str) -> str:
        """Return why a change is not possible, or '' if it is."""
        name = event.name
        member = self._member_named(name)
        if event.add and not incarnation and member is None:
            return f"'{name}' has sent no join request: start that node first"
        is_replacement = event.add and member and incarnation and incarnation != member.incarnation
        if (member is None) != event.add and not is_replacement:
            return f"'{name}' is {'already' if event.add else 'not'} a member of the quorum"
        if not event.add and len(self._state.voters()) == 1:
            return "the last voter can't be removed"
        return ""

    def _member_named(self, name: str) -> messages.Member | None:
        return next((member for member in self._state.members if member.name == name), None)

    def _promote_learner(self) -> bool:
        """Makes a voter of the first learner that holds all committed entries. Returns whether one does."""
        state = self._state
        needed_index = max(1, state.commit_index)
        for learner in state.members:
            if learner.is_voter or state.leading.match_index(learner.incarnation) < needed_index:
                continue
            voter = messages.Member(learner.name, learner.incarnation)
            self._append_members(tuple(voter if each == learner else each for each in state.members))
            return True
        return False

    def _replace_returned_member(self) -> None:
        """Starts to replace the first member, in name order, that has restarted with a new disk."""
        joining_nodes = self._join.joining_nodes
        for name in sorted(joining_nodes):
            joining_node = joining_nodes.pop(name)
            if self._is_returned_member(name, joining_node):
                change = PendingMembershipChange(None, name, joining_node.incarnation, True)
                self._state.leading.membership_change = change
                return

    def _is_returned_member(self, name: str, joining_node: JoiningNode) -> bool:
        state = self._state
        election_timeout_us = state.timing.election_timeout_us
        if state.now - joining_node.heard_at > election_timeout_us:
            return False
        member = self._member_named(name)
        is_member = find_member(state.members, joining_node.incarnation) is not None
        if is_member or member is None or member.incarnation == state.incarnation:
            return False
        # If the old incarnation still answers, the join request is outdated, or two nodes have the same name.
        progress = state.leading.followers.get(member.incarnation)
        return progress is not None and state.now - progress.heard_at >= election_timeout_us

    def _apply_change(self, change: PendingMembershipChange) -> None:
        state = self._state
        member = self._member_named(change.name)
        others = tuple(each for each in state.members if each.name != change.name)
        if member is not None and (not change.add or member.incarnation != change.incarnation):
            self._remove_or_replace(change, member, others)
        elif change.add and member is None:
            self._append_members((*others, messages.Member(change.name, change.incarnation, False)))
        else:
            if change.ticket is not None:
                state.emit(events.CompleteRequest(change.ticket))
            state.leading.membership_change = None

    def _remove_or_replace(
        self, change: PendingMembershipChange, member: messages.Member, others: messages.Members
    ) -> None:
        state = self._state
        if member.incarnation == state.incarnation and state.other_voters():
            self._transfer.start_or_continue()
            return
        if member.is_voter and not any(each.is_voter for each in others):
            self.abandon("the last voter can't be removed")
            return
        if change.add:
            # The old voter is removed and the learner added in one entry: a crash between two entries would
            # leave the member removed, and no node would add it again.
            self._append_members((*others, messages.Member(change.name, change.incarnation, False)))
        else:
            self._append_members(others)

    def _append_members(self, members: messages.Members) -> None:
        state = self._state
        entry = messages.LogEntry(state.term, messages.EntryKind.MEMBERS, encode_members(members))
        self._replication.append_entry(entry)
        state.leading.followers = {
            incarnation: progress
            for incarnation, progress in state.leading.followers.items()
            if find_member(members, incarnation) is not None
        }
