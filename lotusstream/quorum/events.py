"""What happens to a keeper, and what it wants done. Times are whole microseconds of a clock that never steps
back and counts while the machine sleeps."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream.quorum.messages import EntryKind, Members, RaftEnvelope, RaftRecord

# Events


@dataclass(frozen=True, slots=True)
class RaftTimeAdvanced:
    """Time has passed; due at `Keeper.next_at`."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    envelope: RaftEnvelope


@dataclass(frozen=True, slots=True)
class RecordsPersisted:
    """All records up to this Save are on the disk."""

    number: int


@dataclass(frozen=True, slots=True)
class ProposalSubmitted:
    """`ticket`: handed back with what becomes of it."""

    ticket: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ReadSubmitted:
    """Wants to know that all told before now is applied here."""

    ticket: int


@dataclass(frozen=True, slots=True)
class MembershipChangeSubmitted:
    """Takes a keeper in as a learner that becomes a voter, or out. `disk` '' means whatever it has."""

    ticket: int
    name: str
    add: bool
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The machine's whole state after applying `index`."""

    index: int
    state: bytes


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """A planned stop: leadership is handed over."""


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
    """Onto the disk, then Persisted. `rewrite`: in place of all that was there. What can't be written ends
    this keeper: another is begun from what the disk has."""

    number: int
    records: tuple[RaftRecord, ...]
    replace_log: bool = False


@dataclass(frozen=True, slots=True)
class SendMessage:
    envelope: RaftEnvelope


@dataclass(frozen=True, slots=True)
class ApplyEntry:
    """A committed entry, each index once and in order. `ticket`: of the proposal, where it was made here."""

    index: int
    kind: EntryKind
    data: bytes
    ticket: int | None


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """The machine's state in place of whatever it has."""

    index: int
    state: bytes


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Asks for Compacted with the state as it is now."""

    index: int


@dataclass(frozen=True, slots=True)
class CompleteRequest:
    """All that was told before this ticket's Read is applied."""

    ticket: int


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Nothing is known of this ticket's end, or it was refused. `leader`: whom to ask, if known. `maybe`:
    it may still be carried out."""

    ticket: int
    reason: str
    leader: str
    may_complete: bool


@dataclass(frozen=True, slots=True)
class ReportRoleChange:
    """For the log: what this keeper is now, and why."""

    role: str
    term: int
    leader: str
    reason: str


@dataclass(frozen=True, slots=True)
class ReportMembershipChange:
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
