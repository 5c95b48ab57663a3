"""How many threads endpoints are sent, and what becomes of the rest."""

from conftest import MS, PolicyHost, S, endpoint_entry

from lotusstream import interface as api
from lotusstream.interface import Outcome


def test_waiting_requests_are_not_all_sent_to_one_endpoint(host: PolicyHost) -> None:
    """Endpoints reject attempts as full. What waits must not all go to one that has not rejected any yet."""
    for _ in range(3):
        host.end_attempt(host.receive(group=4), Outcome.FULL, after=MS)
    for _ in range(100):
        host.receive(group=4)
    per_endpoint = [
        sum(attempt.endpoint_id == endpoint_entry(name).id for attempt in host.attempts())
        for name in (1, 2, 3)
    ]
    assert max(per_endpoint) <= 2 * 8 + 3


def test_narrow_requests_do_not_starve_one_wider_than_the_limit() -> None:
    """Requests of one thread would take each thread that becomes free, and one of two would wait forever."""
    host = PolicyHost(gateway_count=9)
    host.list_endpoints(endpoint_entry(1), endpoint_entry(2), endpoint_entry(3))
    host.end_attempt(host.receive(), Outcome.FULL, after=MS)
    for _ in range(2):
        host.receive()
    wide, second = host.receive(profile=1, group=6), host.receive(profile=1, group=6)
    assert host.attempts(wide) and not host.attempts(second)


def test_an_overloaded_pool_rejects_at_once_what_cannot_meet_its_objective() -> None:
    """Late answers are worth little and take the place of those in time."""
    host = PolicyHost()
    host.list_endpoints(endpoint_entry(1))
    for _ in range(20):
        host.receive(hint=900 * MS)
    host.end_attempt(101, Outcome.FULL, after=MS)
    waiting = host.receive(hint=900 * MS)
    host.pass_time(600 * MS)
    assert host.final_answers(waiting) == [api.RejectRequest(waiting, 500 * MS)] and not host.attempts(
        waiting
    )


def test_limits_below_one_request_are_shared_by_an_overloaded_pool() -> None:
    """Each of 40 gateways has less than a thread at each endpoint. Together these limits still admit some
    requests, but not all."""
    host = PolicyHost(gateway_count=40)
    host.list_endpoints(*(endpoint_entry(name) for name in range(1, 9)))
    full, others = host.receive(group=1), [host.receive(group=group) for group in (2, 3)]
    host.end_attempt(full, Outcome.FULL, after=MS)
    more = [host.receive(group=group) for group in range(4, 9)]
    assert all(host.attempts(request) for request in others)
    assert not all(host.attempts(request) for request in more)


def test_an_endpoint_full_of_requests_that_wait_for_a_load_gets_no_more() -> None:
    """Requests that wait for a load show no latency, but they hold memory."""
    host = PolicyHost()
    host.list_endpoints(endpoint_entry(1))
    host.receive(profile=1, group=4, hint=20 * S)
    for _ in range(14):
        host.receive(group=4)
    host.pass_time(600 * MS)
    waiting = host.receive(group=5)
    assert not host.attempts(waiting)
