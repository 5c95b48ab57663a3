"""Limits how many client connections may be open."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotusstream.net.actor import Supervisor
from lotusstream.net.clock import Clock
from lotusstream.protocol import front

if TYPE_CHECKING:
    from lotusstream.net.client import ClientConnection

FIRST_MESSAGE_WAIT_US = front.FIRST_MESSAGE_TIMEOUT_US * 2 // 3  # longest wait for a complete message


class ClientConnectionLimiter:
    """Limits the descriptors that clients hold, so that idle connections don't lock out other clients.

    A connection without an open request is closed in three cases: it has been idle for as long as clients
    keep an idle connection, it has not sent a complete message in time, or a new connection needs its
    descriptor. In the last case connections that have sent nothing go first, then the longest idle, and last
    those with a partial message. A client whose message crosses the close has to send it again.

    The gateway first half-closes a connection, and closes it once the client has closed its side too. Closing
    a socket with unread bytes would send a reset, which discards replies that the client has not read yet. At
    most `max_half_closed` connections are half-closed at once; beyond that the oldest is closed.
    """

    def __init__(self, max_clients: int, max_half_closed: int, clock: Clock, supervisor: Supervisor) -> None:
        self._max_clients = max_clients
        self._max_half_closed = max_half_closed
        self._clock = clock
        self._counters = supervisor.counters
        self._count = 0  # number of connections that are not half-closed
        # Whether the gateway is shutting down. No connection is then closed to make room for another, since a
        # request that crosses the close could not be sent again.
        self.stopping = False
        # Each dict maps the clients in one state to the time at which they entered it, microseconds; earliest
        # first. A client is in at most one of them.
        self._half_closed: dict[ClientConnection, int] = {}  # clients that have not closed their side yet
        self._silent: dict[ClientConnection, int] = {}  # clients that have sent no complete message yet
        self._idle: dict[ClientConnection, int] = {}  # clients that have sent a message, without open request

    def admit(self, client: ClientConnection) -> bool:
        """Counts a new connection and closes another if needed. Returns False if there is no room."""
        if self._count >= self._max_clients and not self._close_one():
            self._counters.add("client connections without room")
            return False
        self._count += 1
        self._silent[client] = self._clock.now()
        self._counters.add("client connections")
        self._counters.peak("client connections", self._count)
        return True

    def release(self, client: ClientConnection) -> None:
        """Stops counting a connection that has been closed."""
        self.mark_busy(client)
        if self._half_closed.pop(client, None) is None:
            self._count -= 1

    def mark_busy(self, client: ClientConnection) -> None:
        """Records that the client has an open request."""
        self._silent.pop(client, None)
        self._idle.pop(client, None)

    def mark_idle(self, client: ClientConnection) -> None:
        """Records that the client has no open request."""
        self.mark_busy(client)
        self._idle[client] = self._clock.now()

    def evaluate(self) -> None:
        """Periodic evaluation: closes connections that were silent, idle or half-closed for too long."""
        now = self._clock.now()
        self._close_silent(now)
        if not self.stopping:
            self._close_idle(now)
        for client, since in list(self._half_closed.items()):
            if now - since < front.CLIENT_IDLE_TIMEOUT_US:
                break
            client.shutdown()

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
        """Whether any request is open or any client's received bytes are unread."""
        without_request = [*self._silent, *self._idle]
        if self._count > len(without_request):
            return True
        return any(client.has_unread_bytes() for client in without_request)

    def close_all(self) -> None:
        """Ends a graceful shutdown: half-closes all connections without an open request, even if bytes that
        have just arrived are unread."""
        self._max_half_closed = self._count + len(self._half_closed)
        for client in [*self._silent, *self._idle]:
            self._half_close(client, even_if_unread=True)

    @property
    def half_closed_count(self) -> int:
        """Number of connections that wait for the client to close."""
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
            oldest.shutdown()
        return True
