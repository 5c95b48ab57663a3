"""The commitment gate: claims the key of a request before the request is sent to an endpoint.

The key is claimed at the primary of its shard, and the answer is stored there before the client gets it.
Imported only where the operator file has `remember`.
"""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace
from hashlib import blake2b

from lotusstream import interface as api
from lotusstream.copies import claim_events
from lotusstream.copies.claim_events import (
    AbandonRequest,
    AttemptCancelled,
    AttemptRequested,
    ClaimTimeAdvanced,
    DeliverAnswer,
    EndpointAnswered,
    PrimaryReplied,
    ReleaseAttempt,
    ReportEarlierExecution,
    RequestEnded,
    ReturnAttempt,
    SendToPrimary,
    ShutdownDeadlineSet,
    WithholdAnswer,
)
from lotusstream.copies.idempotency import ClaimCoordinator, ClaimOptions
from lotusstream.copies.shards import ReplicaHost, ReplicaId
from lotusstream.deployment import Deployment
from lotusstream.interface import DeduplicationScope, Idempotency, Outcome, Profile
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.attempt_messages import AbortAttempt, AttemptFinished, RunAttempt
from lotusstream.net.clock import Clock
from lotusstream.net.commitment_gate import (
    AnswerReady,
    AnswerReceived,
    AttemptControl,
    AttemptReady,
    GateMessage,
    RequestClosed,
)
from lotusstream.net.connection import US_PER_S
from lotusstream.net.decider import Decider
from lotusstream.net.decider_messages import SubsystemEvent
from lotusstream.net.endpoint import EndpointActor
from lotusstream.operator.fleet import FleetSettings
from lotusstream.protocol import peers as wire

# A claim may take 1/4 of the time until the request's deadline, a primary's reply 1/4 of the peer timeout.
CLAIM_TIME_DIVISOR = 4
RETRY_PAUSE_DIVISOR = 8  # a request that a primary refused is repeated after 1/8 of the reply timeout
RESERVED_TIME_DIVISOR = 50  # 1/50 of the client timeout is reserved for sending the answer
# Reserved before the deadline of a shutdown for the replies to requests whose answers could not be stored.
SHUTDOWN_RESERVE_US = 100_000
DIGEST_BYTES = 16  # length of a request's digest
# In place of a zone's index: the zone is unknown. In place of a cell's: deduplication is not per cell.
UNKNOWN_INDEX = -1


@dataclass(frozen=True, slots=True)
class _ClaimTimerFired:
    """The timer has fired: a retry or a deadline of the coordinator may be due."""


@dataclass(frozen=True, slots=True)
class _WaitingAttempt:
    """An attempt that waits until its key is claimed."""

    start: RunAttempt
    actor: EndpointActor  # actor of the endpoint that executes the attempt


@dataclass(frozen=True, slots=True)
class _ArmedTimer:
    due: int  # when it fires, microseconds
    handle: asyncio.TimerHandle


