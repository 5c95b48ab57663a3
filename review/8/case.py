"""A planned restart loses keyed loads whose answers have come and could not be stored yet."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import peers_2 as peers

COUNT = 30  # loads
RUN_MS = 2000  # how long each load runs
WORK_MS = "4000.0"  # the client's estimate: two threads for that time
TERM_AT_S = 1.0  # after the loads were sent
TTL_MS = 25_000
NAMES = ["n1", "n2", "n3"]
DIRECTIVES = ["copies 3 promise 2", "remember 10m", "lease 10s"]


async def case() -> bool:
    """Sends loads by one gateway, and ends it by SIGTERM while they run."""
    classes = [
        peers.request_class("lookup", "repeatable", 1.2, 6),
        peers.request_class("load", "by_key", 3, 25),
    ]
    async with peers.Stage(__file__, engines=6) as stage:
        configured = peers.settings(classes, n_instances=3)
        gateways = await stage.fleet(NAMES, configured, DIRECTIVES, shards=64, tasks=set(NAMES))
        target = await assigning_gateway(gateways)
        stage.say(f"{target.name} assigns the shards")
        client = await peers.Client().connect(target.port)
        marks = [peers.new_id() * 2 for _ in range(COUNT)]
        asked = {
            mark: client.ask("load", statement(number), TTL_MS, dedupe=mark, work=WORK_MS)
            for number, mark in enumerate(marks)
        }
        stage.say(f"the client sends {COUNT} loads to {target.name}")
        await asyncio.sleep(TERM_AT_S)
        if stage.trouble:
            stage.say(f"{target.name} gets SIGTERM")
            target.signal(signal.SIGTERM)
        replies = {mark: await asked[mark] for mark in marks}
        for mark, reply in replies.items():
            stage.say(f"mark {mark}: {reply.how} {reply.fields}, applied {stage.store.count(mark)} times")
        if stage.trouble and target.process is not None:
            status = await asyncio.wait_for(target.process.wait(), 30)
            stage.say(f"{target.name} has ended with status {status}")
        lost = [mark for mark, reply in replies.items() if reply.how == "closed"]
        for mark in lost:
            stage.say(f"BROKEN: mark {mark} got no answer, and was applied {stage.store.count(mark)} times")
        return not lost


async def assigning_gateway(gateways: list[peers.Gateway]) -> peers.Gateway:
    """Returns the gateway that holds the lease of the task `copies`."""
    for gateway in gateways:
        here = ((await gateway.ctl("leases")) or {}).get("here", {})
        if here.get("copies"):
            return gateway
    raise peers.NotReadyError("no gateway assigns the shards")


def statement(number: int) -> str:
    """Returns a load of a table group of its own."""
    return f"INSERT INTO sales_{number + 1}.orders SELECT * FROM staging.batch /* {RUN_MS} ms */"


if __name__ == "__main__":
    peers.main(case)
