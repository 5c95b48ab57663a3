"""The notice board's events: changes of the list of engines."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

from lotusstream import interface as api
from lotusstream.deployment import Deployment

STATUS_BY_STATE = {
    "ready": api.EndpointStatus.READY,
    "draining": api.EndpointStatus.DRAINING,
    "gone": api.EndpointStatus.REMOVED,
}
UNKNOWN_KIND_INDEX = 2**16 - 1


class DiscoveryFormatError(Exception):
    """Not the form of the notice board."""


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    entry: api.EndpointEntry
    address: tuple[str, int] | None


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    revision: int
    is_snapshot: bool
    endpoints: tuple[ListedEndpoint, ...]
    unreadable_count: int


@dataclass(frozen=True, slots=True)
class WatchEvents:
    revision: int
    updates: tuple[EndpointListUpdate, ...]


def is_ready(listed: ListedEndpoint) -> bool:
    """Whether new attempts may go to the endpoint. As a sort key: endpoints that are not ready first."""
    return listed.entry.status is api.EndpointStatus.READY


def merge_updates(events: Sequence[EndpointListUpdate]) -> EndpointListUpdate:
    """Events that came together as one with the same end: the last whole list, and the latest word on each
    engine. Guards engines that a later event of the same answer still lists against being dropped in between,
    with their connections and with what was learnt of them. `events` are in their order, at least one."""
    begins = max((at for at, event in enumerate(events) if event.is_snapshot), default=0)
    latest = {listed.entry.id: listed for event in events[begins:] for listed in event.endpoints}
    unreadable = sum(event.unreadable_count for event in events)
    return EndpointListUpdate(
        events[-1].revision, events[begins].is_snapshot, tuple(latest.values()), unreadable
    )


def parse_endpoint(text: Any) -> tuple[str, int] | None:
    """An IPv4 address and a port: names are not resolved."""
    try:
        host, _, port = text.rpartition(":")
        number = int(port)
        return (str(IPv4Address(host)), number) if 0 <= number < 65536 else None
    except (AttributeError, ValueError):
        return None


def _entry(raw: Any, deployment: Deployment) -> ListedEndpoint | None:
    """An engine that can't be used is taken as draining: nothing goes there, what runs may end."""
    if not isinstance(raw, dict) or not isinstance(uid := raw.get("uid"), str) or not uid:
        return None
    endpoint, boot, cell = parse_endpoint(raw.get("endpoint")), raw.get("boot_ms"), raw.get("pod_group")
    state = STATUS_BY_STATE.get(str(raw.get("state")), api.EndpointStatus.DRAINING)
    if endpoint is None and state is api.EndpointStatus.READY:
        state = api.EndpointStatus.DRAINING
    zone, kind = raw.get("az"), raw.get("model")
    engine = api.EndpointEntry(
        id=uid.encode(),
        status=state,
        zone=deployment.zones.index(zone) if zone in deployment.zones else -1,
        cell=cell if isinstance(cell, int) else -1,
        kind=deployment.kinds.index(kind) if kind in deployment.kinds else UNKNOWN_KIND_INDEX,
        started_at=int(boot * 1000) if isinstance(boot, int | float) and 0 < boot < 2**50 else 0,
    )
    return ListedEndpoint(engine, endpoint)


def decode_watch_events(raw: Any, deployment: Deployment) -> WatchEvents:
    try:
        rev, found = raw["rev"], []
        for item in raw["notices"]:
            pool = item.get("pool") or {}
            entries = [_entry(entry, deployment) for entry in pool.get("targets") or ()]
            listed = tuple(entry for entry in entries if entry is not None)
            found.append(
                EndpointListUpdate(item["rev"], bool(pool.get("all")), listed, len(entries) - len(listed))
            )
        if not isinstance(rev, int) or not all(isinstance(notice.revision, int) for notice in found):
            raise DiscoveryFormatError("a number is not one")
    except (KeyError, TypeError, AttributeError) as error:
        raise DiscoveryFormatError(repr(error)) from error
    return WatchEvents(rev, tuple(found))


def parse_watch_events(body: bytes, deployment: Deployment) -> WatchEvents:
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise DiscoveryFormatError(repr(error)) from error
    return decode_watch_events(raw, deployment)
