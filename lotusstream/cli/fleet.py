"""`lotusstream fleet`: runs a fleet of real gateway processes on this machine, with or without faults."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click

from lotusstream.lab.fleet import run as schedule_runner
from lotusstream.lab.fleet.rig import FleetRig
from lotusstream.lab.fleet.schedule import (
    KINDS,
    ScheduleError,
    draw_schedule,
    format_schedule,
    parse_schedule,
)


@click.group()
def fleet() -> None:
    """Run a fleet of gateways on this machine, and inject faults into it."""


@fleet.command()
@click.argument("schedule", type=click.Path(exists=True, dir_okay=False, path_type=Path), required=False)
@click.option("--seed", type=int, help="Draw a schedule from this seed, instead of reading SCHEDULE.")
@click.option(
    "--keep",
    type=click.Path(path_type=Path),
    default=Path("found"),
    show_default=True,
    help="Folder for a schedule that fails, its story, and a smaller schedule that fails.",
)
def run(schedule: Path | None, seed: int | None, keep: Path) -> None:  # fmt: skip
    """Play the faults of a SCHEDULE, and print its story.

    Exit with status 1 if two gateways acted at once, the task was not taken over, or a promise to clients was
    broken.
    """
    if (schedule is None) == (seed is None):
        raise click.UsageError("expected either a SCHEDULE or --seed")
    try:
        parsed = (
            parse_schedule(schedule.read_text(encoding="utf-8")) if schedule else draw_schedule(seed or 0)
        )
    except ScheduleError as error:
        raise click.UsageError(f"{schedule}: {error}") from error
    outcome = schedule_runner.run(parsed, click.echo)
    if outcome.passed:
        promises = ", and every promise to clients was kept" if parsed.customers else ""
        click.echo(f"passed: no two gateways acted at once, and the task was taken over{promises}")
        return
    keep.mkdir(parents=True, exist_ok=True)
    name = schedule.stem if schedule else f"seed-{seed}"
    (keep / f"{name}.toml").write_text(format_schedule(parsed))
    (keep / f"{name}.story").write_text("\n".join([*outcome.story, ""]))
    click.echo(f"failed; the schedule is {keep / name}.toml; looking for a smaller one that fails")
    smaller = asyncio.run(schedule_runner.shrink_schedule(parsed))
    (keep / f"{name}.small.toml").write_text(format_schedule(smaller))
    raise click.exceptions.Exit(1)


@fleet.command()
def faults() -> None:
    """List the kinds of faults that a schedule may have."""
    for kind, meaning in KINDS.items():
        click.echo(f"{kind:10} {meaning}")


@fleet.command()
@click.option("--gateways", default=5, show_default=True, type=click.IntRange(3, 300))
@click.option("--keepers", "quorum_members", default=3, show_default=True, type=click.IntRange(3, 7))
@click.option("--lease", default="5s", show_default=True, help="Length of a lease.")
def start(gateways: int, quorum_members: int, lease: str) -> None:
    """Start a fleet and leave it running until Ctrl-C.

    Kill the process of the gateway that holds the lease, and watch another take over.
    """

    async def run_until_interrupted() -> None:
        directives = ("heartbeat 100ms", "election 500ms", f"lease {lease}", "drift 2%")
        async with FleetRig(
            gateways, min(quorum_members, gateways), directives=directives, on_story_line=click.echo
        ) as rig:
            for gateway in rig.gateways.values():
                assert gateway.process is not None
                ctl = f"lotusstream ctl --socket {gateway.socket}"
                click.echo(f"{gateway.name}: process {gateway.process.pid}, {ctl}")
            click.echo(
                "'ctl leases' at any gateway names the lease holder; kill its process to see a takeover here;"
                " Ctrl-C ends the fleet"
            )
            await asyncio.Event().wait()

    asyncio.run(run_until_interrupted())
