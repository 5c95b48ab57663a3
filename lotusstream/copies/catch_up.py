"""The primary's side of catch-up: sends replicas what they lack, within a bandwidth limit."""

from __future__ import annotations

from lotusstream.copies import messages
from lotusstream.copies.messages import CatchUpData, CatchUpPartAck, Operation, PositionReply
from lotusstream.copies.replica_context import ReplicaContext
from lotusstream.copies.shard_replica import CatchUpTransfer, Position, ShardReplica
from lotusstream.copies.shards import ReplicaId

US_PER_S = 1_000_000


class CatchUpSender:
    """Sends missing operations or a snapshot, part by part, to replicas that lag."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._bandwidth_free_at = 0  # when the bandwidth limit allows the next part, microseconds
        self._waits_for_bandwidth = False  # whether a part waits for the bandwidth limit

    @property
    def next_timer_at(self) -> int | None:
        """When the bandwidth limit allows a waiting part, microseconds; None: no part waits."""
        return self._bandwidth_free_at if self._waits_for_bandwidth else None

    def begin_event(self) -> None:
        """Clear `_waits_for_bandwidth` if all shards are visited: a part that still waits sets it again."""
        self._waits_for_bandwidth = self._waits_for_bandwidth and self._context.touched is not None

    def start(self, shard: ShardReplica, to: ReplicaId, reply: PositionReply) -> None:
        """Send a replica what it lacks after the position that it has reported."""
        shard.sessions[to] = reply.session
        shard.acknowledged[to] = -1
        position = Position(reply.last_epoch, reply.last_sequence)
        if _has_common_prefix(shard, position):
            self._send_operations(shard, to, position)
            return
        transfer = shard.transfers.get(to)
        if transfer is None or transfer.session != reply.session or self._has_stalled(transfer):
            transfer = self._new_transfer(shard, reply.session)
            shard.transfers[to] = transfer
        self.send_part(shard, to, transfer)

    def start_repair(self, shard: ShardReplica, to: ReplicaId) -> None:
        """Send a snapshot to a backup that has diverged. Commits wait until the snapshot is on its disk."""
        shard.acknowledged[to] = -1
        transfer = self._new_transfer(shard, shard.sessions[to])
        transfer.repairs_divergence = True
        shard.transfers[to] = transfer
        self.send_part(shard, to, transfer)

    def active_repair(self, shard: ShardReplica, to: ReplicaId, session: str) -> CatchUpTransfer | None:
        """Return the transfer that replaces the diverged records of a backup; None: there is none.

        A stalled transfer is not returned: the acknowledgement of its last part may have been lost.
        """
        transfer = shard.transfers.get(to)
        if transfer is None or not transfer.repairs_divergence or transfer.session != session:
            return None
        return None if self._has_stalled(transfer) else transfer

    def resume_waiting(self, shard: ShardReplica) -> None:
        """Send the parts that waited for the bandwidth limit, as far as it allows."""
        for to, transfer in shard.transfers.items():
            if transfer.resume_at is not None:
                self.send_part(shard, to, transfer)

    def on_part_ack(self, sender: ReplicaId, shard: ShardReplica, ack: CatchUpPartAck) -> None:
        """Send the next part after the acknowledged one."""
        transfer = shard.transfers.get(sender)
        if transfer is None or transfer.session != ack.session or ack.part != transfer.next_part:
            return
        transfer.next_part += 1
        transfer.last_progress_at = self._context.now
        if transfer.next_part < len(transfer.parts):
            self.send_part(shard, sender, transfer)
        else:
            del shard.transfers[sender]

    def send_part(self, shard: ShardReplica, to: ReplicaId, transfer: CatchUpTransfer) -> None:
        """Send the next part, or let it wait for the bandwidth limit.

        All transfers from this gateway share the limit. The limit prevents catch-up from delaying clients'
        requests, which use the same event loops and disks.
        """
        context = self._context
        assert shard.assignment is not None
        if context.options.catch_up_bytes_per_s and context.now < self._bandwidth_free_at:
            transfer.resume_at = self._bandwidth_free_at
            self._waits_for_bandwidth = True
            return
        if transfer.resume_at is not None:
            self._resume(shard, transfer)
        part = transfer.parts[transfer.next_part]
        self._use_bandwidth(sum(map(messages.estimated_bytes, part)))
        data = CatchUpData(
            shard.number,
            shard.assignment.epoch,
            -1,
            *transfer.position,
            part,
            (),
            transfer.next_part,
            len(transfer.parts),
            transfer.started_at,
        )
        context.outbox.send(to, data)

    def _resume(self, shard: ShardReplica, transfer: CatchUpTransfer) -> None:
        """Continue a transfer after a wait for bandwidth; with a new snapshot if no part is acknowledged."""
        if not transfer.next_part:
            transfer.parts = self._snapshot_parts(shard)
            transfer.position = shard.position
            transfer.started_at = self._context.now
        transfer.resume_at = None
        transfer.last_progress_at = self._context.now

    def _use_bandwidth(self, size_bytes: int) -> None:
        bytes_per_s = self._context.options.catch_up_bytes_per_s
        if bytes_per_s:
            self._bandwidth_free_at = self._context.now + size_bytes * US_PER_S // bytes_per_s

    def _send_operations(self, shard: ShardReplica, to: ReplicaId, position: Position) -> None:
        """Send the operations after a position, up to about `part_bytes`."""
        operations: list[Operation] = []
        size_bytes = 0
        for operation in shard.recent_operations:
            if operation.sequence > position.sequence and size_bytes < self._context.options.part_bytes:
                operations.append(operation)
                size_bytes += messages.estimated_bytes(operation.record)
        assert shard.assignment is not None
        epoch = shard.assignment.epoch
        data = CatchUpData(shard.number, epoch, position.sequence, *shard.position, (), tuple(operations))
        self._context.outbox.send(to, data)

    def _new_transfer(self, shard: ShardReplica, session: str) -> CatchUpTransfer:
        now = self._context.now
        return CatchUpTransfer(session, shard.position, self._snapshot_parts(shard), now, now)

    def _snapshot_parts(self, shard: ShardReplica) -> list[tuple[messages.IdempotencyRecord, ...]]:
        return messages.split_into_parts(shard.records.values(), self._context.options.part_bytes)

    def _has_stalled(self, transfer: CatchUpTransfer) -> bool:
        waited = self._context.now - transfer.last_progress_at
        return transfer.resume_at is None and waited > self._context.options.leases.duration_us


def _has_common_prefix(shard: ShardReplica, position: Position) -> bool:
    """Whether the retained operations include all that a replica at this position lacks."""
    return position == shard.position or any(
        (operation.epoch, operation.sequence) == position for operation in shard.recent_operations
    )
