"""What time alone changes at an endpoint: whether it is silent, and its limit while its attempts run on."""

from __future__ import annotations

from lotusstream.policy.limits import ConcurrencyLimits
from lotusstream.policy.outlier_ejection import OutlierEjection
from lotusstream.policy.state import Endpoint


class EndpointEvaluation:
    """Evaluates endpoints periodically, and when a placement considers one that was not evaluated lately."""

    def __init__(self, limits: ConcurrencyLimits, ejection: OutlierEjection) -> None:
        self._limits = limits
        self._ejection = ejection

    def evaluate(self, endpoint: Endpoint) -> None:
        """Takes in the age of running attempts, ejects a silent endpoint, and adapts its limit's factor."""
        self._limits.include_running_attempts(endpoint)
        self._ejection.eject_if_silent(endpoint)
        self._limits.adapt_endpoint(endpoint)

    def refresh(self, endpoint: Endpoint) -> None:
        """Evaluates an endpoint and computes its limit."""
        self.evaluate(endpoint)
        self._limits.compute(endpoint)
