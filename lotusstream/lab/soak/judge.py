"""The rules, judged from the records of customers and servers alone; knows nothing of the gateway's code."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from lotusstream.lab.scale.checker import LEAVE_SLACK, SLACK, BrokenRule
from lotusstream.lab.scale.load import Outcome
from lotusstream.lab.scale.servers import Attempt
from lotusstream.lab.soak.plan import RequestClass

DEADLINE_SLACK = 0.15  # seconds by which the deadline told to a server may pass the customer's


@dataclass(frozen=True, slots=True)
class ColdStart:
    """A server that has started. `allowed`: requests of mean work that the settings allow it in a window at
    its coldest. Times in Unix seconds and seconds."""

    server: str
    told_at: float
    allowed: float
    window: float

    @property
    def falls_at(self) -> float:
        """More requests than this in a window push it over."""
        spread = 3 if self.allowed < 30 else 2
        return self.allowed + spread * math.sqrt(self.allowed) + spread


@dataclass(slots=True)
class SoakHistory:
    """`withdrawn`: when each server was first listed as draining or gone, and until when (infinity where it
    did not come back). `killed`: gateways that were killed outright, and when: what they held is nobody's."""

    classes: Mapping[str, RequestClass]
    outcomes: list[Outcome] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    withdrawn: dict[str, float] = field(default_factory=dict)
    cold: list[ColdStart] = field(default_factory=list)
    drain_grace: float = 2.0


def judge(history: SoakHistory) -> list[BrokenRule]:
    """All that is broken, by rule and request."""
    attempts: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in history.attempts:
        attempts[attempt.call].append(attempt)
    found: list[BrokenRule] = []
    for outcome in history.outcomes:
        own = attempts[outcome.call]
        found += _unanswered(outcome, own)
        found += _attempts_too_late(outcome, own)
        found += _repeated(outcome, own, history.classes[outcome.profile])
    for attempt in history.attempts:
        told_at = history.withdrawn.get(attempt.server, math.inf)
        if attempt.at - told_at > history.drain_grace + SLACK:
            late = attempt.at - told_at
            found.append(
                BrokenRule("drain", attempt.call, f"{attempt.server} {late:.3f} s after it was listed")
            )
    for start in history.cold:
        found += _pushed_over(start, history.attempts)
    return found


def _unanswered(outcome: Outcome, attempts: list[Attempt]) -> list[BrokenRule]:
    if outcome.excused or outcome.left_at is not None or outcome.in_time:
        return []
    seen = ", ".join(f"{each.server} +{each.at - outcome.sent_at:.3f}" for each in attempts) or "no server"
    text = (
        f"{outcome.profile} of gateway {outcome.gateway}: {outcome.answer}, {outcome.time_out} s; at {seen}"
    )
    return [BrokenRule("lost", outcome.call, text)]


def _attempts_too_late(outcome: Outcome, attempts: list[Attempt]) -> list[BrokenRule]:
    found = []
    over_at = outcome.left_at if outcome.left_at is not None else outcome.answered_at
    ends_at = outcome.sent_at + outcome.time_out
    for attempt in attempts:
        if over_at is not None and attempt.at - over_at > LEAVE_SLACK:
            late = attempt.at - over_at
            found.append(
                BrokenRule("lost", outcome.call, f"attempt at {attempt.server} {late:.3f} s after its end")
            )
        past = attempt.at + attempt.time_out - ends_at
        if past > DEADLINE_SLACK:
            found.append(BrokenRule("deadline", outcome.call, f"{attempt.server} told {past:.3f} s too much"))
    return found


def _repeated(outcome: Outcome, attempts: list[Attempt], profile: RequestClass) -> list[BrokenRule]:
    ran = [attempt for attempt in attempts if attempt.ran]
    if profile.effect == "once" and len(ran) > 1:
        return [BrokenRule("duplicate", outcome.call, f"ran {len(ran)} times")]
    if profile.effect == "by_key" and len(ran) > 1:
        late = ran[-1].at - ran[0].at
        if late > profile.window + SLACK:
            return [BrokenRule("duplicate", outcome.call, f"ran again {late:.3f} s after the first")]
    if profile.effect == "once" and ran and outcome.answer == "shed":
        return [BrokenRule("refusal", outcome.call, "refused as without effect, and it ran")]
    return []


def _pushed_over(start: ColdStart, attempts: list[Attempt]) -> list[BrokenRule]:
    times = [each.at for each in attempts if each.server == start.server and each.at >= start.told_at]
    first = 0
    for last, at in enumerate(times):
        while at - times[first] >= start.window:
            first += 1
        if last - first + 1 > start.falls_at and at - start.told_at < start.window * 2:
            text = f"{last - first + 1} in {start.window} s where {start.allowed:.1f} are allowed"
            return [BrokenRule("failback", start.server, text)]
    return []
