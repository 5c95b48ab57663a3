"""Rate-limited log lines, written to standard error as plain text or passed to a configured writer."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Mapping

LIMIT_WINDOW_S = 10.0  # seconds over which the lines of one kind are limited
MAX_LINES_PER_WINDOW = 5  # further lines of the same kind are dropped

LogWriter = Callable[[str, str, str, Mapping[str, object]], None]  # arguments: severity, kind, text, fields


def write_plain(_severity: str, kind: str, text: str, _fields: Mapping[str, object]) -> None:
    """Writes a plain line to standard error."""
    print(f"{kind}: {text}", file=sys.stderr, flush=True)


class Log:
    """A rate-limited log: a repeating fault neither fills the disk nor hides lines of other kinds."""

    def __init__(self) -> None:
        # by kind of line: (begin of its current window in seconds, number of lines in that window, including
        # dropped ones)
        self._windows: dict[str, tuple[float, int]] = {}
        self._write: LogWriter = write_plain

    def set_writer(self, writer: LogWriter) -> None:
        """Passes all further lines to `writer`, instead of writing them to standard error."""
        self._write = writer

    @property
    def structured(self) -> bool:
        """Whether lines go to a configured writer, which also receives their fields."""
        return self._write is not write_plain

    def write(self, kind: str, text: str, severity: str = "warning", **fields: object) -> None:
        """Writes a line, unless MAX_LINES_PER_WINDOW lines of its kind were written in the current window.

        :param kind: one of a fixed set of names; the limit applies to each kind separately.
        :param text: the message, understandable without `fields`, which a plain line does not contain.
        """
        now = time.monotonic()
        window_started_at, count = self._windows.get(kind, (now, 0))
        if now - window_started_at >= LIMIT_WINDOW_S:
            self._report_dropped_lines(kind, count, severity)
            window_started_at = now
            count = 0
        self._windows[kind] = (window_started_at, count + 1)
        if count < MAX_LINES_PER_WINDOW:
            self._write(severity, kind, text, fields)

    def _report_dropped_lines(self, kind: str, count: int, severity: str) -> None:
        dropped_lines = count - MAX_LINES_PER_WINDOW
        if dropped_lines > 0:
            self._write(
                severity, kind, f"{dropped_lines} more lines were dropped", {"left_out": dropped_lines}
            )
