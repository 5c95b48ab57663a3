"""Calls that the gateway has given up must not reach an endpoint later.

A link to an endpoint is cut for some seconds. The gateway gives up an attempt whose bytes are still under
way, and the request runs elsewhere. After an ordinary close the system goes on delivering those bytes. When
the link works again, the endpoint executes the request a second time, after its key has been forgotten.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from conftest import EventLog, StandInEndpoint, World, settings
from test_rare_moments import MS, ManualClock, S, run_attempt

from lotusstream import interface as api
from lotusstream.deployment import read_settings
from lotusstream.lab.link import Link
from lotusstream.net.actor import Supervisor
from lotusstream.net.attempt_dispatcher import AttemptDispatcher
from lotusstream.net.attempt_messages import AbortAttempt
from lotusstream.net.connection import SocketBudget
from lotusstream.net.endpoint import EndpointActor
from lotusstream.net.open_requests import OpenRequest
from lotusstream.protocol import http

IDLE_CONNECTION_COUNT = 3  # enough for an attempt, its cancellation, and its status calls


class LinkedEndpoint:
    """An endpoint behind a link, and an actor that has idle connections to it."""

    def __init__(self, allows_hedging: bool) -> None:
        self.stand_in, self.reports, self.clock = StandInEndpoint("s-1"), EventLog(), ManualClock()
        self.supervisor, self._allows_hedging = Supervisor(), allows_hedging

    async def start(self) -> None:
        await self.stand_in.start()
        self.link = Link(self.stand_in.port)
        self.link.start()
        self.actor = EndpointActor(
            b"s-1", ("127.0.0.1", self.link.port), SocketBudget(8), 250 * MS, 30 * S, self.clock,
            self.reports.add, self.supervisor, self._allows_hedging,
        )  # fmt: skip
        self.actor.start()
        for number in range(IDLE_CONNECTION_COUNT):
            self.actor.post(run_attempt(number, self.clock))
        await self.reports.until(lambda report: True, IDLE_CONNECTION_COUNT)
        self.clock.at += http.DUPLICATE_RESPONSE_DELAY_US

    async def received_after_repair(self) -> list[str]:
        """Repairs the link, and returns the ids of the attempts that the endpoint receives from then on. The
        link forwards what it holds before the connection that is opened last."""
        earlier = len(self.stand_in.posts())
        self.link.repair()
        _, writer = await asyncio.open_connection("127.0.0.1", self.link.port)
        writer.write(http.encode_request("POST", "/x", "s-1", {"X-Txn": "last"}))
        await self.stand_in.calls.until(lambda call: call.headers.get("x-txn") == "last")
        writer.close()
        received = [call.headers["x-txn"] for call in self.stand_in.posts()[earlier:]]
        return [attempt for attempt in received if attempt != "last"]


@pytest.fixture(params=[True, False], ids=["hedging", "no hedging"])
async def linked(request: pytest.FixtureRequest) -> AsyncIterator[LinkedEndpoint]:
    """A linked endpoint whose link is cut, while attempt 9 is sent on an idle connection."""
    endpoint = LinkedEndpoint(request.param)
    await endpoint.start()
    endpoint.link.cut()
    yield endpoint
    await endpoint.supervisor.stop()
    endpoint.link.close()
    endpoint.stand_in.close()


async def until_posted(linked: LinkedEndpoint, number: int = 9) -> None:
    posted = linked.supervisor.counters["sends posted"]
    linked.actor.post(run_attempt(number, linked.clock))
    while linked.supervisor.counters["sends posted"] == posted:
        await asyncio.sleep(0)
    await asyncio.sleep(0.01)


async def test_attempt_without_a_response_in_time_does_not_reach_the_endpoint_later(
    linked: LinkedEndpoint,
) -> None:
    """The call that sends the attempt times out during the cut."""
    await until_posted(linked)
    await asyncio.sleep(http.CALL_TIMEOUT_US / S + 0.1)
    assert await linked.received_after_repair() == []


async def test_cancelled_attempt_does_not_reach_the_endpoint_later(linked: LinkedEndpoint) -> None:
    """The attempt is cancelled during the cut, and the link works again before its call times out."""
    await until_posted(linked)
    linked.actor.post(AbortAttempt(1, 9))
    await asyncio.sleep(0.02)
    assert await linked.received_after_repair() == []
    ended = await linked.reports.until(lambda report: report.attempt == 9)
    assert ended.outcome is api.Outcome.CANCELLED


async def test_attempt_is_cancelled_although_its_call_times_out_at_the_same_moment(
    linked: LinkedEndpoint,
) -> None:
    """The process stands still while the call times out and the cancellation becomes due. Aborting a call
    whose time limit had just expired raised an error, and no cancellation was sent."""
    loop = asyncio.get_running_loop()
    posted = linked.supervisor.counters["sends posted"]
    linked.actor.post(replace(run_attempt(9, linked.clock), deliver_by=linked.clock.at + 200 * MS))
    while linked.supervisor.counters["sends posted"] == posted:
        await asyncio.sleep(0)
    loop.call_later(0.05, time.sleep, 0.3)
    loop.call_later(0.10, linked.actor.post, AbortAttempt(1, 9))
    ended = asyncio.create_task(linked.reports.until(lambda report: report.attempt == 9))
    await asyncio.sleep(0.4)
    assert await linked.received_after_repair() == []
    assert (await ended).outcome is api.Outcome.CANCELLED
    assert linked.supervisor.counters["failed tasks"] == 0


async def test_attempt_past_its_deadline_does_not_reach_the_endpoint_later(linked: LinkedEndpoint) -> None:
    """The deadline of the attempt passes during the cut."""
    linked.actor.post(replace(run_attempt(9, linked.clock), deadline=linked.clock.at + 50 * MS))
    ended = await linked.reports.until(lambda report: report.attempt == 9)
    assert ended.outcome is api.Outcome.TIMED_OUT
    assert await linked.received_after_repair() == []


async def test_attempt_does_not_reach_the_endpoint_after_the_deduplication_window(
    linked: LinkedEndpoint,
) -> None:
    """Endpoints may forget the request's key during the cut, before the call that sends the attempt times
    out."""
    deliver_by = linked.clock.at + 50 * MS
    linked.actor.post(replace(run_attempt(9, linked.clock), deliver_by=deliver_by))
    await asyncio.sleep(0.1)
    linked.clock.at = deliver_by
    assert await linked.received_after_repair() == []


async def test_attempt_of_a_stopped_gateway_does_not_reach_the_endpoint_later(linked: LinkedEndpoint) -> None:
    """The gateway stops during the cut."""
    await until_posted(linked)
    await linked.supervisor.stop()
    assert await linked.received_after_repair() == []


async def test_attempt_of_a_killed_gateway_does_not_reach_the_endpoint_later(tmp_path: Path) -> None:
    """The gateway's process is killed during the cut. Its client repeats the request at another gateway."""
    world = World(tmp_path)
    endpoint = world.endpoints[0]
    await endpoint.start()
    link = Link(endpoint.port)
    link.start()
    await world.discovery.start()
    world.discovery.publish(endpoint.entry() | {"endpoint": f"127.0.0.1:{link.port}"}, whole=True)
    try:
        await world.run()
        client = await world.client()
        await client.answer(client.ask())
        await asyncio.sleep(
            2 * http.DUPLICATE_RESPONSE_DELAY_US / S
        )  # the connection may be reused from now on
        link.cut()
        client.ask("load")
        while (await world.counters()).get("sends posted", 0) < 2:
            await asyncio.sleep(0.01)
        assert world.program is not None
        world.program.kill()
        await world.wait_for_exit()
        link.repair()
        await asyncio.sleep(0.05)
        assert len(endpoint.posts()) == 1
    finally:
        await world.close()
        link.close()


@pytest.mark.parametrize(
    "profile, first_outcome, expected",
    [
        (0, None, 6 * S),  # idempotent: a late repeat is harmless
        (1, None, 2 * S),  # with an idempotency key, and the first attempt may have run at 0
        (1, api.Outcome.FULL, 4 * S),  # the first attempt did not run, so the window begins with the second
    ],
)
def test_attempt_must_be_delivered_within_the_window_of_the_first_possible_execution(
    profile: int, first_outcome: api.Outcome | None, expected: int
) -> None:
    """The deduplication window begins when the first attempt that may have run was sent."""
    raw: Any = settings()
    raw["request_classes"][1]["window"] = 2 * S
    deployment = read_settings(1, raw)
    dispatcher = AttemptDispatcher(deployment, 5, SimpleNamespace(), lambda _: None, Supervisor().counters)  # type: ignore[arg-type]
    received = SimpleNamespace(fields=SimpleNamespace(profile=profile))
    request = OpenRequest(1, received, None)  # type: ignore[arg-type]
    request.possible_executions = {1: 2 * S} if first_outcome is api.Outcome.FULL else {0: 0, 1: 2 * S}
    assert dispatcher._deliver_by(request, 6 * S) == expected
