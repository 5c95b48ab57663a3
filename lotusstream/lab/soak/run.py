"""Runs a plan on loopback: servers, discovery, gateways and clients, with the faults of its schedule."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from dataclasses import dataclass
from pathlib import Path

from lotusstream.lab.scale.checker import BrokenRule
from lotusstream.lab.scale.process import PROGRAM
from lotusstream.lab.soak.clients import SoakClients
from lotusstream.lab.soak.configuration import DRAIN_GRACE, gateway_configuration
from lotusstream.lab.soak.discovery_faults import DiscoveryFaults
from lotusstream.lab.soak.judge import SoakHistory, Stall, check_history
from lotusstream.lab.soak.log_check import failed_for_lack_of_processor, faults_in_log, tracebacks_in_log
from lotusstream.lab.soak.plan import Fault, FaultHandlers, FaultKind, SoakPlan
from lotusstream.lab.soak.processor_wait import SoakGatewayProcess
from lotusstream.lab.soak.server_faults import ServerFaults
from lotusstream.lab.unfinished_messages import unfinished_messages

LOAD_BALANCER_DELAY_SECONDS = 0.3  # after SIGTERM; new connections arrive until then
KILL_GRACE_SECONDS = 0.7  # from SIGTERM to SIGKILL, in addition to the longest deadline (at most 3 s)
MAX_DEADLINE_SECONDS = 3.0  # a longer client timeout counts as this at a shutdown
SHUTDOWN_GRACE_SECONDS = 0.6  # from SIGTERM to the end of a shutdown, in addition to the longest deadline
STALL_SECONDS = 0.3  # for which a gateway stands still
STALL_BEFORE_END_SECONDS = 0.27  # from the start of a stall until the end of the gateway's shutdown
UNFINISHED_MESSAGE_CLIENTS = 160  # fewer than a third of a gateway's descriptors
WAIT_SAMPLE_SECONDS = 0.01  # between two samples of a gateway's wait for a processor, or of its memory


@dataclass(slots=True)
class GatewayUnderTest:
    """One gateway of the run. A restart replaces its process and its clients; its port stays the same."""

    name: str
    process: SoakGatewayProcess
    clients: SoakClients
    folder: Path
    listen: int = 0  # port that its configuration names; 0: any free port
    has_stalled: bool = False  # its present process has stood still, so it may have replied late
    busy: bool = False  # it is being stopped or restarted; other faults leave it alone


@dataclass(slots=True)
class SoakResult:
    """The result of one run."""

    seed: int
    requests: int  # number of requests sent
    served: int  # number of requests with a successful answer in time
    broken: list[BrokenRule]  # violations of the gateway's rules
    crashes: list[str]  # gateways that ended or logged an error unexpectedly
    history: SoakHistory

    @property
    def passed(self) -> bool:
        return not self.broken and not self.crashes


class SoakRun:
    """Runs one plan.

    :param planted: defect of lab/scale/planted.py that every gateway has; None: no defect.
    """

    def __init__(self, plan: SoakPlan, folder: Path, planted: str | None = None) -> None:
        self.plan, self._folder, self._planted = plan, folder, planted
        self._random = random.Random(plan.seed + 1)
        self._gateways: list[GatewayUnderTest] = []
        self._history = SoakHistory({each.name: each for each in plan.classes}, drain_grace=DRAIN_GRACE)
        self._discovery = DiscoveryFaults(self._history, self._reload_gateways)
        self._servers = ServerFaults(plan, self._history, self._discovery, self._random)
        self._crashes: list[str] = []
        self._stopped_clients: list[SoakClients] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._idle_connections: list[asyncio.StreamWriter] = []
        self._ending = False  # clients send no more requests
        self._handlers: FaultHandlers = {
            FaultKind.KILL_GATEWAY: self._kill_gateway,
            FaultKind.STOP_GATEWAY: self._stop_gateway,
            FaultKind.STOP_GATEWAY_TWICE: self._stop_gateway_twice,
            FaultKind.RELOAD_AND_STOP: self._reload_and_stop,
            FaultKind.STALL_AT_SHUTDOWN: self._stall_at_shutdown,
            FaultKind.STALL_GATEWAY: self._stall_gateway,
            FaultKind.IDLE_CROWD: self._idle_crowd,
            FaultKind.UNFINISHED_MESSAGES: self._unfinished_messages,
            FaultKind.BURST: self._burst,
        }
        self.events: list[tuple[float, str]] = []  # start of each fault in Unix seconds, and its kind

    async def play(self) -> SoakResult:
        try:
            await self._start()
            await self._run_schedule()
            await self._finish()
        finally:
            await self._stop()
        outcomes = self._history.outcomes
        served = sum(outcome.served for outcome in outcomes)
        broken = check_history(self._history)
        return SoakResult(self.plan.seed, len(outcomes), served, broken, self._crashes, self._history)

    async def _start(self) -> None:
        await self._discovery.current.start()
        servers = await self._servers.start()
        self._discovery.current.publish(*(server.entry() for server in servers), whole=True)
        for number in range(self.plan.gateways):
            folder = self._folder / f"g{number}"
            folder.mkdir(parents=True)
            process = SoakGatewayProcess(folder, self._program())
            process.configure(self._configuration(f"g{number}", 0, number))
            await process.start()
            clients = self._new_clients(f"g{number}", process)
            self._gateways.append(GatewayUnderTest(f"g{number}", process, clients, folder))
        for gateway in self._gateways:
            gateway.clients.start()
        self._tasks.append(asyncio.create_task(self._sample_waits()))

    async def _sample_waits(self) -> None:
        while True:
            for gateway in self._gateways:
                if gateway.process.running and gateway.process.port:
                    gateway.process.wait.sample()
            await asyncio.sleep(WAIT_SAMPLE_SECONDS)

    def _program(self) -> tuple[str, ...]:
        if self._planted is not None:
            return ("lotusstream.lab.scale.planted", self._planted)
        if not self.plan.clock_off:
            return PROGRAM
        return ("lotusstream.lab.soak.shim", str(self.plan.clock_off))

    def _new_clients(self, name: str, process: SoakGatewayProcess) -> SoakClients:
        plan, seed = self.plan, self._random.randrange(1 << 30)
        return SoakClients(
            name,
            process.port,
            plan.classes,
            plan.rate,
            plan.leaves,
            seed,
            process.wait,
        )

    async def _run_schedule(self) -> None:
        """Starts each fault at its time, and returns at the end of the run."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for fault in self.plan.faults:
            await asyncio.sleep(max(0.0, started_at + fault.at - loop.time()))
            self._tasks.append(loop.create_task(self._apply_fault(fault)))
        await asyncio.sleep(max(0.0, started_at + self.plan.seconds - loop.time()))

    async def _apply_fault(self, fault: Fault) -> None:
        self.events.append((time.time(), fault.kind.value))
        handlers = self._handlers | self._servers.handlers | self._discovery.handlers
        await handlers[fault.kind](fault)

    # Faults of gateways

    def _configuration(self, name: str, port: int, number: int) -> dict[str, object]:
        return gateway_configuration(self.plan, self._discovery.current, name, port, number)

    def _reload_gateways(self) -> None:
        for number, gateway in enumerate(self._gateways):
            gateway.process.configure(self._configuration(gateway.name, gateway.listen, number))
            if not gateway.busy:
                gateway.process.signal(signal.SIGHUP)

    def _select_gateway(self, fault: Fault) -> GatewayUnderTest | None:
        """Returns a gateway that no other fault stops or restarts; None if there is none."""
        idle = [gateway for gateway in self._gateways if not gateway.busy]
        return idle[int(fault.part * 100) % len(idle)] if idle else None

    async def _kill_gateway(self, fault: Fault) -> None:
        if (gateway := self._select_gateway(fault)) is None:
            return
        gateway.busy = True
        gateway.clients.stop_sending()
        gateway.clients.excuse_open()
        await gateway.process.kill()
        await self._restart(gateway)

    async def _stop_gateway(self, fault: Fault) -> None:
        await self._shut_down(fault, (signal.SIGTERM,))

    async def _stop_gateway_twice(self, fault: Fault) -> None:
        await self._shut_down(fault, (signal.SIGTERM, signal.SIGTERM))

    async def _reload_and_stop(self, fault: Fault) -> None:
        await self._shut_down(fault, (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP))

    async def _stall_at_shutdown(self, fault: Fault) -> None:
        await self._shut_down(fault, (signal.SIGTERM,), stalls=True)

    async def _shut_down(self, fault: Fault, signals: tuple[int, ...], stalls: bool = False) -> None:
        """Sends the signals to a gateway, waits until it ends, and restarts it. Kills it if that takes long;
        the time for which it waited for a processor does not count.

        While the gateway shuts down, its clients go on sending on their open connections.

        :param stalls: whether the gateway stands still at the end of its shutdown, with open requests.
        """
        if (gateway := self._select_gateway(fault)) is None:
            return
        gateway.busy = True
        waited = gateway.process.wait.sample()
        for number in signals:
            gateway.process.signal(number)
            await asyncio.sleep(0.02)
        deadline = min(MAX_DEADLINE_SECONDS, self.plan.longest_deadline)
        if stalls:
            self._tasks.append(asyncio.create_task(self._stall(gateway, deadline + SHUTDOWN_GRACE_SECONDS)))
        exiting = asyncio.create_task(gateway.process.wait_for_exit(deadline + KILL_GRACE_SECONDS))
        await asyncio.sleep(LOAD_BALANCER_DELAY_SECONDS)
        gateway.clients.accepts_new = False
        has_exited = await exiting
        if not has_exited:
            has_exited = await gateway.process.wait_for_exit(gateway.process.wait.sample() - waited)
        if has_exited and gateway.process.status:
            self._record_crash(gateway, "ended with exit status")
        gateway.clients.stop_sending()
        await gateway.process.kill()
        await self._restart(gateway)

    async def _stall(self, gateway: GatewayUnderTest, shutdown_seconds: float) -> None:
        """Lets the gateway stand still from STALL_BEFORE_END_SECONDS before its shutdown ends. Servers send
        no response to its requests, so that they stay open."""
        process, clients = gateway.process, gateway.clients
        self._servers.fleet.is_silent_for = clients.has_sent
        await asyncio.sleep(shutdown_seconds - STALL_BEFORE_END_SECONDS)
        await _stand_still(process, STALL_SECONDS)

    async def _stall_gateway(self, fault: Fault) -> None:
        """Lets a gateway stand still under load."""
        if (gateway := self._select_gateway(fault)) is None:
            return
        gateway.busy = gateway.has_stalled = True
        began = time.time()
        await _stand_still(gateway.process, fault.length)
        self._history.stalls.append(Stall(gateway.name, began, time.time()))
        gateway.busy = False

    async def _restart(self, gateway: GatewayUnderTest) -> None:
        """Starts a new process on the same port, with new clients. The old clients await their answers.

        Of the old process's log only tracebacks are faults: it may have replied late because it stood still.
        """
        tracebacks = tracebacks_in_log(gateway.process.lines)
        self._crashes += [f"{gateway.name}, replaced: {text}" for text in tracebacks]
        self._stopped_clients.append(gateway.clients)
        self._tasks.append(asyncio.create_task(gateway.clients.finish()))
        gateway.listen = gateway.process.port
        gateway.process, gateway.has_stalled = SoakGatewayProcess(gateway.folder, self._program()), False
        number = self._random.randrange(1 << 30)
        gateway.process.configure(self._configuration(gateway.name, gateway.listen, number))
        try:
            await gateway.process.start()
        except Exception as error:
            self._crashes.append(f"{gateway.name} failed to start: {error!r}")
            return
        gateway.clients = self._new_clients(gateway.name, gateway.process)
        if not self._ending:
            gateway.clients.start()
        gateway.busy = False

    def _record_crash(self, gateway: GatewayUnderTest, what: str) -> None:
        lines = "\n".join(gateway.process.lines[-20:])
        self._crashes.append(f"{gateway.name} {what} {gateway.process.status}:\n{lines}")

    # Faults of clients

    async def _idle_crowd(self, fault: Fault) -> None:
        """Opens 300 connections to one gateway that send nothing."""
        if (gateway := self._select_gateway(fault)) is None:
            return
        for _ in range(300):
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", gateway.process.port)
            except OSError:
                return
            self._idle_connections.append(writer)

    async def _unfinished_messages(self, fault: Fault) -> None:
        """Clients of one gateway send messages that never end. The gateway must keep its memory limit."""
        if (gateway := self._select_gateway(fault)) is None:
            return
        process = gateway.process
        async with unfinished_messages(process.port, UNFINISHED_MESSAGE_CLIENTS):
            ends_at = time.monotonic() + fault.length
            while time.monotonic() < ends_at and process.running:
                if (held_mb := process.own_memory_mb()) > self.plan.memory_mb:
                    self._crashes.append(f"{gateway.name} held {held_mb:.1f} of {self.plan.memory_mb} MB")
                    return
                await asyncio.sleep(WAIT_SAMPLE_SECONDS)

    async def _burst(self, fault: Fault) -> None:
        """Triples the request rate of all clients, for 2 s at most."""
        for gateway in self._gateways:
            gateway.clients.rate *= 3
        await asyncio.sleep(min(2.0, fault.length))
        for gateway in self._gateways:
            gateway.clients.rate = self.plan.rate

    async def _finish(self) -> None:
        """Waits for open requests, ends the faults, and collects the records of clients and servers."""
        self._ending = True
        await asyncio.gather(*(gateway.clients.finish() for gateway in self._gateways))
        for task in list(self._tasks):
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result
        for gateway in self._gateways:
            if not gateway.busy and not gateway.process.running:
                self._record_crash(gateway, "is not running, exit status")
            self._check_log_lines(gateway)
        for clients in (*self._stopped_clients, *(gateway.clients for gateway in self._gateways)):
            self._history.outcomes += clients.outcomes
        self._history.attempts = self._servers.fleet.attempts

    def _check_log_lines(self, gateway: GatewayUnderTest) -> None:
        outcomes = {outcome.call: outcome for outcome in gateway.clients.outcomes}

        def is_allowed(call: str) -> bool:
            outcome, reserve = outcomes.get(call), self.plan.answer_reserve
            wait = gateway.process.wait
            return outcome is not None and failed_for_lack_of_processor(outcome, wait, reserve)

        lines = gateway.process.lines
        faults = tracebacks_in_log(lines) if gateway.has_stalled else faults_in_log(lines, is_allowed)
        for line in faults:
            self._crashes.append(f"{gateway.name}: {line}")

    async def _stop(self) -> None:
        for writer in self._idle_connections:
            writer.transport.abort()
        for gateway in self._gateways:
            gateway.clients.stop_sending()
            await gateway.process.kill()
        self._discovery.stop()
        self._servers.stop()


async def _stand_still(process: SoakGatewayProcess, seconds: float) -> None:
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    process.signal(signal.SIGCONT)
