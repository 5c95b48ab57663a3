"""Computes the signals from the events and actions of the decision module."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.levels.endpoint_signals import EndpointSignals
from lotusstream.levels.messages import GatewayHealthMeasured
from lotusstream.levels.outcome_signals import OutcomeSignals
from lotusstream.levels.request_tracker import OpenRequest, OpenRequestTracker
from lotusstream.levels.signals import SignalKey, SignalValue
from lotusstream.levels.work_signals import WorkSignals
from lotusstream.sliding_window import SlidingWindow

BUCKET_COUNT = 16  # buckets of the sliding window
# Least observed time, as a ratio of the signal window. With less, the signals of work and endpoints are
# unknown.
MIN_OBSERVED_RATIO = 0.5
# Longest time between two evaluations that counts as observed, in evaluation intervals.
MAX_OBSERVED_INTERVALS = 8
# Greatest age of a snapshot or health measurement that is used, as a ratio of the signal window.
MAX_AGE_RATIO = 0.3


@dataclass(frozen=True, slots=True)
class _TimedSnapshot:
    taken_at: int  # time at which the controller received the snapshot, microseconds
    snapshot: api.GatewaySnapshot


@dataclass(frozen=True, slots=True)
class _TimedHealth:
    measured_at: int  # time at which the controller received the measurement, microseconds
    health: GatewayHealthMeasured


class SignalEvaluator:
    """Computes signals: `observe` takes events, `advance` takes the time, `values` returns the signals."""

    def __init__(
        self,
        started: api.GatewayStarted,
        profile_names: tuple[str, ...],
        window: int,
        evaluation_interval: int,
    ) -> None:
        """
        :param started: the profiles and limits of the deployment
        :param profile_names: names of the profiles, in the order of `started.profiles`
        :param window: time over which signals are computed, microseconds
        :param evaluation_interval: intended time between two calls of `advance`, microseconds
        """
        self._profiles = started.profiles
        self._window = window
        # Longest time between two evaluations that counts as observed, microseconds.
        self._max_elapsed = MAX_OBSERVED_INTERVALS * evaluation_interval
        self._requests = OpenRequestTracker()
        self._endpoints = EndpointSignals(window)
        self._work = WorkSignals(started, profile_names, window)
        self._outcomes = OutcomeSignals(started.profiles, profile_names, window)
        self._observed = SlidingWindow(window, BUCKET_COUNT)  # observed time, microseconds
        self._snapshot: _TimedSnapshot | None = None
        self._health: _TimedHealth | None = None
        self._advanced_at: int | None = None  # time of the last call of `advance`, microseconds

    # Events

    def observe(self, now: int, event: object) -> None:
        """Handles an event or action of the decision module, or a health measurement; ignores all others."""
        match event:
            case api.RequestReceived():
                self._on_request_received(now, event)
            case api.StartAttempt(request_id, endpoint_id):
                self._on_attempt_started(now, request_id, endpoint_id)
            case api.AttemptEnded():
                self._on_attempt_ended(now, event)
            case api.RejectRequest(request_id, _, by_level):
                self._on_request_rejected(now, request_id, by_level)
            case api.FailRequest(request_id):
                self._on_request_failed(now, request_id, shed=False)
            case api.ClientDisconnected(request_id):
                request = self._requests.remove(request_id)
                if request is not None:
                    self._outcomes.on_client_disconnected(now, request)
            case api.GatewaySnapshot():
                self._snapshot = _TimedSnapshot(now, event)
                self._endpoints.on_snapshot(now, event)
            case GatewayHealthMeasured():
                self._health = _TimedHealth(now, event)

    def on_module_restarted(self) -> None:
        """Forgets the open requests, which have all failed with the restart of the decision module."""
        self._requests.clear()
        self._work.clear_completed_work()

    def _on_request_received(self, now: int, event: api.RequestReceived) -> None:
        profile = self._profiles[event.profile]
        mean_work = self._work.mean_work(now, event.profile)
        work = float(event.work_hint or mean_work)
        stretch = profile.objective_stretch * work / profile.threads
        due_at = int(now + min(profile.latency_objective + stretch, event.client_timeout))
        self._requests.add(event.request_id, OpenRequest(event.profile, now, due_at, work))
        self._work.on_request_received(now, event.profile, work)

    def _on_attempt_started(self, now: int, request_id: int, endpoint_id: api.EndpointId) -> None:
        request = self._requests.start_attempt(request_id, endpoint_id)
        if request is not None and request.awaits_first_attempt:
            request.awaits_first_attempt = False
            self._outcomes.on_first_attempt_wait_ended(now, request)

    def _on_attempt_ended(self, now: int, event: api.AttemptEnded) -> None:
        attempt = self._requests.end_attempt(event.request_id, event.attempt)
        endpoint_id = attempt.endpoint_id if attempt is not None else event.endpoint_id
        self._endpoints.on_attempt_ended(endpoint_id, event)
        request = self._requests.get(event.request_id)
        is_answered = event.outcome is api.Outcome.ANSWERED
        if is_answered:
            self._work.on_attempt_answered(endpoint_id, attempt.work if attempt is not None else 0.0)
            if request is not None:
                self._on_request_answered(now, request, event)
        if request is None:
            self._requests.drop_attempt_count_if_ended(event.request_id)
        elif event.request_finished or is_answered:
            self._requests.remove(event.request_id)

    def _on_request_answered(self, now: int, request: OpenRequest, event: api.AttemptEnded) -> None:
        self._outcomes.on_answered(now, request)
        if event.work:
            self._work.on_work_reported(now, request.profile, float(event.work))

    def _on_request_rejected(self, now: int, request_id: int, by_level: bool) -> None:
        if not by_level:
            self._on_request_failed(now, request_id, shed=True)
            return
        request = self._requests.remove(request_id)
        if request is not None:
            self._work.on_request_not_admitted(now, request.profile, request.work)

    def _on_request_failed(self, now: int, request_id: int, shed: bool) -> None:
        request = self._requests.remove(request_id)
        if request is None:
            return
        self._outcomes.on_failed(now, request, shed)
        if request.awaits_first_attempt:
            self._outcomes.on_first_attempt_wait_ended(now, request)

    # Time

    def advance(self, now: int) -> bool:
        """Adds the time since the last call to the observed time. Returns False and adds nothing if that time
        is too long, because the event loop was stalled or the machine was suspended."""
        elapsed = now - self._advanced_at if self._advanced_at is not None else 0
        self._advanced_at = now
        was_observed = 0 <= elapsed <= self._max_elapsed
        if was_observed:
            self._observed.add(now, float(elapsed))
            snapshot = self._snapshot.snapshot if self._snapshot is not None else None
            self._work.advance(now, elapsed, snapshot)
        self._work.clear_completed_work()
        return was_observed

    # Signals

    def values(self, now: int) -> dict[SignalKey, SignalValue | None]:
        """Returns the values of all signals; None: unknown."""
        observed_time, _ = self._observed.total(now)
        is_known = observed_time >= MIN_OBSERVED_RATIO * self._window
        snapshot = self._fresh_snapshot(now) if is_known else None
        return {
            **self._health_values(now),
            **self._endpoints.values(now, snapshot),
            **self._work.values(now, snapshot, observed_time if is_known else 0.0),
            **self._outcomes.values(now, self._requests.all()),
        }

    def available_cores(self, now: int) -> float | None:
        """Returns the number of cores of ready, reachable endpoints; None: unknown."""
        snapshot = self._fresh_snapshot(now)
        return self._endpoints.available_cores(snapshot) if snapshot is not None else None

    def _fresh_snapshot(self, now: int) -> api.GatewaySnapshot | None:
        if self._snapshot is None or self._is_stale(now, self._snapshot.taken_at):
            return None
        return self._snapshot.snapshot

    def _is_stale(self, now: int, taken_at: int) -> bool:
        return now - taken_at > MAX_AGE_RATIO * self._window

    def _health_values(self, now: int) -> dict[SignalKey, SignalValue | None]:
        health = GatewayHealthMeasured(None, None, None, None)
        if self._health is not None and not self._is_stale(now, self._health.measured_at):
            health = self._health.health
        return {
            SignalKey("core"): _health_value(health.core),
            SignalKey("memory"): _health_value(health.memory),
            SignalKey("descriptors"): _health_value(health.descriptors),
            SignalKey("stall"): _health_value(health.stall),
        }


def _health_value(number: float | None) -> SignalValue | None:
    return SignalValue(float(number), 1) if number is not None else None
