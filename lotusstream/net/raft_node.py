"""A keeper of the quorum in a gateway: its log on the disk, its words to the others, its time."""

from __future__ import annotations

import asyncio
import os
import threading
import uuid
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

import msgspec

from lotusstream.leases.granter import LeaseTiming
from lotusstream.leases.service import (
    LeaseHolderChanged,
    LeaseOperationReceived,
    LeaseService,
    LeaseServiceReply,
    LeaseTableReadReceived,
    MembershipChangeReceived,
)
from lotusstream.net import clock
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.connection import US
from lotusstream.protocol import peers as wire
from lotusstream.quorum import events as ev
from lotusstream.quorum.messages import RaftEnvelope, RaftRecord
from lotusstream.quorum.node import RaftNode, RaftTiming
from lotusstream.quorum.replicated_log import PersistedState
from lotusstream.wal.log import CorruptLogError, DiskError, FileSystemCalls, WriteAheadLog

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
    named: tuple[str, ...]
    pace: RaftTiming
    leases: LeaseTiming
    seed: int


@dataclass(frozen=True, slots=True)
class _StoreFailed:
    why: str


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
        self._log, self._told, self._failed = log, told, False
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
            self._told(_StoreFailed(str(error)))
            return
        self.supervisor.counters.add("quorum syncs")
        self._told(ev.RecordsPersisted(saves[-1].number))

    def _write(self, saves: list[ev.PersistRecords]) -> None:
        whole = max((at for at, save in enumerate(saves) if save.rewrite), default=None)
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
        self._terms, self._say = terms, say
        self.desk: LeaseService | None = None
        self._store: StoreWriter | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0
        self.trouble = "" if store else "its disk can't be used"
        self._given = store
        self._starts = 0

    def start(self) -> None:
        super().start()
        self.post(_OpenStore())

    async def receive(self, message: RaftActorMessage) -> None:
        match message:
            case _OpenStore():
                await self._open()
                return
            case _StoreFailed(why):
                await self._shut(why)
                return
        if self.desk is None:
            if isinstance(
                message, LeaseOperationReceived | LeaseTableReadReceived | MembershipChangeReceived
            ):
                self._answer(
                    LeaseServiceReply(
                        message.caller, message.number, None, "", self.trouble or "not open yet"
                    )
                )
            return
        self._carry_out(self.desk.handle(clock.boot_clock(), message))
        self._schedule()

    # The disk

    async def _open(self) -> None:
        """From what the disk has, whatever was known here before."""
        try:
            if (given := self._given) is None:
                given = await asyncio.to_thread(open_store, self._terms.folder)
        except Exception as error:
            self._trouble(str(error))
            return
        log, found = given
        self._given, self.trouble = None, ""
        self._store = StoreWriter(log, self._stored(self._starts + 1), self.supervisor)
        self._store.start()
        self._starts += 1
        terms, now = self._terms, clock.boot_clock()
        fresh = f"{terms.name}-{uuid.uuid4().hex[:12]}"
        seed = terms.seed + self._starts
        keeper = RaftNode(terms.name, found, fresh, terms.named, terms.pace, seed, now)
        self.desk = LeaseService(keeper, terms.leases)
        self._due = 0
        self.post(ev.RaftTimeAdvanced())

    def _stored(self, start: int) -> Callable[[ev.RecordsPersisted | _StoreFailed], None]:
        def told(event: ev.RecordsPersisted | _StoreFailed) -> None:
            if self._starts == start:
                self.post(event)

        return told

    async def _shut(self, why: str) -> None:
        """This keeper is as if killed: it says nothing more, and another begins from the disk."""
        desk, self.desk = self.desk, None
        if self._timer is not None:
            self._timer.cancel()
        if self._store is not None:
            await self._store.stop()
        self._trouble(why)
        if desk is not None:
            for caller, number in desk.waiting():
                self._answer(LeaseServiceReply(caller, number, None, "", why))

    def _trouble(self, why: str) -> None:
        self.trouble = why
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
                    self._say(envelope)
                case LeaseServiceReply():
                    self._answer(action)
                case ev.ReportRoleChange(role, term, leader, why):
                    self.supervisor.counters.add(f"quorum became {role}")
                    text = f"{role} in term {term}" + (f", {leader} leads" if leader else "") + f": {why}"
                    log.write(f"quorum {role}", text, "info", role=role, term=term, leader=leader, why=why)
                case ev.ReportMembershipChange(index, members):
                    names = [f"{each.name}{'' if each.voter else ' (learner)'}" for each in members]
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

    def _answer(self, reply: LeaseServiceReply) -> None:
        assert callable(reply.caller)
        view = self.view() if reply.done and reply.granted is None else None
        told = wire.QuorumReply(reply.number, reply.done, reply.granted, reply.leader, reply.why, view)
        reply.caller(told)

    def _schedule(self) -> None:
        assert self.desk is not None
        now, at = clock.boot_clock(), self.desk.next_at
        if self._timer is not None and now < self._due <= at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._due = max(at, now + 1000)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later((self._due - now) / US, self._fire)

    def _fire(self) -> None:
        """Maybe a little early: the loop's timers count whole milliseconds."""
        self._timer = None
        self.post(ev.RaftTimeAdvanced())

    def view(self) -> dict[str, Any]:
        """As it stands here, for people; ages in microseconds."""
        if self.desk is None:
            return {"role": "none", "trouble": self.trouble}
        keeper = self.desk.keeper
        lag = keeper.lag()
        return {
            "name": keeper.name,
            "disk": keeper.disk,
            "role": keeper.role,
            "term": keeper.term,
            "leader": keeper.leader,
            "group": keeper.group,
            "commit": keeper.commit,
            "last": keeper.journal.last,
            "trouble": "",
            "members": [
                {"name": each.name, "disk": each.disk, "voter": each.voter, "behind": lag.get(each.disk)}
                for each in keeper.members
            ],
            "leases": [
                {
                    name: getattr(lease, name)
                    for name in ("task", "holder", "token", "renewed", "heir", "ending", "granted")
                }
                for lease in self.desk.table.leases.values()
            ],
            "notes": {
                key: {name: getattr(note, name) for name in ("version", "value", "token", "author")}
                for key, note in self.desk.table.notes.items()
            },
            "terms": asdict(self._terms.leases),
        }

    async def stop(self) -> None:
        await super().stop()
        if self._timer is not None:
            self._timer.cancel()
        if self._store is not None:
            await self._store.stop()
        elif self._given is not None:
            self._given[0].close()
