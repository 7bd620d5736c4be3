"""Commands on captures: ls, show, verify, explain; replay.  What changes a folder is in :mod:`.capture_changes`."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from pathlib import Path

import click

from stonetrack.capture import compare, explain, history, parallel, revision, seek
from stonetrack.capture import replay as again
from stonetrack.capture.codec import Call, CaptureError, Gap, Header, Record, State
from stonetrack.capture.history import HistoryReader
from stonetrack.capture.index import requests_of
from stonetrack.capture.journal import SEGMENT_SUFFIX
from stonetrack.capture.store import Store

FOLDER = click.Path(exists=True, path_type=Path)
Numbered = Iterable[tuple[int, Record]]


class CommandError(click.ClickException):
    """An error in plain words; exit code 2."""

    exit_code = 2


def segments_or_error(path: Path) -> dict[str, list[Path]]:
    """Segments by router.  Raises CommandError where there is none."""
    found = history.segments_by_router(path)
    if not found:
        raise CommandError(f"{path}: no segments (*{SEGMENT_SUFFIX}) here")
    return found


def print_damage(damage: list[str]) -> None:
    """Print what is wrong with the files."""
    for text in damage:
        click.echo(f"  damage: {text}")


@click.group()
def capture() -> None:
    """What the routers were told and decided, as kept on disk."""


@capture.command("ls")
@click.argument("folder", type=FOLDER)
def ls(folder: Path) -> None:
    """List routers and their segments; by the index where there is one."""
    try:
        store = Store.open_existing(folder) if folder.is_dir() else None
    except CaptureError as error:
        raise CommandError(str(error)) from None
    kept = store.kept_segments() if store else {}
    for name, files in segments_or_error(folder).items():
        size = sum(file.stat().st_size for file in files)
        click.echo(f"{name}: {len(files)} segments, {size} bytes")
        for file in files:
            made = (store.index_of(file) if store else None) or seek.index_file(file)[0]
            span = f"{(int(made.ended[-1]) - int(made.began[0])) / 1e9:.3f} s" if made.calls else "nothing"
            lost = f"; {made.lost} missing" if made.lost else ""
            mark = f"; kept: {kept[file.name]}" if file.name in kept else ""
            click.echo(f"  {file.name}: {made.calls} calls over {span}{lost}{mark}")
        for state in store.states(name) if store else ():
            click.echo(f"  state before record {state.number}: {len(state.data)} bytes")
    for _, about, text in store.notes() if store else ():
        click.echo(f"note on {about}: {text}")
    if store is not None:
        for case, facts in store.cases().items():
            click.echo(f"case {case}: {facts.get('title', '')}")
        store.close()


@capture.command("verify")
@click.argument("folder", type=FOLDER)
def verify(folder: Path) -> None:
    """Read everything; exit code 1 on damage other than a tail torn by a kill."""
    bad = 0
    for name, files in segments_or_error(folder).items():
        reading = HistoryReader(files)
        records = lost = 0
        for _, record in reading:
            records += 1
            lost += record.count if isinstance(record, Gap) else 0
        click.echo(f"{name}: {records} records, {lost} missing; {'damaged' if reading.damage else 'good'}")
        print_damage(reading.damage)
        bad += len(reading.damage) > reading.torn_tails
    sys.exit(1 if bad else 0)


@capture.command("show")
@click.argument("folder", type=FOLDER)
@click.option("--request", default="", help="Only calls about this request, or that act on it.")
@click.option("--most", type=click.IntRange(1), default=1_000, show_default=True)
def show(folder: Path, request: str, most: int) -> None:
    """Print calls and what was decided."""
    for name, files in segments_or_error(folder).items():
        reading = HistoryReader(files)
        found = reading.records() if not request else seek.about(folder, reading, request)
        click.echo(name)
        for _, line in zip(range(most), _lines(found, request), strict=False):
            click.echo(f"  {line}")
        print_damage(reading.damage)


def _lines(records: Numbered, request: str) -> Iterator[str]:
    for number, record in records:
        if isinstance(record, Header):
            yield f"{number} a router begins: stonetrack {record.version}, seed {record.seed}"
        elif isinstance(record, State):
            yield f"{number} a snapshot of {len(record.data)} bytes, at {record.at}"
        elif isinstance(record, Gap):
            yield f"{number} {record.count} calls are missing"
        elif not request or request in requests_of(record):
            yield f"{number} {record.at} {record.event}"
            yield from (f"    {action}" for action in record.actions)


@capture.command("explain")
@click.argument("folder", type=FOLDER)
@click.argument("request")
@click.option("--at", "revision_name", default="now", help="As this revision of the module would have decided.")
def explain_request(folder: Path, request: str, revision_name: str) -> None:
    """Why REQUEST went where it went: what was known, each candidate's scores, the exceptions that acted."""
    module = load_module(revision_name)
    cls, reasons = explain.traced(module.logic.Router)
    shown = 0

    def look(number: int, call: Call, router: object) -> None:
        nonlocal shown
        if request in requests_of(call):
            shown += 1
            click.echo(f"{number} at {call.at}: {call.event}")
            about = [r for r in reasons if r.request in (request, "")]
            for line in explain.lines(about):
                click.echo(f"    {line}")
            for action in call.actions:
                click.echo(f"    -> {action}")
        reasons.clear()

    for name, files in segments_or_error(folder).items():
        reading = HistoryReader(files)
        found = seek.about(folder, reading, request, whole=True)
        before = shown
        result = again.replay_numbered(
            found,
            partial(module.make, cls=cls),
            on_call=look,
            restore_class=cls if module.native else None,
            request=request,
        )
        if shown > before:
            click.echo(f"{name}: {shown - before} calls about {request}; replayed from record {reading.replayed_from}")
            print_damage(reading.damage)
            if (diff := result.difference) is not None:
                click.echo(
                    f"  from call {diff.number} on {module.name} decides otherwise: "
                    f"{format_actions(diff.replayed_actions)}"
                )
    if not shown:
        raise CommandError(f"{folder}: no call about request {request!r} that can be replayed")


