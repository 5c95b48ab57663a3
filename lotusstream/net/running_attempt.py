"""The state of one running attempt, and the context that all attempts at an endpoint share."""

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
    """State that the attempts at one endpoint share. Only the endpoint's actor changes it."""

    name: str  # name of the endpoint's actor, used in log lines and task names
    endpoint_id: api.EndpointId
    pool: ConnectionPool
    clock: Clock
    report: ReportAttemptEvent
    supervisor: Supervisor
    allows_hedging: bool  # whether two attempts of a request may be in flight at once
    is_ready: bool = True  # whether new attempts may be sent
    incarnation: int = 0  # number of restarts of the endpoint that its list entries have shown
    current_process: int = 0  # incarnation with which the process began that has the endpoint's address


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """An attempt, from its start until its connection is returned to the pool."""

    start: RunAttempt
    context: EndpointContext
    incarnation: int  # the endpoint's incarnation for which the attempt was started
    priority: int | None = field(init=False)  # the priority set last; None: the endpoint's default
    # Connection kept for its next call; None: a call is using it, or there is none.
    connection: Connection | None = None
    # Connection on which it is being sent, until the endpoint responds; None: it is not sent yet, the
    # endpoint has responded, or the connection broke.
    sending_connection: Connection | None = None
    # Whether a cancellation has to use a connection that is opened for it. An endpoint reads the connections
    # that it has accepted before those that wait, so a cancellation on an idle connection may be read before
    # an attempt on a new one, and has no effect then.
    needs_new_connection: bool = False
    is_posted: bool = False  # whether its first byte may have been sent
    is_cancelled: bool = False
    endpoint_responded: bool = False  # whether the last call for it got a response
    has_ended: bool = False  # whether its outcome was reported
    is_answered: bool = False  # whether its complete result has arrived
    task: asyncio.Task[None] | None = None  # the task that runs it
    delete_task: asyncio.Task[None] | None = None  # the task that cancels it at the endpoint; None: none does

    def __post_init__(self) -> None:
        self.priority = self.start.priority

    @property
    def is_orphaned(self) -> bool:
        """Whether the process that got it has ended, and another one has its address. That one must get no
        call for this attempt: a further attempt of the request may run there under the same id."""
        return self.incarnation < self.context.current_process

    def withdraw(self) -> None:
        """Ensures that the endpoint does not receive the attempt from now on. Has no effect once the endpoint
        has responded to it; the attempt then has to be cancelled there."""
        if self.sending_connection is not None:
            self.context.supervisor.counters.add("attempts withdrawn")
            self.sending_connection.abort_call()

    def end(
        self, outcome: Outcome, status: http.AttemptStatus | None = None, rows: bytes | None = None
    ) -> None:
        """Reports the outcome, unless one was reported already. An attempt that was cancelled after its first
        byte ends as CANCELLED whatever the outcome, except for ANSWERED.

        :param status: the endpoint's final status of an answered attempt.
        :param rows: the complete result of an answered attempt.
        """
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
