"""Eligibility: whether an endpoint may run a request's next attempt.

Only ready endpoints that the request's profile and cell allow are checked here; `Domains` selects these.
"""

from __future__ import annotations

from lotusstream.policy.outlier_ejection import OutlierEjection
from lotusstream.policy.retries import RetryPolicy
from lotusstream.policy.slow_start import SlowStart
from lotusstream.policy.state import Endpoint, Request


class Eligibility:
    """Combines the rules that exclude single endpoints.

    `PlacementPolicy` checks beforehand whether a retry is allowed at all (RetryPolicy.may_attempt).
    """

    def __init__(self, ejection: OutlierEjection, retries: RetryPolicy, slow_start: SlowStart) -> None:
        self._ejection = ejection
        self._retries = retries
        self._slow_start = slow_start

    def admits(self, request: Request, endpoint: Endpoint) -> bool:
        """Returns whether the endpoint may run the request's next attempt."""
        if not self._ejection.admits(endpoint):
            return False
        if request.attempts and endpoint.retry_credit < 1:
            return False
        return self._retries.may_repeat_at(request, endpoint) and self._slow_start.admits(
            endpoint, request.typical_work
        )
