"""Affinity sets: the few endpoints at which gateways prefer to run the requests of a table group.

Only these endpoints then have to cache the table group.
"""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.policy.affinity import Affinity, group_seed
from lotusstream.policy.catalog import Catalog, Domain, DomainKey
from lotusstream.policy.context import DOMINANT_SHARE, DecisionContext
from lotusstream.policy.domains import Domains
from lotusstream.policy.spare_capacity import SpareCapacity
from lotusstream.policy.state import Request

WARM_GROUPS_PER_ENDPOINT = 4  # number of table groups that an endpoint is assumed to keep cached
MIN_AFFINITY_SET_SIZE = 2  # number of endpoints; if a domain prefers fewer, the set is smaller
# The requests of each table group are counted per epoch. An epoch is this multiple of the shortest latency
# objective.
AFFINITY_EPOCH_OBJECTIVES = 16

MAX_AFFINITY_SETS = 4096  # most sets that are kept

# The endpoints of a set, in order of preference. A gateway whose traffic share is at least DOMINANT_SHARE
# uses an empty set, since it relies on its own observations.
AffinitySet = dict[api.EndpointId, None]


class AffinitySets:
    """The affinity sets of table groups, computed on first use.

    Gateways agree on the sets by hashing groups and endpoints, without exchanging messages. Each endpoint is
    in the sets of as many groups as it keeps cached, and draws are weighted by the groups' request counts.
    This prevents some endpoints from being in the sets of many busy groups while others are in none.
    """

    def __init__(
        self, context: DecisionContext, catalog: Catalog, domains: Domains, spare_capacity: SpareCapacity
    ) -> None:
        self._context = context
        self._catalog = catalog
        self._domains = domains
        self._spare_capacity = spare_capacity
        epoch = AFFINITY_EPOCH_OBJECTIVES * context.shortest_objective
        self._affinity = Affinity(WARM_GROUPS_PER_ENDPOINT, epoch)
        self._sets: dict[tuple[int, DomainKey], AffinitySet] = {}

    def of_request(self, request: Request) -> AffinitySet:
        """Returns the affinity set of the request's table group within the request's domain."""
        domain = self._domains.of_request(request)
        key = (request.group, domain.key)
        if key not in self._sets:
            if len(self._sets) >= MAX_AFFINITY_SETS:  # clients may name ever new groups
                self._sets.clear()
            self._sets[key] = self._compute(request, domain)
        return self._sets[key]

    def _compute(self, request: Request, domain: Domain) -> AffinitySet:
        preferred = domain.preferred
        self._affinity.add_endpoints(domain.first(preferred))
        caching = [
            endpoint_id
            for endpoint_id in self._affinity.endpoints_caching(request.group)
            if self._domains.is_preferred(request, domain, endpoint_id)
        ]
        traffic_ratio = self._affinity.traffic_ratio(request.group, preferred)
        wanted = int(WARM_GROUPS_PER_ENDPOINT * traffic_ratio * preferred)
        size = max(MIN_AFFINITY_SET_SIZE, min(wanted, len(caching)))
        candidates = caching if len(caching) >= size else domain.first(preferred)
        seed = group_seed(request.group)
        caching_ids = set(caching)
        draws = [
            (endpoint_id not in caching_ids, self._draw(seed, request, endpoint_id), endpoint_id)
            for endpoint_id in candidates
            if domain.prefers(self._catalog.rank(endpoint_id))
        ]
        return dict.fromkeys([endpoint_id for _, _, endpoint_id in sorted(draws)[:size]])

    def _draw(self, seed: int, request: Request, endpoint_id: api.EndpointId) -> float:
        entry = self._catalog.entries[endpoint_id]
        return self._spare_capacity.weighted_draw(seed, request.profile, entry)

    def count_request(self, group: int) -> None:
        """Counts a request of a table group, and recomputes the endpoints' weights at some of these calls.

        The weights are recomputed whenever the number of requests in the epoch has doubled. Otherwise they
        would not depend on the requested work before the first epoch is over, and until then unrestricted
        requests would take capacity at the endpoints that restricted profiles need.
        """
        if self._affinity.count_request(self._context.now, group):
            self.rebalance()

    def rebalance(self) -> None:
        """Recomputes the endpoints' weights after a change of the endpoint list, the cells or the traffic."""
        self._spare_capacity.recompute()
        self._sets.clear()

    def refresh(self) -> None:
        """Recomputes the groups assigned to a few endpoints, and drops all sets if the assignment changed."""
        if self._context.share >= DOMINANT_SHARE:
            return
        version = self._affinity.version
        self._affinity.refresh()
        if self._affinity.version != version:
            self._sets.clear()

    def remove(self, endpoint_id: api.EndpointId) -> None:
        """Removes an endpoint that gets no new attempts."""
        self._affinity.remove(endpoint_id)
