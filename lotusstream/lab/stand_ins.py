"""Stand-ins for the gateway's peers on sockets: clients, endpoints and discovery.

They are written from the protocol page, without the gateway's own codecs.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import socket
import struct
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TMessageType, TType
from thrift.transport.TTransport import TMemoryBuffer

WAIT_TIMEOUT_S = 20  # limit of every wait for an event or an answer
# Default request ids. A request id must not be used twice at the same time, so they start above the ids that
# tests write by hand.
CALL_IDS = itertools.count(1 << 32)


class EventLog:
    """A list of events. A test can wait until a matching event is added."""

    def __init__(self) -> None:
        self.items: list[Any] = []
        self._item_added = asyncio.Event()

    def add(self, item: Any) -> None:
        self.items.append(item)
        self._item_added.set()

    async def until(self, condition: Callable[[Any], bool], count: int = 1) -> Any:
        """Waits until `count` items meet the condition, and returns the last of them.

        Raises TimeoutError after WAIT_TIMEOUT_S.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while len(matching := [item for item in self.items if condition(item)]) < count:
                self._item_added.clear()
                await self._item_added.wait()
        return matching[count - 1]


@dataclass(frozen=True)
class Call:
    """An HTTP call that a stand-in received."""

    method: str
    path: str
    headers: dict[str, str]  # the names are in lower case
    body: bytes


class HttpStandIn:
    """An HTTP server that answers each call with what `respond` returns.

    `calls` holds each Call received, `connections` the number of connections accepted. `port` is 0 until
    `start`, and stays reserved until `close`, so that `start` can use it again after `crash`.
    """

    def __init__(self) -> None:
        self.calls, self.port, self.connections = EventLog(), 0, 0
        self._server: asyncio.Server | None = None
        # Bound to `port`, but never listens: while the server is down, connections are refused, and the
        # system gives the port to no other socket. Both sockets set SO_REUSEADDR to share the port.
        self._port_reservation: socket.socket | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self, port: int = 0) -> None:
        reservation = socket.socket()
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind(("127.0.0.1", port))
        self._release_port()
        self.port, self._port_reservation = reservation.getsockname()[1], reservation
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, reuse_address=True)

    def close(self) -> None:
        """Crashes, and releases the port."""
        self.crash()
        self._release_port()

    def _release_port(self) -> None:
        if self._port_reservation is not None:
            self._port_reservation.close()
            self._port_reservation = None

    def crash(self) -> None:
        """Resets all connections and refuses new ones, as when a process is killed."""
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
                request_line, *lines = head.strip().split("\r\n")
                headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, path, _ = request_line.split(" ")
                call = Call(method, path, headers, body)
                self.calls.add(call)
                answer = await self.respond(call)
                if answer is not None:
                    writer.write(answer)

    async def respond(self, call: Call) -> bytes | None:
        """Returns the bytes of the response, or None to send no response."""
        raise NotImplementedError


