"""What must hold: asserted in debug runs, counted in release runs (`python -O`)."""

from __future__ import annotations

from lotusstream.counters import Counters
from lotusstream.log import Log


class Invariants:
    def __init__(self, counters: Counters, log: Log) -> None:
        self._counters, self._log = counters, log

    def check(self, what: str, true: bool) -> bool:
        """Returns `true`, so that a release run can go round what does not hold."""
        if not true:
            self._counters.add(f"broken invariant: {what}")
            self._log.write("broken invariant", what)
        assert true, what
        return true
