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
    """Engines that are judged together: all of them, or those of cells."""

    def __init__(self, paces: Ring, usual: list[Any]) -> None:
        self.usual = usual  # what each profile's commands take there
        self.ready: list[Backend] = []
        self.paces, self.out = paces, 0  # threads of this gateway there
        self.strained, self.calm, self.best, self.room, self.others = False, 1.0, math.inf, 0.0, 0.0


class Backend:
    """An engine as this gateway sees it."""

    def __init__(
        self, entry: api.Engine, pool: Pool, cores: float, paces: Ring, width: float, credit: float
    ) -> None:
        self.pool = pool
        self.entry, self.cores, self.spare = entry, cores, cores  # spare: left by profiles bound to it
        self.threads, self.out = 0, dict[int, tuple[Command, Try]]()  # by command and send
        self.loads: dict[int, tuple[Command | None, float]] = {}  # latest load of a group; when it ends
        self.warm: dict[int, int] = {}  # groups last run here, oldest first
        self.keeps: set[int] = set()  # groups that it is an agreed home to
        self.paces, self.pace = paces, 1.0  # recent latency over what the work would take alone
        self.overdue, self.pressed = 0.0, False  # the pace that sends still out already show
        self.stuck = 0.0  # the same with those that stand behind loads: they hold memory
        self.width, self.slice, self.credit = width, 0.0, credit  # slice: threads, as last bounded
        self.full_at: int | None = None
        self.heard, self.failures, self.aside_at = 0, 0, 0
        self.aside_until: int | None = None
        self.lost = False  # some of the failures were no word of its own
        self.chill(None, 0.0)

    def chill(self, since: int | None, phase: float) -> None:
        self.cold_at, self.phase = since, phase
        self.pushed: Ring | None = None  # work sent while cold

    def begins(self, cmd: Command, a_try: Try, keep: int) -> None:
        """A send goes out. `keep`: how many groups stay warm there."""
        threads = cmd.profile.threads
        cmd.tries.append(a_try)
        self.heard = self.heard if self.out else a_try.at
        self.out[cmd.id << 8 | a_try.number] = (cmd, a_try)
        self.threads += threads
        self.pool.room, self.pool.out = self.pool.room - threads, self.pool.out + threads
        self.warm.pop(cmd.group, None)
        self.warm[cmd.group] = a_try.at
        if len(self.warm) > keep:
            del self.warm[next(iter(self.warm))]
        if self.pushed is not None:
            self.pushed.add(a_try.at, cmd.weight)

    def ends(self, send: int) -> tuple[Command, Try] | None:
        """A send has its outcome, if it is known here."""
        if (held := self.out.pop(send, None)) is not None:
            self.threads -= held[0].profile.threads
            self.pool.out -= held[0].profile.threads
        return held
