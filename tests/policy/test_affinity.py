"""The state that the decision module keeps for table groups."""

from conftest import PolicyHost, S

from lotusstream import interface as api
from lotusstream.policy.affinity import MAX_COUNTED_GROUPS, MAX_DRAWS_PER_REFRESH, Affinity
from lotusstream.policy.affinity_sets import MAX_AFFINITY_SETS


def test_state_of_table_groups_is_limited(host: PolicyHost) -> None:
    """A client names a new table with each request. The gateway kept a count and an affinity set for each of
    them, for up to two epochs of 16 latency objectives, and passed its memory limit of 32 MB."""
    for group in range(3 * MAX_COUNTED_GROUPS):
        request = host.receive(group=group)
        if group % 100 == 0:
            assert host.attempts(request)
        host.handle(api.ClientDisconnected(request))
        host.actions.clear()
    sets = host.gateway.affinity_sets
    assert len(sets._sets) <= MAX_AFFINITY_SETS
    assert len(sets._affinity._counts) <= MAX_COUNTED_GROUPS


def test_frequent_group_keeps_its_weight_among_ever_new_ones() -> None:
    """Counts of rare groups are dropped. A frequent group must not be dropped with them."""
    affinity = Affinity(4, 3600 * S)
    for group in range(1, 4 * MAX_COUNTED_GROUPS):
        affinity.count_request(S, 0)
        affinity.count_request(S, group)
    assert affinity.traffic_ratio(0, 1) > 0.4
    assert affinity.traffic_ratio(1, 1) < 0.001


def test_refresh_makes_a_limited_number_of_draws() -> None:
    """With 4,096 groups, recomputing 16 endpoints at once would hold the event loop for 0.1 s or more."""
    affinity = Affinity(4, 3600 * S)
    affinity.add_endpoints([bytes([number] * 6) for number in range(16)])
    for group in range(MAX_COUNTED_GROUPS):
        affinity.count_request(S, group)
    affinity.refresh()
    assert len(affinity._pending) == 16 - MAX_DRAWS_PER_REFRESH // MAX_COUNTED_GROUPS
