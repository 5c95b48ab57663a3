"""Checks the records of clients and servers against the gateway's rules, without the gateway's code."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from lotusstream.lab.scale.checker import LATE_ATTEMPT_SLACK, SLACK, BrokenRule, late_attempts
from lotusstream.lab.scale.load import Outcome
from lotusstream.lab.scale.servers import Attempt
from lotusstream.lab.soak.plan import RequestClass


@dataclass(frozen=True, slots=True)
class ColdStart:
    """A server that started during the run."""

    server: str  # id of the server
    listed_at: float  # when discovery listed it, Unix seconds
    # Number of requests, of mean work, that the settings allow in a window right after its start.
    allowed: float
    window: float  # seconds

    @property
    def max_requests(self) -> float:
        """Most requests in a window that are no violation.

        It exceeds `allowed` by a margin for chance: 2 standard deviations plus 2 requests, or 3 of both if
        `allowed` is below 30.
        """
        deviations = 3 if self.allowed < 30 else 2
        return self.allowed + deviations * math.sqrt(self.allowed) + deviations


@dataclass(frozen=True, slots=True)
class Stall:
    """A time in which a gateway's process stood still, Unix seconds."""

    gateway: str
    began: float
    ended: float

    def may_delay(self, outcome: Outcome) -> bool:
        """Whether the gateway may have answered late because of it."""
        deadline = outcome.sent_at + outcome.time_out
        return outcome.gateway == self.gateway and outcome.sent_at < self.ended and self.began < deadline


@dataclass(slots=True)
class SoakHistory:
    """What the clients and the servers of one run have recorded."""

    classes: Mapping[str, RequestClass]  # by name
    outcomes: list[Outcome] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    # When each server was withdrawn: first listed as draining or gone, Unix seconds, by server id.
    withdrawn: dict[str, float] = field(default_factory=dict)
    cold: list[ColdStart] = field(default_factory=list)  # the servers that started during the run
    drain_grace: float = 2.0  # seconds after a server is withdrawn in which attempts may still arrive at it
    stalls: list[Stall] = field(default_factory=list)


def check_history(history: SoakHistory) -> list[BrokenRule]:
    """Returns all violations: those of each request, then of withdrawn servers, then of slow starts."""
    attempts: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in history.attempts:
        attempts[attempt.call].append(attempt)
    found: list[BrokenRule] = []
    for outcome in history.outcomes:
        own = attempts[outcome.call]
        is_delayed = any(stall.may_delay(outcome) for stall in history.stalls)
        found += _missing_answer(outcome, own, is_delayed)
        if outcome.is_foreign:
            found.append(BrokenRule("lost", outcome.call, "answered with the rows of another request"))
        found += late_attempts(outcome, own)
        found += _unsafe_repeats(outcome, own, history.classes[outcome.profile])
        found += _begun_after_hang(outcome, own, history.stalls)
    for attempt in history.attempts:
        withdrawn_at = history.withdrawn.get(attempt.server, math.inf)
        if attempt.at - withdrawn_at > history.drain_grace + SLACK:
            late = attempt.at - withdrawn_at
            found.append(
                BrokenRule(
                    "drain", attempt.call, f"attempt at {attempt.server} {late:.3f} s after it was withdrawn"
                )
            )
    for start in history.cold:
        found += _slow_start_overload(start, history.attempts)
    return found


def _missing_answer(outcome: Outcome, attempts: list[Attempt], is_delayed: bool) -> list[BrokenRule]:
    """Returns a violation if the request has no answer in time, unless excused or given up by its client.

    :param is_delayed: whether its gateway stood still meanwhile, so that a late answer is no violation.
    """
    if outcome.excused or outcome.gave_up_at is not None or outcome.in_time:
        return []
    if is_delayed and outcome.answer is not None:
        return []
    arrivals = ", ".join(f"{each.server} +{each.at - outcome.sent_at:.3f}" for each in attempts) or "none"
    text = (
        f"{outcome.profile} of gateway {outcome.gateway}: answer {outcome.answer}, "
        f"timeout {outcome.time_out} s; attempts: {arrivals}"
    )
    return [BrokenRule("lost", outcome.call, text)]


def _unsafe_repeats(outcome: Outcome, attempts: list[Attempt], profile: RequestClass) -> list[BrokenRule]:
    """Returns a violation if a request ran again although its profile forbids it, or ran but was rejected."""
    ran = [attempt for attempt in attempts if attempt.ran]
    if profile.effect == "once" and len(ran) > 1:
        return [BrokenRule("duplicate", outcome.call, f"ran {len(ran)} times")]
    if profile.effect == "by_key" and len(ran) > 1:
        times = [attempt.at for attempt in ran]
        late = max(times) - min(times)
        if late > profile.window + SLACK:
            return [BrokenRule("duplicate", outcome.call, f"ran again {late:.3f} s after the first")]
    if profile.effect == "once" and ran and outcome.answer == "shed":
        return [BrokenRule("refusal", outcome.call, "rejected as not executed, but it ran")]
    return []


def _begun_after_hang(outcome: Outcome, attempts: list[Attempt], stalls: list[Stall]) -> list[BrokenRule]:
    """Returns a violation for each attempt that a server read after a hang, after the request's end, and ran
    to its end. Its gateway had given it up, and should have cancelled it unless it was killed or stood still.
    """
    ended_at = outcome.gave_up_at if outcome.gave_up_at is not None else outcome.answered_at
    if ended_at is None or outcome.excused:
        return []
    found = []
    for attempt in attempts:
        late = attempt.read_at - ended_at
        stood_still = any(
            each.gateway == outcome.gateway and each.began < attempt.read_at and ended_at < each.ended
            for each in stalls
        )
        if attempt.is_executed and late > LATE_ATTEMPT_SLACK and not stood_still:
            text = f"{attempt.server} began it {late:.3f} s after the request's end, and ran it to its end"
            found.append(BrokenRule("lost", outcome.call, text))
    return found


def _slow_start_overload(start: ColdStart, attempts: list[Attempt]) -> list[BrokenRule]:
    """Returns a violation if soon after its start, the server received more than `max_requests` in a window.

    Soon means: the window ends less than two lengths of a window after discovery listed the server.
    """
    # Attempts are recorded when they are read, which may be in another order than they arrived in.
    times = sorted(each.at for each in attempts if each.server == start.server and each.at >= start.listed_at)
    first = 0
    for last, at in enumerate(times):
        while at - times[first] >= start.window:
            first += 1
        if last - first + 1 > start.max_requests and at - start.listed_at < start.window * 2:
            text = f"{last - first + 1} attempts in {start.window} s, {start.allowed:.1f} are allowed"
            return [BrokenRule("failback", start.server, text)]
    return []
