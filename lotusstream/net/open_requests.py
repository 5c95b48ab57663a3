"""The requests that the decider has admitted, until they are closed and their attempts have ended.

This table holds the clients' messages and the actors of their attempts. The state on which the decision
module decides is in `lotusstream/policy/open_requests.py`.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from lotusstream.interface import Outcome
from lotusstream.net.call_ids import CallIds
from lotusstream.net.commitment_gate import CommitmentGate
from lotusstream.net.endpoint import EndpointActor
from lotusstream.net.received_request import ReceivedRequest


@dataclass(slots=True, eq=False)
class OpenRequest:
    """One admitted request."""

    request_id: int  # the id that the decision module uses
    received: ReceivedRequest
    gate: CommitmentGate | None  # its attempts and answer pass through this gate; None: no gate
    is_open: bool = True  # whether its client still waits for an answer
    # Actors of its attempts, by attempt index; None: the attempt ended before it reached an endpoint.
    attempts: list[EndpointActor | None] = field(default_factory=list)
    in_flight: set[int] = field(default_factory=set)  # indices of the attempts that have not ended
    priority: int | None = None  # priority that the decision module set last; None: the endpoint's default
    # Start times of the attempts that may have been executed, including those in flight, by attempt index,
    # microseconds
    possible_executions: dict[int, int] = field(default_factory=dict)
    is_answered: bool = False  # whether an endpoint has answered it
    awaits_commitment: bool = False  # whether the gate is storing the request's answer
    last_outcome: Outcome | None = None  # outcome of the attempt that ended last; None: none has ended

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt that has ended may have been executed."""
        return any(attempt not in self.in_flight for attempt in self.possible_executions)


class OpenRequestTable:
    """Admitted requests, found by id, by ReceivedRequest or by call id. Their number and the bytes of their
    statements are limited.

    A request is in the table from `add` until it is closed and none of its attempts is in flight. Closing it
    frees its statement, leaving the table its call id.
    """

    def __init__(self, max_requests: int, max_statement_bytes: int) -> None:
        """
        :param max_requests: most requests that may be open at once; 0: no limit.
        :param max_statement_bytes: limit on the statements of all open requests together.
        """
        self._max_requests = max_requests
        self._max_statement_bytes = max_statement_bytes
        self._statement_bytes = 0  # total length of the statements of all open requests
        self._last_id = 0
        self._by_id: dict[int, OpenRequest] = {}
        self._by_received: dict[ReceivedRequest, OpenRequest] = {}  # open requests only
        self._call_ids = CallIds()

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._by_id

    def __iter__(self) -> Iterator[OpenRequest]:
        """Iterates over the open requests in the order of their admission."""
        return iter(self._by_received.values())

    def unfinished(self) -> list[OpenRequest]:
        """Returns all requests in the table, including closed ones with attempts in flight."""
        return list(self._by_id.values())

    def get(self, request_id: int) -> OpenRequest | None:
        """Returns the request with this id, open or closed; None if it is not in the table."""
        return self._by_id.get(request_id)

    def get_open(self, request_id: int) -> OpenRequest | None:
        """Returns the open request with this id; None if it is closed or not in the table."""
        request = self._by_id.get(request_id)
        if request is None or not request.is_open:
            return None
        return request

    def find(self, received: ReceivedRequest) -> OpenRequest | None:
        """Returns the open request for a client's message; None if it was not admitted or is closed."""
        return self._by_received.get(received)

    def has_call_id(self, call_id: str) -> bool:
        """Whether a request with this call id is in the table, or may have run without an answer."""
        return call_id in self._call_ids

    def has_capacity_for(self, received: ReceivedRequest) -> bool:
        """Whether both limits allow this request to be added."""
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
        """Closes a request that needs no further reply, and frees its statement."""
        received = request.received
        request.is_open = False
        received.closed = True
        self._statement_bytes -= len(received.statement)
        received.statement = b""
        self._by_received.pop(received, None)
        self.remove_if_finished(request)

    def remove_if_finished(self, request: OpenRequest) -> None:
        """Removes the request from the table if it is closed and no attempt is in flight."""
        if request.is_open or request.in_flight or request.request_id not in self._by_id:
            return
        del self._by_id[request.request_id]
        may_have_run = request.may_have_run and not request.is_answered
        self._call_ids.release(request.received.fields.call_id, may_have_run)
