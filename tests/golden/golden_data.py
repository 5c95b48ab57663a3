"""Reads the golden data: what the program wrote before it was renamed, one item a line."""

from __future__ import annotations

from pathlib import Path

FOLDER = Path(__file__).parent
DATA = FOLDER / "data"
STORED = FOLDER / "stored"


def read_bytes(family: str) -> dict[str, bytes]:
    """The lines of `data/FAMILY.hex`: a name, a space, and the bytes as hex digits."""
    lines = (DATA / f"{family}.hex").read_text().splitlines()
    return {name: bytes.fromhex(digits) for name, digits in (line.split(" ", 1) for line in lines)}


def read_lines(family: str) -> list[str]:
    """The lines of `data/FAMILY.txt`."""
    return (DATA / f"{family}.txt").read_text().splitlines()


def key_paths(value: object, maps: frozenset[str] = frozenset(), path: str = "") -> set[str]:
    """The nested keys of a JSON value, as `engines.listed`. `[]` stands for the items of a list, and `*` for
    the keys of the mappings at the paths `maps`: those are data, and only what is below them is told."""
    if isinstance(value, dict):
        found = set[str]()
        for key, item in value.items():
            below = f"{path}.{'*' if path in maps else key}".lstrip(".")
            found |= key_paths(item, maps, below) | (set() if path in maps else {below})
        return found
    if isinstance(value, list):
        return {each for item in value for each in key_paths(item, maps, f"{path}[]")}
    return set()
