"""The call ids that clients may not use for another request."""

from __future__ import annotations

MAX_RECENT_COUNT = 16_384  # most ids that are remembered after their requests


class CallIds:
    """The ids of requests whose attempts may still run, and the newest ids of those that may have run without
    an answer.

    A client's id is also the id of its attempts at the endpoints. If it came again for another request, that
    request could run beside the first one, and the cancellation of the first would end it.
    """

    def __init__(self) -> None:
        self._in_use: set[str] = set()
        self._recent: dict[int, None] = {}  # as numbers, which take less memory; the oldest first

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._in_use or int(call_id, 16) in self._recent

    def add(self, call_id: str) -> None:
        """Marks an id as in use."""
        self._in_use.add(call_id)

    def release(self, call_id: str, may_have_run: bool) -> None:
        """Ends the use of an id.

        :param may_have_run: whether its request may have been executed without an answer.
        """
        self._in_use.discard(call_id)
        if not may_have_run:
            return
        self._recent[int(call_id, 16)] = None
        if len(self._recent) > MAX_RECENT_COUNT:
            del self._recent[next(iter(self._recent))]
