"""A simulated run: a cluster with clients, its faults, and what has to hold at its end."""

from __future__ import annotations

from typing import Any

import msgspec

from lotusstream.copies.claim_events import ClaimTimeAdvanced
from lotusstream.copies.replica_events import ReplicaTimeAdvanced, ShutdownStarted
from lotusstream.copies.shards import ReplicaId
from lotusstream.lab.replication.checker import ReplicationChecker
from lotusstream.lab.replication.nodes import ClientNode, GatewayNode, SimulatedDisk
from lotusstream.lab.replication.scenario import ReplicationScenario
from lotusstream.lab.replication.traffic import RequestTraffic
from lotusstream.lab.world import MS, Node, S

TICK_INTERVAL = 40 * MS
RESTART_WITHIN = 2 * S
MIN_REQUESTS_OF_A_CLIENT = 2  # at least one client has more than these, or the run shows nothing


class ReplicationWorld(RequestTraffic):
    """Starts, stops and breaks the processes of a cluster."""

    def __init__(self, seed: int, scenario: ReplicationScenario) -> None:
        super().__init__(seed, scenario)
        drift = scenario.terms.leases.max_clock_drift_ratio
        self._controller_node = Node("manager", self.draw, drift)
        for gateway in self.gateways.values():
            self.again(gateway)
        self.again(self._controller_node)
        for client in self.clients.values():
            self.again(client)

    @property
    def controller_node(self) -> Node:
        """The process of the shard controller."""
        return self._controller_node

    def nodes(self) -> list[Node]:
        """Return the processes that faults may hit."""
        return [*self.gateways.values(), self._controller_node]

    def run(self) -> ReplicationChecker:
        """Play the whole run.

        :raises Broken: a rule does not hold.
        """
        self.play()
        if not any(client.number > MIN_REQUESTS_OF_A_CLIENT for client in self.clients.values()):
            self.fails("hardly a command was answered")
        if not self._is_fully_replicated():
            self.fails("not all is copied again though all faults have ended")
        return self.checker

    # Processes

    def again(self, node: Node) -> None:
        """Begin a new run of a process."""
        node.up = True
        node.stopped = False
        node.run += 1
        node.waiting.clear()
        if isinstance(node, GatewayNode):
            self.start_replicas(node)
            self.start_claims(node)
            self.repeat_heartbeats(node)
            self._tick(node)
        elif node is self._controller_node:
            self.start_controller()
        elif isinstance(node, ClientNode):
            self.start_next_request(node)

    def _tick(self, node: GatewayNode) -> None:
        self.send_event(node, ReplicaTimeAdvanced(self.now))
        self.send_claim_event(node, ClaimTimeAdvanced())
        self.after(TICK_INTERVAL, self._on(node, lambda: self._tick(node)))

    def down(self, node: Node) -> None:
        """End a process; of what its disk was writing a beginning is there afterwards."""
        if node.up and isinstance(node, GatewayNode):
            for write in node.disk.writing:
                count = self.draw.randint(0, len(write.records))
                node.disk.synced += write.records[:count]
                if count < len(write.records):
                    break
            node.disk.writing.clear()
        super().down(node)

    def _any_gateway(self) -> GatewayNode:
        return self.draw.choice(list(self.gateways.values()))

    # Faults

    def _fault_crash(self) -> None:
        node = self._any_gateway()
        self.down(node)
        self.back(node, RESTART_WITHIN)

    def _fault_leave(self) -> None:
        """A planned stop; messages that were sent before may arrive after it."""
        node = self._any_gateway()
        if not node.up or node.stopped:
            return
        self.send_event(node, ShutdownStarted())
        self.send_heartbeat(node)

        def end() -> None:
            self.down(node)
            self.back(node, RESTART_WITHIN)

        self.after(self.draw.randint(50 * MS, 900 * MS), self._on(node, end))

    def _fault_power(self) -> None:
        for node in self.gateways.values():
            self.down(node)
            self.back(node, RESTART_WITHIN)

    def _fault_manager(self) -> None:
        """The shard controller ends; another one begins only once the first one's lease has run out."""
        node = self._controller_node
        self.down(node)
        self.after(1200 * MS, lambda: None if node.up else self.again(node))

    def _is_intact(self, replica_id: ReplicaId) -> bool:
        node = self.gateways[replica_id.name]
        return node.disk_name == replica_id.disk and self.now >= node.lied_until

    def _may_lose(self, node: GatewayNode) -> bool:
        """Whether the loss of a disk is within what is promised: all disks that count have all records.

        One of them may be cut off, and left out before the loss is known: so not the last but one.
        """
        for assignment in self.agreed.values():
            counted = (assignment.primary, *assignment.backups)
            if node.host.replica_id in counted and not all(map(self._is_intact, counted)):
                return False
        return True

    def _fault_lie(self) -> None:
        """A disk has confirmed records that it has not: the gateway comes back as it was a while ago.

        Nobody can tell this from a sound disk before all disks that count have reported: it is the only fault
        at a time.
        """
        node = self._any_gateway()
        others_report = all(each.up and not each.stopped for each in self.nodes()) and not self.cuts
        if others_report and self._may_lose(node):
            self._calm_until = self.now + 5 * S
            self.down(node)
            count = len(node.disk.synced) - self.draw.randint(1, 30)
            node.disk.synced = node.disk.synced[: max(0, count)]
            node.lied_until = self.now + 6 * S
            self.back(node, RESTART_WITHIN)

    def _fault_lose(self) -> None:
        """A machine is lost with its disk."""
        node = self._any_gateway()
        if not self._may_lose(node):
            return
        self.checker.lost_machines += 1
        self.down(node)
        node.disk = SimulatedDisk()
        node.disk_name = ""
        self.back(node, RESTART_WITHIN)

    def _fault_flip(self) -> None:
        """A backup's record changes by itself. (A primary that did so would replicate it.)"""
        counted = [each for _, each in sorted(self.agreed.items()) if each.backups]
        if not counted:
            return
        assignment = self.draw.choice(counted)
        replica_id = self.draw.choice(assignment.backups)
        node = self.gateways[replica_id.name]
        shard = node.replicas.shards.get(assignment.shard)
        answered = [each for each in shard.records.values() if each.answer] if shard else []
        if shard is not None and answered and node.disk_name == replica_id.disk:
            record = self.draw.choice(answered)
            shard.records[record.key] = msgspec.structs.replace(record, answer=record.answer + b"?")
            self.checker.flipped += 1
            self._calm_until = self.now + 7 * S  # with two at once no majority would show which is right

    # The end

    def are_replicas_equal(self) -> bool:
        """Whether all replicas of a shard at the same position hold the same records."""
        for assignment in self.agreed.values():
            records_at: dict[Any, Any] = {}
            for replica_id in assignment.members:
                shard = self.gateways[replica_id.name].replicas.shards[assignment.shard]
                if records_at.setdefault(shard.position, shard.records) != shard.records:
                    return False
        return True

    def _is_fully_replicated(self) -> bool:
        options = self.scenario.terms
        return len(self.agreed) == options.shard_count and all(
            1 + len(each.backups) == options.replica_count
            and not each.joining
            and all(map(self._is_intact, each.members))
            for each in self.agreed.values()
        )


def play(seed: int, scenario: ReplicationScenario | None = None) -> ReplicationChecker:
    """Play one run.

    :raises Broken: a rule does not hold.
    """
    return ReplicationWorld(seed, scenario or ReplicationScenario()).run()
