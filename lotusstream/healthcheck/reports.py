"""Health reports, which the checking gateway publishes to all others, and the options of health checks."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

MAX_REPORT_ROWS = 1024  # maximum number of endpoints in one report


class EndpointHealth(msgspec.Struct, frozen=True, array_like=True):
    """One row of a health report. The order of fields is the form on the wire."""

    endpoint: bytes  # endpoint ID
    responds: bool


class HealthReports(msgspec.Struct, frozen=True, array_like=True):
    """A health report: the endpoints that do not respond, and those that have begun to respond recently.

    An endpoint has begun to respond recently if it responded again, or at its first check, less than
    `max_report_age_us` ago. Other endpoints have no row. The order of fields is the form on the wire.
    """

    token: int  # fencing token of the health check lease
    number: int  # sequence number of the report under this token, from 1
    rows: tuple[EndpointHealth, ...]

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: a report that was made later has a greater key."""
        return self.token, self.number


@dataclass(frozen=True, slots=True)
class HealthCheckOptions:
    """Intervals and limits of health checks, the same on all gateways."""

    interval_us: int  # microseconds between two checks of an endpoint that responds
    max_concurrent_checks: int = 8  # maximum number of health checks that run at the same time

    @property
    def recheck_interval_us(self) -> int:
        """Microseconds until an endpoint is checked again after a failed check."""
        return self.interval_us // 4

    @property
    def max_report_age_us(self) -> int:
        """Age in microseconds above which a report is ignored.

        An endpoint that responds again has a row in all reports of this period.
        """
        return 4 * self.interval_us

    @property
    def subscription_renewal_us(self) -> int:
        """Microseconds between two subscription requests of a gateway to a quorum member."""
        return self.max_report_age_us // 2
