"""A simulated fleet on a virtual clock: one gateway, clients that retry, and endpoints that slow down under
overload, crash, and return with a slow start.

A run is deterministic for its seed. The endpoints are stand-ins and do not model a real machine.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from lotusstream import interface as api
from lotusstream.sliding_window import SlidingWindow

MS, S = 1_000, 1_000_000  # microseconds
GRID_US = 5 * MS  # batch interval of the gateway; all events are at multiples of it
# An endpoint with more threads per core than OVERLOAD_THREADS_PER_CORE loses capacity: each further thread
# per core adds OVERLOAD_LOSS_RATIO to the divisor of its capacity.
OVERLOAD_THREADS_PER_CORE, OVERLOAD_LOSS_RATIO = 1.5, 0.3
MAX_ATTEMPTS_PER_ENDPOINT = 400  # most concurrent attempts at an endpoint; a further one fails with FULL
LIST_DELAY_US = 2 * S  # time from a crash of an endpoint until the endpoint list shows it as removed

LOOKUP, REPORT = 0, 1  # numbers of the profiles
PROFILE_NAMES = ("lookup", "report")


EndpointKinds = frozenset[int] | None


def _profile(
    latency_objective: int, client_timeout: int, priority_weight: float, threads: int, kinds: EndpointKinds
) -> api.Profile:
    return api.Profile(
        latency_objective,
        0.0,
        client_timeout,
        priority_weight,
        0.0,
        api.Idempotency.IDEMPOTENT,
        api.DeduplicationScope.ALL,
        0,
        False,
        None,
        kinds,
        False,
        False,
        threads,
    )


PROFILES = (
    _profile(1200 * MS, 6 * S, 1.0, 1, None),
    _profile(5 * S, 20 * S, 8.0, 2, frozenset({1})),
)
MEAN_WORK_US = (200 * MS, 1600 * MS)  # mean thread microseconds of a request, by profile


def gateway_started(seed: int, gateways: int = 1) -> api.GatewayStarted:
    """Returns the first event of a decision module: the settings of the simulated deployment."""
    rule_limits = api.RuleLimits(20 * MS, 0.3, 15 * S, 4.0, S, 300 * MS, math.inf, 0.0, 0, 10 * S)
    capabilities = api.Capabilities(4, True, True, False, False, True, 1000 * MS, False)
    kinds = (api.EndpointKind(8.0, 0.0), api.EndpointKind(8.0, 0.0))
    return api.GatewayStarted(
        seed, gateways, GRID_US, PROFILES, kinds, 1.0, 0, False, capabilities, rule_limits
    )


class DecisionModule(Protocol):
    """The interface of a decision module: events in, actions out, no I/O."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handles an event at a time in microseconds. Returns the actions to carry out."""
        ...


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """An attempt that runs at an endpoint."""

    request_id: int
    attempt: int  # number of the attempt of its request, from 0
    threads: int  # number of threads that it uses
    work: float  # thread microseconds
    started_at: int  # simulated microseconds
    completes_at: float = 0.0  # value of the endpoint's `service_us` at which it completes


