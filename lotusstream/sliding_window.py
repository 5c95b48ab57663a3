"""Sums over time, in fixed buckets that are used again."""

from __future__ import annotations


class SlidingWindow:
    """Sums over the last `span` microseconds, in fixed buckets of time that are used again in a ring."""

    def __init__(self, span: int, buckets: int) -> None:
        self.buckets, self.width = buckets, max(1, span // buckets)
        self.slots = [[-1, 0.0, 0.0] for _ in range(buckets + 1)]
        self.newest = -buckets

    def add(self, now: int, amount: float, count: float = 1.0) -> None:
        at = self.newest = now // self.width
        slot = self.slots[at % len(self.slots)]
        if slot[0] != at:
            slot[:] = [at, 0.0, 0.0]
        slot[1] += amount
        slot[2] += count

    def total(self, now: int, *, covering: bool = True) -> tuple[float, float]:
        """Amount and count; `covering` takes in at least the span, otherwise at most."""
        oldest = now // self.width - self.buckets + (0 if covering else 1)
        kept = [slot for slot in self.slots if slot[0] >= oldest]
        return sum([slot[1] for slot in kept]), sum([slot[2] for slot in kept])

    def mean(self, now: int, prior: float, weight: float) -> float:
        """The prior weighs as much as `weight` counts."""
        amount, count = self.total(now)
        return (amount + prior * weight) / (count + weight)

    def latest(self, now: int, prior: float, weight: float, enough: float) -> float:
        """As the mean, over the newest buckets only where these hold enough."""
        at, amount, count = now // self.width, prior * weight, weight
        for back in range(at - self.newest, self.buckets):
            slot = self.slots[(at - back) % len(self.slots)]
            if slot[0] == at - back:
                amount, count = amount + slot[1], count + slot[2]
                if count >= enough:
                    break
        return amount / count
