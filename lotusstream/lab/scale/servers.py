"""Thousands of stand-in servers in one process, each of which listens on a loopback address of its own."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from ipaddress import IPv4Address
from typing import cast

from lotusstream.lab.scale.tcp_times import arrival_time

FIRST_ADDRESS = IPv4Address("127.20.0.1")
LONG_POLL_SECONDS = 0.25  # how long a server delays the answer "202: still running"
MAX_HELD_SECONDS = 0.5  # after this time a gateway gives up a call, so a cut link holds it no longer
HANG_RESET_SHARE = 0.5  # of the connections that are opened to a server while it hangs
MAX_REPEAT_DELAY_SECONDS = 0.5  # longest delay of a response that is sent a second time


@dataclass(slots=True)
class Attempt:
    """An attempt that a server received."""

    server: str  # id of the server
    call: str  # request id
    profile: str
    at: float  # when its first byte arrived at the machine, Unix seconds
    time_out: float  # time limit that the gateway sent with it, seconds
    ran: bool = True  # False: the server rejected it as not executed
    held: float = 0.0  # longest time for which a cut link may have held it, seconds
    read_at: float = 0.0  # when the server had read it completely, Unix seconds
    is_cancelled: bool = False  # whether a cancellation was read before its query ended
    is_executed: bool = False  # whether its query ran to the end


@dataclass(slots=True)
class Query:
    """A query that a server runs. `ended` is set when its result can be fetched."""

    attempt: Attempt  # the attempt that started it
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class Server:
    """A stand-in server.

    It runs each query for `work` seconds. If, when a query starts, more queries run than `cores`, that query
    takes longer: `work` times the number of running queries, itself included, divided by `cores`.
    """

    def __init__(
        self, uid: str, address: str, port: int, cores: float, work: float, fleet: ServerFleet
    ) -> None:
        self.uid, self.address, self.port = uid, address, port
        self.state, self.boot_ms = "ready", 0
        self.silent = False  # it records attempts and sends no response
        self.full = False  # it rejects all attempts as not executed
        self.hangs = False  # it reads nothing and sends no response, see `hang`
        self.endpoint = f"{address}:{port}"  # where gateways reach it
        # Until when, in Unix seconds, attempts may arrive that a cut link has held.
        self.delivers_held_until = 0.0
        self._cores, self._work, self._fleet = cores, work, fleet
        self._queries: dict[str, Query] = {}  # by request id
        self._running_count = 0
        self._listener: asyncio.Server | None = None
        self._transports: dict[asyncio.Transport, None] = {}  # in the order in which they were accepted
        self._unsent: list[Callable[[], None]] = []  # send the responses that became ready while it hangs

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: ServerConnection(self), self.address, self.port)

    def stop(self) -> None:
        """Resets all connections and refuses new ones, as when a process is killed."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for transport in list(self._transports):
            transport.abort()

    def reset_connections(self) -> None:
        """Resets all connections, as a firewall does that loses its state. Queries continue to run."""
        for transport in list(self._transports):
            transport.abort()

    def close_connections(self) -> None:
        for transport in list(self._transports):
            transport.close()

    def hang(self) -> None:
        """Stands still until `go_on`. Meanwhile its system takes connections and bytes, which it reads then,
        also those that its peer has reset in between. The network resets a part of the new connections."""
        self.hangs = True
        for transport in self._transports:
            transport.pause_reading()

    def go_on(self) -> None:
        """Ends a hang."""
        self.hangs = False
        unsent, self._unsent = self._unsent, []
        for send in unsent:
            send()
        for transport in self._transports:
            if not transport.is_closing():
                transport.resume_reading()

    def send(self, transport: asyncio.Transport, response: bytes) -> None:
        """Sends a response, or holds it back while it hangs."""
        if self.hangs:
            self._unsent.append(partial(self.send, transport, response))
        elif not transport.is_closing():
            transport.write(response)

    def entry(self) -> dict[str, object]:
        """Returns its entry in the endpoint list."""
        return {
            "uid": self.uid,
            "endpoint": self.endpoint,
            "az": "here",
            "model": "std",
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1,
            "boot_ms": self.boot_ms,
        }

    def connected(self, transport: asyncio.Transport) -> None:
        self._transports[transport] = None
        self._fleet.connections += 1
        # The event loop begins to read after this callback, so the pause has to wait for that.
        asyncio.get_running_loop().call_soon(self._pause_new, transport)

    def _pause_new(self, transport: asyncio.Transport) -> None:
        if not self.hangs or transport.is_closing():
            return
        if self._fleet.random.random() < HANG_RESET_SHARE:
            transport.abort()
        else:
            transport.pause_reading()

    def disconnected(self, transport: asyncio.Transport) -> None:
        self._transports.pop(transport, None)

    def respond(self, head: str, answer: Callable[[bytes], None], arrived_at: float) -> None:
        """Passes the response to one call to `answer`, at once or later; none if the server is silent.

        :param arrived_at: when the call's first byte arrived, Unix seconds.
        """
        method, path, _ = head.split("\r\n", 1)[0].split(" ")
        call = self._record_attempt(head, arrived_at) if method == "POST" else path.split("/")[2]
        if self.silent or self._fleet.is_silent_for(call):
            return
        if method == "POST":
            if self.full:
                self._fleet.attempts[-1].ran = False
                answer(http_answer(503, X_Unrun=1))
                return
            self._start_query(call, self._fleet.attempts[-1])
        elif method in ("DELETE", "PUT"):
            if method == "DELETE":
                self._cancel_query(call)
            answer(http_answer(204))
            return
        query = self._queries.get(call)
        if query is None:
            answer(http_answer(500))
            return
        self._answer_when_ended(call, query, answer)

    def _record_attempt(self, head: str, arrived_at: float) -> str:
        """Records the attempt and returns its request id."""
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        call = fields["X-Txn"]
        time_out = int(fields["X-Limit-Ms"]) / 1000
        held = MAX_HELD_SECONDS if arrived_at < self.delivers_held_until else 0.0
        attempt = Attempt(
            self.uid, call, fields["X-Lane"], arrived_at, time_out, held=held, read_at=time.time()
        )
        self._fleet.attempts.append(attempt)
        return call

    def _start_query(self, call: str, attempt: Attempt) -> None:
        query = self._queries[call] = Query(attempt)
        self._running_count += 1
        slowdown = max(1.0, self._running_count / self._cores)
        asyncio.get_running_loop().call_later(self._work * slowdown, self._end_query, query)

    def _cancel_query(self, call: str) -> None:
        """Records the cancellation. Its load stays, as a server may need some time to free it."""
        query = self._queries.get(call)
        if query is not None and not query.ended.is_set():
            query.attempt.is_cancelled = True

    def _end_query(self, query: Query) -> None:
        query.attempt.is_executed = not query.attempt.is_cancelled
        self._running_count -= 1
        query.ended.set()

    def _answer_when_ended(self, call: str, query: Query, answer: Callable[[bytes], None]) -> None:
        """Answers with the result, or with 202 if the query does not end within LONG_POLL_SECONDS."""
        result = http_answer(200, result_rows(call), Result_Pages=1, Query_Cost=80, Query_Need=100)
        if query.ended.is_set():
            self._answer_and_repeat(result, answer)
            return

        async def wait() -> None:
            try:
                await asyncio.wait_for(query.ended.wait(), LONG_POLL_SECONDS)
                self._answer_and_repeat(result, answer)
            except TimeoutError:
                self._answer_and_repeat(http_answer(202), answer)

        self._fleet.hold_task(asyncio.get_running_loop().create_task(wait()))

    def _answer_and_repeat(self, response: bytes, answer: Callable[[bytes], None]) -> None:
        """Answers, and sends the response a second time later if the fleet repeats responses."""
        answer(response)
        if self._fleet.repeats_responses:
            delay = self._fleet.random.uniform(0.001, MAX_REPEAT_DELAY_SECONDS)
            asyncio.get_running_loop().call_later(delay, answer, response)


