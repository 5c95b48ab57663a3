"""Detects that this gateway itself is overloaded, from the time that requests wait for their decision.

The method is controlled delay (CoDel, RFC 8289). If the queue delay stays above a target for a whole
interval, there is a standing queue; if it falls below the target in between, there was only a burst. During a
standing queue, requests that waited longer than the target are rejected at once, so that the requests behind
them are decided in time.
"""

from __future__ import annotations

QUEUE_DELAY_TARGET_US = 40_000
QUEUE_DELAY_INTERVAL_US = 300_000


class QueueDelayMonitor:
    """Tracks the queue delay of requests.

    `overloaded`: True if there is a standing queue, so that this gateway is overloaded. The overload of
    endpoints and pools is independent of this; see `limits`.
    """

    def __init__(self) -> None:
        self.overloaded = False
        # time since which the delays are above the target, microseconds; None: they are not
        self._above_target_since: int | None = None

    def rejects(self, now: int, delay: int) -> bool:
        """Records a request's queue delay, in microseconds, and returns whether to reject the request."""
        if delay < QUEUE_DELAY_TARGET_US:
            self._above_target_since = None
            self.overloaded = False
            return False
        if self._above_target_since is None:
            self._above_target_since = now
        self.overloaded = self.overloaded or now - self._above_target_since >= QUEUE_DELAY_INTERVAL_US
        return self.overloaded
