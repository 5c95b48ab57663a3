"""The events that a Raft node takes and the actions that it returns.

Times are integer microseconds of a monotonic clock that keeps counting while the machine is suspended.
"""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream.quorum.messages import EntryKind, Members, RaftEnvelope, RaftRecord

# Events


@dataclass(frozen=True, slots=True)
class RaftTimeAdvanced:
    """The timer fired. The caller delivers this event at `RaftNode.next_timer_at`."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message of another node has arrived."""

    envelope: RaftEnvelope


@dataclass(frozen=True, slots=True)
class RecordsPersisted:
    """All records of a PersistRecords action, and of all actions before it, are on the disk."""

    number: int  # `number` of that PersistRecords action


@dataclass(frozen=True, slots=True)
class ProposalSubmitted:
    """A caller proposes an operation to append to the log."""

    ticket: int  # request id, returned in ApplyEntry or FailRequest
    data: bytes  # encoded operation of the state machine; this package doesn't decode it


@dataclass(frozen=True, slots=True)
class ReadSubmitted:
    """A caller asks to be told once every entry committed before now is applied on this node."""

    ticket: int  # request id, returned in CompleteRequest or FailRequest


@dataclass(frozen=True, slots=True)
class MembershipChangeSubmitted:
    """A caller adds a node to the members, first as a learner and then as a voter, or removes a member."""

    ticket: int  # request id, returned in CompleteRequest or FailRequest
    name: str  # node to add or remove
    add: bool  # True adds the node, False removes it
    incarnation: str = ""  # incarnation to add; '' for the one that last sent a JoinRequest under this name


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The caller has encoded the state machine, as requested by TakeSnapshot."""

    index: int  # log index of the last entry that the state includes
    state: bytes  # encoded state machine


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """This node is about to stop. A leader transfers its leadership first."""


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

    After a failed write, discard this RaftNode object and make a new one from the records on the disk.
    """

    number: int  # sequence number of this action, one more than that of the previous PersistRecords
    records: tuple[RaftRecord, ...]
    replace_log: bool = False  # True: these records replace all records on the disk


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another node. The message may be lost."""

    envelope: RaftEnvelope


@dataclass(frozen=True, slots=True)
class ApplyEntry:
    """Apply a committed entry to the state machine. Each log index is applied once and in order."""

    index: int  # log index of the entry
    kind: EntryKind
    data: bytes
    ticket: int | None  # request id of the proposal; None if no request to this node waits for the entry


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Replace the state of the state machine by that of a snapshot."""

    index: int  # log index of the last entry that the state includes
    state: bytes  # encoded state machine; empty for the initial state


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Encode the state machine and report SnapshotTaken."""

    index: int  # log index of the last entry applied to the state machine


@dataclass(frozen=True, slots=True)
class CompleteRequest:
    """A read may be answered now, or a membership change is complete."""

    ticket: int  # request id of the read or the membership change


@dataclass(frozen=True, slots=True)
class FailRequest:
    """A request was rejected, or its outcome is unknown."""

    ticket: int  # request id of the proposal, read or membership change
    reason: str  # why the request failed, for operators
    leader: str  # name of the node to retry at; '' where the leader is not known
    may_complete: bool  # True: a later leader may still commit the entry of this request


@dataclass(frozen=True, slots=True)
class ReportRoleChange:
    """Log that this node's role or its leader has changed."""

    role: str  # value of `Role`
    term: int
    leader: str  # name of the leader; '' where it is not known
    reason: str


@dataclass(frozen=True, slots=True)
class ReportMembershipChange:
    """Log that the committed member list has changed."""

    index: int  # log index of the entry or snapshot that holds the new list
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
