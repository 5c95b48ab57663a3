"""Case 2: the links to a fifth of the engines are cut for six seconds; requests carry marks."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins as s  # noqa: E402

RATE = 80.0  # requests in a second
QUIET_SECONDS, CUT_SECONDS, END_SECONDS = 8.0, 6.0, 8.0
ENGINES, CUT_ENGINES, CUTS = 10, 2, 2
CLIENTS = 20  # connections, used in turn
TTL_MS = 6000
WINDOW_SECONDS = 3.0  # in which engines drop the repeat of a mark
RUN_SECONDS = (0.1, 0.5)


class Effects:
    """What all engines together have run, by mark, and the marks that they remember."""

    def __init__(self, record: s.Record) -> None:
        self.runs: dict[str, list[str]] = {}  # where and when the statement of a mark ran to its end
        self._record = record
        self._began_at: dict[str, float] = {}  # when the first of the runs that are remembered began, by mark

    def drops(self, mark: str) -> bool:
        """Returns whether a statement that comes now is a repeat, else remembers its mark."""
        if s.now() - self._began_at.get(mark, 0.0) < WINDOW_SECONDS:
            return True
        self._began_at[mark] = s.now()
        return False

    def add(self, mark: str, uid: str) -> None:
        """Records that an engine has run the statement of a mark to its end."""
        self.runs.setdefault(mark, []).append(uid)
        self._record.add(f"{uid} has run the statement of mark {mark}, run {len(self.runs[mark])}")


class MarkingEngine(s.Engine):
    """Runs a statement, unless its mark is remembered. A repeat gets the same result and runs nothing."""

    def __init__(self, uid: str, kind: str, record: s.Record, effects: Effects) -> None:
        super().__init__(uid, kind, "hall", run_statement, record)
        self._effects = effects
        self._records = record
        self._runs: dict[str, str] = {}  # marks of statements that are about to begin, by the client's id

    async def respond(self, call: s.Call, writer: asyncio.StreamWriter) -> None:
        """Notes the run of a statement, and answers as usual."""
        if call.method == "POST":
            mark = call.headers["x-dedupe"]
            if self._effects.drops(mark):
                self._records.add(f"{self.uid} drops the repeat of mark {mark}")
            else:
                self._runs[call.headers["x-txn"]] = mark
        await super().respond(call, writer)

    def begun(self, query: s.Query) -> None:
        """Notes the run when it ends, unless it is given up before."""
        mark = self._runs.pop(query.call, None)
        if mark is not None:
            asyncio.get_running_loop().call_at(
                asyncio.get_running_loop().time() + query.ends_at - s.now(), self._end, query, mark
            )

    def _end(self, query: s.Query, mark: str) -> None:
        if not query.given_up:
            self._effects.add(mark, self.uid)


def run_statement(statement: str) -> tuple[float, list[bytes]]:
    """Returns how long a statement runs, and the pages of its result."""
    call = statement[-16:]
    return random.Random(call).uniform(*RUN_SECONDS), [f"{call}\tx\ty\n".encode()]


class Link:
    """The network between a gateway and one engine.

    While it is cut, open connections are silent and new ones never come up. What was sent before or meanwhile
    arrives after the cut, as TCP does it, also if the sender has closed the connection since; what a sender
    has reset does not.
    """

    def __init__(self, engine: s.Engine, record: s.Record) -> None:
        self.port = 0
        self._engine = engine
        self._record = record
        self._listener = socket.socket()
        self._is_whole = asyncio.Event()
        self._is_whole.set()
        self._fillers: list[socket.socket] = []  # while cut, they fill the queue of new connections
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Listens on a free port."""
        self._listener.bind((s.HOST, 0))
        self._listener.listen(128)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._start(self._accept())

    def _start(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cut(self) -> None:
        """Cuts the link."""
        self._record.add(f"the link to {self._engine.uid} is cut")
        self._is_whole.clear()
        self._listener.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((s.HOST, self.port))
            self._fillers.append(filler)

    def heal(self) -> None:
        """Ends the cut."""
        self._record.add(f"the link to {self._engine.uid} is whole")
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._listener.listen(128)
        self._is_whole.set()

    def close(self) -> None:
        """Ends all tasks."""
        for task in self._tasks:
            task.cancel()
        self._listener.close()

    async def _accept(self) -> None:
        while True:
            await self._is_whole.wait()
            await _until_readable(self._listener)
            if self._is_whole.is_set():
                with contextlib.suppress(BlockingIOError):
                    accepted, _ = self._listener.accept()
                    accepted.setblocking(False)
                    self._start(self._relay(accepted))

    async def _relay(self, gateway: socket.socket) -> None:
        engine = socket.socket()
        engine.setblocking(False)
        with gateway, engine, contextlib.suppress(OSError):
            await asyncio.get_running_loop().sock_connect(engine, (s.HOST, self._engine.port))
            engine.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            gateway.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await asyncio.gather(self._pass_on(gateway, engine), self._pass_on(engine, gateway))

    async def _pass_on(self, source: socket.socket, target: socket.socket) -> None:
        """Passes bytes on until the source closes. While the link is cut, they stay unread."""
        while True:
            await _until_readable(source)
            await self._is_whole.wait()
            if error := source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise OSError(error, "reset")  # what was under way is gone
            if not (data := source.recv(65536)):
                target.shutdown(socket.SHUT_WR)
                return
            await asyncio.get_running_loop().sock_sendall(target, data)


async def _until_readable(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    readable = loop.create_future()
    loop.add_reader(sock, lambda: readable.done() or readable.set_result(None))
    try:
        await readable
    finally:
        if sock.fileno() >= 0:
            loop.remove_reader(sock)


async def ask(record: s.Record, client: s.Client, call: str, results: Counter[str]) -> None:
    """Sends one request, once, with a mark of its own."""
    record.add(f"client sends {call}")
    try:
        async with asyncio.timeout(TTL_MS / 1000 + 1):
            fields = s.request_fields("lookup", call, TTL_MS, 300.0, dedupe=call)
            group = int(call, 16) % 40
            kind = (await client.ask(fields, f"INSERT INTO sales_{group}.orders VALUES (1) -- {call}")).kind
    except (TimeoutError, s.ClientGoneError):
        kind = "nothing"
    record.add(f"client {call} got {kind}")
    results[kind] += 1


async def play(record: s.Record, folder: Path) -> int:
    """Plays the case and returns its exit status."""
    board, effects = s.Board(), Effects(record)
    engines = [MarkingEngine(f"e-{n}", "c12" if n % 2 else "c8", record, effects) for n in range(ENGINES)]
    links = [Link(engine, record) for engine in engines]
    gateway = s.Gateway("g1", folder)
    results: Counter[str] = Counter()
    try:
        for server in (board, *engines):
            await server.start()
        for link in links:
            link.start()
        entries = [
            e.entry() | {"endpoint": f"{s.HOST}:{link.port}"} for e, link in zip(engines, links, strict=True)
        ]
        board.publish(entries, whole=True)
        settings = s.small_deployment()
        settings["request_classes"][0] |= {"effect": "by_key", "window": int(WINDOW_SECONDS * 1000) * s.MS}
        settings["specifics"]["progress_pace"] = 0
        gateway.configure(board, settings, s.LIMITS)
        gateway.start()
        await gateway.until_ready()
        clients = [await s.Client().connect(gateway.port) for _ in range(CLIENTS)]
        loop = asyncio.get_running_loop()
        if s.has_trouble():
            for n in range(CUTS):
                begins = QUIET_SECONDS + n * (QUIET_SECONDS + CUT_SECONDS)
                for link in links[n * CUT_ENGINES : (n + 1) * CUT_ENGINES]:
                    loop.call_later(begins, link.cut)
                    loop.call_later(begins + CUT_SECONDS, link.heal)
        draw, numbers = random.Random(1), itertools.count(1)
        end = s.now() + CUTS * (QUIET_SECONDS + CUT_SECONDS) + END_SECONDS
        tasks = []
        while s.now() < end:
            number = next(numbers)
            client = clients[number % CLIENTS]
            tasks.append(asyncio.create_task(ask(record, client, f"{number:016x}", results)))
            await asyncio.sleep(draw.expovariate(RATE))
        await asyncio.gather(*tasks)
    finally:
        gateway.kill()
        for link in links:
            link.close()
        for server in (board, *engines):
            server.close()
    twice = {mark: runs for mark, runs in effects.runs.items() if len(runs) > 1}
    for mark, runs in twice.items():
        record.add(f"TWICE: the statement of mark {mark} ran at {' and '.join(runs)}")
    record.say(f"answers: {dict(results)}; {len(effects.runs)} marks run, {len(twice)} of them twice")
    if results["served"] < len(tasks) / 2:
        return s.NOT_RUN
    return s.BROKEN if twice else s.HELD


if __name__ == "__main__":
    sys.exit(s.run_case(FOLDER, play))
