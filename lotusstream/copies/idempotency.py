"""A gateway's side of what is held: before a command with a mark is sent, its key is claimed at the home of
its shard; before it is answered, the answer is held there. No I/O, no clock.

A claim names where repeats are dropped, so that another gateway that takes the repeat sends it there or not
at all. It changes hands by compare-and-set on its owner's name, and each claim has a new one: a word that
comes late changes nothing.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from lotusstream.copies.messages import IdempotencyRecord, RecordState
from lotusstream.copies.shards import ReplicaHost, choose_hosts, shard_of


@dataclass(frozen=True, slots=True)
class ClaimOptions:
    """`patience`: microseconds for one answer of a home. `pause`: between two tries."""

    shard_count: int
    replica_count: int
    reply_timeout: int
    retry_pause: int


@dataclass(frozen=True, slots=True)
class AttemptRequested:
    """A send is to leave. `zone`, `cell`: where engines drop its repeats ("" and -1: wherever it goes).
    `since`, `until`: from when on it may run, and how long its key is remembered, of the Unix clock. `by`:
    the latest to be told. `again`: whether a command that may have run may be sent again at all."""

    request: int
    attempt: int
    key: str
    request_digest: str
    zone: str
    cell: int
    executing_since: int
    expires_at: int
    deadline: int
    may_retry: bool


@dataclass(frozen=True, slots=True)
class AttemptCancelled:
    """The send is not wanted any more; nothing follows where it has left already."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class EndpointAnswered:
    """An engine has answered; the client is to get it once it is held."""

    request: int
    answer: bytes
    deadline: int


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """The command needs no answer any more. `ran`: a send of this gateway may have run. `out`: those that
    have not ended. `by`: the latest for its claim to be taken back."""

    request: int
    may_have_executed: bool
    unfinished_attempts: frozenset[int]
    deadline: int


@dataclass(frozen=True, slots=True)
class PrimaryReplied:
    """What a holder answered: promised, known, unkept or maybe. `home`: whom to ask, if it knows."""

    number: int
    outcome: str
    record: IdempotencyRecord | None
    reason: str
    primary: str


@dataclass(frozen=True, slots=True)
class ClaimTimeAdvanced:
    pass


Event = (
    AttemptRequested | AttemptCancelled | EndpointAnswered | RequestEnded | PrimaryReplied | ClaimTimeAdvanced
)


@dataclass(frozen=True, slots=True)
class SendToPrimary:
    """Of a holder. `after`: the owner whose claim this one takes the place of."""

    host: str
    number: int
    completes: bool
    record: IdempotencyRecord
    previous_owner: str


