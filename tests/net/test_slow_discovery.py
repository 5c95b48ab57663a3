"""Discovery that takes seconds for each response."""

from __future__ import annotations

import asyncio
import json

import pytest
from conftest import EventLog, StandInDiscovery, StandInEndpoint, endpoint_entry, http_answer, settings

from lotusstream import interface as api
from lotusstream.deployment import read_settings
from lotusstream.lab.stand_ins import Call
from lotusstream.net.actor import Supervisor
from lotusstream.net.clock import Clock
from lotusstream.net.discovery import DiscoveryActor, FollowDiscovery
from lotusstream.protocol import discovery, http


class SlowDiscovery(StandInDiscovery):
    """Answers each poll with what it knows when the poll arrives, `delay` seconds later."""

    def __init__(self, delay: float) -> None:
        super().__init__()
        self._delay = delay

    async def respond(self, call: Call) -> bytes | None:
        revision = int(call.path.partition("watch=")[2].partition("&")[0])
        changes = {"rev": len(self.notices), "notices": self.notices[revision:]}
        await asyncio.sleep(self._delay)
        return http_answer(200, json.dumps(changes).encode())


@pytest.mark.parametrize("delay", [3.0, 4.0])
async def test_drain_is_known_in_time_from_responses_that_take_seconds(delay: float) -> None:
    """Each poll was given up 2.25 s after its start, and the next one took its place, so a slow response was
    never read: attempts went to a draining endpoint for as long as discovery was slow."""
    stand_in, endpoint = SlowDiscovery(delay), StandInEndpoint("s-1")
    reports, supervisor = EventLog(), Supervisor()
    await stand_in.start()
    stand_in.publish(endpoint.entry(), whole=True)
    actor = DiscoveryActor(read_settings(7, settings()), Clock(), reports.add, supervisor)
    actor.start()
    actor.post(FollowDiscovery(("127.0.0.1", stand_in.port)))
    await reports.until(lambda update: update.is_snapshot)
    await asyncio.sleep(0.1)  # the next poll has arrived, and won't hear of the drain
    stand_in.publish(endpoint.entry("draining"))
    async with asyncio.timeout(http.DISCOVERY_PROPAGATION_US / 1e6):
        update = await reports.until(lambda update: not update.is_snapshot)
    assert [each.entry.status for each in update.endpoints] == [api.EndpointStatus.DRAINING]
    await supervisor.stop()
    stand_in.close()


async def test_response_that_another_poll_has_overtaken_changes_nothing() -> None:
    """Two polls are in flight, and the later one is answered first. If the other response were taken for a
    restart of the revisions, the whole list would be requested again."""
    reports, supervisor = EventLog(), Supervisor()
    actor = DiscoveryActor(read_settings(7, settings()), Clock(), reports.add, supervisor)
    listed = discovery.ListedEndpoint(endpoint_entry(1), ("127.0.0.1", 1))
    updates = [discovery.EndpointListUpdate(number, number == 1, (listed,), 0) for number in (1, 2, 3)]
    await actor.receive(discovery.WatchEvents(3, tuple(updates)))
    actor._apply(discovery.WatchEvents(2, (updates[1],)), polled_revision=1)
    assert actor._revision == 3 and len(reports.items) == 1
    actor._apply(
        discovery.WatchEvents(2, ()), polled_revision=3
    )  # behind its own poll: discovery has restarted
    assert actor._revision == 0
