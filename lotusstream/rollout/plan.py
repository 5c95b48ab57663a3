"""The plan of a rollout: versions, stages, and the limits that it keeps."""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b

import msgspec


class RolloutVersion(msgspec.Struct, frozen=True, array_like=True):
    """Of settings or of the program. `hash`: of what it consists of. `reads`, `writes`: formats of peers and
    files, each a name and a number."""

    number: int
    hash: str
    parent: str = ""
    author: str = ""
    reads: frozenset[str] = frozenset()
    writes: frozenset[str] = frozenset()


class RolloutPlan(msgspec.Struct, frozen=True, array_like=True):
    """`stages`: shares of the fleet that are changed when each one ends, 0 for a single gateway; the last is
    1. `bake`, `patience`: microseconds that a stage is watched, and that one gateway may take. `most_down`:
    gateways that are being changed at once, `most_back` on the way back. `keep`: the share of gateways that
    stay ready. `alarms`: the chance that a change that is no worse is stopped, over all of it."""

    number: int
    old: RolloutVersion
    new: RolloutVersion
    stages: tuple[float, ...] = (0.0, 0.05, 0.25, 1.0)
    bake: int = 300_000_000
    patience: int = 60_000_000
    most_down: int = 1
    most_back: int = 4
    keep: float = 0.9
    alarms: float = 0.01
    no_way_back: bool = False  # said so by whoever began it


class RolloutPlanError(Exception):
    """The plan can't be carried out; the text says what is wrong and gives a value that works."""


def check_plan(plan: RolloutPlan, gateways: int) -> None:
    """Checks a plan for a fleet of so many gateways. Raises RolloutPlanError."""
    stages = plan.stages
    if not stages or stages[-1] != 1 or list(stages) != sorted(set(stages)) or stages[0] < 0:
        raise RolloutPlanError(f"stages {stages}: growing shares from 0 that end in 1 would do")
    if not 0 <= plan.keep < 1 or plan.keep * gateways > gateways - 1:
        raise RolloutPlanError(
            f"keep {plan.keep:g} of {gateways} lets none be changed; {1 - 1 / gateways:.2g} would"
        )
    if not 0 < plan.alarms < 0.5:
        raise RolloutPlanError(f"a rate of false alarms of {plan.alarms:g}; 0.01 would do")
    if plan.most_down < 1 or plan.most_back < 1:
        raise RolloutPlanError("none may be down at once; 1 would do")
    if plan.old.hash == plan.new.hash:
        raise RolloutPlanError(f"old and new are the same: {plan.old.hash}")
    if (lost := plan.new.writes - plan.old.reads) and not plan.no_way_back:
        formats = ", ".join(sorted(lost))
        raise RolloutPlanError(f"no way back: the old one can't read {formats}; say so, or leave them off")


def change_order(plan: RolloutPlan, zones: Mapping[str, str]) -> list[str]:
    """Returns the gateways in the order in which they change: spread over zones, and drawn by a hash of the
    change, so that it is not always the same gateways that go first."""
    draws = {
        name: blake2b(f"{plan.number}/{plan.new.hash}/{name}".encode(), digest_size=8).digest()
        for name in zones
    }
    by_zone: dict[str, list[str]] = {}
    for name in sorted(zones, key=lambda each: draws[each]):
        by_zone.setdefault(zones[name], []).append(name)
    ranks = {
        name: ((at + 0.5) / len(names), draws[name])
        for names in by_zone.values()
        for at, name in enumerate(names)
    }
    return sorted(zones, key=lambda each: ranks[each])


def stage_ends(plan: RolloutPlan, gateways: int) -> list[int]:
    """Returns how many gateways are changed when each stage ends."""
    return [max(1, min(gateways, int(share * gateways + 0.5))) for share in plan.stages]
