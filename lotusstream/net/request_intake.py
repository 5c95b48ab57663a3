"""Makes requests of the messages of one connection, while the connection goes on reading."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lotusstream.deployment import Deployment
from lotusstream.net.actor import Supervisor
from lotusstream.net.client_memory import ClientAccount, MemoryUse
from lotusstream.net.clock import Clock
from lotusstream.net.statement_search import StatementSearch, TooManySearchesError
from lotusstream.protocol import front
from lotusstream.protocol.tables import TableGroupSearch

TenantLookup = Callable[[dict[str, str], str | None, str], str | None]
"""Returns the tenant of a request, given its fields, idempotency key and statement; None: no tenant."""


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """A valid request. Times are in microseconds."""

    message: front.ProcessRequest
    fields: front.RequestFields
    group: int  # table group of the statement
    sent_at: int  # earliest time at which it can have arrived
    tenant: str | None  # None: the request belongs to no tenant


@dataclass(frozen=True, slots=True, eq=False)
class _WaitingRequest:
    """A request whose table group is not known yet."""

    message: front.ProcessRequest
    fields: front.RequestFields
    statement: str
    search: TableGroupSearch
    sent_at: int  # earliest time at which it can have arrived, microseconds
    place: asyncio.Event | None  # its place in the order of arrival; None: its profile is not ordered


class RequestOwner(Protocol):
    """The connection that gets the results, in the order of its messages."""

    def on_request_read(self, request: ReadRequest) -> None:
        """Called with each valid request."""

    def on_request_invalid(self, seqid: int, error: Exception) -> None:
        """Called with the sequence number of a request that is invalid, or for which a limit is reached."""


class RequestIntake:
    """Validates the requests of one connection and finds their table groups, one after the other.

    A search for a table group may take long. If the connection did not read on meanwhile, it would learn too
    late that its client has withdrawn a request or closed its side.
    """

    def __init__(
        self,
        owner: RequestOwner,
        account: ClientAccount,
        deployment: Deployment,
        clock: Clock,
        statement_search: StatementSearch,
        tenant_of: TenantLookup | None,
        supervisor: Supervisor,
    ) -> None:
        """`tenant_of`: None where the operator file declares no tenants."""
        self._owner = owner
        self._account = account
        self._deployment = deployment
        self._clock = clock
        self._statement_search = statement_search
        self._tenant_of = tenant_of
        self._supervisor = supervisor
        self._waiting: dict[int, _WaitingRequest] = {}  # by sequence number, in the order of their messages
        self._worker: asyncio.Task[None] | None = None  # None: no request waits

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, seqid: int) -> bool:
        return seqid in self._waiting

    def add(self, message: front.ProcessRequest, arrived_at: int) -> None:
        """Takes a message. Its owner is called at once if the table group is found at once.

        :param arrived_at: when its last byte was read, microseconds.
        :raises RequestFormatError, UnicodeDecodeError: the request is invalid.
        :raises MemoryBudgetError: there is no memory for its statement.
        """
        fields = front.parse_request_fields(message.fields, self._deployment)
        statement = message.body.decode()
        self._account.reserve(MemoryUse.STATEMENTS, len(message.body))
        sent_at = min(arrived_at, self._clock.earliest_arrival())
        is_ordered = self._deployment.started.profiles[fields.profile].ordered_by_key
        place = self._statement_search.take_place() if is_ordered else None
        search = self._statement_search.begin(statement)
        waiting = _WaitingRequest(message, fields, statement, search, sent_at, place)
        if search.has_ended and not self._waiting and (place is None or place.is_set()):
            self._complete(waiting)
            return
        self._waiting[message.seqid] = waiting
        if self._worker is None:
            self._worker = self._supervisor.start("client statements", self._work())

    def withdraw(self, seqid: int) -> None:
        """Drops a waiting request; no effect if none waits under this sequence number."""
        waiting = self._waiting.pop(seqid, None)
        if waiting is not None:
            self._release(waiting)

    def close(self) -> None:
        """Drops all waiting requests."""
        if self._worker is not None:
            self._worker.cancel()
            self._worker = None
        for seqid in list(self._waiting):
            self.withdraw(seqid)

    async def _work(self) -> None:
        while self._waiting:
            waiting = next(iter(self._waiting.values()))
            try:
                await self._statement_search.finish(waiting.search, len(waiting.statement))
                if waiting.place is not None:
                    await waiting.place.wait()
            except TooManySearchesError as error:
                if self._take(waiting):
                    self._release(waiting)
                    self._owner.on_request_invalid(waiting.message.seqid, error)
                continue
            if self._take(waiting):
                self._complete(waiting)
        self._worker = None

    def _take(self, waiting: _WaitingRequest) -> bool:
        """Removes a request from those that wait. Returns False if it was withdrawn meanwhile."""
        if self._waiting.get(waiting.message.seqid) is not waiting:
            return False
        del self._waiting[waiting.message.seqid]
        return True

    def _release(self, waiting: _WaitingRequest) -> None:
        self._leave_place(waiting)
        self._account.release(MemoryUse.STATEMENTS, len(waiting.message.body))

    def _leave_place(self, waiting: _WaitingRequest) -> None:
        if waiting.place is not None:
            self._statement_search.leave(waiting.place)

    def _complete(self, waiting: _WaitingRequest) -> None:
        message, fields, group = waiting.message, waiting.fields, waiting.search.group
        if group is None:
            self._release(waiting)
            error = front.RequestFormatError("the statement names no group of tables")
            self._owner.on_request_invalid(message.seqid, error)
            return
        find_tenant = self._tenant_of
        tenant = None
        if find_tenant is not None:
            tenant = find_tenant(message.fields, fields.idempotency_key, waiting.statement)
        self._owner.on_request_read(ReadRequest(message, fields, group, waiting.sent_at, tenant))
        self._leave_place(waiting)
