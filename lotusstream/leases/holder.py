"""The side of a gateway that wants to act: asks, renews, and stops in time by its own clock. No I/O."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from lotusstream.leases.granter import LeaseTiming
from lotusstream.leases.table import AcquireLease, LeaseOperation, LeaseResult, ReleaseLease

# Events


@dataclass(frozen=True, slots=True)
class LeaseWanted:
    """To act for this task whenever nobody else does."""

    task: str


@dataclass(frozen=True, slots=True)
class LeaseUnwanted:
    """Not any more; `heir` gets it next, if somebody is named."""

    task: str
    successor: str = ""


@dataclass(frozen=True, slots=True)
class LeaseReplyReceived:
    """`ask`: the number of the Ask. `granted` is None where nothing is known; `leader`: whom to ask."""

    number: int
    result: LeaseResult | None
    leader: str = ""


@dataclass(frozen=True, slots=True)
class LeaseFreed:
    """A keeper says that nobody holds it now."""

    task: str


@dataclass(frozen=True, slots=True)
class LeaseTimeAdvanced:
    pass


LeaseHolderEvent = LeaseWanted | LeaseUnwanted | LeaseReplyReceived | LeaseFreed | LeaseTimeAdvanced

# Actions


@dataclass(frozen=True, slots=True)
class SendLeaseOperation:
    number: int
    recipient: str
    operation: LeaseOperation


@dataclass(frozen=True, slots=True)
class StartTask:
    """Acts from now on under this token."""

    task: str
    token: int


@dataclass(frozen=True, slots=True)
class StopTask:
    """At once. Whoever acts has also to look at `may_act` before each act: this may come late."""

    task: str
    token: int
    reason: str


LeaseHolderAction = SendLeaseOperation | StartTask | StopTask


@dataclass(slots=True)
class _TaskState:
    wanted: bool = False
    token: int = 0
    act_until: int = 0
    next_send_at: int = 0
    pending_number: int = 0  # out, or 0
    sent_at: int = 0
    release: ReleaseLease | None = None
    failed_attempt_count: int = 0


class LeaseHolder:
    """One for a gateway, over all tasks that it may have."""

    def __init__(
        self, name: str, session: str, keepers: Sequence[str], terms: LeaseTiming, seed: int
    ) -> None:
        self._name, self._session, self._keepers = name, session, tuple(keepers)
        self._timing, self._seed, self._draws = terms, seed, 0
        self._tasks: dict[str, _TaskState] = {}
        self._leader, self._turn, self._number = "", 0, 0
        self._now, self._out = 0, list[LeaseHolderAction]()

    def handle(self, now: int, event: LeaseHolderEvent) -> list[LeaseHolderAction]:
        self._now, self._out = max(now, self._now), []
        match event:
            case LeaseWanted(task):
                found = self._tasks.setdefault(task, _TaskState())
                if not found.wanted:
                    found.wanted, found.next_send_at = True, self._now
            case LeaseUnwanted(task, heir):
                self._unwant(task, heir)
            case LeaseReplyReceived():
                self._on_reply(event)
            case LeaseFreed(task):
                waiting = self._tasks.get(task)
                if waiting is not None and not waiting.token:
                    waiting.next_send_at = self._now
        for name, each in self._tasks.items():
            self._drive(name, each)
        return self._out

    def may_act(self, now: int, task: str) -> int:
        """The token to act under at this moment, or 0: to be asked before each act."""
        found = self._tasks.get(task)
        return found.token if found is not None and found.token and now < found.act_until else 0

    @property
    def next_timer_at(self) -> int:
        """When to say Tick next; a long time where nothing is wanted."""
        times = [self._now + self._timing.duration_us]
        for each in self._tasks.values():
            if each.token:
                times.append(each.act_until)
            if each.pending_number:
                times.append(each.sent_at + self._patience)
            elif each.wanted or each.release is not None:
                times.append(each.next_send_at)
        return min(times)

    @property
    def _patience(self) -> int:
        """For an answer: several tries fit into a lease."""
        return self._timing.duration_us // 8

    def _draw(self, least: int, most: int) -> int:
        self._draws += 1
        lot = zlib.crc32(f"{self._seed}/{self._name}/{self._draws}".encode())
        lot = zlib.crc32(lot.to_bytes(4, "big") + b"spread")
        return least + (most - least) * lot // 2**32

    def _unwant(self, task: str, heir: str) -> None:
        found = self._tasks.get(task)
        if found is None or not found.wanted:
            return
        found.wanted = False
        if found.token:
            token = found.token
            self._stop(task, found, "not wanted any more")
            self._number += 1
            found.release = ReleaseLease(task, self._name, self._session, self._number, token, heir)
            found.pending_number, found.next_send_at, found.failed_attempt_count = 0, self._now, 0

    def _stop(self, task: str, found: _TaskState, why: str) -> None:
        self._out.append(StopTask(task, found.token, why))
        found.token = 0

    def _on_reply(self, event: LeaseReplyReceived) -> None:
        task = next((name for name, each in self._tasks.items() if each.pending_number == event.number), None)
        if event.leader in self._keepers:
            self._leader = event.leader
        elif event.result is None:
            self._leader = ""
            self._turn += 1
        if task is None or not event.number:
            return  # of an ask that was given up: its time may be over
        found = self._tasks[task]
        found.pending_number, asked = 0, found.sent_at
        granted, again = event.result, self._timing.duration_us // 3
        if granted is None:
            found.failed_attempt_count += 1
            found.next_send_at = self._now + self._draw(
                0, min(self._patience << min(found.failed_attempt_count, 4), again)
            )
            return
        found.failed_attempt_count = 0
        if found.release is not None:
            found.release = None
            found.next_send_at = self._now
        elif not granted.done or granted.holder != self._name:
            if found.token:
                self._stop(task, found, granted.reason or "another holder has it")
            # whoever is told that it is free asks at once; this is for those who are not
            least = granted.remaining_us or again
            found.next_send_at = (
                self._now + least + self._draw(0, again // 4 if granted.remaining_us else again)
            )
        elif found.wanted:
            found.act_until = asked + self._timing.duration_us - self._timing.safety_margin_us
            if found.token and found.token != granted.token:
                self._stop(task, found, "granted anew")
            if not found.token and self._now < found.act_until:
                found.token = granted.token
                self._out.append(StartTask(task, granted.token))
            found.next_send_at = asked + again

    def _drive(self, name: str, each: _TaskState) -> None:
        if each.token and self._now >= each.act_until:
            self._stop(name, each, "its time is over and no renewal has come")
        if each.pending_number and self._now >= each.sent_at + self._patience:
            each.pending_number, each.failed_attempt_count = 0, each.failed_attempt_count + 1
            self._leader, self._turn = "", self._turn + 1
            each.next_send_at = self._now
        if (
            each.pending_number
            or self._now < each.next_send_at
            or not (each.wanted or each.release is not None)
        ):
            return
        if each.release is not None and each.failed_attempt_count > 8:
            each.release = None  # it runs out by itself
            return
        self._number += 1
        wish: LeaseOperation = each.release or AcquireLease(name, self._name, self._session, self._number)
        each.pending_number, each.sent_at = self._number, self._now
        keeper = self._leader or self._keepers[self._turn % len(self._keepers)]
        self._out.append(SendLeaseOperation(self._number, keeper, wish))


class FencingTokenGuard:
    """What is acted on remembers the newest token of each task, and takes nothing under an older one: the
    only guard against a holder that was stopped between its look at the clock and its act."""

    def __init__(self) -> None:
        self._newest: dict[str, int] = {}

    def admits(self, task: str, token: int) -> bool:
        if token < self._newest.get(task, 0):
            return False
        self._newest[task] = token
        return True
