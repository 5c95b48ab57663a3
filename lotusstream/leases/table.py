"""The lease table, which every node of the quorum builds from the operations in the replicated log.

The table has no clock, so it expires no lease by itself. The leader measures the time (`leases/expiry.py`)
and appends an ExpireLease that names the grant and the renewal that the leader saw. The table ignores an
ExpireLease if the lease was renewed meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

MAX_NOTES_COUNT = 1024
MAX_NOTE_CHARS = 4096  # longest value of a note; the rest is cut off
# Holders per task whose newest operation is stored. A duplicate of any other holder is applied, which is
# harmless.
MAX_TRACKED_HOLDERS_COUNT = 512

# Operations. They are encoded as arrays: the order of fields and the tags are the storage and wire format.


class LeaseOperationBase(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    """Base of all operations on the lease of one task."""


class AcquireLease(LeaseOperationBase, frozen=True, tag="acquire"):
    """Acquires a lease, or renews it if `holder` holds it already."""

    task: str
    holder: str  # name of the gateway that acquires the lease
    session: str  # unique id of one run of the holder's program
    number: int  # request number, which increases within a session; the table ignores an older or equal one


class ReleaseLease(LeaseOperationBase, frozen=True, tag="release"):
    """Releases a lease."""

    task: str
    holder: str  # name of the gateway that releases the lease
    session: str  # unique id of one run of the holder's program
    number: int  # request number, from the same sequence as `AcquireLease.number`
    token: int  # fencing token of the grant to release
    successor: str = ""  # only gateway that may acquire the lease next; '' for any gateway


class ExpireLease(LeaseOperationBase, frozen=True, tag="expire"):
    """Expires a lease whose duration has passed, as measured by the leader."""

    task: str
    token: int  # fencing token that the leader saw; 0 ends the reservation of a free lease for a successor
    renewal_count: int  # renewal count that the leader saw; a lease renewed since then does not expire


class RevokeLease(LeaseOperationBase, frozen=True, tag="take-back"):
    """Revokes a lease on an operator's request: it can't be renewed any more, and is free once it expires."""

    task: str
    token: int  # fencing token of the grant to revoke
    successor: str = ""  # only gateway that may acquire the lease next; '' for any gateway


class PutNote(LeaseOperationBase, frozen=True, tag="put"):
    """Stores a note (see `Note`). Only the holder of the task's lease may do this."""

    task: str
    token: int  # fencing token of the task's lease
    key: str  # key under which the note is stored
    version: int  # has to be higher than the stored version, or equal with an equal value
    value: str


LeaseOperation = AcquireLease | ReleaseLease | ExpireLease | RevokeLease | PutNote

_OPERATION_DECODER: msgspec.msgpack.Decoder[LeaseOperation] = msgspec.msgpack.Decoder(LeaseOperation)


def encode_operation(operation: LeaseOperation) -> bytes:
    """Return the encoded operation, as stored in the log."""
    return msgspec.msgpack.encode(operation)


# State of the table. Field names, or the names in `rename`, are keys of the stored form.


class Lease(
    msgspec.Struct,
    rename={
        "renewal_count": "renewed",
        "successor": "heir",
        "is_revoked": "ending",
        "grant_count": "granted",
    },
):
    """The lease of one task. `rename` maps fields to the keys of the stored form."""

    task: str
    holder: str = ""  # name of the gateway that holds the lease; '' while it is free
    session: str = ""  # run of the holder's program; '' while the lease is free
    token: int = 0  # fencing token; 0 while the lease is free
    # Renewals since the grant. Freeing the lease increments it too, so that no older ExpireLease matches.
    renewal_count: int = 0
    # Only gateway that may acquire the lease next, until an ExpireLease clears this field; '' for any.
    successor: str = ""
    is_revoked: bool = False  # True: the lease can't be renewed any more
    grant_count: int = 0  # number of times that the lease was granted


class Note(msgspec.Struct, frozen=True):
    """A versioned text that the quorum stores under a key and that is the same for all gateways.

    Notes hold, for example, the digest of the cell plan, the shard assignments and the drained machines.
    """

    version: int  # version number chosen by the author; the version of a stored note only increases
    value: str  # text that the gateway wrote; its format depends on the key
    token: int  # fencing token under which the note was stored
    author: str  # name of the gateway that held this token


