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
from lotusstream.net.buffer import Buffer, BufferFull
from lotusstream.net.clock import Clock
from lotusstream.protocol import front
from lotusstream.protocol.tables import table_group


@dataclass(slots=True, eq=False)
class TakenCommand:
    """A command from its last byte until its answer is owed no more."""

    client: ClientConnection
    seqid: int
    fields: front.CommandFields
    group: int
    statement: bytes
    ends_by: int


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client waits no longer for this command."""

    command: TakenCommand


@dataclass(frozen=True, slots=True)
class Overdue:
    """The client's time for this command is over, and it has had no answer."""

    command: TakenCommand


@dataclass(frozen=True, slots=True)
class Reply:
    frame: bytes
    ends: TakenCommand | None = None


ClientReport = Callable[[TakenCommand | ClientLeft], None]


class Unread:
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

    def taken(self, client: ClientConnection, size: int) -> None:
        if client in self._of:
            self._of[client] -= size
            self.total -= size

    def forget(self, client: ClientConnection) -> None:
        self.total -= self._of.pop(client, 0)


class ClientConnection(Actor[Reply]):
    def __init__(
        self,
        sock: socket.socket,
        deployment: Deployment,
        clock: Clock,
        report: ClientReport,
        good: Callable[[], bool],
        unread: Unread,
        supervisor: Supervisor,
    ) -> None:
        super().__init__("client", supervisor)
        self._sock, self._deployment = sock, deployment
        self._clock, self._report, self._good, self._unread = clock, report, good, unread
        self._cut_off = False
        self.open: dict[int, TakenCommand] = {}

    def post(self, message: Reply) -> None:
        if not self._cut_off:
            super().post(message)
            self._unread.add(self, len(message.frame))

    def cut_off(self) -> None:
        self.supervisor.counters.add("client connections cut off")
        self._end()

    def _end(self) -> None:
        """Nothing more is written, and the reader comes to its end."""
        self._cut_off = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    async def serve(self) -> None:
        """Reads until the client leaves; its open commands leave with it."""
        self.start()
        buffer = Buffer(4096, front.FRAME.size + front.LONGEST_FRAME)
        loop = asyncio.get_running_loop()
        try:
            while count := await loop.sock_recv_into(self._sock, buffer.space()):
                at = self._clock.now()
                buffer.filled(count)
                while (length := front.frame_length(buffer.data())) is not None:
                    if len(buffer) < front.FRAME.size + length:
                        break
                    frame = bytes(buffer.data()[front.FRAME.size : front.FRAME.size + length])
                    buffer.use(front.FRAME.size + length)
                    self._handle(frame, at)
        except (front.BrokenFrame, BufferFull) as error:
            self.supervisor.counters.add("client connections broken")
            self.supervisor.log.say("client", str(error))
        except OSError:
            self.supervisor.counters.add("client connections reset")
        finally:
            self._cut_off = True
            for command in list(self.open.values()):
                self._report(ClientLeft(command))
            self.open.clear()
            self._unread.forget(self)
            await self.stop()
            self._sock.close()

    async def receive(self, message: Reply) -> None:
        if message.ends is not None and self.open.pop(message.ends.seqid, None) is None:
            self._unread.taken(self, len(message.frame))
            return  # given up a moment ago: no answer is owed
        try:
            await asyncio.get_running_loop().sock_sendall(self._sock, message.frame)
            self._unread.taken(self, len(message.frame))
        except OSError:
            self._end()
        except Exception:
            self._end()
            raise

    def _handle(self, frame: bytes, at: int) -> None:
        try:
            message = front.decode(frame)
        except front.UnusableMessage as error:
            self.supervisor.counters.add("messages unusable")
            self.supervisor.log.say("client", str(error))
            if error.fault is not None:
                self.post(Reply(error.fault))
            return
        match message:
            case front.FrontProbe(seqid):
                self.post(Reply(front.encode_answer("probe", seqid, b"", self._good())))
            case front.GiveUp(seqid):
                if command := self.open.pop(seqid, None):
                    self._report(ClientLeft(command))
            case front.Process():
                self._take(message, at)

    def _take(self, message: front.Process, at: int) -> None:
        if message.seqid in self.open:
            raise front.BrokenFrame(f"sequence number {message.seqid} used again while open")
        try:
            if len(self.open) >= front.MOST_OPEN:
                raise front.UnusableCommand("too many open")
            fields = front.command_fields(message.fields, self._deployment)
            group = table_group(message.body.decode())
            if group is None:
                raise front.UnusableCommand("the statement names no group of tables")
        except (front.UnusableCommand, UnicodeDecodeError) as error:
            self.supervisor.counters.add("commands unusable")
            self.supervisor.log.say("client", f"unusable command: {error}")
            kind = TApplicationException.PROTOCOL_ERROR
            self.post(Reply(front.encode_fault("process", message.seqid, kind, str(error))))
            return
        command = TakenCommand(self, message.seqid, fields, group, message.body, at + fields.time_left)
        self.open[message.seqid] = command
        self._report(command)
