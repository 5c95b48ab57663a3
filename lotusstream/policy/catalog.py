"""An index of the listed endpoints, so that neither a small list change nor a placement visits all of them.

The catalog holds list entries only. The observed behaviour of an endpoint is in its `Endpoint` state, which
is retained from the first attempt on. Each gateway prefers a stable subset of a long list, chosen by
rendezvous hashing with its own seed. The gateway thus keeps few connections and learns the behaviour of the
endpoints that it uses.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import NamedTuple

from lotusstream import interface as api
from lotusstream.rendezvous import unit_hash

EndpointClass = tuple[int, int]  # zone and kind

MIN_PREFERRED_ENDPOINTS = 96  # in a domain of up to this many endpoints, all are preferred
# A gateway prefers this multiple of the number of endpoints that it would get if the endpoints of the domain
# were divided evenly among all gateways.
PREFERRED_EVEN_SHARES = 3.0
# A domain is rebuilt if more entries change at once than its size divided by this. Otherwise the changes are
# applied one by one.
REBUILD_DIVISOR = 8
UNLISTED_RANK = 2.0  # greater than the rank of any listed endpoint


class DomainKey(NamedTuple):
    """The key of a domain: the restrictions that its endpoints satisfy. None: not restricted."""

    zones: frozenset[int] | None
    kinds: frozenset[int] | None
    cell: int | None  # cell of a tenant, not a deduplication cell


@dataclass(frozen=True, slots=True)
class EntryChange:
    """The change of one endpoint's entry between two versions of the list."""

    id: api.EndpointId
    before: api.EndpointEntry | None  # entry in the earlier version; None: not listed
    after: api.EndpointEntry | None  # entry in the later version; None: not listed

    @property
    def was_ready(self) -> bool:
        """Whether the endpoint was listed as READY."""
        return self.before is not None and self.before.status is api.EndpointStatus.READY

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint is now listed as READY."""
        return self.after is not None and self.after.status is api.EndpointStatus.READY

    @property
    def restarted(self) -> bool:
        """Whether the endpoint is in both versions of the list with different start times."""
        if self.before is None or self.after is None:
            return False
        return self.before.started_at != self.after.started_at


class Domain:
    """The ready endpoints that satisfy a DomainKey, in this gateway's order of preference."""

    def __init__(self, key: DomainKey, even_share: float) -> None:
        """`even_share`: one gateway's share of evenly spread traffic, 0 to 1."""
        self.key = key
        self._even_share = even_share
        self._order: list[tuple[float, api.EndpointId]] = []  # ranks and ids, sorted
        self.preferred = 0  # number of preferred endpoints, which are the first ones of _order

    def __len__(self) -> int:
        return len(self._order)

    def _resize(self) -> None:
        wanted = int(PREFERRED_EVEN_SHARES * self._even_share * len(self._order))
        self.preferred = min(len(self._order), max(MIN_PREFERRED_ENDPOINTS, wanted))

    def prefers(self, rank: float) -> bool:
        """Returns whether an endpoint with this rank is a preferred one."""
        return bool(self._order) and rank <= self._order[self.preferred - 1][0]

    def at(self, index: int) -> api.EndpointId:
        """Returns the endpoint at an index of the preference order, counted from 0."""
        return self._order[index][1]

    def first(self, count: int) -> list[api.EndpointId]:
        """Returns the first `count` endpoints in order of preference, or all if there are fewer."""
        return [endpoint_id for _, endpoint_id in self._order[:count]]

    def fill(self, ranked: list[tuple[float, api.EndpointId]]) -> None:
        """Replaces all endpoints by the given ranks and ids, which may be in any order."""
        self._order = sorted(ranked)
        self._resize()

    def add(self, rank: float, endpoint_id: api.EndpointId) -> None:
        """Adds an endpoint."""
        insort(self._order, (rank, endpoint_id))
        self._resize()

    def remove(self, rank: float, endpoint_id: api.EndpointId) -> None:
        """Removes an endpoint, if it belongs to the domain."""
        index = bisect_left(self._order, (rank, endpoint_id))
        if index < len(self._order) and self._order[index][1] == endpoint_id:
            del self._order[index]
            self._resize()


@dataclass(frozen=True, slots=True, eq=False)
class _IndexedDomain:
    domain: Domain
    admits: Callable[[api.EndpointEntry], bool]


