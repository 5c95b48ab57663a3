"""The listed endpoints, and the actors of those that are in use.

An actor is created for the first attempt at its endpoint and ended once it was idle for the idle timeout, so
the number of actors depends on the traffic and not on the length of the list. When a snapshot
of the list arrives, only its differences from the current list are applied.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lotusstream import interface as api
from lotusstream.net.address_owners import AddressOwners, removed
from lotusstream.net.connection import Address
from lotusstream.net.endpoint import EndpointActor, EndpointListingChanged
from lotusstream.protocol.discovery import EndpointListUpdate, ListedEndpoint, is_ready

MAX_CLOSED_PER_EVALUATION = 8  # most idle actors that one periodic evaluation may end

MakeActor = Callable[[api.EndpointId, Address], EndpointActor]


class EndpointRegistry:
    """Holds the endpoint list, and at most one actor for each endpoint on it."""

    def __init__(self, make_actor: MakeActor, idle_timeout: int) -> None:
        """`make_actor`: creates the actor of an endpoint at an address. `idle_timeout`: microseconds without
        an attempt after which an actor is ended."""
        self.listed: dict[api.EndpointId, ListedEndpoint] = {}
        self._address_owners = AddressOwners(self.listed)
        self._make_actor = make_actor
        self._idle_timeout = idle_timeout
        self._actors: dict[api.EndpointId, EndpointActor] = {}  # least recently used first
        # Actors of endpoints that were removed or listed at a new address, until their last attempt ends.
        self._retired: dict[EndpointActor, None] = {}

    def __len__(self) -> int:
        return len(self.listed)

    def changed_entries(self, update: EndpointListUpdate) -> list[ListedEndpoint]:
        """Returns the entries that an update changes, endpoints that are not ready first. An endpoint that is
        missing from a snapshot, or whose address another one has taken over, counts as removed."""
        changed: dict[api.EndpointId, ListedEndpoint] = {}
        for listed in update.endpoints:
            is_changed = self.listed.get(listed.entry.id) != listed
            if is_changed and not self._address_owners.is_superseded(listed):
                changed[listed.entry.id] = listed
        if update.is_snapshot:
            included = {listed.entry.id for listed in update.endpoints}
            for endpoint_id, before in self.listed.items():
                if endpoint_id not in included:
                    changed[endpoint_id] = removed(before)
        self._address_owners.resolve(changed)
        return sorted(changed.values(), key=is_ready)

    def apply(self, changed: Iterable[ListedEndpoint]) -> None:
        """Applies changed entries to the list and notifies the actors of their endpoints."""
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
        if listed.address is not None and not is_removed:
            self._end_other_processes(listed.entry.id, listed.address, before)
        actor = self._actors.get(entry.id)
        if actor is None:
            return
        has_moved = listed.address is not None and listed.address != actor.address
        has_new_process = before is not None and before.entry.started_at != entry.started_at
        actor.post(
            EndpointListingChanged(
                is_ready=is_ready(listed) and not has_moved,
                restarted=has_moved or has_new_process,
                process_ended=has_new_process and not has_moved,
            )
        )
        if has_moved or is_removed:
            del self._actors[entry.id]
            self._retired[actor] = None

    def _end_other_processes(
        self, endpoint_id: api.EndpointId, address: Address, before: ListedEndpoint | None
    ) -> None:
        """Notifies the actors of other endpoints that their process has ended, if this one is new at their
        address. Their attempts may not run to their end there: the new process knows nothing of them."""
        if before is not None and before.address == address:
            return
        for actor in (*self._actors.values(), *self._retired):
            if actor.address == address and actor.endpoint_id != endpoint_id:
                actor.post(EndpointListingChanged(is_ready=False, restarted=True, process_ended=True))

    def actor(self, endpoint_id: api.EndpointId) -> EndpointActor | None:
        """Returns the actor for a new attempt, creating it if needed. None: the endpoint has no actor yet,
        and it is not listed or has no address."""
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
        """Returns `host:port` of each endpoint that has an address."""
        return {
            endpoint_id: f"{listed.address[0]}:{listed.address[1]}"
            for endpoint_id, listed in self.listed.items()
            if listed.address is not None
        }

    def close_idle_actors(self, now: int) -> None:
        """Periodic evaluation: ends retired actors that are unused, and up to
        MAX_CLOSED_PER_EVALUATION actors that were idle for the idle timeout. `now`: in microseconds."""
        for actor in [actor for actor in self._retired if actor.is_unused]:
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
