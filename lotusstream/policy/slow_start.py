"""Slow start: how much work an endpoint that has just started is sent, by all gateways together."""

from __future__ import annotations

import zlib

from lotusstream import interface as api
from lotusstream.policy.catalog import EntryChange
from lotusstream.policy.context import WINDOW_BUCKET_COUNT, DecisionContext
from lotusstream.policy.state import Endpoint
from lotusstream.rendezvous import MASK_32_BITS, unit_hash
from lotusstream.sliding_window import SlidingWindow

# of the work that the rules allow: a margin for cores in use, slow machines and chance
CAPACITY_MARGIN_RATIO = 0.6
# part of a window in which its draw admits: if all gateways begin to use an endpoint at the same time, what
# they send in a window stays within 0.6 * 1.75 of what the rules allow
ADMITTING_WINDOW_RATIO = 0.75
MAX_REPORTED_AGE_US = 60_000_000  # age that a start may have when the list first reports it


class SlowStart:
    """Decides what an endpoint in slow start is sent.

    The rule: an endpoint that starts has only a part of its capacity, and fails if all gateways together
    send it more than a multiple of that within a window. Inputs: the start that the list reports (in
    microseconds), the figures of RuleLimits, and this gateway's even share of the traffic.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._corrected_starts: dict[api.EndpointId, int] = {}  # microseconds; instead of the listed ones

    def on_entry_changed(self, change: EntryChange, *, first_list: bool) -> None:
        """Checks the start that the list reports against this gateway's clock.

        Guards slow start against a wall clock that is wrong: an endpoint that has just started would count as
        past its slow start, or would stay in slow start for as long as the clock is off. A start that is
        listed as new, and that this clock puts in the future or long ago, counts from when it was reported.
        """
        entry = change.after
        if entry is not None and change.before is not None and not change.restarted:
            return
        self._corrected_starts.pop(change.id, None)
        if entry is None or not entry.started_at:
            return
        age = self._context.now - entry.started_at
        if age < 0 or (age > MAX_REPORTED_AGE_US and not first_list):
            self._corrected_starts[change.id] = self._context.now

    def begin_as_listed(self, endpoint: Endpoint) -> None:
        """Begins slow start as of the start that the list reports, if it reports one."""
        entry = endpoint.entry
        if entry.started_at:
            phase = unit_hash(entry.id, self._context.random.seed ^ entry.started_at & MASK_32_BITS)
            endpoint.begin_slow_start(self._corrected_starts.get(entry.id, entry.started_at), phase)

    def ends_at(self, endpoint: Endpoint) -> int | None:
        """Returns when its slow start ends, in microseconds; None if it is not in slow start."""
        if not self.is_active(endpoint) or endpoint.slow_start_since is None:
            return None
        return endpoint.slow_start_since + self._context.rule_limits.slow_start_duration

    def is_active(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint is in slow start."""
        since = endpoint.slow_start_since
        return since is not None and self._context.now < since + self._context.rule_limits.slow_start_duration

    def capacity_ratio(self, endpoint: Endpoint) -> float:
        """Returns the part of its capacity, 0 to 1, that an endpoint has in comparisons of endpoints."""
        return self._context.rule_limits.slow_start_initial_ratio if self.is_active(endpoint) else 1.0

    def admits(self, endpoint: Endpoint, work: float) -> bool:
        """Returns whether an endpoint may be sent so much work now; always where it is not in slow start.

        Guards an endpoint that has just started against the sum of all gateways' work, also where all begin
        to use it at the same time, or have just restarted and do not know what they sent. Where this
        gateway's part of a window is less than the request, it draws for each window whether it may send one.
        Windows begin at another time for each gateway, and on average the sum stays within the budget. Unused
        budget is not carried over to the next window, and a draw admits in a part of its window only, which
        bounds what two neighbouring windows add to any span of one window.
        """
        if not self.is_active(endpoint):
            return True
        now = self._context.now
        window = self._context.rule_limits.overload_window
        budget = self._work_budget(endpoint)
        if endpoint.slow_start_work is None:
            endpoint.slow_start_work = SlidingWindow(window, WINDOW_BUCKET_COUNT)
        if work <= budget:
            return work <= budget - endpoint.slow_start_work.amount(now)
        number, elapsed = divmod(now + int(endpoint.slow_start_phase * window), window)
        window_seed = zlib.crc32(number.to_bytes(8, "little"), self._context.random.seed)
        draw = unit_hash(endpoint.entry.id, window_seed)
        remaining = budget - endpoint.slow_start_work.amount(now, covering=False)
        return elapsed < ADMITTING_WINDOW_RATIO * window and draw * work <= remaining

    def _work_budget(self, endpoint: Endpoint) -> float:
        """Returns this gateway's part of the work, in thread microseconds, that a window allows.

        The rules do not state how capacity rises; it is taken to rise slower than linearly.
        """
        limits = self._context.rule_limits
        elapsed = max(0, self._context.now - (endpoint.slow_start_since or 0))
        age = min(1.0, elapsed / max(1, limits.slow_start_duration))
        initial = limits.slow_start_initial_ratio
        capacity = initial + (1 - initial) * age * age
        return (
            limits.overload_multiple
            * capacity
            * endpoint.cores
            * CAPACITY_MARGIN_RATIO
            * self._context.even_share
            * limits.overload_window
        )
