"""Clients of one gateway: they send requests at a steady mean rate and record the outcome of each."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass

from lotusstream.lab.scale.tcp_times import write_delay
from lotusstream.lab.stand_ins import RequestFailedError, StandInClient

ANSWER_SLACK = 0.5  # seconds after the client timeout in which an answer still counts as in time
MAX_OPEN_REQUESTS = 24  # per connection; the gateway allows 32
CALL_IDS = itertools.count(1)


@dataclass(slots=True)
class Outcome:
    """What happened to one request. Points in time are Unix seconds."""

    call: str  # request id
    profile: str
    sent_at: float
    time_out: float  # client timeout, seconds
    gave_up_at: float | None = None  # when the client gave up; None: it did not
    answer: str | None = None  # answered, shed, failed or fault; None: no answer
    answered_at: float | None = None  # None: no answer
    gateway: str = ""  # name of the gateway; empty where there is only one
    is_foreign: bool = False  # whether the answer held other rows than those of the request
    excused: bool = False  # no answer is required: the gateway was killed, or the client could not connect
    # Seconds from `sent_at` until the kernel sent the request, while the client waited for a processor. 0 if
    # it was sent at once, or if the client does not measure it.
    write_delay: float = 0.0

    @property
    def in_time(self) -> bool:
        if self.answer is None or self.answered_at is None:
            return False
        return self.answered_at <= self.sent_at + self.time_out + ANSWER_SLACK

    @property
    def served(self) -> bool:
        return self.answer == "answered" and self.in_time


class Load:
    """Sends requests to the gateway at a local port.

    :param rate: mean requests per second.
    :param time_out: client timeout, seconds.
    :param give_up_share: share of the requests that the client gives up after a third of the timeout.
    """

    def __init__(
        self, port: int, rate: float, time_out: float, seed: int, give_up_share: float = 0.0
    ) -> None:
        self.outcomes: list[Outcome] = []
        self._port, self._rate, self._time_out = port, rate, time_out
        self._give_up_share = give_up_share
        self._random = random.Random(seed)
        self._clients: list[StandInClient] = []
        self._open_counts: dict[StandInClient, int] = {}  # number of open requests, by connection
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Sends requests for that long, then waits until each has an answer or has timed out."""
        loop = asyncio.get_running_loop()
        at = loop.time()
        end = at + seconds
        while at < end:
            await asyncio.sleep(max(0.0, at - loop.time()))
            task = loop.create_task(self._send_request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            at += self._random.expovariate(self._rate)
        if self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _send_request(self) -> None:
        profile = "load" if self._random.random() < 0.06 else "lookup"
        group, gives_up = self._random.randrange(50), self._random.random() < self._give_up_share
        client = await self._client()
        self._open_counts[client] += 1
        call = f"{next(CALL_IDS):016x}"
        statement = f"SELECT a FROM sales_{group}.t"
        outcome = Outcome(call, profile, time.time(), self._time_out)
        self.outcomes.append(outcome)
        time_out = str(int(self._time_out * 1000))
        seqid = client.ask(profile, statement, call=call, ttl=time_out, dedupe=call * 2)
        outcome.write_delay = write_delay(client.writer.transport, outcome.sent_at)
        try:
            async with asyncio.timeout(self._time_out / 3 if gives_up else self._time_out + 4 * ANSWER_SLACK):
                await client.answer(seqid)
            outcome.answer = "answered"
        except RequestFailedError as error:
            outcome.answer = error.kind
        except TimeoutError:
            if gives_up:
                client.give_up(seqid)
                outcome.gave_up_at = time.time()
            return
        finally:
            self._open_counts[client] -= 1
        outcome.answered_at = time.time()

    async def _client(self) -> StandInClient:
        """Returns a connection below its limit of open requests; opens one if there is none."""
        for client in self._clients:
            if self._open_counts[client] < MAX_OPEN_REQUESTS and not client.closed.is_set():
                return client
        client = await StandInClient().connect(self._port)
        self._clients.append(client)
        self._open_counts[client] = 0
        return client

    def stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for client in self._clients:
            client.close()
