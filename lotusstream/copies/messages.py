"""What holders tell each other and write down."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

import msgspec

from lotusstream.copies.shards import ReplicaId


class RecordState(IntEnum):
    SENT = 1  # a gateway was to send it: it may have run
    ANSWERED = 2
    NOT_EXECUTED = 3  # its gateway gave it up, and nothing had left


class IdempotencyRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one key. `print`: of its statement; `gateway`: who sent it. `until`: microseconds of
    the Unix clock, from when on it is as if never seen. `since`: from when on it may have run. `zone` and
    `cell`: of the engines that drop its repeats, as far as that matters."""

    key: str
    request_digest: str
    state: RecordState
    owner: str
    expires_at: int
    answer: bytes = b""
    zone: str = ""
    cell: int = -1
    executing_since: int = 0


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """One change of one shard. `epoch`: in which it was made."""

    epoch: int
    sequence: int
    record: IdempotencyRecord


class ShardAssignment(msgspec.Struct, frozen=True, array_like=True):
    """Who holds a shard in an epoch, as agreed in the quorum. `session`: the run of the home's program that
    may act. `joining` get everything and count for nothing yet."""

    shard: int
    epoch: int
    primary: ReplicaId
    session: str
    backups: tuple[ReplicaId, ...] = ()
    joining: tuple[ReplicaId, ...] = ()

    @property
    def members(self) -> tuple[ReplicaId, ...]:
        return (self.primary, *self.backups, *self.joining)


# Written down


class TaggedLogRecord(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    pass


class OperationLogRecord(TaggedLogRecord, frozen=True, tag="op"):
    shard: int
    operation: Operation


class SnapshotLogRecord(TaggedLogRecord, frozen=True, tag="whole"):
    """A shard in place of all that was known of it, once its last part is there. `part`: from 0 on; `parts`:
    how many there are."""

    shard: int
    epoch: int
    sequence: int
    records: tuple[IdempotencyRecord, ...]
    part: int = 0
    part_count: int = 1


LogRecord = OperationLogRecord | SnapshotLogRecord


def estimated_bytes(holding: IdempotencyRecord) -> int:
    """About so many bytes on a line or a disk."""
    told = holding.key, holding.request_digest, holding.owner, holding.answer
    return 64 + sum(map(len, told))


def split_into_parts(holdings: Iterable[IdempotencyRecord], most: int) -> list[tuple[IdempotencyRecord, ...]]:
    """One at least. Each of `most` bytes or a little more: frames and records are bounded."""
    parts, part, size = list[tuple[IdempotencyRecord, ...]](), list[IdempotencyRecord](), 0
    for each in holdings:
        part.append(each)
        size += estimated_bytes(each)
        if size >= most:
            parts.append(tuple(part))
            part, size = [], 0
    return [*parts, tuple(part)] if part or not parts else parts


def snapshot_log_records(
    shard: int, last: tuple[int, int], holdings: Iterable[IdempotencyRecord], most: int
) -> list[SnapshotLogRecord]:
    parts = split_into_parts(holdings, most)
    return [SnapshotLogRecord(shard, *last, part, at, len(parts)) for at, part in enumerate(parts)]


# Told


class TaggedMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    pass


class PositionRequest(TaggedMessage, frozen=True, tag="begin"):
    """The home of an epoch asks where a copy stands."""

    assignment: ShardAssignment


class PositionReply(TaggedMessage, frozen=True, tag="stand"):
    """The copy's last change. `session`: of this run of the copy."""

    shard: int
    epoch: int
    session: str
    last_epoch: int
    last_sequence: int


class CatchUpData(TaggedMessage, frozen=True, tag="fill"):
    """Everything, in place of what the copy has, one part after the other; or, with `after`, changes that
    follow that one. `begun`: tells one filling from another."""

    shard: int
    epoch: int
    after: int
    last_epoch: int
    last_sequence: int
    records: tuple[IdempotencyRecord, ...] = ()
    operations: tuple[Operation, ...] = ()
    part: int = 0
    part_count: int = 1
    started_at: int = 0


class CatchUpPartAck(TaggedMessage, frozen=True, tag="filled"):
    """The copy has this part, not on its disk yet: the next one may come."""

    shard: int
    epoch: int
    session: str
    part: int


class Replicate(TaggedMessage, frozen=True, tag="copy"):
    shard: int
    epoch: int
    operation: Operation


class ReplicateAck(TaggedMessage, frozen=True, tag="copied"):
    """On the disk of the copy, up to this change."""

    shard: int
    epoch: int
    session: str
    sequence: int


class StaleEpoch(TaggedMessage, frozen=True, tag="deposed"):
    """There is a later epoch than the one that speaks."""

    shard: int
    epoch: int


class DigestRequest(TaggedMessage, frozen=True, tag="compare"):
    """A copy that stands there too is asked for its sum of this range, of what is kept after `kept_after`."""

    shard: int
    epoch: int
    sequence: int
    key_range: int
    expires_after: int


class DigestReply(TaggedMessage, frozen=True, tag="compared"):
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
