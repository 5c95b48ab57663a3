"""What goes into and comes out of the decision module: events, actions, profiles, engines and outcomes.

Times are whole microseconds. Ids of commands and engines are opaque and are handed back untouched.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

EndpointId = bytes


class Idempotency(Enum):
    IDEMPOTENT = "replayable"
    IDEMPOTENT_WITH_KEY = "uniqued"
    NOT_IDEMPOTENT = "non-replayable"


class DeduplicationScope(Enum):
    """The engines that drop a uniqued command's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointStatus(Enum):
    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class Outcome(IntEnum):
    ANSWERED = 200
    CANCELLED = 499
    MOOT = 410
    ERROR = 500
    CONNECT_FAILED = 502
    FULL = 503
    TIMED_OUT = 504
    RESET = 598


PROVES_NOT_EXECUTED = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
REPORTED_BY_ENDPOINT = (Outcome.ANSWERED, Outcome.FULL, Outcome.ERROR)  # the engine said it itself
MAY_STILL_BE_RUNNING = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)


class RejectionReason(Enum):
    """Why a request gets no result."""

    TOO_LATE = "too little time was left when it came"
    OVERLOADED = "this gateway is overloaded"
    REDUCED = "the level of reduced service does not admit it"
    HOPELESS = "no endpoint would answer in time"
    ATTEMPTS = "its attempts failed and no other is allowed"
    WITHDRAWN = "withdrawn by what stands beside the module"
    UNKNOWN = "not told"


class EndpointListKind(Enum):
    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED_SNAPSHOT = "cached"
    FAILED = "failed"


class ProgressKind(Enum):
    PROGRESS = "progress"
    SPILLS = "spills"
    WAITS_FOR_MEMORY = "waits for memory"
    WAITS_FOR_LOAD = "waits for a load"


@dataclass(frozen=True, slots=True)
class Profile:
    latency_objective: int
    objective_stretch: float
    client_timeout: int
    priority_weight: float
    late_priority_weight: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: int
    ordered_by_key: bool
    zones: frozenset[int] | None
    kinds: frozenset[int] | None
    is_load: bool
    waits_for_loads: bool
    threads: int

    @property
    def is_restricted(self) -> bool:
        return self.zones is not None or self.kinds is not None

    def admits(self, engine: EndpointEntry) -> bool:
        return (self.zones is None or engine.zone in self.zones) and (
            self.kinds is None or engine.kind in self.kinds
        )


@dataclass(frozen=True, slots=True)
class Capabilities:
    """What the deployment lets a gateway do."""

    max_attempts: int
    hedging: bool
    cancellation: bool
    health_checks: bool
    memory_grants: bool
    priorities: bool
    max_retry_after: int
    requires_subscription: bool
    connect_timeout: int = 0  # that much later than it was decided a send may begin


@dataclass(frozen=True, slots=True)
class RuleLimits:
    """The figures of the rules."""

    answer_slack: int
    slow_start_initial_ratio: float
    slow_start_duration: int
    overload_multiple: float
    overload_window: int
    key_quarantine: int
    retry_budget_min: float
    retry_budget_ratio: float
    retry_budget_window: int
    poll_interval: int


@dataclass(frozen=True, slots=True)
class EndpointKind:
    cores: float
    memory_mb: float


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One line of the engine list."""

    id: EndpointId
    status: EndpointStatus
    zone: int
    cell: int
    kind: int
    started_at: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's word on its load; None where the deployment does not tell."""

    in_flight: float | None = None
    queued: float | None = None
    utilization: float | None = None


@dataclass(frozen=True, slots=True)
class GatewayStarted:
    seed: int
    gateway_count: int
    batch_interval: int
    profiles: tuple[Profile, ...]
    kinds: tuple[EndpointKind, ...]
    max_grant_ratio: float
    progress_interval: int
    reports_in_flight: bool
    capabilities: Capabilities
    rule_limits: RuleLimits


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    kind: EndpointListKind
    endpoints: tuple[EndpointEntry, ...]


