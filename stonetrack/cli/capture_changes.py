"""Commands that change a folder of captures: keep, note, tend; cut, export, redact."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click
import msgspec

from stonetrack.capture.codec import CaptureError
from stonetrack.capture.maintenance import MaintenanceRunner
from stonetrack.capture.store import Store
from stonetrack.cli.capture import FOLDER, CommandError, capture, format_actions, load_module, segments_or_error
from stonetrack.clocks import wall_time_ns


def _store(folder: Path) -> Store:
    try:
        return Store(folder)
    except CaptureError as error:
        raise CommandError(str(error)) from None


@click.command("keep")
@click.argument("folder", type=FOLDER)
@click.argument("segment")
@click.option("--why", default="", help="Shown by ls.")
@click.option("--no-more", is_flag=True, help="Take the mark back.")
def keep(folder: Path, segment: str, why: str, no_more: bool) -> None:
    """Mark SEGMENT (a file's name, or a router's for all of its) so that it is never deleted for the budget."""
    rooms = segments_or_error(folder)
    names = [path.name for files in rooms.values() for path in files]
    chosen = [path.name for path in rooms.get(segment, [])] or [name for name in names if name == segment]
    if not chosen:
        raise CommandError(f"{folder}: no segment or router {segment!r}; allowed: {', '.join([*rooms, *names][:20])}")
    with _store(folder) as store:
        for name in chosen:
            if no_more:
                store.unmark_kept(name)
            else:
                store.mark_kept(name, why)
            click.echo(f"{name}: {'no longer kept' if no_more else 'kept'}")


@click.command("note")
@click.argument("folder", type=FOLDER)
@click.argument("about")
@click.argument("text")
def note(folder: Path, about: str, text: str) -> None:
    """Add a note ABOUT a request, a router or a segment; ls shows it."""
    with _store(folder) as store:
        store.add_note(wall_time_ns(), about, text)


@click.command("tend")
@click.argument("folder", type=FOLDER)
@click.option("--budget", type=click.IntRange(65_536), default=1 << 40, help="Bytes on disk; by default none goes.")
@click.option("--states-every", type=click.IntRange(1), default=20_000, show_default=True, help="In records.")
def tend(folder: Path, budget: int, states_every: int) -> None:
    """Index, check, replay and pack all that is closed, at once; the node's supervisor does it bit by bit."""
    said: list[str] = []
    try:
        tender = MaintenanceRunner(folder, budget_bytes=budget, log=said.append, states_every=states_every)
    except CaptureError as error:
        raise CommandError(str(error)) from None
    try:
        tender.run_once((lambda text: click.echo(text, err=True)) if os.isatty(2) else lambda text: None)
    except CaptureError as error:
        raise CommandError(str(error)) from None
    finally:
        tender.stop()
    for line in said:
        click.echo(line)


