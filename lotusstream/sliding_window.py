"""Sliding-window sums in constant memory."""

from __future__ import annotations


class SlidingWindow:
    """Sums of amounts and counts over the last `span` microseconds, kept in a ring of time buckets."""

    def __init__(self, span: int, buckets: int) -> None:
        """Creates an empty window.

        :param span: length of the window, microseconds.
        :param buckets: number of complete buckets in the window; one more bucket is being filled.
        """
        self._bucket_count = buckets
        self._bucket_width = max(1, span // buckets)  # microseconds
        # per bucket: [number of the bucket (time // width), sum of amounts, sum of counts]
        self._buckets = [[-1, 0.0, 0.0] for _ in range(buckets + 1)]
        self._newest = -buckets  # number of the bucket that `add` used last

    def add(self, now: int, amount: float, count: float = 1.0) -> None:
        """Adds an amount and a count. `now`: microseconds; it must not decrease from call to call."""
        number = now // self._bucket_width
        self._newest = number
        bucket = self._buckets[number % len(self._buckets)]
        if bucket[0] != number:
            bucket[:] = [number, 0.0, 0.0]
        bucket[1] += amount
        bucket[2] += count

    def total(self, now: int, *, covering: bool = True) -> tuple[float, float]:
        """Returns the sums of amounts and counts.

        `covering`: True includes the oldest bucket, which is only partly within the span, so the sums cover
        at least the span. False excludes it, so the sums cover at most the span.
        """
        oldest = now // self._bucket_width - self._bucket_count + (0 if covering else 1)
        recent = [bucket for bucket in self._buckets if bucket[0] >= oldest]
        return sum([bucket[1] for bucket in recent]), sum([bucket[2] for bucket in recent])

    def amount(self, now: int, *, covering: bool = True) -> float:
        """Returns the sum of amounts; see `total`."""
        return self.total(now, covering=covering)[0]

    def count(self, now: int, *, covering: bool = True) -> float:
        """Returns the sum of counts; see `total`."""
        return self.total(now, covering=covering)[1]

    def mean(self, now: int, prior: float, weight: float) -> float:
        """Returns the mean amount per count, including `prior` as if it were the mean of `weight` counts."""
        amount, count = self.total(now)
        return (amount + prior * weight) / (count + weight)

    def recent_mean(self, now: int, prior: float, weight: float, min_count: float) -> float:
        """Returns the mean amount per count over the newest buckets.

        `prior` is included as if it were the mean of `weight` counts. Buckets are included from the newest
        on, until all counts, with those of the prior, reach `min_count` or the window ends.
        """
        current = now // self._bucket_width
        amount = prior * weight
        count = weight
        for age in range(current - self._newest, self._bucket_count):
            bucket = self._buckets[(current - age) % len(self._buckets)]
            if bucket[0] == current - age:
                amount += bucket[1]
                count += bucket[2]
                if count >= min_count:
                    break
        return amount / count
