"""Load of a fleet of N nodes on its engines: new connections, probes, slow-start budget, and service after an outage.

.venv/bin/python -m benchmarks.engines [--nodes 10,40] [--seeds 5] [--side-by-side 1] [--before 14] [--longest 60000]

Clients and engines are the same for any N, so what grows with N is caused by the nodes.  Two engines crash and restart
with empty caches; later all nodes are killed at the same moment and restarted.  Counted on the links to the engines and
by the emulators.  40 nodes are 80 processes.
"""

from __future__ import annotations

import json
import statistics
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import click

from stonetrack.fleet.rig import Played, play
from stonetrack.fleet.script import parse_script

SECOND = 1_000_000_000
STEADY_SECONDS = 13.0  # measured before the nodes are killed


def script(nodes: int, rate: float, before: float, longest: int) -> tuple[str, float]:
    """A fleet script, and the second at which its load begins: when the processes on this machine are up."""
    begin = 6.0 + nodes / 5.0
    engines = [{"name": f"{role[0]}{n}", "role": role, "cell": n % 2, "warm_ms": 4_000, "cold_window_ms": 1_500}
               for role in ("reader", "writer") for n in range(6)]  # fmt: skip
    return json.dumps({
        "name": f"engines under {nodes} nodes", "seconds": begin + before + 18.0 + nodes / 5.0, "nodes": nodes, "listed": 0,
        "start_within_ms": 100 * nodes, "load_from": begin, "lists": {"lists_per_second": 100.0, "waiting": 400.0},
        "engines": engines,
        "node": {"routing": {"warm_within_ms": 4_000, "cold_window_ms": 1_500, "may_probe": True},
                 "timing": {"pool_longest_ms": longest}},
        "clients": {"rate": rate, "classes": [{"name": "chat"}], "leave_early": 0.0, "leave_at_first": 0.0},
        "faults": [
            {"what": "engine_crash", "to": "e:[rw]0", "at": begin + before - 8.0, "for_s": 1.0},
            {"what": "kill", "to": "n*", "at": begin + before, "for_s": 0.3},
        ],
    }), begin  # fmt: skip


def measurements(made: Played, killed_at: float) -> dict[str, float]:
    """The measurements of one run."""
    assert made.verdict is not None
    links = [r for r in made.log if str(r.get("to", "")).startswith("e:")]
    steady = (killed_at - STEADY_SECONDS, killed_at)
    opens = [r for r in links if r["what"] == "open"]
    heads = [r for r in links if r["what"] == "head" and steady[0] <= r["t"] / SECOND < steady[1]]
    attempts = [r for r in heads if r["path"] == "/v1/chat/completions"]
    at_engine = Counter((r["to"], r["t"] // SECOND) for r in opens)
    ready_times = [
        r["t"] / SECOND
        for r in made.log
        if r["what"] == "health" and r["said"] == "ready" and r["t"] / SECOND > killed_at
    ]
    first = min(ready_times, default=0.0)

    def served(since: float, until: float) -> float:
        selected = [s for s in made.seen if since <= (s.sent - made.start) / SECOND < until]
        return sum(s.ended == "served" and s.first <= s.aim for s in selected) / max(len(selected), 1)

    return {
        "opens an attempt": sum(steady[0] <= r["t"] / SECOND < steady[1] for r in opens) / max(len(attempts), 1),
        "most opens at an engine in a second": float(max(at_engine.values(), default=0)),
        "probes an attempt": sum(r["path"] == "/metrics" for r in heads) / max(len(attempts), 1),
        "cold budget used": made.verdict.margins.get("4 cold budget", 0.0),
        "rules broken": float(len(made.verdict.breaches)),
        "service before the cut": served(*steady),
        "service in 3 s after": served(first, first + 3.0),
        "links late, ms": made.late / 1e6,
    }


def run_case(case: tuple[int, int, float, float, int]) -> tuple[int, dict[str, float], list[str]]:
    """Run one case; return the number of nodes, its measurements and its problems."""
    nodes, seed, rate, before, longest = case
    text, begin = script(nodes, rate, before, longest)
    with tempfile.TemporaryDirectory(prefix="engines-") as folder:
        made = play(parse_script(text), seed, Path(folder) / "play")
    breaches = [str(b) for b in made.verdict.breaches] if made.verdict is not None else []
    return nodes, measurements(made, begin + before), [*made.trouble, *breaches[:5]]


@click.command()
@click.option("--nodes", default="10,40")
@click.option("--seeds", default=5)
@click.option("--first", default=1)
@click.option("--rate", default=40.0)
@click.option("--side-by-side", "parallel", default=1)
@click.option("--before", default=14.0, help="Seconds of load before the nodes are killed.")
@click.option("--longest", default=60_000, help="timing.pool_longest_ms of the nodes.")
def main(nodes: str, seeds: int, first: int, rate: float, parallel: int, before: float, longest: int) -> None:
    """Run the fleets and print the measurements."""
    results: dict[int, list[dict[str, Any]]] = {int(n): [] for n in nodes.split(",")}
    cases = [(n, seed, rate, before, longest) for n in results for seed in range(first, first + seeds)]
    with ProcessPoolExecutor(parallel, mp_context=get_context("spawn")) as pool:
        for (n, seed, *_), (_, measured, problems) in zip(cases, pool.map(run_case, cases), strict=True):
            results[n].append(measured)
            click.echo(f"{n} nodes, seed {seed}: " + ", ".join(f"{k} {v:.3g}" for k, v in measured.items()))
            for line in problems:
                click.echo(f"  {line}")
    click.echo("median (worst) of each:")
    for name in next(iter(results.values()))[0]:
        cells = []
        for of_fleet in results.values():
            values = [each[name] for each in of_fleet]
            worst = min(values) if name.startswith("service") else max(values)
            cells.append(f"{statistics.median(values):.3g} ({worst:.3g})")
        click.echo(f"{name:<38}" + "".join(f"{cell:>20}" for cell in cells))


if __name__ == "__main__":
    main()
