"""Follows the endpoint list by long-polling discovery at the address in the current configuration."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from lotusstream.deployment import Deployment
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.clock import Clock
from lotusstream.net.connection import (
    US_PER_S,
    Address,
    CallBrokenError,
    ConnectError,
    Connection,
    ConnectionPool,
    SocketBudget,
)
from lotusstream.protocol import discovery, http

MAX_RESPONSE_BYTES = 8 << 20
MAX_POLL_US = 10_000_000  # limit on a poll whose response arrives slowly
# How long discovery is asked to hold a poll open. Leaves time to retry an unanswered poll.
LONG_POLL_US = http.DISCOVERY_PROPAGATION_US // 4
# Time without received bytes after which a poll is overdue, and another one is started beside it.
OVERDUE_AFTER_US = LONG_POLL_US + http.CALL_TIMEOUT_US
MAX_CONNECTION_COUNT = 8


@dataclass(frozen=True, slots=True)
class FollowDiscovery:
    """Follow the endpoint list at this address from now on."""

    address: Address


@dataclass(slots=True, eq=False)
class Poll:
    """A poll in flight."""

    pool: ConnectionPool  # connections to the polled address
    revision: int  # it asks for updates after this revision; 0: it asks for a snapshot
    started_at: float  # seconds of the event loop's clock
    is_overdue: bool = False
    connection: Connection | None = None  # None: not connected yet
    task: asyncio.Task[None] | None = field(default=None, repr=False)  # the task that runs it

    @property
    def active_at(self) -> float:
        """When it started or last received bytes, seconds of the event loop's clock."""
        received_at = self.connection.received_at if self.connection is not None else 0.0
        return max(self.started_at, received_at)


@dataclass(frozen=True, slots=True)
class PollEnded:
    """A poll has ended, with or without a usable response."""

    poll: Poll
    events: discovery.WatchEvents | None  # the decoded response; None: the poll failed


@dataclass(frozen=True, slots=True)
class PollCheckDue:
    """It is time to check whether a poll is overdue."""

    poll: Poll


DiscoveryMessage = discovery.WatchEvents | FollowDiscovery | PollEnded | PollCheckDue


