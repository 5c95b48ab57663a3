"""Single modules of `net` and `protocol` with stand-ins, and the error messages of the command line."""

from __future__ import annotations

import asyncio
import json
import resource
import socket
import sys
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from conftest import (
    WAIT_TIMEOUT_S,
    EventLog,
    RequestFailedError,
    StandInClient,
    StandInEndpoint,
    World,
    settings,
)

from lotusstream import interface as api
from lotusstream.cli import main
from lotusstream.deployment import read_settings
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.attempt_messages import AbortAttempt, AttemptFinished, ChangePriority, RunAttempt
from lotusstream.net.buffer import Buffer, BufferFullError
from lotusstream.net.client import ClientConnection, ClientReply
from lotusstream.net.client_limits import ClientConnectionLimiter
from lotusstream.net.client_memory import ClientMemory
from lotusstream.net.clock import Clock
from lotusstream.net.connection import Connection, ConnectionPool, NoDescriptorError, SocketBudget
from lotusstream.net.decider import Decider
from lotusstream.net.endpoint import EndpointActor, EndpointListingChanged
from lotusstream.net.received_request import ReceivedRequest, RequestAbandoned
from lotusstream.net.statement_search import StatementSearch
from lotusstream.policy import Gateway
from lotusstream.protocol import front
from lotusstream.protocol.http import HttpResponse, HttpResponseReader
from lotusstream.protocol.tables import table_group


@pytest.mark.parametrize(
    ("statement", "group"),
    [
        ("SELECT a FROM sales_17.orders", 17),
        ("SELECT 'from lake_0.decoy' FROM sales_2.t", 2),
        ("SELECT 'it''s from lake_0.decoy' FROM sales_2.t", 2),
        ("SELECT a -- from lake_0.decoy\nFROM sales_2.t", 2),
        ("SELECT a /* from lake_0.decoy * / ** */ FROM sales_2.t", 2),
        ("SELECT '/*' FROM sales_2.t -- '", 2),
        ('SELECT a FROM "sales_2"."t"', 2),
        ('SELECT "lake_0.decoy" FROM sales_2.t', 2),
        ("INSERT INTO mart_5.stock SELECT * FROM staging.batch_9", 5),
        ("merge into lake_6.e d using staging.delta_1 s on d.id = s.id", 6),
        ("SELECT t_1.x, u_9.y FROM sales_3.a t_1, sales_3.b u_9", 3),
        ("SELECT a.x FROM staging.s a_1 JOIN sales_4 . b ON a_1.id = b.id", 4),
        ("UPDATE big_mart_12.t SET a = 1", 12),
        ("COPY ops_8.t FROM stdin", 8),
        ("SELECT 1", None),
        ("SELECT a FROM staging.t_1", None),
        ("SELECT 'sales_1.t", None),
        ("SELECT a FROM sales_99999999999.t", None),
    ],
)
def test_table_group_is_taken_from_the_schema_of_the_table_read_or_written(
    statement: str, group: int | None
) -> None:
    """A literal, a comment, an alias or the staging schema can look like the table that is read or written. A
    group taken from one of them would send the request to the wrong endpoints."""
    assert table_group(statement) == group


@pytest.mark.parametrize("piece", ["'", '"', "/*", "*", "--", "a.", "''", '""', "_1", "("])
def test_adversarial_statement_is_scanned_in_linear_time(piece: str) -> None:
    """A client sends a long statement on which a scan with backtracking takes quadratic time, which would
    block the event loop for all clients."""
    began = time.process_time()
    table_group("SELECT " + piece * 60_000)
    assert time.process_time() - began < 5


