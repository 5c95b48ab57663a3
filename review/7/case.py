"""Keyed requests run twice: engines that hung read the sends that the gateway had given up long before."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import peers_2 as peers

WINDOW_S = 3.0  # how long the engines drop a repeat of a mark
HANG_S, BEFORE_S = 6.0, 4.0  # how long two of ten engines hang, and the time before
RATE = 60  # requests a second
TTL_MS = 6000


async def case() -> bool:
    """Sends marked requests, each once, while two engines are stopped and continued."""
    classes = [peers.request_class("lookup", "by_key", 1.2, 6, window=int(WINDOW_S * 1e6))]
    async with peers.Stage(__file__, engines=8, window_s=WINDOW_S, engine_processes=2) as stage:
        gateway = stage.gateway("g1")
        await gateway.start(peers.settings(classes), {"cores": 1.0, "memory_mb": 192, "sockets": 1024})
        await gateway.ready()
        asked: dict[str, asyncio.Future[peers.Reply]] = {}
        sending = asyncio.create_task(send(gateway.port, asked))
        await asyncio.sleep(BEFORE_S)
        await hang(stage)
        await asyncio.sleep(2)
        sending.cancel()
        for reply in asked.values():
            await asyncio.wait([reply])
        await asyncio.sleep(1)
        twice = [mark for mark in asked if stage.store.count(mark) > 1]
        stage.say(f"{len(asked)} requests, each sent once by its client")
        for mark in twice:
            runs = [f"at {uid}" for _, each, uid in stage.store.applied if each == mark]
            stage.say(f"BROKEN: mark {mark} was applied {len(runs)} times: {', '.join(runs)}")
        return not twice


async def hang(stage: peers.Stage) -> None:
    """Stops two engines for a time."""
    if stage.trouble:
        stage.say(f"{' and '.join(each.engine.uid for each in stage.engine_processes)} hang")
        for each in stage.engine_processes:
            each.signal(signal.SIGSTOP)
    await asyncio.sleep(HANG_S)
    for each in stage.engine_processes:
        each.signal(signal.SIGCONT)
    stage.say("they go on")


async def send(port: int, asked: dict[str, asyncio.Future[peers.Reply]]) -> None:
    """Sends requests over several connections."""
    draws = random.Random(1)
    clients = [await peers.Client().connect(port) for _ in range(8)]
    while True:
        mark = peers.new_id() * 2
        run_ms = draws.choice([60, 150, 300])
        statement = f"SELECT a FROM sales_{draws.randrange(12)}.loans /* {run_ms} ms */"
        client = draws.choice(clients)
        asked[mark] = client.ask("lookup", statement, TTL_MS, dedupe=mark, work=f"{run_ms}.0")
        await asyncio.sleep(draws.expovariate(RATE))


if __name__ == "__main__":
    peers.main(case)
