"""What must hold of the decision module whatever comes: random requests, ends and lists, by seed."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import replace

import pytest
from conftest import LOOKUP, MS, PROFILES, Host, S, engine

from lotusstream import interface as api
from lotusstream.policy.catalog import Catalog

OUTCOMES = [api.Outcome.ANSWERED] * 8 + [
    api.Outcome.ERROR,
    api.Outcome.RESET,
    api.Outcome.FULL,
    api.Outcome.CONNECT_FAILED,
]


class RandomDay:
    """Requests, ends of attempts and changes of the list, drawn by a seed, on a virtual clock."""

    def __init__(self, seed: int, servers: int, gateways: int) -> None:
        self._draw = random.Random(seed)
        self._host = Host(seed=seed, gateway_count=gateways)
        self._queue: list[tuple[int, int, api.Event]] = []
        self._order = itertools.count()
        self._entries = [engine(1, id=b"s-%06d" % number, kind=number % 2) for number in range(servers)]
        self.attempts: Counter[int] = Counter()
        self.finals: Counter[int] = Counter()
        self.answered: set[int] = set()
        self.withdrawn: dict[api.EndpointId, int] = {}
        self.late: list[api.StartAttempt] = []

    def play(self, seconds: int) -> None:
        self._push(S, api.EndpointListReceived(api.EndpointListKind.SNAPSHOT, tuple(self._entries)))
        for number in range(seconds * 30):
            profile = self._draw.randrange(len(PROFILES))
            hint, group, key = (
                self._draw.randrange(50, 900) * MS,
                self._draw.randrange(30),
                self._draw.randrange(9),
            )
            arrived = api.RequestReceived(
                number, profile, hint, None, self._draw.choice((1, 3)) * S, group, key
            )
            self._push(S + number * S // 30, arrived)
        for second in range(1, seconds):
            self._push(S + second * S, self._news(S + second * S))
        while self._queue:
            now, _, event = heapq.heappop(self._queue)
            self._step(now, event)

    def _news(self, now: int) -> api.EndpointListReceived:
        """Some entries, the same one twice now and then; a whole list now and then."""
        changed = []
        for _ in range(4):
            entry = self._draw.choice(self._entries)
            state, started = self._draw.choice([*api.EndpointStatus]), self._draw.choice((0, now))
            changed.append(replace(entry, status=state, started_at=started))
        whole = self._draw.random() < 0.2
        entries = [*self._entries, *changed] if whole else changed
        return api.EndpointListReceived(
            api.EndpointListKind.SNAPSHOT if whole else api.EndpointListKind.DELTA, tuple(entries)
        )

    def _step(self, now: int, event: api.Event) -> None:
        self._host.now = now
        if isinstance(event, api.EndpointListReceived):
            self._note_states(event)
        if isinstance(event, api.AttemptEnded) and event.outcome is api.Outcome.ANSWERED:
            self.answered.add(event.request_id)
        seen = len(self._host.log)
        self._host.tell(event)
        for action in self._host.log[seen:]:
            self._carry_out(now, action)

    def _note_states(self, news: api.EndpointListReceived) -> None:
        latest = {entry.id: entry for entry in news.endpoints}
        for engine_id, entry in latest.items():
            if entry.status is api.EndpointStatus.READY:
                self.withdrawn.pop(engine_id, None)
            else:
                self.withdrawn[engine_id] = self._host.now

    def _carry_out(self, now: int, action: api.Action) -> None:
        match action:
            case api.SetTimer(at, token):
                self._push(max(at, now + 1), api.TimerFired(token))
            case api.StartAttempt(command, server, _):
                self.late += [action] if server in self.withdrawn else []
                number = self.attempts[command]
                self.attempts[command] += 1
                outcome, after = self._draw.choice(OUTCOMES), self._draw.randrange(20, 2000) * MS
                good = outcome is api.Outcome.ANSWERED
                ended = api.AttemptEnded(
                    command, number, server, outcome, after, good, None, None, None, good
                )
                self._push(now + after, ended)
            case api.RejectRequest(command) | api.FailRequest(command):
                self.finals[command] += 1

    def _push(self, at: int, event: api.Event) -> None:
        heapq.heappush(self._queue, (at, next(self._order), event))


@pytest.mark.parametrize(("servers", "gateways"), [(3, 1), (8, 4), (60, 1), (80, 200), (500, 30)])
def test_each_request_ends_once_and_nothing_goes_where_it_may_not(servers: int, gateways: int) -> None:
    for seed in range(2):
        day = RandomDay(seed, servers, gateways)
        day.play(8)
        assert not day.late
        assert max(day.finals.values(), default=0) <= 1
        assert set(range(240)) == day.answered | set(day.finals)


def test_an_entry_that_is_listed_twice_counts_as_its_last() -> None:
    catalog = Catalog(7, 1.0, lambda _kind: 8.0)
    domain = catalog.domain((None, None, None), lambda _entry: True)
    first, gone = engine(1), engine(1, status=api.EndpointStatus.REMOVED)
    catalog.apply([first, gone, first], complete=True)
    assert catalog.ready == len(domain) == 1
    catalog.apply([first, gone], complete=False)
    assert catalog.ready == len(domain) == 0 and not catalog.entries
    catalog.apply([gone, first], complete=False)
    assert catalog.ready == len(domain) == 1


def test_a_catalog_that_follows_changes_is_as_one_that_is_filled_anew() -> None:
    draw = random.Random(3)
    entries = [engine(1, id=b"s-%04d" % number, kind=number % 2, zone=number % 3) for number in range(400)]
    bound = replace(LOOKUP, kinds=frozenset({1}))
    followed = Catalog(7, 0.1, lambda kind: 4.0 + kind)
    domain = followed.domain((None, bound.kinds, None), bound.admits)
    followed.apply(entries, complete=True)
    for _ in range(200):
        at = draw.randrange(len(entries))
        state = draw.choice(
            [api.EndpointStatus.READY, api.EndpointStatus.DRAINING, api.EndpointStatus.REMOVED]
        )
        entries[at] = replace(entries[at], status=state, zone=draw.randrange(3))
        followed.apply([entries[at]], complete=False)
    anew = Catalog(7, 0.1, lambda kind: 4.0 + kind)
    anew.apply(entries, complete=True)
    fresh = anew.domain((None, bound.kinds, None), bound.admits)
    assert domain.first(400) == fresh.first(400) and domain.preferred == fresh.preferred
    assert followed.cores_by_class == anew.cores_by_class and followed.ready_cores == anew.ready_cores
