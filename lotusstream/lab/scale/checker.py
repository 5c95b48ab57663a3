"""Judges what customers and servers have seen by the rules; knows nothing of the gateway's code."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from lotusstream.lab.scale.load import Outcome
from lotusstream.lab.scale.servers import Attempt

SLACK = 0.05  # seconds that the rules on sockets allow on top
LEAVE_SLACK = 0.1  # seconds after a customer has left in which an attempt may still begin
DEADLINE_SLACK = 0.15  # seconds by which the deadline told to a server may pass the customer's
REPEATABLE = frozenset({"lookup"})


@dataclass(frozen=True, slots=True)
class BrokenRule:
    """A rule that was broken, by which request, and how."""

    rule: str
    call: str
    text: str


@dataclass(slots=True)
class History:
    """`withdrawn`: when each server was listed as draining or gone, in Unix seconds."""

    outcomes: list[Outcome]
    attempts: list[Attempt]
    withdrawn: dict[str, float] = field(default_factory=dict)
    drain_grace: float = 2.0


def broken_rules(history: History) -> list[BrokenRule]:
    """All that the history shows to be broken, request by request."""
    attempts = defaultdict(list)
    for attempt in history.attempts:
        attempts[attempt.call].append(attempt)
    found: list[BrokenRule] = []
    for outcome in history.outcomes:
        found += _broken_by(outcome, attempts[outcome.call])
    found += _sent_to_withdrawn(history)
    return found


def count_by_rule(found: list[BrokenRule]) -> dict[str, int]:
    return dict(Counter(each.rule for each in found))


def _broken_by(outcome: Outcome, attempts: list[Attempt]) -> list[BrokenRule]:
    found: list[BrokenRule] = []
    ends_at = outcome.sent_at + outcome.time_out
    if outcome.left_at is None and not outcome.in_time:
        seen = ", ".join(f"{each.server} +{each.at - outcome.sent_at:.3f}" for each in attempts)
        found.append(
            BrokenRule(
                "lost",
                outcome.call,
                f"no final answer in {outcome.time_out} s; seen at {seen or 'no server'}",
            )
        )
    over_at = outcome.left_at if outcome.left_at is not None else outcome.answered_at
    for attempt in attempts:
        late = attempt.at - over_at if over_at is not None else 0.0
        if late > LEAVE_SLACK:
            text = f"attempt at {attempt.server} {late:.3f} s after the end"
            found.append(BrokenRule("lost", outcome.call, text))
        past = attempt.at + attempt.time_out - ends_at
        if past > DEADLINE_SLACK:
            found.append(BrokenRule("deadline", outcome.call, f"{attempt.server} told {past:.3f} s too much"))
    if len(attempts) > 1 and outcome.profile not in REPEATABLE:
        found.append(BrokenRule("duplicate", outcome.call, f"{len(attempts)} attempts of {outcome.profile}"))
    return found


def _sent_to_withdrawn(history: History) -> list[BrokenRule]:
    found: list[BrokenRule] = []
    for attempt in history.attempts:
        told_at = history.withdrawn.get(attempt.server)
        if told_at is None:
            continue
        late = attempt.at - told_at
        if late > history.drain_grace + SLACK:
            found.append(
                BrokenRule("drain", attempt.call, f"{attempt.server} {late:.3f} s after it was listed")
            )
    return found
