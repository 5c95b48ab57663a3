"""Plays a schedule of faults on a fleet of real processes, and checks the acts and answers of gateways."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections.abc import Callable
from dataclasses import dataclass

from lotusstream.lab.fleet.clients import ClientResults, FleetClients
from lotusstream.lab.fleet.history_checker import Verdict, check_history
from lotusstream.lab.fleet.process import FAILING, FULL, OK, RECORDED_TASK
from lotusstream.lab.fleet.relay import RelayMode
from lotusstream.lab.fleet.rig import FleetRig, GatewayLostError, GatewayProcess
from lotusstream.lab.fleet.schedule import Fault, Schedule, schedules_without_one_fault
from lotusstream.operator.units import write_time
from lotusstream.protocol.control import ReplicaStatus

US = 1_000_000  # microseconds in a second
SHARDS = 8  # number of shards of idempotency records
QUORUM_DIRECTIVES = ("heartbeat 60ms", "election 400ms", "lease 2s", "drift 5%")
REPLICATION_DIRECTIVES = (*QUORUM_DIRECTIVES, "copies 3 promise 2", f"shards {SHARDS}")
IDEMPOTENCY_DIRECTIVES = (*REPLICATION_DIRECTIVES, "remember 10m")
ENDPOINTS = 4  # number of stand-in endpoints
# longest time from the start, and from the end of the faults, until some gateway acts
RECOVERY_TIMEOUT_S = 15.0
RELAY_MODES = {  # mode of all connections that a gateway opens or accepts, by kind of fault
    "cut": RelayMode(cut=True),
    "stall": RelayMode(stalled=True),
    "delay": RelayMode(delay=0.1),
    "reset": RelayMode(reset_after_bytes=7),
}


@dataclass(slots=True)
class Outcome:
    """The result of playing a schedule."""

    verdict: Verdict
    story: list[str]  # faults and fleet events of the gateways, one line each, with the time
    failures: list[str]  # timeouts, errors in logs and violated commitments to clients, one line each
    takeover_s: float | None = None  # seconds from the end of the faults to the next act; None: it timed out
    results: ClientResults | None = None  # None: there were no clients, or the run failed before its end

    @property
    def passed(self) -> bool:
        """Whether there was neither a violation nor a failure."""
        return self.verdict.passed and not self.failures


class SchedulePlayer:
    """Injects the faults of one schedule into a running rig."""

    def __init__(self, rig: FleetRig, schedule: Schedule) -> None:
        self._rig, self._schedule = rig, schedule
        self._random = random.Random(schedule.seed)
        self._undo_tasks: set[asyncio.Task[None]] = set()

    async def play(self) -> None:
        """Injects each fault at its time. At the end of the schedule all faults end and all gateways run."""
        began = asyncio.get_running_loop().time()
        for fault in self._schedule.faults:
            await asyncio.sleep(max(0.0, began + fault.at_us / US - asyncio.get_running_loop().time()))
            await self._inject(fault)
        left = began + self._schedule.duration_us / US - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, left))
        for task in self._undo_tasks:
            task.cancel()
        await asyncio.gather(*self._undo_tasks, return_exceptions=True)
        await self._end_all_faults()

    async def _primary_of_most_shards(self) -> str:
        """Returns the name of the gateway that is primary of most shards, by the gateways' own answers."""
        counts = dict.fromkeys(self._rig.names, 0)
        for name, gateway in self._rig.gateways.items():
            with contextlib.suppress(OSError, GatewayLostError, TimeoutError, asyncio.IncompleteReadError):
                if gateway.up and not gateway.is_suspended:
                    shards = (await gateway.ask(ReplicaStatus()))["shards"]
                    counts[name] = sum(row["home"] == name for row in shards)
        return max(counts, key=lambda name: counts[name])

    async def _target_of(self, fault: Fault) -> GatewayProcess:
        """Returns the gateway that the target of a fault denotes at this moment."""
        rig = self._rig
        match fault.target:
            case "holder":
                acts = rig.act_recorder.acts
                name = acts[-1].holder if acts else rig.names[0]
            case "leader":
                name = rig.leader or rig.quorum_members[0]
            case "keeper":
                name = self._random.choice(rig.quorum_members)
            case "client":
                name = self._random.choice(
                    [each for each in rig.names if each not in rig.quorum_members] or rig.names
                )
            case "home":
                name = await self._primary_of_most_shards()
            case "any":
                name = self._random.choice(rig.names)
            case _:
                name = fault.target
        return rig.gateways[name]

    async def _inject(self, fault: Fault) -> None:
        """Starts a fault at the gateway that its target denotes, and schedules its end."""
        rig, gateway = self._rig, await self._target_of(fault)
        kills_all = fault.kind == "kill-all"
        where = "every quorum member" if kills_all else gateway.name
        rig.say(f"FAULT {fault.kind} on {where} for {write_time(fault.duration_us)}")
        if kills_all:
            members = [rig.gateways[name] for name in rig.quorum_members]
            self._random.shuffle(members)
            await asyncio.gather(*(each.kill() for each in members))
            for each in members:
                self._call_later(self._random.random() * fault.duration_us, self._restarter(each))
            return
        undo = await self._apply(fault, gateway)
        if undo is not None:
            self._call_later(fault.duration_us, undo)

    async def _apply(self, fault: Fault, gateway: GatewayProcess) -> Callable[[], object] | None:
        """Starts a fault. Returns the callback that ends it; None: it lasts until the end of the run."""
        match fault.kind:
            case "kill" | "wipe":
                await gateway.kill()
                if fault.kind == "wipe":
                    gateway.wipe()
                return self._restarter(gateway)
            case "leave":
                gateway.signal(signal.SIGCONT)
                gateway.signal(signal.SIGTERM)
                return self._restarter(gateway)
            case "stop":
                gateway.signal(signal.SIGSTOP)
                return lambda: gateway.signal(signal.SIGCONT)
            case "full" | "failing" | "slow":
                gateway.set_disk({"full": FULL, "failing": FAILING, "slow": "200"}[fault.kind])
                return lambda: gateway.set_disk(OK)
            case "fast" | "late" | "sleep":
                rate = {"fast": 1.05, "late": 0.95, "sleep": 1.0}[fault.kind]
                gateway.set_clock(rate, 10 * US if fault.kind == "sleep" else 0)
                return None
            case "mute" | "deaf":
                return self._set_relay_modes(
                    gateway.name,
                    RelayMode(block_forward=True),
                    fault.kind == "mute",
                    fault.kind == "deaf",
                )
            case _:
                return self._set_relay_modes(gateway.name, RELAY_MODES[fault.kind], True, True)

    def _set_relay_modes(
        self, name: str, mode: RelayMode, outgoing: bool, incoming: bool
    ) -> Callable[[], object]:
        """Sets the mode of connections that a gateway opens, and of those that others open to it.

        Returns the callback that ends the fault.
        """
        changed = [
            relay
            for (source, target), relay in self._rig.relays.items()
            if (outgoing and source == name) or (incoming and target == name)
        ]
        for relay in changed:
            relay.set_mode(mode)

        def undo() -> None:
            for relay in changed:
                relay.set_mode(RelayMode())

        return undo

    def _restarter(self, gateway: GatewayProcess) -> Callable[[], object]:
        """Returns a callback that starts a gateway, unless it runs."""

        async def start() -> None:
            if not gateway.up:
                await gateway.start()

        return start

    def _call_later(self, delay_us: float, undo: Callable[[], object]) -> None:
        """Ends a fault by `undo` after a delay, in microseconds."""

        async def wait() -> None:
            await asyncio.sleep(delay_us / US)
            result = undo()
            if asyncio.iscoroutine(result):
                await result

        task = asyncio.get_running_loop().create_task(wait())
        self._undo_tasks.add(task)
        task.add_done_callback(self._undo_tasks.discard)

    async def _end_all_faults(self) -> None:
        """Ends all faults but those of clocks, and waits until every gateway listens."""
        rig = self._rig
        rig.heal()
        for gateway in rig.gateways.values():
            gateway.set_disk(OK)
            if gateway.up:
                gateway.signal(signal.SIGCONT)
        for gateway in rig.gateways.values():
            if not gateway.up:
                await gateway.kill()  # the process has ended already; this reads its log to the end
                await gateway.start()
        await asyncio.gather(*(each.ready() for each in rig.gateways.values()))


