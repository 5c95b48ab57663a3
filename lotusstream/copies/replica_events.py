"""Events that a replica set takes, and actions that its caller carries out."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lotusstream.copies.messages import IdempotencyRecord, LogRecord, ReplicaMessage, ShardAssignment
from lotusstream.copies.shards import ReplicaId

# Events


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Another replica has sent a message."""

    sender: ReplicaId
    message: ReplicaMessage


@dataclass(frozen=True, slots=True)
class LogWritePersisted:
    """All writes of the log up to this number are on the disk."""

    write_number: int


@dataclass(frozen=True, slots=True)
class AssignmentLearned:
    """An assignment that the quorum has agreed on."""

    assignment: ShardAssignment


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The shard controller has answered a heartbeat."""

    heartbeat_sent_at: int  # microseconds of this replica's clock; the lease counts from here
    epochs: Mapping[int, int] = field(default_factory=dict)  # by shard, as the controller knows them


@dataclass(frozen=True, slots=True)
class ClaimRequested:
    """A gateway claims a key before its first attempt.

    Answered with `Committed`, with `AlreadyRecorded` where the key was seen before, or with `NotCommitted`.
    """

    ticket: int  # names the request in its answer
    record: IdempotencyRecord
    unix_time: int  # microseconds of the Unix clock
    previous_owner: str = ""  # the owner of a claim, not answered yet, that this one replaces


@dataclass(frozen=True, slots=True)
class CompletionRequested:
    """A gateway stores the answer for repeats of a request before it gives it to the client."""

    ticket: int  # names the request in its answer
    record: IdempotencyRecord
    unix_time: int  # microseconds of the Unix clock


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """A planned stop: this run commits nothing from now on, so that others can be primaries at once."""


@dataclass(frozen=True, slots=True)
class ReplicaTimeAdvanced:
    """Time has passed."""

    unix_time: int = 0  # microseconds of the Unix clock where periodic work is due, else 0


Event = (
    MessageReceived
    | LogWritePersisted
    | AssignmentLearned
    | LeaseRenewed
    | ClaimRequested
    | CompletionRequested
    | ShutdownStarted
    | ReplicaTimeAdvanced
)

# Actions


@dataclass(frozen=True, slots=True)
class PersistLogRecords:
    """Append these records to the log, then report `LogWritePersisted` with this number."""

    write_number: int
    records: tuple[LogRecord, ...]


@dataclass(frozen=True, slots=True)
class SendReplicaMessage:
    """Send a message to another replica; it may be lost."""

    to: ReplicaId
    message: ReplicaMessage


@dataclass(frozen=True, slots=True)
class Committed:
    """Answer a request: its record is on the disks of enough machines."""

    ticket: int


@dataclass(frozen=True, slots=True)
class AlreadyRecorded:
    """Answer a request: the key was seen before, and this is its record."""

    ticket: int
    record: IdempotencyRecord


@dataclass(frozen=True, slots=True)
class NotCommitted:
    """Answer a request: nothing is promised."""

    ticket: int
    reason: str
    primary: str = ""  # the gateway to ask instead, if known
    outcome_unknown: bool = False  # the record may still be found later


@dataclass(frozen=True, slots=True)
class ReportDivergence:
    """Tell the operators that replicas of a shard hold different records at the same position.

    With neither `refilled` nor `next_primary` no majority shows which of them is right.
    """

    shard: int
    refilled: tuple[ReplicaId, ...]  # backups that get a new snapshot
    next_primary: ReplicaId | None  # the backup that is to become primary


Action = (
    PersistLogRecords | SendReplicaMessage | Committed | AlreadyRecorded | NotCommitted | ReportDivergence
)
