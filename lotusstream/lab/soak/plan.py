"""Draws the plan of a soak run from a seed: profiles, gateways, servers and a schedule of faults.

The same seed always draws the same plan.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

DEADLINES = (0.3, 0.6, 1.0, 2.0, 3.0)  # client timeouts, seconds
SMALL_FLEETS = (5, 8, 12, 20, 40)  # numbers of servers
LARGE_FLEETS = (320, 1280, 3200)  # numbers of servers
LARGE_FLEET_SHARE = 0.15  # probability that a seed draws a large fleet
CAPACITY = 48.0  # cores of all servers together
# Faults start from FIRST_FAULT_SECONDS after the start of the run until LAST_FAULT_SHARE of its length.
FIRST_FAULT_SECONDS, LAST_FAULT_SHARE = 1.0, 0.7

# A gateway must reply to each request before its deadline. It reserves twice the interval between its
# evaluations, which is 1/20 of the shortest latency objective. The soak sets each latency objective to half
# the timeout, so the reserve is the shortest timeout divided by this.
ANSWER_RESERVE_DIVISOR = 20


class FaultKind(Enum):
    DRAIN = "drain"
    REMOVE = "remove"
    JOIN = "join"
    WHOLE_LIST = "whole list"
    DISCOVERY_DOWN = "discovery down"
    DISCOVERY_SILENT = "discovery silent"
    NEW_DISCOVERY = "new discovery"
    NEW_DISCOVERY_TWICE = "new discovery twice"
    CRASH_SERVERS = "crash servers"
    SILENT_SERVERS = "silent servers"
    FULL_SERVERS = "full servers"
    RESET_CONNECTIONS = "reset connections"
    CLOSE_IDLE = "close idle connections"
    KILL_GATEWAY = "kill gateway"
    STOP_GATEWAY = "stop gateway"
    STOP_GATEWAY_TWICE = "stop gateway twice"
    RELOAD_AND_STOP = "reload and stop gateway"
    IDLE_CROWD = "idle crowd"
    BURST = "burst"
    RESTART_MOST_SERVERS = "restart most servers"
    SECOND_RESPONSES = "second responses"
    UNFINISHED_MESSAGES = "unfinished messages"
    STALL_AT_SHUTDOWN = "stall at shutdown"
    CUT_LINKS = "cut links"
    SLOW_DISCOVERY = "slow discovery"
    STALL_GATEWAY = "stall gateway"
    HANG_SERVERS = "hang servers"


TRANSPORT_FAULTS = (
    FaultKind.SECOND_RESPONSES,
    FaultKind.UNFINISHED_MESSAGES,
    FaultKind.STALL_AT_SHUTDOWN,
    FaultKind.CUT_LINKS,
    FaultKind.SLOW_DISCOVERY,
)
"""Kinds of which each plan has one, drawn apart from its other faults."""
STALL_SHARE = 0.4  # probability that a plan has a stall of a gateway, drawn apart too
HANG_SHARE = 0.7  # probability that a plan has servers that hang and go on, drawn apart too
HANG_SECONDS = (1.0, 25.0)  # shortest and longest hang; in a short run, half of its length at most
MAX_HANG_PART = 0.2  # largest share of the servers that hang
MAX_STALL_SECONDS = 0.8  # shorter than the time for which clients wait after the deadline of a request
MEMORY_LIMITS_MB = (32, 64, 192)
MAX_LINKED_SERVERS = 4


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A profile of requests."""

    name: str
    # repeatable: it may run any number of times. by_key: a repeat must come within the deduplication window.
    # once: it must not run twice.
    effect: str
    part: float  # share of all requests
    deadline: float  # client timeout, seconds
    window: float  # deduplication window, seconds
    loads: bool  # whether its requests are loads


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of the schedule."""

    at: float  # seconds after the start of the run
    kind: FaultKind
    # share of the servers that the fault affects; for `JOIN`, the number of added servers divided by the
    # plan's `servers`; for a fault of one gateway, the value that determines which gateway is affected
    part: float
    length: float  # seconds that it lasts, for kinds of faults that last


FaultHandlers = dict[FaultKind, Callable[[Fault], Awaitable[None]]]


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The plan of one run."""

    seed: int
    seconds: float  # length of the run
    gateways: int
    servers: int
    cores: float  # of each server
    rate: float  # mean requests per second to one gateway
    work: float  # seconds that a query takes on an idle server
    leaves: float  # share of the requests that the client gives up before the deadline
    clock_off: float  # seconds by which the gateways' wall clock is ahead at their start; negative: behind
    # A setting: a server fails if it is sent more work in a window than this multiple of its capacity.
    fall_multiple: float
    cold_from: float  # a setting: capacity right after a server's start / its full capacity, 0 to 1
    classes: tuple[RequestClass, ...]
    faults: tuple[Fault, ...]
    memory_mb: int = MEMORY_LIMITS_MB[-1]  # limit of each gateway

    @property
    def linked_servers(self) -> int:
        """Number of servers behind links that can be cut."""
        has_links = any(fault.kind is FaultKind.CUT_LINKS for fault in self.faults)
        return min(MAX_LINKED_SERVERS, self.servers // 3) if has_links else 0

    @property
    def longest_deadline(self) -> float:
        return max(each.deadline for each in self.classes)

    @property
    def answer_reserve(self) -> float:
        """Seconds before a request's deadline by which a gateway must have replied."""
        return min(each.deadline for each in self.classes) / ANSWER_RESERVE_DIVISOR


def draw_plan(seed: int, seconds: float) -> SoakPlan:
    """Draws the plan of a run of that length.

    Raises ValueError if the run is too short for the effect of a fault to show.
    """
    if seconds < 2 * FIRST_FAULT_SECONDS:
        raise ValueError(f"a run takes at least {2 * FIRST_FAULT_SECONDS} s, got {seconds}")
    draw, transport_draw = random.Random(seed), random.Random(f"transport {seed}")
    large = draw.random() < LARGE_FLEET_SHARE
    servers = draw.choice(LARGE_FLEETS if large else SMALL_FLEETS)
    gateways = draw.randint(2, 3 if large else 5)
    classes = _draw_classes(draw)
    shortest = min(each.deadline for each in classes)
    return SoakPlan(
        seed=seed,
        seconds=seconds,
        gateways=gateways,
        servers=servers,
        cores=max(1.0, CAPACITY / servers),
        rate=draw.uniform(8, 25),
        work=shortest * draw.uniform(0.15, 0.4),
        fall_multiple=draw.choice((1.0, 2.0, 4.0)),
        cold_from=draw.choice((0.1, 0.3)),
        leaves=draw.choice((0.0, 0.05, 0.3)),
        clock_off=draw.choice((0.0, 0.0, 5.0, -5.0, 3600.0, -3600.0)),
        classes=classes,
        faults=_sorted(
            *_draw_faults(draw, seconds),
            _draw_transport_fault(transport_draw, seconds),
            *_draw_stall(random.Random(f"stall {seed}"), seconds),
            *_draw_hang(random.Random(f"hang {seed}"), seconds),
        ),
        memory_mb=MEMORY_LIMITS_MB[-1] if large else transport_draw.choice(MEMORY_LIMITS_MB),
    )


def _draw_classes(draw: random.Random) -> tuple[RequestClass, ...]:
    window = draw.choice((0.5, 2.0, 12.0))
    return (
        RequestClass("lookup", "repeatable", 0.7, draw.choice(DEADLINES), 0.0, False),
        RequestClass("load", draw.choice(("by_key", "once")), 0.2, draw.choice(DEADLINES), window, True),
        RequestClass("booking", "once", 0.1, draw.choice(DEADLINES), 0.0, False),
    )


def _sorted(*faults: Fault) -> tuple[Fault, ...]:
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _draw_stall(draw: random.Random, seconds: float) -> list[Fault]:
    if draw.random() >= STALL_SHARE:
        return []
    at = draw.uniform(FIRST_FAULT_SECONDS, max(FIRST_FAULT_SECONDS, LAST_FAULT_SHARE * seconds))
    return [Fault(at, FaultKind.STALL_GATEWAY, draw.uniform(0.05, 0.4), draw.uniform(0.1, MAX_STALL_SECONDS))]


def _draw_hang(draw: random.Random, seconds: float) -> list[Fault]:
    if draw.random() >= HANG_SHARE:
        return []
    shortest, longest = HANG_SECONDS
    length = draw.uniform(shortest, max(shortest, min(longest, seconds / 2)))
    at = draw.uniform(FIRST_FAULT_SECONDS, max(FIRST_FAULT_SECONDS, LAST_FAULT_SHARE * seconds - length))
    return [Fault(at, FaultKind.HANG_SERVERS, draw.uniform(0.05, MAX_HANG_PART), length)]


def _draw_transport_fault(draw: random.Random, seconds: float) -> Fault:
    kind = draw.choice(TRANSPORT_FAULTS)
    return Fault(FIRST_FAULT_SECONDS, kind, draw.uniform(0.05, 0.4), seconds / 2)


def _draw_faults(draw: random.Random, seconds: float) -> list[Fault]:
    drawn_apart = (*TRANSPORT_FAULTS, FaultKind.STALL_GATEWAY, FaultKind.HANG_SERVERS)
    kinds = [kind for kind in FaultKind if kind not in drawn_apart]
    count = draw.randint(4, 9)
    faults = []
    for _ in range(count):
        at = draw.uniform(FIRST_FAULT_SECONDS, max(FIRST_FAULT_SECONDS, LAST_FAULT_SHARE * seconds))
        kind = draw.choice(kinds)
        faults.append(Fault(at, kind, draw.uniform(0.05, 0.4), draw.uniform(0.5, seconds / 2)))
    return faults
