"""The notice board's events: changes of the list of engines."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

from lotusstream import interface as api
from lotusstream.deployment import Deployment

STATES = {
    "ready": api.EndpointStatus.READY,
    "draining": api.EndpointStatus.DRAINING,
    "gone": api.EndpointStatus.REMOVED,
}
UNKNOWN_KIND = 2**16 - 1


class DiscoveryFormatError(Exception):
    """Not the form of the notice board."""


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    engine: api.EndpointEntry
    endpoint: tuple[str, int] | None


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    rev: int
    whole: bool
    listed: tuple[ListedEndpoint, ...]
    unreadable: int


@dataclass(frozen=True, slots=True)
class Notices:
    rev: int
    notices: tuple[EndpointListUpdate, ...]


def folded(events: Sequence[EndpointListUpdate]) -> EndpointListUpdate:
    """Events that came together as one with the same end: the last whole list, and the latest word on each
    engine. Guards engines that a later event of the same answer still lists against being dropped in between,
    with their connections and with what was learnt of them. `events` are in their order, at least one."""
    begins = max((at for at, event in enumerate(events) if event.whole), default=0)
    latest = {listed.engine.id: listed for event in events[begins:] for listed in event.listed}
    unreadable = sum(event.unreadable for event in events)
    return EndpointListUpdate(events[-1].rev, events[begins].whole, tuple(latest.values()), unreadable)


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
    state = STATES.get(str(raw.get("state")), api.EndpointStatus.DRAINING)
    if endpoint is None and state is api.EndpointStatus.READY:
        state = api.EndpointStatus.DRAINING
    zone, kind = raw.get("az"), raw.get("model")
    engine = api.EndpointEntry(
        id=uid.encode(),
        status=state,
        zone=deployment.zones.index(zone) if zone in deployment.zones else -1,
        cell=cell if isinstance(cell, int) else -1,
        kind=deployment.kinds.index(kind) if kind in deployment.kinds else UNKNOWN_KIND,
        started_at=int(boot * 1000) if isinstance(boot, int | float) and 0 < boot < 2**50 else 0,
    )
    return ListedEndpoint(engine, endpoint)


def read_notices(raw: Any, deployment: Deployment) -> Notices:
    try:
        rev, found = raw["rev"], []
        for item in raw["notices"]:
            pool = item.get("pool") or {}
            entries = [_entry(entry, deployment) for entry in pool.get("targets") or ()]
            listed = tuple(entry for entry in entries if entry is not None)
            found.append(
                EndpointListUpdate(item["rev"], bool(pool.get("all")), listed, len(entries) - len(listed))
            )
        if not isinstance(rev, int) or not all(isinstance(notice.rev, int) for notice in found):
            raise DiscoveryFormatError("a number is not one")
    except (KeyError, TypeError, AttributeError) as error:
        raise DiscoveryFormatError(repr(error)) from error
    return Notices(rev, tuple(found))


def parse_notices(body: bytes, deployment: Deployment) -> Notices:
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise DiscoveryFormatError(repr(error)) from error
    return read_notices(raw, deployment)
