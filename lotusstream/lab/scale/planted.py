"""Runs the gateway with one defect or a slow core: `python -m lotusstream.lab.scale.planted NAME serve ...`.

Tests use the defects to show that a checker detects them, and the slow core to see how a gateway behaves when
it runs out of processor time.
"""

from __future__ import annotations

import asyncio
import runpy
import sys
import time
from collections.abc import Callable
from typing import Any

from lotusstream import interface as api
from lotusstream.net import client, decider, endpoint_registry
from lotusstream.net import connection as outgoing
from lotusstream.net import gateway as server
from lotusstream.net.attempt_runner import AttemptRunner
from lotusstream.net.cancellations import Cancellations
from lotusstream.net.client_memory import ClientMemory
from lotusstream.net.connection import Connection
from lotusstream.net.discovery import DiscoveryActor, Poll
from lotusstream.net.received_request import ReceivedRequest
from lotusstream.net.running_attempt import RunningAttempt
from lotusstream.policy.placement import PlacementPolicy
from lotusstream.policy.retries import RetryPolicy
from lotusstream.policy.slow_start import SlowStart
from lotusstream.protocol import http

DECISION_SECONDS = 0.004  # processor time for each choice of an endpoint on the slow core
DRAIN_DELAY = 3.0  # seconds by which changes of the endpoint list are delayed
DROPPED_EVERY = 20  # one in this many answers is dropped


def slow_core() -> None:
    """Makes each choice of an endpoint take DECISION_SECONDS of processor time."""
    place = PlacementPolicy.place

    def place_slowly(self: PlacementPolicy, *arguments: Any) -> Any:
        until = time.perf_counter() + DECISION_SECONDS
        while time.perf_counter() < until:
            pass
        return place(self, *arguments)

    PlacementPolicy.place = place_slowly  # type: ignore[method-assign, assignment]


def late_drain() -> None:
    """Delays each update of the endpoint list by DRAIN_DELAY seconds, except the first."""
    apply_update = decider.Decider._on_endpoint_list_update

    def apply_late(self: decider.Decider, update: Any) -> None:
        if self.has_endpoint_list:
            asyncio.get_running_loop().call_later(DRAIN_DELAY, apply_update, self, update)
        else:
            apply_update(self, update)

    decider.Decider._on_endpoint_list_update = apply_late  # type: ignore[method-assign]


def dropped_answer() -> None:
    """Drops one in DROPPED_EVERY answers to clients."""
    receive = client.ClientConnection.receive
    count = 0

    async def drop(self: client.ClientConnection, message: client.ClientReply) -> None:
        nonlocal count
        count += 1
        if count % DROPPED_EVERY:
            await receive(self, message)

    client.ClientConnection.receive = drop  # type: ignore[method-assign]


def ignored_departure() -> None:
    """Starts attempts of requests that the client has given up, and does not cancel running ones."""

    def is_awaited(self: ReceivedRequest) -> bool:
        return True

    ReceivedRequest.is_awaited = is_awaited  # type: ignore[method-assign]
    client.ClientConnection._abandon = lambda self, request: None  # type: ignore[method-assign]


def long_deadline() -> None:
    """Sends endpoints a deadline that is 500 ms later than the client's."""
    headers = http.attempt_headers

    def longer(
        call_id: str, profile: str, time_limit: int, idempotency_key: str | None, priority: int | None
    ) -> dict[str, str]:
        return headers(call_id, profile, time_limit + 500_000, idempotency_key, priority)

    http.attempt_headers = longer


def unsafe_retry() -> None:
    """Retries requests that are not idempotent like any others."""

    def may_attempt(self: RetryPolicy, request: Any) -> bool:
        context = self._context
        return len(request.attempts) < context.capabilities.max_attempts and context.now < request.deadline

    RetryPolicy.may_attempt = may_attempt  # type: ignore[method-assign]


def whole_list_without_drains() -> None:
    """Ignores that a snapshot lists endpoints as draining, or no longer lists them."""
    changed_entries = endpoint_registry.EndpointRegistry.changed_entries

    def only_ready(self: endpoint_registry.EndpointRegistry, update: Any) -> list[Any]:
        found = changed_entries(self, update)
        if not update.is_snapshot:
            return found
        return [each for each in found if each.entry.status is api.EndpointStatus.READY]

    endpoint_registry.EndpointRegistry.changed_entries = only_ready  # type: ignore[method-assign]


def early_exit() -> None:
    """Ends a graceful shutdown after 20 ms, without waiting for open requests."""

    async def drain(self: server.GatewayServer) -> None:
        await asyncio.sleep(0.02)

    server.GatewayServer.drain = drain  # type: ignore[method-assign]


def no_slow_start() -> None:
    """Sends endpoints in slow start as many requests as any others."""
    SlowStart.admits = lambda self, endpoint, work: True  # type: ignore[method-assign]


def believed_duplicates() -> None:
    """Takes each result for that of the present call, and reuses connections after any attempt."""
    Connection.is_new_result = lambda self, response: True  # type: ignore[method-assign]

    def release(self: AttemptRunner, attempt: RunningAttempt, connection: Connection) -> None:
        self._pool.put_back(connection)

    AttemptRunner._release = release  # type: ignore[method-assign]


def unlimited_client_memory() -> None:
    """Lets clients take as much memory as they like."""
    ClientMemory.reserve = lambda self, account, use, size: None  # type: ignore[method-assign]


def no_late_checks() -> None:
    """Ends a graceful shutdown at its deadline, even if replies are not written."""
    server.MAX_LATE_POLL_COUNT = 0


def calls_delivered_late() -> None:
    """Lets the system go on delivering calls that the gateway has given up."""
    outgoing.LINGER_DISCARD = outgoing.LINGER_DELIVER
    RunningAttempt.withdraw = lambda self: None  # type: ignore[method-assign]


def cancelled_once() -> None:
    """Tries each cancellation once, on any connection."""

    async def cancel(self: Cancellations, attempt: RunningAttempt) -> bool:
        return await self._calls.delete(attempt.start.call_id, fresh=False) is None

    Cancellations.cancel = cancel  # type: ignore[method-assign]


def dropped_overdue_polls() -> None:
    """Gives up a poll of discovery once it is overdue."""
    check = DiscoveryActor._on_poll_check_due

    def check_and_drop(self: DiscoveryActor, poll: Poll) -> None:
        check(self, poll)
        if poll.is_overdue and poll.task is not None:
            poll.task.cancel()
            self._polls.discard(poll)

    DiscoveryActor._on_poll_check_due = check_and_drop  # type: ignore[method-assign]


PLANTED: dict[str, Callable[[], None]] = {
    "slow-core": slow_core,
    "late-drain": late_drain,
    "dropped-answer": dropped_answer,
    "ignored-departure": ignored_departure,
    "long-deadline": long_deadline,
    "unsafe-retry": unsafe_retry,
    "whole-list-without-drains": whole_list_without_drains,
    "early-exit": early_exit,
    "no-slow-start": no_slow_start,
    "believed-duplicates": believed_duplicates,
    "unlimited-client-memory": unlimited_client_memory,
    "no-late-checks": no_late_checks,
    "calls-delivered-late": calls_delivered_late,
    "cancelled-once": cancelled_once,
    "dropped-overdue-polls": dropped_overdue_polls,
}


def main() -> None:
    PLANTED[sys.argv[1]]()
    sys.argv = ["lotusstream", *sys.argv[2:]]
    runpy.run_module("lotusstream", run_name="__main__")


if __name__ == "__main__":
    main()
