"""Errors of the cells package."""

from __future__ import annotations


class CellsError(Exception):
    """Base of all errors of this package."""


class MigrationError(CellsError):
    """A migration can't be begun or aborted; the message says why."""


class PatternError(CellsError, ValueError):
    """An entry of a `NameTrie` is malformed or there already; the message names it."""
