"""Choices that all gateways make alike without talking: rendezvous hashing and shuffle sharding.

Rendezvous hashing: Thaler and Ravishankar, 'Using Name-Based Mappings to Increase Hit Rates' (1998);
weighted as by Schindelhauer and Schomaker. The choice for a name changes only if the chosen candidate is
removed, or an added one comes before it. Shuffle sharding: each tenant gets a few endpoints by its own hash,
so that two tenants seldom have all of them in common."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b


def rendezvous_hash(name: str, candidate: bytes, seed: int = 0) -> float:
    """Returns a number in (0, 1], the same on every gateway for the same arguments."""
    digest = blake2b(name.encode(), digest_size=8, key=seed.to_bytes(8, "little"), person=b"cells")
    digest.update(b"\x00" + candidate)
    return (int.from_bytes(digest.digest(), "little") + 1) / 2**64


def choose_weighted(name: str, weights: Mapping[str, float], seed: int = 0) -> str | None:
    """Returns one of the candidates, each with a chance in proportion to its weight, or None if no weight is
    above 0.

    :param name: the name to choose for
    :param weights: weight by candidate
    :param seed: the same on all gateways
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
    """Returns the endpoints of the name's shard: `size` of each kind, or all where there are fewer. So a
    profile that is bound to a kind has endpoints in every shard.

    :param name: of a tenant
    :param endpoints_by_kind: endpoint ids by kind
    :param size: endpoints of each kind
    :param seed: the same on all gateways
    """
    chosen: list[bytes] = []
    for endpoint_ids in endpoints_by_kind.values():
        ranked = sorted(
            endpoint_ids, key=lambda endpoint_id: (rendezvous_hash(name, endpoint_id, seed), endpoint_id)
        )
        chosen += ranked[:size]
    return frozenset(chosen)


def full_overlap_probability(endpoint_count: int, size: int) -> float:
    """Returns the probability that two tenants have the same shard of `size` out of so many endpoints."""
    return 1 / math.comb(endpoint_count, min(size, endpoint_count))


def expected_overlap_ratio(endpoint_count: int, size: int) -> float:
    """Returns the mean part of a tenant's shard that another tenant's shard has too, 0 to 1."""
    return min(size, endpoint_count) / endpoint_count if endpoint_count else 0.0


def group_by_kind(endpoints: Iterable[tuple[bytes, int]]) -> dict[int, list[bytes]]:
    """Returns ids by kind, in the order of ids.

    :param endpoints: pairs of id and kind
    """
    groups: dict[int, list[bytes]] = {}
    for endpoint_id, kind in sorted(endpoints):
        groups.setdefault(kind, []).append(endpoint_id)
    return groups
