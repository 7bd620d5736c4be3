"""Commands that read captures: ls, show, verify, explain, replay.  Those that change a folder are in
:mod:`.capture_changes`."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from pathlib import Path

import click

from stonetrack.capture import compare, explain, history, parallel, revision, seek
from stonetrack.capture import replay as replaying
from stonetrack.capture.codec import Call, CaptureError, Gap, Header, Record, State
from stonetrack.capture.history import HistoryReader
from stonetrack.capture.index import requests_of
from stonetrack.capture.journal import SEGMENT_SUFFIX
from stonetrack.capture.store import Store

FOLDER = click.Path(exists=True, path_type=Path)
NumberedRecords = Iterable[tuple[int, Record]]


class CommandError(click.ClickException):
    """An error message without a traceback; exit code 2."""

    exit_code = 2


def segments_or_error(path: Path) -> dict[str, list[Path]]:
    """Segments by router.  Raises CommandError if there are none."""
    found = history.segments_by_router(path)
    if not found:
        raise CommandError(f"{path}: no segments (*{SEGMENT_SUFFIX}) here")
    return found


def print_damage(damage: list[str]) -> None:
    """Print the defects of the files."""
    for text in damage:
        click.echo(f"  damage: {text}")


@click.group()
def capture() -> None:
    """Captures: the events that routers received and their decisions, on disk."""


@capture.command("ls")
@click.argument("folder", type=FOLDER)
def ls(folder: Path) -> None:
    """List routers and their segments, by the index if there is one."""
    try:
        store = Store.open_existing(folder) if folder.is_dir() else None
    except CaptureError as error:
        raise CommandError(str(error)) from None
    kept = store.kept_segments() if store else {}
    for name, files in segments_or_error(folder).items():
        size = sum(file.stat().st_size for file in files)
        click.echo(f"{name}: {len(files)} segments, {size} bytes")
        for file in files:
            index = (store.index_of(file) if store else None) or seek.index_file(file)[0]
            span = f"{(int(index.ended[-1]) - int(index.began[0])) / 1e9:.3f} s" if index.calls else "nothing"
            lost = f"; {index.lost} missing" if index.lost else ""
            kept_note = f"; kept: {kept[file.name]}" if file.name in kept else ""
            click.echo(f"  {file.name}: {index.calls} calls over {span}{lost}{kept_note}")
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
    """Read all records; exit code 1 on damage other than a tail torn by a kill."""
    damaged_routers = 0
    for name, files in segments_or_error(folder).items():
        reading = HistoryReader(files)
        records = lost = 0
        for _, record in reading:
            records += 1
            lost += record.count if isinstance(record, Gap) else 0
        click.echo(f"{name}: {records} records, {lost} missing; {'damaged' if reading.damage else 'good'}")
        print_damage(reading.damage)
        damaged_routers += len(reading.damage) > reading.torn_tails
    sys.exit(1 if damaged_routers else 0)


@capture.command("show")
@click.argument("folder", type=FOLDER)
@click.option("--request", default="", help="Only calls about this request, or that act on it.")
@click.option("--most", type=click.IntRange(1), default=1_000, show_default=True)
def show(folder: Path, request: str, most: int) -> None:
    """Print calls and the actions that the router returned."""
    for name, files in segments_or_error(folder).items():
        reading = HistoryReader(files)
        found = reading.records() if not request else seek.about(folder, reading, request)
        click.echo(name)
        for _, line in zip(range(most), _lines(found, request), strict=False):
            click.echo(f"  {line}")
        print_damage(reading.damage)


def _lines(records: NumberedRecords, request: str) -> Iterator[str]:
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
@click.option("--at", "revision_name", default="now", help="Explain the decisions of this revision of the module.")
def explain_request(folder: Path, request: str, revision_name: str) -> None:
    """Explain the decisions about REQUEST: the router's data, each candidate's scores, the exceptions that applied."""
    module = load_module(revision_name)
    cls, reasons = explain.traced(module.logic.Router)
    shown = 0

    def print_call(number: int, call: Call, router: object) -> None:
        nonlocal shown
        if request in requests_of(call):
            shown += 1
            click.echo(f"{number} at {call.at}: {call.event}")
            relevant = [r for r in reasons if r.request in (request, "")]
            for line in explain.lines(relevant):
                click.echo(f"    {line}")
            for action in call.actions:
                click.echo(f"    -> {action}")
        reasons.clear()

    for name, files in segments_or_error(folder).items():
        reading = HistoryReader(files)
        found = seek.about(folder, reading, request, whole=True)
        before = shown
        result = replaying.replay_numbered(
            found,
            partial(module.make, cls=cls),
            on_call=print_call,
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
@click.option("--since", type=int, help="Start from the last snapshot before this time.")
@click.option("--request", default="", help="Compare only the calls about this request.")
@click.option(
    "--jobs", type=click.IntRange(1, 256), default=1, help="Number of processes; the history is split at stored states."
)
@click.option("--against", default="", help="Compare with the module of this revision, decision by decision.")
def replay(folder: Path, until: int | None, since: int | None, request: str, jobs: int, against: str) -> None:
    """Replay captures with this module; exit code 1 if a decision differs.

    With --against, two revisions receive the same events, and a table shows the decisions that differ, by cause.
    """
    if jobs > 1:
        if until is not None or since is not None or request or against:
            raise CommandError(
                "--jobs replays all there is; allowed with it: no --until, --since, --request or --against"
            )
        sys.exit(_replay_parallel(folder, jobs))
    differing_routers = 0
    for name, files in segments_or_error(folder).items():
        reading = HistoryReader(files)
        read_records = partial(seek.since, folder, reading, since) if since is not None else reading.records
        if against:
            differing_routers += _compare_router(name, read_records(), load_module(against), until)
        else:
            differing_routers += _replay_router(name, read_records, until, request)
        print_damage(reading.damage)
    sys.exit(1 if differing_routers else 0)


def _replay_parallel(folder: Path, jobs: int) -> int:
    def print_progress(done: int, of: int) -> None:
        if os.isatty(2):
            click.echo(f"\r{done} of {of} pieces", nl=False, err=True)

    try:
        results = parallel.replay_folder(folder, jobs, print_progress)
    except CaptureError as error:
        raise CommandError(str(error)) from None
    differing_routers = 0
    for name in segments_or_error(folder):
        router_results = [result for result in results if result.piece.router == name]
        calls, skipped, missing = (
            sum(getattr(o, what) for o in router_results) for what in ("calls", "skipped", "missing")
        )
        click.echo(
            f"{name}: {calls} calls replayed in {len(router_results)} pieces, {skipped} skipped, {missing} missing"
        )
        print_damage(sorted({text for result in router_results for text in result.damage}))
        if differences := [o.difference for o in router_results if o.difference is not None]:
            differing_routers += 1
            click.echo(
                f"  first difference: record {min(differences)}; replay without --jobs shows the scores behind it"
            )
    return int(differing_routers > 0)


def _replay_router(name: str, read_records: Callable[[], NumberedRecords], until: int | None, request: str) -> int:
    result = replaying.replay_numbered(read_records(), until=until, request=request)
    click.echo(f"{name}: {result.calls} calls replayed, {result.skipped} skipped, {result.missing} missing")
    if (found := result.difference) is None:
        return 0
    click.echo(f"  first difference: call {found.number} at {found.call.at}: {found.call.event}")
    click.echo(f"    captured: {format_actions(found.call.actions)}")
    click.echo(f"    now:      {format_actions(found.replayed_actions)}")
    for line in replaying.reasons_at(read_records(), found.number):
        click.echo(f"      {line}")
    return 1


def _compare_router(name: str, records: NumberedRecords, module: revision.Module, until: int | None) -> int:
    bounded = ((n, r) for n, r in records if until is None or getattr(r, "at", 0) <= until)
    result = compare.compare(bounded, module)
    click.echo(f"{name}:")
    for line in compare.table(result, ("now", module.name)):
        click.echo(f"  {line}")
    return int(bool(result.changes))
