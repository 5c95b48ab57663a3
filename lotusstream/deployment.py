"""Reads the settings object of a deployment: what the module starts with, and the protocol's limits."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from lotusstream import interface as api

EFFECTS = {
    "repeatable": api.Effect.REPLAYABLE,
    "by_key": api.Effect.UNIQUED,
    "once": api.Effect.NON_REPLAYABLE,
}


class UnusableSettings(Exception):
    """The settings object is not of the told shape."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """`started` is the module's first event; the rest is for those that carry its actions out."""

    started: api.Started
    report_columns: tuple[str, ...]
    profiles: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout: int
    idle_timeout: int
    most_open: int


def _profile(raw: dict[str, Any], index: int, specifics: dict[str, Any]) -> api.Profile:
    def listed(name: str, absent: Any) -> Any:
        values = specifics.get(name) or []
        return values[index] if index < len(values) else absent

    def only(name: str) -> frozenset[int] | None:
        return frozenset(raw[name]) if raw.get(name) is not None else None

    return api.Profile(
        target=raw["aim"],
        stretch=raw.get("aim_stretch", 0.0),
        client_timeout=raw["deadline"],
        benefit=raw.get("gain", 1.0),
        late_benefit=raw.get("late_value", 0.0),
        effect=EFFECTS[raw["effect"]],
        scope=api.Scope(raw.get("group", "all")),
        remembered_for=raw.get("window", 0),
        in_order=bool(raw.get("fifo_by_key")),
        zones=only("stays_in"),
        kinds=only("flavors_only"),
        loads=bool(listed("writes_tables", False)),
        waits=bool(listed("class_waits", False)),
        threads=max(1, int(listed("threads_by_class", 1))),
    )


def _allowed(raw: dict[str, Any], specifics: dict[str, Any], discovery: str) -> api.Allowed:
    return api.Allowed(
        sends=raw.get("max_attempts", 1),
        copies=bool(raw.get("second_copies")),
        cancelling=bool(raw.get("cancelling")),
        probes=bool(raw.get("probes")),
        grants=bool(specifics.get("takes_grants")),
        priorities=bool(specifics.get("ranks_heeded")),
        longest_advice=raw.get("max_retry_after", 0) if raw.get("retry_after") else 0,
        must_subscribe=discovery == "subscribe",
        connect_timeout=raw.get("connect_timeout", 0),
    )


def _duties(raw: dict[str, Any]) -> api.Duties:
    return api.Duties(
        answer_slack=raw.get("answer_slack", 0),
        cold_from=raw.get("cold_from", 1.0),
        warm_up=raw.get("warm_up", 0),
        fall_multiple=raw.get("fall_multiple", 1.0),
        overload_for=raw.get("overload_for", 0),
        key_rest=raw.get("key_rest", 0),
        extra_min=raw.get("min_extra", 0) if "resend_span" in raw else math.inf,
        extra_ratio=raw.get("extra_ratio", 0.0),
        extra_span=raw.get("resend_span", 0),
        ask_within=raw.get("ask_within", 0),
    )


def read_settings(seed: int, raw: dict[str, Any]) -> Deployment:
    try:
        specifics, limits = raw.get("specifics", {}), raw.get("limits", {})
        cores, sizes = specifics.get("cpu_of_kind") or [1], specifics.get("size_mb") or []
        sizes = [*sizes, *[0.0] * len(cores)]
        kinds = tuple(api.Kind(float(count), float(size)) for count, size in zip(cores, sizes, strict=False))
        profiles = raw["request_classes"]
        return Deployment(
            started=api.Started(
                seed=seed,
                gateways=max(1, raw.get("n_instances", 1)),
                period=raw.get("period", 1),
                profiles=tuple(_profile(p, i, specifics) for i, p in enumerate(profiles)),
                kinds=kinds,
                most_grant=specifics.get("largest_share", 1.0),
                note_every=specifics.get("progress_pace", 0),
                tells_in_hand="active" in raw.get("report", {}).get("columns", ()),
                allowed=_allowed(limits, specifics, raw.get("discovery", "automatic")),
                duties=_duties(raw.get("rules", {})),
            ),
            report_columns=tuple(raw.get("report", {}).get("columns", ())),
            profiles=tuple(profile.get("name", "") for profile in profiles),
            zones=tuple(raw.get("zones", ())),
            kinds=tuple(raw.get("flavors", ())),
            connect_timeout=limits.get("connect_timeout", 0),
            idle_timeout=limits.get("conn_idle", 0),
            most_open=limits.get("max_open", 0),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise UnusableSettings(f"settings cannot be read: {error!r}") from error
