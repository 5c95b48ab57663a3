"""Records the acts of every gateway process, and checks afterwards that no two held a lease at once.

The checker uses only the recorded acts, and no code of the lease service.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import msgspec

from lotusstream.lab.fleet.process import Act

_ACT_DECODER: msgspec.msgpack.Decoder[Act] = msgspec.msgpack.Decoder(Act)


@dataclass(slots=True)
class Verdict:
    """The result of a check of the recorded acts. Each list holds one line for each violation."""

    acts: int = 0  # number of recorded acts
    tokens: int = 0  # number of distinct fencing tokens, summed over all tasks
    # acts whose lease check came after the lease check of an act under a newer fencing token
    overlapping: list[str] = field(default_factory=list)
    # acts under a fencing token that another holder had used before
    reused_tokens: list[str] = field(default_factory=list)
    # number of acts that arrived after one with a newer fencing token: a receiver rejects them by the token
    stale_acts: int = 0
    # longest time between the lease checks of two consecutive acts of one task, in seconds; no such time
    # begins at an act that is listed in `overlapping`
    longest_gap_s: float = 0.0

    @property
    def passed(self) -> bool:
        """Whether no two gateways held a lease at once.

        A stale act, which only arrives late, is no violation: its receiver rejects it by the fencing token.
        """
        return not self.overlapping and not self.reused_tokens


def check_history(acts: list[Act]) -> Verdict:
    """Checks the acts, given in order of arrival."""
    verdict = Verdict(len(acts))
    for task in sorted({act.task for act in acts}):
        task_acts = [act for act in acts if act.task == task]
        newest = 0
        for act in task_acts:  # in order of arrival, as a receiver that checks the token sees them
            if act.token < newest:
                verdict.stale_acts += 1
            newest = max(newest, act.token)
        holders: dict[int, str] = {}
        previous: Act | None = None
        for act in sorted(task_acts, key=lambda each: each.lease_checked_ns):
            if holders.setdefault(act.token, act.holder) != act.holder:
                verdict.reused_tokens.append(
                    f"token {act.token} of {task} was used by {holders[act.token]} and {act.holder}"
                )
            if previous is not None:
                verdict.longest_gap_s = max(
                    verdict.longest_gap_s, (act.lease_checked_ns - previous.lease_checked_ns) / 1e9
                )
                if act.token < previous.token:
                    late = (act.lease_checked_ns - previous.lease_checked_ns) / 1e6
                    verdict.overlapping.append(
                        f"{act.holder} was allowed to act under token {act.token}, {late:.1f} ms after"
                        f" {previous.holder} was under token {previous.token}"
                    )
            previous = act if previous is None or act.token >= previous.token else previous
        verdict.tokens += len(holders)
    return verdict


class ActRecorder(asyncio.DatagramProtocol):
    """Receives the acts of all gateway processes over UDP, and keeps them in order of arrival."""

    def __init__(self) -> None:
        self.acts: list[Act] = []
        self.port = 0  # 0 until it is started
        self._transport: asyncio.DatagramTransport | None = None
        self._act_received = asyncio.Event()

    async def start(self) -> None:
        """Binds a free port of this machine."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.port = self._transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Records one act."""
        self.acts.append(_ACT_DECODER.decode(data))
        self._act_received.set()

    async def wait_for_act(self, other_than: str = "", newer_than: int = 0) -> Act:
        """Waits for an act that arrives from now on.

        :param other_than: a holder whose acts are ignored
        :param newer_than: acts under this fencing token or an older one are ignored
        """
        seen = len(self.acts)
        while True:
            for act in self.acts[seen:]:
                if act.holder != other_than and act.token > newer_than:
                    return act
            seen = len(self.acts)
            self._act_received.clear()
            await self._act_received.wait()

    def stop(self) -> None:
        """Closes the port."""
        if self._transport is not None:
            self._transport.close()
