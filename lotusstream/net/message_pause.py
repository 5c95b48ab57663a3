"""The pauses between the reads of a client that sends unusable messages."""

from __future__ import annotations

FIRST_PAUSE_S = 0.04  # pause after one unusable message; it doubles with each further one in a row
MAX_PAUSE_S = 0.5
MAX_PAUSE_WITH_REQUESTS_S = 0.05  # while requests are open: their withdrawal must be read soon
MAX_DOUBLING_COUNT = 4  # after more unusable messages in a row, the pause grows no further


class MessagePause:
    """Determines how long to wait before more bytes of a client are read. Without these pauses, hundreds of
    clients that send unusable messages at full speed would take all processor time."""

    def __init__(self) -> None:
        self._unusable_count = 0  # unusable messages since the last valid one

    def count_unusable(self) -> None:
        """Counts a message that can't be decoded, or a request with invalid fields or statement."""
        self._unusable_count += 1

    def count_valid(self) -> None:
        """Counts a valid request, which ends the pauses."""
        self._unusable_count = 0

    def seconds(self, has_open_requests: bool) -> float:
        """Returns the time to wait before the next read; 0: no pause."""
        if not self._unusable_count:
            return 0.0
        longest = MAX_PAUSE_WITH_REQUESTS_S if has_open_requests else MAX_PAUSE_S
        doubling_count = min(self._unusable_count - 1, MAX_DOUBLING_COUNT)
        return min(longest, FIRST_PAUSE_S * (1 << doubling_count))
