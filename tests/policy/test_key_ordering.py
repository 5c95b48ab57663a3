"""The order of requests with the same key."""

from conftest import MS, PolicyHost

from lotusstream import interface as api
from lotusstream.interface import Outcome


def test_requests_with_the_same_key_run_one_at_a_time_and_wait_for_the_key_quarantine(
    host: PolicyHost,
) -> None:
    """An attempt that timed out may still be running, so the next request with its key must wait for the end
    of the key quarantine."""
    first, second = host.receive(profile=2, key=5), host.receive(profile=2, key=5)
    assert not host.attempts(second)
    host.end_attempt(first, Outcome.TIMED_OUT)
    host.pass_time(250 * MS)
    assert not host.attempts(second)
    host.pass_time(150 * MS)
    assert len(host.attempts(second)) == 1


def test_state_of_keys_is_dropped_once_their_quarantine_has_ended(host: PolicyHost) -> None:
    """A client withdraws loads of ever new tables. Each left its quarantine behind, so memory grew without
    end."""
    for key in range(20):
        request = host.receive(profile=2, group=key, key=key)
        host.handle(api.ClientDisconnected(request))
        host.end_attempt(request, Outcome.CANCELLED, after=100 * MS)
    ordering = host.gateway.key_ordering
    assert not ordering._queues
    assert len(ordering._quarantined_until) <= 4  # a quarantine lasts for 300 ms
