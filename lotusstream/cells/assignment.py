"""Rendezvous hashing and shuffle sharding, by which all gateways make the same choices independently.

Rendezvous hashing: Thaler and Ravishankar, 'Using Name-Based Mappings to Increase Hit Rates' (1998);
weighted as by Schindelhauer and Schomaker. The choice for a name changes only if the chosen candidate is
removed, or if an added candidate ranks higher. Shuffle sharding: the hash of its name gives each tenant a few
endpoints, so that two tenants seldom have all of them in common."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b


def rendezvous_hash(name: str, candidate: bytes, seed: int = 0) -> float:
    """Returns a hash in (0, 1], which is the same on every gateway for the same arguments."""
    digest = blake2b(name.encode(), digest_size=8, key=seed.to_bytes(8, "little"), person=b"cells")
    digest.update(b"\x00" + candidate)
    return (int.from_bytes(digest.digest(), "little") + 1) / 2**64


def choose_weighted(name: str, weights: Mapping[str, float], seed: int = 0) -> str | None:
    """Returns one of the candidates with a probability proportional to its weight, or None if no weight is
    above 0.

    :param name: the name for which a candidate is chosen
    :param weights: weight by candidate
    :param seed: seed of the hash, the same on all gateways
    """
    lowest_cost = math.inf
    chosen: str | None = None
    for candidate, weight in sorted(weights.items()):
        if weight <= 0:
            continue
        cost = -math.log(rendezvous_hash(name, candidate.encode(), seed)) / weight
        if cost < lowest_cost:
            lowest_cost = cost
            chosen = candidate
    return chosen


def shuffle_shard(
    name: str, endpoints_by_kind: Mapping[int, Sequence[bytes]], size: int, seed: int = 0
) -> frozenset[bytes]:
    """Returns the endpoint ids of a tenant's shard. The shard has `size` endpoints of each kind, or all if
    there are fewer, so that a profile that needs a certain kind finds endpoints in every shard.

    :param name: name of the tenant
    :param endpoints_by_kind: endpoint ids by kind
    :param size: number of endpoints of each kind
    :param seed: seed of the hash, the same on all gateways
    """
    chosen: list[bytes] = []
    for endpoint_ids in endpoints_by_kind.values():
        ranked = sorted(
            endpoint_ids, key=lambda endpoint_id: (rendezvous_hash(name, endpoint_id, seed), endpoint_id)
        )
        chosen += ranked[:size]
    return frozenset(chosen)


def full_overlap_probability(endpoint_count: int, size: int) -> float:
    """Returns the probability that two tenants have the same shard of `size` endpoints."""
    return 1 / math.comb(endpoint_count, min(size, endpoint_count))


def expected_overlap_ratio(endpoint_count: int, size: int) -> float:
    """Returns the expected ratio of a tenant's shard that is also in another tenant's shard, 0 to 1."""
    return min(size, endpoint_count) / endpoint_count if endpoint_count else 0.0


def group_by_kind(endpoints: Iterable[tuple[bytes, int]]) -> dict[int, list[bytes]]:
    """Returns endpoint ids by kind, sorted by id.

    :param endpoints: pairs of endpoint id and kind
    """
    groups: dict[int, list[bytes]] = {}
    for endpoint_id, kind in sorted(endpoints):
        groups.setdefault(kind, []).append(endpoint_id)
    return groups
