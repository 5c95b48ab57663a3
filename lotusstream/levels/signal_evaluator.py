"""From facts to signals: what was asked, what came of it, and what the engines are seen to do."""

from __future__ import annotations

import math
from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.levels.signals import Key, Value
from lotusstream.sliding_window import SlidingWindow

BUCKETS = 16
SATURATED = 1.5  # threads a core, from which on an engine does all that it can
RATE_MEMORY = 6  # windows over which it is learnt what a core does
RATE_PRIOR = 1.0  # windows of all cores that the guess of one core's work a core weighs
WORK_MEMORY = 6  # windows over which a profile's usual work is learnt, for commands without a hint
MOST_LISTED_MEMORY = 30  # windows that the most listed cores are remembered for
WATCHED_LEAST = 0.5  # part of a window that has to have been watched for anything to be known
NO_BREAK = 8  # longest step between two ticks that counts as watched, in ticks
STALE = 0.3  # windows after which beliefs and the gateway's own health say nothing


@dataclass(frozen=True, slots=True)
class Health:
    """The gateway's own state: shares of its core, memory and descriptors, and the loop's longest stall
    since the last of these, microseconds. None where it isn't known."""

    core: float | None
    memory: float | None
    descriptors: float | None
    stall: int | None


@dataclass(slots=True)
class Asking:
    """An open command. `held`: not sent yet."""

    profile: int
    at: int
    due: int
    work: float
    held: bool = True


