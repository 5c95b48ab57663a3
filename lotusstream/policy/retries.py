"""Retries: whether and where a request may be retried, and the retry budget."""

from __future__ import annotations

from lotusstream.interface import DeduplicationScope, Idempotency
from lotusstream.policy.context import WINDOW_BUCKET_COUNT, DecisionContext
from lotusstream.policy.degradation import Degradation
from lotusstream.policy.state import Endpoint, Request
from lotusstream.sliding_window import SlidingWindow

RETRY_CREDIT_MAX = 10.0  # upper limit of an endpoint's retry credit, number of retries
RETRY_CREDIT_PER_ANSWER = 0.2  # retry credit that an endpoint earns by one answer, number of retries
# A request that ended with an error at more than this many endpoints is assumed to cause the errors itself.
MAX_ENDPOINTS_WITH_ERROR = 1


class RetryPolicy:
    """Decides whether and where a request may be retried.

    The rules: a request that is not idempotent is never executed twice. A request with an idempotency key is
    retried only at endpoints that drop the repeat, and only within the deduplication window. The number of
    retries in a window stays within the budget of RuleLimits. Possible executions by other gateways count
    like attempts of this gateway.
    """

    def __init__(self, context: DecisionContext, degradation: Degradation) -> None:
        self._context = context
        self._degradation = degradation
        window = context.rule_limits.retry_budget_window
        self._requests = SlidingWindow(window, WINDOW_BUCKET_COUNT)
        self._retries = SlidingWindow(window, WINDOW_BUCKET_COUNT)

    def on_request_received(self) -> None:
        """Counts a request, which raises the retry budget."""
        self._requests.add(self._context.now, 0.0)

    def may_attempt(self, request: Request) -> bool:
        """Returns whether a request may have another attempt, regardless of the endpoint.

        After errors at two endpoints a request gets no further attempt, which protects the other endpoints
        from a request that none of them can run.
        """
        if len(request.attempts) >= self._context.capabilities.max_attempts:
            return False
        if self._context.now >= request.deadline:
            return False
        if len(request.endpoints_with_error) > MAX_ENDPOINTS_WITH_ERROR:
            return False
        if not self._degradation.allows_retry(request):
            return False
        match request.profile.idempotency:
            case Idempotency.NOT_IDEMPOTENT:
                return not request.possible_executions
            case Idempotency.IDEMPOTENT:
                return True
            case _:
                return self.is_deduplicated(request, 0)

    def is_deduplicated(self, request: Request, delay: int) -> bool:
        """Returns whether endpoints drop a repeat that is sent `delay` microseconds from now.

        The repeat must arrive within the deduplication window even if connecting takes as long as the connect
        timeout allows.
        """
        executions = request.possible_executions
        if not executions:
            return True
        context = self._context
        repeated_by = context.now + delay + context.evaluation_interval + context.capabilities.connect_timeout
        return repeated_by < executions[0].started_at + request.profile.deduplication_window

    def may_repeat_at(self, request: Request, endpoint: Endpoint) -> bool:
        """Returns whether the endpoint may run a repeat of the request.

        A request with an idempotency key needs an endpoint in the deduplication scope of its first possible
        execution. Any other request may be repeated at every endpoint.
        """
        if request.profile.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return True
        executions = request.possible_executions
        if not executions:
            return True
        match request.profile.deduplication_scope:
            case DeduplicationScope.ZONE:
                return executions[0].zone == endpoint.entry.zone
            case DeduplicationScope.CELL:
                return executions[0].cell == endpoint.entry.cell
            case _:
                return True

    def is_repeat_harmless(self, request: Request, delay: int) -> bool:
        """Returns whether the client may repeat the request after `delay` microseconds without harm."""
        profile = request.profile
        dropped = (
            profile.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            and profile.deduplication_scope is DeduplicationScope.ALL
            and self.is_deduplicated(request, delay)
        )
        return profile.idempotency is Idempotency.IDEMPOTENT or dropped or not request.possible_executions

    def consume_budget(self, endpoint: Endpoint) -> bool:
        """Consumes one retry of the retry budget and of the endpoint's retry credit.

        Returns False and consumes nothing if the retry budget is exhausted.
        """
        now = self._context.now
        limits = self._context.rule_limits
        requests = self._requests.count(now, covering=False)
        retries = self._retries.count(now)
        if retries + 1 > limits.retry_budget_min + limits.retry_budget_ratio * requests:
            return False
        self._retries.add(now, 0.0)
        endpoint.retry_credit -= 1
        return True


def earn_retry_credit(endpoint: Endpoint) -> None:
    """Adds the retry credit for one answer. A failing endpoint earns none, so it gets few retries."""
    endpoint.retry_credit = min(RETRY_CREDIT_MAX, endpoint.retry_credit + RETRY_CREDIT_PER_ANSWER)
