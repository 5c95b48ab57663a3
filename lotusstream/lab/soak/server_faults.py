"""Applies the faults of the servers of a soak run, and changes the endpoint list with them."""

from __future__ import annotations

import asyncio
import random
import time

from lotusstream.lab.link import HOST, Link
from lotusstream.lab.scale.servers import Server, ServerFleet
from lotusstream.lab.soak.configuration import OVERLOAD_FOR
from lotusstream.lab.soak.discovery_faults import DiscoveryFaults
from lotusstream.lab.soak.judge import ColdStart, SoakHistory
from lotusstream.lab.soak.plan import Fault, FaultHandlers, FaultKind, SoakPlan

DELIVERY_SECONDS = 0.2  # from the repair of a link until all that it held has arrived
DRAIN_SECONDS = 2.0  # time for which a server is listed as draining before it stops
SLOW_RESPONSE_SECONDS = (0.5, 4.0)  # shortest and longest time that a response of a slow discovery takes
WITHDRAWAL_DELAY_SECONDS = 0.5  # from the slowing of discovery until servers are listed as draining
MAX_ADDED_SERVERS = 200  # by one fault


class ServerFaults:
    """Owns the servers."""

    def __init__(
        self, plan: SoakPlan, history: SoakHistory, discovery: DiscoveryFaults, draw: random.Random
    ) -> None:
        self.fleet = ServerFleet(plan.cores, plan.work)
        self._plan, self._history, self._discovery, self._random = plan, history, discovery, draw
        self.handlers: FaultHandlers = {
            FaultKind.DRAIN: self._drain,
            FaultKind.REMOVE: self._remove,
            FaultKind.JOIN: self._join,
            FaultKind.WHOLE_LIST: self._whole_list,
            FaultKind.CRASH_SERVERS: self._crash_servers,
            FaultKind.SILENT_SERVERS: self._silent_servers,
            FaultKind.HANG_SERVERS: self._hang_servers,
            FaultKind.FULL_SERVERS: self._full_servers,
            FaultKind.RESET_CONNECTIONS: self._reset_connections,
            FaultKind.CLOSE_IDLE: self._close_connections,
            FaultKind.RESTART_MOST_SERVERS: self._restart_most_servers,
            FaultKind.SECOND_RESPONSES: self._second_responses,
            FaultKind.CUT_LINKS: self._cut_links,
            FaultKind.SLOW_DISCOVERY: self._slow_discovery,
        }
        self._links: dict[Server, Link] = {}

    async def start(self) -> list[Server]:
        """Starts the servers of the plan, some of them behind links, and returns them."""
        servers = await self.fleet.add(self._plan.servers)
        for server in servers[: self._plan.linked_servers]:
            link = self._links[server] = Link(server.port, server.address)
            link.start()
            server.endpoint = f"{HOST}:{link.port}"
        return servers

    def stop(self) -> None:
        for link in self._links.values():
            link.close()
        self.fleet.stop()

    def _select_servers(self, part: float) -> list[Server]:
        """Draws that share of the ready servers, at least one. Never draws the last two ready servers."""
        ready = [server for server in self.fleet.servers.values() if server.state == "ready"]
        count = min(max(1, int(part * len(ready))), max(0, len(ready) - 2))
        return self._random.sample(ready, count)

    async def _drain(self, fault: Fault) -> None:
        servers = self._select_servers(fault.part)
        self._discovery.publish_state(servers, "draining")
        await self._add_servers(len(servers))
        await asyncio.sleep(DRAIN_SECONDS)
        self._discovery.publish_state(servers, "gone")
        for server in servers:
            server.stop()

    async def _remove(self, fault: Fault) -> None:
        servers = self._select_servers(fault.part)
        for server in servers:
            server.stop()
        self._discovery.publish_state(servers, "gone")

    async def _join(self, fault: Fault) -> None:
        await self._add_servers(max(1, int(fault.part * self._plan.servers)))

    async def _add_servers(self, count: int) -> None:
        """Starts that many servers, at most MAX_ADDED_SERVERS, and lists them as just started."""
        servers = await self.fleet.add(min(count, MAX_ADDED_SERVERS))
        now = time.time()
        mean = sum(each.part for each in self._plan.classes) * self._plan.work
        plan = self._plan
        allowed = plan.fall_multiple * plan.cold_from * plan.cores * OVERLOAD_FOR / mean
        for server in servers:
            server.boot_ms = int(now * 1000)
            self._history.cold.append(ColdStart(server.uid, now, allowed, OVERLOAD_FOR))
        self._discovery.publish_state(servers, "ready")

    async def _whole_list(self, fault: Fault) -> None:
        """Lists some servers as draining in a snapshot, without a delta."""
        for server in self._select_servers(fault.part):
            server.state = "draining"
            self._discovery.withdraw(server)
        entries = [each.entry() for each in self.fleet.servers.values() if each.state != "gone"]
        self._discovery.current.publish(*entries, whole=True)

    async def _crash_servers(self, fault: Fault) -> None:
        servers = self._select_servers(fault.part)
        for server in servers:
            server.stop()
        await asyncio.sleep(fault.length / 2)
        self._discovery.publish_state(servers, "gone")

    async def _restart_most_servers(self, fault: Fault) -> None:
        """Stops all ready servers except two, then starts as many new ones, at most MAX_ADDED_SERVERS."""
        servers = self._select_servers(1.0)
        for server in servers:
            server.stop()
        self._discovery.publish_state(servers, "gone")
        await asyncio.sleep(min(1.0, fault.length))
        await self._add_servers(len(servers))

    async def _silent_servers(self, fault: Fault) -> None:
        servers = self._select_servers(fault.part)
        for server in servers:
            server.silent = True
        await asyncio.sleep(fault.length)
        for server in servers:
            server.silent = False

    async def _hang_servers(self, fault: Fault) -> None:
        """Lets servers hang, and go on with what came meanwhile. Those behind links are left out: a link that
        is cut at the same time holds the cancellation of an attempt that it has let through."""
        servers = [each for each in self._select_servers(fault.part) if each not in self._links]
        for server in servers:
            server.hang()
        await asyncio.sleep(fault.length)
        for server in servers:
            server.go_on()

    async def _full_servers(self, fault: Fault) -> None:
        servers = self._select_servers(fault.part)
        for server in servers:
            server.full = True
        await asyncio.sleep(fault.length)
        for server in servers:
            server.full = False

    async def _reset_connections(self, fault: Fault) -> None:
        for server in self._select_servers(fault.part):
            server.reset_connections()

    async def _close_connections(self, fault: Fault) -> None:
        for server in self._select_servers(fault.part):
            server.close_connections()

    async def _second_responses(self, fault: Fault) -> None:
        """All servers, those that start later too, send each status and each result a second time."""
        self.fleet.repeats_responses = True
        await asyncio.sleep(fault.length)
        self.fleet.repeats_responses = False

    async def _cut_links(self, fault: Fault) -> None:
        """Cuts the links, then repairs them. What gateways sent meanwhile and did not take back arrives."""
        for link in self._links.values():
            link.cut()
        await asyncio.sleep(fault.length)
        for server, link in self._links.items():
            server.delivers_held_until = time.time() + DELIVERY_SECONDS
            link.repair()

    async def _slow_discovery(self, fault: Fault) -> None:
        """Slows the responses of discovery, and lists some servers as draining that go on running."""
        response_seconds = self._random.uniform(*SLOW_RESPONSE_SECONDS)
        slowing = asyncio.create_task(self._discovery.be_slow(response_seconds, fault.length))
        await asyncio.sleep(WITHDRAWAL_DELAY_SECONDS)
        await self._whole_list(fault)
        await slowing
