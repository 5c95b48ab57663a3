"""Directives and blocks, held against the vocabulary: what may stand where, how often, and with which
values."""

from __future__ import annotations

import difflib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from lotusstream.levels.condition import Condition
from lotusstream.operator import units
from lotusstream.operator.grammar import Line, Word, read_condition, read_line
from lotusstream.operator.problems import Problem, nearest

END = "end"


class DirectiveError(Exception):
    """A value that won't do: what was found, and what would. `column`: where, if not where it was read
    from."""

    def __init__(self, what: str, hint: str, column: int | None = None) -> None:
        super().__init__(what)
        self.what, self.hint, self.column = what, hint, column


@dataclass(frozen=True, slots=True)
class Argument:
    """One value of a directive. `read` raises Unfit or NoSuchUnit."""

    name: str
    read: Callable[[Word], object]
    optional: bool = False
    after: str | None = None  # a word that stands before it, as in 'start NAME for TIME'


@dataclass(frozen=True, slots=True)
class Directive:
    """`block`: the directives inside, up to 'end'. `condition`: the rest of the line is one. `many`: may
    come again; by its first value where that is a name."""

    keyword: str
    meaning: str
    arguments: tuple[Argument, ...] = ()
    block: Mapping[str, Directive] | None = None
    condition: bool = False
    condition_after: str | None = None
    rest: Callable[[Sequence[Word]], object] | None = None  # all other values at once; raises Unfit
    many: bool = False
    required: bool = False


@dataclass(slots=True)
class Node:
    """A directive that was read."""

    directive: Directive
    line: int
    column: int
    values: dict[str, Any] = field(default_factory=dict)
    condition: Condition | None = None
    inside: list[Node] = field(default_factory=list)

    def one(self, keyword: str) -> Node | None:
        return next((node for node in self.inside if node.directive.keyword == keyword), None)

    def all(self, keyword: str) -> list[Node]:
        return [node for node in self.inside if node.directive.keyword == keyword]

    def value(self, keyword: str, argument: str, absent: Any = None) -> Any:
        node = self.one(keyword)
        return absent if node is None else node.values.get(argument, absent)


def _blocks(vocabulary: Mapping[str, Directive]) -> list[str]:
    """The keywords of all blocks, at whatever depth."""
    found = [directive for directive in vocabulary.values() if directive.block is not None]
    return [each.keyword for each in found] + [word for each in found for word in _blocks(each.block or {})]


def name(word: Word) -> str:
    if word.kind not in ("NAME", "STRING"):
        raise DirectiveError(f"found '{word.text}'", "a name of letters, digits, '-' and '_' would do")
    return word.plain()


def path(word: Word) -> str:
    if not word.plain():
        raise DirectiveError("found an empty path", "the path of a file would do")
    return word.plain()


def time(word: Word) -> int:
    return units.parse_time(word.text)


def size(word: Word) -> int:
    return units.parse_size(word.text)


def share(word: Word) -> float:
    value = units.parse_share(word.text)
    if not 0 <= value <= 1:
        raise DirectiveError(f"found '{word.text}'", "a share from 0% to 100% would do")
    return value


def number(least: int, most: int) -> Callable[[Word], int]:
    def read(word: Word) -> int:
        if word.kind != "NUMBER" or "." in word.text or not least <= int(word.text) <= most:
            raise DirectiveError(f"found '{word.text}'", f"a whole number from {least} to {most} would do")
        return int(word.text)

    return read


def choice(*known: str) -> Callable[[Word], str]:
    def read(word: Word) -> str:
        if word.text not in known:
            raise DirectiveError(f"found '{word.text}'", nearest(word.text, known))
        return word.text

    return read


