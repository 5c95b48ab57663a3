"""Events that the level controller handles in addition to those of the decision module."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream.levels.ladder import Ladder

MAX_HOLD_US = 24 * 3600 * 1_000_000


@dataclass(frozen=True, slots=True)
class LevelHoldRequested:
    """An operator requests that a level stays in force for a time, regardless of the signals."""

    level: str  # name of the level
    duration: int  # microseconds, up to MAX_HOLD_US

    def rejection_reason(self, ladder: Ladder) -> str | None:
        """Returns the reason why the level can't be held, or None if it can."""
        if ladder.number_of(self.level) is None:
            return f"no level is called '{self.level}': one of {', '.join(ladder.names())}"
        if not 0 < self.duration <= MAX_HOLD_US:
            return "invalid duration of the hold; expected more than 0s and at most 24h"
        return None


@dataclass(frozen=True, slots=True)
class LevelReleaseRequested:
    """An operator ends the level hold. The level stays in force until the signals change it."""


@dataclass(frozen=True, slots=True)
class LadderReplaced:
    """The operator file was reloaded."""

    ladder: Ladder  # the ladder in the new file


@dataclass(frozen=True, slots=True)
class GatewayHealthMeasured:
    """Resource usage of the gateway's own process. None: not known."""

    core: float | None  # used ratio of the allowed CPU time, 0 to 1
    memory: float | None  # used ratio of the memory limit, 0 to 1
    descriptors: float | None  # used ratio of the limit of file descriptors, 0 to 1
    stall: int | None  # longest stall of the event loop since the previous event, microseconds


LevelEvent = LevelHoldRequested | LevelReleaseRequested | LadderReplaced | GatewayHealthMeasured
