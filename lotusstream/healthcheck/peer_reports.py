"""Receives health reports on every gateway: subscribes to a quorum member, and passes on what has changed."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.healthcheck.reports import HealthCheckOptions, HealthReports
from lotusstream.interface import EndpointId

# Events


@dataclass(frozen=True, slots=True)
class ReportsReceived:
    """A quorum member has forwarded reports."""

    reports: HealthReports
    age: int = 0  # microseconds for which the quorum member kept them before it forwarded them


@dataclass(frozen=True, slots=True)
class PeerReportsTimeAdvanced:
    """Time has passed: a subscription may have to be renewed, or entries may have expired."""


Event = ReportsReceived | PeerReportsTimeAdvanced


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask this quorum member to forward reports for a limited time."""

    member: str  # name of the gateway


Action = Subscribe | api.PeerHealthReported


@dataclass(frozen=True, slots=True)
class PeerReportsStatus:
    """The state that operators see."""

    token: int  # fencing token of the newest reports; 0: none were received
    # Microseconds since the latest of these: the newest reports, the start, the last change of quorum member.
    age: int
    unresponsive: tuple[EndpointId, ...]  # endpoints that were reported unresponsive and not responsive since


class PeerReports:
    """Subscribes to one quorum member, and passes changes of endpoints on to the decision module."""

    def __init__(self, name: str, members: Sequence[str], options: HealthCheckOptions, now: int) -> None:
        self._members, self._options, self._now = tuple(members), options, now
        # An index derived from the gateway's name spreads subscribers over the quorum members.
        self._member_index = zlib.crc32(name.encode())
        self._received_at, self._subscribed_at = now, now - options.subscription_renewal_us
        self._newest_order = (0, 0)  # `HealthReports.order` of the newest accepted reports
        # Unresponsive endpoints, and when each was last reported as such, microseconds.
        self._unresponsive: dict[EndpointId, int] = {}

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process an event at this time (microseconds) and return the resulting actions."""
        self._now = now = max(now, self._now)
        actions: list[Action] = []
        if isinstance(event, ReportsReceived):
            actions += self._on_reports_received(event)
        # No reports for the maximum report age: this quorum member is cut off, or no gateway runs checks.
        # Subscribe to the next member.
        if now - self._received_at > self._options.max_report_age_us:
            self._member_index, self._received_at, self._subscribed_at = (
                self._member_index + 1,
                now,
                now - self._options.subscription_renewal_us,
            )
        if now - self._subscribed_at >= self._options.subscription_renewal_us:
            self._subscribed_at = now
            actions.append(Subscribe(self._members[self._member_index % len(self._members)]))
        self._unresponsive = {
            endpoint: reported_at
            for endpoint, reported_at in self._unresponsive.items()
            if now - reported_at <= 2 * self._options.max_report_age_us
        }
        return actions

    @property
    def status(self) -> PeerReportsStatus:
        """The state that operators see."""
        return PeerReportsStatus(
            self._newest_order[0], self._now - self._received_at, tuple(sorted(self._unresponsive))
        )

    def _on_reports_received(self, event: ReportsReceived) -> list[Action]:
        reports = event.reports
        if reports.order <= self._newest_order or event.age > self._options.max_report_age_us:
            return []  # reports of an earlier lease holder, received before, or too old
        self._newest_order, self._received_at = reports.order, self._now
        actions: list[Action] = []
        for row in reports.rows:
            if not row.responds:
                self._unresponsive[row.endpoint] = self._now
                actions.append(api.PeerHealthReported(row.endpoint, False))
            elif self._unresponsive.pop(row.endpoint, None) is not None:
                # A response is passed on only for an endpoint that was reported unresponsive before: it does
                # not show that the endpoint can execute requests.
                actions.append(api.PeerHealthReported(row.endpoint, True))
        return actions
