"""Old and new side by side over the same seconds: worse, no worse, or can't tell yet.

Each window gives one number a signal: by how much more of it the new ones had than the old ones of their
zone, less by how much more they had before they were changed. A test by betting (Waudby-Smith and Ramdas,
'Estimating means of bounded random variables by betting', 2024) is valid however often one looks: by
Ville's inequality its capital reaches 1/a with chance a at most where the mean is no worse than told. The
ends of processes are bet on as they come: each is one of a new gateway with the share of those there.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

BEFORE = 60  # windows before the change that tell how a gateway compares anyway
MISSED = 0.05  # the chance that 'no worse' is said of one that is worse by more than the tolerance
BOLD = 0.9  # the part of its capital that a bet may lose at most
LEAST = 20  # commands of a side in a window that say something
SIGNALS = ("lost", "late", "refused", "errors", "cpu")


@dataclass(frozen=True, slots=True)
class Reading:
    """One gateway in one window. `asked`, `served`: benefit. `age`: windows since it became ready. `cpu`:
    microseconds."""

    gateway: str
    zone: str
    is_new: bool
    age: int
    commands: int
    asked: float
    served: float
    late: int
    refused: int
    errors: int
    cpu: int
    broken: int = 0

    def share(self, signal: str) -> float:
        """0 is best. Of CPU: milliseconds a command."""
        if signal == "lost":
            return 1 - self.served / self.asked if self.asked else 0.0
        if signal == "cpu":
            return self.cpu / 1000 / max(1, self.commands)
        return float(getattr(self, signal)) / max(1, self.commands)


def more(reading: Reading, signal: str, old: float) -> float:
    """By how much it has more than the old ones. Of CPU: its part of both, so that this is bounded too."""
    share = reading.share(signal)
    if signal == "cpu":
        return share / (share + old) - 0.5 if share + old else 0.0
    return share - old


class Verdict(Enum):
    WORSE = "worse"
    NO_WORSE = "no worse"
    CANT_TELL = "can't tell yet"


@dataclass(frozen=True, slots=True)
class Bounds:
    """`tolerance`: the difference that is no harm. `range`: what one window may show at most; more counts as
    that. `harm`: the part of the whole fleet's that a stage may cost unseen: a small stage need not show as
    much as a large one. `warm_up`: windows of a started gateway that are not looked at. `alarms`: chance of a
    false stop."""

    tolerance: Mapping[str, float]
    range: Mapping[str, float]
    alarms: float
    harm: float = 0.0025
    warm_up: int = 3

    def unseen(self, signal: str, part: float) -> float:
        """What may stay unseen of a signal while this part of the fleet is new."""
        most = self.range[signal] / 2
        return min(most, max(self.tolerance[signal], self.harm / max(part, self.harm)))

    @classmethod
    def plain(cls, alarms: float) -> Bounds:
        return cls(dict.fromkeys(SIGNALS, 0.005), dict.fromkeys(SIGNALS, 0.1), alarms)


@dataclass(slots=True)
class Bet:
    """Against 'the mean is at most `null`', of numbers from 0 to 1. `sign`: -1 bets against 'at least'."""

    null: float
    sign: int = 1
    capital: float = 0.0  # its logarithm
    best: float = 0.0
    count: int = 0
    mean: float = 0.5
    spread: float = 0.25

    def see(self, value: float) -> None:
        room = self.null if self.sign > 0 else 1 - self.null
        edge = self.sign * (self.mean - self.null)
        stake = max(0.0, min(BOLD / room, edge / (self.spread + edge * edge)))
        self.capital += math.log1p(stake * self.sign * (value - self.null))
        self.best = max(self.best, self.capital)
        self.count += 1
        weight = 1 / (self.count + 1)
        self.spread += weight * ((value - self.mean) ** 2 - self.spread)
        self.mean += weight * (value - self.mean)


@dataclass(frozen=True, slots=True)
class Finding:
    """For people. `by`: the new gateways that weigh most, the worst first."""

    verdict: Verdict
    signal: str = ""
    old: float = 0.0
    new: float = 0.0
    windows: int = 0
    by: tuple[str, ...] = ()

    @property
    def why(self) -> str:
        if not self.signal:
            return self.verdict.value
        told = f"{self.signal}: {self.new:.3f}, the old ones {self.old:.3f}, {self.windows} windows"
        return f"{told}; most by {', '.join(self.by)}" if self.by else told


@dataclass(slots=True)
class _Sum:
    new: float = 0.0
    old: float = 0.0
    windows: int = 0
    by: dict[str, float] = field(default_factory=dict)


class Judge:
    """`handle` takes the readings of one window and says what is known by now."""

    def __init__(self, bounds: Bounds, stages: int) -> None:
        """`stages`: the rate of false alarms is for all of them together."""
        self._bounds = bounds
        self._before: dict[str, dict[str, deque[float]]] = {}
        self._level = math.log((len(SIGNALS) + 1) * max(1, stages) / bounds.alarms)
        self.begin(0.0)

    def begin(self, part: float) -> None:
        """Another stage, of this part of the fleet: new bets. What is known of the time before stays."""
        told, sides = self._bounds, {name: self._bounds.range[name] for name in SIGNALS}
        worse = {name: (1 + told.tolerance[name] / most) / 2 for name, most in sides.items()}
        fine = {name: (1 + told.unseen(name, part) / most) / 2 for name, most in sides.items()}
        self._worse = {name: Bet(worse[name]) for name in SIGNALS}
        self._fine = {name: Bet(fine[name], -1) for name in SIGNALS}
        self._ends, self._ended = 0.0, {True: 0, False: 0}
        self._sums = {name: _Sum() for name in SIGNALS}
        self.windows = 0  # that said something

    def handle(self, readings: Iterable[Reading]) -> Finding:
        told = sorted(readings, key=lambda each: each.gateway)
        for each in told:
            if each.is_new and each.broken:
                return Finding(Verdict.WORSE, "broken rules", 0.0, each.broken, 1, (each.gateway,))
        said = False
        for signal in SIGNALS:
            said = self._window(signal, told) or said
        self.windows += said
        self._remember(told)
        return self._found()

    def ended(self, is_new: bool, part: float) -> Finding:
        """A process that nobody stopped: `part` of those that could were new. The alternative: they end so
        much more often that they are half of what is left to all."""
        if 0 < part < 1:
            other = (1 + part) / 2
            self._ends += math.log(other / part if is_new else (1 - other) / (1 - part))
            self._ended[is_new] += 1
        return self._found()

    def _old_means(self, told: Sequence[Reading], signal: str) -> dict[str, float]:
        """By zone, of those that were not changed and are warm."""
        sums: dict[str, tuple[float, int]] = {}
        for each in told:
            if not each.is_new and each.age >= self._bounds.warm_up and each.commands:
                share, count = sums.get(each.zone, (0.0, 0))
                sums[each.zone] = (share + each.share(signal) * each.commands, count + each.commands)
        return {zone: share / count for zone, (share, count) in sums.items() if count >= LEAST}

    def _window(self, signal: str, told: Sequence[Reading]) -> bool:
        old = self._old_means(told, signal)
        new = [
            each
            for each in told
            if each.is_new and each.age >= self._bounds.warm_up and each.zone in old and each.commands
        ]
        weight = sum(each.commands for each in new)
        if weight < LEAST:
            return False  # no data is no health
        total, sums = 0.0, self._sums[signal]
        for each in new:
            found = more(each, signal, old[each.zone]) - self._usual(each.gateway, signal)
            total += found * each.commands / weight
            sums.by[each.gateway] = sums.by.get(each.gateway, 0.0) + found * each.commands / weight
        sums.new += sum(each.share(signal) * each.commands for each in new) / weight
        sums.old += sum(old[each.zone] * each.commands for each in new) / weight
        sums.windows += 1
        most = self._bounds.range[signal]
        value = (1 + max(-most, min(most, total)) / most) / 2
        self._worse[signal].see(value)
        self._fine[signal].see(value)
        return True

    def _usual(self, gateway: str, signal: str) -> float:
        """By how much it had more than its zone before it was changed; few windows weigh less."""
        known = self._before.get(gateway, {}).get(signal)
        return sum(known) / (len(known) + 3) if known else 0.0

    def _remember(self, told: Sequence[Reading]) -> None:
        for signal in SIGNALS:
            old = self._old_means(told, signal)
            for each in told:
                if (
                    not each.is_new
                    and each.age >= self._bounds.warm_up
                    and each.zone in old
                    and each.commands
                ):
                    known = self._before.setdefault(each.gateway, {})
                    ring = known.setdefault(signal, deque(maxlen=BEFORE))
                    ring.append(more(each, signal, old[each.zone]))

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
        if self.windows and all(bet.best >= -math.log(MISSED) for bet in self._fine.values()):
            return Finding(Verdict.NO_WORSE, windows=self.windows)
        return Finding(Verdict.CANT_TELL, windows=self.windows)
