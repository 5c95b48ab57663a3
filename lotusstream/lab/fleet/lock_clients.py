"""Clients of the lease service, many of them in one process.

Each has real connections to the quorum members, and no other part of a gateway.
"""

from __future__ import annotations

import asyncio
import uuid

from lotusstream.leases import holder as lease_holder
from lotusstream.leases.expiry import LeaseTiming
from lotusstream.leases.service import LEASE_FREED_NUMBER
from lotusstream.net import clock
from lotusstream.net.actor import Supervisor
from lotusstream.net.peers import PeerLimits, PeerLink, ReplyCallback
from lotusstream.protocol import peers as wire

US = 1_000_000  # microseconds in a second


class LeaseClient:
    """Acquires the lease of one task, and renews it until it is stopped."""

    def __init__(
        self,
        name: str,
        group: str,
        quorum_members: dict[str, int],
        task: str,
        timing: LeaseTiming,
        supervisor: Supervisor,
    ) -> None:
        """Connects to nothing yet.

        :param quorum_members: the port of each quorum member on this machine, by name
        :param supervisor: runs the connections, and closes them when it is stopped
        """
        self.name, self.task = name, task
        self.holder = lease_holder.LeaseHolder(name, uuid.uuid4().hex, sorted(quorum_members), timing, 1)
        limits = PeerLimits(group, name, US, 4)
        self._links = {
            member: PeerLink(
                member, ("127.0.0.1", port), limits, 3 * timing.duration_us, self._on_frame, supervisor
            )
            for member, port in quorum_members.items()
        }
        self._timer: asyncio.TimerHandle | None = None
        self.task_started = asyncio.Event()  # set when the lease is granted for the first time
        self.reply_count = 0  # number of replies of quorum members, other than notices of a freed lease

    def start(self) -> None:
        """Connects to the quorum members and asks for the lease."""
        for link in self._links.values():
            link.start()
        self.handle(lease_holder.LeaseWanted(self.task))

    @property
    def token(self) -> int:
        """The fencing token under which it may act at this moment; 0: it may not act."""
        return self.holder.may_act(clock.boot_clock(), self.task)

    def handle(self, event: lease_holder.LeaseHolderEvent) -> None:
        """Passes an event to the lease holder, carries out its actions, and resets the timer."""
        for action in self.holder.handle(clock.boot_clock(), event):
            if isinstance(action, lease_holder.SendLeaseOperation):
                self._links[action.recipient].put(wire.LeaseOperationRequest(action.number, action.operation))
            elif isinstance(action, lease_holder.StartTask):
                self.task_started.set()
        if self._timer is not None:
            self._timer.cancel()
        delay_us = max(1000, self.holder.next_timer_at - clock.boot_clock())
        self._timer = asyncio.get_running_loop().call_later(
            delay_us / US, self.handle, lease_holder.LeaseTimeAdvanced()
        )

    def _on_frame(self, frame: wire.PeerFrame, _sender: str, _reply: ReplyCallback) -> None:
        if isinstance(frame, wire.QuorumReply) and frame.number == LEASE_FREED_NUMBER:
            self.handle(lease_holder.LeaseFreed(self.task))
        elif isinstance(frame, wire.QuorumReply):
            self.reply_count += 1
            self.handle(lease_holder.LeaseReplyReceived(frame.number, frame.result, frame.leader))

    def stop(self) -> None:
        """Cancels the timer, so that the lease expires. The supervisor closes the connections."""
        if self._timer is not None:
            self._timer.cancel()
