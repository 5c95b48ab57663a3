"""`python -m benchmarks NAME [--json]`: prints a table, and with --json one JSON object as the last line."""

from __future__ import annotations

import argparse
import importlib
import json
import sys
import time

BENCHMARKS = ("cells", "copies", "examine", "leases", "levels", "rollout", "scale", "statements")


def main() -> int:
    """Runs the benchmark that the command line names. Returns the exit status."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks", description=__doc__)
    parser.add_argument("name", choices=BENCHMARKS)
    parser.add_argument("--json", action="store_true", help="one JSON object as the last line")
    arguments, rest = parser.parse_known_args()  # `rest`: options of the benchmark itself
    began = time.monotonic()
    measure = importlib.import_module(f"benchmarks.{arguments.name}").measure
    lines, report = measure(rest) if rest else measure()
    print("\n".join(lines))
    for name, value in report.items():
        print(f"{name}: {value:.3f}" if isinstance(value, float) else f"{name}: {value}")
    print(f"took {time.monotonic() - began:.0f} s")
    if arguments.json:
        print(json.dumps(report))
    return 0


if __name__ == "__main__":
    sys.exit(main())
