"""The shard controller as a fleet task: it runs on the gateway that holds the lease `copies`."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from lotusstream.copies.controller_events import (
    Action,
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
from lotusstream.copies.messages import ShardAssignment
from lotusstream.copies.options import ReplicationOptions
from lotusstream.copies.shard_controller import ShardController
from lotusstream.copies.shards import ReplicaId
from lotusstream.net import clock
from lotusstream.net.actor import Actor
from lotusstream.net.connection import US_PER_S
from lotusstream.net.control import ControlRejectedError
from lotusstream.net.tasks import TaskContext
from lotusstream.protocol import peers as wire

# The quorum stores notes: versioned values by key. The key of an assignment is this and the shard number.
ASSIGNMENT_KEY_PREFIX = "shard/"
DRAINED_MACHINES_KEY = "drained"  # key of the note with the drained machines
START_RETRIES_PER_LEASE = 8  # attempts per lease duration to read the quorum's view before control begins
UNSOLICITED = 0  # number of a heartbeat reply that answers no heartbeat, so that it grants no lease
TICKS_PER_LEASE = 20  # `ControllerTimeAdvanced` events per lease duration
_ASSIGNMENT_DECODER: msgspec.json.Decoder[ShardAssignment] = msgspec.json.Decoder(ShardAssignment)

# Stores a note (key, version, value, fencing token). Returns "" if the quorum accepted it, else the reason.
PutNote = Callable[[str, int, str, int], Awaitable[str]]
# Returns the notes and leases that the quorum holds; None: the quorum does not answer.
ReadQuorumView = Callable[[], Awaitable[dict[str, Any] | None]]
# Sends a frame to the gateway of this name; the frame may be lost.
SendFrame = Callable[[str, wire.PeerFrame], None]


class ShardControllerTask(Actor[Any]):
    """Drives a `ShardController` while this gateway has the lease.

    The fencing token is verified before each message and event.
    """

    def __init__(
        self,
        context: TaskContext,
        options: ReplicationOptions,
        send_frame: SendFrame,
        put_note: PutNote,
        read_view: ReadQuorumView,
    ) -> None:
        super().__init__("copies manager", context.supervisor)
        self._context = context
        self._options = options
        self._send_frame = send_frame
        self._put_note = put_note
        self._read_view = read_view
        self._controller: ShardController | None = None  # None: this gateway does not control the shards
        self._token = 0  # fencing token of the lease; 0: this gateway does not have it
        # Number of the newest heartbeat that is not answered yet, by replica and session.
        self._heartbeat_numbers: dict[tuple[ReplicaId, str], int] = {}
        self._machines: dict[ReplicaId, str] = {}  # machine of each replica that has sent a heartbeat
        self._work: asyncio.Task[None] | None = None
        self._running = False

    def activate(self, token: int) -> None:
        """Start to control the shards, under a lease with this fencing token."""
        self._token = token
        if not self._running:
            self._running = True
            self.start()
        self._work = self.supervisor.start("copies manager", self._control(token))

    def stop(self, why: str = "") -> None:  # type: ignore[override]
        """Stop controlling the shards: the lease has ended."""
        self._controller = None
        self._token = 0
        if self._work is not None:
            self._work.cancel()
            self._work = None

    @property
    def decides(self) -> bool:
        """Whether this gateway controls the shards at this moment."""
        return self._controller is not None and bool(self._token)

    async def _control(self, token: int) -> None:
        lease_s = self._options.leases.duration_us / US_PER_S
        # A late renewal makes the token invalid for a moment although the lease continues, so this retries.
        while (view := await self._read_view()) is None or self._context.may_act() != token:
            await asyncio.sleep(lease_s / START_RETRIES_PER_LEASE)
        self._controller = ShardController(self._options, _read_assignments(view), clock.boot_clock())
        self.post(MachinesDrained(_read_drained_machines(view)))
        while True:
            self.post(ControllerTimeAdvanced())
            await asyncio.sleep(lease_s / TICKS_PER_LEASE)

    async def drain(self, machine: str, undo: bool) -> dict[str, Any]:
        """Drain a machine: all replicas are moved away from it.

        The drained machines are stored in the quorum first, so that the next controller knows them too.

        :param undo: whether to end the drain instead, so that the machine may hold replicas again.
        :returns: all drained machines, and the number of shards that still have a replica on one of them.
        :raises ControlRejectedError: the quorum does not answer, or has not accepted the change.
        """
        view = await self._read_view()
        if view is None:
            raise ControlRejectedError("busy", "the quorum does not answer")
        drained = _read_drained_machines(view)
        machines = drained - {machine} if undo else drained | {machine}
        await self._agree_on_drained(view, machines)
        self.post(MachinesDrained(machines))
        return {"drained": sorted(machines), "shards_left": self._count_shards_on(machines)}

    async def _agree_on_drained(self, view: dict[str, Any], machines: frozenset[str]) -> None:
        note = view["notes"].get(DRAINED_MACHINES_KEY)
        version = note["version"] + 1 if note else 1
        value = msgspec.json.encode(sorted(machines)).decode()
        reason = await self._put_note(DRAINED_MACHINES_KEY, version, value, self._token)
        if reason:
            raise ControlRejectedError("busy", reason)

    def _count_shards_on(self, machines: frozenset[str]) -> int:
        assignments = self._controller.assignments.values() if self._controller else ()
        machine_of = {replica_id.name: machine for replica_id, machine in self._machines.items()}
        return sum(
            any(machine_of.get(replica_id.name) in machines for replica_id in assignment.members)
            for assignment in assignments
        )

    async def receive(self, message: Any) -> None:
        """Pass a `ReplicaHeartbeat` frame or an event to the controller, if the fencing token is valid."""
        controller = self._controller
        if controller is None or not self._token or self._context.may_act() != self._token:
            return
        event = self._on_heartbeat(message) if isinstance(message, wire.ReplicaHeartbeat) else message
        for action in controller.handle(clock.boot_clock(), event):
            self._carry_out(controller, action)

    def _on_heartbeat(self, frame: wire.ReplicaHeartbeat) -> HeartbeatReceived:
        self._heartbeat_numbers[frame.host.replica_id, frame.session] = frame.number
        self._machines[frame.host.replica_id] = frame.host.machine
        return HeartbeatReceived(
            frame.host, frame.session, frame.caught_up, frame.shutting_down, frame.more_advanced
        )

    def _carry_out(self, controller: ShardController, action: Action) -> None:
        match action:
            case ProposeAssignment():
                self.supervisor.start("assignment proposal", self._propose(action.assignment, self._token))
            case LoadAssignments():
                self.supervisor.start("assignments", self._load_assignments())
            case GrantReplicaLease():
                self._send_heartbeat_reply(controller, action)
            case ReportRedundancy():
                self._log_redundancy(action)

    def _send_heartbeat_reply(self, controller: ShardController, grant: GrantReplicaLease) -> None:
        number = self._heartbeat_numbers.pop((grant.replica_id, grant.session), 0)
        assignments = controller.assignments
        own = tuple(each for each in assignments.values() if grant.replica_id in each.members)
        primaries = {shard: each.primary for shard, each in assignments.items()}
        reply = wire.ReplicaHeartbeatReply(number, own, primaries, dict(grant.epochs))
        self._send_frame(grant.replica_id.name, reply)

    def _log_redundancy(self, report: ReportRedundancy) -> None:
        thin, lost = report.single_replica_count, report.lost_count
        text = f"{thin} shards have a single replica, {lost} have none"
        severity = "warning" if thin or lost else "info"
        self.supervisor.log.write("copies", text, severity, thin=thin, lost=lost)

    async def _load_assignments(self) -> None:
        view = await self._read_view()
        if view is not None:
            self.post(AssignmentsLoaded(_read_assignments(view)))
            self.post(MachinesDrained(_read_drained_machines(view)))

    async def _propose(self, assignment: ShardAssignment, token: int) -> None:
        key = f"{ASSIGNMENT_KEY_PREFIX}{assignment.shard}"
        value = msgspec.json.encode(assignment).decode()
        reason = await self._put_note(key, assignment.epoch, value, token)
        if self._token != token:
            return
        if not reason:
            self._log_agreed(assignment)
            self._announce(assignment)
            self.post(AssignmentAgreed(assignment))
            return
        view = await self._read_view()
        note = (view or {}).get("notes", {}).get(key)
        current = _ASSIGNMENT_DECODER.decode(note["value"]) if note else None
        self.post(AssignmentRejected(assignment.shard, current))

    def _announce(self, assignment: ShardAssignment) -> None:
        """Send an assignment to its replicas and to those that it replaces. With their next heartbeats they
        would learn of it only after a good part of a lease, in which the shard would have no primary."""
        previous = self._controller.assignments.get(assignment.shard) if self._controller else None
        members = {*assignment.members, *(previous.members if previous is not None else ())}
        for replica_id in sorted(members):
            message = wire.ReplicaHeartbeatReply(UNSOLICITED, (assignment,), {}, {})
            self._send_frame(replica_id.name, message)

    def _log_agreed(self, assignment: ShardAssignment) -> None:
        shard, epoch = assignment.shard, assignment.epoch
        text = f"shard {shard}, epoch {epoch}: primary {assignment.primary.name}"
        self.supervisor.log.write("assigned", text, "debug", shard=shard, epoch=epoch)


def _read_assignments(view: dict[str, Any]) -> tuple[ShardAssignment, ...]:
    """Return the shard assignments that the quorum's notes hold."""
    notes = view["notes"].items()
    return tuple(
        _ASSIGNMENT_DECODER.decode(note["value"])
        for key, note in notes
        if key.startswith(ASSIGNMENT_KEY_PREFIX)
    )


def _read_drained_machines(view: dict[str, Any]) -> frozenset[str]:
    """Return the drained machines, which may hold no replicas, from the quorum's notes."""
    note = view["notes"].get(DRAINED_MACHINES_KEY)
    return frozenset(msgspec.json.decode(note["value"], type=list[str])) if note else frozenset()
