"""Periodic evaluation of pools, endpoints and open requests as time passes."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.interface import RejectionReason
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.endpoint_evaluation import EndpointEvaluation
from lotusstream.policy.evaluation_timer import EvaluationTimer
from lotusstream.policy.limits import MIN_RELIABLE_ANSWERS, ConcurrencyLimits
from lotusstream.policy.open_requests import OpenRequests
from lotusstream.policy.overdue_attempts import OverdueAttempts
from lotusstream.policy.pools import Pools
from lotusstream.policy.rejection import Rejection
from lotusstream.policy.state import Pool, Request

# A pool's best latency ratio grows by this factor at each evaluation, to adapt it to lasting slowdowns.
BEST_RATIO_GROWTH = 1.001
EVALUATIONS_PER_AGE = 4  # a running attempt is evaluated again after its age divided by this


class PeriodicEvaluation:
    """Evaluates all pools, the endpoints in use and all open requests."""

    def __init__(
        self,
        context: DecisionContext,
        timer: EvaluationTimer,
        pools: Pools,
        limits: ConcurrencyLimits,
        endpoint_evaluation: EndpointEvaluation,
        open_requests: OpenRequests,
        rejection: Rejection,
        overdue_attempts: OverdueAttempts,
    ) -> None:
        self._context = context
        self._timer = timer
        self._pools = pools
        self._limits = limits
        self._endpoint_evaluation = endpoint_evaluation
        self._open_requests = open_requests
        self._rejection = rejection
        self._overdue_attempts = overdue_attempts

    def evaluate(self) -> None:
        """Evaluates pools, then open requests, and plans the next evaluation."""
        for pool in self._pools.by_id.values():
            self._evaluate_pool(pool)
        for request in list(self._open_requests.by_id.values()):
            self._evaluate_request(request)

    def _evaluate_pool(self, pool: Pool) -> None:
        answers = pool.latency_ratios.count(self._context.now)
        if answers >= MIN_RELIABLE_ANSWERS:
            pool.best_ratio = min(pool.baseline_ratio, pool.best_ratio * BEST_RATIO_GROWTH)
        self._limits.adapt_pool(pool)
        # An endpoint whose first attempt has just started is in `changed` but not yet in `active`.
        for endpoint in {**pool.active, **pool.changed}:
            if endpoint.entry.status is api.EndpointStatus.READY:
                self._endpoint_evaluation.evaluate(endpoint)
                pool.changed[endpoint] = None

    def _evaluate_request(self, request: Request) -> None:
        now = self._context.now
        last_answer_at = request.deadline - self._context.answer_margin
        if self._would_end_too_late(request) or now >= last_answer_at:
            self._rejection.reject(request, RejectionReason.HOPELESS)
            return
        wait = self._context.evaluation_interval
        if request.running_attempts and request.id not in self._open_requests.waiting:
            self._overdue_attempts.cancel_if_overdue(request)
            age = now - request.attempts[-1].started_at
            wait = max(wait, age // EVALUATIONS_PER_AGE)
        self._timer.plan(min(now + wait, last_answer_at))

    def _would_end_too_late(self, request: Request) -> bool:
        """Returns whether a queued request would end too late even if its attempt started now.

        Too late means after the request's deadline or, in an overloaded pool, where capacity is scarce, after
        its soft deadline.
        """
        if request.id not in self._open_requests.waiting:
            return False
        pool = request.pool
        latency = request.work / request.profile.threads * (pool.baseline_ratio if pool.overloaded else 1.0)
        useful_until = request.soft_deadline if pool.overloaded else request.deadline
        return self._context.now + latency > useful_until
