"""`lotusstream ctl`: inspects a running gateway over its control socket, and changes it by hand.

Exit status: 0 success; 1 the gateway refused, or `--expect` was not met; 2 invalid command line; 3 no gateway
answers on the socket; 4 the answer can't be decoded.
"""

from __future__ import annotations

import contextlib
import json
import os
import socket
import time
from collections.abc import Iterator
from typing import Any

import click
from click.shell_completion import CompletionItem

from lotusstream.cli import render
from lotusstream.operator.units import UnknownUnitError, parse_time
from lotusstream.protocol import control as wire

REFUSED, USAGE, UNREACHABLE, INVALID_ANSWER = 1, 2, 3, 4  # exit statuses; USAGE is that of click's UsageError
TIMEOUT_S = 6.0  # to connect, to send a request, and to receive each part of an answer


class UnreachableError(click.ClickException):
    """No gateway answers on the control socket."""

    exit_code = UNREACHABLE


class InvalidAnswerError(click.ClickException):
    """The gateway's answer can't be decoded."""

    exit_code = INVALID_ANSWER


class RefusedError(click.ClickException):
    """The gateway refused the request, or `--expect` was not met."""

    exit_code = REFUSED


class Duration(click.ParamType[int]):
    """A duration written as in the operator file, such as 500ms or 10m. Its value is in microseconds."""

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> int:
        """Returns microseconds."""
        if isinstance(value, int):
            return value
        try:
            return parse_time(value)
        except UnknownUnitError as error:
            self.fail(str(error), param, ctx)


