"""The records of the hand-made logs in `stored/made`, in the order in which they were written."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
from golden_messages import HOLDINGS, CopiesIdentity, EntryKind, copies, lease_table, leases, quorum

from lotusstream.quorum.replicated_log import encode_members
from lotusstream.wal.log import WriteAheadLog

FOUNDERS = tuple(quorum.Member(f"g{at}", f"g{at}-disk") for at in (1, 2, 3))
LEARNER = quorum.Member("g4", "g4-disk", False)


def _command(term: int, task: str, holder: str) -> quorum.LogEntry:
    wish = leases.AcquireLease(task, holder, f"{holder}-session", 1)
    return quorum.LogEntry(term, EntryKind.OPERATION, leases.encode_operation(wish))


QUORUM_LOG = (
    quorum.IncarnationRecord("g1-disk"),
    quorum.VoteRecord(1, "g2-disk"),
    quorum.SnapshotRecord(quorum.Snapshot(7, 2, "g1-disk-3", FOUNDERS, lease_table().dump())),
    quorum.EntriesRecord(
        8, (quorum.LogEntry(2, EntryKind.NOOP), _command(2, "lost", "g9"), _command(2, "lost", "g9"))
    ),
    quorum.VoteRecord(3, "g2-disk"),
    # entries of a later term in place of 9 and 10
    quorum.EntriesRecord(
        9,
        (
            quorum.LogEntry(3, EntryKind.NOOP),
            _command(3, "examine", "g3"),
            quorum.LogEntry(3, EntryKind.MEMBERS, encode_members((*FOUNDERS, LEARNER))),
        ),
    ),
    quorum.VoteRecord(4, "g3-disk"),
)
COPIES_LOG = (
    CopiesIdentity("g1-disk"),
    copies.OperationLogRecord(0, copies.Operation(1, 1, HOLDINGS[0])),
    copies.SnapshotLogRecord(0, 3, 17, HOLDINGS[:1], 0, 2),
    copies.SnapshotLogRecord(0, 3, 17, HOLDINGS[1:2], 1, 2),
    copies.OperationLogRecord(0, copies.Operation(3, 18, HOLDINGS[2])),
    copies.OperationLogRecord(1, copies.Operation(2, 1, HOLDINGS[0])),
    copies.SnapshotLogRecord(1, 4, 20, HOLDINGS[1:], 0, 2),  # its second part never came
)
MADE = {"quorum.log": QUORUM_LOG, "copies.log": COPIES_LOG}


def write_log(path: Path, records: Iterable[Any]) -> None:
    log = WriteAheadLog(str(path)).open()
    log.append(*map(msgspec.msgpack.encode, records))
    log.close()
