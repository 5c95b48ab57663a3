"""Tracks the open requests of this gateway by id and by tenant, with their attempts in flight."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from lotusstream import interface as api


@dataclass(slots=True)
class CellAssignment:
    """A cell, or a tenant's shard of a cell, that the decision module knows by a number."""

    number: int  # number of the cell or shard in events for the decision module
    cell: str  # name of the cell
    tenant: str | None  # tenant of the shard; None: the assignment is to the whole cell
    endpoint_ids: frozenset[api.EndpointId] = frozenset()
    request_count: int = 0  # open requests that are assigned to it


@dataclass(slots=True)
class TrackedRequest:
    """A request without a final answer, or with an attempt in flight."""

    request_id: int
    tenant: str | None  # name of the request's tenant; None: it has no tenant
    profile: int  # index into the profiles
    received_at: int  # time at which the gateway received the request, microseconds
    work_hint: int | None  # the client's estimate of the work, thread microseconds; None: not given
    # Cell or shard in which the request is placed; None: none yet, such as while a migration holds it.
    assignment: CellAssignment | None = None
    attempted: bool = False  # whether an attempt has started
    finished: bool = False  # whether the request has its final answer
    in_flight: set[int] = field(default_factory=set)  # numbers of the attempts that have no outcome yet


class CellRequestTracker:
    """Holds open requests. A request is removed only when it is finished and has no attempt in flight,
    because a migration waits for the outcome of every attempt while it drains a tenant."""

    def __init__(self) -> None:
        self._open: dict[int, TrackedRequest] = {}
        self._attempt_counts: dict[int, int] = {}
        self._by_tenant: dict[str, set[int]] = {}

    def add(self, request: TrackedRequest) -> None:
        """Adds a request that has just been received."""
        self._open[request.request_id] = request
        if request.tenant is not None:
            self._by_tenant.setdefault(request.tenant, set()).add(request.request_id)

    def get(self, request_id: int) -> TrackedRequest | None:
        """Returns the request, or None if it is not open."""
        return self._open.get(request_id)

    def all(self) -> Iterable[TrackedRequest]:
        """Returns all requests in the order in which they were received."""
        return self._open.values()

    def of_tenant(self, tenant: str) -> list[TrackedRequest]:
        """Returns the tenant's requests, sorted by id."""
        return [self._open[request_id] for request_id in sorted(self._by_tenant.get(tenant, ()))]

    def attempted_count(self, tenant: str) -> int:
        """Returns the number of the tenant's open requests of which an attempt has started."""
        return sum(self._open[request_id].attempted for request_id in self._by_tenant.get(tenant, ()))

    def start_attempt(self, request: TrackedRequest) -> None:
        """Adds the next attempt of the request to its attempts in flight."""
        number = self._attempt_counts.get(request.request_id, 0)
        self._attempt_counts[request.request_id] = number + 1
        request.attempted = True
        request.in_flight.add(number)

    def remove_if_complete(self, request: TrackedRequest) -> bool:
        """Removes a finished request without attempts in flight. Returns whether it was removed."""
        if not request.finished or request.in_flight:
            return False
        del self._open[request.request_id]
        self._attempt_counts.pop(request.request_id, None)
        if request.tenant is not None:
            request_ids = self._by_tenant[request.tenant]
            request_ids.discard(request.request_id)
            if not request_ids:
                del self._by_tenant[request.tenant]
        return True

    def clear(self) -> None:
        """Removes all requests, after a restart of the decision module."""
        self._open.clear()
        self._by_tenant.clear()
        self._attempt_counts.clear()
