"""The admission rules that benchmarks compare: the shipped ladder, and simpler rules as baselines."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from benchmarks.fleet import PROFILE_NAMES, DecisionModule
from lotusstream import interface as api
from lotusstream.levels.condition import Comparison, Condition
from lotusstream.levels.controlled_module import LevelControlledModule
from lotusstream.levels.controller import LevelController
from lotusstream.levels.ladder import Ladder, Level
from lotusstream.levels.signals import SignalKey
from lotusstream.operator.file import load_operator_file
from lotusstream.policy import Gateway

SHIPPED_OPERATOR_FILE = Path(__file__).parent.parent / "deploy" / "operator.conf"


def shipped_ladder() -> Ladder:
    """Returns the ladder of the shipped operator file."""
    ladder = load_operator_file(str(SHIPPED_OPERATOR_FILE)).ladder
    assert ladder is not None
    return ladder


def with_ladder(ladder: Ladder, settings: api.GatewayStarted) -> LevelControlledModule:
    """Returns a decision module with a level controller that follows a ladder."""
    return LevelControlledModule(Gateway().handle, LevelController(ladder, settings, PROFILE_NAMES))


class FixedThreshold:
    """Baseline: rejects half of the lookups while the load is over a limit, and none otherwise.

    It has no hysteresis, no ramp and no minimum stay at a level.
    """

    def __init__(self, settings: api.GatewayStarted, limit: float = 1.0, admit: float = 0.5) -> None:
        above = Condition(Comparison(SignalKey("load"), above=True, limit=limit))
        below = Condition(Comparison(SignalKey("load"), above=False, limit=limit, inclusive=True))
        level = Level("cut", above, below, 0, {"lookup": admit})
        fixed_ladder = replace(
            shipped_ladder(), levels=(level,), min_interval=0, ramp_time=0, lost_cores_ratio=1.0, initial=None
        )
        self.admission = with_ladder(fixed_ladder, settings)
        self.handle = self.admission.handle


class QueueDelay:
    """Baseline, after CoDel: rejects a growing share of the lookups while requests queue for too long.

    Requests queue for too long if each request of an interval waited for more than a tenth of its latency
    objective.
    """

    # duration of an interval, microseconds; largest ratio of a wait to the latency objective
    INTERVAL_US, MAX_WAIT_RATIO = 500_000, 0.1

    def __init__(self, settings: api.GatewayStarted) -> None:
        self._settings, self._module = settings, Gateway()
        # arrival in simulated microseconds, and number of the profile, of each waiting request, by request id
        self._waiting: dict[int, tuple[int, int]] = {}
        # smallest ratio of a wait to the latency objective in the present interval; simulated microseconds of
        # the end of that interval; share of the lookups to reject, in steps of 10%
        self._shortest_wait_ratio, self._interval_ends_at, self._rejection_steps = 1.0, 0, 0

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Passes an event to the decision module, and changes the rejected share after each interval."""
        actions = list(self._module.handle(now, event))
        if isinstance(event, api.RequestReceived):
            self._waiting[event.request_id] = (now, event.profile)
        for action in actions:
            if (
                isinstance(action, api.StartAttempt | api.RejectRequest | api.FailRequest)
                and action.request_id in self._waiting
            ):
                arrived_at, profile = self._waiting.pop(action.request_id)
                self._shortest_wait_ratio = min(
                    self._shortest_wait_ratio,
                    (now - arrived_at) / self._settings.profiles[profile].latency_objective,
                )
        if isinstance(event, api.BatchEnded) and now >= self._interval_ends_at:
            waits_too_long = self._shortest_wait_ratio > self.MAX_WAIT_RATIO and bool(self._waiting)
            self._rejection_steps = (
                self._rejection_steps + 1 if waits_too_long else max(0, self._rejection_steps - 2)
            )
            self._shortest_wait_ratio, self._interval_ends_at = 1.0, now + self.INTERVAL_US
            admitted_share = max(0.1, 1.0 - 0.1 * self._rejection_steps)
            degradation = api.DegradationChanged(
                (admitted_share, 1.0), api.RetriesAllowed.ALL, None, (None, None)
            )
            actions += self._module.handle(now, degradation)
        return actions


def without_levels(_settings: api.GatewayStarted) -> DecisionModule:
    """Returns the decision module alone, which always gives full service."""
    return Gateway()
