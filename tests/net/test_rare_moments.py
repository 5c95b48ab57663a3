"""What comes between two lines: a close, an answer, a restart or a signal in the moment that does harm."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest
from conftest import (
    LIMIT,
    Line,
    PolicyHost,
    StandInClient,
    StandInDiscovery,
    StandInEndpoint,
    World,
    endpoint_entry,
    http_answer,
    settings,
)
from hypothesis import given
from hypothesis import strategies as st

from lotusstream import interface as api
from lotusstream.deployment import read_settings
from lotusstream.net.actor import Supervisor
from lotusstream.net.attempt_messages import AbortAttempt, RunAttempt
from lotusstream.net.client import ClientConnection, ClientReply, ReceivedRequest, RequestAbandoned
from lotusstream.net.client_limits import ClientConnectionLimiter, UnreadReplies
from lotusstream.net.clock import Clock
from lotusstream.net.configuration import Configuration, read_configuration
from lotusstream.net.connection import Connection, ConnectionPool, SocketBudget
from lotusstream.net.decider import Decider
from lotusstream.net.discovery import DiscoveryActor
from lotusstream.net.endpoint import EndpointActor, EndpointListingChanged
from lotusstream.net.gateway import GatewayServer
from lotusstream.protocol import discovery, front, http

MS, S = 1_000, 1_000_000


class StillClock(Clock):
    """Moves only where a story says so."""

    def __init__(self) -> None:
        super().__init__()
        self.at = super().now()

    def now(self) -> int:
        return self.at


# Engines: what proves that an answer belongs to its query, and what may still leave


class ToldTwice:
    """An engine whose answer to a query comes a second time once the connection carries another query: it was
    on its way when the gateway looked."""

    def __init__(self) -> None:
        self.connections = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections, late = self.connections + 1, b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                await reader.readexactly(int(re.search(r"Content-Length: (\d+)", head)[1]))  # type: ignore[index]
                call = re.search(r"X-Txn: (\w+)", head)[1]  # type: ignore[index]
                answer = http_answer(
                    200, f"{call}\t\t\n".encode(), Result_Pages=1, Query_Cost=1, Query_Need=1
                )
                writer.write(late + answer)
                late = answer
        except asyncio.IncompleteReadError:
            writer.close()


def run_attempt(
    number: int, clock: Clock, is_awaited: Callable[[], bool] = lambda: True, left: int = 6 * S
) -> RunAttempt:
    now = clock.now()
    return RunAttempt(
        1, number, now, now + left, f"{number:016x}", "lookup", b"SELECT", None, None, is_awaited
    )


async def test_a_response_that_comes_twice_is_not_taken_for_that_of_the_next_attempt() -> None:
    """A response comes a second time some milliseconds later, when its connection may have another user.
    Idle connections rest until then."""
    engine_side, told, clock, supervisor = ToldTwice(), Line(), StillClock(), Supervisor()
    endpoint = ("127.0.0.1", await engine_side.start())
    actor = EndpointActor(b"s-1", endpoint, SocketBudget(8), 250 * MS, 30 * S, clock, told.add, supervisor)
    actor.start()
    for number in range(2):
        actor.post(run_attempt(number, clock))
        ended = await told.until(lambda report, number=number: report.attempt == number)
        assert ended.rows == f"{number:016x}\t\t\n".encode()
    assert engine_side.connections == 2  # the first had rested too little to carry another
    clock.at += http.DUPLICATE_RESPONSE_DELAY_US
    actor.post(run_attempt(2, clock))
    await told.until(lambda report: report.attempt == 2)
    assert engine_side.connections == 2
    await supervisor.stop()


async def test_an_attempt_whose_time_is_over_does_not_leave_on_a_connection_that_rests() -> None:
    """Such a connection is had without a wait, and the time-out around it comes with the first wait only: on
    a busy core requests were sent up to a fifth of a second after their end, told that 1 ms was left."""
    stand_in, told, clock, supervisor = StandInEndpoint("s-1"), Line(), StillClock(), Supervisor()
    await stand_in.start()
    endpoint = ("127.0.0.1", stand_in.port)
    actor = EndpointActor(b"s-1", endpoint, SocketBudget(8), 250 * MS, 30 * S, clock, told.add, supervisor)
    actor.start()
    actor.post(run_attempt(0, clock))
    await told.until(lambda report: report.attempt == 0)
    clock.at += http.DUPLICATE_RESPONSE_DELAY_US
    actor.post(replace(run_attempt(1, clock), deadline=clock.at))
    ended = await told.until(lambda report: report.attempt == 1)
    assert ended.outcome is api.Outcome.MOOT and len(stand_in.posts()) == 1
    await supervisor.stop()
    stand_in.die()


@pytest.fixture
async def waiting(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Any]:
    """An attempt whose connection does not come up until `up` is set."""
    stand_in, told, supervisor, budget = StandInEndpoint("s-1"), Line(), Supervisor(), SocketBudget(8)
    await stand_in.start()
    asked, up, get = asyncio.Event(), asyncio.Event(), ConnectionPool.get

    async def slow(pool: ConnectionPool, **more: bool) -> Connection:
        connection = await get(pool, **more)
        asked.set()
        await up.wait()
        return connection

    monkeypatch.setattr(ConnectionPool, "get", slow)
    endpoint = ("127.0.0.1", stand_in.port)
    actor = EndpointActor(b"s-1", endpoint, budget, 250 * MS, 30 * S, Clock(), told.add, supervisor)
    actor.start()
    made = SimpleNamespace(actor=actor, is_awaited=True, up=up, told=told, stand_in=stand_in, budget=budget)
    actor.post(run_attempt(0, Clock(), lambda: made.is_awaited))
    await asyncio.wait_for(asked.wait(), LIMIT)
    yield made
    await supervisor.stop()
    stand_in.die()


async def drain_mailbox(actor: EndpointActor) -> None:
    while len(actor.mailbox):
        await asyncio.sleep(0)


async def test_a_client_that_has_left_ends_its_waiting_attempt_without_a_cancellation(waiting: Any) -> None:
    """A client leaves while the connection for its attempt comes up. Nothing is sent, though nobody has
    cancelled the attempt."""
    waiting.is_awaited = False
    waiting.up.set()
    ended = await waiting.told.until(lambda report: True)
    assert ended.outcome is api.Outcome.MOOT and not waiting.stand_in.calls.items


async def test_an_attempt_for_an_endpoint_before_its_restart_does_not_reach_the_restarted_one(
    waiting: Any,
) -> None:
    """An endpoint restarts while the connection for an attempt comes up. The attempt was decided for the
    earlier incarnation and is not sent; a later one is."""
    waiting.actor.post(EndpointListingChanged(is_ready=True, restarted=True))
    await drain_mailbox(waiting.actor)
    waiting.up.set()
    ended = await waiting.told.until(lambda report: True)
    assert ended.outcome is api.Outcome.MOOT and not waiting.stand_in.calls.items
    waiting.actor.post(run_attempt(1, Clock()))  # decided with the restart known
    assert (await waiting.told.until(lambda report: report.attempt == 1)).outcome is api.Outcome.ANSWERED


async def test_what_was_cancelled_before_its_first_byte_surely_never_ran(waiting: Any) -> None:
    """An attempt is aborted while its connection comes up. It is reported as surely not executed."""
    waiting.actor.post(AbortAttempt(1, 0))
    ended = await waiting.told.until(lambda report: True)
    assert ended.outcome in api.PROVES_NOT_EXECUTED and not waiting.stand_in.calls.items


async def test_what_ran_out_of_time_before_its_first_byte_surely_never_ran(waiting: Any) -> None:
    """The deadline of an attempt passes while its connection comes up. It is reported as surely not
    executed."""
    waiting.actor.post(run_attempt(1, Clock(), left=20 * MS))
    ended = await waiting.told.until(lambda report: report.attempt == 1)
    assert ended.outcome in api.PROVES_NOT_EXECUTED and not waiting.stand_in.calls.items


@pytest.fixture
async def single() -> AsyncIterator[Any]:
    """An attempt without hedging: its connection breaks, and others are refused."""
    stand_in, told, supervisor, clock = StandInEndpoint("s-1"), Line(), Supervisor(), StillClock()
    await stand_in.start()
    stand_in.acts, budget = "is silent", SocketBudget(8)
    endpoint = ("127.0.0.1", stand_in.port)
    actor = EndpointActor(
        b"s-1", endpoint, budget, 1 * MS, 30 * S, clock, told.add, supervisor, allows_hedging=False
    )
    actor.start()
    actor.post(run_attempt(0, clock))
    await stand_in.calls.until(lambda call: call.method == "POST")
    stand_in.die()
    await until(lambda: supervisor.counters["calls not connected"] > 2)
    yield SimpleNamespace(actor=actor, stand_in=stand_in, told=told, clock=clock)
    await supervisor.stop()
    stand_in.die()


async def test_without_hedging_a_refused_connection_is_no_end_until_the_endpoint_is_told(
    single: Any,
) -> None:
    """The endpoint refuses connections, since it has too many. The attempt may still run there, so it ends
    only once the endpoint has taken its cancellation."""
    assert not single.told.items
    await single.stand_in.start(single.stand_in.port)  # it had lived, and had too many connections
    ended = await single.told.until(lambda report: True)
    assert ended.outcome is api.Outcome.RESET
    assert [call.method for call in single.stand_in.calls.items] == ["POST", "DELETE"]


async def test_without_hedging_an_attempt_not_asked_for_is_abandoned_in_time(single: Any) -> None:
    """The endpoint can not be reached at all. The attempt ends after the time in which an endpoint abandons
    what nobody asks for, and not before."""
    single.clock.at += http.ABANDONED_AFTER_US
    assert not single.told.items
    single.clock.at += http.STATUS_LONG_POLL_US
    assert (await single.told.until(lambda report: True)).outcome is api.Outcome.RESET


async def test_without_hedging_a_restart_ends_what_ran(single: Any) -> None:
    """The endpoint can not be reached, and is listed with a restart. What ran there has ended with its
    process."""
    single.actor.post(EndpointListingChanged(is_ready=True, restarted=True))
    assert (await single.told.until(lambda report: True)).outcome is api.Outcome.RESET


async def test_without_hedging_a_cancellation_that_does_not_arrive_is_no_end(single: Any) -> None:
    """An attempt is aborted while its endpoint can not be reached. It ends only once the endpoint has taken
    the cancellation."""
    single.actor.post(AbortAttempt(1, 0))
    await drain_mailbox(single.actor)
    assert not single.told.items
    await single.stand_in.start(single.stand_in.port)
    ended = await single.told.until(lambda report: True)
    assert ended.outcome is api.Outcome.CANCELLED
    assert "DELETE" in [call.method for call in single.stand_in.calls.items]


@pytest.mark.parametrize("allowed", [False, True])
async def test_the_settings_say_whether_hedging_is_allowed(allowed: bool) -> None:
    """Endpoint actors follow the setting."""
    told, supervisor = settings(), Supervisor()
    told["limits"] = told["limits"] | {"second_copies": allowed}  # type: ignore[operator]
    decider = Decider(read_settings(7, told), SocketBudget(8), 1 << 20, Clock(), supervisor)
    decider.start()
    decider.post(
        discovery.EndpointListUpdate(
            1, True, (discovery.ListedEndpoint(endpoint_entry(1), ("127.0.0.1", 9)),), 0
        )
    )
    await until(lambda: decider.has_endpoint_list)
    actor = decider._endpoints.actor(endpoint_entry(1).id)
    assert actor is not None and actor.allows_hedging == allowed
    await supervisor.stop()


def test_a_retry_that_connects_late_still_comes_before_the_key_is_forgotten() -> None:
    """Endpoints know an idempotency key for 5 s. A retry that could connect only after that is not made."""
    allowed = api.Capabilities(4, True, True, False, False, True, 500 * MS, False, connect_timeout=250 * MS)
    for left, again in ((200 * MS, False), (400 * MS, True)):  # until the engines forget: 5 s after the first
        host = PolicyHost(capabilities=allowed)
        host.list_endpoints(endpoint_entry(1), endpoint_entry(2))
        request = host.receive(profile=3)
        host.end_attempt(request, api.Outcome.RESET, after=5 * S - left)
        assert len(host.attempts(request)) == 1 + again


# Clients: who has gone, whose answer it is, and what a close takes along


def pair() -> tuple[socket.socket, socket.socket]:
    """Both ends of a connection over TCP; the first does not block."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname(), LIMIT)
        ours, _ = listener.accept()
    ours.setblocking(False)
    return ours, theirs


