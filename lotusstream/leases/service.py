"""The lease service: replicates a lease table with a Raft node, and answers requests of gateways. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from lotusstream.leases.expiry import LeaseExpiryTracker, LeaseTiming
from lotusstream.leases.table import AcquireLease, LeaseOperation, LeaseResult, LeaseTable, encode_operation
from lotusstream.quorum import events as raft_events
from lotusstream.quorum.messages import EntryKind
from lotusstream.quorum.node import RaftNode
from lotusstream.quorum.state import Role

NO_TICKET = -1  # ticket of a proposal without a request that waits for its outcome
MAX_WAITERS_COUNT = 1024  # waiters per task; above it, the oldest are not notified and retry after a delay
LEASE_FREED_NUMBER = 0  # `number` of a LeaseServiceReply that notifies a waiter and answers no request

# Events, in addition to those of the Raft node


@dataclass(frozen=True, slots=True)
class LeaseOperationReceived:
    """A gateway requests an operation on the lease table."""

    caller: object  # opaque handle of the requester, returned with the reply
    number: int  # request id, returned with the reply
    operation: LeaseOperation


@dataclass(frozen=True, slots=True)
class LeaseTableReadReceived:
    """A requester reads the lease table, including all operations committed before now."""

    caller: object  # opaque handle of the requester, returned with the reply
    number: int  # request id, returned with the reply


@dataclass(frozen=True, slots=True)
class MembershipChangeReceived:
    """An operator adds a node to the quorum, or removes one."""

    caller: object  # opaque handle of the requester, returned with the reply
    number: int  # request id, returned with the reply
    name: str  # node to add or remove
    add: bool  # True adds the node, False removes it


LeaseServiceEvent = (
    raft_events.RaftEvent | LeaseOperationReceived | LeaseTableReadReceived | MembershipChangeReceived
)

# Actions, in addition to those of the Raft node


@dataclass(frozen=True, slots=True)
class LeaseServiceReply:
    """Answer a request, or notify a waiter that a lease is free."""

    caller: object  # handle of the sender of the request, or of a waiter for a lease
    number: int  # id of the answered request; LEASE_FREED_NUMBER in a notification
    result: LeaseResult | None  # None if the outcome is unknown, and for a read or a membership change
    leader: str  # name of the quorum's leader; '' where it is not known
    reason: str = ""  # human-readable reason for a missing result
    # True: the operation was applied to the table, which may have rejected it, or the read or change is done.
    done: bool = False


@dataclass(frozen=True, slots=True)
class LeaseHolderChanged:
    """Log that a lease was granted to another holder, or became free."""

    index: int  # log index of the operation that changed the holder
    result: LeaseResult


LeaseServiceAction = (
    raft_events.PersistRecords
    | raft_events.SendMessage
    | raft_events.ReportRoleChange
    | raft_events.ReportMembershipChange
    | LeaseServiceReply
    | LeaseHolderChanged
)


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A request that waits for its reply."""

    caller: object  # opaque handle of the requester, returned with the reply
    number: int  # request id, returned with the reply


