"""Which level holds: up as told, at once; down one rung at a time, with admission that grows as room is
seen."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.levels.condition import Condition, Values, comparisons, fired, truth
from lotusstream.levels.history import Cause, Change, History, Reading
from lotusstream.levels.ladder import FULL_SERVICE, Ladder, Level
from lotusstream.levels.signal_evaluator import Health, SignalEvaluator
from lotusstream.levels.signals import SIGNALS, Key, Value, spelled, written

TICKS = 40  # in a window
BACK = 4  # admission falls that many times as fast as it grows
UNSURE = 0.5  # of the pace of growth in full service where no room is seen
STEP = 0.02  # of admission, that is worth telling
LONGEST_HOLD = 24 * 3600 * 1_000_000


@dataclass(frozen=True, slots=True)
class Hold:
    """By hand: this level for that long, microseconds, whatever the signals say."""

    level: str
    span: int


@dataclass(frozen=True, slots=True)
class Release:
    """By hand: the signals decide again, from the level held."""


@dataclass(frozen=True, slots=True)
class NewLadder:
    """Another ladder, while running."""

    ladder: Ladder


KeeperEvent = Hold | Release | NewLadder | Health


@dataclass(frozen=True, slots=True)
class RungView:
    """A level as it stands: what its conditions say now. None: unknown."""

    name: str
    enter: str
    leave: str
    entering: bool | None
    leaving: bool | None
    admit: dict[str, float]


@dataclass(frozen=True, slots=True)
class Standing:
    """For operators: the level in force and why."""

    level: str
    rung: int
    since: int
    held_until: int | None
    why: Change | None
    ends_when: str
    next_change: int  # no change by signals before
    admitted: dict[str, float]
    further: str
    stopping: bool
    signals: tuple[tuple[str, Value | None, str], ...]
    rungs: tuple[RungView, ...]
    changes: int


class LevelController:
    """`handle` takes what happened, in order, with the time, and returns what to tell the module."""

    def __init__(self, ladder: Ladder, started: api.GatewayStarted, names: tuple[str, ...]) -> None:
        self._ladder, self._given, self._names = ladder, started, names
        self.every = max(1, ladder.window // TICKS)
        self._gauge = SignalEvaluator(started, names, ladder.window, self.every)
        self._seed, self._draws = zlib.crc32(started.seed.to_bytes(8, "little")), 0
        self.history = History()
        self._rung, self._since, self._changed_at = 0, 0, -ladder.quiet
        self._hold: tuple[int, Cause] | None = None  # until; by whom
        self._entering: list[int | None] = [None] * len(ladder.levels)  # true since
        self._leaving: int | None = None
        self._values: Values = {}
        self._cores: float | None = None  # standing at the last change
        self._admitted = [1.0] * len(names)
        self._told: api.DegradationChanged | None = None
        self._last: int | None = None
        self._stopping = False
        self._jitter, self._pace = 1.0, 1.0
        self.failed: BaseException | None = (
            None  # out of the keeper itself: the module goes on without a level
        )

    def handle(self, now: int, event: api.Event | api.Action | KeeperEvent) -> list[api.Event]:
        """Facts are counted; a tick is due after Settled, at most every fortieth of the window."""
        match event:
            case api.BatchEnded():
                return self._tick(now) if self._last is None or now - self._last >= self.every else []
            case api.ShutdownStarted():
                self._stopping = True
            case api.GatewayStarted():
                self._gauge.begun_anew()
            case Hold():
                return self._take_hold(now, event)
            case Release():
                if self._hold is not None:
                    return self._let_go(now, Cause.HAND, "released by hand")
            case NewLadder(ladder):
                return self._take_ladder(now, ladder)
            case _:
                self._gauge.saw(now, event)
        return []

    def in_force(self) -> api.DegradationChanged | None:
        """What was last told to the module; None for full service. To be told again to a new module."""
        return self._told if self._told is not None and not self._told.is_full_service else None

    def full_service(self) -> api.DegradationChanged:
        many = len(self._names)
        return api.DegradationChanged((1.0,) * many, api.RetriesAllowed.ALL, None, (None,) * many)

    # Time

    def _tick(self, now: int) -> list[api.Event]:
        step = 0 if self._last is None else now - self._last
        first, self._last = self._last is None, now
        watched = self._gauge.tick(now)
        self._values = self._gauge.values(now)
        told: list[api.Event] = [api.SnapshotRequested()]
        if first:
            self._draw()
            told += self._begin(now)
        if not watched:  # what held before a break need not have held in it
            self._entering, self._leaving, step = [None] * len(self._entering), None, 0
        self._weigh(now)
        if not self._stopping:
            told += self._decide(now)
            self._ramp(step)
        return told + self._tell()

    def _weigh(self, now: int) -> None:
        for at, level in enumerate(self._ladder.levels):
            holds = truth(level.enter.what, self._values)
            began = self._entering[at]
            self._entering[at] = (now if began is None else began) if holds else None
        leaves = self._rung and truth(self._ladder.levels[self._rung - 1].leave.what, self._values)
        self._leaving = (now if self._leaving is None else self._leaving) if leaves else None

    def _decide(self, now: int) -> list[api.Event]:
        if self._hold is not None:
            if now < self._hold[0]:
                return []
            return self._let_go(now, Cause.HOLD_ENDED, "its time is over")
        for rung in range(len(self._ladder.levels), self._rung, -1):
            level, began = self._ladder.levels[rung - 1], self._entering[rung - 1]
            if began is None or now - began < self._dwell(level.enter):
                continue
            if now - self._changed_at >= self._ladder.quiet:
                self._go(now, rung, Cause.SIGNALS, level.enter)
            elif self._lost_cores(now):
                self._go(now, rung, Cause.LOST_CORES, level.enter)
            return []
        if self._rung and self._leaving is not None:
            level = self._ladder.levels[self._rung - 1]
            rested = now - self._since >= level.stay and now - self._changed_at >= self._ladder.quiet
            if rested and now - self._leaving >= self._dwell(level.leave):
                self._go(now, self._rung - 1, Cause.SIGNALS, level.leave)
        return []

    def _dwell(self, condition: Condition) -> int:
        """Longer by up to a half, by chance: gateways that see the same don't move as one."""
        return int(condition.dwell * self._jitter)

    def _lost_cores(self, now: int) -> bool:
        cores = self._gauge.standing_cores(now)
        return (
            cores is not None and bool(self._cores) and cores < (self._cores or 0.0) * (1 - self._ladder.lost)
        )

    def _draw(self) -> None:
        self._draws += 2
        chances = [zlib.crc32((self._draws + i).to_bytes(8, "little"), self._seed) / 2**32 for i in (0, 1)]
        self._jitter, self._pace = 1.0 + chances[0] / 2, 0.75 + chances[1] / 2

    # Changes

    def _go(self, now: int, rung: int, cause: Cause, condition: Condition | str) -> None:
        source, self._rung = self._rung, rung
        if isinstance(condition, Condition):
            keys = dict.fromkeys(each.key for each in fired(condition.what, self._values))
            text = str(condition)
        else:
            keys, text = dict.fromkeys(self._keys(rung)), condition
        readings = tuple(
            self._reading(key, value) for key in keys if (value := self._values.get(key)) is not None
        )
        names = (self._ladder.name(source), self._ladder.name(rung))
        self.history.add(Change(now, *names, rung, cause, text, readings, self._ends_when()))
        self._since = self._changed_at = now
        self._leaving, self._cores = None, self._gauge.standing_cores(now)
        self._draw()
        if rung > source:
            self._admitted = [min(a, floor) for a, floor in zip(self._admitted, self._floors(), strict=True)]
        elif not self._ladder.ramp:
            self._admitted = self._floors()

    def _keys(self, rung: int) -> list[Key]:
        if not rung:
            return []
        level = self._ladder.levels[rung - 1]
        return [each.key for each in (*comparisons(level.enter.what), *comparisons(level.leave.what))]

    @staticmethod
    def _reading(key: Key, value: Value) -> Reading:
        return Reading(spelled(key), value.value, written(value.value, SIGNALS[key[0]].unit), value.rests_on)

    def _ends_when(self) -> str:
        if self._hold is not None:
            return "the hold ends or is released"
        if not self._rung:
            return "a level is entered"
        return str(self._ladder.levels[self._rung - 1].leave)

    def _begin(self, now: int) -> list[api.Event]:
        self._since = now
        if (start := self._ladder.start) is None or not (rung := self._ladder.rung(start.level)):
            return []
        self._hold = (now + start.span, Cause.START)
        self._go(now, rung, Cause.START, f"start {start.level} for {start.span / 1e6:g}s")
        return []

    def _take_hold(self, now: int, hold: Hold) -> list[api.Event]:
        rung = self._ladder.rung(hold.level)
        if rung is None or self.refuses(hold) is not None:
            return []
        self._hold = (now + hold.span, Cause.HAND)
        self._go(now, rung, Cause.HAND, f"held by hand for {hold.span / 1e6:g}s")
        if not rung:
            self._admitted = self._floors()
        return self._tell()

    def refuses(self, hold: Hold) -> str | None:
        """What is wrong with it, if anything."""
        if self._ladder.rung(hold.level) is None:
            names = ", ".join([FULL_SERVICE, *(level.name for level in self._ladder.levels)])
            return f"no level is called '{hold.level}': one of {names}"
        if not 0 < hold.span <= LONGEST_HOLD:
            return "a hold lasts more than no time, and 24h at most"
        return None

    def _let_go(self, now: int, cause: Cause, why: str) -> list[api.Event]:
        """The level stays and the signals decide from here."""
        self._hold = None
        self._go(now, self._rung, cause, why)
        return self._tell()

    def _take_ladder(self, now: int, ladder: Ladder) -> list[api.Event]:
        """The level in force keeps its name, or the one that was formerly called so; a level that is no
        more gives way to the rung at its height or the highest there is, and its hold ends."""
        name, height = self._ladder.name(self._rung), self._rung
        renamed = next((at for at, level in enumerate(ladder.levels, 1) if level.formerly == name), None)
        rung = ladder.rung(name) if ladder.rung(name) is not None else renamed
        if rung is None:
            rung, self._hold = min(height, len(ladder.levels)), None
        self._ladder, self._entering, self._leaving = ladder, [None] * len(ladder.levels), None
        self._rung = rung
        why, then = "the operator file was read again", self._ends_when()
        self.history.add(Change(now, name, ladder.name(rung), rung, Cause.RELOAD, why, (), then))
        self._since = self._changed_at = now
        return self._tell()

    # What is reduced

    def _level(self) -> Level | None:
        return self._ladder.levels[self._rung - 1] if self._rung else None

    def _floors(self) -> list[float]:
        level = self._level()
        return [level.admit.get(name, 1.0) if level else 1.0 for name in self._names]

    def _ramp(self, step: int) -> None:
        """Admission grows from the level's least part while there is room, and back to it where there is
        none. In full service it only grows, without room at half the pace. A hold by hand keeps to the
        level as written."""
        floors = self._floors()
        if not self._ladder.ramp or (self._hold is not None and self._rung):
            self._admitted = floors
            return
        room = truth(self._ladder.ramp_while, self._values)
        shrinks = -BACK if room is False else 0.0
        pace = 1.0 if room else shrinks if self._rung else UNSURE
        move = pace * self._pace * step / self._ladder.ramp
        for at, floor in enumerate(floors):
            low = min(floor, self._admitted[at]) if pace >= 0 else min(floor, 1.0)
            self._admitted[at] = min(1.0, max(low, self._admitted[at] + move))

    def _tell(self) -> list[api.Event]:
        level, places = self._level(), range(len(self._names))
        before = self._told.admitted_ratios if self._told else (1.0,) * len(self._names)
        floors = self._floors()
        admitted = tuple(
            self._admitted[at]
            if abs(self._admitted[at] - before[at]) >= STEP or self._admitted[at] in (1.0, floors[at])
            else before[at]
            for at in places
        )
        told = api.DegradationChanged(
            admitted,
            level.further if level else api.RetriesAllowed.ALL,
            level.advice if level else None,
            tuple(level.priorities.get(name) if level else None for name in self._names),
        )
        if told == self._told or (self._told is None and told.is_full_service):
            return []
        self._told = told
        return [told]

    # For operators

    def standing(self, now: int) -> Standing:
        ladder, level = self._ladder, self._level()
        ready_at = self._changed_at + ladder.quiet
        if level is not None:
            ready_at = max(ready_at, self._since + level.stay)
        rungs = tuple(
            RungView(
                each.name,
                str(each.enter),
                str(each.leave),
                truth(each.enter.what, self._values),
                truth(each.leave.what, self._values),
                dict(each.admit),
            )
            for each in ladder.levels
        )
        signals = tuple(
            (spelled(key), value, written(value.value, SIGNALS[key[0]].unit) if value else "unknown")
            for key, value in sorted(self._values.items(), key=lambda item: spelled(item[0]))
        )
        return Standing(
            level=ladder.name(self._rung),
            rung=self._rung,
            since=self._since,
            held_until=self._hold[0] if self._hold else None,
            why=self.history.latest(),
            ends_when=self._ends_when(),
            next_change=ready_at,
            admitted=dict(zip(self._names, self._admitted, strict=True)),
            further=(level.further if level else api.RetriesAllowed.ALL).value,
            stopping=self._stopping,
            signals=signals,
            rungs=rungs,
            changes=self.history.count,
        )


