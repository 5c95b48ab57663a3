"""A failure is written down although finalizers raise meanwhile."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

TEST = """
import gc
import pytest

is_over = False

class Leftover:
    def __init__(self):
        self.itself = self

    def __del__(self):
        if not is_over:
            Leftover()
        raise RuntimeError("left over")

@pytest.fixture
def until_written():
    yield
    global is_over
    is_over = True
    gc.collect()

def test_red(until_written):
    gc.set_threshold(200)
    Leftover()
    assert False
"""
MORE_SOURCE = "value = [1, 2, 3]\n" * 300  # long enough for several collections while it is parsed


def test_failure_is_reported_although_each_collection_runs_a_finalizer_that_raises(tmp_path: Path) -> None:
    """A collection while pytest parsed the source of a failed test ended the run with an internal error, and
    named neither the test nor the failure."""
    (tmp_path / "conftest.py").write_text(
        f"import sys\nsys.path.insert(0, {str(Path(__file__).parent)!r})\n"
        "from failure_report import pytest_runtest_makereport\n"
    )
    (tmp_path / "test_some.py").write_text(TEST + MORE_SOURCE)
    arguments = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    run = subprocess.run(arguments, cwd=tmp_path, capture_output=True, text=True, timeout=60)
    assert run.returncode == 1 and "1 failed" in run.stdout, run.stdout
    assert "assert False" in run.stdout and "INTERNALERROR" not in run.stdout
