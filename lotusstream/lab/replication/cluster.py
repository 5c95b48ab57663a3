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
from lotusstream.lab.world import MS, Node, Simulation

HEARTBEAT_INTERVAL_US = 200 * MS  # interval between two heartbeats of a gateway
CONTROLLER_INTERVAL_US = 50 * MS  # interval between two time events of the shard controller
MIN_COMMIT_TIME_US = 5 * MS  # shortest time until the quorum has committed a proposal
MAX_COMMIT_TIME_US = 30 * MS  # longest time until the quorum has committed a proposal
ASSIGNMENT_RESEND_PROBABILITY = 0.3  # probability that a heartbeat repeats an assignment of its gateway


class ReplicaCluster(Simulation):
    """Runs the replicas, the shard controller and the quorum. Subclasses add requests and further faults."""

    def __init__(self, seed: int, scenario: ReplicationScenario) -> None:
        super().__init__(seed, scenario)
        self.scenario = scenario
        self.checker = ReplicationChecker(scenario.deduplication_window_us, self.fail)
        self.committed: dict[int, ShardAssignment] = {}  # assignment that the quorum has committed, by shard
        self._disk_count = 0  # number of disks that have got a name
        drift = scenario.replication.leases.max_clock_drift_ratio
        names = [f"g{index}" for index in range(scenario.gateways)]
        self.gateways = {name: GatewayNode(name, self.rng, drift) for name in names}
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
        """Handle the outcome of a claim or completion at the primary."""

    # Replicas

    def start_replicas(self, node: GatewayNode) -> None:
        """Start the replicas of a gateway from the records on its disk."""
        if not node.disk_name:
            self._disk_count += 1
            node.disk_name = f"d{self._disk_count}"
        replica_id = ReplicaId(node.name, node.disk_name)
        node.host = ReplicaHost(replica_id, node.name, self.zone_of(int(node.name[1:])))
        shards = recover_shards(node.disk.synced)
        session = f"{node.disk_name}.{node.run_number}"
        now = node.local_time(self.now)
        node.replicas = ReplicaSet(replica_id, session, self.scenario.replication, shards, now)

    def zone_of(self, index: int) -> str:
        """Return the zone of the gateway with this index."""
        return f"z{index % self.scenario.zones}"

    def send_event(self, node: GatewayNode, event: replica_events.Event) -> None:
        """Give an event to a gateway's replicas and carry out the resulting actions."""
        for action in node.replicas.handle(node.local_time(self.now), event):
            self._execute_action(node, action)

    def _execute_action(self, node: GatewayNode, action: replica_events.Action) -> None:
        """Carry out one action of a gateway's replicas."""
        match action:
            case PersistLogRecords():
                node.disk.writing.append(action)
                delay = self.rng.randint(MS, self.scenario.max_sync_us)
                self.schedule_after(delay, self._in_this_run(node, lambda: self._complete_sync(node, action)))
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
                self.checker.divergences += 1
                if "flip" not in self.scenario.faults:
                    self.fail(f"replicas of shard {shard} differ: {refilled} from {node.name}")

    def _complete_sync(self, node: GatewayNode, write: PersistLogRecords) -> None:
        """Complete a write, and with it every write that was requested before it (group commit)."""
        while write in node.disk.writing:
            node.disk.synced += node.disk.writing.pop(0).records
        self.send_event(node, LogWritePersisted(write.write_number))

    def _send_message(self, source: GatewayNode, to: ReplicaId, message: ReplicaMessage) -> None:
        """Send a message to a replica; it is dropped if the target has another disk on its arrival."""
        target = self.gateways[to.name]
        sender = source.host.replica_id

        def arrive() -> None:
            if target.disk_name == to.disk:
                self.send_event(target, MessageReceived(sender, message))

        self._deliver(source, target, arrive)

    # Heartbeats

    def send_heartbeat(self, node: GatewayNode) -> None:
        """Send a heartbeat, and repeat some assignments. The lease is counted from its sending time."""
        sent_at = node.local_time(self.now)
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
        for assignment in self.committed.values():
            if replica_id in assignment.members and self.rng.random() < ASSIGNMENT_RESEND_PROBABILITY:
                self._send_assignment(replica_id, assignment)

    def repeat_heartbeats(self, node: GatewayNode) -> None:
        """Send heartbeats for as long as this run of the gateway lasts."""
        self.send_heartbeat(node)
        self.schedule_after(
            HEARTBEAT_INTERVAL_US, self._in_this_run(node, lambda: self.repeat_heartbeats(node))
        )

    # The shard controller and the quorum

    @property
    @abstractmethod
    def controller_node(self) -> Node:
        """The process of the shard controller."""

    def start_controller(self) -> None:
        """Start the shard controller from the assignments that the quorum has committed."""
        now = self.controller_node.local_time(self.now)
        self.controller = ShardController(self.scenario.replication, self.committed.values(), now)
        self._tick_controller()

    def _tick_controller(self) -> None:
        self._send_controller_event(ControllerTimeAdvanced())
        self.schedule_after(
            CONTROLLER_INTERVAL_US, self._in_this_run(self.controller_node, self._tick_controller)
        )

    def _send_controller_event(self, event: controller_events.Event, sent_at: int = 0) -> None:
        """Give an event to the controller and carry out the resulting actions.

        :param sent_at: when a heartbeat was sent, in microseconds of the sender's clock; 0 for other events.
        """
        controller = self.controller
        for action in controller.handle(self.controller_node.local_time(self.now), event):
            match action:
                case ProposeAssignment(assignment):
                    self._after_commit_time(self._commitment(controller, assignment))
                case LoadAssignments():
                    self._after_commit_time(lambda: self._load_assignments(controller))
                case GrantReplicaLease(replica_id, session, epochs):
                    node = self.gateways[replica_id.name]
                    self._deliver(self.controller_node, node, self._renewal(node, session, sent_at, epochs))

    def _after_commit_time(self, callback: Callable[[], None]) -> None:
        self.schedule_after(self.rng.randint(MIN_COMMIT_TIME_US, MAX_COMMIT_TIME_US), callback)

    def _commitment(self, controller: ShardController, assignment: ShardAssignment) -> Callable[[], None]:
        return lambda: self._commit(controller, assignment)

    def _commit(self, controller: ShardController, assignment: ShardAssignment) -> None:
        """Commit the first proposal of an epoch and reject further ones, as the quorum does."""
        known = self.committed.get(assignment.shard)
        is_next = assignment.epoch == (known.epoch if known else 0) + 1
        if is_next:
            self.committed[assignment.shard] = assignment
            for replica_id in assignment.members:
                self._send_assignment(replica_id, assignment)
        event = AssignmentAgreed(assignment) if is_next else AssignmentRejected(assignment.shard, known)
        self._reply_to_controller(controller, event)

    def _load_assignments(self, controller: ShardController) -> None:
        self._reply_to_controller(controller, AssignmentsLoaded(tuple(self.committed.values())))

    def _reply_to_controller(self, controller: ShardController, event: controller_events.Event) -> None:
        """Give the quorum's reply to the controller that asked, if it still runs."""
        node = self.controller_node
        if controller is self.controller and node.is_up and not node.is_paused:
            self._send_controller_event(event)

    def _send_assignment(self, replica_id: ReplicaId, assignment: ShardAssignment) -> None:
        node = self.gateways[replica_id.name]
        self._deliver(
            self.controller_node, node, lambda: self.send_event(node, AssignmentLearned(assignment))
        )

    def _renewal(
        self, node: GatewayNode, session: str, sent_at: int, epochs: Mapping[int, int]
    ) -> Callable[[], None]:
        """Return a callback that renews a gateway's lease, unless it has restarted since the heartbeat."""

        def renew() -> None:
            if session == node.replicas.session:
                self.send_event(node, LeaseRenewed(sent_at, epochs))

        return renew
