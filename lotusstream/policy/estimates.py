"""Estimates the work of a profile's requests from answered requests and from clients' hints."""

from __future__ import annotations

import math

from lotusstream import interface as api
from lotusstream.policy.context import WINDOW_BUCKET_COUNT
from lotusstream.sliding_window import SlidingWindow

WINDOW_CLIENT_TIMEOUTS = 4  # length of the observation window as a multiple of the profile's client timeout
MAX_LEARNT_RATIO = 4  # the work of an answered request is capped at this multiple of the mean
HIGH_PRIOR_RATIO = 2  # initial value of `typical_work` as a multiple of `initial_work`
HIGH_PRIOR_WEIGHT = 4.0  # the initial value of `typical_work` counts like this many observed requests
# Without observations, a request is assumed to run for its latency objective divided by this.
INITIAL_WORK_DIVISOR = 2.0


class ProfileEstimates:
    """Statistics of one profile's requests within one pool of endpoints. Work is in thread microseconds."""

    def __init__(self, profile: api.Profile, longest_client_timeout: int) -> None:
        """`longest_client_timeout`: longest client timeout of all profiles, microseconds."""
        self.initial_work = profile.latency_objective * profile.threads / INITIAL_WORK_DIVISOR
        span = WINDOW_CLIENT_TIMEOUTS * profile.client_timeout
        self.work = SlidingWindow(span, WINDOW_BUCKET_COUNT)  # work of answered requests
        self.hints = SlidingWindow(span, WINDOW_BUCKET_COUNT)  # work hints of answered requests
        # Natural logarithms of latency ratios. The latency ratio of an attempt is its latency divided by the
        # expected latency of the same work on an idle endpoint.
        self.latency_ratios = SlidingWindow(span, WINDOW_BUCKET_COUNT)
        # Estimated work of received requests. It is compared between profiles, so all use the same span.
        self.requested_work = SlidingWindow(
            WINDOW_CLIENT_TIMEOUTS * longest_client_timeout, WINDOW_BUCKET_COUNT
        )

    def mean_work(self, now: int) -> float:
        """Returns the mean work of a request, in thread microseconds."""
        return self.work.mean(now, self.initial_work, 1.0)

    def typical_work(self, now: int) -> float:
        """Returns the mean work of a request, in thread microseconds.

        The value is biased high while few requests were observed.
        """
        return self.work.mean(now, HIGH_PRIOR_RATIO * self.initial_work, HIGH_PRIOR_WEIGHT)

    def learn(self, now: int, work: float, hint: int | None) -> None:
        """Records the work of an answered request.

        The work is capped at a multiple of the mean, since a runaway request is not typical of the profile.
        """
        mean = self.mean_work(now)
        self.work.add(now, min(work, MAX_LEARNT_RATIO * mean))
        if hint:
            self.hints.add(now, hint * min(1.0, MAX_LEARNT_RATIO * mean / max(work, 1.0)))

    def estimate(self, now: int, hint: int | None) -> float:
        """Returns the expected work of a request with this hint, in thread microseconds.

        Both hints and work vary widely. The estimate is therefore the geometric mean of the mean work and of
        the mean work scaled by (hint / mean hint). Without a hint, it is the mean work; if no hint has been
        recorded yet, it is this hint.
        """
        hints, count = self.hints.total(now)
        if not hint or not count:
            return float(hint or self.mean_work(now))
        return self.mean_work(now) * math.sqrt(hint * (count + 1) / (hints + hint))
