"""Counts of what the gateway takes in, sends and answers, and how long parts of it take."""

from __future__ import annotations

from collections import Counter


class Histogram:
    """Values of one kind in buckets that double, so that a quantile is known to within a factor of two."""

    def __init__(self) -> None:
        self._buckets = Counter[int]()
        self.count = 0
        self.maximum = 0.0

    def add(self, value: float) -> None:
        self._buckets[max(0, int(value)).bit_length()] += 1
        self.count += 1
        self.maximum = max(self.maximum, value)

    def quantile(self, part: float) -> float:
        """A value that at least that part of all values does not pass; 0 where there is none."""
        left = part * self.count
        for bucket, count in sorted(self._buckets.items()):
            left -= count
            if left <= 0:
                return min(self.maximum, float((1 << bucket) - 1))
        return self.maximum


class Counters:
    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._peaks: dict[str, float] = {}
        self._histograms: dict[str, Histogram] = {}

    def add(self, name: str, count: int = 1) -> None:
        self._counts[name] += count

    def peak(self, name: str, value: float) -> None:
        self._peaks[name] = max(value, self._peaks.get(name, value))

    def observe(self, name: str, value: float) -> None:
        """One value of a kind of which the spread matters."""
        self._histograms.setdefault(name, Histogram()).add(value)

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def lines(self) -> list[str]:
        counts = [f"{name} {count}" for name, count in sorted(self._counts.items())]
        return counts + [f"{name} {value:g} at most" for name, value in sorted(self._all_peaks().items())]

    def as_mapping(self) -> dict[str, dict[str, float]]:
        return {
            "counts": dict(sorted(self._counts.items())),
            "peaks": dict(sorted(self._all_peaks().items())),
        }

    def _all_peaks(self) -> dict[str, float]:
        """A histogram is told as its greatest value, and as what a half and 99 of 100 values do not pass."""
        told = dict(self._peaks)
        for name, histogram in self._histograms.items():
            told[name] = histogram.maximum
            told[f"{name}, half of all"] = histogram.quantile(0.5)
            told[f"{name}, 99 of 100"] = histogram.quantile(0.99)
        return told
