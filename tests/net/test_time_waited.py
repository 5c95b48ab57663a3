"""A request's time counts from its earliest possible arrival, even if it waited unread in a busy event
loop."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
from conftest import WAIT_TIMEOUT_S
from test_rare_moments import configuration, wait_until

from lotusstream.lab.stand_ins import StandInClient
from lotusstream.net.gateway import GatewayServer
from lotusstream.net.received_request import ReceivedRequest

LOOP_STALL_S = 0.2  # how long the event loop is blocked


class RecordingWriter:
    """A stream writer that keeps the bytes that a client writes."""

    def __init__(self) -> None:
        self.data = b""

    def write(self, data: bytes) -> None:
        self.data += data


def request() -> bytes:
    client = StandInClient()
    client.writer = RecordingWriter()  # type: ignore[assignment]
    client.ask()
    return client.writer.data  # type: ignore[attr-defined,no-any-return]


@pytest.mark.parametrize("is_idle_before", [False, True])
async def test_time_of_a_request_that_arrives_during_a_loop_stall_counts_from_its_arrival(
    monkeypatch: pytest.MonkeyPatch, is_idle_before: bool
) -> None:
    """A request arrives while the event loop is blocked, and is read later. If its time counted from the
    read, the gateway would answer after the client's deadline."""
    server = GatewayServer(configuration())
    taken: list[tuple[ReceivedRequest, int]] = []
    post = server._decider.post

    def record(message: object) -> None:
        if isinstance(message, ReceivedRequest):
            taken.append((message, server._clock.now()))
        post(message)  # type: ignore[arg-type]

    monkeypatch.setattr(server._decider, "post", record)
    await server.start()
    for _ in range(5):
        await asyncio.sleep(0.03)  # so that the loop watch is at a different point of its interval each time
        seen = len(taken)
        with socket.socket() as client:
            if is_idle_before:
                client.connect(server.address)
                await wait_until(lambda: server._client_limiter._silent)
                await asyncio.sleep(0.03)
            else:
                client.connect(server.address)
            client.sendall(request())
            time.sleep(LOOP_STALL_S)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                await wait_until(lambda seen=seen: len(taken) > seen)
        message, at = taken[-1]
        assert at - message.sent_at >= LOOP_STALL_S * 1_000_000
    await server.stop()
