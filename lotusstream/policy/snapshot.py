"""Builds the snapshot of the decision module's state for operators."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.endpoint_states import EndpointStates
from lotusstream.policy.open_requests import OpenRequests
from lotusstream.policy.pools import Pools
from lotusstream.policy.slow_start import SlowStart
from lotusstream.policy.state import Endpoint


class SnapshotBuilder:
    """Builds GatewaySnapshot actions without changing any state."""

    def __init__(
        self,
        context: DecisionContext,
        pools: Pools,
        states: EndpointStates,
        slow_start: SlowStart,
        open_requests: OpenRequests,
    ) -> None:
        self._context = context
        self._pools = pools
        self._states = states
        self._slow_start = slow_start
        self._open_requests = open_requests

    def build(self) -> api.GatewaySnapshot:
        """Returns the current state of the gateway and of all known endpoints."""
        pools = self._pools.by_id.values()
        return api.GatewaySnapshot(
            endpoints=tuple(self._endpoint_snapshot(endpoint) for endpoint in self._states.all_known()),
            share=self._context.share,
            baseline_ratio=max(pool.baseline_ratio for pool in pools),
            overloaded=any(pool.overloaded for pool in pools),
            open_requests=len(self._open_requests.by_id),
            queued_requests=len(self._open_requests.waiting),
        )

    def _endpoint_snapshot(self, endpoint: Endpoint) -> api.EndpointSnapshot:
        return api.EndpointSnapshot(
            endpoint_id=endpoint.entry.id,
            status=endpoint.entry.status,
            zone=endpoint.entry.zone,
            kind=endpoint.entry.kind,
            cores=endpoint.cores,
            threads=endpoint.threads,
            in_flight=len(endpoint.running),
            loads=len(endpoint.loads),
            latency_ratio=endpoint.latency_ratio,
            overloaded=endpoint.overloaded,
            concurrency_limit=endpoint.concurrency_limit,
            retry_credit=endpoint.retry_credit,
            failures=endpoint.consecutive_failures,
            ejected_until=endpoint.ejected_until,
            slow_start_until=self._slow_start.ends_at(endpoint),
        )
