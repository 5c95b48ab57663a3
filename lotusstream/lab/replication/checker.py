"""Judges a simulated run by every execution and every answer; knows nothing of the replicas."""

from __future__ import annotations

from collections.abc import Callable

from lotusstream.lab.replication.scenario import ONCE_KEY_SUFFIX


class ReplicationChecker:
    """Endpoints that remember what they have executed, and the rules for answers.

    Rules: no request takes effect twice; all answers to a key are equal; what was answered stays known.
    """

    def __init__(self, window: int, fails: Callable[[str], None]) -> None:
        """Begin without any execution.

        :param window: microseconds for which endpoints drop repeats.
        :param fails: ends the run with a text.
        """
        self._window = window
        self._fails = fails
        self.effects: dict[str, int] = {}  # by key
        self._executions: dict[tuple[str, int], tuple[int, bytes]] = {}  # time and answer by key and place
        self.answers: dict[str, bytes] = {}
        self.answered_at: dict[str, int] = {}  # microseconds, the first time
        self.promises = 0  # answers that clients got
        self.repeats = 0
        self.unknown = 0  # requests that were answered 'it may have run'
        self.lost_machines = 0
        self.taken_over = 0  # requests that another gateway may have sent before
        self.flipped = 0  # records that changed by themselves
        self.differ = 0  # divergences that were found

    def execute(self, now: int, key: str, place: int) -> bytes:
        """Execute a request at the endpoints of a zone; a repeat that they remember gets the same answer."""
        execution = self._executions.get((key, place))
        if execution is None or now > execution[0] + self._window or key.endswith(ONCE_KEY_SUFFIX):
            self.effects[key] = self.effects.get(key, 0) + 1
            if self.effects[key] > 1:
                self._fails(f"{key} took effect twice")
            execution = (now, f"{key} in {place}".encode())
            self._executions[key, place] = execution
        return execution[1]

    def answered(self, now: int, key: str, answer: bytes) -> None:
        """Check an answer to a client."""
        known = self.answers.setdefault(key, answer)
        self.answered_at.setdefault(key, now)
        if known != answer:
            self._fails(f"{key} was answered {answer!r} after {known!r}")
        self.promises += 1

    def unsure(self, key: str, asked_at: int) -> None:
        """Check 'it may have run': wrong where an answer was given before the client asked."""
        self.unknown += 1
        if self.answered_at.get(key, asked_at) < asked_at:
            self._fails(f"{key} was answered and is not known any more")
