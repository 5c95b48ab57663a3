"""Passes changes of the endpoint list to the decision module in slices of bounded size."""

from __future__ import annotations

from collections import deque

from lotusstream import interface as api
from lotusstream.counters import Counters
from lotusstream.net.clock import Clock
from lotusstream.net.endpoint_registry import EndpointRegistry
from lotusstream.protocol import discovery

LIST_SLICE_ENTRY_COUNT = 256  # most entries in one event to the decision module


class EndpointListFeed:
    """Queues changes of the endpoint list for the decision module; endpoints that are not ready come first.
    Each batch takes one slice, so that a long list does not delay answers and timers."""

    def __init__(self, endpoints: EndpointRegistry, clock: Clock, counters: Counters) -> None:
        self._endpoints = endpoints
        self._clock = clock
        self._counters = counters
        self._pending: deque[discovery.ListedEndpoint] = deque()  # changes not yet passed to the module

    @property
    def has_pending(self) -> bool:
        """Whether any change was not passed to the module yet."""
        return bool(self._pending)

    def apply(self, update: discovery.EndpointListUpdate) -> None:
        """Applies the update's changes to the registry and queues them. A change replaces an older pending
        change of the same endpoint."""
        began = self._clock.now()
        changed = self._endpoints.changed_entries(update)
        self._endpoints.apply(changed)
        self._counters.observe("list applied, us", self._clock.now() - began)
        latest = {each.entry.id: each for each in (*self._pending, *changed)}
        self._pending = deque(sorted(latest.values(), key=discovery.is_ready))
        self._counters.peak("listed endpoints", len(self._endpoints))
        self._counters.add("list entries changed", len(changed))

    def next_slice(self) -> api.EndpointListReceived:
        """Removes the next slice of changes from the queue and returns it as an event."""
        count = min(LIST_SLICE_ENTRY_COUNT, len(self._pending))
        entries = tuple(self._pending.popleft().entry for _ in range(count))
        return api.EndpointListReceived(api.EndpointListKind.DELTA, entries)

    def snapshot(self) -> api.EndpointListReceived:
        """Returns the complete current list as an event. Pending changes stay queued."""
        entries = tuple(listed.entry for listed in self._endpoints.listed.values())
        return api.EndpointListReceived(api.EndpointListKind.SNAPSHOT, entries)
