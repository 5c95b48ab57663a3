"""Test clients of a rig's gateways.

They send requests with an idempotency key, retry each at random gateways until it is answered, and repeat
requests that were answered before. The results record each answer that violates a commitment to clients.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass, field

from lotusstream.lab.fleet.rig import FleetRig
from lotusstream.lab.stand_ins import RequestFailedError

ATTEMPT_TIMEOUT_S = 3.0  # time that a client waits for the answer of a gateway
RETRY_DELAY_S = 0.05  # time between two attempts of a client for one request
REPEAT_SHARE = 0.3  # share of requests that repeat one that has been answered


@dataclass(slots=True)
class ClientResults:
    """Counts of the answers that the clients got, and the answers that violate a commitment."""

    answered: int = 0  # number of new requests that got an answer
    repeats: int = 0  # number of repeats of answered requests that were answered again
    # number of requests that failed since they may have run and must not be sent to an endpoint again
    unknown: int = 0
    shed: int = 0  # number of rejected attempts
    # one line for each repeat whose answer differs from the first answer
    changed: list[str] = field(default_factory=list)
    # one line for each request that failed after it had been answered
    forgotten: list[str] = field(default_factory=list)
    # seconds from request to answer, of the requests that were answered at their first attempt
    latencies: list[float] = field(default_factory=list)


class FleetClients:
    """Clients that send requests while the context is open: `async with FleetClients(rig, 8, seed)`."""

    def __init__(self, rig: FleetRig, count: int, seed: int, profile: str = "") -> None:
        """Starts no client yet.

        :param profile: the profile of all new requests; empty: "load" or "booking", drawn for each request
        """
        self._rig, self._count, self._random, self._profile = rig, count, random.Random(seed), profile
        self.results = ClientResults()
        self._first: dict[str, tuple[str, bytes]] = {}  # profile and first answer, by idempotency key
        self._key_count = 0  # number of keys that have been used
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> FleetClients:
        self._tasks = [asyncio.create_task(self._send_requests()) for _ in range(self._count)]
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        for each in results:
            if isinstance(each, Exception):
                raise each

    async def _send_requests(self) -> None:
        """Sends requests one after the other: new ones, and repeats of answered ones."""
        while True:
            if self._first and self._random.random() < REPEAT_SHARE:
                await self._repeat(self._random.choice(list(self._first)))
            else:
                await self._send_new()

    async def _send_new(self) -> None:
        """Sends a new request at random gateways until it is answered or must not be sent again."""
        self._key_count += 1
        key = f"{self._key_count:032x}"
        profile = self._profile or self._random.choice(("load", "load", "booking"))
        attempts = 0
        while True:
            attempts += 1
            started_at = time.monotonic()
            match await self._ask(self._running_gateway(), profile, key):
                case bytes(rows):
                    self.results.answered += 1
                    self._first[key] = (profile, rows)
                    if attempts == 1:
                        self.results.latencies.append(time.monotonic() - started_at)
                    return
                case "failed" if profile == "booking":
                    self.results.unknown += 1
                    return
                case "shed":
                    self.results.shed += 1
            await asyncio.sleep(RETRY_DELAY_S)

    async def _repeat(self, key: str) -> None:
        """Repeats an answered request at a random gateway and compares the answers."""
        profile, rows = self._first[key]
        match await self._ask(self._running_gateway(), profile, key):
            case bytes(again):
                self.results.repeats += 1
                if again != rows:
                    self.results.changed.append(f"{key}: answered {again!r} after {rows!r}")
            case "failed":
                self.results.forgotten.append(f"{key}: failed after the answer {rows!r}")

    def _running_gateway(self) -> str:
        """Returns the name of a random gateway whose process runs."""
        return self._random.choice([name for name in self._rig.names if self._rig.gateways[name].up])

    async def _ask(self, name: str, profile: str, key: str) -> bytes | str:
        """Sends one attempt to a gateway.

        Returns the rows of the answer, or the kind of failure: "shed", "failed", "fault", or "silent" if no
        answer came in time.
        """
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                client = await self._rig.gateways[name].client()
                request = client.ask(profile, dedupe=key, ttl=str(int(ATTEMPT_TIMEOUT_S * 1000)))
                closed = asyncio.ensure_future(client.closed.wait())
                answer = asyncio.ensure_future(client.answer(request))
                try:
                    await asyncio.wait((closed, answer), return_when=asyncio.FIRST_COMPLETED)
                    if answer.done():
                        return answer.result()[0]
                except RequestFailedError as error:
                    return error.kind
                finally:
                    closed.cancel()
                    answer.cancel()
                    client.close()
        return "silent"

    async def repeat_at_every_gateway(self, max_requests: int = 100) -> None:
        """Repeats up to `max_requests` answered requests at every gateway, and compares the answers.

        Call it after the context has ended, when the clients send no more requests.
        """
        for key in self._random.sample(list(self._first), min(max_requests, len(self._first))):
            profile, rows = self._first[key]
            for name in self._rig.names:
                result = await self._ask(name, profile, key)
                if isinstance(result, bytes):
                    self.results.repeats += 1
                    if result != rows:
                        self.results.changed.append(f"{key}: {name} answered {result!r} after {rows!r}")
                elif result == "failed":
                    self.results.forgotten.append(f"{key}: failed at {name} after the answer {rows!r}")
