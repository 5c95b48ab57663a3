"""The subsystems that an operator file turns on: cells, levels, fleet and control.

All have the same interface. Each is imported only if the operator file turns it on, because a
gateway without an operator file has to use little memory.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotusstream.net.actor import Supervisor
from lotusstream.net.clock import Clock
from lotusstream.net.configuration import Configuration, ConfigurationError
from lotusstream.net.decider import Decider
from lotusstream.net.decider_messages import SubsystemEvent
from lotusstream.net.decision_module import DecisionModule
from lotusstream.net.request_intake import TenantLookup
from lotusstream.operator.file import OperatorFile, changes_requiring_restart
from lotusstream.operator.problems import OperatorFileError

if TYPE_CHECKING:
    from lotusstream.cells.controller import CellController
    from lotusstream.cells.migration import Migration
    from lotusstream.levels.controller import LevelController
    from lotusstream.net.control import ControlServer
    from lotusstream.net.fleet import Fleet
    from lotusstream.net.level_feed import LevelFeed
    from lotusstream.net.operator_service import OperatorService
    from lotusstream.wal.log import WriteAheadLog


@dataclass(frozen=True, slots=True)
class SubsystemContext:
    """The objects that every subsystem may use."""

    file: OperatorFile  # the operator file at the start of the gateway
    configuration: Configuration
    clock: Clock
    supervisor: Supervisor


class Subsystem:
    """Base of all subsystems, which override the methods that they need.

    `wrap_module` is called for each new decision module. The other methods are called once, in the order in
    which they are defined here. To affect requests, a subsystem wraps the decision module; for all other
    effects it posts events to the decider. It uses no subsystems but those that its constructor receives.
    """

    descriptors = 0  # greatest number of file descriptors that the subsystem uses

    def __init__(self, context: SubsystemContext) -> None:
        self.context = context

    def wrap_module(self, module: DecisionModule) -> DecisionModule:
        """Returns a module that handles events in this subsystem before it passes them on to `module`."""
        return module

    def connect(self, decider: Decider) -> None:
        """Sets the decider, to which this subsystem posts its events.

        :raises ConfigurationError: the gateway can't start
        """

    def start(self) -> None:
        """Starts tasks and opens sockets.

        :raises ConfigurationError: the gateway can't start
        """

    def begin_shutdown(self) -> None:
        """Handles the start of a graceful shutdown, during which requests are still answered."""

    async def stop(self) -> None:
        """Stops tasks and closes sockets."""

    def close(self) -> None:
        """Closes files. Called after all tasks have ended."""


class CellsSubsystem(Subsystem):
    """Cells, migrations of tenants between them, and the migration log.

    If the directory or disk of the log can't be used, the gateway starts without migrations. If the log is
    corrupt, was written by a newer version or is open in another process, the gateway does not start.
    """

    def __init__(self, context: SubsystemContext) -> None:
        super().__init__(context)
        from lotusstream.cells.controller import CellController
        from lotusstream.cells.migration import migration_timing
        from lotusstream.net.migrations import MigrationWriter
        from lotusstream.wal.errors import LogError

        cells, deployment = context.file.cells, context.configuration.deployment
        assert cells is not None
        try:
            log, missing_reason, migrations = self._open_log(cells.log)
        except LogError as error:
            raise ConfigurationError(f"cells: {error}") from error
        profiles = deployment.started.profiles
        self._decider: Decider | None = None
        self.writer = MigrationWriter(log, missing_reason, self._post, context.supervisor)
        plan = cells.plan(deployment.zones, deployment.kinds)
        timing = migration_timing(profiles, cells.hold_us, cells.drain_us)
        self.controller: CellController = CellController(plan, timing, profiles, migrations, cells.poison)

    def _open_log(self, path: str | None) -> tuple[WriteAheadLog | None, str, list[Migration]]:
        """Returns the log, the reason why there is none, and the migrations in the log."""
        from lotusstream.net.migrations import read_migrations
        from lotusstream.wal.errors import DiskError
        from lotusstream.wal.log import WriteAheadLog

        migrations: list[Migration] = []
        if path is None:
            return None, "the operator file has no migration log", migrations
        try:
            log = WriteAheadLog(path).open()
            return log, "", read_migrations(log, path, self.context.clock.now())
        except DiskError as error:
            self.context.supervisor.log.write("moves", f"no migrations are possible: {error}", "error")
            return None, str(error), migrations

    def _post(self, event: object) -> None:
        assert self._decider is not None
        self._decider.post(SubsystemEvent(event))

    def wrap_module(self, module: DecisionModule) -> DecisionModule:
        """Returns a module that passes events to `module` through the cell controller."""
        from lotusstream.cells.controlled_module import CellControlledModule

        log = self.context.supervisor.log
        return CellControlledModule(
            module.handle, self.controller, self.writer.post, lambda reason: log.write("moves", reason)
        )

    @property
    def tenant_lookup(self) -> TenantLookup:
        """Returns the function that finds the tenant of a request, according to the current cell plan."""
        from lotusstream.cells.tenant_lookup import lookup_tenant
        from lotusstream.protocol.tables import schema_name

        cells = self.controller
        return lambda fields, key, statement: lookup_tenant(
            cells.plan.sources, fields, key, lambda: schema_name(statement)
        )

    def connect(self, decider: Decider) -> None:
        """Sets the decider, to which the results of writes to the migration log are posted."""
        self._decider = decider

    def start(self) -> None:
        """Starts the writer of the migration log."""
        self.writer.start()

    def close(self) -> None:
        """Closes the migration log."""
        self.writer.close()


class LevelsSubsystem(Subsystem):
    """Degradation levels."""

    def __init__(self, context: SubsystemContext) -> None:
        super().__init__(context)
        from lotusstream.levels.controller import LevelController

        deployment = context.configuration.deployment
        assert context.file.ladder is not None
        self.controller: LevelController = LevelController(
            context.file.ladder, deployment.started, deployment.profiles
        )

    def wrap_module(self, module: DecisionModule) -> DecisionModule:
        """Returns a module that passes the events and actions of `module` to the level controller."""
        from lotusstream.levels.controlled_module import LevelControlledModule

        return LevelControlledModule(module.handle, self.controller)


class FleetSubsystem(Subsystem):
    """This gateway as a member of the fleet: its leases with their tasks, and its Raft node if it has one."""

    def __init__(self, context: SubsystemContext) -> None:
        super().__init__(context)
        assert context.file.fleet is not None
        self.descriptors = context.file.fleet.descriptors(context.configuration.name)
        self.fleet: Fleet | None = None

    def connect(self, decider: Decider) -> None:
        """Creates the fleet and proposes the cell plan; raises ConfigurationError if a log can't be read."""
        from lotusstream.net.fleet import Fleet
        from lotusstream.wal.errors import LogError

        configuration, fleet_settings = self.context.configuration, self.context.file.fleet
        assert fleet_settings is not None
        try:
            clock, supervisor = self.context.clock, self.context.supervisor
            self.fleet = Fleet(
                fleet_settings, configuration.name, configuration.deployment, decider, clock, supervisor
            )
            self.reload(self.context.file)
            self._forbid_migrations_without_task(decider)
        except LogError as error:
            raise ConfigurationError(f"fleet: {error}") from error

    def _forbid_migrations_without_task(self, decider: Decider) -> None:
        """Forbids migrations if this gateway never requests the lease for them, as the operator file lacks
        the migration task. In a fleet only the lease holder may start migrations."""
        from lotusstream.cells.messages import MigrationLeaseChanged
        from lotusstream.operator.fleet import MIGRATION_TASK

        fleet_settings = self.context.file.fleet
        if (
            fleet_settings is not None
            and self.context.file.cells is not None
            and MIGRATION_TASK not in fleet_settings.tasks
        ):
            decider.post(SubsystemEvent(MigrationLeaseChanged(0)))

    def reload(self, file: OperatorFile) -> None:
        """Proposes the number and digest of the file's cell plan to the fleet."""
        from lotusstream.net.tasks import PLAN_NOTE_KEY

        if self.fleet is not None and file.cells is not None:
            self.fleet.propose_note(PLAN_NOTE_KEY, file.cells.plan_number, file.cells.plan_digest)

    def start(self) -> None:
        """Starts the fleet's components; raises ConfigurationError if the peer address can't be bound."""
        assert self.fleet is not None
        try:
            self.fleet.start()
        except OSError as error:
            raise ConfigurationError(f"fleet: can't listen for peers: {error}") from error

    def begin_shutdown(self) -> None:
        """Begins to release leases, Raft leadership and the role of primary, without waiting."""
        if self.fleet is not None:
            self.fleet.begin_shutdown()

    async def stop(self) -> None:
        """Stops the fleet's components."""
        if self.fleet is not None:
            await self.fleet.stop()


