"""Tracks open requests and attempts, from which the signals are computed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lotusstream import interface as api


@dataclass(slots=True)
class OpenRequest:
    """A request without a final answer."""

    profile: int  # index into the profiles
    received_at: int  # time at which the gateway received the request, microseconds
    due_at: int  # time after which an answer is late, microseconds
    work: float  # expected work, thread microseconds
    awaits_first_attempt: bool = True  # no attempt has started yet


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt without an outcome."""

    endpoint_id: api.EndpointId
    work: float  # expected work of its request, thread microseconds


class OpenRequestTracker:
    """Holds open requests by id, and open attempts by request id and attempt number. The attempt count of a
    request is kept until its last attempt has ended."""

    def __init__(self) -> None:
        self._open: dict[int, OpenRequest] = {}
        self._attempts: dict[tuple[int, int], OpenAttempt] = {}
        self._attempt_counts: dict[int, int] = {}

    def add(self, request_id: int, request: OpenRequest) -> None:
        """Adds a request that has just been received."""
        self._open[request_id] = request

    def get(self, request_id: int) -> OpenRequest | None:
        """Returns the request, or None if it is not open."""
        return self._open.get(request_id)

    def all(self) -> Iterable[OpenRequest]:
        """Returns the open requests in the order in which they were received."""
        return self._open.values()

    def start_attempt(self, request_id: int, endpoint_id: api.EndpointId) -> OpenRequest | None:
        """Adds the next attempt of a request. Returns the request, or None if it is not open."""
        number = self._attempt_counts.get(request_id, 0)
        self._attempt_counts[request_id] = number + 1
        request = self._open.get(request_id)
        if request is not None:
            self._attempts[request_id, number] = OpenAttempt(endpoint_id, request.work)
        return request

    def end_attempt(self, request_id: int, number: int) -> OpenAttempt | None:
        """Removes an attempt that has ended. Returns it, or None if it was not open."""
        return self._attempts.pop((request_id, number), None)

    def remove(self, request_id: int) -> OpenRequest | None:
        """Removes a request that has its final answer. Returns it, or None if it was not open."""
        request = self._open.pop(request_id, None)
        self.drop_attempt_count_if_ended(request_id)
        return request

    def drop_attempt_count_if_ended(self, request_id: int) -> None:
        """Removes the attempt count of a request if none of its attempts is open."""
        count = self._attempt_counts.get(request_id, 0)
        if not any((request_id, number) in self._attempts for number in range(count)):
            self._attempt_counts.pop(request_id, None)

    def clear(self) -> None:
        """Removes all requests and attempts, after a restart of the decision module."""
        self._open.clear()
        self._attempts.clear()
        self._attempt_counts.clear()
