"""The base of the errors of this package."""

from __future__ import annotations


class NetError(Exception):
    """Something about a socket, a connection or the configuration of the gateway is wrong."""
