"""What the requests of a profile usually take, learnt from whatever the deployment reports."""

from __future__ import annotations

import math

from lotusstream import interface as api
from lotusstream.policy.context import WINDOW_BUCKET_COUNT
from lotusstream.sliding_window import SlidingWindow

WINDOW_CLIENT_TIMEOUTS = 4  # of the profile: for how long an observation counts
MAX_LEARNT_RATIO = 4  # of the mean: work beyond it is cut off before it is learnt
HIGH_PRIOR_RATIO = 2  # of the initial work: the prior where an estimate must not be too low
HIGH_PRIOR_WEIGHT = 4.0  # requests that this prior counts as
INITIAL_WORK_DIVISOR = 2.0  # the work of a profile of which nothing is known takes half of its objective


class ProfileEstimates:
    """The work, hints and latency of one profile's requests, within one pool of endpoints.

    Work is in thread microseconds.
    """

    def __init__(self, profile: api.Profile, longest_client_timeout: int) -> None:
        """`longest_client_timeout`: of all profiles, in microseconds."""
        self.initial_work = profile.latency_objective * profile.threads / INITIAL_WORK_DIVISOR
        span = WINDOW_CLIENT_TIMEOUTS * profile.client_timeout
        self.work = SlidingWindow(span, WINDOW_BUCKET_COUNT)  # of answered requests, thread microseconds
        self.hints = SlidingWindow(span, WINDOW_BUCKET_COUNT)  # of the same requests
        self.latency_ratios = SlidingWindow(span, WINDOW_BUCKET_COUNT)  # logarithms
        # the work asked for, over one span for all profiles, since they are compared with one another
        self.requested_work = SlidingWindow(
            WINDOW_CLIENT_TIMEOUTS * longest_client_timeout, WINDOW_BUCKET_COUNT
        )

    def mean_work(self, now: int) -> float:
        """Returns the mean work of a request, in thread microseconds."""
        return self.work.mean(now, self.initial_work, 1.0)

    def typical_work(self, now: int) -> float:
        """Returns the mean work, estimated high while little is known, in thread microseconds."""
        return self.work.mean(now, HIGH_PRIOR_RATIO * self.initial_work, HIGH_PRIOR_WEIGHT)

    def learn(self, now: int, work: float, hint: int | None) -> None:
        """Takes in the work of an answered request. Cut off at a multiple of the mean: a runaway request says
        little of the usual ones."""
        mean = self.mean_work(now)
        self.work.add(now, min(work, MAX_LEARNT_RATIO * mean))
        if hint:
            self.hints.add(now, hint * min(1.0, MAX_LEARNT_RATIO * mean / max(work, 1.0)))

    def estimate(self, now: int, hint: int | None) -> float:
        """Returns the expected work of a request with this hint.

        Hints scatter widely and so does work: the geometric mean of both, each as a ratio of its mean.
        """
        hints, count = self.hints.total(now)
        if not hint or not count:
            return float(hint or self.mean_work(now))
        return self.mean_work(now) * math.sqrt(hint * (count + 1) / (hints + hint))
