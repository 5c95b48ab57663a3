"""Computes the signals `asked` (rate of requests), `load` and `used` (ratios of work to capacity).

Work is measured in thread microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.levels.endpoint_signals import is_usable, total_cores
from lotusstream.levels.signals import SignalKey, SignalValue
from lotusstream.sliding_window import SlidingWindow

BUCKET_COUNT = 16  # buckets of each sliding window
# An endpoint with this many busy threads per core works at its full rate, so its work rate can be measured.
SATURATED_THREADS_PER_CORE = 1.5
RATE_WINDOW_COUNT = 6  # signal windows over which the work rate of a core is averaged
# The mean work rate of a core starts from the default of 1, which weighs as much as a measurement of all
# ready cores over this many signal windows.
RATE_PRIOR_WINDOW_COUNT = 1.0
MEAN_WORK_WINDOW_COUNT = 6  # signal windows over which the work of a profile's requests is averaged
# A request's work is limited to this multiple of the profile's mean, so that one slow query plan does not
# distort the mean.
MAX_WORK_OVER_MEAN = 4

_Values = dict[SignalKey, SignalValue | None]


@dataclass(frozen=True, slots=True)
class _WorkSum:
    """The total work of a profile's requests in the signal window."""

    work: float  # sum of the requests' work, thread microseconds
    count: float  # number of requests


@dataclass(frozen=True, slots=True)
class _Capacity:
    """The capacity of the usable endpoints."""

    by_endpoint: dict[api.EndpointId, float]  # thread microseconds of work per microsecond, by endpoint
    by_profile: list[frozenset[api.EndpointId]]  # usable endpoints of each profile, by profile index


