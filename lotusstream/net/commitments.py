"""Between the decider and the engines, for commands with a mark: a send leaves once its key is claimed at the
home of its shard, an answer once it is held there. Imported only where the operator file has `remember`."""

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
    WithholdAnswer,
)
from lotusstream.copies.idempotency import ClaimCoordinator, ClaimOptions
from lotusstream.copies.shards import ReplicaHost, ReplicaId
from lotusstream.deployment import Deployment
from lotusstream.interface import DeduplicationScope, Idempotency, Outcome
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.attempt_messages import AbortAttempt, AttemptFinished, ChangePriority, RunAttempt
from lotusstream.net.clock import Clock
from lotusstream.net.commitment_gate import (
    AnswerReady,
    AnswerReceived,
    AttemptControl,
    AttemptReady,
    GateMessage,
    RequestClosed,
)
from lotusstream.net.connection import US
from lotusstream.net.decider import Decider
from lotusstream.net.decider_messages import SubsystemEvent
from lotusstream.net.endpoint import EndpointActor
from lotusstream.operator.fleet import FleetSettings
from lotusstream.protocol import peers as wire

CLAIM_TIME_DIVISOR = 4  # of a command's time that a claim may take; and of a peer's patience, for one answer
RESERVED_TIME_DIVISOR = 50  # part of the time that a client gave, kept free before its end
UNKNOWN_INDEX = -1


@dataclass(frozen=True, slots=True)
class _ClaimTimerFired:
    """Time alone may change something."""


class CommitmentActor(Actor[GateMessage | wire.CommitmentReply | _ClaimTimerFired]):
    """Drives `Claims`; what it says reaches the decision module as events."""

    def __init__(
        self, name: str, told: FleetSettings, deployment: Deployment, decider: Decider, clock: Clock,
        tell: Callable[[str, wire.PeerFrame], None], supervisor: Supervisor,
    ) -> None:  # fmt: skip
        super().__init__("promises", supervisor)
        assert told.copies is not None and told.idempotency_retention_us is not None
        self._deployment, self._remember = deployment, told.idempotency_retention_us
        self._decider, self._clock, self._tell = decider, clock, tell
        holders = [ReplicaHost(ReplicaId(each.name, ""), each.machine, each.zone) for each in told.replicas]
        patience = told.peer_timeout_us // CLAIM_TIME_DIVISOR
        terms = ClaimOptions(told.copies.shard_count, told.copies.replica_count, patience, patience // 8)
        self.claims = ClaimCoordinator(f"{name}.{uuid.uuid4().hex[:12]}", holders, terms)
        self._waiting: dict[tuple[int, int], tuple[RunAttempt, EndpointActor]] = {}
        self._armed: tuple[int, asyncio.TimerHandle] | None = None

    def covers(self, profile: int, mark: str | None) -> bool:
        """Whether a repeat could be told, and would do harm."""
        effect = self._deployment.started.profiles[profile].idempotency
        return mark is not None and effect is not Idempotency.IDEMPOTENT

    async def receive(self, message: GateMessage | wire.CommitmentReply | _ClaimTimerFired) -> None:
        match message:
            case AttemptReady():
                self._departs(message)
            case AttemptControl(actor, AbortAttempt(command, number)) if (command, number) in self._waiting:
                self._take(AttemptCancelled(command, number))
            case AttemptControl(actor, ChangePriority(command, number, priority)) if (
                command,
                number,
            ) in self._waiting:
                start = self._waiting[command, number][0]
                self._waiting[command, number] = (replace(start, priority=priority), actor)
            case AttemptControl(actor, told):
                actor.post(told)
            case AnswerReceived(command, rows, ends_by, given):
                now = self._clock.now()
                by = max(ends_by - given // RESERVED_TIME_DIVISOR, (now + ends_by) // 2)
                self._take(EndpointAnswered(command, rows, by))
            case RequestClosed(command, ran, out, given):
                self._take(RequestEnded(command, ran, out, self._clock.now() + given))
            case wire.CommitmentReply(number, what, holding, why, home):
                self._take(PrimaryReplied(number, what, holding, why, home))
            case _ClaimTimerFired():
                self._take(ClaimTimeAdvanced())

    def _departs(self, message: AttemptReady) -> None:
        start, taken, engine = message.start, message.request, message.entry
        profile = self._deployment.started.profiles[taken.fields.profile]
        now, mark = self._clock.now(), taken.fields.idempotency_key
        assert mark is not None
        zones = self._deployment.zones
        zone = (
            zones[engine.zone]
            if profile.deduplication_scope is DeduplicationScope.ZONE and engine.zone < len(zones)
            else ""
        )
        cell = engine.cell if profile.deduplication_scope is DeduplicationScope.CELL else UNKNOWN_INDEX
        self._waiting[start.request_id, start.attempt] = (start, message.actor)
        said = start.profile.encode() + b"\0" + start.statement
        until = now + max(self._remember, profile.deduplication_window)
        by = now + (taken.deadline - now) // CLAIM_TIME_DIVISOR
        again = profile.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        self._take(
            AttemptRequested(
                start.request_id, start.attempt, mark, blake2b(said, digest_size=16).hexdigest(), zone, cell,
                now, until, by, again,
            )
        )  # fmt: skip

    def _take(self, event: claim_events.Event) -> None:
        counters, post = self.supervisor.counters, self._decider.post
        for action in self.claims.handle(self._clock.now(), event):
            match action:
                case SendToPrimary(holder, number, finish, holding, after):
                    self._tell(holder, wire.CommitmentRequest(number, finish, holding, after))
                case ReleaseAttempt(command, send):
                    start, actor = self._waiting.pop((command, send))
                    counters.add("sends promised")
                    counters.peak("wait for a promise, us", self._clock.now() - start.started_at)
                    actor.post(replace(start, started_at=self._clock.now()))
                case ReturnAttempt(command, send):
                    _, actor = self._waiting.pop((command, send))
                    post(AttemptFinished(command, send, actor.endpoint_id, Outcome.MOOT, 0))
                case ReportEarlierExecution(command, zone, cell, since):
                    counters.add("commands that may have run elsewhere")
                    zones = self._deployment.zones
                    at = zones.index(zone) if zone in zones else UNKNOWN_INDEX
                    post(SubsystemEvent(api.ExecutedElsewhere(command, at, cell, since)))
                case AbandonRequest(command, why):
                    counters.add("commands that nothing can be promised for")
                    self.supervisor.log.write("promises", f"given up: {why}", reason=why)
                    post(SubsystemEvent(api.RequestWithdrawn(command)))
                case DeliverAnswer(command, answer):
                    post(AnswerReady(command, answer, ""))
                case WithholdAnswer(command, why):
                    counters.add("answers withheld")
                    post(AnswerReady(command, None, why))
        self._arm()

    def _arm(self) -> None:
        at = self.claims.next_timer_at
        if at is None or (self._armed is not None and self._armed[0] <= at):
            return
        if self._armed is not None:
            self._armed[1].cancel()
        delay = max(0, at - self._clock.now()) / US
        self._armed = (at, asyncio.get_running_loop().call_later(delay, self._ring))

    def _ring(self) -> None:
        self._armed = None
        self.post(_ClaimTimerFired())
