"""A keeper with the leases applied on it: takes what gateways ask, gives what they are told. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from lotusstream.leases.granter import Granter, LeaseTerms
from lotusstream.leases.table import Acquire, AnyWish, Granted, LeaseTable, encode_wish
from lotusstream.quorum import events as ev
from lotusstream.quorum.messages import Kind
from lotusstream.quorum.node import LEADER, RaftNode

LATE = -1  # the ticket of what nobody waits for
WAITERS = 1024  # who is told that a task is free, at most; whoever is not asks again by itself
FREED = 0  # the number of a Reply that nobody asked for


@dataclass(frozen=True, slots=True)
class Asked:
    """`caller`: opaque, handed back with the answer."""

    caller: object
    number: int
    wish: AnyWish


@dataclass(frozen=True, slots=True)
class LookedUp:
    """Wants the table as it is after all that was told before now."""

    caller: object
    number: int


@dataclass(frozen=True, slots=True)
class Changed:
    """A change of keepers by hand."""

    caller: object
    number: int
    name: str
    add: bool


@dataclass(frozen=True, slots=True)
class Reply:
    """`granted` None: it is not known what became of it; `leader`: whom to ask; `why`: for people."""

    caller: object
    number: int
    granted: Granted | None
    leader: str
    why: str = ""
    done: bool = False


@dataclass(frozen=True, slots=True)
class Passed:
    """For the log: a lease has another holder, or none."""

    index: int
    granted: Granted


Outward = ev.Save | ev.Say | ev.Became | ev.NewMembers | Reply | Passed


class LeaseService:
    def __init__(self, keeper: RaftNode, terms: LeaseTerms) -> None:
        self.keeper, self.table = keeper, LeaseTable()
        self._granter = Granter(terms)
        self._tickets: dict[int, tuple[object, int]] = {}
        self._ticket = 0
        self._waiters: dict[str, list[object]] = {}

    @property
    def next_at(self) -> int:
        return self.keeper.next_at

    def handle(self, now: int, event: ev.Event | Asked | LookedUp | Changed) -> list[Outward]:
        out: list[Outward] = []
        match event:
            case Asked(caller, number, wish):
                if (reply := self._at_once(now, event)) is not None:
                    return [reply]
                found: ev.Event = ev.Propose(self._take(caller, number), encode_wish(wish))
            case LookedUp(caller, number):
                found = ev.Read(self._take(caller, number))
            case Changed(caller, number, name, add):
                found = ev.Change(self._take(caller, number), name, add)
            case _:
                found = event
        todo = deque(self.keeper.handle(now, found))
        while True:
            while todo:
                todo += self._act(now, todo.popleft(), out)
            due = []
            if self.keeper.role == LEADER:
                due = self._granter.due(now, self.keeper.term, self.table)
            for expire in due:
                todo += self.keeper.handle(now, ev.Propose(LATE, encode_wish(expire)))
            if not todo:
                return out

    def waiting(self) -> list[tuple[object, int]]:
        """Callers and numbers that have no answer yet."""
        return list(self._tickets.values())

    def _take(self, caller: object, number: int) -> int:
        self._ticket += 1
        self._tickets[self._ticket] = (caller, number)
        return self._ticket

    def _at_once(self, now: int, asked: Asked) -> Reply | None:
        """'Held' needs no entry in the log: at worst it is late news, and the wish comes again."""
        if self.keeper.role != LEADER or not isinstance(asked.wish, Acquire):
            return None
        lease = self.table.leases.get(asked.wish.task)
        if lease is None or not lease.token or lease.holder == asked.wish.holder:
            return None
        left = self._granter.left(now, lease.task)
        granted = Granted(False, lease.task, lease.holder, lease.token, "held", left=left)
        waiters = self._waiters.setdefault(lease.task, [])
        if asked.caller not in waiters:
            waiters.append(asked.caller)
            del waiters[:-WAITERS]
        return Reply(asked.caller, asked.number, granted, self.keeper.name)

    def _act(self, now: int, action: ev.Action, out: list[Outward]) -> list[ev.Action]:
        match action:
            case ev.Apply(index, kind, data, ticket):
                if kind == Kind.COMMAND:
                    before = {name: each.token for name, each in self.table.leases.items()}
                    granted = self.table.apply(data)
                    if before.get(granted.task, 0) != granted.token:
                        out.append(Passed(index, granted))
                    if not granted.token:
                        for caller in self._waiters.pop(granted.task, ()):
                            out.append(Reply(caller, FREED, granted, self.keeper.name))
                    self._reply(ticket, out, granted, done=True)
            case ev.Restore(_, state):
                self.table = LeaseTable.load(state)
            case ev.Compact(index):
                return self.keeper.handle(now, ev.Compacted(index, self.table.dump()))
            case ev.Ready(ticket):
                self._reply(ticket, out, None, done=True)
            case ev.Dropped(ticket, why, leader, _):
                self._reply(ticket, out, None, leader, why)
            case _:
                out.append(action)
        return []

    def _reply(
        self,
        ticket: int | None,
        out: list[Outward],
        granted: Granted | None,
        leader: str = "",
        why: str = "",
        done: bool = False,
    ) -> None:
        waiting = self._tickets.pop(ticket, None) if ticket is not None else None
        if waiting is not None:
            out.append(Reply(*waiting, granted, leader or (self.keeper.name if done else ""), why, done))
