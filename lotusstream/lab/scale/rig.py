"""Runs one gateway process beside a fleet of stand-in servers, and measures the resources that it uses."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lotusstream.lab.scale.checker import History
from lotusstream.lab.scale.load import Load
from lotusstream.lab.scale.process import PROGRAM, GatewayProcess, Usage
from lotusstream.lab.scale.servers import Server, ServerFleet
from lotusstream.lab.stand_ins import StandInDiscovery

MS, S = 1_000, 1_000_000
DRAIN_GRACE = 2.0  # seconds after a server is withdrawn in which attempts may still arrive at it


@dataclass(frozen=True, slots=True)
class Plan:
    """Size of the fleet and of its load."""

    servers: int
    rate: float  # mean requests per second
    seconds: float  # length of the run
    # Cores of each server. Divide a constant by `servers` to give fleets of any size the same capacity.
    cores: float = 1.0
    work: float = 0.2  # seconds that a query takes on an idle server
    deadline: float = 1.5  # client timeout, seconds
    gateways: int = 25  # number of gateways that the configuration names; only one runs
    seed: int = 1
    give_up_share: float = 0.0  # share of the requests that the client gives up after a third of the timeout
    planted: str | None = None  # defect of lab/scale/planted.py that the gateway has; None: no defect


class CountingDiscovery(StandInDiscovery):
    """Discovery that counts the bytes of its responses."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes_sent = 0

    async def respond(self, call: Any) -> bytes | None:
        response = await super().respond(call)
        self.bytes_sent += len(response or b"")
        return response


class Rig:
    """One gateway, a fleet of servers, discovery and clients. Call `start`, then `run`, then `stop`.

    `withdrawn`: when each server was first listed as draining or gone, Unix seconds, by server id.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.fleet = ServerFleet(plan.cores, plan.work)
        self.discovery = CountingDiscovery()
        self.withdrawn: dict[str, float] = {}
        planted = plan.planted
        program = PROGRAM if planted is None else ("lotusstream.lab.scale.planted", planted)
        self.gateway = GatewayProcess(folder, program)
        self.load: Load | None = None

    async def start(self) -> None:
        await self.discovery.start()
        servers = await self.fleet.add(self.plan.servers)
        self.discovery.publish(*(server.entry() for server in servers), whole=True)
        self.gateway.configure(self._configuration())
        await self.gateway.start()
        plan = self.plan
        self.load = Load(self.gateway.port, plan.rate, plan.deadline, plan.seed, plan.give_up_share)

    async def run(self) -> History:
        """Sends the plan's requests, and returns what clients and servers have recorded."""
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
        """Starts that many servers and lists them as just started. Returns them."""
        servers = await self.fleet.add(count)
        for server in servers:
            server.boot_ms = int(time.time() * 1000)
        self.discovery.publish(*(server.entry() for server in servers))
        return servers

    def _withdraw(self, servers: list[Server], state: str) -> None:
        for server in servers:
            server.state = state
            self.withdrawn.setdefault(server.uid, time.time())
        self.discovery.publish(*(server.entry() for server in servers))

    async def stop(self) -> None:
        if self.load is not None:
            self.load.stop()
        await self.gateway.kill()
        self.discovery.crash()
        self.fleet.stop()

    def measure(self) -> Usage:
        usage = self.gateway.measure()
        usage.connections = self.fleet.connections
        usage.list_bytes = self.discovery.bytes_sent
        return usage

    def _configuration(self) -> dict[str, object]:
        def profile(name: str, effect: str, objective: float) -> dict[str, object]:
            deadline = int(self.plan.deadline * S)
            return {
                "name": name,
                "aim": int(objective * S),
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
        latency_objective = self.plan.deadline / 2
        settings = {
            "flavors": ["std"],
            "zones": ["here"],
            "n_instances": self.plan.gateways,
            "period": 1000,
            "limits": limits,
            "rules": rules,
            "specifics": specifics,
            "request_classes": [
                profile("lookup", "repeatable", latency_objective),
                profile("load", "once", latency_objective),
            ],
        }
        return {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": f"{self.plan.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "board": f"127.0.0.1:{self.discovery.port}",
            "known": self.discovery.full_state(),
            "settings": settings,
        }
