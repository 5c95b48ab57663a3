"""The options of replication that operators set."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream.copies.shards import DEFAULT_SHARD_COUNT
from lotusstream.leases.expiry import LeaseTiming


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """Sizes, limits and intervals of replication, the same on all gateways."""

    replica_count: int  # replicas of each shard, including the primary, each on the disk of another machine
    commit_count: int  # minimum number of disks that must have a record before it is committed
    leases: LeaseTiming  # timing of the leases that the shard controller grants to replicas
    max_catch_ups: int = 4  # maximum number of shards that have joining replicas at the same time
    shard_count: int = DEFAULT_SHARD_COUNT
    part_bytes: int = 256 << 10  # approximate size of one part of a snapshot, sent and logged as a whole
    max_bytes: int = 0  # a gateway refuses new keys once its records have this total size; 0: no limit
    catch_up_bytes_per_s: int = 0  # maximum rate at which one gateway sends catch-up data; 0: no limit
    # Time within which a primary compares all its shards with their backups once, microseconds; 0: never.
    anti_entropy_interval: int = 0
