"""An attempt that was given up must not be executed by an endpoint that hung and goes on.

The endpoint's process is stopped, so that the system takes connections and bytes for it, and continued. What
the system has taken stays readable after a reset: only a cancellation that the endpoint reads after the
attempt keeps it from executing the request a second time.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path

import pytest
from conftest import WAIT_TIMEOUT_S, EventLog, World
from test_rare_moments import MS, ManualClock, S, run_attempt

from lotusstream import interface as api
from lotusstream.net.actor import Supervisor
from lotusstream.net.attempt_messages import AbortAttempt, RunAttempt
from lotusstream.net.connection import SocketBudget
from lotusstream.net.endpoint import EndpointActor
from lotusstream.protocol import http

BACKLOG = 3  # connections that wait to be accepted, one fewer than the system takes
SETTLE_S = 0.7  # until the endpoint has read what the system took for it, and executed what it may


class EndpointProcess:
    """An endpoint in a process of its own."""

    def __init__(self) -> None:
        self.lines = EventLog()  # what it has printed

    async def start(self) -> None:
        script = Path(__file__).with_name("endpoint_process.py")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, str(script), str(BACKLOG), stdout=asyncio.subprocess.PIPE
        )
        self._reading = asyncio.create_task(self._read())
        line = await self.lines.until(lambda line: line.startswith("port"))
        self.address = ("127.0.0.1", int(line.split()[1]))

    async def _read(self) -> None:
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            self.lines.add(line.decode().strip())

    async def stop(self) -> None:
        self.process.kill()
        await self.process.wait()
        await self._reading

    async def go_on(self) -> None:
        """Continues the process, and waits until it has read and executed all that it may."""
        self.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(SETTLE_S)

    def seen(self, event: str) -> list[int]:
        """Returns the numbers of the attempts that were `begun` or `executed`."""
        return [int(line.split()[1], 16) for line in self.lines.items if line.startswith(event)]


class HungEndpoint(EndpointProcess):
    """An endpoint process, and an actor that sends attempts to it."""

    def __init__(self, allows_hedging: bool) -> None:
        super().__init__()
        self.reports, self.clock, self.supervisor = EventLog(), ManualClock(), Supervisor()
        self.budget, self.allows_hedging = SocketBudget(64), allows_hedging

    async def start(self) -> None:
        await super().start()
        self.actor = EndpointActor(
            b"s-1", self.address, self.budget, 250 * MS, 30 * S, self.clock,
            self.reports.add, self.supervisor, self.allows_hedging,
        )  # fmt: skip
        self.actor.start()

    async def stop(self) -> None:
        await self.supervisor.stop()
        await super().stop()

    async def become_idle(self, count: int) -> None:
        """Leaves that many idle connections, which may not be used again before the clock goes on."""
        for number in range(count):
            self.actor.post(self.attempt(number, 0.0))
        await self.reports.until(lambda report: report.attempt < count, count)

    def attempt(self, number: int, seconds: float) -> RunAttempt:
        """Returns an attempt whose statement runs for this time."""
        return replace(run_attempt(number, self.clock), statement=str(seconds).encode())

    async def post(self, number: int, seconds: float) -> None:
        """Sends an attempt."""
        posted = self.supervisor.counters["sends posted"]
        self.actor.post(self.attempt(number, seconds))
        while self.supervisor.counters["sends posted"] == posted:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.02)


@pytest.fixture(params=[True, False], ids=["hedging", "no hedging"])
async def hung(request: pytest.FixtureRequest) -> AsyncIterator[HungEndpoint]:
    """An endpoint that does not hang yet."""
    endpoint = HungEndpoint(request.param)
    await endpoint.start()
    yield endpoint
    await endpoint.stop()


@pytest.mark.parametrize("on_new_connection", [True, False], ids=["new connection", "idle connection"])
@pytest.mark.parametrize("waits_s", [0.05, 0.7], ids=["while it is sent", "while it is polled"])
async def test_attempt_cancelled_during_a_hang_is_not_executed(
    hung: HungEndpoint, on_new_connection: bool, waits_s: float
) -> None:
    """An endpoint reads connections that it has accepted before those that wait. The cancellation of an
    attempt on a new connection went out on an idle one, was read first, and had no effect."""
    await hung.become_idle(3)
    if not on_new_connection:
        hung.clock.at += http.DUPLICATE_RESPONSE_DELAY_US
    hung.process.send_signal(signal.SIGSTOP)
    await hung.post(9, 0.2)
    await asyncio.sleep(waits_s)
    hung.clock.at += http.DUPLICATE_RESPONSE_DELAY_US
    hung.actor.post(AbortAttempt(1, 9))
    await asyncio.sleep(0.1)
    await hung.go_on()
    assert 9 not in hung.seen("executed")


async def fill_queue(address: tuple[str, int]) -> list[socket.socket]:
    """Opens connections until the endpoint's system takes no further one."""
    loop = asyncio.get_running_loop()
    opened: list[socket.socket] = []
    try:
        while True:
            sock = socket.socket()
            sock.setblocking(False)
            opened.append(sock)
            async with asyncio.timeout(0.2):
                await loop.sock_connect(sock, address)
    except TimeoutError:
        return opened