class ServerConnection(asyncio.Protocol):
    """A connection to a server. It reads HTTP/1.1 calls one at a time."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._buffer = bytearray()
        # When the first byte of the call being read arrived, Unix seconds; None: no call.
        self._arrived_at: float | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transport is not a subclass of asyncio.Transport.
        self._transport = cast("asyncio.Transport", transport)
        self._server.connected(self._transport)

    def connection_lost(self, error: Exception | None) -> None:
        if self._transport is not None:
            self._server.disconnected(self._transport)

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        if self._arrived_at is None:
            self._arrived_at = arrival_time(self._transport)
        self._buffer += data
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        head = self._buffer[:end].decode("latin-1")
        length = end + 4 + _content_length(head)
        if len(self._buffer) < length:
            return
        del self._buffer[:length]
        arrived_at, self._arrived_at = self._arrived_at, None
        self._server.respond(head, self._write, arrived_at)

    def _write(self, response: bytes) -> None:
        if self._transport is not None:
            self._server.send(self._transport, response)


class ServerFleet:
    """The servers of a run, by id, and all attempts that they received.

    :param cores: cores of each server.
    :param work: seconds that a query takes on an idle server.
    """

    def __init__(self, cores: float, work: float) -> None:
        self.servers: dict[str, Server] = {}
        self.attempts: list[Attempt] = []  # in the order in which their calls were fully received
        self.connections = 0  # number of connections accepted
        self.repeats_responses = False  # servers send each status and each result a second time, later
        # Whether servers send no response to calls for a request, given its id.
        self.is_silent_for: Callable[[str], bool] = lambda _call: False
        self.random = random.Random(0)
        self._cores, self._work = cores, work
        self._port = _free_port()
        self._count = 0  # servers added, also those that have stopped
        self._tasks: set[asyncio.Task[None]] = set()

    async def add(self, count: int) -> list[Server]:
        """Starts that many further servers and returns them.

        Each start yields to the event loop, so that it does not delay responses of the other servers.
        """
        added = []
        for _ in range(count):
            address = str(FIRST_ADDRESS + self._count)
            uid = f"s-{self._count:08x}"
            self._count += 1
            server = Server(uid, address, self._port, self._cores, self._work, self)
            await server.start()
            self.servers[uid] = server
            added.append(server)
        return added

    def hold_task(self, task: asyncio.Task[None]) -> None:
        """Keeps a reference to a task until it ends, so that it is not garbage-collected."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        for server in self.servers.values():
            server.stop()
        for task in list(self._tasks):
            task.cancel()


def result_rows(call: str) -> bytes:
    """Returns the rows of the result of a request, which name it."""
    return f"{call}\tb\tc\n".encode()


def http_answer(status: int, body: bytes = b"", **headers: object) -> bytes:
    """Encodes a response. Underscores in the names of `headers` stand for hyphens."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def _content_length(head: str) -> int:
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(": ")
        if name.lower() == "content-length":
            return int(value)
    return 0


def _free_port() -> int:
    """Returns a port that was free on 127.0.0.1 a moment ago. All servers listen on it."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port
