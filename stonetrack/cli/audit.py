"""Commands of the audit: collect nodes' audit logs, query them, and show how complete the answers are."""

from __future__ import annotations

import calendar
import contextlib
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec

from stonetrack.cli.serve import FILE, LOG, VAR, open_log, parse_variables, stop_on_signals

if TYPE_CHECKING:
    from stonetrack.audit.audit_log import ActingVersion, Span
    from stonetrack.audit.hash_chain import ChainReading

FOLDERS = click.argument(
    "folders", nargs=-1, required=True, type=click.Path(exists=True, file_okay=False, path_type=Path)
)


@click.group()
def audit() -> None:
    """Which node made decisions with which version: audit logs of nodes (audit.dir) or of a collector."""


def _read_logs(folders: tuple[Path, ...]) -> dict[str, ChainReading]:
    from stonetrack.audit.log_writer import node_names, read_log
    from stonetrack.audit.store import Store

    found = {name: read_log(folder, name) for folder in folders for name in node_names(folder)}
    for folder in folders:
        if Store.exists(folder):
            store = Store(folder, readonly=True)
            found |= {name.partition("/")[2]: store.read_log(name) for name in store.nodes()}
            store.close()
    if not found:
        click.echo(f"{', '.join(map(str, folders))}: no audit logs (NAME-NUMBER.account, or a collector's)", err=True)
        sys.exit(2)
    return found


def _format_time(at: int) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(at / 1e9)) + f".{at // 1_000_000 % 1_000:03d}Z"


def _format_version(acting: ActingVersion) -> str:
    return f"list {acting.version} of {acting.origin or '-'}, settings {acting.settings}, module {acting.module}"


def _print_coverage(logs: dict[str, ChainReading], until: int = 0) -> None:
    """Print how complete the answers are."""
    from stonetrack.audit.queries import coverage

    click.echo(str(coverage(logs, until)))


def _parse_time(text: str) -> int:
    """Return nanoseconds of Unix time from ``YYYY-MM-DD HH:MM:SS`` (UTC) or seconds."""
    with contextlib.suppress(ValueError):
        return int(float(text) * 1e9)
    try:
        return calendar.timegm(time.strptime(text.removesuffix("Z"), "%Y-%m-%d %H:%M:%S")) * 1_000_000_000
    except ValueError:
        raise click.BadParameter(f"{text!r}; allowed: 'YYYY-MM-DD HH:MM:SS' (UTC), or Unix seconds") from None


@audit.command("verify")
@FOLDERS
def verify(folders: tuple[Path, ...]) -> None:
    """Check every hash chain; exit code 1 if one is not intact."""
    logs = _read_logs(folders)
    for name, read in sorted(logs.items()):
        until = _format_time(read.spans[-1].ended) if read.spans else "nothing"
        click.echo(f"{name}: {len(read.spans)} spans, until {until}")
        for finding in read.findings:
            click.echo(f"  line {finding.line}: {finding.defect.value}")
    _print_coverage(logs)
    sys.exit(0 if all(read.intact for read in logs.values()) else 1)


@audit.command("node")
@click.argument("name")
@FOLDERS
def node(name: str, folders: tuple[Path, ...]) -> None:
    """List a node's spans, oldest first."""
    logs = _read_logs(folders)
    if name not in logs:
        click.echo(f"no audit log of {name!r}; there are: {', '.join(sorted(logs)[:20])}", err=True)
        sys.exit(2)
    for span in logs[name].spans:
        counts = ", ".join(f"{action} {count}" for action, count in sorted(span.counts.items())) or "nothing"
        click.echo(
            f"{_format_time(span.began)} to {_format_time(span.ended)}  {_format_version(span.acting)}: {counts}"
        )
    _print_coverage({name: logs[name]})


@audit.command("who")
@click.option("--version", type=int, required=True, help="Version of the server list.")
@FOLDERS
def who(version: int, folders: tuple[Path, ...]) -> None:
    """List the nodes that made decisions with a version of the server list, and when."""
    from stonetrack.audit import queries

    logs = _read_logs(folders)
    for name, spans in sorted(queries.spans_of_version(logs, version).items()):
        total = sum(sum(span.counts.values()) for span in spans)
        click.echo(f"{name}: {total} decisions, {_format_time(spans[0].began)} to {_format_time(spans[-1].ended)}")
    _print_coverage(logs)


