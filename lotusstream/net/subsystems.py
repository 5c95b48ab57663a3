"""What an operator file turns on beside the decision module: each part in one shape, all named in one place,
each imported only where the file asks for it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotusstream.net.actor import Supervisor
from lotusstream.net.client import TenantLookup
from lotusstream.net.clock import Clock
from lotusstream.net.configuration import Configuration, ConfigurationError
from lotusstream.net.decider import Decider
from lotusstream.net.decider_messages import SubsystemEvent
from lotusstream.net.decision_module import DecisionModule
from lotusstream.operator.file import OperatorFile, fixed_differences
from lotusstream.operator.problems import OperatorFileError

if TYPE_CHECKING:
    from lotusstream.cells.controller import CellController
    from lotusstream.cells.migration import Migration
    from lotusstream.levels.controller import LevelController
    from lotusstream.net.control import ControlServer
    from lotusstream.net.fleet import Fleet
    from lotusstream.net.level_feed import LevelFeed
    from lotusstream.net.operator_service import OperatorService


@dataclass(frozen=True, slots=True)
class SubsystemContext:
    """What every part may use."""

    file: OperatorFile
    given: Configuration
    clock: Clock
    supervisor: Supervisor


class Subsystem:
    """What it sees and adds: events of commands by `beside`, in front of the module; all else as events
    posted to the decider that `tie` gives. No part calls another but those told by name when it is made."""

    descriptors = 0  # at most, of the gateway's

    def __init__(self, around: SubsystemContext) -> None:
        self.around = around

    def beside(self, module: DecisionModule) -> DecisionModule:
        return module

    def tie(self, decider: Decider) -> None: ...

    def start(self) -> None:
        """Raises UnusableConfiguration: then the gateway does not start."""

    def leave(self) -> None:
        """A planned stop begins."""

    async def stop(self) -> None: ...

    def close(self) -> None:
        """Once all tasks have ended."""


class CellsSubsystem(Subsystem):
    """Confinement, and moves with the log that they rest on. A disk that can't be used stops moves, a log
    that can't be trusted the start."""

    def __init__(self, around: SubsystemContext) -> None:
        super().__init__(around)
        from lotusstream.cells.controller import CellController
        from lotusstream.cells.migration import migration_timing
        from lotusstream.net.migrations import MoveWriter
        from lotusstream.wal.errors import LogError

        cells, deployment = around.file.cells, around.given.deployment
        assert cells is not None
        try:
            log, why, moves = self._log(cells.log)
        except LogError as error:
            raise ConfigurationError(f"cells: {error}") from error
        profiles = deployment.started.profiles
        self._decider: Decider | None = None
        self.writer = MoveWriter(log, why, self._tell, around.supervisor)
        plan = cells.plan(deployment.zones, deployment.kinds)
        move_terms = migration_timing(profiles, cells.hold, cells.drain)
        self.keeper: CellController = CellController(plan, move_terms, profiles, moves, cells.poison)

    def _log(self, path: str | None):  # type: ignore[no-untyped-def]
        from lotusstream.net.migrations import read_moves
        from lotusstream.wal.errors import DiskError
        from lotusstream.wal.log import WriteAheadLog

        moves: list[Migration] = []
        if path is None:
            return None, "the cells have no log", moves
        try:
            log = WriteAheadLog(path).open()
            return log, "", read_moves(log, path, self.around.clock.now())
        except DiskError as error:
            self.around.supervisor.log.write("moves", f"none can be made: {error}", "error")
            return None, str(error), moves

    def _tell(self, event: object) -> None:
        assert self._decider is not None
        self._decider.post(SubsystemEvent(event))

    def beside(self, module: DecisionModule) -> DecisionModule:
        from lotusstream.cells.admission import CellAdmission

        log = self.around.supervisor.log
        return CellAdmission(
            module.handle, self.keeper, self.writer.post, lambda why: log.write("moves", why)
        )

    @property
    def tenants(self) -> TenantLookup:
        from lotusstream.cells.tenant_lookup import lookup_tenant
        from lotusstream.protocol.tables import schema_name

        cells = self.keeper
        return lambda fields, mark, statement: lookup_tenant(
            cells.plan.sources, fields, mark, lambda: schema_name(statement)
        )

    def tie(self, decider: Decider) -> None:
        self._decider = decider

    def start(self) -> None:
        self.writer.start()

    def close(self) -> None:
        self.writer.close()


