"""Assigns requests to cells, and endpoints to cells and shards."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.cells.membership import (
    CellMembership,
    assign_endpoints,
    endpoints_for,
    profiles_losing_deduplication,
)
from lotusstream.cells.plan import Cell, CellPlan, EmptyCellPolicy
from lotusstream.cells.requests import CellAssignment, TrackedRequest
from lotusstream.interface import EndpointStatus

# Cell number that has no endpoints, so that the decision module queues requests with this number.
FENCED_CELL_NUMBER = 0


@dataclass(frozen=True, slots=True)
class PlacementResult:
    """The outcome of placing a request."""

    events: list[api.Event]  # events that the decision module has to handle before the request
    can_be_served: bool  # False: no ready endpoint of the cell may serve it, and it has to be withdrawn


class Placement:
    """Holds the plan in force and the endpoint list, and assigns requests to cells."""

    def __init__(self, plan: CellPlan, profiles: tuple[api.Profile, ...]) -> None:
        """
        :param plan: the plan to put in force
        :param profiles: the profiles, in the order of the indexes in requests
        """
        self.plan = plan
        self.profiles = profiles
        self._listed: dict[api.EndpointId, api.EndpointEntry] = {}
        self._membership = CellMembership({}, (), ())
        # Pool number by cell name. A cell and its shards form one pool, which shares limits and statistics in
        # the decision module.
        self._pools = {cell.name: index for index, cell in enumerate(plan.cells)}
        self._assignments: dict[tuple[str, str | None], CellAssignment] = {}  # by cell and tenant
        self._last_number = FENCED_CELL_NUMBER

    @property
    def membership(self) -> CellMembership:
        """The endpoints of each cell according to the current endpoint list."""
        return self._membership

    def place(self, request: TrackedRequest) -> PlacementResult:
        """Assigns the request to its tenant's cell. If that cell can't serve the request, assigns it to the
        lender, the other cell from which the tenant's cell borrows endpoints, if the plan names one."""
        cell = self.plan.cell(self.plan.cell_name_of(request.tenant))
        if cell is None:
            return PlacementResult([], can_be_served=False)
        if self.can_serve(cell, request.profile):
            return PlacementResult(self._assign(request, cell), can_be_served=True)
        lender = self._lender_for(request, cell)
        if lender is not None:
            return PlacementResult(self._assign(request, lender), can_be_served=True)
        return PlacementResult(self._assign(request, cell), can_be_served=False)

    def release(self, request: TrackedRequest) -> list[api.Event]:
        """Removes the request from its cell. A shard without requests is removed as well, because the number
        of tenants over time is not bounded."""
        assignment = request.assignment
        request.assignment = None
        if assignment is None:
            return []
        assignment.request_count -= 1
        if assignment.request_count or assignment.tenant is None:
            return []
        del self._assignments[assignment.cell, assignment.tenant]
        return [api.CellEndpointsChanged(assignment.number, self._pool_of(assignment), frozenset())]

    def can_serve(self, cell: Cell, profile_index: int) -> bool:
        """Returns whether the cell has a ready endpoint on which the profile may run."""
        profile = self.profiles[profile_index]
        return any(
            endpoint.status is EndpointStatus.READY and profile.admits(endpoint)
            for endpoint in self._membership.endpoints.get(cell.name, ())
        )

    def on_endpoint_list(self, event: api.EndpointListReceived) -> list[api.Event]:
        """Applies a snapshot or delta of the endpoint list. Returns an event for each changed assignment."""
        if event.kind is api.EndpointListKind.FAILED:
            return []
        if event.kind is not api.EndpointListKind.DELTA:
            self._listed.clear()
        for endpoint in event.endpoints:
            self._listed[endpoint.id] = endpoint
        self._listed = {
            endpoint_id: endpoint
            for endpoint_id, endpoint in self._listed.items()
            if endpoint.status is not EndpointStatus.REMOVED
        }
        return self._refresh()

    def replace_plan(self, plan: CellPlan) -> list[api.Event]:
        """Puts another plan in force. Requests stay in the cells to which they are assigned."""
        self.plan = plan
        for cell in plan.cells:
            self._pools.setdefault(cell.name, len(self._pools))
        return self._refresh()

    def restart(self) -> list[api.Event]:
        """Returns events that report all cells to a restarted decision module. The shards of tenants are
        removed, because all requests have failed with the restart."""
        self._assignments = {
            key: assignment for key, assignment in self._assignments.items() if assignment.tenant is None
        }
        events: list[api.Event] = []
        for assignment in self._assignments.values():
            assignment.request_count = 0
            events.append(self._endpoints_changed(assignment))
        return events

    def _lender_for(self, request: TrackedRequest, cell: Cell) -> Cell | None:
        """Returns the cell that may serve the request in place of the tenant's cell, or None."""
        if cell.empty_policy is not EmptyCellPolicy.BORROW or cell.quarantine or cell.lender is None:
            return None
        lender = self.plan.cell(cell.lender)
        if lender is None or not self.can_serve(lender, request.profile):
            return None
        if self._loses_deduplication(request, cell, lender):
            return None
        return lender

    def _loses_deduplication(self, request: TrackedRequest, cell: Cell, lender: Cell) -> bool:
        """Returns whether the lender's endpoints would execute a retry although an attempt of the request was
        executed in the cell."""
        profiles = {"": self.profiles[request.profile]}
        return bool(profiles_losing_deduplication(self.plan, cell, lender, self._listed.values(), profiles))

    def _assign(self, request: TrackedRequest, cell: Cell) -> list[api.Event]:
        """Assigns the request to the cell, or to its tenant's shard of the cell. If that assignment is new,
        returns the event that reports it to the decision module."""
        tenant = request.tenant if cell.shard_size else None
        assignment = self._assignments.get((cell.name, tenant))
        events: list[api.Event] = []
        if assignment is None:
            self._last_number += 1
            assignment = CellAssignment(self._last_number, cell.name, tenant)
            self._assignments[cell.name, tenant] = assignment
            assignment.endpoint_ids = self._endpoints_of(assignment)
            events.append(self._endpoints_changed(assignment))
        assignment.request_count += 1
        request.assignment = assignment
        return events

    def _refresh(self) -> list[api.Event]:
        """Assigns the listed endpoints to cells again. Returns an event for each changed assignment."""
        self._membership = assign_endpoints(self.plan, self._listed.values())
        events: list[api.Event] = []
        for assignment in self._assignments.values():
            endpoint_ids = self._endpoints_of(assignment)
            if endpoint_ids != assignment.endpoint_ids:
                assignment.endpoint_ids = endpoint_ids
                events.append(self._endpoints_changed(assignment))
        return events

    def _endpoints_of(self, assignment: CellAssignment) -> frozenset[api.EndpointId]:
        cell = self.plan.cell(assignment.cell)
        if cell is None:
            return frozenset()
        members = self._membership.endpoints.get(cell.name, ())
        return endpoints_for(self.plan, cell, assignment.tenant, members)

    def _endpoints_changed(self, assignment: CellAssignment) -> api.CellEndpointsChanged:
        return api.CellEndpointsChanged(assignment.number, self._pool_of(assignment), assignment.endpoint_ids)

    def _pool_of(self, assignment: CellAssignment) -> int:
        return self._pools.get(assignment.cell, 0)
