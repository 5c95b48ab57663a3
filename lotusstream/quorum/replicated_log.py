"""The log of one keeper in memory: a snapshot and the entries behind it, with the members of each time."""

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

_MEMBERS_DECODER: msgspec.msgpack.Decoder[tuple[Member, ...]] = msgspec.msgpack.Decoder(tuple[Member, ...])


def encode_members(members: Members) -> bytes:
    return msgspec.msgpack.encode(members)


class ReplicatedLog:
    """Indexes count from 1; index 0 is a founding."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[LogEntry] = ()) -> None:
        self.snapshot = snapshot
        self._entries = list[LogEntry]()
        self._member_versions: list[tuple[int, Members]] = [(snapshot.index, snapshot.members)]
        self.append(entries)

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def members(self) -> Members:
        """The newest, committed or not: they count from when they are appended."""
        return self._member_versions[-1][1]

    @property
    def members_index(self) -> int:
        return self._member_versions[-1][0]

    def members_at(self, index: int) -> Members:
        return next(members for at, members in reversed(self._member_versions) if at <= index)

    def term_at(self, index: int) -> int | None:
        """None where it is not known: behind the end, or inside the snapshot."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.snapshot.index - 1
        return self._entries[at].term if 0 <= at < len(self._entries) else None

    def entry_at(self, index: int) -> LogEntry:
        return self._entries[index - self.snapshot.index - 1]

    def entries_after(self, index: int, most: int) -> tuple[LogEntry, ...]:
        """What follows an index, up to so many bytes, and one entry at least."""
        at, size, found = index - self.snapshot.index, 0, list[LogEntry]()
        while at < len(self._entries) and (not found or size + len(self._entries[at].data) <= most):
            found.append(self._entries[at])
            size += len(self._entries[at].data) + 8
            at += 1
        return tuple(found)

    def append(self, entries: Iterable[LogEntry]) -> None:
        for entry in entries:
            self._entries.append(entry)
            if entry.kind == EntryKind.MEMBERS:
                self._member_versions.append((self.last_index, _MEMBERS_DECODER.decode(entry.data)))

    def truncate_from(self, first: int) -> None:
        """Forgets index `first` and all behind it."""
        del self._entries[first - self.snapshot.index - 1 :]
        while self._member_versions[-1][0] >= first and len(self._member_versions) > 1:
            self._member_versions.pop()

    def compact(self, index: int, state: bytes) -> None:
        term = self.term_at(index)
        assert term is not None
        members = self.members_at(index)
        kept = self._entries[index - self.snapshot.index :]
        self._member_versions = [
            (index, members),
            *(each for each in self._member_versions if each[0] > index),
        ]
        self._entries = kept
        self.snapshot = Snapshot(index, term, self.snapshot.cluster_id, members, state)

    def first_index_of_term(self, index: int) -> int:
        """Where the term that stands at `index` begins here: what a leader tries next."""
        term = self.term_at(index)
        while index > self.snapshot.index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def records(self) -> tuple[RaftRecord, ...]:
        found: list[RaftRecord] = [SnapshotRecord(self.snapshot)]
        if self._entries:
            found.append(EntriesRecord(self.snapshot.index + 1, tuple(self._entries)))
        return tuple(found)


class PersistedState:
    """What a disk holds, folded from its records. `journal` is None where no group was founded there."""

    def __init__(self, records: Sequence[RaftRecord]) -> None:
        self.incarnation, self.term, self.voted_for = "", 0, ""
        self.log: ReplicatedLog | None = None
        for record in records:
            match record:
                case IncarnationRecord(disk):
                    self.incarnation = disk
                case VoteRecord(term, vote):
                    self.term, self.voted_for = term, vote
                case SnapshotRecord(snapshot):
                    self.log = ReplicatedLog(snapshot)
                case EntriesRecord(first, entries):
                    if self.log is None or not self.log.snapshot.index < first <= self.log.last_index + 1:
                        raise ValueError(f"entries from {first} on follow nothing")
                    self.log.truncate_from(first)
                    self.log.append(entries)
