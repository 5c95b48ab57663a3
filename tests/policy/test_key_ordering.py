"""Requests with the same key."""

from conftest import MS, PolicyHost

from lotusstream.interface import Outcome


def test_requests_with_one_key_run_one_after_the_other_and_the_key_is_quarantined(host: PolicyHost) -> None:
    """An attempt that timed out may still be running: the next request with its key waits for a while."""
    first, second = host.receive(profile=2, key=5), host.receive(profile=2, key=5)
    assert not host.attempts(second)
    host.end_attempt(first, Outcome.TIMED_OUT)
    host.pass_time(250 * MS)
    assert not host.attempts(second)
    host.pass_time(150 * MS)
    assert len(host.attempts(second)) == 1
