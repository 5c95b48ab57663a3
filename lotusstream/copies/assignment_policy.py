"""Determines the next assignment of a shard. The controller proposes it to the quorum."""

from __future__ import annotations

from lotusstream.copies.host_registry import HostRegistry, Liveness
from lotusstream.copies.messages import ShardAssignment
from lotusstream.copies.options import ReplicationOptions
from lotusstream.copies.shards import ReplicaHost, ReplicaId, choose_hosts


class AssignmentPolicy:
    """Determines the next assignment of a shard. Each method returns None if it changes nothing."""

    def __init__(self, options: ReplicationOptions, hosts: HostRegistry) -> None:
        self._options = options
        self._hosts = hosts

    def first(self, shard: int, available: list[ReplicaHost]) -> ShardAssignment | None:
        """Return the first assignment of a shard, whose replicas all begin without records.

        Return None if fewer hosts are available than a commit needs.
        """
        chosen = choose_hosts(shard, available, self._options.replica_count)
        if len(chosen) < self._options.commit_count:
            return None
        primary, *backups = (each.replica_id for each in chosen)
        return ShardAssignment(shard, 1, primary, self._hosts.session(primary), tuple(backups))

    def repaired(self, known: ShardAssignment) -> ShardAssignment | None:
        """Remove dead replicas, and replace a primary that has died, restarted or is drained.

        If the primary and all backups are dead, the assignment stays: any of their disks may come back with
        all records. A dead backup also stays if fewer than `commit_count` replicas would be left without it:
        its disk has all committed records.
        """
        primary_liveness = self._hosts.liveness(known.primary)
        restarted = primary_liveness is Liveness.ALIVE and self._hosts.session(known.primary) != known.session
        successors = [each for each in known.backups if self._hosts.is_alive(each)]
        if primary_liveness is Liveness.DEAD and not successors:
            return None
        primary = known.primary
        if successors and self._is_replaceable(known, primary_liveness, restarted, successors):
            primary = self._preferred(successors)
        replaced = primary != known.primary or restarted
        session = self._hosts.session(primary) if replaced else known.session
        backups = self._remaining_backups(known, primary)
        joining = tuple(each for each in known.joining if self._hosts.liveness(each) is not Liveness.DEAD)
        repaired = ShardAssignment(known.shard, known.epoch + 1, primary, session, backups, joining)
        return None if _is_equivalent(repaired, known) else repaired

    def _is_replaceable(
        self,
        known: ShardAssignment,
        primary_liveness: Liveness,
        restarted: bool,
        successors: list[ReplicaId],
    ) -> bool:
        """Whether the primary has to be replaced: it is dead, has restarted, or is drained and not needed."""
        if primary_liveness is Liveness.DEAD or restarted:
            return True
        staying = [each for each in successors if not self._hosts.is_drained(each)]
        enough_without = len(staying) >= self._options.replica_count
        return self._hosts.is_drained(known.primary) and enough_without

    def _preferred(self, successors: list[ReplicaId]) -> ReplicaId:
        """Return the first successor that is not drained, or the first one if all are."""
        return next((each for each in successors if not self._hosts.is_drained(each)), successors[0])

    def _remaining_backups(self, known: ShardAssignment, primary: ReplicaId) -> tuple[ReplicaId, ...]:
        others = [each for each in (known.primary, *known.backups) if each != primary]
        counted = [primary, *sorted(others, key=self._hosts.is_drained)]
        dead = [each for each in counted[1:] if self._hosts.liveness(each) is Liveness.DEAD]
        for replica_id in sorted(dead, key=self._silence_order):
            if len(counted) > self._options.commit_count:
                counted.remove(replica_id)
        # There are more than `replica_count` if a dead replica that was kept has come back after its
        # substitute became a backup.
        del counted[self._options.replica_count :]
        return tuple(counted[1:])

    def _silence_order(self, replica_id: ReplicaId) -> tuple[int, ReplicaId]:
        """Sort key: the replica with the oldest last heartbeat, the least likely to return, comes first."""
        return (self._hosts.last_heartbeat_at(replica_id), replica_id)

    def with_joining(self, known: ShardAssignment, available: list[ReplicaHost]) -> ShardAssignment | None:
        """Add joining replicas, if fewer than `replica_count` are live."""
        if known.joining:
            return None
        live = {each.replica_id for each in available}
        present = [self._hosts.host(each) for each in known.members if each in live]
        if not self._hosts.is_alive(known.primary) or len(present) >= self._options.replica_count:
            return None
        candidates = [each for each in available if each.replica_id not in known.members]
        added = choose_hosts(known.shard, candidates, self._options.replica_count, present)
        if not added:
            return None
        joining = tuple(each.replica_id for each in added)
        return ShardAssignment(
            known.shard, known.epoch + 1, known.primary, known.session, known.backups, joining
        )

    def with_caught_up(
        self, known: ShardAssignment, caught_up: tuple[ReplicaId, ...]
    ) -> ShardAssignment | None:
        """Turn joining replicas that have caught up into backups, which every commit waits for."""
        ready = tuple(each for each in known.joining if each in caught_up)
        if not ready:
            return None
        joining = tuple(each for each in known.joining if each not in caught_up)
        backups = (*known.backups, *ready)
        return ShardAssignment(known.shard, known.epoch + 1, known.primary, known.session, backups, joining)

    def with_primary(self, known: ShardAssignment, backup: ReplicaId) -> ShardAssignment | None:
        """Replace a primary whose disk has lost records by a live backup with a later position."""
        if backup not in known.backups or not self._hosts.is_alive(backup):
            return None
        backups = (known.primary, *(each for each in known.backups if each != backup))
        session = self._hosts.session(backup)
        return ShardAssignment(known.shard, known.epoch + 1, backup, session, backups, known.joining)


def _is_equivalent(one: ShardAssignment, other: ShardAssignment) -> bool:
    """Whether two assignments differ in nothing but the epoch and the order of backups."""
    return (one.primary, one.session, set(one.backups), one.joining) == (
        other.primary,
        other.session,
        set(other.backups),
        other.joining,
    )
