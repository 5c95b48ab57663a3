"""A request's time counts from when it can have come, also where the loop was busy and nobody read it."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
from conftest import LIMIT
from test_rare_moments import configuration, until

from lotusstream.lab.stand_ins import StandInClient
from lotusstream.net.client import ReceivedRequest
from lotusstream.net.gateway import GatewayServer

BUSY = 0.2  # seconds for which the loop turns no more


class Written:
    """Takes down what a client would write."""

    def __init__(self) -> None:
        self.data = b""

    def write(self, data: bytes) -> None:
        self.data += data


def request() -> bytes:
    client = StandInClient()
    client.writer = Written()  # type: ignore[assignment]
    client.ask()
    return client.writer.data  # type: ignore[attr-defined,no-any-return]


@pytest.mark.parametrize("resting", [False, True])
async def test_a_request_that_came_while_the_loop_was_busy_counts_from_then(
    monkeypatch: pytest.MonkeyPatch, resting: bool
) -> None:
    """A request arrives while the event loop is busy and is read later. Its time counts from its arrival,
    so that its deadline is kept."""
    server = GatewayServer(configuration())
    taken: list[tuple[ReceivedRequest, int]] = []
    post = server._decider.post

    def note(message: object) -> None:
        if isinstance(message, ReceivedRequest):
            taken.append((message, server._clock.now()))
        post(message)  # type: ignore[arg-type]

    monkeypatch.setattr(server._decider, "post", note)
    await server.start()
    for _ in range(5):
        await asyncio.sleep(0.03)  # the watch of the loop stands anywhere in its pause
        seen = len(taken)
        with socket.socket() as client:
            if resting:
                client.connect(server.address)
                await until(lambda: server._client_limiter._silent)
                await asyncio.sleep(0.03)
            else:
                client.connect(server.address)
            client.sendall(request())
            time.sleep(BUSY)
            async with asyncio.timeout(LIMIT):
                await until(lambda seen=seen: len(taken) > seen)
        message, at = taken[-1]
        assert at - message.sent_at >= BUSY * 1_000_000
    await server.stop()
