"""Follows the notice board, at whatever address the configuration in force names."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lotusstream.deployment import Deployment
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.clock import Clock
from lotusstream.net.connection import (
    US,
    Address,
    CallBrokenError,
    ConnectError,
    ConnectionPool,
    SocketBudget,
)
from lotusstream.protocol import discovery, http

MAX_RESPONSE_BYTES = 8 << 20
MAX_POLL_US = 10_000_000  # microseconds, while more of a list keeps coming
LONG_POLL_US = (
    http.DISCOVERY_PROPAGATION_US // 4
)  # a poll that falls silent is made anew well before its news counts as told


@dataclass(frozen=True, slots=True)
class FollowDiscovery:
    """The board is found there from now on."""

    address: Address


@dataclass(frozen=True, slots=True)
class PollEnded:
    """What a poll of that board brought; None where it failed."""

    pool: ConnectionPool
    events: discovery.WatchEvents | None


class DiscoveryActor(Actor[discovery.WatchEvents | FollowDiscovery | PollEnded]):
    """Its mailbox takes what is known at the start, where to ask, and what each poll brought. A poll is a
    task of its own, so that another board is asked at once."""

    def __init__(
        self,
        deployment: Deployment,
        clock: Clock,
        report: Callable[[discovery.EndpointListUpdate], None],
        supervisor: Supervisor,
    ) -> None:
        super().__init__("engine list", supervisor)
        self._deployment, self._clock, self._report = deployment, clock, report
        self._budget = SocketBudget(8)
        self._pool: ConnectionPool | None = None
        self._polling: asyncio.Task[None] | None = None
        self._last = 0

    async def receive(self, message: discovery.WatchEvents | FollowDiscovery | PollEnded) -> None:
        match message:
            case discovery.WatchEvents():
                self._apply(message)
            case FollowDiscovery(endpoint):
                if self._polling is not None:
                    self._polling.cancel()
                if self._pool is not None:
                    self._pool.close()
                connect, idle = self._deployment.connect_timeout, self._deployment.idle_timeout
                self._pool = ConnectionPool(
                    endpoint, self._budget, connect, idle, MAX_RESPONSE_BYTES, self._clock
                )
                self._ask(self._pool)
            case PollEnded(board, told) if board is self._pool:
                try:
                    if told is not None:
                        self._apply(told)
                finally:
                    self._ask(board)

    def _ask(self, board: ConnectionPool) -> None:
        self._polling = self.supervisor.start(f"{self.name} poll", self._poll(board, self._last))

    def _apply(self, told: discovery.WatchEvents) -> None:
        """Events by their numbers, told as one. After a gap, or where the numbers have begun anew, all are
        asked for."""
        if told.revision < self._last:
            self._last = 0
            return
        found: list[discovery.EndpointListUpdate] = []
        for notice in told.updates:
            if notice.revision <= self._last:
                continue
            if notice.revision != self._last + 1 and not notice.is_snapshot:
                self.supervisor.counters.add("gaps in the list")
                self._last = 0
                break
            if notice.unreadable_count:
                self.supervisor.counters.add("unreadable entries", notice.unreadable_count)
                self.supervisor.log.write("list", f"{notice.unreadable_count} entries that can't be read")
            self._last = notice.revision
            found.append(notice)
        if found:
            self._report(discovery.merge_updates(found))

    async def _poll(self, board: ConnectionPool, last: int) -> None:
        """One poll, and after one that failed a pause before the next."""
        began, told = self._clock.now(), None
        request = http.encode_request(
            "GET", f"/board/poll?watch={last}&linger={LONG_POLL_US // http.MS}", board.host, {}
        )
        try:
            answer = await board.call(
                await board.get(), request, LONG_POLL_US + http.CALL_TIMEOUT_US, MAX_POLL_US
            )
            if answer.status != 200:
                raise CallBrokenError(f"status {answer.status}")
            told = discovery.parse_watch_events(answer.body, self._deployment)
            self.supervisor.counters.add("list polls")
        except (ConnectError, CallBrokenError, discovery.DiscoveryFormatError) as error:
            board.clear()
            self.supervisor.counters.add("list polls failed")
            self.supervisor.log.write("list", f"poll failed: {error!r}")
        except Exception as error:
            self.supervisor.failed(self.name, error)
        if told is None:
            pause = began + self._deployment.connect_timeout - self._clock.now()
            await asyncio.sleep(max(0, pause) / US)
        self.post(PollEnded(board, told))
