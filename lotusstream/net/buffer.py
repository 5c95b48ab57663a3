"""The receive buffer of one connection. It grows on demand, is compacted in place, and shrinks once empty."""

from __future__ import annotations

from lotusstream.net.errors import NetError


class BufferFullError(NetError):
    """A message is longer than the protocol allows."""


class Buffer:
    """Holds the received bytes that are not consumed yet, from `_start` to `_end`."""

    def __init__(self, initial_bytes: int, max_bytes: int) -> None:
        self._bytes = bytearray(initial_bytes)
        self._initial_bytes = initial_bytes
        self._max_bytes = max_bytes
        self._start = 0
        self._end = 0

    def next_growth(self) -> int:
        """Returns the bytes by which the next call of `space` changes the size: negative if it shrinks the
        buffer."""
        if self._start == self._end:
            return self._initial_bytes - len(self._bytes)
        if self._end < len(self._bytes) or self._start:
            return 0
        return min(self._max_bytes, 2 * len(self._bytes)) - len(self._bytes)

    def space(self) -> memoryview:
        """Returns free space to receive into; call `filled` afterwards. Raises BufferFullError."""
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
            raise BufferFullError(f"message exceeds the receive buffer's limit of {self._max_bytes} bytes")
        else:  # a new bytearray: memoryviews of the old one may still be in use
            grown = bytearray(min(self._max_bytes, 2 * len(self._bytes)))
            grown[: self._end] = self._bytes
            self._bytes = grown

    def filled(self, count: int) -> None:
        """Marks the first `count` bytes of `space` as received."""
        self._end += count

    def data(self) -> memoryview:
        """Returns the received bytes that are not consumed yet."""
        return memoryview(self._bytes)[self._start : self._end]

    def consume(self, count: int) -> None:
        """Consumes `count` bytes from the front of `data`."""
        self._start += count

    def __len__(self) -> int:
        return self._end - self._start
