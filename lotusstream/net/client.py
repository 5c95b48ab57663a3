"""One client connection: reads its messages, writes its answers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass

from thrift.Thrift import TApplicationException

from lotusstream.deployment import Deployment
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.buffer import Buffer, BufferFullError
from lotusstream.net.clock import Clock
from lotusstream.net.connection import bytes_there
from lotusstream.protocol import front
from lotusstream.protocol.tables import table_group


@dataclass(slots=True, eq=False)
class ReceivedRequest:
    """A command from its last byte until its answer is owed no more."""

    client: ClientConnection
    seqid: int
    fields: front.RequestFields
    group: int
    statement: bytes
    deadline: int
    sent_at: int  # as early as it may have been: it can have waited unread for a turn of the loop
    tenant: str | None = None
    closed: bool = False  # answered, or its client waits no longer

    def is_awaited(self) -> bool:
        """Whether the client still waits: also told where its close has come and is not yet read."""
        return not self.closed and not self.client.has_disconnected()


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The client waits no longer for this command."""

    request: ReceivedRequest


@dataclass(frozen=True, slots=True)
class RequestOverdue:
    """The client's time for this command is over, and it has had no answer."""

    request: ReceivedRequest


@dataclass(frozen=True, slots=True)
class ClientReply:
    frame: bytes
    request: ReceivedRequest | None = None


TenantLookup = Callable[[dict[str, str], str | None, str], str | None]  # fields, mark, statement
ReportClientEvent = Callable[[ReceivedRequest | RequestAbandoned], None]


class UnreadReplies:
    """Answers that clients have not taken yet. Guards memory against slow readers: over the limit, the one
    with the most is cut off, and its commands end as those of a client that left."""

    def __init__(self, most: int) -> None:
        self._most, self.total = most, 0
        self._of: dict[ClientConnection, int] = {}

    def add(self, client: ClientConnection, size: int) -> None:
        self._of[client] = self._of.get(client, 0) + size
        self.total += size
        while self.total > self._most:
            slowest = max(self._of, key=self._of.__getitem__)
            self.forget(slowest)
            slowest.cut_off()

    def acknowledge(self, client: ClientConnection, size: int) -> None:
        if client in self._of:
            self._of[client] -= size
            self.total -= size

    def forget(self, client: ClientConnection) -> None:
        self.total -= self._of.pop(client, 0)


