"""The state of requests, attempts, endpoints and pools. Other modules read it to make decisions.

Times are microseconds of the caller's clock; work is in thread microseconds. The latency ratio of an attempt
is its latency divided by its ideal latency, the expected run time on an idle endpoint. A limit factor is the
number of threads per core that all gateways together may occupy.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from lotusstream import interface as api
from lotusstream.policy.context import WINDOW_BUCKET_COUNT
from lotusstream.policy.estimates import ProfileEstimates
from lotusstream.sliding_window import SlidingWindow

ATTEMPT_NUMBER_BITS = 8  # low bits of an attempt's key; the request's id is above them


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at an endpoint."""

    endpoint: Endpoint
    started_at: int
    ideal_latency: float  # expected run time on an idle endpoint, microseconds
    expected_latency: float  # expected run time at the endpoint's latency ratio, microseconds
    number: int  # number within the request, from 0
    expected_end: float  # time at which the attempt is expected to end
    # waits for a load of its table group, so its latency says nothing about the endpoint
    stalled: bool = False
    progress_reported: bool = False  # expected_end was computed from a progress report
    outcome: api.Outcome | None = None  # None: still running
    cancelled: bool = False  # this gateway has cancelled the attempt

    @property
    def zone(self) -> int:
        """The zone of the attempt's endpoint."""
        return self.endpoint.entry.zone

    @property
    def cell(self) -> int:
        """The deduplication cell of the attempt's endpoint."""
        return self.endpoint.entry.cell


@dataclass(slots=True, eq=False)
class Request:
    """A request that this gateway received, kept until the last of its attempts has ended."""

    id: int
    profile_index: int
    profile: api.Profile
    group: int  # table group
    key: int | None  # requests with the same key run one at a time; None: not ordered
    work_hint: int | None  # the client's estimate of the work; None: no estimate
    work: float  # expected work, see ProfileEstimates.estimate
    typical_work: float  # mean work of the profile, biased high while few requests were observed
    soft_deadline: int  # time until which an answer has its full value
    deadline: int  # time by which the request must have its final answer
    # 32-bit random number: breaks ties between endpoints, and decides whether a degradation level admits the
    # request
    random_value: int
    pool: Pool  # pool of the endpoints at which the request may run
    cell: int | None = None  # cell of the tenant: the request runs only there; None: no cell
    attempts: list[Attempt] = field(default_factory=list)
    runaway_count: int = 0  # number of attempts cancelled as runaways
    # possible executions by other gateways
    executions_elsewhere: list[api.ExecutedElsewhere] = field(default_factory=list)

    @property
    def running_attempts(self) -> list[Attempt]:
        """The attempts without an outcome."""
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    @property
    def endpoints_with_error(self) -> set[Endpoint]:
        """The endpoints at which an attempt ended with an error."""
        return {attempt.endpoint for attempt in self.attempts if attempt.outcome is api.Outcome.ERROR}

    @property
    def endpoints_to_avoid(self) -> set[Endpoint]:
        """The endpoints at which an attempt ended with an error or was cancelled."""
        cancelled = {attempt.endpoint for attempt in self.attempts if attempt.cancelled}
        return cancelled | self.endpoints_with_error

    @property
    def possible_executions(self) -> list[Attempt | api.ExecutedElsewhere]:
        """The attempts that may have been executed, first those by other gateways, then by this one."""
        return [
            *self.executions_elsewhere,
            *[attempt for attempt in self.attempts if attempt.outcome not in api.PROVES_NOT_EXECUTED],
        ]


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """A running attempt and its request."""

    request: Request
    attempt: Attempt


@dataclass(slots=True, eq=False)
class GroupLoad:
    """The latest load of a table group at an endpoint."""

    request: Request | None  # None: another gateway started the load
    expected_end: float  # time at which the load is expected to end


