"""What goes into and comes out of the decision module: events, actions, profiles, engines and outcomes.

Times are whole microseconds. Ids of commands and engines are opaque and are handed back untouched.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

EngineId = bytes


class Effect(Enum):
    REPLAYABLE = "replayable"
    UNIQUED = "uniqued"
    NON_REPLAYABLE = "non-replayable"


class Scope(Enum):
    """The engines that drop a uniqued command's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(IntEnum):
    ANSWERED = 200
    CANCELLED = 499
    MOOT = 410
    ERROR = 500
    CONNECT_FAILED = 502
    FULL = 503
    TIMED_OUT = 504
    RESET = 598


PROVES_NOT_RUN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
ITS_OWN_WORD = (Outcome.ANSWERED, Outcome.FULL, Outcome.ERROR)  # the engine said it itself
MAY_STILL_RUN = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)


class Reason(Enum):
    """Why a request gets no result."""

    TOO_LATE = "too little time was left when it came"
    OVERLOADED = "this gateway is overloaded"
    REDUCED = "the level of reduced service does not admit it"
    HOPELESS = "no endpoint would answer in time"
    ATTEMPTS = "its attempts failed and no other is allowed"
    WITHDRAWN = "withdrawn by what stands beside the module"
    UNKNOWN = "not told"


class ListKind(Enum):
    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Note(Enum):
    PROGRESS = "progress"
    SPILLS = "spills"
    WAITS_FOR_MEMORY = "waits for memory"
    WAITS_FOR_LOAD = "waits for a load"


@dataclass(frozen=True, slots=True)
class Profile:
    target: int
    stretch: float
    client_timeout: int
    benefit: float
    late_benefit: float
    effect: Effect
    scope: Scope
    remembered_for: int
    in_order: bool
    zones: frozenset[int] | None
    kinds: frozenset[int] | None
    loads: bool
    waits: bool
    threads: int

    @property
    def bound(self) -> bool:
        return self.zones is not None or self.kinds is not None

    def open_to(self, engine: Engine) -> bool:
        return (self.zones is None or engine.zone in self.zones) and (
            self.kinds is None or engine.kind in self.kinds
        )


@dataclass(frozen=True, slots=True)
class Allowed:
    """What the deployment lets a gateway do."""

    sends: int
    copies: bool
    cancelling: bool
    probes: bool
    grants: bool
    priorities: bool
    longest_advice: int
    must_subscribe: bool
    connect_timeout: int = 0  # that much later than it was decided a send may begin


@dataclass(frozen=True, slots=True)
class Duties:
    """The figures of the rules."""

    answer_slack: int
    cold_from: float
    warm_up: int
    fall_multiple: float
    overload_for: int
    key_rest: int
    extra_min: float
    extra_ratio: float
    extra_span: int
    ask_within: int


@dataclass(frozen=True, slots=True)
class Kind:
    cores: float
    memory_mb: float


@dataclass(frozen=True, slots=True)
class Engine:
    """One line of the engine list."""

    id: EngineId
    state: State
    zone: int
    cell: int
    kind: int
    started: int


@dataclass(frozen=True, slots=True)
class Report:
    """An engine's word on its load; None where the deployment does not tell."""

    in_hand: float | None = None
    waiting: float | None = None
    busy: float | None = None


@dataclass(frozen=True, slots=True)
class Started:
    seed: int
    gateways: int
    period: int
    profiles: tuple[Profile, ...]
    kinds: tuple[Kind, ...]
    most_grant: float
    note_every: int
    tells_in_hand: bool
    allowed: Allowed
    duties: Duties


@dataclass(frozen=True, slots=True)
class EngineNews:
    kind: ListKind
    engines: tuple[Engine, ...]


@dataclass(frozen=True, slots=True)
class Arrived:
    command: int
    profile: int
    hint: int | None
    memory_mb: float | None
    client_timeout: int
    group: int
    key: int | None
    cell: int | None = None  # may go nowhere else; None: anywhere
    tenant: str | None = None  # for those in front of the module
    waited: int = 0  # for this decision, since it may have been sent


@dataclass(frozen=True, slots=True)
class Ended:
    """A send has its outcome. `over`: the command needs no further answer. `heard`: the last thing known of
    the engine here is an answer, of whatever kind; so a reset was one of a connection."""

    command: int
    send: int
    engine: EngineId
    outcome: Outcome
    latency: int
    over: bool
    work: int | None
    memory_mb: float | None
    report: Report | None
    heard: bool


