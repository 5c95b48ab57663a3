"""The actor that runs the shard replicas of a gateway: log, messages to other gateways, and heartbeats."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from lotusstream.copies import replica_events
from lotusstream.copies.claim_events import ClaimOutcome
from lotusstream.copies.messages import IdempotencyRecord, LogRecord, snapshot_log_records
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
from lotusstream.copies.shard_replica import ShardReplica
from lotusstream.copies.shards import ReplicaHost, ReplicaId, shard_of
from lotusstream.net import clock
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.connection import US_PER_S
from lotusstream.net.replica_heartbeats import HeartbeatSender
from lotusstream.net.replica_store import ReplicaStore
from lotusstream.net.shard_control import ReadQuorumView, SendFrame
from lotusstream.protocol import peers as wire
from lotusstream.wal.errors import DiskError

MIN_TIMER_DELAY_US = 1000

SendReply = Callable[[wire.PeerFrame], None]


@dataclass(frozen=True, slots=True)
class _RequestReceived:
    """A gateway, which may be this one, asks the primary to store a record."""

    frame: wire.CommitmentRequest
    send_reply: SendReply


@dataclass(frozen=True, slots=True)
class _HeartbeatReplyReceived:
    """The shard controller has replied to a heartbeat."""

    frame: wire.ReplicaHeartbeatReply


class ReplicationActor(Actor[Any]):
    """Drives a `ReplicaSet`. After a disk failure it ignores all messages until the gateway is restarted."""

    def __init__(
        self,
        name: str,
        machine: str,
        zone: str,
        options: ReplicationOptions,
        folder: str,
        send_frame: SendFrame,
        read_view: ReadQuorumView,
        supervisor: Supervisor,
    ) -> None:
        """Open the log in this folder and recover the shards. Raise LogError if the log can't be opened."""
        super().__init__("copies", supervisor)
        self._options = options
        self._send_frame = send_frame
        self._store = ReplicaStore(folder, name)
        if self._store.damage:
            supervisor.log.write(
                "copies",
                f"damaged log moved away, other replicas send its records: {self._store.damage}",
                "error",
            )
        self.host = ReplicaHost(ReplicaId(name, self._store.disk), machine, zone)
        session = f"{self._store.disk}.{uuid.uuid4().hex[:8]}"
        now = clock.boot_clock()
        self.replicas = ReplicaSet(self.host.replica_id, session, options, self._store.shards, now)
        self._unsaved: list[PersistLogRecords] = []  # log writes that the next call of the store includes
        self._is_saving = False  # whether `_save` runs
        self._rewrite_requested = False  # whether to replace the log by a snapshot of the records in memory
        self._timer: asyncio.TimerHandle | None = None
        self._failure = ""  # text of the disk failure that has stopped replication; "": none
        self._requests: dict[int, _RequestReceived] = {}  # unanswered requests by ticket
        self._newest_ticket = 0
        self._heartbeats = HeartbeatSender(
            options.leases.duration_us, self._heartbeat, send_frame, read_view, supervisor
        )
        self._handed_over = asyncio.Event()  # set once this host is shutting down and no primary any more
        self.primaries: dict[int, ReplicaId] = {}  # primary of each shard, from the newest heartbeat reply

    # Life cycle

    def start(self) -> None:
        """Start processing messages and sending heartbeats."""
        super().start()
        self.supervisor.start_restarting("heartbeats", lambda: self._heartbeats.run(self._advance_time))
        if self._options.anti_entropy_interval:
            self.supervisor.start_restarting("scrub", self._check_log)

    def begin_shutdown(self) -> None:
        """Begin a planned stop, so that backups become primaries at once and not after this lease expires."""
        self.post(ShutdownStarted())
        self._heartbeats.begin_shutdown()

    async def wait_until_handed_over(self) -> None:
        """Wait until this host is the primary of no shard. `begin_shutdown` must be called first."""
        await self._handed_over.wait()

    async def stop(self) -> None:
        """Stop the actor and close the log."""
        await super().stop()
        if self._timer is not None:
            self._timer.cancel()
        await asyncio.to_thread(self._store.close)

    # Heartbeats

    def _heartbeat(self, number: int) -> wire.ReplicaHeartbeat | None:
        """Return the heartbeat with this number; None after a disk failure."""
        if self._failure:
            return None
        return wire.ReplicaHeartbeat(
            number,
            self.host,
            self.replicas.session,
            self.replicas.caught_up_replicas(),
            self.replicas.shutting_down,
            self.replicas.more_advanced_replicas(),
        )

    def _advance_time(self) -> None:
        self.post(ReplicaTimeAdvanced(_unix_time_us()))

    # Messages

    def on_frame(self, frame: wire.PeerFrame, send_reply: SendReply) -> None:
        """Queue a frame that a gateway sent. May be called from any task of the event loop."""
        match frame:
            case wire.ReplicationFrame(source, to, message):
                if to == self.host.replica_id:
                    self.post(MessageReceived(source, message))
            case wire.CommitmentRequest():
                self.post(_RequestReceived(frame, send_reply))
            case wire.ReplicaHeartbeatReply():
                self.post(_HeartbeatReplyReceived(frame))

    async def receive(self, message: Any) -> None:
        """Process a message of this module or an event for the replica set."""
        if self._failure:
            return
        match message:
            case _RequestReceived():
                self._on_request(message)
            case _HeartbeatReplyReceived(frame):
                self._on_heartbeat_reply(frame)
            case ShutdownStarted():
                self._handle(message)
                self._note_handover()
                self._heartbeats.send()
            case _:
                self._handle(message)

    def _on_request(self, request: _RequestReceived) -> None:
        self._newest_ticket += 1
        ticket = self._newest_ticket
        self._requests[ticket] = request
        frame = request.frame
        if frame.is_completion:
            self._handle(CompletionRequested(ticket, frame.record, _unix_time_us()))
        else:
            self._handle(ClaimRequested(ticket, frame.record, _unix_time_us(), frame.previous_owner))

    def _on_heartbeat_reply(self, reply: wire.ReplicaHeartbeatReply) -> None:
        for assignment in reply.assignments:
            self._handle(AssignmentLearned(assignment))
        sent_at = self._heartbeats.record_reply(reply.number)
        if sent_at is not None:
            self.primaries = dict(reply.primaries)
            self._handle(LeaseRenewed(sent_at, reply.epochs))
        self._note_handover()

    def _note_handover(self) -> None:
        if self.replicas.shutting_down and not self.replicas.is_primary_of_any:
            self._handed_over.set()

    def _handle(self, event: replica_events.Event) -> None:
        for action in self.replicas.handle(clock.boot_clock(), event):
            self._carry_out(action)
        due = self.replicas.next_timer_at
        if due is not None and self._timer is None:
            delay_s = max(MIN_TIMER_DELAY_US, due - clock.boot_clock()) / US_PER_S
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.post(ReplicaTimeAdvanced())

    # Actions

    def _carry_out(self, action: replica_events.Action) -> None:
        match action:
            case PersistLogRecords():
                self._unsaved.append(action)
                self._start_saving()
            case SendReplicaMessage(to, message):
                self._send_frame(to.name, wire.ReplicationFrame(self.host.replica_id, to, message))
            case Committed(ticket):
                self._reply(ticket, ClaimOutcome.COMMITTED, None)
            case AlreadyRecorded(ticket, record):
                self._reply(ticket, ClaimOutcome.ALREADY_RECORDED, record)
            case NotCommitted():
                self._reply_not_committed(action)
            case ReportDivergence():
                self._log_divergence(action)

    def _reply(self, ticket: int, outcome: ClaimOutcome, record: IdempotencyRecord | None) -> None:
        request = self._requests.pop(ticket, None)
        if request is not None:
            request.send_reply(wire.CommitmentReply(request.frame.number, outcome.value, record, "", ""))

    def _reply_not_committed(self, refusal: NotCommitted) -> None:
        request = self._requests.pop(refusal.ticket, None)
        if request is None:
            return
        outcome = ClaimOutcome.UNKNOWN if refusal.outcome_unknown else ClaimOutcome.NOT_COMMITTED
        primary = refusal.primary
        if outcome is ClaimOutcome.NOT_COMMITTED and not primary:
            shard = shard_of(request.frame.record.key, self._options.shard_count)
            primary = _name_of_other(self.primaries.get(shard), self.host.replica_id)
        number = request.frame.number
        request.send_reply(wire.CommitmentReply(number, outcome.value, None, refusal.reason, primary))

    def _log_divergence(self, report: ReportDivergence) -> None:
        self.supervisor.counters.add("copies found to differ")
        self.supervisor.log.write("copies", _divergence_text(report), "error", shard=report.shard)

    # The log

    def _start_saving(self) -> None:
        if not self._is_saving:
            self._is_saving = True
            self.supervisor.start("copies store", self._save())

    async def _save(self) -> None:
        """Write all waiting records with one sync; repeat while further ones have arrived meanwhile."""
        while self._unsaved or self._rewrite_requested:
            writes = self._unsaved
            self._unsaved = []
            is_rewrite = self._store.is_due_for_rewrite or self._rewrite_requested
            snapshot = _snapshot(self.replicas, self._options.part_bytes) if is_rewrite else None
            self._rewrite_requested = False
            try:
                await asyncio.to_thread(self._store.write, writes, snapshot)
            except DiskError as error:
                self._on_disk_failed(error)
                return
            if writes:
                self.post(LogWritePersisted(writes[-1].write_number))
        self._is_saving = False

    def _on_disk_failed(self, error: DiskError) -> None:
        self._failure = str(error)
        self.supervisor.counters.add("copies disk failures")
        self.supervisor.log.write(
            "copies", f"replication is stopped until this gateway restarts: {error}", "error"
        )

    async def _check_log(self) -> None:
        """Read the log once per anti-entropy interval, and rewrite it from memory if it is damaged. Without
        this check, silent disk corruption would be found only at the next start, when the damaged log is
        renamed and the replica begins without records."""
        while True:
            await asyncio.sleep(self._options.anti_entropy_interval / US_PER_S)
            self.supervisor.counters.add("copies logs read again")
            if self._failure:
                continue
            offset = await asyncio.to_thread(self._store.first_damaged_byte)
            if offset is None:
                continue
            self.supervisor.counters.add("copies logs found damaged")
            text = f"log is damaged at byte {offset}; rewriting it from memory"
            self.supervisor.log.write("copies", text, "error")
            self._rewrite_requested = True
            self._start_saving()

    def view(self) -> dict[str, Any]:
        """Return the state for operators; the keys are the form of `ctl --json`."""
        return {
            "holder": self.host.replica_id.name,
            "disk": self.host.replica_id.disk,
            "machine": self.host.machine,
            "zone": self.host.zone,
            "manager": self._heartbeats.controller,
            "leased": self.replicas.has_lease,
            "trouble": self._failure,
            "size": self.replicas.size_bytes,
            "shards": _shard_rows(self.replicas.shards.values()),
        }


