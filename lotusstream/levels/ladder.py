"""A ladder of levels as an operator wrote it, and whether it is sound."""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from lotusstream.interface import Profile, RetriesAllowed
from lotusstream.levels.condition import (
    Condition,
    Expression,
    comparisons,
    ends_in_silence,
    implies,
    overlap,
    possible,
)

LEAST_GAP = 0.05  # of the entering limit, between entering and leaving
FULL_SERVICE = "full"  # the name of no reduction


@dataclass(frozen=True, slots=True)
class Level:
    """One rung. `admit`: least admitted part by profile, 0 to 1. `stay`: least time here, microseconds.
    `formerly`: the name it had in an earlier ladder. `despite_benefit`: told to reduce more benefit per
    work before less."""

    name: str
    enter: Condition
    leave: Condition
    stay: int
    admit: Mapping[str, float] = field(default_factory=dict)
    further: RetriesAllowed = RetriesAllowed.ALL
    advice: int | None = None
    priorities: Mapping[str, int] = field(default_factory=dict)
    formerly: str | None = None
    despite_benefit: bool = False


@dataclass(frozen=True, slots=True)
class Start:
    """The level after a start, and for how long at least, microseconds."""

    level: str
    span: int


@dataclass(frozen=True, slots=True)
class Ladder:
    """Mildest level first. `quiet`: least time between two changes. `window`: the span that signals are
    taken over. `ramp`: time from no admission to all; 0: none, admission stays as written. `ramp_while`:
    when there is room for it. `lost`: share of the usable cores whose loss permits a step up within
    `quiet`."""

    levels: tuple[Level, ...]
    quiet: int
    window: int
    ramp: int
    ramp_while: Expression
    lost: float
    start: Start | None = None

    def rung(self, name: str) -> int | None:
        """0 is full service."""
        if name == FULL_SERVICE:
            return 0
        return next((at for at, level in enumerate(self.levels, 1) if level.name == name), None)

    def name(self, rung: int) -> str:
        return self.levels[rung - 1].name if rung else FULL_SERVICE

    def profiles(self) -> Iterator[tuple[Level | None, str, str]]:
        """Each profile that is named: the level, the directive, the profile."""
        for level in self.levels:
            for directive, named in (("admit", level.admit), ("priority", level.priorities)):
                yield from ((level, directive, profile) for profile in named)
            for directive, condition in (("enter", level.enter), ("leave", level.leave)):
                for each in comparisons(condition.what):
                    if each.key[1] is not None:
                        yield level, directive, each.key[1]
        for each in comparisons(self.ramp_while):
            if each.key[1] is not None:
                yield None, "ramp", each.key[1]


@dataclass(frozen=True, slots=True)
class LadderError:
    """What is wrong, at which directive of which level, and what would do."""

    level: str | None
    directive: str
    what: str
    hint: str


def unsound(ladder: Ladder) -> Iterator[LadderError]:
    """What can be told without the gateway's profiles."""
    for at, level in enumerate(ladder.levels):
        enter, leave = level.enter.what, level.leave.what
        reachable = overlap(enter, enter) is not None
        if not reachable:
            yield LadderError(
                level.name,
                "enter",
                "can't be reached: no state of the signals fulfils it",
                "widen the limits; a share ends at 100% unless it is load, used or held",
            )
        elif (both := overlap(enter, leave, LEAST_GAP)) is not None:
            state = " and ".join(str(each) for each in dict.fromkeys(both))
            yield LadderError(
                level.name,
                "leave",
                f"overlaps entering: the level would swing at {state}",
                f"let every way out contradict every way in by {LEAST_GAP:.0%} at least, as in enter"
                " load > 115%, leave load < 95%",
            )
        if overlap(leave, leave) is None:
            yield LadderError(
                level.name, "leave", "can't be fulfilled: the level would never end", "widen the limits"
            )
        elif not ends_in_silence(leave):
            yield LadderError(
                level.name,
                "leave",
                "can't be fulfilled while nothing is asked: held, late and shed are unknown then",
                "add 'or load < 50%', or leave by load, ready, cold or aside",
            )
        for higher in ladder.levels[at + 1 :]:
            if reachable and higher.enter.dwell <= level.enter.dwell and implies(enter, higher.enter.what):
                yield LadderError(
                    level.name,
                    "enter",
                    f"can't be reached: '{higher.name}' is entered wherever it is",
                    f"enter '{higher.name}' at a higher limit or after a longer time",
                )
    for milder, level in itertools.pairwise(ladder.levels):
        for profile, part in milder.admit.items():
            if level.admit.get(profile, 1.0) > part:
                yield LadderError(
                    level.name,
                    "admit",
                    f"admits more of {profile} than '{milder.name}' below it",
                    f"admit {profile} {part:.0%} or less, or order the levels mildest first",
                )
    if ladder.start is not None and ladder.rung(ladder.start.level) is None:
        names = ", ".join([FULL_SERVICE, *(level.name for level in ladder.levels)])
        yield LadderError(None, "start", f"no level is called '{ladder.start.level}'", f"one of {names}")
    for each in (together for together in [tuple(comparisons(ladder.ramp_while))] if not possible(together)):
        yield LadderError(None, "ramp", f"never: {' and '.join(map(str, each))}", "widen the limits")


def unsound_for(ladder: Ladder, profiles: Mapping[str, Profile]) -> Iterator[LadderError]:
    """What can be told once the gateway's profiles are known."""
    known = ", ".join(profiles)
    missing = False
    for level, directive, profile in ladder.profiles():
        if profile not in profiles:
            missing = True
            name = level.name if level else None
            yield LadderError(name, directive, f"no profile is called '{profile}'", f"one of {known}")
    if missing:
        return
    worth = {
        name: profile.priority_weight / (profile.latency_objective * profile.threads)
        for name, profile in profiles.items()
    }
    for level in ladder.levels:
        if level.despite_benefit:
            continue
        admitted = {name: level.admit.get(name, 1.0) for name in profiles}
        for dear in profiles:
            cheap = [
                name for name in profiles if admitted[name] > admitted[dear] and worth[name] < worth[dear]
            ]
            if cheap:
                yield LadderError(
                    level.name,
                    "admit",
                    f"reduces {dear} before {cheap[0]}, which brings less benefit for its work",
                    f"admit no more of {cheap[0]} than of {dear}, or write despite-benefit",
                )
