"""A gateway process that stands still for a while during a graceful shutdown."""

from __future__ import annotations

import asyncio
import signal

import pytest
from conftest import WAIT_TIMEOUT_S, World

REQUESTS_PER_CLIENT, CLIENT_COUNT = 20, 2


@pytest.mark.parametrize("stopped_at, stopped_for", [(3.35, 0.3), (3.0, 0.6), (1.4, 2.0)])
async def test_process_that_stands_still_during_a_shutdown_replies_to_every_request(
    world: World, stopped_at: float, stopped_for: float
) -> None:
    """The process stands still until after the deadline of its shutdown, or shortly before. Replies that are
    decided only then were not written: the shutdown ended at its deadline, and closed the connections. An
    idle client would hide this, since the gateway waits for it to close."""
    clients = [await world.start()]
    clients += [await world.client() for _ in range(CLIENT_COUNT - 1)]
    world.endpoints[0].behavior = "holds"
    open_requests = [
        (client, client.ask(ttl="20000")) for client in clients for _ in range(REQUESTS_PER_CLIENT)
    ]
    await world.endpoints[0].calls.until(lambda call: call.method == "POST")
    assert world.program is not None
    world.program.send_signal(signal.SIGTERM)
    await asyncio.sleep(stopped_at)
    world.program.send_signal(signal.SIGSTOP)
    await asyncio.sleep(stopped_for)
    world.program.send_signal(signal.SIGCONT)
    for client in clients:
        await asyncio.wait_for(client.closed.wait(), WAIT_TIMEOUT_S)
    answered = [seqid for client, seqid in open_requests if seqid in client.answers]
    assert len(answered) == len(open_requests)
    assert await world.wait_for_exit() == 0
