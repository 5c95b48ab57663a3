"""Counters, peak values and histograms of one gateway."""

from __future__ import annotations

from collections import Counter


class Histogram:
    """A histogram with buckets at powers of two, so quantiles are accurate within a factor of two."""

    def __init__(self) -> None:
        self._buckets = Counter[int]()  # number of values by their bit length
        self.count = 0
        self.maximum = 0.0

    def add(self, value: float) -> None:
        """Adds a value. A negative value is counted in the bucket of 0."""
        self._buckets[max(0, int(value)).bit_length()] += 1
        self.count += 1
        self.maximum = max(self.maximum, value)

    def quantile(self, fraction: float) -> float:
        """Returns an upper bound of the quantile at `fraction` (0 to 1); 0 for an empty histogram."""
        remaining = fraction * self.count
        for bucket, count in sorted(self._buckets.items()):
            remaining -= count
            if remaining <= 0:
                return min(self.maximum, float((1 << bucket) - 1))
        return self.maximum


class Counters:
    """Counts, peaks and histograms by name. A name is listed only after its first use."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._peaks: dict[str, float] = {}
        self._histograms: dict[str, Histogram] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Adds `count` to the count with this name."""
        self._counts[name] += count

    def peak(self, name: str, value: float) -> None:
        """Records a value. The peak is the highest value recorded under this name."""
        self._peaks[name] = max(value, self._peaks.get(name, value))

    def observe(self, name: str, value: float) -> None:
        """Adds a value to the histogram with this name."""
        self._histograms.setdefault(name, Histogram()).add(value)

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def lines(self) -> list[str]:
        """Returns one line per count, then one per peak, both sorted by name."""
        lines = [f"{name} {count}" for name, count in sorted(self._counts.items())]
        lines += [f"{name} {value:g} at most" for name, value in sorted(self._all_peaks().items())]
        return lines

    def as_mapping(self) -> dict[str, dict[str, float]]:
        """Returns the counts and the peaks, sorted by name."""
        return {
            "counts": dict(sorted(self._counts.items())),
            "peaks": dict(sorted(self._all_peaks().items())),
        }

    def _all_peaks(self) -> dict[str, float]:
        """Returns the peaks, and for each histogram its maximum, median and 99th percentile."""
        peaks = dict(self._peaks)
        for name, histogram in self._histograms.items():
            peaks[name] = histogram.maximum
            peaks[f"{name}, half of all"] = histogram.quantile(0.5)
            peaks[f"{name}, 99 of 100"] = histogram.quantile(0.99)
        return peaks
