"""The state shared by all parts of one decision module: time, settings, random draws and actions."""

from __future__ import annotations

import zlib

from lotusstream import interface as api

WINDOW_BUCKET_COUNT = 16  # number of buckets of a sliding window
# A gateway with at least this fraction of the traffic of all gateways relies on its own observations alone
# and uses no affinity sets.
DOMINANT_SHARE = 0.5
EVALUATIONS_PER_OBJECTIVE = 20  # number of periodic evaluations in the shortest latency objective
# A request without an answer is rejected or failed this many evaluation intervals before its deadline.
ANSWER_MARGIN_INTERVALS = 2
# An attempt past its expected end is assumed to run for a further time: its age divided by this.
REMAINING_AGE_DIVISOR = 4


class RandomDraws:
    """A reproducible sequence of random draws, determined by its seed.

    `seed` also serves as the seed of this gateway's hashes, so that the choices of gateways are independent.
    """

    def __init__(self, seed: int) -> None:
        self.seed = zlib.crc32(seed.to_bytes(8, "little"))
        self._count = 0

    def next_integer(self) -> int:
        """Returns the next draw as a 32-bit integer."""
        self._count += 1
        return zlib.crc32(self._count.to_bytes(8, "little"), self.seed)

    def next_ratio(self) -> float:
        """Returns the next draw in [0, 1)."""
        return self.next_integer() / 2**32


class DecisionContext:
    """The state that every part reads.

    `Gateway` sets `now` and `actions` at each event; `TrafficShare` sets `share`. Times are microseconds of
    the caller's clock.
    """

    def __init__(self, started: api.GatewayStarted) -> None:
        self.now = 0
        self.actions: list[api.Action] = []  # actions of the current event, in order
        self.settings = started
        self.rule_limits = started.rule_limits
        self.capabilities = started.capabilities
        self.random = RandomDraws(started.seed)
        # the shortest latency objective of all profiles, microseconds; the lengths of time windows and
        # ejections are multiples of it
        self.shortest_objective = min(profile.latency_objective for profile in started.profiles)
        # microseconds between periodic evaluations
        self.evaluation_interval = max(
            started.batch_interval, self.shortest_objective // EVALUATIONS_PER_OBJECTIVE
        )
        # microseconds before its deadline at which a request without an answer is rejected or failed
        self.answer_margin = ANSWER_MARGIN_INTERVALS * self.evaluation_interval
        self.even_share = 1.0 / started.gateway_count  # traffic share of each gateway if all had the same
        self.share = self.even_share  # this gateway's estimated share of the traffic, 0 to 1

    def cores(self, kind: int) -> float:
        """Returns the number of cores of an endpoint of this kind; 1 if the kind is unknown."""
        kinds = self.settings.kinds
        return kinds[kind].cores if kind < len(kinds) else 1.0
