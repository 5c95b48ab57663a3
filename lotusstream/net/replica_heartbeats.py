"""Heartbeats of a host of replicas to the gateway that runs the shard controller."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from lotusstream.net import clock
from lotusstream.net.actor import Supervisor
from lotusstream.net.connection import US_PER_S
from lotusstream.net.shard_control import ReadQuorumView, SendFrame
from lotusstream.protocol import peers as wire

HEARTBEATS_PER_LEASE = 8  # heartbeats that a replica sends per lease duration
# The controller is looked up once no reply has come for this multiple of the time between heartbeats.
LOOKUP_HEARTBEAT_INTERVALS = 1.5
SHUTDOWN_INTERVAL_S = 0.1  # between heartbeats while primaries are handed over
SHARD_CONTROL_LEASE = "copies"  # name of the lease of the gateway that runs the shard controller

MakeHeartbeat = Callable[[int], wire.ReplicaHeartbeat | None]
"""Returns the heartbeat with this number; None: none may be sent."""


class HeartbeatSender:
    """Sends heartbeats, and looks up the controller if they get no reply."""

    def __init__(
        self,
        lease_us: int,
        make_heartbeat: MakeHeartbeat,
        send_frame: SendFrame,
        read_view: ReadQuorumView,
        supervisor: Supervisor,
    ) -> None:
        """`lease_us`: duration of a replica's lease, microseconds."""
        self.controller = ""  # name of the gateway that runs the shard controller; "": not known
        self._lease_us = lease_us
        self._make_heartbeat = make_heartbeat
        self._send_frame = send_frame
        self._read_view = read_view
        self._supervisor = supervisor
        self._newest_number = 0
        # Send time by number, microseconds of the boot clock; only heartbeats younger than a lease duration.
        self._sent_at: dict[int, int] = {}
        self._answered_at = 0  # time of the last reply, microseconds of the boot clock
        self._is_looking_up = False  # whether the quorum is being asked for the controller
        self._shutdown_begun = asyncio.Event()

    async def run(self, on_interval: Callable[[], None]) -> None:
        """Send heartbeats until cancelled. Once one has got no reply until the next, look up the controller:
        a new one would learn too late that this host is shutting down if this waited longer.

        :param on_interval: called after each heartbeat.
        """
        while True:
            if clock.boot_clock() - self._answered_at > LOOKUP_HEARTBEAT_INTERVALS * self._interval_us:
                self._look_up_controller()
            self.send()
            on_interval()
            await self._wait_for_interval()

    @property
    def _interval_us(self) -> int:
        return self._lease_us // HEARTBEATS_PER_LEASE

    async def _wait_for_interval(self) -> None:
        interval_s = self._interval_us / US_PER_S
        if self._shutdown_begun.is_set():
            await asyncio.sleep(min(interval_s, SHUTDOWN_INTERVAL_S))
            return
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._shutdown_begun.wait(), interval_s)

    def begin_shutdown(self) -> None:
        """Send heartbeats more often from now on."""
        self._shutdown_begun.set()

    def send(self) -> None:
        """Send a heartbeat now, if the controller is known and a heartbeat may be sent."""
        if not self.controller:
            return
        heartbeat = self._make_heartbeat(self._newest_number + 1)
        if heartbeat is None:
            return
        self._newest_number += 1
        now = clock.boot_clock()
        self._sent_at = {
            number: sent_at for number, sent_at in self._sent_at.items() if now - sent_at < self._lease_us
        }
        self._sent_at[self._newest_number] = now
        self._send_frame(self.controller, heartbeat)

    def record_reply(self, number: int) -> int | None:
        """Record the reply to a heartbeat, and return when that was sent, microseconds of the boot clock.

        None: it was sent longer ago than a lease duration, or never.
        """
        sent_at = self._sent_at.get(number)
        if sent_at is not None:
            self._answered_at = clock.boot_clock()
        return sent_at

    def _look_up_controller(self) -> None:
        """Start to look up the controller, unless that is under way. Heartbeats go on in the meantime: the
        known controller may be alive while the quorum does not answer."""
        if not self._is_looking_up:
            self._is_looking_up = True
            self._supervisor.start("controller lookup", self._read_controller())

    async def _read_controller(self) -> None:
        try:
            view = await self._read_view()
        finally:
            self._is_looking_up = False
        if view is None:
            return
        leases = {row["task"]: row["holder"] for row in view.get("leases", [])}
        controller = leases.get(SHARD_CONTROL_LEASE, "")
        if controller != self.controller:
            self.controller = controller
            self.send()
