"""The processes of a simulated run, and their open requests."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from lotusstream.copies.idempotency import ClaimCoordinator
from lotusstream.copies.messages import LogRecord
from lotusstream.copies.replica import ReplicaSet
from lotusstream.copies.replica_events import PersistLogRecords
from lotusstream.copies.shards import ReplicaHost
from lotusstream.lab.replication.scenario import SINGLE_EXECUTION_KEY_SUFFIX
from lotusstream.lab.world import Node


@dataclass(slots=True)
class SimulatedDisk:
    """The log of a gateway: synced records survive a crash, and so may a prefix of those being written."""

    synced: list[LogRecord] = field(default_factory=list)  # records that survive a crash
    # writes that were requested and are not synced yet, in order
    writing: list[PersistLogRecords] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class EarlierExecution:
    """The endpoint zone and the time of a request that another gateway may have sent before."""

    endpoint_zone: int  # number of the zone whose endpoints got the request
    since: int  # simulated time of the request's first attempt, microseconds


class SimulatedRequest:
    """One request at one gateway."""

    def __init__(self, number: int, key: str, client: str, asked_at: int) -> None:
        self.number = number  # id of this request at this gateway, unique in the run
        self.key = key  # idempotency key
        self.client = client  # name of the client that sent it
        self.asked_at = asked_at  # simulated time of its arrival, microseconds
        self.attempt = -1  # number of the newest attempt; -1: none yet
        self.endpoint_zone = -1  # number of the zone whose endpoints get the newest attempt; -1: none yet
        self.earlier: EarlierExecution | None = None  # None: no other gateway is known to have sent it
        self.is_single_execution = key.endswith(SINGLE_EXECUTION_KEY_SUFFIX)  # whether it may run once only
        self.executed = False  # whether an attempt at this gateway was executed
        self.in_flight: set[int] = set()  # numbers of the attempts that have not ended


class GatewayNode(Node):
    """A gateway with its replicas and the claims of its requests."""

    def __init__(self, name: str, rng: random.Random, drift: float) -> None:
        super().__init__(name, rng, drift)
        self.disk = SimulatedDisk()
        self.disk_name = ""  # name of its disk; "": a new disk, which gets its name at the next start
        # simulated time until which its disk counts as incomplete after the fault 'lie', microseconds
        self.incomplete_until = 0
        self.replicas: ReplicaSet
        self.host: ReplicaHost
        self.claims: ClaimCoordinator
        self.requests: dict[int, SimulatedRequest] = {}  # open requests, by number


class ClientNode(Node):
    """A client with one request at a time."""

    def __init__(self, name: str, rng: random.Random, drift: float) -> None:
        super().__init__(name, rng, drift)
        self.key = ""  # idempotency key of its present request; "": it has sent none yet
        self.number = 0  # number of keys that it has used
        self.answer = b""  # answer to the present request; empty: none yet
        self.send_count = 0  # number of times that it has sent the present request
