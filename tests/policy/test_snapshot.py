"""What operators are shown."""

from conftest import PolicyHost

from lotusstream import interface as api


def test_a_snapshot_request_changes_nothing(host: PolicyHost) -> None:
    """Operators ask for snapshots while the gateway is in trouble."""
    host.receive(profile=1)
    (snapshot,) = host.handle(api.SnapshotRequested())
    assert isinstance(snapshot, api.GatewaySnapshot)
    assert (
        sorted(endpoint.in_flight for endpoint in snapshot.endpoints) == [0, 0, 1]
        and snapshot.open_requests == 1
    )
