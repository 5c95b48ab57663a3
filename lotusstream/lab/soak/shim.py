"""Runs the gateway with a wall clock that is wrong at first, and steps to the right time after 3 s:
`python -m lotusstream.lab.soak.shim SECONDS serve ...`, where SECONDS is how far the clock is ahead."""

from __future__ import annotations

import runpy
import sys
import time

STEP_AFTER_SECONDS = 3.0  # after the start


def shift_wall_clock(seconds: float) -> None:
    """Replaces `time.time` and `time.time_ns`. The monotonic clock, which measures durations, stays right."""
    wall, wall_ns, started_at = time.time, time.time_ns, time.monotonic()

    def offset() -> float:
        return seconds if time.monotonic() - started_at < STEP_AFTER_SECONDS else 0.0

    time.time = lambda: wall() + offset()
    time.time_ns = lambda: wall_ns() + int(offset() * 1e9)


def main() -> None:
    shift_wall_clock(float(sys.argv[1]))
    sys.argv = ["lotusstream", *sys.argv[2:]]
    runpy.run_module("lotusstream", run_name="__main__")


if __name__ == "__main__":
    main()
