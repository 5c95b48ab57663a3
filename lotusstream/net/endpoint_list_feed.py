"""Passes changes of the endpoint list on to the decision module, a bounded slice at a time."""

from __future__ import annotations

from collections import deque

from lotusstream import interface as api
from lotusstream.counters import Counters
from lotusstream.net.clock import Clock
from lotusstream.net.endpoint_registry import EndpointRegistry
from lotusstream.protocol import discovery

LIST_SLICE_ENTRY_COUNT = 256  # that the module is notified of at once


class EndpointListFeed:
    """Keeps the changes that the module is not notified of yet, those to endpoints that are not ready first.
    Guards answers and timers against waiting for a long list: a batch takes one slice of the changes."""

    def __init__(self, endpoints: EndpointRegistry, clock: Clock, counters: Counters) -> None:
        self._endpoints = endpoints
        self._clock = clock
        self._counters = counters
        self._pending: deque[discovery.ListedEndpoint] = deque()  # that the module isn't notified of yet

    @property
    def has_pending(self) -> bool:
        """Whether there are changes that the module is not notified of yet."""
        return bool(self._pending)

    def apply(self, update: discovery.EndpointListUpdate) -> None:
        """Applies what has changed to the registry and adds it to the pending changes, where it replaces an
        older change of the same endpoint."""
        began = self._clock.now()
        changed = self._endpoints.changed_entries(update)
        self._endpoints.apply(changed)
        self._counters.observe("list applied, us", self._clock.now() - began)
        latest = {each.entry.id: each for each in (*self._pending, *changed)}
        self._pending = deque(sorted(latest.values(), key=discovery.is_ready))
        self._counters.peak("listed endpoints", len(self._endpoints))
        self._counters.add("list entries changed", len(changed))

    def next_slice(self) -> api.EndpointListReceived:
        """Takes off the next changes, as an event."""
        count = min(LIST_SLICE_ENTRY_COUNT, len(self._pending))
        entries = tuple(self._pending.popleft().entry for _ in range(count))
        return api.EndpointListReceived(api.EndpointListKind.DELTA, entries)

    def snapshot(self) -> api.EndpointListReceived:
        """The complete list as it is now, as an event. What is pending stays so."""
        entries = tuple(listed.entry for listed in self._endpoints.listed.values())
        return api.EndpointListReceived(api.EndpointListKind.SNAPSHOT, entries)
