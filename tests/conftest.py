"""One tiny fake host for the module, and stand-ins for the parties that the gateway meets on sockets."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import math
import re
import signal
import struct
import sys
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TMessageType, TType
from thrift.transport.TTransport import TMemoryBuffer

from lotusstream import interface as api
from lotusstream.policy import Gateway

hypothesis_settings.register_profile("same", derandomize=True, deadline=None, database=None)
hypothesis_settings.load_profile("same")  # the same verdict always

MS, S = 1_000, 1_000_000
LIMIT = 20  # seconds, for whatever is waited for
CALLS = itertools.count(1)

LOOKUP = api.Profile(S, 0.0, 6 * S, 1.0, 0.1, api.Effect.REPLAYABLE, api.Scope.ALL, 0,
                     False, None, None, False, True, 1)  # fmt: skip
LOAD = replace(LOOKUP, target=3 * S, client_timeout=25 * S, loads=True, waits=False, threads=2)
ONCE = replace(LOAD, effect=api.Effect.NON_REPLAYABLE, in_order=True)
UNIQUED = replace(LOAD, effect=api.Effect.UNIQUED, scope=api.Scope.ZONE, remembered_for=5 * S)
BOUND = replace(LOOKUP, kinds=frozenset({1}))
PROFILES = (LOOKUP, LOAD, ONCE, UNIQUED, BOUND)


class Host:
    def __init__(self, **changes: object) -> None:
        duties = api.Duties(20 * MS, 0.3, 15 * S, 3.0, S, 300 * MS, math.inf, 0.0, 0, 10 * S)
        allowed = api.Allowed(4, True, True, False, False, True, 500 * MS, False)
        start = api.Started(7, 1, 5 * MS, PROFILES, (api.Kind(8.0, 0.0), api.Kind(8.0, 0.0)), 1.0, 0,
                            False, allowed, duties)  # fmt: skip
        named = {key: value for key, value in changes.items() if hasattr(duties, key)}
        rest = {key: value for key, value in changes.items() if not hasattr(duties, key)}
        self.now, self.ids, self.gateway = S, 100, Gateway()
        self.log: list[api.Action] = []
        self.tell(replace(start, duties=replace(duties, **named), **rest))

    def tell(self, *events: api.Event) -> list[api.Action]:
        actions = [a for event in (*events, api.Settled()) for a in self.gateway.handle(self.now, event)]
        self.log += actions
        return [action for action in actions if not isinstance(action, api.Wake | api.Resources)]

    def engines(self, *engines: api.Engine, kind: api.ListKind = api.ListKind.FULL) -> list[api.Action]:
        return self.tell(api.EngineNews(kind, engines))

    def take(self, profile: int = 0, group: int = 1, key: int | None = None, timeout: int | None = None,
             hint: int | None = 200 * MS) -> int:  # fmt: skip
        self.ids += 1
        limit = timeout or PROFILES[profile].client_timeout
        self.tell(api.Arrived(self.ids, profile, hint, None, limit, group, key))
        return self.ids

    def end(self, command: int, outcome: api.Outcome, after: int = 200 * MS,
            heard: bool = False) -> list[api.Action]:  # fmt: skip
        """The command's latest send ends; time passes in the gateway's own looks."""
        self.pass_time(after)
        sends = self.sends(command)
        over = outcome is api.Outcome.ANSWERED
        return self.tell(api.Ended(command, len(sends) - 1, sends[-1].engine, outcome, after, over,
                                   None, None, None, heard or outcome in api.ITS_OWN_WORD))  # fmt: skip

    def pass_time(self, span: int) -> list[api.Action]:
        end, seen = self.now + span, len(self.log)
        while due := [a.at for a in self.log if isinstance(a, api.Wake) and self.now < a.at <= end]:
            self.now = min(due)
            self.tell(api.Woken(self.now))
        self.now = end
        return self.log[seen:]

    def sends(self, command: int | None = None) -> list[api.Send]:
        return [a for a in self.log if isinstance(a, api.Send) and command in (None, a.command)]

    def finals(self, command: int) -> list[api.Action]:
        return [a for a in self.log if isinstance(a, api.Shed | api.Fail) and a.command == command]


def engine(name: int, **changes: object) -> api.Engine:
    return replace(api.Engine(bytes([name] * 6), api.State.READY, 0, 0, 0, 0), **changes)


@pytest.fixture
def host() -> Host:
    made = Host()
    made.engines(engine(1), engine(2), engine(3))
    return made


# Stand-ins for the parties on sockets, written from the protocol page


class Line:
    """What has happened, to be waited for."""

    def __init__(self) -> None:
        self.items: list[Any] = []
        self._came = asyncio.Event()

    def add(self, item: Any) -> None:
        self.items.append(item)
        self._came.set()

    async def until(self, wanted: Callable[[Any], bool], count: int = 1) -> Any:
        async with asyncio.timeout(LIMIT):
            while len(found := [item for item in self.items if wanted(item)]) < count:
                self._came.clear()
                await self._came.wait()
        return found[count - 1]


@dataclass(frozen=True)
class Call:
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class HttpStandIn:
    """Answers each call by `respond`: bytes, or None to say nothing. `calls` holds all that has come."""

    def __init__(self) -> None:
        self.calls, self.port, self.connections = Line(), 0, 0
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """As a process does: connections are reset, new ones refused."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.strip().split("\r\n")
                headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, path, _ = first.split(" ")
                call = Call(method, path, headers, body)
                self.calls.add(call)
                answer = await self.respond(call)
                if answer is not None:
                    writer.write(answer)

    async def respond(self, call: Call) -> bytes | None:
        raise NotImplementedError


