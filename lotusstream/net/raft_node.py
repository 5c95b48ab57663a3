"""A keeper of the quorum in a gateway: its log on the disk, its words to the others, its time."""

from __future__ import annotations

import asyncio
import os
import threading
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from lotusstream.leases.expiry import LeaseTiming
from lotusstream.leases.service import (
    LeaseHolderChanged,
    LeaseOperationReceived,
    LeaseService,
    LeaseServiceReply,
    LeaseTableReadReceived,
    MembershipChangeReceived,
)
from lotusstream.leases.table import Lease, Note
from lotusstream.net import clock
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.connection import US
from lotusstream.protocol import peers as wire
from lotusstream.quorum import events as ev
from lotusstream.quorum.messages import RaftEnvelope, RaftRecord
from lotusstream.quorum.node import RaftNode
from lotusstream.quorum.replicated_log import PersistedState
from lotusstream.quorum.timing import RaftTiming
from lotusstream.wal.errors import CorruptLogError, DiskError
from lotusstream.wal.file_system import FileSystemCalls
from lotusstream.wal.log import WriteAheadLog

_RECORD_DECODER: msgspec.msgpack.Decoder[RaftRecord] = msgspec.msgpack.Decoder(RaftRecord)
REOPEN_DELAY_S = 1.0  # seconds until a disk that failed is looked at again
LOG_FILE_NAME = "quorum.log"
ANSWERED_AS = Callable[[wire.QuorumReply], None]


def make_disk() -> FileSystemCalls:
    """The system's calls to the disk; a laboratory puts its own in the way."""
    return FileSystemCalls()


def open_store(folder: str) -> tuple[WriteAheadLog, PersistedState]:
    """Raises LogTrouble: CorruptLog where what is there can't be trusted."""
    path = os.path.join(folder, LOG_FILE_NAME)
    try:
        os.makedirs(folder, mode=0o700, exist_ok=True)
    except OSError as error:
        raise DiskError(folder, error.strerror or str(error), "name a folder that can be made") from error
    log = WriteAheadLog(path, make_disk()).open()
    try:
        found = PersistedState([_RECORD_DECODER.decode(payload) for payload in log.payloads])
    except (msgspec.MsgspecError, ValueError) as error:
        log.close()
        hint = "move it away: this keeper then comes back as a new one"
        raise CorruptLogError(path, f"a record can't be read: {error}", hint, 0) from error
    log.payloads = []
    return log, found


@dataclass(frozen=True, slots=True)
class RaftActorOptions:
    """`named`: the keepers by name, of the operator file."""

    name: str
    folder: str
    member_names: tuple[str, ...]
    raft_timing: RaftTiming
    lease_timing: LeaseTiming
    seed: int


@dataclass(frozen=True, slots=True)
class _StoreFailed:
    reason: str


@dataclass(frozen=True, slots=True)
class _OpenStore:
    pass


class StoreWriter(Actor[ev.PersistRecords]):
    """Writes what was asked for in one go with one sync, off the loop. After a failure it writes no more:
    what the descriptor says is not believed any longer."""

    def __init__(
        self,
        log: WriteAheadLog,
        told: Callable[[ev.RecordsPersisted | _StoreFailed], None],
        supervisor: Supervisor,
    ) -> None:
        super().__init__("quorum store", supervisor)
        self._log, self._notify, self._failed = log, told, False
        self._writing = threading.Lock()  # a task that is ended leaves its thread at work

    async def receive(self, message: ev.PersistRecords) -> None:
        if self._failed:
            return
        saves = [message]
        while (more := self.mailbox.take()) is not None:
            saves.append(more)
        try:
            await asyncio.to_thread(self._write, saves)
        except DiskError as error:
            self._failed = True
            self._notify(_StoreFailed(str(error)))
            return
        self.supervisor.counters.add("quorum syncs")
        self._notify(ev.RecordsPersisted(saves[-1].number))

    def _write(self, saves: list[ev.PersistRecords]) -> None:
        whole = max((at for at, save in enumerate(saves) if save.replace_log), default=None)
        payloads = [msgspec.msgpack.encode(record) for save in saves[whole or 0 :] for record in save.records]
        with self._writing:
            if whole is not None:
                self._log.rewrite(payloads)
            else:
                self._log.append(*payloads)

    async def stop(self) -> None:
        await super().stop()
        await asyncio.to_thread(self._close)

    def _close(self) -> None:
        """Not under a write: its descriptor might be another file's by then."""
        with self._writing:
            self._log.close()


