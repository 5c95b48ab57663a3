"""A plan of cells: which engines each is made of, and which tenants live there. Plans are values: one is
changed into the next version, and older versions stay as they are for the commands that were taken under
them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from immutables import Map

from lotusstream.cells.assignment import choose_weighted, group_by_kind, rendezvous_hash, shuffle_shard
from lotusstream.cells.trie import NameTrie
from lotusstream.interface import (
    DeduplicationScope,
    EndpointEntry,
    EndpointId,
    EndpointStatus,
    Idempotency,
    Profile,
)


class TenantSourceKind(Enum):
    """What tells a command's tenant."""

    FIELD = "field"
    KEY = "key"
    SCHEMA = "schema"


@dataclass(frozen=True, slots=True)
class TenantSource:
    """`name`: of the field, where it is one."""

    source: TenantSourceKind
    name: str = ""


@dataclass(frozen=True, slots=True)
class EndpointSelector:
    """A choice of engines; what is not named is left open. `part`: so much of them, by hash, from its
    first to its second edge, 0 to 1. `told_cell`: the list's own cell, the scope of dropped repeats."""

    zones: frozenset[int] | None = None
    kinds: frozenset[int] | None = None
    told_cells: frozenset[int] | None = None
    ids: frozenset[EndpointId] | None = None
    part: tuple[float, float] | None = None

    def takes(self, engine: EndpointEntry) -> bool:
        return (
            (self.zones is None or engine.zone in self.zones)
            and (self.kinds is None or engine.kind in self.kinds)
            and (self.told_cells is None or engine.cell in self.told_cells)
            and (self.ids is None or engine.id in self.ids)
            and (self.part is None or self.part[0] < rendezvous_hash("engine", engine.id) <= self.part[1])
        )


class EmptyCellPolicy(Enum):
    """What becomes of commands that no engine of their cell may serve now."""

    REFUSE = "refuse"
    BORROW = "borrow"


@dataclass(frozen=True, slots=True)
class Cell:
    """`engines`: any of these choices. `shard`: so many engines of each kind for each tenant; 0: all of
    them. `weight`: of the drawn tenants. `lender`: the cell that is borrowed from. `quarantine`: for the
    poisoned."""

    name: str
    engines: tuple[EndpointSelector, ...]
    shard: int = 0
    weight: float = 0.0
    empty: EmptyCellPolicy = EmptyCellPolicy.REFUSE
    lender: str | None = None
    quarantine: bool = False

    def takes(self, engine: EndpointEntry) -> bool:
        return any(choice.takes(engine) for choice in self.engines)


BY_WEIGHT = ""  # in place of a cell's name: drawn by weight


@dataclass(frozen=True, slots=True)
class CellPlan:
    """`tenants`: by name, prefix or pattern, the cell or DRAWN. `nameless`: the cell of commands without a
    tenant. `others`: of tenants that no entry fits. `moved`: tenants whose cell was changed by hand or by
    quarantine, before all else; a persistent map, so that a new version costs one path of it and no copy."""

    version: int
    sources: tuple[TenantSource, ...]
    cells: tuple[Cell, ...]
    tenants: NameTrie[str]
    nameless: str
    others: str = BY_WEIGHT
    seed: int = 0
    moved: Map[str, str] = field(default_factory=Map)

    def cell(self, name: str) -> Cell | None:
        return next((cell for cell in self.cells if cell.name == name), None)

    def home(self, tenant: str | None) -> str:
        """The name of a tenant's cell; None is a command without one."""
        if tenant is None:
            return self.nameless
        if (name := self.moved.get(tenant)) is not None:
            return name
        return self.written(tenant)

    def written(self, tenant: str) -> str:
        """Where the plan puts it, before any move."""
        name = self.tenants.find(tenant)
        if name is None:
            name = self.others
        if name != BY_WEIGHT:
            return name
        weights = {cell.name: cell.weight for cell in self.cells if not cell.quarantine}
        return choose_weighted(tenant, weights, self.seed) or self.nameless

    def with_moved(self, tenant: str, cell: str | None) -> CellPlan:
        """The next version: the tenant lives in that cell, or where the plan as written puts it."""
        moved = self.moved
        if cell is not None:
            moved = moved.set(tenant, cell)
        elif tenant in moved:
            moved = moved.delete(tenant)
        return replace(self, version=self.version + 1, moved=moved)


