"""Concurrency limits: how many threads a gateway may occupy at an endpoint, adapted to latency.

An endpoint is overloaded if its latency is well above the best latency of its pool, or if it recently
rejected an attempt as full. A pool is overloaded while its overloaded endpoints have more than
OVERLOADED_CORES_RATIO of its cores. An endpoint's limit is enforced only while the endpoint or its pool is
overloaded. A limit factor is the number of threads per core that all gateways together may occupy.
"""

from __future__ import annotations

import math

from lotusstream import interface as api
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.endpoint_states import EndpointStates
from lotusstream.policy.pools import MAX_LIMIT_FACTOR
from lotusstream.policy.state import Endpoint, Pool

MIN_RELIABLE_ANSWERS = 16  # number of answers that make a latency ratio reliable
# An endpoint's latency ratio starts from its pool's ratio, which counts as this many answers.
ENDPOINT_PRIOR_WEIGHT = MIN_RELIABLE_ANSWERS / 4
# A pool's latency ratio starts from 1, which counts as this many answers.
POOL_PRIOR_WEIGHT = MIN_RELIABLE_ANSWERS / 8
MIN_LIMIT_FACTOR = 1.0  # lowest limit factor: threads per core that all gateways together may occupy
# An endpoint or pool is overloaded if its latency ratio is above this multiple of the best latency ratio.
OVERLOADED_RATIO = 2.0
# A limit may grow while the latency ratio is below this multiple of the best latency ratio.
NEAR_BEST_RATIO = 1.5
# A pool is overloaded if its overloaded endpoints have more than this fraction of its cores.
OVERLOADED_CORES_RATIO = 0.1
# An attempt that takes longer than this multiple of its ideal or usual latency is a runaway. Its age beyond
# that says nothing about its endpoint.
RUNAWAY_RATIO = 5.0


