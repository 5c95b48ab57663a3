"""Parses one line of the operator file, and the condition in it.

Each line is parsed on its own, and tree.py builds the blocks: a syntax error in one line does not hide the
problems of the others, so all problems of a file are reported at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from lark import Lark, Token, Transformer, UnexpectedCharacters, UnexpectedInput, v_args

from lotusstream.levels import condition as logic
from lotusstream.levels.signals import SIGNALS, SignalKey, SignalUnit
from lotusstream.operator import units
from lotusstream.operator.problems import Problem, suggest

GRAMMAR = r"""
line: [NAME value*]
value: NAME | TIME | SIZE | SHARE | NUMBER | STRING | WORD | COMPARE | "(" | ")" | FOR | AND | OR | WHILE

condition: any (FOR TIME)?
?any: all (OR all)*
?all: atom (AND atom)*
?atom: comparison | "(" any ")"
comparison: signal COMPARE limit
signal: NAME ("(" NAME ")")?
limit: SHARE | TIME | NUMBER

FOR.6: /for(?![^\s#()<>=])/
AND.6: /and(?![^\s#()<>=])/
OR.6: /or(?![^\s#()<>=])/
WHILE.6: /while(?![^\s#()<>=])/
COMPARE: />=|<=|>|</
NAME.2: /[A-Za-z_][A-Za-z0-9_-]*(?![^\s#()<>=])/
TIME.5: /\d+(\.\d+)?(us|ms|s|m|h|d)(?![^\s#()<>=])/
SIZE.4: /\d+(\.\d+)?(B|KB|MB|GB)(?![^\s#()<>=])/
SHARE.4: /\d+(\.\d+)?%(?![^\s#()<>=])/
NUMBER.3: /\d+(\.\d+)?(?![^\s#()<>=])/
STRING: /"[^"\n]*"/
WORD.1: /[^\s#"()<>=]+/
COMMENT: /#[^\n]*/
SPACE: /[ \t\r\f]+/
%ignore COMMENT
%ignore SPACE
"""

# How messages describe each terminal of the grammar.
TERMINAL_DESCRIPTIONS = {
    "NAME": "a name",
    "TIME": "a time such as 30s",
    "SIZE": "a size such as 64MB",
    "SHARE": "a share such as 80%",
    "NUMBER": "a number",
    "STRING": 'text in "quotes"',
    "WORD": "a word",
    "COMPARE": "<, >, <= or >=",
    "FOR": "'for'",
    "AND": "'and'",
    "OR": "'or'",
    "LPAR": "'('",
    "RPAR": "')'",
    "$END": "the end of the line",
}

_PARSER = Lark(GRAMMAR, parser="lalr", lexer="basic", start=["line", "condition"], maybe_placeholders=False)


@dataclass(frozen=True, slots=True)
class ValueToken:
    """One value on a line."""

    text: str  # as written, a string with its quotes
    kind: str  # name of the grammar's terminal that the value matches, such as NAME
    column: int  # first column of the value, from 1

    def unquoted(self) -> str:
        """Returns the text, without the quotes of a string."""
        return self.text[1:-1] if self.kind == "STRING" else self.text


@dataclass(frozen=True, slots=True)
class Line:
    """A line with a directive."""

    keyword: str
    tokens: tuple[ValueToken, ...]  # the values after the keyword
    number: int  # line number, from 1
    column: int  # first column of the keyword, from 1
    text: str  # the whole line


class _ConditionError(Exception):
    """A condition has valid syntax but can't be used, such as one with an unknown signal."""

    def __init__(self, column: int, message: str, hint: str) -> None:
        super().__init__(message)
        self.column, self.message, self.hint = column, message, hint


def _syntax_problem(error: UnexpectedInput, path: str, number: int, column_offset: int, text: str) -> Problem:
    wanted: set[str]
    if isinstance(error, UnexpectedCharacters):
        found, wanted = f"'{text[error.column - 1]}'", set(error.allowed or ())
    else:
        token = getattr(error, "token", None)
        found = "the end of the line" if token is None or token.type == "$END" else f"'{token}'"
        wanted = set(getattr(error, "accepts", None) or getattr(error, "expected", None) or ())
    named = sorted({TERMINAL_DESCRIPTIONS[name] for name in wanted if name in TERMINAL_DESCRIPTIONS})
    at_end = found == "the end of the line"
    column = len(text.split("#")[0].rstrip()) + 1 if at_end else max(1, getattr(error, "column", 1))
    hint = f"expected {' or '.join(named)}" if named else "remove it"
    return Problem(path, number, column_offset + column, f"got {found}", hint)


def read_line(text: str, path: str, number: int) -> Line | None | Problem:
    """Parses a line. Returns None if it has no directive, and a problem if its syntax is invalid."""
    try:
        tree = _PARSER.parse(text, start="line")
    except UnexpectedInput as error:
        return _syntax_problem(error, path, number, 0, text)
    tokens = []
    for child in tree.children:
        found = child if isinstance(child, Token) else cast("Any", child).children
        if isinstance(found, Token):
            tokens.append(ValueToken(str(found), found.type, found.column or 1))
        elif found:
            tokens.append(ValueToken(str(found[0]), found[0].type, found[0].column or 1))
    if not tokens:
        return None
    return Line(tokens[0].text, tuple(tokens[1:]), number, tokens[0].column, text)


@v_args(inline=True)
class _ConditionBuilder(Transformer[Token, logic.Condition]):
    """Builds a condition from a parse tree. Each method handles the grammar rule of the same name."""

    def condition(self, expression: logic.Expression, *dwell: Token) -> logic.Condition:
        return logic.Condition(expression, units.parse_time(dwell[1]) if dwell else 0)

    def any(self, *parts: Any) -> logic.Expression:
        return logic.AnyOf(tuple(part for part in parts if not isinstance(part, Token)))

    def all(self, *parts: Any) -> logic.Expression:
        return logic.AllOf(tuple(part for part in parts if not isinstance(part, Token)))

    def signal(self, name: Token, *profile: Token) -> tuple[Token, Token | None]:
        return name, profile[0] if profile else None

    def limit(self, token: Token) -> Token:
        return token

    def comparison(self, signal: tuple[Token, Token | None], sign: Token, limit: Token) -> logic.Comparison:
        name, profile = signal
        known = SIGNALS.get(name)
        if known is None:
            raise _ConditionError(name.column or 1, f"no signal is called '{name}'", suggest(name, SIGNALS))
        if profile is not None and not known.by_profile:
            raise _ConditionError(
                profile.column or 1, f"{name} is not measured by profile", f"write {name} without a profile"
            )
        wanted = {SignalUnit.SHARE: "SHARE", SignalUnit.TIME: "TIME", SignalUnit.COUNT: "NUMBER"}[known.unit]
        if limit.type != wanted:
            raise _ConditionError(
                limit.column or 1,
                f"got '{limit}'",
                f"{name} is compared with {TERMINAL_DESCRIPTIONS[wanted]}",
            )
        readers: dict[str, Callable[[str], float]]
        readers = {"SHARE": units.parse_share, "TIME": units.parse_time, "NUMBER": float}
        value = readers[wanted](limit)
        key = SignalKey(str(name), str(profile) if profile is not None else None)
        return logic.Comparison(key, sign.startswith(">"), value, sign.endswith("="))


def read_condition(text: str, path: str, number: int, column_offset: int) -> logic.Condition | Problem:
    """Parses a condition. Returns a problem if it is invalid.

    :param text: the part of the line with the condition
    :param path: path of the operator file, for the problem
    :param number: number of the line, from 1
    :param column_offset: number of columns of the line before the text
    """
    try:
        tree = _PARSER.parse(text, start="condition")
    except UnexpectedInput as error:
        return _syntax_problem(error, path, number, column_offset, text)
    try:
        return _ConditionBuilder().transform(tree)
    except Exception as error:
        cause: BaseException = getattr(error, "orig_exc", error)
        if isinstance(cause, _ConditionError):
            return Problem(path, number, column_offset + cause.column, cause.message, cause.hint)
        raise
