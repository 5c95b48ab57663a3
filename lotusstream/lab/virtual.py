"""A quorum and its lease holders on a virtual clock, network and disk, with faults drawn from one seed.

All that can differ between two runs is drawn from `random.Random(seed)`: a failing seed fails again in the
same way. After every step the judge looks at what must hold.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lotusstream.lab.world import MS, InvariantViolationError, Node, S, Span, World
from lotusstream.leases import holder as hold
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
from lotusstream.quorum import events as ev
from lotusstream.quorum.messages import RaftRecord
from lotusstream.quorum.node import RaftNode
from lotusstream.quorum.replicated_log import PersistedState
from lotusstream.quorum.state import Role
from lotusstream.quorum.timing import RaftTiming

RAFT_TIMING = RaftTiming(100 * MS, 400 * MS, max_batch_bytes=300, compaction_entry_count=25)
LEASE_TIMING = LeaseTiming(2 * S, 250 * MS, 0.05)


@dataclass(frozen=True, slots=True, kw_only=True)
class Scene(Span):
    """What a run is made of. Times in microseconds."""

    quorum_size: int = 3
    holders: int = 3
    tasks: tuple[str, ...] = ("moves",)
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
    together: float = 0.1  # the share of crashes that take the whole quorum at once
    sync: int = 5 * MS  # the longest time of a sync
    read_interval: int = 400 * MS


@dataclass(slots=True)
class VirtualDisk:
    """What is synced is there after a crash; of the rest a beginning may be."""

    synced: list[RaftRecord] = field(default_factory=list)
    writing: list[ev.PersistRecords] = field(default_factory=list)
    changed: int = 0  # when something was last synced

    def sync(self, save: ev.PersistRecords) -> None:
        self.synced = ([] if save.replace_log else self.synced) + list(save.records)
        self.writing.remove(save)

    def crash(self, draw: random.Random) -> None:
        for save in self.writing:
            if save.replace_log:  # a rename: whole or not at all
                if draw.random() < 0.5:
                    self.synced = list(save.records)
                    continue
                break
            kept = draw.randint(0, len(save.records))
            self.synced += save.records[:kept]
            if kept < len(save.records):
                break
        self.writing.clear()


class QuorumNode(Node):
    def __init__(self, name: str, draw: random.Random, drift: float) -> None:
        super().__init__(name, draw, drift)
        self.disk = VirtualDisk()
        self.service: LeaseService | None = None
        self.applied: dict[int, Any] = {}
        self.wiped = False
        self.slow_disk = 0


class HolderNode(Node):
    def __init__(self, name: str, draw: random.Random, drift: float) -> None:
        super().__init__(name, draw, drift)
        self.holder: hold.LeaseHolder
        self.acting: dict[str, int] = {}


class Judge:
    """Knows nothing of the code under test but what it says and does."""

    def __init__(self, seed: int) -> None:
        self.seed, self.now = seed, 0
        self.leaders: dict[int, str] = {}
        self.log: dict[int, tuple[Any, bytes]] = {}
        self.tokens: dict[int, tuple[int, str]] = {}  # by index
        self.acts = self.grants = self.reads = 0
        self.newest = 0
        self.line: list[str] = []

    def fails(self, what: str) -> None:
        raise InvariantViolationError(f"seed {self.seed}, at {self.now / S:.3f} s: {what}")

    def leads(self, term: int, name: str) -> None:
        if self.leaders.setdefault(term, name) != name:
            self.fails(f"term {term} has two leaders, {self.leaders[term]} and {name}")

    def applied(self, name: str, index: int, kind: Any, data: bytes) -> None:
        if self.log.setdefault(index, (kind, data)) != (kind, data):
            self.fails(f"{name} applied something else at {index} than another keeper")

    def passed(self, name: str, index: int, granted: LeaseResult) -> None:
        if granted.is_new_grant:
            told = (granted.token, granted.holder)
            if index not in self.tokens:
                newest = max((each[0] for at, each in self.tokens.items() if at < index), default=0)
                if granted.token <= newest:
                    self.fails(f"token {granted.token} was granted after {newest}")
                self.grants += 1
                self.newest = max(self.newest, granted.token)
            if self.tokens.setdefault(index, told) != told:
                self.fails(f"{name} granted {told} at {index}, another keeper {self.tokens[index]}")

    def read(self, name: str, newest: int, seen: int) -> None:
        """`newest`: the highest token granted before the read began."""
        self.reads += 1
        if seen < newest:
            self.fails(f"{name} read token {seen} after {newest} was granted")

    def acting(self, task: str, acting: list[tuple[str, int]]) -> None:
        self.acts += len(acting)
        if len(acting) > 1:
            self.fails(f"{' and '.join(f'{who} (token {token})' for who, token in acting)} act for '{task}'")


class VirtualFleet(World):
    def __init__(self, seed: int, scene: Scene) -> None:
        super().__init__(seed, scene)
        self.scene, self.judge = scene, Judge(seed)
        drift = scene.lease_timing.max_clock_drift_ratio
        self.quorum_nodes = {f"k{i}": QuorumNode(f"k{i}", self.draw, drift) for i in range(scene.quorum_size)}
        self.holders = {f"g{i}": HolderNode(f"g{i}", self.draw, drift) for i in range(scene.holders)}
        self._incarnation_count = 0
        for holder in self.holders.values():
            holder.holder = self._holder(holder)
        for keeper in self.quorum_nodes.values():
            self._start_quorum_node(keeper)
        for holder in self.holders.values():
            self._start_holder(holder)

    # The run

    def run(self) -> Judge:
        self.at(self.scene.read_interval, self._read)
        self.play()
        self._check_liveness()
        return self.judge

    def nodes(self) -> list[Node]:
        return [*self.quorum_nodes.values(), *self.holders.values()]

    # Keepers

    def _start_quorum_node(self, node: QuorumNode) -> None:
        node.up, node.stopped, node.run = True, False, node.run + 1
        node.waiting.clear()
        self._incarnation_count += 1
        disk = PersistedState(node.disk.synced)
        keeper = RaftNode(
            node.name,
            disk,
            f"d{self._incarnation_count}",
            list(self.quorum_nodes),
            self.scene.raft_timing,
            self.seed * 1000 + node.run,
            node.clock(self.now),
        )
        node.service = LeaseService(keeper, self.scene.lease_timing)
        self._handle_quorum_event(node, ev.RaftTimeAdvanced())

    def _handle_quorum_event(self, node: QuorumNode, event: Any) -> None:
        assert node.service is not None
        for action in node.service.handle(node.clock(self.now), event):
            self._carry_out(node, action)
        if node.service.node.role == Role.LEADER:
            self.judge.leads(node.service.node.term, node.service.node.incarnation)
        for index in range(max(1, node.service.node.applied_index - 3), node.service.node.applied_index + 1):
            if index > node.service.node.log.snapshot.index:
                entry = node.service.node.log.entry_at(index)
                self.judge.applied(node.name, index, (entry.term, entry.kind), entry.data)
        self._wake(
            node, node.service.next_timer_at, lambda: self._handle_quorum_event(node, ev.RaftTimeAdvanced())
        )

    def _carry_out(self, node: QuorumNode, action: Any) -> None:
        match action:
            case ev.PersistRecords():
                node.disk.writing.append(action)
                span = self.draw.randint(1 * MS, self.scene.sync) + node.slow_disk
                self.after(span, self._on(node, lambda: self._synced(node, action)))
            case ev.SendMessage(envelope):
                target = self.quorum_nodes[envelope.recipient]
                self._deliver(
                    node, target, lambda: self._handle_quorum_event(target, ev.MessageReceived(envelope))
                )
            case LeaseServiceReply(caller, _, _, _, _, done) if isinstance(caller, int):
                if done:
                    self.judge.read(node.name, caller, node.service.table.newest_token if node.service else 0)
            case LeaseServiceReply(caller, number, granted, leader):
                holder = self.holders[str(caller)]
                event: hold.LeaseHolderEvent = hold.LeaseReplyReceived(number, granted, leader)
                if number == LEASE_FREED_NUMBER and granted is not None:
                    event = hold.LeaseFreed(granted.task)
                self._deliver(node, holder, lambda: self._handle_holder_event(holder, event))
            case LeaseHolderChanged(index, granted):
                self.judge.passed(node.name, index, granted)

    def _synced(self, node: QuorumNode, save: ev.PersistRecords) -> None:
        """Group commit: all that was asked for before is on the disk as well."""
        while save in node.disk.writing:
            node.disk.sync(node.disk.writing[0])
        node.disk.changed = self.now
        self._handle_quorum_event(node, ev.RecordsPersisted(save.number))

    def _read(self) -> None:
        """From whoever takes itself for the leader, and it must know all that was granted before."""
        for node in self.quorum_nodes.values():
            leads = node.service is not None and node.service.node.role == Role.LEADER
            if leads and node.up and not node.stopped:
                self._handle_quorum_event(node, LeaseTableReadReceived(self.judge.newest, 0))
        self.after(self.scene.read_interval, self._read)

    # Holders

    def _start_holder(self, node: HolderNode) -> None:
        node.up, node.stopped, node.run = True, False, node.run + 1
        node.waiting.clear()
        node.holder = self._holder(node)
        for task in self.scene.tasks:
            self._handle_holder_event(node, hold.LeaseWanted(task))

    def _holder(self, node: HolderNode) -> hold.LeaseHolder:
        session, members = f"{node.name}-{node.run}", list(self.quorum_nodes)
        return hold.LeaseHolder(node.name, session, members, self.scene.lease_timing, self.seed + node.run)

    def _handle_holder_event(self, node: HolderNode, event: Any) -> None:
        for action in node.holder.handle(node.clock(self.now), event):
            if isinstance(action, hold.SendLeaseOperation):
                target, asked = (
                    self.quorum_nodes[action.recipient],
                    LeaseOperationReceived(node.name, action.number, action.operation),
                )
                self._deliver(node, target, self._asking(target, asked))
        self._check_acting()
        self._wake(
            node, node.holder.next_timer_at, lambda: self._handle_holder_event(node, hold.LeaseTimeAdvanced())
        )

    def _asking(self, target: QuorumNode, asked: LeaseOperationReceived) -> Callable[[], None]:
        return lambda: self._handle_quorum_event(target, asked)

    def _check_acting(self) -> None:
        """Whoever could act at this moment; one that is stopped has looked before it was."""
        for task in self.scene.tasks:
            acting = []
            for node in self.holders.values():
                if node.up and not node.stopped:
                    token = node.holder.may_act(node.clock(self.now), task)
                    if token:
                        acting.append((node.name, token))
            self.judge.acting(task, acting)

    # Faults

    def _any_quorum_node(self) -> QuorumNode:
        return self.draw.choice(list(self.quorum_nodes.values()))

    def down(self, node: Node) -> None:
        if node.up and isinstance(node, QuorumNode):
            node.disk.crash(self.draw)
        super().down(node)

    def _restart(self, node: Node) -> None:
        self.down(node)
        self.back(node, S)

    def again(self, node: Node) -> None:
        if isinstance(node, QuorumNode):
            self._start_quorum_node(node)
        elif isinstance(node, HolderNode):
            self._start_holder(node)

    def _fault_crash(self) -> None:
        nodes: list[Node] = (
            list(self.quorum_nodes.values()) if self.draw.random() < self.scene.together else [self._any()]
        )
        for node in nodes:
            self.down(node)
            self.back(node, 2 * S)

    def _fault_wipe(self) -> None:
        """One disk at a time, and the next one only once its group is whole again."""
        if not self._is_complete():
            return
        node = self._any_quorum_node()
        self.down(node)
        node.disk = VirtualDisk()
        self.back(node, S)

    def _fault_rollback(self) -> None:
        """To an older copy; all others are there when it comes back, and stay for a while, and what it
        held was told: a leader tells with its next heartbeat what is on its own disk."""
        if not self._is_complete() or self.cuts:
            return
        node = self._any_quorum_node()
        older = list(node.disk.synced)

        def roll() -> None:
            if not self._is_complete() or self.cuts or not node.up or node.disk.synced[: len(older)] != older:
                return
            if self.now - node.disk.changed < 3 * self.scene.raft_timing.heartbeat_us:
                return
            self.down(node)
            node.disk.synced = older
            self._calm_until = self.now + 2 * self.scene.raft_timing.election_timeout_us
            self.again(node)

        self.after(self.draw.randint(0, S), roll)

    def _is_complete(self) -> bool:
        """Every keeper is up, and a voter that has what the others agreed on."""
        services = [node.service for node in self.quorum_nodes.values() if node.up and not node.stopped]
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
        node = self._any_quorum_node()
        node.slow_disk = self.draw.choice((0, 50 * MS, 400 * MS))
        self.after(self.draw.randint(0, 3 * S), lambda: setattr(node, "slow_disk", 0))

    def _fault_leave(self) -> None:
        node = self._any_quorum_node()
        if node.up and not node.stopped:
            self._handle_quorum_event(node, ev.ShutdownRequested())
            self.after(300 * MS, self._on(node, lambda: self._restart(node)))

    def _fault_unwant(self) -> None:
        node, task = self.draw.choice(list(self.holders.values())), self.draw.choice(self.scene.tasks)
        if node.up and not node.stopped:
            heir = self.draw.choice(["", *self.holders])
            self._handle_holder_event(node, hold.LeaseUnwanted(task, heir))
            self.after(S, self._on(node, lambda: self._handle_holder_event(node, hold.LeaseWanted(task))))

    def _heal(self) -> None:
        for node in self.quorum_nodes.values():
            node.slow_disk = 0
        super()._heal()

    def _check_liveness(self) -> None:
        """Once faults have ended: one leader, whole, and somebody acts for every task."""
        if not any(
            node.service and node.service.node.role == Role.LEADER for node in self.quorum_nodes.values()
        ):
            self.judge.fails("no leader though all faults have ended")
        if not self._is_complete():
            self.judge.fails("a keeper has not caught up though all faults have ended")
        for task in self.scene.tasks:
            nodes = self.holders.values()
            if not any(node.holder.may_act(node.clock(self.now), task) for node in nodes):
                self.judge.fails(f"nobody acts for '{task}' though all faults have ended")


def play(seed: int, scene: Scene | None = None) -> Judge:
    """One run. Raises Broken."""
    return VirtualFleet(seed, scene or Scene()).run()
