"""Lease expiry on the quorum's leader: measures each grant's age and finds the expired leases."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream.leases.table import ExpireLease, LeaseTable


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """How long a lease lasts, and how long before its end the holder stops acting under it."""

    duration_us: int  # time from a grant or renewal until the lease expires
    safety_margin_us: int  # how long before the expiry the holder stops acting, by its own clock
    max_clock_drift_ratio: float  # largest clock error divided by the elapsed time; 0.05 is 5 % fast or slow

    def min_safety_margin_us(self) -> int:
        """Return the smallest safe margin in microseconds, for a slow clock at the holder and a fast one
        at the leader.

        In real time, the holder stops after at most (duration - margin) / (1 - drift), and the leader expires
        the lease after at least duration / (1 + drift).
        """
        drift = self.max_clock_drift_ratio
        return int(self.duration_us * 2 * drift / (1 + drift)) + 1


@dataclass(slots=True)
class _ObservedGrant:
    """A grant or renewal that this leader has seen. Times in microseconds."""

    token: int  # fencing token of the lease; 0 while the lease is free
    renewal_count: int  # `Lease.renewal_count` after this grant or renewal
    observed_at: int  # when this leader first saw the grant or renewal
    next_proposal_at: int  # earliest time of the next ExpireLease proposal, since the last one can be lost


class LeaseExpiryTracker:
    """Measures the age of each grant from the time at which this leader first sees it.

    A new leader measures every lease as if it had just been granted. A lease may therefore last longer than
    its duration, but it never expires early.
    """

    def __init__(self, timing: LeaseTiming) -> None:
        self._timing = timing
        self._observed: dict[str, _ObservedGrant] = {}  # by task: newest grant or renewal
        self._term = -1  # term in which `_observed` was recorded; -1 before the first term

    def remaining_us(self, now: int, task: str) -> int:
        """Return the time until the task's lease expires if it is not renewed; 0 if that is not known."""
        grant = self._observed.get(task)
        if grant is None:
            return 0
        return max(0, grant.observed_at + self._timing.duration_us - now)

    def expired_leases(self, now: int, term: int, table: LeaseTable) -> list[ExpireLease]:
        """Record new grants and renewals, and return the operations that expire leases whose time is over.

        :param term: current term, in which this node is the leader and is to propose these operations
        """
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
