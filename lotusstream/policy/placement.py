"""Placement: selects the endpoint at which a request's next attempt starts.

The attempt starts at the endpoint where it adds the least stall for its own and other requests. Stall is the
time that requests wait while their table group is being loaded. If several endpoints add the same stall, the
one with the lowest cost is selected: cost rises with crowding and slowness and is lower if the table group is
cached. A hash-based draw breaks ties. This is Shortest Makespan First (SMF) from "Towards Optimal Transaction
Scheduling".
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.policy.affinity_sets import AffinitySet, AffinitySets
from lotusstream.policy.catalog import Domain
from lotusstream.policy.context import DOMINANT_SHARE, REMAINING_AGE_DIVISOR, DecisionContext
from lotusstream.policy.domains import Domains
from lotusstream.policy.eligibility import Eligibility
from lotusstream.policy.endpoint_evaluation import EndpointEvaluation
from lotusstream.policy.endpoint_states import EndpointStates
from lotusstream.policy.limits import has_capacity
from lotusstream.policy.retries import RetryPolicy
from lotusstream.policy.slow_start import SlowStart
from lotusstream.policy.spare_capacity import SpareCapacity
from lotusstream.policy.state import Endpoint, Request

FULL_SCAN_ENDPOINTS = 40  # in a domain of up to this many endpoints, all are compared
SAMPLED_ENDPOINTS = 10  # size of the random sample from the preferred endpoints of a larger domain
# Besides the sample, at most this many endpoints that have the table group cached are compared.
WARM_SAMPLED_ENDPOINTS = 8
# If none of these endpoints is usable, a random sample of this size from the whole domain is compared.
WIDENED_SAMPLE_ENDPOINTS = 48
WARM_WORK_RATIO = 0.75  # fraction of a request's work that is needed if its table group is cached


@dataclass(frozen=True, slots=True)
class Placement:
    """The endpoint selected for a request's next attempt, and the stall that the attempt would add there."""

    endpoint: Endpoint
    # Time that requests wait because of the attempt, microseconds. The attempt itself may wait for a load. If
    # it is a load, other requests wait for it.
    added_stall: float


@dataclass(slots=True)
class _Candidate:
    endpoint: Endpoint
    added_stall: float  # as in Placement, microseconds
    cost: float  # dimensionless; see PlacementPolicy._cost


