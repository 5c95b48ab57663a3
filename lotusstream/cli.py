"""The command line."""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import socket
import struct
import sys
from pathlib import Path

import uvloop

from lotusstream import __version__
from lotusstream.net.gateway import Configuration, GatewayServer, UnusableConfiguration, read_configuration
from lotusstream.protocol import front
from lotusstream.protocol.tables import table_group

PROBE_PATIENCE = 2.0  # seconds


def load(path: str | None) -> Configuration:
    path = path or os.environ.get("ROUTER_CONFIG")
    if not path:
        raise UnusableConfiguration("configuration: name a file, or set ROUTER_CONFIG")
    try:
        return read_configuration(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise UnusableConfiguration(f"configuration: {error}") from error


async def run_gateway(path: str | None) -> None:
    """Until SIGTERM or SIGINT, then a planned stop. SIGHUP reads the configuration again, SIGUSR1 prints
    the counters."""
    server = GatewayServer(load(path))
    stop, loop = asyncio.Event(), asyncio.get_running_loop()

    def reload() -> None:
        try:
            server.reload(load(path))
        except UnusableConfiguration as error:  # what was in force stays
            server.supervisor.counters.add("reloads refused")
            server.supervisor.log.say("reload", str(error))

    for number in (signal.SIGTERM, signal.SIGINT):  # before anything is taken: no signal finds none of these
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, server.print_counters)
    await server.start()
    await stop.wait()
    await server.drain()
    await server.stop()
    server.print_counters()


def serve(arguments: argparse.Namespace) -> int:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_gateway(arguments.config))
    return 0


def check(arguments: argparse.Namespace) -> int:
    configuration = load(arguments.config)
    deployment = configuration.deployment
    engines = {listed.engine.id for notice in configuration.known.notices for listed in notice.listed}
    print(f"gateway {configuration.name}, listens on {':'.join(map(str, configuration.listen))}")
    print(f"board at {':'.join(map(str, configuration.board))}, {len(engines)} engines known")
    for name, profile in zip(deployment.profiles, deployment.started.profiles, strict=True):
        times = f"target {profile.target / 1e6:g} s, client timeout {profile.client_timeout / 1e6:g} s"
        print(f"profile {name}: {profile.effect.value}, {times}")
    return 0


def probe(arguments: argparse.Namespace) -> int:
    """As the front does: 0 where the gateway takes commands, otherwise 1."""
    address = load(arguments.config).listen
    try:
        with socket.create_connection(address, PROBE_PATIENCE) as sock, sock.makefile("rb") as answers:
            sock.sendall(front.encode_probe(1))
            (length,) = front.FRAME.unpack(answers.read(front.FRAME.size))
            good = front.decode_probe_answer(answers.read(length))
    except (OSError, struct.error, front.BrokenFrame) as error:
        print(f"no answer: {error}")
        return 1
    print("good" if good else "not taking commands")
    return 0 if good else 1


def group(arguments: argparse.Namespace) -> int:
    found = table_group(arguments.statement)
    print("none" if found is None else found)
    return 1 if found is None else 0


def version(_: argparse.Namespace) -> int:
    print(f"lotusstream {__version__}")
    return 0


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(prog="lotusstream", description="A front for query engines")
    commands = made.add_subparsers(dest="command", required=True)
    for name, act, text in (
        ("serve", serve, "run one gateway in the foreground"),
        ("check", check, "read a configuration and say what it holds"),
        ("probe", probe, "ask the gateway of a configuration whether it takes commands"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("--config", help="the configuration file, instead of ROUTER_CONFIG")
        command.set_defaults(act=act)
    command = commands.add_parser("group", help="print the table group of a statement")
    command.add_argument("statement")
    command.set_defaults(act=group)
    commands.add_parser("version", help="print the version").set_defaults(act=version)
    return made


def main(words: list[str] | None = None) -> int:
    arguments = parser().parse_args(words)
    try:
        status: int = arguments.act(arguments)
    except UnusableConfiguration as error:
        print(f"lotusstream: {error}", file=sys.stderr)
        return 2
    return status
