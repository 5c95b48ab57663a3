"""The leases as all keepers have them: applied from the log in one order, with no clock.

A time runs out nowhere here: the leader counts it (`leases/granter.py`) and puts an Expire into the log,
which names what it saw, so that a renewal which came between them stands.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

MAX_NOTES_COUNT = 1024
MAX_NOTE_CHARS = 4096
MAX_TRACKED_HOLDERS_COUNT = (
    512  # whose newest number is kept for each task; older ones may be carried out twice, and harm no one
)


class LeaseOperationBase(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    pass


class AcquireLease(LeaseOperationBase, frozen=True, tag="acquire"):
    """Also renews, where `holder` has it. `session`: of one run of the holder's program; `number` grows in
    it, so that a wish that comes twice, or late, does nothing."""

    task: str
    holder: str
    session: str
    number: int


class ReleaseLease(LeaseOperationBase, frozen=True, tag="release"):
    """`heir`: who gets it next, if that one is to; '' for whoever comes first."""

    task: str
    holder: str
    session: str
    number: int
    token: int
    successor: str = ""


class ExpireLease(LeaseOperationBase, frozen=True, tag="expire"):
    """The leader's word: this grant, renewed so often, has run out."""

    task: str
    token: int
    renewal_count: int


class RevokeLease(LeaseOperationBase, frozen=True, tag="take-back"):
    """By hand: nobody gets it before its time is over, but its holder is told at its next renewal."""

    task: str
    token: int
    successor: str = ""


class PutNote(LeaseOperationBase, frozen=True, tag="put"):
    """A note that all agree on, by whoever holds `task` under `token`: a newer version, or the same again."""

    task: str
    token: int
    key: str
    version: int
    value: str


LeaseOperation = AcquireLease | ReleaseLease | ExpireLease | RevokeLease | PutNote

_OPERATION_DECODER: msgspec.msgpack.Decoder[LeaseOperation] = msgspec.msgpack.Decoder(LeaseOperation)


def encode_operation(wish: LeaseOperation) -> bytes:
    return msgspec.msgpack.encode(wish)


class Lease(
    msgspec.Struct,
    rename={
        "renewal_count": "renewed",
        "successor": "heir",
        "is_revoked": "ending",
        "grant_count": "granted",
    },
):
    """`token` 0: free. `heir`: the only one who gets it, until an Expire ends that. `ending`: taken back by
    hand, not renewed any more."""

    task: str
    holder: str = ""
    session: str = ""
    token: int = 0
    renewal_count: int = 0
    successor: str = ""
    is_revoked: bool = False
    grant_count: int = 0  # how many times anybody got it


class Note(msgspec.Struct, frozen=True):
    """`token`, `author`: under which it was agreed on, and who held that."""

    version: int
    value: str
    token: int
    author: str


class LeaseResult(
    msgspec.Struct,
    frozen=True,
    rename={"reason": "why", "is_new_grant": "fresh", "remaining_us": "left"},
):
    """Whether the wish was carried out, and how the lease stands after it. `fresh`: nobody had it before.
    `left`: microseconds until it is free at the soonest, as the leader counts; 0 where that is not known."""

    done: bool
    task: str
    holder: str
    token: int
    reason: str = ""
    is_new_grant: bool = False
    remaining_us: int = 0


class _StoredTable(msgspec.Struct, array_like=True):
    next_token: int
    leases: list[Lease]
    callers: dict[str, list[tuple[str, str, int]]]
    notes: dict[str, Note] = {}


_TABLE_DECODER: msgspec.msgpack.Decoder[_StoredTable] = msgspec.msgpack.Decoder(_StoredTable)