async def test_attempt_whose_cancellation_can_not_be_sent_is_cancelled_when_the_endpoint_goes_on(
    hung: HungEndpoint,
) -> None:
    """The endpoint's system takes no further connection. The cancellation was tried once, and never again."""
    await hung.become_idle(2)
    hung.clock.at += http.DUPLICATE_RESPONSE_DELAY_US
    hung.process.send_signal(signal.SIGSTOP)
    await hung.post(8, 1.0)
    await hung.post(9, 1.0)
    fillers = await fill_queue(hung.address)
    for number in (8, 9):
        hung.actor.post(AbortAttempt(1, number))
    await asyncio.sleep(1.0)
    for filler in fillers:
        filler.close()
    await hung.go_on()
    await asyncio.sleep(0.5)
    assert {8, 9} <= set(hung.seen("begun")) and not {8, 9} & set(hung.seen("executed"))


async def test_endpoint_gets_no_other_attempt_of_a_request_until_it_has_accepted_the_cancellation(
    hung: HungEndpoint,
) -> None:
    """The attempts of a request share the id at the endpoint. When it goes on, it would run both, or the
    cancellation of the first would end the second too."""
    await hung.become_idle(2)
    hung.clock.at += http.DUPLICATE_RESPONSE_DELAY_US
    hung.process.send_signal(signal.SIGSTOP)
    await hung.post(9, 0.2)
    hung.actor.post(AbortAttempt(1, 9))
    await asyncio.sleep(0.1)
    hung.actor.post(replace(hung.attempt(9, 0.2), attempt=10))
    refused = await hung.reports.until(lambda report: report.attempt == 10)
    assert refused.outcome is api.Outcome.MOOT
    await hung.go_on()
    hung.actor.post(replace(hung.attempt(9, 0.2), attempt=11))
    answered = await hung.reports.until(lambda report: report.attempt == 11)
    assert answered.outcome is api.Outcome.ANSWERED
    assert hung.seen("executed").count(9) == 1


async def test_hung_endpoint_takes_one_connection_for_all_cancellations_that_it_has_not_accepted(
    hung: HungEndpoint,
) -> None:
    """Each cancelled attempt would otherwise hold a descriptor, and a place in the endpoint's queue of new
    connections, for as long as the endpoint hangs. Without hedging, each attempt has one more until the
    endpoint would have abandoned it."""
    await hung.become_idle(2)
    hung.clock.at += http.DUPLICATE_RESPONSE_DELAY_US
    hung.process.send_signal(signal.SIGSTOP)
    await hung.post(8, 0.2)
    await hung.post(9, 0.2)
    for number in (8, 9):
        hung.actor.post(AbortAttempt(1, number))
    await hung.reports.until(lambda report: report.attempt in (8, 9), 2)
    await asyncio.sleep(0.1)
    assert hung.budget.used <= (1 if hung.allows_hedging else 3)
    hung.clock.at += http.HELD_CALL_US
    await asyncio.sleep(0.1)
    await hung.go_on()
    assert not {8, 9} & set(hung.seen("executed")) and hung.supervisor.counters["failed tasks"] == 0


@pytest.mark.parametrize("how", ["answered late", "shutdown", "client leaves"])
async def test_attempt_of_a_gateway_process_is_not_executed_after_a_hang(tmp_path: Path, how: str) -> None:
    """The request ends at its deadline, at a shutdown of the gateway, or as its client leaves. Before it
    exits, the gateway has to cancel what the endpoint has not read."""
    world, endpoint = World(tmp_path), EndpointProcess()
    await endpoint.start()
    await world.discovery.start()
    host, port = endpoint.address
    world.discovery.publish(world.endpoints[0].entry() | {"endpoint": f"{host}:{port}"}, whole=True)
    try:
        await world.run()
        client = await world.client()
        endpoint.process.send_signal(signal.SIGSTOP)
        client.ask("booking", "SELECT a FROM sales_3.t -- 0.3", ttl="1500", call=f"{9:016x}")
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while (await world.counters()).get("sends posted", 0) < 1:
                await asyncio.sleep(0.01)
        assert world.program is not None
        if how == "shutdown":
            world.program.send_signal(signal.SIGTERM)
            await world.wait_for_exit()
        elif how == "client leaves":
            client.close()
        await asyncio.sleep(2.0)
        await endpoint.go_on()
        assert endpoint.seen("begun") == [9] and endpoint.seen("executed") == []
    finally:
        await world.close()
        await endpoint.stop()
