"""Assigns shards to replicas. One gateway at a time does so, under a lease.

An assignment takes effect only once the quorum has agreed on it.

The controller grants every host a lease by answering its heartbeats. It replaces a primary only once the
primary's lease has expired by the controller's clock. A primary that is cut off has stopped committing by
then.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lotusstream.copies.assignment_policy import AssignmentPolicy
from lotusstream.copies.controller_events import (
    Action,
    AssignmentAgreed,
    AssignmentRejected,
    AssignmentsLoaded,
    Event,
    GrantReplicaLease,
    HeartbeatReceived,
    LoadAssignments,
    MachinesDrained,
    ProposeAssignment,
    ReportRedundancy,
)
from lotusstream.copies.host_registry import HostRegistry, Liveness
from lotusstream.copies.messages import ShardAssignment
from lotusstream.copies.options import ReplicationOptions
from lotusstream.copies.shards import ReplicaId


@dataclass(frozen=True, slots=True)
class _Proposal:
    """A proposal that the quorum has not answered yet."""

    proposed_at: int  # time of the proposal, microseconds
    assignment: ShardAssignment


class ShardController:
    """Evaluates the heartbeats of all hosts and proposes assignments. Events in, actions out.

    A new controller replaces no primary that has not sent it a heartbeat, until all leases that the previous
    controller may have granted have expired.
    """

    def __init__(self, options: ReplicationOptions, assignments: Iterable[ShardAssignment], now: int) -> None:
        """Begin with the assignments that the quorum has agreed on.

        :param now: microseconds of a monotonic clock.
        """
        self._options = options
        self._hosts = HostRegistry(options.leases.duration_us, now)
        self._policy = AssignmentPolicy(options, self._hosts)
        self.assignments = {each.shard: each for each in assignments}
        self._proposals: dict[int, _Proposal] = {}  # proposals without an answer yet, by shard
        self._unanswered: dict[int, ShardAssignment] = {}  # proposals whose answer was lost, by shard
        self._now = now
        self._loaded_at = now  # when all assignments were last read from the quorum, microseconds
        self._reported_redundancy = ReportRedundancy(0, 0)
        self._actions: list[Action] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process an event at this time (microseconds, monotonic) and return the resulting actions."""
        self._now = now
        self._hosts.now = now
        self._actions = []
        self._expire_proposals()
        self._dispatch(event)
        self._load_if_due()
        self._decide()
        return self._actions

    def _dispatch(self, event: Event) -> None:
        match event:
            case HeartbeatReceived():
                self._on_heartbeat_received(event)
            case AssignmentAgreed():
                self._proposals.pop(event.assignment.shard, None)
                self._learn(event.assignment)
            case AssignmentRejected():
                self._on_assignment_rejected(event)
            case MachinesDrained():
                self._hosts.drained_machines = event.machines
            case AssignmentsLoaded():
                for assignment in event.assignments:
                    self._learn(assignment)

    # Events

    def _on_heartbeat_received(self, heartbeat: HeartbeatReceived) -> None:
        replica_id = heartbeat.host.replica_id
        self._hosts.record_heartbeat(heartbeat)
        if not self._may_be_replaced(replica_id):
            epochs = {shard: each.epoch for shard, each in self.assignments.items()}
            self._actions.append(GrantReplicaLease(replica_id, heartbeat.session, epochs))
        for shard, (epoch, caught_up) in sorted(heartbeat.caught_up.items()):
            known = self._current(shard, epoch)
            if known is not None:
                self._propose(self._policy.with_caught_up(known, caught_up))
        for shard, (epoch, backup) in sorted(heartbeat.more_advanced.items()):
            known = self._current(shard, epoch)
            if known is not None:
                self._propose(self._policy.with_primary(known, backup))

    def _on_assignment_rejected(self, event: AssignmentRejected) -> None:
        proposal = self._proposals.pop(event.shard, None)
        if proposal is not None:
            self._unanswered[event.shard] = proposal.assignment
        if event.current is not None:
            self._learn(event.current)

    def _learn(self, assignment: ShardAssignment) -> None:
        """Store an assignment that the quorum has agreed on, unless a later one is known."""
        known = self.assignments.get(assignment.shard)
        if known is None or assignment.epoch > known.epoch:
            self.assignments[assignment.shard] = assignment
        unanswered = self._unanswered.get(assignment.shard)
        if unanswered is not None and self.assignments[assignment.shard].epoch >= unanswered.epoch:
            del self._unanswered[assignment.shard]

    # Proposals

    def _expire_proposals(self) -> None:
        """Treat the quorum's answers to proposals older than half a lease duration as lost.

        The proposals are made again. This is safe, as the quorum accepts a single assignment per epoch.
        """
        expired_at = self._now - self._options.leases.duration_us // 2
        for shard, proposal in list(self._proposals.items()):
            if proposal.proposed_at <= expired_at:
                del self._proposals[shard]
                self._unanswered[shard] = proposal.assignment

    def _propose(self, assignment: ShardAssignment | None) -> bool:
        """Propose an assignment; None: propose nothing.

        :returns: whether an assignment was proposed.
        """
        if assignment is None:
            return False
        self._proposals[assignment.shard] = _Proposal(self._now, assignment)
        self._actions.append(ProposeAssignment(assignment))
        return True

    def _current(self, shard: int, epoch: int) -> ShardAssignment | None:
        """Return the assignment of a shard.

        None: it has another epoch than this one, or a proposal for the shard has no answer yet.
        """
        known = self.assignments.get(shard)
        if known is None or known.epoch != epoch or shard in self._proposals:
            return None
        return known

    def _may_be_replaced(self, replica_id: ReplicaId) -> bool:
        """Whether the quorum may have accepted a proposal that replaces this primary.

        If so, the primary's lease must not be renewed.
        """
        proposed = [each.assignment for each in self._proposals.values()]
        return any(self._replaces(each, replica_id) for each in (*proposed, *self._unanswered.values()))

    def _replaces(self, proposed: ShardAssignment, replica_id: ReplicaId) -> bool:
        known = self.assignments.get(proposed.shard)
        return known is not None and known.primary == replica_id and proposed.primary != replica_id

    # Decisions

    def _load_if_due(self) -> None:
        """Read all assignments from the quorum once per lease duration."""
        if self._now - self._loaded_at >= self._options.leases.duration_us:
            self._loaded_at = self._now
            self._actions.append(LoadAssignments())

    def _decide(self) -> None:
        available = self._hosts.available_hosts()
        if self._hosts.is_complete:
            for shard in range(self._options.shard_count):
                if shard not in self.assignments and shard not in self._proposals:
                    self._propose(self._policy.first(shard, available))
        for shard, unanswered in list(self._unanswered.items()):
            if shard not in self._proposals:
                self._propose(unanswered)
        catch_ups = sum(
            bool(each.joining and self._hosts.is_alive(each.primary)) for each in self.assignments.values()
        )
        for known in self._by_redundancy():
            if known.shard in self._proposals or self._propose(self._policy.repaired(known)):
                continue
            if catch_ups < self._options.max_catch_ups:
                catch_ups += self._propose(self._policy.with_joining(known, available))
        self._report_redundancy()

    def _by_redundancy(self) -> list[ShardAssignment]:
        """Return all assignments in ascending order of their number of backups."""
        return sorted(self.assignments.values(), key=lambda each: (len(each.backups), each.shard))

    def _report_redundancy(self) -> None:
        single_replica_count = lost_count = 0
        for assignment in self.assignments.values():
            counted = (assignment.primary, *assignment.backups)
            present = sum(self._hosts.liveness(each) is not Liveness.DEAD for each in counted)
            single_replica_count += present == 1
            lost_count += present == 0
        report = ReportRedundancy(single_replica_count, lost_count)
        if report != self._reported_redundancy:
            self._reported_redundancy = report
            self._actions.append(report)
