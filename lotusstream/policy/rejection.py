"""Rejects or fails requests: their final answer then contains no result."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.degradation import Degradation
from lotusstream.policy.open_requests import OpenRequests
from lotusstream.policy.retries import RetryPolicy
from lotusstream.policy.state import Request


class Rejection:
    """Rejects a request if a repeat by the client does no harm, and fails it otherwise."""

    def __init__(
        self,
        context: DecisionContext,
        degradation: Degradation,
        retries: RetryPolicy,
        open_requests: OpenRequests,
    ) -> None:
        self._context = context
        self._degradation = degradation
        self._retries = retries
        self._open_requests = open_requests

    def reject(self, request: Request, reason: api.RejectionReason) -> None:
        """Gives a request its final answer, a rejection or a failure, and cancels its running attempts."""
        retry_after = self._retry_after()
        action: api.Action
        if self._retries.is_repeat_harmless(request, retry_after):
            degraded = not request.attempts and not self._degradation.admits(request)
            action = api.RejectRequest(request.id, retry_after, degraded, reason)
        else:
            action = api.FailRequest(request.id, reason)
        self._context.actions.append(action)
        self._open_requests.close(request)

    def _retry_after(self) -> int:
        """Returns the Retry-After, in microseconds.

        At a reduced degradation level, the value is random between half of the longest Retry-After and all of
        it, so that rejected clients do not all return at the same time.
        """
        longest = self._context.capabilities.max_retry_after
        if not self._degradation.is_reduced:
            return longest
        bound = self._degradation.max_retry_after
        if bound is not None:
            longest = min(longest, bound)
        return int(longest * (1 + self._context.random.next_ratio()) / 2)
