"""What the control socket answers, as JSON values.

Keys are part of the interface of `lotusstream ctl --json`: they are spelled out here and do not follow the
names of fields.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from lotusstream.cells.migration import Migration
from lotusstream.cells.status import CellsStatus, CellStatus
from lotusstream.levels.history import ChangeHistory, LevelChange, SignalReading
from lotusstream.levels.status import LevelsStatus, LevelStatus, SignalStatus


def levels_view(now: int, status: LevelsStatus, history: ChangeHistory, max_changes: int) -> dict[str, Any]:
    """Returns the answer to `levels`.

    :param now: microseconds
    :param status: the levels as they stand
    :param history: the latest changes
    :param max_changes: how many of them to show at most
    """
    changes = list(history)
    shown = changes[max(0, len(changes) - max(0, max_changes)) :]
    return {
        "level": status.level,
        "rung": status.step,
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
    """Returns a change of level."""
    return {
        "at": change.changed_at,
        "source": change.source,
        "target": change.target,
        "rung": change.step,
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
    """Returns the answer to `cells`.

    :param now: microseconds
    :param status: the cells as they stand
    :param profile_names: in the order of the indexes in `status`
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
