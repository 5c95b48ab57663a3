"""Conditions over signals: whether they hold, which part of them does, and what two of them have in common.

Truth has three values: an unknown signal makes a comparison neither true nor false (Kleene's strong logic).
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from lotusstream.levels.signals import SIGNALS, Key, Value, spelled, written

Values = Mapping[Key, Value | None]


@dataclass(frozen=True, slots=True)
class Compare:
    """`above`: the signal lies over the limit, otherwise under it. `reaches`: the limit itself counts."""

    key: Key
    above: bool
    limit: float
    reaches: bool = False

    def __str__(self) -> str:
        sign = (">" if self.above else "<") + ("=" if self.reaches else "")
        return f"{spelled(self.key)} {sign} {written(self.limit, SIGNALS[self.key[0]].unit)}"

    def truth(self, values: Values) -> bool | None:
        value = values.get(self.key)
        if value is None:
            return None
        if value.value == self.limit:
            return self.reaches
        return (value.value > self.limit) is self.above

    def opposite(self) -> Compare:
        return replace(self, above=not self.above, reaches=not self.reaches)


@dataclass(frozen=True, slots=True)
class All:
    parts: tuple[Expression, ...]

    def __str__(self) -> str:
        return " and ".join(f"({part})" if isinstance(part, Any) else str(part) for part in self.parts)


@dataclass(frozen=True, slots=True)
class Any:
    parts: tuple[Expression, ...]

    def __str__(self) -> str:
        return " or ".join(str(part) for part in self.parts)


Expression = Compare | All | Any
Conjunction = tuple[Compare, ...]


@dataclass(frozen=True, slots=True)
class Condition:
    """`dwell`: how long the expression has to hold without a break, microseconds."""

    what: Expression
    dwell: int = 0

    def __str__(self) -> str:
        return f"{self.what} for {self.dwell / 1e6:g}s" if self.dwell else str(self.what)


def truth(what: Expression, values: Values) -> bool | None:
    if isinstance(what, Compare):
        return what.truth(values)
    found = [truth(part, values) for part in what.parts]
    decisive = isinstance(what, Any)
    if decisive in found:
        return decisive
    return None if None in found else not decisive


def comparisons(what: Expression) -> Iterable[Compare]:
    if isinstance(what, Compare):
        yield what
    else:
        for part in what.parts:
            yield from comparisons(part)


def fired(what: Expression, values: Values) -> list[Compare]:
    """The comparisons that hold, of a condition that holds by them."""
    if isinstance(what, Compare):
        return [what] if what.truth(values) else []
    if isinstance(what, Any):
        return next((fired(part, values) for part in what.parts if truth(part, values)), [])
    return [each for part in what.parts for each in fired(part, values)]


def alternatives(what: Expression) -> list[Conjunction]:
    """Disjunctive normal form: it holds where all of one of these do."""
    if isinstance(what, Compare):
        return [(what,)]
    inner = [alternatives(part) for part in what.parts]
    if isinstance(what, Any):
        return [each for part in inner for each in part]
    return [tuple(itertools.chain.from_iterable(choice)) for choice in itertools.product(*inner)]


def negation(what: Expression) -> Expression:
    if isinstance(what, Compare):
        return what.opposite()
    parts = tuple(negation(part) for part in what.parts)
    return All(parts) if isinstance(what, Any) else Any(parts)


def possible(together: Iterable[Compare], apart: float = 0.0) -> bool:
    """Some state of the signals satisfies all of them. Signals are taken as independent. `apart`: as a
    share of the limit, how far apart two opposite limits have to lie to count as a contradiction."""
    bounds: dict[Key, tuple[float, bool, float, bool]] = {}
    for each in together:
        low, low_in, high, high_in = bounds.get(each.key, (0.0, True, SIGNALS[each.key[0]].highest, True))
        if each.above and (each.limit, not each.reaches) > (low, not low_in):
            low, low_in = each.limit, each.reaches
        elif not each.above and (each.limit, each.reaches) < (high, high_in):
            high, high_in = each.limit, each.reaches
        bounds[each.key] = (low, low_in, high, high_in)
    for low, low_in, high, high_in in bounds.values():
        gap = 0.0 if math.isinf(high) else low - high
        if gap > apart * low or (gap == 0 and low == high and not apart and not (low_in and high_in)):
            return False
    return True


def overlap(one: Expression, other: Expression, apart: float = 0.0) -> Conjunction | None:
    """Comparisons of both that can hold at once, or lie closer together than `apart`; None where none can."""
    for left, right in itertools.product(alternatives(one), alternatives(other)):
        if possible(left) and possible(right) and possible((*left, *right), apart):
            return (*left, *right)
    return None


def implies(one: Expression, other: Expression) -> bool:
    """Wherever `one` holds, `other` does."""
    return overlap(one, negation(other)) is None


def ends_in_silence(what: Expression) -> bool:
    """It can hold while no command comes to an end."""
    return any(not any(SIGNALS[each.key[0]].sampled for each in together) for together in alternatives(what))
