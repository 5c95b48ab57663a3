"""Publishes the endpoint list of a soak run, and applies the faults of discovery."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from lotusstream.lab.scale.servers import Server
from lotusstream.lab.soak.judge import SoakHistory
from lotusstream.lab.soak.plan import Fault, FaultHandlers, FaultKind
from lotusstream.lab.stand_ins import StandInDiscovery

OLD_DISCOVERY_CLOSES_AFTER_SECONDS = 1.5  # from discovery's move to a new address until the old one closes
DISCOVERY_FAULT_GRACE_SECONDS = 7.0  # after a fault of discovery, until gateways must follow its list again


class DiscoveryFaults:
    """Owns the stand-ins of discovery.

    :param reload_gateways: makes all gateways read their configurations, which name the new address.
    """

    def __init__(self, history: SoakHistory, reload_gateways: Callable[[], None]) -> None:
        self.current = StandInDiscovery()
        self._history, self._reload_gateways = history, reload_gateways
        self._old: list[StandInDiscovery] = []
        self._down: set[StandInDiscovery] = set()
        # Gateways need not follow changes of the endpoint list before this time, Unix seconds. Faults of
        # discovery postpone it.
        self._list_applies_from = 0.0
        # From a change of the endpoint list until gateways must follow it. Longer once responses are slow, as
        # they may still be on their way when later ones are fast again.
        self._propagation_seconds = 0.0
        self.handlers: FaultHandlers = {
            FaultKind.DISCOVERY_DOWN: self._go_down,
            FaultKind.DISCOVERY_SILENT: self._be_silent,
            FaultKind.NEW_DISCOVERY: self._move_once,
            FaultKind.NEW_DISCOVERY_TWICE: self._move_twice,
        }

    async def be_slow(self, response_seconds: float, seconds: float) -> None:
        """Makes each response take that long, for `seconds`."""
        discovery = self.current
        discovery.response_seconds = response_seconds
        self._propagation_seconds = DISCOVERY_FAULT_GRACE_SECONDS
        await asyncio.sleep(seconds)
        discovery.response_seconds = 0.0

    def publish_state(self, servers: list[Server], state: str) -> None:
        """Lists the servers with a new state, in a delta."""
        for server in servers:
            server.state = state
            if state != "ready":
                self.withdraw(server)
        if servers:
            self.current.publish(*(server.entry() for server in servers))

    def withdraw(self, server: Server) -> None:
        """Records the time from which gateways must treat the server as withdrawn, unless one is recorded."""
        applies_from = max(time.time() + self._propagation_seconds, self._list_applies_from)
        self._history.withdrawn.setdefault(server.uid, applies_from)

    def stop(self) -> None:
        for discovery in (self.current, *self._old):
            discovery.crash()

    def _postpone(self, seconds: float) -> None:
        applies_from = time.time() + seconds + DISCOVERY_FAULT_GRACE_SECONDS
        self._list_applies_from = max(self._list_applies_from, applies_from)

    async def _go_down(self, fault: Fault) -> None:
        discovery, port = self.current, self.current.port
        if discovery in self._down:
            return
        self._down.add(discovery)
        self._postpone(fault.length)
        discovery.crash()
        await asyncio.sleep(fault.length)
        self._down.discard(discovery)
        if discovery is self.current:
            await discovery.start(port)

    async def _be_silent(self, _fault: Fault) -> None:
        """Leaves the next poll without a response. Gateways notice that only when the poll times out, so they
        are allowed more time to follow the list."""
        self.current.raw = b""
        self._postpone(0.0)

    async def _move_once(self, _fault: Fault) -> None:
        await self._move()

    async def _move_twice(self, _fault: Fault) -> None:
        await self._move()
        await asyncio.sleep(0.05)
        await self._move()

    async def _move(self) -> None:
        """Starts discovery at a new address, and reloads the configuration of all gateways."""
        old, new = self.current, StandInDiscovery()
        new.notices = old.notices
        await new.start()
        self.current = new
        self._old.append(old)
        self._reload_gateways()
        asyncio.get_running_loop().call_later(OLD_DISCOVERY_CLOSES_AFTER_SECONDS, old.crash)
