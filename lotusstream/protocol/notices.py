"""The notice board's events: changes of the list of engines."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

from lotusstream import interface as api
from lotusstream.deployment import Deployment

STATES = {"ready": api.State.READY, "draining": api.State.DRAINING, "gone": api.State.GONE}
UNKNOWN_KIND = 2**16 - 1


class UnreadableNotices(Exception):
    """Not the form of the notice board."""


@dataclass(frozen=True, slots=True)
class Listed:
    engine: api.Engine
    endpoint: tuple[str, int] | None


@dataclass(frozen=True, slots=True)
class Notice:
    rev: int
    whole: bool
    listed: tuple[Listed, ...]
    unreadable: int


@dataclass(frozen=True, slots=True)
class Notices:
    rev: int
    notices: tuple[Notice, ...]


def folded(events: Sequence[Notice]) -> Notice:
    """Events that came together as one with the same end: the last whole list, and the latest word on each
    engine. Guards engines that a later event of the same answer still lists against being dropped in between,
    with their connections and with what was learnt of them. `events` are in their order, at least one."""
    begins = max((at for at, event in enumerate(events) if event.whole), default=0)
    latest = {listed.engine.id: listed for event in events[begins:] for listed in event.listed}
    unreadable = sum(event.unreadable for event in events)
    return Notice(events[-1].rev, events[begins].whole, tuple(latest.values()), unreadable)


def parse_endpoint(text: Any) -> tuple[str, int] | None:
    """An IPv4 address and a port: names are not resolved."""
    try:
        host, _, port = text.rpartition(":")
        number = int(port)
        return (str(IPv4Address(host)), number) if 0 <= number < 65536 else None
    except (AttributeError, ValueError):
        return None


def _entry(raw: Any, deployment: Deployment) -> Listed | None:
    """An engine that can't be used is taken as draining: nothing goes there, what runs may end."""
    if not isinstance(raw, dict) or not isinstance(uid := raw.get("uid"), str) or not uid:
        return None
    endpoint, boot, cell = parse_endpoint(raw.get("endpoint")), raw.get("boot_ms"), raw.get("pod_group")
    state = STATES.get(str(raw.get("state")), api.State.DRAINING)
    if endpoint is None and state is api.State.READY:
        state = api.State.DRAINING
    zone, kind = raw.get("az"), raw.get("model")
    engine = api.Engine(
        id=uid.encode(),
        state=state,
        zone=deployment.zones.index(zone) if zone in deployment.zones else -1,
        cell=cell if isinstance(cell, int) else -1,
        kind=deployment.kinds.index(kind) if kind in deployment.kinds else UNKNOWN_KIND,
        started=int(boot * 1000) if isinstance(boot, int | float) and 0 < boot < 2**50 else 0,
    )
    return Listed(engine, endpoint)


def read_notices(raw: Any, deployment: Deployment) -> Notices:
    try:
        rev, found = raw["rev"], []
        for item in raw["notices"]:
            pool = item.get("pool") or {}
            entries = [_entry(entry, deployment) for entry in pool.get("targets") or ()]
            listed = tuple(entry for entry in entries if entry is not None)
            found.append(Notice(item["rev"], bool(pool.get("all")), listed, len(entries) - len(listed)))
        if not isinstance(rev, int) or not all(isinstance(notice.rev, int) for notice in found):
            raise UnreadableNotices("a number is not one")
    except (KeyError, TypeError, AttributeError) as error:
        raise UnreadableNotices(repr(error)) from error
    return Notices(rev, tuple(found))


def parse_notices(body: bytes, deployment: Deployment) -> Notices:
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise UnreadableNotices(repr(error)) from error
    return read_notices(raw, deployment)
