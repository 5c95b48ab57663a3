"""One tenant's way from a cell to another: a state machine that ends or is undone from every step.

prepared -> fenced -> draining -> resting -> switched -> done \\________\\_________\\___________\\-> undone
(from switched on there is no way back, only another move)

prepared: written down, nothing changed yet. fenced: new commands of the tenant are held, for a bounded
time; then they are answered at once with when to come back. draining: until every send of its commands has
its outcome. resting: as long as the engines remember marks, so that a repeat is dropped where it ran first
and never taken for new elsewhere. switched: the plan has the tenant in the new cell. done: the held are
let go there.

Pure: steps come out as records to write down first and to act on when they are written.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from lotusstream.interface import Idempotency, Profile


class MigrationStep(Enum):
    PREPARED = "prepared"
    FENCED = "fenced"
    DRAINING = "draining"
    RESTING = "resting"
    SWITCHED = "switched"
    DONE = "done"
    UNDONE = "undone"


ORDER = (
    MigrationStep.PREPARED,
    MigrationStep.FENCED,
    MigrationStep.DRAINING,
    MigrationStep.RESTING,
    MigrationStep.SWITCHED,
    MigrationStep.DONE,
)
FINAL_STEPS = (MigrationStep.DONE, MigrationStep.UNDONE)
IRREVERSIBLE_STEPS = (MigrationStep.SWITCHED, *FINAL_STEPS)


@dataclass(frozen=True, slots=True)
class Migration:
    """`since`: of the step, microseconds. `ran_until`: the last moment at which a send that may have run
    was out; the rest counts from there. `why`: what undid it, or who asked for it."""

    tenant: str
    source: str
    target: str
    step: MigrationStep
    since: int
    ran_until: int = 0
    why: str = ""


@dataclass(frozen=True, slots=True)
class MigrationTiming:
    """`hold`: how long new commands are held at most. `drain`: how long for outcomes. `rest`: from the
    last send that may have run until the switch. Microseconds."""

    hold: int
    drain: int
    rest: int


def migration_timing(profiles: Iterable[Profile], hold: int, drain: int) -> MigrationTiming:
    """A client repeats a mark while engines drop its repeats. What is let go in the new cell was held no
    longer than `hold`; so it came when no repeat of anything that ran in the old one could come any more."""
    remembered = [
        profile.deduplication_window
        for profile in profiles
        if profile.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    ]
    return MigrationTiming(hold, drain, max(remembered, default=0) + hold)


class MigrationError(Exception):
    """Why a move is not begun."""


def begin(
    now: int, tenant: str, source: str, target: str, open_moves: Mapping[str, Migration], why: str
) -> Migration:
    if source == target:
        raise MigrationError(f"'{tenant}' is in '{target}' already")
    if (other := open_moves.get(tenant)) is not None and other.step not in FINAL_STEPS:
        raise MigrationError(f"'{tenant}' is being moved to '{other.target}': abort that first")
    return Migration(tenant, source, target, MigrationStep.PREPARED, now, why=why)


def abort(now: int, move: Migration, why: str) -> Migration:
    if move.step in IRREVERSIBLE_STEPS:
        raise MigrationError(f"the move of '{move.tenant}' is {move.step.value}: move it back instead")
    return replace(move, step=MigrationStep.UNDONE, since=now, why=why)


def advance(
    now: int, move: Migration, migration_timing: MigrationTiming, out: int, target_serves: str | None
) -> Migration | None:
    """The next step, where it is time for it. `out`: the tenant's sends without an outcome.
    `target_serves`: what the target can't do now, or None. A target that fails before the switch undoes
    the move."""
    if target_serves is not None and move.step not in IRREVERSIBLE_STEPS:
        return abort(now, move, f"'{move.target}' can't take it: {target_serves}")
    match move.step:
        case MigrationStep.PREPARED:
            return replace(move, step=MigrationStep.FENCED, since=now)
        case MigrationStep.FENCED:
            return replace(move, step=MigrationStep.DRAINING, since=now, ran_until=now)
        case MigrationStep.DRAINING:
            if out:
                if now - move.since > migration_timing.drain:
                    return abort(now, move, f"{out} sends had no outcome in time")
                return replace(move, ran_until=now) if now > move.ran_until else None
            return replace(move, step=MigrationStep.RESTING, since=now)
        case MigrationStep.RESTING:
            if out:  # what was thought to be over is not: rest anew from now
                return replace(move, step=MigrationStep.DRAINING, since=now, ran_until=now)
            if now >= move.ran_until + migration_timing.rest:
                return replace(move, step=MigrationStep.SWITCHED, since=now)
        case MigrationStep.SWITCHED:
            return replace(move, step=MigrationStep.DONE, since=now)
    return None


def recovered(now: int, move: Migration) -> Migration:
    """After a crash. What was in flight is unknown: before the switch the move is undone, from there on it
    ends."""
    if move.step in FINAL_STEPS:
        return move
    if move.step is MigrationStep.SWITCHED:
        return replace(move, step=MigrationStep.DONE, since=now)
    return replace(move, step=MigrationStep.UNDONE, since=now, why="the gateway ended in mid-move")


def holds_new_requests(move: Migration | None) -> bool:
    """New commands of the tenant are held, not taken to a cell."""
    return move is not None and move.step in (
        MigrationStep.FENCED,
        MigrationStep.DRAINING,
        MigrationStep.RESTING,
        MigrationStep.SWITCHED,
    )


def hold_has_expired(now: int, taken: int, migration_timing: MigrationTiming) -> bool:
    """A held command is answered at once, with when to come back."""
    return now - taken >= migration_timing.hold
