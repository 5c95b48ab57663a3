"""The sole owner of the decision module: its clock, its timers, its commands' ids, and its actions."""

from __future__ import annotations

import asyncio
import heapq
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Protocol, cast

from lotusstream import interface as api
from lotusstream.deployment import Deployment
from lotusstream.interface import Outcome
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.client import ClientReply, ReceivedRequest, RequestAbandoned, RequestOverdue
from lotusstream.net.clock import Clock
from lotusstream.net.commitment_gate import (
    AnswerReady,
    AnswerReceived,
    AttemptControl,
    AttemptReady,
    CommitmentGate,
    RequestClosed,
)
from lotusstream.net.connection import US, Address, SocketBudget
from lotusstream.net.decider_mailbox import DeciderMailbox
from lotusstream.net.decider_messages import (
    DeciderMessage,
    OpenRequestView,
    OperatorView,
    SubsystemEvent,
    TimerDue,
    ViewRequested,
)
from lotusstream.net.endpoint import AbortAttempt, AttemptFinished, ChangePriority, EndpointActor, RunAttempt
from lotusstream.net.endpoint_registry import EndpointRegistry
from lotusstream.policy import Gateway
from lotusstream.protocol import discovery, front

BATCH_TIME_BUDGET_US = 10_000  # microseconds that the decisions on new requests may take in one round
MAX_QUEUE_DELAY_US = 100_000  # microseconds after which a request is told whatever fits: it may be refused
INITIAL_BATCH_REQUEST_COUNT = 8  # in a round, until it is known what one takes
LIST_SLICE_ENTRY_COUNT = 256  # entries of a list that the module is told of in one round


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A command as the module knows it, until it is over and its sends have ended."""

    id: int
    taken: ReceivedRequest
    open: bool = True
    sends: list[EndpointActor | None] = field(default_factory=list)
    out: set[int] = field(default_factory=set)
    priority: int | None = None
    behind: bool = False  # what it does is promised first
    ran: bool = False  # a send that has ended may have run
    answering: bool = False  # its answer is being held for repeats
    last_outcome: Outcome | None = None  # of a send


class DecisionModule(Protocol):
    def handle(self, now: int, event: Any) -> list[api.Action]: ...


class Decider(Actor[DeciderMessage]):
    mailbox: DeciderMailbox

    def __init__(
        self,
        deployment: Deployment,
        budget: SocketBudget,
        statement_bytes: int,
        clock: Clock,
        supervisor: Supervisor,
        beside: Callable[[DecisionModule], DecisionModule] | None = None,
    ) -> None:
        """`beside`: what is put beside each new module."""
        super().__init__("decider", supervisor)
        self.mailbox = DeciderMailbox()
        self._beside = beside
        self.gate: CommitmentGate | None = None
        self._most_bytes, self._bytes = statement_bytes, 0
        self._deployment, self._budget, self._clock = deployment, budget, clock
        allowed = replace(
            deployment.started.capabilities,
            health_checks=False,
            memory_grants=False,
            requires_subscription=False,
        )
        self._started = replace(
            deployment.started, capabilities=allowed
        )  # what this protocol has no call for
        self._module = self._new_module()
        self._stopping: api.ShutdownStarted | None = None
        self._now = self._last_round = 0
        self._left_over = False  # something is to be told that did not fit the last round
        self._request_cost, self._most_requests = 0.0, INITIAL_BATCH_REQUEST_COUNT
        self._ids = 0
        self._held: dict[int, OpenRequest] = {}
        self._by_taken: dict[ReceivedRequest, OpenRequest] = {}
        self._calls: set[str] = set()
        self._endpoints = EndpointRegistry(self._new_actor, deployment.idle_timeout)
        self._list_slices: deque[discovery.ListedEndpoint] = deque()  # that the module has not been told yet
        self._timers: list[tuple[int, int]] = []
        self._armed: tuple[int, asyncio.TimerHandle] | None = None
        self.has_endpoint_list = False

    async def run(self) -> None:
        self._now = self._clock.now()
        self._carry_out(self._tell(self._started))
        while True:
            await self.mailbox.wait()
            pause = self._last_round + self._started.batch_interval - self._clock.now()
            if pause > 0 or self._left_over:  # then a turn of the loop at least: sockets are read in between
                await asyncio.sleep(max(0, pause) / US)
            self._round()

    # What is told

    def _round(self) -> None:
        """All that is known by now, then Settled, then the actions in their order. What ends, leaves or is
        withdrawn is told before new requests, and of these no more than fit a round: the rest waits for the
        next, and the module is told for how long."""
        self._now = self._last_round = max(self._now, self._clock.now())
        actions: list[api.Action] = []
        while (message := self.mailbox.take()) is not None:
            actions += self._told(message)
        if (news := self._next_slice()) is not None:
            actions += self._tell(news)
        taken = 0
        while (first := self.mailbox.first_request) is not None:
            if taken >= self._most_requests and self._now - first.sent_at < MAX_QUEUE_DELAY_US:
                break
            self.mailbox.drop_first_request()
            actions += self._told(first)
            taken += 1
        self._left_over = bool(self._list_slices) or self.mailbox.first_request is not None
        if self._left_over:
            self.mailbox.wake()
        while self._timers and self._timers[0][0] <= self._now:
            actions += self._tell(api.TimerFired(heapq.heappop(self._timers)[1]))
        actions += self._tell(api.BatchEnded())
        self._carry_out(actions)
        self._arm()
        spent = self._clock.now() - self._now
        self.supervisor.counters.observe("round, us", spent)
        self._learn_cost(taken, spent)

    def _learn_cost(self, taken: int, spent: int) -> None:
        """How many new requests fit a round, by what one has taken lately."""
        if taken:
            self._request_cost += (spent / taken - self._request_cost) / 8
            self._most_requests = max(1, int(BATCH_TIME_BUDGET_US / max(self._request_cost, 1.0)))

    def _told(self, message: DeciderMessage) -> list[api.Action]:
        try:
            event = self._event(message)
        except Exception as error:
            self.supervisor.failed(f"decider, {type(message).__name__}", error)
            return []
        return [] if event is None else self._tell(event)

    def _event(self, message: DeciderMessage) -> api.Event | None:
        match message:
            case ReceivedRequest():
                return self._take(message)
            case RequestAbandoned(command):
                return self._left(command)
            case RequestOverdue(command):
                return self._overdue(command)
            case AttemptFinished():
                return self._ended(message)
            case api.AttemptProgressed():
                return message if message.request_id in self._held else None
            case discovery.EndpointListUpdate():
                self._on_endpoint_list_update(message)
            case api.ShutdownStarted():
                self._stopping = message
                return message
            case SubsystemEvent(event):
                return cast("api.Event", event)
            case ViewRequested(answer):
                self._describe(answer)
            case AnswerReady():
                return self._hand_out(message)
        return None

    def _take(self, taken: ReceivedRequest) -> api.Event | None:
        counters, profile = self.supervisor.counters, self._deployment.profiles[taken.fields.profile]
        counters.add(f"taken {profile}")
        waited = self._now - taken.sent_at
        counters.observe("wait before the module, us", waited)
        if taken.closed:
            counters.add("left before they were decided")
            return None
        if taken.fields.call_id in self._calls:
            counters.add("commands unusable")
            taken.client.post(ClientReply(front.encode_failure(taken.seqid, "call is open already"), taken))
            return None
        many = 0 < self._deployment.max_open_requests <= len(self._by_taken)
        if many or self._bytes + len(taken.statement) > self._most_bytes:
            counters.add("commands past the limits")
            counters.add(f"shed {profile}")
            taken.client.post(ClientReply(front.encode_rejection(taken.seqid, 0), taken))
            return None
        self._ids += 1
        held = self._held[self._ids] = self._by_taken[taken] = OpenRequest(self._ids, taken)
        held.behind = self.gate is not None and self.gate.covers(
            taken.fields.profile, taken.fields.idempotency_key
        )
        self._calls.add(taken.fields.call_id)
        self._bytes += len(taken.statement)
        fields, left = taken.fields, max(0, taken.deadline - self._now)
        return api.RequestReceived(
            held.id,
            fields.profile,
            fields.work_hint,
            fields.memory_mb,
            left,
            taken.group,
            None,
            tenant=taken.tenant,
            queue_delay=max(0, waited),
        )

    def _left(self, taken: ReceivedRequest) -> api.Event | None:
        held = self._by_taken.get(taken)
        if held is None:
            return None
        self.supervisor.counters.add(f"left {self._deployment.profiles[taken.fields.profile]}")
        self._close(held)
        return api.ClientDisconnected(held.id)

    def _overdue(self, taken: ReceivedRequest) -> api.Event | None:
        """Guards the client against a module that forgot its command."""
        if (held := self._by_taken.get(taken)) is None:
            return None
        self.supervisor.log.write(
            "unanswered",
            f"request {taken.fields.call_id} is overdue: "
            f"{len(held.sends)} attempts, {len(held.out)} still out",
            call=taken.fields.call_id,
            attempts=len(held.sends),
        )
        self._answer(held, front.encode_failure(taken.seqid, "not answered"), "failed")
        self.supervisor.invariants.check("a command is answered in its client's time", False)
        return api.ClientDisconnected(held.id)

    def _ended(self, told: AttemptFinished) -> api.Event | None:
        held = self._held.get(told.request_id)
        once = held is not None and told.attempt in held.out
        if not self.supervisor.invariants.check("a send ends once", once) or held is None:
            return None
        held.out.discard(told.attempt)
        held.last_outcome = told.outcome
        if (actor := held.sends[told.attempt]) is not None:
            actor.in_flight, actor.used_at = actor.in_flight - 1, self._now
        self.supervisor.counters.add(f"sends {told.outcome.name.lower()}")
        held.ran = held.ran or told.outcome not in api.PROVES_NOT_EXECUTED
        if told.outcome is Outcome.ANSWERED and held.open:
            self._answered(held, told.rows or b"")
        over = not held.open or held.answering
        self._forget(held)
        return api.AttemptEnded(
            request_id=told.request_id,
            attempt=told.attempt,
            endpoint_id=told.endpoint_id,
            outcome=told.outcome,
            latency=told.latency,
            request_finished=over,
            work=told.work,
            memory_mb=told.memory_mb,
            report=None,
            endpoint_responded=told.endpoint_responded,
        )

    def _answered(self, held: OpenRequest, rows: bytes) -> None:
        if self.gate is None or not held.behind:
            frame = front.encode_answer("process", held.taken.seqid, rows, True)
            self._answer(held, frame, "answered")
        elif not held.answering:
            held.answering, taken = True, held.taken
            self.gate.post(AnswerReceived(held.id, rows, taken.deadline, taken.fields.time_left))

    def _hand_out(self, ready: AnswerReady) -> api.Event | None:
        """The answer is held, or one that was held before."""
        if (held := self._owed(ready.request_id)) is None:
            return None
        seqid = held.taken.seqid
        if ready.rows is None:
            self._answer(held, front.encode_failure(seqid, ready.reason), "failed")
        else:
            self.supervisor.counters.add("answers told again", 0 if held.answering else 1)
            self._answer(held, front.encode_answer("process", seqid, ready.rows, True), "answered")
        return api.ClientDisconnected(held.id)

    def _on_endpoint_list_update(self, notice: discovery.EndpointListUpdate) -> None:
        """Takes what a list says anew. A long one is told to the module in slices, a round each, so that
        answers and timers are not held up; what is withdrawn comes first."""
        began = self._clock.now()
        differing = self._endpoints.changed_entries(notice)
        self._endpoints.apply(differing)
        self.supervisor.counters.observe("list applied, us", self._clock.now() - began)
        latest = {each.entry.id: each for each in (*self._list_slices, *differing)}
        withdrawn_first = sorted(
            latest.values(), key=lambda each: each.entry.status is api.EndpointStatus.READY
        )
        self._list_slices = deque(withdrawn_first)
        self.supervisor.counters.peak("listed endpoints", len(self._endpoints))
        self.supervisor.counters.add("list entries changed", len(differing))
        self.has_endpoint_list = True

    def _next_slice(self) -> api.EndpointListReceived | None:
        if not self._list_slices:
            return None
        count = min(LIST_SLICE_ENTRY_COUNT, len(self._list_slices))
        entries = tuple(self._list_slices.popleft().entry for _ in range(count))
        return api.EndpointListReceived(api.EndpointListKind.DELTA, entries)

    def evaluate(self) -> None:
        """Now and then: what is overdue, idle or retired."""
        now = self._clock.now()
        for taken in self._by_taken:
            if now > taken.deadline:
                self.post(RequestOverdue(taken))
        self._budget.trim(now)
        self._endpoints.close_idle_actors(now)

    def _describe(self, answer: asyncio.Future[OperatorView]) -> None:
        believed = next(
            (a for a in self._tell(api.SnapshotRequested()) if isinstance(a, api.GatewaySnapshot)), None
        )
        if believed is None or answer.done():
            return
        commands = []
        for held in self._by_taken.values():
            taken, profile = held.taken, self._deployment.profiles[held.taken.fields.profile]
            actors = [held.sends[number] for number in sorted(held.out)]
            engines = tuple(actor.endpoint_id.decode("latin-1") for actor in actors if actor is not None)
            age = self._now - (taken.deadline - taken.fields.time_left)
            left = taken.deadline - self._now
            commands.append(
                OpenRequestView(
                    held.id, taken.fields.call_id, profile, taken.group, age, left, len(held.sends), engines
                )
            )
        addresses = self._endpoints.addresses()
        answer.set_result(
            OperatorView(self._now, believed, tuple(commands), addresses, self._deployment.kinds)
        )

    def _new_actor(self, engine: api.EndpointId, endpoint: Address) -> EndpointActor:
        return EndpointActor(
            engine,
            endpoint,
            self._budget,
            self._deployment.connect_timeout,
            self._deployment.idle_timeout,
            self._clock,
            self.post,
            self.supervisor,
            self._started.capabilities.hedging,
        )

    # The module

    def _new_module(self) -> DecisionModule:
        module = Gateway()
        return self._beside(module) if self._beside else module

    def _tell(self, event: api.Event) -> list[api.Action]:
        try:
            return list(self._module.handle(self._now, event))
        except Exception:
            self.supervisor.counters.add("module failed")
            self.supervisor.log.write("module failed", f"at {event}\n{traceback.format_exc()}")
        try:
            return self._begin_anew()
        except Exception as error:
            self.supervisor.failed("a new module", error)
            return []

    def _begin_anew(self) -> list[api.Action]:
        """What it was about is unknown: every open command fails, and a new module starts from nothing."""
        for held in [held for held in self._by_taken.values() if not held.answering]:
            self._answer(held, front.encode_failure(held.taken.seqid, "internal error"), "failed")
        for held in list(self._held.values()):
            for number in held.out:
                self._cancel(held, number)
        self._module = self._new_module()
        self._timers.clear()
        listed = tuple(listed.entry for listed in self._endpoints.listed.values())
        news = api.EndpointListReceived(api.EndpointListKind.SNAPSHOT, listed)
        events = (self._started, news, self._stopping) if self._stopping else (self._started, news)
        return [action for event in events for action in self._module.handle(self._now, event)]

    def _carry_out(self, actions: list[api.Action]) -> None:
        for action in actions:
            try:
                self._act(action)
            except Exception as error:
                self.supervisor.failed(f"decider, {type(action).__name__}", error)

    def _act(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                self._send(action)
            case api.CancelAttempt(command, send):
                if held := self._held.get(command):
                    self._cancel(held, send)
            case api.SetResources(command, _, priority):
                if held := self._held.get(command):
                    self._set_priority(held, priority)
            case api.RejectRequest(command, come_back_after):
                if held := self._owed(command):
                    self._note_refusal(held, action.reason)
                    self._answer(held, front.encode_rejection(held.taken.seqid, come_back_after), "shed")
            case api.FailRequest(command):
                if held := self._owed(command):
                    self._note_refusal(held, action.reason)
                    self._answer(held, front.encode_failure(held.taken.seqid, "not answered"), "failed")
            case api.SetTimer(at, token):
                heapq.heappush(self._timers, (at, token))
            case _:
                self.supervisor.invariants.check(f"{type(action).__name__} is never asked for here", False)

    def _owed(self, command: int) -> OpenRequest | None:
        """The command, where an answer is still owed: the client may have left a moment ago."""
        held = self._held.get(command)
        return held if held is not None and held.open else None

    def _send(self, action: api.StartAttempt) -> None:
        held = self._held.get(action.request_id)
        if held is None:  # it left, or the module began anew, in this very round
            return
        number, actor = len(held.sends), self._endpoints.actor(action.endpoint_id)
        held.sends.append(actor)
        held.out.add(number)
        usable = held.open and number < self._started.capabilities.max_attempts
        if actor is None or not usable:
            held.sends[number] = None
            self.post(AttemptFinished(held.id, number, action.endpoint_id, Outcome.MOOT, 0))
            return
        actor.in_flight, actor.used_at = actor.in_flight + 1, self._now
        taken = held.taken
        ends_at = min(self._now + action.timeout, taken.deadline) if action.timeout else taken.deadline
        profile = self._deployment.profiles[taken.fields.profile]
        self.supervisor.counters.add(f"sent {profile}")
        if number:
            before = held.last_outcome.name.lower() if held.last_outcome is not None else "still out"
            self.supervisor.counters.add(f"sent again after {before}")
        start = RunAttempt(
            request_id=held.id,
            attempt=number,
            started_at=self._now,
            deadline=ends_at,
            call_id=taken.fields.call_id,
            profile=profile,
            statement=taken.statement,
            idempotency_key=taken.fields.idempotency_key,
            priority=held.priority,
            is_awaited=taken.is_awaited,
        )
        if self.gate is not None and held.behind:
            self.gate.post(
                AttemptReady(start, actor, self._endpoints.listed[action.endpoint_id].entry, taken)
            )
        else:
            actor.post(start)

    def _pass(self, held: OpenRequest, actor: EndpointActor, message: AbortAttempt | ChangePriority) -> None:
        if self.gate is not None and held.behind:
            self.gate.post(AttemptControl(actor, message))
        else:
            actor.post(message)

    def _cancel(self, held: OpenRequest, number: int) -> None:
        if number in held.out and (actor := held.sends[number]) is not None:
            self._pass(held, actor, AbortAttempt(held.id, number))

    def _set_priority(self, held: OpenRequest, priority: int) -> None:
        held.priority = priority
        for number in held.out:
            if (actor := held.sends[number]) is not None:
                self._pass(held, actor, ChangePriority(held.id, number, priority))

    # Endings

    def _note_refusal(self, held: OpenRequest, reason: api.RejectionReason) -> None:
        """Why a request gets no result: counted, and said by its id."""
        counters, taken = self.supervisor.counters, held.taken
        counters.add(f"no result: {reason.value}")
        age = (self._now - taken.sent_at) // 1000
        self.supervisor.log.write(
            "no result",
            f"request {taken.fields.call_id} after {age} ms and {len(held.sends)} attempts: {reason.value}",
            "info",
            call=taken.fields.call_id,
            age_ms=age,
            attempts=len(held.sends),
            reason=reason.name.lower(),
        )

    def _answer(self, held: OpenRequest, frame: bytes, how: str) -> None:
        profile = self._deployment.profiles[held.taken.fields.profile]
        self.supervisor.counters.add(f"{how} {profile}")
        held.taken.client.post(ClientReply(frame, held.taken))
        self._close(held)

    def _close(self, held: OpenRequest) -> None:
        held.open, held.taken.closed = False, True
        if self.gate is not None and held.behind:
            self.gate.post(RequestClosed(held.id, held.ran, frozenset(held.out), held.taken.fields.time_left))
        self._bytes -= len(held.taken.statement)
        held.taken.statement = b""
        self._by_taken.pop(held.taken, None)
        self._calls.discard(held.taken.fields.call_id)
        self._forget(held)

    def _forget(self, held: OpenRequest) -> None:
        if not held.open and not held.out:
            self._held.pop(held.id, None)

    # Timers

    def _arm(self) -> None:
        if not self._timers or (self._armed and self._armed[0] <= self._timers[0][0]):
            return
        if self._armed:
            self._armed[1].cancel()
        at = self._timers[0][0]
        delay = max(0, at - self._clock.now()) / US
        self._armed = (at, asyncio.get_running_loop().call_later(delay, self._ring))

    def _ring(self) -> None:
        self._armed = None
        self.post(TimerDue())
