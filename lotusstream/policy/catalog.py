"""The listed endpoints, kept so that a change costs its own length and a choice does not visit them all.

Nothing is known here of how an endpoint behaves: that is an `Endpoint`'s state, which exists from the first
attempt on. Each gateway prefers a stable subset of a long list (rendezvous hashing with its own seed), so
that it holds few connections and learns about the endpoints that it uses.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from lotusstream import interface as api
from lotusstream.rendezvous import unit_hash

DomainKey = tuple[frozenset[int] | None, frozenset[int] | None, int | None]  # zones, kinds, cell

LEAST_PREFERRED = 96  # endpoints: a list no longer than this is preferred as a whole
SHARES_PREFERRED = 3.0  # of this gateway's even share of the endpoints
REBUILD_PART = 8  # a domain is sorted anew where more than one in so many of its endpoints change


@dataclass(frozen=True, slots=True)
class EntryChange:
    """What the list said of an endpoint, and what it says now; None: not listed."""

    id: api.EndpointId
    before: api.EndpointEntry | None
    after: api.EndpointEntry | None

    @property
    def was_ready(self) -> bool:
        return self.before is not None and self.before.status is api.EndpointStatus.READY

    @property
    def is_ready(self) -> bool:
        return self.after is not None and self.after.status is api.EndpointStatus.READY

    @property
    def restarted(self) -> bool:
        if self.before is None or self.after is None:
            return False
        return self.before.started_at != self.after.started_at


class Domain:
    """The ready endpoints that a profile's requests may go to, in this gateway's order of preference."""

    def __init__(self, key: DomainKey, even_share: float) -> None:
        self.key = key
        self._even_share = even_share
        self._order: list[tuple[float, api.EndpointId]] = []
        self.preferred = 0  # how many endpoints, from the first on, are preferred

    def __len__(self) -> int:
        return len(self._order)

    def _resize(self) -> None:
        fair = int(SHARES_PREFERRED * self._even_share * len(self._order))
        self.preferred = min(len(self._order), max(LEAST_PREFERRED, fair))

    def prefers(self, rank: float) -> bool:
        return bool(self._order) and rank <= self._order[self.preferred - 1][0]

    def at(self, place: int) -> api.EndpointId:
        return self._order[place][1]

    def first(self, count: int) -> list[api.EndpointId]:
        return [engine for _, engine in self._order[:count]]

    def fill(self, ranked: list[tuple[float, api.EndpointId]]) -> None:
        self._order = sorted(ranked)
        self._resize()

    def add(self, rank: float, engine: api.EndpointId) -> None:
        insort(self._order, (rank, engine))
        self._resize()

    def remove(self, rank: float, engine: api.EndpointId) -> None:
        place = bisect_left(self._order, (rank, engine))
        if place < len(self._order) and self._order[place][1] == engine:
            del self._order[place]
            self._resize()


class Catalog:
    """`even_share`: one part in as many gateways as there are. `cores_of`: of an endpoint's kind."""

    def __init__(self, seed: int, even_share: float, cores_of: Callable[[int], float]) -> None:
        self.entries: dict[api.EndpointId, api.EndpointEntry] = {}
        self.ready_cores = 0.0
        self.cores_by_class = Counter[tuple[int, int]]()  # of ready endpoints, by zone and kind
        self._endpoints_by_class = Counter[tuple[int, int]]()
        self._seed, self._even_share, self._cores_of = seed, even_share, cores_of
        self._ranks: dict[api.EndpointId, float] = {}
        self._domains: dict[DomainKey, tuple[Domain, Callable[[api.EndpointEntry], bool]]] = {}

    @property
    def ready(self) -> int:
        return self._endpoints_by_class.total()

    def rank(self, engine: api.EndpointId) -> float:
        """Its place in this gateway's preference, in (0, 1]; 2 where it is not listed."""
        return self._ranks.get(engine, 2.0)

    def domain(self, key: DomainKey, admits: Callable[[api.EndpointEntry], bool]) -> Domain:
        """Made when it is first asked for; follows the list from then on."""
        found = self._domains.get(key)
        if found is None:
            found = self._domains[key] = (Domain(key, self._even_share), admits)
            self._fill(*found)
        return found[0]

    def forget_domains(self) -> None:
        """What domains admit has changed: they are made anew when next asked for."""
        self._domains.clear()

    def apply(self, engines: Iterable[api.EndpointEntry], *, whole: bool) -> list[EntryChange]:
        """Takes a list, or changes of one, and returns what differs now. Endpoints that are gone are listed
        no more."""
        changes: list[EntryChange] = []
        listed = {entry.id: entry for entry in engines}  # the last of those that name the same
        for entry in listed.values():
            before = self.entries.get(entry.id)
            after = None if entry.status is api.EndpointStatus.REMOVED else entry
            if before != after:
                changes.append(EntryChange(entry.id, before, after))
                self._set(entry.id, after)
        if whole:
            for engine in [engine for engine in self.entries if engine not in listed]:
                changes.append(EntryChange(engine, self.entries[engine], None))
                self._set(engine, None)
        self._follow(changes)
        return changes

    def _set(self, engine: api.EndpointId, entry: api.EndpointEntry | None) -> None:
        if entry is None:
            self.entries.pop(engine, None)
        else:
            self.entries[engine] = entry

    def _follow(self, changes: list[EntryChange]) -> None:
        for change in changes:
            self._count(change.before, -1)
            self._count(change.after, 1)
            if change.id not in self._ranks:
                self._ranks[change.id] = unit_hash(change.id, self._seed)
        for domain, admits in self._domains.values():
            if len(changes) * REBUILD_PART > len(domain):
                self._fill(domain, admits)
                continue
            for change in changes:
                if change.was_ready and change.before is not None and admits(change.before):
                    domain.remove(self._ranks[change.id], change.id)
                if change.is_ready and change.after is not None and admits(change.after):
                    domain.add(self._ranks[change.id], change.id)
        for change in changes:
            if change.after is None:
                del self._ranks[change.id]

    def _count(self, entry: api.EndpointEntry | None, sign: int) -> None:
        if entry is None or entry.status is not api.EndpointStatus.READY:
            return
        name, cores = (entry.zone, entry.kind), self._cores_of(entry.kind)
        self._endpoints_by_class[name] += sign
        self.cores_by_class[name] += sign * cores  # type: ignore[assignment]
        self.ready_cores += sign * cores
        if not self._endpoints_by_class[name]:
            del self._endpoints_by_class[name], self.cores_by_class[name]
            self.ready_cores = float(sum(self.cores_by_class.values()))  # no sum of rounding errors

    def _fill(self, domain: Domain, admits: Callable[[api.EndpointEntry], bool]) -> None:
        ready = api.EndpointStatus.READY
        domain.fill(
            [
                (self._ranks[entry.id], entry.id)
                for entry in self.entries.values()
                if entry.status is ready and admits(entry)
            ]
        )


def gone(entry: api.EndpointEntry) -> api.EndpointEntry:
    """The entry of an endpoint that is listed no more."""
    return replace(entry, status=api.EndpointStatus.REMOVED)
