"""Checks what clients and servers have recorded against the gateway's rules, without the gateway's code."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from lotusstream.lab.scale.load import Outcome
from lotusstream.lab.scale.servers import Attempt

SLACK = 0.05  # seconds that the rules allow for delays of the sockets
# Seconds after a request's end, or after its client gave up, in which an attempt may still arrive.
LATE_ATTEMPT_SLACK = 0.1
DEADLINE_SLACK = 0.15  # seconds by which the deadline sent to a server may be later than the client's
REPEATABLE = frozenset({"lookup"})  # profiles of which a request may have more than one attempt


@dataclass(frozen=True, slots=True)
class BrokenRule:
    """A violation of a rule."""

    rule: str  # name of the rule: lost, deadline, duplicate, drain; in the soak also refusal and failback
    call: str  # id of the request; the server's id for `failback`
    text: str  # what happened


@dataclass(slots=True)
class History:
    """What the clients and the servers of one run have recorded."""

    outcomes: list[Outcome]
    attempts: list[Attempt]
    # When each server was withdrawn: first listed as draining or gone, Unix seconds, by server id.
    withdrawn: dict[str, float] = field(default_factory=dict)
    drain_grace: float = 2.0  # seconds after a server is withdrawn in which attempts may still arrive at it


def broken_rules(history: History) -> list[BrokenRule]:
    """Returns all violations: first those of each request, then attempts at withdrawn servers."""
    attempts = defaultdict(list)
    for attempt in history.attempts:
        attempts[attempt.call].append(attempt)
    found: list[BrokenRule] = []
    for outcome in history.outcomes:
        found += _request_violations(outcome, attempts[outcome.call])
    found += _sent_to_withdrawn(history)
    return found


def count_by_rule(found: list[BrokenRule]) -> dict[str, int]:
    return dict(Counter(each.rule for each in found))


def late_attempts(outcome: Outcome, attempts: list[Attempt]) -> list[BrokenRule]:
    """Returns a violation for each attempt after the request's end, and for each with too late a deadline.

    The client's deadline counts from the time at which the request was sent. The gateway cannot know how long
    the client waited for a processor before that. The deadline sent to a server counts from the time at which
    the attempt was sent, which may be earlier than its arrival by the time for which a cut link held it.
    """
    found = []
    ended_at = outcome.gave_up_at if outcome.gave_up_at is not None else outcome.answered_at
    ends_at = outcome.sent_at + outcome.write_delay + outcome.time_out
    for attempt in attempts:
        if ended_at is not None and attempt.at - ended_at > LATE_ATTEMPT_SLACK:
            late = attempt.at - ended_at
            text = f"attempt at {attempt.server} {late:.3f} s after the request's end"
            found.append(BrokenRule("lost", outcome.call, text))
        excess = attempt.at - attempt.held + attempt.time_out - ends_at
        if excess > DEADLINE_SLACK:
            text = f"deadline sent to {attempt.server} is {excess:.3f} s after the client's"
            found.append(BrokenRule("deadline", outcome.call, text))
    return found


def _request_violations(outcome: Outcome, attempts: list[Attempt]) -> list[BrokenRule]:
    found: list[BrokenRule] = []
    if outcome.gave_up_at is None and not outcome.in_time:
        arrivals = ", ".join(f"{each.server} +{each.at - outcome.sent_at:.3f}" for each in attempts)
        found.append(
            BrokenRule(
                "lost",
                outcome.call,
                f"no final answer in {outcome.time_out} s; attempts: {arrivals or 'none'}",
            )
        )
    found += late_attempts(outcome, attempts)
    if len(attempts) > 1 and outcome.profile not in REPEATABLE:
        found.append(BrokenRule("duplicate", outcome.call, f"{len(attempts)} attempts of {outcome.profile}"))
    return found


def _sent_to_withdrawn(history: History) -> list[BrokenRule]:
    found: list[BrokenRule] = []
    for attempt in history.attempts:
        withdrawn_at = history.withdrawn.get(attempt.server)
        if withdrawn_at is None:
            continue
        late = attempt.at - withdrawn_at
        if late > history.drain_grace + SLACK:
            found.append(
                BrokenRule(
                    "drain", attempt.call, f"attempt at {attempt.server} {late:.3f} s after it was withdrawn"
                )
            )
    return found
