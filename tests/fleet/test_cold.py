"""Engines that have just started, as many quiet gateways see them."""

from collections import Counter

from conftest import Host, S, engine


def test_many_gateways_give_cold_engines_their_part() -> None:
    """All others were taken to crowd a cold engine as they do a warm one: each gateway kept off, and so none
    came, while the warm ones drowned."""
    found: Counter[bool] = Counter()
    for number in range(20):
        host = Host(seed=number, gateways=20)
        host.engines(*(engine(name, started=(host.now if name % 2 else 0)) for name in range(1, 13)))
        host.pass_time(6 * S)
        sent = [host.sends(host.take(group=group)) for group in range(30)]
        found.update(bool(send[0].engine[0] % 2) for send in sent[10:] if send)
    assert 0.1 < found[True] / found.total() < 0.35  # 0.3 to 1: 0.23


def test_what_a_cold_engine_gets_of_all_stays_in_its_budget() -> None:
    sent = 0
    for number in range(20):
        host = Host(seed=number, gateways=20)
        host.engines(*(engine(name, started=(host.now if name % 2 else 0)) for name in range(1, 13)))
        for group in range(100):
            command = host.take(group=group)
            sent += sum(send.engine == engine(1).id for send in host.sends(command))
            host.pass_time(S // 100)
    work = sent * S  # none has told its work: each is taken for twice its profile's guess
    assert work <= 3.0 * 0.3 * 8 * S
