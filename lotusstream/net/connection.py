"""Outgoing HTTP connections of the gateway, their pools, and the descriptor budget that they share."""

from __future__ import annotations

import asyncio
import contextlib
import encodings.idna  # noqa: F401 - sock_connect imports it lazily, which fails when out of descriptors
import select
import socket
import struct

from lotusstream.net.buffer import Buffer, BufferFullError
from lotusstream.net.clock import Clock
from lotusstream.net.errors import NetError
from lotusstream.protocol import http

US_PER_S = 1_000_000  # microseconds in a second
MAX_RESULTS_PER_CONNECTION = 100  # limits the memory for the results that a connection remembers
INITIAL_BUFFER_BYTES = 8192  # usually holds a whole response of an endpoint, so that one read suffices
RESERVED_CONNECTION_DIVISOR = 8  # 1/8 of a budget's connections is reserved, see SocketBudget

# Values of SO_LINGER (struct linger). With LINGER_DISCARD, closing resets the connection, and the system
# discards the bytes that the peer has not received. With LINGER_DELIVER, it goes on delivering them.
LINGER_DISCARD = struct.pack("ii", 1, 0)
LINGER_DELIVER = struct.pack("ii", 0, 0)

# Events of `poll` after which nothing more comes from the other side.
CLOSED_BY_PEER = select.POLLRDHUP | select.POLLHUP | select.POLLERR

Address = tuple[str, int]  # host and port


class ConnectError(NetError):
    """Connecting failed, so nothing was sent."""


class ConnectionRefusedByPeerError(ConnectError):
    """The address refused the connection."""


class NoDescriptorError(ConnectError):
    """The budget allows no further connection now."""


class CallBrokenError(NetError):
    """At least a part of a call was sent, and no complete response arrived."""

    response_began = False  # whether a part of the response arrived, so the server had received the call


class CallTimeoutError(CallBrokenError):
    """No response arrived in time. The server may have received the complete call and be working on it."""


class CallAbortedError(CallBrokenError):
    """The gateway stopped waiting for the response. The server may have received the complete call."""


