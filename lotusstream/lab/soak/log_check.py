"""Finds the log lines of a gateway that report a fault.

A gateway that waits for a processor until the deadline of a request can't reply in time. It logs the late
reply as a broken invariant. That is no fault if the wait was measured.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence

from lotusstream.lab.scale.load import Outcome
from lotusstream.lab.soak.processor_wait import ProcessorWait

# A gateway that need not wait for a processor checks the deadlines of its requests at least this often.
DEADLINE_CHECK_SECONDS = 0.05
LOG_LINES_PER_KIND = 5  # a gateway drops further lines of the same kind within 10 s
UNANSWERED_LINE = re.compile(r"unanswered: request ([0-9a-f]{16}) got no reply by its deadline")
LATE_REPLY_LINE = "broken invariant: a command is answered in its client's time"
LATE_REPLY_COUNTER = re.compile(LATE_REPLY_LINE + r" (\d+)")


def failed_for_lack_of_processor(outcome: Outcome, wait: ProcessorWait, reserve: float) -> bool:
    """Whether a gateway failed a request at its deadline because the gateway waited for a processor.

    Returns False if the client did not get that reply in time, or if the gateway waited for less than
    `reserve` just before it.

    :param wait: wait of the gateway's process.
    :param reserve: seconds before a request's deadline by which the gateway must have replied.
    """
    if outcome.answer != "failed" or outcome.answered_at is None or not outcome.in_time:
        return False
    waited = wait.before(outcome.answered_at, outcome.sent_at, reserve + DEADLINE_CHECK_SECONDS)
    return waited >= reserve


def faults_in_log(lines: Sequence[str], is_allowed: Callable[[str], bool]) -> list[str]:
    """Returns the log lines that report a fault: each broken invariant and each traceback. A traceback is
    returned as one text, with the line before it.

    A late reply is no fault if the line before it names its request and `is_allowed` returns True for that
    request id. The counter of late replies, which a gateway prints when it ends, is no fault if it equals the
    number of allowed ones. If the gateway logged so many broken invariants that it may have dropped some, no
    late reply is allowed.
    """
    counters = [LATE_REPLY_COUNTER.fullmatch(line) for line in lines]
    reports = sum(line.startswith("broken invariant") for line in lines) - sum(map(bool, counters))
    faults, allowed = [], 0
    for number, (before, line, counter) in enumerate(zip(["", *lines], lines, counters, strict=False)):
        late_request = UNANSWERED_LINE.match(before) if line == LATE_REPLY_LINE else None
        if late_request is not None and reports < LOG_LINES_PER_KIND and is_allowed(late_request[1]):
            allowed += 1
        elif counter is not None and int(counter[1]) == allowed:
            continue
        elif line.startswith("broken invariant"):
            faults.append(line)
        elif "Traceback" in line:
            faults.append(_whole_traceback(before, lines[number:]))
    return faults


def tracebacks_in_log(lines: Sequence[str]) -> list[str]:
    """Returns each traceback as one text, with the line before it."""
    starts = [number for number, line in enumerate(lines) if "Traceback" in line]
    return [_whole_traceback(lines[start - 1] if start else "", lines[start:]) for start in starts]


def _whole_traceback(before: str, lines: Sequence[str]) -> str:
    """Joins the traceback at the start of `lines` and the line before it, which names what failed.

    The error is the first line of a traceback after its head that is not indented.
    """
    end = next(
        (number for number, line in enumerate(lines) if number and not line.startswith(" ")), len(lines)
    )
    return "\n".join([before, *lines[: end + 1]])
