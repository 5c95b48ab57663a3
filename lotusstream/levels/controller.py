"""Changes the level when a condition of the ladder holds: up by any number of levels, down by one.

After a change, the signals cause no other change within the ladder's minimum interval. The exception is a
change to a higher level after a loss of cores.
"""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.levels.condition import (
    Comparison,
    SignalValues,
    comparisons,
    evaluate,
    true_comparisons,
)
from lotusstream.levels.dwell import DwellTimers
from lotusstream.levels.history import ChangeCause, ChangeHistory, LevelChange, signal_readings
from lotusstream.levels.jitter import Jitter
from lotusstream.levels.ladder import Ladder, Level
from lotusstream.levels.messages import LadderReplaced, LevelEvent, LevelHoldRequested, LevelReleaseRequested
from lotusstream.levels.reduction import ServiceReduction
from lotusstream.levels.signal_evaluator import SignalEvaluator
from lotusstream.levels.status import LevelsStatus, level_statuses, signal_statuses
from lotusstream.levels.transitions import LevelInForce, find_transition

EVALUATIONS_PER_WINDOW = 40  # greatest number of evaluations of the conditions in one signal window


@dataclass(frozen=True, slots=True)
class _LevelHold:
    """A level hold: until it ends, the level stays in force regardless of the signals."""

    until: int  # when the hold ends, microseconds
    cause: ChangeCause


