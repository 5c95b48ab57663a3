"""One holder's side: home of some shards, copy of others. Primary and backups with epochs, as published for
PacificA (Lin et al. 2008): every disk of an epoch has a change before it is promised, so any of them has all.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lotusstream.copies import messages as ms
from lotusstream.copies.anti_entropy import APART, RANGES, Comparing, odd_ones, sum_of
from lotusstream.copies.messages import Assigned, Held, Holding, Op
from lotusstream.copies.shard_controller import CopyTerms
from lotusstream.copies.shards import Place, shard_of

LATER = 10_000  # changes that are kept while a copy is being filled
TAIL = 64  # changes that are kept to fill a copy that is a little behind
AGAIN = 8  # tries in a lease to begin with a copy that does not answer

# Events


@dataclass(frozen=True, slots=True)
class Heard:
    sender: Place
    word: ms.AnyWord


@dataclass(frozen=True, slots=True)
class Persisted:
    number: int


@dataclass(frozen=True, slots=True)
class Learnt:
    """An assignment that the quorum has agreed on."""

    assigned: Assigned


@dataclass(frozen=True, slots=True)
class LeaseFrom:
    """A beacon was answered; it was sent at this time of this holder's clock. `epochs`: of all shards, as
    whoever answered knows them."""

    sent: int
    epochs: Mapping[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Claim:
    """Before the first send: Promised, or Known where the key was seen before. `unix`: the time of day.
    `after`: the owner whose claim, not answered yet, this one takes the place of."""

    ticket: int
    holding: Holding
    unix: int
    after: str = ""


@dataclass(frozen=True, slots=True)
class Finish:
    """Before the answer: what is answered, for whoever asks again."""

    ticket: int
    holding: Holding
    unix: int


@dataclass(frozen=True, slots=True)
class Leave:
    """A planned stop: from now on this run promises nothing, so that others can at once."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; `unix`: the time of day, where it is time to look for what is kept no longer."""

    unix: int = 0


Event = Heard | Persisted | Learnt | LeaseFrom | Claim | Finish | Leave | Tick

# Actions


@dataclass(frozen=True, slots=True)
class Save:
    number: int
    records: tuple[ms.Record, ...]


@dataclass(frozen=True, slots=True)
class Say:
    to: Place
    word: ms.AnyWord


@dataclass(frozen=True, slots=True)
class Promised:
    """On the disks of enough machines."""

    ticket: int


@dataclass(frozen=True, slots=True)
class Known:
    """The key was seen before."""

    ticket: int
    holding: Holding


@dataclass(frozen=True, slots=True)
class Unkept:
    """Nothing was promised; `maybe`: it may still be found later. `home`: whom to ask instead."""

    ticket: int
    why: str
    home: str = ""
    maybe: bool = False


@dataclass(frozen=True, slots=True)
class Differ:
    """For people: copies of a shard do not hold the same. `filled`: those that are filled anew; `ahead`: who
    is to be the home. Neither: nobody can tell which is right."""

    shard: int
    filled: tuple[Place, ...]
    ahead: Place | None


Action = Save | Say | Promised | Known | Unkept | Differ


@dataclass(slots=True)
class Filling:
    """What a home is giving to a copy, one part after the other. `at`: the one that is out, since when, or
    that waits for the told pace until `due`. `odd`: it held something else, and counts once it has all."""

    session: str
    last: tuple[int, int]
    parts: list[tuple[Holding, ...]]
    begun: int
    since: int
    at: int = 0
    due: int | None = None
    odd: bool = False


@dataclass(slots=True)
class Incoming:
    """What a copy has of that. `later`: changes that came meanwhile."""

    begun: tuple[int, int, int, int]  # epoch and last change of what it is given, and which filling
    parts: list[tuple[Holding, ...]] = field(default_factory=list)
    later: list[Op] = field(default_factory=list)


