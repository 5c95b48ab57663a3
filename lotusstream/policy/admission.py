"""Request admission: whether a request is admitted, and its deadline."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.interface import RejectionReason
from lotusstream.policy.affinity_sets import AffinitySets
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.degradation import Degradation
from lotusstream.policy.evaluation_timer import EvaluationTimer
from lotusstream.policy.open_requests import OpenRequests
from lotusstream.policy.overload import QueueDelayMonitor
from lotusstream.policy.pools import Pools
from lotusstream.policy.rejection import Rejection
from lotusstream.policy.retries import RetryPolicy
from lotusstream.policy.state import Request
from lotusstream.policy.traffic_share import TrafficShare

NO_SHUTDOWN = 2**62  # a time in microseconds that is later than any deadline


class Admission:
    """Admits or rejects each new request; a graceful shutdown shortens the deadlines.

    The rule: every request gets exactly one final answer before its deadline. The decisions depend on the
    client timeout, the queue delay and the shutdown's deadline, all in microseconds, and on the degradation
    level.
    """

    def __init__(
        self,
        context: DecisionContext,
        timer: EvaluationTimer,
        pools: Pools,
        open_requests: OpenRequests,
        degradation: Degradation,
        rejection: Rejection,
        retries: RetryPolicy,
        affinity_sets: AffinitySets,
        traffic_share: TrafficShare,
    ) -> None:
        self._context = context
        self._timer = timer
        self._pools = pools
        self._open_requests = open_requests
        self._degradation = degradation
        self._rejection = rejection
        self._retries = retries
        self._affinity_sets = affinity_sets
        self._traffic_share = traffic_share
        self._queue_delay = QueueDelayMonitor()
        self._shutdown_deadline = NO_SHUTDOWN

    def on_request_received(self, event: api.RequestReceived) -> None:
        """Registers and counts a request, and rejects it at once if it is not admitted."""
        request = self._new_request(event)
        self._open_requests.add(request)
        self._retries.on_request_received()
        estimates = request.pool.estimates[request.profile_index]
        estimates.requested_work.add(self._context.now, request.work)
        self._affinity_sets.count_request(request.group)
        self._traffic_share.on_request_received()
        reason = self._rejection_reason(request, event.queue_delay)
        if reason is not None:
            self._rejection.reject(request, reason)

    def _new_request(self, event: api.RequestReceived) -> Request:
        now = self._context.now
        profile = self._context.settings.profiles[event.profile]
        pool = self._pools.of_cell(event.cell)
        estimates = pool.estimates[event.profile]
        work = estimates.estimate(now, event.work_hint)
        deadline = min(now + event.client_timeout, self._shutdown_deadline)
        # Without a hint, `work` is the mean work of the profile. Most requests need less than the mean, which
        # would therefore extend their latency objective too far.
        stretch = profile.objective_stretch * work / profile.threads if event.work_hint else 0.0
        return Request(
            id=event.request_id,
            profile_index=event.profile,
            profile=profile,
            group=event.group,
            key=event.key if profile.ordered_by_key else None,
            work_hint=event.work_hint,
            work=work,
            typical_work=estimates.typical_work(now),
            soft_deadline=min(int(now + profile.latency_objective + stretch), deadline),
            deadline=deadline,
            random_value=self._context.random.next_integer(),
            pool=pool,
            cell=event.cell,
        )

    def _rejection_reason(self, request: Request, queue_delay: int) -> RejectionReason | None:
        """Records a queue delay (microseconds). Returns why to reject the request; None: it is admitted."""
        if self._queue_delay.rejects(self._context.now, queue_delay):
            return RejectionReason.OVERLOADED
        if request.deadline - self._context.now <= self._context.answer_margin:
            return RejectionReason.TOO_LATE
        if not self._degradation.admits(request):
            return RejectionReason.REDUCED
        return None

    def on_degradation_changed(self, event: api.DegradationChanged) -> None:
        """Rejects the queued requests that had no attempt yet and that the new level does not admit."""
        self._degradation.change(event)
        unattempted = [request for request in self._open_requests.waiting.values() if not request.attempts]
        for request in [request for request in unattempted if not self._degradation.admits(request)]:
            self._rejection.reject(request, RejectionReason.REDUCED)

    def on_shutdown_started(self, event: api.ShutdownStarted) -> None:
        """Limits all deadlines to that of the shutdown, so that every request is answered before the exit."""
        self._shutdown_deadline = event.deadline
        for request in self._open_requests.by_id.values():
            request.deadline = min(request.deadline, event.deadline)
            request.soft_deadline = min(request.soft_deadline, event.deadline)
        self._timer.plan(self._context.now)
