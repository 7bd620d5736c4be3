"""Every history of a shut-out within its bounds, and a shortest one for each protection that is left out.

.venv/bin/python -m benchmarks.shutout [--states 3000000]
"""

from __future__ import annotations

import time
from concurrent.futures import ProcessPoolExecutor

import click

from stonetrack.control.explore import Bounds, Less, explore
from stonetrack.election.breadth_first import SearchResult

CASES = [
    ("two nodes", Bounds(restarts=0, given_up=0), Less.NOTHING),
    ("two nodes, a restart", Bounds(given_up=0), Less.NOTHING),
    ("two nodes, a question given up", Bounds(restarts=0), Less.NOTHING),
    ("two nodes, both", Bounds(), Less.NOTHING),
    ("without who has yet to hear", Bounds(given_up=0), Less.HELD),
    ("without the echo", Bounds(restarts=0), Less.ECHO),
    ("without the version that lifts it", Bounds(restarts=0, given_up=0), Less.LIFTED),
    ("without the disk, three nodes", Bounds(nodes=3, given_up=0), Less.KEPT),
]


def one(case: tuple[Bounds, Less]) -> tuple[SearchResult, float]:
    """What came of a case, and the seconds that it took."""
    began = time.monotonic()
    return explore(*case), time.monotonic() - began


@click.command()
@click.option("--states", default=3_000_000)
@click.option("--cores", default=8)
def main(states: int, cores: int) -> None:
    """See the module."""
    cases = [(Bounds(b.nodes, b.restarts, b.given_up, b.publishes, states), less) for _, b, less in CASES]
    with ProcessPoolExecutor(cores) as pool:
        for (name, *_), (found, took) in zip(CASES, pool.map(one, cases), strict=True):
            whole = "all" if found.complete else "not all"
            click.echo(f"{name}: {found.states} states ({whole}) in {took:.0f} s, broken: {found.violation or 'none'}")
            for n, said in enumerate(found.history, 1):
                click.echo(f"  {n}. {said}")


if __name__ == "__main__":
    main()
