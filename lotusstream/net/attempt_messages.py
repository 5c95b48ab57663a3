"""The orders that endpoint actors take about attempts, and what they report of their ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.interface import Outcome


@dataclass(frozen=True, slots=True)
class RunAttempt:
    """Starts an attempt. Times are in microseconds."""

    request_id: int
    attempt: int  # number of the attempt of this request, from 0
    started_at: int
    deadline: int
    call_id: str
    profile: str
    statement: bytes
    idempotency_key: str | None
    priority: int | None  # None: the endpoint's default
    is_awaited: Callable[[], bool] = lambda: True  # whether the client still waits for the answer


@dataclass(frozen=True, slots=True)
class AbortAttempt:
    """Cancels an attempt. One that has ended, or is unknown, is left alone."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ChangePriority:
    """Gives an attempt another priority, also while it runs at the endpoint."""

    request_id: int
    attempt: int
    priority: int


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt has ended. Reported once for each."""

    request_id: int
    attempt: int
    endpoint_id: api.EndpointId
    outcome: Outcome
    latency: int  # since its start, microseconds
    work: int | None = None  # that the endpoint measured, microseconds
    memory_mb: float | None = None  # that the endpoint measured
    rows: bytes | None = None  # the complete result where it was answered
    endpoint_responded: bool = False  # the last call for it got a response


ReportAttemptEvent = Callable[[AttemptFinished | api.AttemptProgressed], None]
