"""Whose command it is, as the operator file says."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from lotusstream.cells.plan import Source, TenantSource
from lotusstream.cells.trie import LONGEST_NAME


def lookup_tenant(
    sources: Iterable[TenantSource],
    fields: Mapping[str, str],
    key: str | None,
    schema: Callable[[], str | None],
) -> str | None:
    """The first source that tells one. `schema` reads the statement, and is asked only where it has to be.
    A name that is too long for any plan is none."""
    for each in sources:
        match each.source:
            case Source.FIELD:
                found = fields.get(each.name)
            case Source.KEY:
                found = key
            case Source.SCHEMA:
                found = schema()
        if found and len(found) <= LONGEST_NAME:
            return found
    return None
