"""Commands of the control service: run it, publish, stage, roll back, and see who runs what."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from stonetrack.cli.serve import FILE, LOG, PORT, VAR, parse_variables, run_service
from stonetrack.settings import SettingsError, evaluate

AT = click.argument("at", metavar="HOST:PORT")


@click.group()
def control() -> None:
    """Numbered versions of the settings for a whole fleet, and who runs which."""


@control.command("run")
@click.argument("file", type=FILE)
@VAR
@PORT
@LOG
def control_run(file: Path, var: tuple[str, ...], port: int | None, log_path: Path | None) -> None:
    """Run the control service until TERM."""
    from stonetrack.control.service import StateError, run
    from stonetrack.control.settings import load_control

    run_service(file, port, log_path, lambda: load_control(file, parse_variables(var)), run, StateError)


def _call(at: str, method: str, path: str, body: Any = None) -> Any:
    """The answer, or an end with exit code 1 and what the service said."""
    from stonetrack.control.client import ControlError, call

    try:
        return call(at, method, path, body)
    except ControlError as error:
        click.echo(str(error), err=True)
        sys.exit(1)


@control.command("publish")
@AT
@click.argument("file", type=FILE)
@VAR
@click.option("--kind", type=click.Choice(["rule", "weight"]), default="rule", show_default=True)
@click.option("--share", type=click.FloatRange(0.0, 1.0), default=1.0, help="Of the nodes that run it first.")
def publish(at: str, file: Path, var: tuple[str, ...], kind: str, share: float) -> None:
    """One more version: what FILE (Jsonnet) says replaces those parts of each node's own settings."""
    try:
        content = msgspec.json.decode(evaluate(file, parse_variables(var)))
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    told = _call(at, "PUT", "/settings", {"content": content, "kind": kind, "share": share})
    click.echo(f"version {told['number']}" + (f", staged for {share:g} of the nodes" if told["staged"] else ""))


@control.command("stage")
@AT
@click.argument("number", type=int)
@click.argument("share", type=click.FloatRange(0.0, 1.0))
def stage(at: str, number: int, share: float) -> None:
    """A staged version goes on to a larger share; at 1 it is everybody's."""
    told = _call(at, "POST", "/stage", {"number": number, "share": share})
    click.echo(f"base {told['base']}, staged {told['staged'] or 'none'}")


@control.command("rollback")
@AT
@click.argument("number", type=int)
def rollback(at: str, number: int) -> None:
    """A staged version is given up; the content before is published anew, to all."""
    told = _call(at, "POST", "/rollback", {"number": number})
    click.echo(f"version {told['number']} is everybody's")


@control.command("nodes")
@AT
@click.option("--lagging", is_flag=True, help="Only those that do not run what they are to run; exit code 1 for any.")
def nodes(at: str, lagging: bool) -> None:
    """Who runs which version, and what is known of those that lag."""
    from stonetrack.control.stale_nodes import Evidence

    fine = Evidence.CURRENT.value
    rows = [row for row in _call(at, "GET", "/nodes") if not lagging or row["evidence"] != fine]
    for row in rows:
        more = f", {row['why']}" if row["why"] else ""
        out = ", shut out" if row["out"] else ""
        click.echo(f"{row['name']:<20} runs {row['runs']} of {row['wanted']}: {row['evidence']}{out}; "
                   f"heard {row['heard_s']:.1f} s ago{more}")  # fmt: skip
    sys.exit(1 if lagging and rows else 0)


@control.command("versions")
@AT
def versions(at: str) -> None:
    """The versions that are remembered."""
    told = _call(at, "GET", "/versions")
    for each in told["documents"]:
        marks = ["everybody's"] if told["base"] == each["number"] else []
        marks += [f"staged for {told['share']:g}"] if told["candidate"] == each["number"] != 0 else []
        click.echo(f"{each['number']:>5}  {each['kind']:<7} {each['digest'] or '-':<17} "
                   f"{each['owner'] or 'by hand':<24} {', '.join(marks)}")  # fmt: skip
