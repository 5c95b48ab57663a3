"""What the gateway understands of the notice board's events."""

from __future__ import annotations

import pytest
from conftest import settings
from golden_data import DATA

from lotusstream.deployment import read_settings
from lotusstream.interface import EndpointEntry, EndpointStatus
from lotusstream.protocol import discovery

DEPLOYMENT = read_settings(1, settings())
UNKNOWN_KIND, NOWHERE = 65_535, -1
ENDPOINT = ("10.0.0.4", 7000)
READY = discovery.ListedEndpoint(
    EndpointEntry(b"s-1", EndpointStatus.READY, 0, 3, 0, 1_700_000_000_000_000), ENDPOINT
)
DRAINING = discovery.ListedEndpoint(
    EndpointEntry(b"s-2", EndpointStatus.DRAINING, NOWHERE, NOWHERE, UNKNOWN_KIND, 0), ENDPOINT
)
GONE = discovery.ListedEndpoint(EndpointEntry(b"s-3", EndpointStatus.REMOVED, 0, 3, 0, 0), None)
WITHOUT_ADDRESS = discovery.ListedEndpoint(EndpointEntry(b"s-4", EndpointStatus.DRAINING, 0, 3, 0, 0), None)
UNKNOWN_STATE = discovery.ListedEndpoint(EndpointEntry(b"s-5", EndpointStatus.DRAINING, 0, 3, 0, 0), ENDPOINT)


def test_a_poll_is_understood() -> None:
    body = (DATA / "notices.json").read_bytes()
    snapshot = discovery.EndpointListUpdate(11, True, (READY, DRAINING), 2)
    delta = discovery.EndpointListUpdate(12, False, (GONE, WITHOUT_ADDRESS, UNKNOWN_STATE), 0)
    empty = discovery.EndpointListUpdate(13, False, (), 0)
    assert discovery.parse_watch_events(body, DEPLOYMENT) == discovery.WatchEvents(
        13, (snapshot, delta, empty)
    )
    listed = (READY, DRAINING, GONE, WITHOUT_ADDRESS, UNKNOWN_STATE)
    assert discovery.merge_updates((snapshot, delta, empty)) == discovery.EndpointListUpdate(
        13, True, listed, 2
    )


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"rev": "1", "notices": []}', b'{"rev": 1}'])
def test_what_is_no_poll_is_unreadable(body: bytes) -> None:
    with pytest.raises(discovery.DiscoveryFormatError):
        discovery.parse_watch_events(body, DEPLOYMENT)
