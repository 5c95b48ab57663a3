"""Parses times, sizes and shares of an operator file, and formats times."""

from __future__ import annotations

import re

MILLISECOND_US = 1_000  # microseconds in a millisecond
SECOND_US = 1_000_000  # microseconds in a second
# Microseconds in one unit, by unit.
US_BY_UNIT = {
    "us": 1,
    "ms": MILLISECOND_US,
    "s": SECOND_US,
    "m": 60_000_000,
    "h": 3_600_000_000,
    "d": 86_400_000_000,
}
# Bytes in one unit, by unit.
BYTES_BY_UNIT = {"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}

_NUMBER_AND_UNIT = re.compile(r"(\d+(?:\.\d+)?)([A-Za-z]+)\Z")


class UnknownUnitError(ValueError):
    """The number has no unit, or an unknown one."""


def _parse_quantity(text: str, units: dict[str, int], example: str) -> int:
    found = _NUMBER_AND_UNIT.match(text)
    if found is None or found[2] not in units:
        raise UnknownUnitError(
            f"'{text}' has none of the units {', '.join(units)}: expected a value such as {example}"
        )
    return round(float(found[1]) * units[found[2]])


def parse_time(text: str) -> int:
    """Returns the microseconds that a text such as `30s`, `250ms` or `1.5h` stands for.

    :raises UnknownUnitError: the unit is missing or unknown
    """
    return _parse_quantity(text, US_BY_UNIT, "30s or 250ms")


def parse_size(text: str) -> int:
    """Returns the bytes that a text such as `64MB` stands for. The units are powers of 1024.

    :raises UnknownUnitError: the unit is missing or unknown
    """
    return _parse_quantity(text, BYTES_BY_UNIT, "64MB")


def parse_share(text: str) -> float:
    """Returns the ratio that a text such as `20%` stands for, here 0.2.

    :raises UnknownUnitError: there is no percent sign
    :raises ValueError: the text before the percent sign is not a number
    """
    if not text.endswith("%"):
        raise UnknownUnitError(f"'{text}' is not a share: expected a percentage such as 20%")
    return float(text[:-1]) / 100


def write_time(duration_us: int) -> str:
    """Formats a duration in the largest unit of which it is a whole multiple."""
    for unit, size in reversed(US_BY_UNIT.items()):
        if duration_us and duration_us % size == 0:
            return f"{duration_us // size}{unit}"
    return f"{duration_us}us"