class CommitmentActor(Actor[GateMessage | wire.CommitmentReply | _ClaimTimerFired]):
    """Drives a `ClaimCoordinator`, and reports its outcomes to the decider."""

    def __init__(
        self,
        name: str,
        settings: FleetSettings,
        deployment: Deployment,
        decider: Decider,
        clock: Clock,
        send_frame: Callable[[str, wire.PeerFrame], None],
        supervisor: Supervisor,
    ) -> None:
        super().__init__("promises", supervisor)
        assert settings.copies is not None and settings.idempotency_retention_us is not None
        self._deployment = deployment
        self._retention_us = settings.idempotency_retention_us
        self._decider = decider
        self._clock = clock
        self._send_frame = send_frame
        hosts = [ReplicaHost(ReplicaId(each.name, ""), each.machine, each.zone) for each in settings.replicas]
        reply_timeout = settings.peer_timeout_us // CLAIM_TIME_DIVISOR
        options = ClaimOptions(
            settings.copies.shard_count,
            settings.copies.replica_count,
            reply_timeout,
            reply_timeout // RETRY_PAUSE_DIVISOR,
        )
        self._coordinator = ClaimCoordinator(f"{name}.{uuid.uuid4().hex[:12]}", hosts, options)
        self._waiting: dict[tuple[int, int], _WaitingAttempt] = {}  # key: request ID and attempt number
        self._timer: _ArmedTimer | None = None

    def covers(self, profile: int, idempotency_key: str | None) -> bool:
        """Whether a request passes through the gate: it has an idempotency key, and executing it twice would
        do harm.

        :param profile: index of the request's profile.
        """
        idempotency = self._deployment.started.profiles[profile].idempotency
        return idempotency_key is not None and idempotency is not Idempotency.IDEMPOTENT

    async def receive(self, message: GateMessage | wire.CommitmentReply | _ClaimTimerFired) -> None:
        """Process a message of the decider, a reply of a primary, or the timer."""
        match message:
            case AttemptReady():
                self._on_attempt_ready(message)
            case AttemptControl():
                self._on_attempt_control(message)
            case AnswerReceived():
                self._on_answer_received(message)
            case RequestClosed(request, may_have_run, in_flight, time_limit):
                deadline = self._clock.now() + time_limit
                self._handle(RequestEnded(request, may_have_run, in_flight, deadline))
            case wire.CommitmentReply(number, outcome, record, reason, primary):
                self._handle(PrimaryReplied(number, outcome, record, reason, primary))
            case api.ShutdownStarted(deadline):
                self._handle(ShutdownDeadlineSet(deadline - SHUTDOWN_RESERVE_US))
            case _ClaimTimerFired():
                self._handle(ClaimTimeAdvanced())

    # Messages of the decider

    def _on_attempt_ready(self, message: AttemptReady) -> None:
        start, request = message.start, message.request
        profile = self._deployment.started.profiles[request.fields.profile]
        now = self._clock.now()
        key = request.fields.idempotency_key
        assert key is not None
        self._waiting[start.request_id, start.attempt] = _WaitingAttempt(start, message.actor)
        event = AttemptRequested(
            request=start.request_id,
            attempt=start.attempt,
            key=key,
            request_digest=_digest(start),
            zone=self._deduplication_zone(profile, message.entry),
            cell=_deduplication_cell(profile, message.entry),
            executing_since=now,
            expires_at=now + max(self._retention_us, profile.deduplication_window),
            deadline=now + (request.deadline - now) // CLAIM_TIME_DIVISOR,
            may_retry=profile.idempotency is Idempotency.IDEMPOTENT_WITH_KEY,
        )
        self._handle(event)

    def _deduplication_zone(self, profile: Profile, entry: api.EndpointEntry) -> str:
        """Return the zone within which endpoints drop repeats; "": the deduplication scope is not a zone."""
        zones = self._deployment.zones
        if profile.deduplication_scope is DeduplicationScope.ZONE and entry.zone < len(zones):
            return zones[entry.zone]
        return ""

    def _on_attempt_control(self, control: AttemptControl) -> None:
        """Abort or change an attempt that waits here; pass the message on if the attempt has been sent."""
        order = control.message
        waiting = self._waiting.get((order.request_id, order.attempt))
        if waiting is None:
            control.actor.post(order)
        elif isinstance(order, AbortAttempt):
            self._handle(AttemptCancelled(order.request_id, order.attempt))
        else:
            start = replace(waiting.start, priority=order.priority)
            self._waiting[order.request_id, order.attempt] = _WaitingAttempt(start, control.actor)

    def _on_answer_received(self, answer: AnswerReceived) -> None:
        """Store the answer, by a deadline that leaves time to send it to the client."""
        reserved = answer.time_limit // RESERVED_TIME_DIVISOR
        halfway = (self._clock.now() + answer.deadline) // 2
        deadline = max(answer.deadline - reserved, halfway)
        self._handle(EndpointAnswered(answer.request_id, answer.rows, deadline))

    # Actions of the coordinator

    def _handle(self, event: claim_events.Event) -> None:
        for action in self._coordinator.handle(self._clock.now(), event):
            self._carry_out(action)
        self._arm_timer()

    def _carry_out(self, action: claim_events.Action) -> None:
        match action:
            case SendToPrimary(host, number, completes, record, previous_owner):
                self._send_frame(host, wire.CommitmentRequest(number, completes, record, previous_owner))
            case ReleaseAttempt(request, attempt):
                self._release(request, attempt)
            case ReturnAttempt(request, attempt):
                waiting = self._waiting.pop((request, attempt))
                endpoint_id = waiting.actor.endpoint_id
                self._decider.post(AttemptFinished(request, attempt, endpoint_id, Outcome.MOOT, 0))
            case ReportEarlierExecution():
                self._report_earlier_execution(action)
            case AbandonRequest(request, reason):
                self.supervisor.counters.add("commands that nothing can be promised for")
                self.supervisor.log.write("promises", f"request abandoned: {reason}", reason=reason)
                self._decider.post(SubsystemEvent(api.RequestWithdrawn(request)))
            case DeliverAnswer(request, answer):
                self._decider.post(AnswerReady(request, answer, ""))
            case WithholdAnswer(request, reason):
                self.supervisor.counters.add("answers withheld")
                self._decider.post(AnswerReady(request, None, reason))

    def _release(self, request: int, attempt: int) -> None:
        """Send an attempt to its endpoint's actor. Its latency is measured from now, so it
        does not include the wait for the claim."""
        waiting = self._waiting.pop((request, attempt))
        counters = self.supervisor.counters
        counters.add("sends promised")
        counters.peak("wait for a promise, us", self._clock.now() - waiting.start.started_at)
        waiting.actor.post(replace(waiting.start, started_at=self._clock.now()))

    def _report_earlier_execution(self, action: ReportEarlierExecution) -> None:
        self.supervisor.counters.add("commands that may have run elsewhere")
        zones = self._deployment.zones
        zone = zones.index(action.zone) if action.zone in zones else UNKNOWN_INDEX
        event = api.ExecutedElsewhere(action.request, zone, action.cell, action.executing_since)
        self._decider.post(SubsystemEvent(event))

    # The timer

    def _arm_timer(self) -> None:
        """Set the timer to the coordinator's next due time, unless it is set to an earlier time already."""
        due = self._coordinator.next_timer_at
        if due is None or (self._timer is not None and self._timer.due <= due):
            return
        if self._timer is not None:
            self._timer.handle.cancel()
        delay_s = max(0, due - self._clock.now()) / US_PER_S
        handle = asyncio.get_running_loop().call_later(delay_s, self._on_timer)
        self._timer = _ArmedTimer(due, handle)

    def _on_timer(self) -> None:
        self._timer = None
        self.post(_ClaimTimerFired())


def _digest(start: RunAttempt) -> str:
    """Return a digest of profile and statement: a repeat with the same idempotency key must have the
    same digest."""
    text = start.profile.encode() + b"\0" + start.statement
    return blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def _deduplication_cell(profile: Profile, entry: api.EndpointEntry) -> int:
    """Return the cell within which endpoints drop repeats; `UNKNOWN_INDEX`: the scope is not a cell."""
    return entry.cell if profile.deduplication_scope is DeduplicationScope.CELL else UNKNOWN_INDEX