class WorkSignals:
    """Averages the work of each profile's requests and the work rate of a core, and computes the signals."""

    def __init__(self, started: api.GatewayStarted, profile_names: tuple[str, ...], window: int) -> None:
        """
        :param started: the profiles and limits of the deployment
        :param profile_names: names of the profiles, in the order of `started.profiles`
        :param window: time over which signals are computed, microseconds
        """
        self._profiles = started.profiles
        self._limits = started.rule_limits
        self._profile_names = profile_names
        self._window = window
        self._requested_work = [SlidingWindow(window, BUCKET_COUNT) for _ in profile_names]
        self._unadmitted_work = [SlidingWindow(window, BUCKET_COUNT) for _ in profile_names]
        self._mean_work = [
            SlidingWindow(MEAN_WORK_WINDOW_COUNT * window, BUCKET_COUNT) for _ in profile_names
        ]
        # Amount: work completed by saturated endpoints, thread microseconds; count: time that passed at these
        # endpoints, multiplied by their cores, microseconds.
        self._core_work_rate = SlidingWindow(RATE_WINDOW_COUNT * window, BUCKET_COUNT)
        self._completed_work: dict[api.EndpointId, float] = {}  # work since the last evaluation

    def mean_work(self, now: int, profile: int) -> float:
        """Returns the mean work of a profile's requests. The default, which weighs as much as one request, is
        half of the work that fits into the latency objective."""
        default_mean = self._profiles[profile].latency_objective * self._profiles[profile].threads / 2
        return self._mean_work[profile].mean(now, default_mean, 1.0)

    def on_request_received(self, now: int, profile: int, work: float) -> None:
        """Adds the expected work of a received request."""
        self._requested_work[profile].add(now, work)

    def on_request_not_admitted(self, now: int, profile: int, work: float) -> None:
        """Adds the expected work of a request that the level in force does not admit."""
        self._unadmitted_work[profile].add(now, work)

    def on_attempt_answered(self, endpoint_id: api.EndpointId, work: float) -> None:
        """Adds the work of an attempt that an endpoint has answered."""
        self._completed_work[endpoint_id] = self._completed_work.get(endpoint_id, 0.0) + work

    def on_work_reported(self, now: int, profile: int, work: float) -> None:
        """Adds the work that an endpoint reports for a request to the profile's mean."""
        mean = self.mean_work(now, profile)
        self._mean_work[profile].add(now, min(work, MAX_WORK_OVER_MEAN * mean))

    def advance(self, now: int, elapsed: int, snapshot: api.GatewaySnapshot | None) -> None:
        """Updates the work rate of a core with the work that saturated endpoints have completed.

        :param now: microseconds
        :param elapsed: time since the last call, microseconds
        :param snapshot: the state of the endpoints; None: not known
        """
        if snapshot is None:
            return
        for endpoint in snapshot.endpoints:
            saturation = SATURATED_THREADS_PER_CORE * endpoint.cores * snapshot.share
            if endpoint.threads >= max(1.0, saturation):
                completed = self._completed_work.get(endpoint.endpoint_id, 0.0)
                self._core_work_rate.add(now, completed, endpoint.cores * snapshot.share * elapsed)

    def clear_completed_work(self) -> None:
        """Resets the completed work of all endpoints to 0."""
        self._completed_work.clear()

    def values(self, now: int, snapshot: api.GatewaySnapshot | None, observed_time: float) -> _Values:
        """Returns the signals by key; None: unknown.

        :param now: microseconds
        :param snapshot: the state of the endpoints; None: not known
        :param observed_time: observed part of the window, microseconds; 0: too little was observed
        """
        requested = [_WorkSum(*window.total(now)) for window in self._requested_work]
        unadmitted = [_WorkSum(*window.total(now)) for window in self._unadmitted_work]
        values: _Values = {}
        self._add_request_rates(requested, observed_time, values)
        for signal in ("load", "used"):
            values[SignalKey(signal)] = None
            for name in self._profile_names:
                values[SignalKey(signal, name)] = None
        if snapshot is None or not observed_time:
            return values
        capacity = self._capacity(now, snapshot)
        admitted = [
            _WorkSum(total.work - excluded.work, total.count - excluded.count)
            for total, excluded in zip(requested, unadmitted, strict=True)
        ]
        self._add_ratios("load", requested, capacity, observed_time, values)
        self._add_ratios("used", admitted, capacity, observed_time, values)
        return values

    def _add_request_rates(
        self, requested: Sequence[_WorkSum], observed_time: float, values: _Values
    ) -> None:
        """Adds the rate of received requests to `values`, for each profile and for all together."""
        counts = [each.count for each in requested]
        for name, count in zip(self._profile_names, counts, strict=True):
            values[SignalKey("asked", name)] = _rate_value(count, observed_time)
        values[SignalKey("asked")] = _rate_value(sum(counts), observed_time)

    def _add_ratios(
        self, signal: str, works: list[_WorkSum], capacity: _Capacity, observed_time: float, values: _Values
    ) -> None:
        """Adds the ratio of work to capacity to `values`, for all profiles together and for each profile that
        has usable endpoints. A profile's ratio is the work of all profiles that may run only at this
        profile's endpoints, divided by the capacity of these endpoints."""
        endpoints = capacity.by_profile
        served = [index for index, endpoint_ids in enumerate(endpoints) if endpoint_ids]
        if not served:
            return
        all_capacity = sum(capacity.by_endpoint.values())
        values[SignalKey(signal)] = _ratio_value(
            [works[index] for index in served], all_capacity, observed_time
        )
        for index in served:
            confined = [other for other in served if endpoints[other] <= endpoints[index]]
            profile_capacity = sum(capacity.by_endpoint[endpoint_id] for endpoint_id in endpoints[index])
            values[SignalKey(signal, self._profile_names[index])] = _ratio_value(
                [works[other] for other in confined], profile_capacity, observed_time
            )

    def _capacity(self, now: int, snapshot: api.GatewaySnapshot) -> _Capacity:
        rate = self._work_rate(now, snapshot)
        usable = [endpoint for endpoint in snapshot.endpoints if is_usable(endpoint)]
        by_endpoint = {
            endpoint.endpoint_id: rate
            * snapshot.share
            * endpoint.cores
            * self._slow_start_ratio(now, endpoint)
            for endpoint in usable
        }
        by_profile = [
            frozenset(endpoint.endpoint_id for endpoint in usable if _may_use(profile, endpoint))
            for profile in self._profiles
        ]
        return _Capacity(by_endpoint, by_profile)

    def _work_rate(self, now: int, snapshot: api.GatewaySnapshot) -> float:
        """Returns the work that a core completes per microsecond, as measured at saturated endpoints."""
        ready = [each for each in snapshot.endpoints if each.status is api.EndpointStatus.READY]
        weight = max(1.0, RATE_PRIOR_WINDOW_COUNT * self._window * total_cores(ready) * snapshot.share)
        return self._core_work_rate.mean(now, 1.0, weight)

    def _slow_start_ratio(self, now: int, endpoint: api.EndpointSnapshot) -> float:
        """Returns the present capacity of an endpoint divided by its full capacity: less than 1 during slow
        start, otherwise 1."""
        duration = self._limits.slow_start_duration
        if endpoint.slow_start_until is None or not duration:
            return 1.0
        left = min(1.0, max(0.0, (endpoint.slow_start_until - now) / duration))
        return 1.0 - left * (1.0 - self._limits.slow_start_initial_ratio)


def _rate_value(count: float, observed_time: float) -> SignalValue | None:
    """Returns the number of requests per second; None (unknown) if too little time was observed."""
    return SignalValue(count * 1e6 / observed_time, count) if observed_time else None


def _ratio_value(works: list[_WorkSum], capacity: float, observed_time: float) -> SignalValue | None:
    """Returns the work per microsecond divided by the capacity; None (unknown) if there is no capacity."""
    if capacity <= 0:
        return None
    work = sum(each.work for each in works)
    return SignalValue(work / observed_time / capacity, sum(each.count for each in works))


def _may_use(profile: api.Profile, endpoint: api.EndpointSnapshot) -> bool:
    has_zone = profile.zones is None or endpoint.zone in profile.zones
    has_kind = profile.kinds is None or endpoint.kind in profile.kinds
    return has_zone and has_kind
