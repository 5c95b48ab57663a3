"""The ladder of degradation levels that the operator file defines."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from lotusstream.interface import RetriesAllowed
from lotusstream.levels.condition import Condition, Expression, comparisons

FULL_SERVICE = "full"  # name of level number 0, which reduces nothing


@dataclass(frozen=True, slots=True)
class Level:
    """One level of reduced service."""

    name: str
    enter: Condition
    leave: Condition
    min_time: int  # shortest time that the level stays in force, microseconds
    admit: Mapping[str, float] = field(default_factory=dict)  # least admitted ratio by profile name, 0 to 1
    retries_allowed: RetriesAllowed = RetriesAllowed.ALL
    max_retry_after: int | None = None  # longest Retry-After, microseconds; None: the deployment's limit
    priorities: Mapping[str, int] = field(default_factory=dict)  # priority of attempts by profile name
    former_name: str | None = None  # name in an earlier version of the ladder; None: the same name
    # Whether the level may admit a smaller ratio of a profile than of another one with a lower benefit per
    # work.
    despite_benefit: bool = False


@dataclass(frozen=True, slots=True)
class InitialLevel:
    """The level that is in force when the gateway starts."""

    level: str  # name of the level
    duration: int  # least time that it is in force, microseconds


@dataclass(frozen=True, slots=True)
class ProfileMention:
    """A directive of the ladder that names a profile."""

    level: Level | None  # level of the directive; None: the directive belongs to no level
    directive: str  # keyword of the directive
    profile: str  # name of the profile


@dataclass(frozen=True, slots=True)
class Ladder:
    """The levels in order of severity, the mildest first. They are numbered from 1; 0 is full service."""

    levels: tuple[Level, ...]
    min_interval: int  # shortest time between two changes that signals cause, microseconds
    window: int  # time over which signals are computed, microseconds
    # Time in which the admitted ratios grow from 0 to 1, microseconds; 0: no ramp, the least admitted ratios
    # of the level in force apply at once.
    ramp_time: int
    ramp_condition: Expression  # the admitted ratios grow while it holds
    # Ratio of the available cores, 0 to 1. If a greater ratio has been lost since the last change, a change
    # to a higher level is permitted within min_interval.
    lost_cores_ratio: float
    initial: InitialLevel | None = None

    def number_of(self, name: str) -> int | None:
        """Returns the number of the level with this name, or None if there is none."""
        if name == FULL_SERVICE:
            return 0
        return next(
            (level_number for level_number, level in enumerate(self.levels, 1) if level.name == name), None
        )

    def number_by_any_name(self, name: str) -> int | None:
        """Returns the number of the level with this name or former name, or None if there is none."""
        level_number = self.number_of(name)
        if level_number is not None:
            return level_number
        return next(
            (level_number for level_number, level in enumerate(self.levels, 1) if level.former_name == name),
            None,
        )

    def names(self) -> list[str]:
        """Returns the names of all levels, full service first."""
        return [FULL_SERVICE, *(level.name for level in self.levels)]

    def name_of(self, level_number: int) -> str:
        """Returns the name of the level with this number."""
        return self.levels[level_number - 1].name if level_number else FULL_SERVICE

    def level_at(self, level_number: int) -> Level | None:
        """Returns the level with this number; None for full service."""
        return self.levels[level_number - 1] if level_number else None

    def profile_mentions(self) -> Iterator[ProfileMention]:
        """Yields each directive that names a profile."""
        for level in self.levels:
            yield from (ProfileMention(level, "admit", profile) for profile in level.admit)
            yield from (ProfileMention(level, "priority", profile) for profile in level.priorities)
            yield from _mentions_of(level, "enter", level.enter.expression)
            yield from _mentions_of(level, "leave", level.leave.expression)
        yield from _mentions_of(None, "ramp", self.ramp_condition)


def _mentions_of(level: Level | None, directive: str, expression: Expression) -> Iterator[ProfileMention]:
    for comparison in comparisons(expression):
        if comparison.key.profile is not None:
            yield ProfileMention(level, directive, comparison.key.profile)
