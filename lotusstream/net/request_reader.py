"""Validates request messages and makes requests of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from lotusstream.deployment import Deployment
from lotusstream.net.client_memory import ClientAccount, MemoryUse
from lotusstream.net.clock import Clock
from lotusstream.net.received_request import ReceivedRequest
from lotusstream.net.statement_search import StatementSearch
from lotusstream.protocol import front

if TYPE_CHECKING:
    from lotusstream.net.client import ClientConnection

TenantLookup = Callable[[dict[str, str], str | None, str], str | None]
"""Returns the tenant of a request, given its fields, idempotency key and statement; None: no tenant."""


class RequestReader:
    """Reads the requests of one client."""

    def __init__(
        self,
        deployment: Deployment,
        clock: Clock,
        statement_search: StatementSearch,
        tenant_of: TenantLookup | None,
    ) -> None:
        """`tenant_of`: None where the operator file declares no tenants."""
        self._deployment = deployment
        self._clock = clock
        self._statement_search = statement_search
        self._tenant_of = tenant_of

    async def read(
        self, client: ClientConnection, account: ClientAccount, message: front.ProcessRequest, arrived_at: int
    ) -> ReceivedRequest:
        """Validates a message, and reserves memory for its statement.

        :param arrived_at: when its last byte was read, microseconds.
        :raises RequestFormatError, UnicodeDecodeError: the request is invalid.
        :raises TooManySearchesError, MemoryBudgetError: a limit is reached.
        """
        if len(client.open_requests) >= front.MAX_OPEN_REQUEST_COUNT:
            raise front.RequestFormatError("too many open")
        fields = front.parse_request_fields(message.fields, self._deployment)
        account.reserve(MemoryUse.STATEMENTS, len(message.body))
        try:
            return await self._make_request(client, message, fields, arrived_at)
        except BaseException:
            account.release(MemoryUse.STATEMENTS, len(message.body))
            raise

    async def _make_request(
        self,
        client: ClientConnection,
        message: front.ProcessRequest,
        fields: front.RequestFields,
        arrived_at: int,
    ) -> ReceivedRequest:
        statement = message.body.decode()
        profile = self._deployment.started.profiles[fields.profile]
        group = await self._statement_search.table_group(statement, profile.ordered_by_key)
        if group is None:
            raise front.RequestFormatError("the statement names no group of tables")
        find_tenant = self._tenant_of
        tenant = find_tenant(message.fields, fields.idempotency_key, statement) if find_tenant else None
        sent_at = min(arrived_at, self._clock.earliest_arrival())
        deadline = sent_at + fields.time_left
        return ReceivedRequest(client, message.seqid, fields, group, message.body, deadline, sent_at, tenant)
