"""Events that the shard controller takes, and actions that its caller carries out."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lotusstream.copies.messages import ShardAssignment
from lotusstream.copies.shards import ReplicaHost, ReplicaId

# Events


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A gateway that holds replicas has reported."""

    host: ReplicaHost
    session: str  # run of its program
    caught_up: Mapping[int, tuple[int, tuple[ReplicaId, ...]]] = field(
        default_factory=dict
    )  # by shard: epoch, and the joining replicas that have all that this primary has
    shutting_down: bool = False  # this run commits nothing more and is about to end
    more_advanced: Mapping[int, tuple[int, ReplicaId]] = field(
        default_factory=dict
    )  # by shard: epoch, and the backup that has more than this primary


@dataclass(frozen=True, slots=True)
class AssignmentAgreed:
    """The quorum has taken a proposal; the assignment before it is void."""

    assignment: ShardAssignment


@dataclass(frozen=True, slots=True)
class AssignmentRejected:
    """The quorum has not taken a proposal: another controller was quicker, or nothing is known."""

    shard: int
    current: ShardAssignment | None  # what is agreed on instead, if known


@dataclass(frozen=True, slots=True)
class AssignmentsLoaded:
    """All assignments that are agreed on, after `LoadAssignments`."""

    assignments: tuple[ShardAssignment, ...]


@dataclass(frozen=True, slots=True)
class ControllerTimeAdvanced:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class MachinesDrained:
    """The machines that are to hold nothing, as agreed in the quorum."""

    machines: frozenset[str]


Event = (
    HeartbeatReceived
    | AssignmentAgreed
    | AssignmentRejected
    | AssignmentsLoaded
    | MachinesDrained
    | ControllerTimeAdvanced
)

# Actions


@dataclass(frozen=True, slots=True)
class ProposeAssignment:
    """Propose an assignment to the quorum, which takes it in place of the epoch before it or not at all."""

    assignment: ShardAssignment


@dataclass(frozen=True, slots=True)
class LoadAssignments:
    """Read all assignments from the quorum.

    Guards a shard against a lost answer to a proposal: what was agreed on would never be known here.
    """


@dataclass(frozen=True, slots=True)
class GrantReplicaLease:
    """Answer a heartbeat: the replica's lease counts from when it has sent it."""

    replica_id: ReplicaId
    session: str
    epochs: Mapping[int, int] = field(default_factory=dict)  # by shard: a primary of an earlier one is void


@dataclass(frozen=True, slots=True)
class ReportRedundancy:
    """Tell the operators how many shards are at risk; sent where that changes."""

    single_replica_count: int  # shards that bear no further loss
    lost_count: int  # shards without any replica


Action = ProposeAssignment | LoadAssignments | GrantReplicaLease | ReportRedundancy
