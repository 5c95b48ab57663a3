"""Events that a claim coordinator takes, and actions that its caller carries out.

A request has the number that the decisions give it, an attempt the number within its request.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from lotusstream.copies.messages import IdempotencyRecord


class ClaimOutcome(StrEnum):
    """What a host answers to a claim or a completion. The values are the form on the wire."""

    COMMITTED = "promised"
    ALREADY_RECORDED = "known"
    NOT_COMMITTED = "unkept"
    UNKNOWN = "maybe"  # not committed, and may still be found later


# Events


@dataclass(frozen=True, slots=True)
class AttemptRequested:
    """An attempt is to leave, which needs a claim on the request's key first."""

    request: int
    attempt: int
    key: str
    request_digest: str
    zone: str  # of the endpoints that drop its repeats; "": of any zone
    cell: int  # likewise; -1: of any cell
    executing_since: int  # microseconds of the Unix clock: from here on it may be executed
    expires_at: int  # microseconds of the Unix clock: the key is remembered until then
    deadline: int  # microseconds: the latest for the claim
    may_retry: bool  # whether a request that may have been executed may be sent again at all


@dataclass(frozen=True, slots=True)
class AttemptCancelled:
    """The attempt is not wanted any more; nothing follows where it has left already."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class EndpointAnswered:
    """An endpoint has answered; the client gets the answer once it is stored."""

    request: int
    answer: bytes
    deadline: int  # microseconds


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """The request needs no answer any more."""

    request: int
    may_have_executed: bool  # by an attempt of this gateway that has ended
    unfinished_attempts: frozenset[int]
    deadline: int  # microseconds: the latest to release its claim


@dataclass(frozen=True, slots=True)
class PrimaryReplied:
    """A host has answered a `SendToPrimary`."""

    number: int  # of that action
    outcome: str  # a `ClaimOutcome`, or what a later version says
    record: IdempotencyRecord | None  # where the key was seen before
    reason: str
    primary: str  # the gateway to ask instead, if the host knows; else ""


@dataclass(frozen=True, slots=True)
class ClaimTimeAdvanced:
    """Time has passed: a retry or a deadline may be due."""


Event = (
    AttemptRequested | AttemptCancelled | EndpointAnswered | RequestEnded | PrimaryReplied | ClaimTimeAdvanced
)

# Actions


@dataclass(frozen=True, slots=True)
class SendToPrimary:
    """Ask a host to store a record."""

    host: str  # name of the gateway
    number: int  # names this in the reply
    completes: bool  # the record has the answer; else it is a claim, or releases one
    record: IdempotencyRecord
    previous_owner: str  # the owner of the claim that this one replaces; "": none


@dataclass(frozen=True, slots=True)
class ReleaseAttempt:
    """Let the attempt leave: its key is claimed."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ReturnAttempt:
    """The attempt has not left, and will not."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ReportEarlierExecution:
    """Another gateway may have executed the request. A `ReturnAttempt` follows."""

    request: int
    zone: str
    cell: int
    executing_since: int  # microseconds of the Unix clock


@dataclass(frozen=True, slots=True)
class AbandonRequest:
    """Nothing can be committed: abandon the request, which has not been executed here."""

    request: int
    reason: str


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Give the client the answer that every repeat gets."""

    request: int
    answer: bytes


@dataclass(frozen=True, slots=True)
class WithholdAnswer:
    """Fail the request: its answer is not stored, or its key was used for another statement."""

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
