"""A keeper with the leases applied on it: takes what gateways ask, gives what they are told. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from lotusstream.leases.granter import LeaseExpiryTracker, LeaseTiming
from lotusstream.leases.table import AcquireLease, LeaseOperation, LeaseResult, LeaseTable, encode_operation
from lotusstream.quorum import events as ev
from lotusstream.quorum.messages import EntryKind
from lotusstream.quorum.node import RaftNode
from lotusstream.quorum.state import Role

NO_TICKET = -1  # the ticket of what nobody waits for
MAX_WAITERS_COUNT = 1024  # who is told that a task is free, at most; whoever is not asks again by itself
LEASE_FREED_NUMBER = 0  # the number of a Reply that nobody asked for


@dataclass(frozen=True, slots=True)
class LeaseOperationReceived:
    """`caller`: opaque, handed back with the answer."""

    caller: object
    number: int
    operation: LeaseOperation


@dataclass(frozen=True, slots=True)
class LeaseTableReadReceived:
    """Wants the table as it is after all that was told before now."""

    caller: object
    number: int


@dataclass(frozen=True, slots=True)
class MembershipChangeReceived:
    """A change of keepers by hand."""

    caller: object
    number: int
    name: str
    add: bool


@dataclass(frozen=True, slots=True)
class LeaseServiceReply:
    """`granted` None: it is not known what became of it; `leader`: whom to ask; `why`: for people."""

    caller: object
    number: int
    result: LeaseResult | None
    leader: str
    reason: str = ""
    done: bool = False


@dataclass(frozen=True, slots=True)
class LeaseHolderChanged:
    """For the log: a lease has another holder, or none."""

    index: int
    result: LeaseResult


LeaseServiceAction = (
    ev.PersistRecords
    | ev.SendMessage
    | ev.ReportRoleChange
    | ev.ReportMembershipChange
    | LeaseServiceReply
    | LeaseHolderChanged
)


class LeaseService:
    def __init__(self, keeper: RaftNode, terms: LeaseTiming) -> None:
        self.node, self.table = keeper, LeaseTable()
        self._expiry_tracker = LeaseExpiryTracker(terms)
        self._tickets: dict[int, tuple[object, int]] = {}
        self._ticket = 0
        self._waiters: dict[str, list[object]] = {}

    @property
    def next_timer_at(self) -> int:
        return self.node.next_timer_at

    def handle(
        self,
        now: int,
        event: ev.RaftEvent | LeaseOperationReceived | LeaseTableReadReceived | MembershipChangeReceived,
    ) -> list[LeaseServiceAction]:
        out: list[LeaseServiceAction] = []
        match event:
            case LeaseOperationReceived(caller, number, wish):
                if (reply := self._at_once(now, event)) is not None:
                    return [reply]
                found: ev.RaftEvent = ev.ProposalSubmitted(self._take(caller, number), encode_operation(wish))
            case LeaseTableReadReceived(caller, number):
                found = ev.ReadSubmitted(self._take(caller, number))
            case MembershipChangeReceived(caller, number, name, add):
                found = ev.MembershipChangeSubmitted(self._take(caller, number), name, add)
            case _:
                found = event
        todo = deque(self.node.handle(now, found))
        while True:
            while todo:
                todo += self._act(now, todo.popleft(), out)
            due = []
            if self.node.role == Role.LEADER:
                due = self._expiry_tracker.expired_leases(now, self.node.term, self.table)
            for expire in due:
                todo += self.node.handle(now, ev.ProposalSubmitted(NO_TICKET, encode_operation(expire)))
            if not todo:
                return out

    def pending_requests(self) -> list[tuple[object, int]]:
        """Callers and numbers that have no answer yet."""
        return list(self._tickets.values())

    def _take(self, caller: object, number: int) -> int:
        self._ticket += 1
        self._tickets[self._ticket] = (caller, number)
        return self._ticket

    def _at_once(self, now: int, asked: LeaseOperationReceived) -> LeaseServiceReply | None:
        """'Held' needs no entry in the log: at worst it is late news, and the wish comes again."""
        if self.node.role != Role.LEADER or not isinstance(asked.operation, AcquireLease):
            return None
        lease = self.table.leases.get(asked.operation.task)
        if lease is None or not lease.token or lease.holder == asked.operation.holder:
            return None
        left = self._expiry_tracker.remaining_us(now, lease.task)
        granted = LeaseResult(False, lease.task, lease.holder, lease.token, "held", remaining_us=left)
        waiters = self._waiters.setdefault(lease.task, [])
        if asked.caller not in waiters:
            waiters.append(asked.caller)
            del waiters[:-MAX_WAITERS_COUNT]
        return LeaseServiceReply(asked.caller, asked.number, granted, self.node.name)

    def _act(self, now: int, action: ev.RaftAction, out: list[LeaseServiceAction]) -> list[ev.RaftAction]:
        match action:
            case ev.ApplyEntry(index, kind, data, ticket):
                if kind == EntryKind.COMMAND:
                    before = {name: each.token for name, each in self.table.leases.items()}
                    granted = self.table.apply(data)
                    if before.get(granted.task, 0) != granted.token:
                        out.append(LeaseHolderChanged(index, granted))
                    if not granted.token:
                        for caller in self._waiters.pop(granted.task, ()):
                            out.append(LeaseServiceReply(caller, LEASE_FREED_NUMBER, granted, self.node.name))
                    self._reply(ticket, out, granted, done=True)
            case ev.RestoreSnapshot(_, state):
                self.table = LeaseTable.load(state)
            case ev.TakeSnapshot(index):
                return self.node.handle(now, ev.SnapshotTaken(index, self.table.dump()))
            case ev.CompleteRequest(ticket):
                self._reply(ticket, out, None, done=True)
            case ev.FailRequest(ticket, why, leader, _):
                self._reply(ticket, out, None, leader, why)
            case _:
                out.append(action)
        return []

    def _reply(
        self,
        ticket: int | None,
        out: list[LeaseServiceAction],
        granted: LeaseResult | None,
        leader: str = "",
        why: str = "",
        done: bool = False,
    ) -> None:
        waiting = self._tickets.pop(ticket, None) if ticket is not None else None
        if waiting is not None:
            out.append(
                LeaseServiceReply(*waiting, granted, leader or (self.node.name if done else ""), why, done)
            )
