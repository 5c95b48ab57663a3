"""Receives the frames of one client within the memory that all clients share."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from lotusstream.net.buffer import Buffer
from lotusstream.net.client_memory import ClientAccount, MemoryBudgetError, MemoryUse
from lotusstream.net.clock import Clock
from lotusstream.net.connection import is_closed_by_peer
from lotusstream.protocol import front

INITIAL_BUFFER_BYTES = 4096
MEMORY_RETRY_S = 0.25  # pause before memory is asked for again
CLOSE_CHECK_S = 0.05  # between two checks whether a client that waits for memory has closed its side


class ClientReceiver:
    """The receive buffer of one client connection.

    If there is no memory for more bytes, it stops reading until there is, so that the client has to wait.
    Closing the connection instead would make clients connect again at once, which costs more processor time.
    """

    def __init__(
        self, sock: socket.socket, account: ClientAccount, clock: Clock, has_requests: Callable[[], bool]
    ) -> None:
        """`has_requests`: whether the client has requests that would have to be abandoned if it closed."""
        self.is_waiting = False  # whether it reads nothing because there is no memory
        self.is_stopped = False  # True: nothing more is read
        # When the first bytes of an incomplete message arrived, microseconds; None: there is none.
        self.partial_since: int | None = None
        self._sock = sock
        self._account = account
        self._clock = clock
        self._has_requests = has_requests
        # Since when received bytes may have been left unread on purpose, microseconds; None: they were not.
        self._unread_since: int | None = None
        self._buffer = Buffer(INITIAL_BUFFER_BYTES, front.FRAME.size + front.MAX_FRAME_BYTES)

    async def receive(self) -> int:
        """Waits for bytes and returns their number; 0 if the client has closed its side or reading was
        stopped. The bytes are dropped unless `keep` is called. Raises BufferFullError or OSError."""
        if not await self._wait_for_memory():
            return 0
        space = self._buffer.space()
        count = await asyncio.get_running_loop().sock_recv_into(self._sock, space)
        return 0 if self._account.is_closed else count

    async def _wait_for_memory(self) -> bool:
        """Waits until the buffer may change its size as it needs to. Returns False if reading is stopped."""
        while not self.is_stopped and not self._account.is_closed:
            growth = self._buffer.next_growth()
            if growth <= 0:
                self._account.release(MemoryUse.RECEIVED, -growth)
                return True
            try:
                self._account.reserve(MemoryUse.RECEIVED, growth)
                return True
            except MemoryBudgetError:
                self.is_waiting = True
                self._note_unread()
                if await self._is_closed_within(MEMORY_RETRY_S):
                    return False
            finally:
                self.is_waiting = False
        return False

    async def _is_closed_within(self, seconds: float) -> bool:
        """Waits, at most until a client with requests has closed its side. Returns whether it has."""
        if not self._has_requests():  # checks of hundreds of idle clients would cost much processor time
            await asyncio.sleep(seconds)
            return False
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            if is_closed_by_peer(self._sock):
                return True
            await asyncio.sleep(min(seconds, CLOSE_CHECK_S))
        return False

    async def pause(self, seconds: float) -> None:
        """Reads nothing for some time; 0: until the next iteration of the event loop."""
        if seconds:
            self._note_unread()
        await asyncio.sleep(seconds)

    def _note_unread(self) -> None:
        if self._unread_since is None:
            self._unread_since = self._clock.now()

    def keep(self, count: int) -> int:
        """Keeps the first `count` bytes that were received last. Returns the earliest time at which they can
        have arrived, microseconds, apart from delays of the event loop. With a later time, a request that was
        left unread would be answered after its client has stopped waiting."""
        self._buffer.filled(count)
        arrived_at = self._clock.now() if self._unread_since is None else self._unread_since
        self._unread_since = None
        return arrived_at

    def next_frame(self) -> bytes | None:
        """Consumes and returns the next complete frame; None if it is incomplete. Raises FrameError."""
        data = self._buffer.data()
        length = front.frame_length(data)
        if length is None or len(data) < front.FRAME.size + length:
            return None
        frame = bytes(data[front.FRAME.size : front.FRAME.size + length])
        self._buffer.consume(front.FRAME.size + length)
        return frame

    def track_partial_message(self, has_message: bool, arrived_at: int) -> None:
        """Updates `partial_since` after bytes were received and all complete messages handled.

        :param has_message: whether there was at least one complete message.
        :param arrived_at: when the bytes were received, microseconds.
        """
        if not len(self._buffer):
            self.partial_since = None
        elif has_message or self.partial_since is None:
            self.partial_since = arrived_at
