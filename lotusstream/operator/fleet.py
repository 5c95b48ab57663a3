"""The fleet of an operator file: keepers of the quorum, leases and the tasks that this gateway may have."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from lotusstream.leases.granter import LeaseTerms
from lotusstream.operator.grammar import Word
from lotusstream.operator.problems import Problem, nearest
from lotusstream.operator.tree import Argument, Directive, Node, Unfit, name, number, path, share, time
from lotusstream.operator.units import write_time
from lotusstream.quorum.keeper import Pace

MS, SECOND = 1_000, 1_000_000
LEASE, DRIFT, HEARTBEAT, PATIENCE = 10 * SECOND, 0.02, 100 * MS, SECOND
MOVES = "moves"
TASKS = {MOVES: "who begins moves of tenants between cells"}  # what a gateway may act for, and what it means


@dataclass(frozen=True, slots=True)
class KeeperAddress:
    name: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class FleetText:
    """Times in microseconds. `store`: the folder of this gateway's log, if it is a keeper. `listen`: where it
    takes peers, instead of its address in `keepers`."""

    group: str
    keepers: tuple[KeeperAddress, ...]
    store: str | None
    listen: tuple[str, int] | None
    pace: Pace
    leases: LeaseTerms
    patience: int
    callers: int
    tasks: tuple[str, ...]

    def descriptors(self, name: str) -> int:
        """How many the gateway of this name needs for it at most."""
        return len(self.keepers) + 4 + (self.callers + 4 if self.keeper(name) else 0)

    def keeper(self, name: str) -> KeeperAddress | None:
        return next((each for each in self.keepers if each.name == name), None)


def address(word: Word) -> tuple[str, int]:
    host, _, port = word.plain().rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise Unfit(f"found '{word.text}'", "host:port would do, as in 10.0.0.4:7100")
    return host, int(port)


def task_names(words: Sequence[Word]) -> tuple[str, ...]:
    if not words:
        raise Unfit("found the end of the line", f"one of {', '.join(TASKS)} would do")
    for word in words:
        if word.plain() not in TASKS:
            raise Unfit(f"found '{word.text}'", nearest(word.plain(), TASKS), word.column)
    return tuple(word.plain() for word in words)


FLEET = {
    each.keyword: each
    for each in (
        Directive("group", "the name that all gateways of this fleet say", (Argument("a name", name),),
                  required=True),
        Directive("keeper", "a gateway that keeps the quorum's log, by its name, and where peers reach it",
                  (Argument("a name", name), Argument("an address", address)), many=True, required=True),
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


def fleet_of(file: str, block: Node) -> tuple[FleetText, list[Problem]]:
    keepers = tuple(
        KeeperAddress(node.values["a name"], *node.values["an address"]) for node in block.all("keeper")
    )
    beat = block.value("heartbeat", "a time", HEARTBEAT)
    election = block.value("election", "a time", 5 * beat)
    length = block.value("lease", "a time", LEASE)
    drift = block.value("drift", "a share", DRIFT)
    least = LeaseTerms(length, 0, drift).least_margin()
    found = FleetText(
        block.value("group", "a name", ""),
        keepers,
        block.value("store", "a path"),
        block.value("listen", "an address"),
        Pace(beat, election),
        LeaseTerms(length, block.value("margin", "a time", max(length // 8, least)), drift),
        block.value("peer-patience", "a time", PATIENCE),
        block.value("peers-most", "a number", 256),
        block.value("tasks", "rest", ()),
    )
    return found, list(_wrong(file, block, found))


def _wrong(file: str, block: Node, told: FleetText) -> Iterator[Problem]:
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
    pace, terms = told.pace, told.leases
    if pace.heartbeat < MS:
        yield wrong("heartbeat", "a heartbeat under 1ms", f"{write_time(HEARTBEAT)} would do")
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


def unfit_fleet(file: str, block: Node, told: FleetText, gateway: str) -> Iterator[Problem]:
    """What does not go with the gateway's own name."""
    if told.keeper(gateway) is not None and told.store is None:
        what = f"'{gateway}' is a keeper and has no store"
        yield Problem(file, block.line, block.column, what, "name a folder: store PATH")
