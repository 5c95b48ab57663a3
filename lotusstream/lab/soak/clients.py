"""Clients of one gateway: they keep their connections for as long as these hold, and send a request that
crosses the end of one again, once, as the protocol asks."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Sequence

from lotusstream.lab.scale.load import ANSWER_SLACK, Outcome
from lotusstream.lab.soak.plan import RequestClass
from lotusstream.lab.stand_ins import RequestFailedError, StandInClient

CONNECTIONS = 6
CROSSED = 0.05  # seconds before the end of a connection in which a request may have crossed it
MOST_OPEN = 24
GROUPS = 20
CALL_IDS = itertools.count(1)


class SoakClients:
    """`leaves`: the part of requests that are given up after a third of their time."""

    def __init__(
        self, gateway: str, port: int, classes: Sequence[RequestClass], rate: float, leaves: float, seed: int
    ) -> None:
        self.outcomes: list[Outcome] = []
        self.rate = rate
        self.accepts_new = True  # the front opens new connections to this gateway
        self._gateway, self._port, self._leaves = gateway, port, leaves
        self._classes = classes
        self._random = random.Random(seed)
        self._clients: list[StandInClient] = []
        self._open: dict[StandInClient, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._asking: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._asking = asyncio.create_task(self._ask_on())

    async def _ask_on(self) -> None:
        loop = asyncio.get_running_loop()
        at = loop.time()
        while True:
            await asyncio.sleep(max(0.0, at - loop.time()))
            task = loop.create_task(self._request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            at += self._random.expovariate(self.rate)

    async def finish(self) -> None:
        """Asks nothing more, and waits for what is open."""
        self.cease()
        if self._tasks:
            await asyncio.wait(set(self._tasks))
        for client in self._clients:
            client.close()

    def cease(self) -> None:
        if self._asking is not None:
            self._asking.cancel()

    def excuse_open(self) -> None:
        """The gateway was killed outright: what it held is owed by nobody."""
        for outcome in self.outcomes:
            if outcome.answer is None and outcome.left_at is None:
                outcome.excused = True

    async def _request(self) -> None:
        profile = self._random.choices(self._classes, [each.part for each in self._classes])[0]
        client = await self._client()
        if client is None:
            return
        call = f"{next(CALL_IDS):016x}"
        outcome = Outcome(call, profile.name, time.time(), profile.deadline, gateway=self._gateway)
        self.outcomes.append(outcome)
        leaves = self._random.random() < self._leaves
        if await self._answered(client, outcome, leaves) or leaves:
            return
        if time.time() - outcome.sent_at > CROSSED + profile.deadline:
            return
        await self._again(outcome)

    async def _again(self, outcome: Outcome) -> None:
        """It crossed the end of its connection. Excused where the gateway is gone as well."""
        client = await self._client()
        if client is None:
            outcome.excused = True
            return
        outcome.sent_at = time.time()
        await self._answered(client, outcome, False)

    async def _answered(self, client: StandInClient, outcome: Outcome, leaves: bool) -> bool:
        """False where the connection ended within the time in which a request may cross its end."""
        ttl = str(int(outcome.time_out * 1000))
        group = self._random.randrange(GROUPS)
        mark = {"dedupe": outcome.call * 2}
        self._open[client] += 1
        statement = f"SELECT a FROM sales_{group}.t"
        seqid = client.ask(outcome.profile, statement, call=outcome.call, ttl=ttl, **mark)
        patience = outcome.time_out / 3 if leaves else outcome.time_out + 2 * ANSWER_SLACK
        answer = asyncio.create_task(client.answer(seqid))
        ended = asyncio.create_task(client.closed.wait())
        await asyncio.wait((answer, ended), timeout=patience, return_when=asyncio.FIRST_COMPLETED)
        ended.cancel()
        self._open[client] -= 1
        if answer.done():
            self._take(outcome, answer)
            return True
        answer.cancel()
        if client.closed.is_set():
            return time.time() - outcome.sent_at > CROSSED
        if leaves:
            client.give_up(seqid)
            outcome.left_at = time.time()
        return True

    @staticmethod
    def _take(outcome: Outcome, answer: asyncio.Task[tuple[bytes, bool]]) -> None:
        outcome.answered_at = time.time()
        error = answer.exception()
        if error is None:
            outcome.answer = "answered"
        elif isinstance(error, RequestFailedError):
            outcome.answer = error.kind

    async def _client(self) -> StandInClient | None:
        """One with room, from among those that hold; None where there is none and none comes up."""
        usable = [each for each in self._clients if not each.closed.is_set() and self._open[each] < MOST_OPEN]
        if usable and (len(usable) >= CONNECTIONS or not self.accepts_new or self._random.random() < 0.5):
            return self._random.choice(usable)
        if not self.accepts_new:
            return None
        try:
            client = await StandInClient().connect(self._port)
        except OSError:
            return self._random.choice(usable) if usable else None
        self._clients.append(client)
        self._open[client] = 0
        return client
