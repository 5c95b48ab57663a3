"""Assigns the listed endpoints to cells."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lotusstream.cells.assignment import group_by_kind, shuffle_shard
from lotusstream.cells.plan import Cell, CellPlan
from lotusstream.interface import (
    DeduplicationScope,
    EndpointEntry,
    EndpointId,
    EndpointStatus,
    Idempotency,
    Profile,
)


@dataclass(frozen=True, slots=True)
class OverlappingEndpoint:
    """An endpoint that two cells select. It belongs to the cell that comes first in the plan."""

    endpoint: EndpointEntry
    cell: str  # name of the cell that it belongs to
    other_cell: str  # name of the other cell that selects it


@dataclass(frozen=True, slots=True)
class CellMembership:
    """The endpoints of each cell according to the current endpoint list."""

    endpoints: Mapping[str, tuple[EndpointEntry, ...]]  # by cell name, sorted by endpoint id
    unassigned: tuple[EndpointEntry, ...]  # selected by no cell
    overlapping: tuple[OverlappingEndpoint, ...]


def assign_endpoints(plan: CellPlan, listed: Iterable[EndpointEntry]) -> CellMembership:
    """Returns the endpoints of each cell. A removed endpoint belongs to no cell. An endpoint that several
    cells select belongs to the first of them in the plan."""
    endpoints: dict[str, list[EndpointEntry]] = {cell.name: [] for cell in plan.cells}
    unassigned: list[EndpointEntry] = []
    overlapping: list[OverlappingEndpoint] = []
    for endpoint in sorted(listed, key=lambda each: each.id):
        if endpoint.status is EndpointStatus.REMOVED:
            continue
        cell_names = [cell.name for cell in plan.cells if cell.matches(endpoint)]
        if not cell_names:
            unassigned.append(endpoint)
            continue
        first = cell_names[0]
        endpoints[first].append(endpoint)
        overlapping += [OverlappingEndpoint(endpoint, first, other) for other in cell_names[1:]]
    return CellMembership(
        {name: tuple(members) for name, members in endpoints.items()}, tuple(unassigned), tuple(overlapping)
    )


def endpoints_for(
    plan: CellPlan, cell: Cell, tenant: str | None, members: Iterable[EndpointEntry]
) -> frozenset[EndpointId]:
    """Returns the endpoints that a tenant may use in the cell: its shard, or all members without sharding.

    :param plan: contains the seed of the shards
    :param cell: a cell of the plan
    :param tenant: name of the tenant; None: returns all members
    :param members: the endpoints of the cell
    """
    pairs = [(endpoint.id, endpoint.kind) for endpoint in members]
    if not cell.shard_size or tenant is None:
        return frozenset(endpoint_id for endpoint_id, _ in pairs)
    return shuffle_shard(tenant, group_by_kind(pairs), cell.shard_size, plan.seed)


def profiles_losing_deduplication(
    plan: CellPlan,
    source: Cell,
    target: Cell,
    listed: Iterable[EndpointEntry],
    profiles: Mapping[str, Profile],
) -> list[str]:
    """Returns the names of profiles whose requests could be executed a second time by a retry in the target,
    because the target's endpoints do not know the idempotency keys of the source's endpoints."""
    membership = assign_endpoints(plan, listed)
    source_members = membership.endpoints[source.name]
    target_members = membership.endpoints[target.name]
    names = []
    for name, profile in profiles.items():
        if profile.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            continue
        if profile.deduplication_scope is DeduplicationScope.ALL:
            continue
        source_scopes = _deduplication_scopes(profile, source_members)
        target_scopes = _deduplication_scopes(profile, target_members)
        if source_scopes != target_scopes:
            names.append(name)
    return names


def _deduplication_scopes(profile: Profile, endpoints: Iterable[EndpointEntry]) -> set[int]:
    """Returns the zones or deduplication cells of these endpoints, as the profile's scope says. An endpoint
    recognizes only idempotency keys that were used in its own zone or deduplication cell."""
    if profile.deduplication_scope is DeduplicationScope.ZONE:
        return {endpoint.zone for endpoint in endpoints}
    return {endpoint.cell for endpoint in endpoints}
