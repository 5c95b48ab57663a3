"""Gateways that hold things for others on a virtual clock: machines lost with their disks, commands that are
repeated elsewhere, engines that count effects. The judge looks at every answer and every effect.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lotusstream.copies import manager as mg
from lotusstream.copies import messages as ms
from lotusstream.copies import replica as rp
from lotusstream.copies.manager import CopyTerms, Manager
from lotusstream.copies.messages import Assigned, Held, Holding
from lotusstream.copies.replica import Replicas, read_back
from lotusstream.copies.shards import Holder, Place, shard_of
from lotusstream.lab.world import MS, Node, S, Span, World
from lotusstream.leases.granter import LeaseTerms

TERMS = CopyTerms(3, 2, LeaseTerms(1 * S, 125 * MS, 0.05), 2, 4)


@dataclass(frozen=True, slots=True, kw_only=True)
class CopyScene(Span):
    """`retention`: how long a key is remembered."""

    length: int = 16 * S
    faults_end: int = 10 * S
    gateways: int = 5
    zones: int = 3
    clients: int = 4
    terms: CopyTerms = TERMS
    retention: int = 60 * S
    sync: int = 5 * MS
    repeat: float = 0.4  # the share of answered commands that are asked again
    patience: int = 1500 * MS  # of a client, until it asks another gateway
    faults: tuple[str, ...] = ("crash", "cut", "one-way", "stop", "lose", "lose", "manager", "power")


@dataclass(slots=True)
class Disk:
    synced: list[ms.Record] = field(default_factory=list)
    writing: list[rp.Save] = field(default_factory=list)


class GatewayNode(Node):
    def __init__(self, name: str, world: CopyWorld) -> None:
        super().__init__(name, world.draw, world.scene.terms.leases.drift)
        self.disk, self.disk_name = Disk(), ""
        self.replicas: Replicas
        self.holder: Holder
        self.flows: dict[int, Flow] = {}
        self.beacon: dict[str, int] = {}
        self.homes: dict[int, Place] = {}  # as this gateway last heard


class Flow:
    """One command at one gateway."""

    def __init__(self, key: str, client: str, asked: int) -> None:
        self.key, self.client, self.asked = key, client, asked
        self.step, self.tries, self.answer = "claim", 0, b""
        self.holding: Holding | None = None
        self.ticket = self.tried = 0


class ClientNode(Node):
    def __init__(self, name: str, world: CopyWorld) -> None:
        super().__init__(name, world.draw, 0.0)
        self.key, self.number, self.told, self.tries = "", 0, b"", 0


class CopyJudge:
    def __init__(self, world: CopyWorld) -> None:
        self._world = world
        self.effects: dict[str, int] = {}
        self.answers: dict[str, bytes] = {}
        self.answered_at: dict[str, int] = {}
        self.promises = self.repeats = self.unknown = self.lost_machines = 0

    def effect(self, key: str) -> int:
        self.effects[key] = self.effects.get(key, 0) + 1
        if self.effects[key] > 1:
            self._world.fails(f"{key} took effect twice")
        return self.effects[key]

    def answered(self, key: str, answer: bytes) -> None:
        known = self.answers.setdefault(key, answer)
        self.answered_at.setdefault(key, self._world.now)
        if known != answer:
            self._world.fails(f"{key} was answered {answer!r} after {known!r}")
        self.promises += 1

    def unsure(self, key: str, asked: int) -> None:
        """'It may have run': wrong where an answer was given before that was asked."""
        self.unknown += 1
        if self.answered_at.get(key, asked) < asked:
            self._world.fails(f"{key} was answered and is not known any more")


class CopyWorld(World):
    def __init__(self, seed: int, scene: CopyScene) -> None:
        super().__init__(seed, scene)
        self.scene, self.judge = scene, CopyJudge(self)
        self.agreed: dict[int, Assigned] = {}
        self._disks = self._tickets = self._takes = 0
        self._asks: dict[int, GatewayNode] = {}
        self.gateways = {f"g{at}": GatewayNode(f"g{at}", self) for at in range(scene.gateways)}
        self.clients = {f"c{at}": ClientNode(f"c{at}", self) for at in range(scene.clients)}
        self.chief = Node("manager", self.draw, scene.terms.leases.drift)
        self.manager: Manager
        for gateway in self.gateways.values():
            self.again(gateway)
        self.again(self.chief)
        for client in self.clients.values():
            self.again(client)

    def nodes(self) -> list[Node]:
        return [*self.gateways.values(), self.chief]

    def run(self) -> CopyJudge:
        self.play()
        if not any(client.number > 2 for client in self.clients.values()):
            self.fails("hardly a command was answered")
        if not self._whole():
            self.fails("not all is copied again though all faults have ended")
        return self.judge

    # Processes

    def again(self, node: Node) -> None:
        node.up, node.stopped, node.run = True, False, node.run + 1
        node.waiting.clear()
        if isinstance(node, GatewayNode):
            if not node.disk_name:
                self._disks += 1
                node.disk_name = f"d{self._disks}"
            place, at = Place(node.name, node.disk_name), int(node.name[1:])
            node.holder = Holder(place, node.name, f"z{at % self.scene.zones}")
            shards, now = read_back(node.disk.synced), node.clock(self.now)
            session = f"{node.disk_name}.{node.run}"
            node.replicas = Replicas(place, session, self.scene.terms, shards, now)
            node.flows = {}
            self._beat(node)
            self._tick(node)
        elif node is self.chief:
            self.manager = Manager(self.scene.terms, self.agreed.values(), node.clock(self.now))
            self._manage()
        elif isinstance(node, ClientNode):
            self._next(node)

    def _tick(self, node: GatewayNode) -> None:
        self._tell(node, rp.Tick(self.now))
        self.after(40 * MS, self._on(node, lambda: self._tick(node)))

    def _tell(self, node: GatewayNode, event: Any) -> None:
        for action in node.replicas.handle(node.clock(self.now), event):
            match action:
                case rp.Save():
                    node.disk.writing.append(action)
                    span = self.draw.randint(MS, self.scene.sync)
                    self.after(span, self._on(node, self._syncing(node, action)))
                case rp.Say(to, word):
                    self._to_place(node, to, word)
                case rp.Promised(ticket):
                    self._outcome(node, ticket, "promised", None)
                case rp.Known(ticket, holding):
                    self._outcome(node, ticket, "known", holding)
                case rp.Unkept(ticket, _, _, maybe):
                    self._outcome(node, ticket, "maybe" if maybe else "unkept", None)

    def _syncing(self, node: GatewayNode, save: rp.Save) -> Callable[[], None]:
        def synced() -> None:
            while save in node.disk.writing:
                node.disk.synced += node.disk.writing.pop(0).records
            self._tell(node, rp.Persisted(save.number))

        return synced

    def _to_place(self, source: GatewayNode, to: Place, word: ms.AnyWord) -> None:
        target, place = self.gateways[to.name], source.holder.place

        def arrive() -> None:
            if target.disk_name == to.disk:
                self._tell(target, rp.Heard(place, word))

        self._deliver(source, target, arrive)

    # The manager, and beacons

    def _manage(self) -> None:
        self._decide(mg.Tick())
        self.after(50 * MS, self._on(self.chief, self._manage))

    def _decide(self, event: Any) -> None:
        for action in self.manager.handle(self.chief.clock(self.now), event):
            match action:
                case mg.Propose(assigned):
                    manager = self.manager
                    self.after(self.draw.randint(5 * MS, 30 * MS), self._agreeing(manager, assigned))
                case mg.Answer(place, session):
                    node = self.gateways[place.name]
                    self._deliver(self.chief, node, self._leasing(node, session))

    def _agreeing(self, manager: Manager, assigned: Assigned) -> Callable[[], None]:
        """The quorum: one after the other, whoever was proposed first."""

        def agree() -> None:
            known = self.agreed.get(assigned.shard)
            good = assigned.epoch == (known.epoch if known else 0) + 1
            if good:
                self.agreed[assigned.shard] = assigned
                for place in assigned.all:
                    self._learning(place, assigned)
            event = mg.Agreed(assigned) if good else mg.NotAgreed(assigned.shard, known)
            if manager is self.manager and self.chief.up and not self.chief.stopped:
                self._decide(event)

        return agree

    def _learning(self, place: Place, assigned: Assigned) -> None:
        node = self.gateways[place.name]
        self._deliver(self.chief, node, lambda: self._tell(node, rp.Learnt(assigned)))

    def _leasing(self, node: GatewayNode, session: str) -> Callable[[], None]:
        def lease() -> None:
            sent = node.beacon.get(session)
            if sent is not None and session == node.replicas.session:
                self._tell(node, rp.LeaseFrom(sent))

        return lease

    def _beat(self, node: GatewayNode) -> None:
        """The lease counts from the beacon before the one that may be answered by now: never too late."""
        now = node.clock(self.now)
        joined = node.replicas.joined()
        beacon = mg.Beacon(node.holder, node.replicas.session, joined)
        node.beacon = {node.replicas.session: node.beacon.get("next", now), "next": now}
        self._deliver(node, self.chief, lambda: self._decide(beacon))
        homes = {shard: assigned.home for shard, assigned in self.agreed.items()}
        self._deliver(self.chief, node, lambda: node.homes.update(homes))
        for assigned in self.agreed.values():
            if node.holder.place in assigned.all and self.draw.random() < 0.3:
                self._learning(node.holder.place, assigned)
        self.after(200 * MS, self._on(node, lambda: self._beat(node)))

    # Commands

    def _next(self, client: ClientNode) -> None:
        again = client.key and self.draw.random() < self.scene.repeat
        if not again:
            client.number += 1
            client.key = f"{client.name}-{client.number}"
        else:
            self.judge.repeats += 1
        client.told, client.tries = b"", 0
        self._ask(client)

    def _ask(self, client: ClientNode) -> None:
        gateway = self.draw.choice(list(self.gateways.values()))
        client.tries += 1
        key, tries = client.key, client.tries
        self._deliver(client, gateway, lambda: self._take(gateway, Flow(key, client.name, self.now)))
        self.after(self.scene.patience, lambda: self._waited(client, key, tries))

    def _waited(self, client: ClientNode, key: str, tries: int) -> None:
        if (client.key, client.tries) == (key, tries) and not client.told:
            if tries < 6:
                self._ask(client)
            else:
                self._next(client)

    def _take(self, node: GatewayNode, flow: Flow) -> None:
        self._takes += 1  # one and the same claim may be made again, and no other one is taken for it
        by, until = f"{node.replicas.session}/{self._takes}", self.now + self.scene.retention
        holding = Holding(flow.key, "p", Held.SENT, by, until)
        flow.holding = holding
        self._try(node, flow)

    def _try(self, node: GatewayNode, flow: Flow) -> None:
        """Asks the shard's home, and again: until it is kept, or too late."""
        flow.tries += 1
        if flow.tries > 12:
            return
        self._tickets += 1
        flow.ticket = ticket = self._tickets
        flow.tried = self.now
        node.flows[ticket] = flow
        place = node.homes.get(shard_of(flow.key, self.scene.terms.shards))
        assert flow.holding is not None
        kind = rp.Claim if flow.step == "claim" else rp.Finish
        event = kind(ticket, flow.holding, self.now)
        if place is not None:
            home = self.gateways[place.name]
            self._asks[ticket] = node
            self._deliver(node, home, lambda: self._tell(home, event))

        def late() -> None:
            if node.flows.pop(ticket, None) is flow and flow.ticket == ticket:
                self._try(node, flow)

        self.after(300 * MS, self._on(node, late))

    def _outcome(self, home: GatewayNode, ticket: int, what: str, holding: Holding | None) -> None:
        node = self._asks.pop(ticket, None)
        if node is None:
            return

        def heard() -> None:
            flow = node.flows.pop(ticket, None)
            if flow is not None and flow.ticket == ticket:
                self._went(node, flow, what, holding)

        self._deliver(home, node, heard)

    def _went(self, node: GatewayNode, flow: Flow, what: str, holding: Holding | None) -> None:
        if what == "promised" and flow.step == "claim":
            flow.step = "send"
            self.after(self.draw.randint(5 * MS, 100 * MS), self._on(node, lambda: self._ran(node, flow)))
        elif what == "promised" and flow.holding is not None:
            self._reply(node, flow, flow.holding.answer)
        elif what == "known" and holding is not None:
            if holding.state is Held.ANSWERED:
                self._reply(node, flow, holding.answer)
            elif flow.step == "claim":
                self.judge.unsure(flow.key, flow.tried)
        else:
            self.after(100 * MS, self._on(node, lambda: self._try(node, flow)))

    def _ran(self, node: GatewayNode, flow: Flow) -> None:
        """The engine has done it, once and for all."""
        number = self.judge.effect(flow.key)
        answer = f"{flow.key} by {node.name} {number}".encode()
        old = flow.holding
        assert old is not None
        flow.holding = Holding(old.key, old.print, Held.ANSWERED, old.gateway, old.until, answer)
        flow.step, flow.tries = "finish", 0
        self._try(node, flow)

    def _reply(self, node: GatewayNode, flow: Flow, answer: bytes) -> None:
        client = self.clients[flow.client]
        self.judge.answered(flow.key, answer)

        def heard() -> None:
            if client.key == flow.key and not client.told:
                client.told = answer
                self.after(self.draw.randint(10 * MS, 300 * MS), lambda: self._next(client))

        self._deliver(node, client, heard)

    # Faults

    def down(self, node: Node) -> None:
        if node.up and isinstance(node, GatewayNode):
            for save in node.disk.writing:
                kept = self.draw.randint(0, len(save.records))
                node.disk.synced += save.records[:kept]
                if kept < len(save.records):
                    break
            node.disk.writing.clear()
        super().down(node)

    def _fault_crash(self) -> None:
        node = self.draw.choice(list(self.gateways.values()))
        self.down(node)
        self.back(node, 2 * S)

    def _fault_power(self) -> None:
        for node in self.gateways.values():
            self.down(node)
            self.back(node, 2 * S)

    def _fault_manager(self) -> None:
        """Another one begins only once the lease of the first is over."""
        self.down(self.chief)
        self.after(1200 * MS, lambda: None if self.chief.up else self.again(self.chief))

    def _intact(self, place: Place) -> bool:
        return self.gateways[place.name].disk_name == place.disk

    def _fault_lose(self) -> None:
        """A machine with its disk, where another that counts has all that it held."""
        node = self.draw.choice(list(self.gateways.values()))
        for assigned in self.agreed.values():
            counted = [each for each in (assigned.home, *assigned.backups) if self._intact(each)]
            if node.holder.place in counted and len(counted) < 2:
                return
        self.judge.lost_machines += 1
        self.down(node)
        node.disk, node.disk_name = Disk(), ""
        self.back(node, 2 * S)

    def _whole(self) -> bool:
        terms = self.scene.terms
        return len(self.agreed) == terms.shards and all(
            1 + len(each.backups) == terms.copies and not each.joining and all(map(self._intact, each.all))
            for each in self.agreed.values()
        )


def play(seed: int, scene: CopyScene | None = None) -> CopyJudge:
    """One run. Raises Broken."""
    return CopyWorld(seed, scene or CopyScene()).run()
