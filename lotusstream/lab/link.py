"""A network link to one server on this machine, which can be cut for a while."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Coroutine
from typing import Any

HOST = "127.0.0.1"
BACKLOG = 128  # connections that may wait to be accepted while the link works
FILLER_COUNT = 3  # connections that fill the queue of a listener whose backlog is 0
CHUNK_BYTES = 64 << 10  # largest number of bytes that are read and forwarded at once


class Link:
    """Forwards connections to a server's port, unless it is cut.

    While the link is cut, open connections stay open and silent, and new ones never come up. Bytes that were
    sent meanwhile arrive once the link works again, even if their sender has closed the connection since, as
    TCP delivers them. Bytes on a connection that the sender has reset never arrive.
    """

    def __init__(self, target_port: int, target_host: str = HOST) -> None:
        self.port = 0  # port that it listens on; 0 until it is started
        self._target = (target_host, target_port)
        self._listener = socket.socket()
        self._works = asyncio.Event()
        self._works.set()
        self._fillers: list[socket.socket] = []  # while cut, they fill the queue of new connections
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Begins to listen on a free port."""
        self._listener.bind((HOST, 0))
        self._listener.listen(BACKLOG)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._start(self._accept_connections())

    def cut(self) -> None:
        """Cuts the link."""
        self._works.clear()
        self._listener.listen(0)
        for _ in range(FILLER_COUNT):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self._fillers.append(filler)

    def repair(self) -> None:
        """Ends the cut. What arrived meanwhile is forwarded from the next turn of the event loop on."""
        self._drop_fillers()
        self._listener.listen(BACKLOG)
        self._works.set()

    def close(self) -> None:
        """Stops listening and closes all connections."""
        for task in self._tasks:
            task.cancel()
        self._drop_fillers()
        self._listener.close()

    def _drop_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept_connections(self) -> None:
        while True:
            await self._works.wait()
            await _until_readable(self._listener)
            if not self._works.is_set():
                continue
            with contextlib.suppress(OSError):
                accepted, _ = self._listener.accept()
                self._start(self._forward(accepted))

    async def _forward(self, accepted: socket.socket) -> None:
        """Forwards one connection in both directions until either side has ended it."""
        target = socket.socket()
        with accepted, target:
            try:
                for each in (accepted, target):
                    each.setblocking(False)
                    each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await asyncio.get_running_loop().sock_connect(target, self._target)
                async with asyncio.TaskGroup() as directions:
                    directions.create_task(self._copy(accepted, target))
                    directions.create_task(self._copy(target, accepted))
            except* OSError:
                pass

    async def _copy(self, source: socket.socket, target: socket.socket) -> None:
        """Forwards one direction until its source closes. While the link is cut, bytes stay unread in the
        system. Ends both directions if the source has reset the connection."""
        while True:
            await _until_readable(source)
            await self._works.wait()
            if error := source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise ConnectionAbortedError(error, "reset by its source")
            data = source.recv(CHUNK_BYTES)
            if not data:
                target.shutdown(socket.SHUT_WR)
                return
            await asyncio.get_running_loop().sock_sendall(target, data)


def _set_done(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


async def _until_readable(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    readable: asyncio.Future[None] = loop.create_future()
    loop.add_reader(sock, _set_done, readable)
    try:
        await readable
    finally:
        if sock.fileno() >= 0:
            loop.remove_reader(sock)
