"""The base class of this package's errors."""

from __future__ import annotations


class ProtocolError(Exception):
    """Bytes or fields do not have the format that a protocol requires."""
