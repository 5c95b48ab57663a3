"""One engine: the sends that are out there, the asking after them, and the pages of their results."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TypeVar

from lotusstream import interface as api
from lotusstream.interface import Outcome
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.clock import Clock
from lotusstream.net.connection import (
    US,
    Address,
    CallBrokenError,
    CallSilentError,
    ConnectError,
    Connection,
    ConnectionPool,
    ConnectionRefusedByPeerError,
    NoDescriptorError,
    SocketBudget,
)
from lotusstream.protocol import http

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class RunAttempt:
    request_id: int
    attempt: int
    started_at: int
    deadline: int
    call_id: str
    profile: str
    statement: bytes
    idempotency_key: str | None
    priority: int | None
    is_awaited: Callable[[], bool] = lambda: True  # whether somebody still waits for the answer


@dataclass(frozen=True, slots=True)
class AbortAttempt:
    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ChangePriority:
    request_id: int
    attempt: int
    priority: int


@dataclass(frozen=True, slots=True)
class EndpointListingChanged:
    """What the list says of this engine now."""

    is_ready: bool
    restarted: bool


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    request_id: int
    attempt: int
    endpoint_id: api.EndpointId
    outcome: Outcome
    latency: int
    work: int | None = None
    memory_mb: float | None = None
    rows: bytes | None = None
    endpoint_responded: bool = False


EndpointMessage = RunAttempt | AbortAttempt | ChangePriority | EndpointListingChanged
ReportAttemptEvent = Callable[[AttemptFinished | api.AttemptProgressed], None]


class RunningAttempt:
    """A send from its start until the connection that asks after it is free again."""

    def __init__(self, start: RunAttempt, incarnation: int) -> None:
        self.start = start
        self.incarnation = incarnation  # of the engine that it was meant for
        self.connection: Connection | None = None  # its own, between two calls
        self.priority = start.priority
        self.posted = False  # its first byte may have gone out
        self.cancelled = False
        self.heard = False  # the last call for it brought an answer
        self.ended = False  # its outcome has been told
        self.task: asyncio.Task[None] | None = None


class EndpointActor(Actor[EndpointMessage]):
    def __init__(
        self,
        engine: api.EndpointId,
        endpoint: Address,
        budget: SocketBudget,
        connect_timeout: int,
        idle_timeout: int,
        clock: Clock,
        report: ReportAttemptEvent,
        supervisor: Supervisor,
        copies: bool = True,
    ) -> None:
        """`copies`: two sends of a command may be out at once."""
        super().__init__(f"engine {engine.decode()}", supervisor)
        self.endpoint_id, self.address, self.is_ready = engine, endpoint, True
        self.in_flight, self.used_at = 0, clock.now()  # counted by who starts them
        self._incarnation = 0  # counts the engine's restarts, as far as they are listed
        times = connect_timeout, idle_timeout
        self._pool = ConnectionPool(
            endpoint, budget, *times, http.MAX_PAGE_BYTES, clock, rest=http.DUPLICATE_RESPONSE_DELAY_US
        )
        self._clock, self._report, self._copies = clock, report, copies
        self._running: dict[tuple[int, int], RunningAttempt] = {}

    async def receive(self, message: EndpointMessage) -> None:
        match message:
            case RunAttempt():
                running = self._running[message.request_id, message.attempt] = RunningAttempt(
                    message, self._incarnation
                )
                running.task = self.supervisor.start(f"{self.name} send", self._run(running))
            case AbortAttempt(command, number):
                if found := self._running.get((command, number)):
                    self._cancel(found)
            case ChangePriority(command, number, priority):
                if (found := self._running.get((command, number))) and not found.ended:
                    found.priority = priority
                    if found.posted:
                        self.supervisor.start(f"{self.name} priority", self._set_priority(found))
            case EndpointListingChanged(ready, restarted):
                self.is_ready = ready
                self._incarnation += restarted
                if restarted or not ready:
                    self._pool.clear()

    def _say(self, kind: str, text: str, running: RunningAttempt) -> None:
        self.supervisor.log.write(
            kind,
            f"{self.name}: {text}",
            engine=self.endpoint_id.decode(),
            command=running.start.request_id,
            profile=running.start.profile,
        )

    def record_attempt_started(self, now: int) -> None:
        """An attempt of it is in flight from `now` on, in microseconds."""
        self.in_flight += 1
        self.used_at = now

    def record_attempt_ended(self, now: int) -> None:
        """An attempt has ended, at `now` in microseconds."""
        self.in_flight -= 1
        self.used_at = now

    def close(self) -> None:
        self._pool.close()
        if self._task is not None:
            self._task.cancel()

    # A send

    async def _run(self, running: RunningAttempt) -> None:
        start = running.start
        try:
            async with asyncio.timeout(max(0, start.deadline - self._clock.now()) / US):
                await self._exchange(running)
        except TimeoutError:
            if running.posted:
                self._end(running, Outcome.TIMED_OUT)
                self.supervisor.start(f"{self.name} delete", self._delete(running))
        finally:
            if running.connection is not None:
                self._pool.put_back(running.connection)
            # whatever went wrong: what has gone out may have run, the rest has not
            self._end(running, Outcome.RESET if running.posted else Outcome.MOOT)
            self._running.pop((start.request_id, start.attempt), None)

    async def _exchange(self, running: RunningAttempt) -> None:
        start = running.start
        connection: Connection | None = None
        try:
            connection = await self._pool.get()
        except NoDescriptorError:
            self.supervisor.counters.add("sends without a descriptor")
            return self._end(running, Outcome.MOOT)
        except ConnectError:
            return self._end(running, Outcome.CONNECT_FAILED)
        if running.cancelled or not self._may_leave(running):  # since it was started: nothing new goes out
            connection.close()
            return self._end(running, Outcome.MOOT)
        try:
            left = start.deadline - self._clock.now()
            headers = http.attempt_headers(
                start.call_id, start.profile, left, start.idempotency_key, running.priority
            )
            request = http.encode_request("POST", "/x", self._pool.host, headers, start.statement)
        except Exception:
            connection.close()
            raise
        running.posted = True
        self.supervisor.counters.add("sends posted")
        news_call = http.encode_request("GET", f"/x/{start.call_id}/0", self._pool.host, {})
        running.connection = connection
        while True:
            news = await self._ask(running, request, news_call, http.parse_attempt_status)
            if isinstance(news, Outcome):
                return self._end(running, news)
            if running.ended or news.outcome is not None:
                break
            if news.progress_kind is not None:
                self._report(
                    api.AttemptProgressed(
                        start.request_id,
                        start.attempt,
                        self.endpoint_id,
                        news.progress_kind,
                        news.progress_amount,
                    )
                )
            request = news_call
        if news.outcome is Outcome.ANSWERED and not running.ended:
            return await self._collect(running, news)
        return self._end(running, news.outcome or Outcome.ERROR)

    def _may_leave(self, running: RunningAttempt) -> bool:
        """Looked at last before the first byte, since a connection may have been long in coming up. Guards an
        engine that drains, or that has restarted cold under the same address, and clients that have gone:
        also where the module may not cancel, for what never left is nothing to cancel. And requests whose
        time is over: the time-out around this comes only once something is waited for."""
        if self._clock.now() >= running.start.deadline:
            return False
        return self.is_ready and running.incarnation == self._incarnation and running.start.is_awaited()

    async def _ask(
        self,
        running: RunningAttempt,
        request: bytes,
        again: bytes,
        read: Callable[[http.HttpResponse], T | None],
    ) -> T | Outcome:
        """What `read` makes of the answer. All calls for a query go over a connection of its own while that
        holds: what comes there belongs to this query, and pages tell their number. Asked for again on a new
        connection where one breaks, is silent or spoilt, at once and then with pauses. An outcome where none
        will come: the engine says so, its process has ended and what it ran with it, or nothing but broken
        calls in the time after which it forgets a query. Silence is left to the module."""
        tries, began, usable = 0, 0, self._clock.now()
        while not running.ended:
            if running.cancelled and not self._copies:
                return await self._lost(running)
            pause = began + self._pool.connect_timeout - self._clock.now()
            if tries > 1 and pause > 0:
                await asyncio.sleep(pause / US)
            began = self._clock.now()
            try:
                connection, running.connection = running.connection, None
                if connection is not None and request is again and not connection.is_still_open():
                    connection.close()
                    connection = None
                connection = connection or await self._pool.get(fresh=tries > 0)
                answer = await self._pool.call_and_keep(connection, request, http.CALL_TIMEOUT_US)
                running.connection, running.heard = connection, True
                if (found := read(answer)) is not None:
                    return found
                if answer.status == http.INTERNAL_SERVER_ERROR:  # after a break: it knows of no such query
                    return Outcome.RESET if tries else Outcome.ERROR
                self.supervisor.counters.add("answers spoilt")
                self._say("answer spoilt", f"status {answer.status}", running)
                connection.close()
            except ConnectError as error:
                running.heard = False
                if isinstance(error, ConnectionRefusedByPeerError):
                    return await self._lost(running)
                self.supervisor.counters.add("calls not connected")
            except CallBrokenError as error:
                running.heard = False
                self.supervisor.counters.add("calls broken")
                self._say("call broken", str(error), running)
                if isinstance(error, CallSilentError):
                    usable = self._clock.now()
            if self._clock.now() - usable >= http.ABANDONED_AFTER_US and not running.ended:
                if self._copies:
                    self.supervisor.start(f"{self.name} delete", self._delete(running))
                return await self._lost(running)
            tries, request = tries + 1, again
        return Outcome.RESET

    async def _lost(self, running: RunningAttempt) -> Outcome:
        """No end of the query will be heard. Where two sends of a command may not be out at once it is given
        up first: an engine that refuses a connection may live, and only have too many, and a query is out
        until its engine has been told, has not been asked for it for long enough, or has restarted. Costs up
        to that time before the command is sent again."""
        forgotten = self._clock.now() + http.STATUS_LONG_POLL_US + http.ABANDONED_AFTER_US
        pause = self._pool.connect_timeout
        while not self._copies and running.incarnation == self._incarnation and not running.ended:
            if (left := forgotten - self._clock.now()) <= 0 or await self._tell(self._farewell(running)):
                break
            await asyncio.sleep(min(left, pause) / US)
        return Outcome.RESET

    async def _collect(self, running: RunningAttempt, news: http.AttemptStatus) -> None:
        """Answered means all pages: a page that is lost is an error of the send, which has run."""
        rows = bytearray(news.rows)
        for number in range(1, news.page_count):
            request = http.encode_request("GET", f"/x/{running.start.call_id}/{number}", self._pool.host, {})
            read = partial(http.parse_page_rows, number=number)
            page = await self._ask(running, request, request, read)
            if isinstance(page, Outcome):
                self.supervisor.counters.add("pages lost")
                self._say("page lost", f"{number} of {news.page_count}, {page.name}", running)
                return self._end(running, page)
            if len(rows) + len(page) > http.MAX_RESULT_BYTES:
                return self._end(running, Outcome.ERROR)
            rows += page
        return self._end(running, Outcome.ANSWERED, news, bytes(rows))

    def _end(
        self,
        running: RunningAttempt,
        outcome: Outcome,
        news: http.AttemptStatus | None = None,
        rows: bytes | None = None,
    ) -> None:
        if running.ended:
            return
        running.ended = True
        if running.cancelled and running.posted and outcome is not Outcome.ANSWERED:
            outcome = Outcome.CANCELLED
        start, work, memory = running.start, news.work if news else None, news.memory_mb if news else None
        name, latency = (
            (start.request_id, start.attempt, self.endpoint_id),
            self._clock.now() - start.started_at,
        )
        self._report(AttemptFinished(*name, outcome, latency, work, memory, rows, running.heard))

    # Ending and changing sends: on connections of their own, never behind a call that waits for news

    def _cancel(self, running: RunningAttempt) -> None:
        if running.cancelled or running.ended:
            return
        running.cancelled = True
        if running.posted:
            self.supervisor.start(f"{self.name} delete", self._delete(running))
        elif running.task is not None:  # told here: a task that has not begun comes to no `finally`
            running.task.cancel()
            self._end(running, Outcome.MOOT)
            self._running.pop((running.start.request_id, running.start.attempt), None)

    def _farewell(self, running: RunningAttempt) -> bytes:
        return http.encode_request("DELETE", f"/x/{running.start.call_id}", self._pool.host, {})

    async def _delete(self, running: RunningAttempt) -> None:
        told = False
        try:
            told = await self._tell(self._farewell(running))
        finally:
            if told or self._copies:  # otherwise the one that asks after it goes on until it is
                self._end(running, Outcome.CANCELLED)

    async def _set_priority(self, running: RunningAttempt) -> None:
        body = str(running.priority).encode()
        await self._tell(http.encode_request("PUT", f"/x/{running.start.call_id}", self._pool.host, {}, body))

    async def _tell(self, request: bytes) -> bool:
        """Whether the engine has answered."""
        try:
            connection = await self._pool.get(ends_things=True, fresh=not self._copies)
            await self._pool.call(connection, request, http.CALL_TIMEOUT_US)
            return True
        except ConnectError:
            self.supervisor.counters.add("calls not connected")
        except CallBrokenError:
            self.supervisor.counters.add("calls broken")
        return False
