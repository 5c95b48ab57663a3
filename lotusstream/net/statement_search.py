"""Finds the table groups of statements without holding the event loop for long."""

from __future__ import annotations

import asyncio
from collections import deque

from lotusstream.net.errors import NetError
from lotusstream.protocol.tables import TableGroupSearch

# Costs of the first slice of a search, which usually finds the group, and of each further one. A cost of 1
# takes about a microsecond.
FIRST_SLICE_COST, SLICE_COST = 100, 500
LONG_STATEMENT_CHARACTERS = 4096  # a statement with more characters is long
MAX_LONG_SEARCH_COUNT = 8  # searches of long statements at once; further ones are rejected


class TooManySearchesError(NetError):
    """Too many long statements are searched, so another search would take too long."""


class StatementSearch:
    """Divides searches into slices, and runs one slice in each iteration of the event loop, in turns.
    Otherwise clients that send long unusable statements would delay all others."""

    def __init__(self) -> None:
        self._turn = asyncio.Lock()  # held during a slice and the rest of its iteration
        self._long_search_count = 0
        # The calls with `in_order` that have not returned, earliest first. An event is set once all
        # earlier calls have returned.
        self._ordered_calls: deque[asyncio.Event] = deque()

    async def table_group(self, statement: str, in_order: bool = False) -> int | None:
        """Returns the table group of a statement; None if it names none. Raises TooManySearchesError.

        :param in_order: return only after all earlier calls with `in_order` have returned. Otherwise a
            request with a short statement would overtake an earlier one with a long statement.
        """
        if not in_order:
            return await self._search(statement)
        is_first = asyncio.Event()
        self._ordered_calls.append(is_first)
        self._wake_first_ordered_call()
        try:
            group = await self._search(statement)
            await is_first.wait()
            return group
        finally:
            self._ordered_calls.remove(is_first)
            self._wake_first_ordered_call()

    def _wake_first_ordered_call(self) -> None:
        if self._ordered_calls:
            self._ordered_calls[0].set()

    async def _search(self, statement: str) -> int | None:
        search = TableGroupSearch(statement)
        if search.advance(FIRST_SLICE_COST):
            return search.group
        if len(statement) <= LONG_STATEMENT_CHARACTERS:
            await self._finish(search)
            return search.group
        if self._long_search_count >= MAX_LONG_SEARCH_COUNT:
            raise TooManySearchesError
        self._long_search_count += 1
        try:
            await self._finish(search)
        finally:
            self._long_search_count -= 1
        return search.group

    async def _finish(self, search: TableGroupSearch) -> None:
        has_ended = False
        while not has_ended:
            async with self._turn:  # the lock is fair, so all searches progress
                has_ended = search.advance(SLICE_COST)
                await asyncio.sleep(0)
