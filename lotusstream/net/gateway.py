"""Puts the gateway together. Embeddable: `start` and `stop` it on any running loop."""

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
from lotusstream.net.client_limits import ClientConnectionLimiter, UnreadReplies
from lotusstream.net.clock import Clock
from lotusstream.net.configuration import Configuration, ConfigurationError
from lotusstream.net.connection import Address, SocketBudget
from lotusstream.net.decider import Decider
from lotusstream.net.discovery import DiscoveryActor, FollowDiscovery
from lotusstream.net.loop_watch import LoopWatch
from lotusstream.protocol import front

if TYPE_CHECKING:
    from lotusstream.net.subsystems import Subsystems
    from lotusstream.operator.file import OperatorFile

MS = 1000  # microseconds in a millisecond
MIN_DRAIN_US = 700 * MS  # of a graceful shutdown: a request that arrives later is meant for another gateway
ARRIVAL_GRACE_US = 600 * MS  # from its start, in which requests still arrive
MAX_CLIENT_WAIT_US = 3000 * MS  # for their replies after that, within the longest client time-out
DRAIN_POLL_S = 0.01
ACCEPT_PAUSE_S = 0.01
LISTEN_BACKLOG = 1024
OWN_DESCRIPTOR_COUNT = 16  # files of the program, the loop's, the listener and discovery
SPARE_DESCRIPTOR_PART = 32  # one descriptor in so many is spare
CLIENT_DESCRIPTOR_PART = 3  # one descriptor in so many is for clients
MEMORY_PART = 8  # of the memory, for statements, and as much for replies

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
"""Errors of `accept` that concern one connection or an interrupted call: the next may be accepted at once.
All others (EMFILE, ENFILE, ENOBUFS, ENOMEM and unknown ones) concern this machine: after a pause."""


class GatewayServer:
    """A gateway on its listening socket: client connections, the decider, discovery and the subsystems of the
    operator file, which are imported only where there is one."""

    def __init__(self, configuration: Configuration, operator: OperatorFile | None = None) -> None:
        """`operator`: the operator file; None where there is none."""
        deployment = configuration.deployment
        self.supervisor = Supervisor()
        self._configuration = configuration
        self._clock = Clock()
        self._listener: socket.socket | None = None
        self._subsystems = self._make_subsystems(operator)
        descriptors = configuration.descriptors
        # for connections that have just come or are about to close
        self._spare_count = descriptors // SPARE_DESCRIPTOR_PART
        max_clients = descriptors // CLIENT_DESCRIPTOR_PART + self._spare_count
        subsystem_count = self._subsystems.descriptors if self._subsystems else 0
        self._budget = SocketBudget(
            descriptors - max_clients - self._spare_count - OWN_DESCRIPTOR_COUNT - subsystem_count
        )
        self._client_limiter = ClientConnectionLimiter(
            max_clients, max(1, self._spare_count - 1), self._clock, self.supervisor
        )
        max_bytes = configuration.memory // MEMORY_PART
        self._unread = UnreadReplies(max_bytes)
        wrap_module = self._subsystems.wrap_module if self._subsystems else None
        self._decider = Decider(
            deployment, self._budget, max_bytes, self._clock, self.supervisor, wrap_module
        )
        self._discovery = DiscoveryActor(deployment, self._clock, self._decider.post, self.supervisor)
        self._loop_watch = LoopWatch(self._clock, self.supervisor.counters, self._evaluate)
        self._tenant_of = self._subsystems.tenant_lookup if self._subsystems else None
        if self._subsystems is not None:
            self._subsystems.connect(self._decider)

    def _make_subsystems(self, operator: OperatorFile | None) -> Subsystems | None:
        """What the operator file turns on; imported only then."""
        if operator is None:
            return None
        from lotusstream.net.subsystems import Subsystems

        return Subsystems(operator, self._configuration, self._clock, self.supervisor)

    @property
    def address(self) -> Address:
        """Host and port of the listening socket, once it is started."""
        assert self._listener is not None
        host, port = self._listener.getsockname()
        return host, port

    async def start(self) -> None:
        """Listens, and starts all actors. Raises ConfigurationError where an address can't be listened on."""
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
        """Takes another operator file while running, where there was one at the start."""
        if self._subsystems is not None:
            self._subsystems.reload(read)

    def reload(self, new: Configuration) -> None:
        """Takes another configuration while running. Raises ConfigurationError, and takes nothing of it,
        where more than the discovery address changes. Seed and initial events are those of a start, and
        ignored."""
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
            raise ConfigurationError("configuration: only the board can change while running")
        self.supervisor.counters.add("reloads")
        if address != current.discovery_address:
            self._configuration = replace(current, discovery_address=address)
            self.supervisor.log.write("reload", f"board at {address[0]}:{address[1]}")
            self._discovery.post(FollowDiscovery(address))

    def _is_healthy(self) -> bool:
        """The answer to health probes."""
        return self._decider.has_endpoint_list and not self._client_limiter.stopping

    # Accepting clients

    def _resume_accept(self, listener: socket.socket) -> None:
        if listener.fileno() >= 0:
            asyncio.get_running_loop().add_reader(listener, self._accept, listener)

    def _accept(self, listener: socket.socket) -> None:
        """Accepts several at once: guards clients that wait behind a crowd which connects all at once."""
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
        """Counts the connection before its task begins: a shutdown that checks in between sees it."""
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(
            sock,
            self._configuration.deployment,
            self._clock,
            self._decider.post,
            self._is_healthy,
            self._unread,
            self._client_limiter,
            self.supervisor,
            self._tenant_of,
        )
        if self._client_limiter.admit(client):
            self.supervisor.start("client", client.serve())
        else:
            sock.close()

    def _evaluate(self) -> None:
        """The periodic evaluation: what is overdue or idle."""
        self.supervisor.counters.peak("connections to engines", self._budget.used)
        self._decider.evaluate()
        self._client_limiter.evaluate()

    # Shutdown

    async def drain(self) -> None:
        """A graceful shutdown: takes what still arrives, and returns once all is read and answered, or at its
        deadline."""
        self._client_limiter.stopping = True
        if self._subsystems is not None:
            self._subsystems.begin_shutdown()
        began = self._clock.now()
        profiles = self._configuration.deployment.started.profiles
        longest_timeout = max(profile.client_timeout for profile in profiles)
        deadline = began + min(longest_timeout, MAX_CLIENT_WAIT_US) + ARRIVAL_GRACE_US
        self._decider.post(api.ShutdownStarted(deadline))
        while (now := self._clock.now()) < deadline:
            has_open_work = self._has_open_work()
            if now >= began + MIN_DRAIN_US and not has_open_work:
                break
            await asyncio.sleep(DRAIN_POLL_S)

    def _has_open_work(self) -> bool:
        """Whether a client waits for something."""
        if self._unread.total or self._client_limiter.has_open_work():
            return True
        return self._has_pending_connection()

    def _has_pending_connection(self) -> bool:
        """Whether a connection waits to be accepted."""
        if self._listener is None:
            return False
        poll = select.poll()  # unlike select, for any descriptor's number
        poll.register(self._listener, select.POLLIN)
        return bool(poll.poll(0))

    def print_counters(self) -> None:
        """Writes all counters to the structured log, or to standard error where there is none."""
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
        # until the clients have read everything and closed
        while self._client_limiter.half_closed_count and self._clock.now() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        if self._subsystems is not None:
            await self._subsystems.stop()
        await self.supervisor.stop()
        if self._subsystems is not None:
            self._subsystems.close()
