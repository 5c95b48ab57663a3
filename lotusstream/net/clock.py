"""The gateway's clocks, in microseconds."""

from __future__ import annotations

import time

LOOP_WATCH_INTERVAL_US = 50_000  # between two turns of the watch on the event loop
LONG_TURN_US = 20_000  # from which on a turn of the loop counts as a delay of the requests behind it


class Clock:
    """Whole microseconds of the Unix clock as of the start, and onwards without steps. Also knows how busy
    the event loop is, as its watch records."""

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()  # of the Unix clock, at the start
        self._watched_at: int | None = None  # the last turn of the watch
        self._previous_turn: int | None = None  # the turn before, while turns are long

    def record_loop_turn(self, previous_turn: int | None) -> None:
        """The watch on the loop has its turn. `previous_turn`: when its turn before was, where turns are
        long."""
        self._watched_at = self.now()
        self._previous_turn = previous_turn

    def earliest_arrival(self) -> int:
        """The earliest time at which what is read now can have come: it waited for the end of a turn of the
        loop, and for those before it in this one."""
        now = self.now()
        if self._previous_turn is not None:
            return self._previous_turn
        if self._watched_at is not None and now - self._watched_at > LOOP_WATCH_INTERVAL_US + LONG_TURN_US:
            return self._watched_at
        return now

    def now(self) -> int:
        """The time in microseconds."""
        return (time.monotonic_ns() + self._offset_ns) // 1000


def boot_clock() -> int:
    """Whole microseconds that count while the machine sleeps too, and never step: for leases."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
