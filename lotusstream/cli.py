"""The command line."""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
from pathlib import Path

import uvloop

from lotusstream.net.gateway import Configuration, GatewayServer, UnusableConfiguration, read_configuration


def load(path: str | None) -> Configuration:
    path = path or os.environ.get("ROUTER_CONFIG")
    if not path:
        raise UnusableConfiguration("configuration: name a file, or set ROUTER_CONFIG")
    try:
        return read_configuration(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise UnusableConfiguration(f"configuration: {error}") from error


async def run_gateway(configuration: Configuration) -> None:
    server = GatewayServer(configuration)
    await server.start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)

    def print_counters() -> None:
        print("\n".join([*server.supervisor.counters.lines(), "counters end"]), file=sys.stderr, flush=True)

    loop.add_signal_handler(signal.SIGUSR1, print_counters)
    await stop.wait()
    await server.drain()
    await server.stop()
    print_counters()


def serve(arguments: argparse.Namespace) -> int:
    configuration = load(arguments.config)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_gateway(configuration))
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="lotusstream", description="A front for query engines")
    commands = parser.add_subparsers(dest="command", required=True)
    serving = commands.add_parser("serve", help="run one gateway in the foreground")
    serving.add_argument("--config", help="the configuration file, instead of ROUTER_CONFIG")
    serving.set_defaults(act=serve)
    arguments = parser.parse_args()
    try:
        status: int = arguments.act(arguments)
    except UnusableConfiguration as error:
        print(f"lotusstream: {error}", file=sys.stderr)
        return 2
    return status
