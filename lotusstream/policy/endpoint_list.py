"""Applies changes of the endpoint list and of the cells."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.interface import EndpointListKind
from lotusstream.policy.affinity_sets import AffinitySets
from lotusstream.policy.catalog import Catalog, EntryChange
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.endpoint_states import EndpointStates
from lotusstream.policy.pools import Pools
from lotusstream.policy.slow_start import SlowStart


class EndpointListUpdates:
    """Passes changes of the list and of the cells to the parts that depend on them.

    The rule: no attempt starts at an endpoint that is draining or removed. Placement takes endpoints only
    from the catalog's domains, and the event that reports an endpoint as draining or removed also removes it
    from the domains.
    """

    def __init__(
        self,
        context: DecisionContext,
        catalog: Catalog,
        pools: Pools,
        states: EndpointStates,
        slow_start: SlowStart,
        affinity_sets: AffinitySets,
    ) -> None:
        self._context = context
        self._catalog = catalog
        self._pools = pools
        self._states = states
        self._slow_start = slow_start
        self._affinity_sets = affinity_sets

    def on_list_received(self, event: api.EndpointListReceived) -> None:
        """Applies a snapshot or a delta of the list; subscribes again if the subscription ended."""
        if event.kind is EndpointListKind.FAILED:
            self._context.actions.append(api.SetListSubscription(True))
            return
        first_list = not self._catalog.entries
        is_complete = event.kind is not EndpointListKind.DELTA
        for change in self._catalog.apply(event.endpoints, complete=is_complete):
            self._slow_start.on_entry_changed(change, first_list=first_list)
            self._count_cores(change)
            if not change.is_ready:
                self._affinity_sets.remove(change.id)
            self._states.on_entry_changed(change)
        self._affinity_sets.rebalance()

    def _count_cores(self, change: EntryChange) -> None:
        pool = self._pools.of_endpoint(change.id)
        if change.was_ready and change.before is not None:
            pool.cores -= self._context.cores(change.before.kind)
        if change.is_ready and change.after is not None:
            pool.cores += self._context.cores(change.after.kind)

    def on_cell_endpoints_changed(self, event: api.CellEndpointsChanged) -> None:
        """Assigns endpoints to a cell, and rebuilds all state that depends on cells and pools."""
        self._pools.assign(event)
        self._catalog.forget_domains()
        self._states.recount_pools()
        self._affinity_sets.rebalance()
