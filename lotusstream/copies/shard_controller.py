"""Who holds what: decided by one gateway at a time, under a lease, and agreed in the quorum before it counts.

It gives every holder a lease of its own by answering its beacons, and calls one dead only when that lease has
run out by its own clock: a home that is cut off has stopped promising by then.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lotusstream.copies.messages import ShardAssignment
from lotusstream.copies.shards import DEFAULT_SHARD_COUNT, ReplicaHost, ReplicaId, choose_hosts
from lotusstream.leases.granter import LeaseTiming


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """`copies`: disks for each shard, home included; `promise`: on how many of them a promise has to be.
    `pace`: shards that are copied anew at a time. `shards`: into how many keys are divided. `part`: bytes
    that are told or written down as one, of what is copied whole. `most`: bytes that a holder has room for;
    0: no bound. `rate`: bytes a second that one holder gives to all that it fills; 0: no bound. `scrub`: the
    time in which a home compares all ranges of its shards with their copies; 0: never."""

    replica_count: int
    commit_count: int
    leases: LeaseTiming
    max_catch_ups: int = 4
    shard_count: int = DEFAULT_SHARD_COUNT
    part_bytes: int = 256 << 10
    max_bytes: int = 0
    catch_up_bytes_per_s: int = 0
    anti_entropy_interval: int = 0


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """`joined`: by shard, the epoch and those that its home has filled. `left`: this run promises nothing any
    more and is about to end. `yields`: by shard, the epoch and whose disk has more than this home's."""

    host: ReplicaHost
    session: str
    caught_up: Mapping[int, tuple[int, tuple[ReplicaId, ...]]] = field(default_factory=dict)
    shutting_down: bool = False
    more_advanced: Mapping[int, tuple[int, ReplicaId]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class AssignmentAgreed:
    """The quorum has taken an assignment; what it replaces is gone."""

    assignment: ShardAssignment


@dataclass(frozen=True, slots=True)
class AssignmentRejected:
    """It has not: another manager was quicker, or nothing is known. `now`: what is agreed on instead."""

    shard: int
    current: ShardAssignment | None


@dataclass(frozen=True, slots=True)
class AssignmentsLoaded:
    """All that is agreed on, after a LookUp."""

    assignments: tuple[ShardAssignment, ...]


@dataclass(frozen=True, slots=True)
class ControllerTimeAdvanced:
    pass


@dataclass(frozen=True, slots=True)
class MachinesDrained:
    """Machines that are to hold nothing: what they have goes elsewhere first. Agreed on before."""

    machines: frozenset[str]


Event = (
    HeartbeatReceived
    | AssignmentAgreed
    | AssignmentRejected
    | AssignmentsLoaded
    | MachinesDrained
    | ControllerTimeAdvanced
)


@dataclass(frozen=True, slots=True)
class ProposeAssignment:
    """To the quorum: in place of the epoch before it, or not at all."""

    assignment: ShardAssignment


@dataclass(frozen=True, slots=True)
class LoadAssignments:
    """What has the quorum? Once in a lease: an answer to a proposal may have been lost, and what was agreed
    on would not be known here for good."""


@dataclass(frozen=True, slots=True)
class GrantReplicaLease:
    """To a beacon: the holder's lease counts from before it sent it. `epochs`: of all shards; in those that
    are newer than it knows it is no home any more."""

    replica_id: ReplicaId
    session: str
    epochs: Mapping[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReportRedundancy:
    """For people: so many shards bear no further loss (`thin`), or have nobody left (`lost`)."""

    single_replica_count: int
    lost_count: int


Action = ProposeAssignment | LoadAssignments | GrantReplicaLease | ReportRedundancy


@dataclass(slots=True)
class _HostStatus:
    host: ReplicaHost
    session: str
    last_heartbeat_at: int
    shutting_down: bool


class ShardController:
    """`assigned`: as the quorum has it when this manager begins. Whoever may hold a lease from the manager
    before is waited for."""

    def __init__(self, terms: ReplicationOptions, assigned: Iterable[ShardAssignment], now: int) -> None:
        self._terms, self._began = terms, now
        self.assignments = {each.shard: each for each in assigned}
        self._seen: dict[ReplicaId, _HostStatus] = {}
        # proposals that nothing is known of yet, since when, and those that were not answered in time
        self._open: dict[int, tuple[int, ShardAssignment]] = {}
        self._doubted: dict[int, ShardAssignment] = {}
        self._now = self._looked = now
        self._told = (0, 0)
        self.drained_machines = frozenset[str]()

    def handle(self, now: int, event: Event) -> list[Action]:
        out: list[Action] = []
        self._now = now
        lost = now - self._terms.leases.length // 2  # its answer was: the quorum takes no epoch twice
        for shard, (since, proposed) in list(self._open.items()):
            if since <= lost:
                del self._open[shard]
                self._doubted[shard] = proposed
        match event:
            case HeartbeatReceived(holder, session, joined, left, yields):
                known = self._seen.get(holder.replica_id)
                left = left or (
                    known is not None and known.shutting_down and known.session == session
                )  # for good
                self._seen[holder.replica_id] = _HostStatus(holder, session, now, left)
                if not self._deposing(holder.replica_id):
                    epochs = {shard: each.epoch for shard, each in self.assignments.items()}
                    out.append(GrantReplicaLease(holder.replica_id, session, epochs))
                self._joined(joined, out)
                self._yielded(yields, out)
            case AssignmentAgreed(assigned):
                self._open.pop(assigned.shard, None)
                self._learn(assigned)
            case AssignmentRejected(shard, other):
                if (asked := self._open.pop(shard, None)) is not None:
                    self._doubted[shard] = asked[1]
                if other is not None:
                    self._learn(other)
            case MachinesDrained(machines):
                self.drained_machines = machines
            case AssignmentsLoaded(assigned):
                for each in assigned:
                    self._learn(each)
        if now - self._looked >= self._terms.leases.length:
            self._looked = now
            out.append(LoadAssignments())
        self._decide(now, out)
        return out

    def _learn(self, assigned: ShardAssignment) -> None:
        known = self.assignments.get(assigned.shard)
        if known is None or assigned.epoch > known.epoch:
            self.assignments[assigned.shard] = assigned
        doubted = self._doubted.get(assigned.shard)
        if doubted is not None and self.assignments[assigned.shard].epoch >= doubted.epoch:
            del self._doubted[assigned.shard]

    def _deposing(self, place: ReplicaId) -> bool:
        """Whether another home in its place may be agreed on by now: its lease is not to be made longer."""
        asked = [*(each for _, each in self._open.values()), *self._doubted.values()]
        return any(
            each.primary != place
            and (known := self.assignments.get(each.shard)) is not None
            and known.primary == place
            for each in asked
        )

    def _alive(self, now: int, place: ReplicaId) -> bool | None:
        """None where it can't be told yet: it may have a lease from the manager before."""
        seen = self._seen.get(place)
        if seen is not None:
            return now - seen.last_heartbeat_at < self._terms.leases.length and not seen.shutting_down
        return None if now - self._began < self._terms.leases.length else False

    def _stays(self, place: ReplicaId) -> bool:
        """Not on a machine that is to hold nothing."""
        seen = self._seen.get(place)
        return seen is None or seen.host.machine not in self.drained_machines

    def _propose(self, assigned: ShardAssignment, out: list[Action]) -> None:
        self._open[assigned.shard] = (self._now, assigned)
        out.append(ProposeAssignment(assigned))

    def _joined(self, joined: Mapping[int, tuple[int, tuple[ReplicaId, ...]]], out: list[Action]) -> None:
        """Filled by the home of this very epoch: from now on their disks count, and are waited for."""
        for shard, (epoch, places) in sorted(joined.items()):
            known = self.assignments.get(shard)
            if known is None or known.epoch != epoch or shard in self._open:
                continue
            ready = tuple(place for place in known.joining if place in places)
            if ready:
                left = tuple(place for place in known.joining if place not in places)
                backups = (*known.backups, *ready)
                next_one = ShardAssignment(shard, epoch + 1, known.primary, known.session, backups, left)
                self._propose(next_one, out)

    def _yielded(self, yields: Mapping[int, tuple[int, ReplicaId]], out: list[Action]) -> None:
        """The home's disk came back with less than a copy's: they change places."""
        for shard, (epoch, place) in sorted(yields.items()):
            known = self.assignments.get(shard)
            if known is None or known.epoch != epoch or place not in known.backups or shard in self._open:
                continue
            if self._alive(self._now, place):
                backups = (known.primary, *(each for each in known.backups if each != place))
                session = self._seen[place].session
                self._propose(ShardAssignment(shard, epoch + 1, place, session, backups, known.joining), out)

    def _decide(self, now: int, out: list[Action]) -> None:
        alive = [
            each.host
            for place, each in sorted(self._seen.items())
            if self._alive(now, place) and self._stays(place)
        ]
        if now - self._began >= self._terms.leases.length:  # all that there are have been heard by then
            for shard in range(self._terms.shard_count):
                if shard not in self.assignments and shard not in self._open:
                    self._first(shard, alive, out)
        for shard, proposed in list(self._doubted.items()):
            if shard not in self._open:  # agreed on or not: one of them is in the end
                self._propose(proposed, out)
        joining = sum(
            bool(each.joining and self._alive(now, each.primary)) for each in self.assignments.values()
        )
        for shard, known in sorted(
            self.assignments.items(), key=lambda each: (len(each[1].backups), each[0])
        ):
            if shard not in self._open and not self._mend(now, known, out):
                joining += self._fill_up(known, alive, joining, out)
        self._danger(now, out)

    def _first(self, shard: int, alive: list[ReplicaHost], out: list[Action]) -> None:
        """Nothing was ever held there: all begin empty, and alike."""
        found = choose_hosts(shard, alive, self._terms.replica_count)
        if len(found) >= self._terms.commit_count:
            home, *rest = (each.replica_id for each in found)
            session = self._seen[home].session
            self._propose(ShardAssignment(shard, 1, home, session, tuple(rest)), out)

    def _mend(self, now: int, known: ShardAssignment, out: list[Action]) -> bool:
        """Leaves out the dead, and gives the shard another home where its home has died or begun anew.
        Nothing is changed while nobody that has all is there: any of the silent disks may be the one that
        comes back. And no fewer stay than a promise needs, silent ones too: they have all that was promised.
        """
        states = {place: self._alive(now, place) for place in known.members}
        home = self._seen.get(known.primary)
        lost_home = states[known.primary] is False
        anew = states[known.primary] is True and home is not None and home.session != known.session
        heirs = [place for place in known.backups if states[place]]
        if lost_home and not heirs:
            return False
        staying = [place for place in heirs if self._stays(place)]
        drained = not self._stays(known.primary) and len(staying) >= self._terms.replica_count
        new_home = (staying or heirs)[0] if heirs and (lost_home or anew or drained) else known.primary
        others = [each for each in (known.primary, *known.backups) if each != new_home]
        counted = [new_home, *sorted(others, key=lambda place: not self._stays(place))]
        silent = [place for place in counted[1:] if states[place] is False]
        for place in sorted(silent, key=self._since):  # the longest gone is the least likely to come back
            if len(counted) > self._terms.commit_count:
                counted.remove(place)
        del counted[
            self._terms.replica_count :
        ]  # a silent one that was kept has come back beside its successor
        joining = tuple(place for place in known.joining if states[place] is not False)
        session = self._seen[new_home].session if new_home != known.primary or anew else known.session
        new = ShardAssignment(known.shard, known.epoch + 1, new_home, session, tuple(counted[1:]), joining)
        if (new.primary, new.session, set(new.backups), new.joining) == (
            known.primary, known.session, set(known.backups), known.joining
        ):  # fmt: skip
            return False
        self._propose(new, out)
        return True

    def _since(self, place: ReplicaId) -> tuple[int, ReplicaId]:
        return (self._seen[place].last_heartbeat_at if place in self._seen else -1, place)

    def _fill_up(
        self, known: ShardAssignment, alive: list[ReplicaHost], joining: int, out: list[Action]
    ) -> int:
        """The most endangered first, so many at a time."""
        if joining >= self._terms.max_catch_ups or known.joining:
            return 0
        live = {each.replica_id for each in alive}
        here = [self._seen[place].host for place in known.members if place in live]
        if not self._alive(self._now, known.primary) or len(here) >= self._terms.replica_count:
            return 0
        others = [each for each in alive if each.replica_id not in known.members]
        new = choose_hosts(known.shard, others, self._terms.replica_count, here)
        if not new:
            return 0
        places = tuple(each.replica_id for each in new)
        next_one = ShardAssignment(
            known.shard, known.epoch + 1, known.primary, known.session, known.backups, places
        )
        self._propose(next_one, out)
        return 1

    def _danger(self, now: int, out: list[Action]) -> None:
        thin = lost = 0
        for each in self.assignments.values():
            there = sum(self._alive(now, place) is not False for place in (each.primary, *each.backups))
            thin += 0 < there <= 1
            lost += not there
        if (thin, lost) != self._told:
            self._told = (thin, lost)
            out.append(ReportRedundancy(thin, lost))
