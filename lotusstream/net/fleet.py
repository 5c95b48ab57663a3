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
from lotusstream.wal.log import DiskError

if TYPE_CHECKING:
    from lotusstream.net.commitments import CommitmentActor
    from lotusstream.net.copies import ReplicationActor, ShardControllerTask
    from lotusstream.net.health_checks import HealthReportService, PeerReportsActor

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
        names = [each.name for each in told.keepers]
        session = f"{name}-{uuid.uuid4().hex[:12]}"
        self.holder = hold.LeaseHolder(name, session, names, told.leases, seed)
        self._ask = ask
        self._timer: asyncio.TimerHandle | None = None
        self.since: dict[str, int] = {}
        self.token: dict[str, int] = {}
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
                    self._ask(keeper, number, wish)
                case hold.StartTask(task, token):
                    self.since[task], self.token[task] = now, token
                    self.supervisor.counters.add("leases got")
                    self._say(task, token, f"held here under token {token}")
                    self.tasks[task].begin(token)
                case hold.StopTask(task, token, why):
                    self.since.pop(task, None)
                    self.token.pop(task, None)
                    self.supervisor.counters.add("leases ended")
                    self._say(task, token, f"token {token} not held here any more: {why}")
                    self.tasks[task].stop(why)
        if self._timer is not None:
            self._timer.cancel()
        pause = max(1000, self.holder.next_at - clock.boot_clock())
        self._timer = asyncio.get_running_loop().call_later(pause / US, self.post, hold.LeaseTimeAdvanced())

    def anew(self) -> None:
        """What tasks rest on was read anew."""
        for task, token in self.token.items():
            self.tasks[task].stop("its settings were read anew")
            self.tasks[task].begin(token)

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
        self._told, self._name, self._supervisor = told, name, supervisor
        self._asked: dict[int, asyncio.Future[wire.QuorumReply]] = {}
        self._number = 0
        manners = PeerLimits(told.group, name, told.patience, told.callers)
        idle = 3 * told.leases.length
        others: tuple[QuorumMemberAddress, ...] = (*told.keepers, *told.holders)
        self.links = {
            each.name: PeerLink(each.name, (each.host, each.port), manners, idle, self._told_by, supervisor)
            for each in others
            if each.name != name
        }
        self.keeper: RaftActor | None = None
        self._server: PeerServer | None = None
        self.copies: ReplicationActor | None = None
        self._manager: ShardControllerTask | None = None
        here = told.keeper(name) or told.holder(name)
        if here is not None:
            self._server = PeerServer(told.listen or (here.host, here.port), manners, self._heard, supervisor)
        if told.keeper(name) is not None:
            assert told.store is not None
            try:
                store = open_store(told.store)
            except DiskError as error:
                store = None
                supervisor.log.write("quorum", f"this keeper stands still: {error}", "error")
            named = tuple(each.name for each in told.keepers)
            terms = RaftActorOptions(name, told.store, named, told.pace, told.leases, seed)
            self.keeper = RaftActor(terms, store, self._carry, supervisor)
        self.brings: dict[str, tuple[int, str]] = {}  # by key: version and value that this gateway knows
        makers = dict(TASK_FACTORIES)
        if told.copies is not None:
            makers[SHARD_CONTROL_TASK] = self._make_manager
        self._desk: HealthReportService | None = None
        self.hearsay: PeerReportsActor | None = None
        if told.examine is not None:
            from lotusstream.net.health_checks import HealthCheckTask, HealthReportService, PeerReportsActor

            examine, wait = told.examine, deployment.connect_timeout
            keepers = tuple(each.name for each in told.keepers)
            makers[HEALTH_CHECK_TASK] = lambda around: HealthCheckTask(
                around, examine, wait, decider, keepers, self._tell
            )
            self.hearsay = PeerReportsActor(name, keepers, examine, self._tell, decider, supervisor)
            if self.keeper is not None:
                self._desk = HealthReportService(examine, self._newest_examiner)
        if (holds := told.holder(name)) is not None and told.copies is not None:
            from lotusstream.net.copies import ReplicationActor

            assert told.store is not None
            machine, zone = holds.machine, holds.zone
            self.copies = ReplicationActor(
                name, machine, zone, told.copies, told.store, self._tell, self._look, supervisor
            )
        self.promises: CommitmentActor | None = None
        if told.remember is not None:
            from lotusstream.net.commitments import CommitmentActor

            self.promises = CommitmentActor(name, told, deployment, decider, clock, self._tell, supervisor)
            decider.set_commitment_gate(self.promises)
        self.holder = LeaseHolderActor(name, told, seed, self._ask, self._agree, makers, decider, supervisor)

    def start(self) -> None:
        """Raises OSError where peers can't be taken."""
        if self._server is not None:
            self._server.start()
        if self.keeper is not None:
            self.keeper.start()
        for link in self.links.values():
            link.start()
        self.holder.start()
        if self.copies is not None:
            self.copies.start()
        if self.promises is not None:
            self.promises.start()
        if self.hearsay is not None:
            self.hearsay.start()

    def leave(self) -> None:
        """A planned stop: leases are released and leadership is handed over, as far as that goes at once."""
        if self.copies is not None:
            self.copies.leave()
        for task in self.holder.tasks:
            self.holder.post(hold.LeaseUnwanted(task))
        if self.keeper is not None:
            self.keeper.post(ev.ShutdownRequested())

    async def stop(self) -> None:
        await self.holder.stop()
        if self.copies is not None:
            await self.copies.stop()
        if self._server is not None:
            self._server.stop()
        if self.keeper is not None:
            await self.keeper.stop()

    # Words of others

    def _heard(self, frame: wire.PeerFrame, sender: str, answer: ReplyCallback) -> None:
        """By a connection that another gateway has opened."""
        if isinstance(frame, wire.ReplicaHeartbeat):
            if self._manager is not None:
                self._manager.post(frame)
            return
        if isinstance(frame, wire.ReplicationFrame) and frame.source.name != sender:
            return
        if isinstance(frame, wire.ReplicationFrame | wire.CommitmentRequest | wire.ReplicaHeartbeatReply):
            if self.copies is not None:
                self.copies.heard(frame, answer)
            return
        if self.keeper is None:
            return
        if self._desk is not None and isinstance(frame, wire.HealthReportSubscription):
            self._desk.hear(frame, sender, answer)
        elif self._desk is not None and isinstance(frame, wire.HealthReportFrame):
            self._desk.take(frame.news)
        match frame:
            case wire.RaftFrame(envelope):
                if envelope.sender == sender:
                    self.keeper.post(ev.MessageReceived(envelope))
            case wire.LeaseOperationRequest(number, wish):
                self.keeper.post(LeaseOperationReceived(answer, number, wish))
            case wire.LeaseTableRequest(number):
                self.keeper.post(LeaseTableReadReceived(answer, number))
            case wire.MembershipChangeRequest(number, name, add):
                self.keeper.post(MembershipChangeReceived(answer, number, name, add))

    def _told_by(self, frame: wire.PeerFrame, _sender: str, _answer: ReplyCallback) -> None:
        if isinstance(frame, wire.QuorumReply):
            self._take(frame)
        else:
            self._answered(frame)

    def _answered(self, frame: wire.PeerFrame) -> None:
        """By another gateway, or by this one to itself."""
        if self.promises is not None and isinstance(frame, wire.CommitmentReply):
            self.promises.post(frame)
        elif self.hearsay is not None and isinstance(frame, wire.HealthReportFrame):
            self.hearsay.heard(frame)

    def _newest_examiner(self) -> int:
        """Its token, as far as this keeper has heard."""
        desk = self.keeper.desk if self.keeper is not None else None
        lease = desk.table.leases.get(HEALTH_CHECK_TASK) if desk is not None else None
        return lease.token if lease is not None else 0

    # Copies

    def _make_manager(self, around: TaskContext) -> FleetTask:
        from lotusstream.net.copies import ShardControllerTask

        assert self._told.copies is not None
        self._manager = ShardControllerTask(around, self._told.copies, self._tell, self._put, self._look)
        return self._manager

    def _tell(self, name: str, frame: wire.PeerFrame) -> None:
        if name == self._name:
            self._heard(frame, name, self._answered)
        elif (link := self.links.get(name)) is not None:
            link.put(frame)

    async def _look(self) -> dict[str, Any] | None:
        try:
            return (await self._question(wire.LeaseTableRequest)).view
        except ControlRejectedError:
            return None

    async def _put(
        self, key: str, version: int, value: str, token: int, task: str = SHARD_CONTROL_TASK
    ) -> str:
        """Why a note is not agreed on, or ''."""
        wish = PutNote(task, token, key, version, value)
        try:
            told = await self._question(lambda number: wire.LeaseOperationRequest(number, wish))
        except ControlRejectedError as error:
            return str(error)
        return "" if told.granted is not None and told.granted.done else (told.granted or told).why

    def _take(self, told: wire.QuorumReply) -> None:
        if (waiting := self._asked.pop(told.number, None)) is not None:
            if not waiting.done():
                waiting.set_result(told)
        elif told.number == LEASE_FREED_NUMBER and told.granted is not None:
            self.holder.post(hold.LeaseFreed(told.granted.task))
        else:
            self.holder.post(hold.LeaseReplyReceived(told.number, told.granted, told.leader))

    def _carry(self, envelope: RaftEnvelope) -> None:
        if (link := self.links.get(envelope.to)) is not None:
            link.put(wire.RaftFrame(envelope))

    def _ask(self, keeper: str, number: int, wish: Any) -> None:
        if keeper == self._name and self.keeper is not None:
            self.keeper.post(LeaseOperationReceived(self._take, number, wish))
        elif (link := self.links.get(keeper)) is not None:
            link.put(wire.LeaseOperationRequest(number, wish))

    async def _agree(self, key: str, token: int, task: str) -> str:
        """Why what this gateway brings is not agreed on, or ''."""
        version, value = self.brings.get(key, (0, ""))
        return await self._put(key, version, value, token, task)

    def bring(self, key: str, version: int, value: str) -> None:
        if self.brings.get(key) != (version, value):
            self.brings[key] = (version, value)
            self.holder.anew()

    def held(self) -> dict[str, Any]:
        """What this gateway holds for others."""
        if self.copies is None:
            raise ControlRejectedError(
                "absent", "this gateway is no holder: the operator file names none of its name"
            )
        return self.copies.view()

    async def drain(self, machine: str, undo: bool) -> dict[str, Any]:
        """Raises ControlRejectedError."""
        if self._told.copies is None:
            raise ControlRejectedError("absent", "the operator file has no 'copies'")
        if machine not in (known := sorted({each.machine for each in self._told.holders})):
            raise ControlRejectedError(
                "unknown", f"no machine '{machine}' in the operator file: it has {', '.join(known)}"
            )
        if self._manager is None or not self._manager.decides:
            agreed = (await self.quorum())["agreed"] or {"leases": ()}
            holder = next(
                (row["holder"] for row in agreed["leases"] if row["task"] == SHARD_CONTROL_TASK), ""
            )
            raise ControlRejectedError("busy", f"'{holder or 'nobody'}' decides on copies: ask there")
        return await self._manager.drain(machine, undo)

    # For operators

    async def _question(self, make: Any) -> wire.QuorumReply:
        """Asks one keeper after the other for the leader's answer. Raises ControlRejectedError."""
        self._number -= 1  # those of the holder grow
        order, why = [each.name for each in self._told.keepers], "no keeper answers"
        for _ in range(len(order) + 2):
            if not order:
                break
            name, number = order.pop(0), self._number
            waiting: asyncio.Future[wire.QuorumReply] = asyncio.get_running_loop().create_future()
            self._asked[number] = waiting
            if name == self._name and self.keeper is not None:
                match make(number):
                    case wire.LeaseTableRequest():
                        self.keeper.post(LeaseTableReadReceived(self._take, number))
                    case wire.MembershipChangeRequest(_, who, add):
                        self.keeper.post(MembershipChangeReceived(self._take, number, who, add))
                    case wire.LeaseOperationRequest(_, wish):
                        self.keeper.post(LeaseOperationReceived(self._take, number, wish))
            else:
                self.links[name].put(make(number))
            try:
                told = await asyncio.wait_for(waiting, QUORUM_REPLY_TIMEOUT_S / 3)
            except TimeoutError:
                self._asked.pop(number, None)
                continue
            self._number -= 1
            if told.done or (told.granted is not None):
                return told
            why = told.why or why
            if told.leader in order:
                order.remove(told.leader)
                order.insert(0, told.leader)
            elif told.leader == name:
                break
        raise ControlRejectedError("busy", why)

    def peers(self) -> dict[str, Any]:
        callers = dict(self._server.callers) if self._server else {}
        links = {name: link.standing for name, link in self.links.items()}
        return {"name": self._name, "group": self._told.group, "links": links, "callers": callers}

    async def quorum(self) -> dict[str, Any]:
        here = self.keeper.view() if self.keeper else None
        try:
            view = (await self._question(wire.LeaseTableRequest)).view
            return {"here": here, "agreed": view, "why": ""}
        except ControlRejectedError as error:
            return {"here": here, "agreed": None, "why": str(error)}

    async def change(self, name: str, add: bool) -> dict[str, Any]:
        if add and self._told.keeper(name) is None:
            known = ", ".join(each.name for each in self._told.keepers)
            raise ControlRejectedError("unknown", f"no keeper '{name}' in the operator file: it has {known}")
        await self._question(lambda number: wire.MembershipChangeRequest(number, name, add))
        return await self.quorum()

    async def leases(self) -> dict[str, Any]:
        told = await self.quorum()
        now = clock.boot_clock()
        holding = {task: self.holder.holder.may_act(now, task) for task in self.holder.tasks}
        since = {task: now - at for task, at in self.holder.since.items()}
        return {
            "name": self._name,
            "brings": {key: {"version": told[0], "value": told[1]} for key, told in self.brings.items()},
            "here": holding,
            "held_us": since,
            "agreed": told["agreed"],
            "why": told["why"],
            "examined": self.hearsay.view() if self.hearsay is not None else None,
        }

    async def give_up(self, task: str, heir: str) -> dict[str, Any]:
        """Takes a lease from whoever has it: released at once if that is this gateway."""
        found = await self.leases()
        rows = {row["task"]: row for row in (found["agreed"] or {}).get("leases", [])}
        if task not in rows or not rows[task]["token"]:
            raise ControlRejectedError("unknown", f"nobody holds '{task}'")
        if rows[task]["holder"] == self._name and task in self.holder.tasks:
            self.holder.post(hold.LeaseUnwanted(task, heir))
            self.holder.post(hold.LeaseWanted(task))
        else:
            wish = RevokeLease(task, rows[task]["token"], heir)
            told = await self._question(lambda number: wire.LeaseOperationRequest(number, wish))
            if told.granted is not None and not told.granted.done:
                raise ControlRejectedError("unknown", told.granted.why)
        return await self.leases()
