"""Stores all shard replicas of a gateway in one log file."""

from __future__ import annotations

import os
import threading
import time
import uuid
from typing import Any

import msgspec

from lotusstream.copies.messages import LogRecord, OperationLogRecord, SnapshotLogRecord
from lotusstream.copies.replica_events import PersistLogRecords
from lotusstream.copies.shard_replica import recover_shards
from lotusstream.net import raft_node
from lotusstream.wal.errors import CorruptLogError
from lotusstream.wal.log import WriteAheadLog

LOG_FILE_NAME = "copies.log"
MIN_REWRITE_BYTES = 1 << 20  # a log of this size or less is not rewritten for its growth
REWRITE_GROWTH_RATIO = 2  # a log is rewritten at this multiple of its size after the last rewrite


class DiskIdentity(msgspec.Struct, frozen=True, array_like=True, tag_field="is", tag="disk"):
    """The first record of the log: it identifies the disk."""

    disk: str


_LOG_RECORD_DECODER: msgspec.msgpack.Decoder[DiskIdentity | OperationLogRecord | SnapshotLogRecord]
_LOG_RECORD_DECODER = msgspec.msgpack.Decoder(DiskIdentity | OperationLogRecord | SnapshotLogRecord)


class ReplicaStore:
    """Writes log records, and recovers them at the start.

    A damaged log is renamed, and the gateway begins as a new replica without records: other replicas send it
    the records. The methods are thread-safe: a lock serializes writes and reads of the log.
    """

    def __init__(self, folder: str, name: str) -> None:
        """Open the log. Create the folder and the file if they don't exist.

        :param name: the gateway's name; the identity of a new disk begins with it.
        :raises LogError: the log can't be opened, although it is not damaged.
        """
        os.makedirs(folder, mode=0o700, exist_ok=True)
        self.damage = ""  # the damage for which the log was renamed; "": it was not damaged
        records = self._open(os.path.join(folder, LOG_FILE_NAME))
        self._log.payloads = []
        disks = [record.disk for record in records if isinstance(record, DiskIdentity)]
        self.disk = disks[0] if disks else f"{name}-{uuid.uuid4().hex[:12]}"
        if not disks:
            self._log.append(msgspec.msgpack.encode(DiskIdentity(self.disk)))
        self.shards = recover_shards(each for each in records if not isinstance(each, DiskIdentity))
        self._lock = threading.Lock()
        self._rewrite_above_bytes = self._next_rewrite_bytes()

    def _open(self, path: str) -> list[DiskIdentity | OperationLogRecord | SnapshotLogRecord]:
        """Open the log and return its records. A damaged log is renamed, and an empty one is created."""
        try:
            self._log = WriteAheadLog(path, raft_node.make_disk()).open()
            return [_LOG_RECORD_DECODER.decode(payload) for payload in self._log.payloads]
        except (CorruptLogError, msgspec.MsgspecError) as error:
            self.damage = str(error)
            if not isinstance(error, CorruptLogError):
                self._log.close()
        os.replace(path, f"{path}.damaged-{time.time_ns()}")
        self._log = WriteAheadLog(path, raft_node.make_disk()).open()
        return []

    def _next_rewrite_bytes(self) -> int:
        return max(MIN_REWRITE_BYTES, REWRITE_GROWTH_RATIO * self._log.size_bytes)

    def write(self, writes: list[PersistLogRecords], snapshot: list[LogRecord] | None) -> None:
        """Append the records of these writes with a single sync.

        :param snapshot: records of all shards, which replace the log; None: append `writes`.
        :raises DiskError: the records of this call may not be on the disk; those of earlier calls are.
        """
        with self._lock:
            if snapshot is not None:
                records: list[Any] = [DiskIdentity(self.disk), *snapshot]
                self._log.rewrite(map(msgspec.msgpack.encode, records))
                self._rewrite_above_bytes = self._next_rewrite_bytes()
            else:
                records = [record for write in writes for record in write.records]
                self._log.append(*map(msgspec.msgpack.encode, records))

    def first_damaged_byte(self) -> int | None:
        """Read the whole log from the disk. Writes may go on meanwhile.

        :returns: the offset of the first damaged byte; None: there is no damage.
        :raises DiskError: the log can't be opened.
        """
        with self._lock:
            inspection = self._log.inspect()
        return inspection.first_damaged_byte()

    @property
    def is_due_for_rewrite(self) -> bool:
        """Whether the log is so large that it has to be replaced by a snapshot of the records in memory."""
        return self._log.size_bytes > self._rewrite_above_bytes

    def close(self) -> None:
        """Close the log. Waits for a running write to end."""
        with self._lock:
            self._log.close()
