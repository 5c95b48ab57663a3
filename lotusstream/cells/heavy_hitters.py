"""Who harms: blame by tenant in bounded memory, fading, and not for those that merely were there.

Space-Saving (Metwally, Agrawal and El Abbadi, 2005): the `most` heaviest are kept; whoever comes new takes
the place of the lightest and its count as an error, so that a count is never too small and at most `error`
too large. What is certain is count less error: only that is judged.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass

HIGHEST_SCALE = 2.0**500  # then all is brought back to a new start of time


@dataclass(slots=True)
class _Entry:
    count: float  # scaled: see Blame
    error: float


@dataclass(frozen=True, slots=True)
class CountEstimate:
    """`certain`: no less than that; `most`: no more."""

    tenant: str
    certain: float
    most: float


class HeavyHitters:
    """Halves in each `half_life`, microseconds. Memory is bounded by `most` tenants.

    Fading is by forward decay (Cormode, Shkapenyuk, Srivastava and Xu, 2009): what is new is counted for
    more instead of the old for less, so that time alone changes no order and the heap of counts stays a
    heap.
    """

    def __init__(self, most: int, half_life: int) -> None:
        self._most, self._half_life = most, half_life
        self._entries: dict[str, _Entry] = {}
        self._line: list[tuple[float, str]] = []  # counts as they were: never more than they are
        self._start = 0

    def __len__(self) -> int:
        return len(self._entries)

    def _scale(self, now: int) -> float:
        scale = math.exp2(min(1000.0, (now - self._start) / self._half_life))
        if scale > HIGHEST_SCALE:
            for entry in self._entries.values():
                entry.count, entry.error = entry.count / scale, entry.error / scale
            self._line = [(entry.count, tenant) for tenant, entry in self._entries.items()]
            heapq.heapify(self._line)
            self._start, scale = now, 1.0
        return scale

    def add(self, now: int, tenant: str, amount: float) -> None:
        amount *= self._scale(now)
        entry = self._entries.get(tenant)
        if entry is not None:
            entry.count += amount
        elif len(self._entries) < self._most:
            self._entries[tenant] = _Entry(amount, 0.0)
            heapq.heappush(self._line, (amount, tenant))
        else:
            gone = self._entries.pop(self._lightest())
            self._entries[tenant] = _Entry(gone.count + amount, gone.count)
            heapq.heapreplace(self._line, (gone.count + amount, tenant))

    def _lightest(self) -> str:
        """At the head of the heap once what stands there is true."""
        while (count := self._entries[self._line[0][1]].count) > self._line[0][0]:
            heapq.heapreplace(self._line, (count, self._line[0][1]))
        return self._line[0][1]

    def of(self, now: int, tenant: str) -> CountEstimate:
        scale, entry = self._scale(now), self._entries.get(tenant)
        if entry is None:
            return CountEstimate(tenant, 0.0, 0.0)
        return CountEstimate(tenant, (entry.count - entry.error) / scale, entry.count / scale)

    def past(self, now: int, bound: float) -> Iterator[CountEstimate]:
        """Those that are certainly over the bound, the heaviest first."""
        found = [self.of(now, tenant) for tenant in self._entries]
        yield from sorted(
            (each for each in found if each.certain > bound), key=lambda b: (-b.certain, b.tenant)
        )

    def forgive(self, tenant: str) -> None:
        """Nothing is certain against it any more; its place stays."""
        if (entry := self._entries.get(tenant)) is not None:
            entry.error = entry.count
