"""Assembles a gateway, which can be started and stopped on any running event loop."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import select
import socket
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from lotusstream import interface as api
from lotusstream.net.actor import Supervisor
from lotusstream.net.client import ClientConnection
from lotusstream.net.client_limits import ClientConnectionLimiter
from lotusstream.net.client_memory import DIVISORS, ClientMemory, MemoryUse
from lotusstream.net.clock import Clock
from lotusstream.net.configuration import Configuration, ConfigurationError
from lotusstream.net.connection import Address, SocketBudget
from lotusstream.net.decider import Decider
from lotusstream.net.discovery import DiscoveryActor, FollowDiscovery
from lotusstream.net.loop_watch import LoopWatch
from lotusstream.net.statement_search import StatementSearch
from lotusstream.protocol import front

if TYPE_CHECKING:
    from lotusstream.net.subsystems import Subsystems
    from lotusstream.operator.file import OperatorFile

MS = 1000  # microseconds in a millisecond
MIN_DRAIN_US = 700 * MS  # shortest graceful shutdown; clients send later requests to other gateways
ARRIVAL_GRACE_US = 600 * MS  # time after the start of a shutdown in which clients still send requests
MAX_CLIENT_WAIT_US = 3000 * MS  # longest wait for replies after ARRIVAL_GRACE_US
DRAIN_POLL_S = 0.01  # between two checks for open work during a shutdown
# Checks for open work after the deadline of a shutdown. Counted in checks, not in time: if the process stood
# still until after the deadline, the last replies are decided and written only once it runs again.
MAX_LATE_POLL_COUNT = 20
ACCEPT_PAUSE_S = 0.01  # pause after an accept that failed for lack of a resource
LISTEN_BACKLOG = 1024
OWN_DESCRIPTOR_COUNT = 16  # descriptors of the process, the event loop, the listener and discovery
SPARE_DESCRIPTOR_DIVISOR = 32  # 1/32 of the descriptors is kept spare for connections being opened or closed
CLIENT_DESCRIPTOR_DIVISOR = 3  # 1/3 of the descriptors is for client connections

RETRYABLE_ACCEPT_ERRNOS = (
    errno.ECONNABORTED,
    errno.EINTR,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ETIMEDOUT,
)
"""Errors of `accept` that concern one connection or an interrupted call, after which `accept` is retried at
once. After any other error (EMFILE, ENFILE, ENOBUFS, ENOMEM or an unknown one) `accept` is retried after a
pause, since the whole machine may lack a resource."""


class GatewayServer:
    """A gateway with its listening socket, client connections, decider, discovery, and the subsystems that
    the operator file enables. The subsystems are imported only if there is an operator file."""

    def __init__(self, configuration: Configuration, operator: OperatorFile | None = None) -> None:
        """`operator`: the operator file; None if there is none."""
        deployment = configuration.deployment
        self.supervisor = Supervisor()
        self._configuration = configuration
        self._clock = Clock()
        self._listener: socket.socket | None = None
        self._subsystems = self._make_subsystems(operator)
        descriptors = configuration.descriptors
        # Descriptors for connections that were just accepted or are about to close.
        self._spare_count = descriptors // SPARE_DESCRIPTOR_DIVISOR
        max_clients = descriptors // CLIENT_DESCRIPTOR_DIVISOR + self._spare_count
        subsystem_count = self._subsystems.descriptors if self._subsystems else 0
        self._budget = SocketBudget(
            descriptors - max_clients - self._spare_count - OWN_DESCRIPTOR_COUNT - subsystem_count
        )
        self._client_limiter = ClientConnectionLimiter(
            max_clients, max(1, self._spare_count - 1), self._clock, self.supervisor
        )
        self._statement_search = StatementSearch()
        max_statement_bytes = configuration.memory // DIVISORS[MemoryUse.STATEMENTS]
        self._client_memory = ClientMemory(configuration.memory, self.supervisor.counters)
        wrap_module = self._subsystems.wrap_module if self._subsystems else None
        self._decider = Decider(
            deployment, self._budget, max_statement_bytes, self._clock, self.supervisor, wrap_module
        )
        self._discovery = DiscoveryActor(deployment, self._clock, self._decider.post, self.supervisor)
        self._loop_watch = LoopWatch(self._clock, self.supervisor.counters, self._evaluate)
        self._tenant_of = self._subsystems.tenant_lookup if self._subsystems else None
        if self._subsystems is not None:
            self._subsystems.connect(self._decider)

    def _make_subsystems(self, operator: OperatorFile | None) -> Subsystems | None:
        """Returns the subsystems that the operator file enables; None if there is no operator file."""
        if operator is None:
            return None
        from lotusstream.net.subsystems import Subsystems

        return Subsystems(operator, self._configuration, self._clock, self.supervisor)

    @property
    def address(self) -> Address:
        """Host and port of the listening socket. Valid after `start`."""
        assert self._listener is not None
        host, port = self._listener.getsockname()
        return host, port

    async def start(self) -> None:
        """Listens and starts all actors. Raises ConfigurationError if an address can't be listened on."""
        listener = self._listen()
        self._listener = listener
        if self._subsystems is not None:
            try:
                self._subsystems.start()
            except ConfigurationError:
                listener.close()
                raise
        self._announce()
        self._decider.start()
        self._discovery.start()
        self._discovery.post(self._configuration.initial_events)
        self._discovery.post(FollowDiscovery(self._configuration.discovery_address))
        self._resume_accept(listener)
        self.supervisor.start_restarting("watch", self._loop_watch.run)

    def _listen(self) -> socket.socket:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind(self._configuration.listen)
            listener.listen(LISTEN_BACKLOG)
        except OSError as error:
            listener.close()
            raise ConfigurationError(f"listen: {error}") from error
        return listener

    def _announce(self) -> None:
        host, port = self.address
        address = f"{host}:{port}"
        if self.supervisor.log.structured:
            self.supervisor.log.write("listening", f"on {address}", "info", address=address)
        else:
            print(f"listening on {address}", file=sys.stderr, flush=True)

    def reload_operator(self, read: Callable[[], OperatorFile]) -> None:
        """Applies a new operator file while running. Ignored if there was none at the start."""
        if self._subsystems is not None:
            self._subsystems.reload(read)

    def reload(self, new: Configuration) -> None:
        """Applies a new configuration while running. Raises ConfigurationError and changes nothing if it
        differs in more than the discovery address. Its seed and initial events are ignored, since they matter
        only at the start."""
        current = self._configuration
        address = new.discovery_address
        started = replace(new.deployment.started, seed=current.deployment.started.seed)
        comparable = replace(
            new,
            discovery_address=current.discovery_address,
            initial_events=current.initial_events,
            deployment=replace(new.deployment, started=started),
        )
        if comparable != current:
            raise ConfigurationError("configuration: only 'board' can change while the gateway runs")
        self.supervisor.counters.add("reloads")
        if address != current.discovery_address:
            self._configuration = replace(current, discovery_address=address)
            self.supervisor.log.write("reload", f"following discovery at {address[0]}:{address[1]}")
            self._discovery.post(FollowDiscovery(address))

    def _is_healthy(self) -> bool:
        """Returns the answer to health probes: True from the first endpoint list until a shutdown begins."""
        return self._decider.has_endpoint_list and not self._client_limiter.stopping

    # Accepting clients

    def _resume_accept(self, listener: socket.socket) -> None:
        if listener.fileno() >= 0:
            asyncio.get_running_loop().add_reader(listener, self._accept, listener)

    def _accept(self, listener: socket.socket) -> None:
        """Accepts several connections per call, so that clients in a burst of connects don't wait long."""
        for _ in range(max(1, self._spare_count)):
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.supervisor.counters.add("accepts failed")
                if error.errno in RETRYABLE_ACCEPT_ERRNOS:
                    continue
                self.supervisor.log.write("accept", str(error))
                self._pause_accept(listener)
                return
            sock.setblocking(False)
            self._add_client(sock)

    def _pause_accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(listener)
        loop.call_later(ACCEPT_PAUSE_S, self._resume_accept, listener)

    def _add_client(self, sock: socket.socket) -> None:
        """Admits a connection and starts its task. It is counted before the task begins, so that a shutdown
        which checks for open work in between sees it."""
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(
            sock,
            self._configuration.deployment,
            self._clock,
            self._decider.post,
            self._is_healthy,
            self._client_memory,
            self._client_limiter,
            self._statement_search,
            self.supervisor,
            self._tenant_of,
        )
        if self._client_limiter.admit(client):
            self.supervisor.start("client", client.serve())
        else:
            sock.close()

    def _evaluate(self) -> None:
        """Periodic evaluation of overdue requests and idle connections."""
        self.supervisor.counters.peak("connections to engines", self._budget.used)
        self._decider.evaluate()
        self._client_limiter.evaluate()

    # Shutdown

    async def drain(self) -> None:
        """Runs a graceful shutdown: requests are still admitted. Returns once all have been answered and
        their replies written, or MAX_LATE_POLL_COUNT checks after the shutdown's deadline."""
        self._client_limiter.stopping = True
        if self._subsystems is not None:
            self._subsystems.begin_shutdown()
        began = self._clock.now()
        profiles = self._configuration.deployment.started.profiles
        longest_timeout = max(profile.client_timeout for profile in profiles)
        deadline = began + min(longest_timeout, MAX_CLIENT_WAIT_US) + ARRIVAL_GRACE_US
        self._decider.post(api.ShutdownStarted(deadline))
        late_poll_count = 0
        while late_poll_count < MAX_LATE_POLL_COUNT:
            now = self._clock.now()
            has_open_work = self._has_open_work()
            if now >= began + MIN_DRAIN_US and not has_open_work:
                break
            late_poll_count += now >= deadline
            await asyncio.sleep(DRAIN_POLL_S)

    def _has_open_work(self) -> bool:
        """Whether a client waits for a reply, for its bytes to be read, or to be accepted."""
        if self._client_memory.used(MemoryUse.REPLIES) or self._client_limiter.has_open_work():
            return True
        return self._has_pending_connection()

    def _has_pending_connection(self) -> bool:
        """Whether the listener has a connection to accept."""
        if self._listener is None:
            return False
        poll = select.poll()  # select.select fails for descriptor numbers above 1023
        poll.register(self._listener, select.POLLIN)
        return bool(poll.poll(0))

    def print_counters(self) -> None:
        """Writes all counters to the structured log if there is one, else to standard error."""
        counters = self.supervisor.counters
        if self.supervisor.log.structured:
            self.supervisor.log.write("counters", "on request or at the end", "info", **counters.as_mapping())
            return
        print("\n".join([*counters.lines(), "counters end"]), file=sys.stderr, flush=True)

    async def stop(self) -> None:
        """Closes all connections and ends all tasks."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
        self._client_limiter.close_all()
        deadline = self._clock.now() + front.CLOSE_RACE_US
        # Gives the clients time to read their replies and close.
        while self._client_limiter.half_closed_count and self._clock.now() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        if self._subsystems is not None:
            await self._subsystems.stop()
        await self.supervisor.stop()
        if self._subsystems is not None:
            self._subsystems.close()
