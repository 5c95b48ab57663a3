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
    heir: str = ""


@dataclass(frozen=True, slots=True)
class LeaseReplyReceived:
    """`ask`: the number of the Ask. `granted` is None where nothing is known; `leader`: whom to ask."""

    ask: int
    granted: LeaseResult | None
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
    keeper: str
    wish: LeaseOperation


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
    why: str


LeaseHolderAction = SendLeaseOperation | StartTask | StopTask


@dataclass(slots=True)
class _TaskState:
    wanted: bool = False
    token: int = 0
    until: int = 0
    ask_at: int = 0
    ask: int = 0  # out, or 0
    asked: int = 0
    release: ReleaseLease | None = None
    tries: int = 0


class LeaseHolder:
    """One for a gateway, over all tasks that it may have."""

    def __init__(
        self, name: str, session: str, keepers: Sequence[str], terms: LeaseTiming, seed: int
    ) -> None:
        self._name, self._session, self._keepers = name, session, tuple(keepers)
        self._terms, self._seed, self._draws = terms, seed, 0
        self._tasks: dict[str, _TaskState] = {}
        self._leader, self._turn, self._number = "", 0, 0
        self._now, self._out = 0, list[LeaseHolderAction]()

    def handle(self, now: int, event: LeaseHolderEvent) -> list[LeaseHolderAction]:
        self._now, self._out = max(now, self._now), []
        match event:
            case LeaseWanted(task):
                found = self._tasks.setdefault(task, _TaskState())
                if not found.wanted:
                    found.wanted, found.ask_at = True, self._now
            case LeaseUnwanted(task, heir):
                self._unwant(task, heir)
            case LeaseReplyReceived():
                self._answered(event)
            case LeaseFreed(task):
                waiting = self._tasks.get(task)
                if waiting is not None and not waiting.token:
                    waiting.ask_at = self._now
        for name, each in self._tasks.items():
            self._drive(name, each)
        return self._out

    def may_act(self, now: int, task: str) -> int:
        """The token to act under at this moment, or 0: to be asked before each act."""
        found = self._tasks.get(task)
        return found.token if found is not None and found.token and now < found.until else 0

    @property
    def next_at(self) -> int:
        """When to say Tick next; a long time where nothing is wanted."""
        times = [self._now + self._terms.length]
        for each in self._tasks.values():
            if each.token:
                times.append(each.until)
            if each.ask:
                times.append(each.asked + self._patience)
            elif each.wanted or each.release is not None:
                times.append(each.ask_at)
        return min(times)

    @property
    def _patience(self) -> int:
        """For an answer: several tries fit into a lease."""
        return self._terms.length // 8

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
            found.ask, found.ask_at, found.tries = 0, self._now, 0

    def _stop(self, task: str, found: _TaskState, why: str) -> None:
        self._out.append(StopTask(task, found.token, why))
        found.token = 0

    def _answered(self, event: LeaseReplyReceived) -> None:
        task = next((name for name, each in self._tasks.items() if each.ask == event.ask), None)
        if event.leader in self._keepers:
            self._leader = event.leader
        elif event.granted is None:
            self._leader = ""
            self._turn += 1
        if task is None or not event.ask:
            return  # of an ask that was given up: its time may be over
        found = self._tasks[task]
        found.ask, asked = 0, found.asked
        granted, again = event.granted, self._terms.length // 3
        if granted is None:
            found.tries += 1
            found.ask_at = self._now + self._draw(0, min(self._patience << min(found.tries, 4), again))
            return
        found.tries = 0
        if found.release is not None:
            found.release = None
            found.ask_at = self._now
        elif not granted.done or granted.holder != self._name:
            if found.token:
                self._stop(task, found, granted.why or "another holder has it")
            # whoever is told that it is free asks at once; this is for those who are not
            least = granted.left or again
            found.ask_at = self._now + least + self._draw(0, again // 4 if granted.left else again)
        elif found.wanted:
            found.until = asked + self._terms.length - self._terms.margin
            if found.token and found.token != granted.token:
                self._stop(task, found, "granted anew")
            if not found.token and self._now < found.until:
                found.token = granted.token
                self._out.append(StartTask(task, granted.token))
            found.ask_at = asked + again

    def _drive(self, name: str, each: _TaskState) -> None:
        if each.token and self._now >= each.until:
            self._stop(name, each, "its time is over and no renewal has come")
        if each.ask and self._now >= each.asked + self._patience:
            each.ask, each.tries = 0, each.tries + 1
            self._leader, self._turn = "", self._turn + 1
            each.ask_at = self._now
        if each.ask or self._now < each.ask_at or not (each.wanted or each.release is not None):
            return
        if each.release is not None and each.tries > 8:
            each.release = None  # it runs out by itself
            return
        self._number += 1
        wish: LeaseOperation = each.release or AcquireLease(name, self._name, self._session, self._number)
        each.ask, each.asked = self._number, self._now
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