class ClientConnections:
    """Client connections on real sockets, without the decider: `reports` takes what they report."""

    def __init__(self, most: int = 8) -> None:
        self.supervisor, self.reports, self.clock = Supervisor(), Line(), StillClock()
        self.deployment = read_settings(7, settings())
        self.limiter = ClientConnectionLimiter(most, 2, self.clock, self.supervisor)
        self.unread = UnreadReplies(1 << 20)

    def connect(self) -> tuple[ClientConnection, StandInClient, socket.socket]:
        ours, theirs = pair()
        client = ClientConnection(
            ours, self.deployment, self.clock, self.reports.add, lambda: True, self.unread, self.limiter,
            self.supervisor,
        )  # fmt: skip
        assert self.limiter.admit(client)
        stand_in = StandInClient()
        stand_in.raw = lambda frame: theirs.sendall(front.FRAME.pack(len(frame)) + frame)  # type: ignore[method-assign]
        return client, stand_in, theirs

    async def serve(self, client: ClientConnection) -> asyncio.Task[None]:
        return self.supervisor.start("client", client.serve())

    async def received(self, count: int) -> ReceivedRequest:
        return await self.reports.until(lambda report: isinstance(report, ReceivedRequest), count)


@pytest.fixture
async def clients() -> AsyncIterator[ClientConnections]:
    made = ClientConnections()
    yield made
    await made.supervisor.stop()