class LeaseTable:
    """Identical wishes in one order give identical tables. Tokens grow over all tasks together."""

    def __init__(self) -> None:
        self._next_token = 1
        self.leases: dict[str, Lease] = {}
        self.notes: dict[str, Note] = {}
        self._last_operations: dict[str, dict[str, tuple[str, int]]] = {}

    @property
    def newest_token(self) -> int:
        """The newest token that was ever granted."""
        return self._next_token - 1

    def apply(self, data: bytes) -> LeaseResult:
        wish = _OPERATION_DECODER.decode(data)
        lease = self.leases.get(wish.task) or Lease(wish.task)
        match wish:
            case AcquireLease():
                return self._acquire(lease, wish)
            case ReleaseLease():
                return self._release(lease, wish)
            case ExpireLease(_, token, renewed):
                if lease.token != token or lease.renewal_count != renewed:
                    return self._result(lease, False, "it was renewed or passed on")
                if token:
                    self._free(lease)
                else:
                    lease.successor = ""  # the heir did not come
                    lease.renewal_count += 1
                return self._result(lease, True)
            case RevokeLease(_, token, heir):
                if not token or lease.token != token:
                    return self._result(lease, False, "another holder has it")
                lease.is_revoked, lease.successor = True, heir
                return self._result(lease, True)
            case PutNote():
                return self._put(lease, wish)

    def _put(self, lease: Lease, wish: PutNote) -> LeaseResult:
        if not lease.token or lease.token != wish.token:
            return self._result(lease, False, f"token {wish.token} of '{wish.task}' is not the newest")
        note = self.notes.get(wish.key)
        if note is not None and (note.version, note.value) == (wish.version, wish.value):
            return self._result(lease, True)
        if note is not None and note.version >= wish.version:
            why = f"version {note.version} of the {wish.key} of {note.author} is agreed on, and differs"
            return self._result(lease, False, why)
        if note is None and len(self.notes) >= MAX_NOTES_COUNT:
            return self._result(lease, False, f"{MAX_NOTES_COUNT} notes are kept, and no more")
        self.notes[wish.key] = Note(wish.version, wish.value[:MAX_NOTE_CHARS], wish.token, lease.holder)
        return self._result(lease, True)

    def _result(self, lease: Lease, done: bool, why: str = "", fresh: bool = False) -> LeaseResult:
        return LeaseResult(done, lease.task, lease.holder, lease.token, why, fresh)

    def _is_duplicate(self, wish: AcquireLease | ReleaseLease) -> bool:
        callers = self._last_operations.setdefault(wish.task, {})
        session, number = callers.get(wish.holder, ("", 0))
        if session == wish.session and wish.number <= number:
            return True
        callers.pop(wish.holder, None)
        callers[wish.holder] = (wish.session, wish.number)
        if len(callers) > MAX_TRACKED_HOLDERS_COUNT:
            del callers[next(iter(callers))]
        return False

    def _acquire(self, lease: Lease, wish: AcquireLease) -> LeaseResult:
        if self._is_duplicate(wish):
            mine = lease.holder == wish.holder and lease.session == wish.session and lease.token > 0
            return self._result(lease, mine, "" if mine else "asked before")
        if lease.token and (lease.holder, lease.session) == (wish.holder, wish.session):
            if lease.is_revoked:
                return self._result(lease, False, "taken back by hand")
            lease.renewal_count += 1
            return self._result(lease, True)
        if lease.token:
            return self._result(lease, False, "held")
        if lease.successor and lease.successor != wish.holder:
            return self._result(lease, False, f"kept for {lease.successor}")
        self.leases[wish.task] = lease
        lease.holder, lease.session, lease.successor, lease.is_revoked = wish.holder, wish.session, "", False
        lease.token, self._next_token = self._next_token, self._next_token + 1
        lease.renewal_count, lease.grant_count = 0, lease.grant_count + 1
        return self._result(lease, True, fresh=True)

    def _release(self, lease: Lease, wish: ReleaseLease) -> LeaseResult:
        if self._is_duplicate(wish) or lease.token != wish.token or lease.session != wish.session:
            return self._result(lease, False, "not its holder any more")
        lease.successor = lease.successor or wish.successor
        self._free(lease)
        return self._result(lease, True)

    def _free(self, lease: Lease) -> None:
        """An heir keeps its place; `renewed` grows, so that no word about an earlier state fits this one."""
        lease.holder, lease.session, lease.token, lease.is_revoked = "", "", 0, False
        lease.renewal_count += 1

    def dump(self) -> bytes:
        callers = {
            task: [(holder, *told) for holder, told in table.items()]
            for task, table in self._last_operations.items()
        }
        return msgspec.msgpack.encode(
            _StoredTable(self._next_token, list(self.leases.values()), callers, self.notes)
        )

    @classmethod
    def load(cls, state: bytes) -> LeaseTable:
        table = cls()
        if state:
            dump = _TABLE_DECODER.decode(state)
            table._next_token = dump.next_token
            table.leases = {lease.task: lease for lease in dump.leases}
            table.notes = dump.notes
            table._last_operations = {
                task: {holder: (session, number) for holder, session, number in callers}
                for task, callers in dump.callers.items()
            }
        return table

    @classmethod
    def replay(cls, state: bytes, wishes: Iterable[bytes]) -> LeaseTable:
        table = cls.load(state)
        for wish in wishes:
            table.apply(wish)
        return table
