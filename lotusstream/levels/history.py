"""A bounded history of level changes and their causes."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from lotusstream.levels.condition import Comparison, SignalValues
from lotusstream.levels.signals import SIGNALS, format_key, format_value

MAX_CHANGES = 200  # changes that the history keeps


class ChangeCause(Enum):
    """The cause of a level change. The values appear in replies to operators and in the log."""

    SIGNALS = "signals"  # a condition of the ladder has held for its dwell time
    LOST_CORES = "lost cores"  # a higher level was entered within the minimum interval, after a loss of cores
    OPERATOR = "hand"  # an operator has held or released a level
    HOLD_ENDED = "hold ended"  # a level hold has expired
    START = "start"  # the initial level after the start of the gateway
    RELOAD = "reload"  # the ladder was replaced


@dataclass(frozen=True, slots=True)
class SignalReading:
    """The value of a signal at the time of a level change."""

    signal: str  # the signal's key, formatted by `format_key`
    value: float  # in the unit of the signal
    text: str  # the value, formatted by `format_value`
    sample_count: float  # number of samples from which the value was computed


def signal_readings(
    comparisons_to_record: Iterable[Comparison], values: SignalValues
) -> tuple[SignalReading, ...]:
    """Returns a reading of each signal in the comparisons, without unknown signals and duplicates."""
    readings = []
    for key in dict.fromkeys(comparison.key for comparison in comparisons_to_record):
        value = values.get(key)
        if value is not None:
            text = format_value(value.value, SIGNALS[key.signal].unit)
            readings.append(SignalReading(format_key(key), value.value, text, value.sample_count))
    return tuple(readings)


@dataclass(frozen=True, slots=True)
class LevelChange:
    """A change of the level in force, or the start or end of a level hold."""

    changed_at: int  # time of the change, microseconds
    source: str  # name of the previous level
    target: str  # name of the new level
    level_number: int  # number of the new level; 0: full service
    cause: ChangeCause
    condition: str  # the condition that caused the change, or a description of another cause
    # Signals in the condition that caused the change; for another cause, in the new level's conditions.
    readings: tuple[SignalReading, ...]
    ends_when: str  # the condition or event that ends the new level

    def __str__(self) -> str:
        text = f"{self.source} -> {self.target}, by {self.cause.value}: {self.condition}"
        if self.readings:
            readings = ", ".join(f"{reading.signal} {reading.text}" for reading in self.readings)
            text += f" ({readings})"
        return f"{text}; ends when {self.ends_when}"


class ChangeHistory:
    """The last MAX_CHANGES changes, the oldest first. `count` is the number of all changes ever added."""

    def __init__(self) -> None:
        self._changes: deque[LevelChange] = deque(maxlen=MAX_CHANGES)
        self.count = 0

    def add(self, change: LevelChange) -> None:
        """Adds a change, and drops the oldest change if there are more than MAX_CHANGES."""
        self.count += 1
        self._changes.append(change)

    def latest(self) -> LevelChange | None:
        """Returns the last change, or None if there was none."""
        return self._changes[-1] if self._changes else None

    def __iter__(self) -> Iterator[LevelChange]:
        return iter(self._changes)

    def __len__(self) -> int:
        return len(self._changes)
