"""An index of names, prefixes, suffixes and patterns that finds the most specific entry for a name.

An exact name takes precedence. Otherwise the entry with the most literal characters is chosen. Among entries
with equally many, the order is: the longest literal prefix, a pattern before a prefix, the entry that was
added first. A lookup walks the name once. A pattern is stored at the node of its literal prefix, so a lookup
tries only the patterns whose literal prefix matches."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from lotusstream.cells.errors import PatternError

V = TypeVar("V")

MAX_NAME_LENGTH = 256  # characters
MAX_STAR_COUNT = 4  # a pattern with more stars could take too long to match


@dataclass(frozen=True, slots=True)
class _Entry(Generic[V]):
    """The value of a name, prefix or suffix."""

    literal_count: int  # number of characters other than wildcards
    value: V


@dataclass(frozen=True, slots=True)
class _Pattern(Generic[V]):
    """An entry with wildcards that is neither a prefix nor a suffix."""

    literal_count: int  # number of characters other than wildcards
    insertion_number: int  # increases with each entry that is added
    regex: re.Pattern[str]
    value: V


class _Node(Generic[V]):
    """A node of the radix tree, with the entries whose literal prefix ends at this node."""

    __slots__ = ("children", "exact", "label", "patterns", "prefix")

    def __init__(self, label: str) -> None:
        self.label = label  # characters between the parent and this node
        self.children: dict[str, _Node[V]] = {}  # by the first character of their label
        self.exact: _Entry[V] | None = None
        self.prefix: _Entry[V] | None = None
        self.patterns: list[_Pattern[V]] = []  # most literal characters first

    def split(self, length: int) -> _Node[V]:
        """Returns a new node with the first `length` characters of the label and this node as its child."""
        parent: _Node[V] = _Node(self.label[:length])
        self.label = self.label[length:]
        parent.children[self.label[0]] = self
        return parent


class NameTrie(Generic[V]):
    """Maps entries to values. An entry is `name`, `prefix*`, `*suffix`, or a pattern with `*` and `?`."""

    def __init__(self, entries: Iterable[tuple[str, V]] = ()) -> None:
        """
        :param entries: pairs of entry and value
        :raises PatternError: an entry is malformed or a duplicate
        """
        self._root: _Node[V] = _Node("")
        self._suffix_root: _Node[V] = _Node("")  # entries like *-library, with reversed characters
        self._count = 0
        self._entries: set[str] = set()
        for entry, value in entries:
            self.add(entry, value)

    def __len__(self) -> int:
        return self._count

    def add(self, entry: str, value: V) -> None:
        """Adds an entry.

        :raises PatternError: the entry is malformed or a duplicate
        """
        self._check(entry)
        self._entries.add(entry)
        self._count += 1
        literal_count = len(entry) - entry.count("*") - entry.count("?")
        has_one_wildcard = literal_count == len(entry) - 1
        if literal_count == len(entry):
            self._find_or_make_node(self._root, entry).exact = _Entry(literal_count, value)
        elif len(entry) > 1 and entry.startswith("*") and has_one_wildcard:
            self._find_or_make_node(self._suffix_root, entry[:0:-1]).prefix = _Entry(literal_count, value)
        elif entry.endswith("*") and has_one_wildcard:
            self._find_or_make_node(self._root, entry[:-1]).prefix = _Entry(literal_count, value)
        else:
            self._add_pattern(entry, literal_count, value)

    def find(self, name: str) -> V | None:
        """Returns the value of the most specific entry that matches the name, or None."""
        best = self._find_suffix(name) if self._suffix_root.children else None
        best_literals = best.literal_count if best is not None else -1
        found = best.value if best is not None else None
        node = self._root
        position = 0
        while True:
            if node.prefix is not None and node.prefix.literal_count >= best_literals:
                best_literals = node.prefix.literal_count
                found = node.prefix.value
            for pattern in node.patterns:
                if pattern.literal_count < best_literals:
                    break
                if pattern.regex.fullmatch(name):
                    best_literals = pattern.literal_count
                    found = pattern.value
                    break
            if position == len(name):
                return node.exact.value if node.exact is not None else found
            child = node.children.get(name[position])
            if child is None or not name.startswith(child.label, position):
                return found
            node = child
            position += len(child.label)

    def _check(self, entry: str) -> None:
        if not 0 < len(entry) <= MAX_NAME_LENGTH:
            raise PatternError(f"expected a name of 1 to {MAX_NAME_LENGTH} characters, got {len(entry)}")
        if entry.count("*") > MAX_STAR_COUNT:
            raise PatternError(f"'{entry}' has more than {MAX_STAR_COUNT} stars")
        if entry in self._entries:
            raise PatternError(f"'{entry}' is listed more than once")

    def _add_pattern(self, entry: str, literal_count: int, value: V) -> None:
        literal_prefix = re.split(r"[*?]", entry, maxsplit=1)[0]
        wildcards = {"*": ".*", "?": "."}
        regex = "".join(wildcards.get(character, re.escape(character)) for character in entry)
        patterns = self._find_or_make_node(self._root, literal_prefix).patterns
        patterns.append(_Pattern(literal_count, self._count, re.compile(regex, re.DOTALL), value))
        patterns.sort(key=lambda pattern: (-pattern.literal_count, pattern.insertion_number))

    def _find_or_make_node(self, root: _Node[V], text: str) -> _Node[V]:
        """Returns the node for the text below `root`, and creates the nodes that are missing."""
        node = root
        while text:
            child = node.children.get(text[0])
            if child is None:
                child = node.children[text[0]] = _Node(text)
                return child
            common = _common_prefix_length(child.label, text)
            if common < len(child.label):
                child = child.split(common)
                node.children[child.label[0]] = child
            node = child
            text = text[common:]
        return node

    def _find_suffix(self, name: str) -> _Entry[V] | None:
        """Returns the entry with the longest suffix of the name, or None."""
        found: _Entry[V] | None = None
        node = self._suffix_root
        position = 0
        reversed_name = name[::-1]
        while position < len(reversed_name):
            child = node.children.get(reversed_name[position])
            if child is None or not reversed_name.startswith(child.label, position):
                break
            node = child
            position += len(child.label)
            if node.prefix is not None:
                found = node.prefix
        return found


def _common_prefix_length(one: str, other: str) -> int:
    length = 0
    for left, right in zip(one, other, strict=False):
        if left != right:
            break
        length += 1
    return length