RaftActorMessage = (
    ev.RaftEvent
    | LeaseOperationReceived
    | LeaseTableReadReceived
    | MembershipChangeReceived
    | _StoreFailed
    | _OpenStore
)


class RaftActor(Actor[RaftActorMessage]):
    """`say` carries an envelope to another keeper; it may be lost. Who asks gives a callable as `caller`."""

    def __init__(
        self,
        terms: RaftActorOptions,
        store: tuple[WriteAheadLog, PersistedState] | None,
        say: Callable[[RaftEnvelope], None],
        supervisor: Supervisor,
    ) -> None:
        super().__init__("keeper", supervisor)
        self._options, self._send = terms, say
        self.service: LeaseService | None = None
        self._store: StoreWriter | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0
        self.fault = "" if store else "its disk can't be used"
        self._initial_store = store
        self._start_count = 0

    def start(self) -> None:
        super().start()
        self.post(_OpenStore())

    async def receive(self, message: RaftActorMessage) -> None:
        match message:
            case _OpenStore():
                await self._open()
                return
            case _StoreFailed(why):
                await self._close_after_failure(why)
                return
        if self.service is None:
            if isinstance(
                message, LeaseOperationReceived | LeaseTableReadReceived | MembershipChangeReceived
            ):
                self._send_reply(
                    LeaseServiceReply(message.caller, message.number, None, "", self.fault or "not open yet")
                )
            return
        self._carry_out(self.service.handle(clock.boot_clock(), message))
        self._schedule()

    # The disk

    async def _open(self) -> None:
        """From what the disk has, whatever was known here before."""
        try:
            if (given := self._initial_store) is None:
                given = await asyncio.to_thread(open_store, self._options.folder)
        except Exception as error:
            self._report_store_failure(str(error))
            return
        log, found = given
        self._initial_store, self.fault = None, ""
        self._store = StoreWriter(log, self._store_callback(self._start_count + 1), self.supervisor)
        self._store.start()
        self._start_count += 1
        terms, now = self._options, clock.boot_clock()
        fresh = f"{terms.name}-{uuid.uuid4().hex[:12]}"
        seed = terms.seed + self._start_count
        keeper = RaftNode(terms.name, found, fresh, terms.member_names, terms.raft_timing, seed, now)
        self.service = LeaseService(keeper, terms.lease_timing)
        self._timer_at = 0
        self.post(ev.RaftTimeAdvanced())

    def _store_callback(self, start: int) -> Callable[[ev.RecordsPersisted | _StoreFailed], None]:
        def told(event: ev.RecordsPersisted | _StoreFailed) -> None:
            if self._start_count == start:
                self.post(event)

        return told

    async def _close_after_failure(self, why: str) -> None:
        """This keeper is as if killed: it says nothing more, and another begins from the disk."""
        desk, self.service = self.service, None
        if self._timer is not None:
            self._timer.cancel()
        if self._store is not None:
            await self._store.stop()
        self._report_store_failure(why)
        if desk is not None:
            for caller, number in desk.pending_requests():
                self._send_reply(LeaseServiceReply(caller, number, None, "", why))

    def _report_store_failure(self, why: str) -> None:
        self.fault = why
        self.supervisor.counters.add("quorum disk failures")
        self.supervisor.log.write("quorum", f"this keeper stands still: {why}", "error", why=why)
        asyncio.get_running_loop().call_later(REOPEN_DELAY_S, self.post, _OpenStore())

    # What the desk wants

    def _carry_out(self, actions: list[Any]) -> None:
        log = self.supervisor.log
        for action in actions:
            match action:
                case ev.PersistRecords():
                    assert self._store is not None
                    self._store.post(action)
                case ev.SendMessage(envelope):
                    self._send(envelope)
                case LeaseServiceReply():
                    self._send_reply(action)
                case ev.ReportRoleChange(role, term, leader, why):
                    self.supervisor.counters.add(f"quorum became {role}")
                    text = f"{role} in term {term}" + (f", {leader} leads" if leader else "") + f": {why}"
                    log.write(f"quorum {role}", text, "info", role=role, term=term, leader=leader, why=why)
                case ev.ReportMembershipChange(index, members):
                    names = [f"{each.name}{'' if each.is_voter else ' (learner)'}" for each in members]
                    log.write(
                        "keepers", f"keepers are {', '.join(names)}", "info", index=index, keepers=names
                    )
                case LeaseHolderChanged(_, granted):
                    who = f"{granted.holder}, token {granted.token}" if granted.token else "nobody"
                    log.write(
                        "lease",
                        f"{granted.task}: held by {who}",
                        "info",
                        task=granted.task,
                        holder=granted.holder,
                        token=granted.token,
                    )

    def _send_reply(self, reply: LeaseServiceReply) -> None:
        assert callable(reply.caller)
        view = self.view() if reply.done and reply.result is None else None
        told = wire.QuorumReply(reply.number, reply.done, reply.result, reply.leader, reply.reason, view)
        reply.caller(told)

    def _schedule(self) -> None:
        assert self.service is not None
        now, at = clock.boot_clock(), self.service.next_timer_at
        if self._timer is not None and now < self._timer_at <= at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = max(at, now + 1000)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later((self._timer_at - now) / US, self._on_timer)

    def _on_timer(self) -> None:
        """Maybe a little early: the loop's timers count whole milliseconds."""
        self._timer = None
        self.post(ev.RaftTimeAdvanced())

    def view(self) -> dict[str, Any]:
        """As it stands here, for people; ages in microseconds."""
        if self.service is None:
            return {"role": "none", "trouble": self.fault}
        keeper = self.service.node
        lag = keeper.replication_lag()
        return {
            "name": keeper.name,
            "disk": keeper.incarnation,
            "role": keeper.role.value,
            "term": keeper.term,
            "leader": keeper.leader,
            "group": keeper.cluster_id,
            "commit": keeper.commit_index,
            "last": keeper.log.last_index,
            "trouble": "",
            "members": [
                {
                    "name": each.name,
                    "disk": each.incarnation,
                    "voter": each.is_voter,
                    "behind": lag.get(each.incarnation),
                }
                for each in keeper.members
            ],
            "leases": [_lease_view(lease) for lease in self.service.table.leases.values()],
            "notes": {key: _note_view(note) for key, note in self.service.table.notes.items()},
            "terms": _timing_view(self._options.lease_timing),
        }

    async def stop(self) -> None:
        await super().stop()
        if self._timer is not None:
            self._timer.cancel()
        if self._store is not None:
            await self._store.stop()
        elif self._initial_store is not None:
            self._initial_store[0].close()


# The keys below are those of `ctl --json`.


def _lease_view(lease: Lease) -> dict[str, Any]:
    return {
        "task": lease.task,
        "holder": lease.holder,
        "token": lease.token,
        "renewed": lease.renewal_count,
        "heir": lease.successor,
        "ending": lease.is_revoked,
        "granted": lease.grant_count,
    }


def _note_view(note: Note) -> dict[str, Any]:
    return {"version": note.version, "value": note.value, "token": note.token, "author": note.author}


def _timing_view(timing: LeaseTiming) -> dict[str, Any]:
    return {
        "length": timing.duration_us,
        "margin": timing.safety_margin_us,
        "drift": timing.max_clock_drift_ratio,
    }