class ControlConnection:
    """A connection to the control socket of one gateway, opened with the first request."""

    def __init__(self, path: str | None, as_json: bool) -> None:
        """Connects to nothing yet.

        :param path: None: no socket is named, so that each request raises UsageError
        :param as_json: answers are printed as JSON
        """
        self._path, self.as_json = path, as_json
        self._sock: socket.socket | None = None

    def ask(self, request: wire.AnyControlRequest) -> Any:
        """Sends a request and returns what the answer holds.

        Raises RefusedError, UnreachableError, InvalidAnswerError or UsageError.
        """
        try:
            reply = wire.decode_reply(self._call(wire.encode_request(request)))
        except wire.ControlRequestError as error:
            raise InvalidAnswerError(str(error)) from error
        if reply.refused is not None:
            raise RefusedError(reply.refused.why)
        return reply.told

    def _call(self, request: bytes) -> bytes:
        try:
            sock = self._connected_socket()
            sock.sendall(request)
            length = wire.frame_length(
                self._receive_exactly(sock, wire.LENGTH_PREFIX.size), wire.MAX_REPLY_BYTES
            )
            return self._receive_exactly(sock, length)
        except OSError as error:
            raise UnreachableError(
                f"no gateway answers on {self._path}: {error.strerror or error}"
            ) from error

    def _connected_socket(self) -> socket.socket:
        if self._path is None:
            raise click.UsageError(
                "no control socket is named; give --socket PATH or --operator FILE,"
                " or set LOTUSSTREAM_CONTROL"
            )
        if self._sock is None:
            self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            self._sock.settimeout(TIMEOUT_S)
            self._sock.connect(self._path)
        return self._sock

    @staticmethod
    def _receive_exactly(sock: socket.socket, count: int) -> bytes:
        data = b""
        while len(data) < count:
            received = sock.recv(count - len(data))
            if not received:
                raise ConnectionResetError("the gateway closed the connection")
            data += received
        return data

    def close(self) -> None:
        """Closes the connection. The next request opens another."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def show(self, answer: Any, view: render.View) -> None:
        """Prints an answer: as JSON if that is asked for, else as `view` renders it."""
        if self.as_json:
            click.echo(json.dumps(answer, indent=2, sort_keys=True))
        else:
            render.show(view(answer))


def _control_path(socket_path: str | None, operator: str | None) -> str | None:
    """Returns the given path of the control socket, or that in the operator file; None without both."""
    if socket_path:
        return socket_path
    if not operator:
        return None
    from lotusstream.operator.file import load_operator_file
    from lotusstream.operator.problems import OperatorFileError

    try:
        file = load_operator_file(operator)
    except OperatorFileError as error:
        raise click.UsageError(str(error)) from error
    if file.control is None:
        raise click.UsageError(f"{operator} names no control socket; add a line 'control PATH'")
    return file.control.path


def connection_of(context: click.Context) -> ControlConnection:
    """Returns the connection of the `ctl` call that a sub-command belongs to."""
    connection = context.find_object(ControlConnection)
    assert connection is not None
    return connection


def _complete_level_name(context: click.Context, _: click.Parameter, prefix: str) -> list[CompletionItem]:
    """Completes the name of a level of the running gateway; returns nothing where the gateway can't be asked.

    The shell completion calls no command function, so the options of `ctl` are read from the contexts.
    """
    with contextlib.suppress(click.ClickException, OSError):
        current, values = context, dict[str, Any]()
        while current is not None:
            values = {**current.params, **values}
            if current.parent is None:
                break
            current = current.parent
        socket_path = values.get("socket_path") or os.environ.get("LOTUSSTREAM_CONTROL")
        operator = values.get("operator") or os.environ.get("LOTUSSTREAM_OPERATOR")
        answer = ControlConnection(_control_path(socket_path, operator), True).ask(wire.Levels(history=0))
        names = ["full", *(level["name"] for level in answer["rungs"])]
        return [CompletionItem(name) for name in names if name.startswith(prefix)]
    return []


@click.group()
def program() -> None:
    """A gateway in front of query engines."""


@program.group()
@click.option("--socket", "socket_path", envvar="LOTUSSTREAM_CONTROL", help="Path of the control socket.")
@click.option(
    "--operator", envvar="LOTUSSTREAM_OPERATOR", help="Operator file that names the control socket."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON; programs can rely on its keys.")
@click.pass_context
def ctl(context: click.Context, socket_path: str | None, operator: str | None, as_json: bool) -> None:
    """Inspect a running gateway, or change it by hand."""
    connection = ControlConnection(_control_path(socket_path, operator), as_json)
    context.obj = connection
    context.call_on_close(connection.close)


@ctl.command()
@click.pass_context
def status(context: click.Context) -> None:
    """Show a summary of the gateway."""
    connection_of(context).show(connection_of(context).ask(wire.Status()), render.status)


@ctl.command()
@click.option("--history", default=5, show_default=True, help="Show at most this many changes.")
@click.option(
    "--expect", help="Exit with status 1 unless this level is in force.", shell_complete=_complete_level_name
)
@click.pass_context
def levels(context: click.Context, history: int, expect: str | None) -> None:
    """Show the level in force and its cause, the conditions of all levels, and the signals."""
    connection = connection_of(context)
    answer = connection.ask(wire.Levels(history))
    connection.show(answer, render.levels)
    if expect is not None and answer["level"] != expect:
        raise RefusedError(f"the level is {answer['level']}, not {expect}")


@ctl.command(name="engines")
@click.pass_context
def endpoints(context: click.Context) -> None:
    """Show the listed endpoints as the decision module sees them."""
    connection_of(context).show(connection_of(context).ask(wire.Endpoints()), render.endpoints)


@ctl.command(name="commands")
@click.option("--most", default=50, show_default=True, help="Show at most this many requests.")
@click.pass_context
def requests(context: click.Context, most: int) -> None:
    """Show the open requests, oldest first."""
    connection_of(context).show(connection_of(context).ask(wire.OpenRequests(most)), render.requests)


@ctl.command()
@click.pass_context
def counters(context: click.Context) -> None:
    """Show all counters since the start of the gateway."""
    connection_of(context).show(connection_of(context).ask(wire.Counters()), render.counters)


@ctl.command()
@click.option("--every", type=Duration(), default="1s", show_default=True, help="Time between two updates.")
@click.option("--count", type=click.IntRange(1), help="End after this many updates.")
@click.pass_context
def watch(context: click.Context, every: int, count: int | None) -> None:
    """Show the status, the levels and the endpoints, updated until interrupted.

    With --json, each update is one object on a line of its own.
    """
    connection = connection_of(context)
    updates = _updates(connection, every / 1e6, count)
    if connection.as_json:
        for update in updates:
            click.echo(json.dumps(update, sort_keys=True))
        return
    render.live(updates)


def _updates(connection: ControlConnection, interval_s: float, count: int | None) -> Iterator[dict[str, Any]]:
    made = 0
    while count is None or made < count:
        if made:
            time.sleep(interval_s)
        update = {"status": connection.ask(wire.Status()), "engines": connection.ask(wire.Endpoints())}
        with contextlib.suppress(RefusedError):  # the gateway has no ladder
            update["levels"] = connection.ask(wire.Levels(history=5))
        if interval_s >= TIMEOUT_S / 2:  # the gateway would close a connection that is idle for so long
            connection.close()
        made += 1
        yield update


@ctl.group()
def level() -> None:
    """Hold a level by hand, or release it."""


@level.command()
@click.argument("name", shell_complete=_complete_level_name)
@click.option(
    "--for", "duration_us", type=Duration(), required=True, help="How long, such as 10m; at most 24h."
)
@click.pass_context
def hold(context: click.Context, name: str, duration_us: int) -> None:
    """Hold level NAME for a time, whatever the signals say.

    'full' is full service, without a level.
    """
    connection = connection_of(context)
    connection.show(connection.ask(wire.HoldLevel(name, duration_us)), render.levels)


@level.command()
@click.pass_context
def release(context: click.Context) -> None:
    """Let the signals decide again, starting from the level that was held."""
    connection = connection_of(context)
    connection.show(connection.ask(wire.ReleaseLevel()), render.levels)


@ctl.group(invoke_without_command=True)
@click.pass_context
def cells(context: click.Context) -> None:
    """Show the cells and the migrations between them, or migrate a tenant by hand."""
    if context.invoked_subcommand is None:
        connection_of(context).show(connection_of(context).ask(wire.Cells()), render.cells)


@cells.command()
@click.argument("tenant")
@click.pass_context
def where(context: click.Context, tenant: str) -> None:
    """Show the cell of a TENANT."""
    connection_of(context).show(connection_of(context).ask(wire.Cells(tenant)), render.cells)


@cells.command()
@click.argument("tenant")
@click.argument("cell")
@click.option("--dry-run", is_flag=True, help="Only check whether the migration could begin.")
@click.pass_context
def move(context: click.Context, tenant: str, cell: str, dry_run: bool) -> None:
    """Migrate a TENANT to a CELL.

    New requests of the tenant are held, open attempts get their outcome, and the tenant is switched once the
    endpoints of its old cell have forgotten its idempotency keys.
    """
    connection_of(context).show(
        connection_of(context).ask(wire.MigrateTenant(tenant, cell, dry_run)), render.cells
    )


@cells.command()
@click.argument("tenant")
@click.pass_context
def abort(context: click.Context, tenant: str) -> None:
    """Roll back the migration of a TENANT that is not switched yet."""
    connection_of(context).show(connection_of(context).ask(wire.AbortMigration(tenant)), render.cells)
