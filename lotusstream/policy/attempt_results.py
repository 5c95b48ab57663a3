"""Handles progress reports and outcomes of attempts, and decides how their requests continue."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.interface import Outcome, ProgressKind, RejectionReason
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.endpoint_learning import EndpointLearning
from lotusstream.policy.endpoint_states import EndpointStates
from lotusstream.policy.evaluation_timer import EvaluationTimer
from lotusstream.policy.key_ordering import KeyOrdering
from lotusstream.policy.open_requests import OpenRequests
from lotusstream.policy.rejection import Rejection
from lotusstream.policy.retries import RetryPolicy
from lotusstream.policy.state import Endpoint, GroupLoad, Request, RunningAttempt, attempt_key


class AttemptResults:
    """Records the results of attempts, then queues their requests for another attempt or closes them.

    The rule: no attempt of a request starts after the request is answered.
    """

    def __init__(
        self,
        context: DecisionContext,
        timer: EvaluationTimer,
        states: EndpointStates,
        learning: EndpointLearning,
        key_ordering: KeyOrdering,
        open_requests: OpenRequests,
        retries: RetryPolicy,
        rejection: Rejection,
    ) -> None:
        self._context = context
        self._timer = timer
        self._states = states
        self._learning = learning
        self._key_ordering = key_ordering
        self._open_requests = open_requests
        self._retries = retries
        self._rejection = rejection

    def on_attempt_progressed(self, event: api.AttemptProgressed) -> None:
        """Handles a progress report of a running attempt."""
        endpoint = self._states.retained.get(event.endpoint_id)
        if endpoint is None:
            return
        running = endpoint.running.get(attempt_key(event.request_id, event.attempt))
        if running is None:
            return
        endpoint.last_response_at = self._context.now
        if event.kind is ProgressKind.PROGRESS and event.amount > 0:
            self._on_progress(endpoint, running, event.amount)
        elif event.kind is ProgressKind.WAITS_FOR_LOAD:
            self._on_wait_for_load(endpoint, running)

    def _on_progress(self, endpoint: Endpoint, running: RunningAttempt, done_ratio: float) -> None:
        attempt = running.attempt
        age = self._context.now - attempt.started_at
        attempt.expected_end = attempt.started_at + age / min(1.0, done_ratio)
        attempt.progress_reported = True
        if endpoint.runs_load(running.request):
            endpoint.loads[running.request.group] = GroupLoad(running.request, attempt.expected_end)
        self._timer.plan(self._context.now)

    def _on_wait_for_load(self, endpoint: Endpoint, running: RunningAttempt) -> None:
        """Marks the attempt as stalled by a load of its table group.

        If this gateway knows of no such load at the endpoint, it assumes one started by another gateway.
        """
        running.attempt.stalled = True
        expected_end = self._context.now + self._context.shortest_objective
        endpoint.loads.setdefault(running.request.group, GroupLoad(None, expected_end))

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        """Handles the outcome of an attempt."""
        endpoint = self._states.retained.get(event.endpoint_id)
        running = endpoint.remove_attempt(event.request_id, event.attempt) if endpoint else None
        if endpoint is not None and running is not None:
            self._learning.on_attempt_ended(endpoint, running, event)
            self._states.drop_if_removed(endpoint)
        request = running.request if running else self._open_requests.by_id.get(event.request_id)
        if request is None or event.attempt >= len(request.attempts):
            return
        request.attempts[event.attempt].outcome = event.outcome
        self._key_ordering.on_outcome(request, event.outcome)
        self._continue(request, event)

    def _continue(self, request: Request, event: api.AttemptEnded) -> None:
        """Closes the request, queues it for a retry or rejects it.

        Without an answer, nothing is done while another attempt of the request is running. A request that was
        closed before is only removed from the queue of its key.
        """
        if request.id not in self._open_requests.by_id:
            self._key_ordering.remove(request)
        elif event.request_finished or event.outcome is Outcome.ANSWERED:
            self._open_requests.close(request)
        elif request.running_attempts:
            return
        elif self._retries.may_attempt(request):
            self._open_requests.waiting[request.id] = request
        else:
            self._rejection.reject(request, RejectionReason.ATTEMPTS)
