"""A simulated run: a cluster with clients, its faults, and the checks at its end."""

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

TICK_INTERVAL_US = 40 * MS  # interval between two time events of a gateway
MAX_RESTART_DELAY_US = 2 * S  # longest time from a crash to the restart of a process
MIN_REQUESTS_OF_A_CLIENT = 2  # a run is valid only if at least one client has sent more requests than this


class ReplicationSimulation(RequestTraffic):
    """Starts, stops and breaks the processes of a cluster."""

    def __init__(self, seed: int, scenario: ReplicationScenario) -> None:
        super().__init__(seed, scenario)
        drift = scenario.replication.leases.max_clock_drift_ratio
        self._controller_node = Node("manager", self.rng, drift)
        for gateway in self.gateways.values():
            self.start_node(gateway)
        self.start_node(self._controller_node)
        for client in self.clients.values():
            self.start_node(client)

    @property
    def controller_node(self) -> Node:
        """The process of the shard controller."""
        return self._controller_node

    def nodes(self) -> list[Node]:
        """Return the processes that faults may hit."""
        return [*self.gateways.values(), self._controller_node]

    def run(self) -> ReplicationChecker:
        """Play the whole run.

        :raises InvariantViolationError: an invariant was violated.
        """
        self.play()
        if not any(client.number > MIN_REQUESTS_OF_A_CLIENT for client in self.clients.values()):
            self.fail("hardly any request was answered")
        if not self._is_fully_replicated():
            self.fail("replication is not complete again though all faults have ended")
        return self.checker

    # Processes

    def start_node(self, node: Node) -> None:
        """Start a process, for the first time or again."""
        node.is_up = True
        node.is_paused = False
        node.run_number += 1
        node.deferred.clear()
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
        self.schedule_after(TICK_INTERVAL_US, self._in_this_run(node, lambda: self._tick(node)))

    def stop_node(self, node: Node) -> None:
        """End a process. A random prefix of the records that were being written reaches its disk."""
        if node.is_up and isinstance(node, GatewayNode):
            for write in node.disk.writing:
                count = self.rng.randint(0, len(write.records))
                node.disk.synced += write.records[:count]
                if count < len(write.records):
                    break
            node.disk.writing.clear()
        super().stop_node(node)

    def _any_gateway(self) -> GatewayNode:
        return self.rng.choice(list(self.gateways.values()))

    # Faults

    def _fault_crash(self) -> None:
        """A gateway crashes and restarts."""
        node = self._any_gateway()
        self.stop_node(node)
        self.restart_later(node, MAX_RESTART_DELAY_US)

    def _fault_leave(self) -> None:
        """A gateway shuts down gracefully; messages that were sent before may arrive after the shutdown."""
        node = self._any_gateway()
        if not node.is_up or node.is_paused:
            return
        self.send_event(node, ShutdownStarted())
        self.send_heartbeat(node)

        def end() -> None:
            self.stop_node(node)
            self.restart_later(node, MAX_RESTART_DELAY_US)

        self.schedule_after(self.rng.randint(50 * MS, 900 * MS), self._in_this_run(node, end))

    def _fault_power(self) -> None:
        """All gateways crash at once and restart."""
        for node in self.gateways.values():
            self.stop_node(node)
            self.restart_later(node, MAX_RESTART_DELAY_US)

    def _fault_manager(self) -> None:
        """The shard controller crashes; another one starts once its lease has expired."""
        node = self._controller_node
        self.stop_node(node)
        self.schedule_after(1200 * MS, lambda: None if node.is_up else self.start_node(node))

    def _is_intact(self, replica_id: ReplicaId) -> bool:
        """Whether the replica's disk is the present one of its gateway and has all its records."""
        node = self.gateways[replica_id.name]
        return node.disk_name == replica_id.disk and self.now >= node.incomplete_until

    def _may_lose_disk(self, node: GatewayNode) -> bool:
        """Whether a disk may be lost: the primary and all backups of its shards have all records.

        One of them may be cut off and removed from the assignment before the loss is detected. So a disk is
        never lost while another one is incomplete.
        """
        for assignment in self.committed.values():
            counted = (assignment.primary, *assignment.backups)
            if node.host.replica_id in counted and not all(map(self._is_intact, counted)):
                return False
        return True

    def _fault_lie(self) -> None:
        """A disk loses its newest records although it has confirmed them, and the gateway restarts.

        Such a disk can be told from an intact one only after all replicas of its shards have reported. So no
        other fault may follow for some time.
        """
        node = self._any_gateway()
        others_report = all(each.is_up and not each.is_paused for each in self.nodes()) and not self.cut_links
        if others_report and self._may_lose_disk(node):
            self._no_faults_until = self.now + 5 * S
            self.stop_node(node)
            count = len(node.disk.synced) - self.rng.randint(1, 30)
            node.disk.synced = node.disk.synced[: max(0, count)]
            node.incomplete_until = self.now + 6 * S
            self.restart_later(node, MAX_RESTART_DELAY_US)

    def _fault_lose(self) -> None:
        """A machine is lost with its disk; the gateway restarts with an empty one."""
        node = self._any_gateway()
        if not self._may_lose_disk(node):
            return
        self.checker.lost_machine_count += 1
        self.stop_node(node)
        node.disk = SimulatedDisk()
        node.disk_name = ""
        self.restart_later(node, MAX_RESTART_DELAY_US)

    def _fault_flip(self) -> None:
        """A record of a backup is corrupted. (A corrupted record of a primary would be replicated.)"""
        counted = [each for _, each in sorted(self.committed.items()) if each.backups]
        if not counted:
            return
        assignment = self.rng.choice(counted)
        replica_id = self.rng.choice(assignment.backups)
        node = self.gateways[replica_id.name]
        shard = node.replicas.shards.get(assignment.shard)
        answered = [each for each in shard.records.values() if each.answer] if shard else []
        if shard is not None and answered and node.disk_name == replica_id.disk:
            record = self.rng.choice(answered)
            shard.records[record.key] = msgspec.structs.replace(record, answer=record.answer + b"?")
            self.checker.corrupted_records += 1
            # two corrupted replicas would leave no majority that shows the right record
            self._no_faults_until = self.now + 7 * S

    # The end

    def are_replicas_equal(self) -> bool:
        """Whether all replicas of a shard at the same position hold the same records, for every shard."""
        for assignment in self.committed.values():
            records_at: dict[Any, Any] = {}
            for replica_id in assignment.members:
                shard = self.gateways[replica_id.name].replicas.shards[assignment.shard]
                if records_at.setdefault(shard.position, shard.records) != shard.records:
                    return False
        return True

    def _is_fully_replicated(self) -> bool:
        """Whether every shard has all its replicas, and none of them is still joining."""
        options = self.scenario.replication
        return len(self.committed) == options.shard_count and all(
            1 + len(each.backups) == options.replica_count
            and not each.joining
            and all(map(self._is_intact, each.members))
            for each in self.committed.values()
        )


def play(seed: int, scenario: ReplicationScenario | None = None) -> ReplicationChecker:
    """Play one run.

    :raises InvariantViolationError: an invariant was violated.
    """
    return ReplicationSimulation(seed, scenario or ReplicationScenario()).run()
