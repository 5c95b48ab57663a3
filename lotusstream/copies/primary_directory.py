"""Chooses the host that a gateway asks about a key: the known primary of its shard, or a probable one."""

from __future__ import annotations

from collections.abc import Iterable

from lotusstream.copies.shards import ReplicaHost, choose_hosts, shard_of


class PrimaryDirectory:
    """Remembers the primary of each shard, which hosts name in their replies."""

    def __init__(self, hosts: Iterable[ReplicaHost], shard_count: int, replica_count: int) -> None:
        self._hosts = tuple(hosts)
        self._shard_count = shard_count
        self._replica_count = replica_count
        self._primaries: dict[int, str] = {}  # name of the primary by shard
        self._candidates: dict[int, tuple[str, ...]] = {}  # hosts by shard, in the order to ask them

    def note_primary(self, key: str, name: str) -> None:
        """Remember the primary of the key's shard."""
        self._primaries[shard_of(key, self._shard_count)] = name

    def choose(self, key: str, skipped: list[str]) -> str:
        """Return the host to ask about a key.

        :param skipped: hosts that did not reply or could not help; the list is cleared once it has all hosts.
        """
        shard = shard_of(key, self._shard_count)
        primary = self._primaries.get(shard, "")
        if primary and primary not in skipped:
            return primary
        candidates = self._candidates_of(shard)
        for name in candidates:
            if name not in skipped:
                return name
        skipped.clear()
        return primary or candidates[0]

    def _candidates_of(self, shard: int) -> tuple[str, ...]:
        """Return all hosts, beginning with those on which `choose_hosts` would place the shard."""
        if shard not in self._candidates:
            likely = choose_hosts(shard, self._hosts, self._replica_count)
            self._candidates[shard] = tuple(each.replica_id.name for each in (*likely, *self._hosts))
        return self._candidates[shard]
