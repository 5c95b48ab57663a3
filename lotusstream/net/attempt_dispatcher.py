"""Starts, cancels and re-prioritizes attempts.

The attempts of a request with an idempotency key whose profile is not idempotent pass through the commitment
gate, if the operator file has `remember`. The gate sends an attempt to its endpoint only once the key is
claimed (see commitment_gate.py).
"""

from __future__ import annotations

from collections.abc import Callable

from lotusstream import interface as api
from lotusstream.counters import Counters
from lotusstream.deployment import Deployment
from lotusstream.net.attempt_messages import AbortAttempt, AttemptFinished, ChangePriority, RunAttempt
from lotusstream.net.commitment_gate import AttemptControl, AttemptReady
from lotusstream.net.endpoint import EndpointActor
from lotusstream.net.endpoint_registry import EndpointRegistry
from lotusstream.net.open_requests import OpenRequest


class AttemptDispatcher:
    """Turns the decision module's actions on attempts into messages to endpoint actors."""

    def __init__(
        self,
        deployment: Deployment,
        max_attempts: int,
        endpoints: EndpointRegistry,
        report: Callable[[AttemptFinished], None],
        counters: Counters,
    ) -> None:
        """
        :param max_attempts: the most attempts that one request may have.
        :param report: called with the outcome of each attempt that can't be started.
        """
        self._deployment = deployment
        self._max_attempts = max_attempts
        self._endpoints = endpoints
        self._report = report
        self._counters = counters

    def start(self, now: int, request: OpenRequest, action: api.StartAttempt) -> None:
        """Starts the next attempt of a request. The attempt ends at once as MOOT (not executed) if its
        endpoint is not listed or has no address, the request is closed, or `max_attempts` is reached.
        `now`: in microseconds."""
        attempt = len(request.attempts)
        actor = self._endpoints.actor(action.endpoint_id)
        request.attempts.append(actor)
        request.in_flight.add(attempt)
        is_allowed = request.is_open and attempt < self._max_attempts
        if actor is None or not is_allowed:
            request.attempts[attempt] = None
            self._report(
                AttemptFinished(request.request_id, attempt, action.endpoint_id, api.Outcome.MOOT, 0)
            )
            return
        actor.record_attempt_started(now)
        self._count_start(request, attempt)
        request.possible_executions[attempt] = now
        run = self._run_attempt(now, request, attempt, action.timeout)
        if request.gate is not None:
            entry = self._endpoints.listed[action.endpoint_id].entry
            request.gate.post(AttemptReady(run, actor, entry, request.received))
        else:
            actor.post(run)

    def _run_attempt(self, now: int, request: OpenRequest, attempt: int, timeout: int) -> RunAttempt:
        """`timeout`: the attempt's timeout in microseconds; 0: only the request's deadline applies."""
        received = request.received
        deadline = min(now + timeout, received.deadline) if timeout else received.deadline
        return RunAttempt(
            request_id=request.request_id,
            attempt=attempt,
            started_at=now,
            deadline=deadline,
            deliver_by=self._deliver_by(request, deadline),
            call_id=received.fields.call_id,
            profile=self._deployment.profiles[received.fields.profile],
            statement=received.statement,
            idempotency_key=received.fields.idempotency_key,
            priority=request.priority,
            is_awaited=received.is_awaited,
        )

    def _deliver_by(self, request: OpenRequest, deadline: int) -> int:
        """Returns the time from which the endpoint must not receive the request's next attempt, microseconds.
        For a request with an idempotency key, this is the earliest end of the deduplication window of its
        first possible execution."""
        profile = self._deployment.started.profiles[request.received.fields.profile]
        if profile.idempotency is not api.Idempotency.IDEMPOTENT_WITH_KEY or not profile.deduplication_window:
            return deadline
        return min(deadline, min(request.possible_executions.values()) + profile.deduplication_window)

    def _count_start(self, request: OpenRequest, attempt: int) -> None:
        self._counters.add(f"sent {self._deployment.profiles[request.received.fields.profile]}")
        if not attempt:
            return
        previous = request.last_outcome.name.lower() if request.last_outcome is not None else "still out"
        self._counters.add(f"sent again after {previous}")

    def cancel(self, request: OpenRequest, attempt: int) -> None:
        """Cancels the attempt if it is in flight."""
        if attempt not in request.in_flight:
            return
        actor = request.attempts[attempt]
        if actor is not None:
            self._control(request, actor, AbortAttempt(request.request_id, attempt))

    def change_priority(self, request: OpenRequest, priority: int) -> None:
        """Sets the priority of the request's attempts in flight and of its later attempts."""
        request.priority = priority
        for attempt in request.in_flight:
            actor = request.attempts[attempt]
            if actor is not None:
                self._control(request, actor, ChangePriority(request.request_id, attempt, priority))

    def _control(
        self, request: OpenRequest, actor: EndpointActor, message: AbortAttempt | ChangePriority
    ) -> None:
        if request.gate is not None:
            request.gate.post(AttemptControl(actor, message))
        else:
            actor.post(message)