async def until(true: Callable[[], object]) -> None:
    async with asyncio.timeout(LIMIT):
        while not true():
            await asyncio.sleep(0)


def read_all(sock: socket.socket) -> bytes:
    """Until the other side closes; a reset raises."""
    found = b""
    while part := sock.recv(65536):
        found += part
    return found


async def test_a_close_counts_before_the_gateway_has_read_it(clients: ClientConnections) -> None:
    """A client closes, and the gateway has not read that yet. Its request is known to be awaited no
    longer."""
    client, stand_in, theirs = clients.connect()
    await clients.serve(client)
    stand_in.ask()
    request = await clients.received(1)
    assert request.is_awaited()
    theirs.close()
    began = time.monotonic()
    while request.is_awaited():  # with no turn of the loop: nobody has read it
        assert time.monotonic() - began < LIMIT


async def test_a_withdrawn_request_is_not_awaited_from_the_very_message_on(
    clients: ClientConnections,
) -> None:
    """A client withdraws its request. No attempt may begin between the message and the next batch."""
    client, stand_in, _ = clients.connect()
    await clients.serve(client)
    stand_in.give_up(stand_in.ask())
    request = await clients.received(1)
    await clients.reports.until(lambda report: isinstance(report, RequestAbandoned))
    assert request.closed and not request.is_awaited()