class LeaseResult(
    msgspec.Struct,
    frozen=True,
    rename={"reason": "why", "is_new_grant": "fresh", "remaining_us": "left"},
):
    """The outcome of an operation, and the lease after it. `rename` maps fields to the keys on the wire."""

    done: bool  # whether the operation was carried out
    task: str
    holder: str  # name of the gateway that holds the lease; '' while it is free
    token: int  # fencing token; 0 while the lease is free
    reason: str = ""  # why the operation was rejected; '' if it was carried out
    is_new_grant: bool = False  # True if the lease was free before this operation granted it
    remaining_us: int = 0  # time until the lease can expire, as measured by the leader; 0 where not known


class _StoredTable(msgspec.Struct, array_like=True):
    """A lease table in the form in which a snapshot stores it."""

    next_token: int  # fencing token of the next grant
    leases: list[Lease]
    last_operations: dict[str, list[tuple[str, str, int]]]  # by task: rows of holder, session, number
    notes: dict[str, Note] = {}  # by key


_TABLE_DECODER: msgspec.msgpack.Decoder[_StoredTable] = msgspec.msgpack.Decoder(_StoredTable)


@dataclass(frozen=True, slots=True)
class _LastOperation:
    """The newest AcquireLease or ReleaseLease of one holder."""

    session: str
    number: int  # number of the operation within the session