@dataclass(frozen=True, slots=True)
class Noted:
    command: int
    send: int
    engine: EngineId
    note: Note
    amount: float


@dataclass(frozen=True, slots=True)
class ClientGone:
    command: int


@dataclass(frozen=True, slots=True)
class Woken:
    token: int


@dataclass(frozen=True, slots=True)
class Stopping:
    """A planned stop: all is to be answered by then."""

    by: int


class Further(Enum):
    """The sends after a command's first that are still made."""

    ALL = "all"
    UNRUN = "unrun"  # only where no earlier send may have run
    NONE = "none"


@dataclass(frozen=True, slots=True)
class Reduced:
    """Reduced service, until the next of these. By place of the profile: the admitted part of its new
    commands (0 to 1), and the priority of its sends where that is set."""

    admitted: tuple[float, ...]
    further: Further
    longest_advice: int | None  # None: as allowed
    priorities: tuple[int | None, ...]

    @property
    def full(self) -> bool:
        """Nothing is reduced."""
        return (
            min(self.admitted, default=1.0) >= 1
            and self.further is Further.ALL
            and self.longest_advice is None
            and not any(priority is not None for priority in self.priorities)
        )


@dataclass(frozen=True, slots=True)
class Confined:
    """From now on commands of this cell may go to these engines only, at every send. `pool`: the cells of
    one pool are judged together (pressure, pace, bounds), those of others apart. An engine belongs to one
    pool, the last that it was told to be in."""

    cell: int
    pool: int
    engines: frozenset[EngineId]


@dataclass(frozen=True, slots=True)
class Rehomed:
    """The command belongs to another cell from now on."""

    command: int
    cell: int


@dataclass(frozen=True, slots=True)
class Dropped:
    """The command is to be given up now."""

    command: int


@dataclass(frozen=True, slots=True)
class RanElsewhere:
    """Another gateway may have run the command, there and since then: as an earlier send of this one. `zone`
    and `cell` are -1 where it does not matter or isn't known here."""

    command: int
    zone: int
    cell: int
    at: int


@dataclass(frozen=True, slots=True)
class Hearsay:
    """Another gateway, which examines engines for all, says that this one does not answer, or does again."""

    engine: EngineId
    answers: bool


@dataclass(frozen=True, slots=True)
class Asked:
    """What does the module believe? Changes nothing; answered by Believed."""


@dataclass(frozen=True, slots=True)
class Probed:
    engine: EngineId
    outcome: Outcome
    latency: int
    report: Report | None


@dataclass(frozen=True, slots=True)
class Settled:
    """All that is known at this time has been told."""


Event = (
    Started
    | EngineNews
    | Arrived
    | Ended
    | Noted
    | ClientGone
    | Woken
    | Probed
    | Stopping
    | Reduced
    | Confined
    | Rehomed
    | Dropped
    | RanElsewhere
    | Hearsay
    | Asked
    | Settled
)


@dataclass(frozen=True, slots=True)
class Send:
    command: int
    engine: EngineId
    time_out: int


@dataclass(frozen=True, slots=True)
class Resources:
    command: int
    grant_mb: float
    priority: int


@dataclass(frozen=True, slots=True)
class Shed:
    command: int
    come_back_after: int
    reduced: bool = False  # since the level in force does not admit it
    reason: Reason = field(default=Reason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    command: int
    reason: Reason = field(default=Reason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class Cancel:
    command: int
    send: int


@dataclass(frozen=True, slots=True)
class Probe:
    engine: EngineId


@dataclass(frozen=True, slots=True)
class Wake:
    at: int
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    on: bool


@dataclass(frozen=True, slots=True)
class Belief:
    """One engine on the list, as the module sees it. `latency_ratio`: recent latency over what the work would
    take alone. `concurrency_limit`: threads that this gateway may have there while it is overloaded."""

    engine: EngineId
    state: State
    zone: int
    kind: int
    cores: float
    threads: int
    sends: int
    loads: int
    latency_ratio: float
    overloaded: bool
    concurrency_limit: float
    retry_credit: float
    failures: int
    ejected_until: int | None
    slow_start_until: int | None


@dataclass(frozen=True, slots=True)
class Believed:
    """The answer to Asked. `share`: this gateway's part of the traffic, 0 to 1."""

    engines: tuple[Belief, ...]
    share: float
    baseline_ratio: float
    overloaded: bool
    open: int
    held: int


Action = Believed | Send | Resources | Shed | Fail | Cancel | Probe | Wake | Subscribe
