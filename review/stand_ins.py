"""Stand-ins for clients, engines and the notice board, written from the protocol page with the standard
library alone, and the start and end of the gateway under test by the `run` command of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
NEWS_SECONDS = 0.25  # an engine holds a call for news this long
FORGET_SECONDS = 2.0  # a query that was not asked for in this time ends
LONGEST_SECONDS = 115.0  # a case that takes longer couldn't run
READY_SECONDS = 30.0  # the longest time in which a gateway has to be ready
MS = 1000  # microseconds

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case


def now() -> float:
    """Returns the Unix time in seconds."""
    return time.time()


def has_trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file `record.txt` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = now()

    def add(self, text: str) -> None:
        """Writes a line with the seconds since the start."""
        self._file.write(f"{now() - self._began:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Writes a line and prints it."""
        self.add(text)
        print(text, flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


# HTTP


@dataclass(slots=True)
class Call:
    """A call that came whole."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


async def read_call(reader: asyncio.StreamReader) -> Call:
    """Reads one call. Raises IncompleteReadError or OSError at the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    method, path, _ = first.split(" ")
    return Call(method, path, headers, body)


def answer(status: int, body: bytes = b"", length: int | None = None, **headers: object) -> bytes:
    """Encodes an answer. `length`: the Content-Length that it claims; None: that of the body."""
    claimed = len(body) if length is None else length
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {claimed}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """An HTTP/1.1 server: one call at a time on a connection."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Resets all connections and refuses new ones."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._writers.add(writer)
        try:
            # The loop cancels this task at the end of the case.
            with contextlib.suppress(asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
                while True:
                    await self.respond(await read_call(reader), writer)
                    await writer.drain()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def respond(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Answers a call."""
        raise NotImplementedError


class Board(HttpServer):
    """The notice board. The number of an event is its position, from 1."""

    def __init__(self) -> None:
        super().__init__()
        self.notices: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    def publish(self, entries: Iterable[dict[str, Any]], *, whole: bool = False) -> None:
        """Adds an event with the whole list, or with what has changed."""
        number = len(self.notices) + 1
        pool = {"rev": number, "all": whole, "targets": list(entries)}
        self.notices.append({"rev": number, "pool": pool})
        self._changed.set()
        self._changed = asyncio.Event()

    def known(self, after: int = 0) -> dict[str, Any]:
        """Returns the events after a number, in the form of an answer."""
        return {"rev": len(self.notices), "notices": self.notices[after:]}

    async def respond(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Answers a poll when there are later events, or at the end of the wait."""
        query = dict(part.split("=") for part in call.path.partition("?")[2].split("&"))
        after = int(query["watch"])
        if after >= len(self.notices):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), int(query["linger"]) / 1000)
        await self.write(answer(200, json.dumps(self.known(after)).encode()), after, writer)

    async def write(self, message: bytes, _after: int, writer: asyncio.StreamWriter) -> None:
        """Writes the answer to a poll for the events after a number."""
        writer.write(message)


@dataclass(slots=True, eq=False)
class Query:
    """A query that an engine was sent."""

    call: str
    statement: str
    limit: float  # Unix time at which the gateway stops waiting
    ends_at: float
    pages: list[bytes]
    asked_at: float
    given_up: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def has_ended(self) -> bool:
        """Whether it ended well."""
        return not self.given_up and now() >= self.ends_at


RunStatement = Callable[[str], tuple[float, list[bytes]]]
"""Returns the seconds that a statement runs, and the pages of its result."""


class Engine(HttpServer):
    """An engine: runs each statement for a time, and answers as the protocol page says."""

    def __init__(self, uid: str, kind: str, zone: str, run: RunStatement, record: Record) -> None:
        super().__init__()
        self.uid, self.kind, self.zone = uid, kind, zone
        self.posts: list[tuple[float, str]] = []  # when each statement came whole, and the client's id
        self._run = run
        self._record = record
        self.queries: dict[str, Query] = {}

    def entry(self, state: str = "ready", boot_ms: int = 0) -> dict[str, Any]:
        """Returns its entry in the list."""
        return {"uid": self.uid, "endpoint": f"{HOST}:{self.port}", "az": self.zone, "model": self.kind,
                "pod_group": 0, "state": state, "capacity_hint": 1, "boot_ms": boot_ms}  # fmt: skip

    async def respond(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Answers a call of a gateway."""
        if call.method == "POST":
            query = self._begin(call)
            await self._tell_news(query, writer)
            return
        parts = call.path.split("/")
        found = self.queries.get(parts[2])
        if call.method == "DELETE":
            if found is not None:
                found.given_up = True
                found.changed.set()
                del self.queries[parts[2]]
                self._record.add(f"{self.uid} DELETE {parts[2]}")
            await self.write(answer(204), None, writer)
        elif call.method == "PUT":
            await self.write(answer(204), None, writer)
        elif found is None:
            await self.write(answer(500), None, writer)
        elif parts[3] == "0":
            await self._tell_news(found, writer)
        else:
            await self._tell_page(found, int(parts[3]), writer)

    def _begin(self, call: Call) -> Query:
        identity = call.headers["x-txn"]
        statement = call.body.decode()
        seconds, pages = self._run(statement)
        limit = now() + int(call.headers["x-limit-ms"]) / 1000
        query = Query(identity, statement, limit, now() + seconds, pages, now())
        self.queries[identity] = query
        self.begun(query)
        self.posts.append((now(), identity))
        self._record.add(f"{self.uid} POST {identity} {call.headers['x-lane']} {statement[:60]}")
        return query

    def begun(self, query: Query) -> None:
        """Called when a statement begins to run."""

    async def _tell_news(self, query: Query, writer: asyncio.StreamWriter) -> None:
        if not query.has_ended():
            if now() - query.asked_at > FORGET_SECONDS or now() > query.limit:
                query.given_up = True
            wait = min(NEWS_SECONDS, max(0.0, query.ends_at - now()))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(query.changed.wait(), wait)
        query.asked_at = now()
        if query.given_up:
            await self.write(answer(500), None, writer)
        elif query.has_ended():
            count = len(query.pages)
            message = answer(200, query.pages[0], Result_Pages=count, Query_Cost=50, Query_Need=32)
            await self.write(message, query, writer)
        else:
            await self.write(answer(202), query, writer)

    async def _tell_page(self, query: Query, number: int, writer: asyncio.StreamWriter) -> None:
        query.asked_at = now()
        if not query.has_ended() or number >= len(query.pages):
            await self.write(answer(500), None, writer)
        else:
            await self.write(answer(200, query.pages[number], Result_Page=number), query, writer)

    async def write(self, message: bytes, _query: Query | None, writer: asyncio.StreamWriter) -> None:
        """Writes an answer. `query`: the query that it tells of; None: none."""
        writer.write(message)


# Clients

CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
STOP, BOOL, I32, STRING, STRUCT, MAP = 0, 2, 8, 11, 12, 13


def _text(value: bytes) -> bytes:
    return struct.pack("!i", len(value)) + value


def _message(method: str, kind: int, seqid: int, arguments: bytes) -> bytes:
    head = struct.pack("!I", 0x80010000 | kind) + _text(method.encode()) + struct.pack("!i", seqid)
    frame = head + arguments + bytes([STOP])
    return struct.pack("!i", len(frame)) + frame


def process_message(seqid: int, fields: dict[str, str], statement: bytes) -> bytes:
    """Encodes a request."""
    pairs = b"".join(_text(name.encode()) + _text(value.encode()) for name, value in fields.items())
    first = struct.pack("!bhbbi", MAP, 1, STRING, STRING, len(fields)) + pairs
    return _message("process", CALL, seqid, first + struct.pack("!bh", STRING, 2) + _text(statement))


def give_up_message(seqid: int, given_up: int) -> bytes:
    """Encodes the withdrawal of a request."""
    return _message("giveUp", ONEWAY, seqid, struct.pack("!bhi", I32, 1, given_up))


def probe_message(seqid: int) -> bytes:
    """Encodes a health probe."""
    return _message("probe", CALL, seqid, b"")


@dataclass(frozen=True, slots=True)
class Reply:
    """What a gateway answered."""

    kind: str  # "served", "refused", "failed" or "fault"
    body: bytes = b""
    good: bool = False


def decode_reply(frame: bytes) -> tuple[int, Reply]:
    """Returns the sequence number and the content of an answer."""
    (head, length) = struct.unpack_from("!Ii", frame, 0)
    at = 8 + length
    (seqid,) = struct.unpack_from("!i", frame, at)
    if head & 0xFF == EXCEPTION:
        return seqid, Reply("fault")
    kind, number = struct.unpack_from("!bh", frame, at + 4)
    assert kind == STRUCT
    if number:
        return seqid, Reply({1: "refused", 2: "failed"}[number])
    at += 7
    body, good = b"", False
    while (kind := frame[at]) != STOP:
        at += 3
        if kind == STRING:
            (size,) = struct.unpack_from("!i", frame, at)
            body = frame[at + 4 : at + 4 + size]
            at += 4 + size
        elif kind == MAP:
            (count,) = struct.unpack_from("!i", frame, at + 2)
            at += 6
            for _ in range(2 * count):
                at += 4 + int(struct.unpack_from("!i", frame, at)[0])
        else:
            good = bool(frame[at])
            at += 1
    return seqid, Reply("served", body, good)


class ClientGoneError(Exception):
    """The gateway closed the connection with the request unanswered."""


class Client:
    """A client with one connection to a gateway."""

    def __init__(self) -> None:
        self._seqid = 0
        self._waiting: dict[int, asyncio.Future[Reply]] = {}
        self.duplicates = 0  # second answers
        self.has_ended = False  # whether the gateway has closed the connection

    async def connect(self, port: int) -> Client:
        """Opens the connection."""
        self._reader, self.writer = await asyncio.open_connection(HOST, port)
        self.writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._task = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                (length,) = struct.unpack("!i", await self._reader.readexactly(4))
                seqid, reply = decode_reply(await self._reader.readexactly(length))
                future = self._waiting.pop(seqid, None)
                if future is None:
                    self.duplicates += 1
                elif not future.done():
                    future.set_result(reply)
        self.has_ended = True
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(ClientGoneError())

    def ask(self, fields: dict[str, str], statement: str) -> asyncio.Future[Reply]:
        """Sends a request and returns its coming answer."""
        self._seqid += 1
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._waiting[self._seqid] = future
        self.writer.write(process_message(self._seqid, fields, statement.encode()))
        return future

    async def probe(self) -> bool:
        """Asks whether the gateway takes requests."""
        self._seqid += 1
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._waiting[self._seqid] = future
        self.writer.write(probe_message(self._seqid))
        return (await future).good

    def close(self) -> None:
        """Closes the connection."""
        self._task.cancel()
        self.writer.close()


def request_fields(
    op: str, call: str, ttl_ms: int, work_ms: float, dedupe: str | None = None
) -> dict[str, str]:
    """Returns the fields of a request."""
    fields = {"op": op, "call": call, "ttl": str(ttl_ms), "work": f"{work_ms:.1f}", "mem": "32"}
    return fields if dedupe is None else fields | {"dedupe": dedupe}


# The gateway


def free_port() -> int:
    """Returns a port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Gateway:
    """A gateway, started with the `run` command of the deploy file."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.port = name, free_port()
        self.path = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    def configure(self, board: Board, settings: dict[str, Any], limits: dict[str, Any]) -> None:
        """Writes its configuration file."""
        content = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": os.urandom(8).hex(),
            "limits": limits,
            "board": f"{HOST}:{board.port}",
            "known": board.known(),
            "settings": settings,
        }
        self.path.write_text(json.dumps(content), encoding="utf-8")

    def start(self) -> None:
        """Starts the process."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LOTUS")}
        environment |= {
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": f"{HOST}:{self.port}",
            "ROUTER_CONFIG": str(self.path),
        }
        with self._log.open("wb") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def until_ready(self) -> None:
        """Waits until it answers the probe of the front. Raises TimeoutError."""
        async with asyncio.timeout(READY_SECONDS):
            while True:
                with contextlib.suppress(OSError, ClientGoneError):
                    client = await Client().connect(self.port)
                    try:
                        if await client.probe():
                            return
                    finally:
                        client.close()
                await asyncio.sleep(0.05)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    @property
    def exit_status(self) -> int | None:
        """The exit status; None while it runs."""
        return None if self._process is None else self._process.poll()

    def own_memory_mb(self) -> float:
        """Returns the memory that the process holds, without files, in MB; 0 once it has ended."""
        assert self._process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self._process.pid}/status").read_text(encoding="ascii").splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def kill(self) -> None:
        """Ends the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def log_text(self) -> str:
        """Returns what it wrote to its log."""
        return self._log.read_text(encoding="utf-8", errors="replace") if self._log.exists() else ""


def small_deployment() -> dict[str, Any]:
    """Returns the settings of a small deployment with one gateway: lookups and reports may run again, loads
    carry a mark, and reports run on the larger kind of engine alone."""
    lookup = {"name": "lookup", "aim": 1200 * MS, "aim_stretch": 2.0, "deadline": 6000 * MS, "gain": 1.0,
              "late_value": 0.1, "effect": "repeatable", "group": "all", "window": 5000 * MS}  # fmt: skip
    report = lookup | {"name": "report", "aim": 1500 * MS, "deadline": 25_000 * MS, "gain": 6.0,
                       "late_value": 0.3, "flavors_only": [0]}  # fmt: skip
    load = lookup | {"name": "load", "aim": 3000 * MS, "deadline": 25_000 * MS, "gain": 5.0,
                     "late_value": 0.5, "effect": "by_key", "window": 15_000 * MS}  # fmt: skip
    return {
        "n_instances": 1,
        "me": 0,
        "period": 5 * MS,
        "discovery": "automatic",
        "zones": ["hall"],
        "locality": 0,
        "flavors": ["c12", "c8"],
        "request_classes": [lookup, report, load],
        "limits": {
            "cancelling": True,
            "conn_idle": 30_000 * MS,
            "connect_timeout": 250 * MS,
            "max_attempts": 5,
            "max_open": 20_000,
            "max_retry_after": 500 * MS,
            "peers": False,
            "probes": False,
            "retry_after": True,
            "second_copies": True,
        },
        "report": {"columns": [], "how": "none"},
        "rules": {
            "answer_slack": 20 * MS,
            "cold_from": 0.31,
            "drain_grace": 2000 * MS,
            "fall_multiple": 4.0,
            "overload_for": 1000 * MS,
            "warm_up": 15_000 * MS,
        },
        "specifics": {
            "bills": True,
            "class_waits": [True, True, False],
            "cpu_of_kind": [12, 8],
            "progress_pace": 2000 * MS,
            "ranks_heeded": True,
            "size_mb": [24576.0, 16384.0],
            "threads_by_class": [1, 2, 2],
            "writes_tables": [False, False, True],
        },
    }


LIMITS = {"cores": 1.0, "sockets": 512, "memory_mb": 128}  # what a gateway may use


def run_case(folder: Path, play: Callable[[Record, Path], Awaitable[int]]) -> int:
    """Runs a case in a temporary folder and returns its exit status. A case that raises couldn't run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # `play` then ends what it started
    record = Record(folder)
    try:
        with tempfile.TemporaryDirectory() as temporary:
            return asyncio.run(_play(record, Path(temporary), play))
    except Exception as error:
        record.say(f"the case couldn't run: {error!r}")
        return NOT_RUN
    finally:
        record.close()


async def _play(record: Record, folder: Path, play: Callable[[Record, Path], Awaitable[int]]) -> int:
    async with asyncio.timeout(LONGEST_SECONDS):
        return await play(record, folder)
