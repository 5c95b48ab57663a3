"""The gateway with a wall clock that is off at its start, and steps back after some seconds:
`python -m lotusstream.lab.soak.shim SECONDS serve ...`."""

from __future__ import annotations

import runpy
import sys
import time

STEPS_AFTER = 3.0  # seconds


def shift_wall_clock(seconds: float) -> None:
    """Durations stay right: the monotonic clock is not touched."""
    wall, wall_ns, began = time.time, time.time_ns, time.monotonic()

    def off() -> float:
        return seconds if time.monotonic() - began < STEPS_AFTER else 0.0

    time.time = lambda: wall() + off()
    time.time_ns = lambda: wall_ns() + int(off() * 1e9)


def main() -> None:
    shift_wall_clock(float(sys.argv[1]))
    sys.argv = ["lotusstream", *sys.argv[2:]]
    runpy.run_module("lotusstream", run_name="__main__")


if __name__ == "__main__":
    main()