class SocketBudget:
    """Limits how many connections are open at once. A part of the limit is reserved for calls that cancel or
    re-prioritize attempts, so that a gateway at its limit can still cancel. If a new connection needs room,
    the longest idle one is closed."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.reserved = limit // RESERVED_CONNECTION_DIVISOR  # number of reserved connections
        self.used = 0  # connections that are open or being opened
        self._idle: dict[Connection, ConnectionPool] = {}  # idle connections, the longest idle first

    def acquire(self, may_use_reserve: bool) -> None:
        """Counts one more connection. Raises NoDescriptorError if the limit is reached.

        :param may_use_reserve: whether the reserved connections may be used, as by cancellations.
        """
        limit = self.limit if may_use_reserve else self.limit - self.reserved
        while self.used >= limit and self._idle:
            connection, pool = next(iter(self._idle.items()))
            pool.drop(connection)
        if self.used >= limit:
            raise NoDescriptorError
        self.used += 1

    def release(self) -> None:
        """Stops counting a connection that was closed or could not be opened."""
        self.used -= 1

    def trim(self, now: int) -> None:
        """Closes connections that have been idle for `max_idle` of their pool. `now`: microseconds."""
        while self._idle:
            connection, pool = next(iter(self._idle.items()))
            if now - connection.idle_since < pool.max_idle:
                return
            pool.drop(connection)

    def mark_idle(self, connection: Connection, pool: ConnectionPool) -> None:
        """Records that the connection is idle. If another needs room, it is closed by `pool.drop`."""
        self._idle[connection] = pool

    def mark_busy(self, connection: Connection) -> None:
        """Records that the connection is in use or closed."""
        self._idle.pop(connection, None)


def has_readable_bytes(sock: socket.socket) -> bool | None:
    """Returns True if bytes wait to be read, False if the other side has closed, None if neither. Raises
    OSError if the connection is broken."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return None


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Whether the other side has closed the connection, even if bytes that it sent before are unread."""
    poll = select.poll()
    try:
        poll.register(sock, CLOSED_BY_PEER)
    except (OSError, ValueError):  # closed on this side
        return True
    return bool(poll.poll(0))


class Connection:
    """Carries one call at a time. Must be closed after a call that failed.

    Closing the connection during a call resets it, so that the system discards what the server has not
    received. After an ordinary close the system would go on delivering the call, and a server behind a broken
    link would receive it seconds later, when the gateway counts it as ended. The same holds if the gateway's
    process dies during a call.
    """

    def __init__(self, sock: socket.socket, budget: SocketBudget, max_body_bytes: int) -> None:
        """`budget`: must already count this connection, see `SocketBudget.acquire`."""
        self._sock = sock
        self._budget = budget
        self._max_body_bytes = max_body_bytes
        self._buffer = Buffer(INITIAL_BUFFER_BYTES, http.MAX_HEAD_BYTES + max_body_bytes)
        self._call_limit: asyncio.Timeout | None = None  # time limit of the call in progress; None: no call
        self._awaits_response = False  # whether a call was sent whose response is not complete
        self._is_call_aborted = False
        self._results: set[int] = set()  # hashes of the results that it has carried
        self.closed = False
        self.idle_since = 0  # time at which it last became idle, microseconds; 0: never
        self.received_at = 0.0  # when bytes last arrived, seconds of the event loop's clock; 0: never

    @classmethod
    async def open(
        cls,
        address: Address,
        timeout: int,
        budget: SocketBudget,
        max_body_bytes: int,
        *,
        may_use_reserve: bool,
    ) -> Connection:
        """Connects within `timeout`, in microseconds. Raises ConnectError."""
        budget.acquire(may_use_reserve)
        sock: socket.socket | None = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_DISCARD)
            async with asyncio.timeout(timeout / US_PER_S):
                await asyncio.get_running_loop().sock_connect(sock, address)
            return cls(sock, budget, max_body_bytes)
        except BaseException as error:
            budget.release()
            if sock is not None:
                sock.close()
            if isinstance(error, ConnectionRefusedError):
                raise ConnectionRefusedByPeerError(str(error)) from error
            if isinstance(error, OSError):  # includes TimeoutError
                raise ConnectError(repr(error)) from error
            raise

    def is_still_open(self) -> bool:
        """Whether an idle connection is usable: it has received neither bytes nor the other side's close."""
        try:
            return not self.closed and has_readable_bytes(self._sock) is None
        except OSError:
            return False

    async def call(self, request: bytes, timeout: int, max_duration: int = 0) -> http.HttpResponse:
        """Sends a request and reads its response.

        :param timeout: limit on the time until the response is complete, microseconds. If `max_duration` is
            given, limit on the time between two reads instead: a long response that arrives slowly would
            otherwise time out at each retry.
        :param max_duration: limit on the time until the response is complete, microseconds; 0: not given.
        :raises CallTimeoutError: if a limit is exceeded.
        :raises CallAbortedError: if `abort_call` was called.
        :raises CallBrokenError: if the connection breaks or the received bytes are no HTTP response.
        """
        reader = http.HttpResponseReader(self._max_body_bytes)
        self._awaits_response = True
        try:
            return await self._exchange(request, reader, timeout, max_duration)
        except CallBrokenError as error:
            error.response_began = reader.has_begun
            raise

    async def _exchange(
        self, request: bytes, reader: http.HttpResponseReader, timeout: int, max_duration: int
    ) -> http.HttpResponse:
        loop = asyncio.get_running_loop()
        latest = loop.time() + max_duration / US_PER_S
        try:
            async with asyncio.timeout(timeout / US_PER_S) as limit:
                self._call_limit = limit
                await loop.sock_sendall(self._sock, request)
                while reader.response is None:
                    await self._read_some(reader)
                    if max_duration:
                        limit.reschedule(min(latest, loop.time() + timeout / US_PER_S))
        except TimeoutError as error:
            if self._is_call_aborted:
                raise CallAbortedError("call aborted") from error
            raise CallTimeoutError(repr(error)) from error
        except (OSError, http.ResponseFormatError, BufferFullError) as error:
            raise CallBrokenError(repr(error)) from error
        finally:
            self._call_limit = None
        self._awaits_response = False
        return reader.response

    def is_new_result(self, response: http.HttpResponse) -> bool:
        """Returns whether no equal result has arrived on this connection before, and remembers it.

        A server may send a response twice, however late the second time. A connection that is in use again
        then delivers it as the response to another call. Such a response equals an earlier one, so a new one
        belongs to the present call.
        """
        result = hash(response.result_values())
        if result in self._results:
            return False
        self._results.add(result)
        return True

    @property
    def is_used_up(self) -> bool:
        """Whether it has carried as many results as it remembers."""
        return len(self._results) >= MAX_RESULTS_PER_CONNECTION

    @property
    def is_new(self) -> bool:
        """Whether it has not been idle yet, so that the other side may not have accepted it."""
        return not self.idle_since

    def abort_call(self) -> None:
        """Ends the call in progress with CallAbortedError, if there is one. Has no effect on a call whose
        time limit has just expired: it ends with CallTimeoutError."""
        if self._call_limit is None or self._call_limit.expired() or self._is_call_aborted:
            return
        self._is_call_aborted = True
        self._call_limit.reschedule(asyncio.get_running_loop().time())

    async def _read_some(self, reader: http.HttpResponseReader) -> None:
        loop = asyncio.get_running_loop()
        count = await loop.sock_recv_into(self._sock, self._buffer.space())
        if not count:
            raise CallBrokenError("connection closed before the response was complete")
        self.received_at = loop.time()
        self._buffer.filled(count)
        data = self._buffer.data()
        self._buffer.consume(len(data))
        reader.feed(data)

    def close(self) -> None:
        """Closes the connection if it is open, and releases it from the budget. Resets it during a call."""
        if self.closed:
            return
        self.closed = True
        if not self._awaits_response:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_DELIVER)
        self._budget.mark_busy(self)
        self._budget.release()
        self._sock.close()


