"""The table group that a statement reads or writes."""

from __future__ import annotations

import re

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


def table_group(statement: str) -> int | None:
    """The number behind the underscore in the schema's name."""
    found = _schema(statement)
    return None if found is None else found[0]


def schema_name(statement: str) -> str | None:
    """The whole name of that schema."""
    found = _schema(statement)
    return None if found is None else found[1]


def _schema(statement: str) -> tuple[int, str] | None:
    """Number and name: of a table's name if one is found where tables are named, else of any name with a
    schema."""
    anywhere: tuple[int, str] | None = None
    names: list[str] = []  # of the dotted name being read
    before = ""  # the word before it
    dotted = in_tables = False

    def group() -> tuple[int, str] | None:
        if len(names) < 2 or names[-2].lower() == "staging":
            return None
        found = _GROUP.match(names[-2])
        return (int(found[1]), names[-2]) if found else None

    for token in _TOKEN.finditer(statement):
        kind = token.lastgroup
        if kind is None:
            continue
        if kind == "dot":
            dotted = bool(names)
            continue
        if kind == "name" and dotted:
            names.append(token[0].strip('"'))
            dotted = False
            continue
        if (number := group()) is not None:
            if in_tables:
                return number
            anywhere = number if anywhere is None else anywhere
        if kind == "name":
            word = token[0]
            in_tables = before in _BEFORE_TABLES or (in_tables and before == ",")
            names, before = [word.strip('"')], word.lower()
        else:
            names, before = [], token[0]
            in_tables = in_tables and token[0] == ","
        dotted = False
    if (number := group()) is not None and (in_tables or anywhere is None):
        return number
    return anywhere
