"""Where things are held: keys by shard, shards by rendezvous hashing over machines and zones."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

DEFAULT_SHARD_COUNT = 64


class ReplicaId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A holder is its disk: the same name on another disk is another holder, and has nothing."""

    name: str
    disk: str


class ReplicaHost(msgspec.Struct, frozen=True, array_like=True):
    replica_id: ReplicaId
    machine: str
    zone: str


def shard_of(key: str, shards: int = DEFAULT_SHARD_COUNT) -> int:
    return int.from_bytes(blake2b(key.encode(), digest_size=8).digest()) % shards


def _rendezvous_weight(shard: int, holder: ReplicaHost) -> int:
    """By name, not by disk: a holder that comes back on a new disk gets what it had."""
    told = f"{shard}/{holder.replica_id.name}".encode()
    return int.from_bytes(blake2b(told, digest_size=8).digest())


def choose_hosts(
    shard: int, holders: Iterable[ReplicaHost], count: int, among: Iterable[ReplicaHost] = ()
) -> list[ReplicaHost]:
    """Those to take in beside `among`, so that there are `count`: never two on one machine, and in as many
    zones as can be. Rendezvous hashing (Thaler and Ravishankar 1998): few shards move as holders come and go.
    """
    taken = list(among)
    found = list[ReplicaHost]()
    left = sorted(holders, key=lambda each: (-_rendezvous_weight(shard, each), each.replica_id))
    while len(taken) < count:
        machines = {each.machine for each in taken}
        zones = {each.zone for each in taken}
        free = [each for each in left if each.machine not in machines]
        if not free:
            break
        best = next((each for each in free if each.zone not in zones), free[0])
        taken.append(best)
        found.append(best)
        left.remove(best)
    return found
