"""Clients together must not take more memory than their part of the gateway's.

Messages that never end had a limit each, and none together: 320 connections took a gateway with 64 MB over
its limit within 0.3 s, and the platform killed it.
"""

from __future__ import annotations

import asyncio
import gc
import re
import signal
import socket
import sys
import weakref
from pathlib import Path

import pytest
from conftest import World, settings

from lotusstream.counters import Counters
from lotusstream.deployment import read_settings
from lotusstream.lab.unfinished_messages import unfinished_messages
from lotusstream.net.actor import Supervisor
from lotusstream.net.buffer import Buffer, BufferFullError
from lotusstream.net.client import ClientConnection
from lotusstream.net.client_limits import ClientConnectionLimiter
from lotusstream.net.client_memory import ClientAccount, ClientMemory, MemoryBudgetError, MemoryUse
from lotusstream.net.clock import Clock
from lotusstream.net.statement_search import StatementSearch

MB = 1 << 20
UNFINISHED_CLIENT_COUNT = 320  # with the usual ones fewer than a third of the descriptors
TROUBLE_SECONDS = 3.0
MAX_SHUTDOWN_SECONDS = 2.0  # without open requests; the shortest shutdown takes 0.7 s


def own_memory_mb(pid: int) -> float:
    """Returns the memory of a process without files, MB."""
    found = re.search(r"RssAnon:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    assert found is not None
    return int(found[1]) / 1024


@pytest.mark.skipif(not sys.platform.startswith("linux"), reason="reads /proc")
@pytest.mark.parametrize("memory_mb", [32, 64, 192])
async def test_unfinished_messages_keep_the_memory_limit_and_usual_clients_are_served(
    world: World, memory_mb: int
) -> None:
    """320 clients send messages that never end, again after each close, while a usual client asks."""
    world.limits["memory_mb"] = memory_mb
    usual = await world.start()
    assert world.program is not None
    most_mb = 0.0
    ends_at = asyncio.get_running_loop().time() + TROUBLE_SECONDS
    async with unfinished_messages(world.port, UNFINISHED_CLIENT_COUNT):
        while asyncio.get_running_loop().time() < ends_at:
            most_mb = max(most_mb, own_memory_mb(world.program.pid))
            rows, is_good = await usual.answer(usual.ask())
            assert is_good and rows == b"".join(world.endpoints[0].pages)
            await asyncio.sleep(0.01)
    assert most_mb < memory_mb
    assert (await world.counters())["memory refused"] > 0


async def test_clients_without_memory_do_not_delay_a_shutdown(world: World) -> None:
    """Bytes for which there is no memory stay unread. A shutdown that waits for them would take until its
    deadline, 3.6 s, although no request is open."""
    world.limits["memory_mb"] = 32
    await world.start()
    assert world.program is not None
    async with unfinished_messages(world.port, UNFINISHED_CLIENT_COUNT):
        while (await world.counters()).get("memory refused", 0) < UNFINISHED_CLIENT_COUNT:
            await asyncio.sleep(0.02)
        began = asyncio.get_running_loop().time()
        world.program.send_signal(signal.SIGTERM)
        assert await world.wait_for_exit() == 0
    assert asyncio.get_running_loop().time() - began < MAX_SHUTDOWN_SECONDS


async def test_closed_connection_is_freed_without_a_collection() -> None:
    """Clients connect again and again. If a closed connection were part of a reference cycle, it would stay
    in memory until the next full collection, and memory would grow without end."""
    server, other = socket.socketpair()
    server.setblocking(False)
    clock, supervisor = Clock(), Supervisor()
    limiter = ClientConnectionLimiter(8, 1, clock, supervisor)
    client = ClientConnection(
        server, read_settings(1, settings()), clock, lambda _event: None, lambda: True,
        memory_of(16 * MB), limiter, StatementSearch(), supervisor,
    )  # fmt: skip
    assert limiter.admit(client)
    freed = weakref.ref(client)
    serving = asyncio.create_task(client.serve())
    await asyncio.sleep(0.01)
    gc.disable()
    try:
        other.close()
        await serving
        del client, serving
        await asyncio.sleep(0.01)
        assert freed() is None
    finally:
        gc.enable()


def memory_of(memory: int) -> ClientMemory:
    return ClientMemory(memory, Counters())


def account_in(memory: ClientMemory, valid_message_count: int = 0) -> ClientAccount:
    """Returns the account of a connection that has sent that many valid messages."""
    account = memory.open_account(socket.socket())
    account.valid_message_count = valid_message_count
    return account


def closed(*accounts: ClientAccount) -> list[bool]:
    return [account.is_closed for account in accounts]


def test_connections_with_the_fewest_valid_messages_are_closed_first() -> None:
    """A usual client keeps its message, however long, while others have sent nothing usable. Of those the
    one with the most bytes goes first. A client that has sent nothing usable itself closes none."""
    memory = memory_of(16 * MB)  # 1 MB for received bytes
    usual, small, large = account_in(memory, 3), account_in(memory), account_in(memory)
    small.reserve(MemoryUse.RECEIVED, MB // 8)
    large.reserve(MemoryUse.RECEIVED, MB // 2)
    usual.reserve(MemoryUse.RECEIVED, MB // 2)
    assert closed(usual, small, large) == [False, False, True]
    with pytest.raises(MemoryBudgetError):
        small.reserve(MemoryUse.RECEIVED, MB)
    assert memory.used(MemoryUse.RECEIVED) == MB // 8 + MB // 2


def test_client_that_has_sent_least_gets_no_memory() -> None:
    """The client that needs more memory is the one with the fewest valid messages. It has to wait; if it were
    closed, it would connect again at once."""
    memory = memory_of(16 * MB)
    usual, bad = account_in(memory, 3), account_in(memory)
    usual.reserve(MemoryUse.RECEIVED, MB)
    with pytest.raises(MemoryBudgetError):
        bad.reserve(MemoryUse.RECEIVED, 1)
    assert closed(usual, bad) == [False, False] and memory.used(MemoryUse.RECEIVED) == MB


@pytest.mark.parametrize("use", [MemoryUse.STATEMENTS, MemoryUse.REPLIES])
def test_connection_with_an_open_request_is_not_closed_for_another(use: MemoryUse) -> None:
    """Bad clients sent many valid messages, so that the connection of a usual one went first. The answer to
    its open request was lost with it."""
    memory = memory_of(16 * MB)  # 1 MB for received bytes
    usual, bad = account_in(memory, 2), account_in(memory, 40)
    usual.reserve(use, 100)
    usual.reserve(MemoryUse.RECEIVED, MB)
    with pytest.raises(MemoryBudgetError):
        bad.reserve(MemoryUse.RECEIVED, 1)
    assert closed(usual) == [False]
    usual.release(use, 100)
    bad.reserve(MemoryUse.RECEIVED, 1)
    assert closed(usual) == [True]


def test_unread_replies_close_the_client_with_the_most() -> None:
    """A client that reads nothing is cut off, even if it has sent valid messages all the time."""
    memory = memory_of(16 * MB)  # 2 MB for replies
    slow, usual = account_in(memory, 1000), account_in(memory, 1)
    slow.reserve(MemoryUse.REPLIES, 2 * MB - 100)
    usual.reserve(MemoryUse.REPLIES, 200)
    assert closed(slow, usual) == [True, False] and memory.used(MemoryUse.REPLIES) == 200


def test_statement_without_memory_is_refused_and_no_connection_closed() -> None:
    """Closing a connection would lose the answers to its other requests."""
    memory = memory_of(16 * MB)  # 2 MB for statements
    first, second = account_in(memory, 1), account_in(memory, 1)
    first.reserve(MemoryUse.STATEMENTS, 2 * MB)
    with pytest.raises(MemoryBudgetError):
        second.reserve(MemoryUse.STATEMENTS, 1)
    first.release(MemoryUse.STATEMENTS, 2 * MB)
    second.reserve(MemoryUse.STATEMENTS, 1)
    assert closed(first, second) == [False, False]


def test_all_uses_share_one_limit() -> None:
    """Each use is within its limit, all together are not: received bytes give way."""
    memory = memory_of(16 * MB)  # 4 MB for all
    bad, usual = account_in(memory), account_in(memory, 1)
    usual.reserve(MemoryUse.STATEMENTS, 2 * MB)
    bad.reserve(MemoryUse.RECEIVED, MB)
    usual.reserve(MemoryUse.REPLIES, MB + 1)
    assert closed(bad, usual) == [True, False]


def test_memory_of_a_closed_connection_is_counted_no_more() -> None:
    """What a connection releases after it was closed must not be subtracted a second time."""
    memory = memory_of(16 * MB)
    client = account_in(memory)
    client.reserve(MemoryUse.RECEIVED, 1000)
    client.forget()
    client.release(MemoryUse.RECEIVED, 1000)
    assert memory.used(MemoryUse.RECEIVED) == 0


def test_buffer_names_the_growth_before_it_takes_the_memory() -> None:
    """Memory is reserved before it is taken, and given back when the buffer is empty again."""
    buffer = Buffer(4, 12)
    growths = []
    for _ in range(3):
        growths.append(buffer.next_growth())
        buffer.filled(len(buffer.space()))
    assert growths == [0, 4, 4] and len(buffer) == 12
    assert buffer.next_growth() == 0
    with pytest.raises(BufferFullError):
        buffer.space()
    buffer.consume(1)
    assert buffer.next_growth() == 0 and len(buffer.space()) == 1
    buffer.consume(len(buffer))
    assert buffer.next_growth() == -8 and len(buffer.space()) == 4
