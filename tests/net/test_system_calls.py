"""System calls that fail as their pages say, each caused: the listener goes on, what never ran is told so."""

from __future__ import annotations

import asyncio
import errno
import os
import re
import signal
import socket
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path

import pytest
from conftest import World
from test_rare_moments import configuration

from lotusstream.net.connection import ConnectError, Connection, NoDescriptorError, SocketBudget
from lotusstream.net.gateway import GatewayServer
from lotusstream.protocol import front

ROOT = Path(__file__).resolve().parents[2]


class FailingListener(socket.socket):
    """Accepts as told once, then as it is."""

    fails: int = 0
    calls: int = 0

    def accept(self) -> tuple[socket.socket, object]:
        self.calls += 1
        if self.fails:
            number, self.fails = self.fails, 0
            raise OSError(number, os.strerror(number))
        return super().accept()


@pytest.mark.parametrize(
    "number",
    [errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM],
)
async def test_a_failing_accept_is_counted_and_the_next_connection_is_served(
    monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    """`accept` fails once, for one connection or for lack of a resource. The gateway goes on and does not
    spin."""
    monkeypatch.setattr(socket, "socket", FailingListener)
    server = GatewayServer(configuration())
    await server.start()
    monkeypatch.undo()
    listener = server._listener
    assert isinstance(listener, FailingListener)
    listener.fails = number
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(front.encode_health_probe(1))
    async with asyncio.timeout(5):
        assert await reader.readexactly(4)
    assert server.supervisor.counters["accepts failed"] == 1
    assert listener.calls < 8  # nothing spins
    writer.close()
    await server.stop()


@pytest.mark.parametrize(
    "number",
    [errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EINTR],
)
@pytest.mark.parametrize("call", ["socket", "setsockopt", "connect"])
async def test_a_connection_that_does_not_come_up_proves_that_nothing_ran(
    monkeypatch: pytest.MonkeyPatch, call: str, number: int
) -> None:
    """A system call fails before a connection to an endpoint is up. The error says that nothing was sent,
    and the descriptor's place is given back."""

    def fail(*_given: object) -> None:
        raise OSError(number, os.strerror(number))

    async def fail_later(*_given: object) -> None:
        fail()

    places: dict[str, tuple[object, str, Callable[..., object]]] = {
        "socket": (socket, "socket", fail),
        "setsockopt": (socket.socket, "setsockopt", fail),
        "connect": (asyncio.get_running_loop(), "sock_connect", fail_later),
    }
    budget = SocketBudget(8)
    monkeypatch.setattr(*places[call])
    with pytest.raises(ConnectError) as caught:
        await Connection.open(("127.0.0.1", 9), 250_000, budget, 1 << 10, may_use_reserve=False)
    assert not isinstance(caught.value, NoDescriptorError) and budget.used == 0


async def test_a_hangup_in_the_first_moments_of_a_start_does_not_end_it(world: World) -> None:
    """Before Python has its handlers a signal has the shell's disposition: `run` has it ignored, and the
    configuration is read later than that."""
    await world.board.start()
    path = world.configure()
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    words = run.replace(".venv/bin/python", sys.executable)
    environment = os.environ | {"ROUTER_CONFIG": str(path)}
    program = await asyncio.create_subprocess_exec(
        *("/bin/sh", "-c", words), cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
    )
    assert program.stderr is not None
    listening = asyncio.create_task(program.stderr.readline())
    await asyncio.sleep(0.01)  # the shell has begun
    while not listening.done():
        program.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.005)
    assert re.search("listening", listening.result().decode())
    program.kill()
    await program.wait()
