"""The open requests: those to which the decision module has given no final answer yet."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.key_ordering import KeyOrdering
from lotusstream.policy.state import Attempt, Request


class OpenRequests:
    """Holds and closes the open requests.

    `by_id` holds all of them; `waiting` holds those that are queued for their next attempt. The client
    connections of open requests are in `lotusstream/net/open_requests.py`.
    """

    def __init__(self, context: DecisionContext, key_ordering: KeyOrdering) -> None:
        self._context = context
        self._key_ordering = key_ordering
        self.by_id: dict[int, Request] = {}
        self.waiting: dict[int, Request] = {}

    def add(self, request: Request) -> None:
        """Adds a request and queues it for its first attempt."""
        self.by_id[request.id] = request
        self.waiting[request.id] = request
        self._key_ordering.enqueue(request)

    def close(self, request: Request) -> None:
        """Closes a request that needs no further answer, and cancels its running attempts."""
        self.by_id.pop(request.id, None)
        self.waiting.pop(request.id, None)
        for attempt in request.running_attempts:
            self.cancel(request, attempt)
        self._key_ordering.remove(request)

    def cancel(self, request: Request, attempt: Attempt) -> None:
        """Cancels a running attempt, if the deployment supports cancellation."""
        if self._context.capabilities.cancellation and not attempt.cancelled:
            attempt.cancelled = True
            self._context.actions.append(api.CancelAttempt(request.id, attempt.number))
