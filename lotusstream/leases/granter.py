"""The leader's side: counts the time of every grant and says in the log when one has run out. No clock."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream.leases.table import ExpireLease, LeaseTable


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Times in microseconds. A holder stops `margin` before the end by its own clock. `drift`: by how
    much, as a share, any clock runs fast or slow at most."""

    duration_us: int
    safety_margin_us: int
    max_clock_drift_ratio: float

    def min_safety_margin_us(self) -> int:
        """So that a slow holder's clock stops before a fast granter's runs out: real time is at most
        (length - margin) / (1 - drift) here and at least length / (1 + drift) there."""
        return int(self.duration_us * 2 * self.max_clock_drift_ratio / (1 + self.max_clock_drift_ratio)) + 1


@dataclass(slots=True)
class _ObservedGrant:
    token: int
    renewal_count: int
    observed_at: int
    next_proposal_at: int = 0


class LeaseExpiryTracker:
    """Of whoever leads now; another begins with every lease as if just granted, which is never too early."""

    def __init__(self, terms: LeaseTiming) -> None:
        self._timing, self._observed = terms, dict[str, _ObservedGrant]()
        self._term = -1

    def remaining_us(self, now: int, task: str) -> int:
        """Until a grant runs out, if no renewal comes; 0 where that is not known."""
        seen = self._observed.get(task)
        return max(0, seen.observed_at + self._timing.duration_us - now) if seen is not None else 0

    def expired_leases(self, now: int, term: int, table: LeaseTable) -> list[ExpireLease]:
        """What to propose now. `term`: of this leadership."""
        if term != self._term:
            self._term, self._observed = term, {}
        found = []
        for task, lease in table.leases.items():
            seen = self._observed.get(task)
            if seen is None or (seen.token, seen.renewal_count) != (lease.token, lease.renewal_count):
                self._observed[task] = _ObservedGrant(lease.token, lease.renewal_count, now, now)
                continue
            waits = lease.token or lease.successor
            if waits and now - seen.observed_at >= self._timing.duration_us and now >= seen.next_proposal_at:
                seen.next_proposal_at = now + self._timing.duration_us // 4  # again, where it was lost
                found.append(ExpireLease(task, lease.token, lease.renewal_count))
        return found
