"""Measures how long the event loop stalls, and runs the periodic evaluation."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from lotusstream.counters import Counters
from lotusstream.net.clock import LONG_ITERATION_US, LOOP_WATCH_INTERVAL_US, Clock
from lotusstream.net.connection import US_PER_S

# Most iterations of the event loop from the arrival of a byte until the task that reads it resumes.
READ_DELAY_ITERATION_COUNT = 3


class LoopWatch:
    """Records in the clock the earliest time at which bytes that are read now can have arrived.

    Bytes that are read at the end of an iteration of the event loop may have waited since its start. While
    iterations are long, the watch therefore runs in each of them, otherwise once per LOOP_WATCH_INTERVAL_US.
    """

    def __init__(self, clock: Clock, counters: Counters, evaluate: Callable[[], None]) -> None:
        """`evaluate`: runs the periodic evaluation; called at most once per LOOP_WATCH_INTERVAL_US."""
        self._clock = clock
        self._counters = counters
        self._evaluate = evaluate

    async def run(self) -> None:
        """Watches the event loop until cancelled."""
        evaluated_at = self._clock.now()
        iterations = deque([evaluated_at] * READ_DELAY_ITERATION_COUNT, maxlen=READ_DELAY_ITERATION_COUNT)
        is_busy = False
        self._clock.record_loop_iteration(None)
        while True:
            pause = 0 if is_busy else LOOP_WATCH_INTERVAL_US
            await asyncio.sleep(pause / US_PER_S)
            now = self._clock.now()
            stall = now - iterations[-1] - pause
            is_busy = stall > LONG_ITERATION_US or (is_busy and now - iterations[0] > LONG_ITERATION_US)
            self._clock.record_loop_iteration(iterations[0] if is_busy else None)
            iterations.append(now)
            self._counters.observe("stall of the loop, us", stall)
            if now - evaluated_at >= LOOP_WATCH_INTERVAL_US:
                evaluated_at = now
                self._evaluate()