class Catalog:
    """The list's entries, the total cores of the ready endpoints, and the domains derived from the list."""

    def __init__(self, seed: int, even_share: float, cores_of: Callable[[int], float]) -> None:
        """Creates an empty catalog.

        :param seed: seed of this gateway's preference order.
        :param even_share: one gateway's share of evenly spread traffic, 0 to 1.
        :param cores_of: returns the number of cores of an endpoint, given its kind.
        """
        self.entries: dict[api.EndpointId, api.EndpointEntry] = {}
        self.ready_cores = 0.0
        self.cores_by_class = Counter[EndpointClass]()  # total cores of the ready endpoints of each class
        self._endpoints_by_class = Counter[EndpointClass]()
        self._seed = seed
        self._even_share = even_share
        self._cores_of = cores_of
        self._ranks: dict[api.EndpointId, float] = {}
        self._domains: dict[DomainKey, _IndexedDomain] = {}

    @property
    def ready_count(self) -> int:
        """The number of ready endpoints."""
        return self._endpoints_by_class.total()

    def rank(self, endpoint_id: api.EndpointId) -> float:
        """Returns an endpoint's rank in this gateway's preference order; the lowest rank is preferred most.

        The rank is in (0, 1] for a listed endpoint and UNLISTED_RANK for any other.
        """
        return self._ranks.get(endpoint_id, UNLISTED_RANK)

    def domain(self, key: DomainKey, admits: Callable[[api.EndpointEntry], bool]) -> Domain:
        """Returns the domain of a key, created on first use and updated with every change of the list.

        `admits` returns whether an entry belongs to the domain. Calls with equal keys must pass equivalent
        functions.
        """
        indexed = self._domains.get(key)
        if indexed is None:
            indexed = _IndexedDomain(Domain(key, self._even_share), admits)
            self._domains[key] = indexed
            self._fill(indexed)
        return indexed.domain

    def forget_domains(self) -> None:
        """Drops all domains after a change of cells; each is rebuilt on its next use."""
        self._domains.clear()

    def apply(self, entries: Iterable[api.EndpointEntry], *, complete: bool) -> list[EntryChange]:
        """Applies the entries of a list message, and returns the entries that changed.

        `complete`: True for a whole list, so that endpoints missing in it are dropped; False for a delta.
        Entries with status REMOVED are dropped. If several entries have the same id, the last one counts.
        """
        changes: list[EntryChange] = []
        listed = {entry.id: entry for entry in entries}
        for entry in listed.values():
            before = self.entries.get(entry.id)
            after = None if entry.status is api.EndpointStatus.REMOVED else entry
            if before != after:
                changes.append(EntryChange(entry.id, before, after))
                self._set(entry.id, after)
        if complete:
            for endpoint_id in [known for known in self.entries if known not in listed]:
                changes.append(EntryChange(endpoint_id, self.entries[endpoint_id], None))
                self._set(endpoint_id, None)
        self._update_sums_and_domains(changes)
        return changes

    def _set(self, endpoint_id: api.EndpointId, entry: api.EndpointEntry | None) -> None:
        if entry is None:
            self.entries.pop(endpoint_id, None)
        else:
            self.entries[endpoint_id] = entry

    def _update_sums_and_domains(self, changes: list[EntryChange]) -> None:
        for change in changes:
            self._count(change.before, -1)
            self._count(change.after, 1)
            if change.id not in self._ranks:
                self._ranks[change.id] = unit_hash(change.id, self._seed)
        for indexed in self._domains.values():
            self._update_domain(indexed, changes)
        for change in changes:
            if change.after is None:
                del self._ranks[change.id]

    def _update_domain(self, indexed: _IndexedDomain, changes: list[EntryChange]) -> None:
        domain = indexed.domain
        if len(changes) * REBUILD_DIVISOR > len(domain):
            self._fill(indexed)
            return
        for change in changes:
            if change.was_ready and change.before is not None and indexed.admits(change.before):
                domain.remove(self._ranks[change.id], change.id)
            if change.is_ready and change.after is not None and indexed.admits(change.after):
                domain.add(self._ranks[change.id], change.id)

    def _count(self, entry: api.EndpointEntry | None, sign: int) -> None:
        if entry is None or entry.status is not api.EndpointStatus.READY:
            return
        endpoint_class = (entry.zone, entry.kind)
        cores = self._cores_of(entry.kind)
        self._endpoints_by_class[endpoint_class] += sign
        self.cores_by_class[endpoint_class] += sign * cores  # type: ignore[assignment]
        self.ready_cores += sign * cores
        if not self._endpoints_by_class[endpoint_class]:
            del self._endpoints_by_class[endpoint_class]
            del self.cores_by_class[endpoint_class]
            # Recomputed from scratch, which keeps rounding errors from accumulating.
            self.ready_cores = float(sum(self.cores_by_class.values()))

    def _fill(self, indexed: _IndexedDomain) -> None:
        ready = api.EndpointStatus.READY
        admitted = [
            entry for entry in self.entries.values() if entry.status is ready and indexed.admits(entry)
        ]
        indexed.domain.fill([(self._ranks[entry.id], entry.id) for entry in admitted])


def removed(entry: api.EndpointEntry) -> api.EndpointEntry:
    """Returns a copy of the entry with status REMOVED."""
    return replace(entry, status=api.EndpointStatus.REMOVED)
