"""Timers that record since when the conditions of a ladder hold without interruption."""

from __future__ import annotations

from lotusstream.levels.condition import Expression, SignalValues, evaluate
from lotusstream.levels.ladder import Ladder


class DwellTimers:
    """Records since when the enter condition of each level holds, and since when the leave condition of the
    level in force holds."""

    def __init__(self, level_count: int) -> None:
        # Time since which each enter condition holds, in the order of the levels, and time since which the
        # leave condition of the level in force holds, microseconds; None: the condition does not hold.
        self._entering_since: list[int | None] = [None] * level_count
        self._leaving_since: int | None = None

    def entering_since(self, level_number: int) -> int | None:
        """Returns the time since which a level's enter condition holds; None if it does not hold."""
        return self._entering_since[level_number - 1]

    def leaving_since(self) -> int | None:
        """Returns the time since which the leave condition of the level in force holds; None if it does not
        hold."""
        return self._leaving_since

    def reset(self) -> None:
        """Restarts all timers, after a time in which the signals were not observed."""
        self._entering_since = [None] * len(self._entering_since)
        self._leaving_since = None

    def restart_leaving(self) -> None:
        """Restarts the timer of the leave condition, because another level is in force now."""
        self._leaving_since = None

    def update(self, now: int, ladder: Ladder, level_number: int, values: SignalValues) -> None:
        """Evaluates the conditions and updates their timers.

        :param now: microseconds
        :param ladder: the ladder for which the timers were made
        :param level_number: number of the level in force; 0: full service
        :param values: current values of the signals
        """
        for index, level in enumerate(ladder.levels):
            held_since = self._entering_since[index]
            self._entering_since[index] = _holds_since(now, held_since, level.enter.expression, values)
        level_in_force = ladder.level_at(level_number)
        if level_in_force is None:
            self._leaving_since = None
        else:
            leave = level_in_force.leave.expression
            self._leaving_since = _holds_since(now, self._leaving_since, leave, values)


def _holds_since(
    now: int, held_since: int | None, expression: Expression, values: SignalValues
) -> int | None:
    """Returns the time since which the expression holds, or None if it does not hold now.

    :param held_since: time since which the expression held at the previous evaluation; None: it did not
        hold then
    """
    if not evaluate(expression, values):
        return None
    return now if held_since is None else held_since
