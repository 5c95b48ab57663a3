"""Replaces the plan in force by a reloaded one, and finds the tenants that have to be migrated."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from lotusstream.cells.plan import CellPlan


@dataclass(frozen=True, slots=True)
class DeferredMigration:
    """A tenant that stays in its cell at first and has to be migrated to its cell in the new plan."""

    tenant: str
    target: str  # name of the tenant's cell in the new plan


@dataclass(frozen=True, slots=True)
class PlanReplacement:
    """The plan to put in force, and the migrations to begin after that."""

    plan: CellPlan
    deferred: tuple[DeferredMigration, ...]


def replace_plan(current: CellPlan, new: CellPlan, keyed_tenants: Iterable[str]) -> PlanReplacement:
    """Returns the new plan with those overrides of the current plan whose cells are in the new plan.

    The endpoints of a cell may still remember idempotency keys of a tenant. Such a tenant does not change its
    cell at once, because the endpoints of the other cell would execute its retries a second time. It gets an
    override to its present cell and is migrated.

    :param current: the plan in force
    :param new: the plan in the reloaded operator file
    :param keyed_tenants: tenants with recent requests with an idempotency key
    """
    cell_names = {cell.name for cell in new.cells}
    current_cells = {tenant: current.cell_name_of(tenant) for tenant in keyed_tenants}
    overrides = new.overrides
    for tenant, cell_name in current.overrides.items():
        if cell_name in cell_names:
            overrides = overrides.set(tenant, cell_name)
    deferred: list[DeferredMigration] = []
    for tenant, current_cell in current_cells.items():
        target = replace(new, overrides=overrides).cell_name_of(tenant)
        if target != current_cell and current_cell in cell_names:
            overrides = overrides.set(tenant, current_cell)
            deferred.append(DeferredMigration(tenant, target))
    plan = replace(new, version=current.version + 1, overrides=overrides)
    return PlanReplacement(plan, tuple(deferred))
