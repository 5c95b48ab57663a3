"""Events that the cell controller takes besides those of the decision module, and the actions it returns."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.cells.migration import Migration
from lotusstream.cells.plan import CellPlan


@dataclass(frozen=True, slots=True)
class MigrateTenant:
    """Order to migrate a tenant to another cell. `reason` is written into the log."""

    tenant: str
    target: str  # name of a cell
    reason: str


@dataclass(frozen=True, slots=True)
class AbortMigration:
    """Order to roll the open migration of a tenant back."""

    tenant: str
    reason: str


@dataclass(frozen=True, slots=True)
class MigrationPersisted:
    """The step is on disk and may be acted on."""

    migration: Migration


@dataclass(frozen=True, slots=True)
class MigrationNotPersisted:
    """The step could not be written, and a restart will not find it on disk."""

    migration: Migration
    reason: str


@dataclass(frozen=True, slots=True)
class PlanReplaced:
    """The operator file was read again. Tenants with an override keep it if its cell still exists."""

    plan: CellPlan


@dataclass(frozen=True, slots=True)
class MigrationLeaseChanged:
    """The lease for migrations was acquired or lost. Until the first such event migrations may begin."""

    fencing_token: int  # grows with each holder; 0: this gateway does not hold the lease


CellEvent = (
    MigrateTenant
    | AbortMigration
    | MigrationPersisted
    | MigrationNotPersisted
    | PlanReplaced
    | MigrationLeaseChanged
)


@dataclass(frozen=True, slots=True)
class PersistMigration:
    """Write the step to disk; answered by `MigrationPersisted` or `MigrationNotPersisted`."""

    migration: Migration


@dataclass(frozen=True, slots=True)
class MigrationRejected:
    """An order that is not carried out, and why."""

    tenant: str
    reason: str


CellAction = api.Event | PersistMigration | MigrationRejected
"""Events for the decision module, or actions for the owner of the controller."""
