"""Replicated idempotency records: losses of machines with their disks, and the cost of replication.

Runs on real processes and in the simulation. `--lost N`, `--seeds N` and `--keys N` set the extent; with the
defaults it takes about ten minutes. Endpoints and machines are stand-ins: a machine is a process with a
folder as its disk.
"""

from __future__ import annotations

import argparse
import asyncio
import concurrent.futures
import multiprocessing
import os
import resource
import statistics
import tempfile
import time
from collections.abc import Sequence
from typing import Any

from benchmarks.planted_copies import PLANTED, detecting_seed
from lotusstream.copies.messages import IdempotencyRecord, Operation, OperationLogRecord, RecordState
from lotusstream.copies.replica_events import PersistLogRecords
from lotusstream.copies.shards import DEFAULT_SHARD_COUNT, shard_of
from lotusstream.lab.fleet.clients import ClientResults, FleetClients
from lotusstream.lab.fleet.idempotency_client import IdempotencyRecordClient
from lotusstream.lab.fleet.rig import FleetRig, GatewayProcess
from lotusstream.lab.fleet.run import IDEMPOTENCY_DIRECTIVES, QUORUM_DIRECTIVES
from lotusstream.lab.fleet.run import SHARDS as RIG_SHARDS
from lotusstream.lab.replication.world import play
from lotusstream.lab.world import InvariantViolationError
from lotusstream.net.replica_store import ReplicaStore

CONCURRENT_FLEETS = 3  # number of fleets that run at once, of five gateways each
SEED_JOBS = 20  # number of jobs that the seeds are divided into


def play_seeds(seed_range: tuple[int, int]) -> tuple[int, int, list[str]]:
    """Plays the seeds of a range. Returns the number of answers and of lost machines, and the failures."""
    answers, lost, failed = 0, 0, list[str]()
    for seed in range(*seed_range):
        try:
            checker = play(seed)
            answers, lost = answers + checker.answer_count, lost + checker.lost_machine_count
        except InvariantViolationError as error:
            failed.append(str(error))
    return answers, lost, failed


def detect_planted(at: int) -> tuple[str, str | None]:
    """Returns the name of a planted defect and the error that detects it; None: no seed detects it."""
    detection = detecting_seed(PLANTED[at], 300)
    return PLANTED[at].name, detection[1] if detection else None


async def lose_machines(count: int, seed: int) -> tuple[int, ClientResults, list[str], list[float]]:
    """Kills `count` gateways with their disks, one after the other, while clients send requests.

    Every second killed gateway is the primary of most shards. Returns the number of losses, what the clients
    observed, the keys of requests that took effect twice, and for each loss the seconds until replication was
    complete again.
    """
    lost, recovery_times = 0, list[float]()
    async with FleetRig(
        5, 3, seed=seed, tasks=("copies",), directives=IDEMPOTENCY_DIRECTIVES, replicas=True, endpoints=4
    ) as rig:
        await rig.wait_until_replicated(RIG_SHARDS)
        async with FleetClients(rig, 3, seed) as clients:
            while lost < count:
                rows = await rig.wait_until_replicated(RIG_SHARDS)
                primaries = [row["home"] for row in rows.values()]
                name = max(rig.names, key=primaries.count) if lost % 2 else rig.names[lost % 5]
                gateway: GatewayProcess = rig.gateways[name]
                await gateway.kill()
                gateway.wipe()
                lost, began = lost + 1, time.monotonic()
                await gateway.start()
                await gateway.ready()
                await rig.wait_until_replicated(RIG_SHARDS)
                recovery_times.append(time.monotonic() - began)
        await clients.repeat_at_every_gateway()
        return lost, clients.results, rig.effects.keys_run_twice, recovery_times