class LevelController:
    """`handle` takes events in chronological order and returns events for the decision module."""

    def __init__(self, ladder: Ladder, started: api.GatewayStarted, profile_names: tuple[str, ...]) -> None:
        """
        :param ladder: the levels and their conditions
        :param started: the profiles, limits and seed of the deployment
        :param profile_names: names of the profiles, in the order of `started.profiles`
        """
        self._ladder = ladder
        self.evaluation_interval = max(1, ladder.window // EVALUATIONS_PER_WINDOW)  # microseconds
        self._evaluator = SignalEvaluator(started, profile_names, ladder.window, self.evaluation_interval)
        self._jitter = Jitter(started.seed)
        self._dwell = DwellTimers(len(ladder.levels))
        self._reduction = ServiceReduction(profile_names)
        self.history = ChangeHistory()
        self._current = LevelInForce(level_number=0, since=0, changed_at=-ladder.min_interval)
        self._level_hold: _LevelHold | None = None
        self._values: SignalValues = {}
        self._cores_at_change: float | None = None  # available cores at the last change; None: unknown
        self._evaluated_at: int | None = None  # time of the last evaluation, microseconds; None: none yet
        self._is_shutting_down = False
        self.error: BaseException | None = None  # raised by `handle`, which is not called again after it

    # Events

    def handle(self, now: int, event: api.Event | api.Action | LevelEvent) -> list[api.Event]:
        """Handles an event or action of the decision module, or an event for the level controller. The
        conditions are evaluated at the end of a batch, at most once in `evaluation_interval`.

        :param now: microseconds
        """
        match event:
            case api.BatchEnded():
                if self._evaluated_at is None or now - self._evaluated_at >= self.evaluation_interval:
                    return self._evaluate(now)
            case api.ShutdownStarted():
                self._is_shutting_down = True
            case api.GatewayStarted():
                self._evaluator.on_module_restarted()
            case LevelHoldRequested():
                return self._on_hold_requested(now, event)
            case LevelReleaseRequested():
                if self._level_hold is not None:
                    return self._release(now, ChangeCause.OPERATOR, "released by hand")
            case LadderReplaced(ladder):
                return self._on_ladder_replaced(now, ladder)
            case _:
                self._evaluator.observe(now, event)
        return []

    def _on_hold_requested(self, now: int, hold: LevelHoldRequested) -> list[api.Event]:
        level_number = self._ladder.number_of(hold.level)
        if level_number is None or self.hold_rejection_reason(hold) is not None:
            return []
        self._level_hold = _LevelHold(now + hold.duration, ChangeCause.OPERATOR)
        reason = f"held by hand for {hold.duration / 1e6:g}s"
        self._change_without_condition(now, level_number, ChangeCause.OPERATOR, reason)
        if not level_number:
            self._reduction.set_to(self._level())
        return self._report()

    def _on_ladder_replaced(self, now: int, ladder: Ladder) -> list[api.Event]:
        """Keeps the level in force if its name is the name or former name of a level in the new ladder.
        Otherwise ends a level hold, and puts the level with the same number, or the highest one, in force."""
        name = self._ladder.name_of(self._current.level_number)
        level_number = ladder.number_by_any_name(name)
        if level_number is None:
            level_number = min(self._current.level_number, len(ladder.levels))
            self._level_hold = None
        self._ladder = ladder
        self._dwell = DwellTimers(len(ladder.levels))
        self._current = LevelInForce(level_number, since=now, changed_at=now)
        change = LevelChange(
            changed_at=now,
            source=name,
            target=ladder.name_of(level_number),
            level_number=level_number,
            cause=ChangeCause.RELOAD,
            condition="the operator file was read again",
            readings=(),
            ends_when=self._ends_when(),
        )
        self.history.add(change)
        return self._report()

    # Evaluation

    def _evaluate(self, now: int) -> list[api.Event]:
        is_first = self._evaluated_at is None
        elapsed = 0 if self._evaluated_at is None else now - self._evaluated_at
        self._evaluated_at = now
        was_observed = self._evaluator.advance(now)
        self._values = self._evaluator.values(now)
        if is_first:
            self._jitter.draw()
            self._enter_initial_level(now)
        if not was_observed:  # the conditions may not have held during all of the unobserved time
            self._dwell.reset()
            elapsed = 0
        self._dwell.update(now, self._ladder, self._current.level_number, self._values)
        events: list[api.Event] = [api.SnapshotRequested()]
        if not self._is_shutting_down:
            events += self._decide(now)
            self._advance_ramp(elapsed)
        return events + self._report()

    def _enter_initial_level(self, now: int) -> None:
        self._current.since = now
        initial = self._ladder.initial
        level_number = self._ladder.number_of(initial.level) if initial is not None else None
        if initial is None or not level_number:
            return
        self._level_hold = _LevelHold(now + initial.duration, ChangeCause.START)
        reason = f"start {initial.level} for {initial.duration / 1e6:g}s"
        self._change_without_condition(now, level_number, ChangeCause.START, reason)

    def _decide(self, now: int) -> list[api.Event]:
        """Ends a level hold whose time is over, or changes the level if a condition has held long enough."""
        if self._level_hold is not None:
            if now < self._level_hold.until:
                return []
            return self._release(now, ChangeCause.HOLD_ENDED, "its time is over")
        transition = find_transition(
            now,
            self._ladder,
            self._current,
            self._dwell,
            self._jitter.dwell_factor,
            lambda: self._has_lost_cores(now),
        )
        if transition is not None:
            condition = transition.condition
            true_now = true_comparisons(condition.expression, self._values)
            self._change(now, transition.level_number, transition.cause, str(condition), true_now)
        return []

    def _has_lost_cores(self, now: int) -> bool:
        cores = self._evaluator.available_cores(now)
        if cores is None or not self._cores_at_change:
            return False
        return cores < self._cores_at_change * (1 - self._ladder.lost_cores_ratio)

    # Changes

    def _release(self, now: int, cause: ChangeCause, reason: str) -> list[api.Event]:
        """Ends the level hold. The level stays in force until the signals change it."""
        self._level_hold = None
        self._change_without_condition(now, self._current.level_number, cause, reason)
        return self._report()

    def _change_without_condition(self, now: int, level_number: int, cause: ChangeCause, reason: str) -> None:
        """Puts a level in force. The history records the signals in its enter and leave conditions."""
        level = self._ladder.level_at(level_number)
        recorded: list[Comparison] = []
        if level is not None:
            recorded += comparisons(level.enter.expression)
            recorded += comparisons(level.leave.expression)
        self._change(now, level_number, cause, reason, recorded)

    def _change(
        self, now: int, level_number: int, cause: ChangeCause, reason: str, recorded: list[Comparison]
    ) -> None:
        """Puts a level in force.

        :param recorded: comparisons whose signals are recorded in the history
        """
        source = self._current.level_number
        self._current = LevelInForce(level_number, since=now, changed_at=now)
        change = LevelChange(
            changed_at=now,
            source=self._ladder.name_of(source),
            target=self._ladder.name_of(level_number),
            level_number=level_number,
            cause=cause,
            condition=reason,
            readings=signal_readings(recorded, self._values),
            ends_when=self._ends_when(),
        )
        self.history.add(change)
        self._dwell.restart_leaving()
        self._cores_at_change = self._evaluator.available_cores(now)
        self._jitter.draw()
        if level_number > source:
            self._reduction.lower_to(self._level())
        elif not self._ladder.ramp_time:
            self._reduction.set_to(self._level())

    def _ends_when(self) -> str:
        if self._level_hold is not None:
            return "the hold ends or is released"
        level = self._level()
        return str(level.leave) if level is not None else "a level is entered"

    # What is in force

    def in_force(self) -> api.DegradationChanged | None:
        """Returns the last event for the decision module, which a restarted module has to receive again; None
        if full service is in force."""
        return self._reduction.in_force()

    def full_service(self) -> api.DegradationChanged:
        """Returns the event that puts full service in force."""
        return self._reduction.full_service()

    def _level(self) -> Level | None:
        return self._ladder.level_at(self._current.level_number)

    def _advance_ramp(self, elapsed: int) -> None:
        """Moves the admitted ratios. If a level is held or there is no ramp, sets them to the level's."""
        level = self._level()
        is_level_held = self._level_hold is not None and level is not None
        if not self._ladder.ramp_time or is_level_held:
            self._reduction.set_to(level)
            return
        has_spare_capacity = evaluate(self._ladder.ramp_condition, self._values)
        self._reduction.advance(
            level, has_spare_capacity, self._jitter.ramp_factor, elapsed, self._ladder.ramp_time
        )

    def _report(self) -> list[api.Event]:
        return self._reduction.report(self._level())

    # For operators

    def hold_rejection_reason(self, hold: LevelHoldRequested) -> str | None:
        """Returns the reason why the level can't be held, or None if it can."""
        return hold.rejection_reason(self._ladder)

    def status(self) -> LevelsStatus:
        """Returns the level in force, the signals and the state of all conditions."""
        level = self._level()
        next_change_at = self._current.changed_at + self._ladder.min_interval
        if level is not None:
            next_change_at = max(next_change_at, self._current.since + level.min_time)
        return LevelsStatus(
            level=self._ladder.name_of(self._current.level_number),
            level_number=self._current.level_number,
            since=self._current.since,
            held_until=self._level_hold.until if self._level_hold else None,
            last_change=self.history.latest(),
            ends_when=self._ends_when(),
            next_change_at=next_change_at,
            admitted_ratios=self._reduction.admitted_ratios(),
            retries_allowed=level.retries_allowed if level else api.RetriesAllowed.ALL,
            stopping=self._is_shutting_down,
            signals=signal_statuses(self._values),
            levels=level_statuses(self._ladder, self._values),
            change_count=self.history.count,
        )
