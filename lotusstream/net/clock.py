"""Whole microseconds of the Unix clock, as of the start and onwards without steps."""

from __future__ import annotations

import time


class Clock:
    """`lag`: how long what is read now may have waited for it, since the loop was busy; microseconds."""

    def __init__(self) -> None:
        self._ahead = time.time_ns() - time.monotonic_ns()
        self.lag = 0

    def now(self) -> int:
        return (time.monotonic_ns() + self._ahead) // 1000


def boot_clock() -> int:
    """Whole microseconds that count while the machine sleeps too, and never step: for leases."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
