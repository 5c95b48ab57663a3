"""Two loads of one table overlap, and the earlier one is applied last."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import peers_2 as peers

PAIRS = 5  # pairs of loads, each of a table of its own
FIRST_MS, SECOND_MS = 1000, 150  # how long the loads of a pair run
SECOND_AT_S = 1.15  # after the first load was sent
STALL_AT_S, STALL_S = 0.7, 0.5  # after the first load was sent: its engine stands still
TTL_MS = 25_000


async def case() -> bool:
    """Sends pairs of loads; the engine of each first load stands still once."""
    classes = [
        peers.request_class("lookup", "repeatable", 1, 5),
        peers.request_class("load", "once", 3, 25, fifo_by_key=True),
    ]
    configured = peers.settings(classes)
    configured["rules"]["key_rest"] = 300_000
    async with peers.Stage(__file__, engines=6) as stage:
        gateway = stage.gateway("g1")
        await gateway.start(configured, {"cores": 1.0, "memory_mb": 192, "sockets": 512})
        await gateway.ready()
        client = await peers.Client().connect(gateway.port)
        held = True
        for number in range(1, PAIRS + 1):
            held = await pair(stage, client, number) and held
            await asyncio.sleep(0.5)
        return held


async def pair(stage: peers.Stage, client: peers.Client, table: int) -> bool:
    """Sends two loads of a table, and returns whether the first was over before the second was sent on."""
    first_id, second_id = peers.new_id(), peers.new_id()
    first = client.ask("load", statement(table, "first", FIRST_MS), TTL_MS, call=first_id, work="2000.0")
    await asyncio.sleep(STALL_AT_S)
    if stage.trouble:
        engine = next(each for each in stage.engines if first_id in each.queries)
        engine.stalled_until = time.time() + STALL_S
        stage.say(f"{engine.uid} stands still for {STALL_S} s")
    await asyncio.sleep(SECOND_AT_S - STALL_AT_S)
    second = client.ask("load", statement(table, "second", SECOND_MS), TTL_MS, call=second_id, work="300.0")
    replies = [await first, await second]
    stage.say(f"sales_{table}: first {replies[0].how}, second {replies[1].how}")
    order = [mark for _, mark, _ in stage.store.applied if mark in (first_id, second_id)]
    if order == [second_id, first_id]:
        stage.say(f"BROKEN: sales_{table} holds the first load, which was applied after the second")
    return order != [second_id, first_id]


def statement(table: int, name: str, run_ms: int) -> str:
    """Returns a load that replaces what a table holds."""
    return f"INSERT OVERWRITE sales_{table}.readings VALUES ('{name}', 1, 1) /* {run_ms} ms */"


if __name__ == "__main__":
    peers.main(case)
