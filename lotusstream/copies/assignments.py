"""How a replica follows the assignments of its shards from epoch to epoch."""

from __future__ import annotations

from collections.abc import Mapping

from lotusstream.copies.messages import ShardAssignment
from lotusstream.copies.replica_context import REASON_REASSIGNED, ReplicaContext
from lotusstream.copies.shard_replica import ShardReplica


class AssignmentFollower:
    """Takes in assignments and epochs, and resets what belongs to an epoch that has ended."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context

    def learn(self, assignment: ShardAssignment) -> bool:
        """Take in an assignment.

        :returns: whether it is the newest one known here, now or before.
        """
        context = self._context
        if context.replica_id not in assignment.members and assignment.shard not in context.shards:
            return False
        shard = context.shard(assignment.shard)
        context.touch(shard.number)
        known_epoch = shard.assignment.epoch if shard.assignment else 0
        if assignment.epoch <= known_epoch:
            return assignment.epoch == known_epoch
        # Guards committed records against a primary of an earlier epoch that would send its snapshot: after a
        # restart the disk has a later epoch than any assignment that this run has seen.
        if assignment.epoch < shard.position.epoch:
            return False
        self._enter_epoch(shard, assignment)
        return True

    def _enter_epoch(self, shard: ShardReplica, assignment: ShardAssignment) -> None:
        was_primary = self._context.is_primary(shard)
        shard.assignment = assignment
        shard.deposed = False
        shard.more_advanced = None
        shard.transfers = {}
        shard.incoming = None
        shard.reported_joining &= set(assignment.joining)
        if self._context.is_primary(shard):
            self._enter_as_primary(shard, assignment, was_primary)
        else:
            self._enter_as_follower(shard, was_primary)

    def _enter_as_follower(self, shard: ShardReplica, was_primary: bool) -> None:
        if was_primary or shard.pending_commits:
            self._context.fail_pending(shard, REASON_REASSIGNED)
        shard.sessions = {}
        shard.acknowledged = {}
        shard.reported_joining = frozenset()

    def _enter_as_primary(self, shard: ShardReplica, assignment: ShardAssignment, was_primary: bool) -> None:
        retained = [each for each in assignment.members if each in shard.sessions] if was_primary else []
        shard.sessions = {each: shard.sessions[each] for each in retained}
        shard.acknowledged = {each: shard.acknowledged[each] for each in retained}
        if not was_primary:
            shard.committed_sequence = 0
            shard.uncommitted_keys = {}
            shard.first_sequence = shard.position.sequence
            shard.pending_commits.clear()
        shard.positions_requested_at = 0

    def note_epochs(self, epochs: Mapping[int, int]) -> None:
        """Stand down where the controller knows a later epoch.

        Guards the commits of another primary: a primary that was cut off gets a lease again before it learns
        the assignments that it missed, and would go on to answer from its old records.
        """
        for shard in self._context.shards.values():
            assignment = shard.assignment
            if assignment is None or epochs.get(shard.number, 0) <= assignment.epoch:
                continue
            if self._context.is_primary(shard):
                self._context.fail_pending(shard, REASON_REASSIGNED)
            shard.deposed = True
