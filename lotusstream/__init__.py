"""lotusstream: a gateway in front of query engines with limited memory."""

__version__ = "0.2.0"
