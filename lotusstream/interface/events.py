"""Events: what the decision module is notified of. Each is a fact, named in the past tense.

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
    """The first event: the settings of this gateway."""

    seed: int  # of its random draws
    gateway_count: int  # gateways that share the traffic, at least 1
    batch_interval: int  # microseconds between two BatchEnded
    profiles: tuple[Profile, ...]
    kinds: tuple[EndpointKind, ...]
    max_grant_ratio: float  # of an endpoint's memory that one request may be granted
    progress_interval: int  # microseconds between progress reports of an attempt; 0: there are none
    reports_in_flight: bool  # load reports state the attempts in flight
    capabilities: Capabilities
    rule_limits: RuleLimits


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    """The endpoint list, or a change of it."""

    kind: EndpointListKind
    endpoints: tuple[EndpointEntry, ...]


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client asks this gateway to run a request."""

    request_id: int
    profile: int  # index into GatewayStarted.profiles
    work_hint: int | None  # the client's estimate of the work, in thread microseconds
    memory_mb: float | None  # the client's estimate
    client_timeout: int  # microseconds that the client still waits
    group: int  # table group that it reads or loads
    key: int | None  # orders it after others with this key, if its profile is ordered
    cell: int | None = None  # of its tenant: it may run in this cell only; None: anywhere
    tenant: str | None = None  # not read by the module, but by the subsystems in front of it
    queue_delay: int = 0  # microseconds from the earliest time it may have arrived to this event


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has its outcome."""

    request_id: int
    attempt: int  # its number among the request's attempts, from 0
    endpoint_id: EndpointId
    outcome: Outcome
    latency: int  # microseconds
    request_finished: bool  # the request needs no further answer
    work: int | None  # thread microseconds that it took, where the endpoint reports them
    memory_mb: float | None  # that it took, where the endpoint reports it
    report: LoadReport | None
    # the endpoint responded to the last call for the attempt: a RESET ended a connection, and is no sign of a
    # restart
    endpoint_responded: bool


@dataclass(frozen=True, slots=True)
class AttemptProgressed:
    """An endpoint reports how far a running attempt is."""

    request_id: int
    attempt: int  # its number among the request's attempts, from 0
    endpoint_id: EndpointId
    kind: ProgressKind
    amount: float  # for kind PROGRESS: the part of the attempt that is done, 0 to 1


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client no longer waits for an answer."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of a SetTimer has come."""

    token: int  # that of the action


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """A graceful shutdown: every request is to be answered by the deadline."""

    deadline: int  # microseconds


@dataclass(frozen=True, slots=True)
class DegradationChanged:
    """The degradation level that is in force until the next of these events."""

    admitted_ratios: tuple[float, ...]  # by profile: the part of new requests that is admitted, 0 to 1
    retries_allowed: RetriesAllowed
    max_retry_after: int | None  # microseconds; None: as the deployment allows
    priorities: tuple[int | None, ...]  # by profile: the priority of its attempts; None: not set

    @property
    def is_full_service(self) -> bool:
        """Nothing is reduced."""
        return (
            min(self.admitted_ratios, default=1.0) >= 1
            and self.retries_allowed is RetriesAllowed.ALL
            and self.max_retry_after is None
            and not any(priority is not None for priority in self.priorities)
        )


@dataclass(frozen=True, slots=True)
class CellEndpointsChanged:
    """From now on requests of this cell may run on these endpoints only, at every attempt.

    A cell here is a set of endpoints for some tenants, not a deduplication cell. The cells of one pool share
    limits and statistics of latency and overload; pools share nothing. An endpoint belongs to one pool: that
    of the latest event that names it.
    """

    cell: int
    pool: int
    endpoint_ids: frozenset[EndpointId]  # empty: the cell is removed


@dataclass(frozen=True, slots=True)
class RequestMigrated:
    """The request belongs to another cell from now on."""

    request_id: int
    cell: int


@dataclass(frozen=True, slots=True)
class RequestWithdrawn:
    """The request is to be abandoned now."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ExecutedElsewhere:
    """Another gateway may have executed the request; it counts as an earlier attempt."""

    request_id: int
    zone: int  # of the endpoint; -1 where it is unknown or does not matter
    cell: int  # deduplication cell of the endpoint; -1 likewise
    started_at: int  # microseconds, when that attempt began


@dataclass(frozen=True, slots=True)
class PeerHealthReported:
    """Another gateway, which checks endpoints for all, reports one as failing or as healthy again."""

    endpoint_id: EndpointId
    is_healthy: bool


@dataclass(frozen=True, slots=True)
class SnapshotRequested:
    """A GatewaySnapshot is wanted; nothing else changes."""


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check of this gateway has its outcome."""

    endpoint_id: EndpointId
    outcome: Outcome
    latency: int  # microseconds
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class BatchEnded:
    """All events that are known at this time have been handled."""


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
