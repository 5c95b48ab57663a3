"""Schedules of faults in a fleet: read from TOML, written as TOML, or drawn from a seed. No I/O.

An example:

gateways = 5
keepers = 3
seed = 7
lasts = "12s"

[[fault]]
at = "3s"
kind = "kill"
on = "holder"
lasts = "2s"
"""

from __future__ import annotations

import random
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from lotusstream.operator.problems import suggest
from lotusstream.operator.units import UnknownUnitError, parse_time, write_time

SECOND = 1_000_000  # microseconds
KINDS = {  # description of each kind of fault, by its name in schedules
    "kill": "SIGKILL; the gateway is started again after `lasts`",
    "stop": "SIGSTOP; SIGCONT follows after `lasts`",
    "leave": "a graceful shutdown; the gateway is started again after `lasts`",
    "cut": "all its connections are closed and refused, in both directions",
    "mute": "on connections that it opens, nothing that it sends arrives",
    "deaf": "on connections that others open to it, nothing that they send arrives",
    "stall": "half-open: its connections are accepted and nothing passes",
    "delay": "everything on its connections arrives 100 ms late",
    "reset": "its connections are reset within a frame",
    "full": "its disk is full",
    "failing": "its disk fails at fsync",
    "slow": "each fsync takes 200 ms",
    "wipe": "killed, its stored data deleted, and started again after `lasts`",
    "fast": "its clock runs 5% fast, to the end of the run",
    "late": "its clock runs 5% slow, to the end of the run",
    "sleep": "its clock jumps 10 s ahead, as after the machine slept",
    "kill-all": "every quorum member killed at once; each is started again at a random time within `lasts`",
}
TARGETS = ("holder", "leader", "keeper", "client", "home", "any")
DEFAULT_TIMES_US = {"lasts": SECOND, "at": 0}  # by key of a fault in a schedule, microseconds


class ScheduleError(Exception):
    """An invalid schedule. The message names the place, the invalid value and what is valid."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault at one gateway.

    The target is the name of a gateway, or one of TARGETS, which is resolved when the fault begins: "holder"
    is the lease holder of the recorded task, "leader" the leader of the quorum, "keeper" any quorum member,
    "client" any gateway that is no quorum member (any at all if there is none), "home" the primary of most
    shards, "any" any gateway.
    """

    at_us: int  # microseconds from the start of the schedule to that of the fault
    kind: str  # one of KINDS
    target: str  # name of a gateway, or one of TARGETS
    duration_us: int = SECOND  # microseconds from the start of the fault to its end


@dataclass(frozen=True, slots=True)
class Schedule:
    """A fleet and the faults in it, ordered by time."""

    gateways: int  # number of gateways
    quorum_members: int  # number of gateways that are members of the quorum
    seed: int  # seed of the random choices in a run
    duration_us: int  # microseconds from the start of the schedule until all faults are ended
    faults: tuple[Fault, ...]  # ordered by time
    # number of clients that send requests; unless it is 0, gateways replicate idempotency records
    customers: int = 0

    def without(self, index: int) -> Schedule:
        """Returns the schedule without one fault."""
        return replace(self, faults=self.faults[:index] + self.faults[index + 1 :])


def _duration(value: Any, where: str) -> int:
    try:
        return parse_time(str(value))
    except UnknownUnitError as error:
        raise ScheduleError(f"{where}: {error}") from error


def _integer(table: Mapping[str, Any], name: str, minimum: int, maximum: int, default: int) -> int:
    value = table.get(name, default)
    if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
        raise ScheduleError(f"{name}: expected a whole number from {minimum} to {maximum}, got {value!r}")
    return value


