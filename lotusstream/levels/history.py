"""What has changed and why, the latest of it."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

MOST = 200


class Cause(Enum):
    SIGNALS = "signals"
    LOST_CORES = "lost cores"  # an early step up, since engines went
    HAND = "hand"
    HOLD_ENDED = "hold ended"
    START = "start"
    RELOAD = "reload"


@dataclass(frozen=True, slots=True)
class Reading:
    """A signal as it stood: its written value and what that rested on."""

    signal: str
    value: float
    written: str
    rests_on: float


@dataclass(frozen=True, slots=True)
class Change:
    """One change of level. `condition`: what fired; `ends_when`: what would end the new level."""

    at: int
    source: str
    target: str
    rung: int
    cause: Cause
    condition: str
    readings: tuple[Reading, ...]
    ends_when: str

    def __str__(self) -> str:
        seen = ", ".join(f"{reading.signal} {reading.written}" for reading in self.readings)
        text = f"{self.source} -> {self.target}, by {self.cause.value}: {self.condition}"
        return (
            f"{text} ({seen}); ends when {self.ends_when}" if seen else f"{text}; ends when {self.ends_when}"
        )


class History:
    def __init__(self) -> None:
        self._kept: deque[Change] = deque(maxlen=MOST)
        self.count = 0

    def add(self, change: Change) -> None:
        self.count += 1
        self._kept.append(change)

    def latest(self) -> Change | None:
        return self._kept[-1] if self._kept else None

    def __iter__(self) -> Iterator[Change]:
        return iter(self._kept)

    def __len__(self) -> int:
        return len(self._kept)
