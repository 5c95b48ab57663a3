"""The state of the cells that `lotusstream ctl cells` shows."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.cells.migration import Migration
from lotusstream.cells.migrations import MigrationCoordinator
from lotusstream.cells.placement import Placement
from lotusstream.cells.plan import Cell, EmptyCellPolicy
from lotusstream.cells.quarantine import QuarantineController
from lotusstream.cells.requests import CellRequestTracker
from lotusstream.interface import EndpointStatus


@dataclass(frozen=True, slots=True)
class CellStatus:
    """The present state of one cell."""

    name: str
    endpoint_ids: tuple[api.EndpointId, ...]
    ready_endpoints: int
    open_requests: int
    open_tenants: int  # number of tenants with open requests in the cell
    unserved_profiles: tuple[int, ...]  # indexes of the profiles that no ready endpoint of the cell may serve
    lender: str | None  # name of the cell that serves requests which this cell can't serve; None: none
    quarantine: bool  # whether the cell serves only tenants with poison requests


@dataclass(frozen=True, slots=True)
class CellsStatus:
    """The present state of all cells."""

    plan_version: int
    cells: tuple[CellStatus, ...]
    migrations: tuple[Migration, ...]  # the latest migration of each tenant
    unassigned: tuple[api.EndpointId, ...]  # endpoints that no cell selects
    held_requests: int  # number of requests that are held by the fences of migrations
    poisoned_tenants: tuple[str, ...]  # tenants that are quarantined or rejected


def cells_status(
    placement: Placement,
    requests: CellRequestTracker,
    migrations: MigrationCoordinator,
    quarantine: QuarantineController,
) -> CellsStatus:
    """Returns the state of all cells."""
    return CellsStatus(
        plan_version=placement.plan.version,
        cells=tuple(_cell_status(cell, placement, requests) for cell in placement.plan.cells),
        migrations=tuple(migrations.migrations.values()),
        unassigned=tuple(endpoint.id for endpoint in placement.membership.unassigned),
        held_requests=sum(request.assignment is None for request in requests.all()),
        poisoned_tenants=quarantine.poisoned_tenants(),
    )


def _cell_status(cell: Cell, placement: Placement, requests: CellRequestTracker) -> CellStatus:
    endpoints = placement.membership.endpoints.get(cell.name, ())
    here = [
        request
        for request in requests.all()
        if request.assignment is not None and request.assignment.cell == cell.name
    ]
    unserved = [index for index in range(len(placement.profiles)) if not placement.can_serve(cell, index)]
    return CellStatus(
        name=cell.name,
        endpoint_ids=tuple(endpoint.id for endpoint in endpoints),
        ready_endpoints=sum(endpoint.status is EndpointStatus.READY for endpoint in endpoints),
        open_requests=len(here),
        open_tenants=len({request.tenant for request in here}),
        unserved_profiles=tuple(unserved),
        lender=cell.lender if cell.empty_policy is EmptyCellPolicy.BORROW else None,
        quarantine=cell.quarantine,
    )
