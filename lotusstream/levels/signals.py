"""The signals that a ladder's conditions may use: meaning, unit and range of each."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class SignalUnit(Enum):
    """How a signal's values are written in the operator file."""

    SHARE = "share"  # 0.8 is written 80%
    TIME = "time"  # microseconds; 250_000 is written 250ms
    COUNT = "count"


@dataclass(frozen=True, slots=True)
class Signal:
    """A quantity that conditions may compare with a limit."""

    name: str
    meaning: str  # for operators
    unit: SignalUnit = SignalUnit.SHARE
    upper_bound: float = math.inf  # no value is above it
    by_profile: bool = False  # a condition may name a profile, as in late(report)
    sampled: bool = False  # known only while requests finish; unknown without traffic


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
            upper_bound=1.0,
            by_profile=True,
            sampled=True,
        ),
        Signal(
            "shed",
            "share of the benefit that the module shed, without what the level itself does not admit",
            upper_bound=1.0,
            by_profile=True,
            sampled=True,
        ),
        Signal("ready", "cores of usable engines, over the most that were listed lately", upper_bound=1.0),
        Signal("cold", "cores of engines that still warm up, over the cores of usable ones", upper_bound=1.0),
        Signal(
            "aside",
            "cores of listed engines that the module has set aside, over those listed",
            upper_bound=1.0,
        ),
        Signal("core", "the gateway's own use of its core", upper_bound=1.0),
        Signal("memory", "the gateway's own memory, over its limit", upper_bound=1.0),
        Signal("descriptors", "the gateway's own descriptors, over their limit", upper_bound=1.0),
        Signal("stall", "the longest stall of the gateway's loop", unit=SignalUnit.TIME),
        Signal("asked", "commands asked for in a second", unit=SignalUnit.COUNT, by_profile=True),
    )
}


class SignalKey(NamedTuple):
    """A signal, of one profile or of all."""

    signal: str  # its name in SIGNALS
    profile: str | None = None  # name of the profile; None: all


@dataclass(frozen=True, slots=True)
class SignalValue:
    """What a signal was at one evaluation."""

    value: float  # in the unit of the signal
    sample_count: float  # requests, attempts or endpoints that it was computed from


def format_key(key: SignalKey) -> str:
    """Returns the key as the operator file has it, like late(report)."""
    return key.signal if key.profile is None else f"{key.signal}({key.profile})"


def format_value(value: float, unit: SignalUnit) -> str:
    """Returns the value as the operator file has it, like 80%."""
    match unit:
        case SignalUnit.SHARE:
            return f"{value * 100:.4g}%"
        case SignalUnit.TIME:
            return f"{value / 1e6:.4g}s" if value >= 1e6 else f"{value / 1e3:.4g}ms"
        case SignalUnit.COUNT:
            return f"{value:.4g}"
