"""What becomes of tenants when a plan that was read again replaces the one in force."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from lotusstream.cells.plan import CellPlan


@dataclass(frozen=True, slots=True)
class DeferredMigration:
    """A tenant that stays in its cell for now and is to be migrated to the one that the new plan names."""

    tenant: str
    target: str  # name of a cell


@dataclass(frozen=True, slots=True)
class PlanReplacement:
    """The plan to put in force, and the migrations to begin under it."""

    plan: CellPlan
    deferred: tuple[DeferredMigration, ...]


def replace_plan(current: CellPlan, new: CellPlan, keyed_tenants: Iterable[str]) -> PlanReplacement:
    """Returns the new plan with the overrides of the current one whose cells it still has.

    A tenant whose idempotency keys may be remembered by the endpoints of its cell is not switched at once:
    the other cell would execute its retries again. It gets an override to its present cell, and is migrated.

    :param current: the plan in force
    :param new: the plan as read
    :param keyed_tenants: tenants that have lately sent requests with an idempotency key
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
