"""Retains the states of the endpoints that this gateway uses, and drops those that are not needed."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.policy.catalog import Catalog, EntryChange, removed
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.pools import Pools
from lotusstream.policy.slow_start import SlowStart
from lotusstream.policy.state import Endpoint

RETRY_CREDIT_INITIAL = 2.0  # retries that a new endpoint may be sent before its first answer
RETAINED_ENDPOINT_COUNT = 128  # endpoint states that are kept even if the endpoints are idle
# Beyond RETAINED_ENDPOINT_COUNT, a state is dropped once its endpoint has been idle for this many times the
# shortest latency objective.
IDLE_OBJECTIVES = 8
FAILED_IDLE_OBJECTIVES = 64  # as IDLE_OBJECTIVES, for an endpoint that has failed or is in slow start
EVICTIONS_PER_ATTEMPT = 2  # states checked for eviction whenever an attempt starts


class EndpointStates:
    """The states of the endpoints at which this gateway has started attempts.

    `retained` is ordered by the start of the last attempt, least recent first. Its size depends on the
    traffic, not on the length of the list. For any other endpoint only its list entry is known.
    """

    def __init__(
        self, context: DecisionContext, catalog: Catalog, pools: Pools, slow_start: SlowStart
    ) -> None:
        self._context = context
        self._catalog = catalog
        self._pools = pools
        self._slow_start = slow_start
        self.retained: dict[api.EndpointId, Endpoint] = {}
        # by table group: the endpoints that recently ran requests of this group
        self._warm_by_group: dict[int, dict[api.EndpointId, None]] = {}

    def get(self, endpoint_id: api.EndpointId) -> Endpoint:
        """Returns the retained state of a listed endpoint, or else a new state that is not retained."""
        return self.retained.get(endpoint_id) or self._new_state(self._catalog.entries[endpoint_id])

    def is_retained(self, endpoint: Endpoint) -> bool:
        """Returns whether this is the retained state of its endpoint. A restart replaces that state."""
        return self.retained.get(endpoint.entry.id) is endpoint

    def all_known(self) -> list[Endpoint]:
        """Returns the states of all listed endpoints, then of removed endpoints that still run attempts."""
        listed = [self.get(endpoint_id) for endpoint_id in self._catalog.entries]
        removed_status = api.EndpointStatus.REMOVED
        return listed + [state for state in self.retained.values() if state.entry.status is removed_status]

    def warm_endpoints(self, group: int) -> list[api.EndpointId]:
        """Returns the endpoints that ran requests of the table group recently and thus have it cached."""
        return list(self._warm_by_group.get(group, ()))

    def _new_state(self, entry: api.EndpointEntry) -> Endpoint:
        """Creates the state of an endpoint.

        The offset of the slow start windows is a hash of the endpoint's id, not a random draw. A state may be
        created many times, and each random draw would change the decisions after it.
        """
        pool = self._pools.of_endpoint(entry.id)
        cores = self._context.cores(entry.kind)
        endpoint = Endpoint(entry, pool, cores, self._pools.latency_span, RETRY_CREDIT_INITIAL)
        self._slow_start.begin_as_listed(endpoint)
        return endpoint

    def retain(self, endpoint: Endpoint) -> None:
        """Retains the state of an endpoint at which an attempt starts, and drops a few long-idle states."""
        endpoint_id = endpoint.entry.id
        if self.retained.pop(endpoint_id, None) is None:
            endpoint.limit_adjusted_at = self._context.now
        self.retained[endpoint_id] = endpoint
        for _ in range(EVICTIONS_PER_ATTEMPT):
            if len(self.retained) <= RETAINED_ENDPOINT_COUNT:
                return
            oldest = next(iter(self.retained.values()))
            if oldest.running or not self._is_idle(oldest):
                # moved to the end, so that the other states are checked first
                self.retained[oldest.entry.id] = self.retained.pop(oldest.entry.id)
            else:
                self._drop(oldest)

    def _is_idle(self, endpoint: Endpoint) -> bool:
        failed = (
            endpoint.consecutive_failures
            or endpoint.ejected_until is not None
            or self._slow_start.is_active(endpoint)
        )
        objectives = FAILED_IDLE_OBJECTIVES if failed else IDLE_OBJECTIVES
        return self._context.now - endpoint.last_attempt_at > objectives * self._context.shortest_objective

    def set_warm(self, endpoint: Endpoint, group: int, max_groups: int) -> None:
        """Records that an endpoint, which caches at most `max_groups` groups, runs a group's request."""
        evicted = endpoint.mark_group_warm(group, self._context.now, max_groups)
        if evicted is not None:
            self._set_cold(endpoint, evicted)
        self._warm_by_group.setdefault(group, {})[endpoint.entry.id] = None

    def _set_cold(self, endpoint: Endpoint, group: int) -> None:
        warm = self._warm_by_group.get(group, {})
        warm.pop(endpoint.entry.id, None)
        if not warm:
            self._warm_by_group.pop(group, None)

    def on_entry_changed(self, change: EntryChange) -> None:
        """Applies an endpoint's list change to its retained state. A restarted endpoint gets a new state."""
        endpoint = self.retained.get(change.id)
        if endpoint is None:
            return
        if change.after is None:
            endpoint.entry = removed(endpoint.entry)
        elif endpoint.entry.started_at != change.after.started_at:
            endpoint = self._replace_restarted(endpoint, change.after)
        else:
            endpoint.entry = change.after
        if not change.is_ready:
            endpoint.pool.set_inactive(endpoint)
        if change.after is None:
            self.drop_if_removed(endpoint)

    def _replace_restarted(self, endpoint: Endpoint, entry: api.EndpointEntry) -> Endpoint:
        """Replaces the state. Attempts from before the restart move to the new state until they end."""
        pool = self._pools.of_endpoint(entry.id)
        restarted = self._new_state(entry)
        self.retained[entry.id] = restarted
        restarted.running = endpoint.running
        restarted.threads = endpoint.threads
        pool.set_inactive(endpoint)
        pool.changed.pop(endpoint, None)
        for group in endpoint.warm_groups:
            self._set_cold(endpoint, group)
        pool.changed[restarted] = None
        return restarted

    def drop_if_removed(self, endpoint: Endpoint) -> None:
        """Drops the state of a removed endpoint once all of its attempts have an outcome.

        Requests with the same key wait for these outcomes, so an earlier drop would break their order.
        """
        if endpoint.entry.status is api.EndpointStatus.REMOVED and not endpoint.running:
            self._drop(endpoint)

    def _drop(self, endpoint: Endpoint) -> None:
        endpoint.pool.set_inactive(endpoint)
        endpoint.pool.changed.pop(endpoint, None)
        self.retained.pop(endpoint.entry.id, None)
        for group in endpoint.warm_groups:
            self._set_cold(endpoint, group)

    def recount_pools(self) -> None:
        """Moves every state to the pool of its endpoint and recomputes the totals of all pools.

        Called after a change of cells.
        """
        for pool in self._pools.by_id.values():
            pool.cores = 0.0
            pool.threads = 0
            for endpoint in list(pool.active):
                pool.set_inactive(endpoint)
            pool.changed.clear()
        for entry in self._catalog.entries.values():
            if entry.status is api.EndpointStatus.READY:
                self._pools.of_endpoint(entry.id).cores += self._context.cores(entry.kind)
        for endpoint in self.retained.values():
            endpoint.pool = self._pools.of_endpoint(endpoint.entry.id)
            endpoint.pool.threads += endpoint.threads
            endpoint.pool.changed[endpoint] = None