def http_answer(status: int, body: bytes = b"", **headers: object) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class StandInEngine(HttpStandIn):
    def __init__(self, uid: str) -> None:
        super().__init__()
        self.uid, self.pages = uid, [b"a\tb\tc\n"]
        self.acts = "answers"
        self.raw = b""  # said in place of any answer, where acts is "raw"
        self.once: dict[int, bytes] = {}  # said once in place of the answer that holds this page
        self.held = set[str]()  # calls that stay open whatever it does

    def posts(self, call: str | None = None) -> list[Call]:
        found = [item for item in self.calls.items if item.method == "POST"]
        return [item for item in found if call in (None, item.headers["x-txn"])]

    async def respond(self, call: Call) -> bytes | None:
        if call.method in ("DELETE", "PUT"):
            return http_answer(204)
        number = 0 if call.method == "POST" else int(call.path.rsplit("/", 1)[1])
        if number in self.once:
            return self.once.pop(number) or None
        if number:
            if self.acts == "loses pages":
                return http_answer(500)
            return http_answer(200, self.pages[number], Result_Page=number)
        query = call.headers["x-txn"] if call.method == "POST" else call.path.split("/")[2]
        match "holds" if query in self.held else self.acts:
            case "holds":
                await asyncio.sleep(0.25)  # as long as the page says
                return http_answer(202)
            case "is silent":
                return None
            case "dies":
                self.die()
                return None
            case "is full":
                return http_answer(503, X_Unrun=1)
            case "fails":
                return http_answer(500)
            case "raw":
                return self.raw
        return http_answer(200, self.pages[0], Result_Pages=len(self.pages), Query_Cost=80, Query_Need=100)

    def entry(self, state: str = "ready", boot_ms: int = 0) -> dict[str, object]:
        return {"uid": self.uid, "endpoint": f"127.0.0.1:{self.port}", "az": "here", "model": "std",
                "pod_group": 0, "state": state, "capacity_hint": 1, "boot_ms": boot_ms}  # fmt: skip


class StandInBoard(HttpStandIn):
    def __init__(self) -> None:
        super().__init__()
        self.notices: list[dict[str, object]] = []
        self.raw: bytes | None = None  # said once in place of an answer; nothing at all if empty
        self._changed = asyncio.Event()

    def tell(self, *entries: dict[str, object], whole: bool = False) -> None:
        pool = {"rev": len(self.notices), "all": whole, "targets": list(entries)}
        self.notices.append({"rev": len(self.notices) + 1, "pool": pool})
        self._changed.set()

    def known(self) -> dict[str, object]:
        return {"rev": len(self.notices), "notices": self.notices}

    async def respond(self, call: Call) -> bytes | None:
        if self.raw is not None:
            raw, self.raw = self.raw, None
            return raw or None
        asked = dict(part.split("=") for part in call.path.partition("?")[2].split("&"))
        if int(asked["watch"]) >= len(self.notices):
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), int(asked["linger"]) / 1000)
        news = {"rev": len(self.notices), "notices": self.notices[int(asked["watch"]) :]}
        return http_answer(200, json.dumps(news).encode())


