"""Runs seeds of the soak one after another and reports the result of each: `lotusstream lab soak`."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from lotusstream.lab.soak.judge import SoakHistory
from lotusstream.lab.soak.plan import SoakPlan, draw_plan
from lotusstream.lab.soak.run import SoakResult, SoakRun

MAX_VIOLATIONS_SHOWN = 5  # per failed seed


def play(plan: SoakPlan, planted: str | None = None) -> SoakResult:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(SoakRun(plan, Path(folder), planted).play())


def describe(plan: SoakPlan, result: SoakResult) -> list[str]:
    """Returns the lines of the report on one seed."""
    faults = ", ".join(f"{fault.kind.value} at {fault.at:.1f}" for fault in plan.faults)
    verdict = "passed" if result.passed else "FAILED"
    lines = [
        f"seed {plan.seed}: {verdict}, {result.served} of {result.requests} served, "
        f"{plan.gateways} gateways, {plan.servers} servers, clock off {plan.clock_off:g} s; {faults}"
    ]
    lines += [f"  crash: {crash}" for crash in result.crashes]
    for violation in result.broken[:MAX_VIOLATIONS_SHOWN]:
        lines.append(f"  {violation.rule}: {violation.text}")
        lines.append("    " + describe_request(result.history, violation.call).replace("\n", "\n    "))
    if len(result.broken) > MAX_VIOLATIONS_SHOWN:
        lines.append(f"  and {len(result.broken) - MAX_VIOLATIONS_SHOWN} more")
    return lines


def describe_request(history: SoakHistory, call: str) -> str:
    """Describes one request for a report: its attempts in order of arrival, then its answer."""
    outcome = next((each for each in history.outcomes if each.call == call), None)
    if outcome is None:
        return f"{call}: no such request"
    steps = [f"{call} {outcome.profile} of {outcome.gateway}, {outcome.time_out} s"]
    for attempt in history.attempts:
        if attempt.call == call:
            limit = f"time limit {attempt.time_out:.3f} s" + ("" if attempt.ran else ", rejected")
            steps.append(f"  +{attempt.at - outcome.sent_at:.3f} at {attempt.server}, {limit}")
    ended_at = outcome.answered_at if outcome.answered_at is not None else outcome.gave_up_at
    after = f"+{ended_at - outcome.sent_at:.3f}" if ended_at is not None else "never"
    steps.append(f"  {after} {outcome.answer or ('client gave up' if outcome.gave_up_at else 'no answer')}")
    return "\n".join(steps)


def parse_seeds(text: str) -> range:
    """Parses `A..B` or one number. Raises ValueError if the text is neither."""
    first, _, last = text.partition("..")
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise ValueError(f"expected a seed such as 7, or a range such as 1..50, got '{text}'") from error


def play_seeds(seeds: range, seconds: float, report: Path | None, planted: str | None) -> list[int]:
    """Runs the seeds one after another, prints the result of each, and returns the seeds that failed.

    :param seconds: length of each run.
    :param report: folder for a file on each failed seed; None: no files.
    :param planted: defect of lab/scale/planted.py that every gateway has; None: no defect.
    """
    failed = []
    for seed in seeds:
        plan = draw_plan(seed, seconds)
        result = play(plan, planted)
        lines = describe(plan, result)
        print("\n".join(lines), flush=True)
        if not result.passed:
            failed.append(seed)
            if report is not None:
                report.mkdir(parents=True, exist_ok=True)
                (report / f"seed-{seed}.txt").write_text("\n".join(lines) + "\n")
    print(f"failed seeds: {failed or 'none'}")
    return failed
