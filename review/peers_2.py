"""Clients, engines and the notice board of the cases 6 to 10, and the processes of the gateways.

Written from the protocol page (clients, engines, notice board) without the gateway's own code. Every address
is a loopback address. `Stage` starts gateways with the `run` command of the deploy file, and ends them by
their ids.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
READY_S = 30.0  # longest time until a gateway answers `probe` with good
LONG_POLL_S = 0.25  # an engine holds a call for news open for this time
ABANDONED_S = 2.0  # an engine drops a query that was not asked for in this time
BROKEN, HELD, NOT_RUN = 1, 0, 2
_DURATION = re.compile(r"/\* (\d+) ms \*/")
_READERS: set[asyncio.Task[None]] = set()  # keeps the tasks that read answers from being collected
_IDS = itertools.count(int(time.time()) << 24)


def new_id() -> str:
    """Returns a new client id: 16 hexadecimal digits."""
    return f"{next(_IDS):016x}"


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.time()

    def say(self, text: str) -> None:
        """Writes a line with the time since the start in seconds."""
        self._file.write(f"{time.time() - self._began:8.3f}  {text}\n")
        self._file.flush()


# Clients


def _text(value: bytes | str) -> bytes:
    data = value.encode() if isinstance(value, str) else value
    return struct.pack("!i", len(data)) + data


def _message(method: str, kind: int, seqid: int, arguments: bytes) -> bytes:
    body = struct.pack("!I", 0x80010000 | kind) + _text(method) + struct.pack("!i", seqid) + arguments + b"\0"
    return struct.pack("!i", len(body)) + body


def process_message(seqid: int, fields: dict[str, str], statement: str) -> bytes:
    """Returns the frame of a request."""
    pairs = b"".join(_text(name) + _text(value) for name, value in fields.items())
    arguments = b"\x0d" + struct.pack("!hbbi", 1, 11, 11, len(fields)) + pairs
    return _message("process", 1, seqid, arguments + b"\x0b" + struct.pack("!h", 2) + _text(statement))


def probe_message(seqid: int) -> bytes:
    """Returns the frame of a health probe."""
    return _message("probe", 1, seqid, b"\x02" + struct.pack("!hb", 1, 0))


def give_up_message(seqid: int) -> bytes:
    """Returns the frame that withdraws the request with this number."""
    return _message("giveUp", 4, 0, b"\x08" + struct.pack("!hi", 1, seqid))


class _Reader:
    """Reads values of the strict binary protocol."""

    def __init__(self, data: bytes) -> None:
        self._data, self._at = data, 0

    def take(self, form: str) -> Any:
        """Reads one number."""
        (value,) = struct.unpack_from(form, self._data, self._at)
        self._at += struct.calcsize(form)
        return value

    def text(self) -> bytes:
        """Reads a string."""
        length = self.take("!i")
        self._at += length
        return self._data[self._at - length : self._at]

    def value(self, kind: int) -> Any:
        """Reads a value of this type."""
        if kind == 12:
            found: dict[int, Any] = {}
            while inner := self.take("!b"):
                number = self.take("!h")
                found[number] = self.value(inner)
            return found
        if kind == 13:
            self.take("!h")  # the types of keys and values
            return {self.text().decode(): self.text().decode() for _ in range(self.take("!i"))}
        if kind == 11:
            return self.text()
        return self.take({2: "!b", 3: "!b", 6: "!h", 8: "!i", 10: "!q"}[kind])


@dataclass(frozen=True)
class Reply:
    """The final answer to a request: `how` is served, refused, failed, exception or closed."""

    how: str
    body: bytes = b""
    fields: dict[str, str] = field(default_factory=dict)
    good: bool = False


def _parse_reply(frame: bytes) -> tuple[int, Reply]:
    reader = _Reader(frame)
    kind = reader.take("!I") & 0xFF
    reader.text()
    seqid = reader.take("!i")
    if kind == 3:
        return seqid, Reply("exception")
    values = reader.value(12)
    if 0 in values:
        answer = values[0]
        return seqid, Reply("served", answer.get(1, b""), answer.get(2, {}), bool(answer.get(3)))
    number = 1 if 1 in values else 2
    return seqid, Reply({1: "refused", 2: "failed"}[number], b"", values[number].get(1, {}))


class Client:
    """A client with one connection. A request that has no answer when the connection ends gets `closed`."""

    def __init__(self) -> None:
        self._seqid = 0
        self._waiting: dict[int, asyncio.Future[Reply]] = {}
        self.writer: asyncio.StreamWriter
        self._task: asyncio.Task[None]

    async def connect(self, port: int) -> Client:
        """Connects to a gateway."""
        self._reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self._task = asyncio.create_task(self._read())
        _READERS.add(self._task)
        return self

    async def _read(self) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                (length,) = struct.unpack("!i", await self._reader.readexactly(4))
                seqid, reply = _parse_reply(await self._reader.readexactly(length))
                future = self._waiting.pop(seqid, None)
                if future is not None and not future.done():
                    future.set_result(reply)
        for future in self._waiting.values():
            if not future.done():
                future.set_result(Reply("closed"))
        self._waiting.clear()

    def _expect(self) -> tuple[int, asyncio.Future[Reply]]:
        self._seqid += 1
        future = asyncio.get_running_loop().create_future()
        self._waiting[self._seqid] = future
        if self._task.done():
            future.set_result(Reply("closed"))
        return self._seqid, future

    def ask(self, op: str, statement: str, ttl_ms: int, **fields: str) -> asyncio.Future[Reply]:
        """Sends a request; the future gets its final answer."""
        seqid, future = self._expect()
        values = {"op": op, "call": new_id(), "ttl": str(ttl_ms), "work": "200.0", "mem": "96"} | fields
        self.writer.write(process_message(seqid, values, statement))
        return future

    async def probe(self) -> bool:
        """Returns whether the gateway answers a probe with good."""
        seqid, future = self._expect()
        self.writer.write(probe_message(seqid))
        return (await asyncio.wait_for(future, 5)).good

    def close(self) -> None:
        """Closes the connection after what was written."""
        self.writer.close()


# HTTP


@dataclass(frozen=True)
class Call:
    """An HTTP call that has come whole."""

    method: str
    path: str
    headers: dict[str, str]  # names in lower case
    body: bytes


def _answer(status: int, body: bytes = b"", **headers: object) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def _serve_http(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    respond: Callable[[Call], Awaitable[bytes | None]],
) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError, OSError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            request_line, *lines = head.strip().split("\r\n")
            pairs = (line.partition(":") for line in lines)
            headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            method, path, _ = request_line.split(" ")
            response = await respond(Call(method, path, headers, body))
            if response is not None:
                writer.write(response)
                await writer.drain()
    writer.close()


class Store:
    """What all engines together have applied, and the marks that they remember for `window_s`."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.applied: list[tuple[float, str, str]] = []  # time, mark or id, engine
        # by group and mark: when the mark was first seen there, and its result
        self._marks: dict[tuple[int, str], tuple[float, bytes]] = {}

    def remembers(self, group: int, mark: str) -> bool:
        """Whether the engines of a group drop a repeat of this mark now."""
        known = self._marks.get((group, mark))
        return known is not None and time.time() - known[0] < self.window_s

    def see(self, group: int, mark: str, rows: bytes) -> None:
        """Begins to remember a mark in a group of engines."""
        self._marks[group, mark] = (time.time(), rows)

    def rows_of(self, group: int, mark: str) -> bytes:
        """Returns the result of the first run with this mark in a group."""
        return self._marks[group, mark][1]

    def count(self, mark: str) -> int:
        """Returns how often the mark was applied."""
        return sum(each == mark for _, each, _ in self.applied)


