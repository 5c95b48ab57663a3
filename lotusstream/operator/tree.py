"""Reads the text of an operator file as a tree of directives.

The tree is checked against the vocabulary, which says in which block a directive may stand, how often, and
with which values.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from lotusstream.levels.condition import Condition
from lotusstream.operator import units
from lotusstream.operator.grammar import Line, ValueToken, read_condition, read_line
from lotusstream.operator.problems import Problem, suggest

END = "end"


class DirectiveError(Exception):
    """A value of a directive is invalid. `message` and `hint` become those of a `Problem`; `column` counts
    from 1, and None leaves the place to the caller."""

    def __init__(self, message: str, hint: str, column: int | None = None) -> None:
        super().__init__(message)
        self.message, self.hint, self.column = message, hint, column


@dataclass(frozen=True, slots=True)
class Argument:
    """Describes one value of a directive."""

    name: str  # key of the value in `Node.values`, and its description in messages
    # Converts the value; raises DirectiveError or UnknownUnitError.
    read: Callable[[ValueToken], object]
    optional: bool = False  # whether the line may end before the value
    after: str | None = None  # keyword that stands before the value, as `for` does in `start NAME for TIME`


@dataclass(frozen=True, slots=True)
class Directive:
    """Describes one directive."""

    keyword: str
    meaning: str  # explanation for operators, shown if a required directive is missing
    arguments: tuple[Argument, ...] = ()
    # Directives allowed in its block, by keyword; None: it opens no block.
    block: Mapping[str, Directive] | None = None
    condition: bool = False  # whether the rest of the line is a condition
    condition_after: str | None = None  # keyword after which a condition may follow the arguments
    # Converts all values after the arguments at once; raises DirectiveError.
    rest: Callable[[Sequence[ValueToken]], object] | None = None
    # Whether a block may contain the directive more than once. If `rest` is None, the first value of each
    # occurrence must be different.
    many: bool = False
    required: bool = False  # whether the enclosing block has to contain it


@dataclass(slots=True)
class Node:
    """A directive of the file, with the directives inside its block."""

    directive: Directive
    line: int  # line number, from 1
    column: int  # first column of the keyword, from 1
    # Converted values, by argument name; under "rest", what `Directive.rest` has returned.
    values: dict[str, Any] = field(default_factory=dict)
    condition: Condition | None = None
    inside: list[Node] = field(default_factory=list)

    def one(self, keyword: str) -> Node | None:
        """Returns the first directive with this keyword in the block, or None."""
        return next((node for node in self.inside if node.directive.keyword == keyword), None)

    def all(self, keyword: str) -> list[Node]:
        """Returns the directives with this keyword in the block, in the order of the file."""
        return [node for node in self.inside if node.directive.keyword == keyword]

    def value(self, keyword: str, argument: str, default: Any = None) -> Any:
        """Returns a value of the first directive with this keyword in the block.

        :param argument: name of the argument
        :param default: returned if there is no such directive or value
        """
        node = self.one(keyword)
        return default if node is None else node.values.get(argument, default)


def _block_keywords(vocabulary: Mapping[str, Directive]) -> list[str]:
    """Returns the keywords of all directives that open a block, at any depth."""
    found = [directive for directive in vocabulary.values() if directive.block is not None]
    return [each.keyword for each in found] + [
        keyword for each in found for keyword in _block_keywords(each.block or {})
    ]


def name(token: ValueToken) -> str:
    """Converts a name. Raises DirectiveError."""
    if token.kind not in ("NAME", "STRING"):
        raise DirectiveError(f"got '{token.text}'", "expected a name of letters, digits, '-' and '_'")
    return token.unquoted()


def path(token: ValueToken) -> str:
    """Converts a path. Raises DirectiveError."""
    if not token.unquoted():
        raise DirectiveError("got an empty path", "expected the path of a file")
    return token.unquoted()


def time(token: ValueToken) -> int:
    """Converts a time to microseconds. Raises UnknownUnitError."""
    return units.parse_time(token.text)


def size(token: ValueToken) -> int:
    """Converts a size to bytes. Raises UnknownUnitError."""
    return units.parse_size(token.text)


def share(token: ValueToken) -> float:
    """Converts a share to a ratio from 0 to 1. Raises DirectiveError or UnknownUnitError."""
    value = units.parse_share(token.text)
    if not 0 <= value <= 1:
        raise DirectiveError(f"got '{token.text}'", "expected a share from 0% to 100%")
    return value


def number(minimum: int, maximum: int) -> Callable[[ValueToken], int]:
    """Returns a function that converts a whole number within the bounds. It may raise DirectiveError."""

    def read(token: ValueToken) -> int:
        if token.kind != "NUMBER" or "." in token.text or not minimum <= int(token.text) <= maximum:
            raise DirectiveError(
                f"got '{token.text}'", f"expected a whole number from {minimum} to {maximum}"
            )
        return int(token.text)

    return read


def choice(*known: str) -> Callable[[ValueToken], str]:
    """Returns a function that accepts one of the known keywords. It may raise DirectiveError."""

    def read(token: ValueToken) -> str:
        if token.text not in known:
            raise DirectiveError(f"got '{token.text}'", suggest(token.text, known))
        return token.text

    return read


class TreeReader:
    """Reads the text of a file. `problems` collects its problems."""

    def __init__(self, file: str, vocabulary: Mapping[str, Directive]) -> None:
        self._file, self._vocabulary = file, vocabulary
        self.problems: list[Problem] = []

    def read(self, text: str) -> Node:
        """Returns the root of the tree, which holds all known directives. Adds the text's problems to
        `problems`."""
        root = Node(Directive("file", "the file", block=self._vocabulary), 1, 1)
        open_blocks = [root]
        skipped = 0  # number of open blocks that are skipped: an unknown block and those inside it
        for line_number, line_text in enumerate(text.split("\n"), 1):
            line = read_line(line_text, self._file, line_number)
            if isinstance(line, Problem):
                self.problems.append(line)
                continue
            if line is None:
                continue
            if line.keyword == END:
                skipped = self._close(line, open_blocks, skipped)
                continue
            if skipped:
                skipped += self._opens_block(line.keyword)
                continue
            directive = (open_blocks[-1].directive.block or {}).get(line.keyword)
            if directive is None:
                skipped += self._report_unknown(line, open_blocks)
                continue
            node = self._read_directive(directive, line)
            self._add_to_block(node, open_blocks[-1])
            if directive.block is not None:
                open_blocks.append(node)
        for node in open_blocks[1:]:
            self._add_problem(
                node.line, node.column, f"block '{node.directive.keyword}' is not closed", "add 'end'"
            )
        self._check_required(root)
        return root

    def _add_problem(self, line: int, column: int, message: str, hint: str) -> None:
        self.problems.append(Problem(self._file, line, column, message, hint))

    def _close(self, line: Line, open_blocks: list[Node], skipped: int) -> int:
        """Handles an `end` line. Returns how many skipped blocks are still open."""
        if line.tokens:
            self._add_problem(
                line.number,
                line.tokens[0].column,
                f"got '{line.tokens[0].text}' after 'end'",
                "expected the end of the line",
            )
        if skipped:
            return skipped - 1
        if len(open_blocks) == 1:
            self._add_problem(line.number, line.column, "'end' without an open block", "remove it")
        else:
            open_blocks.pop()
        return 0

    def _report_unknown(self, line: Line, open_blocks: list[Node]) -> int:
        """Reports an unknown keyword. Returns 1 if it seems to open a block, to be skipped; otherwise 0."""
        here, known = open_blocks[-1].directive, open_blocks[-1].directive.block or {}
        where = "at the top level" if len(open_blocks) == 1 else f"inside '{here.keyword}'"
        outer = next(
            (b.directive for b in reversed(open_blocks[:-1]) if line.keyword in (b.directive.block or {})),
            None,
        )
        if outer is not None:
            place = "at the top level" if outer.keyword == "file" else f"inside '{outer.keyword}'"
            hint = f"it belongs {place}: is an 'end' missing?"
        else:
            hint = suggest(line.keyword, [*known, END] if len(open_blocks) > 1 else known)
        self._add_problem(line.number, line.column, f"unknown directive '{line.keyword}' {where}", hint)
        return self._opens_block(line.keyword)

    def _opens_block(self, keyword: str) -> int:
        """Returns 1 if the keyword opens a block, or resembles one that does; otherwise 0."""
        return int(any(difflib.get_close_matches(keyword, _block_keywords(self._vocabulary), 1)))

    def _read_directive(self, directive: Directive, line: Line) -> Node:
        node = Node(directive, line.number, line.column)
        tokens = list(line.tokens)
        if directive.condition:
            self._read_condition(node, line, line.column + len(line.keyword) - 1)
            return node
        for argument in directive.arguments:
            self._read_argument(node, argument, line, tokens)
        if directive.rest is not None:
            try:
                node.values["rest"] = directive.rest(tokens)
            except DirectiveError as error:
                end = len(line.text.split("#")[0].rstrip()) + 1
                self._add_problem(line.number, error.column or end, error.message, error.hint)
        elif tokens and directive.condition_after is not None and tokens[0].text == directive.condition_after:
            self._read_condition(node, line, tokens[0].column + len(tokens[0].text) - 1)
        elif tokens:
            self._add_problem(
                line.number, tokens[0].column, f"got '{tokens[0].text}'", "expected the end of the line"
            )
        return node

    def _read_condition(self, node: Node, line: Line, column_offset: int) -> None:
        found = read_condition(line.text[column_offset:], self._file, line.number, column_offset)
        if isinstance(found, Problem):
            self.problems.append(found)
        else:
            node.condition = found

    def _read_argument(self, node: Node, argument: Argument, line: Line, tokens: list[ValueToken]) -> None:
        end = len(line.text.split("#")[0].rstrip()) + 1
        if argument.after is not None:
            if not tokens and argument.optional:
                return
            if not tokens or tokens[0].text != argument.after:
                if argument.optional:
                    return
                column, found = (
                    (tokens[0].column, f"'{tokens[0].text}'") if tokens else (end, "the end of the line")
                )
                self._add_problem(line.number, column, f"got {found}", f"expected '{argument.after}'")
                tokens.clear()
                return
            tokens.pop(0)
        if not tokens:
            if not argument.optional:
                self._add_problem(line.number, end, "got the end of the line", f"expected {argument.name}")
            return
        token = tokens.pop(0)
        try:
            node.values[argument.name] = argument.read(token)
        except DirectiveError as error:
            self._add_problem(line.number, token.column, error.message, error.hint)
        except units.UnknownUnitError as error:
            message, _, hint = str(error).partition(": ")  # the error's text is "MESSAGE: HINT"
            self._add_problem(line.number, token.column, message, hint)

    def _add_to_block(self, node: Node, block: Node) -> None:
        """Adds a directive to its block, or reports that it is repeated."""
        directive = node.directive
        same = block.all(directive.keyword)
        first = directive.arguments[0].name if directive.arguments else None
        if directive.many and directive.rest is not None:
            same = []
        elif directive.many and first is not None:
            value = node.values.get(first)
            same = [each for each in same if value is not None and each.values.get(first) == value]
        if same:
            repeated = directive.keyword + (f" {node.values.get(first)}" if directive.many and first else "")
            self._add_problem(
                node.line,
                node.column,
                f"'{repeated}' is repeated",
                f"it first stands on line {same[0].line}",
            )
            return
        block.inside.append(node)

    def _check_required(self, node: Node) -> None:
        for directive in (node.directive.block or {}).values():
            if directive.required and not node.all(directive.keyword):
                message = f"required directive '{directive.keyword}' is missing in '{node.directive.keyword}'"
                self._add_problem(
                    node.line, node.column, message, f"{directive.keyword}: {directive.meaning}"
                )
        for inner in node.inside:
            self._check_required(inner)
