"""A Raft node (Ongaro, 2014) with pre-votes, read-index reads and membership changes of one member at a time.
A leader steps down when it can't reach a majority.

`RaftNode.handle` takes an event and returns the resulting actions. It does no I/O, reads no clock and
takes its randomness from the seed alone, so the same seed and events give the same run.
"""

from __future__ import annotations

from collections.abc import Sequence

from lotusstream.quorum import events, messages
from lotusstream.quorum.committed_entries import CommittedEntries
from lotusstream.quorum.election import Election
from lotusstream.quorum.join import JoinProtocol
from lotusstream.quorum.leadership_transfer import LeadershipTransfer
from lotusstream.quorum.log_receiver import LogReceiver
from lotusstream.quorum.membership_change import MembershipChange
from lotusstream.quorum.read_index import ReadIndex
from lotusstream.quorum.replicated_log import PersistedState, ReplicatedLog
from lotusstream.quorum.replication import Replication
from lotusstream.quorum.state import RaftState, Role
from lotusstream.quorum.timing import RaftTiming


class RaftNode:
    """Dispatches events to the handlers that share one `RaftState`, and runs their timers."""

    def __init__(
        self,
        name: str,
        persisted: PersistedState,
        unused_incarnation: str,
        bootstrap_members: Sequence[str],
        timing: RaftTiming,
        seed: int,
        now: int,
    ) -> None:
        """Starts from the records on the disk.

        :param name: name of this node
        :param persisted: state read from the records on the disk
        :param unused_incarnation: new incarnation, used if the disk is empty or an older copy
        :param bootstrap_members: names of the nodes that bootstrap a new cluster together
        :param seed: seed of the randomized election timeouts
        :param now: current time of a monotonic clock, in microseconds
        """
        self.state = state = RaftState(name, persisted, timing, seed, now)
        self.join = JoinProtocol(state, unused_incarnation, bootstrap_members, now)
        self.replication = Replication(state, self.join)
        self.election = Election(state, self.join, self.replication)
        self._log_receiver = LogReceiver(state, self.join)
        self._read_index = ReadIndex(state)
        self._transfer = LeadershipTransfer(state)
        self._membership = MembershipChange(state, self.join, self.replication, self._transfer)
        self._committed = CommittedEntries(state, self._read_index)
        self._is_started = False

    def handle(self, now: int, event: events.RaftEvent) -> list[events.RaftAction]:
        """Handles one event.

        :param now: time in microseconds; if it is before the time of the previous call, that time is used
        :returns: the actions for the caller, to be carried out in this order
        """
        state = self.state
        state.now = max(now, state.now)
        state.outbox.actions = []
        if not self._is_started:
            self._start()
        self._dispatch(event)
        self._run_due_timers()
        if state.role == Role.LEADER:
            self._run_leader_duties()
        self._committed.apply_and_request_snapshot()
        state.outbox.flush(state.log.last_index)
        return state.outbox.actions

    # State of this node, for the caller

    @property
    def name(self) -> str:
        """The node's name."""
        return self.state.name

    @property
    def incarnation(self) -> str:
        """The incarnation of this node, which identifies its disk."""
        return self.state.incarnation

    @property
    def role(self) -> Role:
        """The current role."""
        return self.state.role

    @property
    def term(self) -> int:
        """The newest term that this node knows of."""
        return self.state.term

    @property
    def leader(self) -> str:
        """The name of the leader, or '' where it is not known."""
        return self.state.leader

    @property
    def log(self) -> ReplicatedLog:
        """The log of this node."""
        return self.state.log

    @property
    def commit_index(self) -> int:
        """The highest log index known to be committed."""
        return self.state.commit_index

    @property
    def applied_index(self) -> int:
        """The highest log index applied to the state machine."""
        return self.state.applied_index

    @property
    def members(self) -> messages.Members:
        """The newest member list in the log, committed or not."""
        return self.state.members

    @property
    def cluster_id(self) -> str:
        """The id of the cluster, or '' if this node has no log yet."""
        return self.state.cluster_id

    @property
    def next_timer_at(self) -> int:
        """The time in microseconds at which the caller has to deliver the next RaftTimeAdvanced."""
        state = self.state
        if state.role == Role.LEADER:
            transfer = state.leading.transfer
            heartbeat_at = state.leading.next_heartbeat_at
            return min(heartbeat_at, transfer.deadline) if transfer else heartbeat_at
        if state.role == Role.EMPTY or not state.is_verified:
            return self.join.next_request_at
        if state.is_joining():
            return min(state.election_at, self.join.next_request_at)
        return state.election_at

    def replication_lag(self) -> dict[str, int]:
        """Return how many log entries each other member has not acknowledged, by incarnation.

        The result is empty unless this node is the leader.
        """
        state = self.state
        last_index = state.log.last_index
        followers = state.leading.followers
        return {each: last_index - progress.match_index for each, progress in followers.items()}

    # Events

    def _start(self) -> None:
        state = self.state
        self._is_started = True
        state.emit(events.RestoreSnapshot(state.log.snapshot.index, state.log.snapshot.state))
        if not state.incarnation:
            self.join.become_new_incarnation()

    def _dispatch(self, event: events.RaftEvent) -> None:
        match event:
            case events.MessageReceived(envelope):
                self._on_envelope(envelope)
            case events.RecordsPersisted(number):
                self._on_persisted(number)
            case events.ProposalSubmitted():
                self.replication.on_proposal(event)
            case events.ReadSubmitted(ticket):
                self._read_index.on_read(ticket)
            case events.MembershipChangeSubmitted():
                self._membership.on_change(event)
            case events.SnapshotTaken(index, snapshot_state):
                self._committed.on_snapshot_taken(index, snapshot_state)
            case events.ShutdownRequested():
                self._transfer.on_shutdown()

    def _on_persisted(self, number: int) -> None:
        state = self.state
        last_index = state.outbox.complete_writes(number)
        if last_index is not None:
            state.durable_index = last_index
        if state.role == Role.LEADER:
            self.replication.advance_commit_index()
        elif state.role == Role.CANDIDATE:
            self.election.count_votes()

    def _on_envelope(self, envelope: messages.RaftEnvelope) -> None:
        state = self.state
        if envelope.recipient != state.name:
            return
        if envelope.recipient_incarnation not in ("", state.incarnation):
            return  # the message is for an earlier incarnation of this node
        match envelope.message:
            case messages.JoinRequest() as request:
                self.join.on_join_request(envelope, request)
            case messages.JoinReply() as reply:
                self.join.on_join_reply(envelope, reply)
            case messages.BootstrapCluster(snapshot):
                self.join.on_bootstrap_cluster(snapshot)
            case message:
                self._on_cluster_message(envelope, message)

    def _on_cluster_message(self, envelope: messages.RaftEnvelope, message: messages.RaftMessage) -> None:
        """Handles a message between members; drops it if it comes from a node of another cluster."""
        cluster_id = self.state.cluster_id
        if cluster_id and envelope.cluster_id and envelope.cluster_id != cluster_id:
            return
        match message:
            case messages.RequestVote():
                self.election.on_request_vote(envelope, message)
            case messages.VoteReply():
                self.election.on_vote_reply(envelope, message)
            case messages.AppendEntries():
                self._log_receiver.on_append_entries(envelope, message)
            case messages.AppendReply():
                self.replication.on_append_reply(envelope, message)
            case messages.InstallSnapshot():
                self._log_receiver.on_install_snapshot(envelope, message)
            case messages.InstallSnapshotReply():
                self.replication.on_install_snapshot_reply(envelope, message)
            case messages.TimeoutNow():
                self.election.on_timeout_now(message)

    # Timers and leader duties

    def _run_due_timers(self) -> None:
        state = self.state
        self.join.send_requests_if_due()
        if state.role == Role.LEADER:
            self._run_due_leader_timers()
        elif state.role != Role.EMPTY:
            self.election.start_if_due()

    def _run_due_leader_timers(self) -> None:
        state = self.state
        self.replication.check_majority()
        if self._transfer.expire_if_due():
            self._membership.abandon("leadership transfer timed out")
        if state.role == Role.LEADER and state.now >= state.leading.next_heartbeat_at:
            self.replication.send_heartbeats()

    def _run_leader_duties(self) -> None:
        if self.state.leading.transfer is not None:
            self._transfer.start_or_continue()
        self.replication.send_new_entries()
        self._membership.advance()
        self.replication.advance_commit_index()
