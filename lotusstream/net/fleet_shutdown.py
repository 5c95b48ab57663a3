"""The planned leave of a gateway from its fleet: in which order it gives up its roles."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from lotusstream.leases.holder import LeaseUnwanted
from lotusstream.net.lease_holder import LeaseHolderActor
from lotusstream.net.raft_node import RaftActor
from lotusstream.operator.fleet import SHARD_CONTROL_TASK
from lotusstream.quorum.events import ShutdownRequested

if TYPE_CHECKING:
    from lotusstream.net.replication import ReplicationActor

# Longest wait until other gateways are the primaries; it is shorter than the shortest shutdown.
HANDOVER_TIMEOUT_S = 0.5


async def leave_fleet(
    replication: ReplicationActor | None, lease_holder: LeaseHolderActor, raft_actor: RaftActor | None
) -> None:
    """Gives up the role of primary and all leases, and last the control of the shards and the leadership of
    the quorum: both are needed to give this gateway's shards other primaries. Other gateways would replace
    the primaries only once their leases have expired.

    :param replication: None if this gateway has no replicas.
    :param raft_actor: None if this gateway is no quorum member.
    """
    if replication is not None:
        replication.begin_shutdown()
    for task in lease_holder.tasks:
        if task != SHARD_CONTROL_TASK:
            lease_holder.post(LeaseUnwanted(task))
    if replication is not None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(replication.wait_until_handed_over(), HANDOVER_TIMEOUT_S)
    if SHARD_CONTROL_TASK in lease_holder.tasks:
        lease_holder.post(LeaseUnwanted(SHARD_CONTROL_TASK))
    if raft_actor is not None:
        raft_actor.post(ShutdownRequested())
