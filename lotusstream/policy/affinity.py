"""Assigns to each endpoint the table groups it should cache.

All gateways compute the assignment by weighted rendezvous hashing, so they agree without exchanging messages.
Each endpoint is assigned a fixed number of groups: those with the lowest weighted draws at this endpoint. The
weight of a group is its number of recent requests. As weights change with the traffic, the assignment is
recomputed periodically, for a few endpoints at a time.

From this assignment, `affinity_sets.py` derives the endpoints that a request prefers.
"""

from __future__ import annotations

import math
import zlib
from collections import Counter, deque
from heapq import nsmallest

from lotusstream import interface as api
from lotusstream.rendezvous import unit_hash

REFRESHED_ENDPOINTS = 16  # most endpoints whose groups one refresh recomputes
MAX_DRAWS_PER_REFRESH = 16_384  # a draw is one group at one endpoint and takes about two microseconds
MAX_COUNTED_GROUPS = 4096  # most table groups whose requests are counted in one epoch


def group_seed(group: int) -> int:
    """Returns the hash seed of a table group, which is the same at all gateways."""
    return zlib.crc32(group.to_bytes(8, "little", signed=True))


class Affinity:
    """The table groups assigned to each endpoint, and the request counts that serve as weights."""

    def __init__(self, groups_per_endpoint: int, epoch: int) -> None:
        """Creates an empty assignment.

        :param groups_per_endpoint: number of table groups that each endpoint caches.
        :param epoch: length of a counting period, microseconds. A group's weight is its number of requests in
            the current and the previous epoch.
        """
        self._groups_per_endpoint = groups_per_endpoint
        self._epoch_length = epoch
        self._epoch = 0  # number of the current epoch
        self._counts = Counter[int]()  # requests in the current epoch, by group
        self._earlier_counts = Counter[int]()  # requests in the previous epoch, by group
        self._total = 0  # requests in the current epoch
        self._earlier_total = 0  # requests in the previous epoch
        self._groups_by_endpoint: dict[api.EndpointId, frozenset[int]] = {}
        self._endpoints_by_group: dict[int, dict[api.EndpointId, None]] = {}
        self._pending: deque[api.EndpointId] = deque()  # endpoints whose groups have yet to be recomputed
        self.version = 0  # number of changes of the assignment so far

    def count_request(self, now: int, group: int) -> bool:
        """Counts a request. Returns whether the number of requests in this epoch is now a power of two.

        If so, the groups of all endpoints are scheduled to be recomputed.
        """
        epoch = now // self._epoch_length
        if epoch != self._epoch:
            self._epoch = epoch
            self._earlier_counts = self._counts
            self._counts = Counter()
            self._earlier_total = self._total
            self._total = 0
        self._counts[group] += 1
        self._total += 1
        if len(self._counts) > MAX_COUNTED_GROUPS:
            self._drop_rare_groups()
        is_power_of_two = not self._total & (self._total - 1)
        if is_power_of_two:
            self._pending = deque(self._groups_by_endpoint)
        return is_power_of_two

    def _drop_rare_groups(self) -> None:
        """Subtracts the median count from all counts, which drops at least half of the groups.

        Clients may name ever new groups, whose counts would take memory and processor time without limit.
        The count of a frequent group is too low by the subtracted numbers (Misra and Gries 1982).
        """
        median = sorted(self._counts.values())[len(self._counts) // 2]
        self._counts = Counter(
            {group: count - median for group, count in self._counts.items() if count > median}
        )

    def traffic_ratio(self, group: int, endpoints: int) -> float:
        """Returns the group's fraction of all requests, 0 to 1.

        `endpoints`: number of endpoints. It is added to the denominator, which keeps the result low while few
        requests were counted.
        """
        count = self._counts[group] + self._earlier_counts[group]
        return count / (self._total + self._earlier_total + endpoints)

    def add_endpoints(self, endpoint_ids: list[api.EndpointId]) -> None:
        """Adds endpoints to the assignment, except those that it already contains."""
        for endpoint_id in endpoint_ids:
            if endpoint_id not in self._groups_by_endpoint:
                self._groups_by_endpoint[endpoint_id] = frozenset()
                self._pending.append(endpoint_id)

    def remove(self, endpoint_id: api.EndpointId) -> None:
        """Removes an endpoint from the assignment; has no effect if the assignment does not contain it."""
        if endpoint_id in self._groups_by_endpoint:
            self._set_groups(endpoint_id, frozenset())
            del self._groups_by_endpoint[endpoint_id]

    def endpoints_caching(self, group: int) -> list[api.EndpointId]:
        """Returns the endpoints to which the group is assigned."""
        return list(self._endpoints_by_group.get(group, ()))

    def refresh(self) -> None:
        """Recomputes the groups of some scheduled endpoints: of fewer if there are many groups."""
        if not self._pending:
            return
        counts = self._counts + self._earlier_counts
        weighted = [(group_seed(group), group, count) for group, count in counts.items()]
        endpoints = max(1, min(REFRESHED_ENDPOINTS, MAX_DRAWS_PER_REFRESH // max(1, len(weighted))))
        for _ in range(min(endpoints, len(self._pending))):
            endpoint_id = self._pending.popleft()
            if endpoint_id not in self._groups_by_endpoint:
                continue
            draws = [
                (-math.log(unit_hash(endpoint_id, seed)) / count, group) for seed, group, count in weighted
            ]
            winners = nsmallest(self._groups_per_endpoint, draws)
            self._set_groups(endpoint_id, frozenset(group for _, group in winners))

    def _set_groups(self, endpoint_id: api.EndpointId, groups: frozenset[int]) -> None:
        before = self._groups_by_endpoint.get(endpoint_id, frozenset())
        if groups == before:
            return
        self.version += 1
        self._groups_by_endpoint[endpoint_id] = groups
        for group in before - groups:
            caching = self._endpoints_by_group[group]
            del caching[endpoint_id]
            if not caching:
                del self._endpoints_by_group[group]
        for group in groups - before:
            self._endpoints_by_group.setdefault(group, {})[endpoint_id] = None
