"""A client of the quorum: sends requests to its leader, and matches replies to requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from lotusstream.leases import holder as lease_holder
from lotusstream.leases.service import (
    LEASE_FREED_NUMBER,
    LeaseOperationReceived,
    LeaseTableReadReceived,
    MembershipChangeReceived,
)
from lotusstream.leases.table import LeaseOperation, PutNote
from lotusstream.net.control import ControlRejectedError
from lotusstream.net.peers import PeerLink
from lotusstream.net.raft_node import RaftActor
from lotusstream.protocol import peers as wire

QUORUM_REPLY_TIMEOUT_S = 1.0  # timeout for the reply of one node in `ask_leader`
EXTRA_ATTEMPT_COUNT = 2  # attempts in addition to one per node, since the leader may change meanwhile

QuorumRequest = wire.LeaseOperationRequest | wire.LeaseTableRequest | wire.MembershipChangeRequest
QuorumEvent = LeaseOperationReceived | LeaseTableReadReceived | MembershipChangeReceived
MakeRequest = Callable[[int], QuorumRequest]  # builds a request with the given request id


def quorum_event(request: QuorumRequest, reply: Callable[[wire.QuorumReply], None]) -> QuorumEvent:
    """Return the event that delivers a request to the lease service. The service's answer goes to `reply`."""
    match request:
        case wire.LeaseOperationRequest(number, operation):
            return LeaseOperationReceived(reply, number, operation)
        case wire.LeaseTableRequest(number):
            return LeaseTableReadReceived(reply, number)
        case wire.MembershipChangeRequest(number, name, add):
            return MembershipChangeReceived(reply, number, name, add)


class QuorumClient:
    """Sends requests to the nodes of the quorum, one of which may be this gateway itself.

    Request ids of the lease holder are positive and increase; those of `ask_leader` are negative and
    decrease.
    """

    def __init__(
        self,
        name: str,
        members: Sequence[str],
        links: Mapping[str, PeerLink],
        raft_actor: RaftActor | None,
        notify_lease_holder: Callable[[lease_holder.LeaseHolderEvent], None],
    ) -> None:
        self._name = name
        self._members = tuple(members)
        self._links = links
        self._raft_actor = raft_actor
        self._notify_lease_holder = notify_lease_holder
        self._pending_replies: dict[int, asyncio.Future[wire.QuorumReply]] = {}  # by request id
        self._number = 0  # newest request id of `ask_leader`; decreases

    def send_operation(self, recipient: str, number: int, operation: LeaseOperation) -> None:
        """Sends an operation of the lease holder to a node of the quorum; it may be lost."""
        self._send(recipient, wire.LeaseOperationRequest(number, operation))

    def on_reply(self, reply: wire.QuorumReply) -> None:
        """Passes a reply to the `ask_leader` call that waits for it, or else to the lease holder."""
        future = self._pending_replies.pop(reply.number, None)
        if future is not None:
            if not future.done():
                future.set_result(reply)
        elif reply.number == LEASE_FREED_NUMBER and reply.result is not None:
            self._notify_lease_holder(lease_holder.LeaseFreed(reply.result.task))
        else:
            self._notify_lease_holder(
                lease_holder.LeaseReplyReceived(reply.number, reply.result, reply.leader)
            )

    async def ask_leader(self, make_request: MakeRequest) -> wire.QuorumReply:
        """Sends a request to one node after another until the leader answers it.

        :raises ControlRejectedError: no leader has answered, or the leader rejected the request
        """
        remaining = list(self._members)
        reason = "no quorum member answers"
        for _ in range(len(remaining) + EXTRA_ATTEMPT_COUNT):
            if not remaining:
                break
            member = remaining.pop(0)
            # Each request has an id of its own: a reply to another one, open or given up, must not match it.
            self._number -= 1
            reply = await self._ask(member, make_request(self._number))
            if reply is None:
                continue
            if reply.done or reply.result is not None:
                return reply
            reason = reply.reason or reason
            if reply.leader in remaining:
                remaining.remove(reply.leader)
                remaining.insert(0, reply.leader)
            elif reply.leader == member:
                break
        raise ControlRejectedError("busy", reason)

    async def read_lease_table(self) -> dict[str, Any] | None:
        """Return the leader's view of the lease table and the members, or None if no leader answers."""
        try:
            return (await self.ask_leader(wire.LeaseTableRequest)).view
        except ControlRejectedError:
            return None

    async def put_note(self, note: PutNote) -> str:
        """Proposes a note (see `leases.table.Note`). Returns '' if the quorum stored it, else why not."""
        try:
            reply = await self.ask_leader(lambda number: wire.LeaseOperationRequest(number, note))
        except ControlRejectedError as error:
            return str(error)
        if reply.result is None:
            return reply.reason or "the quorum has not said whether it stored the note"
        return "" if reply.result.done else reply.result.reason

    async def _ask(self, member: str, request: QuorumRequest) -> wire.QuorumReply | None:
        """Return the reply of a quorum member, or None if none arrives in time."""
        future: asyncio.Future[wire.QuorumReply] = asyncio.get_running_loop().create_future()
        self._pending_replies[request.number] = future
        self._send(member, request)
        try:
            return await asyncio.wait_for(future, QUORUM_REPLY_TIMEOUT_S)
        except TimeoutError:
            self._pending_replies.pop(request.number, None)
            return None

    def _send(self, recipient: str, request: QuorumRequest) -> None:
        link = self._links.get(recipient)
        if recipient == self._name and self._raft_actor is not None:
            self._raft_actor.post(quorum_event(request, self.on_reply))
        elif link is not None:
            link.put(request)
