"""Puts the gateway together. Embeddable: `start` and `stop` it on any running loop."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import select
import socket
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from lotusstream import interface as api
from lotusstream.net.actor import Supervisor
from lotusstream.net.client import ClientConnection
from lotusstream.net.client_limits import ClientConnectionLimiter, UnreadReplies
from lotusstream.net.clock import LONG_TURN_US, LOOP_WATCH_INTERVAL_US, Clock
from lotusstream.net.configuration import Configuration, ConfigurationError
from lotusstream.net.connection import US, Address, SocketBudget
from lotusstream.net.decider import Decider
from lotusstream.net.discovery import DiscoveryActor, FollowDiscovery
from lotusstream.protocol import front

if TYPE_CHECKING:
    from lotusstream.net.subsystems import Subsystems
    from lotusstream.operator.file import OperatorFile

MS = 1000
MIN_DRAIN_US = 700 * MS  # after a planned stop is told: what comes that late is not this gateway's any more
ARRIVAL_GRACE_US = 600 * MS  # and until then commands still come
DRAIN_POLL_S = 0.01  # seconds
MAX_CLIENT_WAIT_US = 3000 * MS  # that much of the longest client timeout is left after that
# of accept: that one connection has failed already, or the call was interrupted; the next may be had at once.
# All others (EMFILE, ENFILE, ENOBUFS, ENOMEM and what no page names) are of this machine: after a pause.
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
READ_DELAY_TURN_COUNT = 3  # of the loop, from when a byte can be read until whoever waits for it goes on
OWN_DESCRIPTOR_COUNT = 16  # descriptors: the program's files, the loop's, the listener and the board


class GatewayServer:
    def __init__(self, configuration: Configuration, operator: OperatorFile | None = None) -> None:
        self._configuration = configuration
        self.supervisor, self._clock = Supervisor(), Clock()
        most, memory, deployment = configuration.descriptors, configuration.memory, configuration.deployment
        self._spare = most // 32  # for connections that have just come or are about to close
        most_clients = most // 3 + self._spare
        self._parts = self._parts_of(operator)
        taken = self._parts.descriptors if self._parts else 0
        self._budget = SocketBudget(most - most_clients - self._spare - OWN_DESCRIPTOR_COUNT - taken)
        self._client_limiter = ClientConnectionLimiter(
            most_clients, max(1, self._spare - 1), self._clock, self.supervisor
        )
        self._unread = UnreadReplies(memory // 8)
        beside = self._parts.beside if self._parts else None
        self._decider = Decider(deployment, self._budget, memory // 8, self._clock, self.supervisor, beside)
        self._list = DiscoveryActor(deployment, self._clock, self._decider.post, self.supervisor)
        self._listener: socket.socket | None = None
        self._tenants = self._parts.tenants if self._parts else None
        if self._parts is not None:
            self._parts.tie(self._decider)

    def _parts_of(self, operator: OperatorFile | None) -> Subsystems | None:
        """What the operator file asks for; imported only then."""
        if operator is None:
            return None
        from lotusstream.net.subsystems import Subsystems

        return Subsystems(operator, self._configuration, self._clock, self.supervisor)

    @property
    def address(self) -> Address:
        assert self._listener is not None
        host, port = self._listener.getsockname()
        return host, port

    async def start(self) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind(self._configuration.listen)
            listener.listen(1024)
        except OSError as error:
            listener.close()
            raise ConfigurationError(f"listen: {error}") from error
        self._listener = listener
        if self._parts is not None:
            try:
                self._parts.start()
            except ConfigurationError:
                listener.close()
                raise
        self._announce()
        self._decider.start()
        self._list.start()
        self._list.post(self._configuration.initial_events)
        self._list.post(FollowDiscovery(self._configuration.discovery_address))
        self._resume_accept(listener)
        self.supervisor.start_restarting("watch", self._watch)

    def _announce(self) -> None:
        address = f"{self.address[0]}:{self.address[1]}"
        if self.supervisor.log.structured:
            self.supervisor.log.write("listening", f"on {address}", "info", address=address)
        else:
            print(f"listening on {address}", file=sys.stderr, flush=True)

    def reload_operator(self, read: Callable[[], OperatorFile]) -> None:
        if self._parts is not None:
            self._parts.reload(read)

    def reload(self, new: Configuration) -> None:
        """Takes another configuration while running, or nothing of one that changes more than the board.
        Seed and known events are those of a start and count for nothing here."""
        now = self._configuration
        started = replace(new.deployment.started, seed=now.deployment.started.seed)
        deployment = replace(new.deployment, started=started)
        if (
            replace(
                new,
                discovery_address=now.discovery_address,
                initial_events=now.initial_events,
                deployment=deployment,
            )
            != now
        ):
            raise ConfigurationError("configuration: only the board can change while running")
        self.supervisor.counters.add("reloads")
        if new.discovery_address != now.discovery_address:
            self._configuration = replace(now, discovery_address=new.discovery_address)
            self.supervisor.log.write(
                "reload", f"board at {new.discovery_address[0]}:{new.discovery_address[1]}"
            )
            self._list.post(FollowDiscovery(new.discovery_address))

    def _good(self) -> bool:
        return self._decider.has_endpoint_list and not self._client_limiter.stopping

    def _resume_accept(self, listener: socket.socket) -> None:
        if listener.fileno() >= 0:
            asyncio.get_running_loop().add_reader(listener, self._accept, listener)

    def _accept(self, listener: socket.socket) -> None:
        """Several in one go: guards those that wait behind a crowd which connects all at once."""
        for _ in range(max(1, self._spare)):
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.supervisor.counters.add("accepts failed")
                if error.errno in RETRYABLE_ACCEPT_ERRNOS:
                    continue
                self.supervisor.log.write("accept", str(error))
                loop = asyncio.get_running_loop()
                loop.remove_reader(listener)
                loop.call_later(DRAIN_POLL_S, self._resume_accept, listener)
                return
            sock.setblocking(False)
            self._take_in(sock)

    def _take_in(self, sock: socket.socket) -> None:
        """Counted before its task begins: a planned stop that looks in between sees it."""
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(
            sock,
            self._configuration.deployment,
            self._clock,
            self._decider.post,
            self._good,
            self._unread,
            self._client_limiter,
            self.supervisor,
            self._tenants,
        )
        if self._client_limiter.admit(client):
            self.supervisor.start("client", client.serve())
        else:
            sock.close()

    async def _watch(self) -> None:
        """The loop's longest stall, and what is overdue or idle. While turns of the loop are long each is
        marked: what is read at the end of one may have waited for all of it."""
        looked_at = self._clock.now()
        turns = deque([looked_at] * READ_DELAY_TURN_COUNT, maxlen=READ_DELAY_TURN_COUNT)
        busy = False
        self._clock.record_loop_turn(None)
        while True:
            pause = 0 if busy else LOOP_WATCH_INTERVAL_US
            await asyncio.sleep(pause / US)
            now = self._clock.now()
            stall = now - turns[-1] - pause
            busy = stall > LONG_TURN_US or (busy and now - turns[0] > LONG_TURN_US)
            self._clock.record_loop_turn(turns[0] if busy else None)
            turns.append(now)
            self.supervisor.counters.observe("stall of the loop, us", stall)
            if now - looked_at >= LOOP_WATCH_INTERVAL_US:
                looked_at = now
                self.supervisor.counters.peak("connections to engines", self._budget.used)
                self._decider.evaluate()
                self._client_limiter.evaluate()

    async def drain(self) -> None:
        """A planned stop: takes what still comes, and returns once all is read and answered or time is up."""
        self._client_limiter.stopping = True
        if self._parts is not None:
            self._parts.leave()
        began = self._clock.now()
        longest = max(profile.client_timeout for profile in self._configuration.deployment.started.profiles)
        by = began + min(longest, MAX_CLIENT_WAIT_US) + ARRIVAL_GRACE_US
        self._decider.post(api.ShutdownStarted(by))
        while (now := self._clock.now()) < by:
            owed = self._unread.total or self._client_limiter.has_open_work() or self._knocks()
            if now >= began + MIN_DRAIN_US and not owed:
                break
            await asyncio.sleep(DRAIN_POLL_S)

    def _knocks(self) -> bool:
        """A connection waits to be accepted."""
        if self._listener is None:
            return False
        poll = select.poll()  # unlike select, for any descriptor's number
        poll.register(self._listener, select.POLLIN)
        return bool(poll.poll(0))

    def print_counters(self) -> None:
        if self.supervisor.log.structured:
            told = self.supervisor.counters.as_mapping()
            self.supervisor.log.write("counters", "on request or at the end", "info", **told)
            return
        print("\n".join([*self.supervisor.counters.lines(), "counters end"]), file=sys.stderr, flush=True)

    async def stop(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
        self._client_limiter.close_all()
        by = self._clock.now() + front.CLOSE_RACE_US
        while (
            self._client_limiter.half_closed_count and self._clock.now() < by
        ):  # until the clients have read all and closed
            await asyncio.sleep(DRAIN_POLL_S)
        if self._parts is not None:
            await self._parts.stop()
        await self.supervisor.stop()
        if self._parts is not None:
            self._parts.close()
