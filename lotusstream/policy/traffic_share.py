"""Estimates this gateway's share of the traffic from the attempts that endpoints run for all gateways."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.policy.catalog import Catalog
from lotusstream.policy.context import WINDOW_BUCKET_COUNT, DecisionContext
from lotusstream.policy.domains import Domains
from lotusstream.policy.endpoint_states import EndpointStates
from lotusstream.sliding_window import SlidingWindow

HEALTH_CHECK_REQUESTS = 10  # one health check is made per this many requests
WINDOW_OBJECTIVES = 4  # results of health checks count for this multiple of the shortest latency objective
EVEN_SHARE_WEIGHT = 10  # the estimate begins as an even share, which counts like this many attempts in flight
MIN_EVEN_SHARE_DIVISOR = 2  # the estimate is at least an even share divided by this


class TrafficShare:
    """Estimates this gateway's share of the traffic and sets `DecisionContext.share` (0 to 1) to it."""

    def __init__(
        self, context: DecisionContext, catalog: Catalog, domains: Domains, states: EndpointStates
    ) -> None:
        self._context = context
        self._catalog = catalog
        self._domains = domains
        self._states = states
        # By health check: the amount is the mean number of this gateway's attempts in flight per endpoint,
        # the count is the number of all gateways' attempts in flight at the checked endpoint.
        self._in_flight = SlidingWindow(WINDOW_OBJECTIVES * context.shortest_objective, WINDOW_BUCKET_COUNT)
        self._requests_since_check = 0
        self._next_endpoint = int(context.random.next_ratio() * HEALTH_CHECK_REQUESTS)
        self._load_is_reported = context.capabilities.health_checks and context.settings.reports_in_flight

    def on_request_received(self) -> None:
        """Starts a health check every HEALTH_CHECK_REQUESTS requests, of each ready endpoint in turn."""
        self._requests_since_check += 1
        if self._requests_since_check < HEALTH_CHECK_REQUESTS or not self._load_is_reported:
            return
        endpoints = self._domains.all_endpoints()
        if len(endpoints):
            self._requests_since_check = 0
            self._next_endpoint += 1
            checked = endpoints.at(self._next_endpoint % len(endpoints))
            self._context.actions.append(api.StartHealthCheck(checked))

    def on_health_check_ended(self, event: api.HealthCheckEnded) -> None:
        """Updates the estimate from the number of attempts that an endpoint runs for all gateways."""
        if event.endpoint_id not in self._catalog.entries:
            return
        if event.report is None or event.report.in_flight is None:
            return
        now = self._context.now
        running = sum(len(endpoint.running) for endpoint in self._states.retained.values())
        own = running / max(1, self._catalog.ready_count)
        self._in_flight.add(now, own, max(event.report.in_flight, own))
        own_total, all_total = self._in_flight.total(now)
        even = self._context.even_share
        estimate = (own_total + EVEN_SHARE_WEIGHT * even) / (all_total + EVEN_SHARE_WEIGHT)
        self._context.share = max(even / MIN_EVEN_SHARE_DIVISOR, estimate)
