"""Drawing lots that all gateways draw alike: rendezvous hashing of tenants over cells, and shards of a
cell's engines.

Rendezvous hashing: Thaler and Ravishankar, 'Using Name-Based Mappings to Increase Hit Rates' (1998);
weighted as by Schindelhauer and Schomaker. A name's choice changes only if what it chose goes, or what
comes is drawn before it. Shuffle sharding: each tenant has a few engines of its own draw, so that two
tenants seldom share them all.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b


def rendezvous_hash(name: str, of: bytes, seed: int = 0) -> float:
    """In (0, 1], the same everywhere for the same name and seed."""
    digest = blake2b(name.encode(), digest_size=8, key=seed.to_bytes(8, "little"), person=b"cells")
    digest.update(b"\x00" + of)
    return (int.from_bytes(digest.digest(), "little") + 1) / 2**64


def choose_weighted(name: str, among: Mapping[str, float], seed: int = 0) -> str | None:
    """One of the candidates, each by its weight; None where none has any."""
    best, found = math.inf, None
    for candidate, weight in sorted(among.items()):
        if (
            weight > 0
            and (cost := -math.log(rendezvous_hash(name, candidate.encode(), seed)) / weight) < best
        ):
            best, found = cost, candidate
    return found


def shuffle_shard(
    name: str, kinds: Mapping[int, Sequence[bytes]], count: int, seed: int = 0
) -> frozenset[bytes]:
    """`count` engines of each kind (all where there are fewer): a profile bound to a kind has its engines
    in every shard."""
    taken: list[bytes] = []
    for engines in kinds.values():
        taken += sorted(engines, key=lambda engine: (rendezvous_hash(name, engine, seed), engine))[:count]
    return frozenset(taken)


def full_overlap_probability(engines: int, count: int) -> float:
    """The chance that two tenants have the same `count` of so many engines."""
    return 1 / math.comb(engines, min(count, engines))


def expected_overlap_ratio(engines: int, count: int) -> float:
    """The part of a tenant's engines that another has too, on average."""
    return min(count, engines) / engines if engines else 0.0


def group_by_kind(engines: Iterable[tuple[bytes, int]]) -> dict[int, list[bytes]]:
    """Ids by kind, in the order of ids."""
    found: dict[int, list[bytes]] = {}
    for engine, kind in sorted(engines):
        found.setdefault(kind, []).append(engine)
    return found
