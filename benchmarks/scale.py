"""Resources that a gateway needs for a growing list of endpoints at constant traffic and total capacity.

Measures the decision module alone, and a real gateway process on loopback with stand-in endpoints. BASELINE
has the figures of commit 4ec93fb, in which the time of a decision was not yet bounded. They were copied from
the issue that reported them and are not measured here.
"""

from __future__ import annotations

import argparse
import asyncio
import heapq
import itertools
import math
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from lotusstream import interface as api
from lotusstream.lab.scale.checker import History, broken_rules, count_by_rule
from lotusstream.lab.scale.process import Usage
from lotusstream.lab.scale.rig import Plan, Rig
from lotusstream.policy import Gateway

MS, S = 1_000, 1_000_000  # microseconds
ENDPOINT_COUNTS = (80, 320, 1280, 3200)  # numbers of endpoints that are compared
TOTAL_CORES = 3200.0  # number of cores of all endpoints together, for any number of endpoints
# requests per second; latency of each request in microseconds; number of table groups
REQUESTS_PER_S, LATENCY_US, TABLE_GROUPS = 40, 200 * MS, 50
BASELINE = {"module_cpu_ratio_3200_over_80": 34.0, "change_cost_ratio_3200_over_80": 35.0}
RULES = ("lost", "drain", "duplicate", "deadline")  # rules of lab/scale/checker.py in the report


@dataclass(slots=True)
class ModuleCost:
    """Elapsed seconds of the decision module."""

    request_s: float  # mean time to handle one request
    first_list_s: float  # time to handle the first endpoint list
    change_s: float  # median time to handle a change of one endpoint


@dataclass(slots=True)
class ProcessCost:
    """The resources that a gateway process used, and the results of its requests."""

    usage: Usage
    requests: int  # number of requests
    served: int  # number of requests that were served
    longest_turn_us: float  # longest time for which the event loop was blocked, microseconds
    violations: dict[str, int] = field(default_factory=dict)  # number of violations, by rule


