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
        self._places: deque[asyncio.Event] = deque()  # places that are not given up, earliest first

    def take_place(self) -> asyncio.Event:
        """Returns a place in the order of arrival, to be given up with `leave`. It is set once all earlier
        places have been given up."""
        place = asyncio.Event()
        self._places.append(place)
        self._places[0].set()
        return place

    def leave(self, place: asyncio.Event) -> None:
        """Gives up a place."""
        self._places.remove(place)
        if self._places:
            self._places[0].set()

    def begin(self, statement: str) -> TableGroupSearch:
        """Returns a search after its first slice, which usually ends it."""
        search = TableGroupSearch(statement)
        search.advance(FIRST_SLICE_COST)
        return search

    async def finish(self, search: TableGroupSearch, character_count: int) -> None:
        """Ends a search.

        :param character_count: length of the statement.
        :raises TooManySearchesError: too many long statements are searched already.
        """
        if search.has_ended:
            return
        if character_count <= LONG_STATEMENT_CHARACTERS:
            await self._finish(search)
            return
        if self._long_search_count >= MAX_LONG_SEARCH_COUNT:
            raise TooManySearchesError
        self._long_search_count += 1
        try:
            await self._finish(search)
        finally:
            self._long_search_count -= 1

    async def table_group(self, statement: str) -> int | None:
        """Returns the table group of a statement; None if it names none. Raises TooManySearchesError."""
        search = self.begin(statement)
        await self.finish(search, len(statement))
        return search.group

    async def _finish(self, search: TableGroupSearch) -> None:
        has_ended = False
        while not has_ended:
            async with self._turn:  # the lock is fair, so all searches progress
                has_ended = search.advance(SLICE_COST)
                await asyncio.sleep(0)
