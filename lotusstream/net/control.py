"""The control socket: what operators may see and change by hand. A Unix socket of the gateway's own user."""

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
from lotusstream.net.connection import US
from lotusstream.protocol import control as wire


class ControlSocketError(Exception):
    """The path can't be used: another gateway answers there, or it is no socket."""


class ControlRejectedError(Exception):
    """A request that can't be carried out."""

    def __init__(self, kind: str, why: str) -> None:
        super().__init__(why)
        self.kind = kind


ControlHandler = Callable[[Any], Awaitable[Any]]


@dataclass(frozen=True, slots=True)
class ControlLimits:
    """What clients may do: bytes of a request, microseconds of slowness, clients at once."""

    max_request_bytes: int
    timeout: int
    max_clients: int


class ControlServer:
    """Serves control requests, each by a call of `answer`, which may raise ControlRejectedError. Each client
    has a task of its own: one that is slow, silent or malformed is disconnected at its time-out and delays no
    other."""

    def __init__(
        self, path: str, manners: ControlLimits, answer: ControlHandler, supervisor: Supervisor
    ) -> None:
        self._path, self._manners, self._answer, self._supervisor = path, manners, answer, supervisor
        self._listener: socket.socket | None = None
        self._made: tuple[int, int] | None = None  # device and inode of the socket's file
        self._clients = 0

    def start(self) -> None:
        """Raises ControlSocketError, or OSError where the folder can't be written."""
        self._make_way()
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        listener.setblocking(False)
        before = os.umask(0o177)
        try:
            listener.bind(self._path)
            os.chmod(self._path, 0o600)
            listener.listen(self._manners.max_clients)
        except BaseException:
            listener.close()
            raise
        finally:
            os.umask(before)
        seen = os.stat(self._path)
        self._listener, self._made = listener, (seen.st_dev, seen.st_ino)
        self._supervisor.start_restarting("control", self._accept)

    def _make_way(self) -> None:
        """Takes away what a gateway that was killed has left, and nothing else."""
        try:
            mode = os.lstat(self._path).st_mode
        except FileNotFoundError:
            return
        if not stat.S_ISSOCK(mode):
            raise ControlSocketError(f"{self._path} is no socket: name another path")
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as trial:
            trial.setblocking(False)
            try:
                trial.connect(self._path)
            except OSError as error:
                if error.errno != errno.ECONNREFUSED:
                    raise ControlSocketError(f"{self._path}: {error.strerror}") from error
            else:
                raise ControlSocketError(f"{self._path}: another gateway answers there")
        os.unlink(self._path)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        assert self._listener is not None
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            sock.setblocking(False)
            if self._clients >= self._manners.max_clients:
                self._supervisor.counters.add("control clients without room")
                sock.close()
                continue
            self._clients += 1
            self._supervisor.start("control client", self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        counters = self._supervisor.counters
        counters.add("control clients")
        try:
            while await self._request(sock):
                pass
        except TimeoutError:
            counters.add("control clients too slow")
        except wire.ControlRequestError as error:
            counters.add("control requests broken")
            with contextlib.suppress(OSError, TimeoutError):
                await self._say(sock, wire.Reply(wire.Refusal("request", str(error))))
        except OSError:
            counters.add("control clients reset")
        finally:
            self._clients -= 1
            sock.close()

    async def _request(self, sock: socket.socket) -> bool:
        """False once the client has left."""
        async with asyncio.timeout(self._manners.timeout / US):
            head = await self._exactly(sock, wire.LENGTH.size)
            if head is None:
                return False
            length = wire.frame_length(head, self._manners.max_request_bytes)
            payload = await self._exactly(sock, length)
        if payload is None:
            return False
        try:
            reply = wire.Reply(told=await self._answer(wire.decode_request(payload)))
        except wire.ControlRequestError as error:
            if error.fatal:
                raise
            reply = wire.Reply(wire.Refusal("request", str(error)))
        except ControlRejectedError as error:
            reply = wire.Reply(wire.Refusal(error.kind, str(error)))
        await self._say(sock, reply)
        return True

    async def _say(self, sock: socket.socket, reply: wire.Reply) -> None:
        async with asyncio.timeout(self._manners.timeout / US):
            await asyncio.get_running_loop().sock_sendall(sock, wire.encode_reply(reply))

    async def _exactly(self, sock: socket.socket, count: int) -> bytes | None:
        loop, data = asyncio.get_running_loop(), bytearray(count)
        view, have = memoryview(data), 0
        while have < count:
            got = await loop.sock_recv_into(sock, view[have:])
            if not got:
                return None
            have += got
        return bytes(data)

    def stop(self) -> None:
        """Takes the file away, unless it is no longer ours."""
        if self._listener is None:
            return
        self._listener.close()
        with contextlib.suppress(OSError):
            seen = os.lstat(self._path)
            if (seen.st_dev, seen.st_ino) == self._made:
                os.unlink(self._path)
