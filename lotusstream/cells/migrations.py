"""Begins, persists, advances and rolls back the migrations of all tenants at this gateway.

A step takes effect only after its record is on disk: the coordinator returns `PersistMigration` and waits for
`MigrationPersisted`. So after a crash the log contains every step that has taken effect.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from lotusstream import interface as api
from lotusstream.cells import migration as migration_steps
from lotusstream.cells.errors import MigrationError
from lotusstream.cells.messages import CellAction, MigrationRejected, PersistMigration
from lotusstream.cells.migration import Migration, MigrationStep, MigrationTiming
from lotusstream.cells.placement import FENCED_CELL_NUMBER, Placement
from lotusstream.cells.requests import CellRequestTracker, TrackedRequest


class MigrationCoordinator:
    """Coordinates at most one open migration for each tenant. While a tenant is in `_pending_writes`, its
    migration waits for the disk and does not advance."""

    def __init__(
        self,
        timing: MigrationTiming,
        placement: Placement,
        requests: CellRequestTracker,
        recovered: Iterable[Migration],
    ) -> None:
        """
        :param timing: timeouts of the steps
        :param placement: holds the plan, whose overrides change when a migration switches
        :param requests: the open requests
        :param recovered: migrations in the log, from `recover_migrations`
        """
        self._timing = timing
        self._placement = placement
        self._requests = requests
        self._fencing_token = 0  # highest fencing token of the lease for migrations so far; 0: none yet
        self._may_begin_migrations = True
        self.migrations: dict[str, Migration] = {}  # latest migration by tenant
        self._pending_writes: dict[str, Migration] = {}  # records that are being written to disk, by tenant
        for migration in recovered:
            self.migrations[migration.tenant] = migration
            if migration.step is MigrationStep.DONE:
                placement.plan = placement.plan.with_override(migration.tenant, migration.target)

    # State

    def is_migrating(self, tenant: str) -> bool:
        """Returns whether the tenant has an open migration."""
        migration = self.migrations.get(tenant)
        return migration is not None and migration.is_open

    def holds_new_requests(self, tenant: str) -> bool:
        """Returns whether a migration holds the tenant's new requests."""
        migration = self.migrations.get(tenant)
        return migration is not None and migration.holds_new_requests

    def rejection_reason(self, now: int, tenant: str, target: str) -> str | None:
        """Returns the reason why a migration would be rejected now, or None if it would begin."""
        try:
            self._prepare(now, tenant, target, "")
        except MigrationError as error:
            return str(error)
        return None

    # Orders

    def begin(self, now: int, tenant: str, target: str, reason: str) -> list[CellAction]:
        """Begins a migration, or rejects the order."""
        try:
            migration = self._prepare(now, tenant, target, reason)
        except MigrationError as error:
            return [MigrationRejected(tenant, str(error))]
        self.migrations[tenant] = migration
        self._pending_writes[tenant] = migration
        return [PersistMigration(migration)]

    def abort(self, now: int, tenant: str, reason: str) -> list[CellAction]:
        """Rolls back an open migration, or rejects the order."""
        migration = self.migrations.get(tenant)
        if migration is None or not migration.is_open:
            return [MigrationRejected(tenant, f"'{tenant}' is not being moved")]
        pending = self._pending_writes.get(tenant)
        if pending is not None and not pending.is_reversible:
            # The switch may be on disk already, and a rollback record after it would contradict it.
            why = f"the move of '{tenant}' has just been switched: move it back instead"
            return [MigrationRejected(tenant, why)]
        try:
            return self._take_step(migration_steps.abort(now, migration, reason))
        except MigrationError as error:
            return [MigrationRejected(tenant, str(error))]

    def abort_without_cell(self, now: int, cell_names: set[str]) -> list[CellAction]:
        """Rolls back the migrations whose source or target is not among the cells of a new plan.

        :param cell_names: names of the cells of the new plan
        """
        actions: list[CellAction] = []
        for tenant, migration in list(self.migrations.items()):
            has_cells = migration.source in cell_names and migration.target in cell_names
            if migration.is_reversible and not has_cells:
                actions += self.abort(now, tenant, "the plan was read anew without its cell")
        return actions

    # Events

    def on_lease_changed(self, now: int, fencing_token: int) -> list[CellAction]:
        """Handles a change of the lease for migrations. An event with a lower fencing token than an
        earlier event is ignored, because it is out of date. If the lease is lost, every migration that can be
        rolled back is rolled back, because the next lease holder does not know of it.

        :param fencing_token: token of the lease; 0: this gateway does not hold the lease
        """
        if fencing_token and fencing_token < self._fencing_token:
            return []
        self._fencing_token = max(fencing_token, self._fencing_token)
        self._may_begin_migrations = fencing_token > 0
        if self._may_begin_migrations:
            return []
        actions: list[CellAction] = []
        for tenant, migration in list(self.migrations.items()):
            if migration.is_reversible:
                actions += self.abort(now, tenant, "another gateway may drive moves now")
        return actions

    def on_persisted(self, now: int, migration: Migration) -> list[CellAction]:
        """Lets a step that is on disk take effect, unless a later record has replaced it."""
        tenant = migration.tenant
        if self._pending_writes.get(tenant) != migration:
            return []
        del self._pending_writes[tenant]
        self.migrations[tenant] = migration
        match migration.step:
            case MigrationStep.FENCED:
                return self._hold_requests(tenant)
            case MigrationStep.SWITCHED:
                self._switch(migration)
            case MigrationStep.DONE | MigrationStep.ROLLED_BACK:
                return self._place_held_requests(now, tenant)
        return []

    def on_not_persisted(self, now: int, migration: Migration, reason: str) -> list[CellAction]:
        """Ends a migration whose record can't be written, because a full disk must not stop service. The
        migration is rolled back if it is not switched. After the switch it is done, because a recovery from
        the log would complete it too."""
        tenant = migration.tenant
        if self._pending_writes.get(tenant) != migration:
            return []
        del self._pending_writes[tenant]
        current = self.migrations[tenant]
        if current.step is MigrationStep.SWITCHED:
            self.migrations[tenant] = replace(migration, step=MigrationStep.DONE)
        else:
            self.migrations[tenant] = replace(current, step=MigrationStep.ROLLED_BACK, since=now, why=reason)
        return self._place_held_requests(now, tenant)

    def on_module_restarted(self) -> list[CellAction]:
        """Rolls back all migrations that are not switched, because the restarted module does not report the
        outcomes of earlier attempts."""
        actions: list[CellAction] = []
        for migration in self.migrations.values():
            if migration.is_reversible:
                rolled_back = replace(migration, step=MigrationStep.ROLLED_BACK, why="the module began anew")
                self._pending_writes[migration.tenant] = rolled_back
                actions.append(PersistMigration(rolled_back))
        return actions

    def evaluate(self, now: int) -> list[CellAction]:
        """Advances each migration that can advance, and withdraws requests that were held for too long."""
        actions: list[CellAction] = []
        for tenant, migration in list(self.migrations.items()):
            if not migration.is_open or tenant in self._pending_writes:
                continue
            attempted = self._requests.attempted_count(tenant)
            following = migration_steps.advance(
                now, migration, self._timing, attempted, self._target_fault(migration)
            )
            if following is not None:
                actions += self._take_step(following)
        for request in self._requests.all():
            is_held = request.assignment is None and not request.finished
            if is_held and migration_steps.request_hold_has_expired(now, request.received_at, self._timing):
                actions.append(api.RequestWithdrawn(request.request_id))
        return actions

    # Steps

    def _prepare(self, now: int, tenant: str, target: str, reason: str) -> Migration:
        """Returns the first record of a migration, or raises MigrationError."""
        if not self._may_begin_migrations:
            raise MigrationError(
                "another gateway drives moves, or the lease holder is unknown: see 'ctl leases'"
            )
        source = self._placement.plan.cell_name_of(tenant)
        migration = migration_steps.begin(now, tenant, source, target, self.migrations, reason)
        fault = self._target_fault(migration)
        if fault is not None:
            raise MigrationError(f"'{target}' can't take '{tenant}': {fault}")
        return migration

    def _target_fault(self, migration: Migration) -> str | None:
        """Returns why the target can't replace the source: it is not in the plan, or can't serve a profile
        that the source can. None: it can replace the source."""
        source = self._placement.plan.cell(migration.source)
        target = self._placement.plan.cell(migration.target)
        if target is None:
            return "the plan has no such cell any more"
        for index, profile in enumerate(self._placement.profiles):
            source_serves = source is not None and self._placement.can_serve(source, index)
            if source_serves and not self._placement.can_serve(target, index):
                kinds = "its kind" if profile.kinds is not None else "any"
                return f"no ready engine of {kinds} for profile {index}"
        return None

    def _take_step(self, migration: Migration) -> list[CellAction]:
        """Puts a record in force: at once if the migration is in the record's step already, otherwise after
        the record has been persisted."""
        if migration.step is self.migrations[migration.tenant].step:
            self.migrations[migration.tenant] = migration
            return []
        self._pending_writes[migration.tenant] = migration
        return [PersistMigration(migration)]

    def _switch(self, migration: Migration) -> None:
        """Changes the tenant's cell in the plan. No override is set if the plan assigns that cell anyway."""
        plan = self._placement.plan
        is_planned = plan.planned_cell_name(migration.tenant) == migration.target
        override = None if is_planned else migration.target
        self._placement.plan = plan.with_override(migration.tenant, override)

    def _hold_requests(self, tenant: str) -> list[CellAction]:
        """Holds those requests of the tenant of which no attempt has started. The others finish in the
        source."""
        actions: list[CellAction] = []
        for request in self._requests.of_tenant(tenant):
            if not request.attempted and not request.finished:
                actions.append(api.RequestMigrated(request.request_id, FENCED_CELL_NUMBER))
                actions += self._placement.release(request)
        return actions

    def _place_held_requests(self, now: int, tenant: str) -> list[CellAction]:
        """Places the tenant's held requests in its present cell."""
        actions: list[CellAction] = []
        for request in self._requests.of_tenant(tenant):
            if request.assignment is None and not request.finished:
                actions += self._place_held_request(now, request)
        return actions

    def _place_held_request(self, now: int, request: TrackedRequest) -> list[CellAction]:
        result = self._placement.place(request)
        number = request.assignment.number if request.assignment else FENCED_CELL_NUMBER
        actions: list[CellAction] = [*result.events, api.RequestMigrated(request.request_id, number)]
        has_expired = migration_steps.request_hold_has_expired(now, request.received_at, self._timing)
        if not result.can_be_served or has_expired:
            actions.append(api.RequestWithdrawn(request.request_id))
        return actions
