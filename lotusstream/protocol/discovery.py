"""Decodes discovery's poll responses, which carry snapshots and deltas of the endpoint list."""

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
UNKNOWN_INDEX = -1  # index of a zone or cell that is missing or not in the deployment
UNKNOWN_KIND_INDEX = 2**16 - 1  # index of an endpoint kind that is missing or not in the deployment
MAX_START_MS = 2**50  # an endpoint's start time of this or more milliseconds is treated as unknown


class DiscoveryFormatError(ProtocolError):
    """A poll response does not have the expected format."""


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One endpoint on the list."""

    entry: api.EndpointEntry
    address: tuple[str, int] | None  # host and port; None: the list has no valid address for it


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """One update of the endpoint list."""

    revision: int  # revision of the list after this update
    is_snapshot: bool  # True: the update holds the complete list; False: only the entries that changed
    endpoints: tuple[ListedEndpoint, ...]
    unreadable_count: int  # number of malformed entries, which `endpoints` leaves out


@dataclass(frozen=True, slots=True)
class WatchEvents:
    """The response to a poll."""

    revision: int  # discovery's current revision of the list
    updates: tuple[EndpointListUpdate, ...]  # in the order of the response, normally by increasing revision


def is_ready(listed: ListedEndpoint) -> bool:
    """Whether new attempts may go to the endpoint. As a sort key, this function puts endpoints that are not
    ready first."""
    return listed.entry.status is api.EndpointStatus.READY


def merge_updates(updates: Sequence[EndpointListUpdate]) -> EndpointListUpdate:
    """Merges the updates of one poll response into one update with the same effect.

    Only the last snapshot and the updates after it count; without a snapshot, all updates count. The result
    has the latest entry of each endpoint, and is a snapshot if there was one. If the updates were applied one
    by one, an endpoint that one removes and a later one lists again would lose its connections and the state
    kept for it.

    :param updates: in increasing order of revision; at least one.
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
    """Parses "host:port" with an IPv4 address as host; None if it is invalid. Names are not resolved."""
    try:
        host, _, port = text.rpartition(":")
        number = int(port)
        return (str(IPv4Address(host)), number) if 0 <= number < 65536 else None
    except (AttributeError, ValueError):
        return None


def _decode_entry(raw: Any, deployment: Deployment) -> ListedEndpoint | None:
    """Decodes one entry of the list; returns None if it is malformed. An endpoint with an unknown state, or
    a ready one without a valid address, counts as draining: it gets no new attempts, and attempts in flight
    may finish."""
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
    """Returns the time of the endpoint's start in microseconds; 0 if it is unknown."""
    if isinstance(started_ms, int | float) and 0 < started_ms < MAX_START_MS:
        return int(started_ms * 1000)
    return 0


def _decode_update(raw: Any, deployment: Deployment) -> EndpointListUpdate:
    pool = raw.get("pool") or {}
    entries = [_decode_entry(entry, deployment) for entry in pool.get("targets") or ()]
    listed = tuple(entry for entry in entries if entry is not None)
    return EndpointListUpdate(raw["rev"], bool(pool.get("all")), listed, len(entries) - len(listed))


def decode_watch_events(raw: Any, deployment: Deployment) -> WatchEvents:
    """Decodes the parsed JSON of a poll response. Raises DiscoveryFormatError."""
    try:
        revision = raw["rev"]
        updates = tuple(_decode_update(item, deployment) for item in raw["notices"])
        if not isinstance(revision, int) or not all(isinstance(each.revision, int) for each in updates):
            raise DiscoveryFormatError("expected an integer in each 'rev'")
    except (KeyError, TypeError, AttributeError) as error:
        raise DiscoveryFormatError(repr(error)) from error
    return WatchEvents(revision, updates)


def parse_watch_events(body: bytes, deployment: Deployment) -> WatchEvents:
    """Parses and decodes the body of a poll response. Raises DiscoveryFormatError."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise DiscoveryFormatError(repr(error)) from error
    return decode_watch_events(raw, deployment)
