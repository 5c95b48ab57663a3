"""Rollouts on a simulated fleet, with the real state machine.

Measures how many defective versions are rolled back, how many equivalent ones pass, and the smallest share of
lost requests that is detected.

`--same N`, `--bad N` (of each kind), `--seeds N` and `--gateways N` set the extent.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import multiprocessing
import statistics
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from msgspec import structs

from benchmarks.planted_rollout import PLANTED, detecting_seed
from lotusstream.lab.rollout import DEFECTS, PLAN, Defect, RolloutScenario, play
from lotusstream.lab.world import InvariantViolationError, S
from lotusstream.rollout.rollout import Phase

LOSS_SHARES = (0.01, 0.015, 0.02, 0.03, 0.05)  # shares of requests that the new version loses
LONG_SCENARIO = replace(RolloutScenario(), duration_us=10 * 3600 * S, faults_end_us=3 * 3600 * S)

# kind of the run, last phase of the rollout or "broken", reason of it, seconds until the end, number of
# requests lost because of the defect
Result = tuple[str, str, str, float, float]


def play_one(job: tuple[str, int, RolloutScenario]) -> Result:
    """Plays one rollout, given as kind of the run, seed and scenario."""
    kind, seed, scenario = job
    try:
        result = play(seed, scenario)
    except InvariantViolationError as error:
        return kind, "broken", str(error), 0.0, 0.0
    return kind, result.phase.value, result.why, result.duration_us / S, result.harmed_requests


def detect_planted(at: int) -> tuple[str, bool]:
    """Returns the name of a planted defect, and whether some seed detects it."""
    return PLANTED[at].name, detecting_seed(PLANTED[at], 60) is not None


def scenario_for(gateways: int, defect: Defect, *, faults: bool) -> RolloutScenario:
    """Returns a scenario whose plan fits the number of gateways. `faults`: whether faults are injected."""
    plan = structs.replace(PLAN, stages=(0.0, 0.05, 0.25, 1.0) if gateways >= 40 else PLAN.stages)
    plan = structs.replace(
        plan, max_concurrent_changes=max(2, gateways // 20), max_concurrent_rollbacks=max(6, gateways // 10)
    )
    return replace(
        LONG_SCENARIO, gateways=gateways, plan=plan, defect=defect, status_interval_us=2 * S,
        faults=LONG_SCENARIO.faults if faults else (),
    )  # fmt: skip


def measure(arguments: Sequence[str] = ()) -> tuple[list[str], dict[str, Any]]:
    """Runs the benchmark with these options. Returns its lines to print and its report, by key."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks rollout", description=__doc__)
    parser.add_argument("--same", type=int, default=200)
    parser.add_argument("--bad", type=int, default=10)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--gateways", type=int, default=60)
    options = parser.parse_args(list(arguments))
    count = options.gateways
    jobs = [("same", at, scenario_for(count, Defect(), faults=bool(at % 2))) for at in range(options.same)]
    jobs += [
        (kind, at, scenario_for(count, defect, faults=bool(at % 2)))
        for kind, defect in DEFECTS.items()
        for at in range(options.bad)
    ]
    jobs += [
        (
            f"power {gateway_count} {lost_share}",
            at,
            scenario_for(gateway_count, Defect(added_shares={"lost": lost_share}), faults=False),
        )
        for gateway_count in (20, 60)
        for lost_share in LOSS_SHARES
        for at in range(options.bad)
    ]
    jobs += [("seeds", at, RolloutScenario()) for at in range(options.seeds)]
    with concurrent.futures.ProcessPoolExecutor(mp_context=multiprocessing.get_context("spawn")) as pool:
        results = list(pool.map(play_one, jobs, chunksize=4))
        not_detected = [
            name for name, is_detected in pool.map(detect_planted, range(len(PLANTED))) if not is_detected
        ]
    lines = [f"{kind}: {why}" for kind, end, why, _, _ in results if end == "broken"][:10]
    defective = [each for each in results if each[0] in DEFECTS]
    rolled_back = [each for each in defective if each[1] == Phase.ROLLED_BACK.value]
    for kind in DEFECTS:
        of_kind = [each for each in rolled_back if each[0] == kind]
        if of_kind:
            lines.append(
                f"{kind}: stopped {len(of_kind)}, median {statistics.median(e[3] for e in of_kind):.0f} s"
            )
    smallest_detected = {}
    for gateway_count in (20, 60):
        for lost_share in LOSS_SHARES:
            ends = [each[1] for each in results if each[0] == f"power {gateway_count} {lost_share}"]
            if ends and ends.count(Phase.ROLLED_BACK.value) >= 0.9 * len(ends):
                smallest_detected[f"smallest_loss_seen_{gateway_count}"] = lost_share
                break
    lost = [each for each in rolled_back if each[0] == "loses one in twenty"]
    # requests that would be lost in a window if all gateways were changed at once
    harm_per_window = 0.05 * LONG_SCENARIO.requests_per_window * count
    durations = sorted(each[3] for each in rolled_back)
    return lines, {
        "gateways": count,
        "bad_changes": len(defective),
        "bad_stopped": len(rolled_back),
        "stop_s_p90": durations[len(durations) * 9 // 10] if durations else 0.0,
        "harmed_share": sum(each[4] / (harm_per_window * each[3] / 10) for each in lost) / max(1, len(lost)),
        "same_changes": options.same,
        "false_stops": sum(each[0] == "same" and each[1] != Phase.DONE.value for each in results),
        **smallest_detected,
        "seeds": options.seeds,
        "seeds_failed": sum(each[1] == "broken" for each in results),
        "planted": len(PLANTED),
        "planted_caught": len(PLANTED) - len(not_detected),
    }
