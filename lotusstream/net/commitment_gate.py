"""What the decider and a commitment gate say to each other.

A commitment gate stands between the decider and the endpoints for requests with an idempotency key: an
attempt leaves once the key is claimed, an answer once it is retained for repeats of the request.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lotusstream import interface as api
from lotusstream.net.client import ReceivedRequest
from lotusstream.net.endpoint import AbortAttempt, ChangePriority, EndpointActor, RunAttempt


@dataclass(frozen=True, slots=True)
class AttemptReady:
    """A send that leaves once that is promised."""

    start: RunAttempt
    actor: EndpointActor
    entry: api.EndpointEntry
    request: ReceivedRequest


@dataclass(frozen=True, slots=True)
class AttemptControl:
    """What follows a send on its way."""

    actor: EndpointActor
    message: AbortAttempt | ChangePriority


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """An engine has answered; Ready follows. `given`: the time that the client gave, microseconds."""

    request_id: int
    rows: bytes
    deadline: int
    time_limit: int


@dataclass(frozen=True, slots=True)
class RequestClosed:
    """No answer is owed any more. `ran`: a send that has ended may have run. `out`: sends that have not."""

    request_id: int
    may_have_run: bool
    in_flight: frozenset[int]
    time_limit: int


GateMessage = AttemptReady | AttemptControl | AnswerReceived | RequestClosed


@dataclass(frozen=True, slots=True)
class AnswerReady:
    """What the client gets; no rows: failed, and why."""

    request_id: int
    rows: bytes | None
    reason: str


class CommitmentGate(Protocol):
    """Stands between the decider and engines, for commands that something is promised about."""

    def covers(self, profile: int, mark: str | None) -> bool: ...

    def post(self, message: GateMessage) -> None: ...