async def test_an_answer_goes_to_its_request_and_not_to_another_under_the_same_number(
    clients: ClientConnections,
) -> None:
    """A client withdraws a request and uses its sequence number again. The answer to the first is not
    written."""
    client, stand_in, theirs = clients.connect()
    await clients.serve(client)
    stand_in.give_up(stand_in.ask())
    stand_in.seqid = 0
    stand_in.ask()
    first, second = await clients.received(1), await clients.received(2)
    assert first.seqid == second.seqid == 1
    client.post(ClientReply(front.encode_answer("process", 1, b"first\t\t\n", True), first))
    client.post(ClientReply(front.encode_answer("process", 1, b"second\t\t\n", True), second))
    await until(lambda: not client.open_requests and not client._is_writing)
    assert client.half_close()
    assert b"second" in (came := read_all(theirs)) and b"first" not in came


async def test_a_request_that_crosses_the_close_is_neither_taken_nor_answered_by_a_reset(
    clients: ClientConnections,
) -> None:
    """A client sends a request when its connection is being closed as idle. The request is dropped, and the
    client still reads its last answer and then the end, not a reset."""
    client, stand_in, theirs = clients.connect()
    serving = await clients.serve(client)
    stand_in.ask()
    request = await clients.received(1)
    client.post(ClientReply(front.encode_answer("process", 1, b"1\t2\t3\n", True), request))
    await until(lambda: not client.open_requests and not client._is_writing)
    assert client.half_close()
    stand_in.ask()  # before the client has seen the close, or read its answer
    await until(lambda: serving.done() or not client.has_unread_bytes())
    assert b"1\t2\t3\n" in read_all(theirs)  # the last answer, and then the end
    stand_in.ask()  # a reset that the first of them had met would raise here
    assert len(clients.reports.items) == 1 and not serving.done()
    theirs.close()
    await asyncio.wait_for(serving, LIMIT)


