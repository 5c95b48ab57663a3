"""Size, traffic and faults of a simulated run. Times are in microseconds."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream.copies.anti_entropy import RANGE_COUNT
from lotusstream.copies.options import ReplicationOptions
from lotusstream.lab.world import MS, S, SimulationOptions
from lotusstream.leases.expiry import LeaseTiming

UNKNOWN_ANSWER = b"may have run"  # answer to a request that may have been executed and is not sent again
SINGLE_EXECUTION_KEY_SUFFIX = "once"  # suffix of the keys of requests that may be executed once only
OPTIONS = ReplicationOptions(
    replica_count=3,
    commit_count=2,
    leases=LeaseTiming(1 * S, 125 * MS, 0.05),
    max_catch_ups=2,
    shard_count=4,
    part_bytes=300,
    catch_up_bytes_per_s=100_000,
    anti_entropy_interval=4 * RANGE_COUNT * 100 * MS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicationScenario(SimulationOptions):
    """Size, traffic and faults of a run. Times are in microseconds, probabilities between 0 and 1."""

    duration_us: int = 16 * S
    faults_end_us: int = 10 * S
    gateways: int = 5  # number of gateways
    zones: int = 3  # number of zones that gateways are in
    clients: int = 4  # number of clients
    replication: ReplicationOptions = OPTIONS
    retention_us: int = 60 * S  # time from an attempt until its idempotency record expires
    endpoint_zones: int = 2  # number of zones of endpoints; a zone drops repeats of requests executed in it
    # time after an execution in which endpoints drop repeats, except those of requests that may be executed
    # once only
    deduplication_window_us: int = 6 * S
    unexecuted_probability: float = 0.2  # probability that an attempt fails and provably was not executed
    # probability that an attempt is executed and its answer is lost
    lost_answer_probability: float = 0.1
    single_execution_probability: float = 0.3  # probability that a request may be executed once only
    max_attempt_us: int = 160 * MS  # longest time from the start of an attempt to its execution
    max_sync_us: int = 5 * MS  # longest duration of an fsync
    # probability that a client repeats its last request instead of sending a new one
    repeat_probability: float = 0.4
    client_timeout_us: int = 1500 * MS  # time without an answer until a client asks another gateway
    faults: tuple[str, ...] = (
        "crash",
        "cut",
        "one-way",
        "stop",
        "lose",
        "lose",
        "manager",
        "power",
        "leave",
        "lie",
    )
