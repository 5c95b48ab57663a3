"""The leader's side: counts the time of every grant and says in the log when one has run out. No clock."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream.leases.table import ExpireLease, LeaseTable


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Times in microseconds. A holder stops `margin` before the end by its own clock. `drift`: by how
    much, as a share, any clock runs fast or slow at most."""

    length: int
    margin: int
    drift: float

    def least_margin(self) -> int:
        """So that a slow holder's clock stops before a fast granter's runs out: real time is at most
        (length - margin) / (1 - drift) here and at least length / (1 + drift) there."""
        return int(self.length * 2 * self.drift / (1 + self.drift)) + 1


@dataclass(slots=True)
class _ObservedGrant:
    token: int
    renewed: int
    since: int
    said: int = 0


class LeaseExpiryTracker:
    """Of whoever leads now; another begins with every lease as if just granted, which is never too early."""

    def __init__(self, terms: LeaseTiming) -> None:
        self._terms, self._seen = terms, dict[str, _ObservedGrant]()
        self._term = -1

    def left(self, now: int, task: str) -> int:
        """Until a grant runs out, if no renewal comes; 0 where that is not known."""
        seen = self._seen.get(task)
        return max(0, seen.since + self._terms.length - now) if seen is not None else 0

    def due(self, now: int, term: int, table: LeaseTable) -> list[ExpireLease]:
        """What to propose now. `term`: of this leadership."""
        if term != self._term:
            self._term, self._seen = term, {}
        found = []
        for task, lease in table.leases.items():
            seen = self._seen.get(task)
            if seen is None or (seen.token, seen.renewed) != (lease.token, lease.renewed):
                self._seen[task] = _ObservedGrant(lease.token, lease.renewed, now, now)
                continue
            waits = lease.token or lease.heir
            if waits and now - seen.since >= self._terms.length and now >= seen.said:
                seen.said = now + self._terms.length // 4  # again, where it was lost
                found.append(ExpireLease(task, lease.token, lease.renewed))
        return found
