"""The state of a Raft node: its term, vote, role, log and indexes, and the state that each role needs.

The handlers of this package (`Election`, `Replication`, `JoinProtocol` and others) share one `RaftState`.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from enum import StrEnum

from lotusstream.quorum import events, messages
from lotusstream.quorum.bootstrap import find_member
from lotusstream.quorum.outbox import Outbox
from lotusstream.quorum.replicated_log import PersistedState, ReplicatedLog
from lotusstream.quorum.timing import RaftTiming


class Role(StrEnum):
    """The role of a node. The values appear in counters, log lines and `ctl --json`."""

    EMPTY = "empty"  # has no log and is not a member of a cluster yet
    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # requests pre-votes, without starting a new term
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class SnapshotTransfer:
    """A snapshot that is being received."""

    snapshot: messages.Snapshot  # header of the snapshot: all fields except `state`, which is empty
    state: bytearray = field(default_factory=bytearray)  # part of the encoded state received so far


@dataclass(slots=True)
class FollowerState:
    """State of a follower."""

    heard_leader_at: int | None = None  # time of a leader's newest message, in microseconds; None: none yet
    snapshot_transfer: SnapshotTransfer | None = None  # None if no snapshot is being received


@dataclass(slots=True)
class CandidateState:
    """State of a candidate or pre-candidate."""

    votes: set[str] = field(default_factory=set)  # incarnations that granted this vote or pre-vote


@dataclass(slots=True)
class FollowerProgress:
    """The leader's view of one member. At most one message with data is in flight to the member."""

    next_index: int  # log index of the next entry to send
    heard_at: int  # time of the member's newest reply, in microseconds
    match_index: int = 0  # highest log index known to match the leader's log; 0 if none is known
    acked_round: int = 0  # newest heartbeat round that the member answered
    sent_at: int = 0  # time when the message in flight was sent, in microseconds
    is_in_flight: bool = False  # whether a message with data (entries or a snapshot chunk) awaits its reply
    last_in_flight_index: int = 0  # log index of the last entry in flight
    snapshot_received_bytes: int = 0  # bytes of the snapshot being sent that the member has received
    snapshot_index: int = -1  # log index of the snapshot that is being sent; -1 if none


@dataclass(frozen=True, slots=True)
class ReadIndexRequest:
    """A read that waits until a majority has answered a heartbeat round started after the read arrived."""

    ticket: int  # request id of the caller
    round: int  # first heartbeat round that counts for this read


@dataclass(frozen=True, slots=True)
class PendingMembershipChange:
    """A membership change of one member that is in progress."""

    ticket: int | None  # request id of the caller; None for a change that the leader started by itself
    name: str  # node to add, replace or remove
    incarnation: str  # incarnation to add; not used for a removal
    add: bool  # True adds or replaces the node, False removes it


@dataclass(frozen=True, slots=True)
class PendingTransfer:
    """A leadership transfer that is in progress."""

    target_incarnation: str  # incarnation of the voter that is to become leader
    deadline: int  # time at which the transfer is abandoned, in microseconds


@dataclass(slots=True)
class LeaderState:
    """State of a leader. A node that steps down clears it, but keeps both fields of the heartbeat."""

    next_heartbeat_at: int  # when the next heartbeat round is due, in microseconds
    heartbeat_round: int = 0  # number of the newest heartbeat round; never decreases
    followers: dict[str, FollowerProgress] = field(default_factory=dict)  # by incarnation
    open_proposals: dict[int, int] = field(default_factory=dict)  # by log index: ticket of the proposal
    pending_reads: list[ReadIndexRequest] = field(default_factory=list)  # in order of arrival
    membership_change: PendingMembershipChange | None = None  # None if no change is in progress
    transfer: PendingTransfer | None = None  # None if no transfer is in progress

    def match_index(self, incarnation: str) -> int:
        """Return the highest log index up to which a member is known to match this log; 0 if none is."""
        progress = self.followers.get(incarnation)
        return progress.match_index if progress else 0


