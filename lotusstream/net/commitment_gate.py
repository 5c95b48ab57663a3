"""The messages between the decider and a commitment gate.

A commitment gate stands between the decider and the endpoints. It sends an attempt of a request with an
idempotency key only once the key is claimed, and lets the client have the answer only once the answer is
stored for repeats of the request.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lotusstream import interface as api
from lotusstream.net.attempt_messages import AbortAttempt, ChangePriority, RunAttempt
from lotusstream.net.endpoint import EndpointActor
from lotusstream.net.received_request import ReceivedRequest


@dataclass(frozen=True, slots=True)
class AttemptReady:
    """To the gate: send this attempt to its endpoint once the key of its request is claimed."""

    start: RunAttempt
    actor: EndpointActor  # actor of the endpoint that executes the attempt
    entry: api.EndpointEntry  # entry of that endpoint in the endpoint list
    request: ReceivedRequest


@dataclass(frozen=True, slots=True)
class AttemptControl:
    """To the gate: abort an attempt that the gate has received before, or change its priority."""

    actor: EndpointActor  # actor of the endpoint that executes the attempt
    message: AbortAttempt | ChangePriority


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """To the gate: an endpoint has answered. The gate stores the answer and sends AnswerReady."""

    request_id: int
    rows: bytes
    deadline: int  # deadline of the request, microseconds of the decider's clock
    time_limit: int  # the client timeout, microseconds


@dataclass(frozen=True, slots=True)
class RequestClosed:
    """To the gate: the request has ended; the decider ignores a later AnswerReady for it."""

    request_id: int
    may_have_run: bool  # whether an attempt that has ended may have been executed
    in_flight: frozenset[int]  # numbers of the attempts that have not ended
    time_limit: int  # the client timeout, microseconds


GateMessage = AttemptReady | AttemptControl | AnswerReceived | RequestClosed | api.ShutdownStarted


@dataclass(frozen=True, slots=True)
class AnswerReady:
    """From the gate: the answer or failure to send to the client."""

    request_id: int
    rows: bytes | None  # the stored answer; None: the request fails
    reason: str  # why the request fails; "": it does not


class CommitmentGate(Protocol):
    """Stands between the decider and the endpoints for requests with an idempotency key."""

    def covers(self, profile: int, idempotency_key: str | None) -> bool:
        """Whether requests with this profile index and this key pass through the gate."""
        ...

    def post(self, message: GateMessage) -> None:
        """Queues a message. Messages are handled in the order of the calls."""
        ...
