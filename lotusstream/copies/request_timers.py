"""A queue of the timers of requests, ordered by due time."""

from __future__ import annotations

import heapq


class RequestTimers:
    """A heap of timers. One request may have several. Timers of requests that have ended are not removed."""

    def __init__(self) -> None:
        self._timers: list[tuple[int, int]] = []  # time in microseconds, and request ID

    def arm(self, due: int, request: int) -> None:
        """Add a timer that fires at this time, microseconds."""
        heapq.heappush(self._timers, (due, request))

    @property
    def next_at(self) -> int | None:
        """When the earliest timer fires, microseconds; None: there is none."""
        return self._timers[0][0] if self._timers else None

    def take_due(self, now: int) -> int | None:
        """Remove the earliest timer if it is due, and return its request ID; None: no timer is due."""
        if not self._timers or self._timers[0][0] > now:
            return None
        _, request = heapq.heappop(self._timers)
        return request
