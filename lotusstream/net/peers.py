"""TCP between gateways: frames both ways, everything bounded. A peer that is slow, silent or talks nonsense
loses its connection and harms nobody: what is told here may always be lost, and is told again."""

from __future__ import annotations

import asyncio
import socket
import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lotusstream.net.actor import Supervisor
from lotusstream.net.buffer import Buffer, BufferFullError
from lotusstream.net.connection import US, Address
from lotusstream.protocol import peers as wire

MAX_QUEUED_FRAMES_COUNT = 512  # frames that wait for one peer; what comes on top of them is lost
MAX_QUEUED_BYTES = 4 << 20
BACKOFF_RANGE_S = (0.05, 2.0)  # seconds between two tries to connect, at first and at most


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """`patience`: microseconds in which a peer takes what is sent, and answers a ping. `callers`: connections
    that are taken at once."""

    group: str
    name: str
    patience: int
    callers: int


ReplyCallback = Callable[[wire.PeerFrame], None]
FrameHandler = Callable[[wire.PeerFrame, str, ReplyCallback], None]  # the frame, who sent it, how to answer


class PeerConnection:
    """One connection with its queue: both directions, until either breaks."""

    def __init__(self, sock: socket.socket, manners: PeerLimits) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock, self._manners = sock, manners
        self._queue: deque[bytes] = deque()
        self._waiting, self._filled = 0, asyncio.Event()
        self._buffer = Buffer(4096, wire.MAX_FRAME_BYTES + wire.LENGTH_PREFIX.size)
        self.lost = 0
        self._speaks = 1  # until the other side has said more
        self.sent = self.heard = 0  # writes, and frames that came

    def put(self, frame: wire.PeerFrame) -> bool:
        """False where the queue is full: the frame is lost. What the other side does not understand, or has
        not said yet to understand, is left out: it would break the line."""
        if wire.required_frame_version(frame) > self._speaks:
            return True
        data = wire.encode(frame)
        if len(self._queue) >= MAX_QUEUED_FRAMES_COUNT or self._waiting + len(data) > MAX_QUEUED_BYTES:
            self.lost += 1
            return False
        self._queue.append(data)
        self._waiting += len(data)
        self._filled.set()
        return True

    async def write(self) -> None:
        """Until the peer is too slow (TimeoutError) or the connection breaks (OSError)."""
        loop = asyncio.get_running_loop()
        while True:
            await self._filled.wait()
            self._filled.clear()
            while self._queue:
                data = b"".join(self._queue)
                self._queue.clear()
                self._waiting = 0
                self.sent += 1
                async with asyncio.timeout(self._manners.patience / US):
                    await loop.sock_sendall(self._sock, data)

    async def read(self) -> wire.PeerFrame | None:
        """The next frame, or None at the end. Raises BrokenPeer, OSError."""
        loop = asyncio.get_running_loop()
        while (found := wire.decode_first(self._buffer.data())) is None:
            try:
                count = await loop.sock_recv_into(self._sock, self._buffer.space())
            except BufferFullError as error:
                raise wire.PeerProtocolError(str(error)) from error
            if not count:
                return None
            self._buffer.filled(count)
        frame, used = found
        self._buffer.use(used)
        self.heard += 1
        return frame

    async def greeted(self) -> wire.Greeting:
        """Raises BrokenPeer, TimeoutError, OSError."""
        async with asyncio.timeout(self._manners.patience / US):
            first = await self.read()
        if not isinstance(first, wire.Greeting):
            raise wire.PeerProtocolError("the first frame is no greeting")
        if first.version != wire.PROTOCOL_VERSION:
            raise wire.PeerProtocolError(
                f"{first.name} speaks version {first.version}, here it is {wire.PROTOCOL_VERSION}"
            )
        if first.group != self._manners.group:
            raise wire.PeerProtocolError(
                f"{first.name} is of group '{first.group}', here it is '{self._manners.group}'"
            )
        self._speaks = first.speaks
        return first

    def greet(self) -> None:
        self.put(
            wire.Greeting(wire.PROTOCOL_VERSION, self._manners.group, self._manners.name, wire.FRAME_VERSION)
        )

    def close(self) -> None:
        self._sock.close()