class ControlSubsystem(Subsystem):
    """The control socket, and the feed that supplies levels and cells with time and resource usage."""

    def __init__(
        self,
        context: SubsystemContext,
        cells: CellsSubsystem | None,
        levels: LevelsSubsystem | None,
        fleet: FleetSubsystem | None,
    ) -> None:
        super().__init__(context)
        self._cells = cells
        self._levels = levels
        self._fleet = fleet
        self.service: OperatorService | None = None
        self._feed: LevelFeed | None = None
        self._server: ControlServer | None = None
        socket = context.file.control
        self.descriptors = socket.max_clients + 2 if socket else 0

    def connect(self, decider: Decider) -> None:
        """Creates the operator service and, where the file enables them, the control server and the feed."""
        from lotusstream.net.level_feed import LevelFeed, ResourceUsageSampler
        from lotusstream.net.operator_service import OperatedParts, OperatorService, control_server
        from lotusstream.observe.own import ProcessUsageReader

        file, configuration = self.context.file, self.context.configuration
        supervisor = self.context.supervisor
        parts = OperatedParts(
            levels=self._levels.controller if self._levels else None,
            cells=self._cells.controller if self._cells else None,
            fleet=self._fleet.fleet if self._fleet else None,
        )
        usage_sampler = ResourceUsageSampler(
            ProcessUsageReader(configuration.cores, configuration.memory, configuration.descriptors)
        )
        clock = self.context.clock
        self.service = OperatorService(file, configuration, parts, decider, usage_sampler, clock, supervisor)
        self._server = control_server(file, self.service, supervisor)
        if parts.levels is not None or parts.cells is not None:
            self._feed = LevelFeed(parts.levels, decider, usage_sampler, supervisor)

    def start(self) -> None:
        """Starts the control server and the feed; raises ConfigurationError if the server can't start."""
        if self._server is not None:
            try:
                self._server.start()
            except Exception as error:
                raise ConfigurationError(f"control: {error}") from error
        if self._feed is not None:
            self.context.supervisor.start_restarting("levels", self._feed.run)

    async def stop(self) -> None:
        """Stops listening on the control socket and removes its file."""
        if self._server is not None:
            self._server.stop()


