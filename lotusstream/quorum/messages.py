"""The messages between Raft nodes and the records on their disks.

All structs are encoded as msgpack arrays: the order of fields and the tags are the wire and storage format.
The transport limits the size of a message.

An incarnation is the unique id that a node writes to its empty disk. A node takes a new one if its disk was
wiped or replaced by an empty one, or turns out to be an older copy.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """The content of a log entry. The values are part of the storage format."""

    NOOP = 0  # first entry of a new leader; committing it also commits all entries of earlier terms
    OPERATION = 1  # encoded operation of the state machine
    MEMBERS = 2  # complete member list, which replaces the previous one


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A member of the cluster. A node with the same name and another incarnation is a different member."""

    name: str
    incarnation: str
    is_voter: bool = True  # False for a learner, which receives the log and has no vote


Members = tuple[Member, ...]


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log."""

    term: int  # term of the leader that appended the entry
    kind: EntryKind
    data: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state machine after all entries up to `index`. The initial snapshot of a cluster has index 0."""

    index: int  # log index of the last entry that the snapshot includes
    term: int  # term of the entry at `index`
    cluster_id: str  # unique id of the cluster, set at bootstrap and never changed
    members: Members  # member list at `index`
    state: bytes = b""  # encoded state machine


# Records on the disk, in write order. A later record overrides the earlier ones that it conflicts with.


class RecordBase(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    """Base of all records on a node's disk."""


class IncarnationRecord(RecordBase, frozen=True, tag="disk"):
    """The incarnation of the node that uses this disk."""

    incarnation: str


class VoteRecord(RecordBase, frozen=True, tag="ballot"):
    """The current term and the vote in it. It has to be on the disk before a vote of this term is sent."""

    term: int
    voted_for: str  # incarnation of the candidate that got the vote; '' if no vote was cast in this term


class EntriesRecord(RecordBase, frozen=True, tag="entries"):
    """Log entries. They replace all stored entries from `first_index` on."""

    first_index: int  # log index of the first of these entries
    entries: tuple[LogEntry, ...]


class SnapshotRecord(RecordBase, frozen=True, tag="whole"):
    """A snapshot. It replaces all entries stored before it."""

    snapshot: Snapshot


RaftRecord = IncarnationRecord | VoteRecord | EntriesRecord | SnapshotRecord

# Messages between nodes


class MessageBase(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    """Base of all messages between Raft nodes."""


class JoinRequest(MessageBase, frozen=True, tag="hello"):
    """A started node asks which cluster to join, and what it has acknowledged to the recipient."""

    term: int  # current term of the sender
    last_index: int  # last log index of the sender
    voted_for: str = ""  # incarnation that the sender voted for in `term`; '' if none


class JoinReply(MessageBase, frozen=True, tag="heard"):
    """Answers a JoinRequest."""

    cluster_id: str  # cluster of the sender; '' if the sender has no log
    founders: Members  # initial members of the cluster; empty once the sender has compacted its log
    members: Members  # newest member list in the sender's log; empty if the sender has no log
    reported_term: int  # newest term in which the joining incarnation acknowledged anything to the sender
    reported_index: int  # highest log index that the incarnation acknowledged in that term
    vote_received: bool  # whether the incarnation voted for the sender in the term of the JoinRequest


class BootstrapCluster(MessageBase, frozen=True, tag="found"):
    """Starts a new cluster with the members of this snapshot."""

    snapshot: Snapshot  # initial snapshot, with index 0


class RequestVote(MessageBase, frozen=True, tag="ask"):
    """A candidate requests a vote."""

    term: int  # term of the election; for a pre-vote, the term that the candidate would start
    last_index: int  # last log index of the candidate
    last_term: int  # term of the entry at `last_index`
    is_pre_vote: bool  # True: asks whether the vote would be granted, without casting one
    is_transfer: bool = False  # True: the leader requested this election with TimeoutNow


class VoteReply(MessageBase, frozen=True, tag="vote"):
    """Answers a RequestVote."""

    term: int  # term of the granted vote; current term of the sender if the vote is not granted
    granted: bool
    is_pre_vote: bool  # copied from the request


class AppendEntries(MessageBase, frozen=True, tag="append"):
    """Log entries from the leader. A message without entries is only a heartbeat."""

    term: int  # term of the leader
    prev_index: int  # log index before the first of the entries
    prev_term: int  # term of the entry at `prev_index`
    entries: tuple[LogEntry, ...]
    commit_index: int  # commit index of the leader
    round: int  # number of the leader's newest heartbeat round, returned in the reply
    durable_index: int  # highest log index on the leader's own disk


class AppendReply(MessageBase, frozen=True, tag="appended"):
    """Answers AppendEntries."""

    term: int  # term of the sender
    success: bool  # whether the sender's log matches the leader's at `prev_index`
    index: int  # last matching log index; if not `success`, index to send next, or 0 to request a snapshot
    last_index: int  # last log index of the sender
    round: int  # heartbeat round of the answered message


class InstallSnapshot(MessageBase, frozen=True, tag="install"):
    """One chunk of a snapshot."""

    term: int  # term of the leader
    snapshot: Snapshot  # header of the snapshot: all fields except `state`, which is empty
    offset_bytes: int  # position of the chunk in the encoded state
    total_bytes: int  # size of the complete encoded state
    chunk: bytes  # part of the encoded state
    round: int  # number of the leader's newest heartbeat round, returned in the reply


class InstallSnapshotReply(MessageBase, frozen=True, tag="installed"):
    """Answers InstallSnapshot."""

    term: int  # term of the sender
    index: int  # log index of the snapshot
    received_bytes: int  # bytes of the encoded state received so far; the next chunk starts here
    done: bool  # whether the snapshot is installed
    round: int  # heartbeat round of the answered message


class TimeoutNow(MessageBase, frozen=True, tag="handover"):
    """The leader asks the recipient to start an election at once."""

    term: int  # term of the leader


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
    """A message with its sender and its recipient."""

    sender: str  # node name
    sender_incarnation: str
    recipient: str  # node name
    recipient_incarnation: str  # '' for any incarnation of the recipient
    cluster_id: str  # cluster of the sender; '' if the sender has no log yet
    message: RaftMessage
