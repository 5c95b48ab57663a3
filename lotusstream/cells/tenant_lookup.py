"""Reads the tenant of a request from the sources that the plan names."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from lotusstream.cells.plan import TenantSource, TenantSourceKind
from lotusstream.cells.trie import MAX_NAME_LENGTH


def lookup_tenant(
    sources: Iterable[TenantSource],
    fields: Mapping[str, str],
    key: str | None,
    read_schema: Callable[[], str | None],
) -> str | None:
    """Returns what the first source with a tenant yields, or None. A name that is too long for any plan
    counts as absent.

    :param sources: in the order of the plan
    :param fields: the request's fields by name
    :param key: the request's idempotency key
    :param read_schema: reads the schema from the statement; called only if a source needs it
    """
    for source in sources:
        match source.kind:
            case TenantSourceKind.FIELD:
                tenant = fields.get(source.name)
            case TenantSourceKind.KEY:
                tenant = key
            case TenantSourceKind.SCHEMA:
                tenant = read_schema()
        if tenant and len(tenant) <= MAX_NAME_LENGTH:
            return tenant
    return None
