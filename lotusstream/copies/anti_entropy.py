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

from lotusstream.copies.messages import Holding
from lotusstream.copies.shards import Place

RANGES = 16
APART = 5_000_000  # microseconds by which clocks differ at most: what is kept no longer is left out


def range_of(key: str) -> int:
    return blake2b(key.encode(), digest_size=1, person=b"range").digest()[0] % RANGES


def sum_of(holdings: Iterable[Holding], wanted: int, kept_after: int) -> bytes:
    """Of the holdings of one range, whatever their order."""
    total = 0
    for each in holdings:
        if each.until > kept_after and range_of(each.key) == wanted:
            total ^= int.from_bytes(blake2b(msgspec.msgpack.encode(each), digest_size=16).digest())
    return total.to_bytes(16)


@dataclass(slots=True)
class Comparing:
    """One range of one shard, while its sums come in."""

    shard: int
    epoch: int
    seq: int
    range: int
    mine: bytes
    waits: frozenset[Place]
    sums: dict[Place, bytes] = field(default_factory=dict)

    def take(self, place: Place, told: bytes) -> bool:
        """True once all have said theirs."""
        if place in self.waits:
            self.sums[place] = told
        return len(self.sums) == len(self.waits)


@dataclass(frozen=True, slots=True)
class Odd:
    """`fill`: copies that are to be filled anew. `ahead`: who is to be the home instead. Both empty: of two
    that differ nobody can tell which is right."""

    fill: tuple[Place, ...] = ()
    ahead: Place | None = None


def odd_ones(mine: bytes, sums: Mapping[Place, bytes]) -> Odd | None:
    """None where all are equal. The home's word counts as one."""
    others = tuple(sorted(place for place, told in sums.items() if told != mine))
    if not others:
        return None
    counts = Counter([mine, *sums.values()])
    (most, count), *rest = counts.most_common()
    if count < 2 or (rest and rest[0][1] == count):
        return Odd()
    if most == mine:
        return Odd(fill=others)
    return Odd(ahead=min(place for place, told in sums.items() if told == most))
