"""Finds the table group that a statement reads or writes."""

from __future__ import annotations

import re
from collections.abc import Generator
from dataclasses import dataclass

# Matches in bounded time: pieces of at most 1,000 characters. The group `long` matches the beginning of a
# token that is longer or has doubled quotes, and of each comment; the end of such a token is searched for.
_TOKEN = re.compile(
    r"""
    \s{0,1000}+ (?:
        '[^']{0,1000}+'(?!')
      | (?P<name> (?: [^\W\d][\w$]{0,999}+(?![\w$]) | "[^"]{0,1000}+"(?!") ) )
      | (?P<dot> \. )
      | (?P<comma> , )
      | (?P<other> (?: [^\s\w'",./\-] | \d | -(?!-) | /(?!\*) ){1,1000}+ )
      | (?P<long> ' | " | -- | /\* | [^\W\d] | \s )
      | \Z
    )
    """,
    re.VERBOSE,
)
_NAME_PIECE = re.compile(r"[\w$]{1,1000}")
_MAX_GROUP_DIGITS = 9
_KEYWORDS_BEFORE_TABLES = frozenset({"from", "join", "into", "update", "table", "using", "only"})
_COMMENT_ENDS = {"--": "\n", "/*": "*/"}  # by the beginning of a comment
_STAGING_SCHEMA = "staging"  # a schema that belongs to no table group
# A token costs 1, and 1 more for each of so many characters. A cost of 1 takes about a microsecond.
_CHARACTERS_PER_COST = 16
_STEP_COST = 100  # cost after which a step of the search ends

_Cost = Generator[int, None, int]  # yields the cost of each step, and returns the position after it


@dataclass(frozen=True, slots=True)
class _Schema:
    """A schema of a table group."""

    group: int  # number of the table group
    name: str  # the complete schema name, including the group's number


def table_group(statement: str) -> int | None:
    """Returns the statement's table group: the number after the last underscore of its schema's name. None if
    no schema in the statement has such a number. Takes time in proportion to the statement's length;
    `TableGroupSearch` divides it into slices."""
    search = TableGroupSearch(statement)
    while not search.advance(len(statement) + 1):
        pass
    return search.group


def schema_name(statement: str) -> str | None:
    """Returns the complete name of the schema that names the table group; None if there is none."""
    search = TableGroupSearch(statement)
    while not search.advance(len(statement) + 1):
        pass
    return search.schema_name


class TableGroupSearch:
    """Searches a statement for its table group, in steps.

    Names in table positions, such as after FROM, take precedence over names elsewhere.
    """

    def __init__(self, statement: str) -> None:
        self.has_ended = False
        self._steps = _search(statement)
        self._schema: _Schema | None = None

    def advance(self, max_cost: int) -> bool:
        """Searches on. Returns whether the search has ended.

        :param max_cost: cost after which to stop. A cost of 1 takes about a microsecond.
        """
        cost = 0
        try:
            while cost < max_cost:
                cost += next(self._steps)
        except StopIteration as end:
            self._schema = end.value
            self.has_ended = True
        return self.has_ended

    @property
    def group(self) -> int | None:
        """The table group that was found; None if there is none."""
        return None if self._schema is None else self._schema.group

    @property
    def schema_name(self) -> str | None:
        """The complete name of the schema that was found; None if there is none."""
        return None if self._schema is None else self._schema.name


def _search(statement: str) -> Generator[int, None, _Schema | None]:
    """Finds the first name in a table position whose schema has a group, else the first such name elsewhere.
    Yields the cost of each step, and returns the schema; None if there is none."""
    scanner = _SchemaScanner()
    tokens = _TOKEN.finditer(statement)
    cost = 0
    while (token := next(tokens, None)) is not None:
        kind = token.lastgroup  # None: a literal or the end
        start, end = token.span(kind or 0)
        if kind == "long":
            opening = token["long"]
            end = yield from _long_token_end(statement, end, opening)
            tokens = _TOKEN.finditer(statement, end)
            kind = "name" if _begins_name(opening) else None
        if kind is not None:
            schema = scanner.add_token(kind, statement[start:end])
            if schema is not None:
                return schema
        cost += 1 + (end - start) // _CHARACTERS_PER_COST
        if cost >= _STEP_COST:
            yield cost
            cost = 0
    return scanner.end()


