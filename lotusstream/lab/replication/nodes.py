"""The processes of a simulated run, and the requests that are open in them."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from lotusstream.copies.idempotency import ClaimCoordinator
from lotusstream.copies.messages import LogRecord
from lotusstream.copies.replica import ReplicaSet
from lotusstream.copies.replica_events import PersistLogRecords
from lotusstream.copies.shards import ReplicaHost
from lotusstream.lab.replication.scenario import ONCE_KEY_SUFFIX
from lotusstream.lab.world import Node


@dataclass(slots=True)
class SimulatedDisk:
    """The log of a gateway: what survives a crash, and what may."""

    synced: list[LogRecord] = field(default_factory=list)
    writing: list[PersistLogRecords] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class EarlierExecution:
    """Where another gateway may have sent a request."""

    place: int  # zone of endpoints
    since: int  # microseconds


class SimulatedRequest:
    """One request at one gateway."""

    def __init__(self, number: int, key: str, client: str, asked_at: int) -> None:
        self.number = number
        self.key = key
        self.client = client  # its name
        self.asked_at = asked_at  # microseconds
        self.attempt = -1  # newest one
        self.place = -1  # zone of endpoints of that attempt
        self.earlier: EarlierExecution | None = None
        self.once = key.endswith(ONCE_KEY_SUFFIX)
        self.executed = False
        self.in_flight: set[int] = set()  # attempts


class GatewayNode(Node):
    """A gateway with its replicas and its claims."""

    def __init__(self, name: str, draw: random.Random, drift: float) -> None:
        super().__init__(name, draw, drift)
        self.disk = SimulatedDisk()
        self.disk_name = ""  # "": a new disk, named with the next start
        self.lied_until = 0  # microseconds: its disk has lost records, until others have sent them again
        self.replicas: ReplicaSet
        self.host: ReplicaHost
        self.claims: ClaimCoordinator
        self.requests: dict[int, SimulatedRequest] = {}  # open ones, by number


class ClientNode(Node):
    """A client with one request at a time."""

    def __init__(self, name: str, draw: random.Random, drift: float) -> None:
        super().__init__(name, draw, drift)
        self.key = ""
        self.number = 0  # counts its keys
        self.answer = b""  # to the present key; empty: none yet
        self.tries = 0