class ClientConnectionLimiter:
    """The descriptors that clients may hold. Guards those that ask against those that only hold on: a
    connection without an open command is closed once it has been idle for as long as clients keep one, has
    sent no whole message in time, or stands in the way of a new one; the silent first, then the longest
    idle, and last of all those that have begun to write. Could harm a client whose message crosses the close:
    it is to send it again.

    It is closed on our side first (half-closed), and whole once the client has closed too: a socket that is
    closed over bytes that nobody reads is reset, and the reset takes along what the client has not read yet.
    That many (`most_closing`) may be half-closed at once; beyond them the longest is ended."""

    def __init__(self, most: int, most_closing: int, clock: Clock, supervisor: Supervisor) -> None:
        self._most, self._clock, self._counters = most, clock, supervisor.counters
        self._count, self._most_closing = 0, most_closing
        self._closing = dict[ClientConnection, int]()  # half-closed since when, the longest first
        self.stopping = False  # nobody gives way: what crosses a close could not come again
        # since when, the longest first: nothing whole has come yet, and nothing is open
        self._silent, self._idle = dict[ClientConnection, int](), dict[ClientConnection, int]()

    def admit(self, client: ClientConnection) -> bool:
        if self._count >= self._most and not self._close_one():
            self._counters.add("client connections without room")
            return False
        self._count += 1
        self._silent[client] = self._clock.now()
        self._counters.add("client connections")
        self._counters.peak("client connections", self._count)
        return True

    def release(self, client: ClientConnection) -> None:
        self.mark_busy(client)
        if self._closing.pop(client, None) is None:
            self._count -= 1

    def mark_busy(self, client: ClientConnection) -> None:
        self._silent.pop(client, None)
        self._idle.pop(client, None)

    def mark_idle(self, client: ClientConnection) -> None:
        self.mark_busy(client)
        self._idle[client] = self._clock.now()

    def evaluate(self) -> None:
        """Now and then: what has been silent or idle for too long."""
        now, in_time = self._clock.now(), front.FIRST_MESSAGE_TIMEOUT_US * 2 // 3  # for one whole message
        for waiting, most in ((self._silent, in_time), (self._idle, front.CLIENT_IDLE_TIMEOUT_US)):
            if self.stopping and waiting is self._idle:
                break
            for client, since in list(waiting.items()):
                if now - since < most:
                    break
                if waiting is self._silent or now - (client.partial_since or 0) >= in_time:
                    self._close(client)
        for client, since in list(self._closing.items()):
            if now - since < front.CLIENT_IDLE_TIMEOUT_US:
                break
            client.end()

    def has_open_work(self) -> bool:
        """A command is open, or something has come that is not read yet."""
        resting = [*self._silent, *self._idle]
        return self._count > len(resting) or any(client.has_unread_bytes() for client in resting)

    def close_all(self) -> None:
        """The end of a planned stop: whatever rests is half-closed, also over bytes that have just come."""
        self._most_closing = self._count + len(self._closing)
        for client in [*self._silent, *self._idle]:
            self._close(client, at_all_events=True)

    @property
    def half_closed_count(self) -> int:
        return len(self._closing)

    def _close_one(self) -> bool:
        resting = sorted([*self._silent, *self._idle], key=lambda client: client.partial_since is not None)
        return not self.stopping and any(self._close(client) for client in resting)

    def _close(self, client: ClientConnection, at_all_events: bool = False) -> bool:
        if not client.half_close(at_all_events):
            return False
        self.mark_busy(client)
        self._count -= 1
        self._closing[client] = self._clock.now()
        self._counters.add("client connections closed as idle")
        for longest in [*self._closing][: max(0, len(self._closing) - self._most_closing)]:
            longest.end()
        return True


