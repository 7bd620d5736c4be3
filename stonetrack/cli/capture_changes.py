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


def _open_store(folder: Path) -> Store:
    try:
        return Store(folder)
    except CaptureError as error:
        raise CommandError(str(error)) from None


@click.command("keep")
@click.argument("folder", type=FOLDER)
@click.argument("segment")
@click.option("--why", default="", help="Shown by ls.")
@click.option("--no-more", is_flag=True, help="Remove the mark.")
def keep(folder: Path, segment: str, why: str, no_more: bool) -> None:
    """Mark SEGMENT (a file's name, or a router's name for all of its segments) so that it is never deleted for the
    budget."""
    segments_by_router = segments_or_error(folder)
    names = [path.name for files in segments_by_router.values() for path in files]
    selected = [path.name for path in segments_by_router.get(segment, [])] or [
        name for name in names if name == segment
    ]
    if not selected:
        raise CommandError(
            f"{folder}: no segment or router {segment!r}; allowed: {', '.join([*segments_by_router, *names][:20])}"
        )
    with _open_store(folder) as store:
        for name in selected:
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
    with _open_store(folder) as store:
        store.add_note(wall_time_ns(), about, text)


@click.command("tend")
@click.argument("folder", type=FOLDER)
@click.option(
    "--budget", type=click.IntRange(65_536), default=1 << 40, help="Bytes on disk; nothing is deleted by default."
)
@click.option("--states-every", type=click.IntRange(1), default=20_000, show_default=True, help="In records.")
def tend(folder: Path, budget: int, states_every: int) -> None:
    """Index, verify, replay and repack all closed segments now; the node's supervisor does so gradually."""
    messages: list[str] = []
    try:
        runner = MaintenanceRunner(folder, budget_bytes=budget, log=messages.append, states_every=states_every)
    except CaptureError as error:
        raise CommandError(str(error)) from None
    try:
        runner.run_once((lambda text: click.echo(text, err=True)) if os.isatty(2) else lambda text: None)
    except CaptureError as error:
        raise CommandError(str(error)) from None
    finally:
        runner.stop()
    for line in messages:
        click.echo(line)


@click.command("cut")
@click.argument("folder", type=FOLDER)
@click.option("--router", default="", help="The router, if the folder has several.")
@click.option("--then", "old_name", required=True, help="The revision with the fault.")
@click.option("--now", "new_name", default="now", show_default=True, help="The revision with the fix.")
@click.option("--title", required=True, help="A one-line description of the fault.")
@click.option("--found", default="", help="Where the failure was observed.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), required=True, help="A .case file.")
def cut(folder: Path, router: str, old_name: str, new_name: str, title: str, found: str, out: Path) -> None:
    """Cut a small case from the first decision on which two revisions differ."""
    from stonetrack.capture import case, history, revision

    segments_by_router = segments_or_error(folder)
    if router not in segments_by_router and (router or len(segments_by_router) > 1):
        raise CommandError(f"{folder}: --router {router!r}; allowed: {', '.join(segments_by_router)}")
    name = router or next(iter(segments_by_router))
    try:
        old, new = revision.load(old_name), revision.load(new_name)
        header, events = case.recorded_history(history.iter_records(segments_by_router[name], []))
        case_ = case.cut_case(header, events, old, new, title=title, fixed_by=new.name, found=found,
                        on_progress=lambda text: click.echo(text, err=True))  # fmt: skip
    except CaptureError as error:
        raise CommandError(str(error)) from None
    out.write_bytes(case.encode(case_))
    if folder.is_dir():
        with _open_store(folder) as store:
            store.put_case(out.name, {"title": title, "fixed_by": new.name, "events": len(case_.events)})
    click.echo(f"{out}: {len(case_.events)} of {len(events)} events, about {case_.request}")


@click.command("cases")
@click.argument("folder", type=FOLDER)
@click.option("--at", "revision_name", default="now", show_default=True, help="The revision that runs them.")
def cases(folder: Path, revision_name: str) -> None:
    """Run a folder of cases (or one file); exit code 1 if a fault is back."""
    from stonetrack.capture import case

    files = sorted(folder.glob("*.case")) if folder.is_dir() else [folder]
    if not files:
        raise CommandError(f"{folder}: no cases (*.case) here")
    module = load_module(revision_name)
    exit_code = 0
    for path in files:
        try:
            case_ = case.decode(path.read_bytes())
        except CaptureError as error:
            raise CommandError(f"{path.name}: {error}") from None
        result = case.run_case(case_, module.make)
        exit_code = max(exit_code, int(result.verdict != "fixed"))
        click.echo(f"{path.name}: {result.verdict} ({case_.title}; fixed by {case_.fixed_by})")
        if result.verdict != "fixed":
            for label, actions in (
                ("then", case_.faulty_actions),
                ("now", case_.fixed_actions),
                (module.name, result.last_actions),
            ):
                click.echo(f"  {label + ':':<10} {format_actions(actions)}")
    sys.exit(exit_code)


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
@click.option("--key", default="", help="Key of the hashes; random by default, so that names can't be guessed.")
@click.option("--rename", is_flag=True, help="Also replace sessions, shared prefixes, requests and engines.")
def redact_folder(folder: Path, out: Path, key: str, rename: bool) -> None:
    """Write captures without names into the folder OUT, which must be empty or not exist.

    Without --rename the decisions stay the same, and a replay verifies it; with --rename they are made again, and the
    command prints how many differ.
    """
    from stonetrack.capture import redact, replay, segment
    from stonetrack.capture.codec import Record, encode
    from stonetrack.capture.history import HistoryReader, iter_records
    from stonetrack.capture.journal import SEGMENT_SUFFIX

    if out.exists() and any(out.iterdir()):
        raise CommandError(f"{out}: not empty; allowed: an empty folder, or one that does not exist")
    out.mkdir(parents=True, exist_ok=True)
    hash_key = key.encode() or os.urandom(32)
    for index, files in enumerate(segments_or_error(folder).values()):
        reading, renamed = HistoryReader(files), redact.RenameResult()
        records = (record for _, record in reading)
        changed = redact.rename(records, hash_key, renamed) if rename else redact.redact(records, hash_key)
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
            raise CommandError(
                f"{files[0].name}: this module does not make the captured decisions; replay the capture first"
            )
        differing = (
            f", {renamed.changed_decisions} of {renamed.calls} decided otherwise under their new names"
            if rename
            else ""
        )
        omitted = f", {renamed.omitted_records} records omitted" if renamed.omitted_records else ""
        click.echo(f"{path.name}: {result.calls} calls replay the same{differing}{omitted}")


for command in (keep, note, tend, cut, cases, export, redact_folder):
    capture.add_command(command)
