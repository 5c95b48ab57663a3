"""Limits the number of new requests in one batch of decisions."""

from __future__ import annotations

BATCH_TIME_BUDGET_US = 10_000  # time for decisions on new requests in one batch
INITIAL_BATCH_REQUEST_COUNT = 8  # limit until the cost of one request has been measured
# Each batch moves the average cost by 1/8 of the difference between the batch's cost and the average.
COST_SMOOTHING = 8


class BatchLimiter:
    """Derives how many requests fit in one batch from the measured cost of recent requests. Keeps a burst of
    new requests from delaying answers, cancellations and timers by more than one batch."""

    def __init__(self) -> None:
        self._request_cost_us = 0.0  # moving average of the time that one new request takes
        self.max_requests = INITIAL_BATCH_REQUEST_COUNT  # most new requests in the next batch

    def record(self, request_count: int, duration: int) -> None:
        """Records a batch with `request_count` new requests that took `duration` microseconds."""
        if not request_count:
            return
        self._request_cost_us += (duration / request_count - self._request_cost_us) / COST_SMOOTHING
        self.max_requests = max(1, int(BATCH_TIME_BUDGET_US / max(self._request_cost_us, 1.0)))
