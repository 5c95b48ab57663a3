"""Migrates poisonous tenants to the quarantine cell, and back after their fault score has decayed."""

from __future__ import annotations

from lotusstream.cells.messages import CellAction, MigrationRejected
from lotusstream.cells.migration import MigrationStep
from lotusstream.cells.migrations import MigrationCoordinator
from lotusstream.cells.placement import Placement
from lotusstream.cells.poison_requests import PoisonRequestDetector, PoisonVerdict

EVALUATION_INTERVAL_US = 1_000_000


class QuarantineController:
    """Quarantines a tenant by a normal migration, whose fence holds new requests before the switch. If no
    quarantine cell can serve the tenant, its requests are rejected for the quarantine time."""

    def __init__(
        self,
        detector: PoisonRequestDetector | None,
        placement: Placement,
        migrations: MigrationCoordinator,
    ) -> None:
        """
        :param detector: finds poisonous tenants; None: no tenant is quarantined
        :param placement: holds the plan
        :param migrations: migrates the tenants; a tenant that was migrated to a quarantine cell before the
            start of the gateway is still quarantined
        """
        self._detector = detector
        self._placement = placement
        self._migrations = migrations
        self._quarantined_since: dict[str, int] = {}  # start of the quarantine by tenant, microseconds
        self._rejected_until: dict[str, int] = {}  # end of the rejection by tenant, microseconds
        self._evaluated_at = 0  # time of the last evaluation, microseconds
        for migration in migrations.migrations.values():
            target = placement.plan.cell(migration.target)
            is_quarantined = target is not None and target.quarantine
            if migration.step is MigrationStep.DONE and is_quarantined:
                self._quarantined_since[migration.tenant] = migration.since

    def poisoned_tenants(self) -> tuple[str, ...]:
        """Returns the quarantined and the rejected tenants, sorted by name."""
        return tuple(sorted({*self._quarantined_since, *self._rejected_until}))

    def rejects(self, now: int, tenant: str) -> bool:
        """Returns whether new requests of the tenant are rejected at present."""
        return now < self._rejected_until.get(tenant, now)

    def evaluate(self, now: int) -> list[CellAction]:
        """Quarantines poisonous tenants and releases recovered ones, once in EVALUATION_INTERVAL_US. Returns
        the actions to carry out."""
        if self._detector is None or now - self._evaluated_at < EVALUATION_INTERVAL_US:
            return []
        self._evaluated_at = now
        actions: list[CellAction] = []
        for verdict in self._detector.find_poisonous(now):
            if not self._is_handled(now, verdict.tenant):
                actions += self._quarantine(now, self._detector, verdict)
        for tenant, since in list(self._quarantined_since.items()):
            if not self._migrations.is_migrating(tenant):
                actions += self._release_if_recovered(now, self._detector, tenant, since)
        self._rejected_until = {
            tenant: until for tenant, until in self._rejected_until.items() if until > now
        }
        return actions

    def _is_handled(self, now: int, tenant: str) -> bool:
        return (
            tenant in self._quarantined_since
            or self.rejects(now, tenant)
            or self._migrations.is_migrating(tenant)
        )

    def _quarantine(
        self, now: int, detector: PoisonRequestDetector, verdict: PoisonVerdict
    ) -> list[CellAction]:
        tenant = verdict.tenant
        cell = detector.settings.quarantine_cell
        if cell:
            actions = self._migrations.begin(now, tenant, cell, str(verdict))
        else:
            actions = [MigrationRejected(tenant, str(verdict))]
        first = actions[0]
        if isinstance(first, MigrationRejected):  # no quarantine cell, or it can't serve the tenant
            self._rejected_until[tenant] = now + detector.settings.quarantine_time
            return [
                MigrationRejected(tenant, f"requests of '{tenant}' are rejected for a time: {first.reason}")
            ]
        self._quarantined_since[tenant] = now
        return actions

    def _release_if_recovered(
        self, now: int, detector: PoisonRequestDetector, tenant: str, since: int
    ) -> list[CellAction]:
        plan = self._placement.plan
        if (
            plan.cell_name_of(tenant) != detector.settings.quarantine_cell
        ):  # released or migrated by an operator
            del self._quarantined_since[tenant]
            return []
        quarantine_time_is_over = now - since >= detector.settings.quarantine_time
        if quarantine_time_is_over and detector.has_recovered(now, tenant):
            # "its blame": the tenant's fault score. The text is written to the migration log.
            return self._migrations.begin(now, tenant, plan.planned_cell_name(tenant), "its blame has faded")
        return []
