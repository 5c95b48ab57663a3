"""Events that the cell controller handles in addition to those of the decision module, and its actions."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.cells.migration import Migration
from lotusstream.cells.plan import CellPlan


@dataclass(frozen=True, slots=True)
class MigrateTenant:
    """Order to migrate a tenant to another cell."""

    tenant: str
    target: str  # name of the cell
    reason: str  # written to the migration log


@dataclass(frozen=True, slots=True)
class AbortMigration:
    """Order to roll back the open migration of a tenant."""

    tenant: str
    reason: str  # written to the migration log


@dataclass(frozen=True, slots=True)
class MigrationPersisted:
    """The record is on disk, and its step may take effect."""

    migration: Migration


@dataclass(frozen=True, slots=True)
class MigrationNotPersisted:
    """The record could not be written. A restarted gateway will not find it on disk."""

    migration: Migration
    reason: str


@dataclass(frozen=True, slots=True)
class PlanReplaced:
    """The operator file was reloaded. A migrated tenant stays in its cell if the new plan has that cell."""

    plan: CellPlan


@dataclass(frozen=True, slots=True)
class MigrationLeaseChanged:
    """The lease for migrations was acquired or lost. Migrations may begin before the first such event."""

    fencing_token: int  # increases with each lease holder; 0: this gateway does not hold the lease


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
    """Write the record to disk. The result is `MigrationPersisted` or `MigrationNotPersisted`."""

    migration: Migration


@dataclass(frozen=True, slots=True)
class MigrationRejected:
    """Log that an order to migrate a tenant, or to abort its migration, was not carried out, or that the
    requests of a poisonous tenant are rejected."""

    tenant: str
    reason: str  # written to the log


CellAction = api.Event | PersistMigration | MigrationRejected
"""Events for the decision module, or actions for the caller of the controller."""
