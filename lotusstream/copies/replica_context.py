"""State that the roles of one replica share: identity, time, lease, shards, and outgoing actions."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from lotusstream.copies.messages import LogRecord, ReplicaMessage, StaleEpoch
from lotusstream.copies.options import ReplicationOptions
from lotusstream.copies.replica_events import Action, NotCommitted, PersistLogRecords, SendReplicaMessage
from lotusstream.copies.shard_replica import ShardReplica
from lotusstream.copies.shards import ReplicaId

# Reasons that are used in several places. They are part of the wire form and must not change: they are sent
# to other gateways and shown to clients and operators.
REASON_NO_ACKNOWLEDGEMENT = "its copies do not answer"  # the backups do not acknowledge operations
REASON_MORE_ADVANCED = "another disk has more"  # a backup has later operations than this primary
REASON_REASSIGNED = "another home has been agreed on"  # the shard has been assigned to another primary


@dataclass(slots=True)
class _PendingWrite:
    """A log write that is not on the disk yet."""

    write_number: int
    sequences: dict[int, int]  # sequence number of the newest operation in this write, by shard
    actions: list[Action]  # actions that wait until this write is on the disk


class ReplicaOutbox:
    """Collects the actions of one event. Acknowledgements wait for their records to be on the local disk."""

    def __init__(self) -> None:
        self._actions: list[Action] = []
        self._deferred: list[Action] = []  # actions of this event that wait for the disk
        self._unsaved: list[LogRecord] = []  # records of this event, for one write of the log
        self._pending_writes: deque[_PendingWrite] = deque()  # not on the disk yet, oldest first
        self._write_number = 0

    def begin(self) -> None:
        """Start collecting the actions of a new event."""
        self._actions = []
        self._deferred = []

    def emit(self, action: Action) -> None:
        """Add an action that does not wait for the disk."""
        self._actions.append(action)

    def persist(self, *records: LogRecord) -> None:
        """Add records to the next write of the log."""
        self._unsaved += records

    def send(self, to: ReplicaId, message: ReplicaMessage) -> None:
        """Send a message without waiting for the disk."""
        self._actions.append(SendReplicaMessage(to, message))

    def send_when_persisted(self, to: ReplicaId, message: ReplicaMessage) -> None:
        """Send a message once all records that were passed to `persist` so far are on the disk."""
        self._deferred.append(SendReplicaMessage(to, message))

    def complete_writes(self, write_number: int) -> dict[int, int]:
        """Release the actions that waited for the log writes up to this number.

        :returns: by shard in these writes, the sequence number of the newest operation on the disk.
        """
        sequences: dict[int, int] = {}
        while self._pending_writes and self._pending_writes[0].write_number <= write_number:
            write = self._pending_writes.popleft()
            sequences.update(write.sequences)
            self._actions += write.actions
        return sequences

    def finish(self, shards: dict[int, ShardReplica]) -> list[Action]:
        """Return the actions of the event, with a single write for all its log records."""
        if self._unsaved:
            self._write_number += 1
            self._actions.append(PersistLogRecords(self._write_number, tuple(self._unsaved)))
            sequences = {record.shard: shards[record.shard].position.sequence for record in self._unsaved}
            self._pending_writes.append(_PendingWrite(self._write_number, sequences, self._deferred))
            self._unsaved = []
        elif self._deferred and self._pending_writes:
            self._pending_writes[-1].actions.extend(self._deferred)
        else:
            self._actions += self._deferred
        return self._actions


@dataclass(slots=True)
class ReplicaContext:
    """The state that all roles of one replica share. Times are microseconds of its own clock."""

    replica_id: ReplicaId  # this gateway and its disk
    session: str  # identifies this run of the program
    options: ReplicationOptions
    shards: dict[int, ShardReplica]  # shards by number
    now: int  # time of the event that is processed
    lease_until: int = 0  # when the lease from the shard controller expires; 0: there was none
    shutting_down: bool = False  # whether a planned stop has begun
    outbox: ReplicaOutbox = field(default_factory=ReplicaOutbox)
    touched: set[int] | None = field(default_factory=set)  # shards that the event concerns; None: all

    @property
    def has_lease(self) -> bool:
        """Whether this replica may commit as primary."""
        return self.now < self.lease_until and not self.shutting_down

    def touch(self, number: int) -> None:
        """Mark this shard as concerned by the event."""
        if self.touched is not None:
            self.touched.add(number)

    def shard(self, number: int) -> ShardReplica:
        """Return the shard. Create an empty one if it is not known here."""
        return self.shards.setdefault(number, ShardReplica(number))

    def is_primary(self, shard: ShardReplica) -> bool:
        """Whether this run of the program is the primary. After a restart it is not, until a new epoch."""
        assignment = shard.assignment
        if assignment is None or shard.deposed:
            return False
        return assignment.primary == self.replica_id and assignment.session == self.session

    def is_primary_in(self, shard: ShardReplica, epoch: int) -> bool:
        """Whether this run of the program is the primary in exactly this epoch."""
        assignment = shard.assignment
        return self.is_primary(shard) and assignment is not None and assignment.epoch == epoch

    def fail_pending(self, shard: ShardReplica, reason: str) -> None:
        """Answer all requests that wait for a commit with `NotCommitted`, outcome unknown.

        The next primary may have their operations on its disk, and may commit them.
        """
        primary = shard.assignment.primary.name if shard.assignment else ""
        for pending in shard.pending_commits:
            self.outbox.emit(NotCommitted(pending.ticket, reason, primary, True))
        shard.pending_commits.clear()
        shard.uncommitted_keys = {}

    def send_stale_epoch(self, to: ReplicaId, number: int, epoch: int) -> None:
        """Send `StaleEpoch` to the sender of a message of this epoch, if a later epoch is known."""
        shard = self.shard(number)
        assigned_epoch = shard.assignment.epoch if shard.assignment else 0
        newest = max(assigned_epoch, shard.position.epoch)
        if newest > epoch:
            self.outbox.send(to, StaleEpoch(number, newest))
