"""Runs one attempt at an endpoint, from connecting to the last page of its result."""

from __future__ import annotations

import asyncio
from functools import partial

from lotusstream import interface as api
from lotusstream.interface import Outcome
from lotusstream.net.attempt_calls import AttemptCalls
from lotusstream.net.connection import US_PER_S, ConnectError, Connection, NoDescriptorError
from lotusstream.net.running_attempt import EndpointContext, RunningAttempt
from lotusstream.protocol import http


class AttemptRunner:
    """Runs attempts at one endpoint. Each ends with exactly one outcome, even after an unexpected error."""

    def __init__(self, context: EndpointContext, calls: AttemptCalls) -> None:
        self._context = context
        self._calls = calls
        self._pool = context.pool
        self._clock = context.clock
        self._counters = context.supervisor.counters

    async def run(self, attempt: RunningAttempt) -> None:
        """Runs an attempt until it ends or reaches its deadline."""
        try:
            async with asyncio.timeout(max(0, attempt.start.deadline - self._clock.now()) / US_PER_S):
                await self._exchange(attempt)
        except TimeoutError:
            if attempt.is_posted:
                attempt.end(Outcome.TIMED_OUT)
                self._calls.start_delete(attempt)
        finally:
            if attempt.connection is not None:
                self._release(attempt, attempt.connection)
            # Has an effect only after an unexpected error: an attempt that was sent may have run, one that
            # was not sent has not.
            attempt.end(Outcome.RESET if attempt.is_posted else Outcome.MOOT)

    def _release(self, attempt: RunningAttempt, connection: Connection) -> None:
        """Puts the attempt's connection back, or closes it. Responses to the attempt's calls may still be to
        come if a duplicate was read in place of one. After an answer they can only repeat that answer, which
        is not believed a second time. After any other end, the next attempt could believe them."""
        if attempt.is_answered:
            self._pool.put_back(connection)
        else:
            connection.close()

    async def _exchange(self, attempt: RunningAttempt) -> None:
        connection = await self._connect(attempt)
        if connection is None:
            return
        if attempt.is_cancelled or not self._may_send(attempt):
            connection.close()
            attempt.end(Outcome.MOOT)
            return
        try:
            post_request = self._post_request(attempt)
        except Exception:
            connection.close()
            raise
        attempt.is_posted = True
        self._counters.add("sends posted")
        attempt.connection = connection
        await self._follow(attempt, post_request)

    async def _connect(self, attempt: RunningAttempt) -> Connection | None:
        """Returns a connection; None if there is none, in which case the attempt has ended."""
        try:
            return await self._pool.get()
        except NoDescriptorError:
            self._counters.add("sends without a descriptor")
            attempt.end(Outcome.MOOT)
        except ConnectError:
            attempt.end(Outcome.CONNECT_FAILED)
        return None

    def _may_send(self, attempt: RunningAttempt) -> bool:
        """Whether the attempt may still be sent. Checked right before the first byte, since connecting may
        have taken long: the endpoint may be draining or have restarted at the same address, the client may
        have disconnected, or a time limit may have passed. While the endpoint may still begin a cancelled
        attempt of the same request, the cancellation would end this one too, as they share an id.

        Client disconnects are checked here because the decision module may be unable to cancel, and an unsent
        attempt needs no cancellation. The time limits are checked here because `asyncio.timeout` fires only
        once the task awaits something."""
        if self._clock.now() >= min(attempt.start.deadline, attempt.start.deliver_by):
            return False
        if not self._context.is_ready or attempt.incarnation != self._context.incarnation:
            return False
        if self._calls.cancellations.is_open(attempt.start.call_id):
            return False
        return attempt.start.is_awaited()

    def _post_request(self, attempt: RunningAttempt) -> bytes:
        start = attempt.start
        time_limit = start.deadline - self._clock.now()
        headers = http.attempt_headers(
            start.call_id, start.profile, time_limit, start.idempotency_key, attempt.priority
        )
        return http.encode_request("POST", "/x", self._pool.host, headers, start.statement)

    async def _follow(self, attempt: RunningAttempt, post_request: bytes) -> None:
        """Sends the attempt, polls its status until it has ended, and reports its progress."""
        start = attempt.start
        status_request = http.encode_request("GET", f"/x/{start.call_id}/0", self._pool.host, {})
        status = await self._calls.send(attempt, post_request, status_request)
        while not isinstance(status, Outcome) and status.outcome is None and not attempt.has_ended:
            self._report_progress(attempt, status)
            status = await self._calls.call_until_usable(attempt, status_request, http.parse_attempt_status)
        if isinstance(status, Outcome):
            attempt.end(status)
            return
        if status.outcome is Outcome.ANSWERED and not attempt.has_ended:
            await self._collect_pages(attempt, status)
            return
        attempt.end(status.outcome or Outcome.ERROR)

    def _report_progress(self, attempt: RunningAttempt, status: http.AttemptStatus) -> None:
        if status.progress_kind is None:
            return
        progressed = api.AttemptProgressed(
            attempt.start.request_id,
            attempt.start.attempt,
            self._context.endpoint_id,
            status.progress_kind,
            status.progress_amount,
        )
        self._context.report(progressed)

    async def _collect_pages(self, attempt: RunningAttempt, status: http.AttemptStatus) -> None:
        """Fetches the remaining pages and ends the attempt as ANSWERED. If a page can't be fetched, the
        attempt ends with the outcome of that call, although the endpoint has executed the attempt."""
        rows = bytearray(status.rows)
        for number in range(1, status.page_count):
            target = f"/x/{attempt.start.call_id}/{number}"
            request = http.encode_request("GET", target, self._pool.host, {})
            page = await self._calls.call_until_usable(
                attempt, request, partial(http.parse_page_rows, number=number)
            )
            if isinstance(page, Outcome):
                self._counters.add("pages lost")
                attempt.log("page lost", f"page {number} of {status.page_count} got outcome {page.name}")
                attempt.end(page)
                return
            if len(rows) + len(page) > http.MAX_RESULT_BYTES:
                attempt.end(Outcome.ERROR)
                return
            rows += page
        attempt.is_answered = True
        attempt.end(Outcome.ANSWERED, status, bytes(rows))
