"""Commands that run the node or the discovery service: serve, check, hash-key, lists, and instance (run by serve)."""

from __future__ import annotations

import os
import signal
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click
import msgspec

from stonetrack.settings import Node, SettingsError, load, parse

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def parse_variables(pairs: tuple[str, ...]) -> dict[str, str]:
    """Return Jsonnet variables from NAME=VALUE pairs.  Raises BadParameter."""
    result = {}
    for pair in pairs:
        name, equals, value = pair.partition("=")
        if not equals or not name:
            raise click.BadParameter(f"{pair!r}; allowed: NAME=VALUE", param_hint="--var")
        result[name] = value
    return result


PORT = click.option("--port", type=click.IntRange(0, 65535), help="Instead of the file's port; 0 takes a free one.")
LOG = click.option(
    "--log", "log_path", type=click.Path(dir_okay=False, path_type=Path), help="JSON log; standard error by default."
)
VAR = click.option("--var", "var", multiple=True, metavar="NAME=VALUE", help="A Jsonnet variable (std.extVar).")


def stop_on_signals() -> threading.Event:
    """Return an event that TERM and INT set."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    return stop


def open_log(path: Path | None, level: str) -> Any:
    """Return a logger that writes to a file, or to standard error."""
    from stonetrack.daemon.logging_setup import configure_logging

    return configure_logging(level, open(path, "a", buffering=1) if path else None)  # noqa: SIM115  (stays open until the process exits)


def load_or_exit(path: Path, var: dict[str, str]) -> Node:
    """Load settings; if they are invalid, print the errors to standard error and exit with code 2."""
    try:
        return load(path, var)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(f"{error.where}: {problem}", err=True)
        sys.exit(2)


@click.command()
@click.argument("file", type=FILE)
@VAR
@click.option("--show", is_flag=True, help="Print the settings as they are in force, defaults included.")
def check(file: Path, var: tuple[str, ...], show: bool) -> None:
    """Evaluate and check a settings file."""
    settings = load_or_exit(file, parse_variables(var))
    if show:
        click.echo(msgspec.json.format(msgspec.json.encode(settings), indent=2).decode())
    else:
        click.echo(
            f"{file}: good: {len(settings.models)} models, {len(settings.classes)} classes, "
            f"{len(settings.kinds)} kinds, {len(settings.tenants)} tenants"
        )


@click.command("hash-key")
@click.argument("key", required=False)
def hash_key(key: str | None) -> None:
    """Print the hash of an API key for the settings (asks for the key where none is given)."""
    from stonetrack.frontend.auth import key_hash

    click.echo(key_hash(key or click.prompt("key", hide_input=True, err=True)))


@click.command()
@click.argument("file", type=FILE)
@VAR
@click.option("--instances", type=click.IntRange(1, 256), default=1, show_default=True, help="Processes on the port.")
@PORT
@LOG
def serve(file: Path, var: tuple[str, ...], instances: int, port: int | None, log_path: Path | None) -> None:
    """Run the node until TERM; HUP reads the settings again."""
    given = parse_variables(var)
    settings = load_or_exit(file, given)
    if port is not None:
        settings = msgspec.structs.replace(settings, listen=msgspec.structs.replace(settings.listen, port=port))
    sys.exit(run_supervisor(file, settings, instances, log_path, given))


def run_supervisor(
    file: Path, settings: Node, instances: int, log_path: Path | None, given: dict[str, str], ready_text: str = ""
) -> int:
    """Serve until TERM; return the exit code."""
    from stonetrack.daemon.supervisor import Supervisor

    log = open_log(log_path, settings.log_level)
    try:
        supervisor = Supervisor(file, settings, instances, log, log_path, given)
    except OSError as error:
        click.echo(f"can't listen on {settings.listen.host}:{settings.listen.port}: {error}", err=True)
        return 2

    def ready() -> None:
        click.echo(f"ready {supervisor.url}")
        if ready_text:
            click.echo(ready_text)
        sys.stdout.flush()

    return supervisor.run(ready)


@click.command(hidden=True)
@click.option("--listener", type=int, required=True)
@click.option("--lifeline", type=int, required=True)
@click.option("--status", type=int, required=True)
@click.option("--index", type=int, required=True)
@click.option("--instances", type=int, required=True)
@click.option("--name", required=True)
def instance(listener: int, lifeline: int, status: int, index: int, instances: int, name: str) -> None:
    """One instance; started by serve."""
    from stonetrack.daemon.instance import Instance
    from stonetrack.daemon.logging_setup import configure_logging
    from stonetrack.daemon.supervisor import inherited_listener, read_settings

    stop = stop_on_signals()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # handled by the supervisor
    first = read_settings(lifeline)
    if first is None:
        sys.exit(1)
    settings = parse(first)
    log = configure_logging(settings.log_level)
    # Threads release the interpreter lock at every socket call, and each waiting thread wakes up once per interval to
    # request it.  At the default of 5 ms and with thousands of waiting threads, these wake-ups alone used 7 cores.
    sys.setswitchinterval(0.05)
    running = Instance(settings, inherited_listener(listener), index=index, instances=instances, log=log, name=name,
                       restart=stop.set)  # fmt: skip
    running.start()

    def apply_settings() -> None:
        while (data := read_settings(lifeline)) is not None:
            try:
                running.reload(parse(data))
            except Exception as error:  # the supervisor has checked them; a defect must not end service
                log.error("reload failed, nothing changed", error=f"{type(error).__name__}: {error}")
        stop.set()  # the supervisor is gone

    threading.Thread(target=apply_settings, name="lifeline", daemon=True).start()
    os.write(status, b"ready\n")
    stop.wait()
    clean = running.drain(running.settings.timing.drain_ms / 1000.0)
    running.stop()
    os._exit(0 if clean else 1)  # does not wait for threads of unfinished requests


S = TypeVar("S", bound=Any)


def run_service(
    file: Path, port: int | None, log_path: Path | None, load: Callable[[], S], run: Callable[..., None],
    state_error: type[Exception], path: str = "",
) -> None:  # fmt: skip
    """Run a service of the fleet until TERM; print ``ready URL`` once it serves.

    Exits with code 2 if the settings, the listening address or the state folder can't be used.  ``run`` is called with
    the settings, the listener, a log function, a function to call when ready, and the event that ends the service; it
    raises ``state_error`` for an unusable state folder.
    """
    from stonetrack.frontend.host import listen

    stop = stop_on_signals()
    try:
        settings = load()
        address = settings.listen
        listener = listen(address.host, address.port if port is None else port, address.backlog)
        log = open_log(log_path, settings.log_level)
        url = f"http://{address.host}:{listener.getsockname()[1]}{path}"
        run(settings, listener, log.info, lambda: click.echo(f"ready {url}"), stop)
    except OSError as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(2)
    except (SettingsError, state_error) as error:
        click.echo(str(error), err=True)
        sys.exit(2)


@click.command()
@click.argument("file", type=FILE)
@VAR
@PORT
@LOG
def lists(file: Path, var: tuple[str, ...], port: int | None, log_path: Path | None) -> None:
    """Run the list service until TERM: it tells all nodes which engines there are."""
    from stonetrack.discovery.service import PATH, run
    from stonetrack.discovery.settings import load_discovery_settings
    from stonetrack.discovery.state_file import StateFileError

    run_service(
        file, port, log_path, lambda: load_discovery_settings(file, parse_variables(var)), run, StateFileError, PATH
    )
