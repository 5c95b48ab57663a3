"""Conditions over signals: evaluation, and checks for overlap, implication and contradiction.

The logic is three-valued (Kleene's strong logic): a comparison with an unknown signal is neither true nor
false.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from lotusstream.levels.signals import SIGNALS, SignalKey, SignalValue, format_key, format_value

SignalValues = Mapping[SignalKey, SignalValue | None]
"""Value of each signal; None or absent: unknown."""


@dataclass(frozen=True, slots=True)
class Comparison:
    """A signal compared with a limit."""

    key: SignalKey
    above: bool  # True: holds for values above the limit; False: for values below it
    limit: float  # in the unit of the signal
    inclusive: bool = False  # whether the comparison holds for a value equal to the limit

    def __str__(self) -> str:
        sign = (">" if self.above else "<") + ("=" if self.inclusive else "")
        return f"{format_key(self.key)} {sign} {format_value(self.limit, SIGNALS[self.key.signal].unit)}"

    def evaluate(self, values: SignalValues) -> bool | None:
        """Returns whether the comparison holds; None if the signal is unknown."""
        value = values.get(self.key)
        if value is None:
            return None
        if value.value == self.limit:
            return self.inclusive
        return (value.value > self.limit) is self.above

    def negate(self) -> Comparison:
        """Returns the comparison that holds for exactly those values for which this one does not."""
        return replace(self, above=not self.above, inclusive=not self.inclusive)


@dataclass(frozen=True, slots=True)
class AllOf:
    """Holds if all parts hold."""

    parts: tuple[Expression, ...]

    def __str__(self) -> str:
        return " and ".join(f"({part})" if isinstance(part, AnyOf) else str(part) for part in self.parts)


@dataclass(frozen=True, slots=True)
class AnyOf:
    """Holds if at least one part holds."""

    parts: tuple[Expression, ...]

    def __str__(self) -> str:
        return " or ".join(str(part) for part in self.parts)


Expression = Comparison | AllOf | AnyOf
Conjunction = tuple[Comparison, ...]
"""Comparisons that must all hold."""


@dataclass(frozen=True, slots=True)
class Condition:
    """An expression that has to hold for a dwell time."""

    expression: Expression
    dwell: int = 0  # time for which it has to hold without interruption, microseconds

    def __str__(self) -> str:
        return f"{self.expression} for {self.dwell / 1e6:g}s" if self.dwell else str(self.expression)


def evaluate(expression: Expression, values: SignalValues) -> bool | None:
    """Returns whether the expression holds; None if the result depends on unknown signals."""
    if isinstance(expression, Comparison):
        return expression.evaluate(values)
    results = [evaluate(part, values) for part in expression.parts]
    decisive = isinstance(expression, AnyOf)  # a single part with this result decides the expression
    if decisive in results:
        return decisive
    return None if None in results else not decisive


def comparisons(expression: Expression) -> Iterable[Comparison]:
    """Yields all comparisons of the expression, in the order in which they are written."""
    if isinstance(expression, Comparison):
        yield expression
        return
    for part in expression.parts:
        yield from comparisons(part)


def true_comparisons(expression: Expression, values: SignalValues) -> list[Comparison]:
    """Returns the comparisons that make the expression hold; an empty list if it does not hold."""
    if isinstance(expression, Comparison):
        return [expression] if expression.evaluate(values) else []
    if isinstance(expression, AnyOf):
        for part in expression.parts:
            if evaluate(part, values):
                return true_comparisons(part, values)
        return []
    return [each for part in expression.parts for each in true_comparisons(part, values)]


def disjunctive_normal_form(expression: Expression) -> list[Conjunction]:
    """Returns conjunctions; the expression holds if and only if at least one of them holds."""
    if isinstance(expression, Comparison):
        return [(expression,)]
    parts = [disjunctive_normal_form(part) for part in expression.parts]
    if isinstance(expression, AnyOf):
        return list(itertools.chain.from_iterable(parts))
    return [tuple(itertools.chain.from_iterable(choice)) for choice in itertools.product(*parts)]


def negate(expression: Expression) -> Expression:
    """Returns the expression that holds for exactly those signal values for which this one does not."""
    if isinstance(expression, Comparison):
        return expression.negate()
    parts = tuple(negate(part) for part in expression.parts)
    return AllOf(parts) if isinstance(expression, AnyOf) else AnyOf(parts)


@dataclass(slots=True)
class _Interval:
    """The range of one signal's values that satisfy all comparisons passed to `restrict`."""

    low: float
    high: float
    low_inclusive: bool = True
    high_inclusive: bool = True

    def restrict(self, comparison: Comparison) -> None:
        limit, inclusive = comparison.limit, comparison.inclusive
        if comparison.above and (limit, not inclusive) > (self.low, not self.low_inclusive):
            self.low = limit
            self.low_inclusive = inclusive
        elif not comparison.above and (limit, inclusive) < (self.high, self.high_inclusive):
            self.high = limit
            self.high_inclusive = inclusive

    def is_empty(self, min_gap_ratio: float) -> bool:
        gap = 0.0 if math.isinf(self.high) else self.low - self.high
        if gap > min_gap_ratio * self.low:
            return True
        is_point = gap == 0 and self.low == self.high
        return is_point and not min_gap_ratio and not (self.low_inclusive and self.high_inclusive)


def is_satisfiable(conjunction: Iterable[Comparison], min_gap_ratio: float = 0.0) -> bool:
    """Returns whether some values of the signals satisfy all comparisons. Signals are assumed to be
    independent of each other.

    :param conjunction: comparisons that must all hold
    :param min_gap_ratio: two opposite limits of a signal contradict each other only if the lower bound is
        above the upper bound by more than this ratio of the lower bound
    """
    intervals: dict[SignalKey, _Interval] = {}
    for comparison in conjunction:
        interval = intervals.get(comparison.key)
        if interval is None:
            interval = _Interval(0.0, SIGNALS[comparison.key.signal].upper_bound)
            intervals[comparison.key] = interval
        interval.restrict(comparison)
    return not any(interval.is_empty(min_gap_ratio) for interval in intervals.values())


def find_overlap(one: Expression, other: Expression, min_gap_ratio: float = 0.0) -> Conjunction | None:
    """Returns comparisons that make both expressions hold at the same time, or None if there are none.
    Comparisons whose limits contradict each other by no more than `min_gap_ratio` are returned too.

    :param min_gap_ratio: least gap between contradicting limits, as a ratio of the lower bound; see
        `is_satisfiable`
    """
    pairs = itertools.product(disjunctive_normal_form(one), disjunctive_normal_form(other))
    for left, right in pairs:
        combined = (*left, *right)
        if is_satisfiable(left) and is_satisfiable(right) and is_satisfiable(combined, min_gap_ratio):
            return combined
    return None


def implies(one: Expression, other: Expression) -> bool:
    """Returns whether `other` holds whenever `one` holds."""
    return find_overlap(one, negate(other)) is None


def can_hold_without_traffic(expression: Expression) -> bool:
    """Returns whether the expression can hold while no request finishes. Sampled signals are unknown then."""
    for conjunction in disjunctive_normal_form(expression):
        if not any(SIGNALS[comparison.key.signal].sampled for comparison in conjunction):
            return True
    return False
