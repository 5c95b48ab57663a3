"""One shard as one replica holds it: its records, its position, and the state of both roles."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from lotusstream.copies import messages
from lotusstream.copies.messages import IdempotencyRecord, Operation, ShardAssignment
from lotusstream.copies.shards import ReplicaId

RECENT_OPERATION_COUNT = 64  # operations retained to bring a backup up to date that lags by a few

RecordPart = tuple[IdempotencyRecord, ...]  # one bounded part of a snapshot


class Position(NamedTuple):
    """The newest operation of a shard, ordered by epoch first."""

    epoch: int
    sequence: int


NO_POSITION = Position(0, 0)  # of a shard without any operation


class SnapshotTransferId(NamedTuple):
    """Tells one snapshot transfer from another."""

    epoch: int
    position: Position
    started_at: int  # microseconds of the primary's clock


@dataclass(slots=True)
class CatchUpTransfer:
    """The snapshot that a primary sends to a replica, one part after the other."""

    session: str  # run of the receiving program
    position: Position  # of the snapshot
    parts: list[RecordPart]
    started_at: int  # microseconds
    last_progress_at: int  # microseconds
    next_part: int = 0  # index of the part that is sent or waits to be
    resume_at: int | None = None  # microseconds, where that part waits for the bandwidth limit
    repairs_divergence: bool = False  # the receiver held other records, and counts again once it has all


@dataclass(slots=True)
class IncomingSnapshot:
    """What a replica has received of a snapshot."""

    transfer_id: SnapshotTransferId
    parts: list[RecordPart] = field(default_factory=list)
    buffered_operations: list[Operation] = field(default_factory=list)  # replicated since the transfer began


@dataclass(frozen=True, slots=True)
class PendingCommit:
    """A request that is answered once an operation is committed."""

    sequence: int
    ticket: int
    requested_at: int  # microseconds


@dataclass(slots=True)
class ShardReplica:
    """The records of one shard, and what this replica knows as its primary or backup.

    `size_bytes` is always the sum over `records`; `position` is that of the newest operation in them.
    """

    number: int
    records: dict[str, IdempotencyRecord] = field(default_factory=dict)  # by key
    size_bytes: int = 0  # estimate
    position: Position = NO_POSITION
    recent_operations: deque[Operation] = field(default_factory=lambda: deque(maxlen=RECENT_OPERATION_COUNT))
    assignment: ShardAssignment | None = None  # the newest one known
    persisted_sequence: int = 0  # newest operation on the own disk
    deposed: bool = False  # a later epoch has begun, whose assignment is not known yet
    # State of a primary
    sessions: dict[ReplicaId, str] = field(default_factory=dict)  # runs that report or catch up in this epoch
    acknowledged: dict[ReplicaId, int] = field(default_factory=dict)  # newest sequence on that disk; -1: none
    reported_joining: frozenset[ReplicaId] = frozenset()  # joining ones that commits wait for
    first_sequence: int = 0  # when this primary began: it serves once all backups have this
    committed_sequence: int = 0
    pending_commits: deque[PendingCommit] = field(default_factory=deque)
    uncommitted_keys: dict[str, int] = field(default_factory=dict)  # sequence of the newest operation
    positions_requested_at: int = 0  # microseconds
    more_advanced: ReplicaId | None = None  # a backup with a later position than this primary
    transfers: dict[ReplicaId, CatchUpTransfer] = field(default_factory=dict)
    # State of a backup
    incoming: IncomingSnapshot | None = None

    def backups(self) -> tuple[ReplicaId, ...]:
        """Return the backups of the assignment, none where it is unknown."""
        return self.assignment.backups if self.assignment else ()

    def followers(self) -> tuple[ReplicaId, ...]:
        """Return the backups and the joining replicas."""
        return (*self.assignment.backups, *self.assignment.joining) if self.assignment else ()

    def apply(self, operation: Operation) -> None:
        """Store the operation's record; the caller has checked that it is the next one."""
        self.position = Position(operation.epoch, operation.sequence)
        self.recent_operations.append(operation)
        known = self.records.get(operation.record.key)
        known_bytes = messages.estimated_bytes(known) if known is not None else 0
        self.size_bytes += messages.estimated_bytes(operation.record) - known_bytes
        self.records[operation.record.key] = operation.record

    def replace_records(self, records: Iterable[IdempotencyRecord]) -> None:
        """Hold these records and no others."""
        self.records = {each.key: each for each in records}
        self.size_bytes = sum(map(messages.estimated_bytes, self.records.values()))

    def remove_expired(self, unix_time: int) -> None:
        """Drop the records that have expired at this time, microseconds of the Unix clock."""
        if any(each.expires_at <= unix_time for each in self.records.values()):
            self.replace_records([each for each in self.records.values() if each.expires_at > unix_time])

    def install_snapshot(self, records: Iterable[IdempotencyRecord], position: Position) -> None:
        """Replace all records; nothing of them counts as persisted yet."""
        self.replace_records(records)
        self.position = position
        self.persisted_sequence = 0
        self.recent_operations.clear()


def recover_shards(records: Iterable[messages.LogRecord]) -> dict[int, ShardReplica]:
    """Return the shards, by number, that a log's records describe."""
    shards: dict[int, ShardReplica] = {}
    unfinished: dict[int, list[IdempotencyRecord]] = {}
    for record in records:
        shard = shards.setdefault(record.shard, ShardReplica(record.shard))
        match record:
            case messages.OperationLogRecord():
                shard.apply(record.operation)
            case messages.SnapshotLogRecord():
                _recover_snapshot_part(shard, record, unfinished)
        shard.persisted_sequence = shard.position.sequence
    return shards


def _recover_snapshot_part(
    shard: ShardReplica,
    record: messages.SnapshotLogRecord,
    unfinished: dict[int, list[IdempotencyRecord]],
) -> None:
    """Collect the part; a crash before the last one leaves the shard as it was before the snapshot."""
    if not record.part:
        unfinished[shard.number] = []
    unfinished.setdefault(shard.number, []).extend(record.records)
    if record.part + 1 == record.part_count:
        shard.install_snapshot(unfinished.pop(shard.number), Position(record.epoch, record.sequence))
