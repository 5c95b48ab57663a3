"""Checks a simulated run by the executions and the answers of its requests alone.

The state of the replicas has no influence on the checks.
"""

from __future__ import annotations

from collections.abc import Callable

from lotusstream.lab.replication.scenario import SINGLE_EXECUTION_KEY_SUFFIX


class ReplicationChecker:
    """Plays endpoints that remember the requests which they executed, and checks every answer.

    Invariants: no request takes effect twice; all answers to a key are equal; a key that was answered never
    becomes unknown again.
    """

    def __init__(self, deduplication_window_us: int, fail: Callable[[str], None]) -> None:
        """Begin without any execution.

        :param deduplication_window_us: microseconds after an execution in which endpoints drop repeats.
        :param fail: ends the run and reports the text as its reason.
        """
        self._deduplication_window_us = deduplication_window_us
        self._fail = fail
        self.effects: dict[str, int] = {}  # number of executions that took effect, by idempotency key
        # by key and endpoint zone: simulated time of the latest execution, microseconds, and its answer
        self._executions: dict[tuple[str, int], tuple[int, bytes]] = {}
        self.answers: dict[str, bytes] = {}  # first answer, by key
        self.answered_at: dict[str, int] = {}  # by key: simulated time of the first answer, microseconds
        self.answer_count = 0  # number of answers that gateways sent to clients
        self.repeat_count = 0  # number of times that a client repeated a request instead of sending a new one
        self.unknown_count = 0  # number of requests that were answered 'may have run'
        self.lost_machine_count = 0  # number of machines that were lost with their disks
        self.taken_over_count = 0  # number of requests that another gateway may have sent before
        self.corrupted_records = 0  # number of records that the fault 'flip' has corrupted
        self.divergences = 0  # number of divergences that anti-entropy has found

    def execute(self, now: int, key: str, endpoint_zone: int) -> bytes:
        """Execute a request at the endpoints of a zone; a repeat within the window gets the same answer."""
        execution = self._executions.get((key, endpoint_zone))
        if (
            execution is None
            or now > execution[0] + self._deduplication_window_us
            or key.endswith(SINGLE_EXECUTION_KEY_SUFFIX)
        ):
            self.effects[key] = self.effects.get(key, 0) + 1
            if self.effects[key] > 1:
                self._fail(f"{key} took effect twice")
            execution = (now, f"{key} in {endpoint_zone}".encode())
            self._executions[key, endpoint_zone] = execution
        return execution[1]

    def check_answer(self, now: int, key: str, answer: bytes) -> None:
        """Check that an answer to a client equals the first answer to its key."""
        known = self.answers.setdefault(key, answer)
        self.answered_at.setdefault(key, now)
        if known != answer:
            self._fail(f"{key} was answered {answer!r} after {known!r}")
        self.answer_count += 1

    def check_unknown(self, key: str, asked_at: int) -> None:
        """Check an answer 'may have run', which is wrong if the key was answered before the request was sent.

        :param asked_at: simulated time at which the request arrived, microseconds.
        """
        self.unknown_count += 1
        if self.answered_at.get(key, asked_at) < asked_at:
            self._fail(f"{key} was answered, and later its result was unknown")
