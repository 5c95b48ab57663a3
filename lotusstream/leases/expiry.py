"""The leader's side of lease expiry: measures the time of each grant and finds those that have run out."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream.leases.table import ExpireLease, LeaseTable


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """How long a lease lasts, and when its holder stops."""

    duration_us: int  # without a renewal
    safety_margin_us: int  # the holder stops this long before the end, by its own clock
    max_clock_drift_ratio: float  # most that any clock runs fast or slow, as a part of the time passed

    def min_safety_margin_us(self) -> int:
        """The margin with which a slow holder's clock stops before a fast leader's clock runs out.

        Real time is at most (duration - margin) / (1 - drift) at the holder and at least
        duration / (1 + drift) at the leader.
        """
        drift = self.max_clock_drift_ratio
        return int(self.duration_us * 2 * drift / (1 + drift)) + 1


@dataclass(slots=True)
class _ObservedGrant:
    """A grant, or renewal, as this leader first saw it. Times in microseconds."""

    token: int
    renewal_count: int
    observed_at: int
    next_proposal_at: int  # its end is proposed again then, should the proposal be lost


class LeaseExpiryTracker:
    """Measures each grant from when this leader first sees it.

    A new leader measures every lease as if it had just been granted: a lease may thus last longer, but
    never runs out before its time.
    """

    def __init__(self, timing: LeaseTiming) -> None:
        self._timing = timing
        self._observed: dict[str, _ObservedGrant] = {}  # by task
        self._term = -1

    def remaining_us(self, now: int, task: str) -> int:
        """Until a grant runs out without a renewal; 0 where that is not known."""
        grant = self._observed.get(task)
        if grant is None:
            return 0
        return max(0, grant.observed_at + self._timing.duration_us - now)

    def expired_leases(self, now: int, term: int, table: LeaseTable) -> list[ExpireLease]:
        """What the leader of `term` has to propose now. Observes new grants and renewals on the way."""
        if term != self._term:
            self._term = term
            self._observed = {}
        expired = []
        for task, lease in table.leases.items():
            grant = self._observed.get(task)
            is_known = grant is not None and (grant.token, grant.renewal_count) == (
                lease.token,
                lease.renewal_count,
            )
            if grant is None or not is_known:
                self._observed[task] = _ObservedGrant(lease.token, lease.renewal_count, now, now)
                continue
            can_expire = lease.token or lease.successor
            if can_expire and self._is_due(grant, now):
                grant.next_proposal_at = now + self._timing.duration_us // 4
                expired.append(ExpireLease(task, lease.token, lease.renewal_count))
        return expired

    def _is_due(self, grant: _ObservedGrant, now: int) -> bool:
        has_run_out = now - grant.observed_at >= self._timing.duration_us
        return has_run_out and now >= grant.next_proposal_at
