"""Explore all histories of fencing within bounds, and a shortest violation for each omitted safeguard.

.venv/bin/python -m benchmarks.shutout [--states 3000000]
"""

from __future__ import annotations

import time
from concurrent.futures import ProcessPoolExecutor

import click

from stonetrack.control.model_checker import Bounds, Omitted, explore
from stonetrack.election.breadth_first import SearchResult

CASES = [
    ("two nodes", Bounds(restarts=0, abandoned=0), Omitted.NOTHING),
    ("two nodes, a restart", Bounds(abandoned=0), Omitted.NOTHING),
    ("two nodes, an abandoned report", Bounds(restarts=0), Omitted.NOTHING),
    ("two nodes, both", Bounds(), Omitted.NOTHING),
    ("without nodes that may still be fenced", Bounds(abandoned=0), Omitted.MAY_BE_FENCED),
    ("without the acknowledged order", Bounds(restarts=0), Omitted.ACKNOWLEDGED_ORDER),
    ("without the lifting version", Bounds(restarts=0, abandoned=0), Omitted.LIFTING_VERSION),
    ("without stored orders, three nodes", Bounds(nodes=3, abandoned=0), Omitted.STORED_ORDERS),
]


def run_case(case: tuple[Bounds, Omitted]) -> tuple[SearchResult, float]:
    """Return the result of a case and its duration in seconds."""
    started = time.monotonic()
    return explore(*case), time.monotonic() - started


@click.command()
@click.option("--states", default=3_000_000)
@click.option("--cores", default=8)
def main(states: int, cores: int) -> None:
    """Explore each case in a process of its own and print the results."""
    cases = [(Bounds(b.nodes, b.restarts, b.abandoned, b.publishes, states), omitted) for _, b, omitted in CASES]
    with ProcessPoolExecutor(cores) as pool:
        for (name, *_), (found, seconds) in zip(CASES, pool.map(run_case, cases), strict=True):
            complete = "all" if found.complete else "not all"
            click.echo(
                f"{name}: {found.states} states ({complete}) in {seconds:.0f} s, broken: {found.violation or 'none'}"
            )
            for n, label in enumerate(found.history, 1):
                click.echo(f"  {n}. {label}")


if __name__ == "__main__":
    main()
