"""Many gateways that want one lease, in one process: real lines to real keepers, no rest of a gateway."""

from __future__ import annotations

import asyncio
import uuid

from lotusstream.leases import holder as hold
from lotusstream.leases.granter import LeaseTerms
from lotusstream.leases.service import FREED
from lotusstream.net import clock
from lotusstream.net.actor import Supervisor
from lotusstream.net.peers import Answer, PeerLimits, PeerLink
from lotusstream.protocol import peers as wire

US = 1_000_000


class Asker:
    def __init__(
        self,
        name: str,
        group: str,
        keepers: dict[str, int],
        task: str,
        terms: LeaseTerms,
        supervisor: Supervisor,
    ) -> None:
        """`keepers`: their ports here, by name."""
        self.name, self.task = name, task
        self.holder = hold.Holder(name, uuid.uuid4().hex, sorted(keepers), terms, 1)
        manners = PeerLimits(group, name, US, 4)
        self._links = {
            keeper: PeerLink(keeper, ("127.0.0.1", port), manners, 3 * terms.length, self._told, supervisor)
            for keeper, port in keepers.items()
        }
        self._timer: asyncio.TimerHandle | None = None
        self.begun = asyncio.Event()
        self.answers = 0

    def start(self) -> None:
        for link in self._links.values():
            link.start()
        self.tell(hold.Want(self.task))

    @property
    def token(self) -> int:
        """Under which it may act at this moment."""
        return self.holder.may_act(clock.boot_clock(), self.task)

    def tell(self, event: hold.Event) -> None:
        for action in self.holder.handle(clock.boot_clock(), event):
            if isinstance(action, hold.Ask):
                self._links[action.keeper].put(wire.Ask(action.number, action.wish))
            elif isinstance(action, hold.Begin):
                self.begun.set()
        if self._timer is not None:
            self._timer.cancel()
        pause = max(1000, self.holder.next_at - clock.boot_clock())
        self._timer = asyncio.get_running_loop().call_later(pause / US, self.tell, hold.Tick())

    def _told(self, frame: wire.AnyFrame, _sender: str, _answer: Answer) -> None:
        if isinstance(frame, wire.Told) and frame.number == FREED:
            self.tell(hold.Freed(self.task))
        elif isinstance(frame, wire.Told):
            self.answers += 1
            self.tell(hold.Answered(frame.number, frame.granted, frame.leader))

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
