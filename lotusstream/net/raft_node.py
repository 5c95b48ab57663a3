"""Runs a Raft node inside a gateway: stores its log on the disk, sends its messages, and drives its timer."""

from __future__ import annotations

import asyncio
import os
import threading
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from lotusstream.leases.expiry import LeaseTiming
from lotusstream.leases.service import (
    LeaseHolderChanged,
    LeaseOperationReceived,
    LeaseService,
    LeaseServiceAction,
    LeaseServiceReply,
    LeaseTableReadReceived,
    MembershipChangeReceived,
)
from lotusstream.leases.table import Lease, Note
from lotusstream.net import clock
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.connection import US_PER_S
from lotusstream.protocol import peers as wire
from lotusstream.quorum import events as raft_events
from lotusstream.quorum.messages import Member, RaftEnvelope, RaftRecord
from lotusstream.quorum.node import RaftNode
from lotusstream.quorum.replicated_log import PersistedState
from lotusstream.quorum.timing import RaftTiming
from lotusstream.wal.errors import CorruptLogError, DiskError
from lotusstream.wal.file_system import FileSystemCalls
from lotusstream.wal.log import WriteAheadLog

_RECORD_DECODER: msgspec.msgpack.Decoder[RaftRecord] = msgspec.msgpack.Decoder(RaftRecord)
REOPEN_DELAY_S = 1.0  # delay after a disk failure until the log is opened again
LOG_FILE_NAME = "quorum.log"
MIN_TIMER_DELAY_US = 1000  # shortest delay of the service's timer


def make_disk() -> FileSystemCalls:
    """Return the system calls for disk access. Tests replace this function."""
    return FileSystemCalls()


def open_store(folder: str) -> tuple[WriteAheadLog, PersistedState]:
    """Opens the node's write-ahead log, and reads the state stored in it.

    :raises LogError: the log can't be used; CorruptLogError if its contents are damaged
    """
    path = os.path.join(folder, LOG_FILE_NAME)
    try:
        os.makedirs(folder, mode=0o700, exist_ok=True)
    except OSError as error:
        raise DiskError(folder, error.strerror or str(error), "choose a writable folder") from error
    log = WriteAheadLog(path, make_disk()).open()
    try:
        persisted = PersistedState([_RECORD_DECODER.decode(payload) for payload in log.payloads])
    except (msgspec.MsgspecError, ValueError) as error:
        log.close()
        hint = "move the file away: this quorum member then rejoins as a new member"
        raise CorruptLogError(path, f"a record can't be decoded: {error}", hint, 0) from error
    log.payloads = []
    return log, persisted


@dataclass(frozen=True, slots=True)
class RaftActorOptions:
    """The settings of a node of the quorum."""

    name: str  # name of this gateway
    folder: str  # directory of the write-ahead log
    member_names: tuple[str, ...]  # quorum members named in the operator file
    raft_timing: RaftTiming
    lease_timing: LeaseTiming
    seed: int  # seed of the randomized election timeouts


@dataclass(frozen=True, slots=True)
class _StoreFailed:
    """A write to the disk has failed."""

    reason: str  # error of the write


@dataclass(frozen=True, slots=True)
class _OpenStore:
    """Open the write-ahead log, at startup or after a disk failure."""


StoreEvent = raft_events.RecordsPersisted | _StoreFailed


class StoreWriter(Actor[raft_events.PersistRecords]):
    """Writes records in a thread. All queued records are combined into one write with one sync.

    After a failure it writes nothing more: once a sync has failed, a later sync of the same descriptor can
    report success for data that the operating system has already dropped.
    """

    def __init__(
        self, log: WriteAheadLog, report: Callable[[StoreEvent], None], supervisor: Supervisor
    ) -> None:
        super().__init__("quorum store", supervisor)
        self._log = log
        self._notify = report
        self._has_failed = False
        self._writing = threading.Lock()  # held by the thread that writes, even after its task was cancelled

    async def receive(self, message: raft_events.PersistRecords) -> None:
        """Writes these records, together with all that are queued behind them."""
        if self._has_failed:
            return
        writes = [message]
        while (waiting := self.mailbox.take()) is not None:
            writes.append(waiting)
        try:
            await asyncio.to_thread(self._write, writes)
        except DiskError as error:
            self._has_failed = True
            self._notify(_StoreFailed(str(error)))
            return
        self.supervisor.counters.add("quorum syncs")
        self._notify(raft_events.RecordsPersisted(writes[-1].number))

    async def stop(self) -> None:
        """Stops the actor and closes the log."""
        await super().stop()
        await asyncio.to_thread(self._close)

    def _write(self, writes: Sequence[raft_events.PersistRecords]) -> None:
        """Writes the records, except those that a later write in `writes` replaces anyway."""
        replacements = [index for index, write in enumerate(writes) if write.replace_log]
        needed = writes[replacements[-1] :] if replacements else writes
        payloads = [msgspec.msgpack.encode(record) for write in needed for record in write.records]
        with self._writing:
            if replacements:
                self._log.rewrite(payloads)
            else:
                self._log.append(*payloads)

    def _close(self) -> None:
        """Closes the log once no write is running: otherwise the write could hit a reused descriptor."""
        with self._writing:
            self._log.close()


