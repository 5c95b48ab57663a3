"""The signals that a ladder may speak of: what each means, its unit, and what it can reach."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class Unit(Enum):
    SHARE = "share"  # written 80%
    TIME = "time"  # microseconds, written 250ms
    COUNT = "count"


@dataclass(frozen=True, slots=True)
class Signal:
    """`highest`: what it can't pass. `by_profile`: may name one, as in late(report). `sampled`: known only
    while something comes to its end, so that silence leaves it unknown."""

    name: str
    meaning: str
    unit: Unit = Unit.SHARE
    highest: float = math.inf
    by_profile: bool = False
    sampled: bool = False


SIGNALS = {
    signal.name: signal
    for signal in (
        Signal(
            "load",
            "work asked for, over what the usable engines are seen to do; with a profile: of the engines it"
            " may use, by the profiles that can go nowhere else. Unknown where no engine can serve",
            by_profile=True,
        ),
        Signal("used", "as load, but of the work that was admitted", by_profile=True),
        Signal(
            "held",
            "time before the first send, over the latency target: the mean, what is still held counted too",
            by_profile=True,
            sampled=True,
        ),
        Signal(
            "late",
            "share of the benefit that was answered past its latency target, failed, or left by its client",
            highest=1.0,
            by_profile=True,
            sampled=True,
        ),
        Signal(
            "shed",
            "share of the benefit that the module shed, without what the level itself does not admit",
            highest=1.0,
            by_profile=True,
            sampled=True,
        ),
        Signal("ready", "cores of usable engines, over the most that were listed lately", highest=1.0),
        Signal("cold", "cores of engines that still warm up, over the cores of usable ones", highest=1.0),
        Signal(
            "aside", "cores of listed engines that the module has set aside, over those listed", highest=1.0
        ),
        Signal("core", "the gateway's own use of its core", highest=1.0),
        Signal("memory", "the gateway's own memory, over its limit", highest=1.0),
        Signal("descriptors", "the gateway's own descriptors, over their limit", highest=1.0),
        Signal("stall", "the longest stall of the gateway's loop", unit=Unit.TIME),
        Signal("asked", "commands asked for in a second", unit=Unit.COUNT, by_profile=True),
    )
}

Key = tuple[str, str | None]  # a signal's name, and a profile's


@dataclass(frozen=True, slots=True)
class Value:
    """`rests_on`: what it was taken from: commands, sends or engines, as many as there were."""

    value: float
    rests_on: float


def spelled(key: Key) -> str:
    return key[0] if key[1] is None else f"{key[0]}({key[1]})"


def written(value: float, unit: Unit) -> str:
    """As the operator file has it."""
    match unit:
        case Unit.SHARE:
            return f"{value * 100:.4g}%"
        case Unit.TIME:
            return f"{value / 1e6:.4g}s" if value >= 1e6 else f"{value / 1e3:.4g}ms"
        case Unit.COUNT:
            return f"{value:.4g}"