async def play(
    schedule: Schedule,
    on_story_line: Callable[[str], None] | None = None,
    directives: tuple[str, ...] = IDEMPOTENCY_DIRECTIVES,
) -> Outcome:
    """Plays a schedule on a new fleet. No process or file of the fleet is left, even after a cancellation.

    :param on_story_line: called with each line of the story
    :param directives: lines of the operator file's fleet section; used only if the schedule has customers
    """
    failures: list[str] = []
    takeover_s, results = None, None
    rig = FleetRig(
        schedule.gateways, schedule.quorum_members, seed=schedule.seed, on_story_line=on_story_line
    )
    if schedule.customers:
        rig = FleetRig(
            schedule.gateways,
            schedule.quorum_members,
            seed=schedule.seed,
            tasks=(RECORDED_TASK, "copies"),
            directives=directives,
            replicas=True,
            endpoints=ENDPOINTS,
            on_story_line=on_story_line,
        )
    async with rig:
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                await rig.act_recorder.wait_for_act()
            if schedule.customers:
                await rig.wait_until_replicated(SHARDS)
            clients = FleetClients(rig, schedule.customers, schedule.seed)
            async with clients:
                await SchedulePlayer(rig, schedule).play()
                began = asyncio.get_running_loop().time()
                async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                    act = await rig.act_recorder.wait_for_act()
            takeover_s = asyncio.get_running_loop().time() - began
            rig.say(
                f"{act.holder} acts under token {act.token}, {takeover_s:.2f} s after all faults have ended"
            )
            if schedule.customers:
                await clients.repeat_at_every_gateway()
                results = clients.results
                failures += _violated_commitments(rig, results)
        except TimeoutError:
            failures.append(
                f"timed out: no gateway acted for {RECOVERY_TIMEOUT_S} s, or one did not get ready"
            )
        except GatewayLostError as error:
            failures.append(str(error))
        for name, gateway in rig.gateways.items():
            failures += [
                f"{name}: {line}" for line in gateway.lines if '"failed"' in line or "Traceback" in line
            ]
        verdict = check_history(rig.act_recorder.acts)
    for line in (*verdict.overlapping[:5], *verdict.reused_tokens[:5], *failures[:5]):
        rig.say(f"BROKEN {line[:400]}")
    rig.say(
        f"{verdict.acts} acts under {verdict.tokens} tokens; allowed while a newer holder acted:"
        f" {len(verdict.overlapping)}, late and rejected by the token: {verdict.stale_acts}"
    )
    if results is not None:
        rig.say(
            f"{results.answered} requests answered, {results.repeats} repeats answered:"
            f" {len(results.changed)} with another answer; {len(results.forgotten)} failed after an answer,"
            f" {len(rig.effects.keys_run_twice)} executed twice; {results.shed} attempts shed,"
            f" {results.unknown} requests may have run and were not sent again"
        )
    return Outcome(verdict, rig.story, failures, takeover_s, results)


def _violated_commitments(rig: FleetRig, results: ClientResults) -> list[str]:
    """Returns a line for each violated commitment to clients, and one if no request was answered."""
    broken = [
        *results.changed,
        *results.forgotten,
        *(f"{key}: took effect twice" for key in rig.effects.keys_run_twice),
    ]
    return broken if results.answered else ["no request was answered", *broken]


async def shrink_schedule(schedule: Schedule, tries: int = 20) -> Schedule:
    """Removes faults as long as the schedule still fails without them, in at most `tries` runs."""
    while tries > 0:
        for each in schedules_without_one_fault(schedule):
            tries -= 1
            if not (await play(each)).passed:
                schedule = each
                break
            if tries <= 0:
                return schedule
        else:
            return schedule
    return schedule


def run(schedule: Schedule, on_story_line: Callable[[str], None] | None = None) -> Outcome:
    """Plays a schedule. Ctrl-C ends its processes and then raises KeyboardInterrupt."""
    with contextlib.suppress(KeyboardInterrupt):
        return asyncio.run(play(schedule, on_story_line))
    raise KeyboardInterrupt
