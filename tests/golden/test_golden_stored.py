"""Folders that an earlier program has written are opened, and hold what was promised.

`stored/run`: of a gateway of a fleet of three, killed while it led and moved a tenant. `stored/made`: written
record by record (golden_stores.py), with a snapshot, entries that a later term has replaced, and a shard
whose last part is missing.
"""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest
from golden_data import STORED
from golden_messages import (
    HOLDINGS,
    EntryKind,
    Migration,
    MigrationStep,
    RecordState,
    ReplicaId,
    copies,
    leases,
    quorum,
)
from golden_stores import FOUNDERS, LEARNER, MADE, write_log

from lotusstream.net.migrations import read_migrations
from lotusstream.net.raft_node import open_store
from lotusstream.net.replica_store import ReplicaStore
from lotusstream.net.shard_control import _ASSIGNMENT_DECODER as ASSIGNED_DECODER
from lotusstream.quorum.replicated_log import ReplicatedLog
from lotusstream.wal.log import WriteAheadLog

MEMBERS_OF_THE_RUN = (
    quorum.Member("g1", "g1-b09d130724b0"),
    quorum.Member("g2", "g2-f0d9b5474fec"),
    quorum.Member("g3", "g3-ed64621646b8"),
)
MOVED = Migration(
    "uni-a", "east", "west", MigrationStep.DONE, 1_796_281_588_592_928, 1_796_281_573_076_136, "by hand"
)
LOGS = [path for path in sorted(STORED.rglob("*")) if path.is_file()]


@pytest.fixture
def stored(tmp_path: Path) -> Path:
    """A copy, since a log that is opened may be written to."""
    return Path(shutil.copytree(STORED, tmp_path / "stored"))


def open_journal(folder: Path) -> tuple[str, int, str, ReplicatedLog]:
    log, on_disk = open_store(str(folder))
    log.close()
    assert on_disk.log is not None and log.discarded_bytes == 0
    return on_disk.incarnation, on_disk.term, on_disk.voted_for, on_disk.log


def lease_table(journal: ReplicatedLog) -> leases.LeaseTable:
    entries = [journal.entry_at(index) for index in range(journal.snapshot.index + 1, journal.last_index + 1)]
    commands = [entry.data for entry in entries if entry.kind == EntryKind.OPERATION]
    return leases.LeaseTable.replay(journal.snapshot.state, commands)


def test_the_logs_of_a_run_and_hand_made_ones_are_here() -> None:
    found = [str(path.relative_to(STORED)) for path in LOGS]
    assert found == ["made/copies.log", "made/quorum.log", "run/copies.log", "run/moves", "run/quorum.log"]


@pytest.mark.parametrize("name", MADE)
def test_a_hand_made_log_is_written_byte_for_byte(name: str, tmp_path: Path) -> None:
    write_log(tmp_path / name, MADE[name])
    assert (tmp_path / name).read_bytes() == (STORED / "made" / name).read_bytes()


def test_the_vote_and_log_of_a_run_are_read(stored: Path) -> None:
    disk, term, vote, journal = open_journal(stored / "run")
    assert (disk, term, vote) == ("g3-ed64621646b8", 1, "g3-ed64621646b8")
    assert journal.snapshot == quorum.Snapshot(0, 0, "g1-b09d130724b0-3", MEMBERS_OF_THE_RUN)
    assert (journal.last_index, journal.last_term) == (88, 1)
    assert (journal.members, journal.members_index) == (MEMBERS_OF_THE_RUN, 0)


def test_the_leases_of_a_run_are_read(stored: Path) -> None:
    table = lease_table(open_journal(stored / "run")[-1])
    assert list(table.leases.values()) == [
        leases.Lease("moves", "g3", "g3-e7371a8eb749", 1, 27, "", False, 1),
        leases.Lease("copies", "g3", "g3-e7371a8eb749", 2, 27, "", False, 1),
        leases.Lease("examine", "g1", "g1-a51654f548e2", 3, 27, "", False, 1),
    ]
    assert table.newest_token == 3
    assert table.notes["plan"] == leases.Note(0, "478ddb5c94e3f6fc", 1, "g3")


