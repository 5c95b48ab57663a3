"""The role of a primary: answers claims and completions, replicates them, and commits operations.

The reasons in `NotCommitted` are part of the wire form and must not change: they are sent to other gateways,
and to clients in failure messages. In them, a home is a primary, a holder a gateway with replicas, a copy a
backup, and a promise a commit.
"""

from __future__ import annotations

from lotusstream.copies.catch_up import CatchUpSender
from lotusstream.copies.messages import (
    IdempotencyRecord,
    Operation,
    OperationLogRecord,
    PositionReply,
    PositionRequest,
    RecordState,
    Replicate,
    ReplicateAck,
    ShardAssignment,
    StaleEpoch,
)
from lotusstream.copies.replica_context import (
    REASON_MORE_ADVANCED,
    REASON_NO_ACKNOWLEDGEMENT,
    ReplicaContext,
)
from lotusstream.copies.replica_events import (
    AlreadyRecorded,
    ClaimRequested,
    Committed,
    CompletionRequested,
    NotCommitted,
)
from lotusstream.copies.shard_replica import PendingCommit, Position, ShardReplica
from lotusstream.copies.shards import ReplicaId, shard_of

POSITION_REQUESTS_PER_LEASE = 8  # how often per lease duration a primary asks each follower for its position
MAX_COMMIT_WAIT_DIVISOR = 4  # new requests are refused once one has waited for 1/4 of the lease duration


