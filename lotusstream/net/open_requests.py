"""The requests that the decider has taken on, until they are closed and their attempts have ended.

This is the clients' side; `lotusstream/policy/open_requests.py` is that of the decisions.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from lotusstream.interface import Outcome
from lotusstream.net.client import ReceivedRequest
from lotusstream.net.commitment_gate import CommitmentGate
from lotusstream.net.endpoint import EndpointActor


@dataclass(slots=True, eq=False)
class OpenRequest:
    """One admitted request, by the id that the decision module knows it by."""

    request_id: int
    received: ReceivedRequest
    gate: CommitmentGate | None  # that its attempts and its answer pass through, if any
    is_open: bool = True  # its client still waits for an answer
    # by number; None: ended before it reached an endpoint
    attempts: list[EndpointActor | None] = field(default_factory=list)
    in_flight: set[int] = field(default_factory=set)  # numbers of the attempts that have not ended
    priority: int | None = None  # the latest that the decision module gave
    may_have_run: bool = False  # an attempt that has ended may have been executed
    awaits_commitment: bool = False  # it is answered, and the gate has not yet retained the answer
    last_outcome: Outcome | None = None  # of the attempt that ended last


class OpenRequestTable:
    """Admitted requests by id, by what their client sent, and by call id, within two limits.

    A request is in the table from `add` until it is closed and none of its attempts is in flight. Its client,
    its call id and its statement are released when it is closed.
    """

    def __init__(self, max_requests: int, max_statement_bytes: int) -> None:
        """`max_requests`: that may be open at a time; 0: no limit. `max_statement_bytes`: of the statements
        of all open requests."""
        self._max_requests = max_requests
        self._max_statement_bytes = max_statement_bytes
        self._statement_bytes = 0
        self._last_id = 0
        self._by_id: dict[int, OpenRequest] = {}
        self._by_received: dict[ReceivedRequest, OpenRequest] = {}  # those that are not closed
        self._call_ids: set[str] = set()  # of those that are not closed

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._by_id

    def __iter__(self) -> Iterator[OpenRequest]:
        """The requests that are not closed, in the order of their admission."""
        return iter(self._by_received.values())

    def unfinished(self) -> list[OpenRequest]:
        """All requests of the table, closed ones with attempts in flight too."""
        return list(self._by_id.values())

    def get(self, request_id: int) -> OpenRequest | None:
        """The request with this id, closed or not; None once it has left the table."""
        return self._by_id.get(request_id)

    def get_open(self, request_id: int) -> OpenRequest | None:
        """The request with this id while an answer is owed; None once it is closed or has left the table."""
        request = self._by_id.get(request_id)
        if request is None or not request.is_open:
            return None
        return request

    def find(self, received: ReceivedRequest) -> OpenRequest | None:
        """The open request of what a client sent; None where it was not admitted or is closed."""
        return self._by_received.get(received)

    def has_call_id(self, call_id: str) -> bool:
        """Whether a request with this call id is open."""
        return call_id in self._call_ids

    def has_capacity_for(self, received: ReceivedRequest) -> bool:
        """Whether both limits allow one more request."""
        if 0 < self._max_requests <= len(self._by_received):
            return False
        return self._statement_bytes + len(received.statement) <= self._max_statement_bytes

    def add(self, received: ReceivedRequest, gate: CommitmentGate | None) -> OpenRequest:
        """Admits a request under a new id."""
        self._last_id += 1
        request = OpenRequest(self._last_id, received, gate)
        self._by_id[request.request_id] = request
        self._by_received[received] = request
        self._call_ids.add(received.fields.call_id)
        self._statement_bytes += len(received.statement)
        return request

    def close(self, request: OpenRequest) -> None:
        """The client is owed nothing more: what it sent is released."""
        received = request.received
        request.is_open = False
        received.closed = True
        self._statement_bytes -= len(received.statement)
        received.statement = b""
        self._by_received.pop(received, None)
        self._call_ids.discard(received.fields.call_id)
        self.remove_if_finished(request)

    def remove_if_finished(self, request: OpenRequest) -> None:
        """Takes the request out of the table once it is closed and no attempt is in flight."""
        if not request.is_open and not request.in_flight:
            self._by_id.pop(request.request_id, None)