def _begins_name(opening: str) -> bool:
    return opening != "'" and opening not in _COMMENT_ENDS and not opening.isspace()


def _long_token_end(statement: str, position: int, opening: str) -> _Cost:
    """Searches for the end of the token whose beginning, `opening`, ends at `position`."""
    if opening in _COMMENT_ENDS:
        return _position_after(statement, _COMMENT_ENDS[opening], position)
    if opening in ("'", '"'):
        return (yield from _quoted_end(statement, position, opening))
    if opening.isspace():
        return position
    return (yield from _name_end(statement, position))


def _position_after(statement: str, text: str, position: int) -> int:
    """Returns the position after the next occurrence of `text`; the statement's end if there is none."""
    found = statement.find(text, position)
    return len(statement) if found < 0 else found + len(text)


def _quoted_end(statement: str, position: int, quote: str) -> _Cost:
    """Searches for the end of a literal or quoted name. Two quotes in a row don't end it."""
    while True:
        position = _position_after(statement, quote, position)
        if not statement.startswith(quote, position):
            return position
        position += 1
        yield 1


def _name_end(statement: str, position: int) -> _Cost:
    """Searches for the end of a name of which a piece has been matched."""
    while (piece := _NAME_PIECE.match(statement, position)) is not None:
        yield 1 + len(piece[0]) // _CHARACTERS_PER_COST
        position = piece.end()
    return position


def _group_of(schema: str) -> int | None:
    """Returns the number after the last underscore of a schema's name; None if there is none."""
    prefix, underscore, digits = schema.rpartition("_")
    if not underscore or not 1 <= len(digits) <= _MAX_GROUP_DIGITS or not schema.isascii():
        return None
    has_ascii_prefix = not prefix or prefix.replace("_", "a").isalnum()
    return int(digits) if digits.isdigit() and has_ascii_prefix else None


class _SchemaScanner:
    """Reads the tokens of a statement in order and finds the schema that names its table group."""

    def __init__(self) -> None:
        self._first_elsewhere: _Schema | None = None  # first schema with a group outside table positions
        self._name_parts: list[str] = []  # parts of the dotted name that is being read
        self._previous_token = ""  # the last token in lower case; for a dotted name its first part
        self._follows_dot = False  # whether the last token was a dot within a name
        self._is_table_position = False  # whether that name is in a table position, such as after FROM

    def add_token(self, kind: str, text: str) -> _Schema | None:
        """Returns the schema once the name of a table with a schema is complete, else None. `kind`: the name
        of a group of _TOKEN, except `long`."""
        if kind == "dot":
            self._follows_dot = bool(self._name_parts)
            return None
        if kind == "name" and self._follows_dot:
            self._name_parts.append(text.strip('"'))
            self._follows_dot = False
            return None
        schema = self._current_schema()
        if schema is not None:
            if self._is_table_position:
                return schema
            if self._first_elsewhere is None:
                self._first_elsewhere = schema
        if kind == "name":
            self._begin_name(text)
        else:
            self._end_name(text)
        self._follows_dot = False
        return None

    def end(self) -> _Schema | None:
        """Returns the schema found by the end of the statement; None if there is none."""
        schema = self._current_schema()
        if schema is not None and (self._is_table_position or self._first_elsewhere is None):
            return schema
        return self._first_elsewhere

    def _begin_name(self, text: str) -> None:
        continues_list = self._is_table_position and self._previous_token == ","
        self._is_table_position = self._previous_token in _KEYWORDS_BEFORE_TABLES or continues_list
        self._name_parts = [text.strip('"')]
        self._previous_token = text.lower()

    def _end_name(self, text: str) -> None:
        self._name_parts = []
        self._previous_token = text
        self._is_table_position = self._is_table_position and text == ","

    def _current_schema(self) -> _Schema | None:
        """Returns the schema in the dotted name that is being read; None if it names no table group."""
        if len(self._name_parts) < 2:
            return None
        name = self._name_parts[-2]
        if name.lower() == _STAGING_SCHEMA:
            return None
        group = _group_of(name)
        return None if group is None else _Schema(group, name)
