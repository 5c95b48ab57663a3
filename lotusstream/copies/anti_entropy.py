"""Digests of ranges of keys, and the comparison that finds diverged replicas.

Detects silent corruption of memory or disk: all replicas of an epoch apply the same operations, so that their
digests are equal at the same position. A replica that differs from the majority gets a new snapshot. Two
replicas that differ have no majority: nothing is repaired, and the divergence is reported to operators.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

from lotusstream.copies.messages import DigestReply, IdempotencyRecord
from lotusstream.copies.shards import ReplicaId

RANGE_COUNT = 16  # ranges of keys into which each shard is divided for comparisons
# Largest difference between the clocks of gateways. Digests omit records that expire within this time.
MAX_CLOCK_DIFFERENCE_US = 5_000_000
DIGEST_BYTES = 16


def range_of_key(key: str) -> int:
    """Return the range of a key, from 0 to `RANGE_COUNT` - 1."""
    return blake2b(key.encode(), digest_size=1, person=b"range").digest()[0] % RANGE_COUNT


def range_digest(records: Iterable[IdempotencyRecord], key_range: int, expires_after: int) -> bytes:
    """Return a digest of the records of one range. It doesn't depend on their order.

    :param expires_after: microseconds of the Unix clock; records that expire by then are omitted.
    """
    total = 0
    for record in records:
        if record.expires_at > expires_after and range_of_key(record.key) == key_range:
            encoded = msgspec.msgpack.encode(record)
            total ^= int.from_bytes(blake2b(encoded, digest_size=DIGEST_BYTES).digest())
    return total.to_bytes(DIGEST_BYTES)


@dataclass(slots=True)
class RangeComparison:
    """The comparison of one range of one shard, while digests of the backups arrive."""

    shard: int
    epoch: int
    sequence: int  # sequence number of the operation at which all replicas are compared
    key_range: int
    own_digest: bytes  # digest of the primary, which does the comparison
    expected: frozenset[ReplicaId]  # backups that were asked for a digest
    digests: dict[ReplicaId, bytes] = field(default_factory=dict)  # received digests by backup

    def matches(self, reply: DigestReply) -> bool:
        """Whether a reply is for the shard, epoch, sequence number and range of this comparison."""
        about = (reply.shard, reply.epoch, reply.sequence, reply.key_range)
        return about == (self.shard, self.epoch, self.sequence, self.key_range)

    def add_digest(self, replica: ReplicaId, digest: bytes) -> bool:
        """Add the digest of a backup.

        :returns: whether all backups have replied.
        """
        if replica in self.expected:
            self.digests[replica] = digest
        return len(self.digests) == len(self.expected)


@dataclass(frozen=True, slots=True)
class Divergence:
    """The result of a comparison of unequal digests. If neither field is set, there is no majority."""

    diverged: tuple[ReplicaId, ...] = ()  # backups that differ from the majority; they get a new snapshot
    # Backup of the majority that replaces a primary that differs from it; None: the primary stays.
    next_primary: ReplicaId | None = None


def find_divergence(own_digest: bytes, digests: Mapping[ReplicaId, bytes]) -> Divergence | None:
    """Compare the digests of a primary and its backups, and find the majority.

    :returns: None if all are equal.
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
