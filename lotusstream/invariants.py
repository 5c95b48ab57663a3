"""Invariants: asserted in debug runs, counted in release runs (`python -O`)."""

from __future__ import annotations

from lotusstream.counters import Counters
from lotusstream.log import Log


class Invariants:
    """Checks what must hold at any time."""

    def __init__(self, counters: Counters, log: Log) -> None:
        self._counters = counters
        self._log = log

    def check(self, name: str, holds: bool) -> bool:
        """Counts and logs an invariant that does not hold. Returns `holds`, so that a release run can go
        round it; raises AssertionError in debug runs."""
        if not holds:
            self._counters.add(f"broken invariant: {name}")
            self._log.write("broken invariant", name)
        assert holds, name
        return holds