def test_the_assignments_of_a_run_are_read(stored: Path) -> None:
    notes = lease_table(open_journal(stored / "run")[-1]).notes
    assert list(notes) == ["plan", "shard/0", "shard/1"]
    primary = ReplicaId("g2", "g2-fcd2f883137d")
    backups = (ReplicaId("g1", "g1-494aaf027c67"), ReplicaId("g3", "g3-a672fa73a199"))
    for shard in (0, 1):
        assert ASSIGNED_DECODER.decode(notes[f"shard/{shard}"].value) == copies.ShardAssignment(
            shard, 1, primary, "g2-fcd2f883137d.4cd769f1", backups, ()
        )


def test_the_copies_of_a_run_are_read(stored: Path) -> None:
    store = ReplicaStore(str(stored / "run"), "g3")
    store.close()
    assert (store.disk, store.damage) == ("g3-a672fa73a199", "")
    assert {number: (shard.position, shard.persisted_sequence) for number, shard in store.shards.items()} == {
        1: ((1, 3), 3),
        0: ((1, 2), 2),
    }
    until = (1_806_281_573_051_484, 1_806_281_573_062_198, 1_806_281_573_059_262)
    assert list(store.shards[1].records.values()) == [
        copies.IdempotencyRecord("key-1", "p", RecordState.ANSWERED, "g", until[0], b"answer to key-1"),
        copies.IdempotencyRecord("key-3", "p", RecordState.SENT, "g", until[1]),
    ]
    assert list(store.shards[0].records.values()) == [
        copies.IdempotencyRecord("key-2", "p", RecordState.ANSWERED, "g", until[2], b"answer to key-2"),
    ]


def test_the_moves_of_a_run_are_read_and_the_open_one_is_undone(stored: Path) -> None:
    path = stored / "run" / "moves"
    log = WriteAheadLog(str(path)).open()
    assert len(log.payloads) == 10
    assert read_migrations(log, str(path), 5) == [MOVED]
    log.close()
    again = WriteAheadLog(str(path)).open()
    again.close()
    assert again.payloads == [
        b'{"tenant":"uni-a","source":"east","target":"west","step":"done","since":1796281588592928,'
        b'"ran_until":1796281573076136,"why":"by hand"}'
    ]


def test_the_vote_and_the_log_behind_a_snapshot_are_read(stored: Path) -> None:
    disk, term, vote, journal = open_journal(stored / "made")
    assert (disk, term, vote) == ("g1-disk", 4, "g3-disk")
    assert (journal.snapshot.index, journal.snapshot.term, journal.snapshot.cluster_id) == (7, 2, "g1-disk-3")
    assert (journal.last_index, journal.last_term, journal.term_at(8)) == (11, 3, 2)
    assert journal.members_at(10) == FOUNDERS
    assert (journal.members, journal.members_index) == ((*FOUNDERS, LEARNER), 11)


def test_the_leases_of_a_snapshot_and_of_entries_are_read(stored: Path) -> None:
    table = lease_table(open_journal(stored / "made")[-1])
    assert list(table.leases.values()) == [
        leases.Lease("moves", "g1", "g1-session", 1, 1, "g3", True, 1),
        leases.Lease("copies", "g2", "g2-session", 2, 0, "", False, 1),
        leases.Lease("examine", "g3", "g3-session", 3, 0, "", False, 1),
    ]
    assert table.notes == {"shard/1": leases.Note(2, "[1]", 2, "g2")}
    assert table.newest_token == 3


def test_a_repeated_wish_is_known_from_a_snapshot(stored: Path) -> None:
    table = lease_table(open_journal(stored / "made")[-1])
    repeated = leases.encode_operation(leases.AcquireLease("moves", "g1", "g1-session", 2))
    assert table.apply(repeated) == leases.LeaseResult(True, "moves", "g1", 1, "")
    assert table.leases["moves"].renewal_count == 1


def test_a_shard_whose_last_part_is_missing_stays_as_it_was(stored: Path) -> None:
    store = ReplicaStore(str(stored / "made"), "g1")
    store.close()
    assert (store.disk, store.damage) == ("g1-disk", "")
    assert list(store.shards[0].records.values()) == list(HOLDINGS)
    assert (store.shards[0].position, store.shards[0].persisted_sequence) == ((3, 18), 18)
    assert list(store.shards[1].records.values()) == [HOLDINGS[0]]
    assert (store.shards[1].position, store.shards[1].persisted_sequence) == ((2, 1), 1)
