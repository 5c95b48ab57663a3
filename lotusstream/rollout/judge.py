"""Compares changed and unchanged gateways over the same seconds: worse, no worse, or undecided.

Each window gives one number a signal: by how much the changed gateways exceed the unchanged ones of their
zone, less by how much they did so before they were changed. A test by betting (Waudby-Smith and Ramdas,
'Estimating means of bounded random variables by betting', 2024) is valid however often it is evaluated: by
Ville's inequality its capital reaches 1/a with probability a at most, if the mean is no worse than the
tolerance. Ends of processes are tested as they come: each is one of a changed gateway with the probability of
their share.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

HISTORY_WINDOWS = 60  # before the change: how a gateway compares with its zone anyway
MISS_PROBABILITY = 0.05  # of 'no worse' although it is worse by more than the tolerance
MAX_STAKE_RATIO = 0.9  # part of its capital that a bet may lose at most
MIN_WINDOW_REQUESTS = 20  # of one side; a window with fewer is not counted
SIGNALS = ("lost", "late", "refused", "errors", "cpu")


@dataclass(frozen=True, slots=True)
class WindowReading:
    """What one gateway measured in one window."""

    gateway: str
    zone: str
    is_new: bool  # it runs the new version
    age: int  # windows since it became ready
    request_count: int
    asked: float  # priority weight of its requests
    served: float  # priority weight answered in time
    late: int  # requests
    refused: int  # requests
    errors: int  # requests
    cpu: int  # microseconds
    broken: int = 0  # rules

    def share(self, signal: str) -> float:
        """Returns the share of requests with the signal, 0 is best; of `cpu`, milliseconds a request."""
        if signal == "lost":
            return 1 - self.served / self.asked if self.asked else 0.0
        if signal == "cpu":
            return self.cpu / 1000 / max(1, self.request_count)
        return float(getattr(self, signal)) / max(1, self.request_count)


def excess_over_old(reading: WindowReading, signal: str, old: float) -> float:
    """Returns by how much it exceeds the unchanged ones. Of `cpu`: its part of both, which is bounded."""
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
    """The terms of the comparison."""

    tolerance: Mapping[str, float]  # by signal: a difference that does no harm
    range: Mapping[str, float]  # by signal: what one window may show at most; more counts as that
    false_alarm_probability: float  # of stopping a change that is no worse
    max_unseen_harm: float = 0.0025  # of the whole fleet; a small stage need not show as much as a large one
    warm_up: int = 3  # windows of a started gateway that are not counted

    def unseen(self, signal: str, part: float) -> float:
        """Returns the difference that may stay unseen while this part of the fleet, 0 to 1, is new."""
        most = self.range[signal] / 2
        return min(most, max(self.tolerance[signal], self.max_unseen_harm / max(part, self.max_unseen_harm)))

    @classmethod
    def plain(cls, alarms: float) -> JudgeBounds:
        """Returns the same bounds for all signals."""
        return cls(dict.fromkeys(SIGNALS, 0.005), dict.fromkeys(SIGNALS, 0.1), alarms)


@dataclass(slots=True)
class BettingTest:
    """A bet against 'the mean of numbers from 0 to 1 is at most `null`'."""

    null: float
    sign: int = 1  # -1: against 'at least'
    capital: float = 0.0  # natural logarithm
    best: float = 0.0  # greatest capital so far, natural logarithm
    count: int = 0  # numbers observed
    mean: float = 0.5  # running estimate
    spread: float = 0.25  # running estimate of the variance

    def observe(self, value: float) -> None:
        """Takes the next number, 0 to 1."""
        room = self.null if self.sign > 0 else 1 - self.null
        edge = self.sign * (self.mean - self.null)
        stake = max(0.0, min(MAX_STAKE_RATIO / room, edge / (self.spread + edge * edge)))
        self.capital += math.log1p(stake * self.sign * (value - self.null))
        self.best = max(self.best, self.capital)
        self.count += 1
        weight = 1 / (self.count + 1)
        self.spread += weight * ((value - self.mean) ** 2 - self.spread)
        self.mean += weight * (value - self.mean)


@dataclass(frozen=True, slots=True)
class Finding:
    """A verdict with its reason, for operators. `by`: the changed gateways that weigh most, worst first."""

    verdict: Verdict
    signal: str = ""
    old: float = 0.0
    new: float = 0.0
    windows: int = 0
    by: tuple[str, ...] = ()

    @property
    def why(self) -> str:
        """The reason in words."""
        if not self.signal:
            return self.verdict.value
        text = f"{self.signal}: {self.new:.3f}, the old ones {self.old:.3f}, {self.windows} windows"
        return f"{text}; most by {', '.join(self.by)}" if self.by else text


@dataclass(slots=True)
class _Sum:
    new: float = 0.0
    old: float = 0.0
    windows: int = 0
    by: dict[str, float] = field(default_factory=dict)


class RolloutJudge:
    """Decides whether a change does harm, from the readings of one window after the other."""

    def __init__(self, bounds: JudgeBounds, stages: int) -> None:
        """`stages`: how many share the probability of a false alarm."""
        self._bounds = bounds
        self._before: dict[str, dict[str, deque[float]]] = {}
        self._level = math.log((len(SIGNALS) + 1) * max(1, stages) / bounds.false_alarm_probability)
        self.begin_stage(0.0)

    def begin_stage(self, part: float) -> None:
        """Begins a stage with this part of the fleet, 0 to 1: new tests, and the same history."""
        bounds = self._bounds
        sides = {name: bounds.range[name] for name in SIGNALS}
        worse = {name: (1 + bounds.tolerance[name] / most) / 2 for name, most in sides.items()}
        fine = {name: (1 + bounds.unseen(name, part) / most) / 2 for name, most in sides.items()}
        self._worse = {name: BettingTest(worse[name]) for name in SIGNALS}
        self._fine = {name: BettingTest(fine[name], -1) for name in SIGNALS}
        self._ends, self._ended = 0.0, {True: 0, False: 0}
        self._sums = {name: _Sum() for name in SIGNALS}
        self.windows = 0  # that said something

    def handle(self, readings: Iterable[WindowReading]) -> Finding:
        """Takes the readings of one window and returns what is known now."""
        ordered = sorted(readings, key=lambda each: each.gateway)
        for each in ordered:
            if each.is_new and each.broken:
                return Finding(Verdict.WORSE, "broken rules", 0.0, each.broken, 1, (each.gateway,))
        said = False
        for signal in SIGNALS:
            said = self._window(signal, ordered) or said
        self.windows += said
        self._remember(ordered)
        return self._found()

    def on_process_ended(self, is_new: bool, part: float) -> Finding:
        """Takes the end of a process that nobody stopped, where `part` of the processes, 0 to 1, was new.

        The alternative tested: new ones end so much more often that they are halfway from `part` to all.
        """
        if 0 < part < 1:
            other = (1 + part) / 2
            self._ends += math.log(other / part if is_new else (1 - other) / (1 - part))
            self._ended[is_new] += 1
        return self._found()

    def _old_means(self, readings: Sequence[WindowReading], signal: str) -> dict[str, float]:
        """Returns the mean by zone, of the unchanged gateways that are past their warm-up."""
        sums: dict[str, tuple[float, int]] = {}
        for each in readings:
            if not each.is_new and each.age >= self._bounds.warm_up and each.request_count:
                share, count = sums.get(each.zone, (0.0, 0))
                sums[each.zone] = (
                    share + each.share(signal) * each.request_count,
                    count + each.request_count,
                )
        return {zone: share / count for zone, (share, count) in sums.items() if count >= MIN_WINDOW_REQUESTS}

    def _window(self, signal: str, readings: Sequence[WindowReading]) -> bool:
        old = self._old_means(readings, signal)
        new = [
            each
            for each in readings
            if each.is_new and each.age >= self._bounds.warm_up and each.zone in old and each.request_count
        ]
        weight = sum(each.request_count for each in new)
        if weight < MIN_WINDOW_REQUESTS:
            return False  # too little data proves nothing
        total, sums = 0.0, self._sums[signal]
        for each in new:
            found = excess_over_old(each, signal, old[each.zone]) - self._usual(each.gateway, signal)
            total += found * each.request_count / weight
            sums.by[each.gateway] = sums.by.get(each.gateway, 0.0) + found * each.request_count / weight
        sums.new += sum(each.share(signal) * each.request_count for each in new) / weight
        sums.old += sum(old[each.zone] * each.request_count for each in new) / weight
        sums.windows += 1
        most = self._bounds.range[signal]
        value = (1 + max(-most, min(most, total)) / most) / 2
        self._worse[signal].observe(value)
        self._fine[signal].observe(value)
        return True

    def _usual(self, gateway: str, signal: str) -> float:
        """By how much it had more than its zone before it was changed; few windows weigh less."""
        known = self._before.get(gateway, {}).get(signal)
        return sum(known) / (len(known) + 3) if known else 0.0

    def _remember(self, readings: Sequence[WindowReading]) -> None:
        for signal in SIGNALS:
            old = self._old_means(readings, signal)
            for each in readings:
                if (
                    not each.is_new
                    and each.age >= self._bounds.warm_up
                    and each.zone in old
                    and each.request_count
                ):
                    known = self._before.setdefault(each.gateway, {})
                    ring = known.setdefault(signal, deque(maxlen=HISTORY_WINDOWS))
                    ring.append(excess_over_old(each, signal, old[each.zone]))

    def _found(self) -> Finding:
        if self._ends >= self._level:
            gone, others = float(self._ended[True]), float(self._ended[False])
            return Finding(Verdict.WORSE, "processes that ended", others, gone, self.windows)
        for signal in SIGNALS:
            if self._worse[signal].best >= self._level:
                sums = self._sums[signal]
                by = sorted(sums.by, key=lambda each: (-sums.by[each], each))[:3]
                new, old = sums.new / sums.windows, sums.old / sums.windows
                return Finding(Verdict.WORSE, signal, old, new, sums.windows, tuple(by))
        if self.windows and all(bet.best >= -math.log(MISS_PROBABILITY) for bet in self._fine.values()):
            return Finding(Verdict.NO_WORSE, windows=self.windows)
        return Finding(Verdict.UNDECIDED, windows=self.windows)
