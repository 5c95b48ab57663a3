"""Keeps the collector away while a failure is written down.

To write a failure down, pytest parses the source of the test. On Python 3.11 a collection in the middle of
that may end the whole run with `SystemError: AST constructor recursion depth mismatch`: an object whose
finalizer raises is reported with its traceback, which parses source as well.
"""

from __future__ import annotations

import gc
from collections.abc import Generator

import pytest


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport() -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Makes the report of a test without a collection meanwhile."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return (yield)
    finally:
        if was_enabled:
            gc.enable()
