"""What all parts of one gateway's decisions share: the time, the settings, random draws and the actions."""

from __future__ import annotations

import zlib

from lotusstream import interface as api

WINDOW_BUCKET_COUNT = 16  # buckets of a sliding window
DOMINANT_SHARE = 0.5  # of the traffic: a gateway with so much of it relies on its own observations
EVALUATIONS_PER_OBJECTIVE = 20  # periodic evaluations in the shortest latency objective
ANSWER_MARGIN_INTERVALS = 2  # evaluation intervals before its deadline at which a request is answered
REMAINING_AGE_DIVISOR = 4  # an attempt past its expected end is taken to run on for its age / this


class RandomDraws:
    """A reproducible sequence of random draws; the same for the same seed.

    Also the source of the seeds for hashing, which keep the gateways' choices independent of one another.
    """

    def __init__(self, seed: int) -> None:
        self.seed = zlib.crc32(seed.to_bytes(8, "little"))
        self._count = 0

    def next_integer(self) -> int:
        """Returns the next draw as an integer of 32 bits."""
        self._count += 1
        return zlib.crc32(self._count.to_bytes(8, "little"), self.seed)

    def next_ratio(self) -> float:
        """Returns the next draw in [0, 1)."""
        return self.next_integer() / 2**32


class DecisionContext:
    """The state that every part reads; `now` and `actions` are replaced at each event, and `share` by
    TrafficShare.

    Times are microseconds of the caller's clock.
    """

    def __init__(self, started: api.GatewayStarted) -> None:
        self.now = 0
        self.actions: list[api.Action] = []  # of the present event, in order
        self.settings = started
        self.rule_limits = started.rule_limits
        self.capabilities = started.capabilities
        self.random = RandomDraws(started.seed)
        # microseconds: the latency objective that windows and backoffs are multiples of
        self.shortest_objective = min(profile.latency_objective for profile in started.profiles)
        # microseconds between two periodic evaluations
        self.evaluation_interval = max(
            started.batch_interval, self.shortest_objective // EVALUATIONS_PER_OBJECTIVE
        )
        self.answer_margin = ANSWER_MARGIN_INTERVALS * self.evaluation_interval  # microseconds
        self.even_share = 1.0 / started.gateway_count  # of the traffic, were it spread evenly
        self.share = self.even_share  # this gateway's part of the traffic, 0 to 1, as estimated

    def cores(self, kind: int) -> float:
        """Returns the cores of an endpoint of this kind; 1 where the kind is unknown."""
        kinds = self.settings.kinds
        return kinds[kind].cores if kind < len(kinds) else 1.0
