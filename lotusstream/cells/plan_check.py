"""Checks a cell plan against the listed endpoints and the profiles of the deployment."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from lotusstream.cells.membership import assign_endpoints
from lotusstream.cells.plan import Cell, CellPlan, EmptyCellPolicy
from lotusstream.interface import EndpointEntry, Profile


@dataclass(frozen=True, slots=True)
class CellPlanProblem:
    """A problem of the plan with the listed endpoints."""

    cell: str  # name of the cell; empty: the problem belongs to no cell
    message: str  # what is wrong
    hint: str  # how to correct it
    fatal: bool = True  # whether the plan is rejected
    profile: str | None = None  # name of the profile that the cell can't serve; None: another problem


def find_plan_problems(
    plan: CellPlan, listed: Iterable[EndpointEntry], profiles: Mapping[str, Profile]
) -> Iterator[CellPlanProblem]:
    """Yields the problems of the plan.

    :param plan: the plan to check
    :param listed: the endpoints in the endpoint list
    :param profiles: the profiles by name
    """
    membership = assign_endpoints(plan, listed)
    for endpoint in membership.unassigned:
        name = endpoint.id.decode("latin-1")
        yield CellPlanProblem(
            "", f"engine {name} is in no cell", "let a last cell take the rest: engines all"
        )
    for overlap in membership.overlapping:
        name = overlap.endpoint.id.decode("latin-1")
        message = f"engine {name} belongs to '{overlap.cell}', an earlier cell that selects it too"
        yield CellPlanProblem(
            overlap.other_cell, message, "no change is needed if this is intended", fatal=False
        )
    for cell in plan.cells:
        members = membership.endpoints[cell.name]
        if not members:
            yield CellPlanProblem(cell.name, "no engine belongs to it", "select more engines")
            continue
        for name, profile in profiles.items():
            yield from _find_unserved(plan, cell, members, name, profile)


def _find_unserved(
    plan: CellPlan, cell: Cell, members: tuple[EndpointEntry, ...], profile_name: str, profile: Profile
) -> Iterator[CellPlanProblem]:
    """Yields a problem if no endpoint of the cell may serve the profile."""
    if any(profile.admits(endpoint) for endpoint in members):
        return
    borrows = cell.empty_policy is EmptyCellPolicy.BORROW
    lender = plan.cell(cell.lender) if borrows and cell.lender else None
    if lender is not None:
        message = f"no engine here may serve {profile_name}: '{lender.name}' serves its requests"
        yield CellPlanProblem(
            cell.name, message, "add an engine that may serve it", fatal=False, profile=profile_name
        )
        return
    hint = "add an engine that may serve it, or 'empty borrow CELL'"
    yield CellPlanProblem(cell.name, f"no engine here may serve {profile_name}", hint, profile=profile_name)
