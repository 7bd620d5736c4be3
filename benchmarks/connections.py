"""New connections to engines for fleets of any size, in simulated time, by the idle timeout of connections.

.venv/bin/python -m benchmarks.connections [--nodes 10,40,200] [--rests 4,60] [--seeds 3] [--rate 40]

The requests are the same for any number of nodes, over six prefill and six decode engines.  ``rest`` is the idle time
up to which a node reuses a connection (0.8 of the engine's idle timeout, ``timing.pool_longest_ms`` at most).  The
table also shows the expectation: with R attempts a second, spread at random over N nodes and E engines, the probability
that the connection for an attempt is too old is exp(-rest R / (N E)).
"""

from __future__ import annotations

import math
import random
import statistics
from concurrent.futures import ProcessPoolExecutor

import click

from benchmarks.cold import settings
from stonetrack.api import Role
from stonetrack.emulator.engine import Spec
from stonetrack.fleet.serving import SECOND, Ask, Play

ENGINES_PER_ROLE = 6
TURNS = 4  # of each session


def run_case(case: tuple[int, float, int, float]) -> tuple[float, float, float]:
    """New connections per attempt in the steady state; attempts per second; share of requests served."""
    nodes, rest, seed, rate = case
    draw = random.Random(f"{case}")
    specs = [
        Spec(name=f"{role[0]}{n}", role=Role(role), cell=n % 2)
        for role in ("reader", "writer")
        for n in range(ENGINES_PER_ROLE)
    ]
    play = Play(settings(nodes), specs, seed, rest=int(rest * SECOND))
    measured_from, end = 2.0 * rest + 10.0, 2.0 * rest + 40.0
    requests: list[Ask] = []
    at = 0.0
    while (at := at + draw.expovariate(rate)) < end:
        session = f"s{len(requests) // (10 * TURNS) * 10 + draw.randrange(10)}"
        requests.append(
            Ask(int(at * SECOND), f"q{len(requests)}", draw.randrange(nodes), draw.randint(200, 1_400), session)
        )
    start = play.now
    answers = play.run(requests, end)
    measured_since = start + int(measured_from * SECOND)
    attempts = [r for r in play.log if r["what"] == "request" and r["t"] >= measured_since]
    opened = sum(at >= measured_since for at in play.opened)
    served = sum(a.ended == "served" for a in answers) / len(answers)
    return opened / max(len(attempts), 1), len(attempts) / (end - measured_from), served


@click.command()
@click.option("--nodes", default="10,40,200")
@click.option("--rests", default="4,60")
@click.option("--seeds", default=3)
@click.option("--rate", default=40.0)
@click.option("--cores", default=8)
def main(nodes: str, rests: str, seeds: int, rate: float, cores: int) -> None:
    """Simulate fleets and print the new connections per attempt."""
    click.echo("rest s  nodes   new connections an attempt: median (most)   by chance alone   served")
    cases = [(int(n), float(rest)) for rest in rests.split(",") for n in nodes.split(",")]
    with ProcessPoolExecutor(cores) as pool:
        runs = [(n, rest, seed, rate) for n, rest in cases for seed in range(1, seeds + 1)]
        all_results = list(pool.map(run_case, runs))
    for index, (n, rest) in enumerate(cases):
        results = all_results[index * seeds : (index + 1) * seeds]
        expected = math.exp(-rest * statistics.mean(m[1] for m in results) / (n * 2 * ENGINES_PER_ROLE))
        shares = [m[0] for m in results]
        click.echo(f"{rest:>6g} {n:>6}   {statistics.median(shares):.2f} ({max(shares):.2f}){'':>30}{expected:.2f}{'':>14}"
                   f"{min(m[2] for m in results):.3f}")  # fmt: skip


if __name__ == "__main__":
    main()
