"""The gateway with one defect, or on a slow core: `python -m lotusstream.lab.scale.planted NAME serve ...`.

For tests that show what a checker catches, and for what a gateway does when its own core runs out.
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
from lotusstream.net import gateway as server
from lotusstream.policy.placement import PlacementPolicy
from lotusstream.policy.retries import RetryPolicy
from lotusstream.policy.slow_start import SlowStart
from lotusstream.protocol import http

DECISION_SECONDS = 0.004  # of the slow core, for each choice of a server
DRAIN_DELAY = 3.0  # seconds
DROPPED_EVERY = 20  # answers


def slow_core() -> None:
    """Each choice of a server takes some milliseconds of processor time."""
    choose = PlacementPolicy.place

    def slowly(self: PlacementPolicy, *given: Any) -> Any:
        until = time.perf_counter() + DECISION_SECONDS
        while time.perf_counter() < until:
            pass
        return choose(self, *given)

    PlacementPolicy.place = slowly  # type: ignore[method-assign, assignment]


def late_drain() -> None:
    """What the list says of withdrawn servers is applied late."""
    take_list = decider.Decider._on_endpoint_list_update

    def late(self: decider.Decider, update: Any) -> None:
        if self.has_endpoint_list:
            asyncio.get_running_loop().call_later(DRAIN_DELAY, take_list, self, update)
        else:
            take_list(self, update)

    decider.Decider._on_endpoint_list_update = late  # type: ignore[method-assign]


def dropped_answer() -> None:
    """Some answers are not written."""
    receive = client.ClientConnection.receive
    count = 0

    async def drop(self: client.ClientConnection, message: client.ClientReply) -> None:
        nonlocal count
        count += 1
        if count % DROPPED_EVERY:
            await receive(self, message)

    client.ClientConnection.receive = drop  # type: ignore[method-assign]


def ignored_departure() -> None:
    """An attempt begins though its client has left, and what runs is not given up."""

    def waits(self: client.ReceivedRequest) -> bool:
        return True

    client.ReceivedRequest.is_awaited = waits  # type: ignore[method-assign]
    client.ClientConnection._abandon = lambda self, request: None  # type: ignore[method-assign]


def long_deadline() -> None:
    """Servers are told half a second more than the client has left."""
    headers = http.attempt_headers

    def longer(
        call_id: str, profile: str, time_limit: int, idempotency_key: str | None, priority: int | None
    ) -> dict[str, str]:
        return headers(call_id, profile, time_limit + 500_000, idempotency_key, priority)

    http.attempt_headers = longer


def unsafe_retry() -> None:
    """A request that must not be repeated is sent again as any other."""

    def may_attempt(self: RetryPolicy, request: Any) -> bool:
        context = self._context
        return len(request.attempts) < context.capabilities.max_attempts and context.now < request.deadline

    RetryPolicy.may_attempt = may_attempt  # type: ignore[method-assign]


def whole_list_without_drains() -> None:
    """What a whole list withdraws is passed over."""
    changed_entries = endpoint_registry.EndpointRegistry.changed_entries

    def only_ready(self: endpoint_registry.EndpointRegistry, update: Any) -> list[Any]:
        found = changed_entries(self, update)
        if not update.is_snapshot:
            return found
        return [each for each in found if each.entry.status is api.EndpointStatus.READY]

    endpoint_registry.EndpointRegistry.changed_entries = only_ready  # type: ignore[method-assign]


def early_exit() -> None:
    """A planned stop ends at once, whatever is open."""

    async def drain(self: server.GatewayServer) -> None:
        await asyncio.sleep(0.02)

    server.GatewayServer.drain = drain  # type: ignore[method-assign]


def no_slow_start() -> None:
    """A server that has just started is sent what any other is."""
    SlowStart.admits = lambda self, endpoint, work: True  # type: ignore[method-assign]


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
}


def main() -> None:
    PLANTED[sys.argv[1]]()
    sys.argv = ["lotusstream", *sys.argv[2:]]
    runpy.run_module("lotusstream", run_name="__main__")


if __name__ == "__main__":
    main()
