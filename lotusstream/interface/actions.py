"""Actions: what the decision module wants carried out. Each is an order, named in the imperative.

Times and durations are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lotusstream.interface.model import EndpointId, EndpointStatus, RejectionReason


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Forward the request to an endpoint; attempts of a request are numbered from 0 in this order."""

    request_id: int
    endpoint_id: EndpointId
    timeout: int  # microseconds


@dataclass(frozen=True, slots=True)
class SetResources:
    """Set what the request's attempts may use; precedes its first attempt."""

    request_id: int
    grant_mb: float  # memory; 0: no grant
    priority: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Answer the client that the request was not executed, or that repeating it is harmless."""

    request_id: int
    retry_after: int  # microseconds; 0: none given
    degraded: bool = False  # the degradation level does not admit it
    reason: RejectionReason = field(default=RejectionReason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Answer the client that the request failed and may have been executed."""

    request_id: int
    reason: RejectionReason = field(default=RejectionReason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop a running attempt; its AttemptEnded still follows."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    """Ask an endpoint for its load; HealthCheckEnded follows."""

    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send TimerFired with this token at this time."""

    at: int  # microseconds
    token: int


@dataclass(frozen=True, slots=True)
class SetListSubscription:
    """Subscribe to the endpoint list or end the subscription."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """One listed endpoint as the module sees it."""

    endpoint_id: EndpointId
    status: EndpointStatus
    zone: int
    kind: int
    cores: float
    threads: int  # that this gateway's attempts occupy there
    in_flight: int  # attempts of this gateway there
    loads: int  # table groups that are being loaded there; not its utilization
    latency_ratio: float  # recent latency over what the work would take alone
    overloaded: bool
    concurrency_limit: float  # threads that this gateway may have there while it is overloaded
    retry_credit: float  # retries that may go there; at least 1 for the next one
    failures: int  # in a row
    ejected_until: int | None  # microseconds
    slow_start_until: int | None  # microseconds


@dataclass(frozen=True, slots=True)
class GatewaySnapshot:
    """The answer to SnapshotRequested."""

    endpoints: tuple[EndpointSnapshot, ...]
    share: float  # this gateway's part of the traffic, 0 to 1
    baseline_ratio: float  # latency ratio of the slowest pool
    overloaded: bool  # some pool is
    open_requests: int  # without a final answer
    queued_requests: int  # of these, the ones that wait for their next attempt to start


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
