"""Defines the signals that conditions of a ladder may use, with their meaning, unit and range."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class SignalUnit(Enum):
    """The unit of a signal, which determines how values are written in the operator file."""

    SHARE = "share"  # a ratio; 0.8 is written 80%
    TIME = "time"  # microseconds; 250_000 is written 250ms
    COUNT = "count"  # a plain number


@dataclass(frozen=True, slots=True)
class Signal:
    """A quantity that conditions may compare with a limit."""

    name: str
    meaning: str  # explanation for operators
    unit: SignalUnit = SignalUnit.SHARE
    upper_bound: float = math.inf  # greatest possible value, in the signal's unit
    by_profile: bool = False  # whether a condition may name a profile, as in late(report)
    sampled: bool = False  # whether it is computed from finished requests, and so unknown without traffic


SIGNALS = {
    signal.name: signal
    for signal in (
        Signal(
            "load",
            "requested work divided by the measured capacity of the usable engines; for a profile: the work"
            " of all profiles that may use only engines of this profile, divided by the capacity of these"
            " engines."
            " Unknown if no engine can serve",
            by_profile=True,
        ),
        Signal("used", "as load, but only the work that the level in force admitted", by_profile=True),
        Signal(
            "held",
            "mean of the wait for the first attempt divided by the latency objective, including requests that"
            " still wait",
            by_profile=True,
            sampled=True,
        ),
        Signal(
            "late",
            "share of requests, by priority weight, that were answered after the latency objective, failed,"
            " or were abandoned by their client after it",
            upper_bound=1.0,
            by_profile=True,
            sampled=True,
        ),
        Signal(
            "shed",
            "share of requests, by priority weight, that load shedding rejected; requests that the level in"
            " force does not admit are left out",
            upper_bound=1.0,
            by_profile=True,
            sampled=True,
        ),
        Signal(
            "ready",
            "cores of usable engines divided by the recent peak number of listed cores",
            upper_bound=1.0,
        ),
        Signal(
            "cold", "cores of engines in slow start divided by the cores of usable engines", upper_bound=1.0
        ),
        Signal(
            "aside",
            "cores of ejected engines divided by the cores of all listed engines",
            upper_bound=1.0,
        ),
        Signal("core", "CPU time of the gateway's process divided by its limit", upper_bound=1.0),
        Signal("memory", "memory of the gateway's process divided by its limit", upper_bound=1.0),
        Signal(
            "descriptors",
            "open file descriptors of the gateway's process divided by their limit",
            upper_bound=1.0,
        ),
        Signal("stall", "longest recent stall of the gateway's event loop", unit=SignalUnit.TIME),
        Signal("asked", "received requests per second", unit=SignalUnit.COUNT, by_profile=True),
    )
}


class SignalKey(NamedTuple):
    """Identifies a signal of one profile or of all profiles together."""

    signal: str  # name of the signal in SIGNALS
    profile: str | None = None  # name of the profile; None: all profiles


@dataclass(frozen=True, slots=True)
class SignalValue:
    """The value of a signal at one evaluation."""

    value: float  # in the unit of the signal
    sample_count: float  # number of requests or endpoints from which it was computed


def format_key(key: SignalKey) -> str:
    """Returns the key as it is written in the operator file, for example late(report)."""
    return key.signal if key.profile is None else f"{key.signal}({key.profile})"


def format_value(value: float, unit: SignalUnit) -> str:
    """Returns the value as it is written in the operator file, for example 80%."""
    match unit:
        case SignalUnit.SHARE:
            return f"{value * 100:.4g}%"
        case SignalUnit.TIME:
            return f"{value / 1e6:.4g}s" if value >= 1e6 else f"{value / 1e3:.4g}ms"
        case SignalUnit.COUNT:
            return f"{value:.4g}"
