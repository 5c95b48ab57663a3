"""The plan of a rollout: versions, stages, and the limits that it keeps."""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b

import msgspec


class RolloutVersion(msgspec.Struct, frozen=True, array_like=True):
    """A version of the settings or of the program. The order of fields is the stored form."""

    number: int
    hash: str  # digest of the content
    parent: str = ""  # hash of the version that this one was made from; "": none
    author: str = ""
    # File formats that this version can read, each as a name and a number: "log-2".
    reads: frozenset[str] = frozenset()
    writes: frozenset[str] = frozenset()  # file formats that this version writes


class RolloutPlan(msgspec.Struct, frozen=True, array_like=True):
    """The change that a rollout makes, and its limits. The order of fields is the stored form."""

    number: int  # number of this plan
    old: RolloutVersion
    new: RolloutVersion
    # Share of the fleet that is changed at the end of each stage, increasing to 1. 0: a single gateway.
    stages: tuple[float, ...] = (0.0, 0.05, 0.25, 1.0)
    bake_time_us: int = 300_000_000  # minimum time between the last change of a stage and the next stage
    change_timeout_us: int = 60_000_000  # time within which a gateway must run the version that it was sent
    max_concurrent_changes: int = 1  # how many gateways may change at the same time
    max_concurrent_rollbacks: int = 4  # how many gateways may be rolled back at the same time
    min_ready_share: float = 0.9  # minimum share of the gateways, 0 to 1, that must stay ready
    false_alarm_probability: float = 0.01  # greatest probability that a change that is no worse is stopped
    # Whether the new version may write formats that the old one can't read, so that it can't be rolled back.
    allow_irreversible: bool = False


class RolloutPlanError(Exception):
    """The plan can't be carried out; the message names the invalid value and what is valid."""


def check_plan(plan: RolloutPlan, gateways: int) -> None:
    """Checks a plan for a fleet of this many gateways. Raises RolloutPlanError."""
    stages = plan.stages
    if not stages or stages[-1] != 1 or list(stages) != sorted(set(stages)) or stages[0] < 0:
        raise RolloutPlanError(f"stages: expected increasing shares from 0 that end in 1, got {stages}")
    if not 0 <= plan.min_ready_share < 1 or plan.min_ready_share * gateways > gateways - 1:
        raise RolloutPlanError(
            f"min_ready_share: expected about {1 - 1 / gateways:.2g} at most, got {plan.min_ready_share:g}:"
            f" none of {gateways} gateways could be changed"
        )
    if not 0 < plan.false_alarm_probability < 0.5:
        raise RolloutPlanError(
            "false_alarm_probability: expected between 0 and 0.5, such as 0.01,"
            f" got {plan.false_alarm_probability:g}"
        )
    if plan.max_concurrent_changes < 1 or plan.max_concurrent_rollbacks < 1:
        raise RolloutPlanError(
            "max_concurrent_changes and max_concurrent_rollbacks: expected 1 or more,"
            f" got {plan.max_concurrent_changes} and {plan.max_concurrent_rollbacks}"
        )
    if plan.old.hash == plan.new.hash:
        raise RolloutPlanError(f"old and new version are the same: both have the hash {plan.old.hash}")
    if (lost := plan.new.writes - plan.old.reads) and not plan.allow_irreversible:
        formats = ", ".join(sorted(lost))
        raise RolloutPlanError(
            f"rollback is impossible: the old version can't read {formats}, which the new one writes;"
            " set allow_irreversible, or don't write them"
        )


def change_order(plan: RolloutPlan, zones: Mapping[str, str]) -> list[str]:
    """Returns the gateways in the order in which they change, spread over their zones.

    `zones` maps each gateway to its zone. The order depends on a hash of the plan's number, the new version
    and the gateway's name, so that different rollouts begin with different gateways.
    """
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
    """Returns, for each stage, the number of changed gateways at its end."""
    return [max(1, min(gateways, int(share * gateways + 0.5))) for share in plan.stages]
