"""The command line.

`ctl`, `fleet` and `lab` are built on click, in modules of their own. They are imported only where one of them
is called, because `serve` has to stay small in memory.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import socket
import struct
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from lotusstream import __version__
from lotusstream.net.configuration import Configuration, ConfigurationError, read_configuration
from lotusstream.net.connection import US_PER_S
from lotusstream.net.gateway import GatewayServer
from lotusstream.protocol import front, http
from lotusstream.protocol.tables import table_group

if TYPE_CHECKING:
    from lotusstream.operator.file import OperatorFile

PROBE_TIMEOUT_S = 2.0
RELOAD_RETRY_DELAY_S = 0.05  # until a configuration file that could not be used is checked for a change


def load(path: str | None) -> Configuration:
    """Reads a configuration file. Raises ConfigurationError.

    :param path: None: the file that ROUTER_CONFIG names
    """
    path = path or os.environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigurationError("configuration: no file is named; give --config FILE or set ROUTER_CONFIG")
    try:
        return read_configuration(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"configuration: {error}") from error


def load_operator(path: str | None, configuration: Configuration | None) -> OperatorFile | None:
    """Reads an operator file. Raises ConfigurationError with one line for each problem.

    :param path: empty or None: there is none, and None is returned
    :param configuration: None: the names of profiles, zones and kinds in the file are not checked
    """
    if not path:
        return None
    from lotusstream.operator.problems import OperatorFileError

    try:
        return _read_operator_file(path, configuration)
    except OperatorFileError as error:
        raise ConfigurationError(str(error)) from error


def _read_operator_file(path: str, configuration: Configuration | None) -> OperatorFile:
    from lotusstream.operator.file import load_operator_file

    if configuration is None:
        return load_operator_file(path)
    from lotusstream.operator.cells import DeploymentContext

    deployment = configuration.deployment
    profiles = dict(zip(deployment.profiles, deployment.started.profiles, strict=True))
    listed = {
        each.entry.id: each.entry
        for notice in configuration.initial_events.updates
        for each in notice.endpoints
    }
    endpoints, name = tuple(listed.values()), configuration.name
    context = DeploymentContext(profiles, deployment.zones, deployment.kinds, endpoints, name)
    return load_operator_file(path, context)


class ConfigurationReloader:
    """Reads the configuration again at SIGHUP.

    A file that can't be used may be half written. So it is checked again and again until its content changes,
    for as long as a change in discovery takes to reach all gateways. Another signal starts this anew.
    """

    def __init__(
        self, path: str | None, apply: Callable[[Configuration], None], reject: Callable[[str], None]
    ) -> None:
        """Reads nothing yet.

        :param path: None: the file that ROUTER_CONFIG names
        :param apply: called with each configuration that can be used
        :param reject: called with the error of each that can't
        """
        self._path, self._apply, self._reject = path, apply, reject
        self._retry_timer: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """Reads the file now."""
        self.stop()
        content = self._content()
        try:
            self._apply(load(self._path))
        except ConfigurationError as error:  # the configuration in force stays
            self._reject(str(error))
            loop = asyncio.get_running_loop()
            self._reload_if_changed(loop, content, loop.time() + http.DISCOVERY_PROPAGATION_US / US_PER_S)

    def stop(self) -> None:
        """Cancels the wait for a change of the file."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None

    def _reload_if_changed(self, loop: asyncio.AbstractEventLoop, content: bytes, until: float) -> None:
        if self._content() != content:
            self.reload()
        elif loop.time() < until:
            self._retry_timer = loop.call_later(
                RELOAD_RETRY_DELAY_S, self._reload_if_changed, loop, content, until
            )

    def _content(self) -> bytes:
        try:
            return Path(self._path or os.environ.get("ROUTER_CONFIG", "")).read_bytes()
        except OSError:
            return b""


async def run_gateway(path: str | None, operator_path: str | None = None) -> None:
    """Runs one gateway until SIGTERM or SIGINT, then shuts it down gracefully.

    SIGHUP reads the configuration and the operator file again; SIGUSR1 prints the counters.
    """
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    server: GatewayServer
    reloader: ConfigurationReloader
    configuration: Configuration

    def reject(reason: str) -> None:
        server.supervisor.counters.add("reloads refused")
        server.supervisor.log.write("reload", reason)

    def reload() -> None:
        reloader.reload()
        if operator_path:
            server.reload_operator(lambda: _read_operator_file(operator_path, configuration))

    # The handlers are set first, so that no signal is lost: a SIGHUP that comes while the files are read has
    # them read again afterwards.
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, lambda: server.print_counters())
    configuration = load(path)
    server = GatewayServer(configuration, load_operator(operator_path, configuration))
    reloader = ConfigurationReloader(path, server.reload, reject)
    await server.start()
    await stop.wait()
    await server.drain()
    await server.stop()
    reloader.stop()
    server.print_counters()


