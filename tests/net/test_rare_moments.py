"""Race conditions: a close, a response, a restart or a signal that arrives between two steps of the
gateway."""

from __future__ import annotations

import asyncio
import json
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
    WAIT_TIMEOUT_S,
    EventLog,
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
from scripted_endpoint import ScriptedEndpoint, read_call

from lotusstream import interface as api
from lotusstream.deployment import read_settings
from lotusstream.net.actor import Supervisor
from lotusstream.net.attempt_messages import AbortAttempt, RunAttempt
from lotusstream.net.client import ClientConnection, ClientReply
from lotusstream.net.client_limits import ClientConnectionLimiter
from lotusstream.net.client_memory import ClientMemory
from lotusstream.net.clock import Clock
from lotusstream.net.configuration import Configuration, read_configuration
from lotusstream.net.connection import Connection, ConnectionPool, SocketBudget
from lotusstream.net.decider import Decider
from lotusstream.net.discovery import DiscoveryActor
from lotusstream.net.endpoint import EndpointActor, EndpointListingChanged
from lotusstream.net.gateway import GatewayServer
from lotusstream.net.received_request import ReceivedRequest, RequestAbandoned
from lotusstream.net.statement_search import StatementSearch
from lotusstream.protocol import discovery, front, http

MS, S = 1_000, 1_000_000


class ManualClock(Clock):
    """A clock that stands still until a test sets `at`, in microseconds."""

    def __init__(self) -> None:
        super().__init__()
        self.at = super().now()

    def now(self) -> int:
        return self.at


# Endpoints: responses must reach the right attempt, and an outdated attempt must not be sent


class DuplicatingEndpoint(ScriptedEndpoint):
    """An endpoint that sends the response to each attempt a second time when the connection carries its next
    call. Such a duplicate is still in transit when the gateway checks the connection for readable bytes."""

    def __init__(self) -> None:
        super().__init__()
        self._late: dict[asyncio.StreamWriter, bytes] = {}  # duplicates to come

    async def _serve_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        method, attempt = await read_call(reader)
        answer = http_answer(200, f"{attempt}\t\t\n".encode(), Result_Pages=1, Query_Cost=1, Query_Need=1)
        writer.write(self._late.get(writer, b"") + answer)
        self._late[writer] = answer if method == "POST" else b""


def run_attempt(
    number: int, clock: Clock, is_awaited: Callable[[], bool] = lambda: True, time_left: int = 6 * S
) -> RunAttempt:
    now = clock.now()
    deadline = now + time_left
    return RunAttempt(
        1, number, now, deadline, deadline, f"{number:016x}", "lookup", b"SELECT", None, None, is_awaited
    )


async def test_duplicate_response_is_not_read_as_the_response_to_the_next_attempt() -> None:
    """A response arrives a second time some milliseconds later. If its connection were reused by then, the
    next attempt would read the duplicate, so a connection is not reused until that time has passed. If the
    duplicate arrives even later, it is recognized, and the result is fetched on a new connection."""
    duplicating, reports, clock, supervisor = DuplicatingEndpoint(), EventLog(), ManualClock(), Supervisor()
    endpoint = await duplicating.start()
    actor = EndpointActor(b"s-1", endpoint, SocketBudget(8), 250 * MS, 30 * S, clock, reports.add, supervisor)
    actor.start()
    for number in range(2):
        actor.post(run_attempt(number, clock))
        ended = await reports.until(lambda report, number=number: report.attempt == number)
        assert ended.rows == f"{number:016x}\t\t\n".encode()
    assert duplicating.connections == 2  # the first was not idle for long enough to be reused
    clock.at += http.DUPLICATE_RESPONSE_DELAY_US
    actor.post(run_attempt(2, clock))
    ended = await reports.until(lambda report: report.attempt == 2)
    assert ended.rows == f"{2:016x}\t\t\n".encode()
    assert duplicating.connections == 3 and supervisor.counters["answers of other calls"] == 1
    await supervisor.stop()


