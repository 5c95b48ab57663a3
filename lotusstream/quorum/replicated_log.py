"""The in-memory log of a node: a snapshot, the entries after it, and the member list at each index."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from lotusstream.quorum.messages import (
    EntriesRecord,
    EntryKind,
    IncarnationRecord,
    LogEntry,
    Member,
    Members,
    RaftRecord,
    Snapshot,
    SnapshotRecord,
    VoteRecord,
)

ENTRY_OVERHEAD_BYTES = 8  # added to the size of each entry's data when a batch is measured

_MEMBERS_DECODER: msgspec.msgpack.Decoder[tuple[Member, ...]] = msgspec.msgpack.Decoder(tuple[Member, ...])


def encode_members(members: Members) -> bytes:
    """Return the `data` of a MEMBERS entry."""
    return msgspec.msgpack.encode(members)


class ReplicatedLog:
    """Log entries by index. The first entry has index 1; index 0 is the initial snapshot of the cluster."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[LogEntry] = ()) -> None:
        self.snapshot = snapshot
        self._entries = list[LogEntry]()  # entries after the snapshot
        # Each member list with the first log index at which it applies, oldest first; never empty.
        self._member_versions: list[tuple[int, Members]] = [(snapshot.index, snapshot.members)]
        self.append(entries)

    @property
    def last_index(self) -> int:
        """The index of the newest entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the newest entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def members(self) -> Members:
        """The newest member list, committed or not: a list applies as soon as it is appended."""
        return self._member_versions[-1][1]

    @property
    def members_index(self) -> int:
        """The log index from which the newest member list applies."""
        return self._member_versions[-1][0]

    def members_at(self, index: int) -> Members:
        """Return the member list that applies at `index`, which must not be before the snapshot."""
        return next(
            members for first_index, members in reversed(self._member_versions) if first_index <= index
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`; None after the end of the log or before the snapshot."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        return self._entries[position].term if 0 <= position < len(self._entries) else None

    def entry_at(self, index: int) -> LogEntry:
        """Return the entry at `index`, which must be after the snapshot."""
        return self._entries[index - self.snapshot.index - 1]

    def entries_after(self, index: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries after `index`: as many as fit in `max_bytes`, but at least one if there is any."""
        batch = list[LogEntry]()
        batch_bytes = 0
        for position in range(index - self.snapshot.index, len(self._entries)):
            entry = self._entries[position]
            if batch and batch_bytes + len(entry.data) > max_bytes:
                break
            batch.append(entry)
            batch_bytes += len(entry.data) + ENTRY_OVERHEAD_BYTES
        return tuple(batch)

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Appends entries at the end."""
        for entry in entries:
            self._entries.append(entry)
            if entry.kind == EntryKind.MEMBERS:
                self._member_versions.append((self.last_index, _MEMBERS_DECODER.decode(entry.data)))

    def truncate_from(self, first_index: int) -> None:
        """Removes the entry at `first_index` and all entries after it."""
        del self._entries[first_index - self.snapshot.index - 1 :]
        while self._member_versions[-1][0] >= first_index and len(self._member_versions) > 1:
            self._member_versions.pop()

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the entries up to `index` by a snapshot.

        :param state: encoded state machine after the entry at `index`
        """
        term = self.term_at(index)
        assert term is not None
        members = self.members_at(index)
        later_versions = [version for version in self._member_versions if version[0] > index]
        self._entries = self._entries[index - self.snapshot.index :]
        self._member_versions = [(index, members), *later_versions]
        self.snapshot = Snapshot(index, term, self.snapshot.cluster_id, members, state)

    def first_index_of_term(self, index: int) -> int:
        """Return the index of the first entry after the snapshot with the same term as the one at `index`."""
        term = self.term_at(index)
        while index > self.snapshot.index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def records(self) -> tuple[RaftRecord, ...]:
        """Return the records that store this log on a disk."""
        snapshot = SnapshotRecord(self.snapshot)
        if not self._entries:
            return (snapshot,)
        return snapshot, EntriesRecord(self.snapshot.index + 1, tuple(self._entries))


class PersistedState:
    """The state of a node, read from the records on its disk in write order."""

    def __init__(self, records: Sequence[RaftRecord]) -> None:
        """Raises ValueError if entries don't follow a snapshot or an earlier entry."""
        self.incarnation = ""  # '' if the disk is empty
        self.term = 0
        self.voted_for = ""  # incarnation that got this node's vote in `term`; '' if none
        self.log: ReplicatedLog | None = None  # None if the node has never been a member of a cluster
        for record in records:
            self._apply(record)

    def _apply(self, record: RaftRecord) -> None:
        match record:
            case IncarnationRecord(incarnation):
                self.incarnation = incarnation
            case VoteRecord(term, voted_for):
                self.term = term
                self.voted_for = voted_for
            case SnapshotRecord(snapshot):
                self.log = ReplicatedLog(snapshot)
            case EntriesRecord(first_index, entries):
                self._apply_entries(first_index, entries)

    def _apply_entries(self, first_index: int, entries: tuple[LogEntry, ...]) -> None:
        log = self.log
        if log is None or not log.snapshot.index < first_index <= log.last_index + 1:
            raise ValueError(f"entries that start at index {first_index} don't continue the stored log")
        log.truncate_from(first_index)
        log.append(entries)
