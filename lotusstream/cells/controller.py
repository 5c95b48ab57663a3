"""Dispatches events of the gateway to the placement, migration and quarantine of tenants.

The controller handles events before the decision module does. It adds the number of the cell to each request,
and reports changes of a cell's endpoints to the module.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from lotusstream import interface as api
from lotusstream.cells.messages import (
    AbortMigration,
    CellAction,
    CellEvent,
    MigrateTenant,
    MigrationLeaseChanged,
    MigrationNotPersisted,
    MigrationPersisted,
    PlanReplaced,
)
from lotusstream.cells.migration import Migration, MigrationTiming
from lotusstream.cells.migrations import MigrationCoordinator
from lotusstream.cells.placement import FENCED_CELL_NUMBER, Placement
from lotusstream.cells.plan import CellPlan
from lotusstream.cells.plan_replacement import replace_plan
from lotusstream.cells.poison_requests import PoisonRequestDetector, PoisonSettings
from lotusstream.cells.quarantine import QuarantineController
from lotusstream.cells.requests import CellRequestTracker, TrackedRequest
from lotusstream.cells.status import CellsStatus, cells_status


class CellController:
    """`on_request_received` assigns a request to a cell; `handle` takes all other events."""

    def __init__(
        self,
        plan: CellPlan,
        timing: MigrationTiming,
        profiles: tuple[api.Profile, ...],
        migrations: Iterable[Migration] = (),
        poison: PoisonSettings | None = None,
    ) -> None:
        """
        :param plan: the plan in the operator file
        :param timing: timeouts of migrations
        :param profiles: the profiles, in the order of the indexes in requests
        :param migrations: migrations in the log, from `recover_migrations`
        :param poison: when a tenant is quarantined; None: no tenant is quarantined
        """
        self._timing = timing
        self._profiles = profiles
        self._requests = CellRequestTracker()
        self._placement = Placement(plan, profiles)
        self._migrations = MigrationCoordinator(timing, self._placement, self._requests, migrations)
        self._detector = PoisonRequestDetector(poison) if poison else None
        self._quarantine = QuarantineController(self._detector, self._placement, self._migrations)
        # Start of the last attempt with an idempotency key, microseconds, by tenant.
        self._last_keyed_attempt: dict[str, int] = {}

    # For operators

    @property
    def plan(self) -> CellPlan:
        """The plan in force, including the overrides of completed migrations."""
        return self._placement.plan

    @property
    def migrations(self) -> dict[str, Migration]:
        """The latest migration of each tenant, by tenant."""
        return self._migrations.migrations

    def migration_rejection_reason(self, now: int, tenant: str, target: str) -> str | None:
        """Returns the reason why a migration would be rejected now, or None if it would begin."""
        return self._migrations.rejection_reason(now, tenant, target)

    def status(self) -> CellsStatus:
        """Returns the state of all cells."""
        return cells_status(self._placement, self._requests, self._migrations, self._quarantine)

    # Events

    def on_module_restarted(self) -> list[CellAction]:
        """Returns events that report all cells to the restarted module. All open requests have failed."""
        self._requests.clear()
        actions: list[CellAction] = [*self._placement.restart()]
        return actions + self._migrations.on_module_restarted()

    def on_request_received(self, now: int, event: api.RequestReceived) -> list[CellAction]:
        """Returns the request with the number of its cell. While a migration fences its tenant, the number is
        FENCED_CELL_NUMBER and the request is held. The request is withdrawn at once if requests of its tenant
        are rejected, or if neither its cell nor the lender of the cell can serve it."""
        tenant = event.tenant
        request = TrackedRequest(event.request_id, tenant, event.profile, now, event.work_hint)
        self._requests.add(request)
        if tenant is not None and self._migrations.holds_new_requests(tenant):
            return [replace(event, cell=FENCED_CELL_NUMBER)]
        if tenant is not None and self._quarantine.rejects(now, tenant):
            return [replace(event, cell=FENCED_CELL_NUMBER), api.RequestWithdrawn(event.request_id)]
        result = self._placement.place(request)
        number = request.assignment.number if request.assignment else FENCED_CELL_NUMBER
        actions: list[CellAction] = [*result.events, replace(event, cell=number)]
        if not result.can_be_served:
            actions.append(api.RequestWithdrawn(event.request_id))
        return actions

    def handle(self, now: int, event: api.Event | api.Action | CellEvent) -> list[CellAction]:
        """Handles an event or action of the decision module, or an event for the cell controller.

        :param now: microseconds
        :returns: events for the decision module and actions for the caller, in the order of execution
        """
        match event:
            case api.EndpointListReceived():
                return [*self._placement.on_endpoint_list(event)]
            case api.StartAttempt(request_id, endpoint_id):
                self._on_attempt_started(now, request_id, endpoint_id)
            case api.AttemptEnded():
                return self._on_attempt_ended(now, event)
            case (
                api.RejectRequest(request_id)
                | api.FailRequest(request_id)
                | api.ClientDisconnected(request_id)
            ):
                return self._on_request_finished(request_id)
            case api.BatchEnded():
                return self._on_batch_ended(now)
            case MigrateTenant(tenant, target, reason):
                return self._migrations.begin(now, tenant, target, reason)
            case AbortMigration(tenant, reason):
                return self._migrations.abort(now, tenant, reason)
            case MigrationPersisted(migration):
                return self._migrations.on_persisted(now, migration)
            case MigrationNotPersisted(migration, reason):
                return self._migrations.on_not_persisted(now, migration, reason)
            case PlanReplaced(plan):
                return self._on_plan_replaced(now, plan)
            case MigrationLeaseChanged(fencing_token):
                return self._migrations.on_lease_changed(now, fencing_token)
        return []

    def _on_attempt_started(self, now: int, request_id: int, endpoint_id: api.EndpointId) -> None:
        request = self._requests.get(request_id)
        if request is None:
            return
        if request.tenant is not None:
            if self._detector is not None:
                self._detector.attempt_started(now, request.tenant, endpoint_id)
            idempotency = self._profiles[request.profile].idempotency
            if idempotency is api.Idempotency.IDEMPOTENT_WITH_KEY:
                self._last_keyed_attempt[request.tenant] = now
        self._requests.start_attempt(request)

    def _on_attempt_ended(self, now: int, event: api.AttemptEnded) -> list[CellAction]:
        request = self._requests.get(event.request_id)
        if request is None:
            return []
        if self._detector is not None and request.tenant is not None:
            self._detector.attempt_ended(now, request.tenant, event, request.work_hint)
        request.in_flight.discard(event.attempt)
        if event.request_finished or event.outcome is api.Outcome.ANSWERED:
            request.finished = True
        return self._remove_if_complete(request)

    def _on_request_finished(self, request_id: int) -> list[CellAction]:
        request = self._requests.get(request_id)
        if request is None:
            return []
        request.finished = True
        return self._remove_if_complete(request)

    def _remove_if_complete(self, request: TrackedRequest) -> list[CellAction]:
        if not self._requests.remove_if_complete(request):
            return []
        return [*self._placement.release(request)]

    def _on_batch_ended(self, now: int) -> list[CellAction]:
        actions = self._quarantine.evaluate(now)
        if self._last_keyed_attempt:
            self._last_keyed_attempt = {
                tenant: attempted_at
                for tenant, attempted_at in self._last_keyed_attempt.items()
                if now - attempted_at < self._timing.cooldown
            }
        return actions + self._migrations.evaluate(now)

    def _on_plan_replaced(self, now: int, plan: CellPlan) -> list[CellAction]:
        """Puts another plan in force. Open requests stay in their cells. A migration is rolled back if the
        new plan does not contain its source or target."""
        replacement = replace_plan(self.plan, plan, self._last_keyed_attempt)
        actions: list[CellAction] = [*self._placement.replace_plan(replacement.plan)]
        cell_names = {cell.name for cell in plan.cells}
        actions += self._migrations.abort_without_cell(now, cell_names)
        for deferred in replacement.deferred:
            if not self._migrations.is_migrating(deferred.tenant):
                actions += self._migrations.begin(
                    now, deferred.tenant, deferred.target, "the plan was read anew"
                )
        return actions
