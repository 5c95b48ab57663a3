"""Cancels running attempts that take too long, so that their requests are retried elsewhere."""

from __future__ import annotations

import math

from lotusstream.policy.context import REMAINING_AGE_DIVISOR, DecisionContext
from lotusstream.policy.endpoint_learning import EndpointLearning
from lotusstream.policy.limits import RUNAWAY_RATIO
from lotusstream.policy.open_requests import OpenRequests
from lotusstream.policy.outlier_ejection import OVERDUE_RATIO, OutlierEjection
from lotusstream.policy.retries import RetryPolicy
from lotusstream.policy.state import Attempt, Request

RETRY_LATENCIES = 2  # a retry is assumed to end after this multiple of the usual latency


class OverdueAttempts:
    """Protects requests from silent endpoints, runaway query plans and endpoints far slower than others."""

    def __init__(
        self,
        context: DecisionContext,
        retries: RetryPolicy,
        ejection: OutlierEjection,
        learning: EndpointLearning,
        open_requests: OpenRequests,
    ) -> None:
        self._context = context
        self._retries = retries
        self._ejection = ejection
        self._learning = learning
        self._open_requests = open_requests

    def cancel_if_overdue(self, request: Request) -> None:
        """Cancels the request's latest running attempt if a retry is allowed and likely to end sooner."""
        attempt = request.running_attempts[-1]
        if attempt.cancelled or not self._context.capabilities.cancellation:
            return
        if not self._retries.may_attempt(request):
            return
        if self._is_at_silent_endpoint(attempt):
            self._ejection.eject(attempt.endpoint)  # restarts the time of the present ejection
            self._open_requests.cancel(request, attempt)
        elif self._is_runaway(request, attempt):
            request.runaway_count += 1
            self._learn_runaway(request, attempt)
            self._open_requests.cancel(request, attempt)

    def _is_at_silent_endpoint(self, attempt: Attempt) -> bool:
        endpoint = attempt.endpoint
        if not endpoint.ejected_until or not endpoint.unresponsive:
            return False
        age = self._context.now - attempt.started_at
        return attempt.started_at <= endpoint.ejected_at or age > OVERDUE_RATIO * attempt.expected_latency

    def _is_runaway(self, request: Request, attempt: Attempt) -> bool:
        """Returns whether the attempt takes far longer than usual and a retry is expected to end sooner."""
        if request.profile.is_load or attempt.stalled:
            return False
        now = self._context.now
        usual = self._usual_latency(request, attempt)
        remaining = self._expected_remaining(attempt)
        is_worth_retrying = now + remaining > max(request.soft_deadline, now + RETRY_LATENCIES * usual)
        return (
            is_worth_retrying
            and self._expected_total(attempt) > RUNAWAY_RATIO * usual * 2**request.runaway_count
        )

    def _usual_latency(self, request: Request, attempt: Attempt) -> float:
        """Returns the latency expected of such a request in the attempt's pool, in microseconds."""
        pool = attempt.endpoint.pool
        log_ratio = pool.estimates[request.profile_index].latency_ratios.mean(self._context.now, 0.0, 1.0)
        ideal_latency = request.work / request.profile.threads
        return ideal_latency * max(pool.baseline_ratio, math.exp(log_ratio))

    def _expected_remaining(self, attempt: Attempt) -> float:
        """Returns the attempt's expected remaining run time, in microseconds."""
        now = self._context.now
        age = now - attempt.started_at
        if not attempt.progress_reported:
            return float(age)
        return max(attempt.expected_end - now, age / REMAINING_AGE_DIVISOR)

    def _expected_total(self, attempt: Attempt) -> float:
        """Returns the attempt's expected total run time, in microseconds.

        Returns 0 (unknown) before the first progress report, if endpoints send such reports.
        """
        age = self._context.now - attempt.started_at
        if attempt.progress_reported:
            return age + self._expected_remaining(attempt)
        return 0 if self._context.settings.progress_interval else age

    def _learn_runaway(self, request: Request, attempt: Attempt) -> None:
        """Records the latency that the attempt was expected to reach, as its age when cancelled is lower."""
        age = self._context.now - attempt.started_at
        ideal_latency = request.work / request.profile.threads
        latency = max(age, min(self._expected_total(attempt), RUNAWAY_RATIO * ideal_latency))
        self._learning.learn_latency(attempt.endpoint, request, int(latency), ideal_latency)
