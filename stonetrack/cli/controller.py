"""Commands of the controller: run one, and show or change the leader of the fleet's work."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec

from stonetrack.cli.serve import FILE, LOG, PORT, VAR, open_log, parse_variables, stop_on_signals

if TYPE_CHECKING:
    from stonetrack.cas_store.ports import CasStore
    from stonetrack.controller.settings import ControllerSettings
    from stonetrack.election.lease import Record


@click.group()
def steward() -> None:
    """Work that is done once for the whole fleet, by one leader at a time."""


@contextmanager
def _report_errors(file: Path) -> Iterator[None]:
    """Report errors on standard error and by the exit code: 2 for the settings, 1 for the store."""
    from stonetrack.cas_store.ports import StoreError
    from stonetrack.settings import SettingsError

    try:
        yield
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    except (StoreError, OSError, msgspec.MsgspecError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(1)


@contextmanager
def _open_store(file: Path, var: tuple[str, ...]) -> Iterator[tuple[ControllerSettings, CasStore]]:
    from stonetrack.controller.service import open_store
    from stonetrack.controller.settings import load_controller_settings

    with _report_errors(file):
        settings = load_controller_settings(file, parse_variables(var))
        store = open_store(settings)
        try:
            yield settings, store
        finally:
            store.close()


@steward.command("run")
@click.argument("file", type=FILE)
@VAR
@PORT
@LOG
def run(file: Path, var: tuple[str, ...], port: int | None, log_path: Path | None) -> None:
    """Run as a candidate, and do the work while leader, until TERM; then hand over."""
    from stonetrack.controller.service import Controller, HttpEndpoint
    from stonetrack.frontend.host import listen

    stop = stop_on_signals()
    with _open_store(file, var) as (settings, store):
        listener = listen(settings.listen.host, settings.listen.port if port is None else port, settings.listen.backlog)
        log = open_log(log_path, settings.log_level)
        controller = Controller(settings, store, log.info)
        endpoint = HttpEndpoint(controller, listener, log.info)
        endpoint.start()
        controller.start()
        click.echo(f"ready http://{settings.listen.host}:{listener.getsockname()[1]}")
        sys.stdout.flush()
        stop.wait()
        controller.stop()
        endpoint.stop()


def _read_record(settings: ControllerSettings, store: CasStore) -> Record | None:
    from stonetrack.controller.service import store_key
    from stonetrack.election.lease import Record

    entry = store.read(store_key(settings.fleet, "owner"))
    return msgspec.json.decode(entry.value, type=Record) if entry.revision else None


@steward.command("who")
@click.argument("file", type=FILE)
@VAR
def who(file: Path, var: tuple[str, ...]) -> None:
    """Show the leader in the store, and whether it still renews its lease (watches for one lease at most)."""
    with _open_store(file, var) as (settings, store):
        record = _read_record(settings, store)
        if record is None:
            click.echo(f"fleet {settings.fleet}: nobody ever owned it")
            return
        end = time.monotonic() + settings.lease_s
        alive = False
        while record.owner and not alive and time.monotonic() < end:
            time.sleep(min(0.2, settings.lease_s / 10))
            now = _read_record(settings, store)
            alive = now is not None and (now.term, now.beats) != (record.term, record.beats)
            record = now or record
        paused = f", paused: {record.paused}" if record.paused else ""
        if not record.owner:  # free at the first read, or handed over meanwhile
            click.echo(f"fleet {settings.fleet}: nobody owns it, last term {record.term}{paused}")
            return
        renewal = "renews" if alive else f"has not renewed for {settings.lease_s:g} s"
        click.echo(f"fleet {settings.fleet}: {record.owner}, term {record.term}, {renewal}{paused}")


@steward.command("ls")
@click.argument("file", type=FILE)
@VAR
def ls(file: Path, var: tuple[str, ...]) -> None:
    """List the keys of the fleet in the store, a line for each."""
    from stonetrack.controller.service import store_key

    with _open_store(file, var) as (settings, store):
        prefix = store_key(settings.fleet, "")
        for key in store.keys(prefix):
            entry = store.read(key)
            click.echo(f"{key.removeprefix(prefix):<24} revision {entry.revision:<8} {len(entry.value)} bytes")


@steward.command("jobs")
@click.argument("file", type=FILE)
@VAR
def jobs(file: Path, var: tuple[str, ...]) -> None:
    """Show the journal of each job: steps done, the step that was begun, the state."""
    from stonetrack.controller.jobs import JournalEntry
    from stonetrack.controller.service import store_key

    with _open_store(file, var) as (settings, store):
        prefix = store_key(settings.fleet, "job/")
        for key in store.keys(prefix):
            entry = msgspec.json.decode(store.read(key).value, type=JournalEntry)
            begun = f", begun: {entry.begun.what}" if entry.begun is not None else ""
            name = key.removeprefix(prefix)
            click.echo(f"{name}: {entry.number} steps done, term {entry.term} of {entry.owner}{begun}")
            click.echo(f"  {msgspec.json.encode(entry.state).decode()}")


@steward.command("history")
@click.argument("file", type=FILE)
@VAR
def history(file: Path, var: tuple[str, ...]) -> None:
    """List the acquisitions of the lease, oldest first."""
    from stonetrack.controller.service import acquisitions

    with _open_store(file, var) as (settings, store):
        for line in acquisitions(store, settings.fleet)[0]:
            when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(line.at))
            click.echo(f"{when}Z  term {line.term:<6} {line.owner}")


def _change(
    file: Path, var: tuple[str, ...], change: Callable[[Record], Record], describe: Callable[[Record], str]
) -> None:
    from stonetrack.controller.service import rewrite_record

    with _open_store(file, var) as (settings, store):
        click.echo(f"fleet {settings.fleet}: {describe(rewrite_record(store, settings.fleet, change))}")


@steward.command("pause")
@click.argument("file", type=FILE)
@click.option("--why", required=True, help="Shown by who; a person's words.")
@VAR
def pause(file: Path, why: str, var: tuple[str, ...]) -> None:
    """Pause the work: the leader stops within a renewal interval, after the step under way."""
    from stonetrack.election.lease import replace_record

    _change(file, var, lambda r: replace_record(r, paused=why), lambda r: f"paused: {r.paused}")


@steward.command("resume")
@click.argument("file", type=FILE)
@click.option(
    "--past", type=click.IntRange(0), default=0,
    help="Raise the term above this one: for a register that went back (the stewards' log names the term)."
)  # fmt: skip
@VAR
def resume(file: Path, past: int, var: tuple[str, ...]) -> None:
    """End a pause; with --past, also allow the use of a store whose term went back."""
    from stonetrack.election.lease import replace_record

    def change(record: Record) -> Record:
        if past >= record.term and past:
            return replace_record(record, paused="", term=past + 1, owner="", claim="", wanted="")
        return replace_record(record, paused="")

    _change(file, var, change, lambda r: f"not paused, term {r.term}")


@steward.command("hand-over")
@click.argument("file", type=FILE)
@click.option("--to", default="*", show_default=True, help="A steward's name; * for any other.")
@VAR
def hand_over(file: Path, to: str, var: tuple[str, ...]) -> None:
    """Ask the leader to hand over within a renewal interval."""
    from stonetrack.election.lease import replace_record

    _change(file, var, lambda r: replace_record(r, wanted=to), lambda r: f"{r.owner or 'nobody'} is asked to hand over")
