"""A new process that comes up at the address of one that has gone."""

from __future__ import annotations

from dataclasses import replace

import pytest
from conftest import RequestFailedError, StandInEndpoint, World

from lotusstream import interface as api
from lotusstream.net.endpoint_registry import EndpointRegistry
from lotusstream.protocol.discovery import EndpointListUpdate, ListedEndpoint

ADDRESS, OTHER_ADDRESS = ("127.0.0.1", 1000), ("127.0.0.1", 1001)
READY, DRAINING, REMOVED = api.EndpointStatus.READY, api.EndpointStatus.DRAINING, api.EndpointStatus.REMOVED


def listed(
    name: str, status: api.EndpointStatus = READY, address: tuple[str, int] = ADDRESS, started_at: int = 0
) -> ListedEndpoint:
    return ListedEndpoint(api.EndpointEntry(name.encode(), status, 0, 0, 0, started_at), address)


class RegistryHost:
    """Applies updates to a registry. No endpoint has an actor."""

    def __init__(self) -> None:
        self.registry = EndpointRegistry(lambda _id, _address: pytest.fail("no actor is needed"), 1)

    def update(self, *endpoints: ListedEndpoint, is_snapshot: bool = False) -> dict[str, api.EndpointStatus]:
        """Applies an update, and returns the status of each changed endpoint by its name."""
        changed = self.registry.changed_entries(EndpointListUpdate(1, is_snapshot, endpoints, 0))
        self.registry.apply(changed)
        return {each.entry.id.decode(): each.entry.status for each in changed}

    @property
    def names(self) -> list[str]:
        return sorted(endpoint_id.decode() for endpoint_id in self.registry.listed)


def test_endpoint_whose_address_is_taken_over_is_removed() -> None:
    """The new process is listed before the list says that the older one has gone. Both were listed as ready,
    and attempts for the older one ran at the new process, whose deduplication cell may be another."""
    host = RegistryHost()
    host.update(listed("old"), listed("other", address=OTHER_ADDRESS))
    assert host.update(listed("new")) == {"old": REMOVED, "new": READY}
    assert host.names == ["new", "other"]
    assert host.update(listed("old", DRAINING)) == {}  # late news of the older one takes nothing over
    host.update(listed("old", REMOVED))
    assert host.names == ["new", "other"]


def test_of_two_new_endpoints_at_one_address_the_one_that_started_last_is_listed() -> None:
    """A complete list may still name a process that has gone."""
    host = RegistryHost()
    host.update(listed("a", started_at=5), listed("b", started_at=3), is_snapshot=True)
    assert host.names == ["a"]
    host.update(listed("a", started_at=5), listed("b", started_at=3), is_snapshot=True)
    assert host.names == ["a"]


def test_endpoint_that_lost_its_address_is_listed_again_once_its_successor_has_gone_or_it_has_moved() -> None:
    """An endpoint must not stay hidden for ever because of a passing error in the list."""
    host = RegistryHost()
    host.update(listed("old"))
    host.update(listed("new"))
    host.update(listed("old", address=OTHER_ADDRESS))
    assert host.names == ["new", "old"]
    host.update(listed("third", address=OTHER_ADDRESS))
    host.update(listed("third", REMOVED, OTHER_ADDRESS))
    host.update(listed("old", address=OTHER_ADDRESS))
    assert host.names == ["new", "old"]


def test_entry_that_changes_at_its_address_takes_nothing_over() -> None:
    """An endpoint that drains and is ready again keeps its place."""
    host = RegistryHost()
    host.update(listed("a"))
    assert host.update(listed("a", DRAINING)) == {"a": DRAINING}
    assert host.update(replace(listed("a"), address=None)) == {"a": READY}
    assert host.update(listed("a", started_at=9)) == {"a": READY}
    assert host.names == ["a"]


async def test_new_process_gets_no_call_for_an_attempt_of_the_one_before(world: World) -> None:
    """A machine vanishes while it runs a load, and a new process has its address. The gateway asked that one
    for the load, and a cancellation of the old attempt, which names only the id, would have ended the retry
    there."""
    client = await world.start()
    old, new = world.endpoints[0], StandInEndpoint("s-new")
    old.behavior = "is silent"
    load = client.ask("load")
    await old.calls.until(lambda call: call.method == "POST")
    assert old._server is not None
    old._server.close()  # its connections stay open and silent
    old._release_port()
    new.behavior = "holds"
    world.endpoints.append(new)
    await new.start(old.port)
    world.discovery.publish(new.entry())
    await new.calls.until(lambda call: call.method == "GET")
    new.behavior = "answers"
    assert await client.answer(load) == (new.pages[0], True)
    assert [call.method for call in new.calls.items][:2] == ["POST", "GET"]
    assert "DELETE" not in [call.method for call in new.calls.items]


async def test_load_that_must_not_run_twice_fails_if_its_process_was_replaced(world: World) -> None:
    """The same for a class that may run only once: it may have run at the process that has gone."""
    client = await world.start()
    old, new = world.endpoints[0], StandInEndpoint("s-new")
    old.behavior = "is silent"
    load = client.ask("booking")
    await old.calls.until(lambda call: call.method == "POST")
    assert old._server is not None
    old._server.close()
    old._release_port()
    world.endpoints.append(new)
    await new.start(old.port)
    world.discovery.publish(new.entry())
    with pytest.raises(RequestFailedError) as caught:
        await client.answer(load)
    assert caught.value.kind == "failed" and not new.calls.items
