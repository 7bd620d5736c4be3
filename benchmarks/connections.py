"""New connections to engines over fleets of any size, in simulated time, by how long engines leave them open.

.venv/bin/python -m benchmarks.connections [--nodes 10,40,200] [--rests 4,60] [--seeds 3] [--rate 40]

The same requests whatever the number of nodes, over six readers and six writers.  ``rest`` is the time for which a node
uses a kept connection again (0.8 of what its engine leaves it open, ``timing.pool_longest_ms`` at most).  Beside what was
counted stands what chance alone gives: R attempts a second spread over N nodes and E engines meet a connection that is
too old with chance exp(-rest R / (N E)).
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

EACH = 6  # readers, and writers
TURNS = 4  # of a session


def one(case: tuple[int, float, int, float]) -> tuple[float, float, float]:
    """New connections an attempt once all is under way; attempts a second; share served."""
    nodes, rest, seed, rate = case
    draw = random.Random(f"{case}")
    specs = [
        Spec(name=f"{role[0]}{n}", role=Role(role), cell=n % 2) for role in ("reader", "writer") for n in range(EACH)
    ]
    play = Play(settings(nodes), specs, seed, rest=int(rest * SECOND))
    begin, end = 2.0 * rest + 10.0, 2.0 * rest + 40.0
    asks: list[Ask] = []
    at = 0.0
    while (at := at + draw.expovariate(rate)) < end:
        session = f"s{len(asks) // (10 * TURNS) * 10 + draw.randrange(10)}"
        asks.append(Ask(int(at * SECOND), f"q{len(asks)}", draw.randrange(nodes), draw.randint(200, 1_400), session))
    start = play.now
    answered = play.run(asks, end)
    since = start + int(begin * SECOND)
    sent = [r for r in play.log if r["what"] == "request" and r["t"] >= since]
    opened = sum(at >= since for at in play.opened)
    served = sum(a.ended == "served" for a in answered) / len(answered)
    return opened / max(len(sent), 1), len(sent) / (end - begin), served


@click.command()
@click.option("--nodes", default="10,40,200")
@click.option("--rests", default="4,60")
@click.option("--seeds", default=3)
@click.option("--rate", default=40.0)
@click.option("--cores", default=8)
def main(nodes: str, rests: str, seeds: int, rate: float, cores: int) -> None:
    """See the module."""
    click.echo("rest s  nodes   new connections an attempt: median (most)   by chance alone   served")
    cases = [(int(n), float(rest)) for rest in rests.split(",") for n in nodes.split(",")]
    with ProcessPoolExecutor(cores) as pool:
        plays = [(n, rest, seed, rate) for n, rest in cases for seed in range(1, seeds + 1)]
        made = list(pool.map(one, plays))
    for place, (n, rest) in enumerate(cases):
        mine = made[place * seeds : (place + 1) * seeds]
        chance = math.exp(-rest * statistics.mean(m[1] for m in mine) / (n * 2 * EACH))
        shares = [m[0] for m in mine]
        click.echo(f"{rest:>6g} {n:>6}   {statistics.median(shares):.2f} ({max(shares):.2f}){'':>30}{chance:.2f}{'':>14}"
                   f"{min(m[2] for m in mine):.3f}")  # fmt: skip


if __name__ == "__main__":
    main()