class PlacementPolicy:
    """Selects endpoints; the CPU time of a selection does not grow with the length of the list."""

    def __init__(
        self,
        context: DecisionContext,
        domains: Domains,
        states: EndpointStates,
        affinity_sets: AffinitySets,
        spare_capacity: SpareCapacity,
        evaluation: EndpointEvaluation,
        eligibility: Eligibility,
        retries: RetryPolicy,
        slow_start: SlowStart,
    ) -> None:
        self._context = context
        self._domains = domains
        self._states = states
        self._affinity_sets = affinity_sets
        self._spare_capacity = spare_capacity
        self._evaluation = evaluation
        self._eligibility = eligibility
        self._retries = retries
        self._slow_start = slow_start

    def place(self, request: Request) -> Placement | None:
        """Returns the placement of the request's next attempt; None if the request has to stay queued."""
        if request.attempts and not self._retries.may_attempt(request):
            return None
        domain = self._domains.of_request(request)
        affinity_set: AffinitySet = {}
        if self._context.share < DOMINANT_SHARE:
            affinity_set = self._affinity_sets.of_request(request)
        if len(domain) <= FULL_SCAN_ENDPOINTS:
            return self._best_of(request, affinity_set, domain.first(FULL_SCAN_ENDPOINTS))
        sampled = dict.fromkeys(self._sample_warm(request, domain, affinity_set))
        self._sample(domain, domain.preferred, SAMPLED_ENDPOINTS, sampled)
        found = self._best_of(request, affinity_set, sampled)
        if found is not None:
            return found
        unusable_count = len(sampled)
        self._sample(domain, len(domain), WIDENED_SAMPLE_ENDPOINTS, sampled)
        return self._best_of(request, affinity_set, [*sampled][unusable_count:])

    def _sample_warm(
        self, request: Request, domain: Domain, affinity_set: AffinitySet
    ) -> list[api.EndpointId]:
        """Returns up to WARM_SAMPLED_ENDPOINTS endpoints that have the request's table group cached.

        These are the endpoints of the affinity set. If that is empty, they are the preferred endpoints that
        recently ran requests of the group for this gateway.
        """
        if affinity_set:
            warm = [*affinity_set]
        else:
            warm = [
                endpoint_id
                for endpoint_id in self._states.warm_endpoints(request.group)
                if self._domains.is_preferred(request, domain, endpoint_id)
            ]
        if len(warm) <= WARM_SAMPLED_ENDPOINTS:
            return warm
        begin = self._context.random.next_integer() % len(warm)
        return (warm + warm)[begin : begin + WARM_SAMPLED_ENDPOINTS]

    def _sample(
        self, domain: Domain, population: int, size: int, sampled: dict[api.EndpointId, None]
    ) -> None:
        """Draws `size` times from the first `population` endpoints of a domain.

        Adds the drawn endpoints to `sampled`; an endpoint that is drawn several times is added once.
        """
        for _ in range(min(size, population)):
            sampled[domain.at(self._context.random.next_integer() % population)] = None

    def _best_of(
        self, request: Request, affinity_set: AffinitySet, endpoint_ids: Iterable[api.EndpointId]
    ) -> Placement | None:
        """Returns the best placement among the given endpoints; None if none of them is usable."""
        usable = self._usable(request, endpoint_ids)
        avoided = request.endpoints_to_avoid
        preferred = [endpoint for endpoint in usable if endpoint not in avoided] or usable
        if not preferred:
            return None
        candidates = []
        for endpoint in preferred:
            cost = self._cost(request, endpoint, affinity_set)
            candidates.append(_Candidate(endpoint, self.added_stall(request, endpoint), cost))
        least_stall = min([candidate.added_stall for candidate in candidates])
        least_stalled = [candidate for candidate in candidates if candidate.added_stall == least_stall]
        least_cost = min([candidate.cost for candidate in least_stalled])
        equal = [candidate.endpoint for candidate in least_stalled if candidate.cost == least_cost]
        if len(equal) == 1:
            return Placement(equal[0], least_stall)
        draws = [self._tie_break(request, endpoint, affinity_set) for endpoint in equal]
        return Placement(equal[draws.index(min(draws))], least_stall)

    def _usable(self, request: Request, endpoint_ids: Iterable[api.EndpointId]) -> list[Endpoint]:
        """Returns the endpoints that have capacity for the request and are eligible.

        First evaluates the endpoints whose limits are out of date.
        """
        threads = request.profile.threads
        outdated = self._context.now - self._context.evaluation_interval
        usable = []
        for endpoint in [self._states.get(endpoint_id) for endpoint_id in endpoint_ids]:
            if 0 <= endpoint.limit_computed_at <= outdated:
                self._evaluation.refresh(endpoint)
            if has_capacity(threads, endpoint) and self._eligibility.admits(request, endpoint):
                usable.append(endpoint)
        return usable

    def _cost(self, request: Request, endpoint: Endpoint, affinity_set: AffinitySet) -> float:
        """Returns the cost of an endpoint: its crowding times its slowness, reduced if the group is cached.

        A gateway with at least DOMINANT_SHARE also counts the request's own threads and the reduced capacity
        during slow start. If all gateways did so, all would find the endpoints with many cores least crowded
        and overload them.
        """
        pool = endpoint.pool
        if self._context.share >= DOMINANT_SHARE:
            own = (endpoint.threads + request.profile.threads) / endpoint.cores
            crowding = (pool.peer_threads_per_core + own) / self._slow_start.capacity_ratio(endpoint)
        else:
            crowding = pool.peer_threads_per_core + endpoint.threads / endpoint.cores
        is_warm = endpoint.entry.id in affinity_set if affinity_set else request.group in endpoint.warm_groups
        slowness = max(1.0, endpoint.latency_ratio / pool.baseline_ratio)
        return max(1.0, crowding) * slowness * (WARM_WORK_RATIO if is_warm else 1.0)

    def _tie_break(self, request: Request, endpoint: Endpoint, affinity_set: AffinitySet) -> float:
        """Returns the tie-break value of an endpoint; the lowest value wins.

        Without an affinity set, the endpoint that ran the table group last wins. Otherwise a weighted
        hash-based draw decides.
        """
        if not affinity_set and request.group in endpoint.warm_groups:
            return -float(endpoint.warm_groups[request.group])
        draw = self._spare_capacity.weighted_draw(request.random_value, request.profile, endpoint.entry)
        if self._context.share >= DOMINANT_SHARE:
            return draw
        return draw / self._slow_start.capacity_ratio(endpoint)

    def added_stall(self, request: Request, endpoint: Endpoint) -> float:
        """Returns the stall that the request would add at an endpoint, in microseconds.

        This is the request's own wait for a running load of its table group and, if the request is a load,
        the wait of the readers: running requests that read the group at the endpoint.
        """
        profile = request.profile
        stall = 0.0
        if profile.is_load or profile.waits_for_loads:
            stall = self._stall_behind_load(request, endpoint)
        if profile.is_load:
            stall += self._stalled_readers(request, endpoint) * request.work / profile.threads
        return stall

    def _stall_behind_load(self, request: Request, endpoint: Endpoint) -> float:
        """Returns how long the request would wait for a running load of its table group, in microseconds.

        Drops a load that another gateway started if it is past its expected end.
        """
        load = endpoint.loads.get(request.group)
        if load is None:
            return 0.0
        now = self._context.now
        if load.request is None and load.expected_end <= now:
            del endpoint.loads[request.group]
            return 0.0
        started_at = load.request.attempts[-1].started_at if load.request else now
        return max(load.expected_end - now, (now - started_at) / REMAINING_AGE_DIVISOR)

    def _stalled_readers(self, request: Request, endpoint: Endpoint) -> int:
        """Returns the number of readers that a load would stall at the endpoint.

        The readers of all other gateways count as one, if the endpoint is in the affinity set of the table
        group.
        """
        readers = sum(
            running.request.group == request.group and running.request.profile.waits_for_loads
            for running in endpoint.running.values()
        )
        is_read_elsewhere = self._context.share < DOMINANT_SHARE and endpoint.entry.id in (
            self._affinity_sets.of_request(request)
        )
        return readers + is_read_elsewhere
