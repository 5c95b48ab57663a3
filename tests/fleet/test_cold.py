"""Engines that have just started, as many quiet gateways see them."""

import math
from collections import Counter

import pytest
from conftest import Host, S, engine

from lotusstream import interface as api


def test_many_gateways_give_cold_engines_their_part() -> None:
    """All others were taken to crowd a cold engine as they do a warm one: each gateway kept off, and so none
    came, while the warm ones drowned."""
    found: Counter[bool] = Counter()
    for number in range(20):
        host = Host(seed=number, gateway_count=20)
        host.engines(*(engine(name, started_at=(host.now if name % 2 else 0)) for name in range(1, 13)))
        host.pass_time(6 * S)
        sent = []
        for group in range(30):  # four a second: nothing is saved up for a cold engine
            host.pass_time(S // 4)
            sent.append(host.sends(host.take(group=group)))
        found.update(bool(send[0].endpoint_id[0] % 2) for send in sent[10:] if send)
    assert 0.1 < found[True] / found.total() < 0.35  # 0.3 to 1: 0.23


def test_what_a_cold_engine_gets_of_all_stays_in_its_budget() -> None:
    sent = 0
    for number in range(20):
        host = Host(seed=number, gateway_count=20)
        host.engines(*(engine(name, started_at=(host.now if name % 2 else 0)) for name in range(1, 13)))
        for group in range(100):
            command = host.take(group=group)
            sent += sum(send.endpoint_id == engine(1).id for send in host.sends(command))
            host.pass_time(S // 100)
    work = sent * S  # none has told its work: each is taken for twice its profile's guess
    assert work <= 3.0 * 0.3 * 8 * S


def falls(age: float) -> float:
    """Commands of a second's work that the settings allow a cold engine in a window, where it climbs slower
    than evenly from 0.3 in 15 s, and what the operators put down to chance. `age` in seconds."""
    n = 3.0 * (0.3 + 0.7 * (age / 15) ** 2) * 8
    return n + 2 * math.sqrt(n) + 2


def all_at_once(gateways: list[Host]) -> int:
    """Commands that the one engine gets where all turn to it in one moment."""
    return sum(len(host.sends(host.take(group=group))) for host in gateways for group in range(4))


def cold_fleet(seed: int, known_for: int) -> list[Host]:
    found = []
    for number in range(30):
        host = Host(seed=seed * 1000 + number, gateway_count=30)
        host.engines(engine(1, started_at=host.now - known_for))
        found.append(host)
    return found


def test_gateways_that_have_had_nothing_to_do_save_up_no_surge_for_a_cold_engine() -> None:
    """Each had saved its part of every moment since it was told, and then one moment was everyone's."""
    for seed in range(10):
        fleet = cold_fleet(seed, 0)
        for host in fleet:
            host.pass_time(6 * S + seed * S // 20)
        in_a_window = all_at_once(fleet)
        for _ in range(9):
            for host in fleet:
                host.pass_time(S // 10)
            in_a_window += all_at_once(fleet)
        assert in_a_window <= falls(6)


def test_gateways_that_have_just_restarted_add_no_second_budget_to_a_cold_engine() -> None:
    for seed in range(10):
        before = cold_fleet(seed, 0)
        in_a_window = 0
        for _ in range(5):
            in_a_window += all_at_once(before)
            for host in before:
                host.pass_time(S // 10)
        after = cold_fleet(100 + seed, S // 2)  # no memory, new seeds
        for _ in range(5):
            in_a_window += all_at_once(after)
            for host in after:
                host.pass_time(S // 10)
        assert in_a_window <= falls(0)


@pytest.mark.parametrize("clock_off", [-3600 * S, 0, 3600 * S])
def test_a_wall_clock_that_is_wrong_by_an_hour_forgets_no_slow_start(clock_off: int) -> None:
    """An engine that a list tells as just started looked warm where the clock ran an hour ahead, and cold for
    an hour where it ran behind."""
    host = Host(gateway_count=30)
    host.now += 2 * 3600 * S
    host.engines(engine(2))
    true_now = host.now - clock_off
    host.engines(engine(1, started_at=true_now - S), kind=api.EndpointListKind.DELTA)
    endpoint = host.gateway.endpoint_states.get(engine(1).id)
    assert host.gateway.slow_start.is_active(endpoint)
    host.pass_time(16 * S)
    host.tell()
    assert not host.gateway.slow_start.is_active(host.gateway.endpoint_states.get(engine(1).id))
