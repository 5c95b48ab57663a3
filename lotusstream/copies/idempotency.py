"""A gateway's side of what is held: before a command with a mark is sent, its key is claimed at the home of
its shard; before it is answered, the answer is held there. No I/O, no clock.

A claim names where repeats are dropped, so that another gateway that takes the repeat sends it there or not
at all. It changes hands by compare-and-set on its owner's name, and each claim has a new one: a word that
comes late changes nothing.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from lotusstream.copies.messages import Held, Holding
from lotusstream.copies.shards import Holder, placed, shard_of


@dataclass(frozen=True, slots=True)
class ClaimTerms:
    """`patience`: microseconds for one answer of a home. `pause`: between two tries."""

    shards: int
    copies: int
    patience: int
    pause: int


@dataclass(frozen=True, slots=True)
class Leaves:
    """A send is to leave. `zone`, `cell`: where engines drop its repeats ("" and -1: wherever it goes).
    `since`, `until`: from when on it may run, and how long its key is remembered, of the Unix clock. `by`:
    the latest to be told. `again`: whether a command that may have run may be sent again at all."""

    command: int
    send: int
    key: str
    print: str
    zone: str
    cell: int
    since: int
    until: int
    by: int
    again: bool


@dataclass(frozen=True, slots=True)
class Stays:
    """The send is not wanted any more; nothing follows where it has left already."""

    command: int
    send: int


@dataclass(frozen=True, slots=True)
class Answered:
    """An engine has answered; the client is to get it once it is held."""

    command: int
    answer: bytes
    by: int


@dataclass(frozen=True, slots=True)
class Over:
    """The command needs no answer any more. `ran`: a send of this gateway may have run. `out`: those that
    have not ended. `by`: the latest for its claim to be taken back."""

    command: int
    ran: bool
    out: frozenset[int]
    by: int


@dataclass(frozen=True, slots=True)
class Heard:
    """What a holder answered: promised, known, unkept or maybe. `home`: whom to ask, if it knows."""

    number: int
    what: str
    holding: Holding | None
    why: str
    home: str


@dataclass(frozen=True, slots=True)
class Tick:
    pass


Event = Leaves | Stays | Answered | Over | Heard | Tick


@dataclass(frozen=True, slots=True)
class Ask:
    """Of a holder. `after`: the owner whose claim this one takes the place of."""

    holder: str
    number: int
    finish: bool
    holding: Holding
    after: str


@dataclass(frozen=True, slots=True)
class LetGo:
    command: int
    send: int


@dataclass(frozen=True, slots=True)
class Back:
    """The send has not left, and will not."""

    command: int
    send: int


@dataclass(frozen=True, slots=True)
class Recall:
    """Another gateway may have run it, there and since then; followed by Back."""

    command: int
    zone: str
    cell: int
    since: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Nothing can be promised: the command is to be given up, and has not run here."""

    command: int
    why: str


@dataclass(frozen=True, slots=True)
class Give:
    """The answer that every repeat gets."""

    command: int
    answer: bytes


@dataclass(frozen=True, slots=True)
class Withhold:
    """Nothing that could be told again: failed. Either its answer is not held, or its key was used for
    another statement."""

    command: int
    why: str


Action = Ask | LetGo | Back | Recall | Refuse | Give | Withhold


class Step(Enum):
    """What is being asked for."""

    NOTHING = "nothing"
    CLAIM = "claim"
    FINISH = "finish"
    FREE = "free"


@dataclass(slots=True)
class _Kept:
    """One command. `mine`: its claim, once promised. `wanted`: what is being asked for."""

    told: Leaves
    step: Step = Step.NOTHING
    mine: Holding | None = None
    wanted: Holding | None = None
    after: str = ""
    earlier: Holding | None = None  # another gateway's claim, that ours is to take the place of
    foreign: bool = False  # another gateway may have run it
    waits: int | None = None  # the send that is held back
    number: int = 0
    holder: str = ""
    skipped: list[str] = field(default_factory=list)
    again_at: int = 0
    by: int = 0


