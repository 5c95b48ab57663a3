"""Counts of what the gateway takes in, sends and answers."""

from __future__ import annotations

from collections import Counter


class Counters:
    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._peaks: dict[str, float] = {}

    def add(self, name: str, count: int = 1) -> None:
        self._counts[name] += count

    def peak(self, name: str, value: float) -> None:
        self._peaks[name] = max(value, self._peaks.get(name, value))

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def lines(self) -> list[str]:
        counts = [f"{name} {count}" for name, count in sorted(self._counts.items())]
        return counts + [f"{name} {value:g} at most" for name, value in sorted(self._peaks.items())]

    def told(self) -> dict[str, dict[str, float]]:
        return {"counts": dict(sorted(self._counts.items())), "peaks": dict(sorted(self._peaks.items()))}
