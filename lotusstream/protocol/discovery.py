"""Decodes the watch events of discovery: changes of the endpoint list."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

from lotusstream import interface as api
from lotusstream.deployment import Deployment
from lotusstream.protocol.errors import ProtocolError

STATUS_BY_STATE = {
    "ready": api.EndpointStatus.READY,
    "draining": api.EndpointStatus.DRAINING,
    "gone": api.EndpointStatus.REMOVED,
}
UNKNOWN_INDEX = -1  # of a zone or a cell
UNKNOWN_KIND_INDEX = 2**16 - 1
MAX_START_MS = 2**50  # a later start is none


class DiscoveryFormatError(ProtocolError):
    """What came is no list of watch events."""


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One endpoint on the list."""

    entry: api.EndpointEntry
    address: tuple[str, int] | None  # host and port; None where it is not usable


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """One watch event."""

    revision: int
    is_snapshot: bool  # the complete list; otherwise what has changed
    endpoints: tuple[ListedEndpoint, ...]
    unreadable_count: int  # entries that were left out


@dataclass(frozen=True, slots=True)
class WatchEvents:
    """The answer to a poll."""

    revision: int  # of the list
    updates: tuple[EndpointListUpdate, ...]


def is_ready(listed: ListedEndpoint) -> bool:
    """Whether new attempts may go to the endpoint. As a sort key: endpoints that are not ready first."""
    return listed.entry.status is api.EndpointStatus.READY


def merge_updates(updates: Sequence[EndpointListUpdate]) -> EndpointListUpdate:
    """Merges updates that came together into one of the same effect: the last snapshot, and the latest entry
    of each endpoint. Guards endpoints that a later update lists again against being dropped in between, with
    their connections and with what was learnt of them.

    :param updates: in their order, at least one.
    """
    first = max((index for index, update in enumerate(updates) if update.is_snapshot), default=0)
    latest: dict[api.EndpointId, ListedEndpoint] = {}
    for update in updates[first:]:
        for listed in update.endpoints:
            latest[listed.entry.id] = listed
    unreadable_count = sum(update.unreadable_count for update in updates)
    is_snapshot = updates[first].is_snapshot
    return EndpointListUpdate(updates[-1].revision, is_snapshot, tuple(latest.values()), unreadable_count)


def parse_endpoint(text: Any) -> tuple[str, int] | None:
    """An IPv4 address and a port; None where it is neither. Names are not resolved."""
    try:
        host, _, port = text.rpartition(":")
        number = int(port)
        return (str(IPv4Address(host)), number) if 0 <= number < 65536 else None
    except (AttributeError, ValueError):
        return None


def _decode_entry(raw: Any, deployment: Deployment) -> ListedEndpoint | None:
    """None where the entry can't be read. An endpoint that can't be used counts as draining: no new attempt
    goes there, and those in flight may end."""
    if not isinstance(raw, dict):
        return None
    uid = raw.get("uid")
    if not isinstance(uid, str) or not uid:
        return None
    address = parse_endpoint(raw.get("endpoint"))
    status = STATUS_BY_STATE.get(str(raw.get("state")), api.EndpointStatus.DRAINING)
    if address is None and status is api.EndpointStatus.READY:
        status = api.EndpointStatus.DRAINING
    cell = raw.get("pod_group")
    entry = api.EndpointEntry(
        id=uid.encode(),
        status=status,
        zone=_index(deployment.zones, raw.get("az"), UNKNOWN_INDEX),
        cell=cell if isinstance(cell, int) else UNKNOWN_INDEX,
        kind=_index(deployment.kinds, raw.get("model"), UNKNOWN_KIND_INDEX),
        started_at=_decode_start(raw.get("boot_ms")),
    )
    return ListedEndpoint(entry, address)


def _index(names: tuple[str, ...], name: Any, unknown: int) -> int:
    return names.index(name) if name in names else unknown


def _decode_start(started_ms: Any) -> int:
    """The time of the start in microseconds; 0 where it is unknown."""
    if isinstance(started_ms, int | float) and 0 < started_ms < MAX_START_MS:
        return int(started_ms * 1000)
    return 0


def _decode_update(raw: Any, deployment: Deployment) -> EndpointListUpdate:
    pool = raw.get("pool") or {}
    entries = [_decode_entry(entry, deployment) for entry in pool.get("targets") or ()]
    listed = tuple(entry for entry in entries if entry is not None)
    return EndpointListUpdate(raw["rev"], bool(pool.get("all")), listed, len(entries) - len(listed))


def decode_watch_events(raw: Any, deployment: Deployment) -> WatchEvents:
    """Decodes a parsed answer to a poll. Raises DiscoveryFormatError."""
    try:
        revision = raw["rev"]
        updates = tuple(_decode_update(item, deployment) for item in raw["notices"])
        if not isinstance(revision, int) or not all(isinstance(each.revision, int) for each in updates):
            raise DiscoveryFormatError("a number is not one")
    except (KeyError, TypeError, AttributeError) as error:
        raise DiscoveryFormatError(repr(error)) from error
    return WatchEvents(revision, updates)


def parse_watch_events(body: bytes, deployment: Deployment) -> WatchEvents:
    """Parses and decodes an answer to a poll. Raises DiscoveryFormatError."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise DiscoveryFormatError(repr(error)) from error
    return decode_watch_events(raw, deployment)
