"""Running attempts that take too long."""

from conftest import MS, PolicyHost, S, endpoint_entry

from lotusstream import interface as api
from lotusstream.interface import Outcome


def test_one_overdue_attempt_is_not_silence_but_several_are() -> None:
    """One attempt that takes long may be a long one. Three at one endpoint, and no response, are a silent
    endpoint."""
    host = PolicyHost()
    host.list_endpoints(endpoint_entry(1))
    lone = host.receive(profile=1, group=4)
    host.pass_time(2 * S)
    assert api.CancelAttempt(lone, 0) not in host.actions
    more = [host.receive(profile=1, group=group) for group in (5, 6)]
    host.pass_time(2 * S)
    assert all(api.CancelAttempt(request, 0) in host.actions for request in (lone, *more))


def test_a_runaway_attempt_known_from_a_progress_report_is_cancelled_and_retried(host: PolicyHost) -> None:
    """After twice its expected time a request has done 5% of its work: a retry ends sooner."""
    request = host.receive()
    host.pass_time(400 * MS)
    where = host.attempts(request)[0].endpoint_id
    assert api.CancelAttempt(request, 0) in host.handle(
        api.AttemptProgressed(request, 0, where, api.ProgressKind.PROGRESS, 0.05)
    )
    host.end_attempt(request, Outcome.CANCELLED, after=MS)
    assert len(host.attempts(request)) == 2


def test_an_attempt_just_started_at_a_slow_endpoint_is_no_runaway() -> None:
    """All attempts take long at this endpoint. A cancelled one would only start again."""
    host = PolicyHost()
    host.list_endpoints(endpoint_entry(1))
    for _ in range(8):
        host.end_attempt(host.receive(hint=10 * MS), Outcome.ANSWERED, after=900 * MS)
    request = host.receive(hint=10 * MS)
    host.pass_time(50 * MS)
    assert api.CancelAttempt(request, 0) not in host.actions


def test_the_same_progress_of_a_retry_is_no_runaway(host: PolicyHost) -> None:
    """The retry is as slow as the first attempt, so the request itself is long: it is left to run."""
    request = host.receive()
    for number in (0, 1):
        host.pass_time(400 * MS)
        where = host.attempts(request)[number].endpoint_id
        host.handle(api.AttemptProgressed(request, number, where, api.ProgressKind.PROGRESS, 0.25))
        if not number:
            assert api.CancelAttempt(request, 0) in host.actions
            host.end_attempt(request, Outcome.CANCELLED, after=MS)
    assert api.CancelAttempt(request, 1) not in host.actions


def test_a_request_expected_to_be_long_is_evaluated_before_its_client_leaves() -> None:
    """An evaluation planned by its expected latency alone would come after the deadline."""
    host = PolicyHost()
    host.list_endpoints(endpoint_entry(1))
    request = host.receive(hint=400 * S, timeout=3 * S)  # a quarter of its expected time is past that
    host.pass_time(3 * S)
    assert len(host.final_answers(request)) == 1