class Pool:
    """Endpoints that share limits and latency statistics: those of some cells, or those outside all cells.

    `active` holds the ready endpoints that have running attempts or are overloaded. Only these are evaluated
    periodically. Any other endpoint is inactive: it counts by its cores, with the latency and limit factor of
    the pool.
    """

    def __init__(self, latency_span: int, estimates: list[ProfileEstimates], limit_factor: float) -> None:
        """Creates an empty pool.

        :param latency_span: microseconds for which a latency counts.
        :param limit_factor: initial limit factor.
        """
        self.estimates = estimates  # by profile index
        # natural logarithms of the latency ratios of attempts in the pool
        self.latency_ratios = SlidingWindow(latency_span, WINDOW_BUCKET_COUNT)
        self.threads = 0  # threads occupied by this gateway's attempts
        self.cores = 0.0  # total cores of the ready endpoints
        self.limit_factor = limit_factor  # limit factor of inactive endpoints
        self.limit_adjusted_at = 0  # time at which limit_factor was last adapted
        self.overloaded = False  # so many cores are overloaded that the limits of all endpoints are enforced
        self.baseline_ratio = 1.0  # recent latency ratio of all endpoints together, at least 1
        self.best_ratio = math.inf  # lowest baseline ratio so far; grows slowly at each evaluation
        self.free_capacity = 0.0  # further threads that this gateway may occupy
        self.peer_threads_per_core = 0.0  # estimated threads that other gateways occupy, per core
        # True: the baseline ratio is well above the best ratio, so inactive endpoints count as overloaded.
        self.latency_overloaded = False
        self.limit_per_core = 0.0  # threads per core that this gateway may occupy at inactive endpoints
        self.active: dict[Endpoint, ActiveSums] = {}  # active endpoints and their contributions to `sums`
        self.changed: dict[Endpoint, None] = {}  # endpoints whose limits are out of date
        self.sums = ActiveSums(0.0, 0.0, 0.0)  # totals over the active endpoints

    @property
    def reference_ratio(self) -> float:
        """The latency ratio that counts as normal: the lower of best and baseline ratio, at least 1."""
        return max(1.0, min(self.best_ratio, self.baseline_ratio))

    def set_active(self, endpoint: Endpoint) -> None:
        """Adds an endpoint to the active ones, or updates its contribution to the totals."""
        sums = ActiveSums(
            endpoint.cores, endpoint.cores if endpoint.overloaded else 0.0, endpoint.concurrency_limit
        )
        self.sums = self.sums + sums - self.active.get(endpoint, NO_SUMS)
        self.active[endpoint] = sums

    def set_inactive(self, endpoint: Endpoint) -> None:
        """Removes an endpoint from the active ones; does nothing if it is not active."""
        sums = self.active.pop(endpoint, None)
        if sums is not None:
            self.sums = self.sums - sums if self.active else NO_SUMS


@dataclass(frozen=True, slots=True)
class ActiveSums:
    """The cores and limits of one active endpoint, or the totals over all active endpoints of a pool."""

    cores: float
    overloaded_cores: float  # cores of overloaded endpoints
    concurrency_limits: float  # sum of concurrency limits, threads

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


NO_SUMS = ActiveSums(0.0, 0.0, 0.0)


def attempt_key(request_id: int, number: int) -> int:
    """Returns the key of an attempt in Endpoint.running."""
    return request_id << ATTEMPT_NUMBER_BITS | number


