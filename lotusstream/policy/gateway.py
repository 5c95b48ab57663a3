"""All of lotusstream's decisions.

A caller makes one Gateway and passes it every event, in order, with the time; `handle` returns the
actions to carry out, in order. The first event is Started; Settled follows the last event of a moment,
and held commands are released then. Events and actions: lotusstream/interface.py.
"""

from __future__ import annotations

import math
import zlib
from collections import deque

from lotusstream import interface as api
from lotusstream.interface import (
    EndpointListKind,
    EndpointStatus,
    Idempotency,
    Outcome,
    ProgressKind,
    RejectionReason,
    RetriesAllowed,
)
from lotusstream.policy.affinity import Affinity, group_seed
from lotusstream.policy.catalog import Catalog, Domain, EntryChange, gone
from lotusstream.policy.estimates import ProfileEstimates
from lotusstream.policy.limits import ENOUGH, OPEN_FACTOR, RUNAWAY_RATIO, ConcurrencyLimits, fits
from lotusstream.policy.overload import QueueDelay
from lotusstream.policy.state import BUCKETS, Attempt, Endpoint, Pool, Request
from lotusstream.rendezvous import unit_hash
from lotusstream.sliding_window import SlidingWindow

SAMPLE = 5  # k of SMF: requests that a choice compares
WARM_GROUPS = 4  # table groups that an endpoint keeps warm
WARM_WORTH = 0.75  # the work that is left to a request where its group is warm
EJECTING_FAILURES = 3  # in a row
HIGHEST_PRIORITY = 3
NEVER = 2**62  # no planned stop
RETRY_CREDIT_START = 2.0
RETRY_CREDIT_MOST = 10.0
RETRY_CREDIT_PER_ANSWER = 0.2
SLOW_START_MARGIN = 0.6  # of told cores: busy share of the cores, slow machines, chance
ADMITTED_PART = 0.75  # of a window: a moment that is everyone's then keeps to 0.6 * 1.75 of the budget
PROBE_EVERY = 10  # requests, to learn this gateway's share of the traffic
OVERDUE_RATIO = 3.0  # expected latencies after which an attempt is overdue
LONGEST_REPORTED = 20  # shortest targets for which a peer's report may keep an endpoint ejected
LONGEST_TOLD_AFTER = 60_000_000  # microseconds after a start that a list may tell it
PLACED_AT_ONCE = 24  # choices of an endpoint in one moment
FEW = 40  # endpoints: a choice looks at all of no more than these
SAMPLED = 10  # of more: any by lot
WARM_SAMPLED = 8  # and such that keep the group warm
WIDENED = 48  # and where none of these fits
KNOWN_ENDPOINTS = 128  # whose state is kept whatever becomes of them
KNOWN_IDLE = 8  # shortest targets without an attempt after which one of more is forgotten
KNOWN_FAILED = 64  # and one that has failed, or is in slow start