class PrimaryRole:
    """Handles requests of gateways, and messages of backups and joining replicas."""

    def __init__(self, context: ReplicaContext, catch_up: CatchUpSender) -> None:
        self._context = context
        self._catch_up = catch_up

    # Requests of gateways

    def on_claim_requested(self, request: ClaimRequested) -> None:
        """Record a claim, if the key has no valid record or its claim has the owner `previous_owner`."""
        wanted = request.record
        shard = self._writable_shard(request.ticket, wanted.key)
        if shard is None:
            return
        known = shard.records.get(wanted.key)
        if known is None or request.unix_time >= known.expires_at:
            if wanted.state is RecordState.NOT_EXECUTED:
                self._context.outbox.emit(Committed(request.ticket))  # no claim to release
            else:
                self._replicate(shard, request.ticket, wanted)
        elif known == wanted:
            self._repeat(shard, request.ticket, wanted.key)
        elif wanted.key in shard.uncommitted_keys:
            # The known record is not committed yet. It may still be lost, so that it must not be returned.
            self._refuse(request.ticket, "the same key is being taken at this moment")
        elif _may_replace(known, request.previous_owner):
            self._replicate(shard, request.ticket, wanted)
        else:
            self._context.outbox.emit(AlreadyRecorded(request.ticket, known))

    def on_completion_requested(self, request: CompletionRequested) -> None:
        """Record an answer, unless an answer is recorded already."""
        wanted = request.record
        shard = self._writable_shard(request.ticket, wanted.key)
        if shard is None:
            return
        known = shard.records.get(wanted.key)
        expired = known is None or request.unix_time >= known.expires_at
        if known is None or expired or known.state is not RecordState.ANSWERED:
            self._replicate(shard, request.ticket, wanted)
        elif known == wanted:
            self._repeat(shard, request.ticket, wanted.key)
        elif wanted.key in shard.uncommitted_keys:
            # Another answer for this key is recorded, but not committed yet.
            self._refuse(request.ticket, "the same key is being answered at this moment")
        else:
            self._context.outbox.emit(AlreadyRecorded(request.ticket, known))

    def _writable_shard(self, ticket: int, key: str) -> ShardReplica | None:
        """Return the shard of a key, or refuse the request and return None if the shard can't commit."""
        shard = self._context.shard(shard_of(key, self._context.options.shard_count))
        self._context.touch(shard.number)
        assignment = shard.assignment
        if assignment is None or not self._context.is_primary(shard):
            primary = assignment.primary if assignment else None
            other = primary.name if primary and primary != self._context.replica_id else ""
            self._context.outbox.emit(NotCommitted(ticket, "not the home of this key", other))
            return None
        if not self._context.has_lease:
            # The reason means: this replica has no lease from the shard controller, which assigns primaries.
            self._context.outbox.emit(NotCommitted(ticket, "cut off from whoever decides on homes"))
            return None
        reason = self._refusal_reason(shard, assignment, key)
        if reason is not None:
            self._refuse(ticket, reason)
            return None
        return shard

    def _refusal_reason(self, shard: ShardReplica, assignment: ShardAssignment, key: str) -> str | None:
        options = self._context.options
        if 1 + len(assignment.backups) < options.commit_count:
            # The reason means: the shard has fewer replicas than a commit needs.
            return "too few disks are left for a promise"
        if shard.pending_commits:
            waited = self._context.now - shard.pending_commits[0].requested_at
            if waited > options.leases.duration_us // MAX_COMMIT_WAIT_DIVISOR:
                return REASON_NO_ACKNOWLEDGEMENT
        if shard.more_advanced is not None:
            return REASON_MORE_ADVANCED
        if options.max_bytes and key not in shard.records and self._total_bytes() >= options.max_bytes:
            # The reason means: the records on this gateway have reached `max_bytes`.
            return "this holder has no room for more"
        all_reported = all(each in shard.acknowledged for each in assignment.backups)
        if shard.committed_sequence < shard.first_sequence or not all_reported:
            # The reason means: a backup has not reported its position yet, or operations of earlier epochs
            # are not committed yet.
            return "a copy is being filled"
        return None

    def _total_bytes(self) -> int:
        return sum(shard.size_bytes for shard in self._context.shards.values())

    def _refuse(self, ticket: int, reason: str) -> None:
        self._context.outbox.emit(NotCommitted(ticket, reason, self._context.replica_id.name))

    def _repeat(self, shard: ShardReplica, ticket: int, key: str) -> None:
        """Answer a request that repeats an earlier one, once the record of the earlier one is committed."""
        sequence = shard.uncommitted_keys.get(key)
        if sequence is None:
            self._context.outbox.emit(Committed(ticket))
        else:
            shard.pending_commits.append(PendingCommit(sequence, ticket, self._context.now))

    def _replicate(self, shard: ShardReplica, ticket: int, record: IdempotencyRecord) -> None:
        """Apply a new operation, and send it to all replicas that have reported their position."""
        assert shard.assignment is not None
        operation = Operation(shard.assignment.epoch, shard.position.sequence + 1, record)
        shard.apply(operation)
        self._context.outbox.persist(OperationLogRecord(shard.number, operation))
        shard.pending_commits.append(PendingCommit(operation.sequence, ticket, self._context.now))
        shard.uncommitted_keys[record.key] = operation.sequence
        for replica in shard.sessions:
            self._context.outbox.send(replica, Replicate(shard.number, operation.epoch, operation))

    # Replies of backups and joining replicas

    def on_position_reply(self, sender: ReplicaId, reply: PositionReply) -> None:
        """Count a replica that is at the primary's position for commits, or start its catch-up."""
        shard = self._context.shard(reply.shard)
        if not self._context.is_primary_in(shard, reply.epoch) or sender not in shard.followers():
            return
        position = Position(reply.last_epoch, reply.last_sequence)
        if position > shard.position and sender in shard.backups():
            self.stand_down_for(shard, sender)
            return
        repair = self._catch_up.active_repair(shard, sender, reply.session)
        if repair is not None:
            self._catch_up.send_part(shard, sender, repair)
        elif position == shard.position:  # this position is on the sender's disk: it replies only then
            shard.sessions[sender] = reply.session
            shard.acknowledged[sender] = reply.last_sequence
        elif _lags(shard, sender, reply.session):
            self._catch_up.start(shard, sender, reply)

    def on_replicate_ack(self, sender: ReplicaId, ack: ReplicateAck) -> None:
        """Record what a replica has on disk, unless its diverged records are being replaced."""
        shard = self._context.shard(ack.shard)
        if not self._context.is_primary_in(shard, ack.epoch) or shard.sessions.get(sender) != ack.session:
            return
        if self._catch_up.active_repair(shard, sender, ack.session) is None:
            shard.acknowledged[sender] = max(shard.acknowledged[sender], ack.sequence)

    def on_stale_epoch(self, message: StaleEpoch) -> None:
        """Stop acting as primary: a later epoch has begun."""
        shard = self._context.shard(message.shard)
        assignment = shard.assignment
        if assignment is None or message.epoch <= assignment.epoch or not self._context.is_primary(shard):
            return
        shard.deposed = True
        self._context.fail_pending(shard, "a later epoch has begun")

    def stand_down_for(self, shard: ShardReplica, replica: ReplicaId) -> None:
        """Stop committing, and report this backup with the next heartbeat, to make it the primary.

        The disk of this primary has lost records that it had acknowledged, for example because it was reset
        to an older state. The backup has all committed records.
        """
        shard.more_advanced = replica
        self._context.fail_pending(shard, REASON_MORE_ADVANCED)

    # Progress

    def advance(self, shard: ShardReplica) -> None:
        """Do the periodic work of a primary for a shard: request positions, catch up, expire, and commit."""
        assignment = shard.assignment
        if assignment is None or not self._context.is_primary(shard):
            return
        self._request_positions(shard, assignment)
        self._catch_up.resume_waiting(shard)
        self._fail_overdue(shard)
        enough_replicas = 1 + len(assignment.backups) >= self._context.options.commit_count
        if self._context.has_lease and enough_replicas:
            self._commit(shard, assignment)

    def _request_positions(self, shard: ShardReplica, assignment: ShardAssignment) -> None:
        interval = self._context.options.leases.duration_us // POSITION_REQUESTS_PER_LEASE
        if self._context.now < shard.positions_requested_at + interval:
            return
        shard.positions_requested_at = self._context.now
        for replica in shard.followers():
            self._context.outbox.send(replica, PositionRequest(assignment))

    def _fail_overdue(self, shard: ShardReplica) -> None:
        """Fail the requests that have waited for their commit for longer than a lease."""
        pending = shard.pending_commits
        lease_length = self._context.options.leases.duration_us
        while pending and self._context.now - pending[0].requested_at > lease_length:
            ticket = pending.popleft().ticket
            self._context.outbox.emit(NotCommitted(ticket, REASON_NO_ACKNOWLEDGEMENT, "", True))

    def _commit(self, shard: ShardReplica, assignment: ShardAssignment) -> None:
        """Commit the operations that this replica, all backups and reported joining ones have on disk."""
        replicas = (*assignment.backups, *shard.reported_joining)
        acknowledged = [shard.acknowledged.get(each, -1) for each in replicas]
        shard.committed_sequence = max(
            shard.committed_sequence, min([shard.persisted_sequence, *acknowledged])
        )
        pending = shard.pending_commits
        while pending and pending[0].sequence <= shard.committed_sequence:
            self._context.outbox.emit(Committed(pending.popleft().ticket))
        shard.uncommitted_keys = {
            key: sequence
            for key, sequence in shard.uncommitted_keys.items()
            if sequence > shard.committed_sequence
        }

    # For heartbeats

    def caught_up_replicas(self) -> dict[int, tuple[int, tuple[ReplicaId, ...]]]:
        """Return, by shard: the epoch, and the joining replicas whose disks have all committed operations.

        Commits wait for these replicas from now on: the quorum may make them backups before this primary
        learns of it.
        """
        found: dict[int, tuple[int, tuple[ReplicaId, ...]]] = {}
        for shard in self._context.shards.values():
            assignment = shard.assignment
            if assignment is None or not self._context.is_primary(shard):
                continue
            ready = tuple(
                each
                for each in assignment.joining
                if shard.acknowledged.get(each, -1) >= shard.committed_sequence
            )
            if ready:
                shard.reported_joining |= set(ready)
                found[shard.number] = (assignment.epoch, ready)
        return found

    def more_advanced_replicas(self) -> dict[int, tuple[int, ReplicaId]]:
        """Return, by shard with a backup whose position is later than this primary's: epoch and backup."""
        return {
            shard.number: (shard.assignment.epoch, shard.more_advanced)
            for shard in self._context.shards.values()
            if shard.more_advanced is not None
            and shard.assignment is not None
            and self._context.is_primary(shard)
        }


def _may_replace(known: IdempotencyRecord, previous_owner: str) -> bool:
    """Whether a claim may replace this record: the request was not executed, or the owner matches."""
    if known.state is RecordState.NOT_EXECUTED:
        return True
    return known.state is RecordState.SENT and previous_owner == known.owner


def _lags(shard: ShardReplica, replica: ReplicaId, session: str) -> bool:
    """Whether this session of a replica has not acknowledged the primary's position."""
    if shard.sessions.get(replica) != session:
        return True
    return shard.acknowledged.get(replica, -1) < shard.position.sequence
