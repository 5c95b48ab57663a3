"""Leases under faults: simulated seeds, schedules of faults on real processes, and the cost of a quorum.

`--processes N`, `--seeds N` and `--idle S` set the extent; with the defaults it takes about ten minutes.
"""

from __future__ import annotations

import argparse
import asyncio
import concurrent.futures
import os
import statistics
import tempfile
import time
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from benchmarks.planted_leases import PLANTED, detecting_seed
from lotusstream.lab.fleet.lock_clients import LeaseClient
from lotusstream.lab.fleet.relay import Relay
from lotusstream.lab.fleet.rig import FleetRig
from lotusstream.lab.fleet.run import play as play_on_processes
from lotusstream.lab.fleet.schedule import draw_schedule, format_schedule
from lotusstream.lab.virtual import LeaseScenario, play
from lotusstream.lab.world import InvariantViolationError
from lotusstream.leases.expiry import LeaseTiming
from lotusstream.leases.table import AcquireLease, encode_operation
from lotusstream.net.actor import Supervisor
from lotusstream.wal.log import WriteAheadLog

US_PER_S = 1_000_000
LEASE_S = 2.0  # seconds, the default lease duration of FleetRig
ELECTION_TIMEOUT_S = 0.4  # seconds, the default election timeout of FleetRig
# number of fleets that run at once, each with four mostly idle processes and their relays
CONCURRENT_FLEETS = 4


def play_seeds(seeds_range: tuple[int, int]) -> tuple[int, list[str]]:
    """Plays the seeds of a range, with a quorum of 3, 4 or 5. Returns the number of grants, and failures."""
    grants, failed = 0, []
    for seed in range(*seeds_range):
        scenario = replace(LeaseScenario(), quorum_size=(3, 4, 5)[seed % 3], tasks=("moves", "examine"))
        try:
            grants += play(seed, scenario).grants
        except InvariantViolationError as error:
            failed.append(str(error))
    return grants, failed


def detect_planted(at: int) -> tuple[str, str | None]:
    """Returns the name of a planted defect and the error that detects it; None: no seed detects it."""
    detection = detecting_seed(PLANTED[at], 600)
    return PLANTED[at].name, detection[1] if detection else None


async def play_schedules(count: int, first: int) -> tuple[list[str], dict[str, Any]]:
    """Plays `count` random schedules on real processes, the first one with seed `first`.

    Returns the lines about failed schedules, and the report.
    """
    acts = overlapping = reused_tokens = stale_acts = failed = 0
    failed_schedules, takeover_times = list[str](), list[float]()
    todo = list(range(first, first + count))

    async def work() -> None:
        nonlocal acts, overlapping, reused_tokens, stale_acts, failed
        while todo:
            seed = todo.pop(0)
            outcome = await play_on_processes(draw_schedule(seed))
            verdict = outcome.verdict
            acts += verdict.acts
            overlapping += len(verdict.overlapping)
            reused_tokens += len(verdict.reused_tokens)
            stale_acts += verdict.stale_acts
            if outcome.takeover_s is not None:
                takeover_times.append(outcome.takeover_s)
            if not outcome.passed:
                failed += 1
                failed_schedules.extend(
                    [f"seed {seed} failed:", format_schedule(draw_schedule(seed)), *outcome.story[-30:]]
                )

    await asyncio.gather(*(work() for _ in range(CONCURRENT_FLEETS)))
    return failed_schedules, {
        "process_schedules": count,
        "schedules_broken": failed,
        "acts": acts,
        "acts_overlapping": overlapping,
        "tokens_back": reused_tokens,
        "turned_away": stale_acts,
        "acting_again_s_max": round(max(takeover_times, default=0.0), 2),
    }


async def measure_takeovers(rounds: int) -> dict[str, Any]:
    """Kills the lease holder `rounds` times in each fleet. Measures the seconds until another one acts."""
    durations = []

    async def work(seed: int) -> None:
        async with FleetRig(4, 3, seed=seed) as rig:
            for _ in range(rounds):
                act = await rig.act_recorder.wait_for_act()
                await rig.gateways[act.holder].kill()
                began = time.monotonic()
                async with asyncio.timeout(30):
                    await rig.act_recorder.wait_for_act(act.holder, act.token)
                durations.append(time.monotonic() - began)
                await rig.gateways[act.holder].start()
                await rig.gateways[act.holder].ready()

    await asyncio.gather(*(work(9000 + at) for at in range(CONCURRENT_FLEETS)))
    durations.sort()
    return {
        "takeovers": len(durations),
        "takeover_s_median": round(statistics.median(durations), 2),
        "takeover_s_p99": round(durations[min(len(durations) - 1, int(len(durations) * 0.99))], 2),
        "lease_s": LEASE_S,
        # each election timeout is a new random value of up to twice ELECTION_TIMEOUT_S
        "takeover_s_aim": LEASE_S + 2 * ELECTION_TIMEOUT_S * 2,
    }


