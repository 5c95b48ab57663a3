"""Parts of the gateway by themselves, on fakes and without the program."""

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
from conftest import LIMIT, Line, RequestFailedError, StandInClient, StandInEndpoint, World, settings

from lotusstream import interface as api
from lotusstream.cli import main
from lotusstream.deployment import read_settings
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.attempt_messages import AbortAttempt, AttemptFinished, ChangePriority, RunAttempt
from lotusstream.net.buffer import Buffer, BufferFullError
from lotusstream.net.client import ClientConnection, ClientReply, ReceivedRequest, RequestAbandoned
from lotusstream.net.client_limits import ClientConnectionLimiter, UnreadReplies
from lotusstream.net.clock import Clock
from lotusstream.net.connection import Connection, ConnectionPool, NoDescriptorError, SocketBudget
from lotusstream.net.decider import Decider
from lotusstream.net.endpoint import EndpointActor, EndpointListingChanged
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
def test_the_group_is_in_the_name_of_the_schema_that_is_read_or_written(
    statement: str, group: int | None
) -> None:
    """Literals, comments and the staging schema may look like the table that is read or written. They are
    not taken for it."""
    assert table_group(statement) == group


@pytest.mark.parametrize("piece", ["'", '"', "/*", "*", "--", "a.", "''", '""', "_1", "("])
def test_a_statement_made_to_be_slow_is_scanned_in_linear_time(piece: str) -> None:
    """A client sends a long statement that would make a scan with backtracking take quadratic time. The
    scan stays linear."""
    began = time.process_time()
    table_group("SELECT " + piece * 60_000)
    assert time.process_time() - began < 5


