"""Which endpoints keep which table groups warm, agreed among gateways by hashing and without a message.

Each endpoint keeps as many groups as its cache holds: those with the least weighted draw, where a group's
weight is its part of the requests seen. That follows the traffic, so it is worked out anew now and then, a
few endpoints at a time. Source of the draw: weighted rendezvous hashing.
"""

from __future__ import annotations

import math
import zlib
from collections import Counter, deque
from heapq import nsmallest

from lotusstream import interface as api
from lotusstream.rendezvous import unit_hash

REFRESHED_AT_ONCE = 16  # endpoints whose groups are worked out in one turn


def group_seed(group: int) -> int:
    return zlib.crc32(group.to_bytes(8, "little", signed=True))


class Affinity:
    """`kept`: groups that an endpoint keeps warm. `epoch`: the time over which requests are counted, and
    counted together with those of the epoch before, in microseconds."""

    def __init__(self, kept: int, epoch: int) -> None:
        self._kept, self._epoch_length, self._epoch = kept, epoch, 0
        self._groups, self._earlier = Counter[int](), Counter[int]()
        self._seen = self._seen_earlier = 0
        self._keeps: dict[api.EndpointId, frozenset[int]] = {}
        self._kept_by: dict[int, dict[api.EndpointId, None]] = {}
        self._pending: deque[api.EndpointId] = deque()
        self.version = 0  # counts the changes of what is kept where

    def record(self, now: int, group: int) -> bool:
        """A request of this group; True where the counts have doubled since they were last used."""
        if now // self._epoch_length != self._epoch:
            self._epoch = now // self._epoch_length
            self._earlier, self._groups = self._groups, Counter()
            self._seen_earlier, self._seen = self._seen, 0
        self._groups[group] += 1
        self._seen += 1
        doubled = not self._seen & (self._seen - 1)
        if doubled:
            self._pending = deque(self._keeps)
        return doubled

    def part(self, group: int, endpoints: int) -> float:
        """The group's part of the requests, 0 to 1; drawn to nothing where few were seen."""
        return (self._groups[group] + self._earlier[group]) / (self._seen + self._seen_earlier + endpoints)

    def enrol(self, engines: list[api.EndpointId]) -> None:
        """Endpoints that groups may be kept at."""
        for engine in engines:
            if engine not in self._keeps:
                self._keeps[engine] = frozenset()
                self._pending.append(engine)

    def remove(self, engine: api.EndpointId) -> None:
        if engine in self._keeps:
            self._set(engine, frozenset())
            del self._keeps[engine]

    def kept_by(self, group: int) -> list[api.EndpointId]:
        """The endpoints that keep a group."""
        return list(self._kept_by.get(group, ()))

    def refresh(self) -> None:
        """Works out anew what some of the endpoints keep; all are reached after a few turns."""
        if not self._pending:
            return
        counts = self._groups + self._earlier
        seen = [(group_seed(group), group, count) for group, count in counts.items()]
        for _ in range(min(REFRESHED_AT_ONCE, len(self._pending))):
            engine = self._pending.popleft()
            if engine in self._keeps:
                draws = [(-math.log(unit_hash(engine, seed)) / count, group) for seed, group, count in seen]
                self._set(engine, frozenset(group for _, group in nsmallest(self._kept, draws)))

    def _set(self, engine: api.EndpointId, groups: frozenset[int]) -> None:
        before = self._keeps.get(engine, frozenset())
        if groups == before:
            return
        self.version += 1
        self._keeps[engine] = groups
        for group in before - groups:
            kept = self._kept_by[group]
            del kept[engine]
            if not kept:
                del self._kept_by[group]
        for group in groups - before:
            self._kept_by.setdefault(group, {})[engine] = None
