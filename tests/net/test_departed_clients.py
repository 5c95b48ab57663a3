"""Clients that leave: nothing of theirs is sent to an endpoint afterwards, and no id of theirs runs twice."""

from __future__ import annotations

import asyncio
import socket

import pytest
from conftest import MS, RequestFailedError, StandInClient, World, settings

from lotusstream.counters import Counters
from lotusstream.deployment import read_settings
from lotusstream.net.actor import Supervisor
from lotusstream.net.call_ids import MAX_RECENT_COUNT, CallIds
from lotusstream.net.client_memory import ClientMemory, MemoryUse
from lotusstream.net.clock import Clock
from lotusstream.net.connection import is_closed_by_peer
from lotusstream.net.request_intake import ReadRequest, RequestIntake
from lotusstream.net.statement_search import StatementSearch
from lotusstream.protocol import front

MAX_DELAY_S = 0.1  # an attempt that begins later after its client's close breaks the rule
LOAD_COUNT = 8
LONG_PREFIX = "x = 1 and " * 20_000  # the search for the table behind it takes some 60 ms
MEMORY_BYTES = 64 << 20


async def close_after_sending(client: StandInClient) -> float:
    """Closes the connection behind all that was sent. Returns the time, seconds of the event loop."""
    while client.writer.transport.get_write_buffer_size():
        await asyncio.sleep(0.001)
    closed_at = asyncio.get_running_loop().time()
    client.writer.close()
    return closed_at


async def test_requests_that_are_unread_when_their_client_closes_are_not_sent(world: World) -> None:
    """A client sends eight loads of 200 KB at once, with the name of the table at their end, and closes. The
    gateway read no further while it searched a statement, and found the close only behind all eight: loads
    were sent up to 0.4 s after it."""
    await world.start("s-2", "s-3")
    arrivals: list[float] = []
    loop = asyncio.get_running_loop()
    for endpoint in world.endpoints:
        endpoint.behavior = "holds"
        add = endpoint.calls.add
        endpoint.calls.add = lambda call, add=add: (arrivals.append(loop.time()), add(call))
    client = await world.client()
    for number in range(LOAD_COUNT):
        client.ask("booking", f"{LONG_PREFIX} FROM sales_{number}.t")
    closed_at = await close_after_sending(client)
    other = await world.client()  # is answered after the gateway has read the close
    await asyncio.sleep(1.0)
    await other.probe()
    posts = [call for endpoint in world.endpoints for call in endpoint.posts()]
    assert all(arrival <= closed_at + MAX_DELAY_S for arrival in arrivals[: len(posts)])


async def test_request_that_is_withdrawn_while_its_statement_is_searched_is_not_sent(world: World) -> None:
    """The withdrawal was read only after the search, and the request could be on its way by then."""
    client = await world.start()
    client.give_up(client.ask("booking", f"{LONG_PREFIX} FROM sales_1.t"))
    await client.answer(client.ask("booking", f"{LONG_PREFIX} FROM sales_2.t"))
    assert [post.body[-9:] for post in world.endpoints[0].posts()] == [b"sales_2.t"]


async def test_call_id_that_comes_again_after_its_client_has_left_is_rejected(world: World) -> None:
    """The client of a load leaves while it runs, and another connection sends a load with the same id. It ran
    beside the first one, and the cancellation of the first, which names the id alone, could end it."""
    client = await world.start()
    world.endpoints[0].behavior = "holds"
    call = "7" * 16
    client.ask("booking", call=call)
    await world.endpoints[0].calls.until(lambda received: received.method == "POST")
    client.close()
    await world.endpoints[0].calls.until(lambda received: received.method == "DELETE")
    other = await world.client()
    with pytest.raises(RequestFailedError) as caught:
        await other.answer(other.ask("booking", call=call))
    assert caught.value.kind == "failed" and len(world.endpoints[0].posts()) == 1


async def test_call_id_of_an_answered_request_may_be_used_again(world: World) -> None:
    """Only ids of requests that may have run without an answer are remembered, so that usual traffic takes no
    memory for them."""
    client = await world.start()
    for _ in range(2):
        await client.answer(client.ask(call="7" * 16))


def test_remembered_call_ids_are_limited() -> None:
    """Clients that leave again and again would otherwise take memory without end."""
    ids = CallIds()
    for number in range(MAX_RECENT_COUNT + 1):
        ids.add(f"{number:016x}")
        ids.release(f"{number:016x}", may_have_run=True)
    assert f"{0:016x}" not in ids
    assert f"{1:016x}" in ids and f"{MAX_RECENT_COUNT:016x}" in ids


def test_close_is_seen_behind_unread_bytes() -> None:
    """A peek at the next byte shows a close only once all bytes before it were read."""
    server, client = socket.socketpair()
    client.sendall(b"unread")
    assert not is_closed_by_peer(server)
    client.close()
    assert is_closed_by_peer(server)
    server.close()
    assert is_closed_by_peer(server)


class Owner:
    """Collects the results of an intake."""

    def __init__(self) -> None:
        self.read: list[int] = []
        self.invalid: list[int] = []

    def on_request_read(self, request: ReadRequest) -> None:
        self.read.append(request.message.seqid)

    def on_request_invalid(self, seqid: int, _error: Exception) -> None:
        self.invalid.append(seqid)


async def test_intake_keeps_the_order_of_messages_and_releases_the_memory_of_others() -> None:
    """A request that waits behind a long statement is withdrawn, and another names no table. Their memory is
    released, and the remaining ones are reported in the order in which they came."""
    supervisor, owner = Supervisor(), Owner()
    memory = ClientMemory(MEMORY_BYTES, Counters())
    account = memory.open_account(socket.socket())
    deployment = read_settings(1, settings())
    intake = RequestIntake(owner, account, deployment, Clock(), StatementSearch(), None, supervisor)
    statements = [f"{LONG_PREFIX} FROM a_1.t", "FROM a_2.t", "SELECT 1", "FROM a_4.t", f"{LONG_PREFIX} a_5.t"]
    fields = {"op": "booking", "ttl": "6000"}
    for seqid, statement in enumerate(statements, 1):
        call = {"call": f"{seqid:016x}"}
        intake.add(front.ProcessRequest(seqid, fields | call, statement.encode()), 6000 * MS)
    intake.withdraw(2)
    assert len(intake) == 4 and 2 not in intake
    while len(intake):
        await asyncio.sleep(0.01)
    assert owner.read == [1, 4, 5] and owner.invalid == [3]
    kept = sum(len(statements[seqid - 1].encode()) for seqid in owner.read)
    assert memory.used(MemoryUse.STATEMENTS) == kept
    intake.add(front.ProcessRequest(6, fields | {"call": "6" * 16}, statements[0].encode()), 6000 * MS)
    intake.close()
    assert memory.used(MemoryUse.STATEMENTS) == kept
    await supervisor.stop()