Module = Callable[[int, api.Event], list[api.Action]]


class LevelAdmission:
    """A decision module with a keeper beside it: the keeper sees what the module is told and does, and
    what it decides reaches the module as an event. A keeper that fails is left out: full service, and
    `failed` tells."""

    def __init__(self, module: Module, keeper: LevelController) -> None:
        self._module, self.keeper = module, keeper
        self._without = False

    def handle(self, now: int, event: api.Event | KeeperEvent) -> list[api.Action]:
        if isinstance(event, KeeperEvent):
            return self._tell(now, self._ask(now, event))
        actions = self._module(now, event)
        if isinstance(event, api.GatewayStarted):  # a module that began anew knows of no level
            self._ask(now, event)
            if (reduced := self.keeper.in_force()) is not None:
                actions = actions + self._module(now, reduced)
            return actions
        told = self._ask(now, event)
        for action in actions:
            told = told + self._ask(now, action)
        return actions + self._tell(now, told)

    def _ask(self, now: int, event: api.Event | api.Action | KeeperEvent) -> list[api.Event]:
        if self._without:
            return []
        try:
            return self.keeper.handle(now, event)
        except Exception as error:
            self.keeper.failed, self._without = error, True
            return [self.keeper.full_service()]

    def _tell(self, now: int, events: list[api.Event]) -> list[api.Action]:
        done: list[api.Action] = []
        for event in events:
            actions = list(self._module(now, event))
            for action in actions:
                self._ask(now, action)
            done += [action for action in actions if not isinstance(action, api.GatewaySnapshot)]
        return done
