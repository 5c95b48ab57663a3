"""The cell plan: defines which endpoints each cell selects and which tenants it serves.

A plan is immutable. A change returns a new plan with the next version number.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

from immutables import Map

from lotusstream.cells.assignment import choose_weighted, rendezvous_hash
from lotusstream.cells.trie import NameTrie
from lotusstream.interface import EndpointEntry, EndpointId


class TenantSourceKind(Enum):
    """The part of a request from which its tenant is read."""

    FIELD = "field"  # a field of the request
    KEY = "key"  # the idempotency key
    SCHEMA = "schema"  # the schema in the statement


@dataclass(frozen=True, slots=True)
class TenantSource:
    """One source from which the tenant of a request may be read."""

    kind: TenantSourceKind
    name: str = ""  # name of the field if the kind is FIELD, otherwise empty


@dataclass(frozen=True, slots=True)
class HashRange:
    """Selects the endpoints whose id has a hash within a range."""

    low: float  # lower bound of the hash, exclusive, 0 to 1
    high: float  # upper bound of the hash, inclusive, 0 to 1

    def contains(self, endpoint_id: EndpointId) -> bool:
        """Returns whether the hash of the endpoint's id is within the range."""
        return self.low < rendezvous_hash("engine", endpoint_id) <= self.high


@dataclass(frozen=True, slots=True)
class EndpointSelector:
    """Selects the endpoints that meet all conditions. None stands for no condition."""

    zones: frozenset[int] | None = None  # indexes of zones
    kinds: frozenset[int] | None = None  # indexes of endpoint kinds
    # Deduplication cells, as the endpoint list numbers them: groups of endpoints that recognize each other's
    # idempotency keys. They are independent of the cells of the plan.
    listed_cells: frozenset[int] | None = None
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
    """The treatment of requests that no ready endpoint of their cell may serve."""

    REJECT = "refuse"  # requests are rejected
    BORROW = "borrow"  # requests are placed in another cell, the lender


@dataclass(frozen=True, slots=True)
class Cell:
    """A group of endpoints that serves some of the tenants."""

    name: str
    selectors: tuple[EndpointSelector, ...]  # the cell selects an endpoint if any of them matches
    shard_size: int = 0  # number of endpoints of each kind that a tenant may use; 0: all
    weight: float = 0.0  # the cell's relative share of the tenants that are assigned by weight
    empty_policy: EmptyCellPolicy = EmptyCellPolicy.REJECT
    # Name of the cell that serves those requests which no ready endpoint of this cell may serve; None: none.
    lender: str | None = None
    quarantine: bool = False  # serves only tenants with poison requests

    def matches(self, endpoint: EndpointEntry) -> bool:
        """Returns whether the cell selects the endpoint."""
        return any(selector.matches(endpoint) for selector in self.selectors)


BY_WEIGHT = ""  # stands in place of a cell name if the cell is chosen by weight


@dataclass(frozen=True, slots=True)
class CellPlan:
    """All cells and the assignment of tenants to them."""

    version: int  # increases with each change on this gateway
    sources: tuple[TenantSource, ...]  # the first source that yields a tenant is used
    cells: tuple[Cell, ...]
    tenants: NameTrie[str]  # cell name or BY_WEIGHT, by tenant name, prefix or pattern
    untenanted_cell: str  # cell name for requests without a tenant
    default_cell: str = BY_WEIGHT  # cell name, or BY_WEIGHT, for tenants that match no entry
    seed: int = 0  # seed of the hashes that choose cells and shards, the same on all gateways
    overrides: Map[str, str] = field(default_factory=Map)
    """Cell name by tenant for migrated tenants, which takes precedence over `tenants`. The map is persistent,
    so a change does not copy it."""

    def cell(self, name: str) -> Cell | None:
        """Returns the cell with this name, or None."""
        return next((cell for cell in self.cells if cell.name == name), None)

    def cell_name_of(self, tenant: str | None) -> str:
        """Returns the name of the tenant's cell. A tenant of None stands for requests without a tenant."""
        if tenant is None:
            return self.untenanted_cell
        override = self.overrides.get(tenant)
        if override is not None:
            return override
        return self.planned_cell_name(tenant)

    def planned_cell_name(self, tenant: str) -> str:
        """Returns the name of the tenant's cell without regard to migrations."""
        name = self.tenants.find(tenant)
        if name is None:
            name = self.default_cell
        if name != BY_WEIGHT:
            return name
        weights = {cell.name: cell.weight for cell in self.cells if not cell.quarantine}
        return choose_weighted(tenant, weights, self.seed) or self.untenanted_cell

    def with_override(self, tenant: str, cell_name: str | None) -> CellPlan:
        """Returns the next version of the plan, with an override of the tenant's cell. A cell name of None
        removes the override."""
        overrides = self.overrides
        if cell_name is not None:
            overrides = overrides.set(tenant, cell_name)
        elif tenant in overrides:
            overrides = overrides.delete(tenant)
        return replace(self, version=self.version + 1, overrides=overrides)
