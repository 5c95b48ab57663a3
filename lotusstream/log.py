"""Log lines, so many of a kind in a time: plain ones on standard error, or whatever `use` is given."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Mapping

SPAN, MOST = 10.0, 5  # seconds, and lines of one kind in them

Writer = Callable[[str, str, str, Mapping[str, object]], None]  # severity, kind, text, fields


def plain(_severity: str, kind: str, text: str, _fields: Mapping[str, object]) -> None:
    print(f"{kind}: {text}", file=sys.stderr, flush=True)


class Log:
    def __init__(self) -> None:
        self._kinds: dict[str, tuple[float, int]] = {}
        self._write: Writer = plain

    def use(self, writer: Writer) -> None:
        self._write = writer

    @property
    def structured(self) -> bool:
        return self._write is not plain

    def say(self, kind: str, text: str, severity: str = "warning", **fields: object) -> None:
        """`kind` is one of a fixed set of names: lines are limited by it. `fields` are written where lines
        are structured; the text says it all where they are not."""
        now = time.monotonic()
        since, count = self._kinds.get(kind, (now, 0))
        if now - since >= SPAN:
            if count > MOST:
                self._write(severity, kind, f"{count - MOST} more lines left out", {"left_out": count - MOST})
            since, count = now, 0
        self._kinds[kind] = (since, count + 1)
        if count < MOST:
            self._write(severity, kind, text, fields)
