"""Reads and writes the migration log on disk.

Records are written in a separate thread, so that a slow disk delays migrations but no requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from lotusstream.cells.messages import MigrationNotPersisted, MigrationPersisted
from lotusstream.cells.migration import Migration, MigrationStep, recover_migrations
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.wal.errors import CorruptLogError, DiskError
from lotusstream.wal.log import WriteAheadLog

_RECORD_DECODER: msgspec.json.Decoder[Migration] = msgspec.json.Decoder(Migration)


def read_migrations(log: WriteAheadLog, path: str, now: int) -> list[Migration]:
    """Returns the completed migrations, whose tenants may be in another cell than the plan names. Migrations
    that are still open are completed or rolled back first. The log is rewritten with the completed ones only.

    :param log: the open log
    :param path: path of the log, for error messages
    :param now: microseconds
    :raises LogError: a record can't be decoded, or the log can't be written
    """
    try:
        records = [_RECORD_DECODER.decode(payload) for payload in log.payloads]
    except msgspec.MsgspecError as error:
        hint = "move the file away to start with an empty migration log"
        raise CorruptLogError(path, f"a migration record can't be decoded: {error}", hint, 0) from error
    recovered = recover_migrations(records, now).values()
    done = [migration for migration in recovered if migration.step is MigrationStep.DONE]
    if len(done) < len(records):
        log.rewrite(_encode(done))
    log.payloads = []
    return done


def _encode(migrations: Iterable[Migration]) -> list[bytes]:
    return [msgspec.json.encode(migration) for migration in migrations]


class MigrationWriter(Actor[Migration]):
    """Writes records to the migration log in the order in which they are posted, and reports each result."""

    def __init__(
        self,
        log: WriteAheadLog | None,
        missing_reason: str,
        report: Callable[[MigrationPersisted | MigrationNotPersisted], None],
        supervisor: Supervisor,
    ) -> None:
        """
        :param log: the open log; None: no log is configured or it could not be opened, so every record is
            reported as not persisted
        :param missing_reason: why `log` is None
        :param report: called with the result of each record
        :param supervisor: the supervisor of the gateway
        """
        super().__init__("migration writer", supervisor)
        self._log = log
        self._missing_reason = missing_reason
        self._report = report

    async def receive(self, message: Migration) -> None:
        """Writes a record to disk and reports whether that succeeded."""
        if self._log is None:
            self._report(MigrationNotPersisted(message, self._missing_reason))
            return
        try:
            await asyncio.to_thread(self._log.append, *_encode([message]))
        except DiskError as error:
            self.supervisor.counters.add("steps of moves not written")
            self.supervisor.log.write("moves", str(error), "error", tenant=message.tenant)
            self._report(MigrationNotPersisted(message, str(error)))
            return
        self.supervisor.counters.add(f"moves {message.step.value}")
        cells = f"{message.source} -> {message.target}"
        text = f"{message.tenant}: {cells}, {message.step.value} {message.why}".rstrip()
        self.supervisor.log.write("moves", text, "info", tenant=message.tenant, step=message.step.value)
        self._report(MigrationPersisted(message))

    def close(self) -> None:
        """Closes the log."""
        if self._log is not None:
            self._log.close()
