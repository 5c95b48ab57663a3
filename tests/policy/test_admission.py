"""Which requests are taken, and that each is answered in time."""

from conftest import MS, PolicyHost, S

from lotusstream import interface as api
from lotusstream.interface import Outcome


def test_a_waiting_request_gets_one_answer_in_time() -> None:
    """No endpoint is listed. The client must get an answer before it stops waiting for it."""
    host = PolicyHost()
    request = host.receive()
    host.pass_time(7 * S)
    assert host.final_answers(request) == [api.RejectRequest(request, 500 * MS)]


def test_a_request_without_an_outcome_fails_before_its_client_leaves_and_is_not_retried(
    host: PolicyHost,
) -> None:
    """Its endpoint says nothing. The outcome that comes after the answer must change nothing any more."""
    request = host.receive(profile=2, key=9)
    host.pass_time(25 * S)
    assert host.final_answers(request) == [api.FailRequest(request)]
    host.end_attempt(request, Outcome.TIMED_OUT)
    assert len(host.attempts(request)) == 1 and len(host.final_answers(request)) == 1


def test_a_request_with_too_little_time_is_rejected_at_once(host: PolicyHost) -> None:
    """It would take an attempt and still be answered too late."""
    request = host.receive(timeout=20 * MS)
    assert host.final_answers(request) and not host.attempts(request)


def test_a_request_whose_client_has_left_is_cancelled_and_not_answered(host: PolicyHost) -> None:
    """An answer for it would be written to nobody, and its attempt occupies an endpoint."""
    request = host.receive()
    assert host.handle(api.ClientDisconnected(request)) == [api.CancelAttempt(request, 0)]
    assert host.end_attempt(request, Outcome.CANCELLED) == [] and not host.final_answers(request)


def test_a_graceful_shutdown_bounds_the_deadlines_of_open_and_of_new_requests(host: PolicyHost) -> None:
    """Requests that outlast the gateway would never be answered."""
    running = host.receive(profile=1, group=4)
    host.handle(api.ShutdownStarted(host.now + 2 * S))
    late = host.receive(profile=1, group=5)
    assert host.attempts(late)[0].timeout == 2 * S
    host.pass_time(2 * S)
    assert all(
        host.final_answers(request) == [api.RejectRequest(request, 500 * MS)] for request in (running, late)
    )


def test_a_graceful_shutdown_fails_a_request_that_must_not_run_twice(host: PolicyHost) -> None:
    """A rejection would invite the client to repeat what may have been executed."""
    request = host.receive(profile=2, key=9)
    host.handle(api.ShutdownStarted(host.now + 2 * S))
    host.pass_time(2 * S)
    assert host.final_answers(request) == [api.FailRequest(request)]