class TreeReader:
    """Reads a whole text; `problems` holds all that is wrong with it."""

    def __init__(self, file: str, vocabulary: Mapping[str, Directive]) -> None:
        self._file, self._vocabulary = file, vocabulary
        self.problems: list[Problem] = []

    def read(self, text: str) -> Node:
        root = Node(Directive("file", "the file", block=self._vocabulary), 1, 1)
        open_blocks = [root]
        skipped = 0  # blocks open inside something that is not known
        for at, line_text in enumerate(text.split("\n"), 1):
            line = read_line(line_text, self._file, at)
            if isinstance(line, Problem):
                self.problems.append(line)
                continue
            if line is None:
                continue
            if line.keyword == END:
                skipped = self._close(line, open_blocks, skipped)
                continue
            if skipped:
                skipped += self._opens(line.keyword)
                continue
            directive = (open_blocks[-1].directive.block or {}).get(line.keyword)
            if directive is None:
                skipped += self._unknown(line, open_blocks)
                continue
            node = self._node(directive, line)
            self._place(node, open_blocks[-1])
            if directive.block is not None:
                open_blocks.append(node)
        for node in open_blocks[1:]:
            self._problem(
                node.line, node.column, f"'{node.directive.keyword}' is not closed", "'end' would close it"
            )
        self._complete(root)
        return root

    def _problem(self, line: int, column: int, what: str, hint: str) -> None:
        self.problems.append(Problem(self._file, line, column, what, hint))

    def _close(self, line: Line, open_blocks: list[Node], skipped: int) -> int:
        if line.words:
            self._problem(
                line.number, line.words[0].column, f"found '{line.words[0].text}'", "'end' stands alone"
            )
        if skipped:
            return skipped - 1
        if len(open_blocks) == 1:
            self._problem(line.number, line.column, "'end' closes nothing", "remove it")
        else:
            open_blocks.pop()
        return 0

    def _unknown(self, line: Line, open_blocks: list[Node]) -> int:
        """1 where a block begins that is passed over whole."""
        here, known = open_blocks[-1].directive, open_blocks[-1].directive.block or {}
        where = "here" if len(open_blocks) == 1 else f"inside '{here.keyword}'"
        outer = next(
            (b.directive for b in reversed(open_blocks[:-1]) if line.keyword in (b.directive.block or {})),
            None,
        )
        if outer is not None:
            place = "at the top" if outer.keyword == "file" else f"inside '{outer.keyword}'"
            hint = f"it stands {place}: is an 'end' missing?"
        else:
            hint = nearest(line.keyword, [*known, END] if len(open_blocks) > 1 else known)
        self._problem(line.number, line.column, f"'{line.keyword}' is not known {where}", hint)
        return self._opens(line.keyword)

    def _opens(self, keyword: str) -> int:
        """1 for what is, or is meant as, the keyword of some block."""
        return int(any(difflib.get_close_matches(keyword, _blocks(self._vocabulary), 1)))

    def _node(self, directive: Directive, line: Line) -> Node:
        node = Node(directive, line.number, line.column)
        words = list(line.words)
        if directive.condition:
            self._read_condition(node, line, line.column + len(line.keyword) - 1)
            return node
        for argument in directive.arguments:
            self._read_argument(node, argument, line, words)
        if directive.rest is not None:
            try:
                node.values["rest"] = directive.rest(words)
            except DirectiveError as error:
                end = len(line.text.split("#")[0].rstrip()) + 1
                self._problem(line.number, error.column or end, error.what, error.hint)
        elif words and directive.condition_after is not None and words[0].text == directive.condition_after:
            self._read_condition(node, line, words[0].column + len(words[0].text) - 1)
        elif words:
            self._problem(
                line.number, words[0].column, f"found '{words[0].text}'", "the end of the line would do"
            )
        return node

    def _read_condition(self, node: Node, line: Line, ahead: int) -> None:
        found = read_condition(line.text[ahead:], self._file, line.number, ahead)
        if isinstance(found, Problem):
            self.problems.append(found)
        else:
            node.condition = found

    def _read_argument(self, node: Node, argument: Argument, line: Line, words: list[Word]) -> None:
        end = len(line.text.split("#")[0].rstrip()) + 1
        if argument.after is not None:
            if not words and argument.optional:
                return
            if not words or words[0].text != argument.after:
                if argument.optional:
                    return
                at, found = (words[0].column, f"'{words[0].text}'") if words else (end, "the end of the line")
                self._problem(line.number, at, f"found {found}", f"'{argument.after}' would do")
                words.clear()
                return
            words.pop(0)
        if not words:
            if not argument.optional:
                self._problem(line.number, end, "found the end of the line", f"{argument.name} would do")
            return
        word = words.pop(0)
        try:
            node.values[argument.name] = argument.read(word)
        except DirectiveError as error:
            self._problem(line.number, word.column, error.what, error.hint)
        except units.UnknownUnitError as error:
            what, _, hint = str(error).partition(": ")
            self._problem(line.number, word.column, what, hint)

    def _place(self, node: Node, block: Node) -> None:
        directive = node.directive
        same = block.all(directive.keyword)
        first = directive.arguments[0].name if directive.arguments else None
        if directive.many and directive.rest is not None:
            same = []
        elif directive.many and first is not None:
            mine = node.values.get(first)
            same = [each for each in same if mine is not None and each.values.get(first) == mine]
        if same:
            told = directive.keyword + (f" {node.values.get(first)}" if directive.many and first else "")
            self._problem(
                node.line, node.column, f"'{told}' comes a second time", f"it stands on line {same[0].line}"
            )
            return
        block.inside.append(node)

    def _complete(self, node: Node) -> None:
        for directive in (node.directive.block or {}).values():
            if directive.required and not node.all(directive.keyword):
                what = f"'{node.directive.keyword}' has no '{directive.keyword}'"
                self._problem(node.line, node.column, what, f"{directive.keyword}: {directive.meaning}")
        for inner in node.inside:
            self._complete(inner)