def http_answer(status: int, body: bytes = b"", **headers: object) -> bytes:
    """Encodes a response. Underscores in the names of `headers` stand for hyphens."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class StandInEndpoint(HttpStandIn):
    """An endpoint. `behavior` sets how it answers queries:

    - answers: it returns the result of each query at once;
    - loses pages: it returns page 0, and answers 500 to calls for later pages;
    - holds: queries stay running, and each call for a result gets 202 after 250 ms;
    - is silent: it sends no response;
    - dies: it crashes when it receives a call for page 0;
    - is full: it rejects queries with 503 as not executed;
    - fails: it answers 500;
    - raw: it sends `raw` in place of a response.
    """

    def __init__(self, uid: str) -> None:
        super().__init__()
        self.uid, self.pages = uid, [b"a\tb\tc\n"]  # `pages`: the pages of each query's result
        self.behavior = "answers"
        self.raw = b""  # bytes sent while `behavior` is "raw"
        # Bytes sent once in place of the response with a page, by page number. Empty bytes: no response.
        self.page_overrides: dict[int, bytes] = {}
        self.held_queries = set[str]()  # ids of requests that stay running whatever `behavior` is
        self.unanswered_path_prefix = ""  # calls whose path starts with this get no response; empty: none

    def posts(self, call: str | None = None) -> list[Call]:
        """Returns the attempts received: those of one request id, or all if None."""
        posts = [item for item in self.calls.items if item.method == "POST"]
        return [item for item in posts if call in (None, item.headers["x-txn"])]

    async def respond(self, call: Call) -> bytes | None:
        if self.unanswered_path_prefix and call.path.startswith(self.unanswered_path_prefix):
            return None
        if call.method in ("DELETE", "PUT"):
            return http_answer(204)
        page = 0 if call.method == "POST" else int(call.path.rsplit("/", 1)[1])
        if page in self.page_overrides:
            return self.page_overrides.pop(page) or None
        if page:
            if self.behavior == "loses pages":
                return http_answer(500)
            return http_answer(200, self.pages[page], Result_Page=page)
        query = call.headers["x-txn"] if call.method == "POST" else call.path.split("/")[2]
        match "holds" if query in self.held_queries else self.behavior:
            case "holds":
                await asyncio.sleep(0.25)  # the endpoint's long-poll time, by the protocol page
                return http_answer(202)
            case "is silent":
                return None
            case "dies":
                self.crash()
                return None
            case "is full":
                return http_answer(503, X_Unrun=1)
            case "fails":
                return http_answer(500)
            case "raw":
                return self.raw
        return http_answer(200, self.pages[0], Result_Pages=len(self.pages), Query_Cost=80, Query_Need=100)

    def entry(self, state: str = "ready", boot_ms: int = 0) -> dict[str, object]:
        """Returns its entry in the endpoint list. `boot_ms`: start time in Unix milliseconds."""
        return {"uid": self.uid, "endpoint": f"127.0.0.1:{self.port}", "az": "here", "model": "std",
                "pod_group": 0, "state": state, "capacity_hint": 1, "boot_ms": boot_ms}  # fmt: skip


class StandInDiscovery(HttpStandIn):
    """The discovery service: it answers long polls for changes of the endpoint list.

    `notices` holds the published changes in order. The revision of a change is its position, from 1.
    """

    def __init__(self) -> None:
        super().__init__()
        self.notices: list[dict[str, object]] = []
        # Bytes sent once in place of the next response. Empty bytes: no response. None: the usual response.
        self.raw: bytes | None = None
        self.response_seconds = 0.0  # time that each response takes after its content is fixed
        self._changed = asyncio.Event()

    def publish(self, *entries: dict[str, object], whole: bool = False) -> None:
        """Publishes a snapshot of the list if `whole`, else a delta with the changed entries."""
        pool = {"rev": len(self.notices), "all": whole, "targets": list(entries)}
        self.notices.append({"rev": len(self.notices) + 1, "pool": pool})
        self._changed.set()

    def full_state(self) -> dict[str, object]:
        """Returns the latest revision and all notices, as a gateway's configuration holds them."""
        return {"rev": len(self.notices), "notices": self.notices}

    async def respond(self, call: Call) -> bytes | None:
        if self.raw is not None:
            raw, self.raw = self.raw, None
            return raw or None
        query = dict(part.split("=") for part in call.path.partition("?")[2].split("&"))
        if int(query["watch"]) >= len(self.notices):
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), int(query["linger"]) / 1000)
        changes = {"rev": len(self.notices), "notices": self.notices[int(query["watch"]) :]}
        response = http_answer(200, json.dumps(changes).encode())
        await asyncio.sleep(self.response_seconds)
        return response


class RequestFailedError(Exception):
    """A request did not succeed.

    `kind`: "shed" (rejected before execution), "failed", or "fault" (the gateway answered with a Thrift
    exception). `fields`: the fields of the gateway's answer.
    """

    def __init__(self, kind: str, fields: dict[str, str]) -> None:
        super().__init__(kind)
        self.kind, self.fields = kind, fields


