"""In which order waiting requests go."""

from conftest import MS, PolicyHost, S, endpoint_entry

from lotusstream.interface import EndpointStatus, Outcome


def test_of_waiting_requests_the_one_that_adds_no_stall_goes_first() -> None:
    """Both wait for an endpoint on which a load runs: the reader of another group goes first."""
    host = PolicyHost()
    host.list_endpoints(endpoint_entry(1))
    host.receive(profile=1, group=4)
    host.list_endpoints(endpoint_entry(1, status=EndpointStatus.DRAINING))
    stalled, free = host.receive(group=4), host.receive(group=5)
    host.list_endpoints(endpoint_entry(1))
    assert [attempt.request_id for attempt in host.attempts()[1:]] == [free, stalled]


def test_a_gateway_without_open_requests_sets_no_timer(host: PolicyHost) -> None:
    """Timers that follow one another would keep an idle gateway busy."""
    host.end_attempt(host.receive(), Outcome.ANSWERED)
    host.pass_time(S)
    seen = len(host.actions)
    host.pass_time(60 * S)
    assert len(host.actions) == seen


def test_many_waiting_requests_that_fit_nowhere_starve_no_other(host: PolicyHost) -> None:
    """The placements of a batch are bounded. Requests that needed none counted too, the same ones in each
    batch."""
    # restricted to a kind that is not listed
    waiting = [host.receive(profile=4, timeout=5 * S) for _ in range(100)]
    request = host.receive(timeout=6 * S)
    assert not any(host.attempts(each) for each in waiting) and len(host.attempts(request)) == 1


def test_waiting_requests_beyond_the_placements_of_a_batch_go_in_the_next() -> None:
    """The placements of a batch are bounded. What it does not come to must not be forgotten."""
    host = PolicyHost()
    requests = [host.receive(group=group) for group in range(60)]  # no endpoint yet
    host.list_endpoints(*(endpoint_entry(name) for name in range(1, 9)))
    host.pass_time(MS)
    host.handle()
    host.pass_time(MS)
    host.handle()
    assert all(host.attempts(request) for request in requests)
