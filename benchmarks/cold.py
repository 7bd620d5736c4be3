"""What all nodes of a fleet send to engines in slow start, in simulated time, against the budget of each engine.

.venv/bin/python -m benchmarks.cold [--nodes 10,200] [--seeds 20] [--load 1,2,3] [--case all,one]

``all``: in the first list every engine starts now.  ``one``: two of six prefill engines crash and come back in slow start
under load.  Load is in units of what the prefill engines carry when warm.  The figure is the judge's: work sent in the
window, as a share of the budget at that time (`fleet/rules.py`, rule 4); above 1.0 the engine fails.
"""

from __future__ import annotations

import random
import statistics
from concurrent.futures import ProcessPoolExecutor

import click

from stonetrack import api
from stonetrack.api import Role
from stonetrack.emulator.engine import Spec
from stonetrack.fleet.rules import Judge
from stonetrack.fleet.serving import SECOND, Ask, Play
from stonetrack.fleet.traffic import Traffic

MS = 1_000_000
PREFILL_ENGINES, DECODE_ENGINES = 6, 6
SECONDS = 8.0
PROMPT = (200, 1_400)  # tokens, uniform


def settings(nodes: int) -> list[api.Settings]:
    """Settings of each node."""
    cls = api.RequestClass("chat", 2 * SECOND, 40 * MS, 80 * MS, 6 * SECOND, 1.0, 0.2)
    kinds = (api.Kind(Role.PREFILL, 200_000), api.Kind(Role.DECODE, 200_000))
    return [
        api.Settings((cls,), kinds, router=n, routers=nodes, may_cancel=True, may_probe=True,
                     report_source=api.ReportSource.ANSWERS, warm_within=4 * SECOND, cold_window=1500 * MS)
        for n in range(nodes)
    ]  # fmt: skip


def one(case: tuple[str, int, float, int]) -> tuple[float, float, int]:
    """Largest share of a slow-start budget used, share of the requests served, engines that failed."""
    which, nodes, load, seed = case
    draw = random.Random(f"{case}")
    specs = [Spec(name=f"{role[0]}{n}", role=Role(role), cell=n % 2, warm_ms=4_000, cold_window_ms=1_500,
                  read_rate=10_000.0) for role in ("reader", "writer") for n in range(PREFILL_ENGINES)]  # fmt: skip
    play = Play(settings(nodes), specs, seed, cold=which == "all")
    rate = load * PREFILL_ENGINES * 10_000.0 / (sum(PROMPT) / 2)
    asks: list[Ask] = []
    at = 0.0
    while (at := at + draw.expovariate(rate)) < SECONDS:
        asks.append(Ask(int(at * SECOND), f"q{len(asks)}", draw.randrange(nodes), draw.randint(*PROMPT),
                        f"s{draw.randrange(10_000)}"))  # fmt: skip
    if which == "one":
        play.crash("r0", 2.0, 0.5)
        play.crash("r1", 2.0, 0.5)
    answered = play.run(asks, SECONDS + 7.0)
    judge = Judge([], play.log, [], [Traffic(name="chat")])
    failed = sum("fell over" in breach.text for breach in judge.cold())
    return judge.margins["4 cold budget"], sum(a.ended == "served" for a in answered) / len(answered), failed


@click.command()
@click.option("--nodes", default="10,200")
@click.option("--seeds", default=20)
@click.option("--load", default="1,2,3")
@click.option("--case", "cases", default="all,one")
@click.option("--cores", default=8)
def main(nodes: str, seeds: int, load: str, cases: str, cores: int) -> None:
    """See the module."""
    click.echo("case  nodes  load   budget used: median, 9 in 10, most   fell in   served")
    with ProcessPoolExecutor(cores) as pool:
        for which in cases.split(","):
            for n in nodes.split(","):
                for times in load.split(","):
                    plays = [(which, int(n), float(times), seed) for seed in range(1, seeds + 1)]
                    made = list(pool.map(one, plays))
                    used = sorted(m[0] for m in made)
                    click.echo(f"{which:<5} {n:>5} {times:>5}   {statistics.median(used):.2f}, "
                               f"{used[int(0.9 * (len(used) - 1))]:.2f}, {used[-1]:.2f}{'':>15}"
                               f"{sum(m[2] > 0 for m in made):>3} of {seeds}   {statistics.mean(m[1] for m in made):.3f}")  # fmt: skip


if __name__ == "__main__":
    main()
