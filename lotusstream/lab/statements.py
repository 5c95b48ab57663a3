"""Long statements that take the longest to search for a table group."""

from __future__ import annotations

# Each is repeated to a long statement that names no table group, or names one only outside a table position.
ADVERSARIAL_PIECES = (
    "a ",  # names
    "a,",  # names in a list
    "a.",  # one name of many parts
    "s_1.t ",  # names with a group, outside table positions
    "(",
    "- ",  # half the beginning of a comment
    " ",
    "'",  # an open literal full of doubled quotes
    '"',  # a quoted name of the same kind
    "'' ",  # short literals
    "/*",  # an open comment
    "/**/",  # short comments
    "--\n",
    "_",  # one long name
)


def long_statement(piece: str, length: int) -> str:
    """Returns the piece, repeated to a statement of at most `length` characters."""
    return piece * (length // len(piece))