@dataclass(frozen=True, slots=True)
class CellMembership:
    """The engines of each cell, as the list stands."""

    engines: Mapping[str, tuple[EndpointEntry, ...]]
    homeless: tuple[EndpointEntry, ...]
    doubled: tuple[tuple[EndpointEntry, str, str], ...]


def assign_endpoints(plan: CellPlan, listed: Iterable[EndpointEntry]) -> CellMembership:
    """Gone engines belong nowhere; an engine that two cells take belongs to the first, and is told."""
    found: dict[str, list[EndpointEntry]] = {cell.name: [] for cell in plan.cells}
    homeless, doubled = [], []
    for engine in sorted(listed, key=lambda each: each.id):
        if engine.status is EndpointStatus.REMOVED:
            continue
        takers = [cell.name for cell in plan.cells if cell.takes(engine)]
        if not takers:
            homeless.append(engine)
            continue
        found[takers[0]].append(engine)
        doubled += [(engine, takers[0], other) for other in takers[1:]]
    return CellMembership(
        {name: tuple(each) for name, each in found.items()}, tuple(homeless), tuple(doubled)
    )


def endpoints_for(
    plan: CellPlan, cell: Cell, tenant: str | None, inside: Iterable[EndpointEntry]
) -> frozenset[EndpointId]:
    """A tenant's engines in its cell: all, or its shard of them."""
    listed = [(engine.id, engine.kind) for engine in inside]
    if not cell.shard or tenant is None:
        return frozenset(engine for engine, _ in listed)
    return shuffle_shard(tenant, group_by_kind(listed), cell.shard, plan.seed)


@dataclass(frozen=True, slots=True)
class CellPlanProblem:
    """What a plan can't do with the engines that there are. `profile` where one can't be served. `grave`:
    the plan is turned down for it, not only told of."""

    cell: str
    what: str
    hint: str
    grave: bool = True
    profile: str | None = None


def find_plan_problems(
    plan: CellPlan, listed: Iterable[EndpointEntry], profiles: Mapping[str, Profile]
) -> Iterator[CellPlanProblem]:
    """Held against the engines as listed: at the check of a plan and whenever the list has changed."""
    standing = assign_endpoints(plan, listed)
    for engine in standing.homeless:
        name = engine.id.decode("latin-1")
        yield CellPlanProblem(
            "", f"engine {name} is in no cell", "let a last cell take the rest: engines all"
        )
    for engine, one, other in standing.doubled:
        name = engine.id.decode("latin-1")
        yield CellPlanProblem(
            other, f"engine {name} belongs to '{one}', which comes first", "this may be meant", False
        )
    for cell in plan.cells:
        inside = standing.engines[cell.name]
        if not inside:
            yield CellPlanProblem(cell.name, "no engine belongs to it", "widen its engines")
            continue
        for name, profile in profiles.items():
            yield from _unserved(plan, cell, inside, name, profile)


def _unserved(
    plan: CellPlan, cell: Cell, inside: tuple[EndpointEntry, ...], name: str, profile: Profile
) -> Iterator[CellPlanProblem]:
    if any(profile.admits(engine) for engine in inside):
        return
    lender = plan.cell(cell.lender) if cell.empty is EmptyCellPolicy.BORROW and cell.lender else None
    if lender is not None:
        what = f"no engine here may serve {name}: it is borrowed from '{lender.name}'"
        yield CellPlanProblem(cell.name, what, "add one of its kind", grave=False, profile=name)
        return
    hint = "add an engine that it is bound to, or 'empty borrow CELL'"
    yield CellPlanProblem(cell.name, f"no engine here may serve {name}", hint, profile=name)


def profiles_losing_deduplication(
    plan: CellPlan, one: Cell, other: Cell, listed: Iterable[EndpointEntry], profiles: Mapping[str, Profile]
) -> list[str]:
    """Uniqued profiles whose repeats, sent to the other cell, would meet engines that don't drop them."""
    standing = assign_endpoints(plan, listed)
    here, there = (standing.engines[cell.name] for cell in (one, other))
    found = []
    for name, profile in profiles.items():
        if (
            profile.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY
            or profile.deduplication_scope is DeduplicationScope.ALL
        ):
            continue
        zones = profile.deduplication_scope is DeduplicationScope.ZONE
        scopes = [{each.zone if zones else each.cell for each in inside} for inside in (here, there)]
        if scopes[0] != scopes[1]:
            found.append(name)
    return found