async def test_a_client_that_never_closes_its_side_holds_a_closed_connection_for_a_bounded_time(
    clients: ClientConnections,
) -> None:
    """Clients never close connections that are half-closed on this side. The oldest are ended where there
    are too many, and the others after the idle time-out."""
    made = [clients.connect() for _ in range(4)]
    serving = [await clients.serve(client) for client, _, _ in made]
    clients.clock.at += front.FIRST_MESSAGE_TIMEOUT_US
    clients.limiter.evaluate()  # all have said nothing in time; two may be half-closed at once
    await asyncio.wait_for(asyncio.gather(*serving[:2]), LIMIT)
    assert clients.limiter.half_closed_count == 2 and not any(task.done() for task in serving[2:])
    clients.clock.at += front.CLIENT_IDLE_TIMEOUT_US
    clients.limiter.evaluate()
    await asyncio.wait_for(asyncio.gather(*serving), LIMIT)
    assert clients.limiter.half_closed_count == 0


async def test_a_client_that_has_begun_to_write_gives_way_last_and_has_its_time() -> None:
    """A slow client has sent a part of its request when a new one needs a place. An idle connection is
    closed instead, and the slow one may finish its message."""
    clients = ClientConnections(most=2)
    (slow, slow_side, slow_socket), (idle, idle_side, _) = clients.connect(), clients.connect()
    for client, side in ((slow, slow_side), (idle, idle_side)):
        await clients.serve(client)
        side.message("probe", 1, lambda _: None)
        await until(lambda client=client: client in clients.limiter._idle)
    frame = Line()
    slow_side.raw = frame.add  # type: ignore[method-assign]
    slow_side.ask()
    whole = front.FRAME.pack(len(frame.items[0])) + frame.items[0]
    slow_socket.sendall(whole[:20])
    await until(lambda: slow.partial_since is not None)
    newcomer, _, _ = clients.connect()  # there is room for two
    assert [*clients.limiter._idle] == [slow] and newcomer in clients.limiter._silent
    clients.clock.at += front.CLIENT_IDLE_TIMEOUT_US
    slow.partial_since = clients.clock.at - 500 * MS
    clients.limiter.evaluate()
    slow_socket.sendall(whole[20:])
    assert (await clients.received(1)).client is slow
    await clients.supervisor.stop()


# Signals and the planned stop


def configuration() -> Configuration:
    told = {"name": "n0", "listen": "127.0.0.1:0", "seed": "8c", "board": "127.0.0.1:9",
            "limits": {"memory_mb": 192, "sockets": 1024}, "known": {"rev": 1, "notices": [
                {"rev": 1, "pool": {"all": True, "targets": []}}]}, "settings": settings()}  # fmt: skip
    return read_configuration(json.dumps(told))


async def test_a_connection_accepted_at_the_last_check_of_a_shutdown_is_seen_by_it() -> None:
    """A connection is accepted right before a shutdown checks for open work. It counts, though its task has
    not begun."""
    server = GatewayServer(configuration())
    await server.start()
    with socket.create_connection(server.address, LIMIT) as theirs:
        theirs.sendall(b"\0\0")
        assert server._listener is not None
        server._accept(server._listener)  # and no turn of the loop after it
        assert server._client_limiter.has_open_work()
    await server.stop()


async def test_a_stop_over_bytes_that_have_just_come_discards_no_answer() -> None:
    """The gateway stops when further bytes of a client have come. The client still reads its answer, and no
    reset discards it."""
    server = GatewayServer(configuration())
    await server.start()
    with socket.create_connection(server.address, LIMIT) as theirs:
        theirs.sendall(front.encode_health_probe(1))
        await until(lambda: server._client_limiter._idle)
        theirs.sendall(b"\0\1\0\0" + bytes(1 << 16))  # more than one read: the end comes before the rest
        stopping = asyncio.create_task(server.stop())
        answer = await asyncio.to_thread(read_all, theirs)  # a reset would raise
        assert front.decode_health_probe_reply(answer[front.FRAME.size :])
    await stopping


