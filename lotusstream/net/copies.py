"""A holder of copies in a gateway: its shards on its disk, its words to other holders, its beacons to whoever
decides on homes; and that one's side, as a task under a lease."""

from __future__ import annotations

import asyncio
import os
import threading
import time
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from lotusstream.copies import replica_events
from lotusstream.copies.controller_events import (
    AssignmentAgreed,
    AssignmentRejected,
    AssignmentsLoaded,
    ControllerTimeAdvanced,
    GrantReplicaLease,
    HeartbeatReceived,
    LoadAssignments,
    MachinesDrained,
    ProposeAssignment,
    ReportRedundancy,
)
from lotusstream.copies.messages import (
    LogRecord,
    OperationLogRecord,
    ShardAssignment,
    SnapshotLogRecord,
    snapshot_log_records,
)
from lotusstream.copies.options import ReplicationOptions
from lotusstream.copies.replica import ReplicaSet
from lotusstream.copies.replica_events import (
    AlreadyRecorded,
    AssignmentLearned,
    ClaimRequested,
    Committed,
    CompletionRequested,
    LeaseRenewed,
    LogWritePersisted,
    MessageReceived,
    NotCommitted,
    PersistLogRecords,
    ReplicaTimeAdvanced,
    ReportDivergence,
    SendReplicaMessage,
    ShutdownStarted,
)
from lotusstream.copies.shard_controller import ShardController
from lotusstream.copies.shard_replica import recover_shards
from lotusstream.copies.shards import ReplicaHost, ReplicaId, shard_of
from lotusstream.net import clock, raft_node
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.connection import US
from lotusstream.net.control import ControlRejectedError
from lotusstream.net.tasks import TaskContext
from lotusstream.protocol import peers as wire
from lotusstream.wal.log import CorruptLogError, DiskError, WriteAheadLog

LOG_FILE_NAME = "copies.log"
ASSIGNMENT_KEY_PREFIX = "shard/"
DRAINED_MACHINES_KEY = "drained"  # machines that are to hold nothing
_ASSIGNMENT_DECODER: msgspec.json.Decoder[ShardAssignment] = msgspec.json.Decoder(ShardAssignment)


class DiskIdentity(msgspec.Struct, frozen=True, array_like=True, tag_field="is", tag="disk"):
    disk: str


_LOG_RECORD_DECODER: msgspec.msgpack.Decoder[DiskIdentity | OperationLogRecord | SnapshotLogRecord]
_LOG_RECORD_DECODER = msgspec.msgpack.Decoder(DiskIdentity | OperationLogRecord | SnapshotLogRecord)

PutNote = Callable[
    [str, int, str, int], Awaitable[str]
]  # key, version, value, token: '' once agreed, or why not
ReadQuorumView = Callable[[], Awaitable[dict[str, Any] | None]]  # what the quorum has, or None
SendFrame = Callable[[str, wire.PeerFrame], None]  # to the gateway of this name; may be lost


