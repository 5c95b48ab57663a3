"""What many quiet gateways do alike: the lots that they draw, and what comes together from all of them."""

from collections import Counter
from dataclasses import replace

from conftest import BOUND, LOAD, LOOKUP, MS, PROFILES, Host, S, engine

from lotusstream import interface as api
from lotusstream.interface import Outcome
from lotusstream.rendezvous import unit_hash

ENGINES = [b"s-%08x" % (7919 * number * number % 2**32) for number in range(72)]
KINDS = (api.EndpointKind(8.0, 0.0), api.EndpointKind(12.0, 0.0))


def test_two_seeds_order_engines_independently() -> None:
    """CRC alone gave groups with like numbers the same engines: it is affine."""
    first = [min(ENGINES, key=lambda engine: unit_hash(engine, seed)) for seed in range(720)]
    found = Counter(first)
    assert len(found) == len(ENGINES) and max(found.values()) < 30  # of ten each; chance gives 20


def test_first_commands_of_many_gateways_spread_evenly_over_the_engines() -> None:
    """One command at each of 720 gateways, each of its own group: no engine has a multiple of its part."""
    found: Counter[api.EndpointId] = Counter()
    for number in range(720):
        host = Host(seed=number, gateway_count=200)
        host.engines(*(engine(1, id=name) for name in ENGINES))
        command = host.take(group=7 * number)
        found[host.sends(command)[0].endpoint_id] += 1
        host.end(command, Outcome.ANSWERED)
    assert max(found.values()) <= 25  # of ten each


def test_of_many_gateways_none_sees_the_widest_engines_as_the_least_crowded() -> None:
    """A command's own threads weigh less on a wider engine, at every gateway alike: all went there."""
    engines = [engine(1, id=name, kind=at % 2) for at, name in enumerate(ENGINES)]
    wide = 0
    for number in range(100):
        host = Host(seed=number, gateway_count=200, profiles=(LOAD,), kinds=KINDS)
        host.engines(*engines)
        for group in range(3):
            host.take(group=group)
        latest = host.take(group=4)
        wide += host.sends(latest)[0].endpoint_id in {entry.id for entry in engines if entry.kind}
    assert 40 <= wide <= 80  # of 60 by cores


def test_free_commands_spare_bound_engines_after_a_few_commands() -> None:
    """Not only from the next epoch on, 16 shortest targets later: half a day is over by then."""
    host = Host(gateway_count=200)
    host.engines(*(engine(1, id=name, kind=at % 2) for at, name in enumerate(ENGINES)))
    for group in range(32):
        host.end(host.take(profile=PROFILES.index(BOUND), group=group), Outcome.ANSWERED, after=MS)
        host.end(host.take(group=group), Outcome.ANSWERED, after=MS)
    free = [host.sends(host.take(group=group))[0].endpoint_id for group in range(100, 160)]
    assert sum(ENGINES.index(name) % 2 for name in free) < 20  # a third; half would be even


def test_what_profiles_ask_is_compared_over_one_span() -> None:
    """Each profile's sum went back four of its own client timeouts: bound work looked four times as much."""
    host = Host(gateway_count=200, profiles=(LOOKUP, replace(BOUND, client_timeout=25 * S)))
    host.engines(*(engine(1, id=name, kind=at % 2) for at, name in enumerate(ENGINES)))
    for second in range(100):
        for profile in (0, 0, 0, 0, 0, 1):
            command = host.take(profile=profile, group=second % 9, timeout=6 * S)
            host.end(command, Outcome.ANSWERED, after=100 * MS)
    host.engines(kind=api.EndpointListKind.DELTA)
    assert host.gateway.spare_capacity.ratios[0, 1] > 0.6  # a sixth of the work on half of the engines


def test_groups_of_many_gateways_fill_the_engines_evenly() -> None:
    """Where each group drew its homes by itself, some engines were home to many groups, others to none."""
    found: Counter[api.EndpointId] = Counter()
    for number in range(10):
        host = Host(seed=number, gateway_count=200)
        host.engines(*(engine(1, id=name) for name in ENGINES))
        for group in list(range(5, 201, 7)) * 5:
            command = host.take(group=group)
            found[host.sends(command)[0].endpoint_id] += 1
            host.end(command, Outcome.ANSWERED, after=MS)
    mean = found.total() / len(ENGINES)
    assert sum(found[name] < mean / 4 for name in ENGINES) <= 10  # 20 were home to none
    assert max(found.values()) < 3 * mean
