"""Reads a deployment's settings object and maps its keys to the names used in this project.

The result contains GatewayStarted, the first event for the decision module, and limits that the program
around the module enforces. Times are in microseconds.
"""

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
    """The settings object lacks a value or contains an invalid one."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """The settings: `started` is for the decision module, the other fields are for the program around it."""

    started: api.GatewayStarted
    report_columns: tuple[str, ...]  # names of the values in a load report, in order
    profiles: tuple[str, ...]  # profile names by profile index
    zones: tuple[str, ...]  # zone names by zone index
    kinds: tuple[str, ...]  # names of endpoint kinds by kind index
    connect_timeout: int  # longest time to open a connection to an endpoint, microseconds
    idle_timeout: int  # microseconds after which an endpoint closes an idle connection
    max_open_requests: int  # largest number of open requests of a gateway; 0: no limit


def read_settings(seed: int, raw: dict[str, Any]) -> Deployment:
    """Reads the settings object.

    :param seed: seed of the decision module's random draws.
    :raises SettingsError: if a value is missing or invalid.
    """
    try:
        return _read(seed, raw)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise SettingsError(f"a value of the settings is missing or invalid: {error!r}") from error


def _read(seed: int, raw: dict[str, Any]) -> Deployment:
    specifics = raw.get("specifics", {})
    limits = raw.get("limits", {})
    kinds = _read_kinds(specifics)
    profiles = raw["request_classes"]
    return Deployment(
        started=api.GatewayStarted(
            seed=seed,
            gateway_count=max(1, raw.get("n_instances", 1)),
            batch_interval=raw.get("period", 1),
            profiles=tuple(_read_profile(each, index, specifics) for index, each in enumerate(profiles)),
            kinds=kinds,
            max_grant_ratio=specifics.get("largest_share", 1.0),
            progress_interval=specifics.get("progress_pace", 0),
            reports_in_flight="active" in _report_columns(raw),
            capabilities=_read_capabilities(limits, specifics, raw.get("discovery", "automatic")),
            rule_limits=_read_rule_limits(raw.get("rules", {})),
        ),
        report_columns=_report_columns(raw),
        profiles=tuple(profile.get("name", "") for profile in profiles),
        zones=tuple(raw.get("zones", ())),
        kinds=tuple(raw.get("flavors", ())),
        connect_timeout=limits.get("connect_timeout", 0),
        idle_timeout=limits.get("conn_idle", 0),
        max_open_requests=limits.get("max_open", 0),
    )


def _report_columns(raw: dict[str, Any]) -> tuple[str, ...]:
    return tuple(raw.get("report", {}).get("columns", ()))


def _read_kinds(specifics: dict[str, Any]) -> tuple[api.EndpointKind, ...]:
    """Reads the endpoint kinds. A kind without a memory size gets 0 MB (unknown)."""
    cores = specifics.get("cpu_of_kind") or [1]
    sizes_mb = [*(specifics.get("size_mb") or []), *[0.0] * len(cores)]
    return tuple(
        api.EndpointKind(float(count), float(size)) for count, size in zip(cores, sizes_mb, strict=False)
    )


def _read_profile(raw: dict[str, Any], index: int, specifics: dict[str, Any]) -> api.Profile:
    def by_index(name: str, default: Any) -> Any:
        values = specifics.get(name) or []
        return values[index] if index < len(values) else default

    def restriction(name: str) -> frozenset[int] | None:
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
        zones=restriction("stays_in"),
        kinds=restriction("flavors_only"),
        is_load=bool(by_index("writes_tables", False)),
        waits_for_loads=bool(by_index("class_waits", False)),
        threads=max(1, int(by_index("threads_by_class", 1))),
    )


def _read_capabilities(raw: dict[str, Any], specifics: dict[str, Any], discovery: str) -> api.Capabilities:
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


def _read_rule_limits(raw: dict[str, Any]) -> api.RuleLimits:
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
