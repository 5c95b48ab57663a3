"""An engine that is jammed by what all gateways sent there, as one of them sees it."""

import pytest
from conftest import MS, Host, S, engine

from lotusstream import interface as api
from lotusstream.interface import Outcome, ProgressKind


@pytest.fixture
def quiet() -> Host:
    """One of 200 gateways; engines tell their progress every 2 s."""
    host = Host(gateway_count=200, progress_interval=2 * S)
    host.engines(*(engine(name) for name in range(1, 13)))
    return host


def hardly_moves(host: Host, command: int) -> api.EndpointId:
    """It tells after 1.4 s that 2% are done, and is given up."""
    send = host.sends(command)[-1]
    host.pass_time(1400 * MS)
    host.tell(
        api.AttemptProgressed(
            command, len(host.sends(command)) - 1, send.endpoint_id, ProgressKind.PROGRESS, 0.02
        )
    )
    host.pass_time(300 * MS)
    assert any(isinstance(a, api.CancelAttempt) and a.request_id == command for a in host.log)
    return send.endpoint_id


def test_a_send_given_up_tells_its_engines_pace_by_what_it_would_have_taken(quiet: Host) -> None:
    """By its age, short as it is, the engine looked faster than idle, and drew more."""
    jammed = hardly_moves(quiet, quiet.take(hint=2 * S, timeout=20 * S))
    quiet.take(group=9)
    (told,) = [a for a in quiet.tell(api.SnapshotRequested()) if isinstance(a, api.GatewaySnapshot)]
    paces = {belief.endpoint_id: belief.latency_ratio for belief in told.endpoints}
    assert paces[jammed] > 1.2 * min(paces.values())


def test_what_was_given_up_on_one_engine_is_sent_to_another(quiet: Host) -> None:
    """Its lot is drawn once, and drew the same engine again."""
    for group in range(10):
        command = quiet.take(group=group)
        jammed = hardly_moves(quiet, command)
        quiet.end(command, Outcome.CANCELLED, after=MS)
        assert [send.endpoint_id for send in quiet.sends(command)].count(jammed) == 1
        assert len(quiet.sends(command)) == 2
        quiet.end(command, Outcome.ANSWERED, after=MS)
