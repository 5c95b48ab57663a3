"""The entry point of the decision module: passes each event to the part that handles it.

The caller creates one Gateway and passes it every event in order, with the current time; `handle` returns the
actions that the caller carries out in order. The first event is GatewayStarted. The last event of each batch
is BatchEnded; queued requests start attempts only then. lotusstream/interface/ defines events and actions.
The program around the decision module is in `lotusstream/net/gateway.py`.

No decision may break one of these seven rules. The modules in parentheses enforce the rule:

1. No request is lost: each gets one final answer before its deadline, and no attempt starts after the answer
   (admission, evaluation, attempt_results).
2. No request that is not idempotent is executed twice (retries).
3. No attempt starts at an endpoint that is draining or removed (endpoint_list).
4. All gateways together do not overload an endpoint in slow start (slow_start).
5. Requests with the same key run in order and one at a time (key_ordering).
6. A restricted request runs in its zones, kinds and cell only (domains).
7. Retries stay within a budget (retries).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lotusstream import interface as api
from lotusstream.policy.admission import Admission
from lotusstream.policy.affinity_sets import AffinitySets
from lotusstream.policy.attempt_results import AttemptResults
from lotusstream.policy.catalog import Catalog
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.degradation import Degradation
from lotusstream.policy.dispatch import Dispatcher
from lotusstream.policy.domains import Domains
from lotusstream.policy.eligibility import Eligibility
from lotusstream.policy.endpoint_evaluation import EndpointEvaluation
from lotusstream.policy.endpoint_learning import EndpointLearning
from lotusstream.policy.endpoint_list import EndpointListUpdates
from lotusstream.policy.endpoint_states import EndpointStates
from lotusstream.policy.evaluation import PeriodicEvaluation
from lotusstream.policy.evaluation_timer import EvaluationTimer
from lotusstream.policy.key_ordering import KeyOrdering
from lotusstream.policy.limits import ConcurrencyLimits
from lotusstream.policy.open_requests import OpenRequests
from lotusstream.policy.outlier_ejection import OutlierEjection
from lotusstream.policy.overdue_attempts import OverdueAttempts
from lotusstream.policy.placement import PlacementPolicy
from lotusstream.policy.pools import Pools
from lotusstream.policy.rejection import Rejection
from lotusstream.policy.retries import RetryPolicy
from lotusstream.policy.slow_start import SlowStart
from lotusstream.policy.snapshot import SnapshotBuilder
from lotusstream.policy.spare_capacity import SpareCapacity
from lotusstream.policy.traffic_share import TrafficShare

EventHandler = Callable[[Any], None]


class Gateway:
    """Takes events and returns actions; uses no clock, socket or file."""

    def __init__(self) -> None:
        self._handlers: dict[type, EventHandler] = {}  # by event type

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handles an event at the time `now`, in microseconds, and returns the resulting actions in order."""
        if isinstance(event, api.GatewayStarted):
            self._build_parts(event)
        self.context.now = now
        self.context.actions = []
        self._handlers[type(event)](event)
        return self.context.actions

    def _build_parts(self, started: api.GatewayStarted) -> None:
        """Creates all parts. Each part is given the parts that it calls."""
        self.context = DecisionContext(started)
        self.timer = EvaluationTimer(self.context)
        self._build_registries()
        self._build_rules()
        self._build_placement()
        self._build_steps()
        self._handlers = self._event_handlers()

    def _build_registries(self) -> None:
        """Creates the parts that hold the endpoint list and the state of endpoints."""
        context = self.context
        self.catalog = Catalog(context.random.seed, context.even_share, context.cores)
        self.pools = Pools(context)
        self.domains = Domains(self.catalog, self.pools)
        self.slow_start = SlowStart(context)
        self.endpoint_states = EndpointStates(context, self.catalog, self.pools, self.slow_start)
        self.spare_capacity = SpareCapacity(context, self.catalog, self.pools)
        self.affinity_sets = AffinitySets(context, self.catalog, self.domains, self.spare_capacity)
        self.traffic_share = TrafficShare(context, self.catalog, self.domains, self.endpoint_states)
        self.endpoint_list = EndpointListUpdates(
            context, self.catalog, self.pools, self.endpoint_states, self.slow_start, self.affinity_sets
        )

    def _build_rules(self) -> None:
        """Creates the rules and limits that the other parts consult."""
        context = self.context
        self.limits = ConcurrencyLimits(context, self.endpoint_states)
        self.key_ordering = KeyOrdering(context)
        self.degradation = Degradation()
        self.retries = RetryPolicy(context, self.degradation)
        self.outlier_ejection = OutlierEjection(context, self.endpoint_states)
        self.eligibility = Eligibility(self.outlier_ejection, self.retries, self.slow_start)
        self.open_requests = OpenRequests(context, self.key_ordering)
        self.rejection = Rejection(context, self.degradation, self.retries, self.open_requests)
        self.learning = EndpointLearning(context, self.outlier_ejection)
        self.endpoint_evaluation = EndpointEvaluation(self.limits, self.outlier_ejection)

    def _build_placement(self) -> None:
        """Creates the parts that decide where and when attempts start."""
        self.placement = PlacementPolicy(
            self.context,
            self.domains,
            self.endpoint_states,
            self.affinity_sets,
            self.spare_capacity,
            self.endpoint_evaluation,
            self.eligibility,
            self.retries,
            self.slow_start,
        )
        self.dispatcher = Dispatcher(
            self.context,
            self.timer,
            self.pools,
            self.endpoint_states,
            self.limits,
            self.placement,
            self.open_requests,
            self.key_ordering,
            self.retries,
            self.degradation,
        )

    def _build_steps(self) -> None:
        """Creates the parts that handle events about requests, attempts, time and snapshots."""
        context = self.context
        states = self.endpoint_states
        self.admission = Admission(
            context,
            self.timer,
            self.pools,
            self.open_requests,
            self.degradation,
            self.rejection,
            self.retries,
            self.affinity_sets,
            self.traffic_share,
        )
        self.attempt_results = AttemptResults(
            context,
            self.timer,
            states,
            self.learning,
            self.key_ordering,
            self.open_requests,
            self.retries,
            self.rejection,
        )
        self.overdue_attempts = OverdueAttempts(
            context, self.retries, self.outlier_ejection, self.learning, self.open_requests
        )
        self.evaluation = PeriodicEvaluation(
            context,
            self.timer,
            self.pools,
            self.limits,
            self.endpoint_evaluation,
            self.open_requests,
            self.rejection,
            self.overdue_attempts,
        )
        self.snapshot = SnapshotBuilder(context, self.pools, states, self.slow_start, self.open_requests)

    def _event_handlers(self) -> dict[type, EventHandler]:
        return {
            api.GatewayStarted: self._on_gateway_started,
            api.EndpointListReceived: self.endpoint_list.on_list_received,
            api.CellEndpointsChanged: self.endpoint_list.on_cell_endpoints_changed,
            api.RequestReceived: self.admission.on_request_received,
            api.DegradationChanged: self.admission.on_degradation_changed,
            api.ShutdownStarted: self.admission.on_shutdown_started,
            api.RequestMigrated: self._on_request_migrated,
            api.RequestWithdrawn: self._on_request_withdrawn,
            api.ExecutedElsewhere: self._on_executed_elsewhere,
            api.ClientDisconnected: self._on_client_disconnected,
            api.AttemptProgressed: self.attempt_results.on_attempt_progressed,
            api.AttemptEnded: self.attempt_results.on_attempt_ended,
            api.HealthCheckEnded: self.traffic_share.on_health_check_ended,
            api.PeerHealthReported: self.outlier_ejection.on_peer_health_reported,
            api.TimerFired: self.timer.on_timer_fired,
            api.SnapshotRequested: self._on_snapshot_requested,
            api.BatchEnded: self._on_batch_ended,
        }

    def _on_gateway_started(self, _event: api.GatewayStarted) -> None:
        if self.context.capabilities.requires_subscription:
            self.context.actions.append(api.SetListSubscription(True))

    def _on_request_migrated(self, event: api.RequestMigrated) -> None:
        request = self.open_requests.by_id.get(event.request_id)
        if request is not None:
            request.cell = event.cell
            request.pool = self.pools.of_cell(event.cell)

    def _on_request_withdrawn(self, event: api.RequestWithdrawn) -> None:
        request = self.open_requests.by_id.get(event.request_id)
        if request is not None:
            self.rejection.reject(request, api.RejectionReason.WITHDRAWN)

    def _on_executed_elsewhere(self, event: api.ExecutedElsewhere) -> None:
        request = self.open_requests.by_id.get(event.request_id)
        if request is not None:
            request.executions_elsewhere.append(event)

    def _on_client_disconnected(self, event: api.ClientDisconnected) -> None:
        request = self.open_requests.by_id.get(event.request_id)
        if request is not None:
            self.open_requests.close(request)

    def _on_snapshot_requested(self, _event: api.SnapshotRequested) -> None:
        self.context.actions.append(self.snapshot.build())

    def _on_batch_ended(self, _event: api.BatchEnded) -> None:
        if self.open_requests.waiting:
            self.affinity_sets.refresh()
            self.dispatcher.dispatch()
        if self.timer.take_due():
            self.evaluation.evaluate()
        self.timer.arm()
