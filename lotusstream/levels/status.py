"""The state of the levels that `lotusstream ctl levels` shows."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.levels.condition import SignalValues, evaluate
from lotusstream.levels.history import LevelChange
from lotusstream.levels.ladder import Ladder
from lotusstream.levels.signals import SIGNALS, SignalValue, format_key, format_value


@dataclass(frozen=True, slots=True)
class LevelStatus:
    """A level and the present state of its conditions."""

    name: str
    enter: str  # the enter condition as text
    leave: str  # the leave condition as text
    enter_holds: bool | None  # whether the enter condition holds now; None: unknown
    leave_holds: bool | None  # whether the leave condition holds now; None: unknown
    admit: dict[str, float]  # least admitted ratio by profile name, 0 to 1


@dataclass(frozen=True, slots=True)
class SignalStatus:
    """A signal and its present value."""

    name: str  # the signal's key, formatted by `format_key`
    value: SignalValue | None  # present value; None: unknown
    text: str  # the value, formatted by `format_value`, or "unknown"


@dataclass(frozen=True, slots=True)
class LevelsStatus:
    """The level in force, its cause, and the state of the signals and conditions."""

    level: str  # name of the level in force
    level_number: int  # number of the level in force; 0: full service
    since: int  # when the level came in force, microseconds
    held_until: int | None  # when the level hold ends, microseconds; None: the level is not held
    last_change: LevelChange | None  # latest level change; None: no change yet
    ends_when: str  # the condition or event that ends the level
    next_change_at: int  # time at which min_interval and the level's min_time are both over, microseconds
    admitted_ratios: dict[str, float]  # admitted ratio by profile name, 0 to 1
    retries_allowed: api.RetriesAllowed
    stopping: bool  # a graceful shutdown has begun
    signals: tuple[SignalStatus, ...]
    levels: tuple[LevelStatus, ...]
    change_count: int  # level changes since the start of the gateway


def signal_statuses(values: SignalValues) -> tuple[SignalStatus, ...]:
    """Returns the signals, sorted by name."""
    statuses = []
    for key, value in values.items():
        text = format_value(value.value, SIGNALS[key.signal].unit) if value else "unknown"
        statuses.append(SignalStatus(format_key(key), value, text))
    return tuple(sorted(statuses, key=lambda status: status.name))


def level_statuses(ladder: Ladder, values: SignalValues) -> tuple[LevelStatus, ...]:
    """Returns the state of each level, in the order of the ladder."""
    return tuple(
        LevelStatus(
            name=level.name,
            enter=str(level.enter),
            leave=str(level.leave),
            enter_holds=evaluate(level.enter.expression, values),
            leave_holds=evaluate(level.leave.expression, values),
            admit=dict(level.admit),
        )
        for level in ladder.levels
    )
