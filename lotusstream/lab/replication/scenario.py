"""What one simulated run consists of. Times are microseconds."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream.copies.anti_entropy import RANGE_COUNT
from lotusstream.copies.options import ReplicationOptions
from lotusstream.lab.world import MS, S, Span
from lotusstream.leases.expiry import LeaseTiming

FAILED_ANSWER = b"may have run"
ONCE_KEY_SUFFIX = "once"  # ends the keys of requests that may be executed once only
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
class ReplicationScenario(Span):
    """Size, traffic and faults of a run."""

    length: int = 16 * S
    faults_end: int = 10 * S
    gateways: int = 5
    zones: int = 3  # of gateways
    clients: int = 4
    terms: ReplicationOptions = OPTIONS
    retention: int = 60 * S  # how long a key is remembered
    places: int = 2  # zones of endpoints, each of which drops repeats for `window`
    window: int = 6 * S  # requests that may be executed once only are not among them
    unrun: float = 0.2  # share of attempts that provably were not executed
    mute: float = 0.1  # share of attempts that were executed and whose answer is lost
    once: float = 0.3  # share of requests that may be executed once only
    work: int = 160 * MS  # longest time of an attempt
    sync: int = 5 * MS  # longest time of a sync
    repeat: float = 0.4  # share of answered requests that are repeated
    patience: int = 1500 * MS  # of a client, until it asks another gateway
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
