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

LONGEST_NEWS = 8 << 20
LONGEST_POLL = 10_000_000  # microseconds, while more of a list keeps coming
LINGER = http.TOLD_AFTER // 4  # a poll that falls silent is made anew well before its news counts as told


@dataclass(frozen=True, slots=True)
class FollowList:
    """The board is found there from now on."""

    endpoint: Address


@dataclass(frozen=True, slots=True)
class Polled:
    """What a poll of that board brought; None where it failed."""

    board: ConnectionPool
    told: discovery.Notices | None


class EngineList(Actor[discovery.Notices | FollowList | Polled]):
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

    async def receive(self, message: discovery.Notices | FollowList | Polled) -> None:
        match message:
            case discovery.Notices():
                self._apply(message)
            case FollowList(endpoint):
                if self._polling is not None:
                    self._polling.cancel()
                if self._pool is not None:
                    self._pool.close()
                connect, idle = self._deployment.connect_timeout, self._deployment.idle_timeout
                self._pool = ConnectionPool(endpoint, self._budget, connect, idle, LONGEST_NEWS, self._clock)
                self._ask(self._pool)
            case Polled(board, told) if board is self._pool:
                try:
                    if told is not None:
                        self._apply(told)
                finally:
                    self._ask(board)

    def _ask(self, board: ConnectionPool) -> None:
        self._polling = self.supervisor.start(f"{self.name} poll", self._poll(board, self._last))

    def _apply(self, told: discovery.Notices) -> None:
        """Events by their numbers, told as one. After a gap, or where the numbers have begun anew, all are
        asked for."""
        if told.rev < self._last:
            self._last = 0
            return
        found: list[discovery.EndpointListUpdate] = []
        for notice in told.notices:
            if notice.rev <= self._last:
                continue
            if notice.rev != self._last + 1 and not notice.whole:
                self.supervisor.counters.add("gaps in the list")
                self._last = 0
                break
            if notice.unreadable:
                self.supervisor.counters.add("unreadable entries", notice.unreadable)
                self.supervisor.log.say("list", f"{notice.unreadable} entries that can't be read")
            self._last = notice.rev
            found.append(notice)
        if found:
            self._report(discovery.folded(found))

    async def _poll(self, board: ConnectionPool, last: int) -> None:
        """One poll, and after one that failed a pause before the next."""
        began, told = self._clock.now(), None
        request = http.request("GET", f"/board/poll?watch={last}&linger={LINGER // http.MS}", board.host, {})
        try:
            answer = await board.call(await board.get(), request, LINGER + http.PATIENCE, LONGEST_POLL)
            if answer.status != 200:
                raise CallBrokenError(f"status {answer.status}")
            told = discovery.parse_notices(answer.body, self._deployment)
            self.supervisor.counters.add("list polls")
        except (ConnectError, CallBrokenError, discovery.DiscoveryFormatError) as error:
            board.clear()
            self.supervisor.counters.add("list polls failed")
            self.supervisor.log.say("list", f"poll failed: {error!r}")
        except Exception as error:
            self.supervisor.failed(self.name, error)
        if told is None:
            pause = began + self._deployment.connect_timeout - self._clock.now()
            await asyncio.sleep(max(0, pause) / US)
        self.post(Polled(board, told))
