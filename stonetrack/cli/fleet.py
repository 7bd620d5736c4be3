"""Commands of the fleet's rig."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from stonetrack.cli.serve import FILE, VAR, parse_variables


@click.group()
def fleet() -> None:
    """Whole fleets of processes under faults: run one and read what passed on every link, or simulate it."""


@fleet.command("run")
@click.argument("file", type=FILE)
@VAR
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--report", type=click.Path(file_okay=False, path_type=Path), required=True, help="Folder for logs and the page."
)
@click.option("--model", is_flag=True, help="In simulated time, without processes.")
@click.option(
    "--program", type=click.Path(exists=True, file_okay=False, path_type=Path), help="Nodes of another checkout."
)
def fleet_run(file: Path, var: tuple[str, ...], seed: int, report: Path, model: bool, program: Path | None) -> None:
    """Play a script and write a page of what passed; exit code 1 where something could not be carried out."""
    from stonetrack.fleet.model import Model
    from stonetrack.fleet.page import summary, write_page
    from stonetrack.fleet.rig import Played, play
    from stonetrack.fleet.script import load_script
    from stonetrack.settings import SettingsError

    try:
        script = load_script(file, parse_variables(var))
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    played = Played(script, seed, Model(script, seed).play(), 0) if model else play(script, seed, report, program)
    click.echo(summary(played))
    click.echo(f"report {write_page(played, report)}")
    sys.exit(1 if played.trouble or played.unclean else 0)
