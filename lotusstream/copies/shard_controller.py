"""Who holds what: decided by one gateway at a time, under a lease, and agreed in the quorum before it counts.

It gives every holder a lease of its own by answering its beacons, and calls one dead only when that lease has
run out by its own clock: a home that is cut off has stopped promising by then.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lotusstream.copies.messages import Assigned
from lotusstream.copies.shards import SHARDS, Holder, Place, placed
from lotusstream.leases.expiry import LeaseTiming


@dataclass(frozen=True, slots=True)
class CopyTerms:
    """`copies`: disks for each shard, home included; `promise`: on how many of them a promise has to be.
    `pace`: shards that are copied anew at a time. `shards`: into how many keys are divided. `part`: bytes
    that are told or written down as one, of what is copied whole. `most`: bytes that a holder has room for;
    0: no bound. `rate`: bytes a second that one holder gives to all that it fills; 0: no bound. `scrub`: the
    time in which a home compares all ranges of its shards with their copies; 0: never."""

    copies: int
    promise: int
    leases: LeaseTiming
    pace: int = 4
    shards: int = SHARDS
    part: int = 256 << 10
    most: int = 0
    rate: int = 0
    scrub: int = 0


@dataclass(frozen=True, slots=True)
class Beacon:
    """`joined`: by shard, the epoch and those that its home has filled. `left`: this run promises nothing any
    more and is about to end. `yields`: by shard, the epoch and whose disk has more than this home's."""

    holder: Holder
    session: str
    joined: Mapping[int, tuple[int, tuple[Place, ...]]] = field(default_factory=dict)
    left: bool = False
    yields: Mapping[int, tuple[int, Place]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Agreed:
    """The quorum has taken an assignment; what it replaces is gone."""

    assigned: Assigned


@dataclass(frozen=True, slots=True)
class NotAgreed:
    """It has not: another manager was quicker, or nothing is known. `now`: what is agreed on instead."""

    shard: int
    now: Assigned | None


@dataclass(frozen=True, slots=True)
class Found:
    """All that is agreed on, after a LookUp."""

    assigned: tuple[Assigned, ...]


@dataclass(frozen=True, slots=True)
class Tick:
    pass


@dataclass(frozen=True, slots=True)
class Drained:
    """Machines that are to hold nothing: what they have goes elsewhere first. Agreed on before."""

    machines: frozenset[str]


Event = Beacon | Agreed | NotAgreed | Found | Drained | Tick


@dataclass(frozen=True, slots=True)
class Propose:
    """To the quorum: in place of the epoch before it, or not at all."""

    assigned: Assigned


@dataclass(frozen=True, slots=True)
class LookUp:
    """What has the quorum? Once in a lease: an answer to a proposal may have been lost, and what was agreed
    on would not be known here for good."""


@dataclass(frozen=True, slots=True)
class Answer:
    """To a beacon: the holder's lease counts from before it sent it. `epochs`: of all shards; in those that
    are newer than it knows it is no home any more."""

    place: Place
    session: str
    epochs: Mapping[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Endangered:
    """For people: so many shards bear no further loss (`thin`), or have nobody left (`lost`)."""

    thin: int
    lost: int


Action = Propose | LookUp | Answer | Endangered


@dataclass(slots=True)
class _Seen:
    holder: Holder
    session: str
    at: int
    left: bool


class ShardController:
    """`assigned`: as the quorum has it when this manager begins. Whoever may hold a lease from the manager
    before is waited for."""

    def __init__(self, terms: CopyTerms, assigned: Iterable[Assigned], now: int) -> None:
        self._terms, self._began = terms, now
        self.assigned = {each.shard: each for each in assigned}
        self._seen: dict[Place, _Seen] = {}
        # proposals that nothing is known of yet, since when, and those that were not answered in time
        self._open: dict[int, tuple[int, Assigned]] = {}
        self._doubted: dict[int, Assigned] = {}
        self._now = self._looked = now
        self._told = (0, 0)
        self.drained = frozenset[str]()

    def handle(self, now: int, event: Event) -> list[Action]:
        out: list[Action] = []
        self._now = now
        lost = now - self._terms.leases.duration_us // 2  # its answer was: the quorum takes no epoch twice
        for shard, (since, proposed) in list(self._open.items()):
            if since <= lost:
                del self._open[shard]
                self._doubted[shard] = proposed
        match event:
            case Beacon(holder, session, joined, left, yields):
                known = self._seen.get(holder.place)
                left = left or (known is not None and known.left and known.session == session)  # for good
                self._seen[holder.place] = _Seen(holder, session, now, left)
                if not self._deposing(holder.place):
                    epochs = {shard: each.epoch for shard, each in self.assigned.items()}
                    out.append(Answer(holder.place, session, epochs))
                self._joined(joined, out)
                self._yielded(yields, out)
            case Agreed(assigned):
                self._open.pop(assigned.shard, None)
                self._learn(assigned)
            case NotAgreed(shard, other):
                if (asked := self._open.pop(shard, None)) is not None:
                    self._doubted[shard] = asked[1]
                if other is not None:
                    self._learn(other)
            case Drained(machines):
                self.drained = machines
            case Found(assigned):
                for each in assigned:
                    self._learn(each)
        if now - self._looked >= self._terms.leases.duration_us:
            self._looked = now
            out.append(LookUp())
        self._decide(now, out)
        return out

    def _learn(self, assigned: Assigned) -> None:
        known = self.assigned.get(assigned.shard)
        if known is None or assigned.epoch > known.epoch:
            self.assigned[assigned.shard] = assigned
        doubted = self._doubted.get(assigned.shard)
        if doubted is not None and self.assigned[assigned.shard].epoch >= doubted.epoch:
            del self._doubted[assigned.shard]

    def _deposing(self, place: Place) -> bool:
        """Whether another home in its place may be agreed on by now: its lease is not to be made longer."""
        asked = [*(each for _, each in self._open.values()), *self._doubted.values()]
        return any(
            each.home != place
            and (known := self.assigned.get(each.shard)) is not None
            and known.home == place
            for each in asked
        )

    def _alive(self, now: int, place: Place) -> bool | None:
        """None where it can't be told yet: it may have a lease from the manager before."""
        seen = self._seen.get(place)
        if seen is not None:
            return now - seen.at < self._terms.leases.duration_us and not seen.left
        return None if now - self._began < self._terms.leases.duration_us else False

    def _stays(self, place: Place) -> bool:
        """Not on a machine that is to hold nothing."""
        seen = self._seen.get(place)
        return seen is None or seen.holder.machine not in self.drained

    def _propose(self, assigned: Assigned, out: list[Action]) -> None:
        self._open[assigned.shard] = (self._now, assigned)
        out.append(Propose(assigned))

    def _joined(self, joined: Mapping[int, tuple[int, tuple[Place, ...]]], out: list[Action]) -> None:
        """Filled by the home of this very epoch: from now on their disks count, and are waited for."""
        for shard, (epoch, places) in sorted(joined.items()):
            known = self.assigned.get(shard)
            if known is None or known.epoch != epoch or shard in self._open:
                continue
            ready = tuple(place for place in known.joining if place in places)
            if ready:
                left = tuple(place for place in known.joining if place not in places)
                backups = (*known.backups, *ready)
                next_one = Assigned(shard, epoch + 1, known.home, known.session, backups, left)
                self._propose(next_one, out)

    def _yielded(self, yields: Mapping[int, tuple[int, Place]], out: list[Action]) -> None:
        """The home's disk came back with less than a copy's: they change places."""
        for shard, (epoch, place) in sorted(yields.items()):
            known = self.assigned.get(shard)
            if known is None or known.epoch != epoch or place not in known.backups or shard in self._open:
                continue
            if self._alive(self._now, place):
                backups = (known.home, *(each for each in known.backups if each != place))
                session = self._seen[place].session
                self._propose(Assigned(shard, epoch + 1, place, session, backups, known.joining), out)

    def _decide(self, now: int, out: list[Action]) -> None:
        alive = [
            each.holder
            for place, each in sorted(self._seen.items())
            if self._alive(now, place) and self._stays(place)
        ]
        if now - self._began >= self._terms.leases.duration_us:  # all that there are have been heard by then
            for shard in range(self._terms.shards):
                if shard not in self.assigned and shard not in self._open:
                    self._first(shard, alive, out)
        for shard, proposed in list(self._doubted.items()):
            if shard not in self._open:  # agreed on or not: one of them is in the end
                self._propose(proposed, out)
        joining = sum(bool(each.joining and self._alive(now, each.home)) for each in self.assigned.values())
        for shard, known in sorted(self.assigned.items(), key=lambda each: (len(each[1].backups), each[0])):
            if shard not in self._open and not self._mend(now, known, out):
                joining += self._fill_up(known, alive, joining, out)
        self._danger(now, out)

    def _first(self, shard: int, alive: list[Holder], out: list[Action]) -> None:
        """Nothing was ever held there: all begin empty, and alike."""
        found = placed(shard, alive, self._terms.copies)
        if len(found) >= self._terms.promise:
            home, *rest = (each.place for each in found)
            session = self._seen[home].session
            self._propose(Assigned(shard, 1, home, session, tuple(rest)), out)

    def _mend(self, now: int, known: Assigned, out: list[Action]) -> bool:
        """Leaves out the dead, and gives the shard another home where its home has died or begun anew.
        Nothing is changed while nobody that has all is there: any of the silent disks may be the one that
        comes back. And no fewer stay than a promise needs, silent ones too: they have all that was promised.
        """
        states = {place: self._alive(now, place) for place in known.all}
        home = self._seen.get(known.home)
        lost_home = states[known.home] is False
        anew = states[known.home] is True and home is not None and home.session != known.session
        heirs = [place for place in known.backups if states[place]]
        if lost_home and not heirs:
            return False
        staying = [place for place in heirs if self._stays(place)]
        drained = not self._stays(known.home) and len(staying) >= self._terms.copies
        new_home = (staying or heirs)[0] if heirs and (lost_home or anew or drained) else known.home
        others = [each for each in (known.home, *known.backups) if each != new_home]
        counted = [new_home, *sorted(others, key=lambda place: not self._stays(place))]
        silent = [place for place in counted[1:] if states[place] is False]
        for place in sorted(silent, key=self._since):  # the longest gone is the least likely to come back
            if len(counted) > self._terms.promise:
                counted.remove(place)
        del counted[self._terms.copies :]  # a silent one that was kept has come back beside its successor
        joining = tuple(place for place in known.joining if states[place] is not False)
        session = self._seen[new_home].session if new_home != known.home or anew else known.session
        new = Assigned(known.shard, known.epoch + 1, new_home, session, tuple(counted[1:]), joining)
        if (new.home, new.session, set(new.backups), new.joining) == (
            known.home, known.session, set(known.backups), known.joining
        ):  # fmt: skip
            return False
        self._propose(new, out)
        return True

    def _since(self, place: Place) -> tuple[int, Place]:
        return (self._seen[place].at if place in self._seen else -1, place)

    def _fill_up(self, known: Assigned, alive: list[Holder], joining: int, out: list[Action]) -> int:
        """The most endangered first, so many at a time."""
        if joining >= self._terms.pace or known.joining:
            return 0
        live = {each.place for each in alive}
        here = [self._seen[place].holder for place in known.all if place in live]
        if not self._alive(self._now, known.home) or len(here) >= self._terms.copies:
            return 0
        others = [each for each in alive if each.place not in known.all]
        new = placed(known.shard, others, self._terms.copies, here)
        if not new:
            return 0
        places = tuple(each.place for each in new)
        next_one = Assigned(known.shard, known.epoch + 1, known.home, known.session, known.backups, places)
        self._propose(next_one, out)
        return 1

    def _danger(self, now: int, out: list[Action]) -> None:
        thin = lost = 0
        for each in self.assigned.values():
            there = sum(self._alive(now, place) is not False for place in (each.home, *each.backups))
            thin += 0 < there <= 1
            lost += not there
        if (thin, lost) != self._told:
            self._told = (thin, lost)
            out.append(Endangered(thin, lost))
