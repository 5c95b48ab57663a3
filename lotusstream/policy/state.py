"""What a gateway keeps: records and sums over time. No decision is made here."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from lotusstream import interface as api
from lotusstream.sliding_window import SlidingWindow

BUCKETS = 16  # whole buckets of a sliding window


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a command."""

    endpoint: Endpoint
    started_at: int
    alone: float  # what its work would take on an idle engine
    expected: float
    number: int
    finish: float  # when it is thought to end
    stalled: bool = False
    told: bool = False  # a note of progress told the finish
    outcome: api.Outcome | None = None
    cancelled: bool = False  # cancelled by this gateway

    @property
    def zone(self) -> int:
        return self.endpoint.entry.zone

    @property
    def cell(self) -> int:
        return self.endpoint.entry.cell


@dataclass(slots=True, eq=False)
class Request:
    id: int
    kind: int  # place of its profile among all
    profile: api.Profile
    group: int
    key: int | None
    hint: int | None
    work: float
    weight: float  # the usual work of its profile, never thought too small
    soft_deadline: int
    deadline: int
    tie_break_seed: int  # drawn once: decides among equals
    pool: Pool  # judged with it
    cell: int | None = None
    attempts: list[Attempt] = field(default_factory=list)
    overlong: int = 0  # sends given up as bad plans
    earlier: list[api.ExecutedElsewhere] = field(default_factory=list)  # by other gateways

    @property
    def out(self) -> list[Attempt]:
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    @property
    def erred(self) -> set[Endpoint]:
        """The engines that answered it with an error."""
        return {attempt.endpoint for attempt in self.attempts if attempt.outcome is api.Outcome.ERROR}

    @property
    def failed_at(self) -> set[Endpoint]:
        """The engines that answered it with an error, or where it was given up."""
        return {attempt.endpoint for attempt in self.attempts if attempt.cancelled} | self.erred

    @property
    def ran(self) -> list[Attempt | api.ExecutedElsewhere]:
        """The sends that may have run."""
        return [
            *self.earlier,
            *[each for each in self.attempts if each.outcome not in api.PROVES_NOT_EXECUTED],
        ]


class Pool:
    """Engines that are judged together: all of them, or those of cells.

    `active`: ready ones with sends out or under pressure. Only these are looked at now and then; of all
    others nothing is known that is not known of the pool, so they count by their cores."""

    def __init__(self, latency_ratios: SlidingWindow, estimates: list[Any], limit_factor: float) -> None:
        self.estimates = estimates  # what each profile's commands take there
        self.latency_ratios, self.out = latency_ratios, 0  # threads of this gateway there
        self.cores = 0.0  # of those that are ready
        self.limit_factor, self.adjusted_at = limit_factor, 0  # of engines of which nothing is known
        self.overloaded, self.baseline_ratio, self.best, self.free_capacity, self.others = (
            False,
            1.0,
            math.inf,
            0.0,
            0.0,
        )
        self.all_overloaded, self.limit_per_core = False, 0.0  # engines of which nothing is known
        self.active: dict[Endpoint, ActiveSums] = {}
        self.changed: dict[Endpoint, None] = {}  # since they were last gauged
        self.sums = ActiveSums(0.0, 0.0, 0.0)

    @property
    def floor(self) -> float:
        """The best latency ratio that is believed."""
        return max(1.0, min(self.best, self.baseline_ratio))

    def count(self, endpoint: Endpoint) -> None:
        """Takes in what was last found of an engine."""
        found = ActiveSums(
            endpoint.cores, endpoint.cores if endpoint.overloaded else 0.0, endpoint.concurrency_limit
        )
        self.sums = self.sums + found - self.active.get(endpoint, NOTHING)
        self.active[endpoint] = found

    def discount(self, endpoint: Endpoint) -> None:
        if (before := self.active.pop(endpoint, None)) is not None:
            self.sums = self.sums - before if self.active else NOTHING


