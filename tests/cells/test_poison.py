"""Blame falls on who harms, fades, and takes bounded memory."""

from __future__ import annotations

import random

from conftest import S
from hypothesis import given
from hypothesis import strategies as st

from lotusstream import interface as api
from lotusstream.cells.heavy_hitters import HeavyHitters
from lotusstream.cells.poison_requests import PoisonRequestDetector, PoisonSettings

TERMS = PoisonSettings(fault_threshold=5.0, half_life=30 * S, quarantine_time=60 * S, quarantine_cell="ward")
ENGINES = [bytes([n] * 6) for n in range(4)]


def ended(
    engine: bytes, outcome: api.Outcome, work: int | None = 100, heard: bool = True
) -> api.AttemptEnded:
    return api.AttemptEnded(1, 0, engine, outcome, 100, True, work, None, None, heard)


def test_a_tenant_whose_every_command_kills_its_engine_is_found_and_its_neighbours_are_not() -> None:
    judge, now, rng = PoisonRequestDetector(TERMS), S, random.Random(3)
    tenants = [f"t{n}" for n in range(8)]
    for turn in range(400):
        now += S // 20
        engine, tenant = rng.choice(ENGINES), rng.choice(tenants)
        judge.attempt_started(now, tenant, engine)
        if turn % 10:
            judge.attempt_ended(now, tenant, ended(engine, api.Outcome.ANSWERED), 100)
            continue
        neighbours = rng.sample(tenants, 3)
        for each in neighbours:
            judge.attempt_started(now, each, engine)
        judge.attempt_started(now, "killer", engine)
        for each in (*neighbours, "killer", tenant):
            judge.attempt_ended(now, each, ended(engine, api.Outcome.RESET, heard=False), 100)
    found = list(judge.find_poisonous(now))
    assert [each.tenant for each in found] == ["killer"] and found[0].fault_ratio == 1.0
    assert not judge.has_recovered(now, "killer") and judge.has_recovered(now + 300 * S, "killer")


def test_errors_and_work_that_runs_away_are_blamed_on_their_tenant_alone() -> None:
    for outcome, work in ((api.Outcome.ERROR, None), (api.Outcome.ANSWERED, 1000)):
        judge = PoisonRequestDetector(TERMS)
        for turn in range(20):
            for tenant in ("feed", "good"):
                judge.attempt_started(S + turn, tenant, ENGINES[0])
                bad = tenant == "feed"
                event = ended(ENGINES[0], outcome if bad else api.Outcome.ANSWERED, work if bad else 100)
                judge.attempt_ended(S + turn, tenant, event, 100)
        assert [each.tenant for each in judge.find_poisonous(S + 30)] == ["feed"]


def test_where_everyone_fails_nobody_is_to_blame() -> None:
    judge = PoisonRequestDetector(TERMS)
    for turn in range(200):
        tenant = f"t{turn % 10}"
        judge.attempt_started(S + turn, tenant, ENGINES[0])
        judge.attempt_ended(S + turn, tenant, ended(ENGINES[0], api.Outcome.ERROR), 100)
    assert list(judge.find_poisonous(S + 200)) == []


@given(st.lists(st.integers(0, 30), max_size=300), st.integers(1, 10))
def test_blame_is_never_less_than_certain_nor_more_than_most_and_takes_bounded_memory(
    who: list[int], most: int
) -> None:
    blame, true = HeavyHitters(most, 10 * S), dict[str, float]()
    for at, each in enumerate(who):
        now, tenant = at * S, str(each)
        blame.add(now, tenant, 1.0)
        true = {name: count * 0.5 ** (1 / 10) for name, count in true.items()} if at else true
        true[tenant] = true.get(tenant, 0.0) + 1.0
    now = max(0, len(who) - 1) * S
    assert len(blame) <= most
    for name, count in true.items():
        found = blame.estimate(now, name)
        assert found.lower_bound <= count + 1e-6 and (
            found.upper_bound == 0 or count <= found.upper_bound + 1e-6
        )


def test_blame_fades_over_years_without_losing_its_order() -> None:
    blame = HeavyHitters(10, S)
    for at in range(5000):
        blame.add(at * S, "old" if at < 10 else "new", 1.0)
    assert (
        blame.estimate(5000 * S, "old").upper_bound < 1e-9
        and 0.9 < blame.estimate(4999 * S, "new").lower_bound < 2.1
    )