async def measure_losses(count: int) -> dict[str, Any]:
    """Loses `count` machines with their disks in several fleets at once, and sums up the results."""
    parts = [count // CONCURRENT_FLEETS + (at < count % CONCURRENT_FLEETS) for at in range(CONCURRENT_FLEETS)]
    fleets = await asyncio.gather(*(lose_machines(part, at + 1) for at, part in enumerate(parts)))
    client_results = [each[1] for each in fleets]
    recovery_times = [recovery_time for each in fleets for recovery_time in each[3]]
    return {
        "machines_lost": sum(each[0] for each in fleets),
        "promises": sum(each.answered for each in client_results),
        "repeats": sum(each.repeats for each in client_results),
        "promises_lost": sum(len(each.forgotten) for each in client_results),
        "second_effects": sum(len(each[2]) for each in fleets),
        "answers_changed": sum(len(each.changed) for each in client_results),
        "whole_again_s_median": statistics.median(recovery_times),
    }


async def measure_latency(name: str, duration_s: float) -> dict[str, float]:
    """Measures the latency of new requests with an idempotency key, sent by four clients.

    `name`: the number of disks that have to hold an idempotency record: "two" or "three"; "none": no records.
    """
    replication_directives = {
        "none": ("copies 3 promise 2", f"shards {RIG_SHARDS}"),
        "two": IDEMPOTENCY_DIRECTIVES[len(QUORUM_DIRECTIVES) :],
        "three": ("copies 3 promise 3", f"shards {RIG_SHARDS}", "remember 10m"),
    }[name]
    async with FleetRig(
        5,
        3,
        seed=5,
        tasks=("copies",),
        directives=(*QUORUM_DIRECTIVES, *replication_directives),
        replicas=True,
        endpoints=4,
    ) as rig:
        await rig.wait_until_replicated(RIG_SHARDS)
        async with FleetClients(rig, 4, 5, profile="load") as clients:
            await asyncio.sleep(duration_s)
        latencies = sorted(clients.results.latencies)
        return {
            "p50_ms": 1000 * latencies[len(latencies) // 2],
            "p99_ms": 1000 * latencies[len(latencies) * 99 // 100],
            "per_s": clients.results.answered / duration_s,
        }


async def measure_recopy(keys: int) -> dict[str, Any]:
    """Shuts a gateway down gracefully and restarts it with an empty disk, with `keys` records in the fleet.

    Measures the seconds until replication is complete, and the ratio of the throughput of clients in that
    time to their throughput before. (After a loss without shutdown, clients would also wait for the lease to
    expire.)
    """
    async with FleetRig(
        5, 3, seed=9, tasks=("copies",), directives=IDEMPOTENCY_DIRECTIVES, replicas=True, endpoints=4
    ) as rig, IdempotencyRecordClient(rig) as record_client:  # fmt: skip
        await rig.wait_until_replicated(RIG_SHARDS)
        numbers = iter(range(keys))

        async def fill() -> None:
            for at in numbers:
                await record_client.commit(record_client.record(f"key-{at}", "g", b"x" * 60, lifetime_s=3600))

        began = time.monotonic()
        await asyncio.gather(*(fill() for _ in range(256)))
        fill_s = time.monotonic() - began
        async with FleetClients(rig, 4, 9, profile="load") as clients:
            await asyncio.sleep(5)
            rate_before = clients.results.answered / 5
            lost = next(name for name in rig.names if name not in rig.quorum_members)
            began, answered_before = time.monotonic(), clients.results.answered
            await rig.gateways[lost].terminate()
            rig.gateways[lost].wipe()
            await rig.gateways[lost].start()
            await rig.gateways[lost].ready()
            await rig.wait_until_replicated(RIG_SHARDS)
            elapsed_s = time.monotonic() - began
            rate_during_recopy = (clients.results.answered - answered_before) / elapsed_s
        return {
            "recopy_keys": keys,
            "recopy_s": elapsed_s,
            "keys_kept_per_s": keys / fill_s,
            "foreground_kept_while_recopying": rate_during_recopy / rate_before,
            "recopy_broken": len(clients.results.changed) + len(clients.results.forgotten),
        }


def _measure_store(keys: int, folder: str, pipe: Any) -> None:
    """Measures disk, memory and recovery time of `keys` answered records, in a process of its own.

    Sends to `pipe`: bytes on disk per record, seconds of the recovery, growth of the resident memory in MiB,
    and number of records after the recovery.
    """

    def resident() -> float:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * resource.getpagesize() / (1 << 20)

    store = ReplicaStore(folder, "g1")
    memory_before, until = resident(), time.time_ns() // 1000 + 600_000_000
    batch = 1000
    for first in range(0, keys, batch):
        records = []
        for at in range(first, min(first + batch, keys)):
            key = f"{at:032x}"
            op = Operation(
                1,
                at + 1,
                IdempotencyRecord(
                    key, "p" * 32, RecordState.ANSWERED, "g1.0123456789ab/1/1", until, b"x" * 60
                ),
            )
            records.append(OperationLogRecord(shard_of(key, DEFAULT_SHARD_COUNT), op))
        store.write([PersistLogRecords(first, tuple(records))], None)
    size = os.path.getsize(os.path.join(folder, "copies.log"))
    store.close()
    del store
    began = time.monotonic()
    again = ReplicaStore(folder, "g1")
    elapsed_s = time.monotonic() - began
    pipe.send(
        (
            size / keys,
            elapsed_s,
            resident() - memory_before,
            sum(len(s.records) for s in again.shards.values()),
        )
    )
    again.close()


def measure_store(keys: int) -> dict[str, Any]:
    """Measures the store of replicas with `keys` records."""
    receiver, sender = multiprocessing.Pipe()
    with tempfile.TemporaryDirectory() as folder:
        process = multiprocessing.get_context("spawn").Process(
            target=_measure_store, args=(keys, folder, sender)
        )
        process.start()
        size, elapsed_s, grown, kept = receiver.recv()
        process.join()
    return {"keys": kept, "bytes_per_key": size, "recovery_s": elapsed_s, "memory_growth_mb": grown}


def measure(arguments: Sequence[str] = ()) -> tuple[list[str], dict[str, Any]]:
    """Runs the benchmark with these options. Returns its lines to print and its report, by key."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks copies", description=__doc__)
    parser.add_argument("--lost", type=int, default=100)
    parser.add_argument("--seeds", type=int, default=10_000)
    parser.add_argument("--keys", type=int, default=1_000_000)
    parser.add_argument(
        "--recopy", type=int, default=100_000, help="records in the fleet when a gateway is restarted"
    )
    parser.add_argument("--span", type=float, default=8.0, help="seconds of each latency measurement")
    options = parser.parse_args(list(arguments))
    lines, report = list[str](), dict[str, Any]()
    if options.lost:
        report |= asyncio.run(measure_losses(options.lost))
    if options.span:
        for name in ("none", "two", "three"):
            report |= {
                f"{name}_{key}": value
                for key, value in asyncio.run(measure_latency(name, options.span)).items()
            }
        report["added_ms_p50"] = report["two_p50_ms"] - report["none_p50_ms"]
        report["added_ms_p99"] = report["two_p99_ms"] - report["none_p99_ms"]
    if options.recopy:
        report |= asyncio.run(measure_recopy(options.recopy))
    if options.keys:
        report |= measure_store(options.keys)
    with concurrent.futures.ProcessPoolExecutor(mp_context=multiprocessing.get_context("spawn")) as pool:
        if options.seeds:
            steps = range(0, options.seeds, max(1, options.seeds // SEED_JOBS))
            ranges = [(at, min(at + steps.step, options.seeds)) for at in steps]
            parts = list(pool.map(play_seeds, ranges))
            failed = [line for part in parts for line in part[2]]
            lines += failed[:10]
            report |= {
                "seeds": options.seeds,
                "seeds_failed": len(failed),
                "seeds_promises": sum(part[0] for part in parts),
                "seeds_machines_lost": sum(part[1] for part in parts),
            }
            not_detected = [
                name for name, text in pool.map(detect_planted, range(len(PLANTED))) if text is None
            ]
            lines += [f"planted defect not detected: {name}" for name in not_detected]
            report |= {"planted": len(PLANTED), "planted_caught": len(PLANTED) - len(not_detected)}
    return lines, report
