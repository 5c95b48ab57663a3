"""What the gateway understands of the notice board's events."""

from __future__ import annotations

import pytest
from conftest import settings
from golden_data import DATA

from lotusstream.deployment import read_settings
from lotusstream.interface import Engine, State
from lotusstream.protocol import notices

DEPLOYMENT = read_settings(1, settings())
UNKNOWN_KIND, NOWHERE = 65_535, -1
ENDPOINT = ("10.0.0.4", 7000)
READY = notices.Listed(Engine(b"s-1", State.READY, 0, 3, 0, 1_700_000_000_000_000), ENDPOINT)
DRAINING = notices.Listed(Engine(b"s-2", State.DRAINING, NOWHERE, NOWHERE, UNKNOWN_KIND, 0), ENDPOINT)
GONE = notices.Listed(Engine(b"s-3", State.GONE, 0, 3, 0, 0), None)
WITHOUT_ADDRESS = notices.Listed(Engine(b"s-4", State.DRAINING, 0, 3, 0, 0), None)
UNKNOWN_STATE = notices.Listed(Engine(b"s-5", State.DRAINING, 0, 3, 0, 0), ENDPOINT)


def test_a_poll_is_understood() -> None:
    body = (DATA / "notices.json").read_bytes()
    snapshot = notices.Notice(11, True, (READY, DRAINING), 2)
    delta = notices.Notice(12, False, (GONE, WITHOUT_ADDRESS, UNKNOWN_STATE), 0)
    empty = notices.Notice(13, False, (), 0)
    assert notices.parse_notices(body, DEPLOYMENT) == notices.Notices(13, (snapshot, delta, empty))
    listed = (READY, DRAINING, GONE, WITHOUT_ADDRESS, UNKNOWN_STATE)
    assert notices.folded((snapshot, delta, empty)) == notices.Notice(13, True, listed, 2)


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"rev": "1", "notices": []}', b'{"rev": 1}'])
def test_what_is_no_poll_is_unreadable(body: bytes) -> None:
    with pytest.raises(notices.UnreadableNotices):
        notices.parse_notices(body, DEPLOYMENT)
