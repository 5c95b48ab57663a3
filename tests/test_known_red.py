"""KNOWN-RED.txt lets only the tests fail that it lists, and only while they exist and fail."""

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
RED = "tests/test_some.py::test_red | pytest, no seed | it can't be | issue 36\n"


def run(folder: Path, listed: str | None, other: bool = True) -> subprocess.CompletedProcess[str]:
    """Runs pytest on TESTS. `listed`: content of KNOWN-RED.txt; None: no file. `other`: test_other passes."""
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
    arguments = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    return subprocess.run(arguments, cwd=folder, capture_output=True, text=True, timeout=60)


def test_failure_of_a_listed_test_is_reported_and_does_not_fail_the_run(tmp_path: Path) -> None:
    """A known fault must not hide new failures, and must stay visible in the summary."""
    result = run(tmp_path, RED)
    assert result.returncode == 0 and "2 passed, 1 xfailed" in result.stdout
    assert "known red: tests/test_some.py::test_red: it can't be (issue 36); pytest, no seed" in result.stdout


@pytest.mark.parametrize(
    ("listed", "other", "message"),
    [
        (None, True, "1 failed, 2 passed"),
        (RED, False, "1 failed, 1 passed, 1 xfailed"),
        (RED + "tests/test_some.py::test_green | pytest | it can't be | issue 36\n", True, "XPASS(strict)"),
        (
            RED + "tests/test_some.py::test_gone | pytest | it can't be | issue 36\n",
            True,
            "no test is called",
        ),
        (
            "tests/test_some.py::test_red | pytest | no issue\n",
            True,
            "line 1: expected 'test | command and seed",
        ),
        (
            "tests/test_some.py::test_red | | it can't be | issue 36\n",
            True,
            "line 1: expected 'test | command",
        ),
        ("", True, "is empty"),
        (RED * 4, True, "expected at most 3 lines, got 4"),
    ],
)
def test_unlisted_failure_listed_success_or_invalid_file_fails_the_run(
    tmp_path: Path, listed: str | None, other: bool, message: str
) -> None:
    """If such a run passed, the list could hide other failures, keep tests that pass or no longer exist, and
    grow long."""
    result = run(tmp_path, listed, other)
    assert result.returncode != 0 and message in result.stdout + result.stderr
