"""KNOWN-RED.txt passes over just what it lists, and nothing that passes or isn't there."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

TESTS = """
def test_red():
    assert False

def test_green():
    pass

def test_other():
    assert {other}
"""
RED = "tests/test_some.py::test_red | it can't be | issue 36\n"


def run(folder: Path, listed: str | None, other: bool = True) -> subprocess.CompletedProcess[str]:
    tests = folder / "tests"
    tests.mkdir()
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tests / "conftest.py").write_text(
        f"import sys\nsys.path.insert(0, {str(Path(__file__).parent)!r})\n"
        "from known_red import pytest_collection_modifyitems, pytest_terminal_summary\n"
    )
    (tests / "test_some.py").write_text(TESTS.format(other=other))
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    words = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    return subprocess.run(words, cwd=folder, capture_output=True, text=True, timeout=60)


def test_a_listed_test_that_fails_is_passed_over_and_told(tmp_path: Path) -> None:
    ended = run(tmp_path, RED)
    assert ended.returncode == 0 and "2 passed, 1 xfailed" in ended.stdout
    assert "known red: tests/test_some.py::test_red: it can't be (issue 36)" in ended.stdout


@pytest.mark.parametrize(
    ("listed", "other", "said"),
    [
        (None, True, "1 failed, 2 passed"),
        (RED, False, "1 failed, 1 passed, 1 xfailed"),
        (RED + "tests/test_some.py::test_green | it can't be | issue 36\n", True, "XPASS(strict)"),
        (RED + "tests/test_some.py::test_gone | it can't be | issue 36\n", True, "no test is called"),
        ("tests/test_some.py::test_red | no issue\n", True, "line 1: write 'test | cause | issue'"),
        ("", True, "is empty"),
        (RED * 4, True, "4 lines, 3 at most"),
    ],
)
def test_whatever_else_fails_the_run(tmp_path: Path, listed: str | None, other: bool, said: str) -> None:
    ended = run(tmp_path, listed, other)
    assert ended.returncode != 0 and said in ended.stdout + ended.stderr