@dataclass(frozen=True, slots=True)
class RequestReceived:
    request_id: int
    profile: int
    work_hint: int | None
    memory_mb: float | None
    client_timeout: int
    group: int
    key: int | None
    cell: int | None = None  # may go nowhere else; None: anywhere
    tenant: str | None = None  # for those in front of the module
    queue_delay: int = 0  # for this decision, since it may have been sent


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """A send has its outcome. `over`: the command needs no further answer. `heard`: the last thing known of
    the engine here is an answer, of whatever kind; so a reset was one of a connection."""

    request_id: int
    attempt: int
    endpoint_id: EndpointId
    outcome: Outcome
    latency: int
    request_finished: bool
    work: int | None
    memory_mb: float | None
    report: LoadReport | None
    endpoint_responded: bool


@dataclass(frozen=True, slots=True)
class AttemptProgressed:
    request_id: int
    attempt: int
    endpoint_id: EndpointId
    kind: ProgressKind
    amount: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """A planned stop: all is to be answered by then."""

    deadline: int


class RetriesAllowed(Enum):
    """The sends after a command's first that are still made."""

    ALL = "all"
    IF_NOT_EXECUTED = "unrun"  # only where no earlier send may have run
    NONE = "none"


@dataclass(frozen=True, slots=True)
class DegradationChanged:
    """Reduced service, until the next of these. By place of the profile: the admitted part of its new
    commands (0 to 1), and the priority of its sends where that is set."""

    admitted_ratios: tuple[float, ...]
    retries_allowed: RetriesAllowed
    max_retry_after: int | None  # None: as allowed
    priorities: tuple[int | None, ...]

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
    """From now on commands of this cell may go to these engines only, at every send. `pool`: the cells of
    one pool are judged together (pressure, pace, bounds), those of others apart. An engine belongs to one
    pool, the last that it was told to be in."""

    cell: int
    pool: int
    endpoint_ids: frozenset[EndpointId]


@dataclass(frozen=True, slots=True)
class RequestMigrated:
    """The command belongs to another cell from now on."""

    request_id: int
    cell: int


@dataclass(frozen=True, slots=True)
class RequestWithdrawn:
    """The command is to be given up now."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ExecutedElsewhere:
    """Another gateway may have run the command, there and since then: as an earlier send of this one. `zone`
    and `cell` are -1 where it does not matter or isn't known here."""

    request_id: int
    zone: int
    cell: int
    at: int


@dataclass(frozen=True, slots=True)
class PeerHealthReported:
    """Another gateway, which examines engines for all, says that this one does not answer, or does again."""

    endpoint_id: EndpointId
    is_healthy: bool


@dataclass(frozen=True, slots=True)
class SnapshotRequested:
    """What does the module believe? Changes nothing; answered by Believed."""


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    endpoint_id: EndpointId
    outcome: Outcome
    latency: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class BatchEnded:
    """All that is known at this time has been told."""


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


@dataclass(frozen=True, slots=True)
class StartAttempt:
    request_id: int
    endpoint_id: EndpointId
    timeout: int


@dataclass(frozen=True, slots=True)
class SetResources:
    request_id: int
    grant_mb: float
    priority: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    request_id: int
    retry_after: int
    degraded: bool = False  # since the level in force does not admit it
    reason: RejectionReason = field(default=RejectionReason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class FailRequest:
    request_id: int
    reason: RejectionReason = field(default=RejectionReason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class SetTimer:
    at: int
    token: int


@dataclass(frozen=True, slots=True)
class SetListSubscription:
    enabled: bool


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """One engine on the list, as the module sees it. `latency_ratio`: recent latency over what the work would
    take alone. `concurrency_limit`: threads that this gateway may have there while it is overloaded."""

    endpoint_id: EndpointId
    status: EndpointStatus
    zone: int
    kind: int
    cores: float
    threads: int
    in_flight: int
    loads: int
    latency_ratio: float
    overloaded: bool
    concurrency_limit: float
    retry_credit: float
    failures: int
    ejected_until: int | None
    slow_start_until: int | None


@dataclass(frozen=True, slots=True)
class GatewaySnapshot:
    """The answer to Asked. `share`: this gateway's part of the traffic, 0 to 1."""

    endpoints: tuple[EndpointSnapshot, ...]
    share: float
    baseline_ratio: float
    overloaded: bool
    open_requests: int
    queued_requests: int


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
