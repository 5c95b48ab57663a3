"""A gateway's part in the fleet: it asks for leases, carries out its tasks, may be a keeper of the quorum.
Imported only where the operator file has a fleet."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING, Any

from lotusstream.deployment import Deployment
from lotusstream.leases import holder as hold
from lotusstream.leases.service import (
    LEASE_FREED_NUMBER,
    LeaseOperationReceived,
    LeaseTableReadReceived,
    MembershipChangeReceived,
)
from lotusstream.leases.table import PutNote, RevokeLease
from lotusstream.net import clock
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.clock import Clock
from lotusstream.net.connection import US
from lotusstream.net.control import ControlRejectedError
from lotusstream.net.decider import Decider
from lotusstream.net.peers import PeerLimits, PeerLink, PeerServer, ReplyCallback
from lotusstream.net.raft_node import RaftActor, RaftActorOptions, open_store
from lotusstream.net.tasks import TASK_FACTORIES, AgreeOnNote, FleetTask, TaskContext, TaskFactories
from lotusstream.operator.fleet import (
    HEALTH_CHECK_TASK,
    SHARD_CONTROL_TASK,
    FleetSettings,
    QuorumMemberAddress,
)
from lotusstream.protocol import peers as wire
from lotusstream.quorum import events as ev
from lotusstream.quorum.messages import RaftEnvelope
from lotusstream.wal.errors import DiskError

if TYPE_CHECKING:
    from lotusstream.net.commitments import CommitmentActor
    from lotusstream.net.health_checks import HealthReportService, PeerReportsActor
    from lotusstream.net.replication import ReplicationActor
    from lotusstream.net.shard_control import ShardControllerTask

QUORUM_REPLY_TIMEOUT_S = 3.0  # seconds, of an operator's question


class LeaseHolderActor(Actor[hold.LeaseHolderEvent]):
    """Drives the holder on the clock that counts sleep, and the tasks by what it says."""

    def __init__(
        self,
        name: str,
        told: FleetSettings,
        seed: int,
        ask: Any,
        agree: AgreeOnNote,
        makers: TaskFactories,
        decider: Decider,
        supervisor: Supervisor,
    ) -> None:
        super().__init__("leases", supervisor)
        names = [each.name for each in told.quorum_members]
        session = f"{name}-{uuid.uuid4().hex[:12]}"
        self.holder = hold.LeaseHolder(name, session, names, told.lease_timing, seed)
        self._send_operation = ask
        self._timer: asyncio.TimerHandle | None = None
        self.held_since: dict[str, int] = {}
        self.tokens: dict[str, int] = {}
        self.tasks: dict[str, FleetTask] = {
            task: makers[task](TaskContext(name, self._may_act(task), decider.post, supervisor, agree))
            for task in told.tasks
        }

    def _may_act(self, task: str) -> Any:
        return lambda: self.holder.may_act(clock.boot_clock(), task)

    def start(self) -> None:
        super().start()
        for name, task in self.tasks.items():
            task.stop("not held yet")
            self.post(hold.LeaseWanted(name))

    async def receive(self, message: hold.LeaseHolderEvent) -> None:
        now = clock.boot_clock()
        for action in self.holder.handle(now, message):
            match action:
                case hold.SendLeaseOperation(number, keeper, wish):
                    self._send_operation(keeper, number, wish)
                case hold.StartTask(task, token):
                    self.held_since[task], self.tokens[task] = now, token
                    self.supervisor.counters.add("leases got")
                    self._say(task, token, f"held here under token {token}")
                    self.tasks[task].activate(token)
                case hold.StopTask(task, token, why):
                    self.held_since.pop(task, None)
                    self.tokens.pop(task, None)
                    self.supervisor.counters.add("leases ended")
                    self._say(task, token, f"token {token} not held here any more: {why}")
                    self.tasks[task].stop(why)
        if self._timer is not None:
            self._timer.cancel()
        pause = max(1000, self.holder.next_timer_at - clock.boot_clock())
        self._timer = asyncio.get_running_loop().call_later(pause / US, self.post, hold.LeaseTimeAdvanced())

    def restart_tasks(self) -> None:
        """What tasks rest on was read anew."""
        for task, token in self.tokens.items():
            self.tasks[task].stop("its settings were read anew")
            self.tasks[task].activate(token)

    def _say(self, task: str, token: int, text: str) -> None:
        self.supervisor.log.write("lease", f"{task}: {text}", "info", task=task, token=token)

    async def stop(self) -> None:
        await super().stop()
        if self._timer is not None:
            self._timer.cancel()


class Fleet:
    def __init__(
        self,
        told: FleetSettings,
        name: str,
        deployment: Deployment,
        decider: Decider,
        clock: Clock,
        supervisor: Supervisor,
    ) -> None:
        """Raises LogTrouble where this keeper's log can't be trusted."""
        seed = deployment.started.seed
        self._settings, self._name, self._supervisor = told, name, supervisor
        self._pending_replies: dict[int, asyncio.Future[wire.QuorumReply]] = {}
        self._number = 0
        manners = PeerLimits(told.group, name, told.peer_timeout_us, told.max_peer_connections)
        idle = 3 * told.lease_timing.duration_us
        others: tuple[QuorumMemberAddress, ...] = (*told.quorum_members, *told.replicas)
        self.links = {
            each.name: PeerLink(
                each.name, (each.host, each.port), manners, idle, self._on_link_frame, supervisor
            )
            for each in others
            if each.name != name
        }
        self.raft_actor: RaftActor | None = None
        self._server: PeerServer | None = None
        self.copies: ReplicationActor | None = None
        self._shard_control_task: ShardControllerTask | None = None
        here = told.quorum_member(name) or told.replica(name)
        if here is not None:
            self._server = PeerServer(
                told.listen or (here.host, here.port), manners, self._on_frame, supervisor
            )
        if told.quorum_member(name) is not None:
            assert told.store is not None
            try:
                store = open_store(told.store)
            except DiskError as error:
                store = None
                supervisor.log.write("quorum", f"this keeper stands still: {error}", "error")
            named = tuple(each.name for each in told.quorum_members)
            terms = RaftActorOptions(name, told.store, named, told.raft_timing, told.lease_timing, seed)
            self.raft_actor = RaftActor(terms, store, self._send_envelope, supervisor)
        self.proposed_notes: dict[
            str, tuple[int, str]
        ] = {}  # by key: version and value that this gateway knows
        makers = dict(TASK_FACTORIES)
        if told.copies is not None:
            makers[SHARD_CONTROL_TASK] = self._make_manager
        self._health_report_service: HealthReportService | None = None
        self.health_reports: PeerReportsActor | None = None
        if told.health_checks is not None:
            from lotusstream.net.health_checks import HealthCheckTask, HealthReportService, PeerReportsActor

            examine, wait = told.health_checks, deployment.connect_timeout
            keepers = tuple(each.name for each in told.quorum_members)
            makers[HEALTH_CHECK_TASK] = lambda around: HealthCheckTask(
                around, examine, wait, decider, keepers, self._send_frame
            )
            self.health_reports = PeerReportsActor(
                name, keepers, examine, self._send_frame, decider, supervisor
            )
            if self.raft_actor is not None:
                self._health_report_service = HealthReportService(examine, self._newest_health_check_token)
        if (holds := told.replica(name)) is not None and told.copies is not None:
            from lotusstream.net.replication import ReplicationActor

            assert told.store is not None
            machine, zone = holds.machine, holds.zone
            self.copies = ReplicationActor(
                name,
                machine,
                zone,
                told.copies,
                told.store,
                self._send_frame,
                self._read_lease_table,
                supervisor,
            )
        self.commitments: CommitmentActor | None = None
        if told.idempotency_retention_us is not None:
            from lotusstream.net.commitments import CommitmentActor

            self.commitments = CommitmentActor(
                name, told, deployment, decider, clock, self._send_frame, supervisor
            )
            decider.set_commitment_gate(self.commitments)
        self.lease_holder = LeaseHolderActor(
            name, told, seed, self._send_operation, self._agree_on_note, makers, decider, supervisor
        )

    def start(self) -> None:
        """Raises OSError where peers can't be taken."""
        if self._server is not None:
            self._server.start()
        if self.raft_actor is not None:
            self.raft_actor.start()
        for link in self.links.values():
            link.start()
        self.lease_holder.start()
        if self.copies is not None:
            self.copies.start()
        if self.commitments is not None:
            self.commitments.start()
        if self.health_reports is not None:
            self.health_reports.start()

    def leave(self) -> None:
        """A planned stop: leases are released and leadership is handed over, as far as that goes at once."""
        if self.copies is not None:
            self.copies.begin_shutdown()
        for task in self.lease_holder.tasks:
            self.lease_holder.post(hold.LeaseUnwanted(task))
        if self.raft_actor is not None:
            self.raft_actor.post(ev.ShutdownRequested())

    async def stop(self) -> None:
        await self.lease_holder.stop()
        if self.copies is not None:
            await self.copies.stop()
        if self._server is not None:
            self._server.stop()
        if self.raft_actor is not None:
            await self.raft_actor.stop()

    # Words of others

    def _on_frame(self, frame: wire.PeerFrame, sender: str, answer: ReplyCallback) -> None:
        """By a connection that another gateway has opened."""
        if isinstance(frame, wire.ReplicaHeartbeat):
            if self._shard_control_task is not None:
                self._shard_control_task.post(frame)
            return
        if isinstance(frame, wire.ReplicationFrame) and frame.source.name != sender:
            return
        if isinstance(frame, wire.ReplicationFrame | wire.CommitmentRequest | wire.ReplicaHeartbeatReply):
            if self.copies is not None:
                self.copies.on_frame(frame, answer)
            return
        if self.raft_actor is None:
            return
        if self._health_report_service is not None and isinstance(frame, wire.HealthReportSubscription):
            self._health_report_service.hear(frame, sender, answer)
        elif self._health_report_service is not None and isinstance(frame, wire.HealthReportFrame):
            self._health_report_service.take(frame.reports)
        match frame:
            case wire.RaftFrame(envelope):
                if envelope.sender == sender:
                    self.raft_actor.post(ev.MessageReceived(envelope))
            case wire.LeaseOperationRequest(number, wish):
                self.raft_actor.post(LeaseOperationReceived(answer, number, wish))
            case wire.LeaseTableRequest(number):
                self.raft_actor.post(LeaseTableReadReceived(answer, number))
            case wire.MembershipChangeRequest(number, name, add):
                self.raft_actor.post(MembershipChangeReceived(answer, number, name, add))

    def _on_link_frame(self, frame: wire.PeerFrame, _sender: str, _answer: ReplyCallback) -> None:
        if isinstance(frame, wire.QuorumReply):
            self._on_quorum_reply(frame)
        else:
            self._on_reply_frame(frame)

    def _on_reply_frame(self, frame: wire.PeerFrame) -> None:
        """By another gateway, or by this one to itself."""
        if self.commitments is not None and isinstance(frame, wire.CommitmentReply):
            self.commitments.post(frame)
        elif self.health_reports is not None and isinstance(frame, wire.HealthReportFrame):
            self.health_reports.heard(frame)

    def _newest_health_check_token(self) -> int:
        """Its token, as far as this keeper has heard."""
        desk = self.raft_actor.service if self.raft_actor is not None else None
        lease = desk.table.leases.get(HEALTH_CHECK_TASK) if desk is not None else None
        return lease.token if lease is not None else 0

    # Copies

    def _make_manager(self, around: TaskContext) -> FleetTask:
        from lotusstream.net.shard_control import ShardControllerTask

        assert self._settings.copies is not None
        self._shard_control_task = ShardControllerTask(
            around, self._settings.copies, self._send_frame, self._put_note, self._read_lease_table
        )
        return self._shard_control_task

    def _send_frame(self, name: str, frame: wire.PeerFrame) -> None:
        if name == self._name:
            self._on_frame(frame, name, self._on_reply_frame)
        elif (link := self.links.get(name)) is not None:
            link.put(frame)

    async def _read_lease_table(self) -> dict[str, Any] | None:
        try:
            return (await self._ask_leader(wire.LeaseTableRequest)).view
        except ControlRejectedError:
            return None

    async def _put_note(
        self, key: str, version: int, value: str, token: int, task: str = SHARD_CONTROL_TASK
    ) -> str:
        """Why a note is not agreed on, or ''."""
        wish = PutNote(task, token, key, version, value)
        try:
            told = await self._ask_leader(lambda number: wire.LeaseOperationRequest(number, wish))
        except ControlRejectedError as error:
            return str(error)
        return "" if told.result is not None and told.result.done else (told.result or told).reason

    def _on_quorum_reply(self, told: wire.QuorumReply) -> None:
        if (waiting := self._pending_replies.pop(told.number, None)) is not None:
            if not waiting.done():
                waiting.set_result(told)
        elif told.number == LEASE_FREED_NUMBER and told.result is not None:
            self.lease_holder.post(hold.LeaseFreed(told.result.task))
        else:
            self.lease_holder.post(hold.LeaseReplyReceived(told.number, told.result, told.leader))

    def _send_envelope(self, envelope: RaftEnvelope) -> None:
        if (link := self.links.get(envelope.recipient)) is not None:
            link.put(wire.RaftFrame(envelope))

    def _send_operation(self, keeper: str, number: int, wish: Any) -> None:
        if keeper == self._name and self.raft_actor is not None:
            self.raft_actor.post(LeaseOperationReceived(self._on_quorum_reply, number, wish))
        elif (link := self.links.get(keeper)) is not None:
            link.put(wire.LeaseOperationRequest(number, wish))

    async def _agree_on_note(self, key: str, token: int, task: str) -> str:
        """Why what this gateway brings is not agreed on, or ''."""
        version, value = self.proposed_notes.get(key, (0, ""))
        return await self._put_note(key, version, value, token, task)

    def propose_note(self, key: str, version: int, value: str) -> None:
        if self.proposed_notes.get(key) != (version, value):
            self.proposed_notes[key] = (version, value)
            self.lease_holder.restart_tasks()

    def replica_status(self) -> dict[str, Any]:
        """What this gateway holds for others."""
        if self.copies is None:
            raise ControlRejectedError(
                "absent", "this gateway is no holder: the operator file names none of its name"
            )
        return self.copies.view()

    async def drain(self, machine: str, undo: bool) -> dict[str, Any]:
        """Raises ControlRejectedError."""
        if self._settings.copies is None:
            raise ControlRejectedError("absent", "the operator file has no 'copies'")
        if machine not in (known := sorted({each.machine for each in self._settings.replicas})):
            raise ControlRejectedError(
                "unknown", f"no machine '{machine}' in the operator file: it has {', '.join(known)}"
            )
        if self._shard_control_task is None or not self._shard_control_task.decides:
            agreed = (await self.quorum())["agreed"] or {"leases": ()}
            holder = next(
                (row["holder"] for row in agreed["leases"] if row["task"] == SHARD_CONTROL_TASK), ""
            )
            raise ControlRejectedError("busy", f"'{holder or 'nobody'}' decides on copies: ask there")
        return await self._shard_control_task.drain(machine, undo)

    # For operators

    async def _ask_leader(self, make: Any) -> wire.QuorumReply:
        """Asks one keeper after the other for the leader's answer. Raises ControlRejectedError."""
        self._number -= 1  # those of the holder grow
        order, why = [each.name for each in self._settings.quorum_members], "no keeper answers"
        for _ in range(len(order) + 2):
            if not order:
                break
            name, number = order.pop(0), self._number
            waiting: asyncio.Future[wire.QuorumReply] = asyncio.get_running_loop().create_future()
            self._pending_replies[number] = waiting
            if name == self._name and self.raft_actor is not None:
                match make(number):
                    case wire.LeaseTableRequest():
                        self.raft_actor.post(LeaseTableReadReceived(self._on_quorum_reply, number))
                    case wire.MembershipChangeRequest(_, who, add):
                        self.raft_actor.post(
                            MembershipChangeReceived(self._on_quorum_reply, number, who, add)
                        )
                    case wire.LeaseOperationRequest(_, wish):
                        self.raft_actor.post(LeaseOperationReceived(self._on_quorum_reply, number, wish))
            else:
                self.links[name].put(make(number))
            try:
                told = await asyncio.wait_for(waiting, QUORUM_REPLY_TIMEOUT_S / 3)
            except TimeoutError:
                self._pending_replies.pop(number, None)
                continue
            self._number -= 1
            if told.done or (told.result is not None):
                return told
            why = told.reason or why
            if told.leader in order:
                order.remove(told.leader)
                order.insert(0, told.leader)
            elif told.leader == name:
                break
        raise ControlRejectedError("busy", why)

    def peers(self) -> dict[str, Any]:
        callers = dict(self._server.connection_counts) if self._server else {}
        links = {name: link.status for name, link in self.links.items()}
        return {"name": self._name, "group": self._settings.group, "links": links, "callers": callers}

    async def quorum(self) -> dict[str, Any]:
        here = self.raft_actor.view() if self.raft_actor else None
        try:
            view = (await self._ask_leader(wire.LeaseTableRequest)).view
            return {"here": here, "agreed": view, "why": ""}
        except ControlRejectedError as error:
            return {"here": here, "agreed": None, "why": str(error)}

    async def change_membership(self, name: str, add: bool) -> dict[str, Any]:
        if add and self._settings.quorum_member(name) is None:
            known = ", ".join(each.name for each in self._settings.quorum_members)
            raise ControlRejectedError("unknown", f"no keeper '{name}' in the operator file: it has {known}")
        await self._ask_leader(lambda number: wire.MembershipChangeRequest(number, name, add))
        return await self.quorum()

    async def leases(self) -> dict[str, Any]:
        told = await self.quorum()
        now = clock.boot_clock()
        holding = {task: self.lease_holder.holder.may_act(now, task) for task in self.lease_holder.tasks}
        since = {task: now - at for task, at in self.lease_holder.held_since.items()}
        return {
            "name": self._name,
            "brings": {
                key: {"version": told[0], "value": told[1]} for key, told in self.proposed_notes.items()
            },
            "here": holding,
            "held_us": since,
            "agreed": told["agreed"],
            "why": told["why"],
            "examined": self.health_reports.view() if self.health_reports is not None else None,
        }

    async def revoke_lease(self, task: str, heir: str) -> dict[str, Any]:
        """Takes a lease from whoever has it: released at once if that is this gateway."""
        found = await self.leases()
        rows = {row["task"]: row for row in (found["agreed"] or {}).get("leases", [])}
        if task not in rows or not rows[task]["token"]:
            raise ControlRejectedError("unknown", f"nobody holds '{task}'")
        if rows[task]["holder"] == self._name and task in self.lease_holder.tasks:
            self.lease_holder.post(hold.LeaseUnwanted(task, heir))
            self.lease_holder.post(hold.LeaseWanted(task))
        else:
            wish = RevokeLease(task, rows[task]["token"], heir)
            told = await self._ask_leader(lambda number: wire.LeaseOperationRequest(number, wish))
            if told.result is not None and not told.result.done:
                raise ControlRejectedError("unknown", told.result.reason)
        return await self.leases()
