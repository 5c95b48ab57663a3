"""A TCP relay between two gateways, which can refuse, hold back, delay or reset connections."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

CHUNK_BYTES = 16 << 10  # largest number of bytes that are read and forwarded at once


@dataclass(slots=True)
class RelayMode:
    """The faults that a relay injects. Data that is held back is forwarded once the mode changes."""

    cut: bool = False  # new connections are closed at once; setting this closes the open ones
    stalled: bool = False  # connections are accepted, and data in both directions is held back (half-open)
    block_forward: bool = False  # data to the target is held back
    block_backward: bool = False  # data from the target is held back
    delay: float = 0.0  # seconds by which each chunk is delayed
    # number of bytes in one direction after which a connection is closed; 0: it is not closed
    reset_after_bytes: int = 0


class Relay:
    """Listens on a port of its own and forwards each connection to the target's port on this machine."""

    def __init__(self, target: int) -> None:
        # port that connections are forwarded to; port that it listens on, 0 until it is started
        self.target, self.port = target, 0
        self.mode = RelayMode()
        self._server: asyncio.Server | None = None
        # the writers to both ends of each open connection; None: not connected to the target yet
        self._connections: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter | None]] = set()
        self._mode_changed = asyncio.Event()
        self.passed = self.taken = 0  # number of bytes forwarded; number of connections accepted

    async def start(self) -> None:
        """Begins to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set_mode(self, mode: RelayMode) -> None:
        """Applies a mode to open and new connections."""
        self.mode = mode
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()
        if mode.cut:
            self.abort_connections()

    def abort_connections(self) -> None:
        """Closes all open connections without sending what is buffered."""
        for connection in list(self._connections):
            for writer in connection:
                if writer is not None:
                    writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forwards one connection in both directions until either side closes it."""
        connection: tuple[asyncio.StreamWriter, asyncio.StreamWriter | None] = (writer, None)
        self._connections.add(connection)
        self.taken += 1
        try:
            if self.mode.cut:
                return
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
            self._connections.discard(connection)
            connection = (writer, target_writer)
            self._connections.add(connection)
            directions = [
                asyncio.create_task(self._copy(reader, target_writer, forward=True)),
                asyncio.create_task(self._copy(target_reader, writer, forward=False)),
            ]
            try:
                await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for direction in directions:
                    direction.cancel()
                await asyncio.gather(*directions, return_exceptions=True)
        except OSError:
            pass
        finally:
            self._connections.discard(connection)
            for each in connection:
                if each is not None:
                    each.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, forward: bool
    ) -> None:
        """Forwards one direction of a connection in chunks, with the faults of the mode."""
        left = self.mode.reset_after_bytes
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                while self.mode.stalled or (self.mode.block_forward if forward else self.mode.block_backward):
                    await self._mode_changed.wait()
                if self.mode.delay:
                    await asyncio.sleep(self.mode.delay)
                if self.mode.reset_after_bytes:
                    writer.write(data[:left])
                    await writer.drain()
                    if (left := left - len(data)) <= 0:
                        return
                    continue
                writer.write(data)
                self.passed += len(data)
                await writer.drain()

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        self.abort_connections()
