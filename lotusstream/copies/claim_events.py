"""The events of a claim coordinator, and the actions that its caller carries out.

`request` is the request ID of the decision module, `attempt` the number of an attempt within its request.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from lotusstream.copies.messages import IdempotencyRecord


class ClaimOutcome(StrEnum):
    """The reply of a host to a claim or a completion. The values are the form on the wire."""

    COMMITTED = "promised"
    ALREADY_RECORDED = "known"
    NOT_COMMITTED = "unkept"
    UNKNOWN = "maybe"  # not committed yet; the record may still be committed later


# Events


@dataclass(frozen=True, slots=True)
class AttemptRequested:
    """The decision module wants to send an attempt. The key of the request has to be claimed first."""

    request: int
    attempt: int
    key: str
    request_digest: str  # digest of profile and statement
    zone: str  # zone whose endpoints drop repeats of the request; "": endpoints of any zone do
    cell: int  # index of the cell whose endpoints drop repeats; -1: endpoints of any cell do
    executing_since: int  # earliest time at which the attempt may run, microseconds of the Unix clock
    expires_at: int  # when the record of the key expires, microseconds of the Unix clock
    deadline: int  # latest time for the commit of the claim, microseconds
    # Whether the request may be sent again although an earlier attempt may have been executed.
    may_retry: bool


@dataclass(frozen=True, slots=True)
class AttemptCancelled:
    """The attempt is cancelled. Ignored if it has been sent already."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class EndpointAnswered:
    """An endpoint has answered. The client gets the answer once it is stored."""

    request: int
    answer: bytes
    deadline: int  # latest time for the commit of the answer, microseconds


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """The request has ended and needs no answer."""

    request: int
    may_have_executed: bool  # whether an attempt of this gateway that has ended may have been executed
    unfinished_attempts: frozenset[int]  # numbers of the attempts that have not ended
    deadline: int  # latest time for the release of the request's claim, microseconds


@dataclass(frozen=True, slots=True)
class PrimaryReplied:
    """A host has replied to a `SendToPrimary`."""

    number: int  # number of the `SendToPrimary`
    outcome: str  # value of a `ClaimOutcome`, or one that only a later version knows
    record: IdempotencyRecord | None  # existing record of the key if ALREADY_RECORDED, else None
    reason: str  # why the record is not committed; "" for the other outcomes
    primary: str  # the gateway to ask instead; "": the host names none


@dataclass(frozen=True, slots=True)
class ShutdownDeadlineSet:
    """The gateway shuts down: answers that are not stored by the deadline are withheld."""

    deadline: int  # microseconds


@dataclass(frozen=True, slots=True)
class ClaimTimeAdvanced:
    """Time has passed: a retry or a deadline may be due."""


Event = (
    AttemptRequested
    | AttemptCancelled
    | EndpointAnswered
    | RequestEnded
    | PrimaryReplied
    | ShutdownDeadlineSet
    | ClaimTimeAdvanced
)

# Actions


@dataclass(frozen=True, slots=True)
class SendToPrimary:
    """Ask a host to store a record."""

    host: str  # name of the gateway
    number: int  # number of this message; the reply repeats it
    completes: bool  # True: the record has the answer; False: it claims the key, or releases the claim
    record: IdempotencyRecord
    previous_owner: str  # owner of the claim that this one replaces; "": it replaces none


@dataclass(frozen=True, slots=True)
class ReleaseAttempt:
    """Send the attempt: its key is claimed."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ReturnAttempt:
    """Return the attempt to the decision module: it was not sent and will not be."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ReportEarlierExecution:
    """Another gateway may have executed the request. A `ReturnAttempt` follows."""

    request: int
    zone: str  # zone whose endpoints drop repeats; "": endpoints of any zone do
    cell: int  # index of the cell whose endpoints drop repeats; -1: endpoints of any cell do
    # Earliest time at which the request may have been executed, microseconds of the Unix clock.
    executing_since: int


@dataclass(frozen=True, slots=True)
class AbandonRequest:
    """Abandon the request: its key can't be claimed, and this gateway has not sent the waiting attempt."""

    request: int
    reason: str


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Send the client the stored answer, which every repeat of the request gets too."""

    request: int
    answer: bytes


@dataclass(frozen=True, slots=True)
class WithholdAnswer:
    """Fail the request: its answer could not be stored, or its key was used for another request."""

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
