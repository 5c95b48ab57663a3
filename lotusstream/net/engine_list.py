"""Follows the notice board."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lotusstream.deployment import Deployment
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.clock import Clock
from lotusstream.net.connection import US, CallBroken, CannotConnect, Endpoint, Pool, SocketBudget
from lotusstream.protocol import http, notices

LONGEST_NEWS = 8 << 20
LINGER = http.TOLD_AFTER // 4  # a poll that falls silent is made anew well before its news counts as told


class PollNow:
    """Ask the board for what is new."""


class EngineList(Actor[notices.Notices | PollNow]):
    """Its mailbox takes what is known at the start, then one poll after another."""

    def __init__(
        self,
        endpoint: Endpoint,
        deployment: Deployment,
        clock: Clock,
        report: Callable[[notices.Notice], None],
        supervisor: Supervisor,
    ) -> None:
        super().__init__("engine list", supervisor)
        self._deployment, self._clock, self._report = deployment, clock, report
        self._host = f"{endpoint[0]}:{endpoint[1]}"
        budget = SocketBudget(8)
        connect, idle = deployment.connect_timeout, deployment.idle_timeout
        self._pool = Pool(endpoint, budget, connect, idle, LONGEST_NEWS, clock)
        self._last = 0

    async def receive(self, message: notices.Notices | PollNow) -> None:
        if isinstance(message, notices.Notices):
            self._apply(message)
            return
        began = self._clock.now()
        try:
            if not await self._poll():
                pause = began + self._deployment.connect_timeout - self._clock.now()
                await asyncio.sleep(max(0, pause) / US)
        finally:
            self.post(message)

    def _apply(self, told: notices.Notices) -> None:
        """Events by their numbers. After a gap, or where the numbers have begun anew, all are asked for."""
        if told.rev < self._last:
            self._last = 0
            return
        for notice in told.notices:
            if notice.rev <= self._last:
                continue
            if notice.rev != self._last + 1 and not notice.whole:
                self.supervisor.counters.add("gaps in the list")
                self._last = 0
                return
            if notice.unreadable:
                self.supervisor.counters.add("unreadable entries", notice.unreadable)
                self.supervisor.log.say("list", f"{notice.unreadable} entries that can't be read")
            self._last = notice.rev
            self._report(notice)

    async def _poll(self) -> bool:
        target = f"/board/poll?watch={self._last}&linger={LINGER // http.MS}"
        request = http.request("GET", target, self._host, {})
        try:
            answer = await self._pool.call(await self._pool.get(), request, LINGER + http.PATIENCE)
            if answer.status != 200:
                raise CallBroken(f"status {answer.status}")
            self._apply(notices.parse_notices(answer.body, self._deployment))
        except (CannotConnect, CallBroken, notices.UnreadableNotices) as error:
            self._pool.clear()
            self.supervisor.counters.add("list polls failed")
            self.supervisor.log.say("list", f"poll failed: {error!r}")
            return False
        self.supervisor.counters.add("list polls")
        return True
