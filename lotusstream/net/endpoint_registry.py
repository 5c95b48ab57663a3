"""The listed endpoints, and the actors of those that are in use.

An actor is made at the first attempt at its endpoint and ends once it has been idle for the idle time-out:
what a gateway holds follows from its traffic and not from the length of the list. A snapshot of the list is
applied by what it changes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from lotusstream import interface as api
from lotusstream.net.connection import Address
from lotusstream.net.endpoint import EndpointActor, EndpointListingChanged
from lotusstream.protocol.discovery import EndpointListUpdate, ListedEndpoint, is_ready

MAX_CLOSED_PER_EVALUATION = 8  # actors that one periodic evaluation looks at

MakeActor = Callable[[api.EndpointId, Address], EndpointActor]


class EndpointRegistry:
    """Holds the endpoint list, and at most one actor for each endpoint on it."""

    def __init__(self, make_actor: MakeActor, idle_timeout: int) -> None:
        """`make_actor`: for an endpoint at its address. `idle_timeout`: after which an actor ends,
        microseconds."""
        self.listed: dict[api.EndpointId, ListedEndpoint] = {}
        self._make_actor = make_actor
        self._idle_timeout = idle_timeout
        self._actors: dict[api.EndpointId, EndpointActor] = {}  # least recently used first
        self._retired: dict[EndpointActor, None] = {}  # of endpoints that were removed or have moved

    def __len__(self) -> int:
        return len(self.listed)

    def changed_entries(self, update: EndpointListUpdate) -> list[ListedEndpoint]:
        """What an update changes, endpoints that are not ready first. An endpoint that a snapshot leaves out
        is removed."""
        changed: dict[api.EndpointId, ListedEndpoint] = {}
        for listed in update.endpoints:
            if self.listed.get(listed.entry.id) != listed:
                changed[listed.entry.id] = listed
        if update.is_snapshot:
            included = {listed.entry.id for listed in update.endpoints}
            for endpoint_id, before in self.listed.items():
                if endpoint_id not in included:
                    changed[endpoint_id] = replace(before, entry=_removed(before.entry))
        return sorted(changed.values(), key=is_ready)

    def apply(self, changed: Iterable[ListedEndpoint]) -> None:
        """Takes over changed entries, and notifies the actors of their endpoints."""
        for listed in changed:
            self._apply(listed)

    def _apply(self, listed: ListedEndpoint) -> None:
        entry = listed.entry
        before = self.listed.get(entry.id)
        is_removed = entry.status is api.EndpointStatus.REMOVED
        if is_removed:
            self.listed.pop(entry.id, None)
        else:
            self.listed[entry.id] = listed
        actor = self._actors.get(entry.id)
        if actor is None:
            return
        has_moved = listed.address is not None and listed.address != actor.address
        restarted = has_moved or (before is not None and before.entry.started_at != entry.started_at)
        actor.post(EndpointListingChanged(is_ready=is_ready(listed) and not has_moved, restarted=restarted))
        if has_moved or is_removed:
            del self._actors[entry.id]
            self._retired[actor] = None

    def actor(self, endpoint_id: api.EndpointId) -> EndpointActor | None:
        """For an attempt that is to begin; None where the endpoint is not listed or has no address."""
        listed = self.listed.get(endpoint_id)
        actor = self._actors.pop(endpoint_id, None)
        if actor is None:
            if listed is None or listed.address is None:
                return None
            actor = self._make_actor(endpoint_id, listed.address)
            actor.set_ready(is_ready(listed))
            actor.start()
        self._actors[endpoint_id] = actor
        return actor

    def addresses(self) -> dict[api.EndpointId, str]:
        """`host:port` of each endpoint that has an address."""
        return {
            endpoint_id: f"{listed.address[0]}:{listed.address[1]}"
            for endpoint_id, listed in self.listed.items()
            if listed.address is not None
        }

    def close_idle_actors(self, now: int) -> None:
        """Periodic evaluation: ends the actors of removed endpoints that have no attempt in flight, and some
        of those that are idle. `now`: in microseconds."""
        for actor in [actor for actor in self._retired if not actor.in_flight]:
            del self._retired[actor]
            actor.close()
        for _ in range(min(MAX_CLOSED_PER_EVALUATION, len(self._actors))):
            endpoint_id, actor = next(iter(self._actors.items()))
            if now - actor.used_at < self._idle_timeout:
                return
            del self._actors[endpoint_id]
            if actor.in_flight:
                self._actors[endpoint_id] = actor
            else:
                actor.close()


def _removed(entry: api.EndpointEntry) -> api.EndpointEntry:
    return replace(entry, status=api.EndpointStatus.REMOVED)
