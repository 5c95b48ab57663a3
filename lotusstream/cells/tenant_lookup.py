"""Reads the tenant of a request from the tenant sources of the plan."""

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
    """Returns the tenant from the first source that yields one, or None. A name that is longer than
    MAX_NAME_LENGTH is ignored, because no plan can contain it.

    :param sources: the sources in the order of the plan
    :param fields: the request's fields by name
    :param key: the request's idempotency key; None: it has no key
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
