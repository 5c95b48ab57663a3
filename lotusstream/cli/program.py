"""The click program with the sub-commands `ctl`, `fleet` and `lab`. Imported only when one is called."""

from __future__ import annotations

import os
import sys

import click

from lotusstream.cli import ctl_fleet
from lotusstream.cli.ctl import program


def register(arguments: list[str]) -> None:
    """Adds `fleet` or `lab` to the program if the arguments call it, since each imports its test rig."""
    assert ctl_fleet  # its import adds its sub-commands to `ctl`
    if arguments[:1] == ["fleet"]:
        from lotusstream.cli.fleet import fleet

        program.add_command(fleet)
    elif arguments[:1] == ["lab"]:
        from lotusstream.cli.lab import lab

        program.add_command(lab)


def run(arguments: list[str]) -> int:
    """Runs the program and returns its exit status."""
    register(arguments)
    try:
        status = program.main(arguments, prog_name="lotusstream", standalone_mode=False)
    except click.exceptions.Exit as error:
        return error.exit_code
    except click.Abort:
        return 130
    except click.ClickException as error:
        if isinstance(error, click.UsageError):
            error.show()
        else:
            click.echo(f"lotusstream: {error.format_message()}", err=True)
        return error.exit_code
    except BrokenPipeError:  # the reader of our output has closed the pipe
        sys.stdout = open(os.devnull, "w")  # noqa: SIM115 - the flush at exit would fail again otherwise
        return 0
    return status if isinstance(status, int) else 0  # click returns the status of context.exit() here
