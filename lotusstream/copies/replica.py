"""One holder's side: home of some shards, copy of others. Primary and backups with epochs, as published for
PacificA (Lin et al. 2008): every disk of an epoch has a change before it is promised, so any of them has all.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lotusstream.copies import messages as ms
from lotusstream.copies.anti_entropy import (
    MAX_CLOCK_DIFFERENCE_US,
    RANGE_COUNT,
    RangeComparison,
    find_divergence,
    range_digest,
)
from lotusstream.copies.messages import IdempotencyRecord, Operation, RecordState, ShardAssignment
from lotusstream.copies.shard_controller import ReplicationOptions
from lotusstream.copies.shards import ReplicaId, shard_of

MAX_BUFFERED_OPERATIONS = 10_000  # changes that are kept while a copy is being filled
RECENT_OPERATION_COUNT = 64  # changes that are kept to fill a copy that is a little behind
POSITION_REQUESTS_PER_LEASE = 8  # tries in a lease to begin with a copy that does not answer

# Events


@dataclass(frozen=True, slots=True)
class MessageReceived:
    sender: ReplicaId
    message: ms.ReplicaMessage


@dataclass(frozen=True, slots=True)
class LogWritePersisted:
    write_number: int


@dataclass(frozen=True, slots=True)
class AssignmentLearned:
    """An assignment that the quorum has agreed on."""

    assignment: ShardAssignment


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """A beacon was answered; it was sent at this time of this holder's clock. `epochs`: of all shards, as
    whoever answered knows them."""

    heartbeat_sent_at: int
    epochs: Mapping[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ClaimRequested:
    """Before the first send: Promised, or Known where the key was seen before. `unix`: the time of day.
    `after`: the owner whose claim, not answered yet, this one takes the place of."""

    ticket: int
    record: IdempotencyRecord
    unix_time: int
    previous_owner: str = ""


@dataclass(frozen=True, slots=True)
class CompletionRequested:
    """Before the answer: what is answered, for whoever asks again."""

    ticket: int
    record: IdempotencyRecord
    unix_time: int


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """A planned stop: from now on this run promises nothing, so that others can at once."""


@dataclass(frozen=True, slots=True)
class ReplicaTimeAdvanced:
    """Time has passed; `unix`: the time of day, where it is time to look for what is kept no longer."""

    unix_time: int = 0


Event = (
    MessageReceived
    | LogWritePersisted
    | AssignmentLearned
    | LeaseRenewed
    | ClaimRequested
    | CompletionRequested
    | ShutdownStarted
    | ReplicaTimeAdvanced
)

# Actions


@dataclass(frozen=True, slots=True)
class PersistLogRecords:
    write_number: int
    records: tuple[ms.LogRecord, ...]


@dataclass(frozen=True, slots=True)
class SendReplicaMessage:
    to: ReplicaId
    message: ms.ReplicaMessage


@dataclass(frozen=True, slots=True)
class Committed:
    """On the disks of enough machines."""

    ticket: int


@dataclass(frozen=True, slots=True)
class AlreadyRecorded:
    """The key was seen before."""

    ticket: int
    record: IdempotencyRecord


@dataclass(frozen=True, slots=True)
class NotCommitted:
    """Nothing was promised; `maybe`: it may still be found later. `home`: whom to ask instead."""

    ticket: int
    reason: str
    primary: str = ""
    outcome_unknown: bool = False


@dataclass(frozen=True, slots=True)
class ReportDivergence:
    """For people: copies of a shard do not hold the same. `filled`: those that are filled anew; `ahead`: who
    is to be the home. Neither: nobody can tell which is right."""

    shard: int
    refilled: tuple[ReplicaId, ...]
    next_primary: ReplicaId | None


Action = (
    PersistLogRecords | SendReplicaMessage | Committed | AlreadyRecorded | NotCommitted | ReportDivergence
)


@dataclass(slots=True)
class CatchUpTransfer:
    """What a home is giving to a copy, one part after the other. `at`: the one that is out, since when, or
    that waits for the told pace until `due`. `odd`: it held something else, and counts once it has all."""

    session: str
    position: tuple[int, int]
    parts: list[tuple[IdempotencyRecord, ...]]
    started_at: int
    last_progress_at: int
    next_part: int = 0
    resume_at: int | None = None
    repairs_divergence: bool = False


@dataclass(slots=True)
class IncomingSnapshot:
    """What a copy has of that. `later`: changes that came meanwhile."""

    transfer_id: tuple[int, int, int, int]  # epoch and last change of what it is given, and which filling
    parts: list[tuple[IdempotencyRecord, ...]] = field(default_factory=list)
    buffered_operations: list[Operation] = field(default_factory=list)


@dataclass(slots=True)
class ShardReplica:
    """`last`: epoch and number of the newest change here."""

    number: int
    records: dict[str, IdempotencyRecord] = field(default_factory=dict)
    size_bytes: int = 0  # of the holdings, about so many bytes
    position: tuple[int, int] = (0, 0)
    recent_operations: deque[Operation] = field(default_factory=lambda: deque(maxlen=RECENT_OPERATION_COUNT))
    assignment: ShardAssignment | None = None
    persisted_sequence: int = 0
    deposed: bool = False
    # of a home
    sessions: dict[ReplicaId, str] = field(
        default_factory=dict
    )  # of the copies that were filled in this epoch
    acknowledged: dict[ReplicaId, int] = field(default_factory=dict)
    reported_joining: frozenset[ReplicaId] = (
        frozenset()
    )  # joining ones that count as copies from when that was told
    first_sequence: int = 0  # the newest change when this home began: asked for only once all copies have it
    committed_sequence: int = 0
    pending_commits: deque[tuple[int, int, int]] = field(default_factory=deque)  # change, ticket, since when
    uncommitted_keys: dict[str, int] = field(default_factory=dict)  # keys whose change is not promised yet
    positions_requested_at: int = 0
    more_advanced: ReplicaId | None = None  # a copy that has more than this home
    transfers: dict[ReplicaId, CatchUpTransfer] = field(default_factory=dict)
    incoming: IncomingSnapshot | None = None

    def backups(self) -> tuple[ReplicaId, ...]:
        return self.assignment.backups if self.assignment else ()

    def followers(self) -> tuple[ReplicaId, ...]:
        return (*self.assignment.backups, *self.assignment.joining) if self.assignment else ()

    def apply(self, op: Operation) -> None:
        self.position = (op.epoch, op.sequence)
        self.recent_operations.append(op)
        known = self.records.get(op.record.key)
        self.size_bytes += ms.estimated_bytes(op.record) - (
            ms.estimated_bytes(known) if known is not None else 0
        )
        self.records[op.record.key] = op.record

    def replace_records(self, holdings: Iterable[IdempotencyRecord]) -> None:
        """These, and no others."""
        self.records = {each.key: each for each in holdings}
        self.size_bytes = sum(map(ms.estimated_bytes, self.records.values()))

    def install_snapshot(self, holdings: Iterable[IdempotencyRecord], last: tuple[int, int]) -> None:
        self.replace_records(holdings)
        self.position, self.persisted_sequence = last, 0
        self.recent_operations.clear()


def recover_shards(records: Iterable[ms.LogRecord]) -> dict[int, ShardReplica]:
    """What a disk holds."""
    shards: dict[int, ShardReplica] = {}
    begun: dict[int, list[IdempotencyRecord]] = {}
    for record in records:
        shard = shards.setdefault(record.shard, ShardReplica(record.shard))
        match record:
            case ms.OperationLogRecord(_, op):
                shard.apply(op)
            case ms.SnapshotLogRecord(number, epoch, seq, holdings, part, parts):
                if not part:
                    begun[number] = []
                begun.setdefault(number, []).extend(holdings)
                if part + 1 == parts:  # a crash in between leaves what was there before
                    shard.install_snapshot(begun.pop(number), (epoch, seq))
        shard.persisted_sequence = shard.position[1]
    return shards


class ReplicaSet:
    """`place`: of this disk; `session`: of this run of the program."""

    def __init__(
        self,
        place: ReplicaId,
        session: str,
        terms: ReplicationOptions,
        shards: dict[int, ShardReplica],
        now: int,
    ) -> None:
        self.replica_id, self.session, self._terms, self.shards = place, session, terms, shards
        self._now, self._until, self.shutting_down = now, 0, False
        self._out: list[Action] = []
        self._number = 0
        self._pending: list[ms.LogRecord] = []
        self._rests: deque[tuple[int, list[Action]]] = deque()
        self._marks: deque[tuple[int, dict[int, int]]] = deque()
        self._turn: list[Action] = []
        self._swept = 0
        self._comparing: RangeComparison | None = None
        self._compared, self._compared_at = 0, now  # ranges so far
        self._paced = 0  # until when what was given to copies fills the told pace
        self._put_off = False  # a part waits for that
        self._touched: set[int] | None = set()  # shards that the event is about; None: all

    def handle(self, now: int, event: Event) -> list[Action]:
        self._now, self._out, self._turn = max(now, self._now), [], []
        self._touched = (
            None if isinstance(event, ReplicaTimeAdvanced | LeaseRenewed | ShutdownStarted) else set()
        )
        self._put_off = self._put_off and self._touched is not None  # told anew where all shards are driven
        match event:
            case MessageReceived(sender, word):
                self._touch(word.assignment.shard if isinstance(word, ms.PositionRequest) else word.shard)
                self._heard(sender, word)
            case LogWritePersisted(number):
                self._persisted(number)
            case AssignmentLearned(assigned):
                self._learn(assigned)
            case LeaseRenewed(sent, epochs):
                self._look_at(epochs)
                self._until = max(self._until, sent + self._terms.leases.length - self._terms.leases.margin)
            case ClaimRequested(ticket, holding, unix, after):
                self._claim(ticket, holding, unix, after)
            case CompletionRequested(ticket, holding, unix):
                self._finish(ticket, holding, unix)
            case ShutdownStarted():
                self.shutting_down = True
            case ReplicaTimeAdvanced(unix) if unix:
                self._forget(unix)
                self._compare(unix)
        touched = self.shards if self._touched is None else sorted(self._touched)
        for number in touched:
            if number in self.shards:
                self._drive(self.shards[number])
        self._flush()
        return self._out

    def _touch(self, number: int) -> None:
        if self._touched is not None:
            self._touched.add(number)

    @property
    def next_timer_at(self) -> int | None:
        """When a part may be given that waits for the told pace: a Tick is due then."""
        return self._paced if self._put_off else None

    @property
    def has_lease(self) -> bool:
        """Whether this holder may promise anything at this moment."""
        return self._now < self._until and not self.shutting_down

    def caught_up_replicas(self) -> dict[int, tuple[int, tuple[ReplicaId, ...]]]:
        """For the beacon: those that this home has filled, and that have on their disks all that it has."""
        found = {}
        for shard in self.shards.values():
            if (mine := shard.assignment) is None or not self._home(shard):
                continue
            ready = tuple(
                each for each in mine.joining if shard.acknowledged.get(each, -1) >= shard.committed_sequence
            )
            if (
                ready
            ):  # from now on no promise without them: the quorum may count them before that is known here
                shard.reported_joining |= set(ready)
                found[shard.number] = (mine.epoch, ready)
        return found

    def more_advanced_replicas(self) -> dict[int, tuple[int, ReplicaId]]:
        """For the beacon: shards of which another disk has more than this home."""
        return {
            shard.number: (shard.assignment.epoch, shard.more_advanced)
            for shard in self.shards.values()
            if shard.more_advanced is not None and shard.assignment is not None and self._home(shard)
        }

    def _forget(self, unix: int) -> None:
        """What is kept no longer, of one shard after the other: a shard with much in it costs its time."""
        numbers = sorted(self.shards)
        if numbers:
            self._swept += 1
            shard = self.shards[numbers[self._swept % len(numbers)]]
            if any(each.expires_at <= unix for each in shard.records.values()):
                shard.replace_records([each for each in shard.records.values() if each.expires_at > unix])

    # Comparing

    def _compare(self, unix: int) -> None:
        """The next range of the next shard that this is home of, while nothing is on its way."""
        pause = self._terms.anti_entropy_interval // (self._terms.shard_count * RANGE_COUNT)
        if not self._terms.anti_entropy_interval or self._now - self._compared_at < pause:
            return
        self._compared_at, self._comparing = self._now, None
        homes = sorted(number for number, shard in self.shards.items() if self._home(shard))
        if not homes:
            return
        self._compared += 1
        shard = self.shards[homes[self._compared // RANGE_COUNT % len(homes)]]
        mine, seq = shard.assignment, shard.position[1]
        if mine is None or not mine.backups or shard.uncommitted_keys or shard.committed_sequence != seq:
            return
        part, kept_after = self._compared % RANGE_COUNT, unix + MAX_CLOCK_DIFFERENCE_US
        told = range_digest(shard.records.values(), part, kept_after)
        waits = frozenset(mine.backups)
        self._comparing = RangeComparison(shard.number, mine.epoch, seq, part, told, waits)
        for each in mine.backups:
            self._say(each, ms.DigestRequest(shard.number, mine.epoch, seq, part, kept_after), rests=False)

    def _summed(self, sender: ReplicaId, told: ms.DigestReply) -> None:
        shard, comparing = self._shard(told.shard), self._comparing
        about = (told.shard, told.epoch, told.sequence, told.key_range)
        if comparing is None or about != (
            comparing.shard,
            comparing.epoch,
            comparing.sequence,
            comparing.key_range,
        ):
            return
        if not self._mine(shard, told.epoch) or shard.sessions.get(sender) != told.session:
            return
        if not comparing.add_digest(sender, told.digest):
            return
        self._comparing = None
        if (odd := find_divergence(comparing.own_digest, comparing.digests)) is None:
            return
        self._out.append(ReportDivergence(shard.number, odd.diverged, odd.next_primary))
        for each in odd.diverged:
            parts = ms.split_into_parts(shard.records.values(), self._terms.part_bytes)
            shard.acknowledged[each] = -1  # nothing is promised with it before it has all
            filling = CatchUpTransfer(
                shard.sessions[each], shard.position, parts, self._now, self._now, repairs_divergence=True
            )
            shard.transfers[each] = filling
            self._say_part(shard, each, filling)
        if odd.next_primary is not None:
            self._yield_to(shard, odd.next_primary)

    @property
    def size_bytes(self) -> int:
        """Of all that is held here, about so many bytes."""
        return sum(shard.size_bytes for shard in self.shards.values())

    # Writing down and telling

    def _save(self, *records: ms.LogRecord) -> None:
        self._pending += records

    def _say(self, to: ReplicaId, word: ms.ReplicaMessage, *, rests: bool) -> None:
        (self._turn if rests else self._out).append(SendReplicaMessage(to, word))

    def _flush(self) -> None:
        if self._pending:
            self._number += 1
            self._out.append(PersistLogRecords(self._number, tuple(self._pending)))
            marks = {record.shard: self.shards[record.shard].position[1] for record in self._pending}
            self._marks.append((self._number, marks))
            self._rests.append((self._number, self._turn))
            self._pending = []
        elif self._turn and self._rests:
            self._rests[-1][1].extend(self._turn)
        else:
            self._out += self._turn

    def _persisted(self, number: int) -> None:
        while self._marks and self._marks[0][0] <= number:
            for shard, seq in self._marks.popleft()[1].items():
                self.shards[shard].persisted_sequence = seq
                self._touch(shard)
        while self._rests and self._rests[0][0] <= number:
            self._out += self._rests.popleft()[1]

    # Assignments

    def _shard(self, number: int) -> ShardReplica:
        return self.shards.setdefault(number, ShardReplica(number))

    def _home(self, shard: ShardReplica) -> bool:
        """Of this epoch, by this very run of the program: one that begins anew is given another epoch."""
        mine = shard.assignment
        if mine is None or shard.deposed:
            return False
        return mine.primary == self.replica_id and mine.session == self.session

    def _learn(self, assigned: ShardAssignment) -> bool:
        """False where it is old news."""
        if self.replica_id not in assigned.members and assigned.shard not in self.shards:
            return False
        shard = self._shard(assigned.shard)
        self._touch(shard.number)
        known = shard.assignment.epoch if shard.assignment else 0
        if assigned.epoch <= known:
            return assigned.epoch == known
        if (
            assigned.epoch < shard.position[0]
        ):  # this run has not heard of it yet, its disk has: guards what is
            return False  # promised against a home of an earlier epoch that would fill it with what it has
        was_home = self._home(shard)
        shard.assignment, shard.deposed, shard.more_advanced = assigned, False, None
        shard.transfers, shard.incoming = {}, None
        shard.reported_joining &= set(assigned.joining)
        if not self._home(shard):
            if was_home or shard.pending_commits:
                self._deposed(shard, "another home has been agreed on")
            shard.sessions, shard.acknowledged, shard.reported_joining = {}, {}, frozenset()
            return True
        kept = [each for each in assigned.members if each in shard.sessions] if was_home else []
        shard.sessions = {each: shard.sessions[each] for each in kept}
        shard.acknowledged = {each: shard.acknowledged[each] for each in kept}
        if not was_home:
            shard.committed_sequence, shard.uncommitted_keys, shard.first_sequence = 0, {}, shard.position[1]
            shard.pending_commits.clear()
        shard.positions_requested_at = 0
        return True

    def _look_at(self, epochs: Mapping[int, int]) -> None:
        """Guards what others have been given meanwhile: a home that was cut off gets a lease again before it
        hears of the epochs that it missed."""
        for shard in self.shards.values():
            mine = shard.assignment
            if mine is not None and epochs.get(shard.number, 0) > mine.epoch:
                if self._home(shard):
                    self._deposed(shard, "another home has been agreed on")
                shard.deposed = True

    def _deposed(self, shard: ShardReplica, why: str) -> None:
        """What was not promised is not known to be lost: its change may be on the next home's disk."""
        for _, ticket, _ in shard.pending_commits:
            self._out.append(
                NotCommitted(ticket, why, shard.assignment.primary.name if shard.assignment else "", True)
            )
        shard.pending_commits.clear()
        shard.uncommitted_keys = {}

    # Home

    def _drive(self, shard: ShardReplica) -> None:
        mine = shard.assignment
        if mine is None or not self._home(shard):
            return
        if (
            self._now
            >= shard.positions_requested_at + self._terms.leases.length // POSITION_REQUESTS_PER_LEASE
        ):
            shard.positions_requested_at = self._now
            for each in (*mine.backups, *mine.joining):
                self._say(each, ms.PositionRequest(mine), rests=False)
        for to, filling in shard.transfers.items():
            if filling.resume_at is not None:
                self._say_part(shard, to, filling)
        while shard.pending_commits and self._now - shard.pending_commits[0][2] > self._terms.leases.length:
            why = "its copies do not answer"
            self._out.append(NotCommitted(shard.pending_commits.popleft()[1], why, "", True))
        if not self.has_lease or 1 + len(mine.backups) < self._terms.commit_count:
            return
        marks = [shard.acknowledged.get(each, -1) for each in (*mine.backups, *shard.reported_joining)]
        ready = min([shard.persisted_sequence, *marks])
        if ready > shard.committed_sequence:
            shard.committed_sequence = ready
        while shard.pending_commits and shard.pending_commits[0][0] <= shard.committed_sequence:
            self._out.append(Committed(shard.pending_commits.popleft()[1]))
        shard.uncommitted_keys = {
            key: seq for key, seq in shard.uncommitted_keys.items() if seq > shard.committed_sequence
        }

    def _able(self, ticket: int, key: str) -> ShardReplica | None:
        shard = self._shard(shard_of(key, self._terms.shard_count))
        self._touch(shard.number)
        mine = shard.assignment
        if mine is None or not self._home(shard):
            home = mine.primary.name if mine and mine.primary != self.replica_id else ""
            self._out.append(NotCommitted(ticket, "not the home of this key", home))
        elif not self.has_lease:
            self._out.append(NotCommitted(ticket, "cut off from whoever decides on homes"))
        elif 1 + len(mine.backups) < self._terms.commit_count:
            self._out.append(
                NotCommitted(ticket, "too few disks are left for a promise", self.replica_id.name)
            )
        elif (
            shard.pending_commits and self._now - shard.pending_commits[0][2] > self._terms.leases.length // 4
        ):
            self._out.append(NotCommitted(ticket, "its copies do not answer", self.replica_id.name))
        elif shard.more_advanced is not None:
            self._out.append(NotCommitted(ticket, "another disk has more", self.replica_id.name))
        elif self._terms.max_bytes and key not in shard.records and self.size_bytes >= self._terms.max_bytes:
            self._out.append(NotCommitted(ticket, "this holder has no room for more", self.replica_id.name))
        elif shard.committed_sequence < shard.first_sequence or any(
            each not in shard.acknowledged for each in mine.backups
        ):
            self._out.append(NotCommitted(ticket, "a copy is being filled", self.replica_id.name))
        else:
            return shard
        return None

    def _claim(self, ticket: int, wanted: IdempotencyRecord, unix: int, after: str) -> None:
        if (shard := self._able(ticket, wanted.key)) is None:
            return
        known = shard.records.get(wanted.key)
        if known is None or unix >= known.expires_at:
            if wanted.state is RecordState.NOT_EXECUTED:  # nothing is to be taken back
                self._out.append(Committed(ticket))
            else:
                self._change(shard, ticket, wanted)
        elif known == wanted:  # its own claim, whose answer was lost
            self._again(shard, ticket, wanted.key)
        elif wanted.key in shard.uncommitted_keys:  # whoever asks may not hear of what could still be lost
            self._out.append(
                NotCommitted(ticket, "the same key is being taken at this moment", self.replica_id.name)
            )
        elif known.state is RecordState.NOT_EXECUTED or (
            known.state is RecordState.SENT and after == known.owner
        ):
            self._change(shard, ticket, wanted)
        else:
            self._out.append(AlreadyRecorded(ticket, known))

    def _finish(self, ticket: int, told: IdempotencyRecord, unix: int) -> None:
        if (shard := self._able(ticket, told.key)) is None:
            return
        known = shard.records.get(told.key)
        if known is None or unix >= known.expires_at or known.state is not RecordState.ANSWERED:
            self._change(shard, ticket, told)
        elif known == told:
            self._again(shard, ticket, told.key)
        elif told.key in shard.uncommitted_keys:
            self._out.append(
                NotCommitted(ticket, "the same key is being answered at this moment", self.replica_id.name)
            )
        else:
            self._out.append(AlreadyRecorded(ticket, known))  # the first answer stands

    def _again(self, shard: ShardReplica, ticket: int, key: str) -> None:
        """The same once more: promised when the first is."""
        if (seq := shard.uncommitted_keys.get(key)) is None:
            self._out.append(Committed(ticket))
        else:
            shard.pending_commits.append((seq, ticket, self._now))

    def _change(self, shard: ShardReplica, ticket: int, holding: IdempotencyRecord) -> None:
        assert shard.assignment is not None
        op = Operation(shard.assignment.epoch, shard.position[1] + 1, holding)
        shard.apply(op)
        self._save(ms.OperationLogRecord(shard.number, op))
        shard.pending_commits.append((op.sequence, ticket, self._now))
        shard.uncommitted_keys[holding.key] = op.sequence
        for each in shard.sessions:
            self._say(each, ms.Replicate(shard.number, op.epoch, op), rests=False)

    def _fill(self, shard: ShardReplica, to: ReplicaId, stand: ms.PositionReply) -> None:
        mine = shard.assignment
        assert mine is not None
        last_epoch, last_seq = stand.last_epoch, stand.last_sequence
        common = (last_epoch, last_seq) == shard.position or any(
            (op.epoch, op.sequence) == (last_epoch, last_seq) for op in shard.recent_operations
        )
        shard.sessions[to] = stand.session
        shard.acknowledged[to] = -1
        if common:
            ops, size = list[Operation](), 0
            for op in shard.recent_operations:
                if op.sequence > last_seq and size < self._terms.part_bytes:
                    ops.append(op)
                    size += ms.estimated_bytes(op.record)
            fill = ms.CatchUpData(shard.number, mine.epoch, last_seq, *shard.position, (), tuple(ops))
            self._say(to, fill, rests=False)
            return
        under_way = shard.transfers.get(to)
        if under_way is None or under_way.session != stand.session or self._stands_still(under_way):
            parts = ms.split_into_parts(shard.records.values(), self._terms.part_bytes)
            under_way = shard.transfers[to] = CatchUpTransfer(
                stand.session, shard.position, parts, self._now, self._now
            )
        self._say_part(shard, to, under_way)

    def _stands_still(self, filling: CatchUpTransfer) -> bool:
        return filling.resume_at is None and self._now - filling.last_progress_at > self._terms.leases.length

    def _odd(self, shard: ShardReplica, to: ReplicaId, session: str) -> CatchUpTransfer | None:
        """While it is filled though it stands at the same change; not for ever: its last word may be lost."""
        found = shard.transfers.get(to)
        if (
            found is None
            or not found.repairs_divergence
            or found.session != session
            or self._stands_still(found)
        ):
            return None
        return found

    def _say_part(self, shard: ShardReplica, to: ReplicaId, filling: CatchUpTransfer) -> None:
        """At the told pace, over all that this holder fills: guards the commands of customers, who wait for
        the same loops and disks."""
        assert shard.assignment is not None
        if self._terms.catch_up_bytes_per_s and self._now < self._paced:
            filling.resume_at, self._put_off = self._paced, True
            return
        if filling.resume_at is not None and not filling.next_part:  # it follows what came while it waited
            filling.parts, filling.position = (
                ms.split_into_parts(shard.records.values(), self._terms.part_bytes),
                shard.position,
            )
            filling.started_at = self._now
        if filling.resume_at is not None:
            filling.resume_at, filling.last_progress_at = None, self._now
        part, at, count = filling.parts[filling.next_part], filling.next_part, len(filling.parts)
        if self._terms.catch_up_bytes_per_s:
            self._paced = (
                self._now + sum(map(ms.estimated_bytes, part)) * 1_000_000 // self._terms.catch_up_bytes_per_s
            )
        epoch, begun = shard.assignment.epoch, filling.started_at
        fill = ms.CatchUpData(shard.number, epoch, -1, *filling.position, part, (), at, count, begun)
        self._say(to, fill, rests=False)

    def _filled(self, sender: ReplicaId, shard: ShardReplica, told: ms.CatchUpPartAck) -> None:
        filling = shard.transfers.get(sender)
        if filling is None or filling.session != told.session or told.part != filling.next_part:
            return
        filling.next_part, filling.last_progress_at = filling.next_part + 1, self._now
        if filling.next_part < len(filling.parts):
            self._say_part(shard, sender, filling)
        else:
            del shard.transfers[sender]

    def _take_part(self, sender: ReplicaId, shard: ShardReplica, fill: ms.CatchUpData) -> None:
        last = (fill.last_epoch, fill.last_sequence)
        if shard.position[0] == fill.epoch and fill.last_sequence < shard.position[1]:
            return  # overtaken by what followed it
        begun = (fill.epoch, *last, fill.started_at)
        coming = shard.incoming
        if coming is None or coming.transfer_id != begun:
            if fill.part:
                return
            coming = shard.incoming = IncomingSnapshot(begun)
        if fill.part > len(coming.parts):
            return
        self._say(sender, ms.CatchUpPartAck(shard.number, fill.epoch, self.session, fill.part), rests=False)
        if fill.part < len(coming.parts):
            return  # once more: its answer was lost
        coming.parts.append(fill.records)
        if len(coming.parts) < fill.part_count:
            return
        shard.incoming = None
        holdings = [each for part in coming.parts for each in part]
        shard.install_snapshot(holdings, last)
        self._save(*ms.snapshot_log_records(shard.number, last, holdings, self._terms.part_bytes))
        for op in coming.buffered_operations:
            if op.sequence == shard.position[1] + 1:
                shard.apply(op)
                self._save(ms.OperationLogRecord(shard.number, op))
        self._say(
            sender, ms.ReplicateAck(shard.number, fill.epoch, self.session, shard.position[1]), rests=True
        )

    # Copy, and words of all kinds

    def _heard(self, sender: ReplicaId, word: ms.ReplicaMessage) -> None:
        match word:
            case ms.PositionRequest(assigned):
                if not self._learn(assigned):
                    self._answer_old(sender, assigned.shard, assigned.epoch)
                    return
                shard = self._shard(assigned.shard)
                if (
                    shard.assignment == assigned
                    and self.replica_id in assigned.members
                    and assigned.primary == sender
                ):
                    stand = ms.PositionReply(assigned.shard, assigned.epoch, self.session, *shard.position)
                    self._say(sender, stand, rests=True)
            case ms.PositionReply(number, epoch, session, last_epoch, last_seq):
                shard = self._shard(number)
                if not self._mine(shard, epoch) or sender not in shard.followers():
                    return
                if (last_epoch, last_seq) > shard.position and sender in shard.backups():
                    self._yield_to(shard, sender)
                elif (under_way := self._odd(shard, sender, session)) is not None:
                    self._say_part(shard, sender, under_way)
                elif (last_epoch, last_seq) == shard.position:  # it leaves only once that is on its disk
                    shard.sessions[sender], shard.acknowledged[sender] = session, last_seq
                elif (
                    shard.sessions.get(sender) != session
                    or shard.acknowledged.get(sender, -1) < shard.position[1]
                ):
                    self._fill(shard, sender, word)
            case ms.CatchUpData(number, epoch, after, _, _, _, ops):
                shard = self._shard(number)
                if not self._follows(sender, shard, epoch):
                    return
                if after < 0:
                    self._take_part(sender, shard, word)
                    return
                if shard.position[1] != after:
                    return
                for op in ops:
                    shard.apply(op)
                    self._save(ms.OperationLogRecord(number, op))
                self._say(sender, ms.ReplicateAck(number, epoch, self.session, shard.position[1]), rests=True)
            case ms.CatchUpPartAck(number, epoch, _, _):
                shard = self._shard(number)
                if self._mine(shard, epoch):
                    self._filled(sender, shard, word)
            case ms.Replicate(number, epoch, op):
                shard = self._shard(number)
                if not self._follows(sender, shard, epoch):
                    return
                if (
                    shard.incoming is not None
                    and len(shard.incoming.buffered_operations) < MAX_BUFFERED_OPERATIONS
                ):
                    shard.incoming.buffered_operations.append(op)
                if op.sequence != shard.position[1] + 1 or shard.incoming is not None:
                    return  # one before it was lost, or it came twice: the home begins anew with this copy
                shard.apply(op)
                self._save(ms.OperationLogRecord(number, op))
                self._say(sender, ms.ReplicateAck(number, epoch, self.session, op.sequence), rests=True)
            case ms.ReplicateAck(number, epoch, session, seq):
                shard = self._shard(number)
                ours = self._mine(shard, epoch) and shard.sessions.get(sender) == session
                if ours and self._odd(shard, sender, session) is None:
                    shard.acknowledged[sender] = max(shard.acknowledged[sender], seq)
            case ms.DigestRequest(number, epoch, seq, part, kept_after):
                shard = self._shard(number)
                if (
                    self._follows(sender, shard, epoch)
                    and shard.position[1] == seq
                    and shard.incoming is None
                ):
                    told = range_digest(shard.records.values(), part, kept_after)
                    answer = ms.DigestReply(number, epoch, self.session, seq, part, told)
                    self._say(sender, answer, rests=False)
            case ms.DigestReply():
                self._summed(sender, word)
            case ms.StaleEpoch(number, epoch):
                shard = self._shard(number)
                if shard.assignment is not None and epoch > shard.assignment.epoch and self._home(shard):
                    shard.deposed = True
                    self._deposed(shard, "a later epoch has begun")

    def _yield_to(self, shard: ShardReplica, sender: ReplicaId) -> None:
        """Guards promises against a disk that lied: this one came back with less than it had said to have. A
        copy that counts has more, so it is to be the home; the manager hears of it by the next beacon."""
        shard.more_advanced = sender
        self._deposed(shard, "another disk has more")

    def _mine(self, shard: ShardReplica, epoch: int) -> bool:
        return self._home(shard) and shard.assignment is not None and shard.assignment.epoch == epoch

    def _follows(self, sender: ReplicaId, shard: ShardReplica, epoch: int) -> bool:
        mine = shard.assignment
        if mine is not None and epoch < mine.epoch:
            self._answer_old(sender, shard.number, epoch)
            return False
        return (
            mine is not None
            and mine.epoch == epoch
            and mine.primary == sender
            and self.replica_id in mine.members
        )

    def _answer_old(self, sender: ReplicaId, number: int, epoch: int) -> None:
        shard = self._shard(number)
        newest = max(shard.assignment.epoch if shard.assignment else 0, shard.position[0])
        if newest > epoch:
            self._say(sender, ms.StaleEpoch(number, newest), rests=False)
