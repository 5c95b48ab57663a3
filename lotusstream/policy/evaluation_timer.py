"""Schedules the next periodic evaluation."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.policy.context import DecisionContext


class EvaluationTimer:
    """Keeps the time of the earliest planned evaluation and sets a timer for it."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._next_at: int | None = None  # time of the earliest planned evaluation; None: none is planned
        self._armed_for: int | None = None  # time and token of the pending timer; None: no timer is pending

    def plan(self, at: int) -> None:
        """Plans an evaluation at a time in microseconds, unless an earlier one is planned."""
        self._next_at = at if self._next_at is None else min(at, self._next_at)

    def take_due(self) -> bool:
        """Returns whether the planned evaluation is due. If it is due, removes it from the plan."""
        if self._next_at is None or self._context.now < self._next_at:
            return False
        self._next_at = None
        return True

    def arm(self) -> None:
        """Sets a timer for the planned evaluation, unless the pending timer fires by then."""
        at = self._next_at
        if at is None or (self._armed_for is not None and at >= self._armed_for):
            return
        self._armed_for = at
        self._context.actions.append(api.SetTimer(at, at))

    def on_timer_fired(self, event: api.TimerFired) -> None:
        """Clears the pending timer. A timer that was replaced by an earlier one is ignored when it fires."""
        if event.token == self._armed_for:
            self._armed_for = None
