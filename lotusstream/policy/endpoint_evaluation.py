"""Evaluates endpoints as time passes: ejects silent endpoints and adapts concurrency limits."""

from __future__ import annotations

from lotusstream.policy.limits import ConcurrencyLimits
from lotusstream.policy.outlier_ejection import OutlierEjection
from lotusstream.policy.state import Endpoint


class EndpointEvaluation:
    """Evaluates endpoints: periodically, and during a placement if the last evaluation is out of date."""

    def __init__(self, limits: ConcurrencyLimits, ejection: OutlierEjection) -> None:
        self._limits = limits
        self._ejection = ejection

    def evaluate(self, endpoint: Endpoint) -> None:
        """Updates an endpoint's latency ratios from its running attempts and adapts its limit factor.

        Ejects the endpoint if it is silent.
        """
        self._limits.include_running_attempts(endpoint)
        self._ejection.eject_if_silent(endpoint)
        self._limits.adapt_endpoint(endpoint)

    def refresh(self, endpoint: Endpoint) -> None:
        """Evaluates an endpoint and recomputes its concurrency limit."""
        self.evaluate(endpoint)
        self._limits.compute(endpoint)
