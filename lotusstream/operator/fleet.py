"""The fleet of an operator file: keepers of the quorum, leases and the tasks that this gateway may have."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from lotusstream.copies.options import ReplicationOptions
from lotusstream.copies.shards import DEFAULT_SHARD_COUNT
from lotusstream.healthcheck.reports import HealthCheckOptions
from lotusstream.leases.granter import LeaseTiming
from lotusstream.operator.grammar import Word
from lotusstream.operator.problems import Problem, nearest
from lotusstream.operator.tree import (
    Argument,
    Directive,
    DirectiveError,
    Node,
    name,
    number,
    path,
    share,
    size,
    time,
)
from lotusstream.operator.units import write_time
from lotusstream.quorum.node import RaftTiming

MS, SECOND = 1_000, 1_000_000
MIN_HEALTH_CHECK_INTERVAL_US = 100 * MS
DEFAULT_REPAIR_BYTES_PER_S = 8 << 20  # bytes a second
DEFAULT_ANTI_ENTROPY_INTERVAL_US = 3600 * 1_000_000
DEFAULT_LEASE_DURATION_US = 10 * SECOND
DEFAULT_CLOCK_DRIFT_RATIO = 0.02
DEFAULT_HEARTBEAT_US = 100 * MS
DEFAULT_PEER_TIMEOUT_US = SECOND
MIGRATION_TASK = "moves"
SHARD_CONTROL_TASK = "copies"
HEALTH_CHECK_TASK = "examine"
TASK_DESCRIPTIONS = {
    MIGRATION_TASK: "who begins moves of tenants between cells",
    SHARD_CONTROL_TASK: "who decides where copies are held",
    HEALTH_CHECK_TASK: "who examines engines for all",
}  # what a gateway may act for, and what it means


@dataclass(frozen=True, slots=True)
class QuorumMemberAddress:
    name: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class ReplicaAddress(QuorumMemberAddress):
    """A gateway that holds things for others, where, and what may be lost with it."""

    machine: str
    zone: str


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Times in microseconds. `store`: the folder of this gateway's log, if it is a keeper. `listen`: where it
    takes peers, instead of its address in `keepers`."""

    group: str
    keepers: tuple[QuorumMemberAddress, ...]
    store: str | None
    listen: tuple[str, int] | None
    pace: RaftTiming
    leases: LeaseTiming
    patience: int
    callers: int
    tasks: tuple[str, ...]
    holders: tuple[ReplicaAddress, ...] = ()
    copies: ReplicationOptions | None = None
    remember: int | None = None  # how long a command with a mark is known to all gateways
    examine: HealthCheckOptions | None = None

    def descriptors(self, name: str) -> int:
        """How many the gateway of this name needs for it at most."""
        serves = self.keeper(name) or self.holder(name)
        looks = self.examine.most if self.examine is not None and HEALTH_CHECK_TASK in self.tasks else 0
        return len({*self.keepers, *self.holders}) + 4 + (self.callers + 4 if serves else 0) + looks

    def holder(self, name: str) -> ReplicaAddress | None:
        return next((each for each in self.holders if each.name == name), None)

    def keeper(self, name: str) -> QuorumMemberAddress | None:
        return next((each for each in self.keepers if each.name == name), None)


def address(word: Word) -> tuple[str, int]:
    host, _, port = word.plain().rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise DirectiveError(f"found '{word.text}'", "host:port would do, as in 10.0.0.4:7100")
    return host, int(port)


def task_names(words: Sequence[Word]) -> tuple[str, ...]:
    if not words:
        raise DirectiveError("found the end of the line", f"one of {', '.join(TASK_DESCRIPTIONS)} would do")
    for word in words:
        if word.plain() not in TASK_DESCRIPTIONS:
            raise DirectiveError(
                f"found '{word.text}'", nearest(word.plain(), TASK_DESCRIPTIONS), word.column
            )
    return tuple(word.plain() for word in words)