class ConcurrencyLimits:
    """Computes limits, and adapts each by at most a factor of 2 in the shortest latency objective."""

    def __init__(self, context: DecisionContext, states: EndpointStates) -> None:
        self._context = context
        self._states = states

    def compute_pool(self, pool: Pool) -> None:
        """Computes the pool's latency ratio, the limits of its changed endpoints, and the pool's totals."""
        self._compute_baseline(pool)
        for endpoint in pool.changed:
            self.compute(endpoint)
        self._compute_sums(pool)

    def _compute_baseline(self, pool: Pool) -> None:
        recent = pool.latency_ratios.recent_mean(
            self._context.now, 0.0, POOL_PRIOR_WEIGHT, MIN_RELIABLE_ANSWERS
        )
        pool.baseline_ratio = max(1.0, math.exp(recent))
        pool.latency_overloaded = pool.baseline_ratio > OVERLOADED_RATIO * pool.reference_ratio
        factor = pool.limit_factor if pool.latency_overloaded else MAX_LIMIT_FACTOR
        pool.limit_per_core = self._context.share * factor

    def _compute_sums(self, pool: Pool) -> None:
        """Computes the pool's totals and clears `changed`. Inactive endpoints are counted by their cores."""
        pool.changed.clear()
        inactive_cores = max(0.0, pool.cores - pool.sums.cores)
        overloaded_cores = pool.sums.overloaded_cores + (inactive_cores if pool.latency_overloaded else 0.0)
        pool.overloaded = overloaded_cores > OVERLOADED_CORES_RATIO * pool.cores
        limits = pool.sums.concurrency_limits + inactive_cores * pool.limit_per_core
        pool.free_capacity = limits - pool.threads
        pool.peer_threads_per_core = (1 / self._context.share - 1) * pool.threads / max(1.0, pool.cores)

    def compute(self, endpoint: Endpoint) -> None:
        """Computes an endpoint's latency ratio and limit, and whether it counts as active.

        While the endpoint has given few answers, its latency ratio stays close to that of its pool.
        """
        now = self._context.now
        pool = endpoint.pool
        reference = pool.reference_ratio
        endpoint.limit_computed_at = now
        endpoint.latency_ratio = pool.baseline_ratio
        if endpoint.latency_ratios is not None:
            prior = math.log(pool.baseline_ratio)
            recent = endpoint.latency_ratios.recent_mean(
                now, prior, ENDPOINT_PRIOR_WEIGHT, MIN_RELIABLE_ANSWERS
            )
            endpoint.latency_ratio = math.exp(recent)
        rejected = (
            endpoint.rejected_at is not None and now - endpoint.rejected_at < self._context.shortest_objective
        )
        share = self._context.share
        is_at_max_limit = endpoint.threads >= max(1.0, MAX_LIMIT_FACTOR * endpoint.cores * share)
        endpoint.overloaded = (
            rejected
            or (
                is_at_max_limit
                and max(endpoint.latency_ratio, endpoint.stalled_ratio) > NEAR_BEST_RATIO * reference
            )
            or max(endpoint.latency_ratio, endpoint.overdue_ratio) > OVERLOADED_RATIO * reference
        )
        factor = endpoint.limit_factor if endpoint.overloaded else MAX_LIMIT_FACTOR
        endpoint.concurrency_limit = endpoint.cores * share * factor
        if (
            self._states.is_retained(endpoint)
            and endpoint.entry.status is api.EndpointStatus.READY
            and (endpoint.running or endpoint.overloaded)
        ):
            pool.set_active(endpoint)
        else:
            pool.set_inactive(endpoint)

    def adapt_endpoint(self, endpoint: Endpoint) -> None:
        """Adapts an endpoint's limit factor to its latency ratio."""
        self._adapt(endpoint, endpoint.latency_ratio, endpoint.pool)

    def adapt_pool(self, pool: Pool) -> None:
        """Adapts a pool's limit factor, which applies to its inactive endpoints."""
        self._adapt(pool, pool.baseline_ratio, pool)

    def _adapt(self, limited: Endpoint | Pool, latency_ratio: float, pool: Pool) -> None:
        now = self._context.now
        step = math.pow(2.0, min(1.0, (now - limited.limit_adjusted_at) / self._context.shortest_objective))
        limited.limit_adjusted_at = now
        if latency_ratio < NEAR_BEST_RATIO * pool.best_ratio:
            limited.limit_factor = min(MAX_LIMIT_FACTOR, limited.limit_factor * step)
        elif latency_ratio > OVERLOADED_RATIO * pool.best_ratio:
            limited.limit_factor = max(MIN_LIMIT_FACTOR, limited.limit_factor / step)

    def include_running_attempts(self, endpoint: Endpoint) -> None:
        """Computes an endpoint's latency ratios from the present ages of its running attempts.

        If an endpoint is so crowded, or has so many stalled attempts, that no attempt ends, no latency is
        learnt from answers. Without these ratios the endpoint would count as idle.
        """
        baseline = endpoint.pool.baseline_ratio
        endpoint.overdue_ratio = baseline
        endpoint.stalled_ratio = baseline
        if not endpoint.running:
            return
        now = self._context.now
        weighted_ratios: list[float] = []  # by running attempt: latency ratio multiplied by threads
        unstalled_ratios: list[float] = []  # the same, without stalled attempts
        for running in endpoint.running.values():
            attempt = running.attempt
            age = min(RUNAWAY_RATIO * attempt.ideal_latency, now - attempt.started_at)
            weighted_ratio = age / attempt.ideal_latency * running.request.profile.threads
            weighted_ratios.append(weighted_ratio)
            if not attempt.stalled:
                unstalled_ratios.append(weighted_ratio)
        prior = endpoint.cores * baseline
        weight = endpoint.threads + endpoint.cores
        endpoint.overdue_ratio = (sum(unstalled_ratios) + prior) / weight
        endpoint.stalled_ratio = (sum(weighted_ratios) + prior) / weight


def has_capacity(threads: int, endpoint: Endpoint) -> bool:
    """Returns whether an attempt with this many threads may start at an endpoint.

    While the pool is overloaded, the limit also applies to endpoints that are not overloaded themselves.
    Otherwise all the work that the overloaded endpoints cannot take would be sent to these at once.
    """
    pool = endpoint.pool
    limit = endpoint.concurrency_limit
    if not (endpoint.overloaded or pool.overloaded) or endpoint.threads + threads <= limit:
        return True
    # If the limit is below the threads of one attempt, the limits of the pool's endpoints are combined. A
    # one-thread attempt may then start at an endpoint without attempts while the pool has free capacity.
    below_one_attempt = limit < threads
    if below_one_attempt and not pool.threads:
        return True
    if threads == 1 or pool.free_capacity < 1:
        return below_one_attempt and not endpoint.threads and pool.free_capacity >= 1
    # Only attempts with at least as many threads count here. Otherwise requests with fewer threads would take
    # each thread as it becomes free, and requests with more threads would starve.
    neighbours = pool.active if below_one_attempt else [endpoint]
    wide_threads = sum(
        running.request.profile.threads
        for neighbour in neighbours
        for running in neighbour.running.values()
        if running.request.profile.threads >= threads
    )
    return wide_threads + threads <= max(
        pool.free_capacity + pool.threads if below_one_attempt else limit, threads
    )
