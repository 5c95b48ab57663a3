"""The side of the gateway that holds the lease: which engine is looked at when, and what is told."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream.healthcheck.reports import LONGEST, HealthCheckOptions, HealthReports, Row
from lotusstream.interface import EndpointId
from lotusstream.rendezvous import unit_hash

MISSES = 2  # looks in a row without an answer: one may be lost on the way

# Events


@dataclass(frozen=True, slots=True)
class Listed:
    """The engines that are to be examined, from now on."""

    engines: tuple[EndpointId, ...]


@dataclass(frozen=True, slots=True)
class Found:
    """A look has ended. `sure`: the machine itself says that nobody listens there."""

    engine: EndpointId
    answers: bool
    sure: bool = False


@dataclass(frozen=True, slots=True)
class Tick:
    pass


Event = Listed | Found | Tick

# Actions


@dataclass(frozen=True, slots=True)
class Look:
    engine: EndpointId


@dataclass(frozen=True, slots=True)
class Tell:
    news: HealthReports


Action = Look | Tell


@dataclass(slots=True)
class _Engine:
    due: int
    out: int | None = None  # since when a look is out
    misses: int = 0
    answers: bool | None = None
    since: int = 0


class HealthChecker:
    """One under each token. What an earlier one found is not taken over: every engine is looked at anew."""

    def __init__(self, token: int, terms: HealthCheckOptions, now: int) -> None:
        self._token, self._terms, self._now = token, terms, now
        self._engines: dict[EndpointId, _Engine] = {}
        self._number, self._told = 0, now
        self._changed = False

    def handle(self, now: int, event: Event) -> list[Action]:
        self._now = now = max(now, self._now)
        match event:
            case Listed(engines):
                self._list(engines)
            case Found():
                self._found(event)
        actions: list[Action] = [Look(engine) for engine in self._due()]
        if self._changed or now - self._told >= self._terms.every:  # the rest hear that somebody is there
            self._changed, self._told, self._number = False, now, self._number + 1
            actions.append(Tell(HealthReports(self._token, self._number, self._rows())))
        return actions

    @property
    def next_at(self) -> int:
        """When to say Tick next."""
        waiting = [each.due for each in self._engines.values() if each.out is None]
        return min([self._told + self._terms.every, *waiting])

    def _list(self, engines: tuple[EndpointId, ...]) -> None:
        known, every = self._engines, self._terms.every
        # spread: a fleet's engines are not all looked at in one moment
        self._engines = {
            engine: known.get(engine) or _Engine(self._now + int(unit_hash(engine, self._token) * every))
            for engine in engines
        }

    def _found(self, event: Found) -> None:
        if (engine := self._engines.get(event.engine)) is None:
            return
        engine.out = None
        engine.misses = 0 if event.answers else MISSES if event.sure else engine.misses + 1
        engine.due = self._now + (self._terms.soon if engine.misses else self._terms.every)
        answers = engine.misses < MISSES
        if engine.misses and answers:
            return  # one miss says nothing, in either direction
        if engine.answers is not answers:
            engine.answers, engine.since, self._changed = answers, self._now, True

    def _due(self) -> list[EndpointId]:
        """The longest due first, as many as may be out at a time."""
        lost = self._now - self._terms.old  # its look was never ended
        for each in self._engines.values():
            if each.out is not None and each.out < lost:
                each.out = None
        room = self._terms.most - sum(each.out is not None for each in self._engines.values())
        due = sorted(
            (each.due, engine)
            for engine, each in self._engines.items()
            if each.out is None and each.due <= self._now
        )
        chosen = [engine for _, engine in due[: max(0, room)]]
        for engine in chosen:
            self._engines[engine].out = self._now
        return chosen

    def _rows(self) -> tuple[Row, ...]:
        """Those that do not answer first: they are not left out."""
        told = [
            (each.answers, engine)
            for engine, each in self._engines.items()
            if each.answers is not None and (not each.answers or self._now - each.since < self._terms.old)
        ]
        return tuple(Row(engine, answers) for answers, engine in sorted(told)[:LONGEST])
