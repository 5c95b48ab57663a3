"""Domains: the endpoints at which a request may run according to its profile and cell."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.policy.catalog import Catalog, Domain, DomainKey
from lotusstream.policy.pools import Pools
from lotusstream.policy.state import Request


class Domains:
    """Finds the domain of a request: the ready endpoints at which the request may run.

    Domains are updated with every change of the endpoint list and of the cells.

    The rule: no attempt of a request runs outside its profile's zones and kinds or outside its cell, even if
    all endpoints there are down.
    """

    def __init__(self, catalog: Catalog, pools: Pools) -> None:
        self._catalog = catalog
        self._pools = pools

    def all_endpoints(self) -> Domain:
        """Returns the domain of all ready endpoints."""
        return self._catalog.domain(DomainKey(None, None, None), _admits_all)

    def of_request(self, request: Request) -> Domain:
        """Returns the endpoints at which the request may run."""
        profile = request.profile
        cell = request.cell
        if cell is None:
            return self._catalog.domain(DomainKey(profile.zones, profile.kinds, None), profile.admits)
        in_cell = self._pools.endpoints_of_cell(cell)
        return self._catalog.domain(
            DomainKey(profile.zones, profile.kinds, cell),
            lambda entry: entry.id in in_cell and profile.admits(entry),
        )

    def is_preferred(self, request: Request, domain: Domain, endpoint_id: api.EndpointId) -> bool:
        """Returns whether the endpoint is a preferred endpoint of the request's domain."""
        entry = self._catalog.entries.get(endpoint_id)
        if entry is None or entry.status is not api.EndpointStatus.READY:
            return False
        if not domain.prefers(self._catalog.rank(endpoint_id)) or not request.profile.admits(entry):
            return False
        return request.cell is None or endpoint_id in self._pools.endpoints_of_cell(request.cell)


def _admits_all(_entry: api.EndpointEntry) -> bool:
    return True
