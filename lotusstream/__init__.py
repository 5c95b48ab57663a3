"""lotusstream: a front for query engines with limited memory."""

__version__ = "0.2.0"
