"""Carries out the actions of the decision module."""

from __future__ import annotations

from collections.abc import Iterable

from lotusstream import interface as api
from lotusstream.net.actor import Supervisor
from lotusstream.net.attempt_dispatcher import AttemptDispatcher
from lotusstream.net.decision_timers import DecisionTimers
from lotusstream.net.open_requests import OpenRequestTable
from lotusstream.net.request_replies import NOT_ANSWERED, RequestReplies


class ActionExecutor:
    """Carries out each action by its type. An action that raises is counted and logged; the others still run.

    An action for a closed request is ignored: its client may have disconnected, or the decision module may
    have been restarted, in the same batch.
    """

    def __init__(
        self,
        requests: OpenRequestTable,
        attempts: AttemptDispatcher,
        replies: RequestReplies,
        timers: DecisionTimers,
        supervisor: Supervisor,
    ) -> None:
        self._requests = requests
        self._attempts = attempts
        self._replies = replies
        self._timers = timers
        self._supervisor = supervisor

    def execute(self, now: int, actions: Iterable[api.Action]) -> None:
        """Carries out the actions in order. `now`: the time of the batch, microseconds."""
        for action in actions:
            try:
                self._execute(now, action)
            except Exception as error:
                self._supervisor.record_failure(f"decider, {type(action).__name__}", error)

    def _execute(self, now: int, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                self._on_start_attempt(now, action)
            case api.CancelAttempt():
                self._on_cancel_attempt(action)
            case api.SetResources():
                self._on_set_resources(action)
            case api.RejectRequest():
                self._on_reject_request(now, action)
            case api.FailRequest():
                self._on_fail_request(now, action)
            case api.SetTimer(at, token):
                self._timers.add(at, token)
            case _:
                name = f"{type(action).__name__} is never asked for here"
                self._supervisor.invariants.check(name, False)

    def _on_start_attempt(self, now: int, action: api.StartAttempt) -> None:
        request = self._requests.get(action.request_id)
        if request is not None:
            self._attempts.start(now, request, action)

    def _on_cancel_attempt(self, action: api.CancelAttempt) -> None:
        request = self._requests.get(action.request_id)
        if request is not None:
            self._attempts.cancel(request, action.attempt)

    def _on_set_resources(self, action: api.SetResources) -> None:
        request = self._requests.get(action.request_id)
        if request is not None:
            self._attempts.change_priority(request, action.priority)

    def _on_reject_request(self, now: int, action: api.RejectRequest) -> None:
        request = self._requests.get_open(action.request_id)
        if request is not None:
            self._replies.log_no_result(now, request, action.reason)
            self._replies.reject(request, action.retry_after)

    def _on_fail_request(self, now: int, action: api.FailRequest) -> None:
        request = self._requests.get_open(action.request_id)
        if request is not None:
            self._replies.log_no_result(now, request, action.reason)
            self._replies.fail(request, NOT_ANSWERED)
