"""Key order: requests with the same key run one at a time, in order of arrival."""

from __future__ import annotations

from collections import deque
from itertools import takewhile

from lotusstream import interface as api
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.state import Request


class KeyOrdering:
    """Decides whether a request with a key may run now.

    The rule: of all requests with the same key, only the earliest may run. After an outcome that leaves open
    whether the endpoint still executes the attempt, the key is quarantined: no request with the key starts an
    attempt for `RuleLimits.key_quarantine` microseconds.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._queues: dict[int, deque[Request]] = {}  # requests by key, in order of arrival
        # End of the quarantine by key, microseconds; the earliest end first.
        self._quarantined_until: dict[int, int] = {}

    def enqueue(self, request: Request) -> None:
        """Adds a new request to the queue of its key, if it has a key."""
        if request.key is not None:
            self._queues.setdefault(request.key, deque()).append(request)

    def is_next(self, request: Request) -> bool:
        """Returns whether the key order allows the request to run now."""
        if request.key is None:
            return True
        if self._queues[request.key][0] is not request:
            return False
        return self._context.now >= self._quarantined_until.get(request.key, 0)

    def on_outcome(self, request: Request, outcome: api.Outcome) -> None:
        """Quarantines the request's key if the attempt may still be running."""
        if request.key is not None and outcome in api.MAY_STILL_BE_RUNNING:
            self._drop_ended_quarantines()
            quarantine = self._context.rule_limits.key_quarantine
            self._quarantined_until.pop(request.key, None)  # moves the key to the end of the dict
            self._quarantined_until[request.key] = self._context.now + quarantine

    def _drop_ended_quarantines(self) -> None:
        """Drops the quarantines that have ended; otherwise ever new keys would take ever more memory."""
        now = self._context.now
        for key, _ in list(takewhile(lambda item: item[1] <= now, self._quarantined_until.items())):
            del self._quarantined_until[key]

    def remove(self, request: Request) -> None:
        """Removes a closed request from its key's queue once none of its attempts is running."""
        if request.key is None or request.running_attempts:
            return
        queue = self._queues.get(request.key, deque())
        if request in queue:
            queue.remove(request)
        if not queue:
            self._queues.pop(request.key, None)
