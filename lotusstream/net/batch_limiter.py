"""How many new requests one batch of decisions may take."""

from __future__ import annotations

BATCH_TIME_BUDGET_US = 10_000  # that the decisions on new requests may take in one batch
INITIAL_BATCH_REQUEST_COUNT = 8  # until it is known how long one request takes
COST_SMOOTHING = 8  # one batch moves the average cost by the difference / this


class BatchLimiter:
    """Derives the number of requests that fit a batch from what recent requests have cost. Guards answers,
    cancellations and timers against very many new requests: they wait for one batch at most."""

    def __init__(self) -> None:
        self._request_cost_us = 0.0  # of one new request, moving average
        self.max_requests = INITIAL_BATCH_REQUEST_COUNT

    def record(self, request_count: int, duration: int) -> None:
        """Takes in that a batch with so many new requests has taken `duration` microseconds."""
        if not request_count:
            return
        self._request_cost_us += (duration / request_count - self._request_cost_us) / COST_SMOOTHING
        self.max_requests = max(1, int(BATCH_TIME_BUDGET_US / max(self._request_cost_us, 1.0)))
