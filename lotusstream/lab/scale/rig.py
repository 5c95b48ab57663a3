"""Starts one gateway by its command line beside a fleet of stand-in servers, and measures what it needs."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lotusstream.lab.parties import StandInBoard
from lotusstream.lab.scale.checker import History
from lotusstream.lab.scale.load import Load
from lotusstream.lab.scale.servers import Server, ServerFleet

READY_WITHIN = 30.0  # seconds
LAST_LINE = "counters end"
MS, S = 1_000, 1_000_000
DRAIN_GRACE = 2.0  # seconds


@dataclass(frozen=True, slots=True)
class Plan:
    """`cores`: of a server, so that the fleet's capacity stays the same for any number of them. `deadline`,
    `work`: seconds."""

    servers: int
    rate: float
    seconds: float
    cores: float = 1.0
    work: float = 0.2
    deadline: float = 1.5
    gateways: int = 25
    seed: int = 1
    leaves: float = 0.0
    planted: str | None = None  # of lab/scale/planted.py


@dataclass(slots=True)
class Usage:
    """What the gateway has needed. Memory in MB."""

    cpu_seconds: float = 0.0
    peak_memory: float = 0.0
    descriptors: int = 0
    connections: int = 0
    list_bytes: int = 0
    counters: dict[str, float] = field(default_factory=dict)


class CountingBoard(StandInBoard):
    """Discovery that counts the bytes of lists that it has told."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes_told = 0

    async def respond(self, call: Any) -> bytes | None:
        answer = await super().respond(call)
        self.bytes_told += len(answer or b"")
        return answer


