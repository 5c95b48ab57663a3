"""The state of one shard on one replica: records, position, and what the roles of primary and backup need."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from lotusstream.copies import messages
from lotusstream.copies.messages import IdempotencyRecord, Operation, ShardAssignment
from lotusstream.copies.shards import ReplicaId

RECENT_OPERATION_COUNT = 64  # newest operations kept; a replica that lacks only these needs no snapshot

RecordPart = tuple[IdempotencyRecord, ...]  # one part of a snapshot, of limited size


class Position(NamedTuple):
    """Identifies the newest operation that a replica of a shard has.

    Positions are ordered by epoch, then by sequence number.
    """

    epoch: int  # epoch of that operation
    sequence: int  # sequence number of that operation


NO_POSITION = Position(0, 0)  # the position of a shard without operations


class SnapshotTransferId(NamedTuple):
    """Identifies a snapshot transfer of a shard."""

    epoch: int
    position: Position  # position of the snapshot
    started_at: int  # start of the transfer, microseconds of the primary's clock


@dataclass(slots=True)
class CatchUpTransfer:
    """A snapshot that a primary sends to a replica, one part after the other."""

    session: str  # session of the receiving replica
    position: Position  # position of the snapshot
    parts: list[RecordPart]
    started_at: int  # when the snapshot was taken, microseconds
    last_progress_at: int  # latest start, acknowledgement or end of a wait for bandwidth, microseconds
    next_part: int = 0  # index of the part that is not acknowledged yet
    resume_at: int | None = None  # end of the wait for the bandwidth limit, microseconds; None: no wait
    repairs_divergence: bool = False  # whether this snapshot replaces diverged records of the receiver


@dataclass(slots=True)
class IncomingSnapshot:
    """The received parts of an incomplete snapshot."""

    transfer_id: SnapshotTransferId
    parts: list[RecordPart] = field(default_factory=list)
    # Operations received since the first part; they are applied once the snapshot is installed.
    buffered_operations: list[Operation] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class PendingCommit:
    """A request of a gateway that is answered once an operation is committed."""

    sequence: int  # sequence number of that operation
    ticket: int  # number of the request on this replica
    requested_at: int  # when the request arrived, microseconds


@dataclass(slots=True)
class ShardReplica:
    """The records of one shard, and the state of this replica as its primary or backup.

    `size_bytes` is always the sum of the estimated sizes of `records`, and `position` identifies the
    newest operation that was applied to them.
    """

    number: int
    records: dict[str, IdempotencyRecord] = field(default_factory=dict)  # records by key
    size_bytes: int = 0  # estimated size of all records
    position: Position = NO_POSITION
    recent_operations: deque[Operation] = field(default_factory=lambda: deque(maxlen=RECENT_OPERATION_COUNT))
    assignment: ShardAssignment | None = None  # the newest known assignment; None: none is known
    persisted_sequence: int = 0  # sequence number of the newest operation on this replica's disk
    deposed: bool = False  # whether a later epoch has begun whose assignment is not known yet
    # State of a primary
    # Session of each replica that has reported its position to this primary.
    sessions: dict[ReplicaId, str] = field(default_factory=dict)
    # Sequence number of the newest operation on the disk of each follower; -1: its catch-up has begun.
    acknowledged: dict[ReplicaId, int] = field(default_factory=dict)
    # Joining replicas that were reported to the controller as caught up. Commits wait for them already.
    reported_joining: frozenset[ReplicaId] = frozenset()
    # Sequence number of the newest operation when this replica became primary. Requests are refused until
    # that operation is committed.
    first_sequence: int = 0
    committed_sequence: int = 0  # sequence number of the newest committed operation
    pending_commits: deque[PendingCommit] = field(default_factory=deque)
    # Sequence number of the newest operation of each key that is not committed yet, by key.
    uncommitted_keys: dict[str, int] = field(default_factory=dict)
    positions_requested_at: int = 0  # time of the last `PositionRequest`, microseconds
    more_advanced: ReplicaId | None = None  # a backup with a later position than this primary; None: none
    # Snapshot transfers that are not complete, by receiving replica.
    transfers: dict[ReplicaId, CatchUpTransfer] = field(default_factory=dict)
    # State of a backup
    incoming: IncomingSnapshot | None = None  # the snapshot that is being received; None: none is

    def backups(self) -> tuple[ReplicaId, ...]:
        """Return the backups of the assignment; empty if no assignment is known."""
        return self.assignment.backups if self.assignment else ()

    def followers(self) -> tuple[ReplicaId, ...]:
        """Return the backups and joining replicas; empty if no assignment is known."""
        return (*self.assignment.backups, *self.assignment.joining) if self.assignment else ()

    def apply(self, operation: Operation) -> None:
        """Store the record of an operation. The caller has checked that it is the next operation."""
        self.position = Position(operation.epoch, operation.sequence)
        self.recent_operations.append(operation)
        known = self.records.get(operation.record.key)
        known_bytes = messages.estimated_bytes(known) if known is not None else 0
        self.size_bytes += messages.estimated_bytes(operation.record) - known_bytes
        self.records[operation.record.key] = operation.record

    def replace_records(self, records: Iterable[IdempotencyRecord]) -> None:
        """Replace all records by these."""
        self.records = {each.key: each for each in records}
        self.size_bytes = sum(map(messages.estimated_bytes, self.records.values()))

    def remove_expired(self, unix_time: int) -> None:
        """Remove the records that have expired by this time, microseconds of the Unix clock."""
        if any(each.expires_at <= unix_time for each in self.records.values()):
            self.replace_records([each for each in self.records.values() if each.expires_at > unix_time])

    def install_snapshot(self, records: Iterable[IdempotencyRecord], position: Position) -> None:
        """Replace all records by a snapshot, which is not on the disk yet."""
        self.replace_records(records)
        self.position = position
        self.persisted_sequence = 0
        self.recent_operations.clear()


def recover_shards(records: Iterable[messages.LogRecord]) -> dict[int, ShardReplica]:
    """Return the shards that the records of a log describe, by number."""
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
    """Collect a part of a snapshot, and install the snapshot with its last part.

    If the gateway crashed before the last part was written, the shard stays as it was before the snapshot.
    """
    if not record.part:
        unfinished[shard.number] = []
    unfinished.setdefault(shard.number, []).extend(record.records)
    if record.part + 1 == record.part_count:
        shard.install_snapshot(unfinished.pop(shard.number), Position(record.epoch, record.sequence))
