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
    timeout_us: int
    max_connections: int


ReplyCallback = Callable[[wire.PeerFrame], None]
FrameHandler = Callable[[wire.PeerFrame, str, ReplyCallback], None]  # the frame, who sent it, how to answer


class PeerConnection:
    """One connection with its queue: both directions, until either breaks."""

    def __init__(self, sock: socket.socket, manners: PeerLimits) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock, self._limits = sock, manners
        self._queue: deque[bytes] = deque()
        self._queued_bytes, self._queue_filled = 0, asyncio.Event()
        self._buffer = Buffer(4096, wire.MAX_FRAME_BYTES + wire.LENGTH_PREFIX.size)
        self.lost_frame_count = 0
        self._peer_frame_version = 1  # until the other side has said more
        self.write_count = self.received_frame_count = 0  # writes, and frames that came

    def put(self, frame: wire.PeerFrame) -> bool:
        """False where the queue is full: the frame is lost. What the other side does not understand, or has
        not said yet to understand, is left out: it would break the line."""
        if wire.required_frame_version(frame) > self._peer_frame_version:
            return True
        data = wire.encode(frame)
        if len(self._queue) >= MAX_QUEUED_FRAMES_COUNT or self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self.lost_frame_count += 1
            return False
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._queue_filled.set()
        return True

    async def write(self) -> None:
        """Until the peer is too slow (TimeoutError) or the connection breaks (OSError)."""
        loop = asyncio.get_running_loop()
        while True:
            await self._queue_filled.wait()
            self._queue_filled.clear()
            while self._queue:
                data = b"".join(self._queue)
                self._queue.clear()
                self._queued_bytes = 0
                self.write_count += 1
                async with asyncio.timeout(self._limits.timeout_us / US):
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
        self.received_frame_count += 1
        return frame

    async def read_greeting(self) -> wire.Greeting:
        """Raises BrokenPeer, TimeoutError, OSError."""
        async with asyncio.timeout(self._limits.timeout_us / US):
            first = await self.read()
        if not isinstance(first, wire.Greeting):
            raise wire.PeerProtocolError("the first frame is no greeting")
        if first.version != wire.PROTOCOL_VERSION:
            raise wire.PeerProtocolError(
                f"{first.name} speaks version {first.version}, here it is {wire.PROTOCOL_VERSION}"
            )
        if first.group != self._limits.group:
            raise wire.PeerProtocolError(
                f"{first.name} is of group '{first.group}', here it is '{self._limits.group}'"
            )
        self._peer_frame_version = first.frame_version
        return first

    def send_greeting(self) -> None:
        self.put(
            wire.Greeting(wire.PROTOCOL_VERSION, self._limits.group, self._limits.name, wire.FRAME_VERSION)
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
        self._address, self._limits, self._handle = address, manners, handle
        self._supervisor, self._listener = supervisor, socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.connection_counts: dict[str, int] = {}
        self._open_count = 0

    def start(self) -> None:
        """Raises OSError where the address can't be had."""
        try:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._listener.setblocking(False)
            self._listener.bind(self._address)
            self._listener.listen(self._limits.max_connections)
        except OSError:
            self._listener.close()
            raise
        self._supervisor.start_restarting("peers", self._accept)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            if self._open_count >= self._limits.max_connections:
                self._supervisor.counters.add("peers without room")
                sock.close()
                continue
            self._open_count += 1
            self._supervisor.start("peer", self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        name = ""
        line = PeerConnection(sock, self._limits)
        try:
            greeting = await line.read_greeting()
            name = greeting.name
            self.connection_counts[name] = self.connection_counts.get(name, 0) + 1
            line.send_greeting()
            start = asyncio.get_running_loop().create_task
            await _run_until_first_ends(start(line.write()), start(self._read(line, name)))
        except CONNECTION_ERRORS as error:
            self._supervisor.counters.add("peers that broke off")
            if isinstance(error, wire.PeerProtocolError):
                self._supervisor.log.write("peers", f"{name or 'a stranger'}: {error}", peer=name)
        finally:
            self._open_count -= 1
            if name:
                self.connection_counts[name] -= 1
                if not self.connection_counts[name]:
                    del self.connection_counts[name]
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
        self.name, self._address, self._limits, self._idle_timeout_us = name, address, manners, idle
        self._handle, self._supervisor = handle, supervisor
        self._frame_queued = asyncio.Event()
        self._connection: PeerConnection | None = None
        self._unsent_frames: deque[wire.PeerFrame] = deque(maxlen=16)  # told before the connection is there
        self.attempt_count = 0
        self.is_connected, self.disconnect_reason = False, "nothing was to be told yet"

    def start(self) -> None:
        self._supervisor.start_restarting(f"link to {self.name}", self._run)

    def put(self, frame: wire.PeerFrame) -> None:
        if self._connection is not None:
            if not self._connection.put(frame):
                self._supervisor.counters.add("frames to peers lost")
        else:
            self._unsent_frames.append(frame)
        self._frame_queued.set()

    async def _run(self) -> None:
        while True:
            await self._frame_queued.wait()
            try:
                await self._connect_and_serve()
                self.disconnect_reason = "closed"
            except CONNECTION_ERRORS as error:
                self.disconnect_reason = str(error) or type(error).__name__
                if isinstance(error, wire.PeerProtocolError):
                    self._supervisor.log.write("peers", f"{self.name}: {error}", peer=self.name)
            finally:
                self.is_connected, self._connection = False, None
            self.attempt_count += 1
            await asyncio.sleep(self._backoff_s())

    def _backoff_s(self) -> float:
        """Doubled from try to try, spread: a fleet does not come back all at once."""
        lot = zlib.crc32(f"{self._limits.name}/{self.name}/{self.attempt_count}".encode()) / 2**32
        longest: float = min(BACKOFF_RANGE_S[1], BACKOFF_RANGE_S[0] * 2 ** min(self.attempt_count, 10))
        return longest * (0.5 + lot / 2)

    async def _connect_and_serve(self) -> None:
        loop, patience = asyncio.get_running_loop(), self._limits.timeout_us / US
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            async with asyncio.timeout(patience):
                await loop.sock_connect(sock, self._address)
        except BaseException:
            sock.close()
            raise
        line = PeerConnection(sock, self._limits)
        try:
            line.send_greeting()
            while self._unsent_frames:
                line.put(self._unsent_frames.popleft())
            self._connection = line
            writes = loop.create_task(line.write())
            await _run_until_first_ends(
                writes, loop.create_task(self._read(line)), loop.create_task(self._watch_liveness(line))
            )
        finally:
            self._connection = None
            line.close()

    async def _read(self, line: PeerConnection) -> None:
        greeting = await line.read_greeting()
        if greeting.name != self.name:
            raise wire.PeerProtocolError(f"'{greeting.name}' answers where '{self.name}' should be")
        self.is_connected, self.attempt_count, self.disconnect_reason = True, 0, ""
        while (frame := await line.read()) is not None:
            if not isinstance(frame, wire.Pong):
                self._handle(frame, self.name, self.put)

    async def _watch_liveness(self, line: PeerConnection) -> None:
        """Half-open lines are found by what stays unanswered, idle ones are let go."""
        idle, asked, pause = 0.0, 0, self._limits.timeout_us / US / 3
        sent = heard = 0
        while True:
            self._frame_queued.clear()
            await asyncio.sleep(pause)
            if self._frame_queued.is_set():
                idle = 0.0
            elif (idle := idle + pause) >= self._idle_timeout_us / US:
                return
            # a line that is always written to is never quite answered: what counts is that something comes
            silent = line.received_frame_count == heard and line.write_count > sent
            asked = asked + 1 if silent else 0
            sent, heard = line.write_count, line.received_frame_count
            if asked > 3:
                raise TimeoutError(f"nothing has come for {self._limits.timeout_us} us")
            if silent:
                line.put(wire.Ping())

    @property
    def status(self) -> str:
        return "connected" if self.is_connected else f"not connected: {self.disconnect_reason}"
