"""Reads the settings object of a deployment: what the module starts with, and the protocol's limits."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from lotusstream import interface as api

IDEMPOTENCY_BY_EFFECT = {
    "repeatable": api.Idempotency.IDEMPOTENT,
    "by_key": api.Idempotency.IDEMPOTENT_WITH_KEY,
    "once": api.Idempotency.NOT_IDEMPOTENT,
}


class SettingsError(Exception):
    """The settings object is not of the told shape."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """`started` is the module's first event; the rest is for those that carry its actions out."""

    started: api.GatewayStarted
    report_columns: tuple[str, ...]
    profiles: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout: int
    idle_timeout: int
    max_open_requests: int


def _profile(raw: dict[str, Any], index: int, specifics: dict[str, Any]) -> api.Profile:
    def listed(name: str, absent: Any) -> Any:
        values = specifics.get(name) or []
        return values[index] if index < len(values) else absent

    def only(name: str) -> frozenset[int] | None:
        return frozenset(raw[name]) if raw.get(name) is not None else None

    return api.Profile(
        latency_objective=raw["aim"],
        objective_stretch=raw.get("aim_stretch", 0.0),
        client_timeout=raw["deadline"],
        priority_weight=raw.get("gain", 1.0),
        late_priority_weight=raw.get("late_value", 0.0),
        idempotency=IDEMPOTENCY_BY_EFFECT[raw["effect"]],
        deduplication_scope=api.DeduplicationScope(raw.get("group", "all")),
        deduplication_window=raw.get("window", 0),
        ordered_by_key=bool(raw.get("fifo_by_key")),
        zones=only("stays_in"),
        kinds=only("flavors_only"),
        is_load=bool(listed("writes_tables", False)),
        waits_for_loads=bool(listed("class_waits", False)),
        threads=max(1, int(listed("threads_by_class", 1))),
    )


def _allowed(raw: dict[str, Any], specifics: dict[str, Any], discovery: str) -> api.Capabilities:
    return api.Capabilities(
        max_attempts=raw.get("max_attempts", 1),
        hedging=bool(raw.get("second_copies")),
        cancellation=bool(raw.get("cancelling")),
        health_checks=bool(raw.get("probes")),
        memory_grants=bool(specifics.get("takes_grants")),
        priorities=bool(specifics.get("ranks_heeded")),
        max_retry_after=raw.get("max_retry_after", 0) if raw.get("retry_after") else 0,
        requires_subscription=discovery == "subscribe",
        connect_timeout=raw.get("connect_timeout", 0),
    )


def _duties(raw: dict[str, Any]) -> api.RuleLimits:
    return api.RuleLimits(
        answer_slack=raw.get("answer_slack", 0),
        slow_start_initial_ratio=raw.get("cold_from", 1.0),
        slow_start_duration=raw.get("warm_up", 0),
        overload_multiple=raw.get("fall_multiple", 1.0),
        overload_window=raw.get("overload_for", 0),
        key_quarantine=raw.get("key_rest", 0),
        retry_budget_min=raw.get("min_extra", 0) if "resend_span" in raw else math.inf,
        retry_budget_ratio=raw.get("extra_ratio", 0.0),
        retry_budget_window=raw.get("resend_span", 0),
        poll_interval=raw.get("ask_within", 0),
    )


def read_settings(seed: int, raw: dict[str, Any]) -> Deployment:
    try:
        specifics, limits = raw.get("specifics", {}), raw.get("limits", {})
        cores, sizes = specifics.get("cpu_of_kind") or [1], specifics.get("size_mb") or []
        sizes = [*sizes, *[0.0] * len(cores)]
        kinds = tuple(
            api.EndpointKind(float(count), float(size)) for count, size in zip(cores, sizes, strict=False)
        )
        profiles = raw["request_classes"]
        return Deployment(
            started=api.GatewayStarted(
                seed=seed,
                gateway_count=max(1, raw.get("n_instances", 1)),
                batch_interval=raw.get("period", 1),
                profiles=tuple(_profile(p, i, specifics) for i, p in enumerate(profiles)),
                kinds=kinds,
                max_grant_ratio=specifics.get("largest_share", 1.0),
                progress_interval=specifics.get("progress_pace", 0),
                reports_in_flight="active" in raw.get("report", {}).get("columns", ()),
                capabilities=_allowed(limits, specifics, raw.get("discovery", "automatic")),
                rule_limits=_duties(raw.get("rules", {})),
            ),
            report_columns=tuple(raw.get("report", {}).get("columns", ())),
            profiles=tuple(profile.get("name", "") for profile in profiles),
            zones=tuple(raw.get("zones", ())),
            kinds=tuple(raw.get("flavors", ())),
            connect_timeout=limits.get("connect_timeout", 0),
            idle_timeout=limits.get("conn_idle", 0),
            max_open_requests=limits.get("max_open", 0),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise SettingsError(f"settings cannot be read: {error!r}") from error
