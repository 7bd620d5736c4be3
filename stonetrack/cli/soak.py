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
    from stonetrack.soak.run import RunSize


def parse_seeds(text: str) -> range:
    """The seeds of ``A:B`` (B excluded) or the single seed ``A``.  Raises click.BadParameter."""
    first, colon, last = text.partition(":")
    if not first.isdigit() or (colon and not last.isdigit()):
        raise click.BadParameter(f"found {text!r}; allowed: A:B or A, whole numbers")
    found = range(int(first), int(last) if colon else int(first) + 1)
    if not found:
        raise click.BadParameter(f"found {text!r}; allowed: B over A")
    return found


def run_seed(seed: int, size: RunSize, report: Path, trace: bool) -> tuple[int, str, bool]:
    """Run one seed; return its number, its report lines and whether it passed.  A passed seed's logs are removed."""
    from stonetrack.soak import report as reporting
    from stonetrack.soak.run import SeedRun, run_with_retries

    folder = report / f"seed-{seed}"
    messages: list[str] = []
    try:
        result = run_with_retries(lambda: SeedRun(seed, size, folder, trace=trace), messages.append)
    except (RuntimeError, OSError) as error:
        return seed, f"seed {seed}: not played: {error}", False
    if result.passed and not trace:
        shutil.rmtree(folder, ignore_errors=True)
    else:
        reporting.write_timeline(result, size, folder)
    return seed, "\n".join([*messages, reporting.summary_line(result)]), result.passed


@click.command()
@click.option("--seeds", required=True, help="A:B, seeds from A up to but not with B.")
@click.option("--nodes", type=click.IntRange(1, 40), default=10, show_default=True, help="Node processes a seed.")
@click.option(
    "--seconds", type=click.FloatRange(4.0, 600.0), default=20.0, show_default=True, help="Length of the load."
)
@click.option("--rate", type=click.FloatRange(1.0, 500.0), default=60.0, show_default=True, help="Requests a second.")
@click.option("--jobs", type=click.IntRange(1, 16), default=1, show_default=True, help="Seeds run in parallel.")
@click.option("--trace", is_flag=True, help="Nodes log every call of the router; logs of all seeds are kept.")
@click.option(
    "--report", type=click.Path(file_okay=False, path_type=Path), required=True, help="Folder for what failed."
)
def soak(seeds: str, nodes: int, seconds: float, rate: float, jobs: int, trace: bool, report: Path) -> None:
    """Run fleets of real nodes under drawn faults, judged by the invariants; exit code 1 if a seed failed."""
    from stonetrack.soak.run import RunSize

    size = RunSize(nodes=nodes, seconds=seconds, rate=rate)
    selected_seeds = parse_seeds(seeds)
    report.mkdir(parents=True, exist_ok=True)
    passed = failed = 0
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        futures = [pool.submit(run_seed, seed, size, report, trace) for seed in selected_seeds]
        for future in as_completed(futures):
            seed, text, seed_passed = future.result()
            passed, failed = passed + seed_passed, failed + (not seed_passed)
            click.echo(text)
            if not seed_passed:
                click.echo(f"  see {report / f'seed-{seed}'}")
    click.echo(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)
