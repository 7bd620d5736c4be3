"""Commands of the control service: run it, publish, stage and roll back versions, and list nodes and versions."""

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
    """Numbered versions of the settings for a whole fleet, and which node runs which."""


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
    """Return the service's answer, or print its error and exit with code 1."""
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
@click.option("--share", type=click.FloatRange(0.0, 1.0), default=1.0, help="Share of the nodes that run it first.")
def publish(at: str, file: Path, var: tuple[str, ...], kind: str, share: float) -> None:
    """Publish a version: the content of FILE (Jsonnet) replaces those parts of each node's own settings."""
    try:
        content = msgspec.json.decode(evaluate(file, parse_variables(var)))
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    reply = _call(at, "PUT", "/settings", {"content": content, "kind": kind, "share": share})
    click.echo(f"version {reply['number']}" + (f", staged for {share:g} of the nodes" if reply["staged"] else ""))


@control.command("stage")
@AT
@click.argument("number", type=int)
@click.argument("share", type=click.FloatRange(0.0, 1.0))
def stage(at: str, number: int, share: float) -> None:
    """Extend a staged version to a larger share of the nodes; 1 is all nodes."""
    reply = _call(at, "POST", "/stage", {"number": number, "share": share})
    click.echo(f"base {reply['base']}, staged {reply['staged'] or 'none'}")


@control.command("rollback")
@AT
@click.argument("number", type=int)
def rollback(at: str, number: int) -> None:
    """Drop a staged version and publish the previous content to all nodes as a new version."""
    reply = _call(at, "POST", "/rollback", {"number": number})
    click.echo(f"version {reply['number']} is for all nodes")


@control.command("nodes")
@AT
@click.option(
    "--lagging", is_flag=True, help="Only nodes that do not run their desired version; exit code 1 if there are any."
)
def nodes(at: str, lagging: bool) -> None:
    """List the nodes with their versions, and what is known of those that lag."""
    from stonetrack.control.stale_nodes import Evidence

    current = Evidence.CURRENT.value
    rows = [row for row in _call(at, "GET", "/nodes") if not lagging or row["evidence"] != current]
    for row in rows:
        reason = f", {row['why']}" if row["why"] else ""
        fenced = ", fenced" if row["out"] else ""
        click.echo(f"{row['name']:<20} runs {row['runs']} of {row['wanted']}: {row['evidence']}{fenced}; "
                   f"heard {row['heard_s']:.1f} s ago{reason}")  # fmt: skip
    sys.exit(1 if lagging and rows else 0)


@control.command("versions")
@AT
def versions(at: str) -> None:
    """List the stored versions."""
    reply = _call(at, "GET", "/versions")
    for document in reply["documents"]:
        marks = ["all nodes"] if reply["base"] == document["number"] else []
        marks += [f"staged for {reply['share']:g}"] if reply["candidate"] == document["number"] != 0 else []
        click.echo(f"{document['number']:>5}  {document['kind']:<7} {document['digest'] or '-':<17} "
                   f"{document['owner'] or 'by hand':<24} {', '.join(marks)}")  # fmt: skip
