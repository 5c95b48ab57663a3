"""Errors of the cells package."""

from __future__ import annotations


class CellsError(Exception):
    """Base of all errors of this package."""


class MigrationError(CellsError):
    """A migration can't begin or can't be aborted; the message names the reason."""


class PatternError(CellsError, ValueError):
    """An entry of a `NameTrie` is malformed or a duplicate; the message names the entry."""
