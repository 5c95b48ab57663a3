"""Digests of ranges of keys, and the judgement whether replicas that should be equal have diverged.

Guards against memory or a disk that changes records silently: all replicas of an epoch apply the same
operations, so at the same position all digests are equal. Of three or more replicas the one that differs gets
a new snapshot; of two nobody can tell which is right, and operators are told.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

from lotusstream.copies.messages import DigestReply, IdempotencyRecord
from lotusstream.copies.shards import ReplicaId

RANGE_COUNT = 16
MAX_CLOCK_DIFFERENCE_US = 5_000_000  # between gateways: what expires sooner is left out of a digest
DIGEST_BYTES = 16


def range_of_key(key: str) -> int:
    """Return the range of a key, from 0 to `RANGE_COUNT` - 1."""
    return blake2b(key.encode(), digest_size=1, person=b"range").digest()[0] % RANGE_COUNT


def range_digest(records: Iterable[IdempotencyRecord], key_range: int, expires_after: int) -> bytes:
    """Return a digest of the records of one range, whatever their order.

    :param expires_after: microseconds of the Unix clock; records that expire by then are left out.
    """
    total = 0
    for record in records:
        if record.expires_at > expires_after and range_of_key(record.key) == key_range:
            encoded = msgspec.msgpack.encode(record)
            total ^= int.from_bytes(blake2b(encoded, digest_size=DIGEST_BYTES).digest())
    return total.to_bytes(DIGEST_BYTES)


@dataclass(slots=True)
class RangeComparison:
    """One range of one shard, while the backups' digests come in."""

    shard: int
    epoch: int
    sequence: int  # position of all replicas
    key_range: int
    own_digest: bytes  # of the primary
    expected: frozenset[ReplicaId]  # backups that are to reply
    digests: dict[ReplicaId, bytes] = field(default_factory=dict)

    def matches(self, reply: DigestReply) -> bool:
        """Whether a reply is about this comparison."""
        about = (reply.shard, reply.epoch, reply.sequence, reply.key_range)
        return about == (self.shard, self.epoch, self.sequence, self.key_range)

    def add_digest(self, replica: ReplicaId, digest: bytes) -> bool:
        """Note a backup's digest.

        :returns: True once all have replied.
        """
        if replica in self.expected:
            self.digests[replica] = digest
        return len(self.digests) == len(self.expected)


@dataclass(frozen=True, slots=True)
class Divergence:
    """Replicas differ. With neither field set no majority shows which of them is right."""

    diverged: tuple[ReplicaId, ...] = ()  # backups that are to get a new snapshot
    next_primary: ReplicaId | None = None  # the primary itself differs: a backup to replace it


def find_divergence(own_digest: bytes, digests: Mapping[ReplicaId, bytes]) -> Divergence | None:
    """Judge the digests of a primary and its backups by majority.

    :returns: None where all are equal.
    """
    differing = tuple(sorted(replica for replica, digest in digests.items() if digest != own_digest))
    if not differing:
        return None
    counts = Counter([own_digest, *digests.values()])
    (majority, count), *others = counts.most_common()
    if count < 2 or (others and others[0][1] == count):
        return Divergence()
    if majority == own_digest:
        return Divergence(diverged=differing)
    return Divergence(next_primary=min(replica for replica, digest in digests.items() if digest == majority))
