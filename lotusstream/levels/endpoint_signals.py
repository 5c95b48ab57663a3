"""Computes the signals `ready`, `cold` (endpoints in slow start) and `aside` (ejected endpoints)."""

from __future__ import annotations

import math
from collections.abc import Iterable

from lotusstream import interface as api
from lotusstream.levels.signals import SignalKey, SignalValue

PEAK_WINDOW_COUNT = 30  # time over which the peak number of listed cores is taken, in signal windows
PEAK_BUCKET_COUNT = 16  # buckets into which this time is divided

_READY_KEY = SignalKey("ready")
_COLD_KEY = SignalKey("cold")
_EJECTED_KEY = SignalKey("aside")


class EndpointSignals:
    """Computes signals from snapshots of the decision module and from outcomes of attempts."""

    def __init__(self, window: int) -> None:
        """
        :param window: time over which signals are computed, microseconds
        """
        self._bucket_width = max(1, PEAK_WINDOW_COUNT * window // PEAK_BUCKET_COUNT)
        # (bucket number, greatest number of listed cores in the time of the bucket)
        self._peak_buckets = [(-1, 0.0)] * PEAK_BUCKET_COUNT
        self._unreachable: set[api.EndpointId] = set()  # endpoints that refused or reset the last connection

    def on_attempt_ended(self, endpoint_id: api.EndpointId, event: api.AttemptEnded) -> None:
        """Records whether the endpoint is reachable. An endpoint that responds slowly is reachable."""
        is_connection_fault = event.outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET)
        if is_connection_fault and not event.endpoint_responded:
            self._unreachable.add(endpoint_id)
        elif event.endpoint_responded:
            self._unreachable.discard(endpoint_id)

    def on_snapshot(self, now: int, snapshot: api.GatewaySnapshot) -> None:
        """Updates the peak number of listed cores, and removes endpoints that are no longer listed from the
        unreachable ones."""
        self._unreachable &= {endpoint.endpoint_id for endpoint in snapshot.endpoints}
        bucket = now // self._bucket_width
        index = bucket % PEAK_BUCKET_COUNT
        number, peak = self._peak_buckets[index]
        if number != bucket:
            peak = 0.0
        listed = sum(endpoint.cores for endpoint in snapshot.endpoints)
        self._peak_buckets[index] = (bucket, max(peak, listed))

    def available_cores(self, snapshot: api.GatewaySnapshot) -> float:
        """Returns the number of cores of ready, reachable endpoints. An endpoint that was ejected because it
        is slow counts, because it is overloaded and not lost."""
        reachable = []
        for endpoint in snapshot.endpoints:
            is_reachable = endpoint.ejected_until is None or endpoint.endpoint_id not in self._unreachable
            if endpoint.status is api.EndpointStatus.READY and is_reachable:
                reachable.append(endpoint)
        return total_cores(reachable)

    def values(self, now: int, snapshot: api.GatewaySnapshot | None) -> dict[SignalKey, SignalValue | None]:
        """Returns the signals by key. All are None (unknown) without a snapshot."""
        values: dict[SignalKey, SignalValue | None] = {_READY_KEY: None, _COLD_KEY: None, _EJECTED_KEY: None}
        if snapshot is None:
            return values
        listed = [each for each in snapshot.endpoints if each.status is not api.EndpointStatus.REMOVED]
        usable = [each for each in listed if is_usable(each)]
        peak = self._peak_cores(now)
        if peak:
            values[_READY_KEY] = SignalValue(min(1.0, total_cores(usable) / peak), len(listed))
        if usable:
            cold = [each for each in usable if each.slow_start_until is not None]
            values[_COLD_KEY] = SignalValue(total_cores(cold) / total_cores(usable), len(usable))
        if listed:
            ejected = [each for each in listed if each.ejected_until is not None]
            values[_EJECTED_KEY] = SignalValue(total_cores(ejected) / total_cores(listed), len(listed))
        return values

    def _peak_cores(self, now: int) -> float:
        oldest = now // self._bucket_width - PEAK_BUCKET_COUNT
        return max((peak for number, peak in self._peak_buckets if number > oldest), default=0.0)


def is_usable(endpoint: api.EndpointSnapshot) -> bool:
    """Returns whether requests may be sent to the endpoint."""
    return endpoint.status is api.EndpointStatus.READY and endpoint.ejected_until is None


def total_cores(endpoints: Iterable[api.EndpointSnapshot]) -> float:
    """Returns the sum of the endpoints' cores."""
    return math.fsum(endpoint.cores for endpoint in endpoints)