async def test_a_configuration_half_written_when_the_signal_comes_is_read_once_it_is_complete(
    world: World,
) -> None:
    """SIGHUP comes before the configuration is completely written. The gateway goes on with the old one,
    and takes the new one once it is complete."""
    await world.start()
    other = StandInDiscovery()
    await other.start()
    other.notices = list(world.board.notices)
    path = world.configure(board=f"127.0.0.1:{other.port}")
    whole = path.read_text()
    path.write_text(whole[: len(whole) // 2])
    assert world.program is not None
    world.program.send_signal(signal.SIGHUP)
    await world.log.until(lambda line: line.startswith("reload: configuration"))
    path.write_text(whole)
    await other.calls.until(lambda call: "watch=1&" in call.path)
    counters = await world.counters()
    assert counters["reloads"] == 1 and counters["reloads refused"] >= 1
    other.die()


SIGNALLED_WHILE_READING = """
import os, signal, sys
import lotusstream.cli as cli
read, times = cli.load, []
def load(path):
    times.append(1)
    configuration = read(path)
    os.kill(os.getpid(), signal.SIGHUP if len(times) == 1 else signal.SIGTERM)
    print("read", len(times), flush=True)
    return configuration
cli.load = load
sys.exit(cli.main(["serve", "--config", sys.argv[1]]))
"""


def test_a_signal_that_comes_while_the_configuration_is_read_has_it_read_again(world: World) -> None:
    """SIGHUP comes while the configuration is read at the start. It is read again, and no signal is
    lost."""
    words = [sys.executable, "-c", SIGNALLED_WHILE_READING, str(world.configure(0, board="127.0.0.1:9"))]
    ended = subprocess.run(words, capture_output=True, text=True, timeout=LIMIT)
    assert ended.returncode == 0 and ended.stdout == "read 1\nread 2\n", ended.stderr


# The list


@given(
    st.lists(
        st.tuples(
            st.booleans(), st.dictionaries(st.integers(0, 3), st.sampled_from(api.EndpointStatus), max_size=4)
        ),
        min_size=1,
        max_size=6,
    )
)
def test_merged_updates_have_the_effect_of_one_after_the_other(
    told: list[tuple[bool, dict[int, api.EndpointStatus]]],
) -> None:
    """Whatever updates come together, their merger leaves the same list as they do one by one."""

    def applied(
        events: list[discovery.EndpointListUpdate], listed: dict[bytes, api.EndpointStatus]
    ) -> dict[bytes, api.EndpointStatus]:
        for event in events:
            now = {each.entry.id: each.entry.status for each in event.endpoints}
            listed = now if event.is_snapshot else listed | now
        return listed

    events = [
        discovery.EndpointListUpdate(
            rev,
            whole,
            tuple(
                discovery.ListedEndpoint(endpoint_entry(name, status=state), None)
                for name, state in states.items()
            ),
            0,
        )
        for rev, (whole, states) in enumerate(told, 1)
    ]
    before = {bytes([name] * 6): api.EndpointStatus.READY for name in range(4)}
    assert applied([discovery.merge_updates(events)], before) == applied(events, before)


async def test_updates_that_came_together_are_reported_as_one() -> None:
    """One answer removes an endpoint and lists it again. It must not be dropped in between, with its
    connections."""
    told, supervisor = Line(), Supervisor()
    engines = DiscoveryActor(read_settings(7, settings()), Clock(), told.add, supervisor)
    one, other = (discovery.ListedEndpoint(endpoint_entry(name), ("127.0.0.1", name)) for name in (1, 2))
    events = tuple(
        discovery.EndpointListUpdate(rev, whole, listed, 0)
        for rev, whole, listed in ((1, True, (one, other)), (2, True, (other,)), (3, False, (one,)))
    )
    await engines.receive(discovery.WatchEvents(3, events))
    assert [(each.is_snapshot, set(each.endpoints)) for each in told.items] == [(True, {one, other})]
