"""One connection's buffer: grows as it needs, is compacted in place and small again once empty."""

from __future__ import annotations


class BufferFullError(Exception):
    """More has come than the protocol allows without a break."""


class Buffer:
    def __init__(self, first: int, most: int) -> None:
        self._bytes, self._first, self._most = bytearray(first), first, most
        self._start = self._end = 0

    def space(self) -> memoryview:
        """Room to receive into; `filled` tells how much of it was used."""
        if self._start == self._end:
            self._start = self._end = 0
            if len(self._bytes) > self._first:
                self._bytes = bytearray(self._first)
        if self._end == len(self._bytes):
            if self._start:
                kept = self._end - self._start
                self._bytes[:kept] = self._bytes[self._start : self._end]
                self._start, self._end = 0, kept
            elif len(self._bytes) >= self._most:
                raise BufferFullError(f"{len(self._bytes)} bytes")
            else:  # a new one, since views of the old may still be out
                grown = bytearray(min(self._most, 2 * len(self._bytes)))
                grown[: self._end] = self._bytes
                self._bytes = grown
        return memoryview(self._bytes)[self._end :]

    def filled(self, count: int) -> None:
        self._end += count

    def data(self) -> memoryview:
        """What has come and is not yet used."""
        return memoryview(self._bytes)[self._start : self._end]

    def use(self, count: int) -> None:
        self._start += count

    def __len__(self) -> int:
        return self._end - self._start
