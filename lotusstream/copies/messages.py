"""What replicas send to each other and write to their logs.

The order of fields and the tags are the form on the wire and on disk: they stay, while names may change.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

import msgspec

from lotusstream.copies.shards import ReplicaId

RECORD_OVERHEAD_BYTES = 64  # estimate of all fields of fixed size


class RecordState(IntEnum):
    """How far a request with an idempotency key has got."""

    SENT = 1  # a gateway was to send it: it may have been executed
    ANSWERED = 2  # its answer is stored for repeats
    NOT_EXECUTED = 3  # its gateway abandoned it before any attempt had left


class IdempotencyRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one idempotency key. Times are microseconds of the Unix clock."""

    key: str
    request_digest: str  # of the profile and the statement: a key stands for one request
    state: RecordState
    owner: str  # the claim that stored this, of one gateway's run
    expires_at: int  # from here on the key is as if never seen
    answer: bytes = b""
    zone: str = ""  # of the endpoints that drop repeats of the request; "": of any zone
    cell: int = -1  # likewise; -1: of any cell
    executing_since: int = 0  # from here on it may have been executed


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """One change of one shard."""

    epoch: int  # in which it was made
    sequence: int  # counts the operations of a shard over all epochs
    record: IdempotencyRecord


class ShardAssignment(msgspec.Struct, frozen=True, array_like=True):
    """Which replicas hold a shard in an epoch, as agreed in the quorum."""

    shard: int
    epoch: int
    primary: ReplicaId
    session: str  # the run of the primary's program that may act
    backups: tuple[ReplicaId, ...] = ()  # a commit waits for all of them
    joining: tuple[ReplicaId, ...] = ()  # catch up, and do not count yet

    @property
    def members(self) -> tuple[ReplicaId, ...]:
        """The primary, the backups and the joining replicas."""
        return (self.primary, *self.backups, *self.joining)


# Records of the log


class TaggedLogRecord(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    """Base of the records of the log."""


class OperationLogRecord(TaggedLogRecord, frozen=True, tag="op"):
    """An operation that was applied."""

    shard: int
    operation: Operation


class SnapshotLogRecord(TaggedLogRecord, frozen=True, tag="whole"):
    """A part of a snapshot that replaces a shard once its last part is in the log."""

    shard: int
    epoch: int  # with `sequence` the position of the snapshot
    sequence: int
    records: tuple[IdempotencyRecord, ...]
    part: int = 0  # index of this part
    part_count: int = 1


LogRecord = OperationLogRecord | SnapshotLogRecord


def estimated_bytes(record: IdempotencyRecord) -> int:
    """Return about how many bytes a record takes on the wire or on disk."""
    variable = record.key, record.request_digest, record.owner, record.answer
    return RECORD_OVERHEAD_BYTES + sum(map(len, variable))


def split_into_parts(
    records: Iterable[IdempotencyRecord], part_bytes: int
) -> list[tuple[IdempotencyRecord, ...]]:
    """Split records into parts, since frames and log records are bounded.

    :param part_bytes: a part ends with the record that reaches this size.
    :returns: at least one part, an empty one where there are no records.
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

    :param position: epoch and sequence of the newest operation in it.
    """
    parts = split_into_parts(records, part_bytes)
    return [SnapshotLogRecord(shard, *position, part, index, len(parts)) for index, part in enumerate(parts)]


# Messages between replicas


class TaggedMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    """Base of the messages between replicas."""


class PositionRequest(TaggedMessage, frozen=True, tag="begin"):
    """The primary of an epoch asks a replica for its position."""

    assignment: ShardAssignment


class PositionReply(TaggedMessage, frozen=True, tag="stand"):
    """A replica's position, which is on its disk."""

    shard: int
    epoch: int
    session: str  # run of the replica's program
    last_epoch: int  # with `last_sequence` the newest operation
    last_sequence: int


class CatchUpData(TaggedMessage, frozen=True, tag="fill"):
    """What a replica lacks: the operations after a position, or one part of a snapshot."""

    shard: int
    epoch: int
    after: int  # the operations follow this sequence; -1: part of a snapshot
    last_epoch: int  # with `last_sequence` the primary's position
    last_sequence: int
    records: tuple[IdempotencyRecord, ...] = ()  # of a snapshot's part
    operations: tuple[Operation, ...] = ()
    part: int = 0  # index of the part
    part_count: int = 1
    started_at: int = 0  # microseconds of the primary's clock: tells one transfer from another


class CatchUpPartAck(TaggedMessage, frozen=True, tag="filled"):
    """A replica has received this part, not on its disk yet: the next one may follow."""

    shard: int
    epoch: int
    session: str
    part: int


class Replicate(TaggedMessage, frozen=True, tag="copy"):
    """The primary's newest operation."""

    shard: int
    epoch: int
    operation: Operation


class ReplicateAck(TaggedMessage, frozen=True, tag="copied"):
    """A replica has all operations up to this one on its disk."""

    shard: int
    epoch: int
    session: str
    sequence: int


class StaleEpoch(TaggedMessage, frozen=True, tag="deposed"):
    """A later epoch has begun than that of the message that this answers."""

    shard: int
    epoch: int  # the later one


class DigestRequest(TaggedMessage, frozen=True, tag="compare"):
    """The primary asks a backup at the same position for the digest of a range of keys."""

    shard: int
    epoch: int
    sequence: int
    key_range: int  # index of the range
    expires_after: int  # microseconds of the Unix clock: records that expire by then are left out


class DigestReply(TaggedMessage, frozen=True, tag="compared"):
    """A backup's digest."""

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
