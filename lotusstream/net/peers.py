"""TCP connections between gateways: they carry frames in both directions, with bounded queues.

A peer is another gateway of the fleet. A peer that is slow, silent or sends invalid frames loses its
connection, and other peers are not affected.
Any frame may be lost; a sender that needs a reply sends its frame again.
"""

from __future__ import annotations

import asyncio
import socket
import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lotusstream.net.actor import Supervisor
from lotusstream.net.buffer import Buffer, BufferFullError
from lotusstream.net.connection import US_PER_S, Address
from lotusstream.protocol import peers as wire

MAX_QUEUED_FRAMES_COUNT = 512  # frames queued on one connection; further frames are dropped
MAX_QUEUED_BYTES = 4 << 20  # bytes queued on one connection; further frames are dropped
BACKOFF_RANGE_S = (0.05, 2.0)  # shortest and longest delay between two attempts to connect
MAX_BACKOFF_DOUBLING_COUNT = 10  # most doublings of the delay between two attempts to connect
MAX_UNSENT_FRAMES_COUNT = 16  # frames of a link that wait for its connection; the oldest are dropped first
READ_BUFFER_BYTES = 4096
LIVENESS_CHECKS_PER_TIMEOUT = 3  # peer timeout divided by the interval between liveness checks


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """The name and fleet in this gateway's greeting, and the limits on its connections to peers."""

    group: str  # name of the fleet; peers of another fleet are rejected
    name: str  # name of this gateway
    timeout_us: int  # timeout of a connect, of a write, and for a peer's greeting or answer to a ping
    max_connections: int  # concurrent connections opened by other gateways


ReplyCallback = Callable[[wire.PeerFrame], None]
# Handles a received frame. Takes the frame, its sender's name and the callback that sends a reply.
FrameHandler = Callable[[wire.PeerFrame, str, ReplyCallback], None]


class PeerConnection:
    """A connection to a peer, with its send queue and its receive buffer."""

    def __init__(self, sock: socket.socket, limits: PeerLimits) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._limits = limits
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._queue_filled = asyncio.Event()
        self._buffer = Buffer(READ_BUFFER_BYTES, wire.MAX_FRAME_BYTES + wire.LENGTH_PREFIX.size)
        self._peer_frame_version = 1  # frame version of the peer; 1 until its greeting has arrived
        self.lost_frame_count = 0  # number of frames dropped because the queue was full
        self.write_count = 0  # number of writes to the socket; each sends all frames queued at that time
        self.received_frame_count = 0

    def put(self, frame: wire.PeerFrame) -> bool:
        """Queues a frame. Returns False if the queue is full and the frame was dropped.

        A frame that needs a newer frame version than the peer's is skipped and counts as queued, since the
        peer would close the connection on an unknown frame.
        """
        if wire.required_frame_version(frame) > self._peer_frame_version:
            return True
        data = wire.encode(frame)
        is_full = len(self._queue) >= MAX_QUEUED_FRAMES_COUNT
        if is_full or self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self.lost_frame_count += 1
            return False
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._queue_filled.set()
        return True

    async def write(self) -> None:
        """Sends queued frames until cancelled.

        :raises TimeoutError: the peer did not take the data in time
        :raises OSError: the connection is broken
        """
        loop = asyncio.get_running_loop()
        while True:
            await self._queue_filled.wait()
            self._queue_filled.clear()
            while self._queue:
                data = b"".join(self._queue)
                self._queue.clear()
                self._queued_bytes = 0
                self.write_count += 1
                async with asyncio.timeout(self._limits.timeout_us / US_PER_S):
                    await loop.sock_sendall(self._sock, data)

    async def read(self) -> wire.PeerFrame | None:
        """Return the next frame, or None if the peer has closed the connection.

        :raises PeerProtocolError: the peer has sent an invalid frame
        :raises OSError: the connection is broken
        """
        loop = asyncio.get_running_loop()
        while (decoded := wire.decode_first(self._buffer.data())) is None:
            try:
                count = await loop.sock_recv_into(self._sock, self._buffer.space())
            except BufferFullError as error:
                raise wire.PeerProtocolError(str(error)) from error
            if not count:
                return None
            self._buffer.filled(count)
        frame, used = decoded
        self._buffer.consume(used)
        self.received_frame_count += 1
        return frame

    async def read_greeting(self) -> wire.Greeting:
        """Return the peer's greeting.

        :raises PeerProtocolError: the greeting is missing or invalid, or its version or fleet differs
        :raises TimeoutError: no frame has arrived in time
        :raises OSError: the connection is broken
        """
        async with asyncio.timeout(self._limits.timeout_us / US_PER_S):
            greeting = await self.read()
        if not isinstance(greeting, wire.Greeting):
            raise wire.PeerProtocolError("the first frame is not a greeting")
        if greeting.version != wire.PROTOCOL_VERSION:
            raise wire.PeerProtocolError(
                f"{greeting.name} uses protocol version {greeting.version}, expected {wire.PROTOCOL_VERSION}"
            )
        if greeting.group != self._limits.group:
            raise wire.PeerProtocolError(
                f"{greeting.name} belongs to group '{greeting.group}', expected '{self._limits.group}'"
            )
        self._peer_frame_version = greeting.frame_version
        return greeting

    def send_greeting(self) -> None:
        """Queues this gateway's greeting, which has to be the first frame."""
        limits = self._limits
        self.put(wire.Greeting(wire.PROTOCOL_VERSION, limits.group, limits.name, wire.FRAME_VERSION))

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()


