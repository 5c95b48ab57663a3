"""The shard controller's record of hosts: heartbeats, liveness, and drained machines."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lotusstream.copies.controller_events import HeartbeatReceived
from lotusstream.copies.shards import ReplicaHost, ReplicaId

NEVER = -1  # stands for the time of the last heartbeat if a host has sent none


class Liveness(Enum):
    """Whether a replica has a lease, without which it may not commit as primary."""

    ALIVE = "alive"
    DEAD = "dead"  # its lease has expired, or it is shutting down
    UNKNOWN = "unknown"  # it may still have a lease from the previous controller


@dataclass(slots=True)
class _HostStatus:
    host: ReplicaHost
    session: str
    last_heartbeat_at: int  # when the newest heartbeat arrived by the controller's clock, microseconds
    shutting_down: bool


class HostRegistry:
    """Hosts and their heartbeats. A host is dead once its lease has expired by the controller's clock."""

    def __init__(self, lease_length: int, now: int) -> None:
        """Begin without any heartbeat.

        :param lease_length: microseconds.
        :param now: microseconds of the controller's clock.
        """
        self._lease_length = lease_length
        self._began_at = now
        self._statuses: dict[ReplicaId, _HostStatus] = {}
        self.now = now
        self.drained_machines: frozenset[str] = frozenset()

    def record_heartbeat(self, heartbeat: HeartbeatReceived) -> None:
        """Record a heartbeat. A session that has begun to shut down can't become live again."""
        replica_id = heartbeat.host.replica_id
        known = self._statuses.get(replica_id)
        same_run = known is not None and known.session == heartbeat.session
        was_shutting_down = same_run and known is not None and known.shutting_down
        shutting_down = heartbeat.shutting_down or was_shutting_down
        self._statuses[replica_id] = _HostStatus(heartbeat.host, heartbeat.session, self.now, shutting_down)

    @property
    def is_complete(self) -> bool:
        """Whether a lease duration has passed since this controller started.

        By then all live hosts have sent it a heartbeat, and all leases that the previous controller granted
        have expired.
        """
        return self.now - self._began_at >= self._lease_length

    def liveness(self, replica_id: ReplicaId) -> Liveness:
        """Return the liveness of a replica, which its last heartbeat determines."""
        status = self._statuses.get(replica_id)
        if status is None:
            return Liveness.DEAD if self.is_complete else Liveness.UNKNOWN
        has_lease = self.now - status.last_heartbeat_at < self._lease_length
        return Liveness.ALIVE if has_lease and not status.shutting_down else Liveness.DEAD

    def is_alive(self, replica_id: ReplicaId) -> bool:
        """Whether a replica is known to have a lease."""
        return self.liveness(replica_id) is Liveness.ALIVE

    def is_drained(self, replica_id: ReplicaId) -> bool:
        """Whether a replica is on a drained machine."""
        status = self._statuses.get(replica_id)
        return status is not None and status.host.machine in self.drained_machines

    def available_hosts(self) -> list[ReplicaHost]:
        """Return the live hosts on machines that are not drained."""
        return [
            status.host
            for replica_id, status in sorted(self._statuses.items())
            if self.is_alive(replica_id) and not self.is_drained(replica_id)
        ]

    def host(self, replica_id: ReplicaId) -> ReplicaHost:
        """Return a host that has sent a heartbeat."""
        return self._statuses[replica_id].host

    def session(self, replica_id: ReplicaId) -> str:
        """Return the newest session of a host that has sent a heartbeat."""
        return self._statuses[replica_id].session

    def last_heartbeat_at(self, replica_id: ReplicaId) -> int:
        """Return the time of the last heartbeat in microseconds, `NEVER` without one."""
        status = self._statuses.get(replica_id)
        return status.last_heartbeat_at if status is not None else NEVER
