"""One client connection: reads its messages and writes its replies."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import weakref
from collections.abc import Callable
from dataclasses import dataclass

from thrift.Thrift import TApplicationException

from lotusstream.deployment import Deployment
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.buffer import BufferFullError
from lotusstream.net.client_limits import ClientConnectionLimiter
from lotusstream.net.client_memory import ClientMemory, MemoryBudgetError, MemoryUse
from lotusstream.net.client_receiver import ClientReceiver
from lotusstream.net.clock import Clock
from lotusstream.net.connection import has_readable_bytes, is_closed_by_peer
from lotusstream.net.message_pause import MessagePause
from lotusstream.net.received_request import ReceivedRequest, RequestAbandoned
from lotusstream.net.request_intake import ReadRequest, RequestIntake, TenantLookup
from lotusstream.net.statement_search import StatementSearch, TooManySearchesError
from lotusstream.protocol import front


@dataclass(frozen=True, slots=True)
class ClientReply:
    """A frame to write to the client."""

    frame: bytes
    request: ReceivedRequest | None = None  # the request that this reply closes; None: it closes none


ReportClientEvent = Callable[[ReceivedRequest | RequestAbandoned], None]


class ClientConnection(Actor[ClientReply]):
    """Owns the socket of one client. Its mailbox queues replies; `serve` reads and reports requests."""

    def __init__(
        self,
        sock: socket.socket,
        deployment: Deployment,
        clock: Clock,
        report: ReportClientEvent,
        is_healthy: Callable[[], bool],
        memory: ClientMemory,
        limiter: ClientConnectionLimiter,
        statement_search: StatementSearch,
        supervisor: Supervisor,
        tenant_of: TenantLookup | None = None,
    ) -> None:
        """`report`: called with each request, and again if the client stops waiting for it. `is_healthy`:
        returns the answer to health probes. `limiter`: must have admitted this connection before `serve`.
        `tenant_of`: None where the operator file declares no tenants."""
        super().__init__("client", supervisor)
        self.open_requests: dict[int, ReceivedRequest] = {}  # by sequence number
        self._sock = sock
        self._clock = clock
        self._report = report
        self._is_healthy = is_healthy
        self._account = memory.open_account(sock)
        # Its parts know the connection weakly, so that a closed one is freed without a collection.
        weak = weakref.proxy(self)
        self._receiver = ClientReceiver(sock, self._account, clock, lambda: bool(weak._open_count))
        self._limiter = limiter
        self._intake = RequestIntake(
            weak, self._account, deployment, clock, statement_search, tenant_of, supervisor
        )
        self._is_closing = False  # True: no further reply is queued, and bytes that arrive are dropped
        self._is_writing = False
        self._message_pause = MessagePause()

    @property
    def partial_since(self) -> int | None:
        """When the first bytes of an incomplete message arrived, microseconds; None: there is none."""
        return self._receiver.partial_since

    def post(self, message: ClientReply) -> None:
        """Queues a reply, unless the connection is being closed."""
        if self._is_closing:
            return
        with contextlib.suppress(MemoryBudgetError):  # the connection is closed then
            self._account.reserve(MemoryUse.REPLIES, len(message.frame))
            super().post(message)

    def half_close(self, even_if_unread: bool = False) -> bool:
        """Half-closes the connection. Bytes that arrive later are read and dropped until the client closes.

        :param even_if_unread: also half-closes if received bytes have not been read yet.
        :returns: False if nothing was changed, because a request is open, a reply is being written, or
            received bytes are unread or being handled.
        """
        if self._open_count or self._is_writing or len(self.mailbox):
            return False
        if self.has_unread_bytes() and not even_if_unread:
            return False
        self._is_closing = True
        self._receiver.is_stopped = self._receiver.is_waiting
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        return True

    def has_unread_bytes(self) -> bool:
        """Whether received bytes wait to be read. Bytes for which there is no memory don't count."""
        if self._receiver.is_waiting:
            return False
        try:
            return bool(has_readable_bytes(self._sock))
        except OSError:
            return False

    def has_disconnected(self) -> bool:
        """Whether the client has closed its side, even if bytes that it sent before are unread."""
        return is_closed_by_peer(self._sock)

    def shutdown(self) -> None:
        """Shuts the socket down in both directions, which ends `serve`."""
        self._is_closing = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    # Reading

    async def serve(self) -> None:
        """Reads messages until the client disconnects, then abandons its open requests."""
        self.start()
        try:
            await self._read_messages()
        except (front.FrameError, BufferFullError) as error:
            self.supervisor.counters.add("client connections broken")
            self.supervisor.log.write("client", str(error))
        except OSError:
            self.supervisor.counters.add("client connections reset")
        finally:
            self._is_closing = True
            self._intake.close()
            for request in self.open_requests.values():
                self._abandon(request)
            self.open_requests.clear()
            self._account.forget()
            await self.stop()
            self._sock.close()
            self._limiter.release(self)

    async def _read_messages(self) -> None:
        # Requests are abandoned as soon as the client has closed its side, however much of it is unread.
        while (count := await self._receiver.receive()) and not self.has_disconnected():
            # Bytes that arrive after the half-close are dropped: the client resends the request elsewhere.
            if not self._is_closing:
                arrived_at = self._receiver.keep(count)
                has_message = self._handle_frames(arrived_at)
                self._receiver.track_partial_message(has_message, arrived_at)
            # Keeps a client that sends without pause from starving other connections.
            await self._receiver.pause(self._message_pause.seconds(bool(self._open_count)))

    def _handle_frames(self, arrived_at: int) -> bool:
        """Handles all complete frames. Returns whether there was at least one."""
        has_frame = False
        while (frame := self._receiver.next_frame()) is not None:
            has_frame = True
            self._handle(frame, arrived_at)
            self._update_limiter()
        return has_frame

    def _abandon(self, request: ReceivedRequest) -> None:
        """Closes the request at once, so that no attempt of it starts before the decider reads the report."""
        request.closed = True
        self._report(RequestAbandoned(request))

    def _update_limiter(self) -> None:
        """Reports to the limiter whether a request is open; called after each message and each reply."""
        if self._is_closing:
            return
        if self._open_count:
            self._limiter.mark_busy(self)
        else:
            self._limiter.mark_idle(self)

    # Writing

    async def receive(self, message: ClientReply) -> None:
        """Writes a reply, unless its request was withdrawn in the meantime."""
        request = message.request
        if request is not None:
            # The client may have reused the sequence number for another request.
            if self.open_requests.get(request.seqid) is not request:
                self._account.release(MemoryUse.REPLIES, len(message.frame))
                return
            self._remove_request(request.seqid)
        self._is_writing = True
        try:
            await asyncio.get_running_loop().sock_sendall(self._sock, message.frame)
            self._account.release(MemoryUse.REPLIES, len(message.frame))
        except OSError:
            self.shutdown()
        except Exception:
            self.shutdown()
            raise
        finally:
            self._is_writing = False
            self._update_limiter()

    # Messages

    def _handle(self, frame: bytes, arrived_at: int) -> None:
        try:
            message = front.decode(frame)
        except front.MessageFormatError as error:
            self._message_pause.count_unusable()
            self.supervisor.counters.add("messages unusable")
            self.supervisor.log.write("client", str(error))
            if error.fault is not None:
                self.post(ClientReply(error.fault))
            return
        self._account.valid_message_count += 1
        match message:
            case front.HealthProbe():
                self._on_health_probe(message)
            case front.CancelRequest():
                self._on_cancel_request(message)
            case front.ProcessRequest():
                self._on_process_request(message, arrived_at)

    def _on_health_probe(self, probe: front.HealthProbe) -> None:
        self.post(ClientReply(front.encode_answer("probe", probe.seqid, b"", self._is_healthy())))

    def _on_cancel_request(self, cancel: front.CancelRequest) -> None:
        self._intake.withdraw(cancel.seqid)
        request = self._remove_request(cancel.seqid)
        if request is not None:
            self._abandon(request)

    def _remove_request(self, seqid: int) -> ReceivedRequest | None:
        request = self.open_requests.pop(seqid, None)
        if request is not None:
            self._account.release(MemoryUse.STATEMENTS, request.statement_bytes)
        return request

    def _on_process_request(self, message: front.ProcessRequest, arrived_at: int) -> None:
        """Passes a request on to the intake. Raises FrameError if its sequence number is in use."""
        if (seqid := message.seqid) in self.open_requests or seqid in self._intake:
            raise front.FrameError(f"sequence number {seqid} belongs to a request that is still open")
        try:
            if self._open_count >= front.MAX_OPEN_REQUEST_COUNT:
                raise front.RequestFormatError("too many open")
            self._intake.add(message, arrived_at)
        except (MemoryBudgetError, front.RequestFormatError, UnicodeDecodeError) as error:
            self.on_request_invalid(seqid, error)

    @property
    def _open_count(self) -> int:
        return len(self.open_requests) + len(self._intake)

    def on_request_read(self, request: ReadRequest) -> None:
        """Reports a request, unless the connection is being closed."""
        if self._is_closing:
            return
        message, sent_at = request.message, request.sent_at
        received = ReceivedRequest(
            self,
            message.seqid,
            request.fields,
            request.group,
            message.body,
            sent_at + request.fields.time_left,
            sent_at,
            request.tenant,
        )
        self._message_pause.count_valid()
        self.open_requests[message.seqid] = received
        self._report(received)
        self._update_limiter()

    def on_request_invalid(self, seqid: int, error: Exception) -> None:
        """Replies with a rejection if a limit is reached, else with a fault."""
        if isinstance(error, (TooManySearchesError, MemoryBudgetError)):
            self.supervisor.counters.add("commands past the limits")
            self.post(ClientReply(front.encode_rejection(seqid, 0)))
        else:
            self._message_pause.count_unusable()
            self.supervisor.counters.add("commands unusable")
            self.supervisor.log.write("client", f"invalid request: {error}")
            kind = TApplicationException.PROTOCOL_ERROR
            self.post(ClientReply(front.encode_fault("process", seqid, kind, str(error))))
        self._update_limiter()
