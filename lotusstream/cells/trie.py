"""Names, prefixes and patterns in one index: the most specific entry that fits a name.

An exact name comes before all. Otherwise the entry with most literal characters wins, of two alike the one
with the longer literal beginning, then a pattern before a prefix, then the one that was written first. A
look-up walks the name once; patterns wait at the node of their literal beginning, so only those that can
still fit are tried.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Generic, TypeVar

V = TypeVar("V")
MAX_NAME_LENGTH, MOST_STARS = 256, 4  # characters; a pattern with more stars could take long to tell


class PatternError(ValueError):
    """What is wrong with an entry."""


class _Node(Generic[V]):
    __slots__ = ("children", "exact", "label", "patterns", "prefix")

    def __init__(self, label: str) -> None:
        self.label = label  # the characters from the parent to here
        self.children: dict[str, _Node[V]] = {}  # by their first character
        self.exact: tuple[V] | None = None
        self.prefix: tuple[int, V] | None = None  # literal characters, value
        self.patterns: list[tuple[int, int, re.Pattern[str], V]] = []  # literals, order, what fits, value


class NameTrie(Generic[V]):
    """Entries as `name`, `begin*` or with `*` and `?` anywhere. Raises BadPattern, also for one told
    twice."""

    def __init__(self, entries: Iterable[tuple[str, V]] = ()) -> None:
        self._root: _Node[V] = _Node("")
        self._endings: _Node[V] = _Node("")  # of entries as in *-library, read from their end
        self._count = 0
        self._known: set[str] = set()
        for entry, value in entries:
            self.add(entry, value)

    def __len__(self) -> int:
        return self._count

    def add(self, entry: str, value: V) -> None:
        if not 0 < len(entry) <= MAX_NAME_LENGTH:
            raise PatternError(f"a name of {len(entry)} characters; 1 to {MAX_NAME_LENGTH} would do")
        if entry.count("*") > MOST_STARS:
            raise PatternError(f"'{entry}' has more than {MOST_STARS} stars")
        if entry in self._known:
            raise PatternError(f"'{entry}' comes a second time")
        self._known.add(entry)
        self._count += 1
        literals = len(entry) - entry.count("*") - entry.count("?")
        if literals == len(entry):
            self._node(entry).exact = (value,)
        elif len(entry) > 1 and entry.startswith("*") and literals == len(entry) - 1:
            self._node(entry[:0:-1], self._endings).prefix = (literals, value)
        elif entry.endswith("*") and literals == len(entry) - 1:
            self._node(entry[:-1]).prefix = (literals, value)
        else:
            begin = re.split(r"[*?]", entry, maxsplit=1)[0]
            fits = "".join({"*": ".*", "?": "."}.get(char, re.escape(char)) for char in entry)
            waiting = self._node(begin).patterns
            waiting.append((literals, self._count, re.compile(fits, re.DOTALL), value))
            waiting.sort(key=lambda each: (-each[0], each[1]))

    def _node(self, text: str, root: _Node[V] | None = None) -> _Node[V]:
        """The node at the end of the text, made with those on the way."""
        node = root or self._root
        while text:
            child = node.children.get(text[0])
            if child is None:
                child = node.children[text[0]] = _Node(text)
                return child
            common = 0
            for one, other in zip(child.label, text, strict=False):
                if one != other:
                    break
                common += 1
            if common < len(child.label):  # splits the edge
                middle: _Node[V] = _Node(child.label[:common])
                child.label = child.label[common:]
                middle.children[child.label[0]] = child
                node.children[middle.label[0]] = middle
                child = middle
            node, text = child, text[common:]
        return node

    def find(self, name: str) -> V | None:
        """The value of the most specific entry that fits, or None."""
        best, found = self._ending(name) if self._endings.children else (-1, None)
        node, at = self._root, 0
        while True:
            if node.prefix is not None and node.prefix[0] >= best:
                best, found = node.prefix
            for literals, _, fits, value in node.patterns:
                if literals < best:
                    break
                if fits.fullmatch(name):
                    best, found = literals, value
                    break
            if at == len(name):
                return node.exact[0] if node.exact is not None else found
            child = node.children.get(name[at])
            if child is None or not name.startswith(child.label, at):
                return found
            node, at = child, at + len(child.label)

    def _ending(self, name: str) -> tuple[int, V | None]:
        """The longest ending that fits: its literal characters and its value."""
        found: tuple[int, V | None] = (-1, None)
        node, at = self._endings, 0
        name = name[::-1]
        while (child := node.children.get(name[at : at + 1])) is not None and name.startswith(
            child.label, at
        ):
            node, at = child, at + len(child.label)
            if node.prefix is not None:
                found = node.prefix
        return found
