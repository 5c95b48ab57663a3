"""What operators set about replication."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream.copies.shards import DEFAULT_SHARD_COUNT
from lotusstream.leases.expiry import LeaseTiming


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """Size and pace of replication, the same on all gateways."""

    replica_count: int  # disks for each shard, the primary's included
    commit_count: int  # disks that have a record before it is committed, at least
    leases: LeaseTiming  # of primaries, given by the shard controller
    max_catch_ups: int = 4  # shards that get a new replica at a time
    shard_count: int = DEFAULT_SHARD_COUNT
    part_bytes: int = 256 << 10  # of a snapshot, in one frame or log record
    max_bytes: int = 0  # that one gateway holds; 0: no limit
    catch_up_bytes_per_s: int = 0  # that one gateway sends to replicas that catch up; 0: no limit
    anti_entropy_interval: int = 0  # microseconds for a primary to compare all its shards; 0: never