class ModuleRun:
    """A decision module on a virtual clock: requests arrive at a constant rate and all take the same time."""

    def __init__(self, endpoints: int) -> None:
        self._module = Gateway()
        self._queue: list[tuple[int, int, api.Event]] = []
        self._sequence = itertools.count()
        self._attempt_counts: dict[int, int] = {}
        self._entries = tuple(
            api.EndpointEntry(b"s-%08x" % number, api.EndpointStatus.READY, 0, 0, 0, 0)
            for number in range(endpoints)
        )
        self._handle(0, _started(TOTAL_CORES / endpoints))

    def cost(self, seconds: int) -> ModuleCost:
        """Measures requests that arrive for `seconds`, and then changes of single endpoints."""
        first_list_s = self._timed(S, api.EndpointListReceived(api.EndpointListKind.SNAPSHOT, self._entries))
        for number in range(REQUESTS_PER_S * seconds):
            profile = 0 if number % 16 else 1
            arrived = api.RequestReceived(
                number, profile, LATENCY_US, None, 3 * S, number * 7 % TABLE_GROUPS, None
            )
            self._push(S + number * S // REQUESTS_PER_S, arrived)
        elapsed = 0.0
        now = S
        while self._queue:
            now, _, event = heapq.heappop(self._queue)
            elapsed += self._timed(now, event)
        changes = []
        for number in range(20):
            entry = replace(self._entries[number], status=api.EndpointStatus.DRAINING)
            changes.append(
                self._timed(now + number, api.EndpointListReceived(api.EndpointListKind.DELTA, (entry,)))
            )
        return ModuleCost(
            elapsed / (REQUESTS_PER_S * seconds), first_list_s, sorted(changes)[len(changes) // 2]
        )

    def _timed(self, now: int, event: api.Event) -> float:
        began = time.perf_counter()
        actions = [*self._handle(now, event), *self._handle(now, api.BatchEnded())]
        elapsed = time.perf_counter() - began
        for action in actions:
            self._carry_out(now, action)
        return elapsed

    def _handle(self, now: int, event: api.Event) -> list[api.Action]:
        return self._module.handle(now, event)

    def _carry_out(self, now: int, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            self._push(action.at, api.TimerFired(action.token))
        elif isinstance(action, api.StartAttempt):
            number = self._attempt_counts.get(action.request_id, 0)
            self._attempt_counts[action.request_id] = number + 1
            ended = api.AttemptEnded(
                action.request_id,
                number,
                action.endpoint_id,
                api.Outcome.ANSWERED,
                LATENCY_US,
                True,
                None,
                None,
                None,
                True,
            )
            self._push(now + LATENCY_US, ended)

    def _push(self, at: int, event: api.Event) -> None:
        heapq.heappush(self._queue, (at, next(self._sequence), event))


def _started(cores: float) -> api.GatewayStarted:
    lookup = api.Profile(
        S,
        0.0,
        3 * S,
        1.0,
        0.1,
        api.Idempotency.IDEMPOTENT,
        api.DeduplicationScope.ALL,
        0,
        False,
        None,
        None,
        False,
        True,
        1,
    )
    load = replace(lookup, is_load=True, waits_for_loads=False, threads=2)
    rule_limits = api.RuleLimits(20 * MS, 0.3, 15 * S, 3.0, S, 300 * MS, math.inf, 0.0, 0, 10 * S)
    capabilities = api.Capabilities(4, True, True, False, False, True, 500 * MS, False)
    kinds = (api.EndpointKind(cores, 0.0),)
    return api.GatewayStarted(7, 200, 5 * MS, (lookup, load), kinds, 1.0, 0, False, capabilities, rule_limits)


async def run_process(endpoints: int, seconds: float, seed: int) -> ProcessCost:
    """Measures a gateway process while a part of its endpoints is replaced in two steps, as in a release."""
    plan = Plan(
        endpoints, REQUESTS_PER_S, seconds, cores=TOTAL_CORES / endpoints, seed=seed, give_up_share=0.05
    )
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(plan, Path(folder))
        try:
            await rig.start()
            replacement = asyncio.create_task(_replace_endpoints(rig, endpoints // 7))
            history: History = await rig.run()
            await replacement
            await rig.gateway.ask_counters()
            usage = rig.measure()
            served = sum(outcome.served for outcome in history.outcomes)
            turn_us = usage.counters.get("stall of the loop, us", 0.0)
            violations = count_by_rule(broken_rules(history))
            return ProcessCost(usage, len(history.outcomes), served, turn_us, violations)
        finally:
            await rig.stop()


async def _replace_endpoints(rig: Rig, size: int) -> None:
    endpoints = list(rig.fleet.servers.values())
    for step in range(2):
        await asyncio.sleep(1.4)
        rig.drain(endpoints[step * size : (step + 1) * size])
        await rig.join(size)


def measure(arguments: Sequence[str] = ()) -> tuple[list[str], dict[str, Any]]:
    """Runs the benchmark with these options. Returns its lines to print and its report, by key."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks scale")
    parser.add_argument("--seconds", type=float, default=6.0, help="seconds of traffic for each process")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    modules = {endpoints: ModuleRun(endpoints).cost(5) for endpoints in ENDPOINT_COUNTS}
    processes = {
        endpoints: asyncio.run(run_process(endpoints, options.seconds, options.seed))
        for endpoints in ENDPOINT_COUNTS
    }
    return _table(modules, processes), _report(modules, processes)


def _table(modules: dict[int, ModuleCost], processes: dict[int, ProcessCost]) -> list[str]:
    lines = [
        "servers  module ms/request  first list ms  change ms   CPU s  memory MB  descriptors  connections"
        "  list KB  served  longest turn ms"
    ]
    for endpoints in ENDPOINT_COUNTS:
        module, process = modules[endpoints], processes[endpoints]
        usage = process.usage
        lines.append(
            f"{endpoints:7d}  {module.request_s * 1e3:17.3f}  {module.first_list_s * 1e3:13.1f}"
            f"  {module.change_s * 1e3:9.3f}  {usage.cpu_seconds:6.2f}  {usage.peak_memory:9.1f}"
            f"  {usage.descriptors:11d}  {usage.connections:11d}  {usage.list_bytes / 1e3:7.0f}"
            f"  {process.served / process.requests:6.3f}  {process.longest_turn_us / 1e3:15.1f}"
        )
    return lines


def _report(modules: dict[int, ModuleCost], processes: dict[int, ProcessCost]) -> dict[str, Any]:
    small, large = modules[80], modules[3200]
    report: dict[str, Any] = {
        "module_cpu_ratio_3200_over_80": large.request_s / small.request_s,
        "change_cost_ratio_3200_over_80": large.change_s / small.change_s,
        "baseline_commit": "4ec93fb",
    }
    report |= {f"baseline_{name}": value for name, value in BASELINE.items()}
    base = processes[80]
    for endpoints in (1280, 3200):
        process = processes[endpoints]
        report |= {
            f"gateway_cpu_ratio_{endpoints}_over_80": process.usage.cpu_seconds / base.usage.cpu_seconds,
            f"gateway_memory_ratio_{endpoints}_over_80": process.usage.peak_memory / base.usage.peak_memory,
            f"descriptors_ratio_{endpoints}_over_80": process.usage.descriptors / base.usage.descriptors,
            f"connections_ratio_{endpoints}_over_80": process.usage.connections / base.usage.connections,
            f"served_ratio_{endpoints}_over_80": (process.served / process.requests)
            / (base.served / base.requests),
        }
    report["longest_turn_ms_3200"] = processes[3200].longest_turn_us / 1e3
    for rule in RULES:
        report[rule] = sum(process.violations.get(rule, 0) for process in processes.values())
    return report
