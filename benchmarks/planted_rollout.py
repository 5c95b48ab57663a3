"""Defects planted in the rollout: the simulation has to detect each of them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from unittest import mock

import msgspec

from lotusstream.lab.rollout import Defect, RolloutScenario, play
from lotusstream.lab.world import InvariantViolationError, S
from lotusstream.rollout import rollout as state_machine
from lotusstream.rollout.judge import BettingTest, RolloutJudge
from lotusstream.rollout.rollout import Rollout


@dataclass(frozen=True, slots=True)
class PlantedDefect:
    """A defect that the simulation has to detect."""

    name: str  # description of the defect
    inject: Callable[[], contextlib.AbstractContextManager[Any]]  # returns a context with the defect
    # scenario of a run that exposes the defect
    scenario: RolloutScenario = RolloutScenario()  # noqa: RUF009
    expected_end: state_machine.Phase = state_machine.Phase.DONE  # last phase of the run without the defect


def _too_many_changes_at_once() -> Any:
    """A change starts without a check of how many gateways have to stay ready."""
    return mock.patch.object(Rollout, "_may_start_change", lambda self, most: len(self.entry.in_progress) < 9)


def _step_before_commit() -> Any:
    """A driver acts on entries that the quorum has not committed, and that the next driver does not know."""

    def propose_and_adopt(self: Rollout, **changes: Any) -> None:
        entry = msgspec.structs.replace(self.entry, seq=self.entry.seq + 1, **changes)
        self.entry, self._entry_since, self._entry_committed = entry, self._now, True
        if entry.seq % 7 == 0 or entry.phase in state_machine.FINAL_PHASES:
            self._actions.append(state_machine.ProposeEntry(entry))

    return mock.patch.object(Rollout, "_propose", propose_and_adopt)


def _fixed_test_level() -> Any:
    """Every window is tested at the same level: repeated tests then find a difference by chance."""

    def observe_at_fixed_level(self: BettingTest, value: float) -> None:
        observe(self, value)
        if self.sign > 0 and self.count > 2:
            self.max_log_wealth = max(
                self.max_log_wealth,
                4 * max(0.0, (self.mean - self.null) / self.spread**0.5 * self.count**0.5),
            )

    observe = BettingTest.observe
    return mock.patch.object(BettingTest, "observe", observe_at_fixed_level)


def _no_comparison_with_old() -> Any:
    """New gateways are compared with constant usual shares, not with old gateways at the same time."""

    def constant_means(self: RolloutJudge, readings: Any, signal: str) -> dict[str, float]:
        found = old_means(self, readings, signal)
        usual_share = 4.0 if signal == "cpu" else 0.02
        return dict.fromkeys(found, usual_share)

    old_means = RolloutJudge._old_means
    return mock.patch.object(RolloutJudge, "_old_means", constant_means)


def _crashes_not_counted() -> Any:
    """Crashes of processes have no influence on the verdict."""
    return mock.patch.object(RolloutJudge, "on_process_ended", lambda self, is_new, part: self._evaluate())


FREQUENT_FAULTS = RolloutScenario(fault_interval_us=20 * S, faults=("gateway", "driver", "trouble"))
PLANTED = (
    PlantedDefect(
        "too many gateways are changed at once", _too_many_changes_at_once, RolloutScenario(faults=())
    ),
    PlantedDefect("a step is taken before it is committed", _step_before_commit, FREQUENT_FAULTS),
    PlantedDefect("repeated tests at a fixed level", _fixed_test_level),
    PlantedDefect("a disturbance of both versions counts", _no_comparison_with_old),
    PlantedDefect(
        "crashes are not counted", _crashes_not_counted,
        RolloutScenario(defect=Defect(lifetime_us=60 * S)), state_machine.Phase.ROLLED_BACK,
    ),
)  # fmt: skip


def detecting_seed(planted: PlantedDefect, seeds: int) -> tuple[int, str] | None:
    """Returns the first seed that violates an invariant or ends in an unexpected phase, and a description.

    None: no seed detects the defect.
    """
    with planted.inject():
        for seed in range(seeds):
            try:
                result = play(seed, planted.scenario)
            except InvariantViolationError as error:
                return seed, str(error)
            if result.phase is not planted.expected_end:
                return seed, f"seed {seed}: {result.phase.value}, {result.why}"
    return None
