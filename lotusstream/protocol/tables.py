"""The table group that a statement reads or writes."""

from __future__ import annotations

import re
from dataclasses import dataclass

# One alternative matches at every place it can, so a scan is linear. What is unclosed runs to the end.
_TOKEN = re.compile(
    r"""
      '(?:[^']|'')*(?:'|\Z)
    | --[^\n]*
    | /\*(?:[^*]|\*(?!/))*(?:\*/|\Z)
    | (?P<name> "(?:[^"]|"")*(?:"|\Z) | [^\W\d][\w$]* )
    | (?P<dot> \. )
    | (?P<other> [^\s] )
    """,
    re.VERBOSE,
)
_GROUP = re.compile(r"\w*?_([0-9]{1,9})\Z", re.ASCII)
_BEFORE_TABLES = frozenset({"from", "join", "into", "update", "table", "using", "only"})
_STAGING_SCHEMA = "staging"  # belongs to no group


@dataclass(frozen=True, slots=True)
class _Schema:
    """A schema of a table group."""

    group: int
    name: str


def table_group(statement: str) -> int | None:
    """The number behind the underscore in the schema's name; None where there is no such schema."""
    schema = _find_schema(statement)
    return None if schema is None else schema.group


def schema_name(statement: str) -> str | None:
    """The complete name of that schema; None where there is none."""
    schema = _find_schema(statement)
    return None if schema is None else schema.name


def _find_schema(statement: str) -> _Schema | None:
    """That of a table's name if one is found where tables are named, else of any name with a schema."""
    scanner = _SchemaScanner()
    for token in _TOKEN.finditer(statement):
        kind = token.lastgroup
        if kind is None:  # a literal or a comment
            continue
        schema = scanner.add_token(kind, token[0])
        if schema is not None:
            return schema
    return scanner.end()


class _SchemaScanner:
    """Takes the tokens of a statement, one after the other, and finds the schema that counts."""

    def __init__(self) -> None:
        self._first_anywhere: _Schema | None = None  # of a name outside the places where tables are named
        self._name_parts: list[str] = []  # of the dotted name that is being read
        self._previous_token = ""  # the one before that name
        self._follows_dot = False
        self._is_table_place = False  # the name stands where tables are named

    def add_token(self, kind: str, text: str) -> _Schema | None:
        """The schema, once a table's name with one is complete."""
        if kind == "dot":
            self._follows_dot = bool(self._name_parts)
            return None
        if kind == "name" and self._follows_dot:
            self._name_parts.append(text.strip('"'))
            self._follows_dot = False
            return None
        schema = self._current_schema()
        if schema is not None:
            if self._is_table_place:
                return schema
            if self._first_anywhere is None:
                self._first_anywhere = schema
        if kind == "name":
            self._begin_name(text)
        else:
            self._end_name(text)
        self._follows_dot = False
        return None

    def end(self) -> _Schema | None:
        """The schema, once the statement has ended."""
        schema = self._current_schema()
        if schema is not None and (self._is_table_place or self._first_anywhere is None):
            return schema
        return self._first_anywhere

    def _begin_name(self, text: str) -> None:
        continues_list = self._is_table_place and self._previous_token == ","
        self._is_table_place = self._previous_token in _BEFORE_TABLES or continues_list
        self._name_parts = [text.strip('"')]
        self._previous_token = text.lower()

    def _end_name(self, text: str) -> None:
        self._name_parts = []
        self._previous_token = text
        self._is_table_place = self._is_table_place and text == ","

    def _current_schema(self) -> _Schema | None:
        """Of the dotted name that is being read, if it has one."""
        if len(self._name_parts) < 2:
            return None
        name = self._name_parts[-2]
        if name.lower() == _STAGING_SCHEMA:
            return None
        match = _GROUP.match(name)
        return _Schema(int(match[1]), name) if match else None
