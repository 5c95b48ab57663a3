"""Graceful shutdowns of gateways that hold replicas, while the answers of requests wait to be stored."""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections.abc import AsyncIterator

import pytest

from lotusstream.lab.fleet.rig import FleetRig
from lotusstream.lab.stand_ins import WAIT_TIMEOUT_S, RequestFailedError, StandInClient

SHARD_COUNT = 64
REQUEST_COUNT = 18
# The lease is longer than a shutdown, so that a primary that has ended is not replaced for its expiry.
DIRECTIVES = (
    "heartbeat 60ms", "election 400ms", "lease 10s", "drift 5%", "copies 3 promise 2",
    f"shards {SHARD_COUNT}", "remember 10m",
)  # fmt: skip
SHARD_CONTROL_TASK = "copies"
KEYS = itertools.count(1)


@pytest.fixture
async def rig() -> AsyncIterator[FleetRig]:
    """Three gateways with all replicas, and six endpoints that go on running each query."""
    tasks = (SHARD_CONTROL_TASK,)
    async with FleetRig(3, 3, seed=91, tasks=tasks, directives=DIRECTIVES, replicas=True, endpoints=6) as rig:
        await rig.wait_until_replicated(SHARD_COUNT)
        for endpoint in rig.endpoints:
            endpoint.behavior = "holds"
        yield rig
        broken = [line for each in rig.gateways.values() for line in each.lines if "Traceback" in line]
        assert not broken, broken[0]
        assert not rig.effects.keys_run_twice


async def send_loads(rig: FleetRig, name: str) -> tuple[StandInClient, list[int]]:
    """Sends loads with idempotency keys of many shards to a gateway, and waits until the endpoints run them.
    Returns the client and the sequence numbers."""
    client = await rig.gateways[name].client()
    run_before = len(rig.effects.run_counts_by_key)
    seqids = [client.ask("load", dedupe=f"{next(KEYS):032x}") for _ in range(REQUEST_COUNT)]
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while len(rig.effects.run_counts_by_key) < run_before + REQUEST_COUNT:
            await asyncio.sleep(0.02)
    return client, seqids


async def outcome(client: StandInClient, seqid: int) -> str:
    """Waits for the answer to a request. Returns "answered", or the kind and the fields of the error."""
    try:
        await client.answer(seqid)
    except RequestFailedError as error:
        return f"{error.kind}: {error.fields}"
    return "answered"


async def test_gateway_that_controls_the_shards_answers_all_requests_before_it_ends(rig: FleetRig) -> None:
    """A gateway that shut down gave up the control of the shards before its own shards had other primaries.
    The answers to requests with keys of these shards could not be stored, and the process ended without them.
    """
    name = await rig.wait_for_lease_holder(SHARD_CONTROL_TASK)
    client, seqids = await send_loads(rig, name)
    rig.gateways[name].signal(signal.SIGTERM)
    await asyncio.sleep(1.0)
    for endpoint in rig.endpoints:
        endpoint.behavior = "answers"
    await asyncio.wait_for(client.closed.wait(), WAIT_TIMEOUT_S)
    lost = [seqid for seqid in seqids if seqid not in client.answers]
    assert not lost, f"{len(lost)} without an answer"
    assert {await outcome(client, seqid) for seqid in seqids} == {"answered"}
    assert await rig.gateways[name].terminate() == 0


async def test_keys_of_a_gateway_that_has_left_can_be_claimed_at_once(rig: FleetRig) -> None:
    """The gateway that controls the shards leaves. Its shards had no primary until its lease had expired by
    the clock of the next controller, so that requests with their keys were rejected in the meantime."""
    left = await rig.wait_for_lease_holder(SHARD_CONTROL_TASK)
    await rig.gateways[left].terminate()
    for endpoint in rig.endpoints:
        endpoint.behavior = "answers"
    client = await rig.gateways[next(name for name in rig.names if name != left)].client()
    seqids = [client.ask("load", dedupe=f"{next(KEYS):032x}", ttl="3000") for _ in range(REQUEST_COUNT)]
    assert [await outcome(client, seqid) for seqid in seqids] == ["answered"] * REQUEST_COUNT


async def test_second_gateway_that_leaves_right_after_the_first_answers_all_requests(rig: FleetRig) -> None:
    """The only other disk of some shards is in the gateway that has just been restarted, so that some answers
    can't be stored. Their requests must get a reply all the same."""
    first = await rig.wait_for_lease_holder(SHARD_CONTROL_TASK)
    await rig.gateways[first].terminate()
    await rig.gateways[first].start()
    await rig.gateways[first].ready()
    second = await rig.wait_for_lease_holder(SHARD_CONTROL_TASK)
    client, seqids = await send_loads(rig, second)
    rig.gateways[second].signal(signal.SIGTERM)
    await asyncio.sleep(1.0)
    for endpoint in rig.endpoints:
        endpoint.behavior = "answers"
    await asyncio.wait_for(client.closed.wait(), WAIT_TIMEOUT_S)
    lost = [seqid for seqid in seqids if seqid not in client.answers]
    assert not lost, f"{len(lost)} without an answer"


async def test_fleet_that_shuts_down_as_a_whole_answers_all_requests(rig: FleetRig) -> None:
    """No primary is left that could store an answer. Requests whose answers waited to be stored got no reply,
    since they had no deadline before that of their client."""
    sent = [await send_loads(rig, name) for name in rig.names]
    for name in rig.names:
        rig.gateways[name].signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    for endpoint in rig.endpoints:
        endpoint.behavior = "answers"
    for client, seqids in sent:
        await asyncio.wait_for(client.closed.wait(), WAIT_TIMEOUT_S)
        lost = [seqid for seqid in seqids if seqid not in client.answers]
        assert not lost, f"{len(lost)} without an answer"
