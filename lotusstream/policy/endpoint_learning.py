"""Updates the state of endpoints, pools and profiles from the outcomes of attempts."""

from __future__ import annotations

import math

from lotusstream import interface as api
from lotusstream.interface import Outcome
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.outlier_ejection import OutlierEjection
from lotusstream.policy.retries import earn_retry_credit
from lotusstream.policy.state import Attempt, Endpoint, Request, RunningAttempt


class EndpointLearning:
    """Records latencies and failures. An answer earns the endpoint retry credit; failures can eject it."""

    def __init__(self, context: DecisionContext, ejection: OutlierEjection) -> None:
        self._context = context
        self._ejection = ejection

    def on_attempt_ended(self, endpoint: Endpoint, running: RunningAttempt, event: api.AttemptEnded) -> None:
        """Records the end of an attempt. Must be called before the outcome is set in the request."""
        request = running.request
        attempt = running.attempt
        if endpoint.runs_load(request):
            del endpoint.loads[request.group]
        if event.endpoint_responded:
            endpoint.last_response_at = self._context.now
        if event.outcome is Outcome.ANSWERED:
            self._on_answer(endpoint, request, attempt, event)
        elif event.outcome is Outcome.FULL:
            endpoint.rejected_at = self._context.now
            endpoint.pool.changed[endpoint] = None
        elif self._is_failure(request, attempt, event.outcome):
            self._ejection.on_failure(endpoint, event)

    def _is_failure(self, request: Request, attempt: Attempt, outcome: Outcome) -> bool:
        """Returns whether the outcome counts as a failure of the endpoint.

        Only the first error of a request counts. Further errors are attributed to the request, so that a
        request that no endpoint can run does not get endpoints ejected.
        """
        if attempt.cancelled or outcome is Outcome.MOOT:
            return False
        return outcome is not Outcome.ERROR or not request.endpoints_with_error

    def _on_answer(
        self, endpoint: Endpoint, request: Request, attempt: Attempt, event: api.AttemptEnded
    ) -> None:
        earn_retry_credit(endpoint)
        was_unresponsive = endpoint.ejected_until and endpoint.unresponsive
        if was_unresponsive and attempt.started_at >= endpoint.ejected_at:
            # The endpoint may have restarted although the list has not reported a restart.
            endpoint.begin_slow_start(self._context.now, self._context.random.next_ratio())
        self._ejection.end_ejection(endpoint)
        threads = request.profile.threads
        work = event.work or self._work_of(endpoint, event.latency * threads)
        if not attempt.stalled:
            self.learn_latency(endpoint, request, event.latency, (event.work or request.work) / threads)
        if event.work or not attempt.stalled:
            estimates = endpoint.pool.estimates[request.profile_index]
            estimates.learn(self._context.now, work, request.work_hint)

    def _work_of(self, endpoint: Endpoint, occupied: int) -> float:
        """Estimates an attempt's work: the thread microseconds that it occupied at the endpoint, reduced by
        the factor by which the endpoint's latency ratio exceeds the best one of its pool."""
        return occupied * min(endpoint.pool.best_ratio, endpoint.latency_ratio) / endpoint.latency_ratio

    def learn_latency(self, endpoint: Endpoint, request: Request, latency: int, ideal_latency: float) -> None:
        """Records an attempt's latency ratio: latency divided by ideal latency, both in microseconds."""
        now = self._context.now
        log_ratio = math.log(max(latency, 1) / max(ideal_latency, 1.0))
        endpoint.learn_latency_ratio(now, log_ratio)
        endpoint.pool.latency_ratios.add(now, log_ratio)
        endpoint.pool.estimates[request.profile_index].latency_ratios.add(now, log_ratio)
