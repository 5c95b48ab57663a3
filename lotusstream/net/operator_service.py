"""What an operator file brings to a gateway: the keeper of levels fed with facts, and answers for the
control socket. Imported only where such a file is named."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING, Any

from lotusstream import __version__
from lotusstream import interface as api
from lotusstream.cells.controller import CellController
from lotusstream.cells.messages import AbortMigration, MigrateTenant, PlanReplaced
from lotusstream.cells.migration import IRREVERSIBLE_STEPS
from lotusstream.levels.controller import LevelController
from lotusstream.levels.history import ChangeCause
from lotusstream.levels.messages import (
    GatewayHealthMeasured,
    HoldRequested,
    LadderReplaced,
    ReleaseRequested,
)
from lotusstream.net.actor import Supervisor
from lotusstream.net.clock import Clock
from lotusstream.net.connection import US
from lotusstream.net.control import ControlLimits, ControlRejectedError, ControlServer
from lotusstream.net.control_views import cells_view, levels_view
from lotusstream.net.decider import Decider
from lotusstream.net.decider_messages import BatchDue, OperatorView, SubsystemEvent, ViewRequested
from lotusstream.observe.own import OwnUse, OwnUseReader
from lotusstream.operator.file import OperatorFile
from lotusstream.protocol import control as wire

if TYPE_CHECKING:
    from lotusstream.net.configuration import Configuration
    from lotusstream.net.fleet import Fleet

TICK = 0.25  # seconds, where no ladder names a window
OWN_EVERY = 1.0  # seconds between two looks at the gateway's own use
ANSWER_WITHIN = 5.0  # seconds for the decider to answer


class OperatorService:
    """Posts the gateway's health to the keeper, logs changes of level, and answers control requests."""

    def __init__(
        self,
        file: OperatorFile,
        given: Configuration,
        keeper: LevelController | None,
        cells: CellController | None,
        fleet: Fleet | None,
        decider: Decider,
        own: OwnUseReader,
        clock: Clock,
        supervisor: Supervisor,
    ) -> None:
        self.file, self._given, self._name, self._decider = file, given, given.name, decider
        self._keeper, self._cells, self.fleet = keeper, cells, fleet
        self._own, self._clock, self._supervisor = own, clock, supervisor
        self._started = clock.now()
        self._logged = 0
        self._used: tuple[float, OwnUse] | None = None

    @property
    def ticks(self) -> bool:
        return self._keeper is not None or self._cells is not None

    # Levels

    async def feed(self) -> None:
        """Ticks for the keeper, with the gateway's own use and the loop's stall."""
        keeper = self._keeper
        pause = keeper.evaluation_interval / US if keeper else TICK
        while True:
            before = time.monotonic()
            await asyncio.sleep(pause)
            stall = int((time.monotonic() - before - pause) * US)
            if keeper is None:
                self._decider.post(BatchDue())
                continue
            use = self._use()
            self._decider.post(
                SubsystemEvent(GatewayHealthMeasured(use.core, use.memory, use.descriptors, max(0, stall)))
            )
            self._log_changes(keeper)

    def _use(self) -> OwnUse:
        """Read now and then: the core's share is that since the last reading."""
        if self._used is None or time.monotonic() - self._used[0] >= OWN_EVERY:
            self._used = (time.monotonic(), self._own.read())
        return self._used[1]

    def _log_changes(self, keeper: LevelController) -> None:
        new = keeper.history.count - self._logged
        self._logged = keeper.history.count
        for change in list(keeper.history)[len(keeper.history) - min(new, len(keeper.history)) :]:
            self._supervisor.counters.add("level changes")
            worse = change.step > 0 and change.cause in (ChangeCause.SIGNALS, ChangeCause.LOST_CORES)
            readings = {reading.signal: reading.text for reading in change.readings}
            self._supervisor.log.write(
                "level",
                str(change),
                "warning" if worse else "info",
                level=change.target,
                before=change.source,
                cause=change.cause.value,
                condition=change.condition,
                signals=readings,
                ends_when=change.ends_when,
            )
        if keeper.error is not None:
            self._supervisor.failed("keeper of levels", keeper.error)
            keeper.error = None

    def reload(self, new: OperatorFile) -> None:
        self.file = new
        if new.ladder is not None and self._keeper is not None:
            self._decider.post(SubsystemEvent(LadderReplaced(new.ladder)))
        if new.cells is not None and self._cells is not None:
            deployment = self._given.deployment
            self._decider.post(
                SubsystemEvent(PlanReplaced(new.cells.plan(deployment.zones, deployment.kinds)))
            )

    # Control

    async def answer(self, request: Any) -> Any:
        match request:
            case wire.Status():
                return self._status(await self._view())
            case wire.Levels(history):
                return self._levels(history)
            case wire.Engines():
                return self._engines(await self._view())
            case wire.Commands(most):
                return self._commands(await self._view(), most)
            case wire.CountersAsked():
                return self._supervisor.counters.as_mapping()
            case wire.HoldLevel(level, span):
                return await self._hold(HoldRequested(level, span))
            case wire.ReleaseLevel():
                return await self._release()
            case wire.Cells(tenant):
                return self._cells_told(tenant)
            case wire.MoveCell(tenant, cell, dry_run):
                return await self._move(tenant, cell, dry_run)
            case wire.AbortMove(tenant):
                return await self._abort(tenant)
            case wire.Peers():
                return self._fleet_part().peers()
            case wire.Quorum():
                return await self._fleet_part().quorum()
            case wire.ChangeKeeper(name, add):
                return await self._fleet_part().change_membership(name, add)
            case wire.Leases():
                return await self._fleet_part().leases()
            case wire.Drain(machine, undo):
                return await self._fleet_part().drain(machine, undo)
            case wire.Copies():
                return self._fleet_part().replica_status()
            case wire.GiveUpLease(task, heir):
                return await self._fleet_part().revoke_lease(task, heir)
        raise ControlRejectedError("unknown", "no such request")

    def _fleet_part(self) -> Fleet:
        if self.fleet is None:
            raise ControlRejectedError(
                "absent", "the operator file has no fleet: add one, and start the gateway anew"
            )
        return self.fleet

    async def _view(self) -> OperatorView:
        answer: asyncio.Future[OperatorView] = asyncio.get_running_loop().create_future()
        self._decider.post(ViewRequested(answer))
        try:
            return await asyncio.wait_for(answer, ANSWER_WITHIN)
        except TimeoutError as error:
            raise ControlRejectedError("busy", "the decider does not answer in time") from error

    def _status(self, view: OperatorView) -> dict[str, Any]:
        believed, now = view.snapshot, self._clock.now()
        ready = [engine for engine in believed.endpoints if engine.status is api.EndpointStatus.READY]
        usable = [engine for engine in ready if engine.ejected_until is None]
        return {
            "gateway": self._name,
            "version": __version__,
            "up_us": now - self._started,
            "level": self._keeper.status().level if self._keeper else None,
            "level_why": self._why() if self._keeper else None,
            "engines": {
                "listed": len(believed.endpoints),
                "usable": len(usable),
                "cold": sum(engine.slow_start_until is not None for engine in usable),
                "aside": sum(engine.ejected_until is not None for engine in ready),
            },
            "commands": {"open": believed.open_requests, "held": believed.queued_requests},
            "share": believed.share,
            "pace": believed.baseline_ratio,
            "strained": believed.overloaded,
            "own": dataclasses.asdict(self._use()),
            "operator_file": self.file.path,
        }

    def _why(self) -> str:
        assert self._keeper is not None
        latest = self._keeper.history.latest()
        return str(latest) if latest else "full service since the start"

    def _levels(self, max_changes: int) -> dict[str, Any]:
        if self._keeper is None:
            raise ControlRejectedError(
                "absent", "the operator file has no ladder: add one, and start the gateway anew"
            )
        status, history = self._keeper.status(), self._keeper.history
        return levels_view(self._clock.now(), status, history, max_changes)

    @staticmethod
    def _engines(view: OperatorView) -> list[dict[str, Any]]:
        return [
            {
                "engine": belief.endpoint_id.decode("latin-1"),
                "address": view.addresses.get(belief.endpoint_id),
                "state": belief.status.value,
                "kind": view.kinds[belief.kind] if belief.kind < len(view.kinds) else str(belief.kind),
                "cores": belief.cores,
                "threads": belief.threads,
                "sends": belief.in_flight,
                "loads": belief.loads,
                "pace": belief.latency_ratio,
                "pressed": belief.overloaded,
                "credit": belief.retry_credit,
                "failures": belief.failures,
                "aside_us": max(0, belief.ejected_until - view.now) if belief.ejected_until else None,
                "cold_us": max(0, belief.slow_start_until - view.now) if belief.slow_start_until else None,
            }
            for belief in view.snapshot.endpoints
        ]

    @staticmethod
    def _commands(view: OperatorView, most: int) -> dict[str, Any]:
        oldest = sorted(view.requests, key=lambda command: command.age, reverse=True)
        shown = [dataclasses.asdict(command) for command in oldest[: max(0, most)]]
        return {"open": len(view.requests), "shown": shown}

    async def _hold(self, hold: HoldRequested) -> dict[str, Any]:
        if self._keeper is None:
            raise ControlRejectedError("absent", "the operator file has no ladder: no level can be held")
        if (why := self._keeper.hold_refusal(hold)) is not None:
            raise ControlRejectedError("unknown", why)
        return await self._by_hand(hold)

    async def _release(self) -> dict[str, Any]:
        if self._keeper is None or self._keeper.status().held_until is None:
            raise ControlRejectedError("absent", "no level is held")
        return await self._by_hand(ReleaseRequested())

    def _kept(self) -> CellController:
        if self._cells is None:
            raise ControlRejectedError(
                "absent", "the operator file has no cells: add some, and start the gateway anew"
            )
        return self._cells

    def _cells_told(self, tenant: str | None) -> dict[str, Any]:
        controller = self._kept()
        view = cells_view(self._clock.now(), controller.status(), self._given.deployment.profiles)
        if tenant is not None:
            view["tenant"] = tenant
            view["home"] = controller.plan.cell_name_of(tenant)
        return view

    async def _move(self, tenant: str, cell: str, dry_run: bool) -> dict[str, Any]:
        if (why := self._kept().migration_refusal(self._clock.now(), tenant, cell)) is not None:
            raise ControlRejectedError("unknown", why)
        if not dry_run:
            self._decider.post(SubsystemEvent(MigrateTenant(tenant, cell, "by hand")))
            await self._view()
        return self._cells_told(tenant)

    async def _abort(self, tenant: str) -> dict[str, Any]:
        move = self._kept().migrations.get(tenant)
        if move is None or move.step in IRREVERSIBLE_STEPS:
            raise ControlRejectedError("unknown", f"'{tenant}' is on no way that it could come back from")
        self._decider.post(SubsystemEvent(AbortMigration(tenant, "by hand")))
        await self._view()
        return self._cells_told(tenant)

    async def _by_hand(self, event: HoldRequested | ReleaseRequested) -> dict[str, Any]:
        self._decider.post(SubsystemEvent(event))
        await self._view()  # has been told by then: the mailbox keeps its order
        return self._levels(1)


def control_server(
    file: OperatorFile, operated: OperatorService, supervisor: Supervisor
) -> ControlServer | None:
    if (socket := file.control) is None:
        return None
    manners = ControlLimits(socket.longest_request, socket.patience, socket.clients)
    return ControlServer(socket.path, manners, operated.answer, supervisor)
