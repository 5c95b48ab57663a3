"""Pools: the endpoints of one or more cells that share limits and latency statistics.

Separate pools protect the tenants of one cell from overload caused by tenants of another.
"""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.estimates import ProfileEstimates
from lotusstream.policy.state import Pool

MAX_LIMIT_FACTOR = 2.0  # highest limit factor: threads per core that all gateways together may occupy
# Latencies count for this multiple of the shortest latency objective.
LATENCY_WINDOW_OBJECTIVES = 8

PoolId = int | None  # None: the pool of endpoints outside all cells


class Pools:
    """Holds the pools and the cells, and maps endpoints and cells to their pools."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        # microseconds for which a latency counts
        self.latency_span = LATENCY_WINDOW_OBJECTIVES * context.shortest_objective
        self.by_id: dict[PoolId, Pool] = {None: self._new_pool()}
        self._cells: dict[int, api.CellEndpointsChanged] = {}  # by cell: the latest assignment
        self._pool_id_by_endpoint: dict[api.EndpointId, int] = {}

    def _new_pool(self) -> Pool:
        profiles = self._context.settings.profiles
        longest_client_timeout = max(profile.client_timeout for profile in profiles)
        estimates = [ProfileEstimates(profile, longest_client_timeout) for profile in profiles]
        return Pool(self.latency_span, estimates, MAX_LIMIT_FACTOR)

    def assign(self, event: api.CellEndpointsChanged) -> None:
        """Assigns endpoints to a cell and the cell to a pool. The caller must recompute the pools' totals."""
        if event.endpoint_ids:
            self._cells[event.cell] = event
        else:
            self._cells.pop(event.cell, None)
        if event.pool not in self.by_id:
            self.by_id[event.pool] = self._new_pool()
        self._pool_id_by_endpoint = {
            endpoint_id: cell.pool for cell in self._cells.values() for endpoint_id in cell.endpoint_ids
        }

    def of_endpoint(self, endpoint_id: api.EndpointId) -> Pool:
        """Returns the pool that an endpoint belongs to."""
        if not self._pool_id_by_endpoint:
            return self.by_id[None]
        return self.by_id[self._pool_id_by_endpoint.get(endpoint_id)]

    def of_cell(self, cell: int | None) -> Pool:
        """Returns the pool of a cell; for an unknown cell or None, that of endpoints outside all cells."""
        assigned = self._cells.get(cell) if cell is not None else None
        return self.by_id[assigned.pool if assigned else None]

    def endpoints_of_cell(self, cell: int) -> frozenset[api.EndpointId]:
        """Returns the endpoints of a cell; an empty set if the cell is unknown."""
        assigned = self._cells.get(cell)
        return assigned.endpoint_ids if assigned else frozenset()
