"""Computes the signals `held`, `late` and `shed` from the outcomes of requests."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.levels.request_tracker import OpenRequest
from lotusstream.levels.signals import SignalKey, SignalValue
from lotusstream.sliding_window import SlidingWindow

BUCKET_COUNT = 16  # buckets of each sliding window

_Values = dict[SignalKey, SignalValue | None]


@dataclass(frozen=True, slots=True)
class _OutcomeSum:
    """A sum over the requests of one profile in the signal window."""

    # For `held`: sum of the waits for the first attempt, each divided by the latency objective. For `late`
    # and `shed`: number of requests that were late or shed.
    amount: float
    count: float  # number of requests from which the signal is computed


class OutcomeSignals:
    """Counts the outcomes of requests by profile and computes the signals from them."""

    def __init__(
        self, profiles: tuple[api.Profile, ...], profile_names: tuple[str, ...], window: int
    ) -> None:
        """
        :param profiles: the profiles of the deployment
        :param profile_names: their names, in the same order
        :param window: time over which signals are computed, microseconds
        """
        self._profiles = profiles
        self._profile_names = profile_names
        self._wait_ratios = [SlidingWindow(window, BUCKET_COUNT) for _ in profile_names]
        self._late = [SlidingWindow(window, BUCKET_COUNT) for _ in profile_names]
        self._shed = [SlidingWindow(window, BUCKET_COUNT) for _ in profile_names]

    def on_first_attempt_wait_ended(self, now: int, request: OpenRequest) -> None:
        """Adds the request's wait for its first attempt, divided by the latency objective."""
        self._wait_ratios[request.profile].add(now, self._wait_ratio(now, request))

    def on_answered(self, now: int, request: OpenRequest) -> None:
        """Counts an answered request, as late if the answer came after `due_at`."""
        self._late[request.profile].add(now, float(now > request.due_at))
        self._shed[request.profile].add(now, 0.0)

    def on_failed(self, now: int, request: OpenRequest, shed: bool) -> None:
        """Counts a request without an answer: as shed if it was rejected by load shedding, as late if it
        failed."""
        self._late[request.profile].add(now, float(not shed))
        self._shed[request.profile].add(now, float(shed))

    def on_client_disconnected(self, now: int, request: OpenRequest) -> None:
        """Counts the request as late if its client disconnected after `due_at`. An earlier disconnection does
        not show whether the request would have been late, so it is not counted."""
        if now >= request.due_at:
            self._late[request.profile].add(now, 1.0)

    def values(self, now: int, open_requests: Iterable[OpenRequest]) -> _Values:
        """Returns the signals by key; None: unknown. A request that still waits for its first attempt counts
        in `held` with its wait until now."""
        values: _Values = {}
        wait_sums = self._wait_sums(now, open_requests)
        self._add_ratios("held", wait_sums, [1.0] * len(wait_sums), values)
        weights = [profile.priority_weight for profile in self._profiles]
        self._add_ratios("late", [_OutcomeSum(*window.total(now)) for window in self._late], weights, values)
        self._add_ratios("shed", [_OutcomeSum(*window.total(now)) for window in self._shed], weights, values)
        return values

    def _wait_ratio(self, now: int, request: OpenRequest) -> float:
        return (now - request.received_at) / self._profiles[request.profile].latency_objective

    def _wait_sums(self, now: int, open_requests: Iterable[OpenRequest]) -> list[_OutcomeSum]:
        ongoing_wait_ratios: dict[int, list[float]] = {}
        for request in open_requests:
            if request.awaits_first_attempt:
                ongoing_wait_ratios.setdefault(request.profile, []).append(self._wait_ratio(now, request))
        sums = []
        for index, window in enumerate(self._wait_ratios):
            amount, count = window.total(now)
            ratios = ongoing_wait_ratios.get(index, [])
            sums.append(_OutcomeSum(amount + sum(ratios), count + len(ratios)))
        return sums

    def _add_ratios(
        self, signal: str, sums: Sequence[_OutcomeSum], weights: Sequence[float], values: _Values
    ) -> None:
        """Adds the signal's mean for each profile, and the weighted mean over all profiles, to `values`."""
        for each, name in zip(sums, self._profile_names, strict=True):
            mean = SignalValue(each.amount / each.count, each.count) if each.count else None
            values[SignalKey(signal, name)] = mean
        weighted = list(zip(sums, weights, strict=True))
        total_weight = math.fsum(weight * each.count for each, weight in weighted)
        total_amount = math.fsum(weight * each.amount for each, weight in weighted)
        count = sum(each.count for each in sums)
        values[SignalKey(signal)] = SignalValue(total_amount / total_weight, count) if total_weight else None
