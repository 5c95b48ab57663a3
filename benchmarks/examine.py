"""Health checks by one gateway for all gateways, with many decision modules on a virtual clock.

Measures how many attempts at a failed endpoint they avoid, how soon an endpoint is used again after its
return, and the effect of false health reports.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from benchmarks.fleet import MS, S, gateway_started
from lotusstream import interface as api
from lotusstream.healthcheck import checker, peer_reports
from lotusstream.healthcheck.reports import HealthCheckOptions
from lotusstream.policy import Gateway

# simulated microseconds: the first endpoint is down from DOWN_AT until UP_AT, and the run ends at ENDS_AT
DOWN_AT, UP_AT, ENDS_AT = 10 * S, 55 * S, 75 * S
# time from an attempt to its answer; from an attempt to the failure to connect; from a health report to its
# arrival at the gateways
LATENCY_US, CONNECT_FAILURE_US, REPORT_DELAY_US = 60 * MS, 250 * MS, 2 * MS
CHECK_INTERVAL_US = S  # interval between two health checks of an endpoint


@dataclass(slots=True)
class HealthCheckResult:
    """The measurements of a run. Only the first endpoint goes down."""

    # number of attempts at the failed endpoint, later than 2 s after its failure
    attempts_while_down: int = 0
    attempts_at_failure: int = 0  # number of attempts at the failed endpoint in the first 2 s
    # by gateway: microseconds from the return of the endpoint to the next attempt there
    first_attempt_after_return: dict[int, int] = field(default_factory=dict)
    # simulated microseconds of each attempt at that endpoint after its return
    attempts_after_return: list[int] = field(default_factory=list)
    check_count: int = 0  # number of health checks
    attempts: dict[bytes, int] = field(default_factory=dict)  # number of attempts, by endpoint

    @property
    def max_attempts_per_100ms(self) -> int:
        """Returns the most attempts at the returned endpoint in one 100 ms window of its first 5 s."""
        counts: dict[int, int] = {}
        for at in self.attempts_after_return:
            counts[at // (100 * MS)] = counts.get(at // (100 * MS), 0) + 1
        soon = [count for window, count in counts.items() if window < (UP_AT + 5 * S) // (100 * MS)]
        return max(soon, default=0)


class HealthCheckSimulation:
    """Decision modules of many gateways, endpoints with a constant latency, and one health checker."""

    def __init__(
        self,
        gateways: int,
        endpoint_count: int,
        rate: float,
        with_health_checks: bool,
        reports_falsely: bool = False,
    ) -> None:
        """Starts the decision modules, and the health checks if there are any.

        :param rate: requests per second at each gateway
        :param reports_falsely: whether health checks report the first endpoint as failed all the time; no
            endpoint goes down then
        """
        self._rng = random.Random(5)
        self._queue: list[tuple[int, int, Any]] = []
        self._count = itertools.count()
        self._ids = itertools.count(1)
        self._rate, self._reports_falsely = rate, reports_falsely
        self._endpoints = [f"e{at}".encode() for at in range(endpoint_count)]
        self._modules = [Gateway() for _ in range(gateways)]
        self._attempt_numbers: dict[tuple[int, int], int] = {}
        self.result = HealthCheckResult()
        endpoints = tuple(
            api.EndpointEntry(name, api.EndpointStatus.READY, 0, 0, 0, 0) for name in self._endpoints
        )
        for at, module in enumerate(self._modules):
            module.handle(0, gateway_started(at + 1, gateways))
            self._handle_event(0, at, api.EndpointListReceived(api.EndpointListKind.SNAPSHOT, endpoints))
            self._push(int(self._rng.expovariate(rate) * S), ("arrival", at))
        options = HealthCheckOptions(CHECK_INTERVAL_US)
        self._checker = checker.HealthChecker(1, options, 0) if with_health_checks else None
        self._peer_reports = [
            peer_reports.PeerReports(f"g{at}", ("k",), options, 0) for at in range(gateways)
        ]
        if self._checker is not None:
            self._handle_check_event(0, checker.EndpointsListed(tuple(self._endpoints)))
            self._push(0, ("tick", 0))

    def _push(self, at: int, item: tuple[str, Any]) -> None:
        heapq.heappush(self._queue, (at, next(self._count), item))

    def _is_down(self, now: int, endpoint: bytes) -> bool:
        return not self._reports_falsely and endpoint == self._endpoints[0] and DOWN_AT <= now < UP_AT

    def play(self) -> HealthCheckResult:
        """Plays the run up to ENDS_AT."""
        while self._queue and self._queue[0][0] < ENDS_AT:
            now, _, (kind, data) = heapq.heappop(self._queue)
            match kind:
                case "arrival":
                    self._on_arrival(now, data)
                case "event":
                    at, event = data
                    self._handle_event(now, at, event)
                case "found":
                    self._handle_check_event(now, data)
                case "tick":
                    self._handle_check_event(now, checker.CheckerTimeAdvanced())
                    self._push(now + CHECK_INTERVAL_US // 8, ("tick", 0))
        return self.result

    def _on_arrival(self, now: int, at: int) -> None:
        self._push(now + int(self._rng.expovariate(self._rate) * S), ("arrival", at))
        group = int(self._rng.paretovariate(0.9))
        self._handle_event(
            now, at, api.RequestReceived(next(self._ids), 0, 50 * MS, None, 6 * S, group, None)
        )

    def _handle_event(self, now: int, at: int, event: api.Event) -> None:
        module = self._modules[at]
        for action in [*module.handle(now, event), *module.handle(now, api.BatchEnded())]:
            match action:
                case api.SetTimer(when, token):
                    self._push(max(now, when), ("event", (at, api.TimerFired(token))))
                case api.StartAttempt(request_id, endpoint):
                    self._start_attempt(now, at, request_id, endpoint)

    def _start_attempt(self, now: int, at: int, request_id: int, endpoint: bytes) -> None:
        attempt = self._attempt_numbers[at, request_id] = self._attempt_numbers.get((at, request_id), -1) + 1
        is_down, result = self._is_down(now, endpoint), self.result
        result.attempts[endpoint] = result.attempts.get(endpoint, 0) + 1
        outcome, latency = (
            (api.Outcome.CONNECT_FAILED, CONNECT_FAILURE_US)
            if is_down
            else (api.Outcome.ANSWERED, LATENCY_US)
        )
        if is_down and now < DOWN_AT + 2 * S:
            result.attempts_at_failure += 1
        elif is_down:
            result.attempts_while_down += 1
        elif endpoint == self._endpoints[0] and now >= UP_AT:
            result.first_attempt_after_return.setdefault(at, now - UP_AT)
            result.attempts_after_return.append(now)
        work = None if is_down else 50 * MS
        ended = api.AttemptEnded(
            request_id, attempt, endpoint, outcome, latency, False, work, None, None, not is_down
        )
        self._push(now + latency, ("event", (at, ended)))

    def _handle_check_event(self, now: int, event: checker.Event) -> None:
        assert self._checker is not None
        for action in self._checker.handle(now, event):
            match action:
                case checker.StartCheck(endpoint):
                    self.result.check_count += 1
                    is_down = self._is_down(now, endpoint) or (
                        self._reports_falsely and endpoint == self._endpoints[0]
                    )
                    latency = CONNECT_FAILURE_US if is_down else 2 * MS
                    self._push(now + latency, ("found", checker.CheckCompleted(endpoint, not is_down)))
                case checker.PublishReports(reports):
                    for at, subscriber in enumerate(self._peer_reports):
                        for peer_action in subscriber.handle(now, peer_reports.ReportsReceived(reports)):
                            if isinstance(peer_action, api.PeerHealthReported):
                                self._push(now + REPORT_DELAY_US, ("event", (at, peer_action)))


def measure(arguments: Sequence[str] = ()) -> tuple[list[str], dict[str, Any]]:
    """Runs the benchmark with these options. Returns its lines to print and its report, by key."""
    parser = argparse.ArgumentParser(prog="benchmarks examine")
    parser.add_argument("--gateways", type=int, default=40)
    parser.add_argument("--engines", type=int, default=10)
    parser.add_argument("--rate", type=float, default=6.0, help="requests per second at each gateway")
    options = parser.parse_args(arguments)
    report: dict[str, Any] = {"gateways": options.gateways, "engines": options.engines}
    for name, with_health_checks in (("alone", False), ("examined", True)):
        result = HealthCheckSimulation(
            options.gateways, options.engines, options.rate, with_health_checks
        ).play()
        return_times = sorted(result.first_attempt_after_return.values())
        report |= {
            f"{name}_at_loss": result.attempts_at_failure,
            f"{name}_trials": result.attempts_while_down,
            f"{name}_back_s_median": round(return_times[len(return_times) // 2] / S, 2)
            if return_times
            else None,
            f"{name}_back_s_last": round(return_times[-1] / S, 2) if return_times else None,
            f"{name}_not_back": options.gateways - len(return_times),
            f"{name}_surge_100ms": result.max_attempts_per_100ms,
        }
        if with_health_checks:
            report["looks_per_s"] = round(result.check_count / (ENDS_AT / S), 1)
    report["trials_spared"] = round(1 - report["examined_trials"] / max(1, report["alone_trials"]), 3)
    truthful, false = (
        HealthCheckSimulation(
            options.gateways, options.engines, options.rate, with_health_checks, reports_falsely=True
        )
        .play()
        .attempts
        for with_health_checks in (False, True)
    )
    report["used_though_said_silent"] = round(false.get(b"e0", 0) / max(1, truthful.get(b"e0", 0)), 3)
    lines = [
        f"{options.gateways} gateways, {options.engines} endpoints, one down for {(UP_AT - DOWN_AT) // S} s",
        f"attempts there: {report['alone_trials']} without health checks, {report['examined_trials']} with",
    ]
    return lines, report
