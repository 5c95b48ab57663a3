"""Thousands of stand-in servers in one process: one listener on a loopback address of its own for each."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from ipaddress import IPv4Address
from typing import cast

FIRST_ADDRESS = IPv4Address("127.20.0.1")
NEWS_WAIT = 0.25  # seconds that a server holds a call before it says "not yet over"
ROWS = b"a\tb\tc\n"


@dataclass(slots=True)
class Attempt:
    """A request that has come to a server. Times are Unix seconds. `ran`: not refused as never run."""

    server: str
    call: str
    profile: str
    at: float
    time_out: float
    ran: bool = True


@dataclass(slots=True)
class Query:
    """What a server runs. `ended`: set when its result can be fetched."""

    ended: asyncio.Event = field(default_factory=asyncio.Event)


class Server:
    """Runs each query for `work` seconds, stretched while more of them run than it has cores."""

    def __init__(
        self, uid: str, address: str, port: int, cores: float, work: float, fleet: ServerFleet
    ) -> None:
        self.uid, self.address, self.port = uid, address, port
        self.state, self.boot_ms = "ready", 0
        self.silent = False  # takes requests and answers nothing
        self.full = False  # refuses all as never run
        self._cores, self._work, self._fleet = cores, work, fleet
        self._queries: dict[str, Query] = {}
        self._running = 0
        self._listener: asyncio.Server | None = None
        self._transports: set[asyncio.Transport] = set()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: ServerConnection(self), self.address, self.port)

    def stop(self) -> None:
        """As a process that ends: connections are reset, new ones refused."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for transport in list(self._transports):
            transport.abort()

    def reset_connections(self) -> None:
        """As a path that loses its state: what runs goes on."""
        for transport in list(self._transports):
            transport.abort()

    def close_connections(self) -> None:
        for transport in list(self._transports):
            transport.close()

    def entry(self) -> dict[str, object]:
        """Its line in the list of servers."""
        return {
            "uid": self.uid,
            "endpoint": f"{self.address}:{self.port}",
            "az": "here",
            "model": "std",
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1,
            "boot_ms": self.boot_ms,
        }

    def connected(self, transport: asyncio.Transport) -> None:
        self._transports.add(transport)
        self._fleet.connections += 1

    def disconnected(self, transport: asyncio.Transport) -> None:
        self._transports.discard(transport)

    def respond(self, head: str, answer: Callable[[bytes], None], began: float) -> None:
        """Answers one call by `answer`, at once or later. `began`: when its first byte came."""
        method, path, _ = head.split("\r\n", 1)[0].split(" ")
        if self.silent:
            if method == "POST":
                self._note_attempt(head, began)
            return
        if method == "POST":
            call = self._note_attempt(head, began)
            if self.full:
                self._fleet.attempts[-1].ran = False
                answer(http_answer(503, X_Unrun=1))
                return
            self._begin(call)
        elif method in ("DELETE", "PUT"):
            answer(http_answer(204))
            return
        else:
            call = path.split("/")[2]
        query = self._queries.get(call)
        if query is None:
            answer(http_answer(500))
            return
        self._tell_when_ended(query, answer)

    def _note_attempt(self, head: str, began: float) -> str:
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        call = fields["X-Txn"]
        time_out = int(fields["X-Limit-Ms"]) / 1000
        self._fleet.attempts.append(Attempt(self.uid, call, fields["X-Lane"], began, time_out))
        return call

    def _begin(self, call: str) -> None:
        query = self._queries[call] = Query()
        self._running += 1
        stretch = max(1.0, self._running / self._cores)
        asyncio.get_running_loop().call_later(self._work * stretch, self._end, query)

    def _end(self, query: Query) -> None:
        self._running -= 1
        query.ended.set()

    def _tell_when_ended(self, query: Query, answer: Callable[[bytes], None]) -> None:
        if query.ended.is_set():
            answer(GOOD_ANSWER)
            return

        async def wait() -> None:
            try:
                await asyncio.wait_for(query.ended.wait(), NEWS_WAIT)
                answer(GOOD_ANSWER)
            except TimeoutError:
                answer(http_answer(202))

        self._fleet.keep(asyncio.get_running_loop().create_task(wait()))


class ServerConnection(asyncio.Protocol):
    """Reads HTTP/1.1 calls, one at a time."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._buffer = bytearray()
        self._began: float | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast("asyncio.Transport", transport)  # uvloop's is no subclass
        self._server.connected(self._transport)

    def connection_lost(self, error: Exception | None) -> None:
        if self._transport is not None:
            self._server.disconnected(self._transport)

    def data_received(self, data: bytes) -> None:
        if self._began is None:
            self._began = time.time()
        self._buffer += data
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        head = self._buffer[:end].decode("latin-1")
        whole = end + 4 + _content_length(head)
        if len(self._buffer) < whole:
            return
        del self._buffer[:whole]
        began, self._began = self._began, None
        self._server.respond(head, self._write, began)

    def _write(self, answer: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(answer)


class ServerFleet:
    """The servers by their id, all that was sent to them, and the list that discovery tells."""

    def __init__(self, cores: float, work: float) -> None:
        self.servers: dict[str, Server] = {}
        self.attempts: list[Attempt] = []
        self.connections = 0
        self._cores, self._work = cores, work
        self._port = _free_port()
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def add(self, count: int) -> list[Server]:
        """Starts that many further servers, in slices so that answers of others are not held up."""
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

    def keep(self, task: asyncio.Task[None]) -> None:
        """Holds on to a task until it ends."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        for server in self.servers.values():
            server.stop()
        for task in list(self._tasks):
            task.cancel()


def http_answer(status: int, body: bytes = b"", **headers: object) -> bytes:
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
    """A port that is free on every loopback address at the moment."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


GOOD_ANSWER = http_answer(200, ROWS, Result_Pages=1, Query_Cost=80, Query_Need=100)
