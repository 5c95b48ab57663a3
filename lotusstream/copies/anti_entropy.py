"""A slow look at whether copies still hold the same: sums of ranges of keys, one at a time, by their home.

Guards against memory or a disk that has changed what it holds without a word: every disk of an epoch was
told the same, so at the same change all sums are equal. Of three or more the odd one out is filled anew;
of two nobody can tell which is right, and people are told.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

from lotusstream.copies.messages import IdempotencyRecord
from lotusstream.copies.shards import ReplicaId

RANGE_COUNT = 16
MAX_CLOCK_DIFFERENCE_US = (
    5_000_000  # microseconds by which clocks differ at most: what is kept no longer is left out
)


def range_of_key(key: str) -> int:
    return blake2b(key.encode(), digest_size=1, person=b"range").digest()[0] % RANGE_COUNT


def range_digest(holdings: Iterable[IdempotencyRecord], wanted: int, kept_after: int) -> bytes:
    """Of the holdings of one range, whatever their order."""
    total = 0
    for each in holdings:
        if each.expires_at > kept_after and range_of_key(each.key) == wanted:
            total ^= int.from_bytes(blake2b(msgspec.msgpack.encode(each), digest_size=16).digest())
    return total.to_bytes(16)


@dataclass(slots=True)
class RangeComparison:
    """One range of one shard, while its sums come in."""

    shard: int
    epoch: int
    sequence: int
    key_range: int
    own_digest: bytes
    expected: frozenset[ReplicaId]
    digests: dict[ReplicaId, bytes] = field(default_factory=dict)

    def add_digest(self, place: ReplicaId, told: bytes) -> bool:
        """True once all have said theirs."""
        if place in self.expected:
            self.digests[place] = told
        return len(self.digests) == len(self.expected)


@dataclass(frozen=True, slots=True)
class Divergence:
    """`fill`: copies that are to be filled anew. `ahead`: who is to be the home instead. Both empty: of two
    that differ nobody can tell which is right."""

    diverged: tuple[ReplicaId, ...] = ()
    next_primary: ReplicaId | None = None


def find_divergence(mine: bytes, sums: Mapping[ReplicaId, bytes]) -> Divergence | None:
    """None where all are equal. The home's word counts as one."""
    others = tuple(sorted(place for place, told in sums.items() if told != mine))
    if not others:
        return None
    counts = Counter([mine, *sums.values()])
    (most, count), *rest = counts.most_common()
    if count < 2 or (rest and rest[0][1] == count):
        return Divergence()
    if most == mine:
        return Divergence(diverged=others)
    return Divergence(next_primary=min(place for place, told in sums.items() if told == most))
