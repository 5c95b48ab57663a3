"""Applies the degradation level in force to requests and retries."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.policy.state import Request

RANDOM_VALUES = 2**32  # number of possible values of Request.random_value


class Degradation:
    """The degradation level in force. At first it is full service, which admits every request and retry."""

    def __init__(self) -> None:
        self._level: api.DegradationChanged | None = None  # None: full service

    def change(self, event: api.DegradationChanged) -> None:
        """Sets the level that is in force from now on."""
        self._level = None if event.is_full_service else event

    def admits(self, request: Request) -> bool:
        """Returns whether the level admits a new request.

        Compares the admitted ratio with the request's own random value. A request that is rejected at some
        ratio is therefore rejected at every lower one.
        """
        if self._level is None:
            return True
        return request.random_value < self._level.admitted_ratios[request.profile_index] * RANDOM_VALUES

    def allows_retry(self, request: Request) -> bool:
        """Returns whether the level allows the request's next attempt."""
        if self._level is None:
            return True
        match self._level.retries_allowed:
            case api.RetriesAllowed.NONE:
                return not request.attempts
            case api.RetriesAllowed.IF_NOT_EXECUTED:
                return not request.possible_executions
            case _:
                return True

    def priority(self, request: Request) -> int | None:
        """Returns the priority that the level sets for the request's attempts; None: it sets none."""
        return self._level.priorities[request.profile_index] if self._level else None

    @property
    def is_reduced(self) -> bool:
        """Whether a level other than full service is in force."""
        return self._level is not None

    @property
    def max_retry_after(self) -> int | None:
        """The longest Retry-After that the level allows, in microseconds; None: no limit."""
        return self._level.max_retry_after if self._level else None