async def _run_until_first_ends(*tasks: asyncio.Task[None]) -> None:
    """Waits until one of the tasks ends, cancels the others, and raises the exception of the ended task."""
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


CONNECTION_ERRORS = (OSError, TimeoutError, wire.PeerProtocolError)


class PeerServer:
    """Accepts connections of other gateways and passes their frames to a handler."""

    def __init__(
        self, address: Address, limits: PeerLimits, handle: FrameHandler, supervisor: Supervisor
    ) -> None:
        self._address = address
        self._limits = limits
        self._handle = handle
        self._supervisor = supervisor
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # By peer name: number of the peer's open connections whose greeting has arrived.
        self.connection_counts: dict[str, int] = {}
        self._open_count = 0  # number of open connections, including those without a greeting yet

    def start(self) -> None:
        """Starts to accept connections. Raises OSError if the address can't be bound."""
        try:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._listener.setblocking(False)
            self._listener.bind(self._address)
            self._listener.listen(self._limits.max_connections)
        except OSError:
            self._listener.close()
            raise
        self._supervisor.start_restarting("peers", self._accept)

    def stop(self) -> None:
        """Stops accepting connections."""
        self._listener.close()

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
        connection = PeerConnection(sock, self._limits)
        try:
            greeting = await connection.read_greeting()
            name = greeting.name
            self.connection_counts[name] = self.connection_counts.get(name, 0) + 1
            connection.send_greeting()
            create_task = asyncio.get_running_loop().create_task
            writer = create_task(connection.write())
            await _run_until_first_ends(writer, create_task(self._read(connection, name)))
        except CONNECTION_ERRORS as error:
            self._supervisor.counters.add("peers that broke off")
            if isinstance(error, wire.PeerProtocolError):
                self._supervisor.log.write("peers", f"{name or 'unknown peer'}: {error}", peer=name)
        finally:
            self._open_count -= 1
            if name:
                self._forget_connection(name)
            connection.close()

    def _forget_connection(self, name: str) -> None:
        self.connection_counts[name] -= 1
        if not self.connection_counts[name]:
            del self.connection_counts[name]

    async def _read(self, connection: PeerConnection, name: str) -> None:
        def reply(frame: wire.PeerFrame) -> None:
            connection.put(frame)

        while (frame := await connection.read()) is not None:
            if isinstance(frame, wire.Ping):
                connection.put(wire.Pong())
            else:
                self._handle(frame, name, reply)


