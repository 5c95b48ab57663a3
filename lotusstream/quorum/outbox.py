"""Collects the actions of one `handle` call, and holds back messages until their records are on the disk."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from lotusstream.quorum import events, messages


@dataclass(slots=True)
class PendingWrite:
    """A PersistRecords action that is not done yet, or that will be emitted when `handle` ends."""

    number: int  # `number` of its PersistRecords action
    last_index: int  # last log index on the disk once the write is done
    messages: list[messages.RaftEnvelope] = field(default_factory=list)  # to send once the write is done


class Outbox:
    """Collects actions in order. A message that depends on unwritten records waits for their write.

    Invariant: no vote and no acknowledgement is sent before the records that it depends on are on the disk;
    otherwise a crash could undo a vote or an entry that another node has already counted.
    """

    def __init__(self) -> None:
        self.actions: list[events.RaftAction] = []
        self._records: list[messages.RaftRecord] = []  # not in a PersistRecords action yet
        self._replace_log = False  # whether `_records` replace all records on the disk
        self._writes: deque[PendingWrite] = deque()  # writes that are not done yet, oldest first
        self._newest_write_number = 0  # `number` of the newest PersistRecords action

    @property
    def is_persisted(self) -> bool:
        """Whether all records added so far are on the disk."""
        return not self._writes and not self._records

    def persist(self, *records: messages.RaftRecord) -> None:
        """Adds records to the write at the end of this `handle` call."""
        self._records += records

    def replace_log(self, *records: messages.RaftRecord) -> None:
        """Replaces all records on the disk by these, with the write at the end of this `handle` call."""
        self._records = list(records)
        self._replace_log = True

    def discard_pending_writes(self) -> None:
        """Discards all messages that wait for a write."""
        self._writes.clear()

    def send(self, envelope: messages.RaftEnvelope, *, after_persist: bool) -> None:
        """Sends a message: at once, or if `after_persist`, once all records added so far are on the disk."""
        if after_persist and self._records:
            self._next_write().messages.append(envelope)
        elif after_persist and self._writes:
            self._writes[-1].messages.append(envelope)
        else:
            self.actions.append(events.SendMessage(envelope))

    def flush(self, last_index: int) -> None:
        """Requests the write at the end of this `handle` call, if there are records to write.

        :param last_index: last log index on the disk once the write is done
        """
        if not self._records:
            return
        self._next_write().last_index = last_index
        self._newest_write_number += 1
        self.actions.append(
            events.PersistRecords(self._newest_write_number, tuple(self._records), self._replace_log)
        )
        self._records = []
        self._replace_log = False

    def complete_writes(self, number: int) -> int | None:
        """Sends the messages that waited for the writes up to `number`.

        :returns: the last log index now on the disk, or None if no pending write was completed
        """
        last_index = None
        while self._writes and self._writes[0].number <= number:
            write = self._writes.popleft()
            last_index = write.last_index
            self.actions += map(events.SendMessage, write.messages)
        return last_index

    def _next_write(self) -> PendingWrite:
        if not self._writes or self._writes[-1].number != self._newest_write_number + 1:
            self._writes.append(PendingWrite(self._newest_write_number + 1, 0))
        return self._writes[-1]
