"""The `fleet` block of an operator file: Raft nodes (`keeper`), replicas (`holder`), leases, and the tasks
whose leases this gateway may request."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from lotusstream.copies.options import ReplicationOptions
from lotusstream.copies.shards import DEFAULT_SHARD_COUNT
from lotusstream.healthcheck.reports import HealthCheckOptions
from lotusstream.leases.expiry import LeaseTiming
from lotusstream.operator.grammar import ValueToken
from lotusstream.operator.problems import Problem, suggest
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
from lotusstream.operator.units import MILLISECOND_US, SECOND_US, write_time
from lotusstream.quorum.timing import RaftTiming

MIN_HEALTH_CHECK_INTERVAL_US = 100 * MILLISECOND_US
DEFAULT_REPAIR_BYTES_PER_S = 8 << 20
DEFAULT_ANTI_ENTROPY_INTERVAL_US = 3600 * SECOND_US
DEFAULT_LEASE_DURATION_US = 10 * SECOND_US
DEFAULT_CLOCK_DRIFT_RATIO = 0.02
DEFAULT_HEARTBEAT_US = 100 * MILLISECOND_US
DEFAULT_PEER_TIMEOUT_US = SECOND_US
DEFAULT_MAX_PEER_CONNECTION_COUNT = 256
DEFAULT_REPAIR_COUNT = 4  # shards that get a new replica at the same time
MIGRATION_TASK = "moves"
SHARD_CONTROL_TASK = "copies"
HEALTH_CHECK_TASK = "examine"
# Tasks of the fleet, each with a lease: only the lease holder acts for the task.
TASK_DESCRIPTIONS = {
    MIGRATION_TASK: "starts migrations of tenants between cells",
    SHARD_CONTROL_TASK: "assigns shards to replicas",
    HEALTH_CHECK_TASK: "runs the health checks of endpoints for all gateways",
}


@dataclass(frozen=True, slots=True)
class QuorumMemberAddress:
    """A Raft node, and the address at which other gateways connect to it."""

    name: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class ReplicaAddress(QuorumMemberAddress):
    """A gateway that stores replicas of shards, and its failure domains."""

    machine: str  # name of the machine; it holds at most one replica of a shard
    zone: str  # name of the zone


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """A checked `fleet` block."""

    group: str  # name of the fleet; connections from gateways of another group are rejected
    quorum_members: tuple[QuorumMemberAddress, ...]
    store: str | None  # path of the directory of this gateway's logs; None: it stores nothing
    # Host and port on which this gateway listens for other gateways; None: the address that the block names
    # for this gateway.
    listen: tuple[str, int] | None
    raft_timing: RaftTiming
    lease_timing: LeaseTiming
    peer_timeout_us: int  # timeout for another gateway that is slow or silent, microseconds
    max_peer_connections: int  # greatest number of open connections from other gateways
    tasks: tuple[str, ...]  # names of the tasks whose leases this gateway requests
    replicas: tuple[ReplicaAddress, ...] = ()
    copies: ReplicationOptions | None = None  # settings of the replicated shards; None: no replication
    # Time for which idempotency records are kept, microseconds; None: none are written.
    idempotency_retention_us: int | None = None
    health_checks: HealthCheckOptions | None = None  # settings of health checks; None: there are none

    def descriptors(self, name: str) -> int:
        """Returns an upper limit of the file descriptors that the gateway with this name opens for the fleet:
        for connections to and from other gateways, health checks, and a few others."""
        is_server = self.quorum_member(name) or self.replica(name)
        server_count = self.max_peer_connections + 4 if is_server else 0
        does_health_checks = self.health_checks is not None and HEALTH_CHECK_TASK in self.tasks
        check_count = (
            self.health_checks.max_concurrent_checks if self.health_checks and does_health_checks else 0
        )
        return len({*self.quorum_members, *self.replicas}) + 4 + server_count + check_count

    def replica(self, name: str) -> ReplicaAddress | None:
        """Returns the replica with this name, or None."""
        return next((each for each in self.replicas if each.name == name), None)

    def quorum_member(self, name: str) -> QuorumMemberAddress | None:
        """Returns the Raft node with this name, or None."""
        return next((each for each in self.quorum_members if each.name == name), None)


def address(token: ValueToken) -> tuple[str, int]:
    """Converts HOST:PORT. Raises DirectiveError."""
    host, _, port = token.unquoted().rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise DirectiveError(f"got '{token.text}'", "expected host:port, such as 10.0.0.4:7100")
    return host, int(port)


def task_names(tokens: Sequence[ValueToken]) -> tuple[str, ...]:
    """Accepts one or more task names. Raises DirectiveError."""
    if not tokens:
        raise DirectiveError("got the end of the line", f"expected one of {', '.join(TASK_DESCRIPTIONS)}")
    for token in tokens:
        if token.unquoted() not in TASK_DESCRIPTIONS:
            raise DirectiveError(
                f"got '{token.text}'", suggest(token.unquoted(), TASK_DESCRIPTIONS), token.column
            )
    return tuple(token.unquoted() for token in tokens)


FLEET_DIRECTIVES = {
    each.keyword: each
    for each in (
        Directive("group", "the name of the fleet, the same on all of its gateways",
                  (Argument("a name", name),), required=True),
        Directive("keeper", "a Raft node: the name of its gateway, and the address for peers",
                  (Argument("a name", name), Argument("an address", address)), many=True, required=True),
        Directive("holder", "a gateway that stores replicas: its name, address for peers, machine and zone",
                  (Argument("a name", name), Argument("an address", address),
                   Argument("a machine", name, after="machine"), Argument("a zone", name, after="zone")),
                  many=True),
        Directive("copies",
                  "the number of replicas of a shard, and how many have to store a record to commit it",
                  (Argument("a number", number(2, 7)), Argument("a promise", number(2, 7), after="promise"))),
        Directive("shards", "the number of shards; it can't be changed later",
                  (Argument("a number", number(1, 512)),)),
        Directive("repairs", "how many shards may get a new replica at the same time",
                  (Argument("a number", number(1, 512)),)),
        Directive("repair-pace", "the bytes per second that a gateway sends to replicas that catch up",
                  (Argument("a size", size),)),
        Directive("scrub", "the time in which a primary compares all of its shards with their replicas",
                  (Argument("a time", time),)),
        Directive("remember", "how long idempotency records are kept", (Argument("a time", time),)),
        Directive("examine", "the interval of the health checks of each endpoint",
                  (Argument("a time", time),)),
        Directive("holds", "the most bytes of replicas that a gateway stores; default: no limit",
                  (Argument("a size", size),)),
        Directive("store", "the directory of this gateway's logs", (Argument("a path", path),)),
        Directive("listen", "where this gateway listens for others; default: its keeper or holder address",
                  (Argument("an address", address),)),
        Directive("heartbeat", "the time between two heartbeats of the leader", (Argument("a time", time),)),
        Directive("election", "the shortest time without a leader before an election",
                  (Argument("a time", time),)),
        Directive("lease", "the duration of a lease without a renewal", (Argument("a time", time),)),
        Directive("margin", "how long before the end of its lease a lease holder stops acting on it",
                  (Argument("a time", time),)),
        Directive("drift", "the share by which a clock may run fast or slow", (Argument("a share", share),)),
        Directive("peer-patience", "the timeout for another gateway that is slow or silent",
                  (Argument("a time", time),)),
        Directive("peers-most", "how many connections from other gateways may be open at once",
                  (Argument("a number", number(1, 4096)),)),
        Directive("tasks", "the tasks whose leases this gateway requests", rest=task_names),
    )
}  # fmt: skip


def read_fleet_settings(file: str, block: Node) -> tuple[FleetSettings, list[Problem]]:
    """Returns the settings of a `fleet` block, and its problems.

    :param file: path of the operator file, for the problems
    :param block: the `fleet` directive
    """
    lease_timing = _read_lease_timing(block)
    health_check_interval_us = block.value("examine", "a time")
    settings = FleetSettings(
        group=block.value("group", "a name", ""),
        quorum_members=tuple(
            QuorumMemberAddress(node.values["a name"], *node.values["an address"])
            for node in block.all("keeper")
        ),
        store=block.value("store", "a path"),
        listen=block.value("listen", "an address"),
        raft_timing=_read_raft_timing(block),
        lease_timing=lease_timing,
        peer_timeout_us=block.value("peer-patience", "a time", DEFAULT_PEER_TIMEOUT_US),
        max_peer_connections=block.value("peers-most", "a number", DEFAULT_MAX_PEER_CONNECTION_COUNT),
        tasks=block.value("tasks", "rest", ()),
        replicas=tuple(_read_replica(node) for node in block.all("holder")),
        copies=_read_copies(block, lease_timing),
        idempotency_retention_us=block.value("remember", "a time"),
        health_checks=HealthCheckOptions(health_check_interval_us) if health_check_interval_us else None,
    )
    return settings, list(_FleetChecker(file, block, settings).problems())


def _read_raft_timing(block: Node) -> RaftTiming:
    heartbeat_us = block.value("heartbeat", "a time", DEFAULT_HEARTBEAT_US)
    return RaftTiming(heartbeat_us, block.value("election", "a time", 5 * heartbeat_us))


def _read_lease_timing(block: Node) -> LeaseTiming:
    duration_us = block.value("lease", "a time", DEFAULT_LEASE_DURATION_US)
    drift = block.value("drift", "a share", DEFAULT_CLOCK_DRIFT_RATIO)
    min_margin_us = LeaseTiming(duration_us, 0, drift).min_safety_margin_us()
    margin_us = block.value("margin", "a time", max(duration_us // 8, min_margin_us))
    return LeaseTiming(duration_us, margin_us, drift)


def _read_replica(node: Node) -> ReplicaAddress:
    values = node.values
    host, port = values["an address"]
    return ReplicaAddress(values["a name"], host, port, values["a machine"], values["a zone"])


def _read_copies(block: Node, leases: LeaseTiming) -> ReplicationOptions | None:
    if (node := block.one("copies")) is None:
        return None
    shards = block.value("shards", "a number", DEFAULT_SHARD_COUNT)
    repairs = block.value("repairs", "a number", DEFAULT_REPAIR_COUNT)
    max_bytes = block.value("holds", "a size", 0)
    rate = block.value("repair-pace", "a size", DEFAULT_REPAIR_BYTES_PER_S)
    copies, promise = node.values["a number"], node.values["a promise"]
    scrub = block.value("scrub", "a time", DEFAULT_ANTI_ENTROPY_INTERVAL_US)
    return ReplicationOptions(
        copies,
        promise,
        leases,
        repairs,
        shards,
        max_bytes=max_bytes,
        catch_up_bytes_per_s=rate,
        anti_entropy_interval=scrub,
    )


@dataclass(frozen=True, slots=True)
class _FleetChecker:
    """Finds the problems of a `fleet` block whose directives are valid on their own."""

    file: str
    block: Node
    settings: FleetSettings

    def problems(self) -> Iterator[Problem]:
        yield from self._quorum_member_problems()
        yield from self._replica_problems()
        yield from self._health_check_problems()
        yield from self._raft_timing_problems()
        yield from self._lease_timing_problems()

    def _problem(self, keyword: str, message: str, hint: str, last: bool = False) -> Problem:
        """Returns a problem at the first (or last) directive with this keyword; without one, at the block."""
        nodes = self.block.all(keyword)
        node = self.block
        if nodes:
            node = nodes[-1] if last else nodes[0]
        return Problem(self.file, node.line, node.column, message, hint)

    def _quorum_member_problems(self) -> Iterator[Problem]:
        members = self.settings.quorum_members
        names = [member.name for member in members]
        count = len(members)
        if not 3 <= count <= 7:
            hint = "expected 3 to 7: 3 tolerate the loss of one, 5 of two, 7 of three"
            yield self._problem("keeper", f"got {count} keepers", hint, last=True)
        for node in self.block.all("keeper"):
            member_name = node.values["a name"]
            host, port = node.values["an address"]
            if names.count(member_name) > 1:
                message = f"keeper '{member_name}' is declared more than once"
                yield Problem(self.file, node.line, node.column, message, "declare each keeper once")
            if sum((member.host, member.port) == (host, port) for member in members) > 1:
                message = f"more than one keeper has the address {host}:{port}"
                yield Problem(self.file, node.line, node.column, message, "give each keeper its own address")

    def _replica_problems(self) -> Iterator[Problem]:
        settings = self.settings
        if settings.copies is not None:
            yield from self._copies_problems(settings.copies)
        elif settings.idempotency_retention_us is not None:
            hint = "add holders and the number of copies, such as copies 3 promise 2"
            yield self._problem("remember", "'remember' requires 'copies'", hint)
        elif settings.replicas or SHARD_CONTROL_TASK in settings.tasks:
            hint = "add the number of copies, such as copies 3 promise 2"
            yield self._problem(
                "holder", f"'holder' and the task '{SHARD_CONTROL_TASK}' require 'copies'", hint
            )

    def _copies_problems(self, copies: ReplicationOptions) -> Iterator[Problem]:
        machines = {replica.machine for replica in self.settings.replicas}
        if copies.commit_count > copies.replica_count:
            message = f"promise {copies.commit_count} is greater than copies {copies.replica_count}"
            yield self._problem("copies", message, "expected at most the number of copies")
        if len(machines) < copies.replica_count:
            message = f"copies {copies.replica_count}, but holders on {len(machines)} machines"
            yield self._problem(
                "copies",
                message,
                "declare holders on as many machines as copies: no two copies share a machine",
            )

    def _health_check_problems(self) -> Iterator[Problem]:
        options = self.settings.health_checks
        if options is None:
            if HEALTH_CHECK_TASK in self.settings.tasks:
                yield self._problem(
                    "tasks", f"task '{HEALTH_CHECK_TASK}' requires an interval", "add one, such as examine 1s"
                )
        elif options.interval_us < MIN_HEALTH_CHECK_INTERVAL_US:
            message = f"health check interval of {write_time(options.interval_us)} is too short"
            yield self._problem(
                "examine", message, f"expected {write_time(MIN_HEALTH_CHECK_INTERVAL_US)} or more"
            )

    def _raft_timing_problems(self) -> Iterator[Problem]:
        timing = self.settings.raft_timing
        if timing.heartbeat_us < MILLISECOND_US:
            hint = f"expected 1ms or more, such as {write_time(DEFAULT_HEARTBEAT_US)}"
            yield self._problem("heartbeat", "the heartbeat is shorter than 1ms", hint)
        if timing.election_timeout_us < 3 * timing.heartbeat_us:
            election, heartbeat = write_time(timing.election_timeout_us), write_time(timing.heartbeat_us)
            message = f"election time of {election} is too short for a heartbeat of {heartbeat}"
            minimum = write_time(3 * timing.heartbeat_us)
            yield self._problem(
                "election",
                message,
                f"expected {minimum} or more, so that one lost heartbeat starts no election",
            )

    def _lease_timing_problems(self) -> Iterator[Problem]:
        timing = self.settings.lease_timing
        election_timeout_us = self.settings.raft_timing.election_timeout_us
        if timing.duration_us < 4 * election_timeout_us:
            message = f"lease of {write_time(timing.duration_us)} is shorter than two elections and a renewal"
            yield self._problem("lease", message, f"expected {write_time(4 * election_timeout_us)} or more")
        if not 0 <= timing.max_clock_drift_ratio <= 0.2:
            yield self._problem(
                "drift", "the drift is too great for a usable clock", "expected 0% to 20%, such as 2%"
            )
        elif not timing.min_safety_margin_us() <= timing.safety_margin_us <= timing.duration_us // 2:
            margin = write_time(timing.safety_margin_us)
            message = f"margin of {margin} is shorter than the difference that clock drift may cause"
            if timing.safety_margin_us > timing.duration_us // 2:
                message = f"margin of {margin} leaves the holder less than half of the lease"
            minimum = write_time(-(-timing.min_safety_margin_us() // MILLISECOND_US) * MILLISECOND_US)
            yield self._problem(
                "margin", message, f"expected {minimum} to {write_time(timing.duration_us // 2)}"
            )


def find_gateway_problems(file: str, block: Node, fleet: FleetSettings, gateway: str) -> Iterator[Problem]:
    """Yields the problems that a `fleet` block has on the gateway with this name."""
    if (fleet.quorum_member(gateway) or fleet.replica(gateway)) and fleet.store is None:
        message = (
            f"'{gateway}' is a {'keeper' if fleet.quorum_member(gateway) else 'holder'} but has no store"
        )
        yield Problem(file, block.line, block.column, message, "add a directory: store PATH")
