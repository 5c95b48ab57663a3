"""The replicas of one gateway, which is primary of some shards and backup of others. No I/O.

The protocol is that of PacificA (Lin et al. 2008): an operation is committed once it is on the disks of all
replicas of its epoch, so that any of them can become the next primary.
"""

from __future__ import annotations

from lotusstream.copies import messages
from lotusstream.copies.anti_entropy_scan import AntiEntropyScanner
from lotusstream.copies.assignments import AssignmentFollower
from lotusstream.copies.backup import BackupRole
from lotusstream.copies.catch_up import CatchUpSender
from lotusstream.copies.messages import CatchUpPartAck, ReplicaMessage
from lotusstream.copies.options import ReplicationOptions
from lotusstream.copies.primary import PrimaryRole
from lotusstream.copies.replica_context import ReplicaContext
from lotusstream.copies.replica_events import (
    Action,
    AssignmentLearned,
    ClaimRequested,
    CompletionRequested,
    Event,
    LeaseRenewed,
    LogWritePersisted,
    MessageReceived,
    ReplicaTimeAdvanced,
    ShutdownStarted,
)
from lotusstream.copies.shard_replica import ShardReplica
from lotusstream.copies.shards import ReplicaId


class ReplicaSet:
    """All shard replicas of this gateway. Events in, actions out."""

    def __init__(
        self,
        replica_id: ReplicaId,
        session: str,
        options: ReplicationOptions,
        shards: dict[int, ShardReplica],
        now: int,
    ) -> None:
        """Begin with the shards on the disk.

        :param session: a name that identifies this run of the program and is never used again.
        :param shards: shards by number, as recovered from the log.
        :param now: microseconds of this replica's monotonic clock.
        """
        self._context = ReplicaContext(replica_id, session, options, shards, now)
        self._assignments = AssignmentFollower(self._context)
        self._catch_up = CatchUpSender(self._context)
        self._primary = PrimaryRole(self._context, self._catch_up)
        self._backup = BackupRole(self._context, self._assignments)
        self._anti_entropy = AntiEntropyScanner(self._context, self._catch_up, self._primary)
        self._expiry_counter = 0  # number of searches for expired records so far; each visits one shard

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process an event at this time (microseconds, monotonic) and return the resulting actions."""
        context = self._context
        context.now = max(now, context.now)
        context.outbox.begin()
        concerns_all = isinstance(event, ReplicaTimeAdvanced | LeaseRenewed | ShutdownStarted)
        context.touched = None if concerns_all else set()
        self._catch_up.begin_event()
        self._dispatch(event)
        self._advance_touched()
        return context.outbox.finish(context.shards)

    def _dispatch(self, event: Event) -> None:
        match event:
            case MessageReceived():
                self._on_message_received(event)
            case LogWritePersisted():
                self._on_log_write_persisted(event)
            case AssignmentLearned():
                self._assignments.learn(event.assignment)
            case LeaseRenewed():
                self._on_lease_renewed(event)
            case ClaimRequested():
                self._primary.on_claim_requested(event)
            case CompletionRequested():
                self._primary.on_completion_requested(event)
            case ShutdownStarted():
                self._context.shutting_down = True
            case ReplicaTimeAdvanced():
                self._on_time_advanced(event)

    def _advance_touched(self) -> None:
        context = self._context
        numbers = context.shards if context.touched is None else sorted(context.touched)
        for number in numbers:
            if number in context.shards:
                self._primary.advance(context.shards[number])

    def _on_log_write_persisted(self, event: LogWritePersisted) -> None:
        sequences = self._context.outbox.complete_writes(event.write_number)
        for number, sequence in sequences.items():
            self._context.shards[number].persisted_sequence = sequence
            self._context.touch(number)

    def _on_lease_renewed(self, event: LeaseRenewed) -> None:
        self._assignments.note_epochs(event.epochs)
        leases = self._context.options.leases
        lease_until = event.heartbeat_sent_at + leases.duration_us - leases.safety_margin_us
        self._context.lease_until = max(self._context.lease_until, lease_until)

    def _on_time_advanced(self, event: ReplicaTimeAdvanced) -> None:
        if event.unix_time:
            self._remove_expired(event.unix_time)
            self._anti_entropy.compare_next_range(event.unix_time)

    def _remove_expired(self, unix_time: int) -> None:
        """Remove the expired records of one shard. Visiting a single shard per call keeps calls short."""
        numbers = sorted(self.shards)
        if numbers:
            self._expiry_counter += 1
            self.shards[numbers[self._expiry_counter % len(numbers)]].remove_expired(unix_time)

    def _on_message_received(self, event: MessageReceived) -> None:
        sender, message = event.sender, event.message
        self._context.touch(_shard_number(message))
        match message:
            case messages.PositionRequest():
                self._backup.on_position_request(sender, message)
            case messages.PositionReply():
                self._primary.on_position_reply(sender, message)
            case messages.CatchUpData():
                self._backup.on_catch_up_data(sender, message)
            case messages.CatchUpPartAck():
                self._on_part_ack(sender, message)
            case messages.Replicate():
                self._backup.on_replicate(sender, message)
            case messages.ReplicateAck():
                self._primary.on_replicate_ack(sender, message)
            case messages.DigestRequest():
                self._backup.on_digest_request(sender, message)
            case messages.DigestReply():
                self._anti_entropy.on_digest_reply(sender, message)
            case messages.StaleEpoch():
                self._primary.on_stale_epoch(message)

    def _on_part_ack(self, sender: ReplicaId, ack: CatchUpPartAck) -> None:
        shard = self._context.shard(ack.shard)
        if self._context.is_primary_in(shard, ack.epoch):
            self._catch_up.on_part_ack(sender, shard, ack)

    # State for the caller

    @property
    def session(self) -> str:
        """The name that identifies this run of the program."""
        return self._context.session

    @property
    def shards(self) -> dict[int, ShardReplica]:
        """All shards known here, by number."""
        return self._context.shards

    @property
    def shutting_down(self) -> bool:
        """Whether a planned stop has begun."""
        return self._context.shutting_down

    @property
    def is_primary_of_any(self) -> bool:
        """Whether this run of the program is the primary of a shard, by the newest assignments known here."""
        return any(self._context.is_primary(shard) for shard in self.shards.values())

    @property
    def has_lease(self) -> bool:
        """Whether this gateway has a lease, so that it may commit as primary."""
        return self._context.has_lease

    @property
    def next_timer_at(self) -> int | None:
        """When a part of a snapshot may be sent, so that a `ReplicaTimeAdvanced` is due, microseconds.

        None: no part waits.
        """
        return self._catch_up.next_timer_at

    @property
    def size_bytes(self) -> int:
        """Estimated size of all records in bytes."""
        return sum(shard.size_bytes for shard in self.shards.values())

    def caught_up_replicas(self) -> dict[int, tuple[int, tuple[ReplicaId, ...]]]:
        """Return, by shard with joining replicas that have caught up: the epoch and these replicas."""
        return self._primary.caught_up_replicas()

    def more_advanced_replicas(self) -> dict[int, tuple[int, ReplicaId]]:
        """Return, by shard with a backup whose position is later than this primary's: epoch and backup."""
        return self._primary.more_advanced_replicas()


def _shard_number(message: ReplicaMessage) -> int:
    return message.assignment.shard if isinstance(message, messages.PositionRequest) else message.shard