class ReplicaStore:
    """One log for all shards. What is damaged is put aside, and this holder comes back as a new one: others
    have what it had."""

    def __init__(self, folder: str, name: str) -> None:
        """Raises LogTrouble."""
        os.makedirs(folder, mode=0o700, exist_ok=True)
        path = os.path.join(folder, LOG_FILE_NAME)
        self.damaged = ""
        try:
            self._log = WriteAheadLog(path, raft_node.make_disk()).open()
            records = [_LOG_RECORD_DECODER.decode(payload) for payload in self._log.payloads]
        except (CorruptLogError, msgspec.MsgspecError) as error:
            self.damaged = str(error)
            if not isinstance(error, CorruptLogError):
                self._log.close()
            os.replace(path, f"{path}.damaged-{time.time_ns()}")
            self._log, records = WriteAheadLog(path, raft_node.make_disk()).open(), []
        self._log.payloads = []
        disks = [record.disk for record in records if isinstance(record, DiskIdentity)]
        self.disk = disks[0] if disks else f"{name}-{uuid.uuid4().hex[:12]}"
        if not disks:
            self._log.append(msgspec.msgpack.encode(DiskIdentity(self.disk)))
        kept = [record for record in records if not isinstance(record, DiskIdentity)]
        self.shards = recover_shards(kept)
        self._writing = threading.Lock()
        self._least = max(1 << 20, 2 * self._log.size_bytes)

    def write(self, saves: list[PersistLogRecords], whole: list[LogRecord] | None) -> None:
        """`whole`: all shards as they are, where the log is to be written anew. Raises DiskTrouble."""
        with self._writing:
            if whole is not None:
                records: list[Any] = [DiskIdentity(self.disk), *whole]
                self._log.rewrite(map(msgspec.msgpack.encode, records))
                self._least = max(1 << 20, 2 * self._log.size_bytes)
            else:
                records = [record for save in saves for record in save.records]
                self._log.append(*map(msgspec.msgpack.encode, records))

    def damaged_at(self) -> int | None:
        """What is on the disk, read once more beside all writes. Raises DiskTrouble."""
        with self._writing:
            look = self._log.inspect()
        return look.first_damaged_byte()

    @property
    def is_long(self) -> bool:
        return self._log.size_bytes > self._least

    def close(self) -> None:
        with self._writing:
            self._log.close()


@dataclass(frozen=True, slots=True)
class _ClaimFrameReceived:
    """Of another gateway, or of this one."""

    frame: wire.CommitmentRequest
    answer: Callable[[wire.PeerFrame], None]


@dataclass(frozen=True, slots=True)
class _HeartbeatReplyReceived:
    frame: wire.ReplicaHeartbeatReply


