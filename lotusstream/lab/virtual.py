"""A quorum and its lease holders on a virtual clock, network and disk, with faults drawn from one seed.

Every random choice is drawn from `random.Random(seed)`: a failing seed fails again in the same way. The
checker verifies the invariants after every event.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lotusstream.lab.world import MS, InvariantViolationError, Node, S, Simulation, SimulationOptions
from lotusstream.leases import holder as lease_holder
from lotusstream.leases.expiry import LeaseTiming
from lotusstream.leases.service import (
    LEASE_FREED_NUMBER,
    LeaseHolderChanged,
    LeaseOperationReceived,
    LeaseService,
    LeaseServiceReply,
    LeaseTableReadReceived,
)
from lotusstream.leases.table import LeaseResult
from lotusstream.quorum import events
from lotusstream.quorum.messages import RaftRecord
from lotusstream.quorum.node import RaftNode
from lotusstream.quorum.replicated_log import PersistedState
from lotusstream.quorum.state import Role
from lotusstream.quorum.timing import RaftTiming

RAFT_TIMING = RaftTiming(100 * MS, 400 * MS, max_batch_bytes=300, compaction_entry_count=25)
LEASE_TIMING = LeaseTiming(2 * S, 250 * MS, 0.05)


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseScenario(SimulationOptions):
    """Size, timing and faults of a run. Times are in microseconds."""

    quorum_size: int = 3  # number of Raft nodes
    holders: int = 3  # number of lease holders
    tasks: tuple[str, ...] = ("moves",)  # names of leases; every holder wants all of them
    raft_timing: RaftTiming = RAFT_TIMING
    lease_timing: LeaseTiming = LEASE_TIMING
    faults: tuple[str, ...] = (
        "crash",
        "cut",
        "one-way",
        "stop",
        "wipe",
        "rollback",
        "disk",
        "leave",
        "unwant",
    )
    quorum_crash_probability: float = 0.1  # probability that a crash hits all Raft nodes at once
    max_sync_us: int = 5 * MS  # longest duration of an fsync
    read_interval_us: int = 400 * MS  # interval between reads of the lease table


@dataclass(slots=True)
class VirtualDisk:
    """The disk of a Raft node: synced records survive a crash, and so may a prefix of those being written."""

    synced: list[RaftRecord] = field(default_factory=list)  # records that survive a crash
    # writes that were requested and are not synced yet, in order
    pending_writes: list[events.PersistRecords] = field(default_factory=list)
    synced_at_us: int = 0  # simulated time of the last sync, microseconds; 0: none yet

    def sync(self, save: events.PersistRecords) -> None:
        """Completes a write: its records survive a crash from now on."""
        self.synced = ([] if save.replace_log else self.synced) + list(save.records)
        self.pending_writes.remove(save)

    def crash(self, rng: random.Random) -> None:
        """Drops the pending writes; a random prefix of them reaches the disk."""
        for save in self.pending_writes:
            if save.replace_log:  # the log is replaced by a rename: completely or not at all
                if rng.random() < 0.5:
                    self.synced = list(save.records)
                    continue
                break
            kept = rng.randint(0, len(save.records))
            self.synced += save.records[:kept]
            if kept < len(save.records):
                break
        self.pending_writes.clear()


class QuorumNode(Node):
    """A Raft node with its disk, and the lease service that it runs."""

    def __init__(self, name: str, rng: random.Random, drift: float) -> None:
        super().__init__(name, rng, drift)
        self.disk = VirtualDisk()
        self.service: LeaseService | None = None  # None: it has not started yet
        self.applied: dict[int, Any] = {}  # unused
        self.wiped = False  # unused
        self.extra_sync_us = 0  # microseconds added to the duration of each sync


class HolderNode(Node):
    """A process that wants leases and may act while it holds them."""

    def __init__(self, name: str, rng: random.Random, drift: float) -> None:
        super().__init__(name, rng, drift)
        self.holder: lease_holder.LeaseHolder
        self.acting: dict[str, int] = {}  # unused


class LeaseChecker:
    """Records what the nodes elect, apply, grant and read, and fails the run on a contradiction."""

    def __init__(self, seed: int) -> None:
        self.seed, self.now = seed, 0
        self.leaders: dict[int, str] = {}  # incarnation of the leader, by term
        # term and kind of the applied entry, and its data, by log index
        self.log: dict[int, tuple[Any, bytes]] = {}
        # the fencing token that was granted and its holder, by log index
        self.tokens: dict[int, tuple[int, str]] = {}
        # number of acting holders, summed over all checks; number of grants; number of table reads
        self.acts = self.grants = self.reads = 0
        self.newest_token = 0  # highest fencing token granted; 0: none yet
        self.line: list[str] = []  # unused

    def fail(self, problem: str) -> None:
        """Ends the run with an error that names the seed, the simulated time and the problem."""
        raise InvariantViolationError(f"seed {self.seed}, at {self.now / S:.3f} s: {problem}")

    def check_leader(self, term: int, name: str) -> None:
        """Checks that a term has one leader. `name`: the incarnation of a node that leads the term."""
        if self.leaders.setdefault(term, name) != name:
            self.fail(f"term {term} has two leaders, {self.leaders[term]} and {name}")

    def check_applied_entry(self, name: str, index: int, kind: Any, data: bytes) -> None:
        """Checks that all nodes apply the same entry at an index. `kind`: the entry's term and kind."""
        if self.log.setdefault(index, (kind, data)) != (kind, data):
            self.fail(f"{name} applied another entry at index {index} than an earlier node")

    def check_grant(self, name: str, index: int, result: LeaseResult) -> None:
        """Checks that fencing tokens rise with the log index, and that all nodes grant the same ones.

        `index`: the log index of the entry that grants or renews the lease.
        """
        if result.is_new_grant:
            grant = (result.token, result.holder)
            if index not in self.tokens:
                newest_token = max((each[0] for at, each in self.tokens.items() if at < index), default=0)
                if result.token <= newest_token:
                    self.fail(f"fencing token {result.token} was granted after {newest_token}")
                self.grants += 1
                self.newest_token = max(self.newest_token, result.token)
            if self.tokens.setdefault(index, grant) != grant:
                self.fail(f"{name} granted {grant} at index {index}, another node {self.tokens[index]}")

    def check_read(self, name: str, newest_token: int, seen_token: int) -> None:
        """Checks a read of the lease table.

        `newest_token`: highest fencing token granted before the read began. `seen_token`: the one that it
        returned.
        """
        self.reads += 1
        if seen_token < newest_token:
            self.fail(
                f"{name} read fencing token {seen_token} as the newest after {newest_token} was granted"
            )

    def check_acting(self, task: str, acting: list[tuple[str, int]]) -> None:
        """Checks that at most one holder acts. `acting`: every holder that may act now, with its token."""
        self.acts += len(acting)
        if len(acting) > 1:
            self.fail(f"{' and '.join(f'{who} (token {token})' for who, token in acting)} act for '{task}'")


