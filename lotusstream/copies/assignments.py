"""Applies new assignments and epochs to the shards of a replica."""

from __future__ import annotations

from collections.abc import Mapping

from lotusstream.copies.messages import ShardAssignment
from lotusstream.copies.replica_context import REASON_REASSIGNED, ReplicaContext
from lotusstream.copies.shard_replica import ShardReplica


class AssignmentFollower:
    """Applies assignments, and resets the state that belongs to an earlier epoch."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context

    def learn(self, assignment: ShardAssignment) -> bool:
        """Apply an assignment if it is newer than the known one.

        :returns: whether the assignment, new or known before, is now the newest one known to this replica.
        """
        context = self._context
        if context.replica_id not in assignment.members and assignment.shard not in context.shards:
            return False
        shard = context.shard(assignment.shard)
        context.touch(shard.number)
        known_epoch = shard.assignment.epoch if shard.assignment else 0
        if assignment.epoch <= known_epoch:
            return assignment.epoch == known_epoch
        # After a restart no assignment is known, but the log shows the epoch of the newest operation. The
        # primary of an earlier epoch must be rejected: its snapshot would replace committed records.
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
        """Stop acting as primary of each shard for which the controller knows a later epoch.

        A primary that was cut off gets a lease again before it learns the assignments that it missed. Without
        this check it would answer from old records, which lack the commits of the primary that replaced it.
        """
        for shard in self._context.shards.values():
            assignment = shard.assignment
            if assignment is None or epochs.get(shard.number, 0) <= assignment.epoch:
                continue
            if self._context.is_primary(shard):
                self._context.fail_pending(shard, REASON_REASSIGNED)
            shard.deposed = True