def test_interim_response_is_skipped_and_its_connection_is_not_reused() -> None:
    """An endpoint sends an interim response (1xx) before the final one. If the gateway took it for the
    final one, the call would end without a result."""
    reader = HttpResponseReader(100)
    reader.feed(memoryview(b"HTTP/1.1 102 Processing\r\nResult-Page: 1\r\n\r\n"))
    assert reader.response is None
    reader.feed(memoryview(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"))
    assert reader.response == HttpResponse(200, {"content-length": "1"}, b"a", connection_reusable=False)


def test_buffer_is_compacted_then_grows_to_its_limit_then_raises() -> None:
    """A message without an end must not use unbounded memory: the buffer reuses consumed space, grows to its
    limit and then raises."""
    buffer = Buffer(4, 8)
    buffer.space()[:] = b"abcd"
    buffer.filled(4)
    buffer.consume(3)
    assert len(buffer.space()) == 3 and bytes(buffer.data()) == b"d"
    buffer.filled(3)
    assert len(buffer.space()) == 4
    buffer.filled(4)
    with pytest.raises(BufferFullError):
        buffer.space()
    buffer.consume(8)
    assert len(buffer.space()) == 4


def test_step_of_the_system_clock_does_not_change_the_gateway_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """The system clock is set back while the gateway runs. If the gateway's clock followed, all deadlines
    would be wrong."""
    clock = Clock()
    before = clock.now()
    assert abs(before - time.time_ns() // 1000) < 1_000_000
    monkeypatch.setattr(time, "time_ns", lambda: 0)
    assert 0 <= clock.now() - before < 1_000_000


async def test_actor_handles_the_next_message_after_one_that_raises() -> None:
    """Handling a message raises. The failure is counted, and it must not end the actor's task."""
    seen: list[int] = []
    done = asyncio.Event()

    class Fragile(Actor[int]):
        async def receive(self, message: int) -> None:
            seen.append(message)
            if message == 1:
                raise ValueError("one")
            done.set()

    supervisor = Supervisor()
    actor = Fragile("fragile", supervisor)
    actor.start()
    actor.post(1)
    actor.post(2)
    await asyncio.wait_for(done.wait(), WAIT_TIMEOUT_S)
    await supervisor.stop()
    assert seen == [1, 2] and supervisor.counters["failed tasks"] == 1


async def test_restarting_task_is_restarted_after_it_fails() -> None:
    """A task that has to run as long as the gateway raises once. Unless it is restarted, its work stops."""
    tries: list[int] = []
    done = asyncio.Event()

    async def work() -> None:
        tries.append(1)
        if len(tries) == 1:
            raise OSError("once")
        done.set()

    supervisor = Supervisor()
    supervisor.start_restarting("work", work)
    await asyncio.wait_for(done.wait(), WAIT_TIMEOUT_S)
    await supervisor.stop()


async def test_reserved_descriptors_are_available_to_cancellations_only() -> None:
    """All descriptors for attempts are in use. A cancellation still gets a reserved one, until those are used
    up too; otherwise a gateway at its limit could not cancel anything."""
    budget = SocketBudget(8)
    for _ in range(7):
        budget.acquire(False)
    with pytest.raises(NoDescriptorError):
        budget.acquire(False)
    budget.acquire(True)
    with pytest.raises(NoDescriptorError):
        await Connection.open(("127.0.0.1", 1), 1000, budget, 0, may_use_reserve=True)


async def test_request_that_crosses_the_half_close_of_an_idle_connection_is_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client sends a request at the moment when its idle connection is half-closed. The client resends it
    elsewhere, so if it were admitted here too it would run twice."""
    supervisor, deployment, reports = Supervisor(), read_settings(7, settings()), EventLog()
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    limiter = ClientConnectionLimiter(2, 2, Clock(), supervisor)
    client = ClientConnection(
        ours,
        deployment,
        Clock(),
        reports.add,
        lambda: True,
        ClientMemory(64 << 20, supervisor.counters),
        limiter,
        StatementSearch(),
        supervisor,
    )
    assert limiter.admit(client)
    serving = asyncio.create_task(client.serve())
    theirs.sendall(front.encode_health_probe(1))
    while not limiter._idle or client._is_writing or len(client.mailbox):
        await asyncio.sleep(0)
    stand_in = StandInClient()
    stand_in.raw = lambda frame: theirs.sendall(front.FRAME.pack(len(frame)) + frame)  # type: ignore[method-assign]
    stand_in.ask()
    # As if the request arrived just after `half_close` checked for unread bytes.
    monkeypatch.setattr(client, "has_unread_bytes", lambda: False)
    assert client.half_close()
    theirs.shutdown(socket.SHUT_WR)  # `serve` reads and drops bytes until the client closes
    await asyncio.wait_for(serving, WAIT_TIMEOUT_S)
    assert not reports.items
    await supervisor.stop()


class Client:
    """A fake client connection that collects the replies posted to it."""

    def __init__(self) -> None:
        self.replies: list[ClientReply] = []
        self.posted = asyncio.Event()

    def post(self, reply: ClientReply) -> None:
        self.replies.append(reply)
        self.posted.set()

    def has_disconnected(self) -> bool:
        return False


@pytest.fixture
async def gateway() -> Any:
    """A decider without endpoints, and one fake client."""
    supervisor = Supervisor()
    decider = Decider(read_settings(7, settings()), SocketBudget(8), 1 << 20, Clock(), supervisor)
    decider.start()
    context = SimpleNamespace(decider=decider, client=Client(), supervisor=supervisor, clock=Clock())
    yield context
    await supervisor.stop()


def received(gateway: Any, seqid: int, timeout: int = 6_000_000) -> ReceivedRequest:
    fields = front.RequestFields(0, f"{seqid:016x}", timeout, None, None, None)
    now = gateway.clock.now()
    return ReceivedRequest(gateway.client, seqid, fields, 3, b"SELECT", now + timeout, now)


async def test_every_open_request_gets_a_reply_if_the_decision_module_raises(
    gateway: Any, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The decision module raises and its state is lost. Each open request must still get a reply, and a new
    module must decide on the next request."""
    request = received(gateway, 1)
    gateway.decider.post(request)
    handle = Gateway.handle

    def broken(self: Gateway, now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.RequestReceived) and event.group == 13:
            raise IndexError("out of range")
        return handle(self, now, event)

    monkeypatch.setattr(Gateway, "handle", broken)
    bad = received(gateway, 2)
    bad.group = 13
    gateway.decider.post(bad)
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while len(gateway.client.replies) < 2:
            gateway.client.posted.clear()
            await gateway.client.posted.wait()
    assert [reply.request for reply in gateway.client.replies] == [request, bad]
    assert (
        gateway.supervisor.counters["failed lookup"] == 2
        and "RequestReceived(request_id=2" in capsys.readouterr().err
    )
    gateway.client.posted.clear()
    gateway.decider.post(received(gateway, 3, 10_000))  # the new module rejects it: too little time is left
    await asyncio.wait_for(gateway.client.posted.wait(), WAIT_TIMEOUT_S)
    assert gateway.supervisor.counters["shed lookup"] == 1


async def test_end_of_an_attempt_that_is_not_in_flight_is_ignored(
    gateway: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of an attempt is reported although the attempt is not in flight, for example a second time. The
    decision module must not be notified, and the gateway must keep deciding on requests."""
    # As in a release run (`python -O`), where a broken invariant does not raise.
    monkeypatch.setattr(gateway.supervisor.invariants, "check", lambda name, holds: holds)
    gateway.decider.post(AttemptFinished(9, 0, b"s-1", api.Outcome.ANSWERED, 10, rows=b""))
    gateway.decider.post(RequestAbandoned(received(gateway, 4)))
    gateway.decider.post(received(gateway, 5, 10_000))
    await asyncio.wait_for(gateway.client.posted.wait(), WAIT_TIMEOUT_S)
    assert [reply.request.seqid for reply in gateway.client.replies] == [5]


async def test_request_without_a_decision_fails_once_at_its_deadline(
    gateway: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The decision module loses a request and never decides on it. The client must get one failure at its
    deadline, and the module an event that the client has stopped waiting."""
    # As in a release run (`python -O`), where a broken invariant does not raise.
    monkeypatch.setattr(gateway.supervisor.invariants, "check", lambda name, holds: holds)
    disconnected: list[int] = []

    def handle_without_deciding(self: Gateway, now: int, event: api.Event) -> list[api.Action]:
        disconnected.extend([event.request_id] if isinstance(event, api.ClientDisconnected) else [])
        return []

    monkeypatch.setattr(Gateway, "handle", handle_without_deciding)
    gateway.decider.post(received(gateway, 1, 50_000))
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not gateway.client.replies:
            gateway.decider.evaluate()
            await asyncio.sleep(0)
        while not disconnected:
            await asyncio.sleep(0)
    assert len(gateway.client.replies) == 1 and disconnected == [1]


async def test_second_request_with_the_call_id_of_an_open_one_fails_at_once(gateway: Any) -> None:
    """A client reuses the call id of an open request. Endpoints identify attempts by call id, so attempts of
    both requests would be confused."""
    gateway.decider.post(received(gateway, 6))
    again = received(gateway, 6)
    gateway.decider.post(again)
    await asyncio.wait_for(gateway.client.posted.wait(), WAIT_TIMEOUT_S)
    assert [reply.request for reply in gateway.client.replies] == [again]


@pytest.fixture
async def endpoint() -> Any:
    """An endpoint actor and the stand-in endpoint that it calls. `reports` collects what the actor
    reports."""
    supervisor, stand_in, reports = Supervisor(), StandInEndpoint("s-1"), EventLog()
    await stand_in.start()
    stand_in.behavior = "holds"
    address = ("127.0.0.1", stand_in.port)
    budget = SocketBudget(8)
    actor = EndpointActor(b"s-1", address, budget, 250_000, 30_000_000, Clock(), reports.add, supervisor)
    actor.start()
    yield SimpleNamespace(actor=actor, stand_in=stand_in, reports=reports, budget=budget)
    await supervisor.stop()
    stand_in.close()


def run_attempt(number: int = 0, time_left: int = 6_000_000) -> RunAttempt:
    now = Clock().now()
    return RunAttempt(
        1, number, now, now + time_left, now + time_left, "0" * 16, "lookup", b"SELECT", None, None
    )


async def test_priority_change_reaches_the_endpoint_during_a_long_poll(endpoint: Any) -> None:
    """The endpoint holds the status call of an attempt open. A priority change sent on the same connection
    would wait behind it, so it uses another one."""
    endpoint.actor.post(run_attempt())
    await endpoint.stand_in.calls.until(lambda call: call.method == "GET")
    endpoint.actor.post(ChangePriority(1, 0, 3))
    put = await endpoint.stand_in.calls.until(lambda call: call.method == "PUT")
    assert put.body == b"3" and put.path == "/x/" + "0" * 16


async def test_attempt_is_not_sent_if_its_endpoint_starts_draining_while_connecting(
    endpoint: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The endpoint starts to drain while the connection for an attempt is opened. Nothing must be sent to it,
    and the attempt ends as not executed."""
    asked, up, get = asyncio.Event(), asyncio.Event(), ConnectionPool.get

    async def slow(pool: ConnectionPool) -> Connection:
        asked.set()
        await up.wait()
        return await get(pool)

    monkeypatch.setattr(ConnectionPool, "get", slow)
    endpoint.actor.post(run_attempt())
    await asyncio.wait_for(asked.wait(), WAIT_TIMEOUT_S)
    endpoint.actor.post(EndpointListingChanged(is_ready=False, restarted=False))
    while len(endpoint.actor.mailbox):
        await asyncio.sleep(0)
    up.set()
    ended = await endpoint.reports.until(lambda report: True)
    assert ended.outcome is api.Outcome.MOOT and not endpoint.stand_in.calls.items


async def test_unexpected_error_in_an_attempt_ends_only_that_attempt(
    endpoint: Any, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Encoding an attempt's HTTP request raises an unexpected error. The attempt must still end and release
    its connection, and the next attempt must run."""

    def broken(*_: object) -> None:
        raise ZeroDivisionError

    with monkeypatch.context() as patch:
        patch.setattr("lotusstream.protocol.http.attempt_headers", broken)
        endpoint.actor.post(run_attempt())
        ended = await endpoint.reports.until(lambda report: True)
    endpoint.actor.post(run_attempt(1))
    await endpoint.stand_in.calls.until(lambda call: call.method == "POST")
    assert endpoint.budget.used == 1 and ended.outcome is api.Outcome.MOOT
    assert "ZeroDivisionError" in capsys.readouterr().err


async def test_attempt_past_its_deadline_is_reported_once_and_deleted_at_the_endpoint(endpoint: Any) -> None:
    """An endpoint does not answer in time. The attempt is reported as timed out only once, even if it is
    cancelled later, and is deleted so that the endpoint stops working on it."""
    endpoint.actor.post(run_attempt(time_left=100_000))
    ended = await endpoint.reports.until(lambda report: isinstance(report, AttemptFinished))
    await endpoint.stand_in.calls.until(lambda call: call.method == "DELETE")
    endpoint.actor.post(AbortAttempt(1, 0))
    endpoint.actor.post(run_attempt(1, time_left=100_000))
    await endpoint.reports.until(lambda report: report.attempt == 1)
    assert ended.outcome is api.Outcome.TIMED_OUT
    assert [report.attempt for report in endpoint.reports.items] == [0, 1]


async def test_reset_attempt_is_reported_with_whether_the_endpoint_responded(endpoint: Any) -> None:
    """Two attempts end as RESET: the endpoint responds to the last call for the first, and dies during the
    second. If both were reported alike, an endpoint that may be down would be treated like one that is up."""
    endpoint.stand_in.page_overrides, endpoint.stand_in.behavior = {0: b"garbage\r\n\r\n"}, "fails"
    endpoint.actor.post(run_attempt())
    with_response = await endpoint.reports.until(lambda report: True)
    endpoint.stand_in.behavior = "dies"
    endpoint.actor.post(run_attempt(1))
    without_response = await endpoint.reports.until(lambda report: report.attempt == 1)
    assert (with_response.outcome, with_response.endpoint_responded) == (api.Outcome.RESET, True)
    assert (without_response.outcome, without_response.endpoint_responded) == (api.Outcome.RESET, False)


async def test_connection_of_a_closed_actor_is_closed_once_its_attempt_ends(endpoint: Any) -> None:
    """An endpoint's actor is closed while an attempt runs, as when the endpoint is removed. If the connection
    went back to the pool after the attempt, its descriptor would leak."""
    endpoint.stand_in.behavior = "answers"
    endpoint.actor.post(run_attempt())
    await endpoint.stand_in.calls.until(lambda call: call.method == "POST")
    endpoint.actor.close()
    await endpoint.reports.until(lambda report: isinstance(report, AttemptFinished))
    assert endpoint.budget.used == 0


async def test_attempt_cancelled_before_its_task_runs_is_reported_as_not_executed(endpoint: Any) -> None:
    """An attempt is cancelled before the first step of its task. Such a task runs no `finally`, so its end
    would never be reported if the task had to report it."""
    endpoint.actor.post(run_attempt())
    endpoint.actor.post(AbortAttempt(1, 0))
    ended = await endpoint.reports.until(lambda report: True)
    assert ended.outcome is api.Outcome.MOOT and not endpoint.stand_in.calls.items


async def test_running_attempt_that_is_cancelled_is_deleted_once_and_ends_as_cancelled(endpoint: Any) -> None:
    """A running attempt is cancelled. Without a DELETE the endpoint would keep working on it."""
    endpoint.actor.post(run_attempt())
    await endpoint.stand_in.calls.until(lambda call: call.method == "POST")
    endpoint.actor.post(AbortAttempt(1, 0))
    ended = await endpoint.reports.until(lambda report: isinstance(report, AttemptFinished))
    assert ended.outcome is api.Outcome.CANCELLED
    assert [call.method for call in endpoint.stand_in.calls.items].count("DELETE") == 1


async def test_client_is_accepted_once_descriptors_are_available_again(world: World) -> None:
    """The process is out of descriptors when a client connects, so `accept` fails. The client must be
    accepted once there are descriptors again, and other clients must still be served."""
    client = await world.start()
    assert world.program is not None
    pid, limits = world.program.pid, resource.prlimit(world.program.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (3, limits[1]))
    late = await world.client()
    await world.log.until(lambda line: line.startswith("accept:"))
    resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
    assert await late.probe() and await client.probe()


# The command line


@pytest.mark.parametrize(
    ("change", "expected_error"),
    [
        (lambda raw: raw.pop("board"), "'board' is missing"),
        (lambda raw: raw["settings"].pop("request_classes"), "request_classes"),
        (lambda raw: raw["settings"].update(request_classes=[]), "no profile"),
        (lambda raw: raw["limits"].pop("sockets"), "'sockets' is missing"),
        (lambda raw: raw.update(seed="no"), "invalid literal"),
        (lambda raw: raw.update(listen="here"), "host:port"),
        (lambda raw: raw.update(known=[]), "configuration"),
        (lambda raw: raw.update(listen="127.0.0.1:1"), ""),
    ],
)
def test_check_reports_an_invalid_configuration_in_one_line_with_status_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], change: Any, expected_error: str
) -> None:
    """A key of the configuration is missing or invalid. `check` must name the fault in one line instead of a
    traceback. The last case is valid."""
    raw = {"name": "n0", "listen": "127.0.0.1:1", "seed": "8c", "board": "127.0.0.1:2", "more": 1,
            "limits": {"memory_mb": 192, "sockets": 1024}, "known": {"rev": 0, "notices": []},
            "settings": settings()}  # fmt: skip
    change(raw)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    status = main(["check", "--config", str(path)])
    output = capsys.readouterr()
    if expected_error:
        assert status == 2 and expected_error in output.err and output.err.count("\n") == 1
    else:
        assert status == 0 and "profile booking: non-replayable" in output.out


def test_missing_configuration_file_is_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """The configuration file does not exist. The program must report it and end with status 2."""
    assert main(["serve", "--config", str(tmp_path / "none.json")]) == 2
    assert "No such file" in capsys.readouterr().err


async def test_listen_address_in_use_is_reported_and_the_program_ends(world: World) -> None:
    """Another gateway already listens on the address. The second one must report it in one line and end with
    status 2."""
    await world.start()
    path = world.folder / "config.json"
    raw = json.loads(path.read_text()) | {"listen": f"127.0.0.1:{world.port}"}
    path.write_text(json.dumps(raw))
    assert await asyncio.to_thread(main, ["probe", "--config", str(path)]) == 0
    arguments = ("-m", "lotusstream", "serve", "--config", str(path))
    second = await asyncio.create_subprocess_exec(sys.executable, *arguments, stderr=asyncio.subprocess.PIPE)
    _, errors = await asyncio.wait_for(second.communicate(), WAIT_TIMEOUT_S)
    assert second.returncode == 2 and errors.startswith(b"lotusstream: listen:") and errors.count(b"\n") == 1


async def test_health_probes_fail_during_a_graceful_shutdown(world: World) -> None:
    """A gateway gets SIGTERM while a request is open. Health probes must fail from then on, so that clients
    switch to other gateways, and the open request still gets a reply."""
    client = await world.start()
    world.endpoints[0].behavior = "holds"
    client.ask()
    assert await client.probe() and world.program is not None
    world.program.terminate()
    while await client.probe():
        pass
    with pytest.raises(RequestFailedError):
        await client.answer(1)