class ReplicationActor(Actor[Any]):
    """Events of `Replicas` in its mailbox. A disk that fails ends it until the gateway begins anew."""

    def __init__(
        self,
        name: str,
        machine: str,
        zone: str,
        terms: ReplicationOptions,
        folder: str,
        tell: SendFrame,
        look: ReadQuorumView,
        supervisor: Supervisor,
    ) -> None:
        super().__init__("copies", supervisor)
        self._terms, self._tell, self._look = terms, tell, look
        self._store = ReplicaStore(folder, name)
        if self._store.damaged:
            supervisor.log.write("copies", f"put aside, and copied anew: {self._store.damaged}", "error")
        self.holder = ReplicaHost(ReplicaId(name, self._store.disk), machine, zone)
        session = f"{self._store.disk}.{uuid.uuid4().hex[:8]}"
        place = self.holder.replica_id
        self.replicas = ReplicaSet(place, session, terms, self._store.shards, clock.boot_clock())
        self._saves: list[PersistLogRecords] = []
        self._saving = self._anew = False  # anew: the log is to be written whole
        self._armed: asyncio.TimerHandle | None = None  # for what waits for the told pace
        self._failed = ""
        self._tickets: dict[int, tuple[wire.CommitmentRequest, Callable[[wire.PeerFrame], None]]] = {}
        self._ticket = 0
        self._beats: dict[int, int] = {}
        self._beat, self._answered = 0, 0
        self.manager = ""
        self.homes: dict[int, ReplicaId] = {}

    def start(self) -> None:
        super().start()
        self.supervisor.start_restarting("beacons", self._beacons)
        if self._terms.anti_entropy_interval:
            self.supervisor.start_restarting("scrub", self._scrub)

    async def _scrub(self) -> None:
        """The log is read again once in the told time. Memory has all that it holds: a damaged one is written
        anew from there, before a start would have to put it aside."""
        while True:
            await asyncio.sleep(self._terms.anti_entropy_interval / US)
            self.supervisor.counters.add("copies logs read again")
            if self._failed or (at := await asyncio.to_thread(self._store.damaged_at)) is None:
                continue
            self.supervisor.counters.add("copies logs found damaged")
            self.supervisor.log.write("copies", f"damaged on disk at byte {at}, written anew", "error")
            self._anew = True
            self._begin_saving()

    async def _beacons(self) -> None:
        """Several in a lease; whoever decides is looked for while none is answered."""
        length = self._terms.leases.duration_us
        while True:
            now = clock.boot_clock()
            if now - self._answered > length // 2:
                view = await self._look()
                leases = {row["task"]: row["holder"] for row in (view or {}).get("leases", [])}
                self.manager = leases.get("copies", "")
            self._beacon()
            self.post(ReplicaTimeAdvanced(time.time_ns() // 1000))
            await asyncio.sleep(length / US / 8)

    def _beacon(self) -> None:
        if self.manager and not self._failed:
            now = clock.boot_clock()
            self._beat += 1
            kept = self._beats.items()
            self._beats = {number: at for number, at in kept if now - at < self._terms.leases.duration_us}
            self._beats[self._beat] = now
            told, joined = self.replicas, self.replicas.caught_up_replicas()
            beat = wire.ReplicaHeartbeat(
                self._beat,
                self.holder,
                told.session,
                joined,
                told.shutting_down,
                told.more_advanced_replicas(),
            )
            self._tell(self.manager, beat)

    def leave(self) -> None:
        """A planned stop: others are home of its shards at once, not only once its lease is over."""
        self.post(ShutdownStarted())

    def heard(self, frame: wire.PeerFrame, answer: Callable[[wire.PeerFrame], None]) -> None:
        match frame:
            case wire.ReplicationFrame(source, to, word):
                if to == self.holder.replica_id:
                    self.post(MessageReceived(source, word))
            case wire.CommitmentRequest():
                self.post(_ClaimFrameReceived(frame, answer))
            case wire.ReplicaHeartbeatReply():
                self.post(_HeartbeatReplyReceived(frame))

    async def receive(self, message: Any) -> None:
        if self._failed:
            return
        match message:
            case _ClaimFrameReceived(frame, answer):
                self._ticket += 1
                self._tickets[self._ticket] = (frame, answer)
                unix = time.time_ns() // 1000
                if frame.finish:
                    self._take(CompletionRequested(self._ticket, frame.holding, unix))
                else:
                    self._take(ClaimRequested(self._ticket, frame.holding, unix, frame.after))
            case _HeartbeatReplyReceived(frame):
                for assigned in frame.assigned:
                    self._take(AssignmentLearned(assigned))
                sent = self._beats.get(frame.number)
                if sent is not None:
                    self._answered = clock.boot_clock()
                    self.homes = dict(frame.homes)
                    self._take(LeaseRenewed(sent, frame.epochs))
            case ShutdownStarted():
                self._take(message)
                self._beacon()
            case _:
                self._take(message)

    def _take(self, event: replica_events.Event) -> None:
        self._carry_out(event)
        at = self.replicas.next_timer_at
        if at is not None and self._armed is None:
            pause = max(1000, at - clock.boot_clock()) / US
            self._armed = asyncio.get_running_loop().call_later(pause, self._fire)

    def _fire(self) -> None:
        self._armed = None
        self.post(ReplicaTimeAdvanced())

    def _carry_out(self, event: replica_events.Event) -> None:
        for action in self.replicas.handle(clock.boot_clock(), event):
            match action:
                case PersistLogRecords():
                    self._saves.append(action)
                    self._begin_saving()
                case SendReplicaMessage(to, word):
                    self._tell(to.name, wire.ReplicationFrame(self.holder.replica_id, to, word))
                case Committed(ticket):
                    self._answer(ticket, "promised", None)
                case AlreadyRecorded(ticket, holding):
                    self._answer(ticket, "known", holding)
                case NotCommitted(ticket, why, home, maybe):
                    self._answer(ticket, "maybe" if maybe else "unkept", None, why, home)
                case ReportDivergence(shard, filled, ahead):
                    names = ", ".join(each.name for each in filled)
                    how = f"{names} filled anew" if names else f"{ahead.name} is to be home" if ahead else ""
                    text = f"copies of shard {shard} differ: {how or 'nobody can tell which is right'}"
                    self.supervisor.counters.add("copies found to differ")
                    self.supervisor.log.write("copies", text, "error", shard=shard)

    def _answer(self, ticket: int, what: str, holding: Any, why: str = "", home: str = "") -> None:
        if (found := self._tickets.pop(ticket, None)) is not None:
            asked, answer = found
            if what == "unkept" and not home:  # as this holder last heard
                place = self.homes.get(shard_of(asked.holding.key, self._terms.shard_count))
                home = place.name if place is not None and place != self.holder.replica_id else ""
            answer(wire.CommitmentReply(asked.number, what, holding, why, home))

    def _begin_saving(self) -> None:
        if not self._saving:
            self._saving = True
            self.supervisor.start("copies store", self._save())

    async def _save(self) -> None:
        """All that has come meanwhile, by one sync."""
        while self._saves or self._anew:
            saves, self._saves = self._saves, []
            whole = self._whole() if self._store.is_long or self._anew else None
            self._anew = False
            try:
                await asyncio.to_thread(self._store.write, saves, whole)
            except DiskError as error:
                self._failed = str(error)
                self.supervisor.counters.add("copies disk failures")
                self.supervisor.log.write("copies", f"this holder stands still: {error}", "error")
                return
            if saves:
                self.post(LogWritePersisted(saves[-1].write_number))
        self._saving = False

    def _whole(self) -> list[LogRecord]:
        most = self._terms.part_bytes
        return [
            record
            for shard in self.replicas.shards.values()
            for record in snapshot_log_records(shard.number, shard.position, shard.records.values(), most)
        ]

    def view(self) -> dict[str, Any]:
        """For people."""
        rows = []
        for shard in self.replicas.shards.values():
            if (mine := shard.assignment) is not None and not shard.deposed:
                rows.append(
                    {
                        "shard": shard.number, "epoch": mine.epoch, "home": mine.primary.name,
                        "copies": [each.name for each in mine.backups],
                        "joining": [each.name for each in mine.joining], "keys": len(shard.records),
                    }
                )  # fmt: skip
        return {
            "holder": self.holder.replica_id.name,
            "disk": self.holder.replica_id.disk,
            "machine": self.holder.machine,
            "zone": self.holder.zone,
            "manager": self.manager,
            "leased": self.replicas.has_lease,
            "trouble": self._failed,
            "size": self.replicas.size_bytes,
            "shards": rows,
        }

    async def stop(self) -> None:
        await super().stop()
        if self._armed is not None:
            self._armed.cancel()
        await asyncio.to_thread(self._store.close)


class ShardControllerTask(Actor[Any]):
    """Who decides on homes: a task under the lease 'copies'. Looks at its token before each word."""

    def __init__(
        self,
        around: TaskContext,
        terms: ReplicationOptions,
        tell: SendFrame,
        put: PutNote,
        look: ReadQuorumView,
    ) -> None:
        super().__init__("copies manager", around.supervisor)
        self._around, self._terms, self._tell, self._put, self._look = around, terms, tell, put, look
        self._manager: ShardController | None = None
        self._token = 0
        self._waiting: dict[tuple[ReplicaId, str], int] = {}
        self._machines: dict[ReplicaId, str] = {}
        self._work: asyncio.Task[None] | None = None
        self._running = False

    def activate(self, token: int) -> None:
        self._token = token
        if not self._running:
            self._running = True
            self.start()
        self._work = self.supervisor.start("copies manager", self._manage(token))

    def stop(self, why: str = "") -> None:  # type: ignore[override]
        self._manager, self._token = None, 0
        if self._work is not None:
            self._work.cancel()
            self._work = None

    async def _manage(self, token: int) -> None:
        while (view := await self._look()) is None or self._around.may_act() != token:
            await asyncio.sleep(self._terms.leases.duration_us / US / 8)  # a renewal that is late is no end
        self._manager = ShardController(self._terms, self._assigned(view), clock.boot_clock())
        self.post(MachinesDrained(self._drained(view)))
        while True:
            self.post(ControllerTimeAdvanced())
            await asyncio.sleep(self._terms.leases.duration_us / US / 20)

    def _assigned(self, view: dict[str, Any]) -> tuple[ShardAssignment, ...]:
        notes = view["notes"].items()
        return tuple(
            _ASSIGNMENT_DECODER.decode(note["value"])
            for key, note in notes
            if key.startswith(ASSIGNMENT_KEY_PREFIX)
        )

    def _drained(self, view: dict[str, Any]) -> frozenset[str]:
        note = view["notes"].get(DRAINED_MACHINES_KEY)
        return frozenset(msgspec.json.decode(note["value"], type=list[str])) if note else frozenset()

    @property
    def decides(self) -> bool:
        return self._manager is not None and bool(self._token)

    async def drain(self, machine: str, undo: bool) -> dict[str, Any]:
        """Agreed on first, so that whoever decides next knows it. Raises ControlRejectedError."""
        if (view := await self._look()) is None:
            raise ControlRejectedError("busy", "the quorum does not answer")
        machines = self._drained(view)
        machines = machines - {machine} if undo else machines | {machine}
        note = view["notes"].get(DRAINED_MACHINES_KEY)
        version = note["version"] + 1 if note else 1
        value = msgspec.json.encode(sorted(machines)).decode()
        if why := await self._put(DRAINED_MACHINES_KEY, version, value, self._token):
            raise ControlRejectedError("busy", why)
        self.post(MachinesDrained(machines))
        assigned = self._manager.assignments.values() if self._manager else ()
        seen = {place.name: machine for place, machine in self._machines.items()}
        left = sum(any(seen.get(place.name) in machines for place in each.members) for each in assigned)
        return {"drained": sorted(machines), "shards_left": left}

    async def _look_up(self) -> None:
        if (view := await self._look()) is not None:
            self.post(AssignmentsLoaded(self._assigned(view)))
            self.post(MachinesDrained(self._drained(view)))

    async def receive(self, message: Any) -> None:
        manager = self._manager
        if manager is None or not self._token or self._around.may_act() != self._token:
            return
        if isinstance(message, wire.ReplicaHeartbeat):
            self._waiting[message.holder.replica_id, message.session] = message.number
            self._machines[message.holder.replica_id] = message.holder.machine
            message = HeartbeatReceived(
                message.holder, message.session, message.joined, message.left, message.yields
            )
        for action in manager.handle(clock.boot_clock(), message):
            match action:
                case ProposeAssignment(assigned):
                    self.supervisor.start("assigning", self._propose(assigned, self._token))
                case LoadAssignments():
                    self.supervisor.start("assignments", self._look_up())
                case GrantReplicaLease(place, session, epochs):
                    number = self._waiting.pop((place, session), 0)
                    mine = tuple(each for each in manager.assignments.values() if place in each.members)
                    homes = {shard: each.primary for shard, each in manager.assignments.items()}
                    self._tell(place.name, wire.ReplicaHeartbeatReply(number, mine, homes, dict(epochs)))
                case ReportRedundancy(thin, lost):
                    text = f"{thin} shards bear no further loss, {lost} have nobody left"
                    severity = "warning" if thin or lost else "info"
                    self.supervisor.log.write("copies", text, severity, thin=thin, lost=lost)

    async def _propose(self, assigned: ShardAssignment, token: int) -> None:
        value = msgspec.json.encode(assigned).decode()
        why = await self._put(f"{ASSIGNMENT_KEY_PREFIX}{assigned.shard}", assigned.epoch, value, token)
        if self._token != token:
            return
        if not why:
            text = f"shard {assigned.shard}, epoch {assigned.epoch}: home {assigned.primary.name}"
            self.supervisor.log.write("assigned", text, "debug", shard=assigned.shard, epoch=assigned.epoch)
            self.post(AssignmentAgreed(assigned))
            return
        view = await self._look()
        note = (view or {}).get("notes", {}).get(f"{ASSIGNMENT_KEY_PREFIX}{assigned.shard}")
        self.post(
            AssignmentRejected(assigned.shard, _ASSIGNMENT_DECODER.decode(note["value"]) if note else None)
        )
