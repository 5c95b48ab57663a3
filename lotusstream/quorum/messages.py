"""What Raft nodes send to each other and write to their disks.

Everything here is encoded as arrays: the order of fields and the tags are the wire form and the stored form.
Sizes are bounded by whoever reads a message from a connection.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """What a log entry holds. The values are stored."""

    NOOP = 0  # a leader's first entry: it commits what earlier terms have left
    OPERATION = 1  # opaque data of the state machine
    MEMBERS = 2  # the complete list of members


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A member of the cluster is its incarnation: the same name on another disk is another member."""

    name: str
    incarnation: str
    is_voter: bool = True  # a learner, which has no vote, is False


Members = tuple[Member, ...]


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log."""

    term: int  # of the leader that appended it
    kind: EntryKind
    data: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state machine after all entries up to `index`; the first snapshot of a cluster has index 0."""

    index: int
    term: int  # of the entry at `index`
    cluster_id: str  # set when the cluster is founded, never changed
    members: Members
    state: bytes = b""  # as the state machine encodes it


# Records on the disk, in the order of writing; a later record replaces what it contradicts


class RecordBase(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    """A record of a node's disk."""


class IncarnationRecord(RecordBase, frozen=True, tag="disk"):
    """The name of this disk."""

    incarnation: str


class VoteRecord(RecordBase, frozen=True, tag="ballot"):
    """The term, and the vote in it. Raft's safety rests on this record being written before it is sent."""

    term: int
    voted_for: str  # an incarnation, or '' where no vote was given


class EntriesRecord(RecordBase, frozen=True, tag="entries"):
    """Entries from `first_index` on, in place of whatever stood there and behind it."""

    first_index: int
    entries: tuple[LogEntry, ...]


class SnapshotRecord(RecordBase, frozen=True, tag="whole"):
    """A snapshot in place of all entries."""

    snapshot: Snapshot


RaftRecord = IncarnationRecord | VoteRecord | EntriesRecord | SnapshotRecord

# Messages between nodes


class MessageBase(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    """A message between nodes."""


class JoinRequest(MessageBase, frozen=True, tag="hello"):
    """A node that has started asks which cluster there is, and what its disk has acknowledged before."""

    term: int  # the sender's
    last_index: int  # of the sender's log
    voted_for: str = ""  # the sender's vote in `term`


class JoinReply(MessageBase, frozen=True, tag="heard"):
    """Answers a JoinRequest."""

    cluster_id: str  # '' where the sender is a member of none
    founders: Members  # the first members, as long as the sender still knows them
    members: Members  # empty where the sender is a member of no cluster
    reported_term: int  # the newest term in which the asking incarnation acknowledged something
    reported_index: int  # the newest index that it acknowledged in that term
    vote_received: bool  # whether it gave the sender its vote of the asked term


class BootstrapCluster(MessageBase, frozen=True, tag="found"):
    """Founds a cluster with the members of this first snapshot."""

    snapshot: Snapshot


class RequestVote(MessageBase, frozen=True, tag="ask"):
    """A candidate asks for a vote."""

    term: int  # the candidate's, or with a pre-vote the one that it would begin
    last_index: int  # of the candidate's log
    last_term: int  # of the entry there
    is_pre_vote: bool  # asks only whether the vote would be given
    is_transfer: bool = False  # the leader asked for this election


class VoteReply(MessageBase, frozen=True, tag="vote"):
    """Answers a RequestVote."""

    term: int  # of the vote that is granted, or else the sender's
    granted: bool
    is_pre_vote: bool


class AppendEntries(MessageBase, frozen=True, tag="append"):
    """Entries behind `prev_index`, or a heartbeat without any."""

    term: int  # the leader's
    prev_index: int
    prev_term: int  # of the entry at `prev_index`
    entries: tuple[LogEntry, ...]
    commit_index: int  # the leader's
    round: int  # the heartbeat round, returned with the answer
    durable_index: int  # up to here the leader's own disk has the log


class AppendReply(MessageBase, frozen=True, tag="appended"):
    """Answers AppendEntries."""

    term: int  # the sender's
    success: bool
    index: int  # up to here both logs agree; without success, what to try next, 0 for the snapshot
    last_index: int  # of the sender's log
    round: int


class InstallSnapshot(MessageBase, frozen=True, tag="install"):
    """One chunk of a snapshot."""

    term: int  # the leader's
    snapshot: Snapshot  # without its state
    offset_bytes: int  # of the chunk in the state
    total_bytes: int  # of the complete state
    chunk: bytes
    round: int  # the heartbeat round, returned with the answer


class InstallSnapshotReply(MessageBase, frozen=True, tag="installed"):
    """Answers InstallSnapshot."""

    term: int  # the sender's
    index: int  # of the snapshot
    received_bytes: int  # of its state
    done: bool  # the snapshot is installed
    round: int


class TimeoutNow(MessageBase, frozen=True, tag="handover"):
    """The leader asks a member to start an election at once."""

    term: int  # the leader's


RaftMessage = (
    JoinRequest
    | JoinReply
    | BootstrapCluster
    | RequestVote
    | VoteReply
    | AppendEntries
    | AppendReply
    | InstallSnapshot
    | InstallSnapshotReply
    | TimeoutNow
)


class RaftEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with who sent it to whom."""

    sender: str  # a node's name
    sender_incarnation: str
    recipient: str  # a node's name
    recipient_incarnation: str  # '' for whatever incarnation has that name
    cluster_id: str  # the sender's; '' before it is a member of a cluster
    message: RaftMessage
