"""The role of a backup: applies the primary's operations and snapshots, and acknowledges what is on disk."""

from __future__ import annotations

from lotusstream.copies import messages
from lotusstream.copies.anti_entropy import range_digest
from lotusstream.copies.assignments import AssignmentFollower
from lotusstream.copies.messages import (
    CatchUpData,
    CatchUpPartAck,
    DigestReply,
    DigestRequest,
    Operation,
    OperationLogRecord,
    PositionReply,
    PositionRequest,
    Replicate,
    ReplicateAck,
)
from lotusstream.copies.replica_context import ReplicaContext
from lotusstream.copies.shard_replica import IncomingSnapshot, Position, ShardReplica, SnapshotTransferId
from lotusstream.copies.shards import ReplicaId

MAX_BUFFERED_OPERATIONS = 10_000  # operations of one shard kept while its snapshot is received


class BackupRole:
    """Handles the messages that primaries send."""

    def __init__(self, context: ReplicaContext, assignments: AssignmentFollower) -> None:
        self._context = context
        self._assignments = assignments

    def on_position_request(self, sender: ReplicaId, request: PositionRequest) -> None:
        """Report this replica's position to the primary, once all operations up to it are on the disk."""
        assignment = request.assignment
        context = self._context
        if not self._assignments.learn(assignment):
            context.send_stale_epoch(sender, assignment.shard, assignment.epoch)
            return
        shard = context.shard(assignment.shard)
        is_member = context.replica_id in assignment.members
        if shard.assignment == assignment and is_member and assignment.primary == sender:
            reply = PositionReply(assignment.shard, assignment.epoch, context.session, *shard.position)
            context.outbox.send_when_persisted(sender, reply)

    def on_catch_up_data(self, sender: ReplicaId, data: CatchUpData) -> None:
        """Apply operations that follow this replica's position, or receive a part of a snapshot."""
        shard = self._context.shard(data.shard)
        if not self._follows(sender, shard, data.epoch):
            return
        if data.after < 0:
            self._receive_part(sender, shard, data)
            return
        if shard.position.sequence != data.after:
            return
        for operation in data.operations:
            self._apply(shard, operation)
        self._acknowledge(sender, shard, data.epoch)

    def on_replicate(self, sender: ReplicaId, message: Replicate) -> None:
        """Apply the primary's next operation.

        An operation is dropped if an earlier one was lost, or if it was received before. The primary learns
        the position of this replica from the reply to its next `PositionRequest`.
        """
        shard = self._context.shard(message.shard)
        if not self._follows(sender, shard, message.epoch):
            return
        operation = message.operation
        if shard.incoming is not None:
            if len(shard.incoming.buffered_operations) < MAX_BUFFERED_OPERATIONS:
                shard.incoming.buffered_operations.append(operation)
            return
        if operation.sequence != shard.position.sequence + 1:
            return
        self._apply(shard, operation)
        self._acknowledge(sender, shard, message.epoch)

    def on_digest_request(self, sender: ReplicaId, request: DigestRequest) -> None:
        """Reply with the digest of a range of keys, if this replica is at the requested position."""
        shard = self._context.shard(request.shard)
        if not self._follows(sender, shard, request.epoch):
            return
        if shard.position.sequence != request.sequence or shard.incoming is not None:
            return
        digest = range_digest(shard.records.values(), request.key_range, request.expires_after)
        session = self._context.session
        reply = DigestReply(
            request.shard, request.epoch, session, request.sequence, request.key_range, digest
        )
        self._context.outbox.send(sender, reply)

    def _follows(self, sender: ReplicaId, shard: ShardReplica, epoch: int) -> bool:
        """Whether the sender is this replica's primary in this epoch.

        A sender of an earlier epoch gets a `StaleEpoch`.
        """
        assignment = shard.assignment
        if assignment is None:
            return False
        if epoch < assignment.epoch:
            self._context.send_stale_epoch(sender, shard.number, epoch)
            return False
        is_member = self._context.replica_id in assignment.members
        return assignment.epoch == epoch and assignment.primary == sender and is_member

    def _apply(self, shard: ShardReplica, operation: Operation) -> None:
        shard.apply(operation)
        self._context.outbox.persist(OperationLogRecord(shard.number, operation))

    def _acknowledge(self, sender: ReplicaId, shard: ShardReplica, epoch: int) -> None:
        """Acknowledge this replica's position, once all operations up to it are on the disk."""
        ack = ReplicateAck(shard.number, epoch, self._context.session, shard.position.sequence)
        self._context.outbox.send_when_persisted(sender, ack)

    def _receive_part(self, sender: ReplicaId, shard: ShardReplica, data: CatchUpData) -> None:
        position = Position(data.last_epoch, data.last_sequence)
        if shard.position.epoch == data.epoch and position.sequence < shard.position.sequence:
            return  # stale: operations after this snapshot are applied already
        incoming = _incoming_snapshot(shard, data)
        if incoming is None or data.part > len(incoming.parts):
            return
        ack = CatchUpPartAck(shard.number, data.epoch, self._context.session, data.part)
        self._context.outbox.send(sender, ack)
        if data.part < len(incoming.parts):
            return  # received before; the acknowledgement was lost
        incoming.parts.append(data.records)
        if len(incoming.parts) == data.part_count:
            self._install(shard, incoming, position)
            self._acknowledge(sender, shard, data.epoch)

    def _install(self, shard: ShardReplica, incoming: IncomingSnapshot, position: Position) -> None:
        """Replace all records by the snapshot, then apply the operations buffered since its first part."""
        shard.incoming = None
        records = [each for part in incoming.parts for each in part]
        shard.install_snapshot(records, position)
        part_bytes = self._context.options.part_bytes
        log_records = messages.snapshot_log_records(shard.number, position, records, part_bytes)
        self._context.outbox.persist(*log_records)
        for operation in incoming.buffered_operations:
            if operation.sequence == shard.position.sequence + 1:
                self._apply(shard, operation)


def _incoming_snapshot(shard: ShardReplica, data: CatchUpData) -> IncomingSnapshot | None:
    """Return the snapshot that a part belongs to; a first part begins a new one. None: unknown snapshot."""
    position = Position(data.last_epoch, data.last_sequence)
    transfer_id = SnapshotTransferId(data.epoch, position, data.started_at)
    if shard.incoming is None or shard.incoming.transfer_id != transfer_id:
        if data.part:
            return None
        shard.incoming = IncomingSnapshot(transfer_id)
    return shard.incoming