async def test_attempt_past_its_deadline_is_not_sent_on_an_idle_connection() -> None:
    """Taking an idle connection awaits nothing, and the timeout around the attempt fires only at the first
    await. On a busy core requests were sent up to 0.2 s past their deadline, with a time limit of 1 ms."""
    stand_in, reports, clock, supervisor = StandInEndpoint("s-1"), EventLog(), ManualClock(), Supervisor()
    await stand_in.start()
    endpoint = ("127.0.0.1", stand_in.port)
    actor = EndpointActor(b"s-1", endpoint, SocketBudget(8), 250 * MS, 30 * S, clock, reports.add, supervisor)
    actor.start()
    actor.post(run_attempt(0, clock))
    await reports.until(lambda report: report.attempt == 0)
    clock.at += http.DUPLICATE_RESPONSE_DELAY_US
    actor.post(replace(run_attempt(1, clock), deadline=clock.at))
    ended = await reports.until(lambda report: report.attempt == 1)
    assert ended.outcome is api.Outcome.MOOT and len(stand_in.posts()) == 1
    await supervisor.stop()
    stand_in.close()


@pytest.fixture
async def connecting(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Any]:
    """An attempt whose connection is not returned by the pool until `up` is set."""
    stand_in, reports, supervisor, budget = StandInEndpoint("s-1"), EventLog(), Supervisor(), SocketBudget(8)
    await stand_in.start()
    asked, up, get = asyncio.Event(), asyncio.Event(), ConnectionPool.get

    async def slow(pool: ConnectionPool, **more: bool) -> Connection:
        connection = await get(pool, **more)
        asked.set()
        await up.wait()
        return connection

    monkeypatch.setattr(ConnectionPool, "get", slow)
    endpoint = ("127.0.0.1", stand_in.port)
    actor = EndpointActor(b"s-1", endpoint, budget, 250 * MS, 30 * S, Clock(), reports.add, supervisor)
    actor.start()
    context = SimpleNamespace(
        actor=actor, is_awaited=True, up=up, reports=reports, stand_in=stand_in, budget=budget
    )
    actor.post(run_attempt(0, Clock(), lambda: context.is_awaited))
    await asyncio.wait_for(asked.wait(), WAIT_TIMEOUT_S)
    yield context
    await supervisor.stop()
    stand_in.close()


async def drain_mailbox(actor: EndpointActor) -> None:
    while len(actor.mailbox):
        await asyncio.sleep(0)


async def test_attempt_is_not_sent_if_its_client_disconnects_while_connecting(connecting: Any) -> None:
    """A client disconnects while the connection for its attempt is opened. Nothing is sent, although the
    decision module has not cancelled the attempt."""
    connecting.is_awaited = False
    connecting.up.set()
    ended = await connecting.reports.until(lambda report: True)
    assert ended.outcome is api.Outcome.MOOT and not connecting.stand_in.calls.items


async def test_attempt_is_not_sent_if_its_endpoint_restarts_while_connecting(
    connecting: Any,
) -> None:
    """An endpoint restarts while the connection for an attempt is opened. The attempt was meant for the
    earlier incarnation and must not be sent; the next attempt is sent."""
    connecting.actor.post(EndpointListingChanged(is_ready=True, restarted=True))
    await drain_mailbox(connecting.actor)
    connecting.up.set()
    ended = await connecting.reports.until(lambda report: True)
    assert ended.outcome is api.Outcome.MOOT and not connecting.stand_in.calls.items
    connecting.actor.post(run_attempt(1, Clock()))  # started after the restart was known
    assert (
        await connecting.reports.until(lambda report: report.attempt == 1)
    ).outcome is api.Outcome.ANSWERED


async def test_attempt_cancelled_while_connecting_is_reported_as_not_executed(connecting: Any) -> None:
    """An attempt is cancelled while its connection is opened, so nothing was sent. Unless its outcome proves
    that, a request that is not idempotent could not be retried."""
    connecting.actor.post(AbortAttempt(1, 0))
    ended = await connecting.reports.until(lambda report: True)
    assert ended.outcome in api.PROVES_NOT_EXECUTED and not connecting.stand_in.calls.items


async def test_attempt_that_times_out_while_connecting_is_reported_as_not_executed(connecting: Any) -> None:
    """The deadline of an attempt passes while its connection is opened. Nothing was sent, so its outcome must
    prove that it was not executed."""
    connecting.actor.post(run_attempt(1, Clock(), time_left=20 * MS))
    ended = await connecting.reports.until(lambda report: report.attempt == 1)
    assert ended.outcome in api.PROVES_NOT_EXECUTED and not connecting.stand_in.calls.items


