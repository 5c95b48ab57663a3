"""Problems of an operator file: the place of each, the invalid value and the valid ones."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """One problem of an operator file. Problems are ordered by their place."""

    path: str  # path of the operator file
    line: int  # line number, from 1
    column: int  # column of the invalid text, from 1
    message: str  # says what is invalid
    hint: str  # says what is valid, or how to solve the problem

    def __str__(self) -> str:
        return f"{self.path}:{self.line}:{self.column}: {self.message}; {self.hint}"


class OperatorFileError(Exception):
    """The operator file can't be used. `problems` holds all of its problems in the order of their lines."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        self.problems = tuple(sorted(set(problems)))
        super().__init__("\n".join(map(str, self.problems)))

    @classmethod
    def for_whole_file(cls, path: str, message: str) -> OperatorFileError:
        """Returns an error with one problem, which concerns the whole file and is solved by a restart of the
        gateway."""
        return cls([Problem(path, 1, 1, message, "restart the gateway to apply the file")])


def suggest(name: str, known: Iterable[str]) -> str:
    """Returns a hint with the known name that is most similar, or with all known names if none is similar."""
    listed = list(known)
    close = difflib.get_close_matches(name, listed, 1)
    return f"did you mean '{close[0]}'?" if close else f"expected one of {', '.join(listed)}"
