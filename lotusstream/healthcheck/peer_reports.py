"""The side of every gateway: whom it hears from, and what of the news its decision module is told."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.healthcheck.reports import HealthCheckOptions, HealthReports
from lotusstream.interface import EndpointId

# Events


@dataclass(frozen=True, slots=True)
class Heard:
    """`late`: microseconds for which whoever passed it on had kept it."""

    news: HealthReports
    late: int = 0


@dataclass(frozen=True, slots=True)
class Tick:
    pass


Event = Heard | Tick


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Asks this keeper to pass news on, for some time."""

    keeper: str


Action = Subscribe | api.PeerHealthReported


@dataclass(frozen=True, slots=True)
class Standing:
    """For people: under which token it was last said, how long ago, and which engines are silent."""

    token: int
    age: int
    silent: tuple[EndpointId, ...]


class PeerReports:
    def __init__(self, name: str, keepers: Sequence[str], terms: HealthCheckOptions, now: int) -> None:
        self._keepers, self._terms, self._now = tuple(keepers), terms, now
        self._turn = zlib.crc32(name.encode())  # so that not all hear from the same one
        self._heard, self._asked = now, now - terms.renewed
        self._newest = (0, 0)
        self._silent: dict[EndpointId, int] = {}  # engines said not to answer, and when that was last said

    def handle(self, now: int, event: Event) -> list[Action]:
        self._now = now = max(now, self._now)
        actions: list[Action] = []
        if isinstance(event, Heard):
            actions += self._hear(event)
        if now - self._heard > self._terms.old:  # this one is cut off, or nobody examines
            self._turn, self._heard, self._asked = self._turn + 1, now, now - self._terms.renewed
        if now - self._asked >= self._terms.renewed:
            self._asked = now
            actions.append(Subscribe(self._keepers[self._turn % len(self._keepers)]))
        self._silent = {engine: at for engine, at in self._silent.items() if now - at <= 2 * self._terms.old}
        return actions

    @property
    def standing(self) -> Standing:
        return Standing(self._newest[0], self._now - self._heard, tuple(sorted(self._silent)))

    def _hear(self, event: Heard) -> list[Action]:
        news = event.news
        if news.order <= self._newest or event.late > self._terms.old:
            return []  # of an earlier holder, said before, or too old to say anything
        self._newest, self._heard = news.order, self._now
        told: list[Action] = []
        for row in news.rows:
            if not row.answers:
                self._silent[row.engine] = self._now
                told.append(api.PeerHealthReported(row.engine, False))
            elif self._silent.pop(row.engine, None) is not None:
                # only one that was said not to answer: one that answers and does no work is no news
                told.append(api.PeerHealthReported(row.engine, True))
        return told
