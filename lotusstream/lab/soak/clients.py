"""Clients of one gateway. They reuse their connections until these end.

A request that was sent just before its connection ended may not have reached the gateway. The clients send it
once more, as the protocol requires.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import time
from collections.abc import Sequence

from lotusstream.lab.scale.load import ANSWER_SLACK, Outcome
from lotusstream.lab.scale.servers import result_rows
from lotusstream.lab.scale.tcp_times import write_delay
from lotusstream.lab.soak.plan import RequestClass
from lotusstream.lab.soak.processor_wait import ProcessorWait
from lotusstream.lab.stand_ins import RequestFailedError, StandInClient

CONNECTIONS = 6  # most connections open at once
# A request that was sent at most this long before its connection ended may not have reached the gateway.
RESEND_WINDOW_SECONDS = 0.05
MAX_OPEN_REQUESTS = 24  # per connection
GROUPS = 20  # number of table groups
CALL_IDS = itertools.count(1)


class SoakClients:
    """Sends requests to the gateway at a local port.

    :param rate: mean requests per second.
    :param give_up_share: share of the requests that the client gives up after a third of their timeout.
    :param gateway_wait: the gateway's wait for a processor.
    """

    def __init__(
        self,
        gateway: str,
        port: int,
        classes: Sequence[RequestClass],
        rate: float,
        give_up_share: float,
        seed: int,
        gateway_wait: ProcessorWait,
    ) -> None:
        self.outcomes: list[Outcome] = []
        self.rate = rate
        self.accepts_new = True  # the load balancer opens new connections to this gateway
        self._gateway, self._port, self._give_up_share = gateway, port, give_up_share
        self._classes = classes
        self._gateway_wait, self._own_wait = gateway_wait, ProcessorWait(os.getpid())
        self._random = random.Random(seed)
        self._calls: set[str] = set()  # ids of the requests sent
        self._clients: list[StandInClient] = []
        self._open_counts: dict[StandInClient, int] = {}  # number of open requests, by connection
        self._tasks: set[asyncio.Task[None]] = set()
        self._sending: asyncio.Task[None] | None = None  # None: not started

    def start(self) -> None:
        self._sending = asyncio.create_task(self._send_requests())

    async def _send_requests(self) -> None:
        loop = asyncio.get_running_loop()
        at = loop.time()
        while True:
            await asyncio.sleep(max(0.0, at - loop.time()))
            task = loop.create_task(self._request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            at += self._random.expovariate(self.rate)

    async def finish(self) -> None:
        """Sends no more requests, waits until the open ones have ended, and closes the connections."""
        self.stop_sending()
        if self._tasks:
            await asyncio.wait(set(self._tasks))
        for client in self._clients:
            client.close()

    def stop_sending(self) -> None:
        if self._sending is not None:
            self._sending.cancel()

    def has_sent(self, call: str) -> bool:
        """Whether the request with this id is one of these clients'."""
        return call in self._calls

    def excuse_open(self) -> None:
        """Excuses the open requests, which need no answer because their gateway was killed with SIGKILL."""
        for outcome in self.outcomes:
            if outcome.answer is None and outcome.gave_up_at is None:
                outcome.excused = True

    async def _request(self) -> None:
        profile = self._random.choices(self._classes, [each.part for each in self._classes])[0]
        client = await self._client()
        if client is None:
            return
        call = f"{next(CALL_IDS):016x}"
        outcome = Outcome(call, profile.name, time.time(), profile.deadline, gateway=self._gateway)
        self.outcomes.append(outcome)
        self._calls.add(call)
        gives_up = self._random.random() < self._give_up_share
        if not await self._send(client, outcome, gives_up):
            await self._resend(outcome, gives_up)

    async def _resend(self, outcome: Outcome, gives_up: bool) -> None:
        """Sends the request on another connection. Excuses the request if no connection can be had.

        If that connection ends within RESEND_WINDOW_SECONDS too, the request is lost, unless the gateway
        shuts down. Then all of its connections end, and the request is sent again until none is left.
        """
        while (client := await self._client()) is not None:
            outcome.sent_at = time.time()
            if await self._send(client, outcome, gives_up) or self.accepts_new:
                return
        outcome.excused = True

    async def _send(self, client: StandInClient, outcome: Outcome, gives_up: bool) -> bool:
        """Sends the request and records its outcome. Returns False if it should be sent again, because the
        connection ended at most RESEND_WINDOW_SECONDS after it was sent. The time for which the gateway or
        the clients' process waited for a processor does not count."""
        ttl = str(int(outcome.time_out * 1000))
        group = self._random.randrange(GROUPS)
        idempotency_key = {"dedupe": outcome.call * 2}
        self._open_counts[client] += 1
        gateway_waited, waited = self._gateway_wait.sample(), self._own_wait.sample()
        statement = f"SELECT a FROM sales_{group}.t"
        seqid = client.ask(outcome.profile, statement, call=outcome.call, ttl=ttl, **idempotency_key)
        outcome.write_delay = write_delay(client.writer.transport, outcome.sent_at)
        timeout = outcome.time_out / 3 if gives_up else outcome.time_out + 2 * ANSWER_SLACK
        answer = asyncio.create_task(client.answer(seqid))
        closed = asyncio.create_task(client.closed.wait())
        await asyncio.wait((answer, closed), timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        closed.cancel()
        self._open_counts[client] -= 1
        if answer.done():
            self._record_answer(outcome, answer)
            return True
        answer.cancel()
        if client.closed.is_set():
            seconds = time.time() - outcome.sent_at
            gateway_waited = self._gateway_wait.sample() - gateway_waited
            # The two may have waited at the same time, so only the longer wait counts.
            waited = max(gateway_waited, self._own_wait.sample() - waited)
            return seconds - waited > RESEND_WINDOW_SECONDS
        if gives_up:
            client.give_up(seqid)
            outcome.gave_up_at = time.time()
        return True

    def _record_answer(self, outcome: Outcome, answer: asyncio.Task[tuple[bytes, bool]]) -> None:
        outcome.answered_at = time.time()
        self._gateway_wait.sample()
        error = answer.exception()
        if error is None:
            outcome.answer = "answered"
            outcome.is_foreign = answer.result()[0] != result_rows(outcome.call)
        elif isinstance(error, RequestFailedError):
            outcome.answer = error.kind

    async def _client(self) -> StandInClient | None:
        """Returns an open connection below its limit of open requests, or a new one.

        Returns None if no open connection is below the limit and none can be opened: either the load balancer
        opens no new ones to this gateway, or the gateway refuses them.
        """
        usable = [
            each
            for each in self._clients
            if not each.closed.is_set() and self._open_counts[each] < MAX_OPEN_REQUESTS
        ]
        if usable and (len(usable) >= CONNECTIONS or not self.accepts_new or self._random.random() < 0.5):
            return self._random.choice(usable)
        if not self.accepts_new:
            return None
        try:
            client = await StandInClient().connect(self._port)
        except OSError:
            return self._random.choice(usable) if usable else None
        self._clients.append(client)
        self._open_counts[client] = 0
        return client
