"""Checks a ladder for levels that can't be entered, can't be left or oscillate, and for invalid profiles."""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from lotusstream.interface import Profile
from lotusstream.levels.condition import (
    can_hold_without_traffic,
    comparisons,
    find_overlap,
    implies,
    is_satisfiable,
)
from lotusstream.levels.ladder import Ladder, Level

# Least difference between the limits of a signal for entering and leaving, divided by the higher limit.
MIN_GAP_RATIO = 0.05


@dataclass(frozen=True, slots=True)
class LadderProblem:
    """An error in a ladder."""

    level: str | None  # name of the level; None: the problem belongs to no level
    directive: str  # keyword of the directive that is wrong
    message: str  # what is wrong
    hint: str  # how to correct it


def find_ladder_problems(ladder: Ladder) -> Iterator[LadderProblem]:
    """Yields the problems that can be found without the profiles of the deployment."""
    for index, level in enumerate(ladder.levels):
        yield from _check_enter(level)
        yield from _check_leave(level)
        yield from _check_hidden(level, ladder.levels[index + 1 :])
    for milder, level in itertools.pairwise(ladder.levels):
        yield from _check_admission_order(milder, level)
    yield from _check_initial_level(ladder)
    yield from _check_ramp(ladder)


def _is_reachable(level: Level) -> bool:
    return find_overlap(level.enter.expression, level.enter.expression) is not None


def _check_enter(level: Level) -> Iterator[LadderProblem]:
    if not _is_reachable(level):
        yield LadderProblem(
            level.name,
            "enter",
            "can't be reached: no state of the signals fulfils it",
            "widen the limits; a share is at most 100%, except that load, used and held have no maximum",
        )
        return
    overlap = find_overlap(level.enter.expression, level.leave.expression, MIN_GAP_RATIO)
    if overlap is not None:
        state = " and ".join(str(comparison) for comparison in dict.fromkeys(overlap))
        yield LadderProblem(
            level.name,
            "leave",
            f"overlaps the enter condition: the level would be entered and left repeatedly at {state}",
            f"let each alternative of leave contradict each alternative of enter by {MIN_GAP_RATIO:.0%} or"
            " more, as in enter load > 115%, leave load < 95%",
        )


def _check_leave(level: Level) -> Iterator[LadderProblem]:
    leave = level.leave.expression
    if find_overlap(leave, leave) is None:
        yield LadderProblem(
            level.name, "leave", "can't be fulfilled: the level would never end", "widen the limits"
        )
    elif not can_hold_without_traffic(leave):
        yield LadderProblem(
            level.name,
            "leave",
            "can't be fulfilled while no request finishes: held, late and shed are unknown then",
            "add 'or load < 50%', or leave by load, ready, cold or aside",
        )


def _check_hidden(level: Level, higher_levels: tuple[Level, ...]) -> Iterator[LadderProblem]:
    """Yields a problem for each higher level that is always entered in place of `level`: the enter condition
    of the higher level holds whenever that of `level` does, and its dwell time is not longer."""
    if not _is_reachable(level):
        return
    for higher in higher_levels:
        is_no_later = higher.enter.dwell <= level.enter.dwell
        if is_no_later and implies(level.enter.expression, higher.enter.expression):
            yield LadderProblem(
                level.name,
                "enter",
                f"can't be reached: '{higher.name}' is entered whenever this condition holds",
                f"enter '{higher.name}' at a higher limit or after a longer time",
            )


def _check_admission_order(milder: Level, level: Level) -> Iterator[LadderProblem]:
    for profile, admitted_ratio in milder.admit.items():
        if level.admit.get(profile, 1.0) > admitted_ratio:
            yield LadderProblem(
                level.name,
                "admit",
                f"admits more of {profile} than the milder level '{milder.name}'",
                f"admit {profile} {admitted_ratio:.0%} or less, or order the levels mildest first",
            )


def _check_initial_level(ladder: Ladder) -> Iterator[LadderProblem]:
    if ladder.initial is None or ladder.number_of(ladder.initial.level) is not None:
        return
    names = ", ".join(ladder.names())
    yield LadderProblem(None, "start", f"no level is called '{ladder.initial.level}'", f"one of {names}")


def _check_ramp(ladder: Ladder) -> Iterator[LadderProblem]:
    conjunction = tuple(comparisons(ladder.ramp_condition))
    if not is_satisfiable(conjunction):
        yield LadderProblem(
            None, "ramp", f"never holds: {' and '.join(map(str, conjunction))}", "widen the limits"
        )


def find_profile_problems(ladder: Ladder, profiles: Mapping[str, Profile]) -> Iterator[LadderProblem]:
    """Yields the problems that depend on the profiles of the deployment.

    :param ladder: the ladder to check
    :param profiles: the profiles by name
    """
    unknown = [
        profile_mention
        for profile_mention in ladder.profile_mentions()
        if profile_mention.profile not in profiles
    ]
    for profile_mention in unknown:
        level_name = profile_mention.level.name if profile_mention.level else None
        message = f"no profile is called '{profile_mention.profile}'"
        yield LadderProblem(level_name, profile_mention.directive, message, f"one of {', '.join(profiles)}")
    if unknown:
        return
    for level in ladder.levels:
        if not level.despite_benefit:
            yield from _check_benefit_order(level, profiles)


def _check_benefit_order(level: Level, profiles: Mapping[str, Profile]) -> Iterator[LadderProblem]:
    """Yields a problem for each profile that the level reduces more than another one with a lower benefit per
    work. The benefit per work is the priority weight divided by the work of a request that runs for its whole
    latency objective."""
    benefit = {
        name: profile.priority_weight / (profile.latency_objective * profile.threads)
        for name, profile in profiles.items()
    }
    admitted = {name: level.admit.get(name, 1.0) for name in profiles}
    for reduced in profiles:
        preferred = [
            name
            for name in profiles
            if admitted[name] > admitted[reduced] and benefit[name] < benefit[reduced]
        ]
        if preferred:
            yield LadderProblem(
                level.name,
                "admit",
                f"reduces {reduced} more than {preferred[0]}, which has less benefit per work",
                f"admit no more of {preferred[0]} than of {reduced}, or write despite-benefit",
            )