class LevelsSubsystem(Subsystem):
    """The keeper of levels, in front of all else."""

    def __init__(self, around: SubsystemContext) -> None:
        super().__init__(around)
        from lotusstream.levels.controller import LevelController

        deployment = around.given.deployment
        assert around.file.ladder is not None
        self.keeper: LevelController = LevelController(
            around.file.ladder, deployment.started, deployment.profiles
        )

    def beside(self, module: DecisionModule) -> DecisionModule:
        from lotusstream.levels.admission import LevelAdmission

        return LevelAdmission(module.handle, self.keeper)


class FleetSubsystem(Subsystem):
    """Leases, their tasks, and the quorum where this gateway keeps it."""

    def __init__(self, around: SubsystemContext) -> None:
        super().__init__(around)
        assert around.file.fleet is not None
        self.descriptors = around.file.fleet.descriptors(around.given.name)
        self.fleet: Fleet | None = None

    def tie(self, decider: Decider) -> None:
        from lotusstream.net.fleet import Fleet
        from lotusstream.wal.errors import LogError

        given, told = self.around.given, self.around.file.fleet
        assert told is not None
        try:
            clock, supervisor = self.around.clock, self.around.supervisor
            self.fleet = Fleet(told, given.name, given.deployment, decider, clock, supervisor)
            self.anew(self.around.file)
            self._leave_moves_to_others(decider)
        except LogError as error:
            raise ConfigurationError(f"fleet: {error}") from error

    def _leave_moves_to_others(self, decider: Decider) -> None:
        """In a fleet a move needs the lease, also where this gateway never asks for it."""
        from lotusstream.cells.messages import MigrationLeaseChanged
        from lotusstream.operator.fleet import MIGRATION_TASK

        told = self.around.file.fleet
        if told is not None and self.around.file.cells is not None and MIGRATION_TASK not in told.tasks:
            decider.post(SubsystemEvent(MigrationLeaseChanged(0)))

    def anew(self, file: OperatorFile) -> None:
        from lotusstream.net.tasks import PLAN_NOTE_KEY

        if self.fleet is not None and file.cells is not None:
            self.fleet.propose_note(PLAN_NOTE_KEY, file.cells.number, file.cells.digest)

    def start(self) -> None:
        assert self.fleet is not None
        try:
            self.fleet.start()
        except OSError as error:
            raise ConfigurationError(f"fleet: peers can't be taken: {error}") from error

    def leave(self) -> None:
        if self.fleet is not None:
            self.fleet.leave()

    async def stop(self) -> None:
        if self.fleet is not None:
            await self.fleet.stop()


