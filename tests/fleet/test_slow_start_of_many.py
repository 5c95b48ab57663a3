"""Slow start as many gateways with little traffic each bring it about."""

import math
from collections import Counter

import pytest
from conftest import PolicyHost, S, endpoint_entry

from lotusstream import interface as api


def test_many_gateways_give_endpoints_in_slow_start_their_share() -> None:
    """Each gateway assumed that others crowd an endpoint in slow start as they do a warm one. So none sent it
    anything, while the warm ones were overloaded."""
    counts: Counter[bool] = Counter()
    for number in range(20):
        host = PolicyHost(seed=number, gateway_count=20)
        host.list_endpoints(
            *(endpoint_entry(name, started_at=(host.now if name % 2 else 0)) for name in range(1, 13))
        )
        host.pass_time(6 * S)
        sent = []
        for group in range(30):  # four a second: no budget is saved up
            host.pass_time(S // 4)
            sent.append(host.attempts(host.receive(group=group)))
        counts.update(bool(attempts[0].endpoint_id[0] % 2) for attempts in sent[10:] if attempts)
    assert 0.1 < counts[True] / counts.total() < 0.35  # 0.3 to 1: 0.23


def test_what_all_gateways_send_to_an_endpoint_in_slow_start_stays_in_its_budget() -> None:
    """An endpoint does not know who sent what: all gateways together must stay within its budget."""
    sent = 0
    for number in range(20):
        host = PolicyHost(seed=number, gateway_count=20)
        host.list_endpoints(
            *(endpoint_entry(name, started_at=(host.now if name % 2 else 0)) for name in range(1, 13))
        )
        for group in range(100):
            request = host.receive(group=group)
            sent += sum(attempt.endpoint_id == endpoint_entry(1).id for attempt in host.attempts(request))
            host.pass_time(S // 100)
    work = sent * S  # no work is reported: each counts as twice the initial estimate
    assert work <= 3.0 * 0.3 * 8 * S


def overload_bound(age: float) -> float:
    """Returns the requests of a second's work that the settings allow in a window of slow start, where
    capacity rises slower than linearly from 0.3 in 15 s, with what operators put down to chance.

    `age`: seconds since it started.
    """
    expected = 3.0 * (0.3 + 0.7 * (age / 15) ** 2) * 8
    return expected + 2 * math.sqrt(expected) + 2


def send_from_all(gateways: list[PolicyHost]) -> int:
    """Returns the requests that the only endpoint gets where all gateways turn to it in one moment."""
    return sum(len(host.attempts(host.receive(group=group))) for host in gateways for group in range(4))


def fleet_with_new_endpoint(seed: int, known_for: int) -> list[PolicyHost]:
    hosts = []
    for number in range(30):
        host = PolicyHost(seed=seed * 1000 + number, gateway_count=30)
        host.list_endpoints(endpoint_entry(1, started_at=host.now - known_for))
        hosts.append(host)
    return hosts


def test_idle_gateways_save_up_no_budget_for_an_endpoint_in_slow_start() -> None:
    """Each had saved up its part of the budget since the endpoint was listed, and then all sent at once."""
    for seed in range(10):
        fleet = fleet_with_new_endpoint(seed, 0)
        for host in fleet:
            host.pass_time(6 * S + seed * S // 20)
        sent_in_window = send_from_all(fleet)
        for _ in range(9):
            for host in fleet:
                host.pass_time(S // 10)
            sent_in_window += send_from_all(fleet)
        assert sent_in_window <= overload_bound(6)


def test_restarted_gateways_add_no_second_budget_for_an_endpoint_in_slow_start() -> None:
    """Restarted gateways do not know what they sent to the endpoint before."""
    for seed in range(10):
        before = fleet_with_new_endpoint(seed, 0)
        sent_in_window = 0
        for _ in range(5):
            sent_in_window += send_from_all(before)
            for host in before:
                host.pass_time(S // 10)
        after = fleet_with_new_endpoint(100 + seed, S // 2)  # no memory, new seeds
        for _ in range(5):
            sent_in_window += send_from_all(after)
            for host in after:
                host.pass_time(S // 10)
        assert sent_in_window <= overload_bound(0)


@pytest.mark.parametrize("clock_off", [-3600 * S, 0, 3600 * S])
def test_a_wall_clock_that_is_wrong_by_an_hour_forgets_no_slow_start(clock_off: int) -> None:
    """An endpoint that had just started looked warm where the clock ran an hour ahead, and was in slow start
    for an hour where it ran behind."""
    host = PolicyHost(gateway_count=30)
    host.now += 2 * 3600 * S
    host.list_endpoints(endpoint_entry(2))
    true_now = host.now - clock_off
    host.list_endpoints(endpoint_entry(1, started_at=true_now - S), kind=api.EndpointListKind.DELTA)
    endpoint = host.gateway.endpoint_states.get(endpoint_entry(1).id)
    assert host.gateway.slow_start.is_active(endpoint)
    host.pass_time(16 * S)
    host.handle()
    assert not host.gateway.slow_start.is_active(host.gateway.endpoint_states.get(endpoint_entry(1).id))