class LeaseSimulation(Simulation):
    """A quorum with the lease service, and holders that compete for its leases."""

    def __init__(self, seed: int, scenario: LeaseScenario) -> None:
        super().__init__(seed, scenario)
        self.scenario, self.checker = scenario, LeaseChecker(seed)
        drift = scenario.lease_timing.max_clock_drift_ratio
        self.quorum_nodes = {
            f"k{i}": QuorumNode(f"k{i}", self.rng, drift) for i in range(scenario.quorum_size)
        }
        self.holders = {f"g{i}": HolderNode(f"g{i}", self.rng, drift) for i in range(scenario.holders)}
        self._incarnation_count = 0
        for holder in self.holders.values():
            holder.holder = self._new_holder(holder)
        for raft_node in self.quorum_nodes.values():
            self._start_quorum_node(raft_node)
        for holder in self.holders.values():
            self._start_holder(holder)

    # The run

    def run(self) -> LeaseChecker:
        """Plays the run and checks that service has recovered at its end. Returns the checker."""
        self.schedule_at(self.scenario.read_interval_us, self._read_lease_table)
        self.play()
        self._check_liveness()
        return self.checker

    def nodes(self) -> list[Node]:
        """Returns the Raft nodes and the holders."""
        return [*self.quorum_nodes.values(), *self.holders.values()]

    # Raft nodes

    def _start_quorum_node(self, node: QuorumNode) -> None:
        node.is_up, node.is_paused, node.run_number = True, False, node.run_number + 1
        node.deferred.clear()
        self._incarnation_count += 1
        disk = PersistedState(node.disk.synced)
        raft_node = RaftNode(
            node.name,
            disk,
            f"d{self._incarnation_count}",
            list(self.quorum_nodes),
            self.scenario.raft_timing,
            self.seed * 1000 + node.run_number,
            node.local_time(self.now),
        )
        node.service = LeaseService(raft_node, self.scenario.lease_timing)
        self._handle_quorum_event(node, events.RaftTimeAdvanced())

    def _handle_quorum_event(self, node: QuorumNode, event: Any) -> None:
        assert node.service is not None
        for action in node.service.handle(node.local_time(self.now), event):
            self._execute(node, action)
        if node.service.node.role == Role.LEADER:
            self.checker.check_leader(node.service.node.term, node.service.node.incarnation)
        for index in range(max(1, node.service.node.applied_index - 3), node.service.node.applied_index + 1):
            if index > node.service.node.log.snapshot.index:
                entry = node.service.node.log.entry_at(index)
                self.checker.check_applied_entry(node.name, index, (entry.term, entry.kind), entry.data)
        self._set_timer(
            node,
            node.service.next_timer_at,
            lambda: self._handle_quorum_event(node, events.RaftTimeAdvanced()),
        )

    def _execute(self, node: QuorumNode, action: Any) -> None:
        """Carries out one action of a Raft node or its lease service."""
        match action:
            case events.PersistRecords():
                node.disk.pending_writes.append(action)
                delay = self.rng.randint(1 * MS, self.scenario.max_sync_us) + node.extra_sync_us
                self.schedule_after(delay, self._in_this_run(node, lambda: self._on_synced(node, action)))
            case events.SendMessage(envelope):
                target = self.quorum_nodes[envelope.recipient]
                self._deliver(
                    node, target, lambda: self._handle_quorum_event(target, events.MessageReceived(envelope))
                )
            case LeaseServiceReply(caller, _, _, _, _, done) if isinstance(caller, int):
                if done:  # a table read: `caller` is the highest token that was granted before it began
                    self.checker.check_read(
                        node.name, caller, node.service.table.newest_token if node.service else 0
                    )
            case LeaseServiceReply(caller, number, result, leader):
                holder = self.holders[str(caller)]
                event: lease_holder.LeaseHolderEvent = lease_holder.LeaseReplyReceived(number, result, leader)
                if number == LEASE_FREED_NUMBER and result is not None:
                    event = lease_holder.LeaseFreed(result.task)
                self._deliver(node, holder, lambda: self._handle_holder_event(holder, event))
            case LeaseHolderChanged(index, result):
                self.checker.check_grant(node.name, index, result)

    def _on_synced(self, node: QuorumNode, save: events.PersistRecords) -> None:
        """Group commit: a sync also covers every write that was requested before it."""
        while save in node.disk.pending_writes:
            node.disk.sync(node.disk.pending_writes[0])
        node.disk.synced_at_us = self.now
        self._handle_quorum_event(node, events.RecordsPersisted(save.number))

    def _read_lease_table(self) -> None:
        """Reads the lease table at every node that considers itself leader; the reply must include all grants
        made before."""
        for node in self.quorum_nodes.values():
            leads = node.service is not None and node.service.node.role == Role.LEADER
            if leads and node.is_up and not node.is_paused:
                self._handle_quorum_event(node, LeaseTableReadReceived(self.checker.newest_token, 0))
        self.schedule_after(self.scenario.read_interval_us, self._read_lease_table)

    # Holders

    def _start_holder(self, node: HolderNode) -> None:
        node.is_up, node.is_paused, node.run_number = True, False, node.run_number + 1
        node.deferred.clear()
        node.holder = self._new_holder(node)
        for task in self.scenario.tasks:
            self._handle_holder_event(node, lease_holder.LeaseWanted(task))

    def _new_holder(self, node: HolderNode) -> lease_holder.LeaseHolder:
        session, members = f"{node.name}-{node.run_number}", list(self.quorum_nodes)
        return lease_holder.LeaseHolder(
            node.name, session, members, self.scenario.lease_timing, self.seed + node.run_number
        )

    def _handle_holder_event(self, node: HolderNode, event: Any) -> None:
        for action in node.holder.handle(node.local_time(self.now), event):
            if isinstance(action, lease_holder.SendLeaseOperation):
                target, request = (
                    self.quorum_nodes[action.recipient],
                    LeaseOperationReceived(node.name, action.number, action.operation),
                )
                self._deliver(node, target, self._operation_delivery(target, request))
        self._check_acting()
        self._set_timer(
            node,
            node.holder.next_timer_at,
            lambda: self._handle_holder_event(node, lease_holder.LeaseTimeAdvanced()),
        )

    def _operation_delivery(self, target: QuorumNode, request: LeaseOperationReceived) -> Callable[[], None]:
        return lambda: self._handle_quorum_event(target, request)

    def _check_acting(self) -> None:
        """Checks that at most one holder may act now. Paused holders do not act and are left out."""
        for task in self.scenario.tasks:
            acting = []
            for node in self.holders.values():
                if node.is_up and not node.is_paused:
                    token = node.holder.may_act(node.local_time(self.now), task)
                    if token:
                        acting.append((node.name, token))
            self.checker.check_acting(task, acting)

    # Faults

    def _any_quorum_node(self) -> QuorumNode:
        return self.rng.choice(list(self.quorum_nodes.values()))

    def stop_node(self, node: Node) -> None:
        """Crashes a process; a Raft node loses writes that are not synced."""
        if node.is_up and isinstance(node, QuorumNode):
            node.disk.crash(self.rng)
        super().stop_node(node)

    def _restart(self, node: Node) -> None:
        self.stop_node(node)
        self.restart_later(node, S)

    def start_node(self, node: Node) -> None:
        """Starts a Raft node from its disk, or a holder without state."""
        if isinstance(node, QuorumNode):
            self._start_quorum_node(node)
        elif isinstance(node, HolderNode):
            self._start_holder(node)

    def _fault_crash(self) -> None:
        """One process crashes, or all Raft nodes do."""
        nodes: list[Node] = (
            list(self.quorum_nodes.values())
            if self.rng.random() < self.scenario.quorum_crash_probability
            else [self._any_node()]
        )
        for node in nodes:
            self.stop_node(node)
            self.restart_later(node, 2 * S)

    def _fault_wipe(self) -> None:
        """A Raft node loses its disk. Only one at a time, and only while all nodes have caught up."""
        if not self._is_complete():
            return
        node = self._any_quorum_node()
        self.stop_node(node)
        node.disk = VirtualDisk()
        self.restart_later(node, S)

    def _fault_rollback(self) -> None:
        """A node restarts with an older copy of its disk.

        The other nodes detect that only if they are up when it comes back, and if its records were
        replicated before: a leader announces with its next heartbeat what is on its own disk. So the fault
        waits for both, and no other fault follows for two election timeouts.
        """
        if not self._is_complete() or self.cut_links:
            return
        node = self._any_quorum_node()
        older = list(node.disk.synced)

        def roll() -> None:
            if (
                not self._is_complete()
                or self.cut_links
                or not node.is_up
                or node.disk.synced[: len(older)] != older
            ):
                return
            if self.now - node.disk.synced_at_us < 3 * self.scenario.raft_timing.heartbeat_us:
                return
            self.stop_node(node)
            node.disk.synced = older
            self._no_faults_until = self.now + 2 * self.scenario.raft_timing.election_timeout_us
            self.start_node(node)

        self.schedule_after(self.rng.randint(0, S), roll)

    def _is_complete(self) -> bool:
        """Whether every Raft node is up, a voter, and at most one entry behind the highest commit index."""
        services = [node.service for node in self.quorum_nodes.values() if node.is_up and not node.is_paused]
        if len(services) < len(self.quorum_nodes):
            return False
        nodes = [service.node for service in services if service is not None]
        commit = max(node.commit_index for node in nodes)
        disks = {node.incarnation for node in nodes}
        return all(
            {member.incarnation for member in node.members if member.is_voter} == disks
            and node.commit_index >= commit - 1
            for node in nodes
        )

    def _fault_disk(self) -> None:
        """The disk of a Raft node syncs slowly for up to 3 s."""
        node = self._any_quorum_node()
        node.extra_sync_us = self.rng.choice((0, 50 * MS, 400 * MS))
        self.schedule_after(self.rng.randint(0, 3 * S), lambda: setattr(node, "extra_sync_us", 0))

    def _fault_leave(self) -> None:
        """A graceful shutdown of a Raft node, and a restart."""
        node = self._any_quorum_node()
        if node.is_up and not node.is_paused:
            self._handle_quorum_event(node, events.ShutdownRequested())
            self.schedule_after(300 * MS, self._in_this_run(node, lambda: self._restart(node)))

    def _fault_unwant(self) -> None:
        """A holder gives up a lease, with or without a named successor, and wants it again after 1 s."""
        node, task = self.rng.choice(list(self.holders.values())), self.rng.choice(self.scenario.tasks)
        if node.is_up and not node.is_paused:
            successor = self.rng.choice(["", *self.holders])
            self._handle_holder_event(node, lease_holder.LeaseUnwanted(task, successor))
            self.schedule_after(
                S,
                self._in_this_run(
                    node, lambda: self._handle_holder_event(node, lease_holder.LeaseWanted(task))
                ),
            )

    def _heal(self) -> None:
        for node in self.quorum_nodes.values():
            node.extra_sync_us = 0
        super()._heal()

    def _check_liveness(self) -> None:
        """Checks after the end of all faults: a leader, nodes that have caught up, a holder for each task."""
        if not any(
            node.service and node.service.node.role == Role.LEADER for node in self.quorum_nodes.values()
        ):
            self.checker.fail("there is no leader though all faults have ended")
        if not self._is_complete():
            self.checker.fail("a Raft node has not caught up though all faults have ended")
        for task in self.scenario.tasks:
            nodes = self.holders.values()
            if not any(node.holder.may_act(node.local_time(self.now), task) for node in nodes):
                self.checker.fail(f"no holder acts for '{task}' though all faults have ended")


def play(seed: int, scenario: LeaseScenario | None = None) -> LeaseChecker:
    """Plays one run and returns its checker. Raises InvariantViolationError."""
    return LeaseSimulation(seed, scenario or LeaseScenario()).run()
