"""The values that events and actions carry: endpoints, profiles, outcomes and the settings of a deployment.

Times and durations are whole microseconds. Ids of requests and endpoints are opaque; they are handed back
untouched.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

EndpointId = bytes


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "replayable"
    IDEMPOTENT_WITH_KEY = "uniqued"  # endpoints drop repeats, within a scope and a window
    NOT_IDEMPOTENT = "non-replayable"


class DeduplicationScope(Enum):
    """The endpoints that drop repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"  # those in the zone of the first attempt
    CELL = "cell"  # those in the cell of the first attempt


class EndpointStatus(Enum):
    """Whether a listed endpoint takes new attempts: only READY ones do."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class Outcome(IntEnum):
    """How an attempt or a health check ended; the values are those of the simulation's wire."""

    ANSWERED = 200
    CANCELLED = 499
    MOOT = 410  # not executed: the request was closed or out of time before it was sent
    ERROR = 500
    CONNECT_FAILED = 502
    FULL = 503  # rejected by the endpoint as full, so not executed
    TIMED_OUT = 504
    RESET = 598


PROVES_NOT_EXECUTED = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
REPORTED_BY_ENDPOINT = (Outcome.ANSWERED, Outcome.FULL, Outcome.ERROR)  # answers of the endpoint itself
MAY_STILL_BE_RUNNING = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)


class RejectionReason(Enum):
    """Why a request gets no result."""

    # the texts are logged and are names of counters
    TOO_LATE = "too little time was left when it came"
    OVERLOADED = "this gateway is overloaded"
    REDUCED = "the level of reduced service does not admit it"
    HOPELESS = "no endpoint would answer in time"
    ATTEMPTS = "its attempts failed and no other is allowed"
    WITHDRAWN = "withdrawn by what stands beside the module"
    UNKNOWN = "not told"


class EndpointListKind(Enum):
    """What an endpoint list contains."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED_SNAPSHOT = "cached"  # complete, but possibly out of date
    FAILED = "failed"  # nothing: the subscription ended


class ProgressKind(Enum):
    """What an endpoint reports of an attempt that is still running."""

    PROGRESS = "progress"
    SPILLS = "spills"
    WAITS_FOR_MEMORY = "waits for memory"
    WAITS_FOR_LOAD = "waits for a load"


class RetriesAllowed(Enum):
    """The retries, attempts after a request's first, that are still made."""

    ALL = "all"
    IF_NOT_EXECUTED = "unrun"  # only where no earlier attempt may have been executed
    NONE = "none"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the endpoint list."""

    id: EndpointId
    status: EndpointStatus
    zone: int  # index of its zone
    cell: int  # index of its deduplication cell
    kind: int  # index into GatewayStarted.kinds
    started_at: int  # microseconds; 0 where unknown


@dataclass(frozen=True, slots=True)
class EndpointKind:
    """The hardware of one kind of endpoint."""

    cores: float
    memory_mb: float  # 0 where unknown


@dataclass(frozen=True, slots=True)
class Profile:
    """What is known in advance of the requests of one kind."""

    latency_objective: int  # microseconds from arrival to the soft deadline
    objective_stretch: float  # added to the objective, as a multiple of the expected run time
    client_timeout: int  # microseconds from arrival to the deadline
    priority_weight: float  # value of an answer within the objective
    late_priority_weight: float  # value of an answer after it
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: int  # microseconds from the first attempt in which endpoints drop repeats
    ordered_by_key: bool  # requests with the same key run one after the other
    zones: frozenset[int] | None  # zones that may run it; None: all
    kinds: frozenset[int] | None  # endpoint kinds that may run it; None: all
    is_load: bool  # it loads a table group into the endpoint's cache, for which others may wait
    waits_for_loads: bool  # it waits while its table group is being loaded at its endpoint
    threads: int  # that one request occupies, at least 1

    @property
    def is_restricted(self) -> bool:
        """Whether some endpoints may not run it."""
        return self.zones is not None or self.kinds is not None

    def admits(self, entry: EndpointEntry) -> bool:
        """Whether the endpoint's zone and kind may run it."""
        return (self.zones is None or entry.zone in self.zones) and (
            self.kinds is None or entry.kind in self.kinds
        )


@dataclass(frozen=True, slots=True)
class Capabilities:
    """What the deployment lets a gateway do."""

    max_attempts: int  # for one request
    hedging: bool  # two attempts of one request at the same time
    cancellation: bool  # of running attempts
    health_checks: bool
    memory_grants: bool
    priorities: bool
    max_retry_after: int  # microseconds, the longest Retry-After; 0: none may be given
    requires_subscription: bool  # endpoint lists come only after SetListSubscription
    connect_timeout: int = 0  # microseconds by which an attempt may begin later than it was decided


@dataclass(frozen=True, slots=True)
class RuleLimits:
    """The limits that the rules of a deployment state."""

    answer_slack: int  # microseconds after the deadline in which an answer still counts
    slow_start_initial_ratio: float  # capacity of an endpoint that has just started, 0 to 1
    slow_start_duration: int  # microseconds until it has its full capacity
    overload_multiple: float  # of its present capacity: an endpoint that is sent more work than this fails
    overload_window: int  # microseconds over which that work is summed
    key_quarantine: int  # microseconds a key is not used after an attempt that may still be running
    retry_budget_min: float  # retries allowed in a window without any requests
    retry_budget_ratio: float  # retries allowed for each request in the window
    retry_budget_window: int  # microseconds
    poll_interval: int  # microseconds between polls of the endpoint list


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint reports of its load; None where the deployment does not report it."""

    in_flight: float | None = None  # attempts of all gateways that it runs
    queued: float | None = None  # attempts of all gateways that wait there for memory
    utilization: float | None = None  # of its cores, 0 to 1