class LeaseService:
    """A Raft node together with the lease table that its committed entries build."""

    def __init__(self, node: RaftNode, timing: LeaseTiming) -> None:
        self.node = node
        self.table = LeaseTable()
        self._expiry_tracker = LeaseExpiryTracker(timing)
        self._pending: dict[int, _PendingRequest] = {}  # by ticket
        self._last_ticket = 0
        self._waiters: dict[str, list[object]] = {}  # by task: callers to notify once its lease is free

    @property
    def next_timer_at(self) -> int:
        """The time in microseconds at which the caller has to deliver the next RaftTimeAdvanced."""
        return self.node.next_timer_at

    def handle(self, now: int, event: LeaseServiceEvent) -> list[LeaseServiceAction]:
        """Handles one event at `now`, in microseconds, and returns the actions to carry out in order."""
        if isinstance(event, LeaseOperationReceived):
            reply = self._reject_held_lease(now, event)
            if reply is not None:
                return [reply]
        actions: list[LeaseServiceAction] = []
        raft_actions = deque(self.node.handle(now, self._raft_event(event)))
        while True:
            while raft_actions:
                raft_actions += self._carry_out(now, raft_actions.popleft(), actions)
            raft_actions += self._propose_expired(now)
            if not raft_actions:
                return actions

    def pending_requests(self) -> list[tuple[object, int]]:
        """Return caller and number of each request that has no reply yet."""
        return [(request.caller, request.number) for request in self._pending.values()]

    def _raft_event(self, event: LeaseServiceEvent) -> raft_events.RaftEvent:
        match event:
            case LeaseOperationReceived(caller, number, operation):
                return raft_events.ProposalSubmitted(
                    self._new_ticket(caller, number), encode_operation(operation)
                )
            case LeaseTableReadReceived(caller, number):
                return raft_events.ReadSubmitted(self._new_ticket(caller, number))
            case MembershipChangeReceived(caller, number, name, add):
                return raft_events.MembershipChangeSubmitted(self._new_ticket(caller, number), name, add)
            case _:
                return event

    def _new_ticket(self, caller: object, number: int) -> int:
        self._last_ticket += 1
        self._pending[self._last_ticket] = _PendingRequest(caller, number)
        return self._last_ticket

    def _reject_held_lease(self, now: int, event: LeaseOperationReceived) -> LeaseServiceReply | None:
        """Return a rejection of an AcquireLease for a lease that another gateway holds, else None.

        The caller is added to the waiters. The rejection needs no log entry: if it is outdated, the caller
        only has to retry.
        """
        operation = event.operation
        if self.node.role != Role.LEADER or not isinstance(operation, AcquireLease):
            return None
        lease = self.table.leases.get(operation.task)
        if lease is None or not lease.token or lease.holder == operation.holder:
            return None
        remaining_us = self._expiry_tracker.remaining_us(now, lease.task)
        result = LeaseResult(False, lease.task, lease.holder, lease.token, "held", remaining_us=remaining_us)
        waiters = self._waiters.setdefault(lease.task, [])
        if event.caller not in waiters:
            waiters.append(event.caller)
            del waiters[:-MAX_WAITERS_COUNT]
        return LeaseServiceReply(event.caller, event.number, result, self.node.name)

    def _propose_expired(self, now: int) -> list[raft_events.RaftAction]:
        """Proposes the expiry of each lease whose duration has passed, if this node is the leader."""
        if self.node.role != Role.LEADER:
            return []
        actions = []
        for operation in self._expiry_tracker.expired_leases(now, self.node.term, self.table):
            event = raft_events.ProposalSubmitted(NO_TICKET, encode_operation(operation))
            actions += self.node.handle(now, event)
        return actions

    def _carry_out(
        self, now: int, action: raft_events.RaftAction, actions: list[LeaseServiceAction]
    ) -> list[raft_events.RaftAction]:
        """Carries out an action on the lease table, or appends it to `actions` for the caller.

        :returns: further actions that the Raft node returned while `action` was carried out
        """
        match action:
            case raft_events.ApplyEntry():
                if action.kind == EntryKind.OPERATION:
                    self._apply(action, actions)
            case raft_events.RestoreSnapshot(_, state):
                self.table = LeaseTable.load(state)
            case raft_events.TakeSnapshot(index):
                return self.node.handle(now, raft_events.SnapshotTaken(index, self.table.dump()))
            case raft_events.CompleteRequest(ticket):
                self._reply(ticket, actions, None, self.node.name, done=True)
            case raft_events.FailRequest(ticket, reason, leader, _):
                self._reply(ticket, actions, None, leader, reason)
            case _:
                actions.append(action)
        return []

    def _apply(self, entry: raft_events.ApplyEntry, actions: list[LeaseServiceAction]) -> None:
        tokens_before = {task: lease.token for task, lease in self.table.leases.items()}
        result = self.table.apply(entry.data)
        if tokens_before.get(result.task, 0) != result.token:
            actions.append(LeaseHolderChanged(entry.index, result))
        if not result.token:
            for waiter in self._waiters.pop(result.task, ()):
                actions.append(LeaseServiceReply(waiter, LEASE_FREED_NUMBER, result, self.node.name))
        if entry.ticket is not None:
            self._reply(entry.ticket, actions, result, self.node.name, done=True)

    def _reply(
        self,
        ticket: int,
        actions: list[LeaseServiceAction],
        result: LeaseResult | None,
        leader: str,
        reason: str = "",
        done: bool = False,
    ) -> None:
        request = self._pending.pop(ticket, None)
        if request is not None:
            reply = LeaseServiceReply(request.caller, request.number, result, leader, reason, done)
            actions.append(reply)