class ControlSubsystem(Subsystem):
    """Feeds the keepers of the other parts, and answers on the control socket about all of them."""

    def __init__(
        self,
        around: SubsystemContext,
        cells: CellsSubsystem | None,
        levels: LevelsSubsystem | None,
        fleet: FleetSubsystem | None,
    ) -> None:
        super().__init__(around)
        self._cells = cells
        self._levels = levels
        self._fleet = fleet
        self.service: OperatorService | None = None
        self._feed: LevelFeed | None = None
        self._server: ControlServer | None = None
        socket = around.file.control
        self.descriptors = socket.clients + 2 if socket else 0

    def tie(self, decider: Decider) -> None:
        from lotusstream.net.level_feed import LevelFeed, OwnUseSampler
        from lotusstream.net.operator_service import OperatedParts, OperatorService, control_server
        from lotusstream.observe.own import OwnUseReader

        file, given, supervisor = self.around.file, self.around.given, self.around.supervisor
        parts = OperatedParts(
            levels=self._levels.keeper if self._levels else None,
            cells=self._cells.keeper if self._cells else None,
            fleet=self._fleet.fleet if self._fleet else None,
        )
        own_use = OwnUseSampler(OwnUseReader(given.cores, given.memory, given.descriptors))
        clock = self.around.clock
        self.service = OperatorService(file, given, parts, decider, own_use, clock, supervisor)
        self._server = control_server(file, self.service, supervisor)
        if parts.levels is not None or parts.cells is not None:
            self._feed = LevelFeed(parts.levels, decider, own_use, supervisor)

    def start(self) -> None:
        if self._server is not None:
            try:
                self._server.start()
            except Exception as error:
                raise ConfigurationError(f"control: {error}") from error
        if self._feed is not None:
            self.around.supervisor.start_restarting("levels", self._feed.run)

    async def stop(self) -> None:
        if self._server is not None:
            self._server.stop()


class Subsystems:
    """All that a file asks for, in the order in which it stands in front of the module: nearest first."""

    def __init__(
        self, file: OperatorFile, given: Configuration, clock: Clock, supervisor: Supervisor
    ) -> None:
        """Raises UnusableConfiguration."""
        self._supervisor, self._name = supervisor, given.name
        if file.log is not None:  # before anything has something to say
            from lotusstream.observe.log import structured

            supervisor.log.use(structured(file.log.form, file.log.threshold, given.name))
        around = SubsystemContext(file, given, clock, supervisor)
        self.cells = CellsSubsystem(around) if file.cells is not None else None
        self.levels = LevelsSubsystem(around) if file.ladder is not None else None
        self.fleet = FleetSubsystem(around) if file.fleet is not None else None
        self.control = ControlSubsystem(around, self.cells, self.levels, self.fleet)
        self._all = [each for each in (self.cells, self.levels, self.fleet, self.control) if each is not None]
        self.descriptors = sum(each.descriptors for each in self._all)
        if self.fleet is not None and self.descriptors > given.descriptors // 2:
            what = f"{self.descriptors} of {given.descriptors} descriptors for peers and control"
            raise ConfigurationError(f"fleet: {what}; lower 'peers-most'")

    @property
    def tenants(self) -> TenantLookup | None:
        return self.cells.tenants if self.cells else None

    def beside(self, module: DecisionModule) -> DecisionModule:
        for part in self._all:
            module = part.beside(module)
        return module

    def tie(self, decider: Decider) -> None:
        for part in self._all:
            part.tie(decider)

    def start(self) -> None:
        for part in self._all:
            part.start()

    def leave(self) -> None:
        for part in self._all:
            part.leave()

    async def stop(self) -> None:
        for part in reversed(self._all):
            await part.stop()

    def close(self) -> None:
        for part in self._all:
            part.close()

    def reload(self, read: Callable[[], OperatorFile]) -> None:
        """Takes another operator file while running, or nothing of one that can't be used or changes what
        can't change. `read` raises UnusableOperatorFile."""
        service = self.control.service
        assert service is not None
        counters, log = self._supervisor.counters, self._supervisor.log
        try:
            new = read()
            if fixed := fixed_differences(service.file, new):
                raise OperatorFileError.alone(new.path, f"can't change while running: {', '.join(fixed)}")
        except OperatorFileError as error:  # what was in force stays
            counters.add("operator files refused")
            log.write("operator", f"not taken: {'; '.join(map(str, error.problems))}", "error")
            return
        counters.add("operator files read again")
        if new.log is not None and new.log != service.file.log:
            from lotusstream.observe.log import structured

            log.use(structured(new.log.form, new.log.threshold, self._name))
        service.reload(new)
        if self.fleet is not None:
            self.fleet.anew(new)
        log.write("operator", f"{new.path} was read again", "info")
