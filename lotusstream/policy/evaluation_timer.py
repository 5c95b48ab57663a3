"""When decisions that depend on time alone are evaluated next."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.policy.context import DecisionContext


class EvaluationTimer:
    """The earliest of all planned evaluations, and the timer that is set for it."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._next_at: int | None = None  # the earliest planned evaluation
        self._armed_for: int | None = None  # time of the latest timer, until it fires; its token is the same

    def plan(self, at: int) -> None:
        """Plans an evaluation, in microseconds of the clock; an earlier one stays."""
        self._next_at = at if self._next_at is None else min(at, self._next_at)

    def take_due(self) -> bool:
        """Returns whether an evaluation is due, and takes it off the plan if so."""
        if self._next_at is None or self._context.now < self._next_at:
            return False
        self._next_at = None
        return True

    def arm(self) -> None:
        """Sets a timer for the planned evaluation, unless one fires no later than that."""
        at = self._next_at
        if at is None or (self._armed_for is not None and at >= self._armed_for):
            return
        self._armed_for = at
        self._context.actions.append(api.SetTimer(at, at))

    def on_timer_fired(self, event: api.TimerFired) -> None:
        """A timer has fired; earlier ones that were replaced may fire too and change nothing."""
        if event.token == self._armed_for:
            self._armed_for = None
