"""The plan of cells: which endpoints each cell selects, and which tenants it serves.

Plans are immutable values. A change makes the next version.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

from immutables import Map

from lotusstream.cells.assignment import choose_weighted, rendezvous_hash
from lotusstream.cells.trie import NameTrie
from lotusstream.interface import EndpointEntry, EndpointId


class TenantSourceKind(Enum):
    """What a request's tenant is read from."""

    FIELD = "field"
    KEY = "key"
    SCHEMA = "schema"


@dataclass(frozen=True, slots=True)
class TenantSource:
    """One place where the tenant of a request may be found."""

    kind: TenantSourceKind
    name: str = ""  # of the field, for TenantSourceKind.FIELD


@dataclass(frozen=True, slots=True)
class HashRange:
    """Part of the endpoints, by hash of their ids."""

    low: float  # exclusive, 0 to 1
    high: float  # inclusive, 0 to 1

    def contains(self, endpoint_id: EndpointId) -> bool:
        """Returns whether the endpoint belongs to this part."""
        return self.low < rendezvous_hash("engine", endpoint_id) <= self.high


@dataclass(frozen=True, slots=True)
class EndpointSelector:
    """Selects the endpoints that meet every condition given; None is no condition."""

    zones: frozenset[int] | None = None
    kinds: frozenset[int] | None = None
    listed_cells: frozenset[int] | None = None  # cells of the endpoint list: scopes of deduplication
    endpoint_ids: frozenset[EndpointId] | None = None
    hash_range: HashRange | None = None

    def matches(self, endpoint: EndpointEntry) -> bool:
        """Returns whether the endpoint meets all conditions."""
        return (
            (self.zones is None or endpoint.zone in self.zones)
            and (self.kinds is None or endpoint.kind in self.kinds)
            and (self.listed_cells is None or endpoint.cell in self.listed_cells)
            and (self.endpoint_ids is None or endpoint.id in self.endpoint_ids)
            and (self.hash_range is None or self.hash_range.contains(endpoint.id))
        )


class EmptyCellPolicy(Enum):
    """What becomes of requests that no ready endpoint of their cell may serve."""

    REJECT = "refuse"
    BORROW = "borrow"


@dataclass(frozen=True, slots=True)
class Cell:
    """A group of endpoints that serves some of the tenants."""

    name: str
    selectors: tuple[EndpointSelector, ...]  # an endpoint belongs to the cell if any of them matches
    shard_size: int = 0  # endpoints of each kind that a tenant may use; 0: all
    weight: float = 0.0  # share of the tenants that are assigned by weight
    empty_policy: EmptyCellPolicy = EmptyCellPolicy.REJECT
    lender: str | None = None  # name of the cell that it borrows from
    quarantine: bool = False  # takes tenants with poison requests only

    def matches(self, endpoint: EndpointEntry) -> bool:
        """Returns whether the cell selects the endpoint."""
        return any(selector.matches(endpoint) for selector in self.selectors)


BY_WEIGHT = ""  # in place of a cell's name: chosen by the cells' weights


@dataclass(frozen=True, slots=True)
class CellPlan:
    """All cells and the assignment of tenants to them."""

    version: int  # grows with each change on this gateway
    sources: tuple[TenantSource, ...]  # the first that yields a tenant counts
    cells: tuple[Cell, ...]
    tenants: NameTrie[str]  # name of the cell, or BY_WEIGHT, by tenant name, prefix or pattern
    untenanted_cell: str  # of requests without a tenant
    default_cell: str = BY_WEIGHT  # of tenants that no entry matches
    seed: int = 0  # of hashes, the same on all gateways
    overrides: Map[str, str] = field(default_factory=Map)
    """Cell by tenant, for migrated tenants; comes before `tenants`. A persistent map: a change does not copy
    it."""

    def cell(self, name: str) -> Cell | None:
        """Returns the cell with this name, or None."""
        return next((cell for cell in self.cells if cell.name == name), None)

    def cell_name_of(self, tenant: str | None) -> str:
        """Returns the name of a tenant's cell; None stands for requests without a tenant."""
        if tenant is None:
            return self.untenanted_cell
        override = self.overrides.get(tenant)
        if override is not None:
            return override
        return self.planned_cell_name(tenant)

    def planned_cell_name(self, tenant: str) -> str:
        """Returns the name of the cell that the tenant has without any migration."""
        name = self.tenants.find(tenant)
        if name is None:
            name = self.default_cell
        if name != BY_WEIGHT:
            return name
        weights = {cell.name: cell.weight for cell in self.cells if not cell.quarantine}
        return choose_weighted(tenant, weights, self.seed) or self.untenanted_cell

    def with_override(self, tenant: str, cell_name: str | None) -> CellPlan:
        """Returns the next version, in which the tenant is in that cell; None removes its override."""
        overrides = self.overrides
        if cell_name is not None:
            overrides = overrides.set(tenant, cell_name)
        elif tenant in overrides:
            overrides = overrides.delete(tenant)
        return replace(self, version=self.version + 1, overrides=overrides)
