"""Limits the memory that clients take by their messages, requests and replies."""

from __future__ import annotations

import contextlib
import socket
from enum import Enum, auto

from lotusstream.counters import Counters
from lotusstream.net.errors import NetError
from lotusstream.protocol import front


class MemoryUse(Enum):
    """What memory is taken for."""

    RECEIVED = auto()  # receive buffers, beyond the size that each connection has from the start
    STATEMENTS = auto()  # statements of open requests
    REPLIES = auto()  # replies that are queued and not written yet


TOTAL_DIVISOR = 4  # 1/4 of the gateway's memory is for all uses together
DIVISORS = {MemoryUse.RECEIVED: 16, MemoryUse.STATEMENTS: 8, MemoryUse.REPLIES: 8}
"""The part of the gateway's memory that one use may take, as the divisor of the whole."""


class MemoryBudgetError(NetError):
    """There is no memory for what a client sent or has to be sent."""


class ClientAccount:
    """The memory that one client connection takes. It knows the socket only, so that nothing that belongs to
    a closed connection is kept alive by it."""

    def __init__(self, memory: ClientMemory, sock: socket.socket) -> None:
        self.valid_message_count = 0  # messages of the client that could be read
        self.is_closed = False  # whether its connection was closed because others needed the memory
        self._memory = memory
        self._sock = sock

    def reserve(self, use: MemoryUse, size: int) -> None:
        """Counts `size` more bytes; see `ClientMemory.reserve`."""
        if self.is_closed:
            raise MemoryBudgetError("the connection was closed")
        self._memory.reserve(self, use, size)

    def release(self, use: MemoryUse, size: int) -> None:
        """Stops counting `size` bytes. Has no effect after `forget`."""
        self._memory.release(self, use, size)

    def forget(self) -> None:
        """Stops counting all memory of the connection."""
        self._memory.forget(self)

    def close_connection(self) -> None:
        """Shuts the socket down, which ends the connection."""
        self.is_closed = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)


class ClientMemory:
    """The memory that all clients share. Limits each use, and all together.

    If a client needs memory that is not left, connections that have sent fewer valid messages are closed
    until there is enough: first those with the fewest, of these the one with the most bytes. Connections with
    an open request or an unread reply are left out. If there is none, the client has to wait. Where replies
    take too much, the connection with the most unread bytes is closed. Statements are refused, since closing
    a connection would lose the answers to its requests.
    """

    def __init__(self, memory: int, counters: Counters) -> None:
        """`memory`: the memory of the gateway's process, bytes."""
        self._counters = counters
        self._total_limit = memory // TOTAL_DIVISOR
        self._limits = {use: memory // divisor for use, divisor in DIVISORS.items()}
        longest_message = front.FRAME.size + front.MAX_FRAME_BYTES
        self._limits[MemoryUse.RECEIVED] = max(self._limits[MemoryUse.RECEIVED], longest_message)
        self._used = dict.fromkeys(MemoryUse, 0)
        self._by_account: dict[MemoryUse, dict[ClientAccount, int]] = {use: {} for use in MemoryUse}

    def open_account(self, sock: socket.socket) -> ClientAccount:
        """Returns the account of a new connection."""
        return ClientAccount(self, sock)

    def used(self, use: MemoryUse) -> int:
        """Returns the bytes that are taken for one use."""
        return self._used[use]

    def reserve(self, account: ClientAccount, use: MemoryUse, size: int) -> None:
        """Counts `size` more bytes, which may close connections. Raises MemoryBudgetError if there is no room
        for them. For replies, the client's own connection is closed then."""
        while (exceeded := self._exceeded_use(use, size)) is not None:
            if exceeded is MemoryUse.RECEIVED and self._close_less_useful(account):
                continue
            if use is not MemoryUse.REPLIES:
                self._counters.add("memory refused")
                raise MemoryBudgetError(f"no memory for {size} bytes of {use.name.lower()}")
            self._close_slowest_reader(account, size)
        held = self._by_account[use]
        held[account] = held.get(account, 0) + size
        self._used[use] += size

    def _exceeded_use(self, use: MemoryUse, size: int) -> MemoryUse | None:
        """Returns the use from which memory has to be taken before `size` bytes can be added; None if they
        fit."""
        if self._used[use] + size > self._limits[use]:
            return use
        if sum(self._used.values()) + size <= self._total_limit:
            return None
        return MemoryUse.RECEIVED if self._used[MemoryUse.RECEIVED] else use

    def _close_less_useful(self, account: ClientAccount) -> bool:
        """Closes one connection that holds received bytes, has sent fewer valid messages than this account's,
        and has no open request or unread reply. Returns False if there is none."""
        held = self._by_account[MemoryUse.RECEIVED]
        candidates = [each for each in held if not self._has_request_or_reply(each)]
        if not candidates or not account.valid_message_count:
            return False
        victim = min(candidates, key=lambda each: (each.valid_message_count, -held[each]))
        if victim.valid_message_count >= account.valid_message_count:
            return False
        self._close(victim)
        return True

    def _has_request_or_reply(self, account: ClientAccount) -> bool:
        """Whether closing the connection would lose the answer to a request that was received."""
        uses = (MemoryUse.STATEMENTS, MemoryUse.REPLIES)
        return any(account in self._by_account[use] for use in uses)

    def _close_slowest_reader(self, account: ClientAccount, size: int) -> None:
        """Closes the connection with the most unread bytes. Raises MemoryBudgetError if it is this account's,
        with `size` bytes more."""
        held = dict(self._by_account[MemoryUse.REPLIES])
        held[account] = held.get(account, 0) + size
        victim = max(held, key=held.__getitem__)
        self._close(victim)
        if victim is account:
            raise MemoryBudgetError(f"no memory for a reply of {size} bytes")

    def _close(self, account: ClientAccount) -> None:
        self._counters.add("client connections cut off")
        self.forget(account)
        account.close_connection()

    def release(self, account: ClientAccount, use: MemoryUse, size: int) -> None:
        """Stops counting `size` bytes. Has no effect once the account is forgotten."""
        held = self._by_account[use]
        if account in held:
            held[account] -= size
            self._used[use] -= size
            if not held[account]:
                del held[account]

    def forget(self, account: ClientAccount) -> None:
        """Stops counting all memory of a connection that is being closed."""
        for use, held in self._by_account.items():
            self._used[use] -= held.pop(account, 0)
