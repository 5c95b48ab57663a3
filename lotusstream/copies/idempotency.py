"""A gateway's side of replicated idempotency records, without I/O.

A gateway claims an idempotency key at the primary of the key's shard before it sends an attempt, and stores
the answer there before it answers the client. A claim names the endpoints that drop repeats, so that another
gateway that receives a repeat sends it there or not at all. A claim is replaced by compare-and-set on its
owner, and each claim has a different owner, so that a late message changes nothing.

The reasons in `AbandonRequest` and `WithholdAnswer` are part of the wire form and must not change: they leave
the gateway in failure messages to clients and in its log. In them, a home is a primary, and the mark of a
request its idempotency key; "no home answers" means that no primary has replied in time that it has committed
the record.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from lotusstream.copies.claim_events import (
    AbandonRequest,
    Action,
    AttemptCancelled,
    AttemptRequested,
    ClaimOutcome,
    ClaimTimeAdvanced,
    DeliverAnswer,
    EndpointAnswered,
    Event,
    PrimaryReplied,
    ReleaseAttempt,
    ReportEarlierExecution,
    RequestEnded,
    ReturnAttempt,
    SendToPrimary,
    ShutdownDeadlineSet,
    WithholdAnswer,
)
from lotusstream.copies.messages import IdempotencyRecord, RecordState
from lotusstream.copies.primary_directory import PrimaryDirectory
from lotusstream.copies.request_timers import RequestTimers
from lotusstream.copies.shards import ReplicaHost

NO_SHUTDOWN = 2**62  # a time in microseconds that is later than any deadline


@dataclass(frozen=True, slots=True)
class ClaimOptions:
    """The placement of replicas, and timeouts in microseconds."""

    shard_count: int
    replica_count: int  # replicas of each shard
    reply_timeout: int  # how long a host may take to reply before another one is asked
    retry_pause: int  # pause between the refusal of a message and its repetition


class ClaimPhase(Enum):
    """What a request waits for from the primary; IDLE: for nothing."""

    IDLE = "nothing"
    CLAIMING = "claim"
    COMPLETING = "finish"
    RELEASING = "free"


@dataclass(slots=True)
class _ClaimState:
    """The state of one request with an idempotency key."""

    newest_attempt: AttemptRequested  # newest attempt of the request for which a claim was requested
    phase: ClaimPhase = ClaimPhase.IDLE
    claim: IdempotencyRecord | None = None  # committed claim of this gateway; None: it has none
    wanted: IdempotencyRecord | None = None  # record that the primary is asked to store
    previous_owner: str = ""  # owner of the claim that `wanted` replaces; "": it replaces none
    # Claim of another gateway, which a claim of this gateway has to replace; None: none is known.
    earlier_claim: IdempotencyRecord | None = None
    executed_elsewhere: bool = False  # whether another gateway may have executed the request
    waiting_attempt: int | None = None  # number of the attempt that waits for its claim; None: none waits
    message_number: int = 0  # number of the newest message to the primary
    asked_host: str = ""  # recipient of the newest message
    skipped_hosts: list[str] = field(default_factory=list)  # hosts that did not reply or could not help
    retry_at: int = 0  # when `wanted` is sent to a host again, microseconds
    deadline: int = 0  # when this phase fails unless the primary has committed the record, microseconds

    def message(self) -> SendToPrimary:
        """Return the message to `asked_host`."""
        assert self.wanted is not None
        completes = self.phase is ClaimPhase.COMPLETING
        return SendToPrimary(
            self.asked_host, self.message_number, completes, self.wanted, self.previous_owner
        )

    def release_attempt(self) -> ReleaseAttempt:
        """Return the action that sends the waiting attempt, which must exist."""
        assert self.waiting_attempt is not None
        action = ReleaseAttempt(self.newest_attempt.request, self.waiting_attempt)
        self.waiting_attempt = None
        self.phase = ClaimPhase.IDLE
        return action

    def return_attempt(self) -> list[Action]:
        """Return the action that returns the waiting attempt; no action if none waits."""
        if self.waiting_attempt is None:
            return []
        action = ReturnAttempt(self.newest_attempt.request, self.waiting_attempt)
        self.waiting_attempt = None
        self.phase = ClaimPhase.IDLE
        return [action]

    def claims_place_of(self, attempt: AttemptRequested) -> bool:
        """Whether the committed claim names the zone and cell of this attempt."""
        return self.claim is not None and _same_place(self.claim, attempt)


class ClaimCoordinator:
    """Claims keys, stores answers and releases claims for all requests of one gateway."""

    def __init__(self, session: str, hosts: Iterable[ReplicaHost], options: ClaimOptions) -> None:
        """Begin without requests.

        :param session: a name that no other run of any gateway has.
        """
        self._session = session
        self._options = options
        self._directory = PrimaryDirectory(hosts, options.shard_count, options.replica_count)
        self._states: dict[int, _ClaimState] = {}  # state by request ID
        self._timers = RequestTimers()
        self._asked: dict[int, int] = {}  # request ID by the number of its unanswered message
        self._message_counter = 0
        self._claim_counter = 0
        self._now = 0
        self._shutdown_deadline = NO_SHUTDOWN  # microseconds
        self._actions: list[Action] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process an event at this time (microseconds) and return the resulting actions."""
        self._now = now
        self._actions = []
        match event:
            case AttemptRequested():
                self._on_attempt_requested(event)
            case AttemptCancelled():
                self._on_attempt_cancelled(event)
            case EndpointAnswered():
                self._on_endpoint_answered(event)
            case RequestEnded():
                self._on_request_ended(event)
            case PrimaryReplied():
                self._on_primary_replied(event)
            case ShutdownDeadlineSet(deadline):
                self._on_shutdown_deadline_set(deadline)
            case ClaimTimeAdvanced():
                self._on_time_advanced()
        return self._actions

    @property
    def next_timer_at(self) -> int | None:
        """When a `ClaimTimeAdvanced` is due, microseconds; None: none is due."""
        return self._timers.next_at

    # Events of this gateway

    def _on_attempt_requested(self, attempt: AttemptRequested) -> None:
        state = self._states.setdefault(attempt.request, _ClaimState(attempt))
        self._actions += state.return_attempt()
        state.newest_attempt = attempt
        state.waiting_attempt = attempt.attempt
        previous = state.earlier_claim or state.wanted or state.claim
        if state.claims_place_of(attempt):
            self._actions.append(state.release_attempt())
        elif state.earlier_claim is not None and not _same_place(state.earlier_claim, attempt):
            # The reason means: another gateway may have executed the request in another zone or cell.
            self._abandon(state, "it may have run elsewhere")
        elif previous is None:
            self._request_claim(state, "", attempt.executing_since)
        else:  # the request may have been executed since the time that the previous claim names
            self._request_claim(state, previous.owner, previous.executing_since)

    def _on_attempt_cancelled(self, event: AttemptCancelled) -> None:
        state = self._states.get(event.request)
        if state is not None and state.waiting_attempt == event.attempt:
            self._actions += state.return_attempt()

    def _on_endpoint_answered(self, event: EndpointAnswered) -> None:
        state = self._states.get(event.request)
        if state is None or state.claim is None:
            self._actions.append(WithholdAnswer(event.request, "its claim is not known any more"))
            return
        state.phase = ClaimPhase.COMPLETING
        state.deadline = min(event.deadline, self._shutdown_deadline)
        state.previous_owner = ""
        state.wanted = msgspec.structs.replace(state.claim, state=RecordState.ANSWERED, answer=event.answer)
        self._ask(state)

    def _on_request_ended(self, event: RequestEnded) -> None:
        """Release the claim of the request, unless an attempt may have been executed."""
        state = self._states.get(event.request)
        if state is None or state.phase is ClaimPhase.COMPLETING:
            return  # the answer is still stored, so that a repeat of the request gets it
        was_sent = any(attempt != state.waiting_attempt for attempt in event.unfinished_attempts)
        self._actions += state.return_attempt()
        newest = state.wanted or state.claim
        if event.may_have_executed or was_sent or state.executed_elsewhere or newest is None:
            self._forget(state)
            return
        state.phase = ClaimPhase.RELEASING
        state.deadline = event.deadline
        state.previous_owner = newest.owner
        state.wanted = msgspec.structs.replace(newest, state=RecordState.NOT_EXECUTED)
        self._ask(state)

    def _on_shutdown_deadline_set(self, deadline: int) -> None:
        """Limit the time of answers that wait to be stored. Without this, the process would end before the
        client's deadline, and with it the only chance of a reply."""
        self._shutdown_deadline = deadline
        for request, state in self._states.items():
            if state.phase is ClaimPhase.COMPLETING:
                state.deadline = min(state.deadline, deadline)
                self._timers.arm(state.deadline, request)

    def _on_time_advanced(self) -> None:
        while (request := self._timers.take_due(self._now)) is not None:
            state = self._states.get(request)
            if state is not None:
                self._check_timers(state)

    # Attempts

    def _abandon(self, state: _ClaimState, reason: str) -> None:
        self._actions += state.return_attempt()
        self._actions.append(AbandonRequest(state.newest_attempt.request, reason))

    def _forget(self, state: _ClaimState) -> None:
        self._asked.pop(state.message_number, None)
        self._states.pop(state.newest_attempt.request, None)

    # Messages to the primary

    def _request_claim(self, state: _ClaimState, previous_owner: str, executing_since: int) -> None:
        attempt = state.newest_attempt
        self._claim_counter += 1
        owner = f"{self._owner_prefix(attempt)}{self._claim_counter}"
        state.wanted = _new_claim(attempt, owner, executing_since)
        state.phase = ClaimPhase.CLAIMING
        state.previous_owner = previous_owner
        state.deadline = attempt.deadline
        self._ask(state)

    def _owner_prefix(self, attempt: AttemptRequested) -> str:
        """Return the common prefix of the owners of all claims for one request of this gateway."""
        return f"{self._session}/{attempt.request}/"

    def _ask(self, state: _ClaimState) -> None:
        self._asked.pop(state.message_number, None)
        self._message_counter += 1
        state.message_number = self._message_counter
        state.asked_host = self._directory.choose(state.newest_attempt.key, state.skipped_hosts)
        self._retry_in(state, self._options.reply_timeout)
        self._asked[state.message_number] = state.newest_attempt.request
        self._actions.append(state.message())

    def _retry_in(self, state: _ClaimState, delay: int) -> None:
        """Set a timer for the next try after `delay` microseconds, or for the deadline if that is earlier."""
        state.retry_at = self._now + delay
        self._timers.arm(min(state.retry_at, state.deadline), state.newest_attempt.request)

    def _check_timers(self, state: _ClaimState) -> None:
        if state.phase is ClaimPhase.IDLE:
            return
        if self._now >= state.deadline:
            self._on_deadline_passed(state, "no home answers")  # no primary confirmed the commit in time
        elif self._now >= state.retry_at:
            if state.message_number in self._asked:  # the host has not replied
                state.skipped_hosts.append(state.asked_host)
            self._ask(state)

    def _on_deadline_passed(self, state: _ClaimState, reason: str) -> None:
        match state.phase:
            case ClaimPhase.CLAIMING:
                state.phase = ClaimPhase.IDLE
                self._abandon(state, reason)
            case ClaimPhase.COMPLETING:
                self._actions.append(WithholdAnswer(state.newest_attempt.request, reason))
                self._forget(state)
            case _:
                self._forget(state)

    # Replies of the primary

    def _on_primary_replied(self, reply: PrimaryReplied) -> None:
        request = self._asked.pop(reply.number, None)
        state = self._states.get(request) if request is not None else None
        if state is None or state.phase is ClaimPhase.IDLE:
            return
        if reply.primary:
            self._directory.note_primary(state.newest_attempt.key, reply.primary)
        if reply.outcome == ClaimOutcome.COMMITTED:
            self._on_committed(state)
        elif reply.outcome == ClaimOutcome.ALREADY_RECORDED and reply.record is not None:
            self._on_already_recorded(state, reply.record)
        else:
            self._on_not_committed(state, reply)

    def _on_not_committed(self, state: _ClaimState, reply: PrimaryReplied) -> None:
        if self._now + self._options.retry_pause >= state.deadline:
            self._on_deadline_passed(state, reply.reason)
        elif reply.primary and reply.primary != state.asked_host:
            state.skipped_hosts = [each for each in state.skipped_hosts if each != reply.primary]
            self._ask(state)
        else:
            if not reply.primary and reply.outcome == ClaimOutcome.NOT_COMMITTED:
                state.skipped_hosts.append(state.asked_host)
            self._retry_in(state, self._options.retry_pause)

    def _on_committed(self, state: _ClaimState) -> None:
        match state.phase:
            case ClaimPhase.CLAIMING:
                state.claim = state.wanted
                state.wanted = None
                state.earlier_claim = None
                if state.waiting_attempt is not None:
                    self._actions.append(state.release_attempt())
                state.phase = ClaimPhase.IDLE
            case ClaimPhase.COMPLETING:
                assert state.wanted is not None
                self._actions.append(DeliverAnswer(state.newest_attempt.request, state.wanted.answer))
                self._forget(state)
            case _:
                self._forget(state)

    def _on_already_recorded(self, state: _ClaimState, record: IdempotencyRecord) -> None:
        attempt = state.newest_attempt
        if state.phase is ClaimPhase.RELEASING:
            self._forget(state)
        elif record.request_digest != attempt.request_digest:
            reason = "its mark was used for another statement"  # or profile; the mark is the key
            self._end_with(state, WithholdAnswer(attempt.request, reason))
        elif record.state is RecordState.ANSWERED:
            self._end_with(state, DeliverAnswer(attempt.request, record.answer))
        elif record.owner.startswith(self._owner_prefix(attempt)):  # own claim; the reply to it was lost
            self._request_claim(state, record.owner, record.executing_since)
        elif state.earlier_claim is not None and _same_place(record, attempt):
            state.earlier_claim = record  # a third gateway has claimed the key for the same endpoints
            self._request_claim(state, record.owner, record.executing_since)
        elif not attempt.may_retry and self._now + self._options.retry_pause < attempt.deadline:
            self._retry_in(state, self._options.retry_pause)  # the other gateway may still get an answer
        else:
            self._report_earlier_execution(state, record)

    def _end_with(self, state: _ClaimState, action: DeliverAnswer | WithholdAnswer) -> None:
        """End the request; its waiting attempt is not sent."""
        self._actions += state.return_attempt()
        self._actions.append(action)
        self._forget(state)

    def _report_earlier_execution(self, state: _ClaimState, record: IdempotencyRecord) -> None:
        state.earlier_claim = record
        state.claim = None
        state.executed_elsewhere = True
        request = state.newest_attempt.request
        report = ReportEarlierExecution(request, record.zone, record.cell, record.executing_since)
        self._actions.append(report)
        self._actions += state.return_attempt()


def _new_claim(attempt: AttemptRequested, owner: str, executing_since: int) -> IdempotencyRecord:
    """Return a record that claims the key for an attempt."""
    return IdempotencyRecord(
        key=attempt.key,
        request_digest=attempt.request_digest,
        state=RecordState.SENT,
        owner=owner,
        expires_at=attempt.expires_at,
        zone=attempt.zone,
        cell=attempt.cell,
        executing_since=executing_since,
    )


def _same_place(record: IdempotencyRecord, attempt: AttemptRequested) -> bool:
    """Whether a record names the zone and cell of an attempt."""
    return (record.zone, record.cell) == (attempt.zone, attempt.cell)