class RaftState:
    """The state of one node, and the operations that all handlers share.

    Invariants: `term` never decreases; in one term a node votes for at most one candidate, and the vote is
    on the disk before it is sent; `commit_index` never decreases within one incarnation; `applied_index` is
    at most `commit_index`.
    """

    def __init__(self, name: str, persisted: PersistedState, timing: RaftTiming, seed: int, now: int) -> None:
        self.name = name
        self.timing = timing
        self.incarnation = persisted.incarnation
        self.term = persisted.term
        self.voted_for = persisted.voted_for
        self.log = persisted.log or empty_log()
        self.role = Role.FOLLOWER if persisted.log else Role.EMPTY
        self.leader = ""  # name of the leader; '' where it is not known
        self.commit_index = self.log.snapshot.index
        self.applied_index = self.log.snapshot.index
        self.durable_index = self.log.last_index  # highest log index on this node's own disk
        self.is_verified = False  # whether the other members confirmed that this disk is not an older copy
        self.is_shutting_down = False
        self.now = now
        self.outbox = Outbox()
        self.follower = FollowerState()
        self.candidate = CandidateState()
        self.leading = LeaderState(next_heartbeat_at=now)
        self._seed = seed
        self._draw_count = 0
        self.election_at = now + self.draw_election_timeout()  # when the timer fires, in microseconds

    @property
    def members(self) -> messages.Members:
        """The newest member list in the log, committed or not."""
        return self.log.members

    @property
    def cluster_id(self) -> str:
        """The id of the cluster; '' if this node has no log yet."""
        return self.log.snapshot.cluster_id

    # Members and majorities

    def voters(self) -> list[messages.Member]:
        """Return the members that have a vote."""
        return [member for member in self.members if member.is_voter]

    def other_voters(self) -> list[messages.Member]:
        """Return the members that have a vote, without this node."""
        return [member for member in self.voters() if member.incarnation != self.incarnation]

    def is_voter(self) -> bool:
        """Return whether this node has a vote."""
        member = find_member(self.members, self.incarnation)
        return member is not None and member.is_voter

    def is_joining(self) -> bool:
        """Return whether this node has a log whose members lack its incarnation. False for a leader."""
        if self.role in (Role.EMPTY, Role.LEADER):
            return False
        return find_member(self.members, self.incarnation) is None

    def is_majority(self, incarnations: set[str]) -> bool:
        """Return whether these incarnations include more than half of the voters."""
        voters = [member.incarnation for member in self.voters()]
        return 2 * sum(voter in incarnations for voter in voters) > len(voters)

    # Election timer

    def draw_election_timeout(self) -> int:
        """Return a pseudorandom election timeout in microseconds: one to two times the shortest."""
        self._draw_count += 1
        drawn = zlib.crc32(f"{self._seed}/{self.name}/{self._draw_count}".encode())
        drawn = zlib.crc32(drawn.to_bytes(4, "big") + b"spread")
        shortest = self.timing.election_timeout_us
        return shortest + drawn * shortest // 2**32

    def restart_election_timer(self) -> None:
        """Restarts the election timer with a newly drawn timeout."""
        self.election_at = self.now + self.draw_election_timeout()

    # Messages and actions

    def emit(self, action: events.RaftAction) -> None:
        """Appends an action to those that `RaftNode.handle` returns."""
        self.outbox.actions.append(action)

    def send(
        self, name: str, incarnation: str, message: messages.RaftMessage, *, after_persist: bool
    ) -> None:
        """Sends a message to a node.

        :param name: name of the recipient
        :param incarnation: incarnation of the recipient; '' for any incarnation of that node
        :param after_persist: True sends the message only once all records added so far are on the disk
        """
        envelope = messages.RaftEnvelope(
            self.name, self.incarnation, name, incarnation, self.cluster_id, message
        )
        self.outbox.send(envelope, after_persist=after_persist)

    def reply(self, envelope: messages.RaftEnvelope, message: messages.RaftMessage) -> None:
        """Sends a reply to the sender of `envelope` once all records added so far are on the disk."""
        self.send(envelope.sender, envelope.sender_incarnation, message, after_persist=True)

    def report_role_change(self, reason: str) -> None:
        """Reports the current role, term and leader to the caller."""
        self.emit(events.ReportRoleChange(self.role.value, self.term, self.leader, reason))

    def fail_request(
        self, ticket: int | None, reason: str, leader: str, *, may_complete: bool = False
    ) -> None:
        """Fails a request of the caller. Does nothing if `ticket` is None."""
        if ticket is not None:
            self.emit(events.FailRequest(ticket, reason, leader, may_complete))

    # Terms and roles

    def persist_vote(self) -> None:
        """Adds the current term and vote to the records to write."""
        self.outbox.persist(messages.VoteRecord(self.term, self.voted_for))

    def enter_term(self, term: int) -> None:
        """Enters a later term, in which this node has not voted yet."""
        self.term = term
        self.voted_for = ""
        self.persist_vote()

    def become_follower(self, term: int, leader: str, reason: str) -> None:
        """Follows `leader` ('' where it is not known) in `term`. Steps down if this node was the leader."""
        previous_role = self.role
        previous_leader = self.leader
        if term > self.term:
            self.enter_term(term)
        if self.role == Role.LEADER:
            self._abandon_leadership(reason)
        if self.role != Role.FOLLOWER:
            self.restart_election_timer()
        self.role = Role.FOLLOWER
        self.leader = leader
        has_changed = previous_role != Role.FOLLOWER or previous_leader != leader
        if has_changed and (leader or previous_role == Role.LEADER):
            self.report_role_change(reason)

    def _abandon_leadership(self, reason: str) -> None:
        leading = self.leading
        for index in sorted(leading.open_proposals):
            self.fail_request(leading.open_proposals[index], reason, "", may_complete=True)
        for read in leading.pending_reads:
            self.fail_request(read.ticket, reason, "")
        if leading.membership_change is not None:
            self.fail_request(leading.membership_change.ticket, reason, "", may_complete=True)
        leading.open_proposals = {}
        leading.pending_reads = []
        leading.membership_change = None
        leading.transfer = None
        leading.followers = {}

    def replace_stored_log(self) -> None:
        """Replaces all records on the disk by this node's current incarnation, vote and log."""
        self.outbox.replace_log(
            messages.IncarnationRecord(self.incarnation),
            messages.VoteRecord(self.term, self.voted_for),
            *self.log.records(),
        )


def empty_log() -> ReplicatedLog:
    """Return the log of a node that has never been a member of a cluster."""
    return ReplicatedLog(messages.Snapshot(0, 0, "", ()))
