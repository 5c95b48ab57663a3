"""Which endpoint a request goes to."""

from conftest import MS, PolicyHost, S, endpoint_entry

from lotusstream import interface as api
from lotusstream.interface import EndpointStatus, Outcome


def test_requests_of_a_group_go_to_the_endpoint_that_has_it_cached(host: PolicyHost) -> None:
    """A table group would be cached anew at every endpoint if its requests went to one after the other."""
    for _ in range(3):
        host.end_attempt(host.receive(group=4), Outcome.ANSWERED)
    assert len({attempt.endpoint_id for attempt in host.attempts()}) == 1


def test_readers_avoid_the_endpoint_of_a_running_load(host: PolicyHost) -> None:
    """A reader that shares an endpoint with a load of its group stands still until the load ends."""
    load = host.receive(profile=1, group=4)
    reader = host.receive(group=4)
    assert host.attempts(reader)[0].endpoint_id != host.attempts(load)[0].endpoint_id


def test_a_load_avoids_the_endpoint_of_running_readers(host: PolicyHost) -> None:
    """A load stalls the readers of its group that run at the same endpoint."""
    reader = host.receive(group=4)
    load = host.receive(profile=1, group=4)
    assert host.attempts(load)[0].endpoint_id != host.attempts(reader)[0].endpoint_id


def test_a_load_of_another_gateway_is_learnt_from_a_progress_report(host: PolicyHost) -> None:
    """An endpoint reports that a reader waits for a load that this gateway did not start. The next reader
    avoids it."""
    host.end_attempt(host.receive(group=4), Outcome.ANSWERED)
    reader = host.receive(group=4)
    where = host.attempts(reader)[0].endpoint_id
    host.handle(api.AttemptProgressed(reader, 0, where, api.ProgressKind.WAITS_FOR_LOAD, 2.0))
    assert host.attempts(host.receive(group=4))[0].endpoint_id != where


def test_nothing_is_sent_to_a_draining_or_removed_endpoint(host: PolicyHost) -> None:
    """Attempts sent to an endpoint that leaves are lost with it."""
    changes = api.EndpointListKind.DELTA
    host.list_endpoints(
        endpoint_entry(1, status=EndpointStatus.DRAINING),
        endpoint_entry(2, status=EndpointStatus.REMOVED),
        kind=changes,
    )
    assert host.attempts(host.receive())[0].endpoint_id == endpoint_entry(3).id


def test_a_request_restricted_to_an_absent_kind_waits_and_is_answered_in_time(host: PolicyHost) -> None:
    """No endpoint of the kind is listed. The request must neither run elsewhere nor go without an answer."""
    request = host.receive(profile=4)
    host.pass_time(6 * S)
    assert not host.attempts(request) and len(host.final_answers(request)) == 1


def test_gateways_that_exchange_nothing_run_a_group_on_the_same_few_endpoints() -> None:
    """Each gateway sees too little to learn where a group is cached, so they agree on it by hashing."""
    used = set()
    for seed in range(40):
        host = PolicyHost(gateway_count=200, seed=seed)
        host.list_endpoints(*(endpoint_entry(name) for name in range(1, 13)))
        used.add(host.attempts(host.receive(group=4))[0].endpoint_id)
    assert len(used) <= 3


def test_a_load_avoids_the_affinity_set_of_its_group() -> None:
    """The readers of other gateways are in the affinity set: a load there would stall them."""
    endpoints = [endpoint_entry(name) for name in range(1, 13)]
    readers, loads = set(), set()
    for seed in range(40):
        for profile, used in ((0, readers), (1, loads)):
            host = PolicyHost(gateway_count=200, seed=seed)
            host.list_endpoints(*endpoints)
            used.add(host.attempts(host.receive(profile=profile, group=4))[0].endpoint_id)
    assert not readers & loads and len(loads) > 3


def test_unrestricted_requests_spare_the_kind_that_others_are_restricted_to() -> None:
    """Restricted requests can go nowhere else: they would be crowded out by those that can."""
    host = PolicyHost(gateway_count=200)
    endpoints = [endpoint_entry(name, kind=name % 2) for name in range(1, 13)]
    host.list_endpoints(*endpoints)
    for group in range(30):
        host.end_attempt(host.receive(profile=4, group=group), Outcome.ANSWERED, after=MS)
        host.end_attempt(host.receive(group=group), Outcome.ANSWERED, after=MS)
    host.list_endpoints(*endpoints)
    free = [host.attempts(host.receive(group=group))[0].endpoint_id[0] % 2 for group in range(100, 160)]
    assert sum(free) <= 15
