"""Builds the results of control requests, as JSON values.

The keys are part of the interface of `lotusstream ctl --json`. They are spelled out here, so that renaming a
field does not change them.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from typing import Any

from lotusstream import __version__
from lotusstream import interface as api
from lotusstream.cells.migration import Migration
from lotusstream.cells.status import CellsStatus, CellStatus
from lotusstream.levels.controller import LevelController
from lotusstream.levels.history import ChangeHistory, LevelChange, SignalReading
from lotusstream.levels.status import LevelsStatus, LevelStatus, SignalStatus
from lotusstream.net.decider_messages import OperatorView
from lotusstream.observe.own import ProcessUsage


def status_view(
    name: str,
    uptime: int,
    levels: LevelController | None,
    snapshot: api.GatewaySnapshot,
    process_usage: ProcessUsage,
    operator_file: str,
) -> dict[str, Any]:
    """Returns the result of `status`.

    :param name: name of the gateway
    :param uptime: time since the start of the gateway, microseconds
    :param levels: the level controller; None: the operator file has no ladder
    :param snapshot: state of the decision module
    :param process_usage: resource usage of the gateway's process
    :param operator_file: path of the operator file
    """
    return {
        "gateway": name,
        "version": __version__,
        "up_us": uptime,
        "level": levels.status().level if levels else None,
        "level_why": _last_change_text(levels) if levels else None,
        "engines": _endpoint_counts(snapshot),
        "commands": {"open": snapshot.open_requests, "held": snapshot.queued_requests},
        "share": snapshot.share,
        "pace": snapshot.baseline_ratio,
        "strained": snapshot.overloaded,
        "own": {
            "core": process_usage.core,
            "memory": process_usage.memory,
            "descriptors": process_usage.descriptors,
        },
        "operator_file": operator_file,
    }


def _endpoint_counts(snapshot: api.GatewaySnapshot) -> dict[str, int]:
    """Returns the number of endpoints in each state. `cold`: in slow start; `aside`: ejected."""
    ready = [each for each in snapshot.endpoints if each.status is api.EndpointStatus.READY]
    usable = [each for each in ready if each.ejected_until is None]
    return {
        "listed": len(snapshot.endpoints),
        "usable": len(usable),
        "cold": sum(each.slow_start_until is not None for each in usable),
        "aside": sum(each.ejected_until is not None for each in ready),
    }


def _last_change_text(levels: LevelController) -> str:
    change = levels.history.latest()
    return str(change) if change else "full service since the start"


def endpoints_view(view: OperatorView) -> list[dict[str, Any]]:
    """Returns the result of `engines`."""
    return [_endpoint_view(view, endpoint) for endpoint in view.snapshot.endpoints]


def _endpoint_view(view: OperatorView, endpoint: api.EndpointSnapshot) -> dict[str, Any]:
    kind = endpoint.kind
    return {
        "engine": _id_text(endpoint.endpoint_id),
        "address": view.addresses.get(endpoint.endpoint_id),
        "state": endpoint.status.value,
        "kind": view.kinds[kind] if kind < len(view.kinds) else str(kind),
        "cores": endpoint.cores,
        "threads": endpoint.threads,
        "sends": endpoint.in_flight,
        "loads": endpoint.loads,
        "pace": endpoint.latency_ratio,
        "pressed": endpoint.overloaded,
        "credit": endpoint.retry_credit,
        "failures": endpoint.failures,
        "aside_us": _time_left(view.now, endpoint.ejected_until),
        "cold_us": _time_left(view.now, endpoint.slow_start_until),
    }


def _time_left(now: int, until: int | None) -> int | None:
    """Returns the time from `now` to `until`, at least 0, microseconds; None if `until` is None or 0."""
    return max(0, until - now) if until else None


def requests_view(view: OperatorView, max_requests: int) -> dict[str, Any]:
    """Returns the result of `commands`: the number of open requests, and the oldest requests, at most
    `max_requests`."""
    oldest = sorted(view.requests, key=lambda request: request.age, reverse=True)
    shown = [dataclasses.asdict(request) for request in oldest[: max(0, max_requests)]]
    return {"open": len(view.requests), "shown": shown}


def levels_view(now: int, status: LevelsStatus, history: ChangeHistory, max_changes: int) -> dict[str, Any]:
    """Returns the result of `levels`.

    :param now: microseconds
    :param status: the present state of the levels
    :param history: the latest level changes
    :param max_changes: greatest number of changes in the result
    """
    changes = list(history)
    shown = changes[max(0, len(changes) - max(0, max_changes)) :]
    return {
        "level": status.level,
        "rung": status.level_number,
        "since": status.since,
        "held_until": status.held_until,
        "why": change_view(status.last_change) if status.last_change else None,
        "ends_when": status.ends_when,
        "next_change": status.next_change_at,
        "admitted": status.admitted_ratios,
        "further": status.retries_allowed.value,
        "stopping": status.stopping,
        "signals": [_signal_view(signal) for signal in status.signals],
        "rungs": [_level_view(level) for level in status.levels],
        "changes": status.change_count,
        "now": now,
        "history": [change_view(change) for change in shown],
    }


def change_view(change: LevelChange) -> dict[str, Any]:
    """Returns a level change."""
    return {
        "at": change.changed_at,
        "source": change.source,
        "target": change.target,
        "rung": change.level_number,
        "cause": change.cause.value,
        "condition": change.condition,
        "readings": [_reading_view(reading) for reading in change.readings],
        "ends_when": change.ends_when,
        "text": str(change),
    }


def _reading_view(reading: SignalReading) -> dict[str, Any]:
    return {
        "signal": reading.signal,
        "value": reading.value,
        "written": reading.text,
        "rests_on": reading.sample_count,
    }


def _signal_view(signal: SignalStatus) -> dict[str, Any]:
    return {
        "signal": signal.name,
        "written": signal.text,
        "value": signal.value.value if signal.value else None,
        "rests_on": signal.value.sample_count if signal.value else 0,
    }


def _level_view(level: LevelStatus) -> dict[str, Any]:
    return {
        "name": level.name,
        "enter": level.enter,
        "leave": level.leave,
        "entering": level.enter_holds,
        "leaving": level.leave_holds,
        "admit": level.admit,
    }


def cells_view(now: int, status: CellsStatus, profile_names: Sequence[str]) -> dict[str, Any]:
    """Returns the result of `cells`.

    :param now: microseconds
    :param status: the present state of the cells
    :param profile_names: names of the profiles, by their index in `status`
    """
    return {
        "now": now,
        "version": status.plan_version,
        "held": status.held_requests,
        "poisoned": list(status.poisoned_tenants),
        "homeless": [_id_text(endpoint_id) for endpoint_id in status.unassigned],
        "moves": [_migration_view(migration) for migration in status.migrations],
        "cells": [_cell_view(cell, profile_names) for cell in status.cells],
    }


def _migration_view(migration: Migration) -> dict[str, Any]:
    return {
        "tenant": migration.tenant,
        "source": migration.source,
        "target": migration.target,
        "step": migration.step.value,
        "since": migration.since,
        "ran_until": migration.ran_until,
        "why": migration.why,
    }


def _cell_view(cell: CellStatus, profile_names: Sequence[str]) -> dict[str, Any]:
    return {
        "name": cell.name,
        "engines": [_id_text(endpoint_id) for endpoint_id in cell.endpoint_ids],
        "ready": cell.ready_endpoints,
        "commands": cell.open_requests,
        "tenants": cell.open_tenants,
        "unserved": [profile_names[index] for index in cell.unserved_profiles],
        "lender": cell.lender,
        "quarantine": cell.quarantine,
    }


def _id_text(endpoint_id: bytes) -> str:
    return endpoint_id.decode("latin-1")
