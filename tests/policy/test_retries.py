"""Whether a request is sent again, and where."""

from dataclasses import replace

from conftest import LOAD, LOOKUP, MS, NOT_IDEMPOTENT, WITH_IDEMPOTENCY_KEY, PolicyHost, S, endpoint_entry

from lotusstream import interface as api
from lotusstream.interface import EndpointStatus, Outcome


def test_a_request_that_is_not_idempotent_and_may_have_run_fails(host: PolicyHost) -> None:
    """A retry, here or by the client, could execute it twice."""
    request = host.receive(profile=2)
    assert host.end_attempt(request, Outcome.RESET) == [api.FailRequest(request)]


def test_a_request_that_is_not_idempotent_is_retried_after_a_rejection(host: PolicyHost) -> None:
    """An endpoint that rejects an attempt as full has not executed it."""
    request = host.receive(profile=2)
    host.end_attempt(request, Outcome.FULL)
    assert len(host.attempts(request)) == 2


def test_a_request_is_abandoned_after_errors_of_two_endpoints(host: PolicyHost) -> None:
    """An error of a second endpoint is the fault of the request. Further retries would only harm more
    endpoints."""
    request = host.receive()
    host.end_attempt(request, Outcome.ERROR)
    assert [attempt.endpoint_id for attempt in host.attempts(request)] != [
        host.attempts(request)[0].endpoint_id
    ] * 2
    assert host.end_attempt(request, Outcome.ERROR)[-1] == api.RejectRequest(request, 500 * MS)


def test_a_request_with_a_key_is_retried_within_its_zone_and_window_only() -> None:
    """Only the endpoints of the zone know the key, and only within the window: elsewhere a repeat would be
    executed."""
    host = PolicyHost()
    host.list_endpoints(endpoint_entry(1), endpoint_entry(2, zone=1))
    request = host.receive(profile=3)
    first = host.attempts(request)[0].endpoint_id
    host.end_attempt(request, Outcome.ERROR)
    assert {attempt.endpoint_id for attempt in host.attempts(request)} == {first}
    host.pass_time(6 * S)
    assert host.end_attempt(request, Outcome.ERROR)[-1] == api.FailRequest(request)


def test_retries_stay_within_their_budget() -> None:
    """Retries without a bound multiply the load of endpoints that are full already."""
    host = PolicyHost(retry_budget_min=1, retry_budget_ratio=0.0, retry_budget_window=10 * S)
    host.list_endpoints(endpoint_entry(1), endpoint_entry(2), endpoint_entry(3))
    for _ in range(3):
        host.end_attempt(host.receive(), Outcome.FULL, after=MS)
    assert len(host.attempts()) == 4


def test_a_request_with_a_key_fails_once_endpoints_would_no_longer_drop_its_repeat() -> None:
    """A rejection invites the client to repeat the request, which is harmless within the window only."""
    deduplicated_everywhere = replace(
        WITH_IDEMPOTENCY_KEY, deduplication_scope=api.DeduplicationScope.ALL, deduplication_window=15 * S
    )
    for reset_after, answer in ((10 * S, api.RejectRequest), (20 * S, api.FailRequest)):
        host = PolicyHost(profiles=(LOOKUP, LOAD, NOT_IDEMPOTENT, deduplicated_everywhere))
        host.list_endpoints(endpoint_entry(1))
        request = host.receive(3)
        host.pass_time(reset_after)
        host.list_endpoints(endpoint_entry(1, status=EndpointStatus.DRAINING))
        host.end_attempt(request, Outcome.RESET, after=0)
        host.pass_time(S if answer is api.RejectRequest else 0)
        host.handle(api.ShutdownStarted(host.now))
        host.pass_time(S)
        assert [type(final) for final in host.final_answers(request)] == [answer]


def test_a_request_with_a_key_that_never_ran_is_rejected_whatever_its_age() -> None:
    """Without an execution there is no window that could have ended."""
    host = PolicyHost()
    request = host.receive(3)
    host.pass_time(26 * S)
    assert [type(final) for final in host.final_answers(request)] == [api.RejectRequest]
