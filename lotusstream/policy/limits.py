"""How many threads a gateway may have at an endpoint: limits that adapt to latency, per endpoint and pool.

An endpoint is overloaded where its latency is well above the best of its pool, or where it refused as full;
then its limit binds. While enough of a pool is overloaded the limits of all bind.
"""

from __future__ import annotations

import math

from lotusstream import interface as api
from lotusstream.policy.state import Endpoint, Pool

ENOUGH = 16  # answers that tell a latency ratio
OPEN_FACTOR = 2.0  # threads a core that a limit may reach
LEAST_FACTOR = 1.0  # and may shrink to
OVERLOADED_RATIO = 2.0  # of a latency ratio over the best: overloaded
NEAR_BEST_RATIO = 1.5  # under it: a limit may grow
OVERLOADED_PART = 0.1  # of a pool's cores, overloaded, that binds all limits
RUNAWAY_RATIO = 5.0  # expected latencies after which an attempt tells no more of its endpoint


class ConcurrencyLimits:
    """`shortest`: the shortest latency target, in microseconds; limits change twofold in that time."""

    def __init__(self, shortest: int) -> None:
        self._shortest = shortest

    def begin_pool(self, pool: Pool, now: int, share: float) -> None:
        """The pool's own latency; the endpoints that have changed are gauged next, by `gauge`."""
        recent = pool.latency_ratios.latest(now, 0.0, ENOUGH / 8, ENOUGH)
        pool.baseline_ratio = max(1.0, math.exp(recent))
        pool.all_overloaded = pool.baseline_ratio > OVERLOADED_RATIO * pool.floor
        pool.limit_per_core = share * (pool.limit_factor if pool.all_overloaded else OPEN_FACTOR)

    def end_pool(self, pool: Pool, share: float) -> None:
        """The pool's sums; endpoints that are not active count by their cores."""
        pool.changed.clear()
        unknown = max(0.0, pool.cores - pool.sums.cores)
        overloaded = pool.sums.overloaded_cores + (unknown if pool.all_overloaded else 0.0)
        pool.overloaded = overloaded > OVERLOADED_PART * pool.cores
        limits = pool.sums.concurrency_limits + unknown * pool.limit_per_core
        pool.free_capacity = limits - pool.out
        pool.others = (1 / share - 1) * pool.out / max(1.0, pool.cores)  # threads a core, as known

    def gauge(self, endpoint: Endpoint, now: int, share: float, known: bool) -> None:
        """An endpoint's latency ratio and limit. Few answers of one weigh less than those of all. `known`:
        it counts among the active where it is."""
        pool, best = endpoint.pool, endpoint.pool.floor
        endpoint.gauged_at = now
        endpoint.latency_ratio = pool.baseline_ratio
        if endpoint.latency_ratios is not None:
            prior = math.log(pool.baseline_ratio)
            endpoint.latency_ratio = math.exp(endpoint.latency_ratios.latest(now, prior, ENOUGH / 4, ENOUGH))
        refused = endpoint.full_at is not None and now - endpoint.full_at < self._shortest
        full = endpoint.threads >= max(1.0, OPEN_FACTOR * endpoint.cores * share)
        endpoint.overloaded = (
            refused
            or (full and max(endpoint.latency_ratio, endpoint.stalled_ratio) > NEAR_BEST_RATIO * best)
            or max(endpoint.latency_ratio, endpoint.overdue_ratio) > OVERLOADED_RATIO * best
        )
        factor = endpoint.limit_factor if endpoint.overloaded else OPEN_FACTOR
        endpoint.concurrency_limit = endpoint.cores * share * factor
        if (
            known
            and endpoint.entry.status is api.EndpointStatus.READY
            and (endpoint.out or endpoint.overloaded)
        ):
            pool.count(endpoint)
        else:
            pool.discount(endpoint)

    def take_in_outstanding(self, endpoint: Endpoint, now: int) -> None:
        """Guards against an endpoint so crowded, or full of what stands still, that it tells nothing: what is
        out there counts at its present age."""
        baseline = endpoint.pool.baseline_ratio
        endpoint.overdue_ratio = endpoint.stalled_ratio = baseline
        if not endpoint.out:
            return
        late = [
            (min(RUNAWAY_RATIO * t.alone, now - t.started_at) / t.alone * request.profile.threads, t.stalled)
            for request, t in endpoint.out.values()
        ]
        endpoint.overdue_ratio, endpoint.stalled_ratio = (
            (sum([part for part, stalled in late if count or not stalled]) + endpoint.cores * baseline)
            / (endpoint.threads + endpoint.cores)
            for count in (False, True)
        )

    def adapt(self, limited: Endpoint | Pool, latency_ratio: float, pool: Pool, now: int) -> None:
        """The factor of an endpoint's limit, or of all endpoints of a pool of which nothing is known."""
        step = math.pow(2.0, min(1.0, (now - limited.adjusted_at) / self._shortest))
        limited.adjusted_at = now
        if latency_ratio < NEAR_BEST_RATIO * pool.best:
            limited.limit_factor = min(OPEN_FACTOR, limited.limit_factor * step)
        elif latency_ratio > OVERLOADED_RATIO * pool.best:
            limited.limit_factor = max(LEAST_FACTOR, limited.limit_factor / step)


def fits(threads: int, endpoint: Endpoint) -> bool:
    """Whether so many threads may be added. An endpoint that is not overloaded yet is bounded too while
    others are: guards against all that they can't take being poured on it at once."""
    pool, limit = endpoint.pool, endpoint.concurrency_limit
    if not (endpoint.overloaded or pool.overloaded) or endpoint.threads + threads <= limit:
        return True
    thin = limit < threads  # than one request: one while none runs, and all limits are one pool
    if thin and not pool.out:
        return True
    if threads == 1 or pool.free_capacity < 1:
        return thin and not endpoint.threads and pool.free_capacity >= 1
    # guards wide requests against small ones that take each thread as it falls free
    alike = sum(
        request.profile.threads
        for near in (pool.active if thin else [endpoint])
        for request, _ in near.out.values()
        if request.profile.threads >= threads
    )
    return alike + threads <= max(pool.free_capacity + pool.out if thin else limit, threads)
