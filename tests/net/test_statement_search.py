"""Long unusable statements must not keep other clients from their answers."""

from __future__ import annotations

import asyncio
import time

import pytest
from conftest import RequestFailedError, StandInClient, World
from hypothesis import given
from hypothesis import strategies as st

from lotusstream.lab.statements import ADVERSARIAL_PIECES, long_statement
from lotusstream.net.statement_search import MAX_LONG_SEARCH_COUNT, StatementSearch, TooManySearchesError
from lotusstream.protocol.tables import TableGroupSearch, table_group

BAD_CLIENT_COUNT = 60
LONG_CHARACTERS = 200_000
TIME_TO_LIVE_MS = 1000
LATEST_ANSWER_S = 1.5  # an answer later than half a second after its time is lost


@pytest.mark.parametrize("piece", ADVERSARIAL_PIECES)
def test_slices_of_a_search_cost_little_and_their_number_grows_linearly(piece: str) -> None:
    """One long statement held the event loop for 0.13 s. A slice must end near the cost that it was given,
    and a statement of twice the length must take about twice as many slices."""

    def slice_count(length: int) -> int:
        search, count = TableGroupSearch(long_statement(piece, length)), 1
        while not search.advance(1000):
            count += 1
        return count

    half, whole = slice_count(LONG_CHARACTERS // 2), slice_count(LONG_CHARACTERS)
    assert whole <= LONG_CHARACTERS // 1000 + 2  # a character costs 1 at most
    assert whole <= 2 * half + 1


@given(
    st.lists(st.sampled_from([*ADVERSARIAL_PIECES, "from ", "sales_3.t ", "staging.", '"q_5"', "s_1", "'x'"]))
)
def test_search_in_slices_finds_the_same_group_as_in_one_go(pieces: list[str]) -> None:
    """A slice may end between any two steps, and must not lose what was read before."""
    statement = "".join(pieces)
    search = TableGroupSearch(statement)
    while not search.advance(1):
        pass
    assert search.group == table_group(statement)


async def test_searches_beyond_the_limit_are_rejected_and_short_ones_are_not() -> None:
    """Bad clients send long statements again and again. Their number is limited, so that each gets its reply
    soon; statements of usual length need no place among them."""
    search = StatementSearch()
    statement = long_statement("a ", LONG_CHARACTERS)
    running = [asyncio.create_task(search.table_group(statement)) for _ in range(MAX_LONG_SEARCH_COUNT)]
    await asyncio.sleep(0)
    with pytest.raises(TooManySearchesError):
        await search.table_group(statement)
    assert await search.table_group("a, " * 500 + "sales_7.t") == 7
    assert not any(each.done() for each in running)
    assert await asyncio.gather(*running) == [None] * MAX_LONG_SEARCH_COUNT


async def send_again_and_again(client: StandInClient, statement: str) -> None:
    while True:
        try:
            await client.answer(client.ask(statement=statement))
        except RequestFailedError:
            await asyncio.sleep(0)


async def test_usual_requests_are_answered_in_time_beside_clients_with_long_unusable_statements(
    world: World,
) -> None:
    """Bad clients send a statement without a table group again the moment it is refused. Its search held the
    event loop, and usual requests got their answers up to 14 s late."""
    usual = await world.start()
    statement = long_statement("x = 1 and ", LONG_CHARACTERS)
    bad = [
        asyncio.create_task(send_again_and_again(await world.client(), statement))
        for _ in range(BAD_CLIENT_COUNT)
    ]
    for _ in range(10):
        began = time.monotonic()
        await usual.answer(usual.ask(ttl=str(TIME_TO_LIVE_MS)))
        assert time.monotonic() - began < LATEST_ANSWER_S
        await asyncio.sleep(0.1)
    for each in bad:
        each.cancel()
