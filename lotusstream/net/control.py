"""The control socket, on which operators inspect and change a running gateway.

It is a Unix socket that only the gateway's own user may open.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
import stat
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from lotusstream.net.actor import Supervisor
from lotusstream.net.connection import US_PER_S
from lotusstream.net.errors import NetError
from lotusstream.protocol import control as wire


class ControlSocketError(NetError):
    """The path can't be used: another gateway listens on it, or it is not a socket."""


class ControlRejectedError(NetError):
    """A request can't be carried out. `kind` is that of the `Rejection` in the reply."""

    def __init__(self, kind: str, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind


ControlHandler = Callable[[Any], Awaitable[Any]]


@dataclass(frozen=True, slots=True)
class ControlLimits:
    """Limits on the clients of the control socket."""

    max_request_bytes: int
    timeout_us: int  # longest time for one request or one reply, microseconds
    max_clients: int  # greatest number of clients that are connected at the same time


class ControlServer:
    """Serves control requests. Each is passed to `handle_request`, which may raise ControlRejectedError.

    Each client has its own task, so a slow or silent client delays no other. A client is disconnected if it
    sends no complete request within `timeout_us`, or does not receive the reply within that time.
    """

    def __init__(
        self, path: str, limits: ControlLimits, handle_request: ControlHandler, supervisor: Supervisor
    ) -> None:
        self._path = path
        self._limits = limits
        self._handle_request = handle_request
        self._supervisor = supervisor
        self._listener: socket.socket | None = None
        self._socket_file: tuple[int, int] | None = (
            None  # device and inode of the bound socket; None: not listening
        )
        self._client_count = 0

    def start(self) -> None:
        """Starts to listen.

        :raises ControlSocketError: the path can't be used
        :raises OSError: the directory can't be written
        """
        self._remove_stale_socket()
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        listener.setblocking(False)
        previous_umask = os.umask(0o177)
        try:
            listener.bind(self._path)
            os.chmod(self._path, 0o600)
            listener.listen(self._limits.max_clients)
        except BaseException:
            listener.close()
            raise
        finally:
            os.umask(previous_umask)
        status = os.stat(self._path)
        self._listener = listener
        self._socket_file = (status.st_dev, status.st_ino)
        self._supervisor.start_restarting("control", self._accept)

    def _remove_stale_socket(self) -> None:
        """Removes the socket that a killed gateway has left at the path. Raises ControlSocketError if the
        path is a file of another kind, or a socket on which a gateway listens."""
        try:
            mode = os.lstat(self._path).st_mode
        except FileNotFoundError:
            return
        if not stat.S_ISSOCK(mode):
            raise ControlSocketError(f"{self._path} is not a socket: choose another path")
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            probe.setblocking(False)
            try:
                probe.connect(self._path)
            except OSError as error:
                if error.errno != errno.ECONNREFUSED:
                    raise ControlSocketError(f"{self._path}: {error.strerror}") from error
            else:
                raise ControlSocketError(f"{self._path}: another gateway listens there")
        os.unlink(self._path)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        assert self._listener is not None
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            sock.setblocking(False)
            if self._client_count >= self._limits.max_clients:
                self._supervisor.counters.add("control clients without room")
                sock.close()
                continue
            self._client_count += 1
            self._supervisor.start("control client", self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        counters = self._supervisor.counters
        counters.add("control clients")
        try:
            while await self._serve_request(sock):
                pass
        except TimeoutError:
            counters.add("control clients too slow")
        except wire.ControlRequestError as error:
            counters.add("control requests broken")
            with contextlib.suppress(OSError, TimeoutError):
                await self._send(sock, wire.ControlReply(wire.Rejection("request", str(error))))
        except OSError:
            counters.add("control clients reset")
        finally:
            self._client_count -= 1
            sock.close()

    async def _serve_request(self, sock: socket.socket) -> bool:
        """Serves one request. Returns False if the client has disconnected."""
        async with asyncio.timeout(self._limits.timeout_us / US_PER_S):
            prefix = await self._receive_exactly(sock, wire.LENGTH_PREFIX.size)
            if prefix is None:
                return False
            length = wire.frame_length(prefix, self._limits.max_request_bytes)
            payload = await self._receive_exactly(sock, length)
        if payload is None:
            return False
        try:
            reply = wire.ControlReply(told=await self._handle_request(wire.decode_request(payload)))
        except wire.ControlRequestError as error:
            if error.fatal:
                raise
            reply = wire.ControlReply(wire.Rejection("request", str(error)))
        except ControlRejectedError as error:
            reply = wire.ControlReply(wire.Rejection(error.kind, str(error)))
        await self._send(sock, reply)
        return True

    async def _send(self, sock: socket.socket, reply: wire.ControlReply) -> None:
        async with asyncio.timeout(self._limits.timeout_us / US_PER_S):
            await asyncio.get_running_loop().sock_sendall(sock, wire.encode_reply(reply))

    async def _receive_exactly(self, sock: socket.socket, count: int) -> bytes | None:
        """Returns `count` bytes, or None if the client disconnects before it has sent them."""
        loop = asyncio.get_running_loop()
        data = bytearray(count)
        view = memoryview(data)
        received_count = 0
        while received_count < count:
            size = await loop.sock_recv_into(sock, view[received_count:])
            if not size:
                return None
            received_count += size
        return bytes(data)

    def stop(self) -> None:
        """Stops listening. Removes the socket from disk, unless another file has replaced it."""
        if self._listener is None:
            return
        self._listener.close()
        with contextlib.suppress(OSError):
            status = os.lstat(self._path)
            if (status.st_dev, status.st_ino) == self._socket_file:
                os.unlink(self._path)