class DiscoveryActor(Actor[DiscoveryMessage]):
    """Handles the endpoint list in the configuration, changes of the discovery address, and the result of
    each poll. Each poll runs in its own task, so that a new address is polled at once.

    One poll at a time is in flight, and beside it those that are overdue: a lost poll must not delay the next
    one, but a slow response is still used if it arrives within the time in which gateways have to know of a
    change.
    """

    def __init__(
        self,
        deployment: Deployment,
        clock: Clock,
        report: Callable[[discovery.EndpointListUpdate], None],
        supervisor: Supervisor,
    ) -> None:
        """`report`: called with each change of the list."""
        super().__init__("engine list", supervisor)
        self._deployment = deployment
        self._clock = clock
        self._report = report
        self._budget = SocketBudget(MAX_CONNECTION_COUNT)
        self._pool: ConnectionPool | None = None  # connections to the current address; None: not known yet
        self._polls: set[Poll] = set()  # polls in flight to the current address
        self._revision = 0  # revision of the last applied update; 0: the next poll requests a snapshot

    async def receive(self, message: DiscoveryMessage) -> None:
        """Handles one message."""
        match message:
            case discovery.WatchEvents():
                self._apply(message, self._revision)
            case FollowDiscovery():
                self._on_follow_discovery(message)
            case PollEnded():
                self._on_poll_ended(message)
            case PollCheckDue(poll):
                self._on_poll_check_due(poll)

    def _on_follow_discovery(self, follow: FollowDiscovery) -> None:
        for poll in self._polls:
            if poll.task is not None:
                poll.task.cancel()
        self._polls.clear()
        if self._pool is not None:
            self._pool.close()
        self._pool = ConnectionPool(
            follow.address,
            self._budget,
            self._deployment.connect_timeout,
            self._deployment.idle_timeout,
            MAX_RESPONSE_BYTES,
            self._clock,
        )
        self._ensure_poll(self._pool)

    def _on_poll_ended(self, ended: PollEnded) -> None:
        poll = ended.poll
        if poll not in self._polls:  # the poll went to an earlier address
            return
        self._polls.discard(poll)
        try:
            if ended.events is not None:
                self._apply(ended.events, poll.revision)
        finally:
            self._ensure_poll(poll.pool)

    def _on_poll_check_due(self, poll: Poll) -> None:
        if poll not in self._polls:
            return
        active_for = asyncio.get_running_loop().time() - poll.active_at
        if active_for * US_PER_S < OVERDUE_AFTER_US:
            self._schedule_check(poll)
            return
        poll.is_overdue = True
        self.supervisor.counters.add("list polls overdue")
        self._ensure_poll(poll.pool)

    def _ensure_poll(self, pool: ConnectionPool) -> None:
        """Starts a poll, unless one is in flight that is not overdue."""
        if not all(poll.is_overdue for poll in self._polls):
            return
        poll = Poll(pool, self._revision, asyncio.get_running_loop().time())
        self._polls.add(poll)
        poll.task = self.supervisor.start(f"{self.name} poll", self._poll(poll))
        self._schedule_check(poll)

    def _schedule_check(self, poll: Poll) -> None:
        due_at = poll.active_at + OVERDUE_AFTER_US / US_PER_S
        asyncio.get_running_loop().call_at(due_at, self.post, PollCheckDue(poll))

    def _apply(self, events: discovery.WatchEvents, polled_revision: int) -> None:
        """Reports all new updates merged into one. If a revision is missing, or the revisions have restarted,
        the next poll requests a snapshot.

        :param polled_revision: the revision after which updates were requested. If the response is behind it,
            the revisions have restarted; if it is only behind the present one, another poll was faster.
        """
        if events.revision < min(polled_revision, self._revision):
            self._revision = 0
            return
        new_updates: list[discovery.EndpointListUpdate] = []
        for update in events.updates:
            if update.revision <= self._revision:
                continue
            if update.revision != self._revision + 1 and not update.is_snapshot:
                self.supervisor.counters.add("gaps in the list")
                self._revision = 0
                break
            self._count_unreadable(update)
            self._revision = update.revision
            new_updates.append(update)
        if new_updates:
            self._report(discovery.merge_updates(new_updates))

    def _count_unreadable(self, update: discovery.EndpointListUpdate) -> None:
        if not update.unreadable_count:
            return
        self.supervisor.counters.add("unreadable entries", update.unreadable_count)
        self.supervisor.log.write(
            "list", f"ignored {update.unreadable_count} malformed endpoint list entries"
        )

    async def _poll(self, poll: Poll) -> None:
        """Makes a poll. If it fails, pauses before it is reported as ended."""
        began = self._clock.now()
        events: discovery.WatchEvents | None = None
        try:
            events = await self._call(poll)
        except (ConnectError, CallBrokenError, discovery.DiscoveryFormatError) as error:
            poll.pool.clear()
            self.supervisor.counters.add("list polls failed")
            self.supervisor.log.write("list", f"poll failed: {error!r}")
        except Exception as error:
            self.supervisor.record_failure(self.name, error)
        if events is None:
            pause = began + self._deployment.connect_timeout - self._clock.now()
            await asyncio.sleep(max(0, pause) / US_PER_S)
        self.post(PollEnded(poll, events))

    async def _call(self, poll: Poll) -> discovery.WatchEvents:
        """Makes the HTTP call of a poll. Raises ConnectError, CallBrokenError or DiscoveryFormatError."""
        target = f"/board/poll?watch={poll.revision}&linger={LONG_POLL_US // http.MS}"
        request = http.encode_request("GET", target, poll.pool.host, {})
        poll.connection = await poll.pool.get()
        timeout = http.DISCOVERY_PROPAGATION_US
        response = await poll.pool.call(poll.connection, request, timeout, MAX_POLL_US)
        if response.status != http.OK:
            raise CallBrokenError(f"expected HTTP status {http.OK} from discovery, got {response.status}")
        events = discovery.parse_watch_events(response.body, self._deployment)
        self.supervisor.counters.add("list polls")
        return events