@dataclass(slots=True)
class Shard:
    """`last`: epoch and number of the newest change here."""

    number: int
    holdings: dict[str, Holding] = field(default_factory=dict)
    size: int = 0  # of the holdings, about so many bytes
    last: tuple[int, int] = (0, 0)
    tail: deque[Op] = field(default_factory=lambda: deque(maxlen=TAIL))
    assigned: Assigned | None = None
    durable: int = 0
    deposed: bool = False
    # of a home
    sessions: dict[Place, str] = field(default_factory=dict)  # of the copies that were filled in this epoch
    copied: dict[Place, int] = field(default_factory=dict)
    reported: frozenset[Place] = frozenset()  # joining ones that count as copies from when that was told
    since: int = 0  # the newest change when this home began: asked for only once all copies have it
    promised: int = 0
    waiting: deque[tuple[int, int, int]] = field(default_factory=deque)  # change, ticket, since when
    open_keys: dict[str, int] = field(default_factory=dict)  # keys whose change is not promised yet
    begun: int = 0
    ahead: Place | None = None  # a copy that has more than this home
    filling: dict[Place, Filling] = field(default_factory=dict)
    incoming: Incoming | None = None

    def backups(self) -> tuple[Place, ...]:
        return self.assigned.backups if self.assigned else ()

    def copies(self) -> tuple[Place, ...]:
        return (*self.assigned.backups, *self.assigned.joining) if self.assigned else ()

    def apply(self, op: Op) -> None:
        self.last = (op.epoch, op.seq)
        self.tail.append(op)
        known = self.holdings.get(op.holding.key)
        self.size += ms.size_of(op.holding) - (ms.size_of(known) if known is not None else 0)
        self.holdings[op.holding.key] = op.holding

    def keep(self, holdings: Iterable[Holding]) -> None:
        """These, and no others."""
        self.holdings = {each.key: each for each in holdings}
        self.size = sum(map(ms.size_of, self.holdings.values()))

    def whole(self, holdings: Iterable[Holding], last: tuple[int, int]) -> None:
        self.keep(holdings)
        self.last, self.durable = last, 0
        self.tail.clear()


def read_back(records: Iterable[ms.Record]) -> dict[int, Shard]:
    """What a disk holds."""
    shards: dict[int, Shard] = {}
    begun: dict[int, list[Holding]] = {}
    for record in records:
        shard = shards.setdefault(record.shard, Shard(record.shard))
        match record:
            case ms.KeptOp(_, op):
                shard.apply(op)
            case ms.KeptWhole(number, epoch, seq, holdings, part, parts):
                if not part:
                    begun[number] = []
                begun.setdefault(number, []).extend(holdings)
                if part + 1 == parts:  # a crash in between leaves what was there before
                    shard.whole(begun.pop(number), (epoch, seq))
        shard.durable = shard.last[1]
    return shards


