"""Defects planted on purpose in the copies: each has to be caught by the seeds."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

from lotusstream.copies import messages as ms
from lotusstream.copies.manager import Manager
from lotusstream.copies.replica import Replicas, Shard
from lotusstream.lab.copies import CopyScene, CopyWorld, play
from lotusstream.lab.world import Broken

SCENE = CopyScene()


@dataclass(frozen=True, slots=True)
class Planted:
    name: str
    breaks: Callable[[], contextlib.AbstractContextManager[Any]]
    scene: CopyScene = SCENE


def _one_disk_is_enough() -> Any:
    """Promised once the home's own disk has it."""
    drive = Replicas._drive

    def hasty(self: Replicas, shard: Shard) -> None:
        copied, shard.copied = shard.copied, dict.fromkeys(shard.copies(), 1 << 60)
        drive(self, shard)
        shard.copied = copied

    return mock.patch.object(Replicas, "_drive", hasty)


def _before_its_own_disk() -> Any:
    """A copy says so before it has written a change down."""
    say = Replicas._say

    def hasty(self: Replicas, to: Any, word: Any, *, rests: bool) -> None:
        say(self, to, word, rests=False)

    return mock.patch.object(Replicas, "_say", hasty)


def _no_lease() -> Any:
    """A home that is cut off goes on as one."""
    return mock.patch.object(Replicas, "leased", property(lambda self: True))


def _joining_counts_at_once() -> Any:
    """A disk that is being filled may become the home."""
    mend = Manager._mend

    def eager(self: Manager, now: int, known: ms.Assigned, out: Any) -> bool:
        whole = replace_assigned(known)
        return mend(self, now, whole, out)

    return mock.patch.object(Manager, "_mend", eager)


def replace_assigned(known: ms.Assigned) -> ms.Assigned:
    backups = (*known.backups, *known.joining)
    return ms.Assigned(known.shard, known.epoch, known.home, known.session, backups)


def _wiped_disk_counts() -> Any:
    """A lost disk comes back empty under its old name."""

    def lose(self: CopyWorld) -> None:
        node = self.draw.choice(list(self.gateways.values()))
        self.down(node)
        node.disk = type(node.disk)()
        self.back(node, 200_000)

    return mock.patch.object(CopyWorld, "_fault_lose", lose)


def _unpromised_is_told() -> Any:
    """Whoever asks hears of a change that is not on all disks yet."""
    able = Replicas._able

    def open_to_all(self: Replicas, ticket: int, key: str) -> Shard | None:
        shard = able(self, ticket, key)
        if shard is not None:
            shard.open_keys.pop(key, None)
        return shard

    return mock.patch.object(Replicas, "_able", open_to_all)


def _repair_from_what_is_behind() -> Any:
    """A copy is taken for whole whatever it lacks."""
    fill = Replicas._fill

    def stale(self: Replicas, shard: Shard, to: Any, stand: ms.Stand) -> None:
        fill(self, shard, to, stand)
        shard.copied[to] = shard.last[1]

    return mock.patch.object(Replicas, "_fill", stale)


HARD = replace(SCENE, faults=("lose", "lose", "crash", "cut"), fault_every=500_000)
POWER = replace(SCENE, faults=("power", "lose", "lose"), fault_every=350_000)
CUTS = replace(SCENE, faults=("cut",), fault_every=1_500_000, patience=400_000, repeat=0.8, clients=8)
PLANTED = (
    Planted("promised on one disk", _one_disk_is_enough, HARD),
    Planted("a copy answers before its disk", _before_its_own_disk, replace(POWER, sync=300_000)),
    Planted("a home without a lease", _no_lease, CUTS),
    Planted("a joining disk becomes home", _joining_counts_at_once, HARD),
    Planted("a wiped disk counts", _wiped_disk_counts, HARD),
    Planted("what may be lost is told", _unpromised_is_told, replace(HARD, sync=150_000, patience=200_000)),
    Planted("a repair from what is behind", _repair_from_what_is_behind, replace(HARD, loss=0.2)),
)


def caught(planted: Planted, seeds: int) -> tuple[int, str] | None:
    """The first seed that shows a broken promise, and what it says; not one that only never ends."""
    with planted.breaks():
        for seed in range(seeds):
            try:
                play(seed, planted.scene)
            except Broken as error:
                if "though all" not in str(error) and "hardly" not in str(error):
                    return seed, str(error)
            except (AssertionError, ValueError, IndexError, KeyError) as error:
                return seed, f"seed {seed}: {type(error).__name__}"
    return None
