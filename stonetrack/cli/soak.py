"""The command that runs randomized fault soaks."""

from __future__ import annotations

import shutil
import sys
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from stonetrack.soak.play import Size


def seeds_of(text: str) -> range:
    """The seeds of ``A:B``, B not among them; of ``A`` alone, that one.  Raises click.BadParameter."""
    first, colon, last = text.partition(":")
    if not first.isdigit() or (colon and not last.isdigit()):
        raise click.BadParameter(f"found {text!r}; allowed: A:B or A, whole numbers")
    found = range(int(first), int(last) if colon else int(first) + 1)
    if not found:
        raise click.BadParameter(f"found {text!r}; allowed: B over A")
    return found


def play_one(seed: int, size: Size, report: Path, trace: bool) -> tuple[int, str, bool]:
    """Play one seed; its line, and whether it passed.  What passed leaves no logs behind."""
    from stonetrack.soak import report as reporting
    from stonetrack.soak.play import Play, judged

    folder = report / f"seed-{seed}"
    said: list[str] = []
    try:
        result = judged(lambda: Play(seed, size, folder, trace=trace), said.append)
    except (RuntimeError, OSError) as error:
        return seed, f"seed {seed}: not played: {error}", False
    if result.passed and not trace:
        shutil.rmtree(folder, ignore_errors=True)
    else:
        reporting.write(result, size, folder)
    return seed, "\n".join([*said, reporting.line(result)]), result.passed


@click.command()
@click.option("--seeds", required=True, help="A:B, seeds from A up to but not with B.")
@click.option("--nodes", type=click.IntRange(1, 40), default=10, show_default=True, help="Node processes a seed.")
@click.option(
    "--seconds", type=click.FloatRange(4.0, 600.0), default=20.0, show_default=True, help="Length of the load."
)
@click.option("--rate", type=click.FloatRange(1.0, 500.0), default=60.0, show_default=True, help="Requests a second.")
@click.option("--jobs", type=click.IntRange(1, 16), default=1, show_default=True, help="Seeds played side by side.")
@click.option("--trace", is_flag=True, help="Nodes log every call of the router; logs of all seeds stay.")
@click.option(
    "--report", type=click.Path(file_okay=False, path_type=Path), required=True, help="Folder for what failed."
)
def soak(seeds: str, nodes: int, seconds: float, rate: float, jobs: int, trace: bool, report: Path) -> None:
    """Play fleets of real nodes under drawn faults, judged by the invariants; exit code 1 where a seed failed."""
    from stonetrack.soak.play import Size

    size = Size(nodes=nodes, seconds=seconds, rate=rate)
    wanted = seeds_of(seeds)
    report.mkdir(parents=True, exist_ok=True)
    passed = failed = 0
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        plays = [pool.submit(play_one, seed, size, report, trace) for seed in wanted]
        for play in as_completed(plays):
            seed, text, well = play.result()
            passed, failed = passed + well, failed + (not well)
            click.echo(text)
            if not well:
                click.echo(f"  see {report / f'seed-{seed}'}")
    click.echo(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)
