"""Slow start: limits the work that all gateways together send to a recently started endpoint."""

from __future__ import annotations

import zlib

from lotusstream import interface as api
from lotusstream.policy.catalog import EntryChange
from lotusstream.policy.context import WINDOW_BUCKET_COUNT, DecisionContext
from lotusstream.policy.state import Endpoint
from lotusstream.rendezvous import MASK_32_BITS, unit_hash
from lotusstream.sliding_window import SlidingWindow

# Work budget of an endpoint in slow start, as a fraction of the work that the rules allow. The rest is a
# margin for cores in use, slow machines and random variation.
CAPACITY_MARGIN_RATIO = 0.6
# The draw of a window (see `SlowStart.admits`) admits requests only in this initial fraction of the window.
# If all gateways begin to use an endpoint at the same time, this fraction of them may send requests
# immediately, and every gateway may send requests when its next window begins. In a span as long as a window,
# the work sent therefore stays within 0.6 * (1 + 0.75) = 0.6 * 1.75 times the work that the rules allow.
ADMITTING_WINDOW_RATIO = 0.75
MAX_REPORTED_AGE_US = 60_000_000  # longest plausible time from an endpoint's start to its listing


class SlowStart:
    """Decides whether an endpoint in slow start may be sent a request.

    The rule: an endpoint that has just started has only a fraction of its capacity. It fails if all gateways
    together send it more than a multiple of its present capacity within a window. Each gateway therefore uses
    only its even share of the allowed work. The figures are those of RuleLimits.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._corrected_starts: dict[api.EndpointId, int] = {}  # start times used instead of listed ones

    def on_entry_changed(self, change: EntryChange, *, first_list: bool) -> None:
        """Compares a newly listed start time with this gateway's clock.

        A start in the future, or an implausibly old one that is not from the first list, is replaced by the
        time at which it was received. If an endpoint's wall clock is wrong, the endpoint would otherwise
        count as past its slow start right after its start, or stay in slow start too long by the error.
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
        """Begins slow start at the listed start time of the endpoint, or at the time that
        `on_entry_changed` recorded instead. Does nothing if the list contains no start time."""
        entry = endpoint.entry
        if entry.started_at:
            phase = unit_hash(entry.id, self._context.random.seed ^ entry.started_at & MASK_32_BITS)
            endpoint.begin_slow_start(self._corrected_starts.get(entry.id, entry.started_at), phase)

    def ends_at(self, endpoint: Endpoint) -> int | None:
        """Returns the end of the endpoint's slow start, in microseconds; None: not in slow start."""
        if not self.is_active(endpoint) or endpoint.slow_start_since is None:
            return None
        return endpoint.slow_start_since + self._context.rule_limits.slow_start_duration

    def is_active(self, endpoint: Endpoint) -> bool:
        """Returns whether the endpoint is in slow start."""
        since = endpoint.slow_start_since
        return since is not None and self._context.now < since + self._context.rule_limits.slow_start_duration

    def capacity_ratio(self, endpoint: Endpoint) -> float:
        """Returns the fraction of its full capacity, 0 to 1, that placement assumes an endpoint to have."""
        return self._context.rule_limits.slow_start_initial_ratio if self.is_active(endpoint) else 1.0

    def admits(self, endpoint: Endpoint, work: float) -> bool:
        """Returns whether an endpoint may now be sent `work` thread microseconds; True outside slow start.

        This limits the work that all gateways send to a recently started endpoint, even if all begin to use
        it at the same time, or have just restarted and do not know what they sent before.

        If this gateway's budget for a window is less than the work of the request, a draw per window decides
        whether the gateway may send one request. The windows of different gateways begin at different times,
        and on average the total stays within the budget. Unused budget does not carry over to the next
        window, and a draw admits only in a part of its window. Both limit the work that two adjacent windows
        can add to any span with the length of one window.
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
        """Returns this gateway's budget of work per window, in thread microseconds.

        The rules do not define how capacity rises during slow start. It is assumed to rise quadratically.
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
