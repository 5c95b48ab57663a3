"""The receive buffer of one connection: grows as needed, is compacted in place, and shrinks once empty."""

from __future__ import annotations

from lotusstream.net.errors import NetError


class BufferFullError(NetError):
    """More has come than the protocol allows for one message."""


class Buffer:
    """Bytes between `_start` and `_end` have come and are not used yet."""

    def __init__(self, initial_bytes: int, max_bytes: int) -> None:
        self._bytes = bytearray(initial_bytes)
        self._initial_bytes = initial_bytes
        self._max_bytes = max_bytes
        self._start = 0
        self._end = 0

    def space(self) -> memoryview:
        """Space to receive into; `filled` tells how much of it was used. Raises BufferFullError."""
        if self._start == self._end:
            self._reset()
        if self._end == len(self._bytes):
            self._make_space()
        return memoryview(self._bytes)[self._end :]

    def _reset(self) -> None:
        self._start = 0
        self._end = 0
        if len(self._bytes) > self._initial_bytes:
            self._bytes = bytearray(self._initial_bytes)

    def _make_space(self) -> None:
        if self._start:
            unused_count = self._end - self._start
            self._bytes[:unused_count] = self._bytes[self._start : self._end]
            self._start = 0
            self._end = unused_count
        elif len(self._bytes) >= self._max_bytes:
            raise BufferFullError(f"{len(self._bytes)} bytes")
        else:  # a new one, since views of the old may still be in use
            grown = bytearray(min(self._max_bytes, 2 * len(self._bytes)))
            grown[: self._end] = self._bytes
            self._bytes = grown

    def filled(self, count: int) -> None:
        """So many bytes have been received into `space`."""
        self._end += count

    def data(self) -> memoryview:
        """What has come and is not used yet."""
        return memoryview(self._bytes)[self._start : self._end]

    def use(self, count: int) -> None:
        """Takes so many bytes off the front of `data`."""
        self._start += count

    def __len__(self) -> int:
        return self._end - self._start
