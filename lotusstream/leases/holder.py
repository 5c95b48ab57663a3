"""The lease holder: acquires and renews the leases of a gateway, and stops acting before they expire.

It measures a lease by its own clock, from the time at which it sent the request. It therefore stops before
the leader can grant the lease to another gateway, however late the reply comes. No I/O.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from lotusstream.leases.expiry import LeaseTiming
from lotusstream.leases.table import AcquireLease, LeaseOperation, LeaseResult, ReleaseLease

RENEWALS_PER_LEASE = 3  # a lease is renewed after each third of its duration
REPLY_TIMEOUTS_PER_LEASE = 8  # lease duration divided by the reply timeout of a request
MAX_RELEASE_ATTEMPT_COUNT = 8  # after more failed attempts, a release is dropped and the lease expires
MAX_BACKOFF_DOUBLING_COUNT = 4  # most doublings of the delay after failed requests

# Events


@dataclass(frozen=True, slots=True)
class LeaseWanted:
    """This gateway is to acquire the task's lease and keep it."""

    task: str


@dataclass(frozen=True, slots=True)
class LeaseUnwanted:
    """This gateway is to release the task's lease and not acquire it again."""

    task: str
    successor: str = ""  # only gateway that may acquire the lease next; '' for any gateway


@dataclass(frozen=True, slots=True)
class LeaseReplyReceived:
    """A node of the quorum has answered a request."""

    number: int  # request id: `number` of the answered SendLeaseOperation
    result: LeaseResult | None  # None if the node does not know whether the operation was applied
    leader: str = ""  # name of the quorum's leader; '' where it is not known


@dataclass(frozen=True, slots=True)
class LeaseFreed:
    """A node of the quorum reports that the task's lease has become free."""

    task: str


@dataclass(frozen=True, slots=True)
class LeaseTimeAdvanced:
    """The timer fired. The caller delivers this event at `LeaseHolder.next_timer_at`."""


LeaseHolderEvent = LeaseWanted | LeaseUnwanted | LeaseReplyReceived | LeaseFreed | LeaseTimeAdvanced

# Actions


@dataclass(frozen=True, slots=True)
class SendLeaseOperation:
    """Send an operation to a node of the quorum."""

    number: int  # request id, returned with the reply
    recipient: str  # name of the node
    operation: LeaseOperation


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start acting for the task, under this fencing token."""

    task: str
    token: int


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop acting for the task at once.

    The caller may carry out this action late, so the task also has to call `LeaseHolder.may_act` before each
    of its operations.
    """

    task: str
    token: int
    reason: str


LeaseHolderAction = SendLeaseOperation | StartTask | StopTask


@dataclass(slots=True)
class _TaskState:
    """A task and its lease, as this gateway knows them. Times in microseconds."""

    name: str
    wanted: bool = False  # whether this gateway is to hold the lease
    token: int = 0  # fencing token of the lease; 0 while it is not held
    act_until: int = 0  # when this gateway stops acting unless the lease is renewed
    next_send_at: int = 0  # when the next request is due
    pending_number: int = 0  # request id of the request that awaits its reply; 0 if none
    sent_at: int = 0  # when the newest request was sent
    release: ReleaseLease | None = None  # release that is resent until it is answered; None if none
    failed_attempt_count: int = 0  # consecutive failed requests

    def stop(self, reason: str) -> StopTask:
        """Clear the token, and return the action that stops the task."""
        action = StopTask(self.name, self.token, reason)
        self.token = 0
        return action


