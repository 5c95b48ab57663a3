"""Placement: maps keys to shards by hash, and shards to hosts by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

DEFAULT_SHARD_COUNT = 64
HASH_BYTES = 8


class ReplicaId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A gateway and its disk. The same gateway with a new, empty disk counts as another replica."""

    name: str  # name of the gateway
    disk: str  # identity of the disk, which is stored on it; "": not known


class ReplicaHost(msgspec.Struct, frozen=True, array_like=True):
    """The machine and the zone in which a replica runs."""

    replica_id: ReplicaId
    machine: str
    zone: str


def shard_of(key: str, shard_count: int = DEFAULT_SHARD_COUNT) -> int:
    """Return the shard of an idempotency key."""
    return int.from_bytes(blake2b(key.encode(), digest_size=HASH_BYTES).digest()) % shard_count


def _rendezvous_weight(shard: int, host: ReplicaHost) -> int:
    """Return a host's weight for a shard; a new disk doesn't change it, so that the host keeps its shards."""
    text = f"{shard}/{host.replica_id.name}".encode()
    return int.from_bytes(blake2b(text, digest_size=HASH_BYTES).digest())


def choose_hosts(
    shard: int, hosts: Iterable[ReplicaHost], count: int, chosen: Iterable[ReplicaHost] = ()
) -> list[ReplicaHost]:
    """Choose hosts for a shard, never two on one machine, and in as many zones as possible.

    Rendezvous hashing (Thaler and Ravishankar 1998) moves few shards when hosts are added or removed.

    :param count: number of hosts of the shard, including those `chosen` before.
    :returns: the hosts to add; fewer than needed if there are not enough machines.
    """
    taken = list(chosen)
    added: list[ReplicaHost] = []
    candidates = sorted(hosts, key=lambda each: (-_rendezvous_weight(shard, each), each.replica_id))
    while len(taken) < count:
        machines = {each.machine for each in taken}
        zones = {each.zone for each in taken}
        eligible = [each for each in candidates if each.machine not in machines]
        if not eligible:
            break
        best = next((each for each in eligible if each.zone not in zones), eligible[0])
        taken.append(best)
        added.append(best)
        candidates.remove(best)
    return added
