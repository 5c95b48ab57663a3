"""The base of the errors of this package."""

from __future__ import annotations


class ProtocolError(Exception):
    """Bytes or fields are not of the form that a protocol gives."""