class LeaseTable:
    """All leases, and all notes (see `Note`).

    Invariants: the same operations in the same order give equal tables. Fencing tokens strictly increase over
    all tasks together, also after the table is restored from a snapshot.
    """

    def __init__(self) -> None:
        self._next_token = 1
        self.leases: dict[str, Lease] = {}  # by task
        self.notes: dict[str, Note] = {}  # by key
        # By task and holder. The holder that has sent no operation for the longest time comes first.
        self._last_operations: dict[str, dict[str, _LastOperation]] = {}

    @property
    def newest_token(self) -> int:
        """The newest fencing token granted so far; 0 before the first grant."""
        return self._next_token - 1

    def apply(self, data: bytes) -> LeaseResult:
        """Applies an encoded operation of the log. Raises msgspec.MsgspecError if it can't be decoded."""
        operation = _OPERATION_DECODER.decode(data)
        lease = self.leases.get(operation.task) or Lease(operation.task)
        match operation:
            case AcquireLease():
                return self._acquire(lease, operation)
            case ReleaseLease():
                return self._release(lease, operation)
            case ExpireLease():
                return self._expire(lease, operation)
            case RevokeLease():
                return self._revoke(lease, operation)
            case PutNote():
                return self._put_note(lease, operation)

    def dump(self) -> bytes:
        """Return the encoded table, for use as the state of a snapshot."""
        last_operations = {
            task: [(holder, last.session, last.number) for holder, last in holders.items()]
            for task, holders in self._last_operations.items()
        }
        stored = _StoredTable(self._next_token, list(self.leases.values()), last_operations, self.notes)
        return msgspec.msgpack.encode(stored)

    @classmethod
    def load(cls, state: bytes) -> LeaseTable:
        """Return the table encoded in the state of a snapshot; an empty table if `state` is empty."""
        table = cls()
        if not state:
            return table
        stored = _TABLE_DECODER.decode(state)
        table._next_token = stored.next_token
        table.leases = {lease.task: lease for lease in stored.leases}
        table.notes = stored.notes
        table._last_operations = {
            task: {holder: _LastOperation(session, number) for holder, session, number in rows}
            for task, rows in stored.last_operations.items()
        }
        return table

    @classmethod
    def replay(cls, state: bytes, operations: Iterable[bytes]) -> LeaseTable:
        """Return the table encoded in the state of a snapshot, with these encoded operations applied."""
        table = cls.load(state)
        for operation in operations:
            table.apply(operation)
        return table

    def _acquire(self, lease: Lease, operation: AcquireLease) -> LeaseResult:
        is_holder = lease.holder == operation.holder and lease.session == operation.session
        if self._detect_duplicate_or_record(operation):
            if is_holder and lease.token > 0:
                return _result(lease)
            return _result(lease, "duplicate or outdated request")
        if lease.token and is_holder:
            return self._renew(lease)
        if lease.token:
            return _result(lease, "held")
        if lease.successor and lease.successor != operation.holder:
            return _result(lease, f"reserved for {lease.successor}")
        return self._grant(lease, operation)

    def _renew(self, lease: Lease) -> LeaseResult:
        if lease.is_revoked:
            return _result(lease, "revoked by an operator")
        lease.renewal_count += 1
        return _result(lease)

    def _grant(self, lease: Lease, operation: AcquireLease) -> LeaseResult:
        self.leases[operation.task] = lease
        lease.holder = operation.holder
        lease.session = operation.session
        lease.successor = ""
        lease.is_revoked = False
        lease.token = self._next_token
        lease.renewal_count = 0
        lease.grant_count += 1
        self._next_token += 1
        return _result(lease, is_new_grant=True)

    def _release(self, lease: Lease, operation: ReleaseLease) -> LeaseResult:
        is_duplicate = self._detect_duplicate_or_record(operation)
        if is_duplicate or lease.token != operation.token or lease.session != operation.session:
            return _result(lease, "the sender no longer holds the lease")
        lease.successor = lease.successor or operation.successor
        _free(lease)
        return _result(lease)

    def _expire(self, lease: Lease, operation: ExpireLease) -> LeaseResult:
        if lease.token != operation.token or lease.renewal_count != operation.renewal_count:
            return _result(lease, "the lease was renewed or has another holder")
        if lease.token:
            _free(lease)
        else:  # the successor has not acquired the free lease in time
            lease.successor = ""
            lease.renewal_count += 1
        return _result(lease)

    def _revoke(self, lease: Lease, operation: RevokeLease) -> LeaseResult:
        if not operation.token or lease.token != operation.token:
            return _result(lease, "the lease is free or was granted again under another token")
        lease.is_revoked = True
        lease.successor = operation.successor
        return _result(lease)

    def _put_note(self, lease: Lease, operation: PutNote) -> LeaseResult:
        key = operation.key
        if not lease.token or lease.token != operation.token:
            return _result(lease, f"token {operation.token} of '{operation.task}' is not valid any more")
        note = self.notes.get(key)
        if note is not None:
            if (note.version, note.value) == (operation.version, operation.value):
                return _result(lease)
            if note.version >= operation.version:
                reason = (
                    f"version {note.version} of note '{key}' by {note.author} is agreed on, and differs from "
                    f"the proposal with version {operation.version}: expected a version above {note.version}"
                )
                return _result(lease, reason)
        elif len(self.notes) >= MAX_NOTES_COUNT:
            return _result(lease, f"the limit of {MAX_NOTES_COUNT} notes is reached")
        value = operation.value[:MAX_NOTE_CHARS]
        self.notes[key] = Note(operation.version, value, operation.token, lease.holder)
        return _result(lease)

    def _detect_duplicate_or_record(self, operation: AcquireLease | ReleaseLease) -> bool:
        """Return whether an operation is a duplicate or outdated. If not, store it as its holder's newest.

        Without this check, an AcquireLease that is delivered late or twice could grant the lease to a holder
        that has released it and no longer renews it. A late ReleaseLease also has an outdated token.
        """
        holders = self._last_operations.setdefault(operation.task, {})
        last = holders.get(operation.holder, _LastOperation("", 0))
        if last.session == operation.session and operation.number <= last.number:
            return True
        holders.pop(operation.holder, None)  # the holder moves to the end; the first one is dropped below
        holders[operation.holder] = _LastOperation(operation.session, operation.number)
        if len(holders) > MAX_TRACKED_HOLDERS_COUNT:
            del holders[next(iter(holders))]
        return False


def _result(lease: Lease, reason: str = "", is_new_grant: bool = False) -> LeaseResult:
    """Return the lease's state as a result; an empty `reason` means that the operation was carried out."""
    return LeaseResult(not reason, lease.task, lease.holder, lease.token, reason, is_new_grant)


def _free(lease: Lease) -> None:
    """Marks the lease as free. Its successor, if any, is kept."""
    lease.holder = ""
    lease.session = ""
    lease.token = 0
    lease.is_revoked = False
    lease.renewal_count += 1
