"""The HTTP calls that the gateway makes for a running attempt, with their retries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from lotusstream.interface import Outcome
from lotusstream.net.cancellations import Cancellations
from lotusstream.net.connection import (
    US_PER_S,
    CallAbortedError,
    CallBrokenError,
    CallTimeoutError,
    ConnectError,
    ConnectionRefusedByPeerError,
)
from lotusstream.net.control_calls import CallFailure, ControlCalls
from lotusstream.net.running_attempt import EndpointContext, RunningAttempt
from lotusstream.protocol import http

T = TypeVar("T")


class AttemptCalls:
    """Makes calls to one endpoint.

    The calls that fetch an attempt's status use one connection that no other attempt shares. Control calls
    (DELETE, PUT) use other connections, so that they never wait behind a long poll that the endpoint holds
    open.

    Nothing in a response names its attempt. A result is therefore believed only if its connection has not
    carried an equal one before (see `Connection.is_new_result`).
    """

    def __init__(self, context: EndpointContext) -> None:
        self._context = context
        self._pool = context.pool
        self._clock = context.clock
        self._counters = context.supervisor.counters
        self._control_calls = ControlCalls(context)
        self.cancellations = Cancellations(context, self._control_calls)

    async def send(
        self, attempt: RunningAttempt, request: bytes, status_request: bytes
    ) -> http.AttemptStatus | Outcome:
        """Sends an attempt on its connection and returns its first status, or an outcome if there is none.

        If no usable response arrives, the status is polled. If the connection breaks before any response, the
        attempt ends: the endpoint may not know it, and a poll would return the result of another gateway's
        request if a misbehaving client uses its id.
        """
        connection = attempt.connection
        assert connection is not None
        attempt.connection = None
        timeout = min(http.CALL_TIMEOUT_US, attempt.start.deliver_by - self._clock.now())
        attempt.sending_connection = connection
        attempt.needs_new_connection = connection.is_new
        try:
            response = await self._pool.call_and_keep(connection, request, timeout)
        except CallBrokenError as error:
            await self._on_send_failed(attempt, error)
            if not error.response_began and not isinstance(error, CallTimeoutError):
                return await self._end_as_reset(attempt)
        else:
            attempt.connection = connection
            attempt.endpoint_responded = True
            attempt.needs_new_connection = False
            self.cancellations.on_response()
            status = self._read(attempt, response, http.parse_attempt_status, is_retry=False)
            if status is not None:
                return status
        finally:
            attempt.sending_connection = None
        return await self.call_until_usable(attempt, status_request, http.parse_attempt_status, is_retry=True)

    async def _on_send_failed(self, attempt: RunningAttempt, error: CallBrokenError) -> None:
        if not isinstance(error, CallAbortedError):
            self._counters.add("calls broken")
            attempt.log("call broken", str(error))
        elif attempt.delete_task is not None:
            await asyncio.wait([attempt.delete_task])

    async def call_until_usable(
        self,
        attempt: RunningAttempt,
        request: bytes,
        read: Callable[[http.HttpResponse], T | None],
        is_retry: bool = False,
    ) -> T | Outcome:
        """Repeats a call until its response is usable. If a connection breaks, times out or delivers a
        malformed response, the call is retried on a new one: the first time at once, later after a pause.

        :param request: the bytes of the call, which is safe to repeat.
        :param read: parses a response; returns None if the response is malformed.
        :param is_retry: whether an earlier call for the same purpose has failed.
        :returns: the parsed result, or an outcome if the endpoint reported an error, its process ended, or
            all calls failed for so long that it has abandoned the attempt. If it accepts calls but never
            responds, the decision module or the deadline has to end the attempt.
        """
        retries = 1 if is_retry else 0
        began = 0
        last_reached_at = self._clock.now()  # the last time at which the endpoint may have received a call
        while not attempt.has_ended and not attempt.is_orphaned:
            if attempt.is_cancelled and not self._context.allows_hedging:
                return await self._end_as_lost(attempt)
            if retries > 1:
                await self._pause_until(began + self._pool.connect_timeout)
            began = self._clock.now()
            response = await self._call(attempt, request, is_retry=retries > 0)
            if isinstance(response, http.HttpResponse):
                result = self._read(attempt, response, read, is_retry=retries > 0)
                if result is not None:
                    return result
            elif response is CallFailure.REFUSED:
                return await self._end_as_lost(attempt)
            elif response is CallFailure.TIMED_OUT:
                last_reached_at = self._clock.now()
            if self._clock.now() - last_reached_at >= http.ABANDONED_AFTER_US and not attempt.has_ended:
                return await self._end_as_abandoned(attempt)
            retries += 1
        return Outcome.RESET

    async def _pause_until(self, at: int) -> None:
        pause = at - self._clock.now()
        if pause > 0:
            await asyncio.sleep(pause / US_PER_S)

    async def _call(
        self, attempt: RunningAttempt, request: bytes, is_retry: bool
    ) -> http.HttpResponse | CallFailure:
        """Makes one call on the attempt's connection, which the attempt keeps if a response arrives."""
        try:
            connection = attempt.connection
            attempt.connection = None
            if connection is not None and not connection.is_still_open():
                connection.close()
                connection = None
            if connection is None:
                connection = await self._pool.get(fresh=is_retry)
            response = await self._pool.call_and_keep(connection, request, http.CALL_TIMEOUT_US)
        except ConnectError as error:
            attempt.endpoint_responded = False
            if isinstance(error, ConnectionRefusedByPeerError):
                return CallFailure.REFUSED
            self._counters.add("calls not connected")
            return CallFailure.NOT_CONNECTED
        except CallBrokenError as error:
            attempt.endpoint_responded = False
            self._counters.add("calls broken")
            attempt.log("call broken", str(error))
            return CallFailure.TIMED_OUT if isinstance(error, CallTimeoutError) else CallFailure.BROKEN
        attempt.connection = connection
        attempt.endpoint_responded = True
        self.cancellations.on_response()
        return response

    def _read(
        self,
        attempt: RunningAttempt,
        response: http.HttpResponse,
        read: Callable[[http.HttpResponse], T | None],
        is_retry: bool,
    ) -> T | Outcome | None:
        """Returns the result of a response, or the outcome that it implies; None if it is malformed or may be
        the response to another attempt's call."""
        connection = attempt.connection
        result = read(response)
        if result is not None:
            if connection is None or response.status != http.OK or connection.is_new_result(response):
                return result
            self._counters.add("answers of other calls")
            connection.close()
            return None
        if response.status == http.INTERNAL_SERVER_ERROR:
            # On a retry, 500 may mean that the endpoint does not know the attempt any more.
            return Outcome.RESET if is_retry else Outcome.ERROR
        self._counters.add("answers spoilt")
        attempt.log("answer spoilt", f"unusable response with HTTP status {response.status}")
        if connection is not None:
            connection.close()
        return None

    async def _end_as_reset(self, attempt: RunningAttempt) -> Outcome:
        """Ends an attempt whose connection broke while it was sent, and cancels it at the endpoint. Whether
        the endpoint responds to that distinguishes a broken connection from an endpoint that is down."""
        if not self._context.allows_hedging:
            return await self._end_as_lost(attempt)
        if not attempt.has_ended and not attempt.is_cancelled:
            attempt.endpoint_responded = await self.cancellations.cancel(attempt)
        return Outcome.RESET

    async def _end_as_abandoned(self, attempt: RunningAttempt) -> Outcome:
        """Ends an attempt for which all calls have failed for ABANDONED_AFTER_US. An endpoint that still runs
        abandons it after that time."""
        if self._context.allows_hedging:
            self.start_delete(attempt)
        return await self._end_as_lost(attempt)

    async def _end_as_lost(self, attempt: RunningAttempt) -> Outcome:
        """Returns the outcome of an attempt whose result can't be learned: RESET.

        Without hedging the attempt is cancelled first, since two attempts of a request must not run at once.
        An endpoint that refuses a connection may still run and only have too many connections. The attempt
        counts as in flight until the endpoint accepts the cancellation, restarts, or abandons the attempt for
        lack of status calls. This delays the retry of the request until then."""
        abandoned_at = self._clock.now() + http.STATUS_LONG_POLL_US + http.ABANDONED_AFTER_US
        pause = self._pool.connect_timeout
        while self._may_still_run(attempt):
            time_left = abandoned_at - self._clock.now()
            if time_left <= 0 or await self.cancellations.cancel(attempt):
                break
            await asyncio.sleep(min(time_left, pause) / US_PER_S)
        return Outcome.RESET

    def _may_still_run(self, attempt: RunningAttempt) -> bool:
        if self._context.allows_hedging:
            return False
        return attempt.incarnation == self._context.incarnation and not attempt.has_ended

    def start_delete(self, attempt: RunningAttempt) -> None:
        """Withdraws the attempt, and starts a task that cancels it at the endpoint."""
        attempt.withdraw()
        name = f"{self._context.name} delete"
        attempt.delete_task = self._context.supervisor.start(name, self._delete(attempt))

    def start_set_priority(self, attempt: RunningAttempt) -> None:
        """Starts a task that sends the attempt's current priority to the endpoint."""
        if attempt.is_orphaned:
            return
        calls = self._control_calls.set_priority(attempt, fresh=not self._context.allows_hedging)
        self._context.supervisor.start(f"{self._context.name} priority", calls)

    async def _delete(self, attempt: RunningAttempt) -> None:
        is_accepted = False
        try:
            is_accepted = await self.cancellations.cancel(attempt)
        finally:
            # Without hedging, `call_until_usable` repeats the cancellation until the endpoint accepts it.
            if is_accepted or self._context.allows_hedging:
                attempt.end(Outcome.CANCELLED)
