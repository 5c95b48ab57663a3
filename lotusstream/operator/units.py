"""Times, sizes and shares as an operator writes them, and back."""

from __future__ import annotations

import re

TIMES = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000, "d": 86_400_000_000}
SIZES = {"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}

_PARTS = re.compile(r"(\d+(?:\.\d+)?)([A-Za-z]+)\Z")


class UnknownUnitError(ValueError):
    """A number without a unit, or with one that is not known here."""


def _scaled(text: str, units: dict[str, int], like: str) -> int:
    found = _PARTS.match(text)
    if found is None or found[2] not in units:
        raise UnknownUnitError(f"'{text}' has none of the units {', '.join(units)}: write it as in {like}")
    return round(float(found[1]) * units[found[2]])


def parse_time(text: str) -> int:
    """Microseconds of `30s`, `250ms`, `1.5h`. Raises NoSuchUnit."""
    return _scaled(text, TIMES, "30s or 250ms")


def parse_size(text: str) -> int:
    """Bytes of `64MB`; units are powers of 1024. Raises NoSuchUnit."""
    return _scaled(text, SIZES, "64MB")


def parse_share(text: str) -> float:
    """0.2 of `20%`. Raises NoSuchUnit."""
    if not text.endswith("%"):
        raise UnknownUnitError(f"'{text}' is no share: write it as in 20%")
    return float(text[:-1]) / 100


def write_time(span: int) -> str:
    """The shortest form that loses nothing."""
    for unit, size in reversed(TIMES.items()):
        if span and span % size == 0:
            return f"{span // size}{unit}"
    return f"{span}us"