@dataclass(frozen=True, slots=True)
class ActiveSums:
    """Of one active engine or of all of them."""

    cores: float
    overloaded_cores: float
    concurrency_limits: float

    def __add__(self, other: ActiveSums) -> ActiveSums:
        return ActiveSums(
            self.cores + other.cores,
            self.overloaded_cores + other.overloaded_cores,
            self.concurrency_limits + other.concurrency_limits,
        )

    def __sub__(self, other: ActiveSums) -> ActiveSums:
        return ActiveSums(
            self.cores - other.cores,
            self.overloaded_cores - other.overloaded_cores,
            self.concurrency_limits - other.concurrency_limits,
        )


NOTHING = ActiveSums(0.0, 0.0, 0.0)


class Endpoint:
    """An engine as this gateway sees it. Made when it is looked at, kept from the first send on."""

    __slots__ = (
        "_span",
        "adjusted_at",
        "concurrency_limit",
        "cores",
        "ejected_at",
        "ejected_until",
        "entry",
        "failures",
        "full_at",
        "gauged_at",
        "heard",
        "latency_ratio",
        "latency_ratios",
        "limit_factor",
        "loads",
        "lost",
        "out",
        "overdue_ratio",
        "overloaded",
        "phase",
        "pool",
        "retry_credit",
        "slow_start_at",
        "slow_start_work",
        "stalled_ratio",
        "threads",
        "used_at",
        "warm",
    )

    def __init__(
        self, entry: api.EndpointEntry, pool: Pool, cores: float, pace_span: int, retry_credit: float
    ) -> None:
        self.pool, self._span = pool, pace_span
        self.entry, self.cores = entry, cores
        self.threads, self.out = 0, dict[int, tuple[Request, Attempt]]()  # by command and send
        self.loads: dict[int, tuple[Request | None, float]] = {}  # latest load of a group; when it ends
        self.warm: dict[int, int] = {}  # groups last run here, oldest first
        self.latency_ratios: SlidingWindow | None = None  # recent latency over what the work would take alone
        self.latency_ratio, self.overloaded = pool.baseline_ratio, pool.all_overloaded
        self.overdue_ratio = self.stalled_ratio = (
            pool.baseline_ratio
        )  # the pace that sends still out already show; with those that
        # stand behind loads: they hold memory
        self.limit_factor, self.retry_credit = pool.limit_factor, retry_credit
        self.concurrency_limit = cores * pool.limit_per_core  # threads
        self.gauged_at = self.adjusted_at = self.used_at = -1
        self.full_at: int | None = None
        self.heard, self.failures, self.ejected_at = 0, 0, 0
        self.ejected_until: int | None = None
        self.lost = False  # some of the failures were no word of its own
        self.begin_slow_start(None, 0.0)

    def begin_slow_start(self, since: int | None, phase: float) -> None:
        self.slow_start_at, self.phase = since, phase
        self.slow_start_work: SlidingWindow | None = None  # work sent while cold

    def learn_latency_ratio(self, now: int, latency_ratio: float, buckets: int) -> None:
        self.latency_ratios = self.latency_ratios or SlidingWindow(self._span, buckets)
        self.latency_ratios.add(now, latency_ratio)
        self.pool.changed[self] = None

    def begins(self, request: Request, attempt: Attempt, keep: int) -> int | None:
        """A send goes out. `keep`: how many groups stay warm there. Returns the group that no longer does."""
        threads, cooled = request.profile.threads, None
        request.attempts.append(attempt)
        self.heard = self.heard if self.out else attempt.started_at
        self.out[request.id << 8 | attempt.number] = (request, attempt)
        self.threads += threads
        self.pool.free_capacity, self.pool.out = self.pool.free_capacity - threads, self.pool.out + threads
        self.pool.changed[self] = None
        self.used_at = attempt.started_at
        self.warm.pop(request.group, None)
        self.warm[request.group] = attempt.started_at
        if len(self.warm) > keep:
            cooled = next(iter(self.warm))
            del self.warm[cooled]
        if self.slow_start_work is not None:
            self.slow_start_work.add(attempt.started_at, request.weight)
        return cooled

    def ends(self, send: int) -> tuple[Request, Attempt] | None:
        """A send has its outcome, if it is known here."""
        if (held := self.out.pop(send, None)) is not None:
            self.threads -= held[0].profile.threads
            self.pool.out -= held[0].profile.threads
            self.pool.changed[self] = None
        return held
