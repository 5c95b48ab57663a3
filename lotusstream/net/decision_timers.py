"""The timers that the decision module sets."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable

from lotusstream.net.clock import Clock
from lotusstream.net.connection import US_PER_S


class DecisionTimers:
    """Pending timers, ordered by due time. One timer of the event loop is set for the earliest."""

    def __init__(self, clock: Clock, on_due: Callable[[], None]) -> None:
        """`on_due`: called by the event loop once the earliest timer is due; `pop_due` then removes it."""
        self._clock = clock
        self._on_due = on_due
        self._pending: list[tuple[int, int]] = []  # heap of (time in microseconds, token)
        # Due time in microseconds and handle of the event loop's timer; None: it is not set.
        self._armed: tuple[int, asyncio.TimerHandle] | None = None

    def add(self, at: int, token: int) -> None:
        """Adds a timer. `at`: its due time, microseconds. `token`: the module's id of the timer."""
        heapq.heappush(self._pending, (at, token))

    def pop_due(self, now: int) -> int | None:
        """Removes the earliest timer that is due and returns its token; None if none is due."""
        if not self._pending or self._pending[0][0] > now:
            return None
        _, token = heapq.heappop(self._pending)
        return token

    def clear(self) -> None:
        """Removes all pending timers."""
        self._pending.clear()

    def arm(self) -> None:
        """Sets the event loop's timer for the earliest pending timer, unless it is already set to fire
        by then."""
        if not self._pending:
            return
        at, _ = self._pending[0]
        if self._armed is not None:
            armed_at, handle = self._armed
            if armed_at <= at:
                return
            handle.cancel()
        delay = max(0, at - self._clock.now()) / US_PER_S
        self._armed = (at, asyncio.get_running_loop().call_later(delay, self._fire))

    def _fire(self) -> None:
        self._armed = None
        self._on_due()