class Claims:
    """`session`: a name that no other run of any gateway has."""

    def __init__(self, session: str, holders: Iterable[Holder], terms: ClaimTerms) -> None:
        self._session, self._holders, self._terms = session, tuple(holders), terms
        self._homes: dict[int, str] = {}
        self._orders: dict[int, tuple[str, ...]] = {}  # by shard: whom to ask where the home is not known
        self._kept: dict[int, _Kept] = {}
        self._due: list[tuple[int, int]] = []  # when a command is to be looked at; what is over is passed by
        self._asked: dict[int, int] = {}  # by number: the command
        self._numbers = self._claims = 0
        self._now = 0
        self._out: list[Action] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        self._now, self._out = now, []
        match event:
            case Leaves():
                self._leaves(event)
            case Stays(command, send):
                kept = self._kept.get(command)
                if kept is not None and kept.waits == send:
                    self._back(kept)
            case Answered(command, answer, by):
                self._answered(command, answer, by)
            case Over():
                self._over(event)
            case Heard():
                self._heard(event)
            case Tick():
                while self._due and self._due[0][0] <= now:
                    kept = self._kept.get(heapq.heappop(self._due)[1])
                    if kept is not None:
                        self._look(kept)
        return self._out

    @property
    def next_at(self) -> int | None:
        """When a Tick is due."""
        return self._due[0][0] if self._due else None

    # What this gateway wants

    def _leaves(self, told: Leaves) -> None:
        kept = self._kept.setdefault(told.command, _Kept(told))
        if kept.waits is not None:
            self._back(kept)
        kept.told, kept.waits = told, told.send
        mine, earlier = kept.mine, kept.earlier
        if mine is not None and (mine.zone, mine.cell) == (told.zone, told.cell):
            self._let_go(kept)
        elif earlier is not None and (earlier.zone, earlier.cell) != (told.zone, told.cell):
            self._refuse(kept, "it may have run elsewhere")
        else:
            base = earlier or kept.wanted or mine
            self._claim(kept, base.gateway if base else "", base.since if base else told.since)

    def _claim(self, kept: _Kept, after: str, since: int) -> None:
        told = kept.told
        self._claims += 1
        owner = f"{self._session}/{told.command}/{self._claims}"
        kept.wanted = Holding(
            told.key, told.print, Held.SENT, owner, told.until, b"", told.zone, told.cell, since
        )
        kept.step, kept.after, kept.by = Step.CLAIM, after, told.by
        self._ask(kept)

    def _let_go(self, kept: _Kept) -> None:
        assert kept.waits is not None
        kept.step = Step.NOTHING
        self._out.append(LetGo(kept.told.command, kept.waits))
        kept.waits = None

    def _back(self, kept: _Kept) -> None:
        if kept.waits is not None:
            self._out.append(Back(kept.told.command, kept.waits))
            kept.waits, kept.step = None, Step.NOTHING

    def _refuse(self, kept: _Kept, why: str) -> None:
        self._back(kept)
        self._out.append(Refuse(kept.told.command, why))

    def _answered(self, command: int, answer: bytes, by: int) -> None:
        if (kept := self._kept.get(command)) is None or kept.mine is None:
            self._out.append(Withhold(command, "its claim is not known any more"))
            return
        kept.step, kept.by, kept.after = Step.FINISH, by, ""
        kept.wanted = msgspec.structs.replace(kept.mine, state=Held.ANSWERED, answer=answer)
        self._ask(kept)

    def _over(self, told: Over) -> None:
        kept = self._kept.get(told.command)
        if kept is None or kept.step is Step.FINISH:
            return  # whoever asks again gets the answer though this client has left
        left = any(send != kept.waits for send in told.out)
        self._back(kept)
        newest = kept.wanted or kept.mine
        if told.ran or left or kept.foreign or newest is None:
            self._forget(kept)
            return
        kept.step, kept.by, kept.after = Step.FREE, told.by, newest.gateway
        kept.wanted = msgspec.structs.replace(newest, state=Held.UNRUN)
        self._ask(kept)

    def _forget(self, kept: _Kept) -> None:
        self._asked.pop(kept.number, None)
        self._kept.pop(kept.told.command, None)

    # Asking

    def _ask(self, kept: _Kept) -> None:
        assert kept.wanted is not None
        self._asked.pop(kept.number, None)
        self._numbers += 1
        kept.number, kept.holder = self._numbers, self._whom(kept)
        self._again_in(kept, self._terms.patience)
        self._asked[kept.number] = kept.told.command
        finish = kept.step is Step.FINISH
        self._out.append(Ask(kept.holder, kept.number, finish, kept.wanted, kept.after))

    def _whom(self, kept: _Kept) -> str:
        """The home, as far as is known; then those it would be given to, one after the other."""
        shard = shard_of(kept.told.key, self._terms.shards)
        home = self._homes.get(shard, "")
        if home and home not in kept.skipped:
            return home
        if shard not in self._orders:
            likely = [each.place.name for each in placed(shard, self._holders, self._terms.copies)]
            self._orders[shard] = (*likely, *(each.place.name for each in self._holders))
        for name in self._orders[shard]:
            if name not in kept.skipped:
                return name
        kept.skipped.clear()
        return home or self._orders[shard][0]

    def _again_in(self, kept: _Kept, span: int) -> None:
        """Nothing follows before then, or before its time is over, unless something is heard."""
        kept.again_at = self._now + span
        heapq.heappush(self._due, (min(kept.again_at, kept.by), kept.told.command))

    def _look(self, kept: _Kept) -> None:
        if kept.step is Step.NOTHING:
            return
        if self._now >= kept.by:
            self._too_late(kept, "no home answers")
        elif self._now >= kept.again_at:
            if kept.number in self._asked:  # it has said nothing
                kept.skipped.append(kept.holder)
            self._ask(kept)

    def _too_late(self, kept: _Kept, why: str) -> None:
        match kept.step:
            case Step.CLAIM:
                kept.step = Step.NOTHING
                self._refuse(kept, why)
            case Step.FINISH:
                self._out.append(Withhold(kept.told.command, why))
                self._forget(kept)
            case _:
                self._forget(kept)

    def _heard(self, heard: Heard) -> None:
        command = self._asked.pop(heard.number, None)
        if command is None or (kept := self._kept.get(command)) is None or kept.step is Step.NOTHING:
            return
        if heard.home:
            self._homes[shard_of(kept.told.key, self._terms.shards)] = heard.home
        if heard.what == "promised":
            self._promised(kept)
        elif heard.what == "known" and heard.holding is not None:
            self._known(kept, heard.holding)
        elif self._now + self._terms.pause >= kept.by:
            self._too_late(kept, heard.why)
        elif heard.home and heard.home != kept.holder:
            kept.skipped = [each for each in kept.skipped if each != heard.home]
            self._ask(kept)
        else:
            if not heard.home and heard.what == "unkept":
                kept.skipped.append(kept.holder)
            self._again_in(kept, self._terms.pause)

    def _promised(self, kept: _Kept) -> None:
        match kept.step:
            case Step.CLAIM:
                kept.mine, kept.wanted, kept.earlier = kept.wanted, None, None
                if kept.waits is not None:
                    self._let_go(kept)
                kept.step = Step.NOTHING
            case Step.FINISH:
                assert kept.wanted is not None
                self._out.append(Give(kept.told.command, kept.wanted.answer))
                self._forget(kept)
            case _:
                self._forget(kept)

    def _known(self, kept: _Kept, known: Holding) -> None:
        told = kept.told
        ours = known.gateway.startswith(f"{self._session}/{told.command}/")
        if kept.step is Step.FREE:
            self._forget(kept)
        elif known.print != told.print:
            self._back(kept)
            self._out.append(Withhold(told.command, "its mark was used for another statement"))
            self._forget(kept)
        elif known.state is Held.ANSWERED:
            self._back(kept)
            self._out.append(Give(told.command, known.answer))
            self._forget(kept)
        elif ours:  # a claim before this one, whose answer was lost
            self._claim(kept, known.gateway, known.since)
        elif kept.earlier is not None and (known.zone, known.cell) == (told.zone, told.cell):
            kept.earlier = known  # a third one was quicker, in the same place
            self._claim(kept, known.gateway, known.since)
        elif not told.again and self._now + self._terms.pause < told.by:
            self._again_in(kept, self._terms.pause)  # it may be answered any moment
        else:
            kept.earlier, kept.mine, kept.foreign = known, None, True
            self._out.append(Recall(told.command, known.zone, known.cell, known.since))
            self._back(kept)
