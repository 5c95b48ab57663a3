"""Levels of reduced service: the shipped ladder against full service and simpler baselines.

Measures a scripted overload, a load that oscillates around the limit of the first level, and the CPU cost of
the level controller.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from benchmarks.fleet import (
    LOOKUP,
    PROFILE_NAMES,
    REPORT,
    FleetResult,
    FleetSimulation,
    S,
    Workload,
    gateway_started,
)
from benchmarks.ladders import FixedThreshold, QueueDelay, shipped_ladder, with_ladder, without_levels
from lotusstream import interface as api
from lotusstream.levels.controlled_module import LevelControlledModule
from lotusstream.levels.controller import LevelController
from lotusstream.policy import Gateway

SEEDS = (1, 2, 3)
# seconds from the start of the run; RETURN_AFTER: seconds from the crash
OVERLOAD_AT, CRASH_AT, RETURN_AFTER, OVERLOAD_ENDS_AT, END = 30, 45, 30, 100, 160
VARIANTS: dict[str, Callable[[api.GatewayStarted], Any]] = {
    "levels": lambda settings: with_ladder(shipped_ladder(), settings),
    "without": without_levels,
    "fixed_threshold": FixedThreshold,
    "queue_delay": QueueDelay,
}


def overload() -> Workload:
    """Lookups overload the fleet from 30 s to 100 s; at 45 s three of six endpoints crash at once, and return
    30 s later in slow start."""

    def rate(second: float, profile: int) -> float:
        if profile == REPORT:
            return 6.0
        return 115.0 if OVERLOAD_AT <= second < OVERLOAD_ENDS_AT else 55.0

    return Workload(END, rate, crashes=((CRASH_AT, (0, 1, 3), RETURN_AFTER),))


def boundary(kind: str, period: float) -> Workload:
    """A load that oscillates around the limit of the first level.

    `kind`: "sine", or "onoff" for a square wave. `period`: seconds of one oscillation.
    """

    def rate(second: float, profile: int) -> float:
        if profile == REPORT:
            return 4.0
        phase = math.sin(2 * math.pi * second / period)
        offset = phase if kind == "sine" else math.copysign(1.0, phase)
        return 205.0 + 50.0 * offset

    return Workload(90, rate, max_retries=0)


def met_ratio_during_outage(result: FleetResult, profile: int | None) -> float:
    """Returns the ratio of met to requested priority weight between crash and return of the endpoints.

    The endpoint list shows the return one second later; that second is left out.

    `profile`: None: all profiles.
    """
    profiles = range(len(PROFILE_NAMES)) if profile is None else (profile,)
    window = range(CRASH_AT, CRASH_AT + RETURN_AFTER)
    requested_weight = sum(result.requested_weight[at][p] for at in window for p in profiles)
    return (
        sum(result.met_weight[at][p] for at in window for p in profiles) / requested_weight
        if requested_weight
        else 1.0
    )


def recovery_s(result: FleetResult) -> float:
    """Returns the seconds from the return of the endpoints until service has recovered for good.

    Service has recovered when 90% of the priority weight is met in every later window of five seconds.
    29, the greatest value, means that service had not recovered when the overload ended.
    """
    returned_at = CRASH_AT + RETURN_AFTER
    recovered_at = returned_at
    for at in range(returned_at, len(result.requested_weight) - 4):
        requested_weight = sum(map(sum, result.requested_weight[at : at + 5]))
        if (
            requested_weight
            and sum(map(sum, result.met_weight[at : at + 5])) < 0.9 * requested_weight
            and at < OVERLOAD_ENDS_AT
        ):
            recovered_at = at + 5
    return float(recovered_at - returned_at)


def play(job: tuple[str, str, float, int]) -> dict[str, Any]:
    """Plays one run, given as variant, kind of load, period in seconds (0: no oscillation), and seed."""
    variant, kind, period, seed = job
    module = VARIANTS[variant](gateway_started(seed))
    workload = overload() if kind == "overload" else boundary(kind, period)
    began = time.process_time()
    fleet = FleetSimulation(workload, seed, module)
    result = fleet.run()
    controller = getattr(getattr(module, "admission", module), "controller", None)
    changes = [change.changed_at for change in controller.history] if controller else []
    max_changes = max((sum(at <= other < at + 30 * S for other in changes) for at in changes), default=0)
    return {
        "variant": variant, "kind": kind, "period": period, "seed": seed, "benefit": result.met_ratio(),
        "reports": result.met_ratio(REPORT), "lookups": result.met_ratio(LOOKUP),
        "hard": met_ratio_during_outage(result, REPORT) if kind == "overload" else 1.0, "lost": result.lost,
        "broken": result.rule_violations,
        "recovery": recovery_s(result), "changes": len(changes), "most": max_changes,
        "sends": result.attempt_count,
        "names": [change.target for change in controller.history] if controller else [],
        "cpu": time.process_time() - began,
    }  # fmt: skip


def cpu_us_per_request(with_levels: bool) -> float:
    """Returns the CPU microseconds per request of the decision module, with or without a level controller."""
    settings = gateway_started(1)
    module: Any = Gateway()
    if with_levels:
        module = LevelControlledModule(
            Gateway().handle, LevelController(shipped_ladder(), settings, PROFILE_NAMES)
        )
    endpoints = tuple(
        api.EndpointEntry(bytes([at] * 6), api.EndpointStatus.READY, 0, 0, 1, 0) for at in range(6)
    )
    module.handle(0, settings)
    module.handle(0, api.EndpointListReceived(api.EndpointListKind.SNAPSHOT, endpoints))
    count, now, running = 20_000, 0, list[tuple[int, bytes]]()
    began = time.process_time()
    for request_id in range(count):
        now += 8000
        events: list[api.Event] = [
            api.RequestReceived(request_id, request_id % 7 == 0, 200_000, None, 6 * S, request_id % 12, None)
        ]
        if len(running) > 20:
            done, endpoint = running.pop(0)
            events.append(
                api.AttemptEnded(
                    done, 0, endpoint, api.Outcome.ANSWERED, 200_000, False, 200_000, None, None, True
                )
            )
        for event in (*events, api.BatchEnded()):
            for action in module.handle(now, event):
                if isinstance(action, api.StartAttempt):
                    running.append((action.request_id, action.endpoint_id))
    return (time.process_time() - began) / count * 1e6


def measure() -> tuple[list[str], dict[str, Any]]:
    """Runs the benchmark. Returns its lines to print and its report, by key of the JSON object."""
    jobs: list[tuple[str, str, float, int]] = [(v, "overload", 0.0, s) for v in VARIANTS for s in SEEDS]
    jobs += [("levels", kind, p, 1) for kind in ("sine", "onoff") for p in (2.0, 10.0, 30.0, 60.0, 120.0)]
    jobs += [(v, "sine", 10.0, 1) for v in ("without", "fixed_threshold")]
    with ProcessPoolExecutor() as pool:
        runs = list(pool.map(play, jobs))
    overload_runs = {v: [r for r in runs if r["variant"] == v and r["kind"] == "overload"] for v in VARIANTS}

    def mean(variant: str, key: str) -> float:
        return sum([float(r[key]) for r in overload_runs[variant]]) / len(overload_runs[variant])

    boundary_runs = [r for r in runs if r["kind"] != "overload" and r["variant"] == "levels"]
    costs = [(cpu_us_per_request(True), cpu_us_per_request(False)) for _ in range(3)]
    ratio = min([on for on, _ in costs]) / min([off for _, off in costs])
    report: dict[str, Any] = {
        "seeds": list(SEEDS),
        "changes_per_30s_at_boundary": max(r["most"] for r in boundary_runs),
        "changes_per_30s_at_boundary_fixed_threshold": max(
            r["most"] for r in runs if r["variant"] == "fixed_threshold" and r["kind"] == "sine"
        ),
        "recovery_s": max(r["recovery"] for r in overload_runs["levels"]),
        "report_benefit_kept": mean("levels", "hard"),
        "benefit_kept": mean("levels", "benefit"),
        "lost": sum(r["lost"] for r in runs if r["variant"] == "levels"),
        "rules_broken": sum(r["broken"] for r in runs if r["variant"] == "levels"),
        "cpu_ratio": ratio,
    }
    for variant in ("without", "fixed_threshold", "queue_delay"):
        report[f"report_benefit_kept_{variant}"] = mean(variant, "hard")
        report[f"benefit_kept_{variant}"] = mean(variant, "benefit")
        report[f"recovery_s_{variant}"] = max(r["recovery"] for r in overload_runs[variant])
    lines = [
        "day       variant          seed  benefit  reports  lookups     outage  recovery"
        "  changes  lost  broken"
    ]
    for r in runs:
        load = r["kind"] if r["kind"] == "overload" else f"{r['kind']} {r['period']:g}s"
        lines.append(
            f"{load:9} {r['variant']:16} {r['seed']:4}  {r['benefit']:7.3f}  {r['reports']:7.3f}"
            f"  {r['lookups']:7.3f}  {r['hard']:9.3f}  {r['recovery']:7.0f}s"
            f"  {r['changes']:7}  {r['lost']:4}  {r['broken']:6}"
            f"  {' '.join(r['names'][:8]) if r['variant'] == 'levels' else ''}"
        )
    lines.append(f"CPU time of decision module and level controller over the module alone: {ratio:.2f}")
    return lines, report