class LeaseHolder:
    """All leases that one gateway holds or tries to acquire.

    Invariant: the gateway acts for a task only until `duration_us - safety_margin_us` after it sent the
    newest request that was granted. If the time counted from the reply instead, a slow reply would let two
    gateways act at once.
    """

    def __init__(
        self, name: str, session: str, quorum_members: Sequence[str], timing: LeaseTiming, seed: int
    ) -> None:
        """Starts without a lease.

        :param name: name of this gateway
        :param session: unique id of this run of the program
        :param quorum_members: names of the quorum's nodes, which take the requests
        :param seed: seed of the randomized delays between requests
        """
        self._name = name
        self._session = session
        self._quorum_members = tuple(quorum_members)
        self._timing = timing
        self._seed = seed
        self._draw_count = 0
        self._tasks: dict[str, _TaskState] = {}  # by task name
        self._leader = ""  # name of the quorum's leader; '' where it is not known
        # Without a known leader, requests go to the member at this index, modulo the member count.
        self._next_member_index = 0
        self._number = 0  # request id of the newest request; 0 before the first
        self._now = 0
        self._actions: list[LeaseHolderAction] = []

    def handle(self, now: int, event: LeaseHolderEvent) -> list[LeaseHolderAction]:
        """Handles one event at `now`, in microseconds, and returns the actions to carry out in order."""
        self._now = max(now, self._now)
        self._actions = []
        match event:
            case LeaseWanted(name):
                self._on_wanted(name)
            case LeaseUnwanted(name, successor):
                self._on_unwanted(name, successor)
            case LeaseReplyReceived():
                self._on_reply(event)
            case LeaseFreed(name):
                self._on_freed(name)
        for task in self._tasks.values():
            self._run_due_timers(task)
        return self._actions

    def may_act(self, now: int, task: str) -> int:
        """Return the fencing token to act under at `now`, or 0 if this gateway must not act.

        Call this method before each operation of the task.
        """
        state = self._tasks.get(task)
        if state is None or now >= state.act_until:
            return 0
        return state.token

    @property
    def next_timer_at(self) -> int:
        """The time in microseconds at which the caller has to deliver the next LeaseTimeAdvanced.

        If nothing is due, that is one lease duration after the last event.
        """
        times = [self._now + self._timing.duration_us]
        for task in self._tasks.values():
            if task.token:
                times.append(task.act_until)
            if task.pending_number:
                times.append(task.sent_at + self._reply_timeout_us)
            elif task.wanted or task.release is not None:
                times.append(task.next_send_at)
        return min(times)

    @property
    def _reply_timeout_us(self) -> int:
        return self._timing.duration_us // REPLY_TIMEOUTS_PER_LEASE

    @property
    def _renewal_interval_us(self) -> int:
        return self._timing.duration_us // RENEWALS_PER_LEASE

    def _draw_below(self, limit: int) -> int:
        """Return a pseudorandom number from 0 up to, not including, `limit`."""
        self._draw_count += 1
        drawn = zlib.crc32(f"{self._seed}/{self._name}/{self._draw_count}".encode())
        drawn = zlib.crc32(drawn.to_bytes(4, "big") + b"spread")
        return limit * drawn // 2**32

    # Events

    def _on_wanted(self, name: str) -> None:
        task = self._tasks.setdefault(name, _TaskState(name))
        if not task.wanted:
            task.wanted = True
            task.next_send_at = self._now

    def _on_unwanted(self, name: str, successor: str) -> None:
        task = self._tasks.get(name)
        if task is None or not task.wanted:
            return
        task.wanted = False
        if not task.token:
            return
        token = task.token
        self._actions.append(task.stop("this gateway no longer wants the lease"))
        self._number += 1
        task.release = ReleaseLease(name, self._name, self._session, self._number, token, successor)
        task.pending_number = 0
        task.next_send_at = self._now
        task.failed_attempt_count = 0

    def _on_freed(self, name: str) -> None:
        task = self._tasks.get(name)
        if task is not None and not task.token:
            task.next_send_at = self._now

    def _on_reply(self, reply: LeaseReplyReceived) -> None:
        self._learn_leader(reply)
        pending = (task for task in self._tasks.values() if task.pending_number == reply.number)
        task = next(pending, None)
        if task is None or not reply.number:
            return  # the request timed out or a release replaced it: a grant may have expired
        task.pending_number = 0
        if reply.result is None:
            self._retry_later(task)
            return
        task.failed_attempt_count = 0
        if task.release is not None:
            task.release = None
            task.next_send_at = self._now
        elif not reply.result.done or reply.result.holder != self._name:
            self._on_rejected(task, reply.result)
        elif task.wanted:
            self._on_granted(task, reply.result)

    def _learn_leader(self, reply: LeaseReplyReceived) -> None:
        if reply.leader in self._quorum_members:
            self._leader = reply.leader
        elif reply.result is None:
            self._ask_next_member()

    def _ask_next_member(self) -> None:
        self._leader = ""
        self._next_member_index += 1

    def _retry_later(self, task: _TaskState) -> None:
        """Schedules a retry with exponential backoff and jitter, so that gateways don't retry all at once."""
        task.failed_attempt_count += 1
        doubling_count = min(task.failed_attempt_count, MAX_BACKOFF_DOUBLING_COUNT)
        longest = min(self._reply_timeout_us << doubling_count, self._renewal_interval_us)
        task.next_send_at = self._now + self._draw_below(longest)

    def _on_rejected(self, task: _TaskState, result: LeaseResult) -> None:
        if task.token:
            self._actions.append(task.stop(result.reason or "another gateway holds the lease"))
        # The quorum notifies waiting gateways once the lease is free. This retry covers a lost notification.
        interval = self._renewal_interval_us
        shortest = result.remaining_us or interval
        spread = interval // 4 if result.remaining_us else interval
        task.next_send_at = self._now + shortest + self._draw_below(spread)

    def _on_granted(self, task: _TaskState, result: LeaseResult) -> None:
        task.act_until = task.sent_at + self._timing.duration_us - self._timing.safety_margin_us
        if task.token and task.token != result.token:
            self._actions.append(task.stop("the lease was granted again under a new token"))
        if not task.token and self._now < task.act_until:
            task.token = result.token
            self._actions.append(StartTask(task.name, result.token))
        task.next_send_at = task.sent_at + self._renewal_interval_us

    # Timers

    def _run_due_timers(self, task: _TaskState) -> None:
        if task.token and self._now >= task.act_until:
            self._actions.append(task.stop("the lease is about to expire and no renewal was granted in time"))
        if task.pending_number and self._now >= task.sent_at + self._reply_timeout_us:
            task.pending_number = 0
            task.failed_attempt_count += 1
            task.next_send_at = self._now
            self._ask_next_member()
        if task.pending_number or self._now < task.next_send_at:
            return
        if task.release is not None and task.failed_attempt_count > MAX_RELEASE_ATTEMPT_COUNT:
            task.release = None
        elif task.release is not None or task.wanted:
            self._send_operation(task)

    def _send_operation(self, task: _TaskState) -> None:
        self._number += 1
        acquire = AcquireLease(task.name, self._name, self._session, self._number)
        task.pending_number = self._number
        task.sent_at = self._now
        member_index = self._next_member_index % len(self._quorum_members)
        recipient = self._leader or self._quorum_members[member_index]
        self._actions.append(SendLeaseOperation(self._number, recipient, task.release or acquire))


class FencingTokenGuard:
    """Rejects operations under a fencing token that is older than the newest one seen.

    The component that carries out the operations of a task uses this guard. Nothing else protects it from a
    holder that was suspended between its `may_act` call and the operation.
    """

    def __init__(self) -> None:
        self._newest_tokens: dict[str, int] = {}  # by task

    def admits(self, task: str, token: int) -> bool:
        """Return whether an operation of this task under this token is allowed. Stores the newest token."""
        if token < self._newest_tokens.get(task, 0):
            return False
        self._newest_tokens[task] = token
        return True