@click.command("cut")
@click.argument("folder", type=FOLDER)
@click.option("--router", default="", help="Which router's, where the folder holds several.")
@click.option("--then", "old_name", required=True, help="The revision with the fault.")
@click.option("--now", "new_name", default="now", show_default=True, help="The revision without.")
@click.option("--title", required=True, help="What went wrong, in a line.")
@click.option("--found", default="", help="Where the failure was met.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), required=True, help="A .case file.")
def cut(folder: Path, router: str, old_name: str, new_name: str, title: str, found: str, out: Path) -> None:
    """Make a small case of the first decision on which two revisions differ."""
    from stonetrack.capture import case, history, revision

    rooms = segments_or_error(folder)
    if router not in rooms and (router or len(rooms) > 1):
        raise CommandError(f"{folder}: --router {router!r}; allowed: {', '.join(rooms)}")
    name = router or next(iter(rooms))
    try:
        old, new = revision.load(old_name), revision.load(new_name)
        header, events = case.recorded_history(history.iter_records(rooms[name], []))
        made = case.cut_case(header, events, old, new, title=title, fixed_by=new.name, found=found,
                        on_progress=lambda text: click.echo(text, err=True))  # fmt: skip
    except CaptureError as error:
        raise CommandError(str(error)) from None
    out.write_bytes(case.encode(made))
    if folder.is_dir():
        with _store(folder) as store:
            store.put_case(out.name, {"title": title, "fixed_by": new.name, "events": len(made.events)})
    click.echo(f"{out}: {len(made.events)} of {len(events)} events, about {made.request}")


@click.command("cases")
@click.argument("folder", type=FOLDER)
@click.option("--at", "revision_name", default="now", show_default=True, help="The revision that runs them.")
def cases(folder: Path, revision_name: str) -> None:
    """Run a folder of cases (or one); exit code 1 where a fault is back."""
    from stonetrack.capture import case

    files = sorted(folder.glob("*.case")) if folder.is_dir() else [folder]
    if not files:
        raise CommandError(f"{folder}: no cases (*.case) here")
    module = load_module(revision_name)
    worst = 0
    for path in files:
        try:
            made = case.decode(path.read_bytes())
        except CaptureError as error:
            raise CommandError(f"{path.name}: {error}") from None
        ran = case.run_case(made, module.make)
        worst = max(worst, int(ran.verdict != "fixed"))
        click.echo(f"{path.name}: {ran.verdict} ({made.title}; mended by {made.fixed_by})")
        if ran.verdict != "fixed":
            for label, actions in (
                ("then", made.faulty_actions),
                ("now", made.fixed_actions),
                (module.name, ran.last_actions),
            ):
                click.echo(f"  {label + ':':<10} {format_actions(actions)}")
    sys.exit(worst)


@click.command("export")
@click.argument("folder", type=FOLDER)
@click.option("--since", type=int, help="From this time on (nanoseconds).")
@click.option("--until", type=int, help="Up to this time.")
@click.option("--request", default="", help="Only calls about this request.")
def export(folder: Path, since: int | None, until: int | None, request: str) -> None:
    """Print records as lines of JSON."""
    from stonetrack.capture import redact, seek
    from stonetrack.capture.history import HistoryReader
    from stonetrack.capture.index import requests_of

    for name, files in segments_or_error(folder).items():
        reading = HistoryReader(files)
        for number, record in seek.about(folder, reading, request) if request else reading.records():
            at = getattr(record, "at", 0)
            if (since is not None and at < since) or (until is not None and at > until):
                continue
            if not request or request in requests_of(record):
                line = redact.to_json(number, record)
                click.echo(b'{"router":' + msgspec.json.encode(name) + b"," + line[1:])
        for text in reading.damage:
            click.echo(f"damage: {text}", err=True)


@click.command("redact")
@click.argument("folder", type=FOLDER)
@click.argument("out", type=click.Path(file_okay=False, path_type=Path))
@click.option("--key", default="", help="Of the hashes; a fresh one by default, which nobody can then guess names by.")
@click.option("--rename", is_flag=True, help="New names for sessions, beginnings, requests and engines too.")
def redact_folder(folder: Path, out: Path, key: str, rename: bool) -> None:
    """Write captures without names into the folder OUT, which must be empty or not there yet.

    Without --rename decisions stay as they are and a replay proves it; with it they are made anew, and it is said
    how many differ.
    """
    from stonetrack.capture import redact, replay, segment
    from stonetrack.capture.codec import Record, encode
    from stonetrack.capture.history import HistoryReader, iter_records
    from stonetrack.capture.journal import SEGMENT_SUFFIX

    if out.exists() and any(out.iterdir()):
        raise CommandError(f"{out}: not empty; allowed: an empty folder, or one that is not there yet")
    out.mkdir(parents=True, exist_ok=True)
    secret = key.encode() or os.urandom(32)
    for index, files in enumerate(segments_or_error(folder).values()):
        reading, counts = HistoryReader(files), redact.RenameResult()
        records = (record for _, record in reading)
        changed = redact.rename(records, secret, counts) if rename else redact.redact(records, secret)
        path = out / f"redacted.{index}-{0:020d}{SEGMENT_SUFFIX}"
        batch: list[Record] = []
        number = 0
        with path.open("wb") as file:
            file.write(segment.MAGIC)
            for record in changed:
                batch.append(record)
                if len(batch) == 2_000:
                    file.write(segment.encode_block(map(encode, batch), number))
                    number, batch = number + len(batch), []
            file.write(segment.encode_block(map(encode, batch), number))
        result = replay.replay(iter_records([path], []))
        if not result.matches:
            path.unlink()
            raise CommandError(f"{files[0].name}: it is decided otherwise by this module already; replay it first")
        said = (
            f", {counts.changed_decisions} of {counts.calls} decided otherwise under their new names" if rename else ""
        )
        left = f", {counts.omitted_records} records left out" if counts.omitted_records else ""
        click.echo(f"{path.name}: {result.calls} calls replay the same{said}{left}")


for command in (keep, note, tend, cut, cases, export, redact_folder):
    capture.add_command(command)