@dataclass(frozen=True, slots=True)
class ReleaseAttempt:
    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ReturnAttempt:
    """The send has not left, and will not."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ReportEarlierExecution:
    """Another gateway may have run it, there and since then; followed by Back."""

    request: int
    zone: str
    cell: int
    executing_since: int


@dataclass(frozen=True, slots=True)
class AbandonRequest:
    """Nothing can be promised: the command is to be given up, and has not run here."""

    request: int
    reason: str


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """The answer that every repeat gets."""

    request: int
    answer: bytes


@dataclass(frozen=True, slots=True)
class WithholdAnswer:
    """Nothing that could be told again: failed. Either its answer is not held, or its key was used for
    another statement."""

    request: int
    reason: str


Action = (
    SendToPrimary
    | ReleaseAttempt
    | ReturnAttempt
    | ReportEarlierExecution
    | AbandonRequest
    | DeliverAnswer
    | WithholdAnswer
)


class ClaimPhase(Enum):
    """What is being asked for."""

    IDLE = "nothing"
    CLAIMING = "claim"
    COMPLETING = "finish"
    RELEASING = "free"


@dataclass(slots=True)
class _ClaimState:
    """One command. `mine`: its claim, once promised. `wanted`: what is being asked for."""

    told: AttemptRequested
    step: ClaimPhase = ClaimPhase.IDLE
    mine: IdempotencyRecord | None = None
    wanted: IdempotencyRecord | None = None
    after: str = ""
    earlier: IdempotencyRecord | None = None  # another gateway's claim, that ours is to take the place of
    foreign: bool = False  # another gateway may have run it
    waits: int | None = None  # the send that is held back
    number: int = 0
    holder: str = ""
    skipped: list[str] = field(default_factory=list)
    again_at: int = 0
    by: int = 0


class ClaimCoordinator:
    """`session`: a name that no other run of any gateway has."""

    def __init__(self, session: str, holders: Iterable[ReplicaHost], terms: ClaimOptions) -> None:
        self._session, self._holders, self._terms = session, tuple(holders), terms
        self._homes: dict[int, str] = {}
        self._orders: dict[int, tuple[str, ...]] = {}  # by shard: whom to ask where the home is not known
        self._kept: dict[int, _ClaimState] = {}
        self._due: list[tuple[int, int]] = []  # when a command is to be looked at; what is over is passed by
        self._asked: dict[int, int] = {}  # by number: the command
        self._numbers = self._claims = 0
        self._now = 0
        self._out: list[Action] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        self._now, self._out = now, []
        match event:
            case AttemptRequested():
                self._leaves(event)
            case AttemptCancelled(command, send):
                kept = self._kept.get(command)
                if kept is not None and kept.waits == send:
                    self._back(kept)
            case EndpointAnswered(command, answer, by):
                self._answered(command, answer, by)
            case RequestEnded():
                self._over(event)
            case PrimaryReplied():
                self._heard(event)
            case ClaimTimeAdvanced():
                while self._due and self._due[0][0] <= now:
                    kept = self._kept.get(heapq.heappop(self._due)[1])
                    if kept is not None:
                        self._look(kept)
        return self._out

    @property
    def next_timer_at(self) -> int | None:
        """When a Tick is due."""
        return self._due[0][0] if self._due else None

    # What this gateway wants

    def _leaves(self, told: AttemptRequested) -> None:
        kept = self._kept.setdefault(told.request, _ClaimState(told))
        if kept.waits is not None:
            self._back(kept)
        kept.told, kept.waits = told, told.attempt
        mine, earlier = kept.mine, kept.earlier
        if mine is not None and (mine.zone, mine.cell) == (told.zone, told.cell):
            self._let_go(kept)
        elif earlier is not None and (earlier.zone, earlier.cell) != (told.zone, told.cell):
            self._refuse(kept, "it may have run elsewhere")
        else:
            base = earlier or kept.wanted or mine
            self._claim(
                kept, base.owner if base else "", base.executing_since if base else told.executing_since
            )

    def _claim(self, kept: _ClaimState, after: str, since: int) -> None:
        told = kept.told
        self._claims += 1
        owner = f"{self._session}/{told.request}/{self._claims}"
        kept.wanted = IdempotencyRecord(
            told.key,
            told.request_digest,
            RecordState.SENT,
            owner,
            told.expires_at,
            b"",
            told.zone,
            told.cell,
            since,
        )
        kept.step, kept.after, kept.by = ClaimPhase.CLAIMING, after, told.deadline
        self._ask(kept)

    def _let_go(self, kept: _ClaimState) -> None:
        assert kept.waits is not None
        kept.step = ClaimPhase.IDLE
        self._out.append(ReleaseAttempt(kept.told.request, kept.waits))
        kept.waits = None

    def _back(self, kept: _ClaimState) -> None:
        if kept.waits is not None:
            self._out.append(ReturnAttempt(kept.told.request, kept.waits))
            kept.waits, kept.step = None, ClaimPhase.IDLE

    def _refuse(self, kept: _ClaimState, why: str) -> None:
        self._back(kept)
        self._out.append(AbandonRequest(kept.told.request, why))

    def _answered(self, command: int, answer: bytes, by: int) -> None:
        if (kept := self._kept.get(command)) is None or kept.mine is None:
            self._out.append(WithholdAnswer(command, "its claim is not known any more"))
            return
        kept.step, kept.by, kept.after = ClaimPhase.COMPLETING, by, ""
        kept.wanted = msgspec.structs.replace(kept.mine, state=RecordState.ANSWERED, answer=answer)
        self._ask(kept)

    def _over(self, told: RequestEnded) -> None:
        kept = self._kept.get(told.request)
        if kept is None or kept.step is ClaimPhase.COMPLETING:
            return  # whoever asks again gets the answer though this client has left
        left = any(send != kept.waits for send in told.unfinished_attempts)
        self._back(kept)
        newest = kept.wanted or kept.mine
        if told.may_have_executed or left or kept.foreign or newest is None:
            self._forget(kept)
            return
        kept.step, kept.by, kept.after = ClaimPhase.RELEASING, told.deadline, newest.owner
        kept.wanted = msgspec.structs.replace(newest, state=RecordState.NOT_EXECUTED)
        self._ask(kept)

    def _forget(self, kept: _ClaimState) -> None:
        self._asked.pop(kept.number, None)
        self._kept.pop(kept.told.request, None)

    # Asking

    def _ask(self, kept: _ClaimState) -> None:
        assert kept.wanted is not None
        self._asked.pop(kept.number, None)
        self._numbers += 1
        kept.number, kept.holder = self._numbers, self._whom(kept)
        self._again_in(kept, self._terms.reply_timeout)
        self._asked[kept.number] = kept.told.request
        finish = kept.step is ClaimPhase.COMPLETING
        self._out.append(SendToPrimary(kept.holder, kept.number, finish, kept.wanted, kept.after))

    def _whom(self, kept: _ClaimState) -> str:
        """The home, as far as is known; then those it would be given to, one after the other."""
        shard = shard_of(kept.told.key, self._terms.shard_count)
        home = self._homes.get(shard, "")
        if home and home not in kept.skipped:
            return home
        if shard not in self._orders:
            likely = [
                each.replica_id.name for each in choose_hosts(shard, self._holders, self._terms.replica_count)
            ]
            self._orders[shard] = (*likely, *(each.replica_id.name for each in self._holders))
        for name in self._orders[shard]:
            if name not in kept.skipped:
                return name
        kept.skipped.clear()
        return home or self._orders[shard][0]

    def _again_in(self, kept: _ClaimState, span: int) -> None:
        """Nothing follows before then, or before its time is over, unless something is heard."""
        kept.again_at = self._now + span
        heapq.heappush(self._due, (min(kept.again_at, kept.by), kept.told.request))

    def _look(self, kept: _ClaimState) -> None:
        if kept.step is ClaimPhase.IDLE:
            return
        if self._now >= kept.by:
            self._too_late(kept, "no home answers")
        elif self._now >= kept.again_at:
            if kept.number in self._asked:  # it has said nothing
                kept.skipped.append(kept.holder)
            self._ask(kept)

    def _too_late(self, kept: _ClaimState, why: str) -> None:
        match kept.step:
            case ClaimPhase.CLAIMING:
                kept.step = ClaimPhase.IDLE
                self._refuse(kept, why)
            case ClaimPhase.COMPLETING:
                self._out.append(WithholdAnswer(kept.told.request, why))
                self._forget(kept)
            case _:
                self._forget(kept)

    def _heard(self, heard: PrimaryReplied) -> None:
        command = self._asked.pop(heard.number, None)
        if command is None or (kept := self._kept.get(command)) is None or kept.step is ClaimPhase.IDLE:
            return
        if heard.primary:
            self._homes[shard_of(kept.told.key, self._terms.shard_count)] = heard.primary
        if heard.outcome == "promised":
            self._promised(kept)
        elif heard.outcome == "known" and heard.record is not None:
            self._known(kept, heard.record)
        elif self._now + self._terms.retry_pause >= kept.by:
            self._too_late(kept, heard.reason)
        elif heard.primary and heard.primary != kept.holder:
            kept.skipped = [each for each in kept.skipped if each != heard.primary]
            self._ask(kept)
        else:
            if not heard.primary and heard.outcome == "unkept":
                kept.skipped.append(kept.holder)
            self._again_in(kept, self._terms.retry_pause)

    def _promised(self, kept: _ClaimState) -> None:
        match kept.step:
            case ClaimPhase.CLAIMING:
                kept.mine, kept.wanted, kept.earlier = kept.wanted, None, None
                if kept.waits is not None:
                    self._let_go(kept)
                kept.step = ClaimPhase.IDLE
            case ClaimPhase.COMPLETING:
                assert kept.wanted is not None
                self._out.append(DeliverAnswer(kept.told.request, kept.wanted.answer))
                self._forget(kept)
            case _:
                self._forget(kept)

    def _known(self, kept: _ClaimState, known: IdempotencyRecord) -> None:
        told = kept.told
        ours = known.owner.startswith(f"{self._session}/{told.request}/")
        if kept.step is ClaimPhase.RELEASING:
            self._forget(kept)
        elif known.request_digest != told.request_digest:
            self._back(kept)
            self._out.append(WithholdAnswer(told.request, "its mark was used for another statement"))
            self._forget(kept)
        elif known.state is RecordState.ANSWERED:
            self._back(kept)
            self._out.append(DeliverAnswer(told.request, known.answer))
            self._forget(kept)
        elif ours:  # a claim before this one, whose answer was lost
            self._claim(kept, known.owner, known.executing_since)
        elif kept.earlier is not None and (known.zone, known.cell) == (told.zone, told.cell):
            kept.earlier = known  # a third one was quicker, in the same place
            self._claim(kept, known.owner, known.executing_since)
        elif not told.may_retry and self._now + self._terms.retry_pause < told.deadline:
            self._again_in(kept, self._terms.retry_pause)  # it may be answered any moment
        else:
            kept.earlier, kept.mine, kept.foreign = known, None, True
            self._out.append(
                ReportEarlierExecution(told.request, known.zone, known.cell, known.executing_since)
            )
            self._back(kept)
