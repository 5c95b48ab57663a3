"""The calls that cancel or re-prioritize attempts at one endpoint."""

from __future__ import annotations

from enum import Enum, auto

from lotusstream.net.connection import (
    CallBrokenError,
    CallTimeoutError,
    ConnectError,
    ConnectionRefusedByPeerError,
)
from lotusstream.net.running_attempt import EndpointContext, RunningAttempt
from lotusstream.protocol import http


class CallFailure(Enum):
    """Why a call got no response."""

    REFUSED = auto()  # the endpoint's address refused the connection
    NOT_CONNECTED = auto()  # no connection to the endpoint could be opened for another reason
    BROKEN = auto()  # the connection broke after at least a part of the call was sent
    TIMED_OUT = auto()  # the call was sent and no complete response arrived in time


class ControlCalls:
    """Makes the calls on connections of their own, so that they never wait behind a long poll that the
    endpoint holds open."""

    def __init__(self, context: EndpointContext) -> None:
        self._pool = context.pool
        self._counters = context.supervisor.counters

    async def delete(
        self, call_id: str, *, fresh: bool, timeout: int = http.CALL_TIMEOUT_US
    ) -> CallFailure | None:
        """Cancels an attempt. Returns None if the endpoint has accepted that.

        :param call_id: the attempt's id at the endpoint.
        :param fresh: whether to open a connection.
        :param timeout: in microseconds.
        """
        request = http.encode_request("DELETE", f"/x/{call_id}", self._pool.host, {})
        return await self._send(request, fresh, timeout)

    async def set_priority(self, attempt: RunningAttempt, *, fresh: bool) -> None:
        """Sends the attempt's current priority."""
        body = str(attempt.priority).encode()
        target = f"/x/{attempt.start.call_id}"
        request = http.encode_request("PUT", target, self._pool.host, {}, body)
        await self._send(request, fresh, http.CALL_TIMEOUT_US)

    async def _send(self, request: bytes, fresh: bool, timeout: int) -> CallFailure | None:
        try:
            connection = await self._pool.get(may_use_reserve=True, fresh=fresh)
            response = await self._pool.call_and_keep(connection, request, timeout)
        except ConnectError as error:
            self._counters.add("calls not connected")
            is_refused = isinstance(error, ConnectionRefusedByPeerError)
            return CallFailure.REFUSED if is_refused else CallFailure.NOT_CONNECTED
        except CallBrokenError as error:
            self._counters.add("calls broken")
            return CallFailure.TIMED_OUT if isinstance(error, CallTimeoutError) else CallFailure.BROKEN
        if response.status == http.NO_CONTENT:
            self._pool.put_back(connection)
            return None
        self._counters.add("answers spoilt")
        connection.close()
        return CallFailure.BROKEN