class SimulatedEndpoint:
    """A simulated endpoint. Threads share its cores evenly; overload and slow start reduce its capacity."""

    def __init__(self, name: bytes, kind: int, cores: float, rule_limits: api.RuleLimits) -> None:
        self.id, self.kind, self.cores, self.rule_limits = name, kind, cores, rule_limits
        self.is_up = True
        # simulated microseconds of its return, when slow start begins; None: it has not crashed
        self.slow_start_at: int | None = None
        self.running: dict[tuple[int, int], RunningAttempt] = {}  # by request id and attempt number
        # number of threads in use; microseconds of service that each thread has received until `updated_at`
        self.threads, self.service_us, self.updated_at = 0, 0.0, 0
        # heap of `completes_at`, request id and attempt, which may contain attempts that have been removed
        self.completions: list[tuple[float, int, RunningAttempt]] = []
        # work of the attempts that were sent to it during its slow start
        self.slow_start_work = SlidingWindow(rule_limits.overload_window, 20)
        # number of planned completions; only the latest one is valid
        self.plan_version = 0

    def capacity_ratio(self, now: int) -> float:
        """Returns the ratio of the capacity that slow start allows to the full capacity, 0 to 1."""
        if self.slow_start_at is None:
            return 1.0
        part = min(1.0, (now - self.slow_start_at) / self.rule_limits.slow_start_duration)
        return (
            self.rule_limits.slow_start_initial_ratio + (1 - self.rule_limits.slow_start_initial_ratio) * part
        )

    def thread_speed(self, now: int) -> float:
        """Returns the share of a core that each thread gets, 0 to 1."""
        if not self.threads:
            return 1.0
        threads_per_core = self.threads / self.cores
        capacity = (
            self.cores
            * self.capacity_ratio(now)
            / (1 + OVERLOAD_LOSS_RATIO * max(0.0, threads_per_core - OVERLOAD_THREADS_PER_CORE))
        )
        return min(1.0, capacity / self.threads)

    def advance(self, now: int) -> None:
        """Adds the service that each thread has received since the last call."""
        self.service_us += (now - self.updated_at) * self.thread_speed(self.updated_at)
        self.updated_at = now

    def add(self, now: int, running_attempt: RunningAttempt) -> None:
        """Starts an attempt."""
        self.advance(now)
        running_attempt.completes_at = self.service_us + running_attempt.work / running_attempt.threads
        self.running[running_attempt.request_id, running_attempt.attempt] = running_attempt
        self.threads += running_attempt.threads
        heapq.heappush(
            self.completions, (running_attempt.completes_at, running_attempt.request_id, running_attempt)
        )

    def remove(self, now: int, request_id: int, attempt: int) -> RunningAttempt | None:
        """Ends an attempt before or at its completion. Returns it; None: it does not run here."""
        self.advance(now)
        running_attempt = self.running.pop((request_id, attempt), None)
        if running_attempt is not None:
            self.threads -= running_attempt.threads
        return running_attempt

    def next_completion(self, now: int) -> int | None:
        """Returns the simulated time of the next completion if nothing changes; None: no attempt runs."""
        while (
            self.completions
            and (self.completions[0][2].request_id, self.completions[0][2].attempt) not in self.running
        ):
            heapq.heappop(self.completions)
        if not self.completions:
            return None
        return now + max(1, math.ceil((self.completions[0][0] - self.service_us) / self.thread_speed(now)))


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request of a client, over all its retries."""

    profile: int  # number of its profile
    sent_at: int  # simulated microseconds when the client first sent it
    work: float  # thread microseconds
    hint: int  # thread microseconds of work that the client announces
    group: int  # number of its table group
    send_count: int = 0  # number of times that the client has sent it
    met: bool = False  # unused
    over: bool = False  # unused


@dataclass(frozen=True, slots=True)
class Workload:
    """The load and the crashes of a run."""

    duration_s: int  # seconds in which new requests arrive
    rate: Callable[[float, int], float]  # requests per second, by second of the run and profile
    # of each crash: second of the run, numbers of the endpoints, seconds until the endpoints return
    crashes: tuple[tuple[float, tuple[int, ...], float], ...] = ()
    max_retries: int = 3  # most retries of a client after rejections or failures
    # kind and number of cores of each endpoint
    endpoints: tuple[tuple[int, float], ...] = ((0, 8.0),) * 3 + ((1, 8.0),) * 3


@dataclass(slots=True)
class FleetResult:
    """The measurements of a run.

    Lists are by second and profile; a request counts in the second when it was first sent.
    """

    # sum of the priority weights of all requests
    requested_weight: list[list[float]] = field(default_factory=list)
    # sum of the priority weights of the requests that were answered within the latency objective
    met_weight: list[list[float]] = field(default_factory=list)
    lost: int = 0  # number of requests without any reply before the client timeout
    rule_violations: int = 0  # number of times that the gateway violated a rule of the deployment
    attempt_count: int = 0  # number of attempts
    rejection_count: int = 0  # number of replies that reject or fail a request

    def met_ratio(self, profile: int | None = None, since: int = 0) -> float:
        """Returns the ratio of met to requested priority weight, from second `since` on.

        `profile`: None: all profiles together.
        """
        profiles = range(len(PROFILE_NAMES)) if profile is None else (profile,)
        requested_weight = sum(
            self.requested_weight[at][p] for at in range(since, len(self.requested_weight)) for p in profiles
        )
        met_weight = sum(
            self.met_weight[at][p] for at in range(since, len(self.met_weight)) for p in profiles
        )
        return met_weight / requested_weight if requested_weight else 1.0


class FleetSimulation:
    """Plays a workload with one decision module."""

    def __init__(self, workload: Workload, seed: int, module: DecisionModule) -> None:
        self.workload, self.module, self.seed = workload, module, seed
        self.random = random.Random(seed)
        self.settings = gateway_started(seed)
        self.endpoints = {
            bytes([at + 1] * 6): SimulatedEndpoint(
                bytes([at + 1] * 6), kind, cores, self.settings.rule_limits
            )
            for at, (kind, cores) in enumerate(workload.endpoints)
        }
        self.now = 0  # simulated microseconds
        # heap of scheduled callbacks: simulated time, number in the order of scheduling, callback
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.ids = itertools.count(1)  # request ids
        # the request and the time of its client timeout, by request id
        self.open_requests: dict[int, tuple[ClientRequest, int]] = {}
        self.attempt_counts: dict[int, int] = {}  # number of attempts, by request id
        self.result = FleetResult(
            [[0.0] * len(PROFILE_NAMES) for _ in range(workload.duration_s)],
            [[0.0] * len(PROFILE_NAMES) for _ in range(workload.duration_s)],
        )
        self.is_batch_open = False  # whether the module got an event since the last `BatchEnded`

    def schedule_at(self, time: float, callback: Callable[[], None]) -> None:
        """Runs a callback at the next multiple of GRID_US, at or after `time`."""
        rounded = max(self.now, math.ceil(time / GRID_US) * GRID_US)
        heapq.heappush(self.queue, (rounded, next(self.order), callback))

    def run(self) -> FleetResult:
        """Plays the workload until no callback is left."""
        self.send_event(self.settings)
        self.send_event(
            api.EndpointListReceived(
                api.EndpointListKind.SNAPSHOT,
                tuple(self._entry(e, api.EndpointStatus.READY) for e in self.endpoints.values()),
            )
        )
        for profile in range(len(PROFILE_NAMES)):
            self._arrive(profile, 0.0)
        for second, numbers, return_after_s in self.workload.crashes:
            names = [bytes([at + 1] * 6) for at in numbers]
            self.schedule_at(second * S, partial(self._crash, names, return_after_s))
        self.schedule_at(0, self._tick)
        while self.queue:
            self.now = self.queue[0][0]
            while self.queue and self.queue[0][0] == self.now:
                heapq.heappop(self.queue)[2]()
            if self.is_batch_open:
                self.is_batch_open = False
                self._execute(self.module.handle(self.now, api.BatchEnded()))
        return self.result

    def send_event(self, event: api.Event) -> None:
        """Passes an event to the decision module and carries out its actions."""
        self.is_batch_open = True
        self._execute(self.module.handle(self.now, event))

    def _tick(self) -> None:
        """Ends a batch at least every 250 ms, even without events, as the loop of the gateway does."""
        self.is_batch_open = True
        if self.now < (self.workload.duration_s + 30) * S:
            self.schedule_at(self.now + 250 * MS, self._tick)

    def _entry(self, endpoint: SimulatedEndpoint, state: api.EndpointStatus) -> api.EndpointEntry:
        return api.EndpointEntry(endpoint.id, state, 0, 0, endpoint.kind, endpoint.slow_start_at or 0)

    # Clients

    def _arrive(self, profile: int, exact_time: float) -> None:
        """Sends a request and schedules the next one.

        `exact_time`: microseconds, the arrival time before it was rounded up to the grid. Later arrivals are
        counted from it, so that rounding does not change the rate.
        """
        second = exact_time / S
        if second >= self.workload.duration_s:
            return
        rate = self.workload.rate(second, profile)
        if rate > 0 and exact_time:
            work = MEAN_WORK_US[profile] * self.random.lognormvariate(-0.125, 0.5)
            hint = int(work * self.random.lognormvariate(0.0, 0.3))
            request = ClientRequest(profile, self.now, work, max(1, hint), self.random.randrange(12))
            self.result.requested_weight[min(self.now // S, self.workload.duration_s - 1)][profile] += (
                PROFILES[profile].priority_weight
            )
            self._send_request(request)
        after = exact_time + S * self.random.expovariate(max(rate, 1.0))
        self.schedule_at(after, partial(self._arrive, profile, after))

    def _send_request(self, request: ClientRequest) -> None:
        request_id, request.send_count = next(self.ids), request.send_count + 1
        client_timeout = PROFILES[request.profile].client_timeout
        self.open_requests[request_id] = (request, self.now + client_timeout)
        self.schedule_at(self.now + client_timeout, lambda: self._on_client_timeout(request_id))
        self.send_event(
            api.RequestReceived(
                request_id, request.profile, request.hint, None, client_timeout, request.group, None
            )
        )

    def _on_client_timeout(self, request_id: int) -> None:
        if self.open_requests.pop(request_id, None) is not None:
            self.result.lost += 1
            self.send_event(api.ClientDisconnected(request_id))

    def _on_answered(self, request_id: int) -> None:
        """Ends a request, and counts its weight if it was answered within its latency objective."""
        open_request = self.open_requests.pop(request_id, None)
        if open_request is None:
            return
        request = open_request[0]
        if self.now - request.sent_at <= PROFILES[request.profile].latency_objective:
            self.result.met_weight[min(request.sent_at // S, self.workload.duration_s - 1)][
                request.profile
            ] += PROFILES[request.profile].priority_weight

    def _on_rejected(self, request_id: int, retry_after: int) -> None:
        """Ends a request; its client sends it again after `retry_after` microseconds and a random wait."""
        open_request = self.open_requests.pop(request_id, None)
        if open_request is None:
            self.result.rule_violations += 1  # a second reply to one request
            return
        self.result.rejection_count += 1
        request = open_request[0]
        if request.send_count <= self.workload.max_retries:
            wait = retry_after + self.random.uniform(50, 400) * MS
            self.schedule_at(self.now + wait, lambda: self._send_request(request))

    # Actions

    def _execute(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.StartAttempt(request_id, endpoint):
                    self._start_attempt(request_id, endpoint)
                case api.RejectRequest(request_id, retry_after):
                    self._on_rejected(request_id, retry_after)
                case api.FailRequest(request_id):
                    self._on_rejected(request_id, 0)
                case api.CancelAttempt(request_id, attempt):
                    self._cancel(request_id, attempt)
                case api.SetTimer(when, token):
                    self.schedule_at(when, partial(self.send_event, api.TimerFired(token)))
                case _:
                    pass

    def _start_attempt(self, request_id: int, endpoint_id: bytes) -> None:
        attempt = self.attempt_counts.get(request_id, 0)
        self.attempt_counts[request_id] = attempt + 1
        self.result.attempt_count += 1
        endpoint, open_request, started_at = (
            self.endpoints[endpoint_id],
            self.open_requests.get(request_id),
            self.now,
        )
        if open_request is None or not PROFILES[open_request[0].profile].admits(
            self._entry(endpoint, api.EndpointStatus.READY)
        ):
            # the request has ended, or its profile does not allow this endpoint
            self.result.rule_violations += 1
            return
        if not endpoint.is_up or len(endpoint.running) >= MAX_ATTEMPTS_PER_ENDPOINT:
            outcome = api.Outcome.FULL if endpoint.is_up else api.Outcome.CONNECT_FAILED
            self.schedule_at(
                self.now + GRID_US, lambda: self._ended(request_id, attempt, endpoint_id, outcome, started_at)
            )
            return
        request = open_request[0]
        if endpoint.capacity_ratio(self.now) < 1:
            endpoint.slow_start_work.add(self.now, request.work)
            allowed_rate = (
                self.settings.rule_limits.overload_multiple
                * endpoint.cores
                * endpoint.capacity_ratio(self.now)
            )
            if (
                endpoint.slow_start_work.total(self.now)[0]
                > 1.3 * allowed_rate * self.settings.rule_limits.overload_window
            ):
                self.result.rule_violations += 1  # too much work for an endpoint in slow start
        endpoint.add(
            self.now,
            RunningAttempt(request_id, attempt, PROFILES[request.profile].threads, request.work, self.now),
        )
        self._plan_completion(endpoint)

    def _plan_completion(self, endpoint: SimulatedEndpoint) -> None:
        """Schedules the next completion at an endpoint; earlier plans are void."""
        endpoint.plan_version += 1
        plan_version, when = endpoint.plan_version, endpoint.next_completion(self.now)
        if when is not None:
            self.schedule_at(when, lambda: self._complete(endpoint, plan_version))

    def _complete(self, endpoint: SimulatedEndpoint, plan_version: int) -> None:
        if plan_version != endpoint.plan_version:
            return
        endpoint.advance(self.now)
        done = [
            running_attempt
            for running_attempt in endpoint.running.values()
            if running_attempt.completes_at <= endpoint.service_us + 1
        ]
        for running_attempt in done:
            endpoint.remove(self.now, running_attempt.request_id, running_attempt.attempt)
            self._on_completed(endpoint, running_attempt)
        self._plan_completion(endpoint)

    def _on_completed(self, endpoint: SimulatedEndpoint, running_attempt: RunningAttempt) -> None:
        request_finished = running_attempt.request_id not in self.open_requests
        self._on_answered(running_attempt.request_id)
        self.send_event(
            api.AttemptEnded(
                running_attempt.request_id, running_attempt.attempt, endpoint.id, api.Outcome.ANSWERED,
                self.now - running_attempt.started_at, request_finished, int(running_attempt.work), None,
                None, True,
            )
        )  # fmt: skip

    def _cancel(self, request_id: int, attempt: int) -> None:
        for endpoint in self.endpoints.values():
            if endpoint.remove(self.now, request_id, attempt) is not None:
                self._plan_completion(endpoint)
                started_at = self.now
                outcome = api.Outcome.CANCELLED
                self.schedule_at(
                    self.now + GRID_US,
                    partial(self._ended, request_id, attempt, endpoint.id, outcome, started_at),
                )
                return

    def _ended(
        self, request_id: int, attempt: int, name: bytes, outcome: api.Outcome, started_at: int
    ) -> None:
        """Reports the end of an attempt without an answer to the decision module."""
        request_finished, endpoint_responded = (
            request_id not in self.open_requests,
            outcome is api.Outcome.FULL,
        )
        self.send_event(
            api.AttemptEnded(
                request_id,
                attempt,
                name,
                outcome,
                self.now - started_at,
                request_finished,
                None,
                None,
                None,
                endpoint_responded,
            )
        )

    # Faults

    def _crash(self, names: list[bytes], return_after_s: float) -> None:
        """Crashes endpoints: their attempts end, and they return after a while."""
        for name in names:
            endpoint = self.endpoints[name]
            endpoint.is_up = False
            runs = list(endpoint.running.values())
            endpoint.running.clear()
            endpoint.completions.clear()
            endpoint.threads = 0
            for running_attempt in runs:
                self._ended(
                    running_attempt.request_id, running_attempt.attempt, name, api.Outcome.RESET, self.now
                )
        removed = tuple(self._entry(self.endpoints[name], api.EndpointStatus.REMOVED) for name in names)
        self.schedule_at(
            self.now + LIST_DELAY_US,
            lambda: self.send_event(api.EndpointListReceived(api.EndpointListKind.DELTA, removed)),
        )
        self.schedule_at(self.now + return_after_s * S, lambda: self._return(names))

    def _return(self, names: list[bytes]) -> None:
        for name in names:
            endpoint = self.endpoints[name]
            endpoint.is_up, endpoint.slow_start_at, endpoint.updated_at = True, self.now, self.now
            endpoint.service_us, endpoint.slow_start_work = (
                0.0,
                SlidingWindow(self.settings.rule_limits.overload_window, 20),
            )
        ready = tuple(self._entry(self.endpoints[name], api.EndpointStatus.READY) for name in names)
        self.schedule_at(
            self.now + S, lambda: self.send_event(api.EndpointListReceived(api.EndpointListKind.DELTA, ready))
        )
