"""Compares changed and unchanged gateways over the same windows of time: worse, no worse, or undecided.

Each window yields one number per signal: by how much the changed gateways exceed the unchanged ones of their
zone, minus by how much they exceeded them before the change. Each signal is tested by betting (Waudby-Smith
and Ramdas, 'Estimating means of bounded random variables by betting', 2024). The test may be evaluated after
every window: if the mean is no worse than the tolerance, the test statistic (the wealth of the bettor) ever
reaches 1/a with a probability of at most a, by Ville's inequality. Process exits are tested by a sequential
likelihood ratio: if the change does no harm, an exit is that of a changed gateway with a probability equal to
the share of changed gateways.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

HISTORY_WINDOWS = 60  # windows of a gateway before its change, for its usual excess over its zone
FALSE_PASS_PROBABILITY = 0.05  # greatest probability of NO_WORSE for a change that is worse than acceptable
MAX_STAKE_RATIO = 0.9  # largest share of its wealth that a `BettingTest` may lose in one window
MIN_WINDOW_REQUESTS = 20  # a window is ignored if the old or the new gateways had fewer requests in it
# "lost" is the share of the requests that were not answered in time, weighted by priority; the other signals
# are fields of `WindowReading`.
SIGNALS = ("lost", "late", "refused", "errors", "cpu")


@dataclass(frozen=True, slots=True)
class WindowReading:
    """The measurements of one gateway in one window."""

    gateway: str
    zone: str
    is_new: bool  # whether it runs the new version
    age: int  # number of windows since the gateway became ready
    request_count: int
    asked: float  # sum of the priority weights of all requests
    served: float  # sum of the priority weights of the requests answered in time
    late: int  # number of requests answered too late
    refused: int  # number of rejected requests
    errors: int  # number of failed requests
    cpu: int  # CPU time used, microseconds
    broken: int = 0  # number of invariant violations

    def share(self, signal: str) -> float:
        """Returns the share of the requests that the signal counts, 0 to 1; for `cpu`, CPU ms per request."""
        if signal == "lost":
            return 1 - self.served / self.asked if self.asked else 0.0
        if signal == "cpu":
            return self.cpu / 1000 / max(1, self.request_count)
        return float(getattr(self, signal)) / max(1, self.request_count)


def excess_over_old(reading: WindowReading, signal: str, old: float) -> float:
    """Returns by how much a reading exceeds `old`, the mean of the unchanged gateways.

    CPU time per request has no upper bound: for `cpu` the result is reading / (reading + old) - 1/2.
    """
    share = reading.share(signal)
    if signal == "cpu":
        return share / (share + old) - 0.5 if share + old else 0.0
    return share - old


class Verdict(Enum):
    """How the changed gateways compare."""

    WORSE = "worse"
    NO_WORSE = "no worse"
    UNDECIDED = "can't tell yet"


@dataclass(frozen=True, slots=True)
class JudgeBounds:
    """Tolerances and error probabilities of the comparison."""

    tolerance: Mapping[str, float]  # largest harmless difference of each signal
    range: Mapping[str, float]  # by signal: a window's difference is clipped to plus or minus this
    false_alarm_probability: float  # greatest probability of WORSE for a change that is no worse
    # Harm that a stage need not detect, as a share of the requests of the whole fleet. A stage with few
    # changed gateways affects few requests, so that only a large difference on them does this much harm.
    max_unseen_harm: float = 0.0025
    warm_up: int = 3  # how many windows of a gateway are ignored after it became ready

    def acceptable_difference(self, signal: str, part: float) -> float:
        """Returns the largest difference that may go undetected while this part of the fleet is new."""
        limit = self.range[signal] / 2
        return min(limit, max(self.tolerance[signal], self.max_unseen_harm / max(part, self.max_unseen_harm)))

    @classmethod
    def plain(cls, alarms: float) -> JudgeBounds:
        """Returns the default bounds, the same for all signals, with this false alarm probability."""
        return cls(dict.fromkeys(SIGNALS, 0.005), dict.fromkeys(SIGNALS, 0.1), alarms)


@dataclass(slots=True)
class BettingTest:
    """A sequential test of the null hypothesis that the mean of numbers from 0 to 1 is at most `null`.

    The test bets against the null hypothesis with an initial wealth of 1. The wealth is the test statistic:
    the greater it becomes, the stronger is the evidence against the null hypothesis.
    """

    null: float  # bound of the mean under the null hypothesis
    sign: int = 1  # -1: the null hypothesis is that the mean is at least `null`
    log_wealth: float = 0.0  # natural logarithm of the test statistic, the wealth of the betting test
    max_log_wealth: float = 0.0  # greatest `log_wealth` so far; it decides the test
    count: int = 0  # how many numbers were observed
    mean: float = 0.5  # running estimate of the mean
    spread: float = 0.25  # running estimate of the variance

    def observe(self, value: float) -> None:
        """Updates the test statistic with the next number, 0 to 1."""
        # The stake is approximately the one with which the wealth grows fastest, by the estimates so far.
        room = self.null if self.sign > 0 else 1 - self.null
        edge = self.sign * (self.mean - self.null)
        stake = max(0.0, min(MAX_STAKE_RATIO / room, edge / (self.spread + edge * edge)))
        self.log_wealth += math.log1p(stake * self.sign * (value - self.null))
        self.max_log_wealth = max(self.max_log_wealth, self.log_wealth)
        self.count += 1
        weight = 1 / (self.count + 1)
        self.spread += weight * ((value - self.mean) ** 2 - self.spread)
        self.mean += weight * (value - self.mean)


@dataclass(frozen=True, slots=True)
class Finding:
    """A verdict with its reason, for operators."""

    verdict: Verdict
    signal: str = ""  # the signal that led to the verdict; "": no single signal did
    old: float = 0.0  # mean of that signal on the unchanged gateways
    new: float = 0.0  # mean of that signal on the changed gateways
    windows: int = 0  # number of windows with enough requests on old and new gateways
    gateways: tuple[str, ...] = ()  # the changed gateways with the largest excess, largest first

    @property
    def reason(self) -> str:
        """A text that names the signal, both means and the gateways; without a signal, the verdict."""
        if not self.signal:
            return self.verdict.value
        text = f"{self.signal}: new {self.new:.3f}, old {self.old:.3f}, over {self.windows} windows"
        return f"{text}; largest excess on {', '.join(self.gateways)}" if self.gateways else text


@dataclass(slots=True)
class _SignalTotals:
    new: float = 0.0  # sum over all windows of the mean of the signal on the changed gateways
    old: float = 0.0  # the same sum for the unchanged gateways of their zones
    windows: int = 0  # number of windows in the sums
    gateways: dict[str, float] = field(default_factory=dict)  # sum of weighted excesses by changed gateway


class RolloutJudge:
    """Decides whether a change does harm; takes the readings of each window and the process exits."""

    def __init__(self, bounds: JudgeBounds, stages: int) -> None:
        """Begins the first stage.

        `stages` is the number of stages of the rollout. The false alarm probability is divided among them.
        """
        self._bounds = bounds
        self._history: dict[str, dict[str, deque[float]]] = {}
        self._log_threshold = math.log((len(SIGNALS) + 1) * max(1, stages) / bounds.false_alarm_probability)
        self.begin_stage(0.0)

    def begin_stage(self, part: float) -> None:
        """Begins a stage in which this part of the fleet, 0 to 1, runs the new version.

        All tests start again without data. The history of each gateway is kept.
        """
        bounds = self._bounds
        sides = {name: bounds.range[name] for name in SIGNALS}
        worse = {name: (1 + bounds.tolerance[name] / limit) / 2 for name, limit in sides.items()}
        no_worse = {
            name: (1 + bounds.acceptable_difference(name, part) / limit) / 2 for name, limit in sides.items()
        }
        self._worse = {name: BettingTest(worse[name]) for name in SIGNALS}
        self._no_worse = {name: BettingTest(no_worse[name], -1) for name in SIGNALS}
        # Natural logarithm of the likelihood ratio of the exits: their likelihood if the change does harm,
        # divided by that if it does none. Then the number of exits of new (True) and old (False) processes.
        self._exit_log_ratio, self._exit_counts = 0.0, {True: 0, False: 0}
        self._totals = {name: _SignalTotals() for name in SIGNALS}
        self.windows = 0  # number of windows with enough data for any signal

    def handle(self, readings: Iterable[WindowReading]) -> Finding:
        """Takes the readings of one window and returns the present finding."""
        ordered = sorted(readings, key=lambda each: each.gateway)
        for each in ordered:
            if each.is_new and each.broken:
                return Finding(Verdict.WORSE, "invariant violations", 0.0, each.broken, 1, (each.gateway,))
        has_data = False
        for signal in SIGNALS:
            has_data = self._observe_window(signal, ordered) or has_data
        self.windows += has_data
        self._record_history(ordered)
        return self._evaluate()

    def on_process_ended(self, is_new: bool, part: float) -> Finding:
        """Takes an unplanned exit of a process; `part` is the share of new processes at that time, 0 to 1.

        If the change does no harm, the exit is that of a new process with probability `part`. The alternative
        hypothesis is a probability halfway between `part` and 1.
        """
        if 0 < part < 1:
            other = (1 + part) / 2
            self._exit_log_ratio += math.log(other / part if is_new else (1 - other) / (1 - part))
            self._exit_counts[is_new] += 1
        return self._evaluate()

    def _old_means(self, readings: Sequence[WindowReading], signal: str) -> dict[str, float]:
        """Returns the mean of a signal by zone, over the unchanged gateways that are past their warm-up."""
        totals: dict[str, tuple[float, int]] = {}
        for each in readings:
            if not each.is_new and each.age >= self._bounds.warm_up and each.request_count:
                share, count = totals.get(each.zone, (0.0, 0))
                totals[each.zone] = (
                    share + each.share(signal) * each.request_count,
                    count + each.request_count,
                )
        return {
            zone: share / count for zone, (share, count) in totals.items() if count >= MIN_WINDOW_REQUESTS
        }

    def _observe_window(self, signal: str, readings: Sequence[WindowReading]) -> bool:
        """Passes the value of one window to both tests of a signal.

        :returns: False if the changed gateways had too few requests in zones with unchanged ones.
        """
        old = self._old_means(readings, signal)
        new = [
            each
            for each in readings
            if each.is_new and each.age >= self._bounds.warm_up and each.zone in old and each.request_count
        ]
        weight = sum(each.request_count for each in new)
        if weight < MIN_WINDOW_REQUESTS:
            return False
        total, totals = 0.0, self._totals[signal]
        for each in new:
            excess = excess_over_old(each, signal, old[each.zone]) - self._mean_excess_before(
                each.gateway, signal
            )
            total += excess * each.request_count / weight
            totals.gateways[each.gateway] = (
                totals.gateways.get(each.gateway, 0.0) + excess * each.request_count / weight
            )
        totals.new += sum(each.share(signal) * each.request_count for each in new) / weight
        totals.old += sum(old[each.zone] * each.request_count for each in new) / weight
        totals.windows += 1
        limit = self._bounds.range[signal]
        value = (1 + max(-limit, min(limit, total)) / limit) / 2
        self._worse[signal].observe(value)
        self._no_worse[signal].observe(value)
        return True

    def _mean_excess_before(self, gateway: str, signal: str) -> float:
        """Returns by how much a gateway exceeded its zone before it was changed, on average over its windows.

        The sum is divided by the number of windows plus 3, so that a few windows give a result close to 0.
        """
        known = self._history.get(gateway, {}).get(signal)
        return sum(known) / (len(known) + 3) if known else 0.0

    def _record_history(self, readings: Sequence[WindowReading]) -> None:
        """Records by how much each unchanged gateway exceeds its zone in this window."""
        for signal in SIGNALS:
            old = self._old_means(readings, signal)
            for each in readings:
                if (
                    not each.is_new
                    and each.age >= self._bounds.warm_up
                    and each.zone in old
                    and each.request_count
                ):
                    known = self._history.setdefault(each.gateway, {})
                    ring = known.setdefault(signal, deque(maxlen=HISTORY_WINDOWS))
                    ring.append(excess_over_old(each, signal, old[each.zone]))

    def _evaluate(self) -> Finding:
        if self._exit_log_ratio >= self._log_threshold:
            new_exits, old_exits = float(self._exit_counts[True]), float(self._exit_counts[False])
            return Finding(Verdict.WORSE, "process exits", old_exits, new_exits, self.windows)
        for signal in SIGNALS:
            if self._worse[signal].max_log_wealth >= self._log_threshold:
                totals = self._totals[signal]
                gateways = sorted(totals.gateways, key=lambda each: (-totals.gateways[each], each))[:3]
                new, old = totals.new / totals.windows, totals.old / totals.windows
                return Finding(Verdict.WORSE, signal, old, new, totals.windows, tuple(gateways))
        if self.windows and all(
            test.max_log_wealth >= -math.log(FALSE_PASS_PROBABILITY) for test in self._no_worse.values()
        ):
            return Finding(Verdict.NO_WORSE, windows=self.windows)
        return Finding(Verdict.UNDECIDED, windows=self.windows)
