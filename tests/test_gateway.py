"""The program, started by its command line, among stand-ins on loopback: a story for each failure."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

import pytest
from conftest import (
    LIMIT,
    RequestFailedError,
    StandInClient,
    StandInDiscovery,
    StandInEndpoint,
    World,
    http_answer,
)


async def failure(client: StandInClient, seqid: int) -> RequestFailedError:
    with pytest.raises(RequestFailedError) as caught:
        await client.answer(seqid)
    return caught.value


async def test_a_result_of_several_pages_is_answered_complete_and_in_order(world: World) -> None:
    """A result comes in pages. The client gets all of them, in their order."""
    client = await world.start()
    world.engines[0].pages = [b"1\tb\tc\n", b"2\t\t\n3\tx\ty\n", b"4\tb\tc\n"]
    assert await client.answer(client.ask()) == (b"".join(world.engines[0].pages), True)


async def test_what_the_client_sends_is_forwarded_unchanged(world: World) -> None:
    """The endpoint gets the statement, the call id, the profile and the key as the client sent them, and
    the time that is left."""
    client = await world.start()
    statement = "INSERT INTO \"sales_3\".t SELECT 'é\n''' FROM staging.b"
    await client.answer(client.ask("load", statement, call="9b1f03aa5c7e2d41", dedupe="5c0f" * 8))
    post = world.engines[0].posts()[0]
    told = {name: post.headers[name] for name in ("x-txn", "x-lane", "x-dedupe")}
    assert told == {"x-txn": "9b1f03aa5c7e2d41", "x-lane": "load", "x-dedupe": "5c0f" * 8}
    assert post.body == statement.encode() and 5000 < int(post.headers["x-limit-ms"]) <= 6000


async def test_answers_come_in_any_order(world: World) -> None:
    """A request that takes long does not delay the answer to a later one of the same client."""
    client = await world.start()
    engine = world.engines[0]
    engine.acts = "holds"
    slow = client.ask()
    await engine.calls.until(lambda call: call.method == "GET")
    engine.acts = "answers"
    quick = client.ask()
    await client.answer(quick)
    assert await client.answer(slow) == (engine.pages[0], True)


async def test_a_refused_connection_proves_that_nothing_ran(world: World) -> None:
    """An endpoint refuses connections. Requests of all profiles are retried at another, since nothing was
    sent."""
    client = await world.start("s-2")
    world.engines[0].die()
    for profile in ("lookup", "load", "booking") * 2:
        await client.answer(client.ask(profile))
    assert len(world.engines[1].posts()) == 6


@pytest.mark.parametrize(("profile", "again"), [("lookup", True), ("load", True), ("booking", False)])
async def test_a_reset_in_mid_attempt_is_retried_only_where_that_is_safe(
    world: World, profile: str, again: bool
) -> None:
    """An endpoint dies while it runs an attempt. The request is retried only where it is idempotent or has
    a key."""
    client = await world.start("s-2")
    for engine in world.engines:
        engine.acts = "holds"
    seqid = client.ask(profile)
    first = await world.chosen()
    second = next(engine for engine in world.engines if engine is not first)
    second.acts = "answers"
    first.die()
    if again:
        assert await client.answer(seqid) == (second.pages[0], True)
    else:
        assert (await failure(client, seqid)).kind == "failed"
    assert len(second.posts()) == again


async def test_a_connection_that_breaks_does_not_end_its_attempt(world: World) -> None:
    """The connection breaks while the endpoint runs an attempt. The gateway asks for it again on another
    one."""
    client = await world.start()
    engine = world.engines[0]
    engine.acts = "holds"
    seqid = client.ask("booking")
    await engine.calls.until(lambda call: call.method == "GET")
    for writer in engine._writers:
        writer.transport.abort()
    engine.acts = "answers"
    assert await client.answer(seqid) == (engine.pages[0], True)
    assert len(engine.posts()) == 1


async def test_an_attempt_that_its_endpoint_does_not_know_after_a_break_is_a_reset(
    world: World,
) -> None:
    """The first response can not be read, and the endpoint does not know the attempt later. It counts as
    reset: it may have run."""
    client = await world.start()
    engine = world.engines[0]
    engine.once, engine.pages = {0: b"garbage\r\n\r\n"}, [b"1\t2\t3\n"]
    engine.acts = "fails"
    assert (await failure(client, client.ask("booking"))).kind == "failed"
    counters = await world.counters()
    assert counters["sends reset"] == 1 and "sends error" not in counters


async def test_a_silent_endpoint_costs_a_request_its_time_and_no_more(world: World) -> None:
    """An endpoint never responds. Requests end at their deadline: one that must not be repeated fails, an
    idempotent one is rejected."""
    client = await world.start()
    world.engines[0].acts = "is silent"
    once, lookup = client.ask("booking", ttl="1500"), client.ask(ttl="1500")
    assert [(await failure(client, seqid)).kind for seqid in (once, lookup)] == ["failed", "shed"]


async def test_a_lost_page_is_an_error_of_the_attempt(world: World) -> None:
    """A page of the result can not be had. The request fails, since it has been executed."""
    client = await world.start()
    world.engines[0].acts, world.engines[0].pages = "loses pages", [b"1\t2\t3\n"] * 2
    assert (await failure(client, client.ask("booking"))).kind == "failed"


async def test_full_endpoints_are_retried_and_then_shed_with_retry_after(world: World) -> None:
    """All endpoints are full. The request is retried, and rejected with a Retry-After in time."""
    client = await world.start()
    world.engines[0].acts = "is full"
    shed = await failure(client, client.ask("booking", ttl="1000"))
    assert shed.kind == "shed" and shed.fields == {"pushback": "500"}


async def test_nothing_new_goes_to_a_draining_endpoint(world: World) -> None:
    """An endpoint begins to drain. All further requests go to the other one."""
    client = await world.start("s-2")
    first, second = world.engines
    world.board.tell(first.entry("draining"))
    await world.board.calls.until(lambda call: "watch=2&" in call.path)
    for group in range(8):
        await client.answer(client.ask(statement=f"SELECT a FROM sales_{group}.t"))
    assert len(first.posts()) == 0 and len(second.posts()) == 8


async def test_an_address_that_returns_as_another_endpoint_gets_new_connections(world: World) -> None:
    """An endpoint is removed and another one is listed at its address. Connections to the old one are not
    used."""
    client = await world.start()
    old = world.engines[0]
    await client.answer(client.ask())
    old.die()
    new = StandInEndpoint("s-9")
    world.engines.append(new)
    await new.start(old.port)
    world.board.tell(old.entry("gone"), new.entry())
    await world.board.calls.until(lambda call: "watch=2&" in call.path)
    await client.answer(client.ask("booking"))
    assert len(new.posts()) == 1


async def test_an_idle_connection_that_the_endpoint_closed_carries_no_attempt(world: World) -> None:
    """An endpoint has closed an idle connection. It is not used for the next request, which would be
    lost."""
    client = await world.start()
    engine = world.engines[0]
    await client.answer(client.ask())
    for writer in engine._writers:
        writer.transport.abort()
    await client.answer(client.ask("booking"))
    assert len(engine.posts()) == 2 and (await world.counters()).get("calls broken", 0) == 0


async def test_a_silent_poll_is_repeated_before_its_events_are_expected_to_be_known(world: World) -> None:
    """Discovery never responds to a poll. It is repeated early enough to know of a drain in time."""
    world.board.raw = b""
    await world.start("s-2")
    began = asyncio.get_running_loop().time()
    world.board.tell(world.engines[0].entry("draining"))
    await world.board.calls.until(lambda call: "watch=2&" in call.path)
    assert asyncio.get_running_loop().time() - began < 7
    client = await world.client()
    await client.answer(client.ask())
    assert len(world.engines[1].posts()) == 1


async def test_discovery_whose_revisions_begin_anew_is_asked_for_a_snapshot(world: World) -> None:
    """Discovery restarts and counts its revisions anew. The gateway asks for the complete list."""
    client = await world.start("s-2")
    world.board.tell()
    await world.board.calls.until(lambda call: "watch=2&" in call.path)
    world.board.notices.clear()
    world.board.tell(world.engines[0].entry("draining"), world.engines[1].entry(), whole=True)
    await world.board.calls.until(lambda call: "watch=0&" in call.path)
    await world.board.calls.until(lambda call: "watch=1&" in call.path, 2)
    await client.answer(client.ask())
    assert len(world.engines[1].posts()) == 1


async def test_a_reload_follows_the_new_discovery_address_at_once_and_keeps_the_revision(
    world: World,
) -> None:
    """The configuration names another discovery address. It is polled at once, from the last revision on,
    and requests go on."""
    client = await world.start("s-2")
    world.engines[0].acts = world.engines[1].acts = "holds"
    held = client.ask()
    first = await world.chosen()
    await world.board.calls.until(lambda call: "watch=1&" in call.path)
    other = StandInDiscovery()
    await other.start()
    other.notices = list(world.board.notices)
    world.configure(board=f"127.0.0.1:{other.port}", seed="77")
    assert world.program is not None
    began = asyncio.get_running_loop().time()
    for _ in range(3):
        world.program.send_signal(signal.SIGHUP)
    await other.calls.until(lambda call: "watch=1&" in call.path)
    assert asyncio.get_running_loop().time() - began < 1.75  # sooner than the old board's wait ends
    other.tell(first.entry("draining"))
    await other.calls.until(lambda call: "watch=2&" in call.path)
    asked, second = len(first.posts()), next(engine for engine in world.engines if engine is not first)
    first.acts = second.acts = "answers"
    assert (await client.answer(held))[1] and (await client.answer(client.ask()))[1]
    assert len(first.posts()) == asked and len(second.posts()) == 1
    other.die()


@pytest.mark.parametrize("change", [{"listen": "127.0.0.1:1"}, {"settings": {}}, None], ids=str)
async def test_a_configuration_that_cannot_be_taken_leaves_all_as_it_was(
    world: World, change: dict[str, object] | None
) -> None:
    """A reload changes more than the discovery address, or can not be read. Nothing of it is taken."""
    client = await world.start()
    path = world.configure(board="127.0.0.1:9", **change or {})
    if change is None:
        path.write_text(path.read_text()[:-9])
    assert world.program is not None
    world.program.send_signal(signal.SIGHUP)
    await world.log.until(lambda line: line.startswith("reload: configuration"))
    await world.board.calls.until(lambda call: "watch=1&" in call.path, 2)
    counters = await world.counters()
    assert counters["reloads refused"] == 1 and "reloads" not in counters
    assert (await client.answer(client.ask()))[1]


async def test_a_killed_gateway_starts_again_at_its_address(world: World) -> None:
    """A gateway is killed with a request open. It starts again at its address and serves."""
    client = await world.start()
    world.engines[0].acts = "holds"
    client.ask()
    await world.engines[0].calls.until(lambda call: call.method == "POST")
    assert world.program is not None
    world.program.kill()
    await world.ended()
    world.engines[0].acts = "answers"
    await world.run(world.port)
    again = await world.client()
    assert (await again.answer(again.ask()))[1]


async def test_a_client_that_withdraws_gets_no_answer_and_its_attempt_is_deleted(world: World) -> None:
    """A client withdraws a request. Its attempt is cancelled at the endpoint and no answer is written."""
    client = await world.start()
    engine = world.engines[0]
    engine.acts = "holds"
    seqid = client.ask(call="00000000000000aa")
    await engine.calls.until(lambda call: call.method == "POST")
    client.give_up(seqid)
    deleted = await engine.calls.until(lambda call: call.method == "DELETE")
    assert deleted.path == "/x/00000000000000aa" and await client.probe()
    assert seqid not in client.answers


async def test_idle_connections_are_closed_for_those_with_requests(world: World) -> None:
    """More clients connect than there are descriptors for. Idle and silent connections are closed for new
    ones; one with an open request is not."""
    world.limits["sockets"] = 96  # 35 of them for clients
    client = await world.start()
    engine = world.engines[0]
    engine.held = {"00000000000000aa"}
    asked = client.ask(call="00000000000000aa")
    await engine.calls.until(lambda call: call.method == "POST")
    for _ in range(40):
        await world.client()  # says nothing
        holder = await world.client()
        await holder.answer(holder.ask())
    engine.held.clear()
    assert (await client.answer(asked))[1]
    counters = await world.counters()
    assert counters["answered lookup"] == 41 and counters["client connections closed as idle"] >= 81 - 35


async def test_no_connection_with_an_open_request_is_closed_for_another(world: World) -> None:
    """All clients have open requests. A further connection is closed instead of theirs."""
    world.limits["sockets"] = 96
    world.engines[0].acts = "holds"
    await world.start()
    for _ in range(34):
        await world.client()
    busy = list(world.clients)
    for client in busy:
        client.ask()
    await world.engines[0].calls.until(lambda call: call.method == "POST", 35)
    late = await world.client()
    await asyncio.wait_for(late.closed.wait(), LIMIT)
    assert not any(client.closed.is_set() for client in busy)


async def test_a_connection_without_a_complete_message_is_closed_in_time(world: World) -> None:
    """Clients connect and send nothing, or the beginning of a message. They are closed in time."""
    client = await world.start()
    world.engines[0].acts = "holds"
    client.ask(ttl="20000")
    began = asyncio.get_running_loop().time()
    for start in (b"", b"\0\0", b"\0\0\1\0" + b"\x80\1\0\1" * 9):
        (await world.client()).writer.write(start)
    for silent in world.clients[1:]:
        await asyncio.wait_for(silent.closed.wait(), LIMIT)
    assert asyncio.get_running_loop().time() - began < 3 and await client.probe()


async def test_a_client_that_leaves_leaves_nothing_running(world: World) -> None:
    """A client disconnects while its request runs. The attempt is cancelled."""
    client = await world.start()
    world.engines[0].acts = "holds"
    client.ask()
    await world.engines[0].calls.until(lambda call: call.method == "POST")
    client.writer.close()
    await world.engines[0].calls.until(lambda call: call.method == "DELETE")
    assert (await world.counters())["left lookup"] == 1


async def test_a_graceful_shutdown_answers_all_in_time_and_ends_well(world: World) -> None:
    """The gateway is told to stop with requests open, and more arrive. All get a reply before it ends."""
    client = await world.start()
    world.engines[0].held = {"00000000000000aa", "00000000000000bb"}
    long = client.ask("booking", call="00000000000000aa")
    await world.engines[0].calls.until(lambda call: call.method == "POST")
    assert world.program is not None
    world.program.send_signal(signal.SIGTERM)
    began = asyncio.get_running_loop().time()
    while await client.probe():
        pass
    late = await world.client()
    await late.answer(late.ask())
    held = late.ask(call="00000000000000bb")
    assert (await failure(client, long)).kind == "failed" and (await failure(late, held)).kind == "shed"
    assert await world.ended() == 0 and asyncio.get_running_loop().time() - began < 3.7
    assert "answered lookup 1" in world.log.items


async def test_during_a_shutdown_no_idle_connection_is_closed_for_another(world: World) -> None:
    """Clients that do not know of the shutdown yet may still send on their idle connections. None is closed
    for a new one."""
    world.limits["sockets"] = 96  # 35 of them for clients
    client = await world.start()
    world.engines[0].held = {"00000000000000aa"}
    held = client.ask(call="00000000000000aa")
    idle = [await world.client() for _ in range(34)]
    for other in idle:
        assert await other.probe()
    assert world.program is not None
    world.program.send_signal(signal.SIGTERM)
    while await idle[0].probe():
        pass
    late = await world.client()
    await asyncio.wait_for(late.closed.wait(), LIMIT)
    for other in idle:
        assert (await other.answer(other.ask()))[1]
    assert (await failure(client, held)).kind == "shed" and await world.ended() == 0


async def test_an_idle_gateway_stops_soon(world: World) -> None:
    """Nothing is open when the gateway is told to stop. It ends with status 0."""
    client = await world.start()
    await client.answer(client.ask())
    assert world.program is not None
    world.program.send_signal(signal.SIGTERM)
    assert await world.ended() == 0


async def test_a_full_descriptor_budget_ends_attempts_as_not_executed(world: World) -> None:
    """There are more requests than descriptors. Attempts without one end as surely not executed."""
    world.limits["sockets"] = 40
    client = await world.start()
    world.engines[0].acts = "holds"
    seqids = [client.ask("booking", ttl="2000") for _ in range(30)]
    kinds = [(await failure(client, seqid)).kind for seqid in seqids]
    counters = await world.counters()
    assert counters["sends without a descriptor"] > 0 and "shed" in kinds
    assert world.engines[0].connections < 30


async def test_large_statements_are_rejected_past_the_memory_for_them(world: World) -> None:
    """Open requests have taken the memory for statements. The next is rejected."""
    world.limits["memory_mb"] = 1
    client = await world.start()
    world.engines[0].acts = "holds"
    first = client.ask(statement="SELECT a FROM sales_3.t --" + "x" * 100_000)
    second = client.ask(statement="SELECT a FROM sales_3.t --" + "x" * 100_000)
    assert (await failure(client, second)).kind == "shed" and first not in client.answers


async def test_a_client_that_does_not_read_is_cut_off_and_harms_nobody(world: World) -> None:
    """A client sends requests and never reads. It is disconnected at the memory limit, and others are
    served."""
    world.limits["memory_mb"] = 1
    client = await world.start()
    world.engines[0].pages = [(b"x" * 1000 + b"\t\t\n") * 5] * 9
    deaf = await world.client()
    deaf._task.cancel()
    await asyncio.gather(deaf._task, return_exceptions=True)
    deaf._reader._transport.pause_reading()
    async with asyncio.timeout(LIMIT):
        while (await world.counters()).get("client connections cut off", 0) == 0:
            for _ in range(30):
                deaf.ask()
            assert await client.probe()
    world.engines[0].pages = [b"1\t2\t3\n"]
    assert await client.answer(client.ask()) == (b"1\t2\t3\n", True)


# Bad input


@pytest.mark.parametrize(
    "frame",
    [b"\x00\x00\x00\x07process", b"", b"\x80\x02\x00\x01" + b"x" * 40, b"\x80\x01\x00\x01\x7f\xff\xff\xff"],
    ids=["not strict", "empty", "another version", "an endless name"],
)
async def test_a_stream_that_is_no_thrift_costs_that_connection_alone(world: World, frame: bytes) -> None:
    """A client sends what is no message. Its connection is closed, and others are served."""
    client = await world.start()
    bad = await world.client()
    bad.raw(frame)
    await asyncio.wait_for(bad.closed.wait(), LIMIT)
    assert (await client.answer(client.ask()))[1]


@pytest.mark.parametrize("length", [-1, 2**31 - 1])
async def test_a_frame_of_impossible_length_costs_that_connection_alone(world: World, length: int) -> None:
    """A client sends a negative or huge length. Its connection is closed, and others are served."""
    client = await world.start()
    bad = await world.client()
    bad.writer.write(length.to_bytes(4, "big", signed=True))
    await asyncio.wait_for(bad.closed.wait(), LIMIT)
    assert (await client.answer(client.ask()))[1]


@pytest.mark.parametrize(
    "fields",
    [
        {"op": "nothing"}, {"op": "lookup\r\nX-Evil: 1"}, {"call": "xyz"}, {"call": "0" * 16 + "\n"},
        {"ttl": "soon"}, {"ttl": "-5"}, {"work": "1e999"}, {"dedupe": "a\r\nb"}, {"op": "load", "dedupe": ""},
    ],
    ids=str,
)  # fmt: skip
async def test_unusable_fields_are_answered_and_reach_no_endpoint(
    world: World, fields: dict[str, str]
) -> None:
    """A field is missing, malformed, or would inject a header. The client gets a fault, and no endpoint is
    called."""
    client = await world.start()
    assert (await failure(client, client.ask(**fields))).kind == "fault"
    assert (await client.answer(client.ask()))[1] and len(world.engines[0].posts()) == 1


@pytest.mark.parametrize("statement", [b"SELECT \xff FROM sales_3.t", b"SELECT 1", b""])
async def test_a_statement_without_a_group_is_answered_and_reaches_no_endpoint(
    world: World, statement: bytes
) -> None:
    """A statement is no UTF-8 or names no table group. The client gets a fault, and no endpoint is
    called."""
    client = await world.start()
    assert (await failure(client, client.ask(statement=statement))).kind == "fault"
    assert not world.engines[0].calls.items


async def test_messages_of_other_shapes_are_answered_where_their_number_is_known(world: World) -> None:
    """Messages are deeply nested, declare huge sizes, or have an unknown method. Each gets a fault."""
    client = await world.start()

    def nested(protocol: object) -> None:
        for _ in range(500):
            protocol.writeFieldBegin("", 12, 1)  # type: ignore[attr-defined]

    def huge(protocol: object) -> None:
        protocol.writeFieldBegin("", 13, 1)  # type: ignore[attr-defined]
        protocol.writeMapBegin(11, 11, 2**31 - 1)  # type: ignore[attr-defined]

    seqids = [client.message(*message) for message in
              (("process", 1, nested), ("process", 1, huge), ("process", 1, lambda _: None),
               ("no such", 1, lambda _: None))]  # fmt: skip
    client.message("giveUp", 4, lambda _: None)
    for seqid in seqids:
        assert (await failure(client, seqid)).kind == "fault"
    assert await client.probe()


async def test_a_33rd_open_request_is_answered_at_once(world: World) -> None:
    """A client has as many open requests as the protocol allows. The next gets a fault at once."""
    client = await world.start()
    world.engines[0].acts = "holds"
    seqids = [client.ask() for _ in range(33)]
    assert (await failure(client, seqids[32])).kind == "fault"


async def test_a_number_used_again_while_open_ends_that_connection(world: World) -> None:
    """A client uses the sequence number of an open request. It could not tell the answers apart, so its
    connection is closed."""
    client = await world.start()
    world.engines[0].acts = "holds"
    client.ask()
    client.seqid -= 1
    client.ask()
    await asyncio.wait_for(client.closed.wait(), LIMIT)
    assert await (await world.client()).probe()


@pytest.mark.parametrize(
    "raw",
    [
        b"garbage\r\n\r\n",
        http_answer(200, b"1\t2\t3\n", Result_Pages="many"),
        http_answer(200, b"1\t2", Result_Pages=1),
        http_answer(200, b"1\t2\n", Result_Pages=1),
        http_answer(200, b"1\t2\t3\n" * 1001, Result_Pages=1),
        b"HTTP/1.1 200 OK\r\nX-A: " + b"x" * 100_000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        http_answer(503), http_answer(504), http_answer(777),
    ],
    ids=["no http", "pages", "cut row", "columns", "long page", "endless", "chunks", "503", "504", "777"],
)  # fmt: skip
async def test_an_endpoint_with_malformed_responses_may_have_executed_the_request(
    world: World, raw: bytes
) -> None:
    """Responses of an endpoint are malformed. A request that must not be repeated fails, since it may have
    run."""
    client = await world.start()
    world.engines[0].acts, world.engines[0].raw = "raw", raw
    assert (await failure(client, client.ask("booking"))).kind == "failed"
    world.engines[0].acts = "answers"
    assert (await client.answer(client.ask()))[1]


GOOD = http_answer(200, b"1\t2\t3\n", Result_Pages=2, Query_Cost=80, Query_Need=100)
PAGE = http_answer(200, b"4\t5\t6\n", Result_Page=1)
EARLY = b"HTTP/1.1 102 Processing\r\nX-A: 1\r\n\r\n"


@pytest.mark.parametrize(("number", "good"), [(0, GOOD), (1, PAGE)])
@pytest.mark.parametrize(
    "spoil",
    [
        lambda good: EARLY * 2 + good,
        lambda good: good + good,
        lambda good: good + b"\x00noise",
        lambda good: good[:-3],
        lambda good: good.replace(b"Length: 6", b"Length: 3000000000") + b"x" * 100_000,
        lambda good: good.replace(b"\t", b" "),
        lambda good: good.replace(b"Length: 6", b"Length: 0"),
        lambda good: http_answer(503),
        lambda good: b"",
    ],
    ids=["early", "twice", "noise after", "cut", "3 GB", "columns", "short length", "503", "none"],
)
async def test_a_response_that_came_malformed_or_with_more_is_asked_for_again(
    world: World, number: int, good: bytes, spoil: Callable[[bytes], bytes]
) -> None:
    """A response is malformed, or followed by other bytes. It is asked for again and the attempt is not
    repeated; what came with it is not taken for the next response."""
    client = await world.start()
    engine = world.engines[0]
    engine.pages = [b"1\t2\t3\n", b"4\t5\t6\n"]
    engine.once = {number: spoil(good)}
    for _ in range(3):  # what came beside one answer is not taken for that of the next
        assert await client.answer(client.ask("booking")) == (b"1\t2\t3\n4\t5\t6\n", True)
    assert len(engine.posts()) == 3


@pytest.mark.parametrize(
    "raw",
    [
        http_answer(500), http_answer(200, b"{"), http_answer(200, b"[]"), http_answer(200, b"[" * 5000),
        http_answer(200, b'{"rev":9,"notices":[{"rev":9,"pool":{"targets":[]}}]}'),
        http_answer(200, b'{"rev":0,"notices":[]}'),
        http_answer(200, b'{"rev":2,"notices":[{"rev":2,"pool":{"targets":[7,{"uid":"x","state":"odd"}]}}]}'),
    ],
    ids=["500", "cut", "a list", "deep", "a gap", "begun anew", "odd entries"],
)  # fmt: skip
async def test_discovery_with_malformed_responses_is_polled_again(world: World, raw: bytes) -> None:
    """Responses of discovery are malformed or out of order. It is polled again, and the list is
    followed."""
    await world.start("s-2")
    world.board.raw = raw
    world.board._changed.set()
    await world.board.calls.until(lambda call: True, 3)
    world.board.tell()
    world.board.tell(world.engines[0].entry("draining"))
    await world.board.calls.until(lambda call: "watch=3&" in call.path)
    client = await world.client()  # one that had waited silently till now could have been closed
    for group in range(6):
        await client.answer(client.ask(statement=f"SELECT a FROM sales_{group}.t"))
    assert len(world.engines[0].posts()) == 0 and len(world.engines[1].posts()) == 6
