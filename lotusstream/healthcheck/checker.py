"""Schedules health checks and reports their results, on the gateway that holds the health check lease."""

from __future__ import annotations

from dataclasses import dataclass

from lotusstream.healthcheck.reports import (
    MAX_REPORT_ROWS,
    EndpointHealth,
    HealthCheckOptions,
    HealthReports,
)
from lotusstream.interface import EndpointId
from lotusstream.rendezvous import unit_hash

# Consecutive failed checks after which an endpoint counts as unresponsive. One failure may be a lost packet.
FAILURES_UNTIL_UNRESPONSIVE = 2

# Events


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """The complete list of endpoints to check from now on. It replaces the previous list."""

    endpoints: tuple[EndpointId, ...]


@dataclass(frozen=True, slots=True)
class CheckCompleted:
    """A health check has ended."""

    endpoint: EndpointId
    responded: bool
    refused: bool = False  # the machine refused the connection: no process listens on the port


@dataclass(frozen=True, slots=True)
class CheckerTimeAdvanced:
    """Time has passed: checks or a report may be due."""


Event = EndpointsListed | CheckCompleted | CheckerTimeAdvanced

# Actions


@dataclass(frozen=True, slots=True)
class StartCheck:
    """Check this endpoint, then report `CheckCompleted`."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class PublishReports:
    """Send these reports to the quorum members, which forward them to all gateways."""

    reports: HealthReports


Action = StartCheck | PublishReports


@dataclass(slots=True)
class _EndpointState:
    """The state of one endpoint. Times in microseconds."""

    due_at: int  # time of the next check
    started_at: int | None = None  # start of the check that is running; None: none is running
    failures: int = 0  # consecutive failed checks
    responds: bool | None = None  # result of the checks so far; None: not known yet
    changed_at: int = 0  # when `responds` last changed


class HealthChecker:
    """Schedules health checks under one fencing token.

    It starts without results: a new lease holder does not take over those of the previous one.
    """

    def __init__(self, token: int, options: HealthCheckOptions, now: int) -> None:
        self._token, self._options, self._now = token, options, now
        self._endpoints: dict[EndpointId, _EndpointState] = {}
        self._report_number, self._reported_at = 0, now
        self._changed = False  # whether `responds` of an endpoint has changed since the newest report

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process an event at this time (microseconds) and return the resulting actions."""
        self._now = now = max(now, self._now)
        match event:
            case EndpointsListed(endpoints):
                self._on_endpoints_listed(endpoints)
            case CheckCompleted():
                self._on_check_completed(event)
        actions: list[Action] = [StartCheck(endpoint) for endpoint in self._start_due_checks()]
        # An unchanged report is repeated, so that the other gateways know that a checker is running.
        if self._changed or now - self._reported_at >= self._options.interval_us:
            self._changed, self._reported_at, self._report_number = False, now, self._report_number + 1
            actions.append(PublishReports(HealthReports(self._token, self._report_number, self._rows())))
        return actions

    @property
    def next_at(self) -> int:
        """When the next `CheckerTimeAdvanced` is due, in microseconds."""
        waiting = [each.due_at for each in self._endpoints.values() if each.started_at is None]
        return min([self._reported_at + self._options.interval_us, *waiting])

    def _on_endpoints_listed(self, endpoints: tuple[EndpointId, ...]) -> None:
        known, interval = self._endpoints, self._options.interval_us
        # The first checks are spread over one interval, so that they don't all start at the same moment.
        self._endpoints = {
            endpoint: known.get(endpoint)
            or _EndpointState(self._now + int(unit_hash(endpoint, self._token) * interval))
            for endpoint in endpoints
        }

    def _on_check_completed(self, event: CheckCompleted) -> None:
        if (state := self._endpoints.get(event.endpoint)) is None:
            return
        state.started_at = None
        state.failures = (
            0 if event.responded else FAILURES_UNTIL_UNRESPONSIVE if event.refused else state.failures + 1
        )
        state.due_at = self._now + (
            self._options.recheck_interval_us if state.failures else self._options.interval_us
        )
        responds = state.failures < FAILURES_UNTIL_UNRESPONSIVE
        if state.failures and responds:
            return  # too few failures: the known result stays as it is, responsive or not
        if state.responds is not responds:
            state.responds, state.changed_at, self._changed = responds, self._now, True

    def _start_due_checks(self) -> list[EndpointId]:
        """Return the endpoints to check now, the longest overdue first, up to the concurrency limit."""
        lost_before = self._now - self._options.max_report_age_us  # a check that began earlier counts as lost
        for each in self._endpoints.values():
            if each.started_at is not None and each.started_at < lost_before:
                each.started_at = None
        room = self._options.max_concurrent_checks - sum(
            each.started_at is not None for each in self._endpoints.values()
        )
        due = sorted(
            (each.due_at, endpoint)
            for endpoint, each in self._endpoints.items()
            if each.started_at is None and each.due_at <= self._now
        )
        chosen = [endpoint for _, endpoint in due[: max(0, room)]]
        for endpoint in chosen:
            self._endpoints[endpoint].started_at = self._now
        return chosen

    def _rows(self) -> tuple[EndpointHealth, ...]:
        """Return at most `MAX_REPORT_ROWS` rows to report. Unresponsive endpoints take precedence."""
        reported = [
            (each.responds, endpoint)
            for endpoint, each in self._endpoints.items()
            if each.responds is not None
            and (not each.responds or self._now - each.changed_at < self._options.max_report_age_us)
        ]
        return tuple(
            EndpointHealth(endpoint, responds) for responds, endpoint in sorted(reported)[:MAX_REPORT_ROWS]
        )
