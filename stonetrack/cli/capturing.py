"""Commands on captures: capture ls, show, verify; replay."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path

import click

from stonetrack.capture import codec
from stonetrack.capture import replay as again
from stonetrack.capture.codec import Call, Gap, Header, State
from stonetrack.capture.recorder import SUFFIX

FOLDER = click.Path(exists=True, path_type=Path)


def segments(path: Path) -> dict[str, list[Path]]:
    """Segments by router, in order: of a folder, or one file's."""
    files = sorted(path.glob(f"*{SUFFIX}")) if path.is_dir() else [path]
    routers: dict[str, list[Path]] = {}
    for file in files:
        routers.setdefault(file.stem.rpartition("-")[0], []).append(file)
    return routers


@click.group()
def capture() -> None:
    """What the routers were told and decided, as kept on disk."""


@capture.command("ls")
@click.argument("folder", type=FOLDER)
def ls(folder: Path) -> None:
    """List routers and their segments."""
    for name, files in segments(folder).items():
        size = sum(file.stat().st_size for file in files)
        click.echo(f"{name}: {len(files)} segments, {size} bytes")
        for file in files:
            records, damage = again.read_file(file)
            calls = [record for record in records if isinstance(record, Call)]
            span = f"{(calls[-1].at - calls[0].at) / 1e9:.3f} s" if calls else "nothing"
            wrong = f"; offset {damage.offset}: {damage.text}" if damage else ""
            kept = "; kept" if file.with_suffix(".keep").exists() else ""
            click.echo(f"  {file.name}: {len(calls)} calls over {span}{kept}{wrong}")


@capture.command("verify")
@click.argument("folder", type=FOLDER)
def verify(folder: Path) -> None:
    """Read everything; exit code 1 on damage other than a tail torn by a kill."""
    bad = 0
    for files in segments(folder).values():
        for file in files:
            records, damage = again.read_file(file)
            lost = sum(record.count for record in records if isinstance(record, Gap))
            said = f"offset {damage.offset}: {damage.text}" if damage else "good"
            click.echo(f"{file.name}: {len(records)} records, {lost} calls missing; {said}")
            bad += damage is not None and not damage.text.startswith("torn")
    sys.exit(1 if bad else 0)


@capture.command("show")
@click.argument("folder", type=FOLDER)
@click.option("--request", default="", help="Only calls about this request, or that act on it.")
@click.option("--most", type=click.IntRange(1), default=1_000, show_default=True)
def show(folder: Path, request: str, most: int) -> None:
    """Print calls and what was decided."""
    for name, files in segments(folder).items():
        damage: list[str] = []
        lines = _lines(again.read(files, damage), request)
        click.echo(name)
        for _, line in zip(range(most), lines, strict=False):
            click.echo(f"  {line}")
        for text in damage:
            click.echo(f"  damage: {text}")


def _lines(records: Iterator[codec.Record], request: str) -> Iterator[str]:
    for record in records:
        if isinstance(record, Header):
            yield f"a router begins: stonetrack {record.version}, seed {record.seed}"
        elif isinstance(record, State):
            yield f"a snapshot of {len(record.data)} bytes, at {record.at}"
        elif isinstance(record, Gap):
            yield f"{record.count} calls are missing"
        else:
            about = {codec.request_of(record.event), *(getattr(a, "request", "") for a in record.actions)}
            if not request or request in about:
                yield f"{record.at} {record.event}"
                yield from (f"    {action}" for action in record.actions)


@click.command()
@click.argument("folder", type=FOLDER)
@click.option("--until", type=int, help="Stop after this time (nanoseconds, as show prints them).")
@click.option("--request", default="", help="Compare only the calls about this request.")
def replay(folder: Path, until: int | None, request: str) -> None:
    """Feed captures to the module again; exit code 1 where it decides otherwise."""
    differs = 0
    for name, files in segments(folder).items():
        damage: list[str] = []
        result = again.replay(again.read(files, damage), until=until, request=request)
        click.echo(f"{name}: {result.calls} calls replayed, {result.skipped} skipped, {result.missing} missing")
        for text in damage:
            click.echo(f"  damage: {text}")
        if (found := result.difference) is not None:
            differs += 1
            click.echo(f"  first difference: call {found.number} at {found.call.at}: {found.call.event}")
            click.echo(f"    captured: {[str(a) for a in found.call.actions]}")
            click.echo(f"    now:      {[str(a) for a in found.now]}")
    sys.exit(1 if differs else 0)