def load_module(name: str) -> revision.Module:
    """A revision's module.  Raises CommandError."""
    try:
        return revision.load(name)
    except (CaptureError, OSError) as error:
        raise CommandError(str(error)) from None


def format_actions(actions: Iterable[object]) -> str:
    """Actions as one line."""
    return "; ".join(map(str, actions)) or "nothing"


@click.command()
@click.argument("folder", type=FOLDER)
@click.option("--until", type=int, help="Stop after this time (nanoseconds, as show prints them).")
@click.option("--since", type=int, help="Begin at the last snapshot before this time.")
@click.option("--request", default="", help="Compare only the calls about this request.")
@click.option("--jobs", type=click.IntRange(1, 256), default=1, help="So many processes, cut at the stored states.")
@click.option("--against", default="", help="Compare with the module of this revision, decision by decision.")
def replay(folder: Path, until: int | None, since: int | None, request: str, jobs: int, against: str) -> None:
    """Feed captures to the module again; exit code 1 where it decides otherwise.

    With --against, both revisions are told the same and a table shows the decisions that differ, by cause.
    """
    if jobs > 1:
        if until is not None or since is not None or request or against:
            raise CommandError(
                "--jobs replays all there is; allowed with it: no --until, --since, --request or --against"
            )
        sys.exit(_parallel(folder, jobs))
    differs = 0
    for name, files in segments_or_error(folder).items():
        reading = HistoryReader(files)
        begin = partial(seek.since, folder, reading, since) if since is not None else reading.records
        if against:
            differs += _against(name, begin(), load_module(against), until)
        else:
            differs += _again(name, begin, until, request)
        print_damage(reading.damage)
    sys.exit(1 if differs else 0)


def _parallel(folder: Path, jobs: int) -> int:
    def tell(done: int, of: int) -> None:
        if os.isatty(2):
            click.echo(f"\r{done} of {of} pieces", nl=False, err=True)

    try:
        outcomes = parallel.replay_folder(folder, jobs, tell)
    except CaptureError as error:
        raise CommandError(str(error)) from None
    differs = 0
    for name in segments_or_error(folder):
        mine = [outcome for outcome in outcomes if outcome.piece.router == name]
        calls, skipped, missing = (sum(getattr(o, what) for o in mine) for what in ("calls", "skipped", "missing"))
        click.echo(f"{name}: {calls} calls replayed in {len(mine)} pieces, {skipped} skipped, {missing} missing")
        print_damage(sorted({text for outcome in mine for text in outcome.damage}))
        if wrong := [o.difference for o in mine if o.difference is not None]:
            differs += 1
            click.echo(f"  first difference: record {min(wrong)}; replay without --jobs shows the scores behind it")
    return int(differs > 0)


def _again(name: str, begin: Callable[[], Numbered], until: int | None, request: str) -> int:
    result = again.replay_numbered(begin(), until=until, request=request)
    click.echo(f"{name}: {result.calls} calls replayed, {result.skipped} skipped, {result.missing} missing")
    if (found := result.difference) is None:
        return 0
    click.echo(f"  first difference: call {found.number} at {found.call.at}: {found.call.event}")
    click.echo(f"    captured: {format_actions(found.call.actions)}")
    click.echo(f"    now:      {format_actions(found.replayed_actions)}")
    for line in again.reasons_at(begin(), found.number):
        click.echo(f"      {line}")
    return 1


def _against(name: str, records: Numbered, module: revision.Module, until: int | None) -> int:
    bounded = ((n, r) for n, r in records if until is None or getattr(r, "at", 0) <= until)
    result = compare.compare(bounded, module)
    click.echo(f"{name}:")
    for line in compare.table(result, ("now", module.name)):
        click.echo(f"  {line}")
    return int(bool(result.changes))
