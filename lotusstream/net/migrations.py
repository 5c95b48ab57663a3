"""Writes the steps of moves down, off the loop: a disk that is slow holds a move up, and no command."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from lotusstream.cells.messages import MigrationNotPersisted, MigrationPersisted
from lotusstream.cells.migration import Migration, MigrationStep, recover_migrations
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.wal.errors import CorruptLogError, DiskError
from lotusstream.wal.log import WriteAheadLog

_STEPS: msgspec.json.Decoder[Migration] = msgspec.json.Decoder(Migration)


def read_moves(log: WriteAheadLog, path: str, now: int) -> list[Migration]:
    """The tenants that live elsewhere than the plan says. What was on its way is ended or undone, and the
    log holds no more than that afterwards. Raises LogTrouble."""
    try:
        records = [_STEPS.decode(payload) for payload in log.payloads]
    except msgspec.MsgspecError as error:
        hint = "move it away to begin anew without what it held"
        raise CorruptLogError(path, f"a record can't be read: {error}", hint, 0) from error
    kept = [move for move in recover_migrations(records, now).values() if move.step is MigrationStep.DONE]
    if len(kept) < len(records):
        log.rewrite(_encoded(kept))
    log.payloads = []
    return kept


def _encoded(moves: Iterable[Migration]) -> list[bytes]:
    return [msgspec.json.encode(move) for move in moves]


class MoveWriter(Actor[Migration]):
    """One step after the other. `log` is None where the disk could not be used at the start: then no step
    is ever written, and `why` says so."""

    def __init__(
        self,
        log: WriteAheadLog | None,
        why: str,
        tell: Callable[[MigrationPersisted | MigrationNotPersisted], None],
        supervisor: Supervisor,
    ) -> None:
        super().__init__("move writer", supervisor)
        self._log, self._why, self._tell = log, why, tell

    async def receive(self, message: Migration) -> None:
        if self._log is None:
            self._tell(MigrationNotPersisted(message, self._why))
            return
        try:
            await asyncio.to_thread(self._log.append, *_encoded([message]))
        except DiskError as error:
            self.supervisor.counters.add("steps of moves not written")
            self.supervisor.log.write("moves", str(error), "error", tenant=message.tenant)
            self._tell(MigrationNotPersisted(message, str(error)))
            return
        self.supervisor.counters.add(f"moves {message.step.value}")
        way = f"{message.source} -> {message.target}"
        text = f"{message.tenant}: {way}, {message.step.value} {message.why}".rstrip()
        self.supervisor.log.write("moves", text, "info", tenant=message.tenant, step=message.step.value)
        self._tell(MigrationPersisted(message))

    def close(self) -> None:
        if self._log is not None:
            self._log.close()
