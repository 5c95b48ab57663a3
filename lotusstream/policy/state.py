"""What a gateway keeps: records and sums over time. No decision is made here."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from lotusstream import interface as api
from lotusstream.ring import Ring


@dataclass(slots=True, eq=False)
class Try:
    """One send of a command."""

    be: Backend
    at: int
    alone: float  # what its work would take on an idle engine
    expected: float
    number: int
    finish: float  # when it is thought to end
    stalled: bool = False
    told: bool = False  # a note of progress told the finish
    outcome: api.Outcome | None = None
    doomed: bool = False  # cancelled by this gateway

    @property
    def zone(self) -> int:
        return self.be.entry.zone

    @property
    def cell(self) -> int:
        return self.be.entry.cell


@dataclass(slots=True, eq=False)
class Command:
    id: int
    kind: int  # place of its profile among all
    profile: api.Profile
    group: int
    key: int | None
    hint: int | None
    work: float
    weight: float  # the usual work of its profile, never thought too small
    due: int
    ends_by: int
    lot: int  # drawn once: decides among equals
    pool: Pool  # judged with it
    cell: int | None = None
    tries: list[Try] = field(default_factory=list)
    overlong: int = 0  # sends given up as bad plans
    earlier: list[api.RanElsewhere] = field(default_factory=list)  # by other gateways

    @property
    def out(self) -> list[Try]:
        return [a_try for a_try in self.tries if a_try.outcome is None]

    @property
    def erred(self) -> set[Backend]:
        """The engines that answered it with an error."""
        return {a_try.be for a_try in self.tries if a_try.outcome is api.Outcome.ERROR}

    @property
    def failed_at(self) -> set[Backend]:
        """The engines that answered it with an error, or where it was given up."""
        return {a_try.be for a_try in self.tries if a_try.doomed} | self.erred

    @property
    def ran(self) -> list[Try | api.RanElsewhere]:
        """The sends that may have run."""
        return [*self.earlier, *[each for each in self.tries if each.outcome not in api.PROVES_NOT_RUN]]


class Pool:
    """Engines that are judged together: all of them, or those of cells.

    `active`: ready ones with sends out or under pressure. Only these are looked at now and then; of all
    others nothing is known that is not known of the pool, so they count by their cores."""

    def __init__(self, paces: Ring, usual: list[Any], width: float) -> None:
        self.usual = usual  # what each profile's commands take there
        self.paces, self.out = paces, 0  # threads of this gateway there
        self.cores = 0.0  # of those that are ready
        self.width, self.adjusted_at = width, 0  # of engines of which nothing is known
        self.strained, self.calm, self.best, self.room, self.others = False, 1.0, math.inf, 0.0, 0.0
        self.all_pressed, self.slice_per_core = False, 0.0  # engines of which nothing is known
        self.active: dict[Backend, ActiveSums] = {}
        self.changed: dict[Backend, None] = {}  # since they were last gauged
        self.sums = ActiveSums(0.0, 0.0, 0.0)

    @property
    def floor(self) -> float:
        """The best latency ratio that is believed."""
        return max(1.0, min(self.best, self.calm))

    def count(self, be: Backend) -> None:
        """Takes in what was last found of an engine."""
        found = ActiveSums(be.cores, be.cores if be.pressed else 0.0, be.slice)
        self.sums = self.sums + found - self.active.get(be, NOTHING)
        self.active[be] = found

    def discount(self, be: Backend) -> None:
        if (before := self.active.pop(be, None)) is not None:
            self.sums = self.sums - before if self.active else NOTHING


@dataclass(frozen=True, slots=True)
class ActiveSums:
    """Of one active engine or of all of them."""

    cores: float
    pressed_cores: float
    slices: float

    def __add__(self, other: ActiveSums) -> ActiveSums:
        return ActiveSums(
            self.cores + other.cores, self.pressed_cores + other.pressed_cores, self.slices + other.slices
        )

    def __sub__(self, other: ActiveSums) -> ActiveSums:
        return ActiveSums(
            self.cores - other.cores, self.pressed_cores - other.pressed_cores, self.slices - other.slices
        )


NOTHING = ActiveSums(0.0, 0.0, 0.0)


class Backend:
    """An engine as this gateway sees it. Made when it is looked at, kept from the first send on."""

    __slots__ = (
        "_span", "adjusted_at", "aside_at", "aside_until", "cold_at", "cores", "credit", "entry", "failures",
        "full_at", "gauged_at", "heard", "loads", "lost", "out", "overdue", "pace", "paces", "phase", "pool",
        "pressed", "pushed", "slice", "stuck", "threads", "used_at", "warm", "width",
    )  # fmt: skip

    def __init__(self, entry: api.Engine, pool: Pool, cores: float, pace_span: int, credit: float) -> None:
        self.pool, self._span = pool, pace_span
        self.entry, self.cores = entry, cores
        self.threads, self.out = 0, dict[int, tuple[Command, Try]]()  # by command and send
        self.loads: dict[int, tuple[Command | None, float]] = {}  # latest load of a group; when it ends
        self.warm: dict[int, int] = {}  # groups last run here, oldest first
        self.paces: Ring | None = None  # recent latency over what the work would take alone
        self.pace, self.pressed = pool.calm, pool.all_pressed
        self.overdue = self.stuck = pool.calm  # the pace that sends still out already show; with those that
        # stand behind loads: they hold memory
        self.width, self.credit = pool.width, credit
        self.slice = cores * pool.slice_per_core  # threads
        self.gauged_at = self.adjusted_at = self.used_at = -1
        self.full_at: int | None = None
        self.heard, self.failures, self.aside_at = 0, 0, 0
        self.aside_until: int | None = None
        self.lost = False  # some of the failures were no word of its own
        self.chill(None, 0.0)

    def chill(self, since: int | None, phase: float) -> None:
        self.cold_at, self.phase = since, phase
        self.pushed: Ring | None = None  # work sent while cold

    def learn_pace(self, now: int, pace: float, buckets: int) -> None:
        self.paces = self.paces or Ring(self._span, buckets)
        self.paces.add(now, pace)
        self.pool.changed[self] = None

    def begins(self, cmd: Command, a_try: Try, keep: int) -> int | None:
        """A send goes out. `keep`: how many groups stay warm there. Returns the group that no longer does."""
        threads, cooled = cmd.profile.threads, None
        cmd.tries.append(a_try)
        self.heard = self.heard if self.out else a_try.at
        self.out[cmd.id << 8 | a_try.number] = (cmd, a_try)
        self.threads += threads
        self.pool.room, self.pool.out = self.pool.room - threads, self.pool.out + threads
        self.pool.changed[self] = None
        self.used_at = a_try.at
        self.warm.pop(cmd.group, None)
        self.warm[cmd.group] = a_try.at
        if len(self.warm) > keep:
            cooled = next(iter(self.warm))
            del self.warm[cooled]
        if self.pushed is not None:
            self.pushed.add(a_try.at, cmd.weight)
        return cooled

    def ends(self, send: int) -> tuple[Command, Try] | None:
        """A send has its outcome, if it is known here."""
        if (held := self.out.pop(send, None)) is not None:
            self.threads -= held[0].profile.threads
            self.pool.out -= held[0].profile.threads
            self.pool.changed[self] = None
        return held