@dataclass
class Query:
    """A statement that an engine runs."""

    call: Call
    began: float
    seconds: float  # how long it runs
    rows: bytes
    mark: str
    dropped: bool  # whether it repeats a remembered mark, so that nothing is applied
    asked_at: float
    over: str = ""  # applied, dropped, deleted or abandoned; empty: it runs


class Engine:
    """A sound engine. A statement runs for the time that its comment names: /* 800 ms */.

    It stands still until `stalled_until`. Engines of one `group` drop repeats of each other's marks.
    """

    def __init__(self, uid: str, store: Store, record: Record) -> None:
        self.uid, self.store, self._record = uid, store, record
        self.group = 0
        self.port = 0
        self.queries: dict[str, Query] = {}
        self.posts: list[tuple[float, Call]] = []
        self.stalled_until = 0.0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(
            lambda reader, writer: _serve_http(reader, writer, self.respond), "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def entry(self) -> dict[str, Any]:
        """Returns its entry in the notice board's list."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": "here",
            "model": "std",
            "pod_group": self.group,
            "state": "ready",
            "capacity_hint": 1,
            "boot_ms": 0,
        }

    async def respond(self, call: Call) -> bytes | None:
        """Answers a call."""
        await self._wait_out_stall()
        if call.method == "POST":
            return await self._start(call)
        _, _, query_id, *rest = call.path.split("/")
        query = self.queries.get(query_id)
        if call.method == "PUT":
            return _answer(204)
        if call.method == "DELETE":
            if query is not None and not query.over:
                query.over = "deleted"
                self._record.say(f"{self.uid}: {query_id} was deleted")
            return _answer(204)
        if query is None or rest != ["0"]:
            return _answer(500)
        return await self._news(query)

    async def _wait_out_stall(self) -> None:
        while (left := self.stalled_until - time.time()) > 0:
            await asyncio.sleep(left)

    async def _start(self, call: Call) -> bytes | None:
        now = time.time()
        self.posts.append((now, call))
        query_id, mark = call.headers["x-txn"], call.headers.get("x-dedupe", call.headers["x-txn"])
        found = _DURATION.search(call.body[-200:].decode())
        seconds = int(found[1]) / 1000 if found else 0.1
        rows = f"{mark}\t{self.uid}\tdone\n".encode()
        known = self.claim(mark, rows) if "x-dedupe" in call.headers else None
        dropped = known is not None
        rows = known or rows
        query = Query(call, now, seconds, rows, mark, dropped, now)
        self.queries[query_id] = query
        how = "a repeat that is dropped" if dropped else f"runs {seconds:g} s"
        self._record.say(f"{self.uid}: POST {query_id} lane {call.headers['x-lane']} mark {mark}: {how}")
        asyncio.get_running_loop().create_task(self._run(query_id, query))
        return await self._news(query)

    def claim(self, mark: str, rows: bytes) -> bytes | None:
        """Begins to remember a mark. Returns the result of its first run if it is remembered already."""
        if self.store.remembers(self.group, mark):
            return self.store.rows_of(self.group, mark)
        self.store.see(self.group, mark, rows)
        return None

    def apply(self, mark: str) -> None:
        """Applies a statement."""
        self.store.applied.append((time.time(), mark, self.uid))

    async def _run(self, query_id: str, query: Query) -> None:
        left = query.seconds
        while left > 0 and not query.over:
            step = min(left, 0.02)
            await asyncio.sleep(step)
            if time.time() < self.stalled_until:
                await self._wait_out_stall()
                continue
            left -= step
            if time.time() - query.asked_at > ABANDONED_S:
                query.over = "abandoned"
        if not query.over:
            query.over = "dropped" if query.dropped else "applied"
            if not query.dropped:
                self.apply(query.mark)
        self._record.say(f"{self.uid}: {query_id} mark {query.mark}: {query.over}")

    async def _news(self, query: Query) -> bytes:
        until = time.time() + LONG_POLL_S
        query.asked_at = time.time()
        while not query.over and time.time() < until:
            await asyncio.sleep(0.01)
            query.asked_at = time.time()
        if not query.over:
            return _answer(202)
        if query.over in ("applied", "dropped"):
            return _answer(200, query.rows, Result_Pages=1, Query_Cost=200, Query_Need=96)
        return _answer(500)


class Board:
    """The notice board."""

    def __init__(self) -> None:
        self.port = 0
        self._notices: list[dict[str, Any]] = []
        self._server: asyncio.Server | None = None

    async def start(self, engines: list[Engine]) -> None:
        """Listens on a free port and tells the whole list."""
        pool = {"rev": 1, "all": True, "targets": [engine.entry() for engine in engines]}
        self._notices.append({"rev": 1, "pool": pool})
        self._server = await asyncio.start_server(
            lambda reader, writer: _serve_http(reader, writer, self._respond), "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def known(self) -> dict[str, Any]:
        """Returns all events up to now."""
        return {"rev": len(self._notices), "notices": self._notices}

    async def _respond(self, call: Call) -> bytes | None:
        query = dict(part.split("=") for part in call.path.partition("?")[2].split("&"))
        watch, until = int(query["watch"]), time.time() + int(query["linger"]) / 1000
        while watch >= len(self._notices) and time.time() < until:
            await asyncio.sleep(0.02)
        return _answer(
            200, json.dumps({"rev": len(self._notices), "notices": self._notices[watch:]}).encode()
        )


# Gateways


def run_command() -> str:
    """Returns the `run` command of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


def free_port() -> tuple[int, socket.socket]:
    """Returns a free port, and the socket that keeps it from others until it is closed."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock.getsockname()[1], sock


def settings(classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment. `changes` replace whole keys."""
    limits = {
        "cancelling": True,
        "second_copies": True,
        "conn_idle": 30_000_000,
        "connect_timeout": 250_000,
        "max_attempts": 5,
        "max_open": 20_000,
        "max_retry_after": 500_000,
        "retry_after": True,
    }
    rules = {
        "answer_slack": 20_000,
        "ask_within": 10_000_000,
        "cold_from": 0.31,
        "drain_grace": 2_000_000,
        "fall_multiple": 4.0,
        "overload_for": 1_000_000,
        "warm_up": 15_000_000,
    }
    loads = [each["name"] == "load" for each in classes]
    specifics = {
        "cpu_of_kind": [12],
        "size_mb": [24576.0],
        "threads_by_class": [2 if each else 1 for each in loads],
        "writes_tables": loads,
        "class_waits": [not each for each in loads],
        "ranks_heeded": True,
        "progress_pace": 0,
    }
    found = {
        "discovery": "automatic",
        "flavors": ["std"],
        "zones": ["here"],
        "n_instances": 1,
        "period": 5000,
        "limits": limits,
        "rules": rules,
        "specifics": specifics,
        "request_classes": classes,
    }
    return found | changes


def request_class(name: str, effect: str, aim_s: float, deadline_s: float, **more: Any) -> dict[str, Any]:
    """Returns a class of the settings."""
    found = {
        "name": name,
        "effect": effect,
        "aim": int(aim_s * 1e6),
        "aim_stretch": 2.0,
        "deadline": int(deadline_s * 1e6),
        "gain": 1.0,
        "late_value": 0.3,
        "group": "all",
        "streaming": False,
        "window": 15_000_000,
    }
    return found | more


class Gateway:
    """The process of one gateway."""

    def __init__(self, stage: Stage, name: str) -> None:
        self.stage, self.name = stage, name
        self.folder = stage.folder / name
        self.folder.mkdir()
        self.port, self._reservation = free_port()
        self.process: asyncio.subprocess.Process | None = None

    async def start(
        self, configured: dict[str, Any], limits: dict[str, Any], operator_lines: list[str] | None = None
    ) -> None:
        """Writes the configuration and starts the process by the deploy file's command."""
        configuration = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": f"{time.time_ns() & (2**64 - 1):016x}",
            "limits": limits,
            "board": f"127.0.0.1:{self.stage.board.port}",
            "known": self.stage.board.known(),
            "settings": configured,
        }
        (self.folder / "config.json").write_text(json.dumps(configuration))
        if operator_lines is not None:
            (self.folder / "operator.conf").write_text("\n".join([*operator_lines, ""]))
        await self._spawn()

    async def _spawn(self) -> None:
        environment = dict(os.environ, ROUTER_CONFIG=str(self.folder / "config.json"))
        environment.update(ROUTER_NAME=self.name, ROUTER_LISTEN=f"127.0.0.1:{self.port}")
        environment.update(TMPDIR=str(self.folder))
        environment.pop("LOTUSSTREAM_OPERATOR", None)
        if (self.folder / "operator.conf").exists():
            environment["LOTUSSTREAM_OPERATOR"] = str(self.folder / "operator.conf")
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run_command(), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log, start_new_session=True,
            )  # fmt: skip

    async def ready(self) -> None:
        """Waits until the gateway answers a probe with good. Raises NotReadyError."""
        until = time.time() + READY_S
        while time.time() < until:
            if self.process is None or self.process.returncode is not None:
                break
            with contextlib.suppress(OSError, TimeoutError):
                client = await Client().connect(self.port)
                good = await client.probe()
                client.close()
                if good:
                    return
            await asyncio.sleep(0.05)
        raise NotReadyError(f"{self.name} is not ready: {self.log()[-500:]}")

    async def restart(self) -> None:
        """Starts the ended process again with the same files."""
        await self._spawn()

    def log(self) -> str:
        """Returns what the process has written."""
        return (self.folder / "log").read_text(errors="replace")

    def signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self._reservation.close()

    async def ctl(self, *arguments: str) -> Any:
        """Returns what the project's `ctl` prints as JSON; None if it fails."""
        process = await asyncio.create_subprocess_exec(
            ".venv/bin/python", "-m", "lotusstream", "ctl", "--operator", str(self.folder / "operator.conf"),
            "--json", *arguments, cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        output, _ = await process.communicate()
        try:
            return json.loads(output)
        except ValueError:
            return None


class NotReadyError(Exception):
    """The case could not run."""


class Stage:
    """All that a case starts; `async with` ends it again."""

    def __init__(
        self,
        case_file: str,
        engines: int,
        window_s: float = 15.0,
        groups: tuple[int, ...] = (),
    ) -> None:
        self.case_folder = Path(case_file).resolve().parent
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(self.case_folder)
        self.store = Store(window_s)
        self.board = Board()
        self.engines = [Engine(f"e-{number}", self.store, self.record) for number in range(1, engines + 1)]
        for engine, group in zip(self.engines, groups, strict=False):
            engine.group = group
        self.gateways: list[Gateway] = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    async def __aenter__(self) -> Stage:
        for engine in self.engines:
            await engine.start()
        await self.board.start(self.engines)
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(gateway.end() for gateway in self.gateways), return_exceptions=True)
        for engine in self.engines:
            engine.stop()
        self.board.stop()
        await asyncio.sleep(0.1)  # lets the tasks of ended connections close them
        kept = os.environ.get("REVIEW_KEEP")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True, ignore=shutil.ignore_patterns("control"))
        shutil.rmtree(self.folder, ignore_errors=True)

    def say(self, text: str) -> None:
        """Writes a line to the record."""
        self.record.say(text)

    def gateway(self, name: str) -> Gateway:
        """Adds a gateway, which is not started yet."""
        gateway = Gateway(self, name)
        self.gateways.append(gateway)
        return gateway

    async def fleet(
        self,
        names: list[str],
        configured: dict[str, Any],
        directives: list[str],
        shards: int,
        tasks: set[str],
    ) -> list[Gateway]:
        """Starts a fleet of gateways that keep three copies, and waits until each shard has all of them.

        The first three gateways are the quorum.

        :param tasks: names of the gateways that may assign the shards.
        """
        gateways = [self.gateway(name) for name in names]
        reserved = {name: free_port() for name in names}
        lines = ["fleet", "    group review"]
        lines += [f"    keeper {name} 127.0.0.1:{reserved[name][0]}" for name in names]
        lines += [
            f"    holder {name} 127.0.0.1:{reserved[name][0]} machine m-{name} zone z-{name}"
            for name in names
        ]
        try:
            for gateway in gateways:
                own = [
                    f'control "{gateway.folder / "control"}"',
                    *lines,
                    f'    store "{gateway.folder / "store"}"',
                ]
                limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
                shared = [f"    {line}" for line in [*directives, f"shards {shards}"]]
                shared += ["    tasks copies"] if gateway.name in tasks else []
                await gateway.start(configured, limits, [*own, *shared, "end"])
            for gateway in gateways:
                await gateway.ready()
            await self._copied(gateways, shards)
        finally:
            for _, sock in reserved.values():
                sock.close()
        return gateways

    async def _copied(self, gateways: list[Gateway], shards: int) -> None:
        until = time.time() + 45
        while time.time() < until:
            rows: dict[int, dict[str, Any]] = {}
            for gateway in gateways:
                for row in ((await gateway.ctl("copies")) or {}).get("shards", []):
                    if row["home"] == gateway.name:
                        rows[row["shard"]] = row
            full = [each for each in rows.values() if len(each["copies"]) == 2 and not each["joining"]]
            if len(full) == shards:
                self.say("every shard has a home and two further copies")
                return
            await asyncio.sleep(0.3)
        raise NotReadyError("the shards have not got all their copies")


async def _run(case: Callable[[], Awaitable[bool]]) -> bool:
    """Runs a case for 110 seconds at most. SIGTERM ends it and all that it started."""
    task = asyncio.ensure_future(case())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, 110)


def main(case: Callable[[], Awaitable[bool]]) -> None:
    """Runs a case, which returns whether the rule held, and exits with the status that the issue asks for."""
    try:
        held = asyncio.run(_run(case))
    except (NotReadyError, TimeoutError, OSError, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    print("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
