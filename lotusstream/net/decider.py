"""The actor that owns the decision module: turns messages into events and executes the resulting actions."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import replace
from typing import cast

from lotusstream import interface as api
from lotusstream.deployment import Deployment
from lotusstream.net.action_executor import ActionExecutor
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.attempt_dispatcher import AttemptDispatcher
from lotusstream.net.attempt_messages import AttemptFinished
from lotusstream.net.batch_limiter import BatchLimiter
from lotusstream.net.clock import Clock
from lotusstream.net.commitment_gate import AnswerReady, CommitmentGate
from lotusstream.net.connection import US_PER_S, Address, SocketBudget
from lotusstream.net.decider_mailbox import DeciderMailbox
from lotusstream.net.decider_messages import (
    DeciderMessage,
    OperatorView,
    SubsystemEvent,
    TimerDue,
    ViewRequested,
)
from lotusstream.net.decision_module import DecisionModuleHost, WrapModule
from lotusstream.net.decision_timers import DecisionTimers
from lotusstream.net.endpoint import EndpointActor
from lotusstream.net.endpoint_list_feed import EndpointListFeed
from lotusstream.net.endpoint_registry import EndpointRegistry
from lotusstream.net.open_requests import OpenRequestTable
from lotusstream.net.operator_view import operator_view
from lotusstream.net.received_request import ReceivedRequest, RequestAbandoned, RequestOverdue
from lotusstream.net.request_lifecycle import RequestLifecycle
from lotusstream.net.request_replies import RequestReplies
from lotusstream.protocol import discovery

MAX_QUEUE_DELAY_US = 100_000  # a request that has waited this long is decided even in a full batch


class Decider(Actor[DeciderMessage]):
    """Notifies the decision module in batches, and executes its actions at the end of each batch.

    Only this actor calls the module. All events of a batch have the same time, and time never decreases from
    one batch to the next.
    """

    mailbox: DeciderMailbox

    def __init__(
        self,
        deployment: Deployment,
        budget: SocketBudget,
        max_statement_bytes: int,
        clock: Clock,
        supervisor: Supervisor,
        wrap_module: WrapModule | None = None,
    ) -> None:
        """
        :param budget: limits the connections to endpoints.
        :param max_statement_bytes: limit on the statements of all open requests together.
        :param wrap_module: wraps each new decision module in the subsystems; None: there are none.
        """
        super().__init__("decider", supervisor)
        self.mailbox = DeciderMailbox()
        self.has_endpoint_list = False  # whether an endpoint list was received since the start
        self._deployment = deployment
        self._budget = budget
        self._clock = clock
        self._startup_event = _supported(deployment.started)
        self._shutdown_event: api.ShutdownStarted | None = None
        self._now = 0  # time of the current batch, microseconds
        self._last_batch_at = 0  # start of the last batch, microseconds; 0: none yet
        self._has_leftovers = False  # whether requests or list changes did not fit in the last batch
        self._batch_limiter = BatchLimiter()
        self._timers = DecisionTimers(clock, lambda: self.post(TimerDue()))
        self._endpoints = EndpointRegistry(self._new_endpoint_actor, deployment.idle_timeout)
        self._list_feed = EndpointListFeed(self._endpoints, clock, supervisor.counters)
        self._requests = OpenRequestTable(deployment.max_open_requests, max_statement_bytes)
        replies = RequestReplies(deployment, self._requests, supervisor)
        max_attempts = self._startup_event.capabilities.max_attempts
        attempts = AttemptDispatcher(
            deployment, max_attempts, self._endpoints, self.post, supervisor.counters
        )
        self._lifecycle = RequestLifecycle(deployment, self._requests, attempts, replies, supervisor)
        self._executor = ActionExecutor(self._requests, attempts, replies, self._timers, supervisor)
        self._module = DecisionModuleHost(
            wrap_module, self._timers, self._lifecycle.abandon_all, self._restart_events, supervisor
        )

    def set_commitment_gate(self, gate: CommitmentGate) -> None:
        """Sets the gate that claims the idempotency key of a request before an attempt is sent, and retains
        its answer before the client gets it. Must be called before `start`."""
        self._lifecycle.gate = gate

    async def run(self) -> None:
        """Runs a batch whenever there are messages, at most one per batch interval of the deployment."""
        self._now = self._clock.now()
        self._executor.execute(self._now, self._notify(self._startup_event))
        while True:
            await self.mailbox.wait()
            pause = self._last_batch_at + self._startup_event.batch_interval - self._clock.now()
            # Yields to the event loop at least once, so that sockets are read between two batches.
            if pause > 0 or self._has_leftovers:
                await asyncio.sleep(max(0, pause) / US_PER_S)
            self._run_batch()

    def evaluate(self) -> None:
        """Periodic evaluation: reports overdue requests, closes idle connections and idle endpoint actors."""
        now = self._clock.now()
        for request in self._requests:
            if now > request.received.deadline:
                self.post(RequestOverdue(request.received))
        self._budget.trim(now)
        self._endpoints.close_idle_actors(now)

    # Batches

    def _run_batch(self) -> None:
        """Notifies the module of all pending messages, then executes its actions in order. New requests come
        after all other messages, and only as many as fit in the batch: the rest wait for the next batch.
        RequestReceived.queue_delay is the time that each has waited."""
        self._now = max(self._now, self._clock.now())
        self._last_batch_at = self._now
        actions: list[api.Action] = []
        while (message := self.mailbox.take()) is not None:
            actions += self._process(message)
        if self._list_feed.has_pending:
            actions += self._notify(self._list_feed.next_slice())
        request_count = self._process_requests(actions)
        self._has_leftovers = self._list_feed.has_pending or self.mailbox.first_request is not None
        if self._has_leftovers:
            self.mailbox.wake()
        while (token := self._timers.pop_due(self._now)) is not None:
            actions += self._notify(api.TimerFired(token))
        actions += self._notify(api.BatchEnded())
        self._executor.execute(self._now, actions)
        self._timers.arm()
        duration = self._clock.now() - self._now
        self.supervisor.counters.observe("round, us", duration)
        self._batch_limiter.record(request_count, duration)

    def _process_requests(self, actions: list[api.Action]) -> int:
        """Processes as many new requests as fit, and all that have waited for MAX_QUEUE_DELAY_US. Appends the
        resulting actions to `actions` and returns the number of requests."""
        count = 0
        while (request := self.mailbox.first_request) is not None:
            is_full = count >= self._batch_limiter.max_requests
            if is_full and self._now - request.sent_at < MAX_QUEUE_DELAY_US:
                break
            self.mailbox.drop_first_request()
            actions += self._process(request)
            count += 1
        return count

    def _process(self, message: DeciderMessage) -> list[api.Action]:
        """Returns the actions that result from a message. If handling it raises, the error is logged."""
        try:
            event = self._handle(message)
        except Exception as error:
            self.supervisor.record_failure(f"decider, {type(message).__name__}", error)
            return []
        return [] if event is None else self._notify(event)

    def _notify(self, event: api.Event) -> list[api.Action]:
        return self._module.handle(self._now, event)

    # Messages

    def _handle(self, message: DeciderMessage) -> api.Event | None:
        """Handles a message and returns the event for the module, if any. TimerDue and BatchDue yield no
        event: they only cause a batch."""
        match message:
            case ReceivedRequest():
                return self._lifecycle.on_received_request(self._now, message)
            case RequestAbandoned(request):
                return self._lifecycle.on_request_abandoned(request)
            case RequestOverdue(request):
                return self._lifecycle.on_request_overdue(request)
            case AttemptFinished():
                return self._lifecycle.on_attempt_finished(self._now, message)
            case api.AttemptProgressed():
                return message if message.request_id in self._requests else None
            case discovery.EndpointListUpdate():
                self._on_endpoint_list_update(message)
            case api.ShutdownStarted():
                self._shutdown_event = message
                self._lifecycle.on_shutdown_started(message)
                return message
            case SubsystemEvent(event):
                return cast("api.Event", event)
            case ViewRequested(answer):
                self._on_view_requested(answer)
            case AnswerReady():
                return self._lifecycle.on_answer_ready(message)
        return None

    def _on_view_requested(self, answer: asyncio.Future[OperatorView]) -> None:
        actions = self._notify(api.SnapshotRequested())
        snapshot = next((each for each in actions if isinstance(each, api.GatewaySnapshot)), None)
        if snapshot is None or answer.done():
            return
        view = operator_view(self._now, snapshot, self._requests, self._endpoints, self._deployment)
        answer.set_result(view)

    def _on_endpoint_list_update(self, update: discovery.EndpointListUpdate) -> None:
        self._list_feed.apply(update)
        self.has_endpoint_list = True

    # Callbacks of the endpoint registry and of the module host

    def _new_endpoint_actor(self, endpoint_id: api.EndpointId, address: Address) -> EndpointActor:
        return EndpointActor(
            endpoint_id,
            address,
            self._budget,
            self._deployment.connect_timeout,
            self._deployment.idle_timeout,
            self._clock,
            self.post,
            self.supervisor,
            self._startup_event.capabilities.hedging,
        )

    def _restart_events(self) -> Sequence[api.Event]:
        """Returns the events for a new module: startup, the current endpoint list, and the shutdown if one
        has begun."""
        snapshot = self._list_feed.snapshot()
        if self._shutdown_event is None:
            return self._startup_event, snapshot
        return self._startup_event, snapshot, self._shutdown_event


def _supported(started: api.GatewayStarted) -> api.GatewayStarted:
    """Returns the event without the capabilities that the endpoints' HTTP protocol does not offer."""
    capabilities = replace(
        started.capabilities, health_checks=False, memory_grants=False, requires_subscription=False
    )
    return replace(started, capabilities=capabilities)
