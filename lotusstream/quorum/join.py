"""Cluster discovery at startup, and detection of a disk restored from an older copy.

A node that starts sends a JoinRequest to all other nodes. From the replies, a node with no log learns which
cluster to start or join, and a node with a log learns whether its disk has lost records that it had
acknowledged.

An incarnation is the unique id that a node writes to its disk when it starts with an empty one. The node
takes a new incarnation, and so is a new member, if its disk was wiped or replaced by an empty one, or turns
out to be an older copy.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lotusstream.quorum import events, messages
from lotusstream.quorum.bootstrap import ClusterBootstrap, find_member, is_older_copy
from lotusstream.quorum.replicated_log import ReplicatedLog
from lotusstream.quorum.state import RaftState, Role, empty_log


@dataclass(frozen=True, slots=True)
class ReportedProgress:
    """The newest term, log index and vote that a node has acknowledged to this node under one incarnation."""

    term: int = 0  # newest term in which the incarnation acknowledged anything; 0 if none is known
    index: int = 0  # highest log index that the incarnation reported as durable in `term`
    vote_received: bool = False  # whether the incarnation voted for this node in `term`


@dataclass(frozen=True, slots=True)
class JoiningNode:
    """A node whose incarnation is not a member and has sent a JoinRequest."""

    incarnation: str
    heard_at: int  # time of its newest JoinRequest, in microseconds


class JoinProtocol:
    """Sends and answers JoinRequests.

    A node takes part in elections only once `state.is_verified` is set. With a log, this happens when all
    voters have answered its JoinRequest, or a majority of them after an election timeout, and no answer
    reports a record that its disk has lost. Without this check, a node with a disk restored from a backup
    could vote twice in one term and so elect a second leader.
    """

    def __init__(
        self, state: RaftState, unused_incarnation: str, bootstrap_members: Sequence[str], now: int
    ) -> None:
        self._state = state
        self._unused_incarnation = unused_incarnation
        self._bootstrap_members = tuple(bootstrap_members)
        self._bootstrap = ClusterBootstrap(state.name, state.incarnation, bootstrap_members)
        self._started_at = now
        self._answered_incarnations: dict[str, None] = {}  # keys: incarnations that answered a JoinRequest
        self._reported_progress: dict[str, ReportedProgress] = {}  # by incarnation that acknowledged it
        self.joining_nodes: dict[str, JoiningNode] = {}  # by node name; only bootstrap members
        self.next_request_at = now  # when the next JoinRequests are due, in microseconds

    def become_new_incarnation(self) -> None:
        """Discards all records of this node; from now on it is a new incarnation with no log."""
        state = self._state
        state.incarnation = self._unused_incarnation
        state.term = 0
        state.voted_for = ""
        state.log = empty_log()
        state.role = Role.EMPTY
        state.leader = ""
        state.commit_index = 0
        state.applied_index = 0
        state.is_verified = False
        state.follower.snapshot_transfer = None
        self._bootstrap = ClusterBootstrap(state.name, state.incarnation, self._bootstrap_members)
        self._answered_incarnations = {}
        state.outbox.discard_pending_writes()
        state.outbox.replace_log(messages.IncarnationRecord(state.incarnation), messages.VoteRecord(0, ""))
        state.emit(events.RestoreSnapshot(0, b""))

    def record_report(self, incarnation: str, term: int, index: int, vote_received: bool = False) -> None:
        """Stores what an incarnation acknowledged, to detect an older copy of its disk later."""
        known = self._reported_progress.get(incarnation, ReportedProgress())
        if term > known.term:
            self._reported_progress[incarnation] = ReportedProgress(term, index, vote_received)
        elif term == known.term:
            newest = max(index, known.index)
            self._reported_progress[incarnation] = ReportedProgress(
                term, newest, vote_received or known.vote_received
            )

    def join_reply_for(self, incarnation: str, term: int) -> messages.JoinReply:
        """Return the reply to an incarnation whose current term is `term`.

        The reply holds the cluster's members and what that incarnation has acknowledged to this node.
        """
        state = self._state
        reported = self._reported_progress.get(incarnation, ReportedProgress())
        snapshot = state.log.snapshot
        founders = snapshot.members if not snapshot.index else ()
        vote_received = reported.vote_received and reported.term == term
        return messages.JoinReply(
            state.cluster_id, founders, state.members, reported.term, reported.index, vote_received
        )

    def send_requests_if_due(self) -> None:
        """Sends JoinRequests every heartbeat interval until this node is a verified member."""
        state = self._state
        needs_request = state.role == Role.EMPTY or not state.is_verified or state.is_joining()
        if needs_request and state.now >= self.next_request_at:
            self.next_request_at = state.now + state.timing.heartbeat_us
            self.send_requests()

    def send_requests(self) -> None:
        """Sends a JoinRequest to every other node, in name order."""
        state = self._state
        request = self._own_request()
        names = {member.name for member in state.members} | set(self._bootstrap_members)
        for name in sorted(names - {state.name}):
            state.send(name, "", request, after_persist=True)
        if state.role != Role.EMPTY:
            self._verify_incarnation()

    def on_join_request(self, envelope: messages.RaftEnvelope, request: messages.JoinRequest) -> None:
        """Answers a JoinRequest, and records its sender as a joining node unless the sender is a member."""
        state = self._state
        reply = self.join_reply_for(envelope.sender_incarnation, request.term)
        is_empty = state.role == Role.EMPTY
        state.send(envelope.sender, envelope.sender_incarnation, reply, after_persist=is_empty)
        is_member = find_member(state.members, envelope.sender_incarnation) is not None
        if envelope.sender in self._bootstrap_members and not is_member:
            self.joining_nodes[envelope.sender] = JoiningNode(envelope.sender_incarnation, state.now)

    def on_join_reply(self, envelope: messages.RaftEnvelope, reply: messages.JoinReply) -> None:
        """A node with no log tries to start from the reply; one with a log compares its disk to the reply."""
        state = self._state
        if state.role == Role.EMPTY:
            self._on_join_reply_while_empty(envelope, reply)
            return
        if is_older_copy(self._own_request(), reply):
            self.become_new_incarnation()
            reason = f"this disk is an older copy: it lacks records that it acknowledged to {envelope.sender}"
            state.report_role_change(reason)
            return
        self._answered_incarnations[envelope.sender_incarnation] = None
        self._verify_incarnation()

    def on_bootstrap_cluster(self, snapshot: messages.Snapshot) -> None:
        """Starts from the initial snapshot of a new cluster whose members include this incarnation."""
        if self._state.role == Role.EMPTY and self._bootstrap.accepts(snapshot):
            self._start_from_snapshot(snapshot)

    def _on_join_reply_while_empty(self, envelope: messages.RaftEnvelope, reply: messages.JoinReply) -> None:
        state = self._state
        snapshot = self._bootstrap.on_join_reply(envelope.sender, envelope.sender_incarnation, reply)
        if snapshot is None:
            return
        self._start_from_snapshot(snapshot)
        if reply.members:
            return
        for member in snapshot.members:
            if member.incarnation != state.incarnation:
                message = messages.BootstrapCluster(snapshot)
                state.send(member.name, member.incarnation, message, after_persist=True)

    def _own_request(self) -> messages.JoinRequest:
        state = self._state
        return messages.JoinRequest(state.term, state.log.last_index, state.voted_for)

    def _verify_incarnation(self) -> None:
        state = self._state
        if state.is_verified or state.role == Role.EMPTY:
            return
        answered = {*self._answered_incarnations, state.incarnation}
        voters = {member.incarnation for member in state.voters()}
        has_waited = state.now - self._started_at >= state.timing.election_timeout_us
        if voters <= answered or (has_waited and state.is_majority(answered)):
            state.is_verified = True
            state.restart_election_timer()

    def _start_from_snapshot(self, snapshot: messages.Snapshot) -> None:
        state = self._state
        state.log = ReplicatedLog(snapshot)
        state.role = Role.FOLLOWER
        state.is_verified = True
        state.outbox.persist(messages.SnapshotRecord(snapshot))
        state.restart_election_timer()
        state.report_role_change("the cluster was bootstrapped")
