"""Log lines on standard error, so many of a kind in a time."""

from __future__ import annotations

import sys
import time

SPAN, MOST = 10.0, 5  # seconds, and lines of one kind in them


class Log:
    def __init__(self) -> None:
        self._kinds: dict[str, tuple[float, int]] = {}

    def say(self, kind: str, text: str) -> None:
        """`kind` is one of a fixed set of names: lines are limited by it."""
        now = time.monotonic()
        since, count = self._kinds.get(kind, (now, 0))
        if now - since >= SPAN:
            if count > MOST:
                print(f"{kind}: {count - MOST} more lines left out", file=sys.stderr, flush=True)
            since, count = now, 0
        self._kinds[kind] = (since, count + 1)
        if count < MOST:
            print(f"{kind}: {text}", file=sys.stderr, flush=True)
