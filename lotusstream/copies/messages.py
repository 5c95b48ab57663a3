"""The messages between replicas, and the records of their logs.

The tags and the order of fields are the form on the wire and on disk and must not change; names may.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

import msgspec

from lotusstream.copies.shards import ReplicaId

# Estimated size of a record without its key, request digest, owner and answer, whose lengths are added.
RECORD_OVERHEAD_BYTES = 64


class RecordState(IntEnum):
    """The state of a request with an idempotency key."""

    SENT = 1  # a gateway has claimed the key to send the request: it may have been executed
    ANSWERED = 2  # the answer is stored for repeats
    NOT_EXECUTED = 3  # the gateway released its claim without an attempt that may have been executed


class IdempotencyRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record of one idempotency key. Times are microseconds of the Unix clock."""

    key: str
    request_digest: str  # digest of profile and statement; all repeats of the request have the same
    state: RecordState
    owner: str  # name of the claim that stored this record, unique over all gateways and their restarts
    expires_at: int  # expiry: after this time the key counts as unknown
    answer: bytes = b""  # empty unless the state is ANSWERED
    zone: str = ""  # zone whose endpoints drop repeats; "": endpoints of any zone do
    cell: int = -1  # index of the cell whose endpoints drop repeats; -1: endpoints of any cell do
    executing_since: int = 0  # earliest time at which the request may have been executed


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """A change of one record of a shard."""

    epoch: int  # epoch in which the primary created it
    sequence: int  # sequence number among all operations of the shard; new epochs don't restart it
    record: IdempotencyRecord


class ShardAssignment(msgspec.Struct, frozen=True, array_like=True):
    """The replicas of a shard in one epoch, as the quorum has agreed."""

    shard: int
    epoch: int
    primary: ReplicaId
    session: str  # session of the primary; after a restart it has another one and needs a new epoch
    backups: tuple[ReplicaId, ...] = ()  # every commit waits for the disks of all backups
    joining: tuple[ReplicaId, ...] = ()  # replicas that catch up; they become backups afterwards

    @property
    def members(self) -> tuple[ReplicaId, ...]:
        """The primary, the backups and the joining replicas."""
        return (self.primary, *self.backups, *self.joining)


# Records of the log


class TaggedLogRecord(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    """Base of the records of the replica log; `is` tells them apart."""


class OperationLogRecord(TaggedLogRecord, frozen=True, tag="op"):
    """An operation that this replica has applied."""

    shard: int
    operation: Operation


class SnapshotLogRecord(TaggedLogRecord, frozen=True, tag="whole"):
    """A part of a snapshot. The snapshot replaces the shard once its last part is in the log."""

    shard: int
    epoch: int  # epoch of the newest operation in the snapshot
    sequence: int  # sequence number of that operation
    records: tuple[IdempotencyRecord, ...]
    part: int = 0  # index of this part, from 0
    part_count: int = 1


LogRecord = OperationLogRecord | SnapshotLogRecord


def estimated_bytes(record: IdempotencyRecord) -> int:
    """Return the approximate size of a record on the wire or on disk."""
    variable = record.key, record.request_digest, record.owner, record.answer
    return RECORD_OVERHEAD_BYTES + sum(map(len, variable))


def split_into_parts(
    records: Iterable[IdempotencyRecord], part_bytes: int
) -> list[tuple[IdempotencyRecord, ...]]:
    """Split records into parts, as the size of frames and log records is limited.

    :param part_bytes: a part ends with the record that makes it this large.
    :returns: at least one part; without records a single empty one.
    """
    parts: list[tuple[IdempotencyRecord, ...]] = []
    part: list[IdempotencyRecord] = []
    size_bytes = 0
    for record in records:
        part.append(record)
        size_bytes += estimated_bytes(record)
        if size_bytes >= part_bytes:
            parts.append(tuple(part))
            part = []
            size_bytes = 0
    if part or not parts:
        parts.append(tuple(part))
    return parts


def snapshot_log_records(
    shard: int, position: tuple[int, int], records: Iterable[IdempotencyRecord], part_bytes: int
) -> list[SnapshotLogRecord]:
    """Return the log records of a snapshot.

    :param position: epoch and sequence number of the newest operation in the snapshot.
    """
    parts = split_into_parts(records, part_bytes)
    return [SnapshotLogRecord(shard, *position, part, index, len(parts)) for index, part in enumerate(parts)]


# Messages between replicas


class TaggedMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    """Base of the messages between replicas; `is` tells them apart."""


class PositionRequest(TaggedMessage, frozen=True, tag="begin"):
    """The primary of an epoch asks a replica for its position, and announces the assignment."""

    assignment: ShardAssignment


class PositionReply(TaggedMessage, frozen=True, tag="stand"):
    """A replica reports its position: the newest operation on its disk."""

    shard: int
    epoch: int  # epoch of the request
    session: str  # session of the replying replica
    last_epoch: int  # epoch of the newest operation
    last_sequence: int  # sequence number of the newest operation


class CatchUpData(TaggedMessage, frozen=True, tag="fill"):
    """The primary sends what a replica lacks: operations after its position, or a part of a snapshot."""

    shard: int
    epoch: int
    after: int  # sequence number before the first of `operations`; -1: this is a part of a snapshot
    last_epoch: int  # epoch of the newest operation that the primary or the snapshot has
    last_sequence: int  # sequence number of that operation
    records: tuple[IdempotencyRecord, ...] = ()  # records of the part
    operations: tuple[Operation, ...] = ()
    part: int = 0  # index of the part, from 0
    part_count: int = 1
    started_at: int = 0  # start of the transfer by the primary's clock, microseconds; identifies the transfer


class CatchUpPartAck(TaggedMessage, frozen=True, tag="filled"):
    """A replica has received a part, so that the next one may be sent. The part need not be on disk."""

    shard: int
    epoch: int
    session: str
    part: int


class Replicate(TaggedMessage, frozen=True, tag="copy"):
    """The primary sends an operation that it has just applied."""

    shard: int
    epoch: int
    operation: Operation


class ReplicateAck(TaggedMessage, frozen=True, tag="copied"):
    """A replica has all operations up to this sequence number on its disk."""

    shard: int
    epoch: int
    session: str
    sequence: int


class StaleEpoch(TaggedMessage, frozen=True, tag="deposed"):
    """Replies to a message of an earlier epoch: a later epoch has begun."""

    shard: int
    epoch: int  # the later epoch, the newest that the sender knows


class DigestRequest(TaggedMessage, frozen=True, tag="compare"):
    """The primary asks a backup at the same position for the digest of a range of keys."""

    shard: int
    epoch: int
    sequence: int  # sequence number of the position at which the replicas are compared
    key_range: int  # index of the range of keys
    expires_after: int  # microseconds of the Unix clock; records that expire by then are omitted


class DigestReply(TaggedMessage, frozen=True, tag="compared"):
    """A backup replies with its digest of the range."""

    shard: int
    epoch: int
    session: str
    sequence: int
    key_range: int
    digest: bytes


ReplicaMessage = (
    PositionRequest
    | PositionReply
    | CatchUpData
    | CatchUpPartAck
    | Replicate
    | ReplicateAck
    | StaleEpoch
    | DigestRequest
    | DigestReply
)