@pytest.fixture
async def unreachable() -> AsyncIterator[Any]:
    """An attempt without hedging whose connection broke and whose endpoint refuses new connections. The
    timeout for connecting, also the pause between two calls, is long enough for a busy machine."""
    stand_in, reports, supervisor, clock = StandInEndpoint("s-1"), EventLog(), Supervisor(), ManualClock()
    await stand_in.start()
    stand_in.behavior, budget = "is silent", SocketBudget(8)
    endpoint = ("127.0.0.1", stand_in.port)
    actor = EndpointActor(
        b"s-1", endpoint, budget, 250 * MS, 30 * S, clock, reports.add, supervisor, allows_hedging=False
    )
    actor.start()
    actor.post(run_attempt(0, clock))
    await stand_in.calls.until(lambda call: call.method == "POST")
    stand_in.crash()
    await wait_until(lambda: supervisor.counters["calls not connected"] > 2)
    yield SimpleNamespace(actor=actor, stand_in=stand_in, reports=reports, clock=clock)
    await supervisor.stop()
    stand_in.close()


async def test_without_hedging_a_refused_attempt_ends_only_after_its_cancellation_is_accepted(
    unreachable: Any,
) -> None:
    """The endpoint refuses connections because it has too many. The attempt may still run there, and a retry
    would run beside it, so it ends only once the endpoint has accepted its cancellation."""
    assert not unreachable.reports.items
    await unreachable.stand_in.start(unreachable.stand_in.port)  # the endpoint accepts connections again
    ended = await unreachable.reports.until(lambda report: True)
    assert ended.outcome is api.Outcome.RESET
    assert [call.method for call in unreachable.stand_in.calls.items] == ["POST", "DELETE"]


async def test_without_hedging_an_unreachable_attempt_ends_once_its_endpoint_abandons_it(
    unreachable: Any,
) -> None:
    """The endpoint can't be reached. The attempt must not end before the time after which an endpoint
    abandons an attempt without status calls, since it may run until then."""
    unreachable.clock.at += http.ABANDONED_AFTER_US
    assert not unreachable.reports.items
    unreachable.clock.at += http.STATUS_LONG_POLL_US
    assert (await unreachable.reports.until(lambda report: True)).outcome is api.Outcome.RESET


async def test_without_hedging_an_unreachable_attempt_ends_if_its_endpoint_restarts(unreachable: Any) -> None:
    """The endpoint can't be reached, and the endpoint list shows that it restarted. The attempt ended with
    the old process, so waiting longer would only delay the retry."""
    unreachable.actor.post(EndpointListingChanged(is_ready=True, restarted=True))
    assert (await unreachable.reports.until(lambda report: True)).outcome is api.Outcome.RESET


async def test_without_hedging_a_cancelled_attempt_does_not_end_before_its_endpoint_is_reached(
    unreachable: Any,
) -> None:
    """An attempt is cancelled while its endpoint can't be reached. It may still run there, so it ends only
    once the endpoint has accepted the cancellation."""
    unreachable.actor.post(AbortAttempt(1, 0))
    await drain_mailbox(unreachable.actor)
    assert not unreachable.reports.items
    await unreachable.stand_in.start(unreachable.stand_in.port)
    ended = await unreachable.reports.until(lambda report: True)
    assert ended.outcome is api.Outcome.CANCELLED
    assert "DELETE" in [call.method for call in unreachable.stand_in.calls.items]


@pytest.mark.parametrize("allowed", [False, True])
async def test_endpoint_actors_allow_hedging_as_the_settings_say(allowed: bool) -> None:
    """If actors ignored the setting `second_copies`, two attempts of a request could run at once although the
    deployment forbids it."""
    raw_settings, supervisor = settings(), Supervisor()
    raw_settings["limits"] = raw_settings["limits"] | {"second_copies": allowed}  # type: ignore[operator]
    decider = Decider(read_settings(7, raw_settings), SocketBudget(8), 1 << 20, Clock(), supervisor)
    decider.start()
    decider.post(
        discovery.EndpointListUpdate(
            1, True, (discovery.ListedEndpoint(endpoint_entry(1), ("127.0.0.1", 9)),), 0
        )
    )
    await wait_until(lambda: decider.has_endpoint_list)
    actor = decider._endpoints.actor(endpoint_entry(1).id)
    assert actor is not None and actor.allows_hedging == allowed
    await supervisor.stop()


