"""Poison requests are attributed to their tenants; counts decay and take bounded memory."""

from __future__ import annotations

import random

from conftest import S
from hypothesis import given
from hypothesis import strategies as st

from lotusstream import interface as api
from lotusstream.cells.heavy_hitters import HeavyHitters
from lotusstream.cells.poison_requests import PoisonRequestDetector, PoisonSettings

SETTINGS = PoisonSettings(
    fault_threshold=5.0, half_life=30 * S, quarantine_time=60 * S, quarantine_cell="ward"
)
ENDPOINT_IDS = [bytes([n] * 6) for n in range(4)]


def ended(
    engine: bytes, outcome: api.Outcome, work: int | None = 100, heard: bool = True
) -> api.AttemptEnded:
    return api.AttemptEnded(1, 0, engine, outcome, 100, True, work, None, None, heard)


def test_a_tenant_whose_requests_crash_their_endpoint_is_found_and_its_neighbours_are_not() -> None:
    """Each request of one tenant crashes its endpoint together with the attempts of three random others.
    Only the tenant that is there every time may be quarantined."""
    detector, now, rng = PoisonRequestDetector(SETTINGS), S, random.Random(3)
    tenants = [f"t{n}" for n in range(8)]
    for turn in range(400):
        now += S // 20
        engine, tenant = rng.choice(ENDPOINT_IDS), rng.choice(tenants)
        detector.attempt_started(now, tenant, engine)
        if turn % 10:
            detector.attempt_ended(now, tenant, ended(engine, api.Outcome.ANSWERED), 100)
            continue
        neighbours = rng.sample(tenants, 3)
        for each in neighbours:
            detector.attempt_started(now, each, engine)
        detector.attempt_started(now, "killer", engine)
        for each in (*neighbours, "killer", tenant):
            detector.attempt_ended(now, each, ended(engine, api.Outcome.RESET, heard=False), 100)
    found = list(detector.find_poisonous(now))
    assert [each.tenant for each in found] == ["killer"] and found[0].fault_ratio == 1.0
    assert not detector.has_recovered(now, "killer") and detector.has_recovered(now + 300 * S, "killer")


def test_errors_and_runaway_work_count_against_their_tenant_alone() -> None:
    """One tenant gets errors, or runs far more work than its hint, on an endpoint that it shares. The other
    tenant there must not be quarantined for it."""
    for outcome, work in ((api.Outcome.ERROR, None), (api.Outcome.ANSWERED, 1000)):
        detector = PoisonRequestDetector(SETTINGS)
        for turn in range(20):
            for tenant in ("feed", "good"):
                detector.attempt_started(S + turn, tenant, ENDPOINT_IDS[0])
                bad = tenant == "feed"
                event = ended(ENDPOINT_IDS[0], outcome if bad else api.Outcome.ANSWERED, work if bad else 100)
                detector.attempt_ended(S + turn, tenant, event, 100)
        assert [each.tenant for each in detector.find_poisonous(S + 30)] == ["feed"]


def test_no_tenant_is_poisonous_where_every_tenant_fails() -> None:
    """An endpoint fails every request. No tenant has a higher fault ratio than the others, so none is
    poisonous."""
    detector = PoisonRequestDetector(SETTINGS)
    for turn in range(200):
        tenant = f"t{turn % 10}"
        detector.attempt_started(S + turn, tenant, ENDPOINT_IDS[0])
        detector.attempt_ended(S + turn, tenant, ended(ENDPOINT_IDS[0], api.Outcome.ERROR), 100)
    assert list(detector.find_poisonous(S + 200)) == []


@given(st.lists(st.integers(0, 30), max_size=300), st.integers(1, 10))
def test_counts_lie_between_their_bounds_in_bounded_memory(who: list[int], most: int) -> None:
    """More tenants come than are counted. The bounds of each estimate must still hold the true decayed
    count: a wrong lower bound would quarantine an innocent tenant."""
    counts, true = HeavyHitters(most, 10 * S), dict[str, float]()
    for at, each in enumerate(who):
        now, tenant = at * S, str(each)
        counts.add(now, tenant, 1.0)
        true = {name: count * 0.5 ** (1 / 10) for name, count in true.items()} if at else true
        true[tenant] = true.get(tenant, 0.0) + 1.0
    now = max(0, len(who) - 1) * S
    assert len(counts) <= most
    for name, count in true.items():
        found = counts.estimate(now, name)
        assert found.lower_bound <= count + 1e-6 and (
            found.upper_bound == 0 or count <= found.upper_bound + 1e-6
        )


def test_counts_decay_over_a_long_time_without_overflow() -> None:
    """After a long time the scale of forward decay would overflow a float. It is brought back without a
    change of the counts."""
    counts = HeavyHitters(10, S)
    for at in range(5000):
        counts.add(at * S, "old" if at < 10 else "new", 1.0)
    assert (
        counts.estimate(5000 * S, "old").upper_bound < 1e-9
        and 0.9 < counts.estimate(4999 * S, "new").lower_bound < 2.1
    )