class Subsystems:
    """All subsystems that the operator file turns on. The first one wraps the decision module, and each other
    one wraps the result of the one before it."""

    def __init__(
        self, file: OperatorFile, configuration: Configuration, clock: Clock, supervisor: Supervisor
    ) -> None:
        """
        :raises ConfigurationError: a subsystem can't start, or uses too many file descriptors
        """
        self._supervisor, self._name = supervisor, configuration.name
        if file.log is not None:  # set before any subsystem writes a line
            from lotusstream.observe.log import structured_log_writer

            supervisor.log.set_writer(
                structured_log_writer(file.log.form, file.log.threshold, configuration.name)
            )
        context = SubsystemContext(file, configuration, clock, supervisor)
        self.cells = CellsSubsystem(context) if file.cells is not None else None
        self.levels = LevelsSubsystem(context) if file.ladder is not None else None
        self.fleet = FleetSubsystem(context) if file.fleet is not None else None
        self.control = ControlSubsystem(context, self.cells, self.levels, self.fleet)
        self._subsystems = [
            each for each in (self.cells, self.levels, self.fleet, self.control) if each is not None
        ]
        self.descriptors = sum(each.descriptors for each in self._subsystems)
        if self.fleet is not None and self.descriptors > configuration.descriptors // 2:
            excess = f"peers and control need {self.descriptors} file descriptors, over half of the allowed"
            raise ConfigurationError(f"fleet: {excess} {configuration.descriptors}; lower 'peers-most'")

    @property
    def tenant_lookup(self) -> TenantLookup | None:
        """The function that finds the tenant of a request; None without cells."""
        return self.cells.tenant_lookup if self.cells else None

    def wrap_module(self, module: DecisionModule) -> DecisionModule:
        """Returns the module wrapped by all subsystems."""
        for subsystem in self._subsystems:
            module = subsystem.wrap_module(module)
        return module

    def connect(self, decider: Decider) -> None:
        """Connects all subsystems to the decider."""
        for subsystem in self._subsystems:
            subsystem.connect(decider)

    def start(self) -> None:
        """Starts all subsystems, the first one first."""
        for subsystem in self._subsystems:
            subsystem.start()

    def begin_shutdown(self) -> None:
        """Notifies all subsystems that a graceful shutdown begins."""
        for subsystem in self._subsystems:
            subsystem.begin_shutdown()

    async def stop(self) -> None:
        """Stops all subsystems, the last one first."""
        for subsystem in reversed(self._subsystems):
            await subsystem.stop()

    def close(self) -> None:
        """Closes the files of all subsystems. Called after all tasks have ended."""
        for subsystem in self._subsystems:
            subsystem.close()

    def reload(self, read: Callable[[], OperatorFile]) -> None:
        """Applies a changed operator file while the gateway runs. A file with problems, or with changes that
        need a restart, is rejected as a whole: the present settings stay in force.

        :param read: reads the new file; may raise OperatorFileError
        """
        service = self.control.service
        assert service is not None
        counters, log = self._supervisor.counters, self._supervisor.log
        try:
            new = read()
            if changes := changes_requiring_restart(service.file, new):
                raise OperatorFileError.for_whole_file(
                    new.path, f"can't change while running: {', '.join(changes)}"
                )
        except OperatorFileError as error:
            counters.add("operator files refused")
            log.write("operator", f"operator file rejected: {'; '.join(map(str, error.problems))}", "error")
            return
        counters.add("operator files read again")
        if new.log is not None and new.log != service.file.log:
            from lotusstream.observe.log import structured_log_writer

            log.set_writer(structured_log_writer(new.log.form, new.log.threshold, self._name))
        service.reload(new)
        if self.fleet is not None:
            self.fleet.reload(new)
        log.write("operator", f"{new.path} was reloaded", "info")
