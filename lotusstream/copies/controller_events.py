"""The events of the shard controller, and the actions that its caller carries out."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lotusstream.copies.messages import ShardAssignment
from lotusstream.copies.shards import ReplicaHost, ReplicaId

# Events


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A host of replicas has sent a heartbeat."""

    host: ReplicaHost
    session: str  # identifies one run of the host's program
    # By shard of which this host is the primary: the epoch of its assignment, and the joining replicas that
    # have all committed records.
    caught_up: Mapping[int, tuple[int, tuple[ReplicaId, ...]]] = field(default_factory=dict)
    shutting_down: bool = False  # this run commits nothing any more and is about to end
    # By shard of which this host is the primary and a backup has a later position than this host: the epoch
    # of the host's assignment, and that backup.
    more_advanced: Mapping[int, tuple[int, ReplicaId]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class AssignmentAgreed:
    """The quorum has accepted a proposal, which replaces the previous assignment."""

    assignment: ShardAssignment


@dataclass(frozen=True, slots=True)
class AssignmentRejected:
    """The quorum has rejected a proposal, or the quorum's answer was lost.

    The quorum rejects a proposal if it has accepted another assignment with the same epoch before.
    """

    shard: int
    current: ShardAssignment | None  # the assignment that the quorum holds; None: not known


@dataclass(frozen=True, slots=True)
class AssignmentsLoaded:
    """The result of `LoadAssignments`: all assignments that the quorum has accepted."""

    assignments: tuple[ShardAssignment, ...]


@dataclass(frozen=True, slots=True)
class ControllerTimeAdvanced:
    """Time has passed: leases or proposals may have expired."""


@dataclass(frozen=True, slots=True)
class MachinesDrained:
    """The quorum has agreed on the set of drained machines: replicas are moved away from them."""

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
    """Propose an assignment to the quorum, which accepts it only if the previous epoch is in force."""

    assignment: ShardAssignment


@dataclass(frozen=True, slots=True)
class LoadAssignments:
    """Read all assignments from the quorum.

    If the message that reports an acceptance is lost, the controller learns of the assignment only this way.
    """


@dataclass(frozen=True, slots=True)
class GrantReplicaLease:
    """Answer a heartbeat with a lease, which begins at the time when the replica sent the heartbeat."""

    replica_id: ReplicaId
    session: str  # session of the heartbeat
    # Newest epoch of each shard, by shard number: a primary of an earlier epoch has been replaced.
    epochs: Mapping[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReportRedundancy:
    """Report to operators how many shards are at risk, whenever that changes."""

    single_replica_count: int  # number of shards with a single replica that is not dead
    lost_count: int  # number of shards whose replicas are all dead


Action = ProposeAssignment | LoadAssignments | GrantReplicaLease | ReportRedundancy
