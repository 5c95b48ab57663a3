"""The actors of health checks. One gateway checks the endpoints under a lease, the quorum members forward its
reports, and every gateway subscribes to one of them. Imported only where the operator file has `examine`."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from lotusstream import interface as api
from lotusstream.healthcheck import checker, peer_reports
from lotusstream.healthcheck.checker import (
    CheckCompleted,
    CheckerTimeAdvanced,
    EndpointsListed,
    HealthChecker,
    PublishReports,
    StartCheck,
)
from lotusstream.healthcheck.peer_reports import (
    PeerReports,
    PeerReportsTimeAdvanced,
    ReportsReceived,
    Subscribe,
)
from lotusstream.healthcheck.reports import HealthCheckOptions, HealthReports
from lotusstream.net import clock
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.connection import (
    US_PER_S,
    Address,
    CallBrokenError,
    ConnectError,
    Connection,
    ConnectionRefusedByPeerError,
    NoDescriptorError,
    SocketBudget,
)
from lotusstream.net.decider import Decider
from lotusstream.net.decider_messages import OperatorView, SubsystemEvent, ViewRequested
from lotusstream.net.tasks import TaskContext
from lotusstream.protocol import http
from lotusstream.protocol import peers as wire

MAX_SUBSCRIBERS = 1024  # maximum number of gateways to which one quorum member forwards reports
# how long this gateway's `Decider` may take to return its snapshot with the endpoints and their addresses
LIST_TIMEOUT_S = 5.0
# ID of a query that no client has started. A health check asks for it: any answer, also an error, counts.
UNKNOWN_QUERY_ID = "0" * 16

SendFrame = Callable[[str, wire.PeerFrame], None]  # sends to the gateway of this name; the frame may be lost
Reply = Callable[[wire.PeerFrame], None]  # sends a frame on the connection of a received one


class HealthCheckTask(Actor[checker.Event]):
    """Checks endpoints under the lease `examine`.

    The fencing token is verified before each check and each report.
    """

    def __init__(
        self, context: TaskContext, options: HealthCheckOptions, connect_timeout: int, decider: Decider,
        quorum_members: tuple[str, ...], send_frame: SendFrame,
    ) -> None:  # fmt: skip
        """Create the task; `connect_timeout` is in microseconds."""
        super().__init__("examine", context.supervisor)
        self._context, self._options, self._connect_timeout = context, options, connect_timeout
        self._decider, self._quorum_members, self._send_frame = decider, quorum_members, send_frame
        self._budget = SocketBudget(options.max_concurrent_checks)
        self._budget.reserved = 0  # no connections are reserved: checks may use all of this budget
        self._addresses: dict[api.EndpointId, Address] = {}
        self._checker: HealthChecker | None = None  # state of the checks; None: this gateway has no lease
        self._token = 0  # fencing token of the lease; 0: this gateway doesn't have it
        self._timer: asyncio.Task[None] | None = None
        self._running = False

    def activate(self, token: int) -> None:
        """Start checking with a new `HealthChecker`, under a lease with this fencing token."""
        self.stop("begun anew")
        if not self._running:
            self._running = True
            self.start()
        self._token, self._checker = token, HealthChecker(token, self._options, clock.boot_clock())
        self._timer = self.supervisor.start("examine", self._run_timer(self._checker))

    def stop(self, why: str = "") -> None:  # type: ignore[override]
        """Stop scheduling checks and publishing reports: the lease has ended."""
        self._checker, self._token = None, 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def _run_timer(self, health_checker: HealthChecker) -> None:
        """Load the endpoint list once per check interval, and post `CheckerTimeAdvanced` when it is due."""
        listed_at = clock.boot_clock() - self._options.interval_us
        while True:
            if clock.boot_clock() - listed_at >= self._options.interval_us:
                listed_at = clock.boot_clock()
                with contextlib.suppress(TimeoutError):  # the checks continue with the previous list
                    await self._load_endpoints()
            self.post(CheckerTimeAdvanced())
            pause = health_checker.next_at - clock.boot_clock()
            await asyncio.sleep(
                max(self._options.recheck_interval_us // 4, min(pause, self._options.interval_us)) / US_PER_S
            )

    async def _load_endpoints(self) -> None:
        """Get the READY endpoints and their addresses from the decider."""
        answer: asyncio.Future[OperatorView] = asyncio.get_running_loop().create_future()
        self._decider.post(ViewRequested(answer))
        async with asyncio.timeout(LIST_TIMEOUT_S):
            view = await answer
        addresses = {}
        for endpoint in view.snapshot.endpoints:
            if endpoint.status is api.EndpointStatus.READY and (
                address := view.addresses.get(endpoint.endpoint_id)
            ):
                host, _, port = address.rpartition(":")
                addresses[endpoint.endpoint_id] = (host, int(port))
        self._addresses = addresses
        self.post(EndpointsListed(tuple(addresses)))

    async def receive(self, message: checker.Event) -> None:
        """Pass an event to the checker, unless the fencing token is no longer valid."""
        health_checker, token = self._checker, self._token
        if health_checker is None or self._context.may_act() != token:
            return
        for action in health_checker.handle(clock.boot_clock(), message):
            match action:
                case StartCheck(endpoint):
                    self.supervisor.start("health check", self._check(endpoint, self._addresses[endpoint]))
                case PublishReports(reports):
                    for member in self._quorum_members:
                        self._send_frame(member, wire.HealthReportFrame(reports))

    async def _check(self, endpoint: api.EndpointId, address: Address) -> None:
        """Send one request to an endpoint. Any answer counts, also an error: the process responds."""
        host = f"{address[0]}:{address[1]}"
        request = http.encode_request("GET", f"/x/{UNKNOWN_QUERY_ID}/0", host, {})
        responded = refused = False
        self.supervisor.counters.add("engines examined")
        try:
            connection = await Connection.open(
                address, self._connect_timeout, self._budget, http.MAX_PAGE_BYTES, may_use_reserve=False
            )
            try:
                await connection.call(request, http.CALL_TIMEOUT_US)
                responded = True
            finally:
                connection.close()
        except ConnectionRefusedByPeerError:
            refused = True
        except NoDescriptorError:
            return  # no result: the checker starts this check again later
        except (ConnectError, CallBrokenError):
            pass
        if not responded:
            self.supervisor.counters.add("engines examined without an answer")
        self.post(CheckCompleted(endpoint, responded, refused))


class HealthReportService:
    """Runs on a quorum member: forwards the newest reports to the gateways that subscribed.

    Reports are dropped if they are not newer than the newest ones received, or if their fencing token is
    older than the newest one in the lease table.
    """

    def __init__(self, options: HealthCheckOptions, newest_token: Callable[[], int]) -> None:
        """Create the service; `newest_token` returns the newest fencing token in the lease table."""
        self._options, self._newest_token = options, newest_token
        self._reports: HealthReports | None = None  # newest reports; None: none were received
        self._received_at = 0  # when `_reports` arrived, microseconds
        # Reply function and expiry (microseconds) of each subscriber, by gateway name.
        self._subscribers: dict[str, tuple[Reply, int]] = {}

    def subscribe(self, frame: wire.HealthReportSubscription, sender: str, reply: Reply) -> None:
        """Add a subscriber or renew its subscription; send it the newest reports unless they are too old."""
        now = clock.boot_clock()
        self._subscribers.pop(sender, None)
        self._subscribers[sender] = (reply, now + min(frame.duration_us, 2 * self._options.max_report_age_us))
        if len(self._subscribers) > MAX_SUBSCRIBERS:
            del self._subscribers[next(iter(self._subscribers))]
        if self._reports is not None and now - self._received_at < self._options.max_report_age_us:
            reply(wire.HealthReportFrame(self._reports, now - self._received_at))

    def publish(self, reports: HealthReports) -> None:
        """Keep reports of the checking gateway and forward them to all subscribers, unless they are stale."""
        if reports.token < self._newest_token() or (self._reports and reports.order <= self._reports.order):
            return
        now = clock.boot_clock()
        self._reports, self._received_at = reports, now
        self._subscribers = {
            name: subscriber for name, subscriber in self._subscribers.items() if now < subscriber[1]
        }
        for reply, _ in self._subscribers.values():
            reply(wire.HealthReportFrame(reports))


class PeerReportsActor(Actor[peer_reports.Event]):
    """Receives health reports, and posts the resulting `PeerHealthReported` events to the decider."""

    def __init__(
        self, name: str, quorum_members: tuple[str, ...], options: HealthCheckOptions, send_frame: SendFrame,
        decider: Decider, supervisor: Supervisor,
    ) -> None:  # fmt: skip
        """Create the actor; `name` is this gateway's."""
        super().__init__("hearsay", supervisor)
        self._options, self._send_frame, self._decider = options, send_frame, decider
        self.peer_reports = PeerReports(name, quorum_members, options, clock.boot_clock())

    def start(self) -> None:
        """Start receiving reports, and post `PeerReportsTimeAdvanced` to itself once per check interval."""
        super().start()
        self.supervisor.start_restarting("hearsay", self._run_timer)

    async def _run_timer(self) -> None:
        while True:
            self.post(PeerReportsTimeAdvanced())
            await asyncio.sleep(self._options.interval_us / US_PER_S)

    def on_frame(self, frame: wire.HealthReportFrame) -> None:
        """Queue a frame of a quorum member."""
        self.post(ReportsReceived(frame.reports, frame.age_us))

    async def receive(self, message: peer_reports.Event) -> None:
        """Process an event: renew the subscription; log changes of endpoints and post them to the decider."""
        for action in self.peer_reports.handle(clock.boot_clock(), message):
            match action:
                case Subscribe(member):
                    self._send_frame(
                        member, wire.HealthReportSubscription(2 * self._options.subscription_renewal_us)
                    )
                case api.PeerHealthReported(endpoint, responds):
                    change = "responds again" if responds else "does not respond"
                    text = f"health report: endpoint {endpoint.decode('latin-1')} {change}"
                    self.supervisor.log.write("hearsay", text, "debug", engine=endpoint.decode("latin-1"))
                    self._decider.post(SubsystemEvent(action))

    def view(self) -> dict[str, Any]:
        """Return the state for operators; the keys are the form of `ctl --json`."""
        status = self.peer_reports.status
        unresponsive = [endpoint.decode("latin-1") for endpoint in status.unresponsive]
        return {"token": status.token, "age_us": status.age, "silent": unresponsive}