class SignalEvaluator:
    """`saw` takes facts as they come, `tick` lets time pass, `values` tells the signals."""

    def __init__(self, started: api.GatewayStarted, names: tuple[str, ...], window: int, every: int) -> None:
        self._given, self._names, self._window, self._longest = started, names, window, NO_BREAK * every
        many = range(len(names))

        def rings(windows: int = 1) -> list[SlidingWindow]:
            return [SlidingWindow(windows * window, BUCKETS) for _ in many]

        self._asked, self._cut, self._held, self._late, self._shed = (rings() for _ in range(5))
        self._works = rings(WORK_MEMORY)
        self._watched = SlidingWindow(window, BUCKETS)
        self._rate = SlidingWindow(
            RATE_MEMORY * window, BUCKETS
        )  # amount: work done; count: core time of saturated engines
        self._most = [[-1, 0.0] for _ in range(BUCKETS)]  # most cores listed, by bucket
        self._open: dict[int, Asking] = {}
        self._out: dict[tuple[int, int], tuple[api.EndpointId, float]] = {}
        self._done: dict[api.EndpointId, float] = {}  # since the last tick
        self._sends: dict[int, int] = {}
        self._broke: set[api.EndpointId] = set()  # last seen to refuse or reset, not to be slow
        self._believed: tuple[int, api.GatewaySnapshot] | None = None
        self._health: tuple[int, Health] | None = None
        self._last: int | None = None

    # Facts

    def saw(self, now: int, fact: object) -> None:
        match fact:
            case api.RequestReceived():
                self._arrived(now, fact)
            case api.StartAttempt(command, engine):
                self._sent(now, command, engine)
            case api.AttemptEnded():
                self._ended(now, fact)
            case api.RejectRequest(command, _, reduced):
                self._given_up(now, command, by_level=reduced, shed=True)
            case api.FailRequest(command):
                self._given_up(now, command, by_level=False, shed=False)
            case api.ClientDisconnected(command):
                if (asking := self._forget(command)) is not None and now >= asking.due:
                    self._late[asking.profile].add(now, 1.0)
            case api.GatewaySnapshot():
                self._believed = (now, fact)
                self._list(now, fact)
            case Health():
                self._health = (now, fact)

    def begun_anew(self) -> None:
        """The module knows nothing any more, and all that was open has failed."""
        for kept in (self._open, self._out, self._sends, self._done):
            kept.clear()

    def _arrived(self, now: int, fact: api.RequestReceived) -> None:
        profile, usual = self._given.profiles[fact.profile], self._usual(now, fact.profile)
        work = float(
            fact.work_hint or usual
        )  # a hint that is wrong is so in what is asked and what is done alike
        stretch = profile.objective_stretch * work / profile.threads
        due = int(now + min(profile.latency_objective + stretch, fact.client_timeout))
        self._open[fact.request_id] = Asking(fact.profile, now, due, work)
        self._asked[fact.profile].add(now, work)

    def _usual(self, now: int, at: int) -> float:
        profile = self._given.profiles[at]
        return self._works[at].mean(now, profile.latency_objective * profile.threads / 2, 1.0)

    def _sent(self, now: int, command: int, engine: api.EndpointId) -> None:
        number = self._sends.get(command, 0)
        self._sends[command] = number + 1
        asking = self._open.get(command)
        if asking is None:
            return
        self._out[command, number] = (engine, asking.work)
        if asking.held:
            asking.held = False
            self._held[asking.profile].add(
                now, (now - asking.at) / self._given.profiles[asking.profile].latency_objective
            )

    def _ended(self, now: int, fact: api.AttemptEnded) -> None:
        engine, work = self._out.pop((fact.request_id, fact.attempt), (fact.endpoint_id, 0.0))
        if fact.outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET) and not fact.endpoint_responded:
            self._broke.add(engine)
        elif fact.endpoint_responded:
            self._broke.discard(engine)
        asking = self._open.get(fact.request_id)
        if fact.outcome is api.Outcome.ANSWERED:
            self._done[engine] = self._done.get(engine, 0.0) + work
            if asking is not None:
                self._late[asking.profile].add(now, float(now > asking.due))
                self._shed[asking.profile].add(now, 0.0)
                if fact.work:
                    usual = self._usual(now, asking.profile)
                    seen = min(float(fact.work), 4 * usual)  # one bad plan says little of the usual
                    self._works[asking.profile].add(now, seen)
        if (fact.request_finished or fact.outcome is api.Outcome.ANSWERED) and asking is not None:
            self._forget(fact.request_id)
        elif asking is None:
            self._tidy(fact.request_id)

    def _given_up(self, now: int, command: int, *, by_level: bool, shed: bool) -> None:
        asking = self._forget(command)
        if asking is None:
            return
        if by_level:
            self._cut[asking.profile].add(now, asking.work)
            return
        self._late[asking.profile].add(now, float(not shed))
        self._shed[asking.profile].add(now, float(shed))
        if asking.held:
            target = self._given.profiles[asking.profile].latency_objective
            self._held[asking.profile].add(now, (now - asking.at) / target)

    def _forget(self, command: int) -> Asking | None:
        asking = self._open.pop(command, None)
        self._tidy(command)
        return asking

    def _tidy(self, command: int) -> None:
        if not any((command, number) in self._out for number in range(self._sends.get(command, 0))):
            self._sends.pop(command, None)

    def _list(self, now: int, believed: api.GatewaySnapshot) -> None:
        self._broke &= {belief.endpoint_id for belief in believed.endpoints}
        width = max(1, MOST_LISTED_MEMORY * self._window // BUCKETS)
        slot = self._most[now // width % BUCKETS]
        if slot[0] != now // width:
            slot[:] = [now // width, 0.0]
        slot[1] = max(slot[1], sum(belief.cores for belief in believed.endpoints))

    # Time

    def tick(self, now: int) -> bool:
        """False where the time since the last tick was not watched: a stalled loop, a machine that slept."""
        step, self._last = now - (self._last if self._last is not None else now), now
        watched = 0 <= step <= self._longest
        if watched:
            self._watched.add(now, float(step))
            if self._believed is not None:
                share = self._believed[1].share
                for belief in self._believed[1].endpoints:
                    if belief.threads >= max(1.0, SATURATED * belief.cores * share):
                        done = self._done.get(belief.endpoint_id, 0.0)
                        self._rate.add(now, done, belief.cores * share * step)
        self._done.clear()
        return watched

    # Signals

    def values(self, now: int) -> dict[Key, Value | None]:
        watched = self._watched.total(now)[0]
        known = watched >= WATCHED_LEAST * self._window
        believed = self._fresh(now, self._believed) if known else None
        values: dict[Key, Value | None] = {}
        self._health_values(now, values)
        self._engine_values(now, believed, values)
        self._work_values(now, believed, watched if known else 0.0, values)
        self._outcome_values(now, values)
        return values

    def _fresh(self, now: int, told: tuple[int, api.GatewaySnapshot] | None) -> api.GatewaySnapshot | None:
        return told[1] if told is not None and now - told[0] <= STALE * self._window else None

    def _health_values(self, now: int, values: dict[Key, Value | None]) -> None:
        told = self._health
        health = told[1] if told is not None and now - told[0] <= STALE * self._window else None
        for name in ("core", "memory", "descriptors", "stall"):
            number = getattr(health, name) if health else None
            values[name, None] = None if number is None else Value(float(number), 1)

    def _engine_values(
        self, now: int, believed: api.GatewaySnapshot | None, values: dict[Key, Value | None]
    ) -> None:
        for name in ("ready", "cold", "aside"):
            values[name, None] = None
        if believed is None:
            return
        listed = [belief for belief in believed.endpoints if belief.status is not api.EndpointStatus.REMOVED]
        usable = [belief for belief in listed if _usable(belief)]
        width = max(1, MOST_LISTED_MEMORY * self._window // BUCKETS)
        most = max((slot[1] for slot in self._most if slot[0] > now // width - BUCKETS), default=0.0)
        if most:
            values["ready", None] = Value(min(1.0, _cores(usable) / most), len(listed))
        if usable:
            cold = [belief for belief in usable if belief.slow_start_until is not None]
            values["cold", None] = Value(_cores(cold) / _cores(usable), len(usable))
        if listed:
            aside = [belief for belief in listed if belief.ejected_until is not None]
            values["aside", None] = Value(_cores(aside) / _cores(listed), len(listed))

    def standing_cores(self, now: int) -> float | None:
        """Cores of listed engines that are not seen to be gone: one that is set aside since it says
        nothing may only be jammed, and a jam is no lost engine."""
        believed = self._fresh(now, self._believed)
        if believed is None:
            return None
        ready = [b for b in believed.endpoints if b.status is api.EndpointStatus.READY]
        return _cores([b for b in ready if b.ejected_until is None or b.endpoint_id not in self._broke])

    def _work_values(
        self, now: int, believed: api.GatewaySnapshot | None, watched: float, values: dict[Key, Value | None]
    ) -> None:
        asked = [ring.total(now) for ring in self._asked]
        cut = [ring.total(now) for ring in self._cut]
        counts = [count for _, count in asked]
        for at, name in enumerate(self._names):
            values["asked", name] = Value(counts[at] * 1e6 / watched, counts[at]) if watched else None
        values["asked", None] = Value(sum(counts) * 1e6 / watched, sum(counts)) if watched else None
        for key in ("load", "used"):
            values[key, None] = None
            for name in self._names:
                values[key, name] = None
        if believed is None or not watched:
            return
        rate, profiles = self._work_rate(now, believed), self._given.profiles
        usable = [belief for belief in believed.endpoints if _usable(belief)]
        able = {
            belief.endpoint_id: rate * believed.share * belief.cores * self._warmth(now, belief)
            for belief in usable
        }
        places = [frozenset(b.endpoint_id for b in usable if _open_to(profile, b)) for profile in profiles]
        for key, works in (
            ("load", asked),
            ("used", [(a - c, n - m) for (a, n), (c, m) in zip(asked, cut, strict=True)]),
        ):
            served = [at for at in range(len(profiles)) if places[at]]
            if not served:
                return
            values[key, None] = self._over(works, served, sum(able.values()), watched)
            for at in served:
                inside = [other for other in served if places[other] <= places[at]]
                can = sum(able[engine] for engine in places[at])
                values[key, self._names[at]] = self._over(works, inside, can, watched)

    @staticmethod
    def _over(
        works: list[tuple[float, float]], which: list[int], able: float, watched: float
    ) -> Value | None:
        if able <= 0:
            return None
        return Value(sum(works[at][0] for at in which) / watched / able, sum(works[at][1] for at in which))

    def _work_rate(self, now: int, believed: api.GatewaySnapshot) -> float:
        """Work that a core does in a time, learnt from engines that had all they could do."""
        cores = _cores([belief for belief in believed.endpoints if belief.status is api.EndpointStatus.READY])
        weight = max(1.0, RATE_PRIOR * self._window * cores * believed.share)
        return self._rate.mean(now, 1.0, weight)

    def _warmth(self, now: int, belief: api.EndpointSnapshot) -> float:
        """The part of its work that an engine which still warms up is taken to do."""
        duties = self._given.rule_limits
        if belief.slow_start_until is None or not duties.slow_start_duration:
            return 1.0
        left = min(1.0, max(0.0, (belief.slow_start_until - now) / duties.slow_start_duration))
        return 1.0 - left * (1.0 - duties.slow_start_initial_ratio)

    def _outcome_values(self, now: int, values: dict[Key, Value | None]) -> None:
        waiting: dict[int, list[float]] = {}
        for asking in self._open.values():
            if asking.held:
                age = (now - asking.at) / self._given.profiles[asking.profile].latency_objective
                waiting.setdefault(asking.profile, []).append(age)
        held = []
        for at, ring in enumerate(self._held):
            amount, count = ring.total(now)
            held.append((amount + sum(waiting.get(at, ())), count + len(waiting.get(at, ()))))
        self._shares("held", held, [1.0] * len(held), values)
        benefits = [profile.priority_weight for profile in self._given.profiles]
        for name, rings in (("late", self._late), ("shed", self._shed)):
            self._shares(name, [ring.total(now) for ring in rings], benefits, values)

    def _shares(
        self,
        name: str,
        parts: list[tuple[float, float]],
        weights: list[float],
        values: dict[Key, Value | None],
    ) -> None:
        for (amount, count), profile in zip(parts, self._names, strict=True):
            values[name, profile] = Value(amount / count, count) if count else None
        weight = math.fsum(w * count for (_, count), w in zip(parts, weights, strict=True))
        amount = math.fsum(w * part for (part, _), w in zip(parts, weights, strict=True))
        values[name, None] = Value(amount / weight, sum(count for _, count in parts)) if weight else None


def _usable(belief: api.EndpointSnapshot) -> bool:
    return belief.status is api.EndpointStatus.READY and belief.ejected_until is None


def _cores(beliefs: list[api.EndpointSnapshot]) -> float:
    return math.fsum(belief.cores for belief in beliefs)


def _open_to(profile: api.Profile, belief: api.EndpointSnapshot) -> bool:
    return (profile.zones is None or belief.zone in profile.zones) and (
        profile.kinds is None or belief.kind in profile.kinds
    )