FLEET_DIRECTIVES = {
    each.keyword: each
    for each in (
        Directive("group", "the name that all gateways of this fleet say", (Argument("a name", name),),
                  required=True),
        Directive("keeper", "a gateway that keeps the quorum's log, by its name, and where peers reach it",
                  (Argument("a name", name), Argument("an address", address)), many=True, required=True),
        Directive("holder", "a gateway that holds things for others, and what may be lost together",
                  (Argument("a name", name), Argument("an address", address),
                   Argument("a machine", name, after="machine"), Argument("a zone", name, after="zone")),
                  many=True),
        Directive("copies", "on how many disks things are held, and from how many on they are promised",
                  (Argument("a number", number(2, 7)), Argument("a promise", number(2, 7), after="promise"))),
        Directive("shards", "into how many shards keys are divided; the same for good",
                  (Argument("a number", number(1, 512)),)),
        Directive("repairs", "how many shards are copied anew at a time",
                  (Argument("a number", number(1, 512)),)),
        Directive("repair-pace", "how many bytes a second a holder gives to all that it fills",
                  (Argument("a size", size),)),
        Directive("scrub", "the time in which all that is held is read again, and compared with its copies",
                  (Argument("a time", time),)),
        Directive("remember", "how long answers of commands with a mark are held for their repeats",
                  (Argument("a time", time),)),
        Directive("examine", "how often one gateway asks each engine, for all, whether it answers",
                  (Argument("a time", time),)),
        Directive("holds", "for how many bytes of others a holder has room; without it there is no bound",
                  (Argument("a size", size),)),
        Directive("store", "the folder of this keeper's log", (Argument("a path", path),)),
        Directive("listen", "where this keeper takes peers, if not at its own address above",
                  (Argument("an address", address),)),
        Directive("heartbeat", "the time between two words of the leader", (Argument("a time", time),)),
        Directive("election", "the least time without a leader until another stands",
                  (Argument("a time", time),)),
        Directive("lease", "how long a lease lasts without a renewal", (Argument("a time", time),)),
        Directive("margin", "how long before its end a holder stops", (Argument("a time", time),)),
        Directive("drift", "by how much a clock may run fast or slow", (Argument("a share", share),)),
        Directive("peer-patience", "how long a peer may be slow or silent", (Argument("a time", time),)),
        Directive("peers-most", "how many gateways may call this keeper at once",
                  (Argument("a number", number(1, 4096)),)),
        Directive("tasks", "what this gateway acts for when nobody else does", rest=task_names),
    )
}  # fmt: skip


