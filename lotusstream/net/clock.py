"""Whole microseconds of the Unix clock, as of the start and onwards without steps."""

from __future__ import annotations

import time

LOOP_WATCH_INTERVAL_US = 50_000  # microseconds between two looks at the loop
LONG_TURN_US = 20_000  # a turn of the loop that counts against the time of the requests behind it


class Clock:
    """Also knows how busy the loop is, as whoever watches it tells."""

    def __init__(self) -> None:
        self._ahead = time.time_ns() - time.monotonic_ns()
        self._watched_at: int | None = None
        self._previous_turn: int | None = None

    def record_loop_turn(self, previous_turn: int | None) -> None:
        """The loop's watch has its turn. `previous_turn`: when its turn before was, where turns are long."""
        self._watched_at, self._previous_turn = self.now(), previous_turn

    def earliest_arrival(self) -> int:
        """As early as what is read now can have come: it waited for the end of a turn of the loop, and for
        those before it in this one."""
        now = self.now()
        if self._previous_turn is not None:
            return self._previous_turn
        if self._watched_at is not None and now - self._watched_at > LOOP_WATCH_INTERVAL_US + LONG_TURN_US:
            return self._watched_at
        return now

    def now(self) -> int:
        return (time.monotonic_ns() + self._ahead) // 1000


def boot_clock() -> int:
    """Whole microseconds that count while the machine sleeps too, and never step: for leases."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
