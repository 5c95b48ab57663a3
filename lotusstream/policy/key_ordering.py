"""Per-key ordering: requests with the same key run one after the other."""

from __future__ import annotations

from collections import deque

from lotusstream import interface as api
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.state import Request


class KeyOrdering:
    """Decides which request with a key may run next.

    The rule: of the requests with one key, the earliest runs alone, and after an attempt that may still be
    running the key is quarantined for `RuleLimits.key_quarantine` microseconds, since an endpoint may still
    execute that attempt. Inputs: the order of arrival and the outcomes of attempts.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._queues: dict[int, deque[Request]] = {}  # by key, in order of arrival
        self._quarantined_until: dict[int, int] = {}  # by key, microseconds

    def enqueue(self, request: Request) -> None:
        """A request has come; requests without a key are not ordered."""
        if request.key is not None:
            self._queues.setdefault(request.key, deque()).append(request)

    def is_next(self, request: Request) -> bool:
        """Returns whether a request may run now, as far as its key is concerned."""
        if request.key is None:
            return True
        if self._queues[request.key][0] is not request:
            return False
        return self._context.now >= self._quarantined_until.get(request.key, 0)

    def on_outcome(self, request: Request, outcome: api.Outcome) -> None:
        """Quarantines the key after an attempt that may still be running."""
        if request.key is not None and outcome in api.MAY_STILL_BE_RUNNING:
            quarantine = self._context.rule_limits.key_quarantine
            self._quarantined_until[request.key] = self._context.now + quarantine

    def remove(self, request: Request) -> None:
        """A request that needs no answer any more lets the next one run, once none of its attempts runs."""
        if request.key is None or request.running_attempts:
            return
        queue = self._queues.get(request.key, deque())
        if request in queue:
            queue.remove(request)
        if not queue and self._quarantined_until.get(request.key, 0) <= self._context.now:
            self._queues.pop(request.key, None)
            self._quarantined_until.pop(request.key, None)
