"""Actions: the decision module's output, which the caller carries out. Names are imperatives.

Times and durations are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lotusstream.interface.model import EndpointId, EndpointStatus, RejectionReason


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt: forward the request to an endpoint.

    The attempts of a request are numbered from 0 in the order of their start.
    """

    request_id: int
    endpoint_id: EndpointId
    timeout: int  # longest run time of the attempt, microseconds


@dataclass(frozen=True, slots=True)
class SetResources:
    """Set the memory grant and the priority of a request's attempts; precedes its first StartAttempt."""

    request_id: int
    grant_mb: float  # memory that an endpoint may use for the request, MB; 0: no grant
    priority: int  # 0 (lowest) to 3 (highest)


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Reject the request. It was not executed, or a repeat by the client does no harm."""

    request_id: int
    retry_after: int  # Retry-After: microseconds until the client may repeat; 0: not sent
    degraded: bool = False  # True: rejected because the degradation level does not admit the request
    reason: RejectionReason = field(default=RejectionReason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Fail the request. It may have been executed, and a repeat by the client could execute it again."""

    request_id: int
    reason: RejectionReason = field(default=RejectionReason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel a running attempt. AttemptEnded still follows."""

    request_id: int
    attempt: int  # number of the attempt within the request, from 0


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    """Start a health check of an endpoint, which requests its load report. HealthCheckEnded follows."""

    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer. When it fires, the caller passes TimerFired with this token."""

    at: int  # time at which the timer fires, microseconds of the caller's clock
    token: int


@dataclass(frozen=True, slots=True)
class SetListSubscription:
    """Subscribe to the endpoint list or end the subscription."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """The decision module's state of one listed endpoint."""

    endpoint_id: EndpointId
    status: EndpointStatus
    zone: int
    kind: int
    cores: float
    threads: int  # threads occupied by this gateway's attempts
    in_flight: int  # running attempts of this gateway
    loads: int  # number of table groups being loaded at the endpoint; not a utilization
    latency_ratio: float  # recent latency divided by the latency of the same work on an idle endpoint
    overloaded: bool
    concurrency_limit: float  # threads this gateway may occupy while the endpoint is overloaded
    retry_credit: float  # retries that may still be sent to the endpoint; a retry needs at least 1
    failures: int  # consecutive failures; a refused connection may count as several
    ejected_until: int | None  # end of the ejection, microseconds; None: not ejected
    slow_start_until: int | None  # end of slow start, microseconds; None: not in slow start


@dataclass(frozen=True, slots=True)
class GatewaySnapshot:
    """The answer to SnapshotRequested."""

    endpoints: tuple[EndpointSnapshot, ...]
    share: float  # this gateway's estimated share of the traffic, 0 to 1
    baseline_ratio: float  # recent latency ratio of the slowest pool, at least 1
    overloaded: bool  # at least one pool is overloaded
    open_requests: int  # number of requests without a final answer
    queued_requests: int  # number of open requests that are queued for their next attempt


Action = (
    GatewaySnapshot
    | StartAttempt
    | SetResources
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | StartHealthCheck
    | SetTimer
    | SetListSubscription
)
