"""The listed endpoints, and the actors of those that are in use.

An actor is made at the first attempt at its endpoint and ends once it has long been idle: what a gateway
holds follows from its traffic and not from the length of the list. Whole lists are applied by what differs.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from lotusstream import interface as api
from lotusstream.net.connection import Address
from lotusstream.net.endpoint import EndpointActor, EndpointListingChanged
from lotusstream.protocol.discovery import EndpointListUpdate, ListedEndpoint

MAX_CLOSED_PER_EVALUATION = 8  # actors looked at in one go


class EndpointRegistry:
    """`make`: an actor for an endpoint at its address. `idle_timeout`: after which an actor ends,
    microseconds."""

    def __init__(self, make: Callable[[api.EndpointId, Address], EndpointActor], idle_timeout: int) -> None:
        self.listed: dict[api.EndpointId, ListedEndpoint] = {}
        self._make, self._idle_timeout = make, idle_timeout
        self._actors: dict[api.EndpointId, EndpointActor] = {}  # by their last use, the longest ago first
        self._retired: dict[EndpointActor, None] = {}  # of endpoints that are gone or have moved

    def __len__(self) -> int:
        return len(self.listed)

    def changed_entries(self, notice: EndpointListUpdate) -> list[ListedEndpoint]:
        """What a list says anew, withdrawn endpoints first. An endpoint that a whole list leaves out is
        gone."""
        changed = {each.entry.id: each for each in notice.endpoints if self.listed.get(each.entry.id) != each}
        if notice.is_snapshot:
            named = {each.entry.id for each in notice.endpoints}
            for engine, before in self.listed.items():
                if engine not in named:
                    changed[engine] = replace(before, entry=_removed(before.entry))
        return sorted(changed.values(), key=lambda each: each.entry.status is api.EndpointStatus.READY)

    def apply(self, listed: Iterable[ListedEndpoint]) -> None:
        for each in listed:
            self._apply(each)

    def _apply(self, listed: ListedEndpoint) -> None:
        engine, entry = listed.entry.id, listed.entry
        before = self.listed.get(engine)
        if entry.status is api.EndpointStatus.REMOVED:
            self.listed.pop(engine, None)
        else:
            self.listed[engine] = listed
        actor = self._actors.get(engine)
        if actor is None:
            return
        moved = listed.address is not None and listed.address != actor.address
        restarted = moved or (before is not None and before.entry.started_at != entry.started_at)
        actor.post(EndpointListingChanged(entry.status is api.EndpointStatus.READY and not moved, restarted))
        if moved or entry.status is api.EndpointStatus.REMOVED:
            self._retired[self._actors.pop(engine)] = None

    def actor(self, engine: api.EndpointId) -> EndpointActor | None:
        """For an attempt that is to begin; None where the endpoint is not listed or has no address."""
        listed = self.listed.get(engine)
        actor = self._actors.pop(engine, None)
        if actor is None:
            if listed is None or listed.address is None:
                return None
            actor = self._make(engine, listed.address)
            actor.is_ready = listed.entry.status is api.EndpointStatus.READY
            actor.start()
        self._actors[engine] = actor
        return actor

    def addresses(self) -> dict[api.EndpointId, str]:
        return {
            engine: f"{listed.address[0]}:{listed.address[1]}"
            for engine, listed in self.listed.items()
            if listed.address is not None
        }

    def close_idle_actors(self, now: int) -> None:
        """Ends actors that are idle, or whose endpoint is gone, a few at a time."""
        for actor in [actor for actor in self._retired if not actor.in_flight]:
            del self._retired[actor]
            actor.close()
        for _ in range(min(MAX_CLOSED_PER_EVALUATION, len(self._actors))):
            engine, actor = next(iter(self._actors.items()))
            if now - actor.used_at < self._idle_timeout:
                return
            del self._actors[engine]
            if actor.in_flight:
                self._actors[engine] = actor
            else:
                actor.close()


def _removed(entry: api.EndpointEntry) -> api.EndpointEntry:
    return replace(entry, status=api.EndpointStatus.REMOVED)
