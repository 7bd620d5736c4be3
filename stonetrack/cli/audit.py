"""Commands of the audit: collect nodes' accounts, what they say, and how complete that is."""

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
    """Which node decided on which version: accounts of nodes (their audit.dir), read where they are."""


def _accounts(folders: tuple[Path, ...]) -> dict[str, ChainReading]:
    from stonetrack.audit.log_writer import node_names, read_log
    from stonetrack.audit.store import Store

    found = {name: read_log(folder, name) for folder in folders for name in node_names(folder)}
    for folder in folders:
        if Store.there(folder):
            store = Store(folder, readonly=True)
            found |= {name.partition("/")[2]: store.account(name) for name in store.nodes()}
            store.close()
    if not found:
        click.echo(f"{', '.join(map(str, folders))}: no accounts (NAME-NUMBER.account, or a collector's)", err=True)
        sys.exit(2)
    return found


def _when(at: int) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(at / 1e9)) + f".{at // 1_000_000 % 1_000:03d}Z"


def _version(acting: ActingVersion) -> str:
    return f"list {acting.version} of {acting.origin or '-'}, settings {acting.settings}, module {acting.module}"


def _known(accounts: dict[str, ChainReading], until: int = 0) -> None:
    """What the answers rest on."""
    from stonetrack.audit.queries import known

    click.echo(str(known(accounts, until)))


def _time(text: str) -> int:
    """Nanoseconds of Unix time from ``YYYY-MM-DD HH:MM:SS`` (UTC) or seconds."""
    with contextlib.suppress(ValueError):
        return int(float(text) * 1e9)
    try:
        return calendar.timegm(time.strptime(text.removesuffix("Z"), "%Y-%m-%d %H:%M:%S")) * 1_000_000_000
    except ValueError:
        raise click.BadParameter(f"{text!r}; allowed: 'YYYY-MM-DD HH:MM:SS' (UTC), or Unix seconds") from None


@audit.command("verify")
@FOLDERS
def verify(folders: tuple[Path, ...]) -> None:
    """Follow every chain; exit code 1 where one is not whole."""
    accounts = _accounts(folders)
    for name, read in sorted(accounts.items()):
        until = _when(read.spans[-1].ended) if read.spans else "nothing"
        click.echo(f"{name}: {len(read.spans)} spans, until {until}")
        for finding in read.findings:
            click.echo(f"  line {finding.line}: {finding.wrong.value}")
    _known(accounts)
    sys.exit(0 if all(read.intact for read in accounts.values()) else 1)


@audit.command("node")
@click.argument("name")
@FOLDERS
def node(name: str, folders: tuple[Path, ...]) -> None:
    """One node's spans, oldest first."""
    accounts = _accounts(folders)
    if name not in accounts:
        click.echo(f"no account of {name!r}; there are: {', '.join(sorted(accounts)[:20])}", err=True)
        sys.exit(2)
    for span in accounts[name].spans:
        counts = ", ".join(f"{what} {count}" for what, count in sorted(span.counts.items())) or "nothing"
        click.echo(f"{_when(span.began)} to {_when(span.ended)}  {_version(span.acting)}: {counts}")
    _known({name: accounts[name]})


@audit.command("who")
@click.option("--version", type=int, required=True, help="Of the list.")
@FOLDERS
def who(version: int, folders: tuple[Path, ...]) -> None:
    """The nodes that decided anything on a version of the list, and when."""
    from stonetrack.audit import queries

    accounts = _accounts(folders)
    for name, mine in sorted(queries.who(accounts, version).items()):
        total = sum(sum(span.counts.values()) for span in mine)
        click.echo(f"{name}: {total} decisions, {_when(mine[0].began)} to {_when(mine[-1].ended)}")
    _known(accounts)


@audit.command("at")
@click.argument("moment")
@FOLDERS
def at(moment: str, folders: tuple[Path, ...]) -> None:
    """What each node decided on at a MOMENT, by its own clock."""
    from stonetrack.audit import queries

    accounts, when = _accounts(folders), _time(moment)
    for name, spans in sorted(queries.at(accounts, when).items()):
        for span in spans:
            click.echo(f"{name}: {_version(span.acting)}")
        if not spans:
            click.echo(f"{name}: no span")
    _known(accounts, when)


@audit.command("stale-nodes")
@click.option("--version", type=int, required=True, help="Of the list, that all should decide on.")
@click.option("--since", default="0", help="A moment from which they should.")
@FOLDERS
def stale_nodes(version: int, since: str, folders: tuple[Path, ...]) -> None:
    """Nodes that decided on an older version of the list after a moment; exit code 1 where there are any."""
    from stonetrack.audit import queries

    accounts, moment = _accounts(folders), _time(since)
    late = queries.stale_nodes(accounts, version, moment)
    for name, span in sorted(late.items()):
        click.echo(f"{name}: still list {span.acting.version}, until {_when(span.ended)}")
    _known(accounts, moment)
    sys.exit(1 if late else 0)


@audit.command("stragglers", hidden=True, context_settings={"ignore_unknown_options": True})
@click.argument("rest", nargs=-1, type=click.UNPROCESSED)
def stragglers(rest: tuple[str, ...]) -> None:
    """Refuse the command's earlier name."""
    raise click.UsageError("stragglers: renamed; allowed: stonetrack audit stale-nodes")


@audit.command("diff")
@click.argument("one", type=int)
@click.argument("two", type=int)
@FOLDERS
def diff(one: int, two: int, folders: tuple[Path, ...]) -> None:
    """Shares of what was decided under two versions of the list."""
    from stonetrack.audit import queries

    accounts = _accounts(folders)
    for name, (before, after) in queries.difference(accounts, one, two).items():
        click.echo(f"{name:<12} {before:8.4f} {after:8.4f} {after - before:+8.4f}")
    _known(accounts)


@audit.command("export")
@FOLDERS
def export(folders: tuple[Path, ...]) -> None:
    """All spans as JSON lines, each with its node, without the filters."""
    for name, read in sorted(_accounts(folders).items()):
        for span in read.spans:
            told = msgspec.to_builtins(msgspec.structs.replace(span, requests=""))
            click.echo(msgspec.json.encode({"node": name, **told}).decode())


@audit.command("page")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), required=True)
@FOLDERS
def page(out: Path, folders: tuple[Path, ...]) -> None:
    """Write a page of the fleet over time: one row a node, colour by version, gaps hatched."""
    from stonetrack.audit.page import write_page

    accounts = _accounts(folders)
    write_page(accounts, out)
    click.echo(f"report {out}")
    _known(accounts)


@audit.command("collect")
@click.argument("file", type=FILE)
@VAR
@LOG
def collect(file: Path, var: tuple[str, ...], log_path: Path | None) -> None:
    """Collect the accounts of all nodes that FILE names, until TERM."""
    import lmdb

    from stonetrack.audit.collector import Collector
    from stonetrack.audit.settings import load_collect
    from stonetrack.audit.store import Store
    from stonetrack.settings import SettingsError

    stop = stop_on_signals()
    try:
        settings = load_collect(file, parse_variables(var))
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
    """The spans that may hold a request.  A filter never misses one that is there, and names 1 in 100 that is not."""
    accounts = _accounts(folders)
    found: list[tuple[str, Span]] = [
        (name, span) for name, read in sorted(accounts.items()) for span in read.spans if span.may_contain(request)
    ]
    for name, span in found:
        click.echo(f"{name}: {_when(span.began)} to {_when(span.ended)}  {_version(span.acting)}")
    if not found:
        click.echo(f"{request}: in no span that was written")
    _known(accounts)
