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


class Step(Enum):
    PREPARED = "prepared"
    FENCED = "fenced"
    DRAINING = "draining"
    RESTING = "resting"
    SWITCHED = "switched"
    DONE = "done"
    UNDONE = "undone"


ORDER = (Step.PREPARED, Step.FENCED, Step.DRAINING, Step.RESTING, Step.SWITCHED, Step.DONE)
OVER = (Step.DONE, Step.UNDONE)
NO_WAY_BACK = (Step.SWITCHED, *OVER)


@dataclass(frozen=True, slots=True)
class Move:
    """`since`: of the step, microseconds. `ran_until`: the last moment at which a send that may have run
    was out; the rest counts from there. `why`: what undid it, or who asked for it."""

    tenant: str
    source: str
    target: str
    step: Step
    since: int
    ran_until: int = 0
    why: str = ""


@dataclass(frozen=True, slots=True)
class Terms:
    """`hold`: how long new commands are held at most. `drain`: how long for outcomes. `rest`: from the
    last send that may have run until the switch. Microseconds."""

    hold: int
    drain: int
    rest: int


def terms(profiles: Iterable[Profile], hold: int, drain: int) -> Terms:
    """A client repeats a mark while engines drop its repeats. What is let go in the new cell was held no
    longer than `hold`; so it came when no repeat of anything that ran in the old one could come any more."""
    remembered = [
        profile.deduplication_window
        for profile in profiles
        if profile.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    ]
    return Terms(hold, drain, max(remembered, default=0) + hold)


class MoveError(Exception):
    """Why a move is not begun."""


def begin(now: int, tenant: str, source: str, target: str, open_moves: Mapping[str, Move], why: str) -> Move:
    if source == target:
        raise MoveError(f"'{tenant}' is in '{target}' already")
    if (other := open_moves.get(tenant)) is not None and other.step not in OVER:
        raise MoveError(f"'{tenant}' is being moved to '{other.target}': abort that first")
    return Move(tenant, source, target, Step.PREPARED, now, why=why)


def abort(now: int, move: Move, why: str) -> Move:
    if move.step in NO_WAY_BACK:
        raise MoveError(f"the move of '{move.tenant}' is {move.step.value}: move it back instead")
    return replace(move, step=Step.UNDONE, since=now, why=why)


def advance(now: int, move: Move, terms: Terms, out: int, target_serves: str | None) -> Move | None:
    """The next step, where it is time for it. `out`: the tenant's sends without an outcome.
    `target_serves`: what the target can't do now, or None. A target that fails before the switch undoes
    the move."""
    if target_serves is not None and move.step not in NO_WAY_BACK:
        return abort(now, move, f"'{move.target}' can't take it: {target_serves}")
    match move.step:
        case Step.PREPARED:
            return replace(move, step=Step.FENCED, since=now)
        case Step.FENCED:
            return replace(move, step=Step.DRAINING, since=now, ran_until=now)
        case Step.DRAINING:
            if out:
                if now - move.since > terms.drain:
                    return abort(now, move, f"{out} sends had no outcome in time")
                return replace(move, ran_until=now) if now > move.ran_until else None
            return replace(move, step=Step.RESTING, since=now)
        case Step.RESTING:
            if out:  # what was thought to be over is not: rest anew from now
                return replace(move, step=Step.DRAINING, since=now, ran_until=now)
            if now >= move.ran_until + terms.rest:
                return replace(move, step=Step.SWITCHED, since=now)
        case Step.SWITCHED:
            return replace(move, step=Step.DONE, since=now)
    return None


def recovered(now: int, move: Move) -> Move:
    """After a crash. What was in flight is unknown: before the switch the move is undone, from there on it
    ends."""
    if move.step in OVER:
        return move
    if move.step is Step.SWITCHED:
        return replace(move, step=Step.DONE, since=now)
    return replace(move, step=Step.UNDONE, since=now, why="the gateway ended in mid-move")


def holds(move: Move | None) -> bool:
    """New commands of the tenant are held, not taken to a cell."""
    return move is not None and move.step in (Step.FENCED, Step.DRAINING, Step.RESTING, Step.SWITCHED)


def patience_is_over(now: int, taken: int, terms: Terms) -> bool:
    """A held command is answered at once, with when to come back."""
    return now - taken >= terms.hold
