"""Requests of an ordered profile that write one table, on sockets."""

from __future__ import annotations

import asyncio

import pytest
from conftest import MS, StandInClient, World

from lotusstream.net.statement_search import StatementSearch

KEY_QUARANTINE_S = 0.3
LONG_SEARCH_WORDS = 1800  # the search needs several slices, and the message is read in one go


def load_into(group: int) -> str:
    return f"INSERT OVERWRITE sales_{group}.readings VALUES (1)"


@pytest.fixture
async def client(world: World) -> StandInClient:
    """A client of a gateway whose profile `booking` is ordered by key, with three endpoints that go on
    running each query."""
    booking = world.settings["request_classes"][2]
    world.settings["request_classes"][2] = booking | {"fifo_by_key": True, "deadline": 25_000 * MS}
    world.settings["rules"]["key_rest"] = int(KEY_QUARANTINE_S * 1000) * MS
    client = await world.start("s-2", "s-3")
    for endpoint in world.endpoints:
        endpoint.behavior = "holds"
    return client


async def start_time(world: World, call: str) -> float:
    """Waits until an endpoint has received the attempt, and returns the time, seconds of the event loop."""
    while not any(endpoint.posts(call) for endpoint in world.endpoints):
        await asyncio.sleep(0.005)
    return asyncio.get_running_loop().time()


def was_sent(world: World, call: str) -> bool:
    return any(endpoint.posts(call) for endpoint in world.endpoints)


async def test_load_waits_until_an_earlier_one_of_its_table_is_over(
    world: World, client: StandInClient
) -> None:
    """The gateway passed no key to the decision module, so two loads of one table ran at once at two
    endpoints. If the first one's endpoint was slow, the table kept the older upload."""
    first, second, other = "1" * 16, "2" * 16, "3" * 16
    first_seqid = client.ask("booking", load_into(3), call=first, ttl="20000")
    second_seqid = client.ask("booking", load_into(3), call=second, ttl="20000")
    client.ask("booking", load_into(4), call=other, ttl="20000")
    await start_time(world, first)
    await start_time(world, other)  # the gateway has decided about the second load by then
    await asyncio.sleep(0.1)
    assert not was_sent(world, second)
    for endpoint in world.endpoints:
        endpoint.behavior = "answers"
    await client.answer(first_seqid)
    await client.answer(second_seqid)
    assert was_sent(world, second)


async def test_load_waits_for_the_quarantine_after_an_earlier_one_was_withdrawn(
    world: World, client: StandInClient
) -> None:
    """A cancelled load may still be running at its endpoint when the next one of its table starts."""
    first, second = "1" * 16, "2" * 16
    first_seqid = client.ask("booking", load_into(3), call=first, ttl="20000")
    client.ask("booking", load_into(3), call=second, ttl="20000")
    await start_time(world, first)
    withdrawn_at = asyncio.get_running_loop().time()
    client.give_up(first_seqid)
    assert await start_time(world, second) >= withdrawn_at + KEY_QUARANTINE_S


async def test_short_statement_does_not_overtake_an_earlier_longer_one_of_its_profile(
    world: World, client: StandInClient
) -> None:
    """The table of the first statement is found only after several iterations of the event loop. A short load
    that another connection sent in the meantime was decided first, and ran first."""
    first, second = "1" * 16, "2" * 16
    other = await world.client()
    client.ask("booking", "a " * LONG_SEARCH_WORDS + load_into(3), call=first, ttl="20000")
    other.ask("booking", load_into(3), call=second, ttl="20000")
    await asyncio.wait(
        [asyncio.create_task(start_time(world, call)) for call in (first, second)],
        return_when=asyncio.FIRST_COMPLETED,
    )
    assert was_sent(world, first) and not was_sent(world, second)


async def test_places_are_given_up_in_any_order_and_reached_in_the_order_of_arrival() -> None:
    """As above, for the places alone; a request that is withdrawn must not hold up those behind it."""
    search = StatementSearch()
    places = [search.take_place() for _ in range(4)]
    search.leave(places[1])
    assert [place.is_set() for place in places] == [True, False, False, False]
    search.leave(places[0])
    assert [place.is_set() for place in places[2:]] == [True, False]
    search.leave(places[2])
    assert places[3].is_set()
