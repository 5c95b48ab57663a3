"""Customers of one gateway: requests at a steady rate with random gaps, and what became of each."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass

from lotusstream.lab.stand_ins import RequestFailedError, StandInClient

ANSWER_SLACK = 0.5  # seconds after a request's time in which an answer still counts as one
MOST_OPEN = 24  # of a connection's 32
CALL_IDS = itertools.count(1)


@dataclass(slots=True)
class Outcome:
    """One request. Times are Unix seconds. `answer`: answered, shed, failed, fault, or None for no answer."""

    call: str
    profile: str
    sent_at: float
    time_out: float
    left_at: float | None = None
    answer: str | None = None
    answered_at: float | None = None
    gateway: str = ""
    excused: bool = False  # the gateway did not take it, or was killed outright

    @property
    def in_time(self) -> bool:
        if self.answer is None or self.answered_at is None:
            return False
        return self.answered_at <= self.sent_at + self.time_out + ANSWER_SLACK

    @property
    def served(self) -> bool:
        return self.answer == "answered" and self.in_time


class Load:
    """`rate`: requests a second. `leaves`: the part of customers that give up after a third of their time."""

    def __init__(self, port: int, rate: float, time_out: float, seed: int, leaves: float = 0.0) -> None:
        self.outcomes: list[Outcome] = []
        self._port, self._rate, self._time_out = port, rate, time_out
        self._leaves = leaves
        self._random = random.Random(seed)
        self._clients: list[StandInClient] = []
        self._open: dict[StandInClient, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Asks for that long, then waits until all are answered or overdue."""
        loop = asyncio.get_running_loop()
        at = loop.time()
        end = at + seconds
        while at < end:
            await asyncio.sleep(max(0.0, at - loop.time()))
            task = loop.create_task(self._ask())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            at += self._random.expovariate(self._rate)
        if self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _ask(self) -> None:
        profile = "load" if self._random.random() < 0.06 else "lookup"
        group, leaves = self._random.randrange(50), self._random.random() < self._leaves
        client = await self._client()
        self._open[client] += 1
        call = f"{next(CALL_IDS):016x}"
        statement = f"SELECT a FROM sales_{group}.t"
        outcome = Outcome(call, profile, time.time(), self._time_out)
        self.outcomes.append(outcome)
        time_out = str(int(self._time_out * 1000))
        seqid = client.ask(profile, statement, call=call, ttl=time_out, dedupe=call * 2)
        try:
            async with asyncio.timeout(self._time_out / 3 if leaves else self._time_out + 4 * ANSWER_SLACK):
                await client.answer(seqid)
            outcome.answer = "answered"
        except RequestFailedError as error:
            outcome.answer = error.kind
        except TimeoutError:
            if leaves:
                client.give_up(seqid)
                outcome.left_at = time.time()
            return
        finally:
            self._open[client] -= 1
        outcome.answered_at = time.time()

    async def _client(self) -> StandInClient:
        for client in self._clients:
            if self._open[client] < MOST_OPEN and not client.closed.is_set():
                return client
        client = await StandInClient().connect(self._port)
        self._clients.append(client)
        self._open[client] = 0
        return client

    def stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for client in self._clients:
            client.close()
