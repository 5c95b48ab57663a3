"""The gateway's clocks, in microseconds."""

from __future__ import annotations

import time

LOOP_WATCH_INTERVAL_US = 50_000  # between two runs of LoopWatch while the event loop is not busy
# After an iteration of the event loop that took longer, bytes that are read may have arrived before or
# during it, so they count as having waited.
LONG_ITERATION_US = 20_000


class Clock:
    """Unix time in whole microseconds: read from the system clock at the start, monotonic from then on. Also
    records how busy the event loop is, as reported by `LoopWatch`."""

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()  # Unix time minus monotonic time at the start
        self._watched_at: int | None = None  # when LoopWatch last ran, microseconds; None: not started
        # Earliest time at which bytes read now can have arrived; None while the loop is not busy.
        self._unread_since: int | None = None

    def record_loop_iteration(self, unread_since: int | None) -> None:
        """Called in each iteration of the loop watch. `unread_since`: the earliest time, in microseconds, at
        which bytes that are read now can have arrived; None while the event loop is not busy."""
        self._watched_at = self.now()
        self._unread_since = unread_since

    def earliest_arrival(self) -> int:
        """Returns the earliest time at which bytes that are read now can have arrived, in microseconds. While
        the event loop is busy, bytes wait until its iteration ends and until other connections are read."""
        now = self.now()
        if self._unread_since is not None:
            return self._unread_since
        if (
            self._watched_at is not None
            and now - self._watched_at > LOOP_WATCH_INTERVAL_US + LONG_ITERATION_US
        ):
            return self._watched_at
        return now

    def now(self) -> int:
        """Returns the current Unix time in microseconds."""
        return (time.monotonic_ns() + self._offset_ns) // 1000


def boot_clock() -> int:
    """Returns whole microseconds since boot, including time suspended. Never steps, so leases use it."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
