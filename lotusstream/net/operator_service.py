"""Handles the requests of the control socket, and applies a reloaded operator file.

The module is imported only if the gateway is started with an operator file.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from lotusstream.cells.controller import CellController
from lotusstream.cells.messages import AbortMigration, MigrateTenant, PlanReplaced
from lotusstream.levels.controller import LevelController
from lotusstream.levels.messages import LadderReplaced, LevelHoldRequested, LevelReleaseRequested
from lotusstream.net.actor import Supervisor
from lotusstream.net.clock import Clock
from lotusstream.net.control import ControlLimits, ControlRejectedError, ControlServer
from lotusstream.net.control_views import cells_view, endpoints_view, levels_view, requests_view, status_view
from lotusstream.net.decider import Decider
from lotusstream.net.decider_messages import OperatorView, SubsystemEvent, ViewRequested
from lotusstream.net.level_feed import ResourceUsageSampler
from lotusstream.operator.file import OperatorFile
from lotusstream.protocol import control as wire

if TYPE_CHECKING:
    from lotusstream.net.configuration import Configuration
    from lotusstream.net.fleet import Fleet
    from lotusstream.net.fleet_control import FleetControl

VIEW_TIMEOUT_S = 5.0  # time that the decider has to return its state


@dataclass(frozen=True, slots=True)
class OperatedParts:
    """The subsystems that control requests may concern. None: the operator file has no block for it."""

    levels: LevelController | None
    cells: CellController | None
    fleet: Fleet | None


class OperatorService:
    """Answers control requests with the state of the subsystems, and posts changes to the decider."""

    def __init__(
        self,
        file: OperatorFile,
        configuration: Configuration,
        parts: OperatedParts,
        decider: Decider,
        usage_sampler: ResourceUsageSampler,
        clock: Clock,
        supervisor: Supervisor,
    ) -> None:
        self.file = file  # the operator file in force
        self._configuration = configuration
        self._parts = parts
        self._decider = decider
        self._usage_sampler = usage_sampler
        self._clock = clock
        self._supervisor = supervisor
        self._started_at = clock.now()  # start of the gateway, microseconds

    def reload(self, new: OperatorFile) -> None:
        """Puts a reloaded operator file in force: posts its ladder and its cell plan to the decider."""
        self.file = new
        if new.ladder is not None and self._parts.levels is not None:
            self._decider.post(SubsystemEvent(LadderReplaced(new.ladder)))
        if new.cells is not None and self._parts.cells is not None:
            deployment = self._configuration.deployment
            plan = new.cells.plan(deployment.zones, deployment.kinds)
            self._decider.post(SubsystemEvent(PlanReplaced(plan)))

    async def answer(self, request: Any) -> Any:
        """Returns the JSON value that answers a request.

        :raises ControlRejectedError: the request can't be carried out
        """
        match request:
            case wire.Status():
                return self._status(await self._view())
            case wire.Endpoints():
                return endpoints_view(await self._view())
            case wire.OpenRequests(max_requests):
                return requests_view(await self._view(), max_requests)
            case wire.Counters():
                return self._supervisor.counters.as_mapping()
            case wire.Levels() | wire.HoldLevel() | wire.ReleaseLevel():
                return await self._answer_levels(request)
            case wire.Cells() | wire.MigrateTenant() | wire.AbortMigration():
                return await self._answer_cells(request)
        return await self._answer_fleet(request)

    async def _answer_levels(self, request: wire.Levels | wire.HoldLevel | wire.ReleaseLevel) -> Any:
        match request:
            case wire.Levels(max_changes):
                return self._levels_view(max_changes)
            case wire.HoldLevel(level, duration):
                return await self._hold_level(LevelHoldRequested(level, duration))
            case wire.ReleaseLevel():
                return await self._release_level()

    async def _answer_cells(self, request: wire.Cells | wire.MigrateTenant | wire.AbortMigration) -> Any:
        match request:
            case wire.Cells(tenant):
                return self._cells_view(tenant)
            case wire.MigrateTenant(tenant, cell, dry_run):
                return await self._migrate_tenant(tenant, cell, dry_run)
            case wire.AbortMigration(tenant):
                return await self._abort_migration(tenant)

    async def _answer_fleet(self, request: Any) -> Any:
        match request:
            case wire.Peers():
                return self._fleet_control().peers()
            case wire.Quorum():
                return await self._fleet_control().quorum()
            case wire.ChangeQuorumMember(name, add):
                return await self._fleet_control().change_membership(name, add)
            case wire.Leases():
                return await self._fleet_control().leases()
            case wire.DrainMachine(machine, undo):
                return await self._fleet_control().drain(machine, undo)
            case wire.ReplicaStatus():
                return self._fleet_control().replica_status()
            case wire.RevokeLease(task, heir):
                return await self._fleet_control().revoke_lease(task, heir)
        raise ControlRejectedError("unknown", "unknown request")

    # Gateway

    async def _view(self) -> OperatorView:
        """Returns the decider's state. The decider handles events in the order in which they are posted, so
        the state reflects all events posted before this call."""
        answer: asyncio.Future[OperatorView] = asyncio.get_running_loop().create_future()
        self._decider.post(ViewRequested(answer))
        try:
            return await asyncio.wait_for(answer, VIEW_TIMEOUT_S)
        except TimeoutError as error:
            raise ControlRejectedError(
                "busy", f"the decider did not answer within {VIEW_TIMEOUT_S:g} s"
            ) from error

    def _status(self, view: OperatorView) -> dict[str, Any]:
        return status_view(
            name=self._configuration.name,
            uptime=self._clock.now() - self._started_at,
            levels=self._parts.levels,
            snapshot=view.snapshot,
            process_usage=self._usage_sampler.sample(),
            operator_file=self.file.path,
        )

    # Levels

    def _levels_view(self, max_changes: int) -> dict[str, Any]:
        levels = self._parts.levels
        if levels is None:
            raise ControlRejectedError(
                "absent", "the operator file has no ladder: add one and restart the gateway"
            )
        return levels_view(self._clock.now(), levels.status(), levels.history, max_changes)

    async def _hold_level(self, hold: LevelHoldRequested) -> dict[str, Any]:
        if self._parts.levels is None:
            raise ControlRejectedError("absent", "the operator file has no ladder: no level can be held")
        refusal = self._parts.levels.hold_rejection_reason(hold)
        if refusal is not None:
            raise ControlRejectedError("unknown", refusal)
        return await self._change_level(hold)

    async def _release_level(self) -> dict[str, Any]:
        if self._parts.levels is None or self._parts.levels.status().held_until is None:
            raise ControlRejectedError("absent", "no level is held")
        return await self._change_level(LevelReleaseRequested())

    async def _change_level(self, event: LevelHoldRequested | LevelReleaseRequested) -> dict[str, Any]:
        self._decider.post(SubsystemEvent(event))
        await self._view()
        return self._levels_view(1)

    # Cells

    def _cells(self) -> CellController:
        if self._parts.cells is None:
            raise ControlRejectedError(
                "absent", "the operator file has no cells: add some and restart the gateway"
            )
        return self._parts.cells

    def _cells_view(self, tenant: str | None) -> dict[str, Any]:
        cells = self._cells()
        view = cells_view(self._clock.now(), cells.status(), self._configuration.deployment.profiles)
        if tenant is not None:
            view["tenant"] = tenant
            view["home"] = cells.plan.cell_name_of(tenant)
        return view

    async def _migrate_tenant(self, tenant: str, cell: str, dry_run: bool) -> dict[str, Any]:
        refusal = self._cells().migration_rejection_reason(self._clock.now(), tenant, cell)
        if refusal is not None:
            raise ControlRejectedError("unknown", refusal)
        if not dry_run:
            self._decider.post(SubsystemEvent(MigrateTenant(tenant, cell, "by hand")))
            await self._view()
        return self._cells_view(tenant)

    async def _abort_migration(self, tenant: str) -> dict[str, Any]:
        migration = self._cells().migrations.get(tenant)
        if migration is None or not migration.is_reversible:
            raise ControlRejectedError(
                "unknown", f"tenant '{tenant}' has no migration that can be rolled back"
            )
        self._decider.post(SubsystemEvent(AbortMigration(tenant, "by hand")))
        await self._view()
        return self._cells_view(tenant)

    # Fleet

    def _fleet_control(self) -> FleetControl:
        if self._parts.fleet is None:
            raise ControlRejectedError(
                "absent", "the operator file has no fleet: add one and restart the gateway"
            )
        return self._parts.fleet.control


def control_server(
    file: OperatorFile, service: OperatorService, supervisor: Supervisor
) -> ControlServer | None:
    """Returns the server of the control socket, or None if the operator file has no `control`."""
    socket = file.control
    if socket is None:
        return None
    limits = ControlLimits(socket.max_request_bytes, socket.timeout_us, socket.max_clients)
    return ControlServer(socket.path, limits, service.answer, supervisor)
