"""Events: the decision module's input. Each reports a fact; names are in the past tense.

Times and durations are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream.interface.model import (
    Capabilities,
    EndpointEntry,
    EndpointId,
    EndpointKind,
    EndpointListKind,
    LoadReport,
    Outcome,
    Profile,
    ProgressKind,
    RetriesAllowed,
    RuleLimits,
)


@dataclass(frozen=True, slots=True)
class GatewayStarted:
    """The first event; it carries the settings of this gateway."""

    seed: int  # seed of this gateway's random draws
    gateway_count: int  # number of gateways that share the traffic, at least 1
    batch_interval: int  # microseconds between two BatchEnded events
    profiles: tuple[Profile, ...]
    kinds: tuple[EndpointKind, ...]
    max_grant_ratio: float  # largest memory grant as a fraction of the endpoint's memory, 0 to 1
    progress_interval: int  # microseconds between an attempt's progress reports; 0: endpoints send none
    reports_in_flight: bool  # load reports contain the number of attempts in flight
    capabilities: Capabilities
    rule_limits: RuleLimits


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    """Discovery sent the endpoint list or a delta of it, or ended the subscription."""

    kind: EndpointListKind
    endpoints: tuple[EndpointEntry, ...]


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client sent a request to this gateway."""

    request_id: int
    profile: int  # index into GatewayStarted.profiles
    work_hint: int | None  # the client's estimate of the work, thread microseconds; None: no estimate
    memory_mb: float | None  # the client's estimate of the memory needed, MB; None: no estimate
    client_timeout: int  # microseconds until the client stops waiting
    group: int  # table group that the request reads or loads
    key: int | None  # an ordered profile's requests with the same key run one at a time; None: no key
    cell: int | None = None  # cell of the tenant: the request runs only there; None: no cell
    # Name of the tenant, read only by the subsystems in front of the decision module; None: no tenant.
    tenant: str | None = None
    queue_delay: int = 0  # microseconds that the request has waited since its earliest possible arrival


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended."""

    request_id: int
    attempt: int  # number of the attempt within the request, from 0
    endpoint_id: EndpointId
    outcome: Outcome
    latency: int  # microseconds from the attempt's start to its end
    request_finished: bool  # the request needs no further answer
    work: int | None  # work of the attempt, thread microseconds; None: not reported
    memory_mb: float | None  # memory used by the attempt, MB; None: not reported
    report: LoadReport | None  # load of the endpoint; None: not reported
    # True: the endpoint responded to the last call made for the attempt. An outcome RESET then means that a
    # connection was lost, not that the endpoint restarted.
    endpoint_responded: bool


@dataclass(frozen=True, slots=True)
class AttemptProgressed:
    """An endpoint sent a progress report of a running attempt."""

    request_id: int
    attempt: int  # number of the attempt within the request, from 0
    endpoint_id: EndpointId
    kind: ProgressKind
    amount: float  # if the kind is PROGRESS, the completed fraction of the attempt, 0 to 1


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client disconnected and no longer waits for an answer."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by SetTimer fired."""

    token: int  # token of the SetTimer action


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """A graceful shutdown started: every request must have its final answer by the deadline."""

    deadline: int  # microseconds of the caller's clock


@dataclass(frozen=True, slots=True)
class DegradationChanged:
    """The degradation level changed; the new one is in force until the next DegradationChanged."""

    admitted_ratios: tuple[float, ...]  # by profile index: fraction of new requests to admit, 0 to 1
    retries_allowed: RetriesAllowed
    max_retry_after: int | None  # longest Retry-After, microseconds; None: the deployment's limit applies
    priorities: tuple[int | None, ...]  # by profile index: priority of attempts, 0 to 3; None: not set

    @property
    def is_full_service(self) -> bool:
        """Whether the level admits everything and sets neither a priority nor a Retry-After limit."""
        return (
            min(self.admitted_ratios, default=1.0) >= 1
            and self.retries_allowed is RetriesAllowed.ALL
            and self.max_retry_after is None
            and not any(priority is not None for priority in self.priorities)
        )


@dataclass(frozen=True, slots=True)
class CellEndpointsChanged:
    """A cell was assigned new endpoints. All further attempts of the cell's requests run only on these.

    This cell is a set of endpoints reserved for some tenants, not a deduplication cell. The cells of one pool
    share limits and statistics of latency and overload; pools share nothing. An endpoint belongs to one pool
    only: the pool of the latest event that names the endpoint.
    """

    cell: int
    pool: int
    endpoint_ids: frozenset[EndpointId]  # empty: the cell was removed


@dataclass(frozen=True, slots=True)
class RequestMigrated:
    """The tenant of the request moved to another cell, in which all further attempts of the request run."""

    request_id: int
    cell: int  # the new cell


@dataclass(frozen=True, slots=True)
class RequestWithdrawn:
    """The caller withdrew the request. The decision module must reject or fail it at once."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ExecutedElsewhere:
    """Another gateway may have executed the request. This counts as an earlier attempt of the request."""

    request_id: int
    zone: int  # zone of the endpoint used by the other gateway; -1: unknown, or not the deduplication scope
    cell: int  # deduplication cell of that endpoint; -1: unknown, or not the deduplication scope
    started_at: int  # start of the other gateway's attempt, microseconds


@dataclass(frozen=True, slots=True)
class PeerHealthReported:
    """A peer report: a health check made for all gateways found an endpoint failing, or healthy again."""

    endpoint_id: EndpointId
    is_healthy: bool


@dataclass(frozen=True, slots=True)
class SnapshotRequested:
    """An operator requested a GatewaySnapshot. No state changes."""


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check by this gateway ended."""

    endpoint_id: EndpointId
    outcome: Outcome
    latency: int  # microseconds from the start of the health check to its end
    report: LoadReport | None  # load of the endpoint; None: not reported


@dataclass(frozen=True, slots=True)
class BatchEnded:
    """The caller has passed all events of the batch. Queued requests may now start attempts."""


Event = (
    GatewayStarted
    | EndpointListReceived
    | RequestReceived
    | AttemptEnded
    | AttemptProgressed
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | ShutdownStarted
    | DegradationChanged
    | CellEndpointsChanged
    | RequestMigrated
    | RequestWithdrawn
    | ExecutedElsewhere
    | PeerHealthReported
    | SnapshotRequested
    | BatchEnded
)
