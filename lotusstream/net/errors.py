"""The base class of this package's errors."""

from __future__ import annotations


class NetError(Exception):
    """An error of a socket, a connection or the gateway's configuration."""
