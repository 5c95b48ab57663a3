"""Tests that are known to fail for a real fault: KNOWN-RED.txt at the root, a line each.

A line reads `test | cause | issue`. A listed test that fails is passed over and told at the end; one that
passes fails the run, and so do a line that names no test, more than three lines, and a line of another form.
There is no file while there is no such test.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

NAME, MOST = "KNOWN-RED.txt", 3


@dataclass(frozen=True)
class KnownRed:
    test: str
    cause: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """Raises pytest.UsageError with file, line and what would do."""
    if not path.exists():
        return []
    found: list[KnownRed] = []
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(
                f"{path.name}, line {number}: write 'test | cause | issue', nothing empty"
            )
        found.append(KnownRed(*parts))
    if not found:
        raise pytest.UsageError(f"{path.name} is empty: remove it")
    if len(found) > MOST:
        raise pytest.UsageError(f"{path.name}: {len(found)} lines, {MOST} at most")
    return found


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = read_known_red(config.rootpath / NAME)
    named = {each.test: each for each in known}
    for item in items:
        if (red := named.pop(item.nodeid, None)) is not None:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{red.cause} ({red.issue})"))
    whole = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    if named and whole:
        raise pytest.UsageError(f"{NAME}: no test is called {', '.join(sorted(named))}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for red in read_known_red(config.rootpath / NAME):
        terminalreporter.write_line(f"known red: {red.test}: {red.cause} ({red.issue})")