def cpu_seconds_of(pid: int) -> float:
    """Returns the CPU seconds that a process has used since its start."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure_idle_cpu(duration_s: float) -> dict[str, Any]:
    """Measures the share of a core that an idle Raft node uses, with and almost without heartbeats."""
    directives = ("heartbeat 100ms", "election 500ms", "lease 10s")
    async with FleetRig(3, 3, seed=8000, tasks=(), directives=directives) as rig:
        await rig.wait_for_leader()
        pids = [gateway.process.pid for gateway in rig.gateways.values() if gateway.process]
        before = [cpu_seconds_of(pid) for pid in pids]
        await asyncio.sleep(duration_s)
        shares = [
            (cpu_seconds_of(pid) - cpu_before) / duration_s
            for pid, cpu_before in zip(pids, before, strict=True)
        ]
    almost_no_heartbeats = ("heartbeat 60s", "election 600s", "lease 3000s")
    async with FleetRig(3, 3, seed=8001, tasks=(), directives=almost_no_heartbeats) as rig:
        pids = [gateway.process.pid for gateway in rig.gateways.values() if gateway.process]
        before = [cpu_seconds_of(pid) for pid in pids]
        await asyncio.sleep(duration_s)
        shares_without_heartbeats = [
            (cpu_seconds_of(pid) - cpu_before) / duration_s
            for pid, cpu_before in zip(pids, before, strict=True)
        ]
    return {
        "idle_cpu_share": round(max(shares), 4),
        "idle_cpu_share_without_heartbeats": round(max(shares_without_heartbeats), 4),
    }


async def measure_client_traffic(count: int, duration_s: float) -> dict[str, Any]:
    """Measures the bytes per second between `count` gateways that want one lease of 10 s and the quorum.

    One relay in front of each Raft node counts them.
    """
    directives = ("heartbeat 100ms", "election 500ms", "lease 10s")
    async with FleetRig(3, 3, seed=8002, tasks=(), directives=directives) as rig:
        await rig.wait_for_leader()
        relays = {name: Relay(port) for name, port in rig.ports.items()}
        for relay in relays.values():
            await relay.start()
        ports = {name: relay.port for name, relay in relays.items()}
        supervisor, timing = Supervisor(), LeaseTiming(10 * US_PER_S, 1_250_000, 0.02)
        clients = [LeaseClient(f"c{at}", rig.group, ports, "one", timing, supervisor) for at in range(count)]
        for client in clients:
            client.start()
        while not all(client.reply_count for client in clients):
            await asyncio.sleep(0.05)
        before = sum(relay.passed for relay in relays.values())
        await asyncio.sleep(duration_s)
        passed = sum(relay.passed for relay in relays.values()) - before
        for client in clients:
            client.stop()
        await supervisor.stop()
        for relay in relays.values():
            relay.stop()
    return {"clients": count, "clients_240_bytes_per_s": round(passed / duration_s)}


def measure_syncs(entries: int) -> dict[str, Any]:
    """Measures how many lease grants per second are synced one by one, and in groups of 50."""
    payloads = [encode_operation(AcquireLease("moves", f"g{at}", "s", at + 1)) for at in range(entries)]
    rates = {}
    for batch in (1, 50):
        with tempfile.TemporaryDirectory() as folder:
            log = WriteAheadLog(f"{folder}/log").open()
            began = time.monotonic()
            for at in range(0, entries, batch):
                log.append(*payloads[at : at + batch])
            rates[batch] = entries / (time.monotonic() - began)
            log.close()
    return {"grants_per_s_one_sync_each": round(rates[1]), "grants_per_s_group_commit_50": round(rates[50])}


def left_running() -> int:
    """Returns the number of processes on this machine that belong to a FleetRig."""
    count = 0
    for pid in filter(str.isdigit, os.listdir("/proc")):
        try:
            with open(f"/proc/{pid}/cmdline", "rb") as file:
                count += b"lotusstream.lab.fleet.process" in file.read()
        except OSError:
            continue
    return count


def measure(arguments: Sequence[str] = ()) -> tuple[list[str], dict[str, Any]]:
    """Runs the benchmark with these options. Returns its lines to print and its report, by key."""
    parser = argparse.ArgumentParser(prog="benchmarks leases")
    parser.add_argument("--processes", type=int, default=200, help="fault schedules played on real processes")
    parser.add_argument("--seeds", type=int, default=10_000)
    parser.add_argument("--idle", type=float, default=10.0, help="seconds of each measurement without faults")
    options = parser.parse_args(arguments)
    report: dict[str, Any] = {}
    cores = os.cpu_count() or 1
    step = max(1, options.seeds // (8 * cores))
    ranges = [(at, min(options.seeds, at + step)) for at in range(0, options.seeds, step)]
    with concurrent.futures.ProcessPoolExecutor(cores) as pool:
        results = list(pool.map(play_seeds, ranges))
        detections = list(pool.map(detect_planted, range(len(PLANTED))))
    failed = [line for _, lines in results for line in lines]
    report |= {
        "seeds": options.seeds,
        "seeds_failed": len(failed),
        "grants": sum(each for each, _ in results),
    }
    report |= {"planted": len(detections), "planted_caught": sum(line is not None for _, line in detections)}
    failed_schedules, on_processes = asyncio.run(play_schedules(options.processes, 1))
    report |= on_processes
    report |= asyncio.run(measure_takeovers(max(1, options.processes // 16)))
    report |= asyncio.run(measure_idle_cpu(options.idle))
    report |= asyncio.run(measure_client_traffic(240, options.idle))
    report |= measure_syncs(2000)
    report["left_running"] = left_running()
    not_caught = [f"planted defect not detected: {name}" for name, line in detections if line is None]
    return [*failed[:5], *not_caught, *failed_schedules], report
