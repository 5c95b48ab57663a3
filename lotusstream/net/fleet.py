"""The fleet functions of a gateway: leases and the tasks that need them, quorum, replicas, health reports.

This module is imported only if the operator file has a `fleet` section.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from lotusstream.deployment import Deployment
from lotusstream.leases import holder as lease_holder
from lotusstream.leases.table import PutNote
from lotusstream.net.actor import Supervisor
from lotusstream.net.clock import Clock
from lotusstream.net.decider import Decider
from lotusstream.net.fleet_control import FleetControl
from lotusstream.net.fleet_shutdown import leave_fleet
from lotusstream.net.lease_holder import LeaseHolderActor
from lotusstream.net.peers import FrameHandler, PeerLimits, PeerLink, PeerServer, ReplyCallback
from lotusstream.net.quorum_client import QuorumClient, quorum_event
from lotusstream.net.raft_node import RaftActor, RaftActorOptions, open_store
from lotusstream.net.tasks import TASK_FACTORIES, FleetTask, TaskContext, TaskFactories
from lotusstream.operator.fleet import (
    HEALTH_CHECK_TASK,
    SHARD_CONTROL_TASK,
    FleetSettings,
    QuorumMemberAddress,
)
from lotusstream.protocol import peers as wire
from lotusstream.quorum import events as raft_events
from lotusstream.quorum.messages import RaftEnvelope
from lotusstream.wal.errors import DiskError

if TYPE_CHECKING:
    from lotusstream.net.commitments import CommitmentActor
    from lotusstream.net.health_checks import HealthReportService, PeerReportsActor
    from lotusstream.net.replication import ReplicationActor
    from lotusstream.net.shard_control import ShardControllerTask

LINK_IDLE_TIMEOUT_LEASE_DURATIONS = 3  # a link closes after this many lease durations without a frame


class Fleet:
    """Builds the components that the operator file enables, and routes each frame to its component."""

    def __init__(
        self,
        settings: FleetSettings,
        name: str,
        deployment: Deployment,
        decider: Decider,
        clock: Clock,
        supervisor: Supervisor,
    ) -> None:
        """Raises LogError if a write-ahead log of this gateway can't be read."""
        self.settings = settings
        self.name = name
        seed = deployment.started.seed
        self._deployment = deployment
        self._decider = decider
        self._supervisor = supervisor
        self._member_names = tuple(member.name for member in settings.quorum_members)
        limits = _peer_limits(settings, name)
        self.links = _make_links(settings, name, limits, self._on_link_frame, supervisor)
        self.server = self._make_server(limits)
        self.raft_actor = _make_raft_actor(settings, name, seed, self._send_envelope, supervisor)
        self.quorum_client = QuorumClient(
            name, self._member_names, self.links, self.raft_actor, self._notify_lease_holder
        )
        self.proposed_notes: dict[str, tuple[int, str]] = {}  # by key: version and value of the note
        self.shard_control_task: ShardControllerTask | None = None
        self._health_report_service: HealthReportService | None = None
        self.health_reports: PeerReportsActor | None = None
        task_factories = self._make_task_factories()
        self.replication = self._make_replication()
        self.commitments = self._make_commitments(clock)
        self.lease_holder = self._make_lease_holder(seed, task_factories)
        self.control = FleetControl(self)

    def start(self) -> None:
        """Starts all components. Raises OSError if the listen address for peers can't be bound."""
        if self.server is not None:
            self.server.start()
        if self.raft_actor is not None:
            self.raft_actor.start()
        for link in self.links.values():
            link.start()
        self.lease_holder.start()
        if self.replication is not None:
            self.replication.start()
        if self.commitments is not None:
            self.commitments.start()
        if self.health_reports is not None:
            self.health_reports.start()

    def begin_shutdown(self) -> None:
        """Starts a graceful shutdown, and returns without waiting for its end."""
        leave = leave_fleet(self.replication, self.lease_holder, self.raft_actor)
        self._supervisor.start("leave", leave)

    async def stop(self) -> None:
        """Stops all components."""
        await self.lease_holder.stop()
        if self.replication is not None:
            await self.replication.stop()
        if self.server is not None:
            self.server.stop()
        if self.raft_actor is not None:
            await self.raft_actor.stop()

    def propose_note(self, key: str, version: int, value: str) -> None:
        """Sets a note: a versioned text, such as the cell plan's digest, that all gateways must agree on."""
        # This gateway's running tasks restart on a new version or text, and propose the note to the quorum.
        if self.proposed_notes.get(key) != (version, value):
            self.proposed_notes[key] = (version, value)
            self.lease_holder.restart_tasks()

    def _make_server(self, limits: PeerLimits) -> PeerServer | None:
        settings = self.settings
        own = settings.quorum_member(self.name) or settings.replica(self.name)
        if own is None:
            return None
        address = settings.listen or (own.host, own.port)
        return PeerServer(address, limits, self._on_frame, self._supervisor)

    def _make_lease_holder(self, seed: int, task_factories: TaskFactories) -> LeaseHolderActor:
        return LeaseHolderActor(
            self.name,
            self.settings,
            seed,
            self.quorum_client.send_operation,
            self._agree_on_note,
            task_factories,
            self._decider,
            self._supervisor,
        )

    def _make_task_factories(self) -> TaskFactories:
        task_factories = dict(TASK_FACTORIES)
        if self.settings.copies is not None:
            task_factories[SHARD_CONTROL_TASK] = self._make_shard_control_task
        self._add_health_checks(task_factories)
        return task_factories

    def _add_health_checks(self, task_factories: TaskFactories) -> None:
        options = self.settings.health_checks
        if options is None:
            return
        from lotusstream.net.health_checks import HealthCheckTask, HealthReportService, PeerReportsActor

        connect_timeout = self._deployment.connect_timeout
        task_factories[HEALTH_CHECK_TASK] = lambda context: HealthCheckTask(
            context, options, connect_timeout, self._decider, self._member_names, self._send_frame
        )
        self.health_reports = PeerReportsActor(
            self.name, self._member_names, options, self._send_frame, self._decider, self._supervisor
        )
        if self.raft_actor is not None:
            self._health_report_service = HealthReportService(options, self._newest_health_check_token)

    def _make_replication(self) -> ReplicationActor | None:
        settings = self.settings
        own = settings.replica(self.name)
        if own is None or settings.copies is None:
            return None
        from lotusstream.net.replication import ReplicationActor

        assert settings.store is not None
        return ReplicationActor(
            self.name,
            own.machine,
            own.zone,
            settings.copies,
            settings.store,
            self._send_frame,
            self.quorum_client.read_lease_table,
            self._supervisor,
        )

    def _make_commitments(self, clock: Clock) -> CommitmentActor | None:
        if self.settings.idempotency_retention_us is None:
            return None
        from lotusstream.net.commitments import CommitmentActor

        commitments = CommitmentActor(
            self.name,
            self.settings,
            self._deployment,
            self._decider,
            clock,
            self._send_frame,
            self._supervisor,
        )
        self._decider.set_commitment_gate(commitments)
        return commitments

    def _make_shard_control_task(self, context: TaskContext) -> FleetTask:
        from lotusstream.net.shard_control import ShardControllerTask

        assert self.settings.copies is not None
        self.shard_control_task = ShardControllerTask(
            context,
            self.settings.copies,
            self._send_frame,
            self._put_shard_note,
            self.quorum_client.read_lease_table,
        )
        return self.shard_control_task

    # Frames from other gateways

    def _on_frame(self, frame: wire.PeerFrame, sender: str, reply: ReplyCallback) -> None:
        """Handles a frame that arrived on a connection opened by another gateway."""
        match frame:
            case wire.ReplicaHeartbeat():
                if self.shard_control_task is not None:
                    self.shard_control_task.post(frame)
            case wire.ReplicationFrame() | wire.CommitmentRequest() | wire.ReplicaHeartbeatReply():
                is_foreign = isinstance(frame, wire.ReplicationFrame) and frame.source.name != sender
                if self.replication is not None and not is_foreign:
                    self.replication.on_frame(frame, reply)
            case _:
                if self.raft_actor is not None:
                    self._on_quorum_frame(self.raft_actor, frame, sender, reply)

    def _on_quorum_frame(
        self, raft_actor: RaftActor, frame: wire.PeerFrame, sender: str, reply: ReplyCallback
    ) -> None:
        match frame:
            case wire.HealthReportSubscription():
                if self._health_report_service is not None:
                    self._health_report_service.subscribe(frame, sender, reply)
            case wire.HealthReportFrame():
                if self._health_report_service is not None:
                    self._health_report_service.publish(frame.reports)
            case wire.RaftFrame(envelope):
                if envelope.sender == sender:
                    raft_actor.post(raft_events.MessageReceived(envelope))
            case wire.LeaseOperationRequest() | wire.LeaseTableRequest() | wire.MembershipChangeRequest():
                raft_actor.post(quorum_event(frame, reply))

    def _on_link_frame(self, frame: wire.PeerFrame, _sender: str, _reply: ReplyCallback) -> None:
        """Handles a frame that arrived on a link opened by this gateway."""
        if isinstance(frame, wire.QuorumReply):
            self.quorum_client.on_reply(frame)
        else:
            self._on_reply_frame(frame)

    def _on_reply_frame(self, frame: wire.PeerFrame) -> None:
        """Handles a reply or a health report that another gateway or this gateway itself has sent."""
        if self.commitments is not None and isinstance(frame, wire.CommitmentReply):
            self.commitments.post(frame)
        elif self.health_reports is not None and isinstance(frame, wire.HealthReportFrame):
            self.health_reports.on_frame(frame)

    def _newest_health_check_token(self) -> int:
        """Return the health check task's fencing token in this node's lease table; 0 if it has none."""
        service = self.raft_actor.service if self.raft_actor is not None else None
        lease = service.table.leases.get(HEALTH_CHECK_TASK) if service is not None else None
        return lease.token if lease is not None else 0

    # Frames to other gateways

    def _send_frame(self, name: str, frame: wire.PeerFrame) -> None:
        link = self.links.get(name)
        if name == self.name:
            self._on_frame(frame, name, self._on_reply_frame)
        elif link is not None:
            link.put(frame)

    def _send_envelope(self, envelope: RaftEnvelope) -> None:
        link = self.links.get(envelope.recipient)
        if link is not None:
            link.put(wire.RaftFrame(envelope))

    def _notify_lease_holder(self, event: lease_holder.LeaseHolderEvent) -> None:
        self.lease_holder.post(event)

    async def _agree_on_note(self, key: str, token: int, task: str) -> str:
        """Has the quorum store the note that `propose_note` set. Returns '' on success, else the reason."""
        # `token` is the fencing token of the lease of `task`, which is the task that proposes the note.
        version, value = self.proposed_notes.get(key, (0, ""))
        return await self.quorum_client.put_note(PutNote(task, token, key, version, value))

    async def _put_shard_note(self, key: str, version: int, value: str, token: int) -> str:
        note = PutNote(SHARD_CONTROL_TASK, token, key, version, value)
        return await self.quorum_client.put_note(note)