def test_no_retry_if_connecting_could_outlast_the_deduplication_window() -> None:
    """Endpoints remember an idempotency key for 5 s. A retry that reached one after that would be executed a
    second time, so it is not made if its connection could take that long."""
    capabilities = api.Capabilities(
        4, True, True, False, False, True, 500 * MS, False, connect_timeout=250 * MS
    )
    # `time_left`: from the end of the first attempt until 5 s after its start.
    for time_left, is_retried in ((200 * MS, False), (400 * MS, True)):
        host = PolicyHost(capabilities=capabilities)
        host.list_endpoints(endpoint_entry(1), endpoint_entry(2))
        request = host.receive(profile=3)
        host.end_attempt(request, api.Outcome.RESET, after=5 * S - time_left)
        assert len(host.attempts(request)) == 1 + is_retried


# Clients: disconnects, replies to reused sequence numbers, and requests that cross a close


def connected_sockets() -> tuple[socket.socket, socket.socket]:
    """Returns both ends of a TCP connection; the first is non-blocking."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname(), WAIT_TIMEOUT_S)
        ours, _ = listener.accept()
    ours.setblocking(False)
    return ours, theirs


class ClientConnections:
    """Client connections on real sockets, without a decider. `reports` collects what they report to it."""

    def __init__(self, max_clients: int = 8) -> None:
        self.supervisor, self.reports, self.clock = Supervisor(), EventLog(), ManualClock()
        self.deployment = read_settings(7, settings())
        self.limiter = ClientConnectionLimiter(max_clients, 2, self.clock, self.supervisor)
        self.memory = ClientMemory(8 << 20, self.supervisor.counters)

    def connect(self) -> tuple[ClientConnection, StandInClient, socket.socket]:
        ours, theirs = connected_sockets()
        client = ClientConnection(
            ours, self.deployment, self.clock, self.reports.add, lambda: True, self.memory, self.limiter,
            StatementSearch(), self.supervisor,
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
    connections = ClientConnections()
    yield connections
    await connections.supervisor.stop()


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


def read_all(sock: socket.socket) -> bytes:
    """Reads until the other side closes. Raises ConnectionResetError if it resets the connection."""
    received = b""
    while part := sock.recv(65536):
        received += part
    return received


async def test_request_is_not_awaited_once_an_unread_close_has_arrived(clients: ClientConnections) -> None:
    """A client closes its connection, and the event loop has not read the close yet. If the request still
    counted as awaited, an attempt could be sent for a client that is gone."""
    client, stand_in, theirs = clients.connect()
    await clients.serve(client)
    stand_in.ask()
    request = await clients.received(1)
    assert request.is_awaited()
    theirs.close()
    began = time.monotonic()
    while request.is_awaited():  # without yielding to the loop, so the gateway can't read the close
        assert time.monotonic() - began < WAIT_TIMEOUT_S


async def test_withdrawn_request_is_not_awaited_before_the_next_batch(
    clients: ClientConnections,
) -> None:
    """A client withdraws its request. If it counted as awaited until the decider's next batch, an attempt
    could be sent in between."""
    client, stand_in, _ = clients.connect()
    await clients.serve(client)
    stand_in.give_up(stand_in.ask())
    request = await clients.received(1)
    await clients.reports.until(lambda report: isinstance(report, RequestAbandoned))
    assert request.closed and not request.is_awaited()


async def test_answer_to_a_withdrawn_request_is_not_written_for_a_reused_sequence_number(
    clients: ClientConnections,
) -> None:
    """A client withdraws a request and reuses its sequence number. The client would take the answer to the
    withdrawn request for the answer to the new one, so it must not be written."""
    client, stand_in, theirs = clients.connect()
    await clients.serve(client)
    stand_in.give_up(stand_in.ask())
    stand_in.seqid = 0
    stand_in.ask()
    first, second = await clients.received(1), await clients.received(2)
    assert first.seqid == second.seqid == 1
    client.post(ClientReply(front.encode_answer("process", 1, b"first\t\t\n", True), first))
    client.post(ClientReply(front.encode_answer("process", 1, b"second\t\t\n", True), second))
    await wait_until(lambda: not client.open_requests and not client._is_writing)
    assert client.half_close()
    assert b"second" in (came := read_all(theirs)) and b"first" not in came


async def test_request_that_crosses_an_idle_close_is_dropped_without_a_reset(
    clients: ClientConnections,
) -> None:
    """A client sends a request while its connection is closed as idle. The request must be dropped, since the
    client resends it elsewhere. A reset would discard the last answer, which the client has not read yet."""
    client, stand_in, theirs = clients.connect()
    serving = await clients.serve(client)
    stand_in.ask()
    request = await clients.received(1)
    client.post(ClientReply(front.encode_answer("process", 1, b"1\t2\t3\n", True), request))
    await wait_until(lambda: not client.open_requests and not client._is_writing)
    assert client.half_close()
    stand_in.ask()  # the client has neither seen the close nor read its answer yet
    await wait_until(lambda: serving.done() or not client.has_unread_bytes())
    assert b"1\t2\t3\n" in read_all(theirs)  # the last answer, and then the end
    stand_in.ask()  # raises if the gateway has reset the connection
    assert len(clients.reports.items) == 1 and not serving.done()
    theirs.close()
    await asyncio.wait_for(serving, WAIT_TIMEOUT_S)


async def test_half_closed_connections_are_limited_in_number_and_time(
    clients: ClientConnections,
) -> None:
    """Clients never close their side of connections that the gateway has half-closed, which would use up its
    descriptors. If more are half-closed than the limit allows, the oldest are closed at once; the others are
    closed after the idle timeout."""
    connections = [clients.connect() for _ in range(4)]
    serving = [await clients.serve(client) for client, _, _ in connections]
    clients.clock.at += front.FIRST_MESSAGE_TIMEOUT_US
    clients.limiter.evaluate()  # no client has sent a message in time; two may be half-closed at once
    await asyncio.wait_for(asyncio.gather(*serving[:2]), WAIT_TIMEOUT_S)
    assert clients.limiter.half_closed_count == 2 and not any(task.done() for task in serving[2:])
    clients.clock.at += front.CLIENT_IDLE_TIMEOUT_US
    clients.limiter.evaluate()
    await asyncio.wait_for(asyncio.gather(*serving), WAIT_TIMEOUT_S)
    assert clients.limiter.half_closed_count == 0


async def test_connection_with_a_partial_message_is_closed_last_for_a_new_one() -> None:
    """A slow client has sent a part of its request when a new connection needs its descriptor. An idle
    connection is closed instead, and the slow client may finish its message."""
    clients = ClientConnections(max_clients=2)
    (slow, slow_side, slow_socket), (idle, idle_side, _) = clients.connect(), clients.connect()
    for client, side in ((slow, slow_side), (idle, idle_side)):
        await clients.serve(client)
        side.message("probe", 1, lambda _: None)
        await wait_until(lambda client=client: client in clients.limiter._idle)
    frame = EventLog()
    slow_side.raw = frame.add  # type: ignore[method-assign]
    slow_side.ask()
    request = front.FRAME.pack(len(frame.items[0])) + frame.items[0]
    slow_socket.sendall(request[:20])
    await wait_until(lambda: slow.partial_since is not None)
    newcomer, _, _ = clients.connect()  # the limit is two clients
    assert [*clients.limiter._idle] == [slow] and newcomer in clients.limiter._silent
    clients.clock.at += front.CLIENT_IDLE_TIMEOUT_US
    slow._receiver.partial_since = clients.clock.at - 500 * MS
    clients.limiter.evaluate()
    slow_socket.sendall(request[20:])
    assert (await clients.received(1)).client is slow
    await clients.supervisor.stop()


# Signals and graceful shutdown


def configuration() -> Configuration:
    raw = {"name": "n0", "listen": "127.0.0.1:0", "seed": "8c", "board": "127.0.0.1:9",
            "limits": {"memory_mb": 192, "sockets": 1024}, "known": {"rev": 1, "notices": [
                {"rev": 1, "pool": {"all": True, "targets": []}}]}, "settings": settings()}  # fmt: skip
    return read_configuration(json.dumps(raw))


async def test_connection_accepted_just_before_a_shutdown_check_counts_as_open_work() -> None:
    """A connection is accepted right before a shutdown checks for open work. If it counted only once its task
    has begun, the gateway would stop without reading its request."""
    server = GatewayServer(configuration())
    await server.start()
    with socket.create_connection(server.address, WAIT_TIMEOUT_S) as theirs:
        theirs.sendall(b"\0\0")
        assert server._listener is not None
        server._accept(server._listener)  # the client's task begins when the event loop runs next
        assert server._client_limiter.has_open_work()
    await server.stop()


async def test_stop_with_unread_bytes_does_not_discard_the_last_answer() -> None:
    """The gateway stops while received bytes of a client are unread. Closing the socket would send a reset,
    which would discard the answer that the client has not read yet."""
    server = GatewayServer(configuration())
    await server.start()
    with socket.create_connection(server.address, WAIT_TIMEOUT_S) as theirs:
        theirs.sendall(front.encode_health_probe(1))
        await wait_until(lambda: server._client_limiter._idle)
        theirs.sendall(b"\0\1\0\0" + bytes(1 << 16))  # needs several reads, so the stop finds unread bytes
        stopping = asyncio.create_task(server.stop())
        answer = await asyncio.to_thread(read_all, theirs)  # a reset would raise
        assert front.decode_health_probe_reply(answer[front.FRAME.size :])
    await stopping


async def test_half_written_configuration_is_applied_once_it_is_complete(
    world: World,
) -> None:
    """SIGHUP arrives before the configuration file is completely written. The gateway keeps the old one and
    must apply the new one once it is complete, although no second signal arrives."""
    await world.start()
    other = StandInDiscovery()
    await other.start()
    other.notices = list(world.discovery.notices)
    path = world.configure(board=f"127.0.0.1:{other.port}")
    complete_text = path.read_text()
    path.write_text(complete_text[: len(complete_text) // 2])
    assert world.program is not None
    world.program.send_signal(signal.SIGHUP)
    await world.log.until(lambda line: line.startswith("reload: configuration"))
    path.write_text(complete_text)
    await other.calls.until(lambda call: "watch=1&" in call.path)
    counters = await world.counters()
    assert counters["reloads"] == 1 and counters["reloads refused"] >= 1
    other.close()


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


def test_signal_while_the_configuration_is_read_at_startup_is_not_lost(world: World) -> None:
    """SIGHUP arrives while the configuration is read at startup, so what was read may be outdated. It is read
    again, and the SIGTERM during the second reading ends the program."""
    arguments = [sys.executable, "-c", SIGNALLED_WHILE_READING, str(world.configure(0, board="127.0.0.1:9"))]
    ended = subprocess.run(arguments, capture_output=True, text=True, timeout=WAIT_TIMEOUT_S)
    assert ended.returncode == 0 and ended.stdout == "read 1\nread 2\n", ended.stderr


# The endpoint list


@given(
    st.lists(
        st.tuples(
            st.booleans(), st.dictionaries(st.integers(0, 3), st.sampled_from(api.EndpointStatus), max_size=4)
        ),
        min_size=1,
        max_size=6,
    )
)
def test_merged_updates_have_the_same_effect_as_applying_each_in_order(
    update_specs: list[tuple[bool, dict[int, api.EndpointStatus]]],
) -> None:
    """Updates of one poll response are merged. A wrong merge would leave removed endpoints in the list, or
    lose listed ones. Checked for random snapshots and deltas."""

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
            is_snapshot,
            tuple(
                discovery.ListedEndpoint(endpoint_entry(name, status=state), None)
                for name, state in states.items()
            ),
            0,
        )
        for rev, (is_snapshot, states) in enumerate(update_specs, 1)
    ]
    before = {bytes([name] * 6): api.EndpointStatus.READY for name in range(4)}
    assert applied([discovery.merge_updates(events)], before) == applied(events, before)


async def test_updates_of_one_poll_response_are_reported_as_one() -> None:
    """One poll response removes an endpoint and lists it again. If its updates were reported one by one, the
    gateway would drop the endpoint and its connections before the second is reported."""
    reports, supervisor = EventLog(), Supervisor()
    actor = DiscoveryActor(read_settings(7, settings()), Clock(), reports.add, supervisor)
    one, other = (discovery.ListedEndpoint(endpoint_entry(name), ("127.0.0.1", name)) for name in (1, 2))
    events = tuple(
        discovery.EndpointListUpdate(rev, is_snapshot, listed, 0)
        for rev, is_snapshot, listed in ((1, True, (one, other)), (2, True, (other,)), (3, False, (one,)))
    )
    await actor.receive(discovery.WatchEvents(3, events))
    assert [(each.is_snapshot, set(each.endpoints)) for each in reports.items] == [(True, {one, other})]
