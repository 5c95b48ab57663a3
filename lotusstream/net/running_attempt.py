"""The state of one running attempt, and what all attempts at an endpoint share."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from lotusstream import interface as api
from lotusstream.interface import Outcome
from lotusstream.net.actor import Supervisor
from lotusstream.net.attempt_messages import AttemptFinished, ReportAttemptEvent, RunAttempt
from lotusstream.net.clock import Clock
from lotusstream.net.connection import Connection, ConnectionPool
from lotusstream.protocol import http


@dataclass(slots=True, eq=False)
class EndpointContext:
    """What the attempts at one endpoint share with its actor, which alone changes it."""

    name: str  # of the actor, for log lines and tasks
    endpoint_id: api.EndpointId
    pool: ConnectionPool
    clock: Clock
    report: ReportAttemptEvent
    supervisor: Supervisor
    allows_hedging: bool  # two attempts of a request may be in flight at once
    is_ready: bool = True  # new attempts may be sent
    incarnation: int = 0  # counts the endpoint's restarts, as far as they are listed


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """An attempt from its start until the connection that its calls go over is free again."""

    start: RunAttempt
    context: EndpointContext
    incarnation: int  # of the endpoint that it is meant for
    priority: int | None = field(init=False)  # the latest
    connection: Connection | None = None  # its own, between two calls
    is_posted: bool = False  # its first byte may have been sent
    is_cancelled: bool = False
    endpoint_responded: bool = False  # the last call for it got a response
    has_ended: bool = False  # its outcome is reported
    task: asyncio.Task[None] | None = None

    def __post_init__(self) -> None:
        self.priority = self.start.priority

    def end(
        self, outcome: Outcome, status: http.AttemptStatus | None = None, rows: bytes | None = None
    ) -> None:
        """Reports the outcome, unless one is reported already. `status` and `rows`: of an answer. An attempt
        that was cancelled after its first byte ends as cancelled whatever came, but for an answer."""
        if self.has_ended:
            return
        self.has_ended = True
        if self.is_cancelled and self.is_posted and outcome is not Outcome.ANSWERED:
            outcome = Outcome.CANCELLED
        finished = AttemptFinished(
            request_id=self.start.request_id,
            attempt=self.start.attempt,
            endpoint_id=self.context.endpoint_id,
            outcome=outcome,
            latency=self.context.clock.now() - self.start.started_at,
            work=status.work if status else None,
            memory_mb=status.memory_mb if status else None,
            rows=rows,
            endpoint_responded=self.endpoint_responded,
        )
        self.context.report(finished)

    def log(self, kind: str, text: str) -> None:
        """Writes a log line about this attempt."""
        self.context.supervisor.log.write(
            kind,
            f"{self.context.name}: {text}",
            engine=self.context.endpoint_id.decode(),
            command=self.start.request_id,
            profile=self.start.profile,
        )
