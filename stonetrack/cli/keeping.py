"""Commands that change a folder of captures: keep, note, tend; cut, export, redact."""

from __future__ import annotations

import os
import time
from pathlib import Path

import click

from stonetrack.capture.codec import CaptureError
from stonetrack.capture.store import Store
from stonetrack.capture.tend import Tender
from stonetrack.cli.capturing import FOLDER, Refusal, segments


def _store(folder: Path) -> Store:
    try:
        return Store(folder)
    except CaptureError as error:
        raise Refusal(str(error)) from None


@click.command("keep")
@click.argument("folder", type=FOLDER)
@click.argument("segment")
@click.option("--why", default="", help="Shown by ls.")
@click.option("--no-more", is_flag=True, help="Take the mark back.")
def keep(folder: Path, segment: str, why: str, no_more: bool) -> None:
    """Mark SEGMENT (a file's name, or a router's for all of its) so that it is never deleted for the budget."""
    rooms = segments(folder)
    names = [path.name for files in rooms.values() for path in files]
    chosen = [path.name for path in rooms.get(segment, [])] or [name for name in names if name == segment]
    if not chosen:
        raise Refusal(f"{folder}: no segment or router {segment!r}; allowed: {', '.join([*rooms, *names][:20])}")
    with _store(folder) as store:
        for name in chosen:
            if no_more:
                store.let_go(name)
            else:
                store.keep(name, why)
            click.echo(f"{name}: {'no longer kept' if no_more else 'kept'}")


@click.command("note")
@click.argument("folder", type=FOLDER)
@click.argument("about")
@click.argument("text")
def note(folder: Path, about: str, text: str) -> None:
    """Add a note ABOUT a request, a router or a segment; ls shows it."""
    with _store(folder) as store:
        store.note(time.time_ns(), about, text)


@click.command("tend")
@click.argument("folder", type=FOLDER)
@click.option("--budget", type=click.IntRange(65_536), default=1 << 40, help="Bytes on disk; by default none goes.")
@click.option("--states-every", type=click.IntRange(1), default=20_000, show_default=True, help="In records.")
def tend(folder: Path, budget: int, states_every: int) -> None:
    """Index, check, replay and pack all that is closed, at once; the node's supervisor does it bit by bit."""
    said: list[str] = []
    try:
        tender = Tender(folder, budget_bytes=budget, log=said.append, states_every=states_every)
    except CaptureError as error:
        raise Refusal(str(error)) from None
    try:
        tender.once((lambda text: click.echo(text, err=True)) if os.isatty(2) else lambda text: None)
    except CaptureError as error:
        raise Refusal(str(error)) from None
    finally:
        tender.stop()
    for line in said:
        click.echo(line)
