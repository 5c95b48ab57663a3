"""The events of a replica set, and the actions that its caller carries out."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lotusstream.copies.messages import IdempotencyRecord, LogRecord, ReplicaMessage, ShardAssignment
from lotusstream.copies.shards import ReplicaId

# Events


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message of another replica has arrived."""

    sender: ReplicaId
    message: ReplicaMessage


@dataclass(frozen=True, slots=True)
class LogWritePersisted:
    """The log write with this number, and all before it, are on the disk."""

    write_number: int


@dataclass(frozen=True, slots=True)
class AssignmentLearned:
    """The shard controller has sent an assignment that the quorum has agreed on."""

    assignment: ShardAssignment


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The shard controller has answered a heartbeat, which renews the lease of this replica."""

    heartbeat_sent_at: int  # start of the lease, microseconds of this replica's clock
    # Newest epoch that the controller knows, by shard number.
    epochs: Mapping[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ClaimRequested:
    """A gateway claims a key before it sends an attempt, or releases its claim.

    The answer is `Committed`, `AlreadyRecorded` if the key has another record, or `NotCommitted`.
    """

    ticket: int  # number of this request; the answer repeats it
    record: IdempotencyRecord
    unix_time: int  # microseconds of the Unix clock
    previous_owner: str = ""  # owner of the claim that this one replaces; "": it replaces none


@dataclass(frozen=True, slots=True)
class CompletionRequested:
    """A gateway stores an answer for repeats of the request, before it sends the answer to the client."""

    ticket: int  # number of this request; the answer repeats it
    record: IdempotencyRecord
    unix_time: int  # microseconds of the Unix clock


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """A planned stop has begun. This run commits nothing more: backups can become primaries at once."""


@dataclass(frozen=True, slots=True)
class ReplicaTimeAdvanced:
    """Time has passed: a part of a catch-up or periodic work may be due."""

    unix_time: int = 0  # microseconds of the Unix clock; 0: no periodic work is due


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
    """Send a message to another replica. It may be lost."""

    to: ReplicaId
    message: ReplicaMessage


@dataclass(frozen=True, slots=True)
class Committed:
    """Answer a request: its record is committed."""

    ticket: int


@dataclass(frozen=True, slots=True)
class AlreadyRecorded:
    """Answer a request: the key already has this record."""

    ticket: int
    record: IdempotencyRecord


@dataclass(frozen=True, slots=True)
class NotCommitted:
    """Answer a request: its record is not committed."""

    ticket: int
    reason: str
    primary: str = ""  # name of the gateway to ask instead; "": not known
    outcome_unknown: bool = False  # whether the record may still be committed later


@dataclass(frozen=True, slots=True)
class ReportDivergence:
    """Report to operators that replicas of a shard have different records at the same position.

    If neither `refilled` nor `next_primary` is set, no majority shows which of them is right.
    """

    shard: int
    refilled: tuple[ReplicaId, ...]  # backups that get a new snapshot
    next_primary: ReplicaId | None  # backup that replaces the primary; None: the primary stays


Action = (
    PersistLogRecords | SendReplicaMessage | Committed | AlreadyRecorded | NotCommitted | ReportDivergence
)
