"""A request that a client has sent, and the reports about it to the decider."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lotusstream.protocol import front

if TYPE_CHECKING:
    from lotusstream.net.client import ClientConnection


@dataclass(slots=True, eq=False)
class ReceivedRequest:
    """A request whose message was received completely. It is closed once it is answered or its client stops
    waiting. Times are in microseconds."""

    client: ClientConnection
    seqid: int  # sequence number of the client's message
    fields: front.RequestFields
    group: int  # table group of the statement
    statement: bytes  # UTF-8; emptied once the request is closed
    deadline: int  # when the client stops waiting for the answer
    # Earliest time at which it can have arrived: it may have waited unread while the event loop was busy.
    sent_at: int
    tenant: str | None = None  # None: the request belongs to no tenant
    closed: bool = False  # whether it was answered or its client has stopped waiting
    statement_bytes: int = field(init=False)  # length of the statement that it had when it was received

    def __post_init__(self) -> None:
        self.statement_bytes = len(self.statement)

    def is_awaited(self) -> bool:
        """Whether the client still waits for the answer. Also False if the client has closed its connection
        and the close was not read yet."""
        return not self.closed and not self.client.has_disconnected()


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The client has disconnected or has withdrawn this request."""

    request: ReceivedRequest


@dataclass(frozen=True, slots=True)
class RequestOverdue:
    """The deadline of this request has passed without a reply."""

    request: ReceivedRequest