def serve(arguments: argparse.Namespace) -> int:
    """Runs `serve`."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        operator = arguments.operator or os.environ.get("LOTUSSTREAM_OPERATOR")
        runner.run(run_gateway(arguments.config, operator))
    return 0


def check(arguments: argparse.Namespace) -> int:
    """Runs `check`: prints what the files hold, or raises ConfigurationError."""
    if arguments.operator:
        status = check_operator(arguments)
        if not arguments.config:
            return status
    configuration = load(arguments.config)
    deployment = configuration.deployment
    endpoint_ids = {
        listed.entry.id for notice in configuration.initial_events.updates for listed in notice.endpoints
    }
    print(f"gateway {configuration.name}, listens on {':'.join(map(str, configuration.listen))}")
    print(
        f"discovery at {':'.join(map(str, configuration.discovery_address))},"
        f" {len(endpoint_ids)} endpoints known"
    )
    for name, profile in zip(deployment.profiles, deployment.started.profiles, strict=True):
        times = (
            f"latency objective {profile.latency_objective / 1e6:g} s,"
            f" client timeout {profile.client_timeout / 1e6:g} s"
        )
        print(f"profile {name}: {profile.idempotency.value}, {times}")
    return 0


def check_operator(arguments: argparse.Namespace) -> int:
    """Prints what the operator file holds, or raises ConfigurationError."""
    file = load_operator(arguments.operator, load(arguments.config) if arguments.config else None)
    assert file is not None
    print(f"operator file {file.path}")
    print(f"control socket: {file.control.path if file.control else 'none'}")
    print(f"log: {f'{file.log.form}, {file.log.threshold}' if file.log else 'plain lines'}")
    if file.ladder is None:
        print("levels: none")
    for level in file.ladder.levels if file.ladder else ():
        print(f"level {level.name}: enter {level.enter}; leave {level.leave}")
    for cell, _ in file.cells.cells if file.cells else ():
        print(f"cell {cell.name}{', quarantine' if cell.quarantine else ''}")
    if file.fleet is not None:
        members = ", ".join(each.name for each in file.fleet.quorum_members)
        print(
            f"fleet {file.fleet.group}: quorum members {members};"
            f" tasks {', '.join(file.fleet.tasks) or 'none'}"
        )
        if (copies := file.fleet.copies) is not None:
            from lotusstream.operator.units import write_time

            replicas = ", ".join(f"{each.name} ({each.machine}, {each.zone})" for each in file.fleet.replicas)
            kept = file.fleet.idempotency_retention_us
            stored = (
                f"idempotency records kept for {write_time(kept)}"
                if kept
                else "no idempotency records (no 'remember')"
            )
            needed = copies.commit_count
            print(
                f"{copies.replica_count} replicas of each shard, on {replicas};"
                f" a commit needs {needed} of them; {stored}"
            )
    if (file.ladder is not None or file.cells is not None) and not arguments.config:
        print("the names of profiles, zones and kinds were not checked; give --config to check them")
    return 0


def probe(arguments: argparse.Namespace) -> int:
    """Runs `probe`, the health check of the front. Returns 0 if the gateway accepts requests, otherwise 1."""
    address = load(arguments.config).listen
    try:
        with socket.create_connection(address, PROBE_TIMEOUT_S) as sock, sock.makefile("rb") as replies:
            sock.sendall(front.encode_health_probe(1))
            (length,) = front.FRAME.unpack(replies.read(front.FRAME.size))
            accepts = front.decode_health_probe_reply(replies.read(length))
    except (OSError, struct.error, front.FrameError) as error:
        print(f"no valid answer to the health check: {error}")
        return 1
    print("accepts requests" if accepts else "does not accept requests")
    return 0 if accepts else 1


def group(arguments: argparse.Namespace) -> int:
    """Runs `group`. Returns 1 where the statement has no table group."""
    found = table_group(arguments.statement)
    print("none" if found is None else found)
    return 1 if found is None else 0


def version(_: argparse.Namespace) -> int:
    """Runs `version`."""
    print(f"lotusstream {__version__}")
    return 0


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the sub-commands that need no click; the others are only listed in its help."""
    parser = argparse.ArgumentParser(prog="lotusstream", description="A gateway in front of query engines")
    subparsers = parser.add_subparsers(dest="command", required=True)
    for name, run_subcommand, text in (
        ("serve", serve, "run one gateway in the foreground"),
        ("check", check, "check a configuration and print what it holds"),
        ("probe", probe, "ask the gateway of a configuration whether it accepts requests"),
    ):
        subparser = subparsers.add_parser(name, help=text)
        subparser.add_argument("--config", help="the configuration file, instead of ROUTER_CONFIG")
        if name != "probe":
            instead = ", instead of LOTUSSTREAM_OPERATOR" if name == "serve" else ""
            subparser.add_argument("--operator", help=f"the operator file{instead}")
        subparser.set_defaults(run_subcommand=run_subcommand)
    subparser = subparsers.add_parser("group", help="print the table group of a statement")
    subparser.add_argument("statement")
    subparser.set_defaults(run_subcommand=group)
    subparsers.add_parser("ctl", help="inspect a running gateway, or change it by hand", add_help=False)
    subparsers.add_parser(
        "fleet", help="start a fleet of gateways on this machine, with faults", add_help=False
    )
    subparsers.add_parser("lab", help="test the gateway under seeded faults", add_help=False)
    subparsers.add_parser("version", help="print the version").set_defaults(run_subcommand=version)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line, and returns its exit status.

    :param arguments: None: those of the process
    """
    arguments = sys.argv[1:] if arguments is None else arguments
    if arguments[:1] in (["ctl"], ["fleet"], ["lab"]) or "_LOTUSSTREAM_COMPLETE" in os.environ:
        from lotusstream.cli.program import run

        return run(arguments)
    parsed = build_parser().parse_args(arguments)
    try:
        status: int = parsed.run_subcommand(parsed)
    except ConfigurationError as error:
        print("\n".join(f"lotusstream: {line}" for line in str(error).split("\n")), file=sys.stderr)
        return 2
    return status


def run() -> None:
    """Runs the `lotusstream` program: the entry point of the installed script."""
    sys.exit(main())
