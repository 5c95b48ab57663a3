"""Counts the tenants with the largest sums, in bounded memory and with exponential decay.

Space-Saving (Metwally, Agrawal and El Abbadi, 2005): a new tenant replaces the one with the smallest count
and takes over its count as its error. So an estimate is never too small, and too large by the error at most.

Forward decay (Cormode, Shkapenyuk, Srivastava and Xu, 2009): new amounts are scaled up instead of scaling old
counts down. So time does not change the order of the counts, and the heap stays valid.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass

# Greatest scale, which is the factor by which new amounts are multiplied. Above it, all counts are divided by
# the scale, long before a float overflows.
MAX_SCALE = 2.0**500
# Greatest exponent of 2 in the scale, however long no amount was added: 2**1024 overflows a float.
MAX_EXPONENT = 1000.0


@dataclass(slots=True)
class _Entry:
    count: float  # sum of the amounts, each scaled by the time of its addition
    error: float  # part of `count` that may belong to replaced tenants, in the same scale


@dataclass(frozen=True, slots=True)
class CountEstimate:
    """Lower and upper bound of a tenant's decayed count."""

    tenant: str
    lower_bound: float
    upper_bound: float


class HeavyHitters:
    """Keeps decayed counts of at most `capacity` tenants."""

    def __init__(self, capacity: int, half_life: int) -> None:
        """
        :param capacity: greatest number of tenants with a count
        :param half_life: time in which a count decays by half, microseconds
        """
        self._capacity = capacity
        self._half_life = half_life
        self._entries: dict[str, _Entry] = {}
        self._heap: list[tuple[float, str]] = []  # (count when pushed, tenant); may be outdated
        self._scale_start = 0  # time for which the scale is 1, microseconds

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, now: int, tenant: str, amount: float) -> None:
        """Adds an amount to the tenant's count."""
        amount *= self._scale_at(now)
        entry = self._entries.get(tenant)
        if entry is not None:
            entry.count += amount
        elif len(self._entries) < self._capacity:
            self._entries[tenant] = _Entry(amount, 0.0)
            heapq.heappush(self._heap, (amount, tenant))
        else:
            replaced = self._entries.pop(self._find_smallest())
            count = replaced.count + amount
            self._entries[tenant] = _Entry(count, replaced.count)
            heapq.heapreplace(self._heap, (count, tenant))

    def estimate(self, now: int, tenant: str) -> CountEstimate:
        """Returns the bounds of the tenant's decayed count; both are 0 if the tenant has no count."""
        scale = self._scale_at(now)
        entry = self._entries.get(tenant)
        if entry is None:
            return CountEstimate(tenant, 0.0, 0.0)
        return CountEstimate(tenant, (entry.count - entry.error) / scale, entry.count / scale)

    def above(self, now: int, threshold: float) -> Iterator[CountEstimate]:
        """Yields the estimates with a lower bound above the threshold, the largest first."""
        estimates = [self.estimate(now, tenant) for tenant in self._entries]
        found = [each for each in estimates if each.lower_bound > threshold]
        yield from sorted(found, key=lambda each: (-each.lower_bound, each.tenant))

    def _scale_at(self, now: int) -> float:
        """Returns the factor for amounts that are added at `now`. If the factor is above MAX_SCALE, divides
        all counts by it and returns 1."""
        scale = math.exp2(min(MAX_EXPONENT, (now - self._scale_start) / self._half_life))
        if scale <= MAX_SCALE:
            return scale
        for entry in self._entries.values():
            entry.count /= scale
            entry.error /= scale
        self._heap = [(entry.count, tenant) for tenant, entry in self._entries.items()]
        heapq.heapify(self._heap)
        self._scale_start = now
        return 1.0

    def _find_smallest(self) -> str:
        """Returns the tenant with the smallest count, which is then at the head of the heap. Updates heap
        entries whose counts have grown since they were pushed."""
        while True:
            pushed_count, tenant = self._heap[0]
            count = self._entries[tenant].count
            if count <= pushed_count:
                return tenant
            heapq.heapreplace(self._heap, (count, tenant))
