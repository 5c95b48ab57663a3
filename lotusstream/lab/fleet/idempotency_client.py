"""A client of a rig's replicas, which has idempotency records committed as a gateway does."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time

from lotusstream.copies.messages import IdempotencyRecord, RecordState
from lotusstream.lab.fleet.rig import FleetRig
from lotusstream.net.actor import Supervisor
from lotusstream.net.peers import PeerLimits, PeerLink, ReplyCallback
from lotusstream.protocol import peers as wire

US = 1_000_000  # microseconds in a second
REPLY_TIMEOUT_S = 0.5  # time that the client waits for the reply of one replica


class IdempotencyRecordClient:
    """A peer of all replicas while the context is open: `async with IdempotencyRecordClient(rig)`."""

    def __init__(self, rig: FleetRig) -> None:
        self._rig, self._supervisor = rig, Supervisor()
        self._numbers = itertools.count(1)
        # expected replies, by request number
        self._waiting: dict[int, asyncio.Future[wire.CommitmentReply]] = {}
        self._links: dict[str, PeerLink] = {}  # connections, by the replica's name
        # name of the primary that last committed a record, or replied that its key is already recorded;
        # "": none has done so yet
        self.primary = ""

    async def __aenter__(self) -> IdempotencyRecordClient:
        limits = PeerLimits(self._rig.group, "client", US, 4)
        for name in self._rig.replicas:
            address = ("127.0.0.1", self._rig.ports[name])
            self._links[name] = PeerLink(name, address, limits, 60 * US, self._on_frame, self._supervisor)
            self._links[name].start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._supervisor.stop()

    def _on_frame(self, frame: wire.PeerFrame, _sender: str, _reply: ReplyCallback) -> None:
        if isinstance(frame, wire.CommitmentReply):
            waiting = self._waiting.pop(frame.number, None)
            if waiting is not None and not waiting.done():
                waiting.set_result(frame)

    async def request_commitment(self, name: str, record: IdempotencyRecord) -> wire.CommitmentReply | None:
        """Sends one request to one replica. Returns its reply, or None if no reply came in time."""
        number = next(self._numbers)
        waiting: asyncio.Future[wire.CommitmentReply] = asyncio.get_running_loop().create_future()
        self._waiting[number] = waiting
        self._links[name].put(wire.CommitmentRequest(number, record.state is RecordState.ANSWERED, record))
        with contextlib.suppress(TimeoutError):
            return await asyncio.wait_for(waiting, REPLY_TIMEOUT_S)
        self._waiting.pop(number, None)
        return None

    def record(self, key: str, by: str, answer: bytes = b"", lifetime_s: float = 60.0) -> IdempotencyRecord:
        """Returns a record to commit: ANSWERED with `answer`, or SENT if `answer` is empty.

        :param key: the idempotency key
        :param by: the name of the gateway that handles the request
        :param lifetime_s: seconds from now until the record expires
        """
        state = RecordState.ANSWERED if answer else RecordState.SENT
        return IdempotencyRecord(key, "p", state, by, int((time.time() + lifetime_s) * US), answer)

    async def commit(
        self, record: IdempotencyRecord, timeout_s: float = 20.0, excluded_replica: str = ""
    ) -> wire.CommitmentReply:
        """Asks one replica after the other until the shard's primary commits the record, or replies that its
        key is already recorded.

        :param excluded_replica: the name of a replica that is not asked; empty for none
        """
        async with asyncio.timeout(timeout_s):
            for name in itertools.cycle(each for each in self._rig.replicas if each != excluded_replica):
                if not self._rig.gateways[name].up:
                    await asyncio.sleep(0.01)
                    continue
                reply = await self.request_commitment(name, record)
                if reply is not None and reply.primary and reply.primary != excluded_replica:
                    name, reply = reply.primary, await self.request_commitment(reply.primary, record)
                if reply is not None and reply.outcome in ("promised", "known"):
                    self.primary = name
                    return reply
                await asyncio.sleep(0.05)
        raise AssertionError("the rig has no replica to ask")