class StandInClient:
    """A client with one connection to a gateway."""

    def __init__(self) -> None:
        self.seqid = 0  # seqid of the last message sent; 0: none
        self.answers: dict[int, asyncio.Future[bytes]] = {}  # the frame of each answer, by seqid
        self.closed = asyncio.Event()  # set when the connection has ended

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
                future = self.answers.setdefault(seqid, asyncio.get_running_loop().create_future())
                if not future.done():  # its waiting task may have been cancelled
                    future.set_result(frame)
        self.closed.set()

    def message(self, method: str, kind: int, write: Callable[[TBinaryProtocol], None]) -> int:
        """Sends a Thrift message whose arguments `write` encodes, and returns its seqid."""
        self.seqid += 1
        protocol = TBinaryProtocol(TMemoryBuffer())
        protocol.writeMessageBegin(method, kind, self.seqid)
        write(protocol)
        protocol.writeFieldStop()
        self.raw(protocol.trans.getvalue())
        return self.seqid

    def raw(self, frame: bytes) -> None:
        """Sends the length of the frame, then the frame, which may hold any bytes."""
        self.writer.write(struct.pack("!i", len(frame)) + frame)

    def ask(
        self, profile: str = "lookup", statement: str | bytes = "SELECT a FROM sales_3.t", **fields: str
    ) -> int:
        """Sends a request and returns its seqid. `fields` override the default fields of the request."""
        idempotency_key = {"dedupe": "m" * 32} if profile == "load" else {}
        call = f"{next(CALL_IDS):016x}"
        values = (
            {"op": profile, "call": call, "ttl": "6000", "work": "20.0", "mem": "96"}
            | idempotency_key
            | fields
        )
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
        """Tells the gateway that the client no longer waits for the request."""

        def write(protocol: TBinaryProtocol) -> None:
            protocol.writeFieldBegin("seqid", TType.I32, 1)
            protocol.writeI32(seqid)

        self.message("giveUp", TMessageType.ONEWAY, write)

    async def answer(self, seqid: int) -> tuple[bytes, bool]:
        """Waits for the answer, and returns its body and its `good` flag.

        Raises RequestFailedError for any other answer, and TimeoutError after WAIT_TIMEOUT_S.
        """
        future = self.answers.setdefault(seqid, asyncio.get_running_loop().create_future())
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            protocol = TBinaryProtocol(TMemoryBuffer(await future), strictRead=True)
        _, kind, _ = protocol.readMessageBegin()
        if kind == TMessageType.EXCEPTION:
            raise RequestFailedError("fault", {})
        _, _, field_id = protocol.readFieldBegin()  # 0: success, 1: shed, 2: failed
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
        if field_id:
            raise RequestFailedError({1: "shed", 2: "failed"}[field_id], values[1])
        return values[1], values[3]

    def close(self) -> None:
        self.writer.transport.abort()
        self._task.cancel()

    async def probe(self) -> bool:
        """Sends a health probe, and returns whether the gateway reports itself healthy."""
        return (await self.answer(self.message("probe", TMessageType.CALL, lambda _: None)))[1]


class Effects:
    """Counts how often each request was executed at all endpoints together.

    Endpoints of one zone share a deduplication window: they answer a repeat with the first result.
    """

    def __init__(self) -> None:
        self.run_counts_by_key: Counter[str] = Counter()  # by idempotency key; by request id if it has none
        self._results: dict[tuple[str, str], bytes] = {}  # last result, by zone and key

    def run(self, zone: str, key: str, deduplicates: bool) -> bytes:
        """Executes a request and returns its result: key, zone and number of executions of the key.

        If `deduplicates`, a repeat in the same zone is not executed, and gets the recorded result.
        """
        if deduplicates and (zone, key) in self._results:
            return self._results[zone, key]
        self.run_counts_by_key[key] += 1
        rows = self._results[zone, key] = f"{key}\t{zone}\t{self.run_counts_by_key[key]}\n".encode()
        return rows

    @property
    def keys_run_twice(self) -> list[str]:
        return sorted(key for key, count in self.run_counts_by_key.items() if count > 1)


class CountingEndpoint(StandInEndpoint):
    """An endpoint that executes each request when it receives it, and counts the executions in `effects`.

    `deduplicated_profiles`: profiles whose repeats it recognizes by their idempotency key.
    """

    def __init__(self, uid: str, zone: str, effects: Effects, deduplicated_profiles: frozenset[str]) -> None:
        super().__init__(uid)
        self.zone, self._effects, self._deduplicated_profiles = zone, effects, deduplicated_profiles
        self._results: dict[str, bytes] = {}  # by request id

    async def respond(self, call: Call) -> bytes | None:
        if call.method == "POST" and self.behavior != "is full":
            key, profile = call.headers.get("x-dedupe", call.headers["x-txn"]), call.headers["x-lane"]
            self._results[call.headers["x-txn"]] = self._effects.run(
                self.zone, key, profile in self._deduplicated_profiles
            )
        query = call.headers["x-txn"] if call.method == "POST" else call.path.split("/")[2]
        self.pages = [self._results.get(query, b"")]
        return await super().respond(call)

    def entry(self, state: str = "ready", boot_ms: int = 0) -> dict[str, object]:
        return super().entry(state, boot_ms) | {"az": self.zone}
