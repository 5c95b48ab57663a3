"""The migration of one tenant from a cell to another, as a state machine.

    prepared -> fenced -> draining -> cooling down -> switched -> done
        \\__________\\_________\\______________\\-> rolled back

A switched migration can't be rolled back; another migration is needed to move the tenant back.

- prepared: the migration is on disk, and nothing else has changed.
- fenced: new requests of the tenant are held for a bounded time, then rejected with a Retry-After.
- draining: waits until every attempt of the tenant's requests has an outcome.
- cooling down: waits as long as endpoints remember idempotency keys. The endpoints of the new cell do not
  know these keys and would execute a retry a second time.
- switched: the plan assigns the tenant to the new cell.
- done: the held requests have been placed in the new cell.

The functions are pure. Each returns the next record. The caller writes the record to disk before it acts on
it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from lotusstream.cells.errors import MigrationError
from lotusstream.interface import Idempotency, Profile


class MigrationStep(Enum):
    """The steps of a migration. The values are stored in the migration log."""

    PREPARED = "prepared"
    FENCED = "fenced"
    DRAINING = "draining"
    COOLING_DOWN = "resting"
    SWITCHED = "switched"
    DONE = "done"
    ROLLED_BACK = "undone"


FINAL_STEPS = (MigrationStep.DONE, MigrationStep.ROLLED_BACK)
IRREVERSIBLE_STEPS = (MigrationStep.SWITCHED, *FINAL_STEPS)
FENCED_STEPS = (
    MigrationStep.FENCED,
    MigrationStep.DRAINING,
    MigrationStep.COOLING_DOWN,
    MigrationStep.SWITCHED,
)


@dataclass(frozen=True, slots=True)
class Migration:
    """One record of the migration log. Field names are the keys of the stored JSON."""

    tenant: str
    source: str  # name of the cell that the tenant leaves
    target: str  # name of the cell to which the tenant is migrated
    step: MigrationStep
    since: int  # when the step was reached, microseconds
    ran_until: int = 0  # last time at which an attempt may have run, microseconds; 0: not draining yet
    why: str = ""  # reason of the rollback, or reason of the order if it is not rolled back

    @property
    def is_open(self) -> bool:
        """Whether the migration is neither done nor rolled back."""
        return self.step not in FINAL_STEPS

    @property
    def is_reversible(self) -> bool:
        """Whether the migration can be rolled back."""
        return self.step not in IRREVERSIBLE_STEPS

    @property
    def holds_new_requests(self) -> bool:
        """Whether new requests of the tenant are held and not placed in a cell."""
        return self.step in FENCED_STEPS


@dataclass(frozen=True, slots=True)
class MigrationTiming:
    """Time limits and waiting times of migrations, in microseconds."""

    hold_timeout: int  # longest time that a new request is held
    drain_timeout: int  # longest time that a migration waits for outcomes of attempts
    cooldown: int  # time between the last attempt that may have been executed and the switch


def migration_timing(profiles: Iterable[Profile], hold_timeout: int, drain_timeout: int) -> MigrationTiming:
    """Returns a timing with which no request with an idempotency key is executed in both cells.

    A client repeats a key only within the deduplication window. A request that is placed in the new cell was
    held for at most `hold_timeout` before the switch. The cooldown is the longest deduplication window plus
    that timeout. So the request was received after the windows of all keys executed in the old cell had
    ended.

    :param profiles: all profiles of the deployment
    :param hold_timeout: longest time that a new request is held, microseconds
    :param drain_timeout: longest time that a migration waits for outcomes of attempts, microseconds
    """
    windows = [
        profile.deduplication_window
        for profile in profiles
        if profile.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    ]
    return MigrationTiming(hold_timeout, drain_timeout, max(windows, default=0) + hold_timeout)


def begin(
    now: int, tenant: str, source: str, target: str, migrations: Mapping[str, Migration], why: str
) -> Migration:
    """Returns the first record of a new migration.

    :param migrations: the latest migration of each tenant
    :raises MigrationError: the tenant is in the target already, or has an open migration
    """
    if source == target:
        raise MigrationError(f"'{tenant}' is in '{target}' already")
    other = migrations.get(tenant)
    if other is not None and other.is_open:
        raise MigrationError(f"'{tenant}' is being moved to '{other.target}': abort that first")
    return Migration(tenant, source, target, MigrationStep.PREPARED, now, why=why)


def abort(now: int, migration: Migration, why: str) -> Migration:
    """Returns the record that rolls the migration back.

    :raises MigrationError: the migration is switched or has ended
    """
    if not migration.is_reversible:
        raise MigrationError(
            f"the move of '{migration.tenant}' is {migration.step.value}: move it back instead"
        )
    return replace(migration, step=MigrationStep.ROLLED_BACK, since=now, why=why)


def advance(
    now: int, migration: Migration, timing: MigrationTiming, attempted_requests: int, target_fault: str | None
) -> Migration | None:
    """Returns the next record, or None if the migration can't advance yet.

    :param attempted_requests: number of the tenant's open requests of which an attempt has started
    :param target_fault: why the target can't serve the tenant, for which the migration is rolled back unless
        it is switched; None: the target can serve the tenant
    """
    if target_fault is not None and migration.is_reversible:
        return abort(now, migration, f"'{migration.target}' can't take it: {target_fault}")
    match migration.step:
        case MigrationStep.PREPARED:
            return replace(migration, step=MigrationStep.FENCED, since=now)
        case MigrationStep.FENCED:
            return replace(migration, step=MigrationStep.DRAINING, since=now, ran_until=now)
        case MigrationStep.DRAINING:
            return _advance_draining(now, migration, timing, attempted_requests)
        case MigrationStep.COOLING_DOWN:
            return _advance_cooling_down(now, migration, timing, attempted_requests)
        case MigrationStep.SWITCHED:
            return replace(migration, step=MigrationStep.DONE, since=now)
    return None


def _advance_draining(
    now: int, migration: Migration, timing: MigrationTiming, attempted_requests: int
) -> Migration | None:
    if not attempted_requests:
        return replace(migration, step=MigrationStep.COOLING_DOWN, since=now)
    if now - migration.since > timing.drain_timeout:
        return abort(now, migration, f"{attempted_requests} sends had no outcome in time")
    if now > migration.ran_until:
        return replace(migration, ran_until=now)
    return None


def _advance_cooling_down(
    now: int, migration: Migration, timing: MigrationTiming, attempted_requests: int
) -> Migration | None:
    if attempted_requests:  # an attempt has started during the cooldown
        return replace(migration, step=MigrationStep.DRAINING, since=now, ran_until=now)
    if now >= migration.ran_until + timing.cooldown:
        return replace(migration, step=MigrationStep.SWITCHED, since=now)
    return None


def recover(now: int, migration: Migration) -> Migration:
    """Returns the record that ends a migration after a crash. The attempts that were in flight are unknown,
    so the migration is rolled back if it was not switched, and completed otherwise."""
    if not migration.is_open:
        return migration
    if migration.step is MigrationStep.SWITCHED:
        return replace(migration, step=MigrationStep.DONE, since=now)
    return replace(migration, step=MigrationStep.ROLLED_BACK, since=now, why="the gateway ended in mid-move")


def recover_migrations(records: Iterable[Migration], now: int) -> Mapping[str, Migration]:
    """Returns the latest migration of each tenant in the log, by tenant. `recover` ends the open ones."""
    latest: dict[str, Migration] = {}
    for migration in records:
        latest[migration.tenant] = migration
    return {tenant: recover(now, migration) for tenant, migration in latest.items()}


def request_hold_has_expired(now: int, received_at: int, timing: MigrationTiming) -> bool:
    """Returns whether a request has been held for `hold_timeout` and has to be rejected."""
    return now - received_at >= timing.hold_timeout