def parse_schedule(text: str) -> Schedule:
    """Returns the schedule in a TOML text. Raises ScheduleError."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScheduleError(str(error)) from error
    for name in table:
        known = ["gateways", "keepers", "seed", "lasts", "customers", "fault"]
        if name not in known:
            raise ScheduleError(f"unknown key '{name}': {suggest(name, known)}")
    gateways = _integer(table, "gateways", 3, 300, 5)
    quorum_members = _integer(table, "keepers", 3, min(7, gateways), 3)
    faults = tuple(_fault(number, each, gateways) for number, each in enumerate(table.get("fault", []), 1))
    duration_us = _duration(table.get("lasts", "10s"), "lasts")
    customers = _integer(table, "customers", 0, 200, 0)
    return Schedule(
        gateways,
        quorum_members,
        _integer(table, "seed", 0, 2**31, 1),
        duration_us,
        _ordered(faults),
        customers,
    )


def _fault(number: int, table: Any, gateways: int) -> Fault:
    where = f"fault {number}"
    if not isinstance(table, dict):
        raise ScheduleError(f"{where}: expected [[fault]] with its keys on the lines below")
    for name in table:
        if name not in ("at", "kind", "on", "lasts"):
            hint = suggest(name, ["at", "kind", "on", "lasts"])
            raise ScheduleError(f"{where}: unknown key '{name}': {hint}")
    kind, target = table.get("kind", ""), table.get("on", "any")
    if kind not in KINDS:
        raise ScheduleError(f"{where}: unknown kind '{kind}': {suggest(str(kind), KINDS)}")
    names = [f"g{index}" for index in range(1, gateways + 1)]
    if target not in TARGETS and target not in names:
        raise ScheduleError(
            f"{where}: unknown target '{target}' in 'on': {suggest(str(target), [*TARGETS, *names[:9]])}"
        )
    times_us = {
        name: _duration(table.get(name, write_time(default) if default else "0s"), where)
        for name, default in DEFAULT_TIMES_US.items()
    }
    return Fault(times_us["at"], kind, target, times_us["lasts"])


def _ordered(faults: Sequence[Fault]) -> tuple[Fault, ...]:
    return tuple(sorted(faults, key=lambda each: each.at_us))


def draw_schedule(
    seed: int,
    gateways: int = 4,
    quorum_members: int = 3,
    duration_us: int = 4 * SECOND,
    max_faults: int = 5,
) -> Schedule:
    """Returns the random schedule of a seed, the same at each call.

    Disk faults hit at most one quorum member: records that two of three members lose are lost to the quorum.
    """
    draw = random.Random(seed)
    faults, disk = list[Fault](), f"g{draw.randint(1, quorum_members)}"
    for _ in range(draw.randint(1, max_faults)):
        kind = draw.choice(sorted(KINDS))
        target = disk if kind in ("wipe", "full", "failing") else draw.choice(TARGETS)
        fault_us = draw.randint(SECOND // 5, 2 * SECOND)
        faults.append(Fault(draw.randint(SECOND // 5, duration_us - SECOND), kind, target, fault_us))
    return Schedule(gateways, quorum_members, seed, duration_us, _ordered(faults))


def format_schedule(schedule: Schedule) -> str:
    """Returns a TOML text from which `parse_schedule` reads an equal schedule."""
    lines = [
        f"gateways = {schedule.gateways}",
        f"keepers = {schedule.quorum_members}",
        f"seed = {schedule.seed}",
        f'lasts = "{write_time(schedule.duration_us)}"',
    ]
    if schedule.customers:
        lines.append(f"customers = {schedule.customers}")
    for each in schedule.faults:
        lines += ["", "[[fault]]", f'at = "{write_time(each.at_us) if each.at_us else "0s"}"']
        lines += [
            f'kind = "{each.kind}"',
            f'on = "{each.target}"',
            f'lasts = "{write_time(each.duration_us)}"',
        ]
    return "\n".join([*lines, ""])


def schedules_without_one_fault(schedule: Schedule) -> Iterator[Schedule]:
    """Yields, for each fault, the schedule without it."""
    for index in range(len(schedule.faults)):
        yield schedule.without(index)