def read_fleet_settings(file: str, block: Node) -> tuple[FleetSettings, list[Problem]]:
    keepers = tuple(
        QuorumMemberAddress(node.values["a name"], *node.values["an address"]) for node in block.all("keeper")
    )
    beat = block.value("heartbeat", "a time", DEFAULT_HEARTBEAT_US)
    election = block.value("election", "a time", 5 * beat)
    length = block.value("lease", "a time", DEFAULT_LEASE_DURATION_US)
    drift = block.value("drift", "a share", DEFAULT_CLOCK_DRIFT_RATIO)
    least = LeaseTiming(length, 0, drift).least_margin()
    margin = block.value("margin", "a time", max(length // 8, least))
    found = FleetSettings(
        block.value("group", "a name", ""),
        keepers,
        block.value("store", "a path"),
        block.value("listen", "an address"),
        RaftTiming(beat, election),
        LeaseTiming(length, margin, drift),
        block.value("peer-patience", "a time", DEFAULT_PEER_TIMEOUT_US),
        block.value("peers-most", "a number", 256),
        block.value("tasks", "rest", ()),
        tuple(
            ReplicaAddress(told["a name"], host, port, told["a machine"], told["a zone"])
            for told in (node.values for node in block.all("holder"))
            for host, port in (told["an address"],)
        ),
        _copies(block, LeaseTiming(length, margin, drift)),
        block.value("remember", "a time"),
        HealthCheckOptions(every) if (every := block.value("examine", "a time")) else None,
    )
    return found, list(_problems(file, block, found))


def _copies(block: Node, leases: LeaseTiming) -> ReplicationOptions | None:
    if (node := block.one("copies")) is None:
        return None
    shards = block.value("shards", "a number", DEFAULT_SHARD_COUNT)
    repairs = block.value("repairs", "a number", 4)
    most = block.value("holds", "a size", 0)
    rate = block.value("repair-pace", "a size", DEFAULT_REPAIR_BYTES_PER_S)
    copies, promise = node.values["a number"], node.values["a promise"]
    scrub = block.value("scrub", "a time", DEFAULT_ANTI_ENTROPY_INTERVAL_US)
    return ReplicationOptions(
        copies,
        promise,
        leases,
        repairs,
        shards,
        max_bytes=most,
        catch_up_bytes_per_s=rate,
        anti_entropy_interval=scrub,
    )


def _problems(file: str, block: Node, told: FleetSettings) -> Iterator[Problem]:
    def wrong(keyword: str, what: str, hint: str, last: bool = False) -> Problem:
        nodes = block.all(keyword)
        at = (nodes[-1] if last else nodes[0]) if nodes else block
        return Problem(file, at.line, at.column, what, hint)

    names = [each.name for each in told.keepers]
    count = len(told.keepers)
    if not 3 <= count <= 7:
        hint = "3 bear the loss of one, 5 of two, 7 of three"
        yield wrong("keeper", f"{count} keepers", hint, last=True)
    for node in block.all("keeper"):
        here, place = node.values["a name"], node.values["an address"]
        if names.count(here) > 1:
            what = f"keeper '{here}' is named twice"
            yield Problem(file, node.line, node.column, what, "name each keeper once")
        if sum((each.host, each.port) == place for each in told.keepers) > 1:
            what = f"two keepers at {place[0]}:{place[1]}"
            yield Problem(file, node.line, node.column, what, "give each its own address")
    if told.copies is not None:
        machines = {each.machine for each in told.holders}
        if told.copies.commit_count > told.copies.replica_count:
            what = f"a promise on {told.copies.commit_count} of {told.copies.replica_count} disks"
            yield wrong("copies", what, "no more than there are copies")
        if len(machines) < told.copies.replica_count:
            what = f"{told.copies.replica_count} copies on holders of {len(machines)} machines"
            yield wrong("copies", what, "name holders on as many machines: no two copies share one")
    elif told.remember is not None:
        yield wrong("remember", "nothing is held without 'copies'", "copies 3 promise 2, and holders")
    elif told.holders or SHARD_CONTROL_TASK in told.tasks:
        yield wrong("holder", "holders without 'copies'", "say on how many disks: copies 3 promise 2")
    if told.examine is None and HEALTH_CHECK_TASK in told.tasks:
        yield wrong("tasks", "nothing says how often engines are examined", "examine 1s")
    if told.examine is not None and told.examine.every < MIN_HEALTH_CHECK_INTERVAL_US:
        what = f"each engine examined every {write_time(told.examine.every)}"
        yield wrong("examine", what, f"{write_time(MIN_HEALTH_CHECK_INTERVAL_US)} or more would do")
    pace, terms = told.pace, told.leases
    if pace.heartbeat < MS:
        yield wrong("heartbeat", "a heartbeat under 1ms", f"{write_time(DEFAULT_HEARTBEAT_US)} would do")
    if pace.election < 3 * pace.heartbeat:
        what = (
            f"an election after {write_time(pace.election)}, with a heartbeat of {write_time(pace.heartbeat)}"
        )
        yield wrong(
            "election", what, f"{write_time(3 * pace.heartbeat)} or more: one lost word is no lost leader"
        )
    if terms.length < 4 * pace.election:
        what = f"a lease of {write_time(terms.length)} is shorter than two elections and a renewal"
        yield wrong("lease", what, f"{write_time(4 * pace.election)} or more would do")
    if not 0 <= terms.drift <= 0.2:
        yield wrong("drift", "no clock of use drifts that much", "2% would do")
    elif not terms.least_margin() <= terms.margin <= terms.length // 2:
        what = f"a margin of {write_time(terms.margin)}: two clocks that drift may differ by more"
        if terms.margin > terms.length // 2:
            what = f"a margin of {write_time(terms.margin)} leaves less than half of the lease to act in"
        least = write_time(-(-terms.least_margin() // MS) * MS)
        yield wrong("margin", what, f"{least} to {write_time(terms.length // 2)} would do")


def gateway_problems(file: str, block: Node, told: FleetSettings, gateway: str) -> Iterator[Problem]:
    """What does not go with the gateway's own name."""
    if (told.keeper(gateway) or told.holder(gateway)) and told.store is None:
        what = f"'{gateway}' is a {'keeper' if told.keeper(gateway) else 'holder'} and has no store"
        yield Problem(file, block.line, block.column, what, "name a folder: store PATH")
