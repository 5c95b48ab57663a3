"""Whose command it is, as the operator file says."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from lotusstream.cells.plan import TenantSource, TenantSourceKind
from lotusstream.cells.trie import MAX_NAME_LENGTH


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
            case TenantSourceKind.FIELD:
                found = fields.get(each.name)
            case TenantSourceKind.KEY:
                found = key
            case TenantSourceKind.SCHEMA:
                found = schema()
        if found and len(found) <= MAX_NAME_LENGTH:
            return found
    return None