class ConnectionPool:
    """The connections to one address. Idle ones are closed after half the other side's idle timeout.

    A connection is not reused until it has been idle for `min_idle`. A duplicate of a response can arrive
    shortly after the connection was checked, and the next call would take it for its own response: nothing in
    an endpoint's first response names the attempt. Calls made within that time need other connections.
    """

    def __init__(
        self,
        address: Address,
        budget: SocketBudget,
        connect_timeout: int,
        idle_timeout: int,
        max_body_bytes: int,
        clock: Clock,
        min_idle: int = 0,
    ) -> None:
        """All times are in microseconds.

        :param idle_timeout: idle time after which the other side closes a connection.
        :param min_idle: idle time before a connection is reused.
        """
        self.host = f"{address[0]}:{address[1]}"
        self.connect_timeout = connect_timeout
        self.max_idle = idle_timeout // 2  # idle time after which a connection is closed
        self._address = address
        self._budget = budget
        self._max_body_bytes = max_body_bytes
        self._clock = clock
        self._min_idle = min_idle
        self._idle: dict[Connection, None] = {}  # idle connections, the longest idle first
        self._closed = False

    async def get(self, *, may_use_reserve: bool = False, fresh: bool = False) -> Connection:
        """Returns an idle connection or opens a new one. `fresh`: always opens one. Raises ConnectError."""
        self.trim()
        if not fresh:
            connection = self._take_idle()
            if connection is not None:
                return connection
        return await Connection.open(
            self._address,
            self.connect_timeout,
            self._budget,
            self._max_body_bytes,
            may_use_reserve=may_use_reserve,
        )

    def _take_idle(self) -> Connection | None:
        """Returns the most recently used connection that has been idle for `min_idle`, so that surplus ones
        stay idle and are closed; None if there is none."""
        now = self._clock.now()
        reusable = [each for each in self._idle if now - each.idle_since >= self._min_idle]
        for connection in reversed(reusable):
            del self._idle[connection]
            self._budget.mark_busy(connection)
            if connection.is_still_open():
                return connection
            connection.close()
        return None

    async def call(
        self, connection: Connection, request: bytes, timeout: int, max_duration: int = 0
    ) -> http.HttpResponse:
        """Makes one call on a connection of this pool and puts it back; see `Connection.call`."""
        response = await self.call_and_keep(connection, request, timeout, max_duration)
        self.put_back(connection)
        return response

    async def call_and_keep(
        self, connection: Connection, request: bytes, timeout: int, max_duration: int = 0
    ) -> http.HttpResponse:
        """Makes one call and leaves the connection to the caller, who puts it back later. Closes it if it can
        carry no further call."""
        try:
            response = await connection.call(request, timeout, max_duration)
        except BaseException:
            connection.close()
            raise
        if not response.connection_reusable:
            connection.close()
        return response

    def put_back(self, connection: Connection) -> None:
        """Makes a connection idle, unless it is closed."""
        if connection.closed or self._closed or connection.is_used_up:
            connection.close()
            return
        connection.idle_since = self._clock.now()
        self._idle[connection] = None
        self._budget.mark_idle(connection, self)

    def drop(self, connection: Connection) -> None:
        """Closes a connection, idle or not."""
        self._idle.pop(connection, None)
        connection.close()

    def trim(self) -> None:
        """Closes connections that have been idle for `max_idle`."""
        now = self._clock.now()
        while self._idle:
            oldest = next(iter(self._idle))
            if now - oldest.idle_since < self.max_idle:
                return
            self.drop(oldest)

    def close(self) -> None:
        """Closes the idle connections; those in use are closed when they are put back."""
        self._closed = True
        self.clear()

    def clear(self) -> None:
        """Closes all idle connections."""
        for connection in list(self._idle):
            self.drop(connection)
