"""`python -m lotusstream.lab.soak --seeds 1..50 [--seconds 8] [--report DIR]`: plays seeds one after another;
`--replay N` plays one again and prints the path of each request that broke a rule."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from lotusstream.lab.scale.planted import PLANTED
from lotusstream.lab.soak.plan import SoakPlan, draw_plan
from lotusstream.lab.soak.run import SoakResult, SoakRun, path_of

SHOWN = 5  # requests of a failed seed


def play(plan: SoakPlan, planted: str | None = None) -> SoakResult:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(SoakRun(plan, Path(folder), planted).play())


def describe(plan: SoakPlan, result: SoakResult) -> list[str]:
    faults = ", ".join(f"{fault.kind.value} at {fault.at:.1f}" for fault in plan.faults)
    verdict = "passed" if result.passed else "FAILED"
    lines = [
        f"seed {plan.seed}: {verdict}, {result.served} of {result.requests} served, "
        f"{plan.gateways} gateways, {plan.servers} servers, clock off {plan.clock_off:g} s; {faults}"
    ]
    lines += [f"  crash: {crash}" for crash in result.crashes]
    for broken in result.broken[:SHOWN]:
        lines.append(f"  {broken.rule}: {broken.text}")
        lines.append("    " + path_of(result.history, broken.call).replace("\n", "\n    "))
    if len(result.broken) > SHOWN:
        lines.append(f"  and {len(result.broken) - SHOWN} more")
    return lines


def seeds_of(text: str) -> range:
    """`A..B` or one number. Raises argparse.ArgumentTypeError with what is expected."""
    first, _, last = text.partition("..")
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise argparse.ArgumentTypeError(f"'{text}' is no seed: write 7, or 1..50") from error


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m lotusstream.lab.soak", description=__doc__)
    parser.add_argument("--seeds", type=seeds_of, default=range(1, 2))
    parser.add_argument("--replay", type=seeds_of, help="a seed to play again")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--report", type=Path, help="a folder for a file of each failed seed")
    parser.add_argument("--planted", choices=sorted(PLANTED), help="a defect that every gateway has")
    asked = parser.parse_args()
    failed = []
    for seed in asked.replay or asked.seeds:
        plan = draw_plan(seed, asked.seconds)
        result = play(plan, asked.planted)
        lines = describe(plan, result)
        print("\n".join(lines), flush=True)
        if not result.passed:
            failed.append(seed)
            if asked.report is not None:
                asked.report.mkdir(parents=True, exist_ok=True)
                (asked.report / f"seed-{seed}.txt").write_text("\n".join(lines) + "\n")
    print(f"failed seeds: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
