"""Dispatch: orders the queued requests and starts their next attempts.

The order follows Shortest Makespan First (SMF) from "Towards Optimal Transaction Scheduling": of a few
sampled requests, the one that adds the least stall starts first. Stall is the time that requests wait while
their table group is being loaded.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from lotusstream import interface as api
from lotusstream.policy.affinity_sets import WARM_GROUPS_PER_ENDPOINT
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.degradation import Degradation
from lotusstream.policy.endpoint_states import EndpointStates
from lotusstream.policy.evaluation_timer import EvaluationTimer
from lotusstream.policy.key_ordering import KeyOrdering
from lotusstream.policy.limits import ConcurrencyLimits
from lotusstream.policy.open_requests import OpenRequests
from lotusstream.policy.placement import Placement, PlacementPolicy
from lotusstream.policy.pools import Pools
from lotusstream.policy.retries import RetryPolicy
from lotusstream.policy.state import Attempt, Endpoint, GroupLoad, Request

SMF_SAMPLE_SIZE = 5  # number of requests compared to find the one that adds the least stall
PLACEMENTS_PER_BATCH = 24  # largest number of placements tried in a batch, which limits its CPU time
HIGHEST_PRIORITY = 3  # priority of loads, since other requests wait for them
EVALUATIONS_PER_ATTEMPT = 4  # an attempt is first evaluated after its expected latency divided by this


@dataclass(slots=True)
class _Batch:
    """The progress of one call of `dispatch`."""

    placements: int = 0  # placements tried so far
    # (profile index, cell) of requests without attempts for which no endpoint was found. Other requests
    # without attempts and with the same profile and cell are not tried in this batch, as none would be found.
    exhausted: set[tuple[int, int | None]] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _Selection:
    index: int  # index of the request in its sample
    placement: Placement


class Dispatcher:
    """Starts attempts of queued requests in the order of soft deadlines, and by SMF within each sample."""

    def __init__(
        self,
        context: DecisionContext,
        timer: EvaluationTimer,
        pools: Pools,
        states: EndpointStates,
        limits: ConcurrencyLimits,
        placement: PlacementPolicy,
        open_requests: OpenRequests,
        key_ordering: KeyOrdering,
        retries: RetryPolicy,
        degradation: Degradation,
    ) -> None:
        self._context = context
        self._timer = timer
        self._pools = pools
        self._states = states
        self._limits = limits
        self._placement = placement
        self._open_requests = open_requests
        self._key_ordering = key_ordering
        self._retries = retries
        self._degradation = degradation
        self._postponed: list[int] = []  # ids of the requests that the last batch did not reach

    def dispatch(self) -> None:
        """Starts attempts of the queued requests that can be placed now.

        The number of placements per batch is limited. The next batch continues with the requests that this
        batch did not reach, so that no request starves.
        """
        ready = self._in_order()
        for pool in self._pools.by_id.values():
            self._limits.compute_pool(pool)
        batch = _Batch()
        while ready and batch.placements < PLACEMENTS_PER_BATCH:
            sample = [ready.popleft() for _ in range(min(SMF_SAMPLE_SIZE, len(ready)))]
            selection = self._select(sample, batch)
            if selection is None:  # these requests stay queued; those after them may find an endpoint
                continue
            self._start_attempt(sample.pop(selection.index), selection.placement.endpoint)
            ready.extendleft(reversed(sample))
        self._postponed = [request.id for request in ready]
        if self._postponed:
            self._timer.plan(self._context.now)
        if self._open_requests.waiting:
            self._timer.plan(self._context.now + self._context.evaluation_interval)

    def _in_order(self) -> deque[Request]:
        """Returns the queued requests that the key order allows to run.

        The requests that the last batch did not reach come first, then the others by soft deadline.
        """
        waiting = self._open_requests.waiting
        postponed = [waiting[request_id] for request_id in self._postponed if request_id in waiting]
        postponed_ids = set(self._postponed)
        others = [request for request in waiting.values() if request.id not in postponed_ids]
        others.sort(key=lambda request: request.soft_deadline)
        return deque(filter(self._key_ordering.is_next, [*postponed, *others]))

    def _select(self, sample: list[Request], batch: _Batch) -> _Selection | None:
        """Selects the request of the sample that adds the least stall; None if no request can be placed."""
        best: _Selection | None = None
        for index, request in enumerate(sample):
            is_new = not request.attempts
            if is_new and (request.profile_index, request.cell) in batch.exhausted:
                continue
            batch.placements += 1
            placement = self._placement.place(request)
            if placement is None:
                if is_new:
                    batch.exhausted.add((request.profile_index, request.cell))
            elif best is None or placement.added_stall < best.placement.added_stall:
                best = _Selection(index, placement)
            if best is not None and not best.placement.added_stall:
                break
        return best

    def _start_attempt(self, request: Request, endpoint: Endpoint) -> None:
        """Starts an attempt, unless it is a retry that exceeds the retry budget."""
        if request.attempts and not self._retries.consume_budget(endpoint):
            return
        del self._open_requests.waiting[request.id]
        attempt = self._new_attempt(request, endpoint)
        self._states.retain(endpoint)
        endpoint.add_attempt(request, attempt)
        self._states.set_warm(endpoint, request.group, WARM_GROUPS_PER_ENDPOINT)
        if request.profile.is_load:
            endpoint.loads[request.group] = GroupLoad(request, attempt.expected_end)
        self._set_priority(request, attempt)
        timeout = request.deadline - self._context.now
        self._context.actions.append(api.StartAttempt(request.id, endpoint.entry.id, timeout))
        self._plan_evaluation(request, attempt)

    def _new_attempt(self, request: Request, endpoint: Endpoint) -> Attempt:
        now = self._context.now
        stall = self._placement.added_stall(request, endpoint)
        ideal_latency = request.work / request.profile.threads
        expected_latency = ideal_latency * max(1.0, endpoint.latency_ratio)
        return Attempt(
            endpoint=endpoint,
            started_at=now,
            ideal_latency=ideal_latency,
            expected_latency=expected_latency,
            number=len(request.attempts),
            expected_end=now + expected_latency + stall,
            stalled=stall > 0,
        )

    def _set_priority(self, request: Request, attempt: Attempt) -> None:
        """Sets the priority before a request's first attempt; loads always get the highest priority."""
        priority = HIGHEST_PRIORITY if request.profile.is_load else self._degradation.priority(request)
        if priority is not None and self._context.capabilities.priorities and not attempt.number:
            self._context.actions.append(api.SetResources(request.id, 0.0, priority))

    def _plan_evaluation(self, request: Request, attempt: Attempt) -> None:
        context = self._context
        wait = max(context.evaluation_interval, int(attempt.expected_latency / EVALUATIONS_PER_ATTEMPT))
        self._timer.plan(min(context.now + wait, request.deadline - context.answer_margin))
