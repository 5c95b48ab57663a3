"""`lotusstream lab`: tests real gateway processes on this machine under seeded faults."""

from __future__ import annotations

from pathlib import Path

import click

from lotusstream.lab.scale.planted import PLANTED
from lotusstream.lab.soak import report as soak_report


class Seeds(click.ParamType[range]):
    """One seed, such as `7`, or the first and the last of a range, such as `1..50`."""

    name = "seeds"

    def convert(self, value: str, param: click.Parameter | None, ctx: click.Context | None) -> range:
        """Returns the seeds as a range."""
        try:
            return soak_report.parse_seeds(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


@click.group()
def lab() -> None:
    """Test the gateway on this machine, under faults."""


@lab.command()
@click.option("--seeds", type=Seeds(), default="1", show_default=True, help="One seed, or a range A..B.")
@click.option("--replay", type=Seeds(), help="Seeds to run again; they replace --seeds.")
@click.option("--seconds", type=float, default=8.0, show_default=True, help="Seconds of load for each seed.")
@click.option("--report", type=click.Path(path_type=Path), help="Folder for one file on each failed seed.")
@click.option("--planted", type=click.Choice(sorted(PLANTED)), help="Put this defect into every gateway.")
@click.pass_context
def soak(
    context: click.Context,
    seeds: range,
    replay: range | None,
    seconds: float,
    report: Path | None,
    planted: str | None,
) -> None:
    """Run load under the faults of each seed, and check what clients and endpoints observed.

    Exit with status 1 if a rule was broken.
    """
    try:
        failed = soak_report.play_seeds(replay or seeds, seconds, report, planted)
    except ValueError as error:
        raise click.UsageError(str(error)) from error
    context.exit(1 if failed else 0)
