"""Gateways with their replicas, the shard controller and the quorum, on a virtual clock."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable, Mapping

from lotusstream.copies import controller_events, replica_events
from lotusstream.copies.claim_events import ClaimOutcome
from lotusstream.copies.controller_events import (
    AssignmentAgreed,
    AssignmentRejected,
    AssignmentsLoaded,
    ControllerTimeAdvanced,
    GrantReplicaLease,
    HeartbeatReceived,
    LoadAssignments,
    ProposeAssignment,
)
from lotusstream.copies.messages import IdempotencyRecord, ReplicaMessage, ShardAssignment
from lotusstream.copies.replica import ReplicaSet
from lotusstream.copies.replica_events import (
    AlreadyRecorded,
    AssignmentLearned,
    Committed,
    LeaseRenewed,
    LogWritePersisted,
    MessageReceived,
    NotCommitted,
    PersistLogRecords,
    ReportDivergence,
    SendReplicaMessage,
)
from lotusstream.copies.shard_controller import ShardController
from lotusstream.copies.shard_replica import recover_shards
from lotusstream.copies.shards import ReplicaHost, ReplicaId
from lotusstream.lab.replication.checker import ReplicationChecker
from lotusstream.lab.replication.nodes import GatewayNode
from lotusstream.lab.replication.scenario import ReplicationScenario
from lotusstream.lab.world import MS, Node, World

HEARTBEAT_INTERVAL = 200 * MS
CONTROLLER_INTERVAL = 50 * MS
MIN_AGREEMENT_TIME = 5 * MS
MAX_AGREEMENT_TIME = 30 * MS
ASSIGNMENT_RESEND_RATIO = 0.3  # share of heartbeats after which an assignment is sent again


class ReplicaCluster(World):
    """Everything but requests and faults of its own."""

    def __init__(self, seed: int, scenario: ReplicationScenario) -> None:
        super().__init__(seed, scenario)
        self.scenario = scenario
        self.checker = ReplicationChecker(scenario.window, self.fails)
        self.agreed: dict[int, ShardAssignment] = {}  # the quorum's, by shard
        self._disk_count = 0
        drift = scenario.terms.leases.max_clock_drift_ratio
        names = [f"g{index}" for index in range(scenario.gateways)]
        self.gateways = {name: GatewayNode(name, self.draw, drift) for name in names}
        self.controller: ShardController

    @abstractmethod
    def on_outcome(
        self,
        primary: GatewayNode,
        ticket: int,
        outcome: ClaimOutcome,
        record: IdempotencyRecord | None = None,
        reason: str = "",
        hint: str = "",
    ) -> None:
        """A replica set has answered a claim or a completion."""

    # Replicas

    def start_replicas(self, node: GatewayNode) -> None:
        """Begin a run of a gateway with what its disk has."""
        if not node.disk_name:
            self._disk_count += 1
            node.disk_name = f"d{self._disk_count}"
        replica_id = ReplicaId(node.name, node.disk_name)
        node.host = ReplicaHost(replica_id, node.name, self.zone_of(int(node.name[1:])))
        shards = recover_shards(node.disk.synced)
        session = f"{node.disk_name}.{node.run}"
        now = node.clock(self.now)
        node.replicas = ReplicaSet(replica_id, session, self.scenario.terms, shards, now)

    def zone_of(self, index: int) -> str:
        """Return the zone of the gateway with this index."""
        return f"z{index % self.scenario.zones}"

    def send_event(self, node: GatewayNode, event: replica_events.Event) -> None:
        """Give an event to a gateway's replicas, and carry out what follows."""
        for action in node.replicas.handle(node.clock(self.now), event):
            self._carry_out(node, action)

    def _carry_out(self, node: GatewayNode, action: replica_events.Action) -> None:
        match action:
            case PersistLogRecords():
                node.disk.writing.append(action)
                delay = self.draw.randint(MS, self.scenario.sync)
                self.after(delay, self._on(node, lambda: self._complete_sync(node, action)))
            case SendReplicaMessage(to, message):
                self._send_message(node, to, message)
            case Committed(ticket):
                self.on_outcome(node, ticket, ClaimOutcome.COMMITTED)
            case AlreadyRecorded(ticket, record):
                self.on_outcome(node, ticket, ClaimOutcome.ALREADY_RECORDED, record)
            case NotCommitted(ticket, reason, primary, unknown):
                outcome = ClaimOutcome.UNKNOWN if unknown else ClaimOutcome.NOT_COMMITTED
                self.on_outcome(node, ticket, outcome, None, reason, primary)
            case ReportDivergence(shard, refilled, _):
                self.checker.differ += 1
                if "flip" not in self.scenario.faults:
                    self.fails(f"copies of shard {shard} differ, {refilled} from {node.name}")

    def _complete_sync(self, node: GatewayNode, write: PersistLogRecords) -> None:
        while write in node.disk.writing:
            node.disk.synced += node.disk.writing.pop(0).records
        self.send_event(node, LogWritePersisted(write.write_number))

    def _send_message(self, source: GatewayNode, to: ReplicaId, message: ReplicaMessage) -> None:
        target = self.gateways[to.name]
        sender = source.host.replica_id

        def arrive() -> None:
            if target.disk_name == to.disk:
                self.send_event(target, MessageReceived(sender, message))

        self._deliver(source, target, arrive)

    # Heartbeats

    def send_heartbeat(self, node: GatewayNode) -> None:
        """Send a heartbeat; the lease counts from here. Some assignments are sent again with it."""
        sent_at = node.clock(self.now)
        replicas = node.replicas
        heartbeat = HeartbeatReceived(
            node.host,
            replicas.session,
            replicas.caught_up_replicas(),
            replicas.shutting_down,
            replicas.more_advanced_replicas(),
        )
        self._deliver(node, self.controller_node, lambda: self._send_controller_event(heartbeat, sent_at))
        replica_id = node.host.replica_id
        for assignment in self.agreed.values():
            if replica_id in assignment.members and self.draw.random() < ASSIGNMENT_RESEND_RATIO:
                self._send_assignment(replica_id, assignment)

    def repeat_heartbeats(self, node: GatewayNode) -> None:
        """Send heartbeats for as long as this run of the gateway lasts."""
        self.send_heartbeat(node)
        self.after(HEARTBEAT_INTERVAL, self._on(node, lambda: self.repeat_heartbeats(node)))

    # The shard controller and the quorum

    @property
    @abstractmethod
    def controller_node(self) -> Node:
        """The process of the shard controller."""

    def start_controller(self) -> None:
        """Begin a run of the shard controller with what the quorum has agreed on."""
        now = self.controller_node.clock(self.now)
        self.controller = ShardController(self.scenario.terms, self.agreed.values(), now)
        self._tick_controller()

    def _tick_controller(self) -> None:
        self._send_controller_event(ControllerTimeAdvanced())
        self.after(CONTROLLER_INTERVAL, self._on(self.controller_node, self._tick_controller))

    def _send_controller_event(self, event: controller_events.Event, sent_at: int = 0) -> None:
        """Give an event to the controller.

        :param sent_at: of a heartbeat, by the sender's clock.
        """
        controller = self.controller
        for action in controller.handle(self.controller_node.clock(self.now), event):
            match action:
                case ProposeAssignment(assignment):
                    self._after_agreement(self._agreement(controller, assignment))
                case LoadAssignments():
                    self._after_agreement(lambda: self._load_assignments(controller))
                case GrantReplicaLease(replica_id, session, epochs):
                    node = self.gateways[replica_id.name]
                    self._deliver(self.controller_node, node, self._renewal(node, session, sent_at, epochs))

    def _after_agreement(self, act: Callable[[], None]) -> None:
        self.after(self.draw.randint(MIN_AGREEMENT_TIME, MAX_AGREEMENT_TIME), act)

    def _agreement(self, controller: ShardController, assignment: ShardAssignment) -> Callable[[], None]:
        return lambda: self._agree(controller, assignment)

    def _agree(self, controller: ShardController, assignment: ShardAssignment) -> None:
        """Decide as the quorum does: the first proposal of an epoch is taken."""
        known = self.agreed.get(assignment.shard)
        is_next = assignment.epoch == (known.epoch if known else 0) + 1
        if is_next:
            self.agreed[assignment.shard] = assignment
            for replica_id in assignment.members:
                self._send_assignment(replica_id, assignment)
        event = AssignmentAgreed(assignment) if is_next else AssignmentRejected(assignment.shard, known)
        self._reply_to_controller(controller, event)

    def _load_assignments(self, controller: ShardController) -> None:
        self._reply_to_controller(controller, AssignmentsLoaded(tuple(self.agreed.values())))

    def _reply_to_controller(self, controller: ShardController, event: controller_events.Event) -> None:
        """Give the quorum's answer to the controller, if that is still the same one."""
        node = self.controller_node
        if controller is self.controller and node.up and not node.stopped:
            self._send_controller_event(event)

    def _send_assignment(self, replica_id: ReplicaId, assignment: ShardAssignment) -> None:
        node = self.gateways[replica_id.name]
        self._deliver(
            self.controller_node, node, lambda: self.send_event(node, AssignmentLearned(assignment))
        )

    def _renewal(
        self, node: GatewayNode, session: str, sent_at: int, epochs: Mapping[int, int]
    ) -> Callable[[], None]:
        def renew() -> None:
            if session == node.replicas.session:
                self.send_event(node, LeaseRenewed(sent_at, epochs))

        return renew