class Endpoint:
    """This gateway's state of an endpoint.

    It is created when a placement considers the endpoint, and retained from the first attempt on.
    """

    __slots__ = (
        "_latency_span",
        "concurrency_limit",
        "consecutive_failures",
        "cores",
        "ejected_at",
        "ejected_until",
        "entry",
        "last_attempt_at",
        "last_response_at",
        "latency_ratio",
        "latency_ratios",
        "limit_adjusted_at",
        "limit_computed_at",
        "limit_factor",
        "loads",
        "overdue_ratio",
        "overloaded",
        "pool",
        "rejected_at",
        "retry_credit",
        "running",
        "slow_start_phase",
        "slow_start_since",
        "slow_start_work",
        "stalled_ratio",
        "threads",
        "unresponsive",
        "warm_groups",
    )

    def __init__(
        self, entry: api.EndpointEntry, pool: Pool, cores: float, latency_span: int, retry_credit: float
    ) -> None:
        """Creates the state of an endpoint without attempts.

        `latency_span`: microseconds for which a latency counts. `retry_credit`: initial number of retries.
        """
        self.entry = entry
        self.pool = pool
        self.cores = cores
        self.threads = 0  # threads occupied by this gateway's attempts
        self.running: dict[int, RunningAttempt] = {}  # by attempt_key
        self.loads: dict[int, GroupLoad] = {}  # by table group
        self.warm_groups: dict[int, int] = {}  # time of last use by cached table group, earliest first
        self.retry_credit = retry_credit  # number of retries that the endpoint may be sent
        self.last_attempt_at = -1  # start of the last attempt; -1: none
        # time of the last response, or of the first attempt after idle time if that is later; 0: neither
        self.last_response_at = 0
        self._latency_span = latency_span
        # natural logarithms of the latency ratios of attempts at this endpoint; None: none was recorded
        self.latency_ratios: SlidingWindow | None = None
        self.latency_ratio = pool.baseline_ratio  # recent latency ratio of attempts at this endpoint
        # Latency ratios computed from the ages of running attempts. overdue_ratio excludes stalled attempts;
        # stalled_ratio includes them, since an attempt that waits for a load still occupies memory.
        self.overdue_ratio = pool.baseline_ratio
        self.stalled_ratio = pool.baseline_ratio
        self.overloaded = pool.latency_overloaded
        self.limit_factor = pool.limit_factor  # threads per core that all gateways together may occupy
        self.concurrency_limit = cores * pool.limit_per_core  # threads that this gateway may occupy
        self.limit_computed_at = -1  # time at which concurrency_limit was last computed; -1: never
        self.limit_adjusted_at = -1  # time at which limit_factor was last adapted; -1: never
        self.rejected_at: int | None = None  # time of the last rejection of an attempt as full; None: never
        self.consecutive_failures = 0
        # True: the endpoint did not respond at one of these failures, or was ejected as silent.
        self.unresponsive = False
        self.ejected_at = 0  # start of the last ejection; 0: never ejected
        self.ejected_until: int | None = None  # end of the ejection; None: not ejected
        self.slow_start_since: int | None = None  # begin of slow start; None: never begun
        self.slow_start_phase = 0.0  # offset of the slow start windows as a fraction of their length, 0 to 1
        self.slow_start_work: SlidingWindow | None = None  # work sent in slow start; None: not used yet

    def begin_slow_start(self, since: int, phase: float) -> None:
        """Begins slow start. `phase`: offset of its windows as a fraction of their length, 0 to 1."""
        self.slow_start_since = since
        self.slow_start_phase = phase
        self.slow_start_work = None

    def learn_latency_ratio(self, now: int, log_ratio: float) -> None:
        """Records the logarithm of an attempt's latency ratio."""
        if self.latency_ratios is None:
            self.latency_ratios = SlidingWindow(self._latency_span, WINDOW_BUCKET_COUNT)
        self.latency_ratios.add(now, log_ratio)
        self.pool.changed[self] = None

    def add_attempt(self, request: Request, attempt: Attempt) -> None:
        """Adds an attempt that starts at this endpoint.

        Also updates the attempts of the request, the totals of the pool and the work sent in slow start.
        """
        request.attempts.append(attempt)
        if not self.running:
            self.last_response_at = attempt.started_at
        self.running[attempt_key(request.id, attempt.number)] = RunningAttempt(request, attempt)
        self.threads += request.profile.threads
        self.pool.free_capacity -= request.profile.threads
        self.pool.threads += request.profile.threads
        self.pool.changed[self] = None
        self.last_attempt_at = attempt.started_at
        if self.slow_start_work is not None:
            self.slow_start_work.add(attempt.started_at, request.typical_work)

    def remove_attempt(self, request_id: int, number: int) -> RunningAttempt | None:
        """Removes and returns an attempt that ended; returns None if it is not running here."""
        running = self.running.pop(attempt_key(request_id, number), None)
        if running is not None:
            self.threads -= running.request.profile.threads
            self.pool.threads -= running.request.profile.threads
            self.pool.changed[self] = None
        return running

    def mark_group_warm(self, group: int, now: int, max_groups: int) -> int | None:
        """Records that a request of the table group starts at this endpoint.

        Returns the group that the endpoint evicts from its cache; None: it evicts none.
        """
        self.warm_groups.pop(group, None)
        self.warm_groups[group] = now
        if len(self.warm_groups) <= max_groups:
            return None
        evicted = next(iter(self.warm_groups))
        del self.warm_groups[evicted]
        return evicted

    def runs_load(self, request: Request) -> bool:
        """Returns whether the request is the latest load of its table group at this endpoint."""
        load = self.loads.get(request.group)
        return request.profile.is_load and load is not None and load.request is request
