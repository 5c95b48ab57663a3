"""HTTP connections that the gateway opens, and the budget of descriptors that they share."""

from __future__ import annotations

import asyncio
import encodings.idna  # noqa: F401 - the loop's connect looks for it, and may first do so out of descriptors
import socket

from lotusstream.net.buffer import Buffer, BufferFullError
from lotusstream.net.clock import Clock
from lotusstream.protocol import http

US = 1_000_000
Address = tuple[str, int]


class ConnectError(Exception):
    """No connection came up, so nothing was sent."""


class ConnectionRefusedByPeerError(ConnectError):
    """Nobody listens there."""


class NoDescriptorError(ConnectError):
    """This gateway may open no further connection now."""


class CallBrokenError(Exception):
    """A call went out, at least in part, and no whole answer came back."""


class CallSilentError(CallBrokenError):
    """Nothing came in time: it may have come whole and be worked on."""


class SocketBudget:
    """How many connections may be open at once. The last few are kept back for calls that end things."""

    def __init__(self, most: int) -> None:
        self.limit, self.reserved, self.used = most, most // 8, 0
        self._idle: dict[Connection, ConnectionPool] = {}

    def acquire(self, ends_things: bool) -> None:
        most = self.limit if ends_things else self.limit - self.reserved
        while self.used >= most and self._idle:
            connection, pool = next(iter(self._idle.items()))
            pool.drop(connection)
        if self.used >= most:
            raise NoDescriptorError
        self.used += 1

    def release(self) -> None:
        self.used -= 1

    def trim(self, now: int) -> None:
        """Closes what has been idle for as long as its pool keeps one: the longest idle stand first."""
        while self._idle:
            connection, pool = next(iter(self._idle.items()))
            if now - connection.idle_since < pool.max_idle:
                return
            pool.drop(connection)

    def mark_idle(self, connection: Connection, pool: ConnectionPool) -> None:
        self._idle[connection] = pool

    def mark_busy(self, connection: Connection) -> None:
        self._idle.pop(connection, None)


def bytes_there(sock: socket.socket) -> bool | None:
    """Whether bytes wait to be read; None where nothing has come, False where the other side has closed."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return None


class Connection:
    """One call at a time. After a broken call it is to be closed."""

    def __init__(self, sock: socket.socket, budget: SocketBudget, longest_body: int) -> None:
        self._sock, self._budget, self._longest = sock, budget, longest_body
        self._buffer = Buffer(8192, http.MAX_HEAD_BYTES + longest_body)  # an engine's answer in one read
        self.closed = False
        self.idle_since = 0

    @classmethod
    async def open(
        cls, endpoint: Address, time_out: int, budget: SocketBudget, longest_body: int, *, ends_things: bool
    ) -> Connection:
        budget.acquire(ends_things)
        sock: socket.socket | None = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(time_out / US):
                await asyncio.get_running_loop().sock_connect(sock, endpoint)
            return cls(sock, budget, longest_body)
        except BaseException as error:
            budget.release()
            if sock is not None:
                sock.close()
            if isinstance(error, ConnectionRefusedError):
                raise ConnectionRefusedByPeerError(str(error)) from error
            if isinstance(error, OSError):  # a time-out is one too
                raise ConnectError(repr(error)) from error
            raise

    def is_still_open(self) -> bool:
        """Nothing has come while it was idle, no close either."""
        try:
            return not self.closed and bytes_there(self._sock) is None
        except OSError:
            return False

    async def call(self, request: bytes, patience: int, longest: int = 0) -> http.HttpResponse:
        """`patience`: until the answer is whole or, where a `longest` is given, until it goes on, in
        microseconds.
        A long answer over a slow path would be asked for again and again otherwise."""
        loop = asyncio.get_running_loop()
        reader = http.HttpResponseReader(self._longest)
        latest = loop.time() + longest / US
        try:
            async with asyncio.timeout(patience / US) as limit:
                await loop.sock_sendall(self._sock, request)
                while reader.response is None:
                    count = await loop.sock_recv_into(self._sock, self._buffer.space())
                    if not count:
                        raise CallBrokenError("closed before the answer was whole")
                    if longest:
                        limit.reschedule(min(latest, loop.time() + patience / US))
                    self._buffer.filled(count)
                    data = self._buffer.data()
                    self._buffer.use(len(data))
                    reader.feed(data)
        except TimeoutError as error:
            raise CallSilentError(repr(error)) from error
        except (OSError, http.ResponseFormatError, BufferFullError) as error:
            raise CallBrokenError(repr(error)) from error
        return reader.response

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._budget.mark_busy(self)
            self._budget.release()
            self._sock.close()


class ConnectionPool:
    """The connections to one address. Idle ones are closed well before the other side does it. `rest`: how
    long one is left alone before another user gets it, in microseconds. Guards against an answer that comes a
    second time some moments later, after the look at the connection: the next user would read it as its own,
    and nothing in an engine's first answer tells whose it is. Costs a connection for each call within that
    time."""

    def __init__(
        self,
        endpoint: Address,
        budget: SocketBudget,
        connect_timeout: int,
        idle_timeout: int,
        longest_body: int,
        clock: Clock,
        rest: int = 0,
    ) -> None:
        self._endpoint, self._budget, self._longest = endpoint, budget, longest_body
        self._rest = rest
        self.host, self._clock = f"{endpoint[0]}:{endpoint[1]}", clock
        self.connect_timeout, self.max_idle = connect_timeout, idle_timeout // 2
        self._idle: dict[Connection, None] = {}
        self._closed = False

    async def get(self, *, ends_things: bool = False, fresh: bool = False) -> Connection:
        self.trim()
        now = self._clock.now()
        rested = [] if fresh else [each for each in self._idle if now - each.idle_since >= self._rest]
        for connection in reversed(rested):  # the last used first: the rest get old and are closed
            del self._idle[connection]
            self._budget.mark_busy(connection)
            if connection.is_still_open():
                return connection
            connection.close()
        return await Connection.open(
            self._endpoint, self.connect_timeout, self._budget, self._longest, ends_things=ends_things
        )

    async def call(
        self, connection: Connection, request: bytes, patience: int, longest: int = 0
    ) -> http.HttpResponse:
        """One call on a connection that was got from here; afterwards it is idle or closed."""
        answer = await self.call_and_keep(connection, request, patience, longest)
        self.put_back(connection)
        return answer

    async def call_and_keep(
        self, connection: Connection, request: bytes, patience: int, longest: int = 0
    ) -> http.HttpResponse:
        """The same, for a user that has more to ask: the connection is still its own, to be put back, and
        closed where it can carry no other call."""
        try:
            answer = await connection.call(request, patience, longest)
        except BaseException:
            connection.close()
            raise
        if not answer.connection_reusable:
            connection.close()
        return answer

    def put_back(self, connection: Connection) -> None:
        if connection.closed or self._closed:
            connection.close()
            return
        connection.idle_since = self._clock.now()
        self._idle[connection] = None
        self._budget.mark_idle(connection, self)

    def drop(self, connection: Connection) -> None:
        self._idle.pop(connection, None)
        connection.close()

    def trim(self) -> None:
        """Idle ones stand in the order of their last use."""
        now = self._clock.now()
        while self._idle and now - (oldest := next(iter(self._idle))).idle_since >= self.max_idle:
            self.drop(oldest)

    def close(self) -> None:
        """Calls that are still out may end; none of their connections is kept."""
        self._closed = True
        self.clear()

    def clear(self) -> None:
        for connection in list(self._idle):
            self.drop(connection)
