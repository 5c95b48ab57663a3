"""Outlier ejection: endpoints that fail or fall silent get no attempts for a while, then a trial request."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.endpoint_states import EndpointStates
from lotusstream.policy.state import Endpoint

EJECTION_FAILURES = 3  # in a row
MAX_EJECTION_OBJECTIVES = 4  # shortest objectives, times a random factor from 0.5 to 1.5
OVERDUE_RATIO = 3.0  # expected latencies after which an attempt is overdue
MAX_REPORTED_EJECTION_OBJECTIVES = 20  # shortest objectives from its start that peers may prolong one to
SILENT_PROGRESS_INTERVALS = 2  # progress intervals without a report after which it may count as silent


class OutlierEjection:
    """Ejects endpoints, and ends ejections."""

    def __init__(self, context: DecisionContext, states: EndpointStates) -> None:
        self._context = context
        self._states = states

    def admits(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint takes attempts: one that was ejected takes a single trial request."""
        if endpoint.ejected_until is None:
            return True
        return not endpoint.running and self._context.now >= endpoint.ejected_until

    def on_failure(self, endpoint: Endpoint, event: api.AttemptEnded) -> None:
        """An attempt has failed. Its endpoint is ejected after several in a row.

        A refused connection counts as several failures, unless the endpoint has responded lately. Where the
        endpoint responded, the failure is no sign of a restart, so the endpoint does not become unresponsive.
        """
        endpoint.unresponsive = endpoint.unresponsive or not event.endpoint_responded
        silence = self._context.now - endpoint.last_response_at
        refused = event.outcome is api.Outcome.CONNECT_FAILED and silence > self._context.shortest_objective
        endpoint.consecutive_failures += EJECTION_FAILURES if refused else 1
        if endpoint.consecutive_failures >= EJECTION_FAILURES:
            self.eject(endpoint)

    def eject(self, endpoint: Endpoint) -> None:
        """Ejects an endpoint, longer with each further failure.

        The duration is random: guards the endpoint against trial requests of all gateways at the same time.
        """
        ejected_for_silence = endpoint.consecutive_failures < EJECTION_FAILURES
        endpoint.unresponsive = endpoint.unresponsive or ejected_for_silence
        endpoint.consecutive_failures = max(endpoint.consecutive_failures, EJECTION_FAILURES)
        objectives = min(MAX_EJECTION_OBJECTIVES, endpoint.consecutive_failures - EJECTION_FAILURES + 1)
        duration = self._context.shortest_objective * objectives * (0.5 + self._context.random.next_ratio())
        endpoint.ejected_at = self._context.now
        endpoint.ejected_until = self._context.now + int(duration)

    def end(self, endpoint: Endpoint) -> None:
        """Ends the ejection of an endpoint that has answered, and forgets its failures."""
        endpoint.consecutive_failures = 0
        endpoint.ejected_until = None
        endpoint.unresponsive = False

    def eject_if_silent(self, endpoint: Endpoint) -> None:
        """Ejects an endpoint whose attempts are overdue and that reports nothing."""
        if endpoint.running and endpoint.ejected_until is None and self._is_silent(endpoint):
            self.eject(endpoint)

    def _is_silent(self, endpoint: Endpoint) -> bool:
        """Whether attempts are overdue and the endpoint has not responded for longer than a pause. Where it
        reports no progress several have to be overdue, since one may be a runaway request."""
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
        """Takes in another gateway's report, which ejects no endpoint.

        A healthy one ends the ejection, at a random time within an objective: guards an endpoint that has
        come back against trial requests of all gateways at the same time. A failing one prolongs the
        ejection, up to a bound, so that no trial request is spent on it.
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