@audit.command("at")
@click.argument("moment")
@FOLDERS
def at(moment: str, folders: tuple[Path, ...]) -> None:
    """List the versions that each node made decisions with at a MOMENT, by its own clock."""
    from stonetrack.audit import queries

    logs, time_ns = _read_logs(folders), _parse_time(moment)
    for name, spans in sorted(queries.spans_at(logs, time_ns).items()):
        for span in spans:
            click.echo(f"{name}: {_format_version(span.acting)}")
        if not spans:
            click.echo(f"{name}: no span")
    _print_coverage(logs, time_ns)


@audit.command("stale-nodes")
@click.option("--version", type=int, required=True, help="Version of the server list that all nodes should use.")
@click.option("--since", default="0", help="Moment from which they should.")
@FOLDERS
def stale_nodes(version: int, since: str, folders: tuple[Path, ...]) -> None:
    """List nodes that used an older version of the server list after a moment; exit code 1 if there are any."""
    from stonetrack.audit import queries

    logs, moment = _read_logs(folders), _parse_time(since)
    stale = queries.stale_nodes(logs, version, moment)
    for name, span in sorted(stale.items()):
        click.echo(f"{name}: still list {span.acting.version}, until {_format_time(span.ended)}")
    _print_coverage(logs, moment)
    sys.exit(1 if stale else 0)


@audit.command("stragglers", hidden=True, context_settings={"ignore_unknown_options": True})
@click.argument("rest", nargs=-1, type=click.UNPROCESSED)
def stragglers(rest: tuple[str, ...]) -> None:
    """Refuse the earlier name of the command."""
    raise click.UsageError("stragglers: renamed; allowed: stonetrack audit stale-nodes")


@audit.command("diff")
@click.argument("one", type=int)
@click.argument("two", type=int)
@FOLDERS
def diff(one: int, two: int, folders: tuple[Path, ...]) -> None:
    """Compare the shares of decisions by action under two versions of the server list."""
    from stonetrack.audit import queries

    logs = _read_logs(folders)
    for name, (before, after) in queries.action_shares(logs, one, two).items():
        click.echo(f"{name:<12} {before:8.4f} {after:8.4f} {after - before:+8.4f}")
    _print_coverage(logs)


@audit.command("export")
@FOLDERS
def export(folders: tuple[Path, ...]) -> None:
    """Print all spans as JSON lines, each with its node, without the request filters."""
    for name, read in sorted(_read_logs(folders).items()):
        for span in read.spans:
            fields = msgspec.to_builtins(msgspec.structs.replace(span, requests=""))
            click.echo(msgspec.json.encode({"node": name, **fields}).decode())


@audit.command("page")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), required=True)
@FOLDERS
def page(out: Path, folders: tuple[Path, ...]) -> None:
    """Write an HTML page of the fleet over time: one row per node, coloured by version, gaps hatched."""
    from stonetrack.audit.page import write_page

    logs = _read_logs(folders)
    write_page(logs, out)
    click.echo(f"report {out}")
    _print_coverage(logs)


@audit.command("collect")
@click.argument("file", type=FILE)
@VAR
@LOG
def collect(file: Path, var: tuple[str, ...], log_path: Path | None) -> None:
    """Collect the audit logs of all nodes that FILE names, until TERM."""
    import lmdb

    from stonetrack.audit.collector import Collector
    from stonetrack.audit.settings import load_collector_settings
    from stonetrack.audit.store import Store
    from stonetrack.settings import SettingsError

    stop = stop_on_signals()
    try:
        settings = load_collector_settings(file, parse_variables(var))
        store = Store(Path(settings.store))
    except (SettingsError, lmdb.Error, OSError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(2)
    log = open_log(log_path, settings.log_level)
    collector = Collector(settings, store, log.info)
    collector.start()
    click.echo("ready collecting")
    sys.stdout.flush()
    stop.wait()
    collector.stop()
    store.close()


@audit.command("request")
@click.argument("request")
@FOLDERS
def request(request: str, folders: tuple[Path, ...]) -> None:
    """List the spans that may contain a request.

    Spans that contain it are always listed; one of 10,000 other requests is listed with probability 2e-6."""
    logs = _read_logs(folders)
    found: list[tuple[str, Span]] = [
        (name, span) for name, read in sorted(logs.items()) for span in read.spans if span.may_contain(request)
    ]
    for name, span in found:
        click.echo(f"{name}: {_format_time(span.began)} to {_format_time(span.ended)}  {_format_version(span.acting)}")
    if not found:
        click.echo(f"{request}: in no span that was written")
    _print_coverage(logs)
