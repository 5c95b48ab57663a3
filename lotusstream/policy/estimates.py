"""What a profile's requests usually take."""

from __future__ import annotations

import math

from lotusstream import interface as api
from lotusstream.policy.state import BUCKETS
from lotusstream.sliding_window import SlidingWindow


class ProfileEstimates:
    """What a profile's commands usually take, learnt from whatever the deployment tells."""

    def __init__(self, profile: api.Profile, longest: int) -> None:
        self.guess = profile.latency_objective * profile.threads / 2.0
        span = 4 * profile.client_timeout
        self.work, self.hints, self.latency_ratios = (SlidingWindow(span, BUCKETS) for _ in range(3))
        self.asked = SlidingWindow(4 * longest, BUCKETS)  # of all profiles over one span: they are compared

    def mean(self, now: int) -> float:
        return self.work.mean(now, self.guess, 1.0)

    def learn(self, now: int, work: float, hint: int | None) -> None:
        estimates = self.mean(now)
        self.work.add(now, min(work, 4 * estimates))  # a bad plan says little of the usual
        if hint:
            self.hints.add(now, hint * min(1.0, 4 * estimates / max(work, 1.0)))

    def estimate(self, now: int, hint: int | None) -> float:
        """Hints scatter widely and works too: the middle of both, as ratios."""
        hints, count = self.hints.total(now)
        if not hint or not count:
            return float(hint or self.mean(now))
        return self.mean(now) * math.sqrt(hint * (count + 1) / (hints + hint))
