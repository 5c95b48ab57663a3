"""Log lines, so many of a kind in a time: plain ones on standard error, or whatever `use` is given."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Mapping

LIMIT_WINDOW_S = 10.0
MAX_LINES_PER_WINDOW = 5  # lines of one kind

LogWriter = Callable[[str, str, str, Mapping[str, object]], None]  # severity, kind, text, fields


def write_plain(_severity: str, kind: str, text: str, _fields: Mapping[str, object]) -> None:
    print(f"{kind}: {text}", file=sys.stderr, flush=True)


class Log:
    def __init__(self) -> None:
        self._kinds: dict[str, tuple[float, int]] = {}
        self._write: LogWriter = write_plain

    def use(self, writer: LogWriter) -> None:
        self._write = writer

    @property
    def structured(self) -> bool:
        return self._write is not write_plain

    def write(self, kind: str, text: str, severity: str = "warning", **fields: object) -> None:
        """`kind` is one of a fixed set of names: lines are limited by it. `fields` are written where lines
        are structured; the text says it all where they are not."""
        now = time.monotonic()
        since, count = self._kinds.get(kind, (now, 0))
        if now - since >= LIMIT_WINDOW_S:
            if count > MAX_LINES_PER_WINDOW:
                self._write(
                    severity,
                    kind,
                    f"{count - MAX_LINES_PER_WINDOW} more lines left out",
                    {"left_out": count - MAX_LINES_PER_WINDOW},
                )
            since, count = now, 0
        self._kinds[kind] = (since, count + 1)
        if count < MAX_LINES_PER_WINDOW:
            self._write(severity, kind, text, fields)