_Request = LeaseOperationReceived | LeaseTableReadReceived | MembershipChangeReceived
RaftActorMessage = raft_events.RaftEvent | _Request | _StoreFailed | _OpenStore


class RaftActor(Actor[RaftActorMessage]):
    """Runs a LeaseService: delivers messages and timers to it, and carries out its actions.

    The `caller` of a request is a callable that takes the wire.QuorumReply. After a disk failure the RaftNode
    is discarded, and a new one is made from the records on the disk.
    """

    def __init__(
        self,
        options: RaftActorOptions,
        store: tuple[WriteAheadLog, PersistedState] | None,
        send: Callable[[RaftEnvelope], None],
        supervisor: Supervisor,
    ) -> None:
        """Makes the actor without a node; `start` makes the node from the stored state.

        :param store: result of `open_store`; None if the log could not be opened
        :param send: sends an envelope to another node; the envelope may be lost
        """
        super().__init__("keeper", supervisor)
        self._options = options
        self._send = send
        self.service: LeaseService | None = None  # None while the disk is not open
        self._store: StoreWriter | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0  # when the timer fires, in microseconds of the boot clock
        self.failure_reason = "" if store else "the disk can't be used"  # '' while the disk works
        self._initial_store = store  # result of `open_store` until the first node uses it; then None
        self._start_count = 0  # number of nodes made so far: a new one each time the log is opened

    def start(self) -> None:
        """Starts the actor, which then opens the log."""
        super().start()
        self.post(_OpenStore())

    async def receive(self, message: RaftActorMessage) -> None:
        """Handles one event of the service, or opens or closes the log."""
        match message:
            case _OpenStore():
                await self._open()
            case _StoreFailed(reason):
                await self._close_after_failure(reason)
            case _ if self.service is not None:
                self._carry_out(self.service.handle(clock.boot_clock(), message))
                self._schedule(self.service)
            case LeaseOperationReceived() | LeaseTableReadReceived() | MembershipChangeReceived():
                reason = self.failure_reason or "this quorum member is still starting"
                self._send_reply(LeaseServiceReply(message.caller, message.number, None, "", reason))

    async def stop(self) -> None:
        """Stops the actor, its timer and its writer."""
        await super().stop()
        if self._timer is not None:
            self._timer.cancel()
        if self._store is not None:
            await self._store.stop()
        elif self._initial_store is not None:
            self._initial_store[0].close()

    def view(self) -> dict[str, Any]:
        """Return the node's state for operators, with the keys of `ctl --json`."""
        if self.service is None:
            return {"role": "none", "trouble": self.failure_reason}
        node = self.service.node
        table = self.service.table
        lag = node.replication_lag()
        return {
            "name": node.name,
            "disk": node.incarnation,
            "role": node.role.value,
            "term": node.term,
            "leader": node.leader,
            "group": node.cluster_id,
            "commit": node.commit_index,
            "last": node.log.last_index,
            "trouble": "",
            "members": [_member_view(member, lag.get(member.incarnation)) for member in node.members],
            "leases": [_lease_view(lease) for lease in table.leases.values()],
            "notes": {key: _note_view(note) for key, note in table.notes.items()},
            "terms": _timing_view(self._options.lease_timing),
        }

    # Disk access

    async def _open(self) -> None:
        """Makes a new node from the records on the disk, without any state of an earlier node."""
        store = self._initial_store
        try:
            if store is None:
                store = await asyncio.to_thread(open_store, self._options.folder)
        except Exception as error:
            self._report_store_failure(str(error))
            return
        log, persisted = store
        self._initial_store = None
        self.failure_reason = ""
        self._store = StoreWriter(log, self._store_callback(self._start_count + 1), self.supervisor)
        self._store.start()
        self._start_count += 1
        self.service = self._make_service(persisted)
        self._timer_at = 0
        self.post(raft_events.RaftTimeAdvanced())

    def _make_service(self, persisted: PersistedState) -> LeaseService:
        options = self._options
        now = clock.boot_clock()
        unused_incarnation = f"{options.name}-{uuid.uuid4().hex[:12]}"
        seed = options.seed + self._start_count
        node = RaftNode(
            options.name, persisted, unused_incarnation, options.member_names, options.raft_timing, seed, now
        )
        return LeaseService(node, options.lease_timing)

    def _store_callback(self, start_count: int) -> Callable[[StoreEvent], None]:
        """Return a callback that posts the events of one store writer to this actor.

        It ignores events after the log was opened again, since they don't concern the present node.

        :param start_count: value of `_start_count` while the writer's node is the newest
        """

        def report(event: StoreEvent) -> None:
            if self._start_count == start_count:
                self.post(event)

        return report

    async def _close_after_failure(self, reason: str) -> None:
        """Discards the node, fails its pending requests, and schedules the next attempt to open the log."""
        service = self.service
        self.service = None
        if self._timer is not None:
            self._timer.cancel()
        if self._store is not None:
            await self._store.stop()
        self._report_store_failure(reason)
        if service is not None:
            for caller, number in service.pending_requests():
                self._send_reply(LeaseServiceReply(caller, number, None, "", reason))

    def _report_store_failure(self, reason: str) -> None:
        self.failure_reason = reason
        self.supervisor.counters.add("quorum disk failures")
        self.supervisor.log.write("quorum", f"this quorum member has stopped: {reason}", "error", why=reason)
        asyncio.get_running_loop().call_later(REOPEN_DELAY_S, self.post, _OpenStore())

    # Actions of the service

    def _carry_out(self, actions: Sequence[LeaseServiceAction]) -> None:
        for action in actions:
            match action:
                case raft_events.PersistRecords():
                    assert self._store is not None
                    self._store.post(action)
                case raft_events.SendMessage(envelope):
                    self._send(envelope)
                case LeaseServiceReply():
                    self._send_reply(action)
                case raft_events.ReportRoleChange():
                    self._log_role_change(action)
                case raft_events.ReportMembershipChange():
                    self._log_membership_change(action)
                case LeaseHolderChanged():
                    self._log_lease_holder_change(action)

    def _log_role_change(self, change: raft_events.ReportRoleChange) -> None:
        role, term, leader, reason = change.role, change.term, change.leader, change.reason
        self.supervisor.counters.add(f"quorum became {role}")
        text = f"{role} in term {term}" + (f", {leader} leads" if leader else "") + f": {reason}"
        log = self.supervisor.log
        log.write(f"quorum {role}", text, "info", role=role, term=term, leader=leader, why=reason)

    def _log_membership_change(self, change: raft_events.ReportMembershipChange) -> None:
        names = [f"{member.name}{'' if member.is_voter else ' (learner)'}" for member in change.members]
        text = f"the quorum's members are {', '.join(names)}"
        self.supervisor.log.write("keepers", text, "info", index=change.index, keepers=names)

    def _log_lease_holder_change(self, change: LeaseHolderChanged) -> None:
        task, holder, token = change.result.task, change.result.holder, change.result.token
        text = f"{task}: {f'held by {holder} under token {token}' if token else 'lease is free'}"
        self.supervisor.log.write("lease", text, "info", task=task, holder=holder, token=token)

    def _send_reply(self, reply: LeaseServiceReply) -> None:
        assert callable(reply.caller)
        view = self.view() if reply.done and reply.result is None else None
        reply.caller(
            wire.QuorumReply(reply.number, reply.done, reply.result, reply.leader, reply.reason, view)
        )

    # Timer

    def _schedule(self, service: LeaseService) -> None:
        """Sets the timer to the service's next due time, unless it is set to an earlier time already."""
        now = clock.boot_clock()
        next_timer_at = service.next_timer_at
        if self._timer is not None and now < self._timer_at <= next_timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = max(next_timer_at, now + MIN_TIMER_DELAY_US)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later((self._timer_at - now) / US_PER_S, self._on_timer)

    def _on_timer(self) -> None:
        """Posts the timer event, which may be slightly early: the loop's timers have millisecond steps."""
        self._timer = None
        self.post(raft_events.RaftTimeAdvanced())


# The keys in the dicts below are part of the output of `ctl --json`.


def _member_view(member: Member, behind: int | None) -> dict[str, Any]:
    return {
        "name": member.name,
        "disk": member.incarnation,
        "voter": member.is_voter,
        "behind": behind,
    }


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