class PeerLink:
    """An outgoing link to one other gateway.

    The link connects when the first frame is queued, and closes after `idle_timeout_us` without a further
    frame. After it was closed or has failed, it connects again when the next frame is queued.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        limits: PeerLimits,
        idle_timeout_us: int,
        handle: FrameHandler,
        supervisor: Supervisor,
    ) -> None:
        self.name = name  # name of the peer
        self._address = address
        self._limits = limits
        self._idle_timeout_us = idle_timeout_us
        self._handle = handle
        self._supervisor = supervisor
        self._frame_queued = asyncio.Event()
        self._connection: PeerConnection | None = None
        self._unsent_frames: deque[wire.PeerFrame] = deque(maxlen=MAX_UNSENT_FRAMES_COUNT)
        self.attempt_count = 0  # ended connections and failed attempts to connect since the newest greeting
        self.is_connected = False  # whether the peer's greeting has arrived on an open connection
        self.disconnect_reason = "nothing was sent to this peer yet"

    @property
    def status(self) -> str:
        """The state of the link for operators: connected, or not connected and why."""
        return "connected" if self.is_connected else f"not connected: {self.disconnect_reason}"

    def start(self) -> None:
        """Starts the task that connects whenever a frame is queued."""
        self._supervisor.start_restarting(f"link to {self.name}", self._run)

    def put(self, frame: wire.PeerFrame) -> None:
        """Queues a frame for the peer; it may be lost."""
        if self._connection is None:
            self._unsent_frames.append(frame)
        elif not self._connection.put(frame):
            self._supervisor.counters.add("frames to peers lost")
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
                self.is_connected = False
                self._connection = None
            self.attempt_count += 1
            await asyncio.sleep(self._backoff_s())

    def _backoff_s(self) -> float:
        """Return the delay before the next connect. It doubles with each failure, and has random jitter."""
        drawn = zlib.crc32(f"{self._limits.name}/{self.name}/{self.attempt_count}".encode()) / 2**32
        shortest, longest = BACKOFF_RANGE_S
        doubled: float = min(longest, shortest * 2 ** min(self.attempt_count, MAX_BACKOFF_DOUBLING_COUNT))
        return doubled * (0.5 + drawn / 2)

    async def _connect(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            async with asyncio.timeout(self._limits.timeout_us / US_PER_S):
                await asyncio.get_running_loop().sock_connect(sock, self._address)
        except BaseException:
            sock.close()
            raise
        return sock

    async def _connect_and_serve(self) -> None:
        connection = PeerConnection(await self._connect(), self._limits)
        create_task = asyncio.get_running_loop().create_task
        try:
            connection.send_greeting()
            while self._unsent_frames:
                connection.put(self._unsent_frames.popleft())
            self._connection = connection
            writer = create_task(connection.write())
            reader = create_task(self._read(connection))
            await _run_until_first_ends(writer, reader, create_task(self._watch_liveness(connection)))
        finally:
            self._connection = None
            connection.close()

    async def _read(self, connection: PeerConnection) -> None:
        greeting = await connection.read_greeting()
        if greeting.name != self.name:
            raise wire.PeerProtocolError(f"peer is named '{greeting.name}', expected '{self.name}'")
        self.is_connected = True
        self.attempt_count = 0
        self.disconnect_reason = ""
        while (frame := await connection.read()) is not None:
            if not isinstance(frame, wire.Pong):
                self._handle(frame, self.name, self.put)

    async def _watch_liveness(self, connection: PeerConnection) -> None:
        """Returns once no frame was queued for the idle timeout. Raises TimeoutError if the peer is silent.

        The kernel accepts writes to a half-open connection for a long time, so writes alone don't reveal it.
        A peer that sends nothing while frames are written to it is therefore pinged. Any received frame
        counts as an answer, since on a connection with constant writes the newest frame is always unanswered.
        """
        check_interval_s = self._limits.timeout_us / US_PER_S / LIVENESS_CHECKS_PER_TIMEOUT
        idle_s = 0.0
        silent_check_count = 0
        written = received = 0
        while True:
            self._frame_queued.clear()
            await asyncio.sleep(check_interval_s)
            if self._frame_queued.is_set():
                idle_s = 0.0
            else:
                idle_s += check_interval_s
                if idle_s >= self._idle_timeout_us / US_PER_S:
                    return
            is_silent = connection.received_frame_count == received and connection.write_count > written
            silent_check_count = silent_check_count + 1 if is_silent else 0
            written = connection.write_count
            received = connection.received_frame_count
            if silent_check_count > LIVENESS_CHECKS_PER_TIMEOUT:
                raise TimeoutError(f"nothing received for {self._limits.timeout_us} us")
            if is_silent:
                connection.put(wire.Ping())
