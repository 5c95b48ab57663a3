"""Limits on client connections: how many there may be, and how much they may leave unread."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotusstream.net.actor import Supervisor
from lotusstream.net.clock import Clock
from lotusstream.protocol import front

if TYPE_CHECKING:
    from lotusstream.net.client import ClientConnection

FIRST_MESSAGE_WAIT_US = front.FIRST_MESSAGE_TIMEOUT_US * 2 // 3  # for one complete message


class UnreadReplies:
    """Bytes of replies that clients have not taken yet. Guards memory against slow readers: over the limit,
    the one with the most is disconnected, and its requests end as those of a client that has left."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.total = 0  # bytes
        self._bytes_by_client: dict[ClientConnection, int] = {}

    def add(self, client: ClientConnection, size: int) -> None:
        """A reply of `size` bytes is to be written."""
        self._bytes_by_client[client] = self._bytes_by_client.get(client, 0) + size
        self.total += size
        while self.total > self._max_bytes:
            slowest = max(self._bytes_by_client, key=self._bytes_by_client.__getitem__)
            self.forget(slowest)
            slowest.cut_off()

    def acknowledge(self, client: ClientConnection, size: int) -> None:
        """A reply of `size` bytes is written, or is not to be written any more."""
        if client in self._bytes_by_client:
            self._bytes_by_client[client] -= size
            self.total -= size

    def forget(self, client: ClientConnection) -> None:
        """Nothing more is written to this client."""
        self.total -= self._bytes_by_client.pop(client, 0)


class ClientConnectionLimiter:
    """The descriptors that clients may hold. Guards clients with requests against those that only hold a
    connection: one without an open request is closed once it has been idle for as long as clients keep one,
    has sent no complete message in time, or takes the place of a new one; first those that have sent nothing
    yet, then the longest idle, and last those that have begun to send a message. Could harm a client whose
    message crosses the close: it has to send it again.

    A connection is half-closed on this side first, and closed once the client has closed too: a socket that
    is closed over bytes that nobody reads is reset, and the reset discards what the client has not read yet.
    At most `max_half_closed` are half-closed at once; beyond them the oldest is ended.
    """

    def __init__(self, max_clients: int, max_half_closed: int, clock: Clock, supervisor: Supervisor) -> None:
        self._max_clients = max_clients
        self._max_half_closed = max_half_closed
        self._clock = clock
        self._counters = supervisor.counters
        self._count = 0  # connections that are not half-closed
        self.stopping = (
            False  # no connection is closed for another: what crosses a close could not come again
        )
        # since when, in microseconds, the oldest first; a client is in one of them at most
        self._half_closed: dict[ClientConnection, int] = {}
        self._silent: dict[ClientConnection, int] = {}  # has sent no complete message yet
        self._idle: dict[ClientConnection, int] = {}  # has no open request

    def admit(self, client: ClientConnection) -> bool:
        """Whether there is a place for a new connection, if need be that of another."""
        if self._count >= self._max_clients and not self._close_one():
            self._counters.add("client connections without room")
            return False
        self._count += 1
        self._silent[client] = self._clock.now()
        self._counters.add("client connections")
        self._counters.peak("client connections", self._count)
        return True

    def release(self, client: ClientConnection) -> None:
        """The connection is closed."""
        self.mark_busy(client)
        if self._half_closed.pop(client, None) is None:
            self._count -= 1

    def mark_busy(self, client: ClientConnection) -> None:
        """The client has an open request."""
        self._silent.pop(client, None)
        self._idle.pop(client, None)

    def mark_idle(self, client: ClientConnection) -> None:
        """The client has no open request from now on."""
        self.mark_busy(client)
        self._idle[client] = self._clock.now()

    def evaluate(self) -> None:
        """Periodic evaluation: closes what has been silent, idle or half-closed for too long."""
        now = self._clock.now()
        self._close_silent(now)
        if not self.stopping:
            self._close_idle(now)
        for client, since in list(self._half_closed.items()):
            if now - since < front.CLIENT_IDLE_TIMEOUT_US:
                break
            client.end()

    def _close_silent(self, now: int) -> None:
        for client, since in list(self._silent.items()):
            if now - since < FIRST_MESSAGE_WAIT_US:
                break
            self._half_close(client)

    def _close_idle(self, now: int) -> None:
        for client, since in list(self._idle.items()):
            if now - since < front.CLIENT_IDLE_TIMEOUT_US:
                break
            if now - (client.partial_since or 0) >= FIRST_MESSAGE_WAIT_US:
                self._half_close(client)

    def has_open_work(self) -> bool:
        """Whether a request is open, or bytes have come that are not read yet."""
        without_request = [*self._silent, *self._idle]
        if self._count > len(without_request):
            return True
        return any(client.has_unread_bytes() for client in without_request)

    def close_all(self) -> None:
        """The end of a graceful shutdown: half-closes all without an open request, also over bytes that have
        just come."""
        self._max_half_closed = self._count + len(self._half_closed)
        for client in [*self._silent, *self._idle]:
            self._half_close(client, even_if_unread=True)

    @property
    def half_closed_count(self) -> int:
        """Connections that wait for their client's close."""
        return len(self._half_closed)

    def _close_one(self) -> bool:
        if self.stopping:
            return False
        candidates = [*self._silent, *self._idle]
        candidates.sort(key=lambda client: client.partial_since is not None)
        return any(self._half_close(client) for client in candidates)

    def _half_close(self, client: ClientConnection, even_if_unread: bool = False) -> bool:
        if not client.half_close(even_if_unread):
            return False
        self.mark_busy(client)
        self._count -= 1
        self._half_closed[client] = self._clock.now()
        self._counters.add("client connections closed as idle")
        excess_count = max(0, len(self._half_closed) - self._max_half_closed)
        for oldest in list(self._half_closed)[:excess_count]:
            oldest.end()
        return True