def test_an_interim_response_that_comes_by_itself_is_not_the_response() -> None:
    """An endpoint sends an interim response (1xx) before the final one. The final one is read, and the
    connection is not used again."""
    reader = HttpResponseReader(100)
    reader.feed(memoryview(b"HTTP/1.1 102 Processing\r\nResult-Page: 1\r\n\r\n"))
    assert reader.response is None
    reader.feed(memoryview(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"))
    assert reader.response == HttpResponse(200, {"content-length": "1"}, b"a", connection_reusable=False)


def test_a_buffer_grows_to_its_limit_and_is_compacted_before() -> None:
    """A message that never ends must not take unbounded memory. The buffer reuses its space, grows to its
    limit and then raises."""
    buffer = Buffer(4, 8)
    buffer.space()[:] = b"abcd"
    buffer.filled(4)
    buffer.use(3)
    assert len(buffer.space()) == 3 and bytes(buffer.data()) == b"d"
    buffer.filled(3)
    assert len(buffer.space()) == 4
    buffer.filled(4)
    with pytest.raises(BufferFullError):
        buffer.space()
    buffer.use(8)
    assert len(buffer.space()) == 4


def test_a_step_of_the_system_clock_does_not_step_the_gateways_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """The system clock is set back while the gateway runs. Its own clock goes on."""
    clock = Clock()
    before = clock.now()
    assert abs(before - time.time_ns() // 1000) < 1_000_000
    monkeypatch.setattr(time, "time_ns", lambda: 0)
    assert 0 <= clock.now() - before < 1_000_000


async def test_a_message_that_fails_leaves_its_actor_running() -> None:
    """Handling a message raises. The failure is counted and the next message is handled."""
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
    await asyncio.wait_for(done.wait(), LIMIT)
    await supervisor.stop()
    assert seen == [1, 2] and supervisor.counters["failed tasks"] == 1


async def test_a_restarting_task_that_fails_is_started_anew() -> None:
    """A task that has to run for ever raises once. It is started anew."""
    tries: list[int] = []
    done = asyncio.Event()

    async def work() -> None:
        tries.append(1)
        if len(tries) == 1:
            raise OSError("once")
        done.set()

    supervisor = Supervisor()
    supervisor.start_restarting("work", work)
    await asyncio.wait_for(done.wait(), LIMIT)
    await supervisor.stop()


async def test_descriptors_are_reserved_for_calls_that_end_something() -> None:
    """All descriptors for attempts are in use. A cancellation still gets one of the reserve, until that is
    used up too."""
    budget = SocketBudget(8)
    for _ in range(7):
        budget.acquire(False)
    with pytest.raises(NoDescriptorError):
        budget.acquire(False)
    budget.acquire(True)
    with pytest.raises(NoDescriptorError):
        await Connection.open(("127.0.0.1", 1), 1000, budget, 0, may_use_reserve=True)


async def test_a_message_that_crosses_the_close_of_an_idle_connection_is_not_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client sends a request at the moment when its idle connection is half-closed. The request is not
    taken: the client sends it again elsewhere, and it must not run twice."""
    supervisor, deployment, reports = Supervisor(), read_settings(7, settings()), Line()
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    limiter = ClientConnectionLimiter(2, 2, Clock(), supervisor)
    client = ClientConnection(
        ours, deployment, Clock(), reports.add, lambda: True, UnreadReplies(1000), limiter, supervisor
    )
    assert limiter.admit(client)
    serving = asyncio.create_task(client.serve())
    theirs.sendall(front.encode_health_probe(1))
    while not limiter._idle or client._is_writing or len(client.mailbox):
        await asyncio.sleep(0)
    stand_in = StandInClient()
    stand_in.raw = lambda frame: theirs.sendall(front.FRAME.pack(len(frame)) + frame)  # type: ignore[method-assign]
    stand_in.ask()
    monkeypatch.setattr(client, "has_unread_bytes", lambda: False)  # it came a moment after the look
    assert client.half_close()
    theirs.shutdown(socket.SHUT_WR)  # until then what comes is read and dropped
    await asyncio.wait_for(serving, LIMIT)
    assert not reports.items
    await supervisor.stop()


class Client:
    """Takes what is posted to a client connection."""

    def __init__(self) -> None:
        self.replies: list[ClientReply] = []
        self.came = asyncio.Event()

    def post(self, reply: ClientReply) -> None:
        self.replies.append(reply)
        self.came.set()


@pytest.fixture
async def gateway() -> Any:
    """A decider without endpoints, and one client."""
    supervisor = Supervisor()
    decider = Decider(read_settings(7, settings()), SocketBudget(8), 1 << 20, Clock(), supervisor)
    decider.start()
    made = SimpleNamespace(decider=decider, client=Client(), supervisor=supervisor, clock=Clock())
    yield made
    await supervisor.stop()


def received(gateway: Any, seqid: int, timeout: int = 6_000_000) -> ReceivedRequest:
    fields = front.RequestFields(0, f"{seqid:016x}", timeout, None, None, None)
    now = gateway.clock.now()
    return ReceivedRequest(gateway.client, seqid, fields, 3, b"SELECT", now + timeout, now)


async def test_a_module_that_raises_still_gives_each_request_a_reply(
    gateway: Any, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The decision module raises. All open requests fail, a new module is started, and it serves the next
    request."""
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
    async with asyncio.timeout(LIMIT):
        while len(gateway.client.replies) < 2:
            gateway.client.came.clear()
            await gateway.client.came.wait()
    assert [reply.request for reply in gateway.client.replies] == [request, bad]
    assert (
        gateway.supervisor.counters["failed lookup"] == 2
        and "RequestReceived(request_id=2" in capsys.readouterr().err
    )
    gateway.client.came.clear()
    gateway.decider.post(received(gateway, 3, 10_000))  # too little time: the new module answers at once
    await asyncio.wait_for(gateway.client.came.wait(), LIMIT)
    assert gateway.supervisor.counters["shed lookup"] == 1


async def test_a_second_end_of_an_attempt_is_counted_and_goes_no_further(
    gateway: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An attempt that is not in flight is reported as ended. The module is not notified, and the gateway
    goes on."""
    monkeypatch.setattr(
        gateway.supervisor.invariants, "check", lambda name, holds: holds
    )  # as a release run does
    gateway.decider.post(AttemptFinished(9, 0, b"s-1", api.Outcome.ANSWERED, 10, rows=b""))
    gateway.decider.post(RequestAbandoned(received(gateway, 4)))
    gateway.decider.post(received(gateway, 5, 10_000))
    await asyncio.wait_for(gateway.client.came.wait(), LIMIT)
    assert [reply.request.seqid for reply in gateway.client.replies] == [5]


async def test_a_request_that_the_module_has_lost_fails_at_its_deadline(
    gateway: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The decision module never answers a request. The client gets a failure at its deadline, once, and the
    module is notified that the client waits no longer."""
    monkeypatch.setattr(
        gateway.supervisor.invariants, "check", lambda name, holds: holds
    )  # as a release run does
    gone: list[int] = []

    def forgetful(self: Gateway, now: int, event: api.Event) -> list[api.Action]:
        gone.extend([event.request_id] if isinstance(event, api.ClientDisconnected) else [])
        return []

    monkeypatch.setattr(Gateway, "handle", forgetful)
    gateway.decider.post(received(gateway, 1, 50_000))
    async with asyncio.timeout(LIMIT):
        while not gateway.client.replies:
            gateway.decider.evaluate()
            await asyncio.sleep(0)
        while not gone:
            await asyncio.sleep(0)
    assert len(gateway.client.replies) == 1 and gone == [1]


async def test_a_call_id_that_is_open_already_is_refused(gateway: Any) -> None:
    """A client sends the call id of a request that is still open. The second request fails at once:
    endpoints know attempts by their call id."""
    gateway.decider.post(received(gateway, 6))
    again = received(gateway, 6)
    gateway.decider.post(again)
    await asyncio.wait_for(gateway.client.came.wait(), LIMIT)
    assert [reply.request for reply in gateway.client.replies] == [again]


@pytest.fixture
async def endpoint() -> Any:
    """An endpoint's actor and the stand-in endpoint that it talks to; `reports` takes what it reports."""
    supervisor, stand_in, reports = Supervisor(), StandInEndpoint("s-1"), Line()
    await stand_in.start()
    stand_in.acts = "holds"
    address = ("127.0.0.1", stand_in.port)
    budget = SocketBudget(8)
    actor = EndpointActor(b"s-1", address, budget, 250_000, 30_000_000, Clock(), reports.add, supervisor)
    actor.start()
    yield SimpleNamespace(actor=actor, stand_in=stand_in, reports=reports, budget=budget)
    await supervisor.stop()
    stand_in.die()


def run_attempt(number: int = 0, left: int = 6_000_000) -> RunAttempt:
    now = Clock().now()
    return RunAttempt(1, number, now, now + left, "0" * 16, "lookup", b"SELECT", None, None)


async def test_a_new_priority_reaches_a_running_attempt_while_a_call_waits(endpoint: Any) -> None:
    """The call that asks for the state of an attempt is request by the endpoint. A new priority goes over
    another connection."""
    endpoint.actor.post(run_attempt())
    await endpoint.stand_in.calls.until(lambda call: call.method == "GET")
    endpoint.actor.post(ChangePriority(1, 0, 3))
    put = await endpoint.stand_in.calls.until(lambda call: call.method == "PUT")
    assert put.body == b"3" and put.path == "/x/" + "0" * 16


async def test_an_attempt_that_waits_for_a_connection_does_not_leave_once_its_endpoint_drains(
    endpoint: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The endpoint begins to drain while the connection for an attempt comes up. Nothing is sent, and the
    attempt ends as surely not executed."""
    asked, up, get = asyncio.Event(), asyncio.Event(), ConnectionPool.get

    async def slow(pool: ConnectionPool) -> Connection:
        asked.set()
        await up.wait()
        return await get(pool)

    monkeypatch.setattr(ConnectionPool, "get", slow)
    endpoint.actor.post(run_attempt())
    await asyncio.wait_for(asked.wait(), LIMIT)
    endpoint.actor.post(EndpointListingChanged(is_ready=False, restarted=False))
    while len(endpoint.actor.mailbox):
        await asyncio.sleep(0)
    up.set()
    ended = await endpoint.reports.until(lambda report: True)
    assert ended.outcome is api.Outcome.MOOT and not endpoint.stand_in.calls.items


async def test_a_defect_in_an_attempt_ends_that_attempt_only(
    endpoint: Any, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Making the request raises an unexpected error. The attempt ends, its connection is closed, and the
    next attempt runs."""

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


async def test_each_attempt_ends_once_at_its_deadline_and_is_deleted(endpoint: Any) -> None:
    """An endpoint does not answer in time. The attempt is reported as timed out, once, also when it is
    aborted later, and it is deleted at the endpoint."""
    endpoint.actor.post(run_attempt(left=100_000))
    ended = await endpoint.reports.until(lambda report: isinstance(report, AttemptFinished))
    await endpoint.stand_in.calls.until(lambda call: call.method == "DELETE")
    endpoint.actor.post(AbortAttempt(1, 0))
    endpoint.actor.post(run_attempt(1, left=100_000))
    await endpoint.reports.until(lambda report: report.attempt == 1)
    assert ended.outcome is api.Outcome.TIMED_OUT
    assert [report.attempt for report in endpoint.reports.items] == [0, 1]


async def test_a_reset_is_reported_with_whether_the_endpoint_still_responds(endpoint: Any) -> None:
    """An attempt is lost. The report says whether the endpoint responded to the last call: one that does
    not may be down."""
    endpoint.stand_in.once, endpoint.stand_in.acts = {0: b"garbage\r\n\r\n"}, "fails"
    endpoint.actor.post(run_attempt())
    heard = await endpoint.reports.until(lambda report: True)
    endpoint.stand_in.acts = "dies"
    endpoint.actor.post(run_attempt(1))
    lost = await endpoint.reports.until(lambda report: report.attempt == 1)
    assert (heard.outcome, heard.endpoint_responded) == (api.Outcome.RESET, True)
    assert (lost.outcome, lost.endpoint_responded) == (api.Outcome.RESET, False)


async def test_a_removed_endpoint_keeps_no_connection(endpoint: Any) -> None:
    """The actor of an endpoint is closed while an attempt runs. Its connection is closed once it ends."""
    endpoint.stand_in.acts = "answers"
    endpoint.actor.post(run_attempt())
    await endpoint.stand_in.calls.until(lambda call: call.method == "POST")
    endpoint.actor.close()
    await endpoint.reports.until(lambda report: isinstance(report, AttemptFinished))
    assert endpoint.budget.used == 0


async def test_an_attempt_cancelled_before_it_began_ends_too(endpoint: Any) -> None:
    """An attempt is aborted before its task has run at all. It is reported as ended, and nothing is
    sent."""
    endpoint.actor.post(run_attempt())
    endpoint.actor.post(AbortAttempt(1, 0))
    ended = await endpoint.reports.until(lambda report: True)
    assert ended.outcome is api.Outcome.MOOT and not endpoint.stand_in.calls.items  # it surely never ran


async def test_a_cancelled_attempt_ends_once_its_endpoint_has_taken_the_cancellation(endpoint: Any) -> None:
    """A running attempt is aborted. The endpoint gets one DELETE, and the attempt ends as cancelled."""
    endpoint.actor.post(run_attempt())
    await endpoint.stand_in.calls.until(lambda call: call.method == "POST")
    endpoint.actor.post(AbortAttempt(1, 0))
    ended = await endpoint.reports.until(lambda report: isinstance(report, AttemptFinished))
    assert ended.outcome is api.Outcome.CANCELLED
    assert [call.method for call in endpoint.stand_in.calls.items].count("DELETE") == 1


async def test_no_descriptor_for_a_client_is_retried_after_a_pause(world: World) -> None:
    """The process is out of descriptors when a client connects. It is accepted once there are some again,
    and other clients are served."""
    client = await world.start()
    assert world.program is not None
    pid, most = world.program.pid, resource.prlimit(world.program.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (3, most[1]))
    late = await world.client()
    await world.log.until(lambda line: line.startswith("accept:"))
    resource.prlimit(pid, resource.RLIMIT_NOFILE, most)
    assert await late.probe() and await client.probe()


# The command line


@pytest.mark.parametrize(
    ("change", "said"),
    [
        (lambda told: told.pop("board"), "'board' is missing"),
        (lambda told: told["settings"].pop("request_classes"), "request_classes"),
        (lambda told: told["settings"].update(request_classes=[]), "no profile"),
        (lambda told: told["limits"].pop("sockets"), "'sockets' is missing"),
        (lambda told: told.update(seed="no"), "invalid literal"),
        (lambda told: told.update(listen="here"), "host:port"),
        (lambda told: told.update(known=[]), "configuration"),
        (lambda told: told.update(listen="127.0.0.1:1"), ""),
    ],
)
def test_a_configuration_is_checked_in_one_plain_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], change: Any, said: str
) -> None:
    """A key of the configuration is missing or unusable. The check says so in one line and with status
    2."""
    told = {"name": "n0", "listen": "127.0.0.1:1", "seed": "8c", "board": "127.0.0.1:2", "more": 1,
            "limits": {"memory_mb": 192, "sockets": 1024}, "known": {"rev": 0, "notices": []},
            "settings": settings()}  # fmt: skip
    change(told)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told))
    status = main(["check", "--config", str(path)])
    output = capsys.readouterr()
    if said:
        assert status == 2 and said in output.err and output.err.count("\n") == 1
    else:
        assert status == 0 and "profile booking: non-replayable" in output.out


def test_a_missing_configuration_is_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """The configuration file does not exist. The program says so and ends."""
    assert main(["serve", "--config", str(tmp_path / "none.json")]) == 2
    assert "No such file" in capsys.readouterr().err


async def test_an_address_in_use_is_reported_and_the_program_ends(world: World) -> None:
    """Another gateway listens on the address already. The second one says so in one line and ends."""
    await world.start()
    path = world.folder / "config.json"
    told = json.loads(path.read_text()) | {"listen": f"127.0.0.1:{world.port}"}
    path.write_text(json.dumps(told))
    assert await asyncio.to_thread(main, ["probe", "--config", str(path)]) == 0
    words = ("-m", "lotusstream", "serve", "--config", str(path))
    second = await asyncio.create_subprocess_exec(sys.executable, *words, stderr=asyncio.subprocess.PIPE)
    _, said = await asyncio.wait_for(second.communicate(), LIMIT)
    assert second.returncode == 2 and said.startswith(b"lotusstream: listen:") and said.count(b"\n") == 1


async def test_a_gateway_that_shuts_down_fails_its_health_probe(world: World) -> None:
    """A gateway is told to stop while a request is open. Health probes fail from then on, and the request
    fails at the end."""
    client = await world.start()
    world.engines[0].acts = "holds"
    client.ask()
    assert await client.probe() and world.program is not None
    world.program.terminate()
    while await client.probe():
        pass
    with pytest.raises(RequestFailedError):
        await client.answer(1)
