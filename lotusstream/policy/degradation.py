"""Which requests and retries the degradation level in force admits."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.policy.state import Request

RANDOM_VALUES = 2**32  # number of values that Request.random_value may have


class Degradation:
    """The latest DegradationChanged; at full service everything is admitted."""

    def __init__(self) -> None:
        self._level: api.DegradationChanged | None = None  # None: full service

    def change(self, event: api.DegradationChanged) -> None:
        """Another level is in force from now on."""
        self._level = None if event.is_full_service else event

    def admits(self, request: Request) -> bool:
        """Returns whether the level admits a new request.

        Compares the ratio with the request's own random value, so a lower ratio admits no request that a
        higher one rejects.
        """
        if self._level is None:
            return True
        return request.random_value < self._level.admitted_ratios[request.profile_index] * RANDOM_VALUES

    def allows_retry(self, request: Request) -> bool:
        """Returns whether the level allows another attempt of a request that has had one."""
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
        """Returns the priority that the level sets for a request's attempts; None if it sets none."""
        return self._level.priorities[request.profile_index] if self._level else None

    @property
    def is_reduced(self) -> bool:
        """Whether a level other than full service is in force."""
        return self._level is not None

    @property
    def max_retry_after(self) -> int | None:
        """The longest Retry-After that the level allows, in microseconds; None if it sets no bound."""
        return self._level.max_retry_after if self._level else None