class Gateway:
    def __init__(self) -> None:
        self.actions: list[api.Action] = []
        self.endpoints: dict[api.EndpointId, Endpoint] = {}  # by their last send, the longest ago first
        self.open: dict[int, Request] = {}
        self.waiting: dict[int, Request] = {}
        self.postponed: list[int] = []  # held ones that the last moment did not come to
        self.order_by_key: dict[int, deque[Request]] = {}
        self.key_quarantine: dict[int, int] = {}
        self.evaluate_at: int | None = None  # when time alone may change something
        self.woken_for: int | None = None
        self.pools: dict[int | None, Pool] = {}  # by name; without cells all engines are of one
        self.cells: dict[int, api.CellEndpointsChanged] = {}
        self.pool_of: dict[api.EndpointId, int] = {}
        self.affinity_sets: dict[object, dict[api.EndpointId, None]] = {}
        self.told_start_at: dict[api.EndpointId, int] = {}  # of starts that the clock can't have right
        self.ran_at: dict[int, dict[api.EndpointId, None]] = {}  # engines that ran a group lately
        self.spare: dict[tuple[int, int], float] = {}  # by zone and kind: the part left by bound profiles
        self.draws, self.stop_by = 0, NEVER
        self.queue_delay = QueueDelay()
        self.reduced: api.DegradationChanged | None = None
        self.reactions = {
            api.GatewayStarted: self._start,
            api.EndpointListReceived: self._learn_engines,
            api.RequestReceived: self._take,
            api.AttemptEnded: self._end_try,
            api.AttemptProgressed: self._note,
            api.HealthCheckEnded: self._probed,
            api.TimerFired: self._woken,
            api.ClientDisconnected: self._client_gone,
            api.ShutdownStarted: self._stop,
            api.BatchEnded: self._settle,
            api.DegradationChanged: self._reduce,
            api.SnapshotRequested: self._tell_beliefs,
            api.CellEndpointsChanged: self._confine,
            api.RequestMigrated: self._rehome,
            api.RequestWithdrawn: self._drop,
            api.ExecutedElsewhere: self._recall,
            api.PeerHealthReported: self._take_peer_report,
        }

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Takes what happened and returns what is to be done."""
        self.now, self.actions = now, []
        self.reactions[type(event)](event)  # type: ignore[operator]
        return self.actions

    def _next_random(self) -> int:
        self.draws += 1
        return zlib.crc32(self.draws.to_bytes(8, "little"), self.seed)

    def _chance(self) -> float:
        return self._next_random() / 2**32

    # What is told

    def _start(self, event: api.GatewayStarted) -> None:
        self.seed = zlib.crc32(event.seed.to_bytes(8, "little"))
        self.given, self.duties, self.allowed = event, event.rule_limits, event.capabilities
        self.shortest = min(profile.latency_objective for profile in event.profiles)
        self.even = self.share = 1.0 / event.gateway_count
        self.limits = ConcurrencyLimits(self.shortest)
        self.catalog = Catalog(self.seed, self.even, self._cores)
        self.affinity = Affinity(WARM_GROUPS, 16 * self.shortest)
        self.in_hand, self.pools[None] = SlidingWindow(4 * self.shortest, BUCKETS), self._new_pool()
        self.unprobed, self.probed = 0, int(self._chance() * PROBE_EVERY)
        self.evaluation_interval = max(event.batch_interval, self.shortest // 20)
        self.taken, self.retries_made = (
            SlidingWindow(self.duties.retry_budget_window, BUCKETS) for _ in range(2)
        )
        if self.allowed.requires_subscription:
            self.actions.append(api.SetListSubscription(True))

    def _learn_engines(self, event: api.EndpointListReceived) -> None:
        if event.kind is EndpointListKind.FAILED:
            self.actions.append(api.SetListSubscription(True))
            return
        at_start = not self.catalog.entries
        changes = self.catalog.apply(event.endpoints, whole=event.kind is not EndpointListKind.DELTA)
        for change in changes:
            self._note_start(change, at_start)
            self._follow(change)
        self._share_out()

    def _cores(self, kind: int) -> float:
        return self.given.kinds[kind].cores if kind < len(self.given.kinds) else 1.0

    def _note_start(self, change: EntryChange, at_start: bool) -> None:
        """Guards slow start against a wall clock that is wrong: a start that is listed as news, and that this
        clock puts in the future or long ago, counts from when it was told."""
        entry = change.after
        if entry is not None and change.before is not None and not change.restarted:
            return
        self.told_start_at.pop(change.id, None)
        if entry is None or not entry.started_at:
            return
        age = self.now - entry.started_at
        if age < 0 or (age > LONGEST_TOLD_AFTER and not at_start):
            self.told_start_at[change.id] = self.now

    def _follow(self, change: EntryChange) -> None:
        """What a change of the list means for the pool and for what is known of the engine."""
        pool = self._pool_of(change.id)
        if change.was_ready and change.before is not None:
            pool.cores -= self._cores(change.before.kind)
        if change.is_ready and change.after is not None:
            pool.cores += self._cores(change.after.kind)
        else:
            self.affinity.remove(change.id)
        known = self.endpoints.get(change.id)
        if known is None:
            return
        if change.after is None:
            known.entry = gone(known.entry)
        elif known.entry.started_at != change.after.started_at:
            fresh = self.endpoints[change.id] = self._new_endpoint(change.after)
            fresh.out, fresh.threads = known.out, known.threads
            pool.discount(known)
            pool.changed.pop(known, None)
            for group in known.warm:
                self._cooled(group, known)
            pool.changed[fresh] = None
            known = fresh
        else:
            known.entry = change.after
        if not change.is_ready:
            pool.discount(known)
        if change.after is None:
            self._drop_if_gone(known)

    def _drop_if_gone(self, endpoint: Endpoint) -> None:
        """One that is gone stays known while it owes outcomes: a key's turn may hang on them."""
        if endpoint.entry.status is EndpointStatus.REMOVED and not endpoint.out:
            self._drop_endpoint(endpoint)

    def _drop_endpoint(self, endpoint: Endpoint) -> None:
        endpoint.pool.discount(endpoint)
        endpoint.pool.changed.pop(endpoint, None)
        self.endpoints.pop(endpoint.entry.id, None)
        for group in endpoint.warm:
            self._cooled(group, endpoint)

    def _cooled(self, group: int, endpoint: Endpoint) -> None:
        ran = self.ran_at.get(group, {})
        ran.pop(endpoint.entry.id, None)
        if not ran:
            self.ran_at.pop(group, None)

    def _new_endpoint(self, entry: api.EndpointEntry) -> Endpoint:
        """An engine of which this gateway knows what is listed and no more. When its windows begin follows
        from its name: it may be looked at any number of times before it is kept."""
        pool = self._pool_of(entry.id)
        made = Endpoint(entry, pool, self._cores(entry.kind), 8 * self.shortest, RETRY_CREDIT_START)
        if entry.started_at:
            phase = unit_hash(entry.id, self.seed ^ entry.started_at & 0xFFFFFFFF)
            made.begin_slow_start(self.told_start_at.get(entry.id, entry.started_at), phase)
        return made

    def _endpoint(self, engine: api.EndpointId) -> Endpoint:
        """What is known of a listed engine."""
        return self.endpoints.get(engine) or self._new_endpoint(self.catalog.entries[engine])

    def _retain(self, endpoint: Endpoint) -> None:
        """Keeps an engine that is sent something, and lets go of what has long been idle."""
        engine = endpoint.entry.id
        if self.endpoints.pop(engine, None) is None:
            endpoint.adjusted_at = self.now
        self.endpoints[engine] = endpoint
        for _ in range(2):
            if len(self.endpoints) <= KNOWN_ENDPOINTS:
                return
            oldest = next(iter(self.endpoints.values()))
            failed = oldest.failures or oldest.ejected_until is not None or self._in_slow_start(oldest)
            idle = self.now - oldest.used_at > (KNOWN_FAILED if failed else KNOWN_IDLE) * self.shortest
            if oldest.out or not idle:
                self.endpoints[oldest.entry.id] = self.endpoints.pop(oldest.entry.id)
            else:
                self._drop_endpoint(oldest)

    def _pool_of(self, engine: api.EndpointId) -> Pool:
        return self.pools[self.pool_of.get(engine) if self.pool_of else None]

    def _new_pool(self) -> Pool:
        longest = max(profile.client_timeout for profile in self.given.profiles)
        estimates = [ProfileEstimates(profile, longest) for profile in self.given.profiles]
        return Pool(SlidingWindow(8 * self.shortest, BUCKETS), estimates, OPEN_FACTOR)

    def _confine(self, event: api.CellEndpointsChanged) -> None:
        """Guards the tenants of one cell against what those of another do to their engines."""
        if event.endpoint_ids:
            self.cells[event.cell] = event
        else:
            self.cells.pop(event.cell, None)
        self.pools.setdefault(event.pool, self._new_pool())
        self.pool_of = {engine: cell.pool for cell in self.cells.values() for engine in cell.endpoint_ids}
        self.catalog.forget_domains()
        self.affinity_sets.clear()
        self._regroup()
        self._share_out()

    def _rehome(self, event: api.RequestMigrated) -> None:
        if request := self.open.get(event.request_id):
            request.cell, cell = event.cell, self.cells.get(event.cell)
            request.pool = self.pools[cell.pool if cell else None]

    def _drop(self, event: api.RequestWithdrawn) -> None:
        if request := self.open.get(event.request_id):
            self._reject(request, RejectionReason.WITHDRAWN)

    def _recall(self, event: api.ExecutedElsewhere) -> None:
        if request := self.open.get(event.request_id):
            request.earlier.append(event)

    def _regroup(self) -> None:
        """Puts every engine into its pool; only where cells change."""
        for pool in self.pools.values():
            pool.cores, pool.out = 0.0, 0
            for endpoint in list(pool.active):
                pool.discount(endpoint)
            pool.changed.clear()
        for entry in self.catalog.entries.values():
            if entry.status is EndpointStatus.READY:
                self._pool_of(entry.id).cores += self._cores(entry.kind)
        for endpoint in self.endpoints.values():
            endpoint.pool = self._pool_of(endpoint.entry.id)
            endpoint.pool.out += endpoint.threads
            endpoint.pool.changed[endpoint] = None

    def _take(self, event: api.RequestReceived) -> None:
        cell = self.cells.get(event.cell) if event.cell is not None else None
        pool = self.pools[cell.pool if cell else None]
        profile, estimates = self.given.profiles[event.profile], pool.estimates[event.profile]
        work = estimates.estimate(self.now, event.work_hint)
        deadline = min(self.now + event.client_timeout, self.stop_by)
        stretch = (
            profile.objective_stretch * work / profile.threads if event.work_hint else 0.0
        )  # most lie under the mean
        soft_deadline = min(int(self.now + profile.latency_objective + stretch), deadline)
        weight = estimates.work.mean(self.now, 2 * estimates.guess, 4.0)
        request = self.open[event.request_id] = self.waiting[event.request_id] = Request(
            event.request_id,
            event.profile,
            profile,
            event.group,
            event.key if profile.ordered_by_key else None,
            event.work_hint,
            work,
            weight,
            soft_deadline,
            deadline,
            self._next_random(),
            pool,
            event.cell,
        )
        if request.key is not None:
            self.order_by_key.setdefault(request.key, deque()).append(request)
        self.taken.add(self.now, 0.0)
        estimates.asked.add(self.now, work)
        if self.affinity.record(self.now, request.group):
            self._share_out()  # guards bound engines from the first commands on, not an epoch later
        self.unprobed += 1
        if self.unprobed >= PROBE_EVERY and self.allowed.health_checks and self.given.reports_in_flight:
            self._probe()
        too_late = deadline - self.now <= 2 * self.evaluation_interval  # nothing can be done
        if self.queue_delay.refuses(self.now, event.queue_delay):
            self._reject(request, RejectionReason.OVERLOADED)
        elif too_late:
            self._reject(request, RejectionReason.TOO_LATE)
        elif not self._admitted(request):
            self._reject(request, RejectionReason.REDUCED)

    def _probe(self) -> None:
        every = self._domain(None, None)
        if len(every):
            self.unprobed, self.probed = 0, self.probed + 1
            self.actions.append(api.StartHealthCheck(every.at(self.probed % len(every))))

    def _client_gone(self, event: api.ClientDisconnected) -> None:
        if request := self.open.get(event.request_id):
            self._forget(request)

    def _stop(self, event: api.ShutdownStarted) -> None:
        """Guards what is open at a planned stop: answered while there is a gateway to answer it."""
        self.stop_by = event.deadline
        for request in self.open.values():
            request.deadline, request.soft_deadline = (
                min(request.deadline, event.deadline),
                min(request.soft_deadline, event.deadline),
            )
        self._plan_evaluation(self.now)

    def _reduce(self, event: api.DegradationChanged) -> None:
        """The level of reduced service: what it does not admit and was not sent yet is answered at once."""
        self.reduced = None if event.is_full_service else event
        for request in [
            request
            for request in self.waiting.values()
            if not request.attempts and not self._admitted(request)
        ]:
            self._reject(request, RejectionReason.REDUCED)

    def _admitted(self, request: Request) -> bool:
        """By the command's lot: a lower part admits none that a higher one would not."""
        return (
            self.reduced is None
            or request.tie_break_seed < self.reduced.admitted_ratios[request.kind] * 2**32
        )

    def _tell_beliefs(self, _event: api.SnapshotRequested) -> None:
        beliefs = [
            api.EndpointSnapshot(
                endpoint.entry.id,
                endpoint.entry.status,
                endpoint.entry.zone,
                endpoint.entry.kind,
                endpoint.cores,
                endpoint.threads,
                len(endpoint.out),
                len(endpoint.loads),
                endpoint.latency_ratio,
                endpoint.overloaded,
                endpoint.concurrency_limit,
                endpoint.retry_credit,
                endpoint.failures,
                endpoint.ejected_until,
                self._slow_start_ends_at(endpoint),
            )
            for endpoint in self._known()
        ]
        baseline_ratio, overloaded = (
            pick(getattr(pool, name) for pool in self.pools.values())
            for pick, name in ((max, "baseline_ratio"), (any, "overloaded"))
        )
        self.actions.append(
            api.GatewaySnapshot(
                tuple(beliefs), self.share, baseline_ratio, overloaded, len(self.open), len(self.waiting)
            )
        )

    def _known(self) -> list[Endpoint]:
        listed = [self._endpoint(engine) for engine in self.catalog.entries]
        return listed + [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.entry.status is EndpointStatus.REMOVED
        ]

    def _woken(self, event: api.TimerFired) -> None:
        self.woken_for = None if event.token == self.woken_for else self.woken_for

    def _probed(self, event: api.HealthCheckEnded) -> None:
        if event.endpoint_id in self.catalog.entries and event.report and event.report.in_flight is not None:
            own = sum(len(endpoint.out) for endpoint in self.endpoints.values()) / max(1, self.catalog.ready)
            self.in_hand.add(self.now, own, max(event.report.in_flight, own))
            own, everyone = self.in_hand.total(self.now)
            self.share = max(self.even / 2, (own + 10 * self.even) / (everyone + 10))

    def _note(self, event: api.AttemptProgressed) -> None:
        endpoint = self.endpoints.get(event.endpoint_id)
        if endpoint is None or (held := endpoint.out.get(event.request_id << 8 | event.attempt)) is None:
            return
        (request, attempt), endpoint.heard = held, self.now
        if event.kind is ProgressKind.PROGRESS and event.amount > 0:
            age = self.now - attempt.started_at
            attempt.finish, attempt.told = attempt.started_at + age / min(1.0, event.amount), True
            if request.profile.is_load and endpoint.loads.get(request.group, (None, 0))[0] is request:
                endpoint.loads[request.group] = (request, attempt.finish)
            self._plan_evaluation(self.now)
        elif event.kind is ProgressKind.WAITS_FOR_LOAD:
            attempt.stalled = True
            endpoint.loads.setdefault(
                request.group, (None, self.now + self.shortest)
            )  # another gateway's load

    def _end_try(self, event: api.AttemptEnded) -> None:
        endpoint = self.endpoints.get(event.endpoint_id)
        held = endpoint.ends(event.request_id << 8 | event.attempt) if endpoint else None
        if endpoint and held:
            self._judge(endpoint, *held, event)
            self._drop_if_gone(endpoint)
        request = held[0] if held else self.open.get(event.request_id)
        if request is None or event.attempt >= len(request.attempts):
            return
        request.attempts[event.attempt].outcome = event.outcome
        if request.key is not None and event.outcome in api.MAY_STILL_BE_RUNNING:
            self.key_quarantine[request.key] = self.now + self.duties.key_quarantine
        if request.id not in self.open:
            self._leave_key_order(request)
        elif event.request_finished or event.outcome is Outcome.ANSWERED:
            self._forget(request)
        elif not request.out and self._may_send_again(request):
            self.waiting[request.id] = request
        elif not request.out:
            self._reject(request, RejectionReason.ATTEMPTS)

    def _judge(self, endpoint: Endpoint, request: Request, attempt: Attempt, event: api.AttemptEnded) -> None:
        """An engine earns credit by its answers and is judged by failures in a row."""
        if request.profile.is_load and endpoint.loads.get(request.group, (None, 0))[0] is request:
            del endpoint.loads[request.group]
        endpoint.heard = self.now if event.endpoint_responded else endpoint.heard
        if event.outcome is Outcome.ANSWERED:
            endpoint.retry_credit = min(RETRY_CREDIT_MOST, endpoint.retry_credit + RETRY_CREDIT_PER_ANSWER)
            if (
                endpoint.ejected_until and endpoint.lost and attempt.started_at >= endpoint.ejected_at
            ):  # may have restarted, unlisted
                endpoint.begin_slow_start(self.now, self._chance())
            endpoint.failures, endpoint.ejected_until, endpoint.lost = 0, None, False
            work = (
                event.work
                or event.latency
                * request.profile.threads
                * min(endpoint.pool.best, endpoint.latency_ratio)
                / endpoint.latency_ratio
            )
            if not attempt.stalled:
                self._learn_latency_ratio(
                    endpoint, request, event.latency, (event.work or request.work) / request.profile.threads
                )
            if event.work or not attempt.stalled:
                endpoint.pool.estimates[request.kind].learn(self.now, work, request.hint)
        elif event.outcome is Outcome.FULL:
            endpoint.full_at = self.now
            endpoint.pool.changed[endpoint] = None
        elif not attempt.cancelled and event.outcome not in (
            Outcome.MOOT,
            Outcome.ERROR if request.erred else None,
        ):
            endpoint.lost = (
                endpoint.lost or not event.endpoint_responded
            )  # what answers has not ended, nor has what it runs
            # a refused connection where nothing else was heard lately tells as much as several late answers
            refused = event.outcome is Outcome.CONNECT_FAILED and self.now - endpoint.heard > self.shortest
            endpoint.failures += EJECTING_FAILURES if refused else 1
            if endpoint.failures >= EJECTING_FAILURES:
                self._eject(endpoint)

    def _eject(self, endpoint: Endpoint) -> None:
        """Longer with each further failure, and by chance: all gateways' trials are no surge of their own."""
        endpoint.lost, endpoint.failures = (
            endpoint.lost or endpoint.failures < EJECTING_FAILURES,
            max(endpoint.failures, EJECTING_FAILURES),
        )
        span = self.shortest * min(4, endpoint.failures - EJECTING_FAILURES + 1) * (0.5 + self._chance())
        endpoint.ejected_at, endpoint.ejected_until = self.now, self.now + int(span)

    def _take_peer_report(self, event: api.PeerHealthReported) -> None:
        """Another's word sets nobody aside. It ends a time aside, at once for some and soon for all: guards
        what has come back against all gateways' trials in one moment. Or it spares trials, for so long."""
        endpoint = self.endpoints.get(event.endpoint_id)
        if endpoint and endpoint.ejected_until and event.is_healthy:
            endpoint.ejected_until = min(
                endpoint.ejected_until, self.now + int(self.shortest * self._chance())
            )
        elif endpoint and endpoint.ejected_until:
            most = endpoint.ejected_at + LONGEST_REPORTED * self.shortest
            endpoint.ejected_until = max(endpoint.ejected_until, min(self.now + self.shortest, most))

    def _learn_latency_ratio(self, endpoint: Endpoint, request: Request, latency: int, alone: float) -> None:
        latency_ratio = math.log(max(latency, 1) / max(alone, 1.0))
        endpoint.learn_latency_ratio(self.now, latency_ratio, BUCKETS)
        for ring in (endpoint.pool.latency_ratios, endpoint.pool.estimates[request.kind].latency_ratios):
            ring.add(self.now, latency_ratio)

    # Endings

    def _forget(self, request: Request) -> None:
        self.open.pop(request.id, None)
        self.waiting.pop(request.id, None)
        for attempt in request.out:
            self._cancel(request, attempt)
        self._leave_key_order(request)

    def _cancel(self, request: Request, attempt: Attempt) -> None:
        if self.allowed.cancellation and not attempt.cancelled:
            attempt.cancelled = True
            self.actions.append(api.CancelAttempt(request.id, attempt.number))

    def _leave_key_order(self, request: Request) -> None:
        if request.key is None or request.out or request.id in self.open:
            return
        line = self.order_by_key.get(request.key, deque())
        if request in line:
            line.remove(request)
        if not line and self.key_quarantine.get(request.key, 0) <= self.now:
            self.order_by_key.pop(request.key, None)
            self.key_quarantine.pop(request.key, None)

    def _reject(self, request: Request, reason: RejectionReason) -> None:
        """The final answer at once: a shed reply where a repeat is harmless, otherwise a failure."""
        advice = self.allowed.max_retry_after
        if self.reduced:  # guards against all that was refused coming back as one
            most = self.reduced.max_retry_after
            advice = int(min(advice, advice if most is None else most) * (1 + self._chance()) / 2)
        dropped = (
            request.profile.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            and request.profile.deduplication_scope is api.DeduplicationScope.ALL
            and self._remembered(request, advice)
        )
        harmless = request.profile.idempotency is Idempotency.IDEMPOTENT or dropped or not request.ran
        reduced = not request.attempts and not self._admitted(request)
        self.actions.append(
            api.RejectRequest(request.id, advice, reduced, reason)
            if harmless
            else api.FailRequest(request.id, reason)
        )
        self._forget(request)

    def _remembered(self, request: Request, after: int) -> bool:
        """A repeat that comes after that time is still dropped by engines, even if it connects late."""
        ran, by = request.ran, self.now + after + self.evaluation_interval + self.allowed.connect_timeout
        return not ran or by < ran[0].started_at + request.profile.deduplication_window

    def _may_send_again(self, request: Request) -> bool:
        # guards all engines against commands that none can use: an error of two is the command's own
        if (
            len(request.attempts) >= self.allowed.max_attempts
            or self.now >= request.deadline
            or len(request.erred) > 1
        ):
            return False
        off = {RetriesAllowed.NONE: bool(request.attempts), RetriesAllowed.IF_NOT_EXECUTED: bool(request.ran)}
        if self.reduced and off.get(self.reduced.retries_allowed):
            return False
        if request.profile.idempotency is Idempotency.NOT_IDEMPOTENT:
            return not request.ran
        return request.profile.idempotency is Idempotency.IDEMPOTENT or self._remembered(request, 0)

    # Where a command may go

    def _domain(self, profile: api.Profile | None, cell: int | None) -> Domain:
        """The engines that a profile's commands of a cell may go to."""
        zones, kinds = (profile.zones, profile.kinds) if profile else (None, None)
        if cell is None:
            return self.catalog.domain((zones, kinds, None), profile.admits if profile else _any)
        inside = self.cells[cell].endpoint_ids if cell in self.cells else frozenset[api.EndpointId]()
        return self.catalog.domain(
            (zones, kinds, cell),
            lambda entry: entry.id in inside and (profile is None or profile.admits(entry)),
        )

    def _allowed_there(self, request: Request, endpoint: Endpoint) -> bool:
        """Of its domain; whether the command may be sent at all was asked before."""
        if endpoint.ejected_until is not None and (endpoint.out or self.now < endpoint.ejected_until):
            return False
        if request.attempts and endpoint.retry_credit < 1:
            return False
        profile, entry = request.profile, endpoint.entry
        if profile.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and (ran := request.ran):
            zone, cell = ran[0].zone == entry.zone, ran[0].cell == entry.cell
            if not {api.DeduplicationScope.ZONE: zone, api.DeduplicationScope.CELL: cell}.get(
                profile.deduplication_scope, True
            ):
                return False
        return not self._in_slow_start(endpoint) or self._slow_start_admits(endpoint, request.weight)

    def _in_slow_start(self, endpoint: Endpoint) -> bool:
        return self._slow_start_ends_at(endpoint) is not None

    def _slow_start_ends_at(self, endpoint: Endpoint) -> int | None:
        until = (
            None
            if endpoint.slow_start_at is None
            else endpoint.slow_start_at + self.duties.slow_start_duration
        )
        return until if until is not None and self.now < until else None

    def _slow_start_admits(self, endpoint: Endpoint, weight: float) -> bool:
        """Guards a just started engine against the sum of all gateways, also where all turn to it in one
        moment, or have just restarted and don't know what they sent. Where this one's part in a window is
        less than the command, it draws for each window whether it may send one; windows begin at another
        time for each gateway, and the sum keeps to the budget on average. Nothing is saved up, and what was
        drawn holds for a part of the window: a moment that is everyone's takes of that much more at most."""
        duties, span = self.duties, self.duties.overload_window
        age = min(1.0, max(0, self.now - (endpoint.slow_start_at or 0)) / max(1, duties.slow_start_duration))
        climbed = (
            duties.slow_start_initial_ratio + (1 - duties.slow_start_initial_ratio) * age * age
        )  # not told; slower than evenly
        part = duties.overload_multiple * climbed * endpoint.cores * SLOW_START_MARGIN * self.even * span
        endpoint.slow_start_work = endpoint.slow_start_work or SlidingWindow(span, BUCKETS)
        if weight <= part:
            return weight <= part - endpoint.slow_start_work.total(self.now)[0]
        turn, passed = divmod(self.now + int(endpoint.phase * span), span)
        tie_break_seed = unit_hash(endpoint.entry.id, zlib.crc32(turn.to_bytes(8, "little"), self.seed))
        free_capacity = part - endpoint.slow_start_work.total(self.now, covering=False)[0]
        return passed < ADMITTED_PART * span and tie_break_seed * weight <= free_capacity

    def _added_stall(self, request: Request, endpoint: Endpoint) -> float:
        """SMF's added cost: the stall behind this gateway's running load, and that a load gives readers."""
        profile, stall = request.profile, 0.0
        if request.group in endpoint.loads and (profile.is_load or profile.waits_for_loads):
            load, ends = endpoint.loads[request.group]
            if load is None and ends <= self.now:
                del endpoint.loads[request.group]
            else:  # a load that outruns its estimate still has time left
                began = load.attempts[-1].started_at if load else self.now
                stall = max(ends - self.now, (self.now - began) / 4)
        if profile.is_load:
            readers = sum(
                other.group == request.group and other.profile.waits_for_loads
                for other, _ in endpoint.out.values()
            )
            others = self.share < 0.5 and endpoint.entry.id in self._affinity_set(request)  # their readers
            stall += (readers + others) * request.work / profile.threads
        return stall

    def _share_out(self) -> None:
        """Guards engines that some profile is bound to against work that could go elsewhere: what a command
        free to go anywhere sees of an engine is what the bound ones are thought to leave."""
        asked = [
            sum([pool.estimates[at].asked.total(self.now)[0] for pool in self.pools.values()])
            for at in range(len(self.given.profiles))
        ]
        level = sum(asked) / max(1.0, self.catalog.ready_cores)  # work asked for a core
        classes = self.catalog.cores_by_class
        self.spare = dict.fromkeys(classes, 1.0)
        for profile, work in zip(self.given.profiles, asked, strict=True):
            if not profile.is_restricted:
                continue
            bound = [each for each in classes if _class_open_to(profile, *each)]
            if level and len(bound) < len(classes):
                taken = work / level / max(1.0, sum([classes[each] for each in bound]))  # part of these
                for each in bound:
                    self.spare[each] = max(0.1, self.spare[each] - taken)
        self.affinity_sets.clear()

    def _draw(self, seed: int, profile: api.Profile, entry: api.EndpointEntry) -> float:
        """A lot by hash, least for the engine drawn: fair by what each has to give."""
        part = 1.0 if profile.is_restricted else self.spare.get((entry.zone, entry.kind), 1.0)
        return -math.log(unit_hash(entry.id, seed)) / (self._cores(entry.kind) * part)

    def _affinity_set(self, request: Request) -> dict[api.EndpointId, None]:
        """The engines where all gateways run a group, agreed without a word by hashing both: two at least.
        Each is home to as many groups as it keeps warm, by lots weighted with what these draw of commands:
        guards engines against being home to many hot groups while others are home to none."""
        domain = self._domain(request.profile, request.cell)
        name = (request.group, domain.key)
        if name not in self.affinity_sets:
            self.affinity_sets[name] = self._agreed_affinity_set(request, domain)
        return self.affinity_sets[name]

    def _agreed_affinity_set(self, request: Request, domain: Domain) -> dict[api.EndpointId, None]:
        preferred = domain.preferred
        self.affinity.enrol(domain.first(preferred))
        rank = self.catalog.rank
        kept = [
            engine
            for engine in self.affinity.kept_by(request.group)
            if self._is_home(request, domain, engine)
        ]
        part = self.affinity.part(request.group, preferred)
        count = max(2, min(int(WARM_GROUPS * part * preferred), len(kept)))
        found = kept if len(kept) >= count else domain.first(preferred)
        keeping, seed = set(kept), group_seed(request.group)
        entries = self.catalog.entries
        draws = [
            (engine not in keeping, self._draw(seed, request.profile, entries[engine]), engine)
            for engine in found
            if domain.prefers(rank(engine))
        ]
        return dict.fromkeys([engine for _, _, engine in sorted(draws)[:count]])

    def _is_home(self, request: Request, domain: Domain, engine: api.EndpointId) -> bool:
        entry = self.catalog.entries.get(engine)
        if (
            entry is None
            or entry.status is not EndpointStatus.READY
            or not domain.prefers(self.catalog.rank(engine))
        ):
            return False
        if not request.profile.admits(entry):
            return False
        return request.cell is None or (
            request.cell in self.cells and engine in self.cells[request.cell].endpoint_ids
        )

    def _place(self, request: Request) -> tuple[float, float, float, Endpoint] | None:
        """The least stall, then the choice among equals: crowding, the engine's speed, and whether it keeps
        the group warm; then the home."""
        if request.attempts and not self._may_send_again(request):
            return None
        domain = self._domain(request.profile, request.cell)
        affinity_set = self._affinity_set(request) if self.share < 0.5 else {}
        if len(domain) <= FEW:
            return self._best_of(
                request, affinity_set, [self._endpoint(engine) for engine in domain.first(FEW)]
            )
        seen = dict.fromkeys(self._warm_sample(request, domain, affinity_set))
        self._sample(domain, SAMPLED, seen)
        looked_at = [self._endpoint(engine) for engine in seen]
        if (found := self._best_of(request, affinity_set, looked_at)) is not None:
            return found
        before = len(seen)
        self._sample(domain, WIDENED, seen, preferred=False)
        return self._best_of(request, affinity_set, [self._endpoint(engine) for engine in [*seen][before:]])

    def _warm_sample(
        self, request: Request, domain: Domain, affinity_set: dict[api.EndpointId, None]
    ) -> list[api.EndpointId]:
        """Some engines that keep the command's group warm, as agreed or as this gateway has seen."""
        if affinity_set:
            warm = [*affinity_set]
        else:
            warm = [
                engine
                for engine in self.ran_at.get(request.group, ())
                if self._is_home(request, domain, engine)
            ]
        if len(warm) <= WARM_SAMPLED:
            return warm
        begin = self._next_random() % len(warm)
        return (warm + warm)[begin : begin + WARM_SAMPLED]

    def _sample(
        self, domain: Domain, count: int, seen: dict[api.EndpointId, None], *, preferred: bool = True
    ) -> None:
        """Adds as many engines of a domain, by lot; fewer where the same come twice."""
        most = domain.preferred if preferred else len(domain)
        for _ in range(min(count, most)):
            seen[domain.at(self._next_random() % most)] = None

    def _best_of(
        self, request: Request, affinity_set: dict[api.EndpointId, None], looked_at: list[Endpoint]
    ) -> tuple[float, float, float, Endpoint] | None:
        options: list[tuple[float, float, Endpoint]] = []
        own = request.profile.threads if self.share >= 0.5 else 0  # guards wide engines against all gateways
        fit = []
        for endpoint in looked_at:
            if 0 <= endpoint.gauged_at <= self.now - self.evaluation_interval:
                self._adjust(endpoint)
                self._gauge(endpoint)
            if fits(request.profile.threads, endpoint) and self._allowed_there(request, endpoint):
                fit.append(endpoint)
        failed_at = request.failed_at
        for endpoint in [endpoint for endpoint in fit if endpoint not in failed_at] or fit:
            part = (
                self.duties.slow_start_initial_ratio if self._in_slow_start(endpoint) else 1.0
            )  # of the commands, or of its room alone
            crowd = (endpoint.pool.others + (endpoint.threads + own) / endpoint.cores) / (
                part if own else 1.0
            )
            warm = endpoint.entry.id in affinity_set if affinity_set else request.group in endpoint.warm
            cost = (
                max(1.0, crowd)
                * max(1.0, endpoint.latency_ratio / endpoint.pool.baseline_ratio)
                * (WARM_WORTH if warm else 1.0)
            )
            options.append((self._added_stall(request, endpoint), cost, endpoint))
        if not options:
            return None
        stall, cost = min([(stall, cost) for stall, cost, _ in options])
        equals = [
            endpoint for other_stall, other, endpoint in options if other_stall == stall and other == cost
        ]
        if len(equals) == 1:
            return stall, cost, 0.0, equals[0]
        lots = [
            (self._tie_break(request, endpoint, affinity_set, own), place)
            for place, endpoint in enumerate(equals)
        ]
        home, place = min(lots)
        return stall, cost, home, equals[place]

    def _tie_break(
        self, request: Request, endpoint: Endpoint, affinity_set: dict[api.EndpointId, None], own: int
    ) -> float:
        """Least for the engine among equals that ran the group last or, where homes are agreed, by lot."""
        if not affinity_set and request.group in endpoint.warm:
            return -float(endpoint.warm[request.group])
        part = self.duties.slow_start_initial_ratio if not own and self._in_slow_start(endpoint) else 1.0
        return self._draw(request.tie_break_seed, request.profile, endpoint.entry) / part

    def _settle(self, _event: api.BatchEnded) -> None:
        if self.waiting:
            self._follow_groups()
            self._release()
        if self.evaluate_at is not None and self.now >= self.evaluate_at:
            self.evaluate_at = None
            self._evaluate()
        if (at := self.evaluate_at) is not None and (self.woken_for is None or at < self.woken_for):
            self.woken_for = at
            self.actions.append(api.SetTimer(at, at))

    def _follow_groups(self) -> None:
        if self.share >= 0.5:
            return
        before = self.affinity.version
        self.affinity.refresh()
        if self.affinity.version != before:
            self.affinity_sets.clear()

    def _plan_evaluation(self, at: int) -> None:
        self.evaluate_at = at if self.evaluate_at is None else min(at, self.evaluate_at)

    def _release(self) -> None:
        """SMF: of the earliest-due held requests, the one that adds least stall goes next. The choices of one
        moment are bounded; the next goes on where this one stopped, so that none is starved."""
        ready = self._in_turn()
        for pool in self.pools.values():
            self._gauge_pool(pool)
        full = set[tuple[int, int | None]]()  # profiles with no place left: within a moment none comes free
        choices = 0
        while ready and choices < PLACED_AT_ONCE:
            sample = [ready.popleft() for _ in range(min(SAMPLE, len(ready)))]
            picked: tuple[float, int, Endpoint] | None = None
            for at, request in enumerate(sample):
                if not request.attempts and (request.kind, request.cell) in full:
                    continue
                choices += 1
                place = self._place(request)
                if place is None and not request.attempts:
                    full.add((request.kind, request.cell))
                elif place and (picked is None or place[0] < picked[0]):
                    picked = (place[0], at, place[3])
                if picked and not picked[0]:
                    break
            if picked:  # otherwise held; later ones may still have room elsewhere
                self._send(sample.pop(picked[1]), picked[2])
                ready.extendleft(reversed(sample))
        self.postponed = [request.id for request in ready]
        if self.postponed:
            self._plan_evaluation(self.now)
        if self.waiting:
            self._plan_evaluation(self.now + self.evaluation_interval)

    def _in_turn(self) -> deque[Request]:
        """Held requests that may go: those that the moment before did not come to, then by their due."""
        before = [self.waiting[each] for each in self.postponed if each in self.waiting]
        passed = set(self.postponed)
        others = [request for request in self.waiting.values() if request.id not in passed]
        others.sort(key=lambda request: request.soft_deadline)
        return deque(filter(self._is_next_for_key, [*before, *others]))

    def _is_next_for_key(self, request: Request) -> bool:
        return request.key is None or (
            self.order_by_key[request.key][0] is request
            and self.now >= self.key_quarantine.get(request.key, 0)
        )

    def _send(self, request: Request, endpoint: Endpoint) -> None:
        if request.attempts:
            taken, made = self.taken.total(self.now, covering=False)[1], self.retries_made.total(self.now)[1]
            if made + 1 > self.duties.retry_budget_min + self.duties.retry_budget_ratio * taken:
                return
            self.retries_made.add(self.now, 0.0)
            endpoint.retry_credit -= 1
        del self.waiting[request.id]
        stall, alone = self._added_stall(request, endpoint), request.work / request.profile.threads
        expected = alone * max(1.0, endpoint.latency_ratio)
        attempt = Attempt(
            endpoint, self.now, alone, expected, len(request.attempts), self.now + expected + stall, stall > 0
        )
        self._retain(endpoint)
        cooled = endpoint.begins(request, attempt, WARM_GROUPS)
        if cooled is not None:
            self._cooled(cooled, endpoint)
        self.ran_at.setdefault(request.group, {})[endpoint.entry.id] = None
        if request.profile.is_load:  # scarce cores go first to what others stand behind
            endpoint.loads[request.group] = (request, attempt.finish)
        named = self.reduced.priorities[request.kind] if self.reduced else None
        rank = HIGHEST_PRIORITY if request.profile.is_load else named
        if rank is not None and self.allowed.priorities and not attempt.number:
            self.actions.append(api.SetResources(request.id, 0.0, rank))
        self.actions.append(api.StartAttempt(request.id, endpoint.entry.id, request.deadline - self.now))
        self._plan_evaluation(
            min(
                self.now + max(self.evaluation_interval, int(expected / 4)),
                request.deadline - 2 * self.evaluation_interval,
            )
        )

    def _evaluate(self) -> None:
        """What time alone brings: ends of patience, silence and the engines' widths."""
        for pool in self.pools.values():
            if pool.latency_ratios.total(self.now)[1] >= ENOUGH:
                pool.best = min(pool.baseline_ratio, pool.best * 1.001)
            self.limits.adapt(pool, pool.baseline_ratio, pool, self.now)
            for endpoint in {**pool.active, **pool.changed}:  # also what was sent to since
                if endpoint.entry.status is EndpointStatus.READY:
                    self._adjust(endpoint)
                    pool.changed[endpoint] = None
        for request in list(self.open.values()):
            fresh = (
                request.work
                / request.profile.threads
                * (request.pool.baseline_ratio if request.pool.overloaded else 1.0)
            )
            useful = (
                request.soft_deadline if request.pool.overloaded else request.deadline
            )  # late answers pay where there is room
            hopeless = request.id in self.waiting and self.now + fresh > useful
            if hopeless or self.now + 2 * self.evaluation_interval >= request.deadline:
                self._reject(request, RejectionReason.HOPELESS)
                continue
            wait = self.evaluation_interval
            if request.out and request.id not in self.waiting:
                self._reconsider(request)
                wait = max(wait, (self.now - request.attempts[-1].started_at) // 4)
            self._plan_evaluation(min(self.now + wait, request.deadline - 2 * self.evaluation_interval))

    def _adjust(self, endpoint: Endpoint) -> None:
        self.limits.take_in_outstanding(endpoint, self.now)
        if endpoint.out and endpoint.ejected_until is None and self._silent(endpoint):
            self._eject(endpoint)
        self.limits.adapt(endpoint, endpoint.latency_ratio, endpoint.pool, self.now)

    def _gauge(self, endpoint: Endpoint) -> None:
        known = self.endpoints.get(endpoint.entry.id) is endpoint  # not one that has restarted since
        self.limits.gauge(endpoint, self.now, self.share, known)

    def _gauge_pool(self, pool: Pool) -> None:
        self.limits.begin_pool(pool, self.now, self.share)
        for endpoint in pool.changed:
            self._gauge(endpoint)
        self.limits.end_pool(pool, self.share)

    def _silent(self, endpoint: Endpoint) -> bool:
        """Overdue sends in a row and not a word: no pause, no slowness, no one bad plan."""
        late = sum(
            self.now - t.started_at > OVERDUE_RATIO * t.expected and not t.stalled for _, t in endpoint.out.values()
        )
        needed = 1 if self.given.progress_interval else EJECTING_FAILURES
        return late >= needed and self.now - endpoint.heard > max(
            self.shortest, 2 * self.given.progress_interval
        )

    def _reconsider(self, request: Request) -> None:
        """Guards against silent engines, bad plans and engines far slower than the rest."""
        attempt, endpoint, profile = request.out[-1], request.out[-1].endpoint, request.profile
        if attempt.cancelled or not (self.allowed.cancellation and self._may_send_again(request)):
            return
        age, alone = self.now - attempt.started_at, request.work / profile.threads
        fresh = alone * max(
            endpoint.pool.baseline_ratio,
            math.exp(endpoint.pool.estimates[request.kind].latency_ratios.mean(self.now, 0.0, 1.0)),
        )
        left = max(attempt.finish - self.now, age / 4) if attempt.told else float(age)
        total = age + left if attempt.told else 0 if self.given.progress_interval else age
        late = self.now + left > max(request.soft_deadline, self.now + 2 * fresh)
        if (
            endpoint.ejected_until
            and endpoint.lost
            and (attempt.started_at <= endpoint.ejected_at or age > OVERDUE_RATIO * attempt.expected)
        ):
            self._eject(endpoint)  # by a trial that stays out too long as well
            self._cancel(request, attempt)
        elif (
            total > RUNAWAY_RATIO * fresh * 2**request.overlong
            and late
            and not profile.is_load
            and not attempt.stalled
        ):
            request.overlong += 1
            self._learn_latency_ratio(
                endpoint, request, int(max(age, min(total, RUNAWAY_RATIO * alone))), alone
            )  # not its short age
            self._cancel(request, attempt)


def _any(_entry: api.EndpointEntry) -> bool:
    return True


def _class_open_to(profile: api.Profile, zone: int, kind: int) -> bool:
    in_zone = profile.zones is None or zone in profile.zones
    return in_zone and (profile.kinds is None or kind in profile.kinds)
