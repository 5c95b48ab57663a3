"""The events that a Raft node takes and the actions that it returns.

Times are whole microseconds of a clock that never steps back and counts while the machine sleeps.
"""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream.quorum.messages import EntryKind, Members, RaftEnvelope, RaftRecord

# Events


@dataclass(frozen=True, slots=True)
class RaftTimeAdvanced:
    """Time has passed; due at `RaftNode.next_timer_at`."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Another node has sent a message."""

    envelope: RaftEnvelope


@dataclass(frozen=True, slots=True)
class RecordsPersisted:
    """All records up to a PersistRecords action are on the disk."""

    number: int  # of that action


@dataclass(frozen=True, slots=True)
class ProposalSubmitted:
    """A caller wants an operation in the log."""

    ticket: int  # returned with ApplyEntry or FailRequest
    data: bytes  # opaque to this package


@dataclass(frozen=True, slots=True)
class ReadSubmitted:
    """A caller wants to know when everything committed before now is applied here."""

    ticket: int  # returned with CompleteRequest or FailRequest


@dataclass(frozen=True, slots=True)
class MembershipChangeSubmitted:
    """A caller wants a node as a member, first as a learner and then as a voter, or wants it removed."""

    ticket: int  # returned with CompleteRequest or FailRequest
    name: str
    add: bool  # False removes it
    incarnation: str = ""  # '' for the one that last asked to join


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The state machine was encoded, as TakeSnapshot had asked for."""

    index: int  # of the last entry applied to it
    state: bytes


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """This node is to stop: it transfers its leadership if it leads."""


RaftEvent = (
    RaftTimeAdvanced
    | MessageReceived
    | RecordsPersisted
    | ProposalSubmitted
    | ReadSubmitted
    | MembershipChangeSubmitted
    | SnapshotTaken
    | ShutdownRequested
)

# Actions


@dataclass(frozen=True, slots=True)
class PersistRecords:
    """Write these records to the disk, then report RecordsPersisted.

    After a failed write this RaftNode object must not be used: a new one is made from what the disk holds.
    """

    number: int  # grows by one with each of these actions
    records: tuple[RaftRecord, ...]
    replace_log: bool = False  # in place of everything that was written before


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another node. It may be lost."""

    envelope: RaftEnvelope


@dataclass(frozen=True, slots=True)
class ApplyEntry:
    """Apply a committed entry: each index once and in order."""

    index: int
    kind: EntryKind
    data: bytes
    ticket: int | None  # of the proposal, if it was submitted here


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Replace the state machine's state."""

    index: int  # of the last entry that is in it
    state: bytes


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Encode the state machine's state and report SnapshotTaken."""

    index: int  # of the last entry applied to it


@dataclass(frozen=True, slots=True)
class CompleteRequest:
    """A read may be answered now, or a membership change is done."""

    ticket: int


@dataclass(frozen=True, slots=True)
class FailRequest:
    """A request was refused, or its outcome is unknown."""

    ticket: int
    reason: str
    leader: str  # the node to ask instead; '' where it is not known
    may_complete: bool  # it may still take effect


@dataclass(frozen=True, slots=True)
class ReportRoleChange:
    """Log that this node has another role or another leader."""

    role: str  # a value of Role
    term: int
    leader: str  # '' where it is not known
    reason: str


@dataclass(frozen=True, slots=True)
class ReportMembershipChange:
    """Log that the committed members have changed."""

    index: int
    members: Members


RaftAction = (
    PersistRecords
    | SendMessage
    | ApplyEntry
    | RestoreSnapshot
    | TakeSnapshot
    | CompleteRequest
    | FailRequest
    | ReportRoleChange
    | ReportMembershipChange
)
