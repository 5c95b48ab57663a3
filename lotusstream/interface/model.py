"""The values in events and actions: endpoints, profiles, outcomes and the settings of a deployment.

Times and durations are whole microseconds. Work is in thread microseconds: the number of threads multiplied
by the microseconds for which they are occupied. Ids of requests and endpoints are opaque: actions return them
unchanged.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

EndpointId = bytes


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "replayable"
    # The endpoints of Profile.deduplication_scope drop a repeat with the same idempotency key, if it arrives
    # within Profile.deduplication_window. Any other repeat may be executed again.
    IDEMPOTENT_WITH_KEY = "uniqued"
    NOT_IDEMPOTENT = "non-replayable"


class DeduplicationScope(Enum):
    """The endpoints that know the idempotency key of a request after its first attempt, and drop repeats."""

    ALL = "all"
    ZONE = "zone"  # endpoints in the zone of the first attempt
    CELL = "cell"  # endpoints in the deduplication cell of the first attempt


class EndpointStatus(Enum):
    """The status of a listed endpoint. Only READY endpoints get new attempts."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class Outcome(IntEnum):
    """How an attempt or a health check ended. The values are the codes of the simulator's wire protocol."""

    ANSWERED = 200
    CANCELLED = 499
    MOOT = 410  # not executed: the request was closed or its time ran out before the attempt was sent
    ERROR = 500
    CONNECT_FAILED = 502
    FULL = 503  # not executed: the endpoint rejected the attempt because it was full
    TIMED_OUT = 504
    RESET = 598


PROVES_NOT_EXECUTED = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
REPORTED_BY_ENDPOINT = (Outcome.ANSWERED, Outcome.FULL, Outcome.ERROR)  # the endpoint itself responded
MAY_STILL_BE_RUNNING = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)


class RejectionReason(Enum):
    """Why a request was rejected or failed."""

    # The values are written to the log and are parts of counter names.
    TOO_LATE = "too little time was left when it came"
    OVERLOADED = "this gateway is overloaded"
    REDUCED = "the level of reduced service does not admit it"
    HOPELESS = "no endpoint would answer in time"
    ATTEMPTS = "its attempts failed and no other is allowed"
    WITHDRAWN = "withdrawn by what stands beside the module"
    UNKNOWN = "not told"


class EndpointListKind(Enum):
    """The kind of an endpoint list message."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED_SNAPSHOT = "cached"  # a complete list that may be out of date
    FAILED = "failed"  # no entries: the subscription ended


class ProgressKind(Enum):
    """The kind of a progress report of a running attempt."""

    PROGRESS = "progress"
    SPILLS = "spills"
    WAITS_FOR_MEMORY = "waits for memory"
    WAITS_FOR_LOAD = "waits for a load"


class RetriesAllowed(Enum):
    """Which retries a degradation level allows. A retry is any attempt after a request's first."""

    ALL = "all"
    IF_NOT_EXECUTED = "unrun"  # only if no earlier attempt may have been executed
    NONE = "none"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the endpoint list."""

    id: EndpointId
    status: EndpointStatus
    zone: int  # index of the endpoint's zone
    cell: int  # index of the endpoint's deduplication cell
    kind: int  # index into GatewayStarted.kinds
    started_at: int  # start of the endpoint's process, microseconds; 0: unknown


@dataclass(frozen=True, slots=True)
class EndpointKind:
    """The hardware of one kind of endpoint."""

    cores: float  # cores of an endpoint
    memory_mb: float  # memory of an endpoint, MB; 0: unknown


@dataclass(frozen=True, slots=True)
class Profile:
    """The settings shared by all requests of one kind."""

    latency_objective: int  # microseconds from arrival to the soft deadline
    # A work hint extends the latency objective of its request by this factor times the expected run time.
    objective_stretch: float
    client_timeout: int  # microseconds from arrival to the deadline
    priority_weight: float  # relative value of an answer within the latency objective
    late_priority_weight: float  # relative value of an answer after the latency objective
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: int  # microseconds after the first attempt during which endpoints drop repeats
    ordered_by_key: bool  # requests with the same key run one at a time, in order of arrival
    zones: frozenset[int] | None  # zones in which the requests may run; None: all
    kinds: frozenset[int] | None  # endpoint kinds on which the requests may run; None: all
    is_load: bool  # a request loads its table group into the endpoint's cache; others may wait for it
    waits_for_loads: bool  # a request stalls while its table group is being loaded at its endpoint
    threads: int  # threads occupied by one request, at least 1

    @property
    def is_restricted(self) -> bool:
        """Whether the requests may run only in some zones or only on some endpoint kinds."""
        return self.zones is not None or self.kinds is not None

    def admits(self, entry: EndpointEntry) -> bool:
        """Whether the requests may run in the endpoint's zone and on its kind."""
        return (self.zones is None or entry.zone in self.zones) and (
            self.kinds is None or entry.kind in self.kinds
        )


@dataclass(frozen=True, slots=True)
class Capabilities:
    """The features that a deployment supports."""

    max_attempts: int  # largest number of attempts per request
    hedging: bool  # a request may have two attempts running at the same time
    cancellation: bool  # running attempts can be cancelled
    health_checks: bool
    memory_grants: bool
    priorities: bool
    max_retry_after: int  # longest Retry-After, microseconds; 0: none may be sent
    requires_subscription: bool  # discovery sends endpoint lists only after SetListSubscription
    connect_timeout: int = 0  # longest delay between StartAttempt and the attempt's start, microseconds


@dataclass(frozen=True, slots=True)
class RuleLimits:
    """The limits that the rules of a deployment set."""

    answer_slack: int  # microseconds after the deadline during which an answer still counts
    # Capacity of an endpoint right after its start, as a fraction of its full capacity, 0 to 1.
    slow_start_initial_ratio: float
    slow_start_duration: int  # microseconds from an endpoint's start to its full capacity
    # An endpoint fails if the work sent to it within `overload_window` exceeds this multiple of its present
    # capacity.
    overload_multiple: float
    overload_window: int  # microseconds over which the work sent to an endpoint counts
    key_quarantine: int  # microseconds for which a key is quarantined after an attempt that may still run
    retry_budget_min: float  # retries allowed in the window even without requests; infinite: no limit
    retry_budget_ratio: float  # further retries allowed for each request received in the window
    retry_budget_window: int  # length of the window in which retries are counted, microseconds
    poll_interval: int  # microseconds between polls of the endpoint list


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An endpoint's load; a field is None if the deployment does not report it."""

    in_flight: float | None = None  # running attempts of all gateways
    queued: float | None = None  # attempts of all gateways that wait for memory
    utilization: float | None = None  # utilization of the endpoint's cores, 0 to 1