class ReplicaSet:
    """`place`: of this disk; `session`: of this run of the program."""

    def __init__(
        self, place: Place, session: str, terms: CopyTerms, shards: dict[int, Shard], now: int
    ) -> None:
        self.place, self.session, self._terms, self.shards = place, session, terms, shards
        self._now, self._until, self.left = now, 0, False
        self._out: list[Action] = []
        self._number = 0
        self._pending: list[ms.Record] = []
        self._rests: deque[tuple[int, list[Action]]] = deque()
        self._marks: deque[tuple[int, dict[int, int]]] = deque()
        self._turn: list[Action] = []
        self._swept = 0
        self._comparing: Comparing | None = None
        self._compared, self._compared_at = 0, now  # ranges so far
        self._paced = 0  # until when what was given to copies fills the told pace
        self._put_off = False  # a part waits for that
        self._touched: set[int] | None = set()  # shards that the event is about; None: all

    def handle(self, now: int, event: Event) -> list[Action]:
        self._now, self._out, self._turn = max(now, self._now), [], []
        self._touched = None if isinstance(event, Tick | LeaseFrom | Leave) else set()
        self._put_off = self._put_off and self._touched is not None  # told anew where all shards are driven
        match event:
            case Heard(sender, word):
                self._touch(word.assigned.shard if isinstance(word, ms.Begin) else word.shard)
                self._heard(sender, word)
            case Persisted(number):
                self._persisted(number)
            case Learnt(assigned):
                self._learn(assigned)
            case LeaseFrom(sent, epochs):
                self._look_at(epochs)
                self._until = max(
                    self._until, sent + self._terms.leases.duration_us - self._terms.leases.safety_margin_us
                )
            case Claim(ticket, holding, unix, after):
                self._claim(ticket, holding, unix, after)
            case Finish(ticket, holding, unix):
                self._finish(ticket, holding, unix)
            case Leave():
                self.left = True
            case Tick(unix) if unix:
                self._forget(unix)
                self._compare(unix)
        touched = self.shards if self._touched is None else sorted(self._touched)
        for number in touched:
            if number in self.shards:
                self._drive(self.shards[number])
        self._flush()
        return self._out

    def _touch(self, number: int) -> None:
        if self._touched is not None:
            self._touched.add(number)

    @property
    def next_at(self) -> int | None:
        """When a part may be given that waits for the told pace: a Tick is due then."""
        return self._paced if self._put_off else None

    @property
    def leased(self) -> bool:
        """Whether this holder may promise anything at this moment."""
        return self._now < self._until and not self.left

    def joined(self) -> dict[int, tuple[int, tuple[Place, ...]]]:
        """For the beacon: those that this home has filled, and that have on their disks all that it has."""
        found = {}
        for shard in self.shards.values():
            if (mine := shard.assigned) is None or not self._home(shard):
                continue
            ready = tuple(each for each in mine.joining if shard.copied.get(each, -1) >= shard.promised)
            if (
                ready
            ):  # from now on no promise without them: the quorum may count them before that is known here
                shard.reported |= set(ready)
                found[shard.number] = (mine.epoch, ready)
        return found

    def yields(self) -> dict[int, tuple[int, Place]]:
        """For the beacon: shards of which another disk has more than this home."""
        return {
            shard.number: (shard.assigned.epoch, shard.ahead)
            for shard in self.shards.values()
            if shard.ahead is not None and shard.assigned is not None and self._home(shard)
        }

    def _forget(self, unix: int) -> None:
        """What is kept no longer, of one shard after the other: a shard with much in it costs its time."""
        numbers = sorted(self.shards)
        if numbers:
            self._swept += 1
            shard = self.shards[numbers[self._swept % len(numbers)]]
            if any(each.until <= unix for each in shard.holdings.values()):
                shard.keep([each for each in shard.holdings.values() if each.until > unix])

    # Comparing

    def _compare(self, unix: int) -> None:
        """The next range of the next shard that this is home of, while nothing is on its way."""
        pause = self._terms.scrub // (self._terms.shards * RANGES)
        if not self._terms.scrub or self._now - self._compared_at < pause:
            return
        self._compared_at, self._comparing = self._now, None
        homes = sorted(number for number, shard in self.shards.items() if self._home(shard))
        if not homes:
            return
        self._compared += 1
        shard = self.shards[homes[self._compared // RANGES % len(homes)]]
        mine, seq = shard.assigned, shard.last[1]
        if mine is None or not mine.backups or shard.open_keys or shard.promised != seq:
            return
        part, kept_after = self._compared % RANGES, unix + APART
        told = sum_of(shard.holdings.values(), part, kept_after)
        waits = frozenset(mine.backups)
        self._comparing = Comparing(shard.number, mine.epoch, seq, part, told, waits)
        for each in mine.backups:
            self._say(each, ms.Compare(shard.number, mine.epoch, seq, part, kept_after), rests=False)

    def _summed(self, sender: Place, told: ms.Compared) -> None:
        shard, comparing = self._shard(told.shard), self._comparing
        about = (told.shard, told.epoch, told.seq, told.range)
        if comparing is None or about != (comparing.shard, comparing.epoch, comparing.seq, comparing.range):
            return
        if not self._mine(shard, told.epoch) or shard.sessions.get(sender) != told.session:
            return
        if not comparing.take(sender, told.sum):
            return
        self._comparing = None
        if (odd := odd_ones(comparing.mine, comparing.sums)) is None:
            return
        self._out.append(Differ(shard.number, odd.fill, odd.ahead))
        for each in odd.fill:
            parts = ms.in_parts(shard.holdings.values(), self._terms.part)
            shard.copied[each] = -1  # nothing is promised with it before it has all
            filling = Filling(shard.sessions[each], shard.last, parts, self._now, self._now, odd=True)
            shard.filling[each] = filling
            self._say_part(shard, each, filling)
        if odd.ahead is not None:
            self._yield_to(shard, odd.ahead)

    @property
    def size(self) -> int:
        """Of all that is held here, about so many bytes."""
        return sum(shard.size for shard in self.shards.values())

    # Writing down and telling

    def _save(self, *records: ms.Record) -> None:
        self._pending += records

    def _say(self, to: Place, word: ms.AnyWord, *, rests: bool) -> None:
        (self._turn if rests else self._out).append(Say(to, word))

    def _flush(self) -> None:
        if self._pending:
            self._number += 1
            self._out.append(Save(self._number, tuple(self._pending)))
            marks = {record.shard: self.shards[record.shard].last[1] for record in self._pending}
            self._marks.append((self._number, marks))
            self._rests.append((self._number, self._turn))
            self._pending = []
        elif self._turn and self._rests:
            self._rests[-1][1].extend(self._turn)
        else:
            self._out += self._turn

    def _persisted(self, number: int) -> None:
        while self._marks and self._marks[0][0] <= number:
            for shard, seq in self._marks.popleft()[1].items():
                self.shards[shard].durable = seq
                self._touch(shard)
        while self._rests and self._rests[0][0] <= number:
            self._out += self._rests.popleft()[1]

    # Assignments

    def _shard(self, number: int) -> Shard:
        return self.shards.setdefault(number, Shard(number))

    def _home(self, shard: Shard) -> bool:
        """Of this epoch, by this very run of the program: one that begins anew is given another epoch."""
        mine = shard.assigned
        if mine is None or shard.deposed:
            return False
        return mine.home == self.place and mine.session == self.session

    def _learn(self, assigned: Assigned) -> bool:
        """False where it is old news."""
        if self.place not in assigned.all and assigned.shard not in self.shards:
            return False
        shard = self._shard(assigned.shard)
        self._touch(shard.number)
        known = shard.assigned.epoch if shard.assigned else 0
        if assigned.epoch <= known:
            return assigned.epoch == known
        if assigned.epoch < shard.last[0]:  # this run has not heard of it yet, its disk has: guards what is
            return False  # promised against a home of an earlier epoch that would fill it with what it has
        was_home = self._home(shard)
        shard.assigned, shard.deposed, shard.ahead = assigned, False, None
        shard.filling, shard.incoming = {}, None
        shard.reported &= set(assigned.joining)
        if not self._home(shard):
            if was_home or shard.waiting:
                self._deposed(shard, "another home has been agreed on")
            shard.sessions, shard.copied, shard.reported = {}, {}, frozenset()
            return True
        kept = [each for each in assigned.all if each in shard.sessions] if was_home else []
        shard.sessions = {each: shard.sessions[each] for each in kept}
        shard.copied = {each: shard.copied[each] for each in kept}
        if not was_home:
            shard.promised, shard.open_keys, shard.since = 0, {}, shard.last[1]
            shard.waiting.clear()
        shard.begun = 0
        return True

    def _look_at(self, epochs: Mapping[int, int]) -> None:
        """Guards what others have been given meanwhile: a home that was cut off gets a lease again before it
        hears of the epochs that it missed."""
        for shard in self.shards.values():
            mine = shard.assigned
            if mine is not None and epochs.get(shard.number, 0) > mine.epoch:
                if self._home(shard):
                    self._deposed(shard, "another home has been agreed on")
                shard.deposed = True

    def _deposed(self, shard: Shard, why: str) -> None:
        """What was not promised is not known to be lost: its change may be on the next home's disk."""
        for _, ticket, _ in shard.waiting:
            self._out.append(Unkept(ticket, why, shard.assigned.home.name if shard.assigned else "", True))
        shard.waiting.clear()
        shard.open_keys = {}

    # Home

    def _drive(self, shard: Shard) -> None:
        mine = shard.assigned
        if mine is None or not self._home(shard):
            return
        if self._now >= shard.begun + self._terms.leases.duration_us // AGAIN:
            shard.begun = self._now
            for each in (*mine.backups, *mine.joining):
                self._say(each, ms.Begin(mine), rests=False)
        for to, filling in shard.filling.items():
            if filling.due is not None:
                self._say_part(shard, to, filling)
        while shard.waiting and self._now - shard.waiting[0][2] > self._terms.leases.duration_us:
            why = "its copies do not answer"
            self._out.append(Unkept(shard.waiting.popleft()[1], why, "", True))
        if not self.leased or 1 + len(mine.backups) < self._terms.promise:
            return
        marks = [shard.copied.get(each, -1) for each in (*mine.backups, *shard.reported)]
        ready = min([shard.durable, *marks])
        if ready > shard.promised:
            shard.promised = ready
        while shard.waiting and shard.waiting[0][0] <= shard.promised:
            self._out.append(Promised(shard.waiting.popleft()[1]))
        shard.open_keys = {key: seq for key, seq in shard.open_keys.items() if seq > shard.promised}

    def _able(self, ticket: int, key: str) -> Shard | None:
        shard = self._shard(shard_of(key, self._terms.shards))
        self._touch(shard.number)
        mine = shard.assigned
        if mine is None or not self._home(shard):
            home = mine.home.name if mine and mine.home != self.place else ""
            self._out.append(Unkept(ticket, "not the home of this key", home))
        elif not self.leased:
            self._out.append(Unkept(ticket, "cut off from whoever decides on homes"))
        elif 1 + len(mine.backups) < self._terms.promise:
            self._out.append(Unkept(ticket, "too few disks are left for a promise", self.place.name))
        elif shard.waiting and self._now - shard.waiting[0][2] > self._terms.leases.duration_us // 4:
            self._out.append(Unkept(ticket, "its copies do not answer", self.place.name))
        elif shard.ahead is not None:
            self._out.append(Unkept(ticket, "another disk has more", self.place.name))
        elif self._terms.most and key not in shard.holdings and self.size >= self._terms.most:
            self._out.append(Unkept(ticket, "this holder has no room for more", self.place.name))
        elif shard.promised < shard.since or any(each not in shard.copied for each in mine.backups):
            self._out.append(Unkept(ticket, "a copy is being filled", self.place.name))
        else:
            return shard
        return None

    def _claim(self, ticket: int, wanted: Holding, unix: int, after: str) -> None:
        if (shard := self._able(ticket, wanted.key)) is None:
            return
        known = shard.holdings.get(wanted.key)
        if known is None or unix >= known.until:
            if wanted.state is Held.UNRUN:  # nothing is to be taken back
                self._out.append(Promised(ticket))
            else:
                self._change(shard, ticket, wanted)
        elif known == wanted:  # its own claim, whose answer was lost
            self._again(shard, ticket, wanted.key)
        elif wanted.key in shard.open_keys:  # whoever asks may not hear of what could still be lost
            self._out.append(Unkept(ticket, "the same key is being taken at this moment", self.place.name))
        elif known.state is Held.UNRUN or (known.state is Held.SENT and after == known.gateway):
            self._change(shard, ticket, wanted)
        else:
            self._out.append(Known(ticket, known))

    def _finish(self, ticket: int, told: Holding, unix: int) -> None:
        if (shard := self._able(ticket, told.key)) is None:
            return
        known = shard.holdings.get(told.key)
        if known is None or unix >= known.until or known.state is not Held.ANSWERED:
            self._change(shard, ticket, told)
        elif known == told:
            self._again(shard, ticket, told.key)
        elif told.key in shard.open_keys:
            self._out.append(Unkept(ticket, "the same key is being answered at this moment", self.place.name))
        else:
            self._out.append(Known(ticket, known))  # the first answer stands

    def _again(self, shard: Shard, ticket: int, key: str) -> None:
        """The same once more: promised when the first is."""
        if (seq := shard.open_keys.get(key)) is None:
            self._out.append(Promised(ticket))
        else:
            shard.waiting.append((seq, ticket, self._now))

    def _change(self, shard: Shard, ticket: int, holding: Holding) -> None:
        assert shard.assigned is not None
        op = Op(shard.assigned.epoch, shard.last[1] + 1, holding)
        shard.apply(op)
        self._save(ms.KeptOp(shard.number, op))
        shard.waiting.append((op.seq, ticket, self._now))
        shard.open_keys[holding.key] = op.seq
        for each in shard.sessions:
            self._say(each, ms.Copy(shard.number, op.epoch, op), rests=False)

    def _fill(self, shard: Shard, to: Place, stand: ms.Stand) -> None:
        mine = shard.assigned
        assert mine is not None
        last_epoch, last_seq = stand.last_epoch, stand.last_seq
        common = (last_epoch, last_seq) == shard.last or any(
            (op.epoch, op.seq) == (last_epoch, last_seq) for op in shard.tail
        )
        shard.sessions[to] = stand.session
        shard.copied[to] = -1
        if common:
            ops, size = list[Op](), 0
            for op in shard.tail:
                if op.seq > last_seq and size < self._terms.part:
                    ops.append(op)
                    size += ms.size_of(op.holding)
            fill = ms.Fill(shard.number, mine.epoch, last_seq, *shard.last, (), tuple(ops))
            self._say(to, fill, rests=False)
            return
        under_way = shard.filling.get(to)
        if under_way is None or under_way.session != stand.session or self._stands_still(under_way):
            parts = ms.in_parts(shard.holdings.values(), self._terms.part)
            under_way = shard.filling[to] = Filling(stand.session, shard.last, parts, self._now, self._now)
        self._say_part(shard, to, under_way)

    def _stands_still(self, filling: Filling) -> bool:
        return filling.due is None and self._now - filling.since > self._terms.leases.duration_us

    def _odd(self, shard: Shard, to: Place, session: str) -> Filling | None:
        """While it is filled though it stands at the same change; not for ever: its last word may be lost."""
        found = shard.filling.get(to)
        if found is None or not found.odd or found.session != session or self._stands_still(found):
            return None
        return found

    def _say_part(self, shard: Shard, to: Place, filling: Filling) -> None:
        """At the told pace, over all that this holder fills: guards the commands of customers, who wait for
        the same loops and disks."""
        assert shard.assigned is not None
        if self._terms.rate and self._now < self._paced:
            filling.due, self._put_off = self._paced, True
            return
        if filling.due is not None and not filling.at:  # it follows what came while it waited
            filling.parts, filling.last = ms.in_parts(shard.holdings.values(), self._terms.part), shard.last
            filling.begun = self._now
        if filling.due is not None:
            filling.due, filling.since = None, self._now
        part, at, count = filling.parts[filling.at], filling.at, len(filling.parts)
        if self._terms.rate:
            self._paced = self._now + sum(map(ms.size_of, part)) * 1_000_000 // self._terms.rate
        epoch, begun = shard.assigned.epoch, filling.begun
        fill = ms.Fill(shard.number, epoch, -1, *filling.last, part, (), at, count, begun)
        self._say(to, fill, rests=False)

    def _filled(self, sender: Place, shard: Shard, told: ms.Filled) -> None:
        filling = shard.filling.get(sender)
        if filling is None or filling.session != told.session or told.part != filling.at:
            return
        filling.at, filling.since = filling.at + 1, self._now
        if filling.at < len(filling.parts):
            self._say_part(shard, sender, filling)
        else:
            del shard.filling[sender]

    def _take_part(self, sender: Place, shard: Shard, fill: ms.Fill) -> None:
        last = (fill.last_epoch, fill.last_seq)
        if shard.last[0] == fill.epoch and fill.last_seq < shard.last[1]:
            return  # overtaken by what followed it
        begun = (fill.epoch, *last, fill.begun)
        coming = shard.incoming
        if coming is None or coming.begun != begun:
            if fill.part:
                return
            coming = shard.incoming = Incoming(begun)
        if fill.part > len(coming.parts):
            return
        self._say(sender, ms.Filled(shard.number, fill.epoch, self.session, fill.part), rests=False)
        if fill.part < len(coming.parts):
            return  # once more: its answer was lost
        coming.parts.append(fill.holdings)
        if len(coming.parts) < fill.parts:
            return
        shard.incoming = None
        holdings = [each for part in coming.parts for each in part]
        shard.whole(holdings, last)
        self._save(*ms.kept_whole(shard.number, last, holdings, self._terms.part))
        for op in coming.later:
            if op.seq == shard.last[1] + 1:
                shard.apply(op)
                self._save(ms.KeptOp(shard.number, op))
        self._say(sender, ms.Copied(shard.number, fill.epoch, self.session, shard.last[1]), rests=True)

    # Copy, and words of all kinds

    def _heard(self, sender: Place, word: ms.AnyWord) -> None:
        match word:
            case ms.Begin(assigned):
                if not self._learn(assigned):
                    self._answer_old(sender, assigned.shard, assigned.epoch)
                    return
                shard = self._shard(assigned.shard)
                if shard.assigned == assigned and self.place in assigned.all and assigned.home == sender:
                    stand = ms.Stand(assigned.shard, assigned.epoch, self.session, *shard.last)
                    self._say(sender, stand, rests=True)
            case ms.Stand(number, epoch, session, last_epoch, last_seq):
                shard = self._shard(number)
                if not self._mine(shard, epoch) or sender not in shard.copies():
                    return
                if (last_epoch, last_seq) > shard.last and sender in shard.backups():
                    self._yield_to(shard, sender)
                elif (under_way := self._odd(shard, sender, session)) is not None:
                    self._say_part(shard, sender, under_way)
                elif (last_epoch, last_seq) == shard.last:  # it leaves only once that is on its disk
                    shard.sessions[sender], shard.copied[sender] = session, last_seq
                elif shard.sessions.get(sender) != session or shard.copied.get(sender, -1) < shard.last[1]:
                    self._fill(shard, sender, word)
            case ms.Fill(number, epoch, after, _, _, _, ops):
                shard = self._shard(number)
                if not self._follows(sender, shard, epoch):
                    return
                if after < 0:
                    self._take_part(sender, shard, word)
                    return
                if shard.last[1] != after:
                    return
                for op in ops:
                    shard.apply(op)
                    self._save(ms.KeptOp(number, op))
                self._say(sender, ms.Copied(number, epoch, self.session, shard.last[1]), rests=True)
            case ms.Filled(number, epoch, _, _):
                shard = self._shard(number)
                if self._mine(shard, epoch):
                    self._filled(sender, shard, word)
            case ms.Copy(number, epoch, op):
                shard = self._shard(number)
                if not self._follows(sender, shard, epoch):
                    return
                if shard.incoming is not None and len(shard.incoming.later) < LATER:
                    shard.incoming.later.append(op)
                if op.seq != shard.last[1] + 1 or shard.incoming is not None:
                    return  # one before it was lost, or it came twice: the home begins anew with this copy
                shard.apply(op)
                self._save(ms.KeptOp(number, op))
                self._say(sender, ms.Copied(number, epoch, self.session, op.seq), rests=True)
            case ms.Copied(number, epoch, session, seq):
                shard = self._shard(number)
                ours = self._mine(shard, epoch) and shard.sessions.get(sender) == session
                if ours and self._odd(shard, sender, session) is None:
                    shard.copied[sender] = max(shard.copied[sender], seq)
            case ms.Compare(number, epoch, seq, part, kept_after):
                shard = self._shard(number)
                if self._follows(sender, shard, epoch) and shard.last[1] == seq and shard.incoming is None:
                    told = sum_of(shard.holdings.values(), part, kept_after)
                    answer = ms.Compared(number, epoch, self.session, seq, part, told)
                    self._say(sender, answer, rests=False)
            case ms.Compared():
                self._summed(sender, word)
            case ms.Deposed(number, epoch):
                shard = self._shard(number)
                if shard.assigned is not None and epoch > shard.assigned.epoch and self._home(shard):
                    shard.deposed = True
                    self._deposed(shard, "a later epoch has begun")

    def _yield_to(self, shard: Shard, sender: Place) -> None:
        """Guards promises against a disk that lied: this one came back with less than it had said to have. A
        copy that counts has more, so it is to be the home; the manager hears of it by the next beacon."""
        shard.ahead = sender
        self._deposed(shard, "another disk has more")

    def _mine(self, shard: Shard, epoch: int) -> bool:
        return self._home(shard) and shard.assigned is not None and shard.assigned.epoch == epoch

    def _follows(self, sender: Place, shard: Shard, epoch: int) -> bool:
        mine = shard.assigned
        if mine is not None and epoch < mine.epoch:
            self._answer_old(sender, shard.number, epoch)
            return False
        return mine is not None and mine.epoch == epoch and mine.home == sender and self.place in mine.all

    def _answer_old(self, sender: Place, number: int, epoch: int) -> None:
        shard = self._shard(number)
        newest = max(shard.assigned.epoch if shard.assigned else 0, shard.last[0])
        if newest > epoch:
            self._say(sender, ms.Deposed(number, newest), rests=False)