class Failed(Exception):
    """`kind`: "shed", "failed" or "fault"."""

    def __init__(self, kind: str, fields: dict[str, str]) -> None:
        super().__init__(kind)
        self.kind, self.fields = kind, fields


class StandInClient:
    def __init__(self) -> None:
        self.seqid = 0
        self.answers: dict[int, asyncio.Future[bytes]] = {}
        self.closed = asyncio.Event()

    async def connect(self, port: int) -> StandInClient:
        self._reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self._task = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            while True:
                (length,) = struct.unpack("!i", await self._reader.readexactly(4))
                frame = await self._reader.readexactly(length)
                name_length = struct.unpack_from("!i", frame, 4)[0]
                (seqid,) = struct.unpack_from("!i", frame, 8 + name_length)
                self.answers.setdefault(seqid, asyncio.get_running_loop().create_future()).set_result(frame)
        self.closed.set()

    def message(self, method: str, kind: int, write: Callable[[TBinaryProtocol], None]) -> int:
        self.seqid += 1
        protocol = TBinaryProtocol(TMemoryBuffer())
        protocol.writeMessageBegin(method, kind, self.seqid)
        write(protocol)
        protocol.writeFieldStop()
        self.raw(protocol.trans.getvalue())
        return self.seqid

    def raw(self, frame: bytes) -> None:
        self.writer.write(struct.pack("!i", len(frame)) + frame)

    def ask(
        self, profile: str = "lookup", statement: str | bytes = "SELECT a FROM sales_3.t", **fields: str
    ) -> int:
        mark = {"dedupe": "m" * 32} if profile == "load" else {}
        call = f"{next(CALLS):016x}"
        values = {"op": profile, "call": call, "ttl": "6000", "work": "20.0", "mem": "96"} | mark | fields
        body = statement if isinstance(statement, bytes) else statement.encode()

        def write(protocol: TBinaryProtocol) -> None:
            protocol.writeFieldBegin("fields", TType.MAP, 1)
            protocol.writeMapBegin(TType.STRING, TType.STRING, len(values))
            for name, value in values.items():
                protocol.writeString(name)
                protocol.writeString(value)
            protocol.writeFieldBegin("body", TType.STRING, 2)
            protocol.writeBinary(body)

        return self.message("process", TMessageType.CALL, write)

    def give_up(self, seqid: int) -> None:
        def write(protocol: TBinaryProtocol) -> None:
            protocol.writeFieldBegin("seqid", TType.I32, 1)
            protocol.writeI32(seqid)

        self.message("giveUp", TMessageType.ONEWAY, write)

    async def answer(self, seqid: int) -> tuple[bytes, bool]:
        """The body and `good`; raises Failed for any other answer."""
        future = self.answers.setdefault(seqid, asyncio.get_running_loop().create_future())
        async with asyncio.timeout(LIMIT):
            protocol = TBinaryProtocol(TMemoryBuffer(await future), strictRead=True)
        _, kind, _ = protocol.readMessageBegin()
        if kind == TMessageType.EXCEPTION:
            raise Failed("fault", {})
        _, _, number = protocol.readFieldBegin()
        values: dict[int, Any] = {}
        while (field := protocol.readFieldBegin())[1] != TType.STOP:
            match field[1]:
                case TType.STRING:
                    values[field[2]] = protocol.readBinary()
                case TType.BOOL:
                    values[field[2]] = protocol.readBool()
                case TType.MAP:
                    size = protocol.readMapBegin()[2]
                    values[field[2]] = {protocol.readString(): protocol.readString() for _ in range(size)}
        if number:
            raise Failed({1: "shed", 2: "failed"}[number], values[1])
        return values[1], values[3]

    async def probe(self) -> bool:
        return (await self.answer(self.message("probe", TMessageType.CALL, lambda _: None)))[1]


