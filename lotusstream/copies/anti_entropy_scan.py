"""The primary's side of anti-entropy: compares its records with those of the backups, range by range."""

from __future__ import annotations

from lotusstream.copies.anti_entropy import (
    MAX_CLOCK_DIFFERENCE_US,
    RANGE_COUNT,
    Divergence,
    RangeComparison,
    find_divergence,
    range_digest,
)
from lotusstream.copies.catch_up import CatchUpSender
from lotusstream.copies.messages import DigestReply, DigestRequest, ShardAssignment
from lotusstream.copies.primary import PrimaryRole
from lotusstream.copies.replica_context import ReplicaContext
from lotusstream.copies.replica_events import ReportDivergence
from lotusstream.copies.shard_replica import ShardReplica
from lotusstream.copies.shards import ReplicaId


class AntiEntropyScanner:
    """Compares all ranges of this primary's shards once per anti-entropy interval, one range at a time."""

    def __init__(self, context: ReplicaContext, catch_up: CatchUpSender, primary: PrimaryRole) -> None:
        self._context = context
        self._catch_up = catch_up
        self._primary = primary
        self._comparison: RangeComparison | None = None
        self._range_counter = 0  # number of ranges visited so far; it determines the next shard and range
        self._visited_at = context.now  # when the comparison of the last range began, microseconds

    def compare_next_range(self, unix_time: int) -> None:
        """Ask the backups for digests of the next range, if it is due and its shard has no pending operation.

        :param unix_time: microseconds of the Unix clock.
        """
        options = self._context.options
        pause = options.anti_entropy_interval // (options.shard_count * RANGE_COUNT)
        if not options.anti_entropy_interval or self._context.now - self._visited_at < pause:
            return
        self._visited_at = self._context.now
        self._comparison = None
        shards = self._context.shards
        primaries = sorted(number for number, shard in shards.items() if self._context.is_primary(shard))
        if not primaries:
            return
        self._range_counter += 1
        shard = shards[primaries[self._range_counter // RANGE_COUNT % len(primaries)]]
        assignment = shard.assignment
        is_quiet = not shard.uncommitted_keys and shard.committed_sequence == shard.position.sequence
        if assignment is not None and assignment.backups and is_quiet:
            self._request_digests(shard, assignment, unix_time + MAX_CLOCK_DIFFERENCE_US)

    def _request_digests(self, shard: ShardReplica, assignment: ShardAssignment, expires_after: int) -> None:
        key_range = self._range_counter % RANGE_COUNT
        sequence = shard.position.sequence
        own_digest = range_digest(shard.records.values(), key_range, expires_after)
        expected = frozenset(assignment.backups)
        self._comparison = RangeComparison(
            shard.number, assignment.epoch, sequence, key_range, own_digest, expected
        )
        request = DigestRequest(shard.number, assignment.epoch, sequence, key_range, expires_after)
        for backup in assignment.backups:
            self._context.outbox.send(backup, request)

    def on_digest_reply(self, sender: ReplicaId, reply: DigestReply) -> None:
        """Add a digest. Once all backups have replied, repair the replicas that have diverged."""
        shard = self._context.shard(reply.shard)
        comparison = self._comparison
        if comparison is None or not comparison.matches(reply):
            return
        if not self._context.is_primary_in(shard, reply.epoch) or shard.sessions.get(sender) != reply.session:
            return
        if not comparison.add_digest(sender, reply.digest):
            return
        self._comparison = None
        divergence = find_divergence(comparison.own_digest, comparison.digests)
        if divergence is not None:
            self._repair(shard, divergence)

    def _repair(self, shard: ShardReplica, divergence: Divergence) -> None:
        report = ReportDivergence(shard.number, divergence.diverged, divergence.next_primary)
        self._context.outbox.emit(report)
        for backup in divergence.diverged:
            self._catch_up.start_repair(shard, backup)
        if divergence.next_primary is not None:
            self._primary.stand_down_for(shard, divergence.next_primary)
