"""Commands to try out the node with emulated engines: standin, standin-etcd, demo, day."""

from __future__ import annotations

import os
import sys
import tempfile
from pathlib import Path

import click
import msgspec

from stonetrack.cli.serve import FILE, load_or_exit, run_supervisor, stop_on_signals

DEMO = Path(__file__).parent / "demo.jsonnet"


@click.command()
@click.argument("file", type=FILE, required=False)
@click.option("--readers", type=click.IntRange(0, 500), default=4, show_default=True)
@click.option("--writers", type=click.IntRange(0, 500), default=4, show_default=True)
@click.option("--mixed", type=click.IntRange(0, 500), default=0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--port", type=click.IntRange(0, 65535), default=0, help="Port of the discovery and control service.")
@click.option("--log", "log_path", type=click.Path(dir_okay=False, path_type=Path), help="File for the traffic log.")
def standin(
    file: Path | None, readers: int, writers: int, mixed: int, seed: int, port: int, log_path: Path | None
) -> None:
    """Run engine emulators and their discovery service until TERM.

    FILE is a JSON or Jsonnet fleet; without one, the options set the number of prefill (readers), decode (writers)
    and mixed engines.
    """
    from stonetrack.emulator.host import Fleet, Host, run_process, small_fleet
    from stonetrack.settings import SettingsError, evaluate

    try:
        if file is not None:
            fleet = msgspec.json.decode(evaluate(file), type=Fleet, strict=True)
        else:
            fleet = Fleet(engines=small_fleet(readers, writers, mixed), seed=seed)
    except (msgspec.DecodeError, SettingsError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(2)

    def ready(host: Host) -> None:
        click.echo(f"ready {host.list_url}")
        sys.stdout.flush()

    run_process(fleet, log_path, port, ready)


@click.command("standin-etcd")
@click.option("--port", type=click.IntRange(0, 65535), default=0)
@click.option("--state", type=click.Path(dir_okay=False, path_type=Path), help="File that persists the keys.")
def standin_etcd(port: int, state: Path | None) -> None:
    """Run an emulator of etcd's JSON gateway with fault injection until TERM."""
    from stonetrack.emulator.etcd import Gateway
    from stonetrack.frontend.host import listen

    stop = stop_on_signals()
    listener = listen("127.0.0.1", port, 128)
    gateway = Gateway(listener, lambda text: click.echo(text, err=True), state)
    gateway.start()
    click.echo(f"ready http://127.0.0.1:{listener.getsockname()[1]}")
    sys.stdout.flush()
    stop.wait()
    gateway.stop()


@click.command()
@click.option("--port", type=click.IntRange(0, 65535), default=8080, show_default=True)
@click.option("--instances", type=click.IntRange(1, 64), default=2, show_default=True)
def demo(port: int, instances: int) -> None:
    """Run two instances and eight engine emulators until TERM or Ctrl-C.  Serves the model demo to any key."""
    from stonetrack.fleet.processes import program

    folder = Path(tempfile.mkdtemp(prefix="stonetrack-demo-"))
    log_path, shown_port = folder / "node.log", port or "PORT"
    text = (
        f"curl -N http://127.0.0.1:{shown_port}/v1/chat/completions -H 'Content-Type: application/json' "
        """-d '{"model": "demo", "stream": true, """
        """"messages": [{"role": "user", "content": "Where can I charge?"}]}'"""
        f"\nlog {log_path}"
    )
    with program("standin", "--readers", "4", "--writers", "4", "--log", str(folder / "engines.log")) as engines:
        variables = {"list_url": engines.url, "port": str(port), "state_dir": str(folder / "state")}
        settings = load_or_exit(DEMO, variables)
        code = run_supervisor(DEMO, settings, instances, log_path, variables, text)
    sys.exit(code)


@click.group()
def day() -> None:
    """Fault scenarios: run one against real nodes and check it, or make one from a bench day."""


@day.command("run")
@click.argument("file", type=FILE)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--report",
    type=click.Path(file_okay=False, path_type=Path),
    required=True,
    help="Folder for logs and report.",
)
@click.option("--quiet", is_flag=True, help="Show no progress.")
def day_run(file: Path, seed: int, report: Path, quiet: bool) -> None:
    """Run a scenario and check the five rules against the traffic logs; exit code 1 if a rule is broken."""
    from stonetrack.scenario.run import run_scenario

    sys.exit(run_scenario(file, seed, report, progress=not quiet and os.isatty(2)))


@day.command("from-bench")
@click.argument("file", type=FILE)
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    help="File for the scenario; standard output by default.",
)
@click.option("--engines", type=click.IntRange(2, 500), default=12, show_default=True)
@click.option("--instances", type=click.IntRange(1, 64), default=3, show_default=True)
@click.option("--seconds", type=click.FloatRange(1, 3_600), default=30.0, show_default=True)
@click.option(
    "--rate", type=click.FloatRange(0.1, 10_000), default=60.0, show_default=True, help="Requests per second."
)
def day_from_bench(file: Path, out: Path | None, engines: int, instances: int, seconds: float, rate: float) -> None:
    """Convert the faults of a bench day (JSON) into a scenario for the real node."""
    from stonetrack.scenario.bench import BenchError, convert

    try:
        scenario, left_out = convert(
            file.read_bytes(), engines=engines, instances=instances, seconds=seconds, rate=rate
        )
    except BenchError as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(2)
    text = msgspec.json.format(msgspec.json.encode(scenario), indent=2).decode() + "\n"
    if out is None:
        click.echo(text, nl=False)
    else:
        out.write_text(text, "utf-8")
    for each in left_out:
        click.echo(f"not converted: {each}", err=True)
