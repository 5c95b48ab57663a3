"""Outlier ejection: a failing or silent endpoint gets no attempt for a while, and then one trial request."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.endpoint_states import EndpointStates
from lotusstream.policy.state import Endpoint

EJECTION_FAILURES = 3  # consecutive failures after which an endpoint is ejected
# Longest ejection in multiples of the shortest latency objective. A random factor from 0.5 to 1.5 is applied
# to the result.
MAX_EJECTION_OBJECTIVES = 4
OVERDUE_RATIO = 3.0  # an attempt is overdue if its age is above this multiple of its expected latency
# Peer reports prolong an ejection to at most this multiple of the shortest latency objective.
MAX_REPORTED_EJECTION_OBJECTIVES = 20
# An endpoint with overdue attempts counts as silent if it has not responded for this many progress intervals
# and for the shortest latency objective.
SILENT_PROGRESS_INTERVALS = 2


class OutlierEjection:
    """Ejects failing and silent endpoints, and ends the ejection of those that answer again."""

    def __init__(self, context: DecisionContext, states: EndpointStates) -> None:
        self._context = context
        self._states = states

    def admits(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint may get an attempt. After an ejection it gets one trial request."""
        if endpoint.ejected_until is None:
            return True
        return not endpoint.running and self._context.now >= endpoint.ejected_until

    def on_failure(self, endpoint: Endpoint, event: api.AttemptEnded) -> None:
        """Counts a failed attempt, and ejects its endpoint after EJECTION_FAILURES consecutive failures.

        A refused connection counts as EJECTION_FAILURES failures if `endpoint.last_response_at` is longer ago
        than the shortest latency objective. The endpoint is marked as unresponsive if it did not respond to
        the attempt's last call; a failure that is reported in a response is no sign of a restart.
        """
        endpoint.unresponsive = endpoint.unresponsive or not event.endpoint_responded
        silence = self._context.now - endpoint.last_response_at
        refused = event.outcome is api.Outcome.CONNECT_FAILED and silence > self._context.shortest_objective
        endpoint.consecutive_failures += EJECTION_FAILURES if refused else 1
        if endpoint.consecutive_failures >= EJECTION_FAILURES:
            self.eject(endpoint)

    def eject(self, endpoint: Endpoint) -> None:
        """Ejects an endpoint for a time that grows with each further failure.

        The time has a random factor, so that not all gateways send their trial requests simultaneously.
        """
        ejected_for_silence = endpoint.consecutive_failures < EJECTION_FAILURES
        endpoint.unresponsive = endpoint.unresponsive or ejected_for_silence
        endpoint.consecutive_failures = max(endpoint.consecutive_failures, EJECTION_FAILURES)
        objectives = min(MAX_EJECTION_OBJECTIVES, endpoint.consecutive_failures - EJECTION_FAILURES + 1)
        duration = self._context.shortest_objective * objectives * (0.5 + self._context.random.next_ratio())
        endpoint.ejected_at = self._context.now
        endpoint.ejected_until = self._context.now + int(duration)

    def end_ejection(self, endpoint: Endpoint) -> None:
        """Ends the ejection of an endpoint that has answered, and resets its count of failures."""
        endpoint.consecutive_failures = 0
        endpoint.ejected_until = None
        endpoint.unresponsive = False

    def eject_if_silent(self, endpoint: Endpoint) -> None:
        """Ejects an endpoint that has overdue attempts and no longer responds."""
        if endpoint.running and endpoint.ejected_until is None and self._is_silent(endpoint):
            self.eject(endpoint)

    def _is_silent(self, endpoint: Endpoint) -> bool:
        """Returns whether attempts are overdue and the endpoint has not responded for too long.

        Without progress reports, EJECTION_FAILURES attempts must be overdue: a single one may be a runaway.
        """
        now = self._context.now
        progress_interval = self._context.settings.progress_interval
        overdue = sum(
            now - running.attempt.started_at > OVERDUE_RATIO * running.attempt.expected_latency
            and not running.attempt.stalled
            for running in endpoint.running.values()
        )
        needed = 1 if progress_interval else EJECTION_FAILURES
        allowed_silence = max(self._context.shortest_objective, SILENT_PROGRESS_INTERVALS * progress_interval)
        return overdue >= needed and now - endpoint.last_response_at > allowed_silence

    def on_peer_health_reported(self, event: api.PeerHealthReported) -> None:
        """Handles a peer report, which can change the end of an ejection but never ejects an endpoint.

        A report that the endpoint is healthy moves the end to a random time within the shortest latency
        objective, so that not all gateways send their trial requests simultaneously. A report that the
        endpoint is failing prolongs the ejection up to a limit, so that no trial request is wasted.
        """
        endpoint = self._states.retained.get(event.endpoint_id)
        if endpoint is None or not endpoint.ejected_until:
            return
        now = self._context.now
        objective = self._context.shortest_objective
        if event.is_healthy:
            ends_at = now + int(objective * self._context.random.next_ratio())
            endpoint.ejected_until = min(endpoint.ejected_until, ends_at)
        else:
            bound = endpoint.ejected_at + MAX_REPORTED_EJECTION_OBJECTIVES * objective
            endpoint.ejected_until = max(endpoint.ejected_until, min(now + objective, bound))
