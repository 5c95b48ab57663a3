"""Run-time checks of invariants.

A violation raises AssertionError. Under `python -O` it is only counted and logged.
"""

from __future__ import annotations

from lotusstream.counters import Counters
from lotusstream.log import Log


class Invariants:
    """Checks invariants, and counts and logs violations."""

    def __init__(self, counters: Counters, log: Log) -> None:
        self._counters = counters
        self._log = log

    def check(self, name: str, holds: bool) -> bool:
        """Counts and logs a violation if `holds` is False.

        Returns `holds`, so that the caller can handle a violation under `python -O`. Without that option a
        violation raises AssertionError.
        """
        if not holds:
            self._counters.add(f"broken invariant: {name}")
            self._log.write("broken invariant", name)
        assert holds, name
        return holds