async def _run_until_first_ends(*works: asyncio.Task[None]) -> None:
    """Until one ends; the others are ended. Raises what it raised."""
    try:
        done, _ = await asyncio.wait(works, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in works:
            task.cancel()
        await asyncio.gather(*works, return_exceptions=True)


CONNECTION_ERRORS = (OSError, TimeoutError, wire.PeerProtocolError)


class PeerServer:
    """Takes connections of other gateways and hands on what they tell."""

    def __init__(
        self, address: Address, manners: PeerLimits, handle: FrameHandler, supervisor: Supervisor
    ) -> None:
        self._address, self._manners, self._handle = address, manners, handle
        self._supervisor, self._listener = supervisor, socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.callers: dict[str, int] = {}
        self._open = 0

    def start(self) -> None:
        """Raises OSError where the address can't be had."""
        try:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._listener.setblocking(False)
            self._listener.bind(self._address)
            self._listener.listen(self._manners.callers)
        except OSError:
            self._listener.close()
            raise
        self._supervisor.start_restarting("peers", self._accept)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            if self._open >= self._manners.callers:
                self._supervisor.counters.add("peers without room")
                sock.close()
                continue
            self._open += 1
            self._supervisor.start("peer", self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        name = ""
        line = PeerConnection(sock, self._manners)
        try:
            greeting = await line.greeted()
            name = greeting.name
            self.callers[name] = self.callers.get(name, 0) + 1
            line.greet()
            start = asyncio.get_running_loop().create_task
            await _run_until_first_ends(start(line.write()), start(self._read(line, name)))
        except CONNECTION_ERRORS as error:
            self._supervisor.counters.add("peers that broke off")
            if isinstance(error, wire.PeerProtocolError):
                self._supervisor.log.write("peers", f"{name or 'a stranger'}: {error}", peer=name)
        finally:
            self._open -= 1
            if name:
                self.callers[name] -= 1
                if not self.callers[name]:
                    del self.callers[name]
            line.close()

    async def _read(self, line: PeerConnection, name: str) -> None:
        def answer(frame: wire.PeerFrame) -> None:
            line.put(frame)

        while (frame := await line.read()) is not None:
            if isinstance(frame, wire.Ping):
                line.put(wire.Pong())
            else:
                self._handle(frame, name, answer)

    def stop(self) -> None:
        self._listener.close()


class PeerLink:
    """The way to one other gateway: connected at the first frame, again and again after breaks, and let go
    when nothing was told for `idle` microseconds."""

    def __init__(
        self,
        name: str,
        address: Address,
        manners: PeerLimits,
        idle: int,
        handle: FrameHandler,
        supervisor: Supervisor,
    ) -> None:
        self.name, self._address, self._manners, self._idle = name, address, manners, idle
        self._handle, self._supervisor = handle, supervisor
        self._wanted = asyncio.Event()
        self._line: PeerConnection | None = None
        self._first: deque[wire.PeerFrame] = deque(maxlen=16)  # told before the connection is there
        self.tries = 0
        self.connected, self.why = False, "nothing was to be told yet"

    def start(self) -> None:
        self._supervisor.start_restarting(f"link to {self.name}", self._run)

    def put(self, frame: wire.PeerFrame) -> None:
        if self._line is not None:
            if not self._line.put(frame):
                self._supervisor.counters.add("frames to peers lost")
        else:
            self._first.append(frame)
        self._wanted.set()

    async def _run(self) -> None:
        while True:
            await self._wanted.wait()
            try:
                await self._connect_and_serve()
                self.why = "closed"
            except CONNECTION_ERRORS as error:
                self.why = str(error) or type(error).__name__
                if isinstance(error, wire.PeerProtocolError):
                    self._supervisor.log.write("peers", f"{self.name}: {error}", peer=self.name)
            finally:
                self.connected, self._line = False, None
            self.tries += 1
            await asyncio.sleep(self._pause())

    def _pause(self) -> float:
        """Doubled from try to try, spread: a fleet does not come back all at once."""
        lot = zlib.crc32(f"{self._manners.name}/{self.name}/{self.tries}".encode()) / 2**32
        longest: float = min(BACKOFF_RANGE_S[1], BACKOFF_RANGE_S[0] * 2 ** min(self.tries, 10))
        return longest * (0.5 + lot / 2)

    async def _connect_and_serve(self) -> None:
        loop, patience = asyncio.get_running_loop(), self._manners.patience / US
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            async with asyncio.timeout(patience):
                await loop.sock_connect(sock, self._address)
        except BaseException:
            sock.close()
            raise
        line = PeerConnection(sock, self._manners)
        try:
            line.greet()
            while self._first:
                line.put(self._first.popleft())
            self._line = line
            writes = loop.create_task(line.write())
            await _run_until_first_ends(
                writes, loop.create_task(self._read(line)), loop.create_task(self._watch(line))
            )
        finally:
            self._line = None
            line.close()

    async def _read(self, line: PeerConnection) -> None:
        greeting = await line.greeted()
        if greeting.name != self.name:
            raise wire.PeerProtocolError(f"'{greeting.name}' answers where '{self.name}' should be")
        self.connected, self.tries, self.why = True, 0, ""
        while (frame := await line.read()) is not None:
            if not isinstance(frame, wire.Pong):
                self._handle(frame, self.name, self.put)

    async def _watch(self, line: PeerConnection) -> None:
        """Half-open lines are found by what stays unanswered, idle ones are let go."""
        idle, asked, pause = 0.0, 0, self._manners.patience / US / 3
        sent = heard = 0
        while True:
            self._wanted.clear()
            await asyncio.sleep(pause)
            if self._wanted.is_set():
                idle = 0.0
            elif (idle := idle + pause) >= self._idle / US:
                return
            # a line that is always written to is never quite answered: what counts is that something comes
            silent = line.heard == heard and line.sent > sent
            asked = asked + 1 if silent else 0
            sent, heard = line.sent, line.heard
            if asked > 3:
                raise TimeoutError(f"nothing has come for {self._manners.patience} us")
            if silent:
                line.put(wire.Ping())

    @property
    def standing(self) -> str:
        return "connected" if self.connected else f"not connected: {self.why}"
