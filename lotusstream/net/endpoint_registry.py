"""The listed endpoints, and the actors of those that are in use.

An actor is made at the first attempt at its endpoint and ends once it has long been idle: what a gateway
holds follows from its traffic and not from the length of the list. Whole lists are applied by what differs.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from lotusstream import interface as api
from lotusstream.net.connection import Address
from lotusstream.net.endpoint import EndpointActor, ListingChanged
from lotusstream.protocol.discovery import EndpointListUpdate, ListedEndpoint

TIDIED_AT_ONCE = 8  # actors looked at in one go


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

    def differing(self, notice: EndpointListUpdate) -> list[ListedEndpoint]:
        """What a list says anew, withdrawn endpoints first. An endpoint that a whole list leaves out is
        gone."""
        changed = {each.engine.id: each for each in notice.listed if self.listed.get(each.engine.id) != each}
        if notice.whole:
            named = {each.engine.id for each in notice.listed}
            for engine, before in self.listed.items():
                if engine not in named:
                    changed[engine] = replace(before, engine=_gone(before.engine))
        return sorted(changed.values(), key=lambda each: each.engine.status is api.EndpointStatus.READY)

    def apply(self, listed: Iterable[ListedEndpoint]) -> None:
        for each in listed:
            self._apply(each)

    def _apply(self, listed: ListedEndpoint) -> None:
        engine, entry = listed.engine.id, listed.engine
        before = self.listed.get(engine)
        if entry.status is api.EndpointStatus.REMOVED:
            self.listed.pop(engine, None)
        else:
            self.listed[engine] = listed
        actor = self._actors.get(engine)
        if actor is None:
            return
        moved = listed.endpoint is not None and listed.endpoint != actor.endpoint
        restarted = moved or (before is not None and before.engine.started_at != entry.started_at)
        actor.post(ListingChanged(entry.status is api.EndpointStatus.READY and not moved, restarted))
        if moved or entry.status is api.EndpointStatus.REMOVED:
            self._retired[self._actors.pop(engine)] = None

    def actor(self, engine: api.EndpointId) -> EndpointActor | None:
        """For an attempt that is to begin; None where the endpoint is not listed or has no address."""
        listed = self.listed.get(engine)
        actor = self._actors.pop(engine, None)
        if actor is None:
            if listed is None or listed.endpoint is None:
                return None
            actor = self._make(engine, listed.endpoint)
            actor.ready = listed.engine.status is api.EndpointStatus.READY
            actor.start()
        self._actors[engine] = actor
        return actor

    def addresses(self) -> dict[api.EndpointId, str]:
        return {
            engine: f"{listed.endpoint[0]}:{listed.endpoint[1]}"
            for engine, listed in self.listed.items()
            if listed.endpoint is not None
        }

    def tidy(self, now: int) -> None:
        """Ends actors that are idle, or whose endpoint is gone, a few at a time."""
        for actor in [actor for actor in self._retired if not actor.attempts_out]:
            del self._retired[actor]
            actor.close()
        for _ in range(min(TIDIED_AT_ONCE, len(self._actors))):
            engine, actor = next(iter(self._actors.items()))
            if now - actor.used_at < self._idle_timeout:
                return
            del self._actors[engine]
            if actor.attempts_out:
                self._actors[engine] = actor
            else:
                actor.close()


def _gone(entry: api.EndpointEntry) -> api.EndpointEntry:
    return replace(entry, status=api.EndpointStatus.REMOVED)
