"""Finds the level change that the conditions of the ladder require now."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lotusstream.levels.condition import Condition
from lotusstream.levels.dwell import DwellTimers
from lotusstream.levels.history import ChangeCause
from lotusstream.levels.ladder import Ladder


@dataclass(slots=True)
class LevelInForce:
    """The level in force and the times that restrict the next change."""

    level_number: int  # number of the level in force; 0: full service
    since: int  # when the level came in force, microseconds
    changed_at: int  # when the last change of any cause happened, microseconds


@dataclass(frozen=True, slots=True)
class Transition:
    """A level change that has to be made."""

    level_number: int  # number of the level to put in force
    cause: ChangeCause
    condition: Condition  # the condition that has held for its dwell time


def find_transition(
    now: int,
    ladder: Ladder,
    current: LevelInForce,
    dwell: DwellTimers,
    dwell_factor: float,
    has_lost_cores: Callable[[], bool],
) -> Transition | None:
    """Returns the change to the highest level whose enter condition has held for its dwell time. If there is
    none, returns the change to the next lower level if the leave condition of the level in force has held for
    its dwell time, or None. Within the ladder's minimum interval the only permitted change is one to a higher
    level after a loss of cores.

    :param now: microseconds
    :param ladder: the levels and their conditions
    :param current: the level in force
    :param dwell: the times since which the conditions hold
    :param dwell_factor: random factor of the dwell times
    :param has_lost_cores: returns whether cores were lost since the last change
    """
    interval_is_over = now - current.changed_at >= ladder.min_interval
    for level_number in range(len(ladder.levels), current.level_number, -1):
        enter = ladder.levels[level_number - 1].enter
        if _has_dwelt(now, dwell.entering_since(level_number), enter, dwell_factor):
            if interval_is_over:
                return Transition(level_number, ChangeCause.SIGNALS, enter)
            return Transition(level_number, ChangeCause.LOST_CORES, enter) if has_lost_cores() else None
    level = ladder.level_at(current.level_number)
    if level is None or now - current.since < level.min_time or not interval_is_over:
        return None
    if _has_dwelt(now, dwell.leaving_since(), level.leave, dwell_factor):
        return Transition(current.level_number - 1, ChangeCause.SIGNALS, level.leave)
    return None


def _has_dwelt(now: int, since: int | None, condition: Condition, dwell_factor: float) -> bool:
    """Returns whether a condition that holds since `since` has held for its dwell time."""
    return since is not None and now - since >= int(condition.dwell * dwell_factor)