def _shard_rows(shards: Iterable[ShardReplica]) -> list[dict[str, Any]]:
    """Return a row for each shard whose newest assignment is known to this replica."""
    rows: list[dict[str, Any]] = []
    for shard in shards:
        assignment = shard.assignment
        if assignment is None or shard.deposed:
            continue
        rows.append(
            {
                "shard": shard.number,
                "epoch": assignment.epoch,
                "home": assignment.primary.name,
                "copies": [each.name for each in assignment.backups],
                "joining": [each.name for each in assignment.joining],
                "keys": len(shard.records),
            }
        )
    return rows


def _snapshot(replicas: ReplicaSet, part_bytes: int) -> list[LogRecord]:
    """Return log records with the present state of all shards."""
    return [
        record
        for shard in replicas.shards.values()
        for record in snapshot_log_records(shard.number, shard.position, shard.records.values(), part_bytes)
    ]


def _name_of_other(replica_id: ReplicaId | None, own: ReplicaId) -> str:
    """Return the gateway name of a replica; "" if the replica is None or `own`."""
    return "" if replica_id is None or replica_id == own else replica_id.name


def _divergence_text(report: ReportDivergence) -> str:
    outcome = "no majority, nothing is repaired"
    if report.refilled:
        outcome = f"new snapshot for {', '.join(each.name for each in report.refilled)}"
    elif report.next_primary:
        outcome = f"{report.next_primary.name} replaces the primary"
    return f"replicas of shard {report.shard} have diverged: {outcome}"


def _unix_time_us() -> int:
    return time.time_ns() // 1000
