"""The messages between the decider and a commitment gate.

A commitment gate stands between the decider and the endpoints for requests with an idempotency key: an
attempt leaves once the key is claimed, an answer once it is retained for repeats of the request.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lotusstream import interface as api
from lotusstream.net.attempt_messages import AbortAttempt, ChangePriority, RunAttempt
from lotusstream.net.client import ReceivedRequest
from lotusstream.net.endpoint import EndpointActor


@dataclass(frozen=True, slots=True)
class AttemptReady:
    """To the gate: an attempt that may leave once the key of its request is claimed."""

    start: RunAttempt
    actor: EndpointActor  # that it is for
    entry: api.EndpointEntry  # of that endpoint
    request: ReceivedRequest


@dataclass(frozen=True, slots=True)
class AttemptControl:
    """To the gate: an order about an attempt that was given to it before."""

    actor: EndpointActor  # that the attempt is for
    message: AbortAttempt | ChangePriority


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """To the gate: an endpoint has answered. The gate retains the answer and sends AnswerReady."""

    request_id: int
    rows: bytes
    deadline: int  # of the request, microseconds
    time_limit: int  # that the client gave the request, microseconds


@dataclass(frozen=True, slots=True)
class RequestClosed:
    """To the gate: no answer is owed any more."""

    request_id: int
    may_have_run: bool  # an attempt that has ended may have been executed
    in_flight: frozenset[int]  # numbers of the attempts that have not ended
    time_limit: int  # that the client gave the request, microseconds


GateMessage = AttemptReady | AttemptControl | AnswerReceived | RequestClosed


@dataclass(frozen=True, slots=True)
class AnswerReady:
    """From the gate: what the client gets."""

    request_id: int
    rows: bytes | None  # None: the request fails
    reason: str  # why it fails


class CommitmentGate(Protocol):
    """Stands between the decider and the endpoints for requests that something is committed about."""

    def covers(self, profile: int, idempotency_key: str | None) -> bool:
        """Whether requests of this profile (an index) and with this key pass through the gate."""
        ...

    def post(self, message: GateMessage) -> None:
        """Takes a message to be handled later, in the order of the calls."""
        ...
