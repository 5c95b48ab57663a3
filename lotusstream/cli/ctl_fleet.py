"""The sub-commands of `lotusstream ctl` for a fleet: peers, replicas, the quorum and leases."""

from __future__ import annotations

import click

from lotusstream.cli import render
from lotusstream.cli.ctl import connection_of, ctl
from lotusstream.protocol import control as wire


@ctl.command()
@click.pass_context
def peers(context: click.Context) -> None:
    """Show the connections between this gateway and others."""
    connection_of(context).show(connection_of(context).ask(wire.Peers()), render.peers)


@ctl.group(invoke_without_command=True)
@click.pass_context
def copies(context: click.Context) -> None:
    """Show the replicas on this gateway: shards, their primaries and backups."""
    if context.invoked_subcommand is None:
        connection_of(context).show(connection_of(context).ask(wire.ReplicaStatus()), render.copies)


@copies.command()
@click.argument("machine")
@click.option("--undo", is_flag=True, help="Let the machine hold replicas again.")
@click.pass_context
def drain(context: click.Context, machine: str, undo: bool) -> None:
    """Move all replicas off a MACHINE, and place none there any more.

    Drain a machine before it is switched off for long. Only the gateway that runs the shard controller
    accepts this. Repeat the command to see how many shards are left on the machine.
    """
    connection_of(context).show(connection_of(context).ask(wire.DrainMachine(machine, undo)), render.drained)


@ctl.group()
def quorum() -> None:
    """Show or change the Raft group that agrees on leases."""


@quorum.command()
@click.pass_context
def status(context: click.Context) -> None:
    """Show the leader and the members, and how far each is behind."""
    connection_of(context).show(connection_of(context).ask(wire.Quorum()), render.quorum)


@quorum.command()
@click.argument("name")
@click.pass_context
def add(context: click.Context, name: str) -> None:
    """Add the running gateway NAME to the quorum.

    It has no vote until it has caught up with the log.
    """
    connection_of(context).show(
        connection_of(context).ask(wire.ChangeQuorumMember(name, True)), render.quorum
    )


@quorum.command()
@click.argument("name")
@click.pass_context
def remove(context: click.Context, name: str) -> None:
    """Remove the member NAME from the quorum."""
    connection_of(context).show(
        connection_of(context).ask(wire.ChangeQuorumMember(name, False)), render.quorum
    )


@ctl.group(invoke_without_command=True)
@click.pass_context
def leases(context: click.Context) -> None:
    """Show which gateway holds the lease of each task, and its fencing token."""
    if context.invoked_subcommand is None:
        connection_of(context).show(connection_of(context).ask(wire.Leases()), render.leases)


@leases.command()
@click.argument("task")
@click.pass_context
def release(context: click.Context, task: str) -> None:
    """Take the lease of TASK from its holder.

    If this gateway is the holder, it releases the lease at once; another holder loses it at its next renewal.
    """
    connection_of(context).show(connection_of(context).ask(wire.RevokeLease(task)), render.leases)


@leases.command(name="hand-over")
@click.argument("task")
@click.argument("gateway")
@click.pass_context
def hand_over(context: click.Context, task: str, gateway: str) -> None:
    """Take the lease of TASK from its holder, and reserve it for GATEWAY for the length of a lease."""
    connection_of(context).show(connection_of(context).ask(wire.RevokeLease(task, gateway)), render.leases)
