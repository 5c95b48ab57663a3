"""Messages to endpoint actors, which run, cancel or re-prioritize attempts, and the actors' reports."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.interface import Outcome


@dataclass(frozen=True, slots=True)
class RunAttempt:
    """Starts an attempt. Times are in microseconds of the gateway's clock."""

    request_id: int
    attempt: int  # index of the attempt among those of its request, from 0
    started_at: int
    deadline: int  # time at which the attempt ends if it has no outcome by then
    # Time from which the endpoint must not receive the attempt any more. Endpoints may have forgotten the
    # idempotency key of the request's first attempt by then, and would execute the request again.
    deliver_by: int
    call_id: str  # the client's id of the request, which is also the attempt's id at the endpoint
    profile: str  # name of the profile
    statement: bytes
    idempotency_key: str | None
    priority: int | None  # None: the endpoint's default
    is_awaited: Callable[[], bool] = lambda: True  # whether the client still waits for the answer


@dataclass(frozen=True, slots=True)
class AbortAttempt:
    """Cancels an attempt. Ignored if the attempt has ended or is unknown."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ChangePriority:
    """Changes the priority of an attempt, even if it is already running at the endpoint."""

    request_id: int
    attempt: int
    priority: int


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt has ended. Reported exactly once per attempt."""

    request_id: int
    attempt: int
    endpoint_id: api.EndpointId
    outcome: Outcome
    latency: int  # from its start to its end, microseconds
    work: int | None = None  # work that the endpoint measured, thread microseconds; None: not reported
    memory_mb: float | None = None  # memory that the endpoint measured, MB; None: not reported
    rows: bytes | None = None  # the complete result; None unless the outcome is ANSWERED
    endpoint_responded: bool = False  # whether the last call for this attempt got a response


ReportAttemptEvent = Callable[[AttemptFinished | api.AttemptProgressed], None]