class ClientConnection(Actor[ClientReply]):
    def __init__(
        self,
        sock: socket.socket,
        deployment: Deployment,
        clock: Clock,
        report: ReportClientEvent,
        good: Callable[[], bool],
        unread: UnreadReplies,
        share: ClientConnectionLimiter,
        supervisor: Supervisor,
        tenant_of: TenantLookup | None = None,
    ) -> None:
        super().__init__("client", supervisor)
        self._tenant_of = tenant_of
        self._sock, self._deployment, self._share = sock, deployment, share
        self._clock, self._report, self._good, self._unread = clock, report, good, unread
        self._cut_off = self._writing = False
        self.open_requests: dict[int, ReceivedRequest] = {}
        self.partial_since: int | None = None  # when a message began that has not come whole

    def post(self, message: ClientReply) -> None:
        if not self._cut_off:
            super().post(message)
            self._unread.add(self, len(message.frame))

    def cut_off(self) -> None:
        self.supervisor.counters.add("client connections cut off")
        self.end()

    def half_close(self, at_all_events: bool = False) -> bool:
        """Half-closes it where nothing is open or being written, and no byte has come meanwhile. What comes
        from now on is read and dropped until the client closes."""
        if (
            self.open_requests
            or self._writing
            or len(self.mailbox)
            or (self.has_unread_bytes() and not at_all_events)
        ):
            return False
        self._cut_off = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        return True

    def has_unread_bytes(self) -> bool:
        try:
            return bool(bytes_there(self._sock))
        except OSError:
            return False

    def has_disconnected(self) -> bool:
        try:
            return bytes_there(self._sock) is False
        except OSError:
            return True

    def end(self) -> None:
        """Nothing more is written, and the reader comes to its end."""
        self._cut_off = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    async def serve(self) -> None:
        """Reads until the client leaves; its open commands leave with it. It is in the share already."""
        self.start()
        buffer = Buffer(4096, front.FRAME.size + front.MAX_FRAME_BYTES)
        loop = asyncio.get_running_loop()
        try:
            while count := await loop.sock_recv_into(self._sock, buffer.space()):
                if self._cut_off:  # it crossed the close: not taken, the client sends it again
                    await asyncio.sleep(0)
                    continue
                at, whole = self._clock.now(), False
                buffer.filled(count)
                while (length := front.frame_length(buffer.data())) is not None:
                    if len(buffer) < front.FRAME.size + length:
                        break
                    whole = True
                    frame = bytes(buffer.data()[front.FRAME.size : front.FRAME.size + length])
                    buffer.use(front.FRAME.size + length)
                    self._handle(frame, at)
                    self._settle()
                if not len(buffer):
                    self.partial_since = None
                elif whole or self.partial_since is None:
                    self.partial_since = at
                await asyncio.sleep(0)  # the turn of the others, however much this one sends
        except (front.FrameError, BufferFullError) as error:
            self.supervisor.counters.add("client connections broken")
            self.supervisor.log.write("client", str(error))
        except OSError:
            self.supervisor.counters.add("client connections reset")
        finally:
            self._cut_off = True
            for command in self.open_requests.values():
                self._abandon(command)
            self.open_requests.clear()
            self._unread.forget(self)
            await self.stop()
            self._sock.close()
            self._share.release(self)

    def _abandon(self, command: ReceivedRequest) -> None:
        """Marked here and now, a round before the decider hears of it: no send of it begins in between."""
        command.closed = True
        self._report(RequestAbandoned(command))

    def _settle(self) -> None:
        """After each whole message and each answer."""
        if self._cut_off:
            return
        if self.open_requests:
            self._share.mark_busy(self)
        else:
            self._share.mark_idle(self)

    async def receive(self, message: ClientReply) -> None:
        if (ends := message.request) is not None:
            if (
                self.open_requests.get(ends.seqid) is not ends
            ):  # given up a moment ago; its number may be in use again
                self._unread.acknowledge(self, len(message.frame))
                return
            del self.open_requests[ends.seqid]
        self._writing = True
        try:
            await asyncio.get_running_loop().sock_sendall(self._sock, message.frame)
            self._unread.acknowledge(self, len(message.frame))
        except OSError:
            self.end()
        except Exception:
            self.end()
            raise
        finally:
            self._writing = False
            self._settle()

    def _handle(self, frame: bytes, at: int) -> None:
        try:
            message = front.decode(frame)
        except front.MessageFormatError as error:
            self.supervisor.counters.add("messages unusable")
            self.supervisor.log.write("client", str(error))
            if error.fault is not None:
                self.post(ClientReply(error.fault))
            return
        match message:
            case front.HealthProbe(seqid):
                self.post(ClientReply(front.encode_answer("probe", seqid, b"", self._good())))
            case front.CancelRequest(seqid):
                if command := self.open_requests.pop(seqid, None):
                    self._abandon(command)
            case front.ProcessRequest():
                self._on_process_request(message, at)

    def _on_process_request(self, message: front.ProcessRequest, at: int) -> None:
        if message.seqid in self.open_requests:
            raise front.FrameError(f"sequence number {message.seqid} used again while open")
        try:
            if len(self.open_requests) >= front.MAX_OPEN_REQUEST_COUNT:
                raise front.RequestFormatError("too many open")
            fields = front.parse_request_fields(message.fields, self._deployment)
            statement = message.body.decode()
            group = table_group(statement)
            if group is None:
                raise front.RequestFormatError("the statement names no group of tables")
        except (front.RequestFormatError, UnicodeDecodeError) as error:
            self.supervisor.counters.add("commands unusable")
            self.supervisor.log.write("client", f"unusable command: {error}")
            kind = TApplicationException.PROTOCOL_ERROR
            self.post(ClientReply(front.encode_fault("process", message.seqid, kind, str(error))))
            return
        tenant = (
            self._tenant_of(message.fields, fields.idempotency_key, statement) if self._tenant_of else None
        )
        sent_at = min(at, self._clock.earliest_arrival())
        ends_by = sent_at + fields.time_left
        command = ReceivedRequest(self, message.seqid, fields, group, message.body, ends_by, sent_at, tenant)
        self.open_requests[message.seqid] = command
        self._report(command)