def _peer_limits(settings: FleetSettings, name: str) -> PeerLimits:
    return PeerLimits(settings.group, name, settings.peer_timeout_us, settings.max_peer_connections)


def _make_links(
    settings: FleetSettings, name: str, limits: PeerLimits, handle: FrameHandler, supervisor: Supervisor
) -> dict[str, PeerLink]:
    """Return, by name, a link to each other quorum node and each other gateway that hosts replicas."""
    addresses: tuple[QuorumMemberAddress, ...] = (*settings.quorum_members, *settings.replicas)
    idle_timeout_us = LINK_IDLE_TIMEOUT_LEASE_DURATIONS * settings.lease_timing.duration_us
    links = {}
    for peer in addresses:
        if peer.name != name:
            address = (peer.host, peer.port)
            links[peer.name] = PeerLink(peer.name, address, limits, idle_timeout_us, handle, supervisor)
    return links


def _make_raft_actor(
    settings: FleetSettings,
    name: str,
    seed: int,
    send_envelope: Callable[[RaftEnvelope], None],
    supervisor: Supervisor,
) -> RaftActor | None:
    """Return the Raft actor, or None if this gateway is no quorum member. Raises LogError on damage."""
    if settings.quorum_member(name) is None:
        return None
    assert settings.store is not None
    try:
        store = open_store(settings.store)
    except DiskError as error:
        store = None
        supervisor.log.write("quorum", f"this quorum member has stopped: {error}", "error")
    member_names = tuple(member.name for member in settings.quorum_members)
    options = RaftActorOptions(
        name, settings.store, member_names, settings.raft_timing, settings.lease_timing, seed
    )
    return RaftActor(options, store, send_envelope, supervisor)
