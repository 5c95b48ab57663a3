"""The actor of one endpoint: starts, cancels and re-prioritizes the attempts in flight there."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.interface import Outcome
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.attempt_calls import AttemptCalls
from lotusstream.net.attempt_messages import AbortAttempt, ChangePriority, ReportAttemptEvent, RunAttempt
from lotusstream.net.attempt_runner import AttemptRunner
from lotusstream.net.clock import Clock
from lotusstream.net.connection import Address, ConnectionPool, SocketBudget
from lotusstream.net.running_attempt import EndpointContext, RunningAttempt
from lotusstream.protocol import http


@dataclass(frozen=True, slots=True)
class EndpointListingChanged:
    """The endpoint's entry in the endpoint list has changed."""

    is_ready: bool  # whether new attempts may be sent
    restarted: bool  # whether the entry is for a new incarnation of the endpoint
    process_ended: bool = False  # whether another process has the endpoint's address now


EndpointMessage = RunAttempt | AbortAttempt | ChangePriority | EndpointListingChanged


class EndpointActor(Actor[EndpointMessage]):
    """Owns the connections to one endpoint at one address, and runs each attempt in its own task."""

    def __init__(
        self,
        endpoint_id: api.EndpointId,
        address: Address,
        budget: SocketBudget,
        connect_timeout: int,
        idle_timeout: int,
        clock: Clock,
        report: ReportAttemptEvent,
        supervisor: Supervisor,
        allows_hedging: bool = True,
    ) -> None:
        """
        :param budget: limits the connections to all endpoints together.
        :param connect_timeout: timeout for opening one connection, microseconds.
        :param idle_timeout: idle time after which the endpoint closes a connection, microseconds.
        :param report: called with the progress and the end of each attempt.
        :param allows_hedging: whether two attempts of a request may be in flight at once.
        """
        super().__init__(f"engine {endpoint_id.decode()}", supervisor)
        self.endpoint_id = endpoint_id
        self.address = address
        self.in_flight = 0  # number of attempts that have started and not ended
        self.used_at = clock.now()  # when an attempt last started or ended, microseconds
        self._pool = ConnectionPool(
            address,
            budget,
            connect_timeout,
            idle_timeout,
            http.MAX_PAGE_BYTES,
            clock,
            min_idle=http.DUPLICATE_RESPONSE_DELAY_US,
        )
        self._context = EndpointContext(
            self.name, endpoint_id, self._pool, clock, report, supervisor, allows_hedging
        )
        self._calls = AttemptCalls(self._context)
        self._runner = AttemptRunner(self._context, self._calls)
        self._running: dict[tuple[int, int], RunningAttempt] = {}  # by request id and attempt index

    @property
    def allows_hedging(self) -> bool:
        """Whether two attempts of a request may be in flight at once."""
        return self._context.allows_hedging

    @property
    def is_unused(self) -> bool:
        """Whether no attempt is in flight and no cancellation is being repeated."""
        return not self.in_flight and not self._calls.cancellations.has_repeated

    def set_ready(self, is_ready: bool) -> None:
        """Sets whether new attempts may be sent."""
        self._context.is_ready = is_ready

    def record_attempt_started(self, now: int) -> None:
        """Counts an attempt as in flight. `now`: in microseconds."""
        self.in_flight += 1
        self.used_at = now

    def record_attempt_ended(self, now: int) -> None:
        """Stops counting an attempt that has ended. `now`: in microseconds."""
        self.in_flight -= 1
        self.used_at = now

    def close(self) -> None:
        """Closes the idle connections and ends the actor. Attempts in flight run to their end."""
        self._pool.close()
        self._calls.cancellations.clear()
        if self._task is not None:
            self._task.cancel()

    async def receive(self, message: EndpointMessage) -> None:
        """Handles one message."""
        match message:
            case RunAttempt():
                self._on_run_attempt(message)
            case AbortAttempt():
                self._on_abort_attempt(message)
            case ChangePriority():
                self._on_change_priority(message)
            case EndpointListingChanged():
                self._on_listing_changed(message)

    def _on_run_attempt(self, start: RunAttempt) -> None:
        attempt = RunningAttempt(start, self._context, self._context.incarnation)
        self._running[start.request_id, start.attempt] = attempt
        attempt.task = self.supervisor.start(f"{self.name} send", self._run(attempt))

    async def _run(self, attempt: RunningAttempt) -> None:
        try:
            await self._runner.run(attempt)
        finally:
            self._forget(attempt)

    def _on_abort_attempt(self, abort: AbortAttempt) -> None:
        attempt = self._running.get((abort.request_id, abort.attempt))
        if attempt is None or attempt.is_cancelled or attempt.has_ended:
            return
        attempt.is_cancelled = True
        if attempt.is_posted:
            self._calls.start_delete(attempt)
        elif attempt.task is not None:
            # A task that is cancelled before its first step runs no `finally`, so the attempt is ended here.
            attempt.task.cancel()
            attempt.end(Outcome.MOOT)
            self._forget(attempt)

    def _on_change_priority(self, change: ChangePriority) -> None:
        attempt = self._running.get((change.request_id, change.attempt))
        if attempt is None or attempt.has_ended:
            return
        attempt.priority = change.priority
        if attempt.is_posted:
            self._calls.start_set_priority(attempt)

    def _on_listing_changed(self, listing: EndpointListingChanged) -> None:
        self._context.is_ready = listing.is_ready
        if listing.restarted:
            self._context.incarnation += 1
            self._calls.cancellations.clear()
        if listing.process_ended:
            self._context.current_process = self._context.incarnation
        if listing.restarted or not listing.is_ready:
            self._pool.clear()

    def _forget(self, attempt: RunningAttempt) -> None:
        self._running.pop((attempt.start.request_id, attempt.start.attempt), None)
