"""What keepers tell each other and write down. Bounded by whoever reads them off a link."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    NOTHING = 0  # a leader's first entry: commits what earlier terms have left
    COMMAND = 1
    MEMBERS = 2


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A keeper is its disk: the same name on another disk is another member. A learner is no voter."""

    name: str
    incarnation: str
    is_voter: bool = True


Members = tuple[Member, ...]


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    term: int
    kind: EntryKind
    data: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All up to `index`. That of a founding has index 0. `group`: a founding's own name, for good."""

    index: int
    term: int
    cluster_id: str
    members: Members
    state: bytes = b""


# Written down, in this order; a later record stands against an earlier one


class RecordBase(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    pass


class IncarnationRecord(RecordBase, frozen=True, tag="disk"):
    incarnation: str


class VoteRecord(RecordBase, frozen=True, tag="ballot"):
    """The term, and who got this disk's vote in it: a member's disk, or ''."""

    term: int
    voted_for: str


class EntriesRecord(RecordBase, frozen=True, tag="entries"):
    """From index `first` on; whatever stood there is gone."""

    first_index: int
    entries: tuple[LogEntry, ...]


class SnapshotRecord(RecordBase, frozen=True, tag="whole"):
    """A snapshot in place of all entries."""

    snapshot: Snapshot


RaftRecord = IncarnationRecord | VoteRecord | EntriesRecord | SnapshotRecord

# Told


class MessageBase(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    pass


class JoinRequest(MessageBase, frozen=True, tag="hello"):
    """Of a keeper that has just started: who are you, and what have you last heard from my disk?"""

    term: int
    last_index: int
    voted_for: str = ""


class JoinReply(MessageBase, frozen=True, tag="heard"):
    """The answer. `founders`: whom the group was founded with, where that is still known; `members` is empty
    where no group is founded. `term`, `index`: the newest that this disk has told; `voted`: it gave the vote
    of that term to the one that answers."""

    cluster_id: str
    founders: Members
    members: Members
    reported_term: int
    reported_index: int
    vote_received: bool


class BootstrapCluster(MessageBase, frozen=True, tag="found"):
    snapshot: Snapshot


class RequestVote(MessageBase, frozen=True, tag="ask"):
    """`pre`: only whether it would be given. `forced`: the leader wished it so."""

    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool
    is_transfer: bool = False


class VoteReply(MessageBase, frozen=True, tag="vote"):
    term: int
    granted: bool
    is_pre_vote: bool


class AppendEntries(MessageBase, frozen=True, tag="append"):
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int
    durable_index: int  # what the leader itself has on its disk


class AppendReply(MessageBase, frozen=True, tag="appended"):
    """`index`: where both logs agree to, or, where they don't, what to try next; 0 asks for the snapshot.
    `last`: the end of the log that answers."""

    term: int
    success: bool
    index: int
    last_index: int
    round: int


class InstallSnapshot(MessageBase, frozen=True, tag="install"):
    """A piece of a snapshot, from byte `offset` of its state on; `size`: all of it."""

    term: int
    snapshot: Snapshot  # without its state
    offset_bytes: int
    total_bytes: int
    chunk: bytes
    round: int


class InstallSnapshotReply(MessageBase, frozen=True, tag="installed"):
    """`have`: bytes of the state that are there; all of them once it is taken."""

    term: int
    index: int
    received_bytes: int
    done: bool
    round: int


class TimeoutNow(MessageBase, frozen=True, tag="handover"):
    """Stand for election at once."""

    term: int


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
    """`to_disk`: '' where it is not known. `group`: '' before there is one."""

    sender: str
    sender_incarnation: str
    recipient: str
    recipient_incarnation: str
    cluster_id: str
    message: RaftMessage