class Rig:
    """Use: `start`, `run` or a schedule of one's own, `stop`."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self._folder = plan, folder
        self.fleet = ServerFleet(plan.cores, plan.work)
        self.board = CountingBoard()
        self.withdrawn: dict[str, float] = {}
        self.lines: list[str] = []
        self.program: asyncio.subprocess.Process | None = None
        self.load: Load | None = None
        self._reading: asyncio.Task[None] | None = None
        self._sampling: asyncio.Task[None] | None = None
        self.usage = Usage()

    async def start(self) -> None:
        await self.board.start()
        servers = await self.fleet.add(self.plan.servers)
        self.board.tell(*(server.entry() for server in servers), whole=True)
        await self._start_gateway()

    async def run(self) -> History:
        """The plan's traffic, and what was seen of it."""
        assert self.load is not None
        await self.load.run(self.plan.seconds)
        return self.history()

    def history(self) -> History:
        assert self.load is not None
        return History(self.load.outcomes, self.fleet.attempts, dict(self.withdrawn), DRAIN_GRACE)

    def drain(self, servers: list[Server]) -> None:
        self._withdraw(servers, "draining")

    def remove(self, servers: list[Server]) -> None:
        self._withdraw(servers, "gone")

    async def join(self, count: int) -> list[Server]:
        """That many new servers, cold, listed at once."""
        servers = await self.fleet.add(count)
        for server in servers:
            server.boot_ms = int(time.time() * 1000)
        self.board.tell(*(server.entry() for server in servers))
        return servers

    def _withdraw(self, servers: list[Server], state: str) -> None:
        for server in servers:
            server.state = state
            self.withdrawn.setdefault(server.uid, time.time())
        self.board.tell(*(server.entry() for server in servers))

    async def stop(self) -> None:
        for task in (self._sampling, self._reading):
            if task is not None:
                task.cancel()
        if self.load is not None:
            self.load.stop()
        if self.program is not None and self.program.returncode is None:
            self.program.kill()
            await self.program.wait()
        self.board.die()
        self.fleet.stop()

    async def print_counters(self) -> None:
        """Asks the gateway for its counters, by signal, and takes them into `usage`."""
        assert self.program is not None
        before = self.lines.count(LAST_LINE)
        self.program.send_signal(signal.SIGUSR1)
        async with asyncio.timeout(READY_WITHIN):
            while self.lines.count(LAST_LINE) == before:
                await asyncio.sleep(0.02)
        for line in self.lines:
            if found := re.fullmatch(r"(.+?) ([0-9.e+]+)( at most)?", line):
                self.usage.counters[found[1]] = float(found[2])

    def measure(self) -> Usage:
        """What the gateway has needed since its start, by the system's account."""
        assert self.program is not None
        ticks = Path(f"/proc/{self.program.pid}/stat").read_text().rpartition(")")[2].split()
        self.usage.cpu_seconds = (int(ticks[11]) + int(ticks[12])) / os.sysconf("SC_CLK_TCK")
        status = Path(f"/proc/{self.program.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        self.usage.peak_memory = int(found[1]) / 1024 if found else 0.0
        self.usage.connections = self.fleet.connections
        self.usage.list_bytes = self.board.bytes_told
        return self.usage

    def _configuration(self) -> dict[str, object]:
        def profile(name: str, effect: str, target: float) -> dict[str, object]:
            deadline = int(self.plan.deadline * S)
            return {
                "name": name,
                "aim": int(target * S),
                "deadline": deadline,
                "effect": effect,
                "gain": 1.0,
                "group": "all",
                "window": 15 * S,
            }

        limits = {
            "cancelling": True,
            "second_copies": True,
            "conn_idle": 10 * S,
            "max_attempts": 4,
            "connect_timeout": 250 * MS,
            "max_open": 20000,
            "retry_after": True,
            "max_retry_after": 500 * MS,
        }
        rules = {
            "cold_from": 0.3,
            "warm_up": 15 * S,
            "fall_multiple": 4.0,
            "overload_for": S,
            "drain_grace": int(DRAIN_GRACE * S),
        }
        specifics = {
            "cpu_of_kind": [self.plan.cores],
            "threads_by_class": [1, 1],
            "writes_tables": [False, True],
            "class_waits": [True, False],
            "ranks_heeded": True,
        }
        target = self.plan.deadline / 2
        settings = {
            "flavors": ["std"],
            "zones": ["here"],
            "n_instances": self.plan.gateways,
            "period": 1000,
            "limits": limits,
            "rules": rules,
            "specifics": specifics,
            "request_classes": [profile("lookup", "repeatable", target), profile("load", "once", target)],
        }
        return {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": f"{self.plan.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "board": f"127.0.0.1:{self.board.port}",
            "known": self.board.known(),
            "settings": settings,
        }

    async def _start_gateway(self) -> None:
        path = self._folder / "config.json"
        path.write_text(json.dumps(self._configuration()))
        planted = self.plan.planted
        program = ["lotusstream"] if planted is None else ["lotusstream.lab.scale.planted", planted]
        self.program = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-O", "-m", *program, "serve", "--config", str(path)),
            stderr=asyncio.subprocess.PIPE,
            limit=1 << 20,
        )
        async with asyncio.timeout(READY_WITHIN):
            port = await self._port()
        self._reading = asyncio.create_task(self._read_lines())
        self._sampling = asyncio.create_task(self._sample())
        plan = self.plan
        self.load = Load(port, plan.rate, plan.deadline, plan.seed, plan.leaves)

    async def _port(self) -> int:
        assert self.program is not None and self.program.stderr is not None
        while line := (await self.program.stderr.readline()).decode().rstrip():
            self.lines.append(line)
            if found := re.search(r"listening on 127\.0\.0\.1:(\d+)", line):
                return int(found[1])
        raise RuntimeError("the gateway did not start:\n" + "\n".join(self.lines))

    async def _read_lines(self) -> None:
        assert self.program is not None and self.program.stderr is not None
        async for line in self.program.stderr:
            self.lines.append(line.decode().rstrip())

    async def _sample(self) -> None:
        """The most descriptors that the gateway held."""
        assert self.program is not None
        while True:
            try:
                held = len(os.listdir(f"/proc/{self.program.pid}/fd"))
            except OSError:
                return
            self.usage.descriptors = max(self.usage.descriptors, held)
            await asyncio.sleep(0.1)