def settings() -> dict[str, object]:
    def profile(name: str, effect: str) -> dict[str, object]:
        return {"name": name, "aim": 2 * S, "deadline": 6 * S, "effect": effect, "gain": 1.0, "group": "all",
                "window": 15 * S}  # fmt: skip

    return {
        "flavors": ["std"], "zones": ["here"], "n_instances": 1, "period": 1000, "not known": [],
        "limits": {"cancelling": True, "second_copies": True, "conn_idle": 30 * S, "max_attempts": 5,
                   "connect_timeout": 250 * MS, "max_open": 20000, "retry_after": True,
                   "max_retry_after": 500 * MS},
        "rules": {"cold_from": 0.3, "warm_up": 15 * S, "fall_multiple": 4.0, "overload_for": S,
                  "drain_grace": 2 * S},
        "specifics": {"cpu_of_kind": [8], "threads_by_class": [1, 2, 2],
                      "writes_tables": [False, True, False], "class_waits": [True, False, True],
                      "ranks_heeded": True},
        "request_classes": [profile("lookup", "repeatable"), profile("load", "by_key"),
                            profile("booking", "once")],
    }  # fmt: skip


class World:
    """A gateway, started by its command line, and the parties around it."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.board, self.engines = folder, StandInBoard(), [StandInEngine("s-1")]
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.log = Line()
        self.clients: list[StandInClient] = []
        self.program: asyncio.subprocess.Process | None = None
        self.operator: Path | None = None

    def operate(self, text: str) -> Path:
        """The gateway is started with this operator file, or reads it at the next SIGHUP."""
        self.operator = self.folder / "operator.conf"
        self.operator.write_text(text)
        return self.operator

    async def start(self, *engines: str) -> StandInClient:
        self.engines += [StandInEngine(uid) for uid in engines]
        for party in (self.board, *self.engines):
            await party.start()
        self.board.tell(*(engine.entry() for engine in self.engines), whole=True)
        await self.run()
        return await self.client()

    def configure(self, port: int = 0, **changes: object) -> Path:
        told: dict[str, object] = {"name": "n0", "listen": f"127.0.0.1:{port}", "seed": "8c1f30d27a5be964",
                "limits": self.limits, "board": f"127.0.0.1:{self.board.port}",
                "known": self.board.known(), "settings": settings()}  # fmt: skip
        path = self.folder / "config.json"
        path.write_text(json.dumps(told | changes))
        return path

    async def run(self, port: int = 0) -> None:
        path = self.configure(port)
        words = ["-m", "lotusstream", "serve", "--config", str(path)]
        words += ["--operator", str(self.operator)] if self.operator else []
        starts = sum("listening" in line for line in self.log.items)
        self.program = await asyncio.create_subprocess_exec(
            sys.executable, *words, stderr=asyncio.subprocess.PIPE
        )
        self._reading = asyncio.create_task(self._read(self.program))
        line = await self.log.until(lambda line: "listening" in line, starts + 1)
        found = re.search(r"on 127\.0\.0\.1:(\d+)", line)
        assert found is not None, line
        self.port = int(found[1])

    async def _read(self, program: asyncio.subprocess.Process) -> None:
        assert program.stderr is not None
        async for line in program.stderr:
            self.log.add(line.decode().rstrip())

    async def client(self) -> StandInClient:
        self.clients.append(await StandInClient().connect(self.port))
        return self.clients[-1]

    async def chosen(self) -> StandInEngine:
        """The engine that the first send goes to."""
        waits = [asyncio.create_task(engine.calls.until(lambda call: call.method == "POST"))
                 for engine in self.engines]  # fmt: skip
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        return next(engine for engine in self.engines if engine.posts())

    async def counters(self) -> dict[str, int]:
        """Printed on a signal."""
        assert self.program is not None
        seen = len(self.log.items)
        self.program.send_signal(signal.SIGUSR1)
        await self.log.until(lambda line: line == "counters end", 1 + self.log.items.count("counters end"))
        lines = [line.rpartition(" ") for line in self.log.items[seen:] if not line.endswith("at most")]
        return {name: int(count) for name, _, count in lines if count.isdigit()}

    async def ended(self) -> int:
        assert self.program is not None
        async with asyncio.timeout(LIMIT):
            status = await self.program.wait()
            await self._reading
        return status

    async def close(self) -> None:
        for client in self.clients:
            client.writer.transport.abort()
            client._task.cancel()
        if self.program is not None and self.program.returncode is None:
            self.program.kill()
            await self.ended()
        for party in (self.board, *self.engines):
            party.die()


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    made = World(tmp_path)
    yield made
    await made.close()
    failed = [line for line in made.log.items if "Traceback" in line or "broken invariant" in line]
    assert not failed, "\n".join(made.log.items)
