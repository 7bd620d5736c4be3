"""Random histories of controllers under faults, checked; hand-over times over lease lengths; store calls over candidates.

.venv/bin/python -m benchmarks.election histories [--count 200] [--side-by-side 3]
.venv/bin/python -m benchmarks.election handover
.venv/bin/python -m benchmarks.election service
.venv/bin/python -m benchmarks.election explore
"""

from __future__ import annotations

import json
import random
import statistics
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import click

from stonetrack.election.model_checker import Bounds, Omitted, explore, sequence_diagram
from stonetrack.fleet import owners
from stonetrack.fleet.rig import LISTS_LOG, Played, play
from stonetrack.fleet.script import parse_script


def script(draw: random.Random, count: int, lease: float, faults: list[dict[str, Any]], seconds: float) -> str:
    """A simulated run of controllers; it ends without faults so that all work can be finished."""
    return json.dumps({
        "name": "drawn stewards", "seconds": seconds, "nodes": 0, "listed": 6, "start_within_ms": 300,
        "lists": {"lists_per_second": 200.0, "waiting": 100.0}, "faults": faults,
        "stewards": {"count": count, "lease_s": lease, "publish": 4, "every_s": 1.5, "maintain": 2,
                     "phase_s": 0.2 + 0.4 * draw.random()},
    })  # fmt: skip


def faults(draw: random.Random, lease: float, until: float) -> list[dict[str, Any]]:
    """Three to six faults, at random moments or at effects."""
    drawn: list[dict[str, Any]] = []
    for _ in range(draw.randint(3, 6)):
        span = lease * draw.choice((0.5, 1.0, 3.0))
        what = draw.choice(("stop", "kill", "cut", "cut_there", "cut_back", "reset", "register", "store", "term"))
        each: dict[str, Any] = {"for_s": span}
        at_effect = draw.random() < 0.6
        if at_effect:
            each["when"] = {"what": "head", "to": "lists", "method": draw.choice(("GET", "PUT", "PATCH"))}
            each["times"] = draw.randint(1, 3)
            each["after_s"] = draw.choice((0.0, 0.0, 0.05, 0.3))
        else:
            each["at"] = 1.0 + draw.random() * (until - 2.0 - span)
        who = "@from" if at_effect else f"s{draw.randrange(3)}"
        if what in ("stop", "kill"):
            each |= {"what": what, "to": who}
        elif what == "term":
            each |= {"what": "kill", "to": who, "for_s": 0.2}
        elif what == "register":
            each |= {"what": draw.choice(("kill", "stop")), "to": "register", "for_s": min(span, 1.5)}
        elif what == "store":
            each |= {"what": f"register_{draw.choice(('slow', 'late', 'lost', 'no_leader'))}", "to": "register",
                     "for_s": min(span, 1.5), "args": {"ms": draw.choice((100.0, 700.0))}}  # fmt: skip
        else:
            each |= {"what": what, "to": draw.choice(("lists", "register")), "of": who}
        drawn.append(each)
    return drawn


def run_history(seed: int) -> tuple[int, list[str], list[int], float, list[str]]:
    """One random history: violations, terms, how late the links were in ms, and errors of the test harness."""
    draw = random.Random(f"owning/{seed}")
    text = script(draw, 3, 1.0, faults(draw, 1.0, 12.0), 21.0)
    with tempfile.TemporaryDirectory(prefix="owning-") as folder:
        played_run = play(parse_script(text), seed, Path(folder) / "play")
        log = [json.loads(line) for line in (Path(folder) / "play" / "lists" / LISTS_LOG).read_text().splitlines()]
    effects = owners.effects(log)
    violations = [*owners.interleaved(effects), *owners.results(effects, 4, ["nobody-0", "nobody-1"])]
    return seed, violations, owners.kept_terms(log), played_run.late / 1e6, [*played_run.trouble, *played_run.unclean]


def takeovers(lease: float, seeds: range) -> Iterator[float]:
    """Seconds from the kill of the leader at an effect to the next leader's first effect, on the links."""
    for seed in seeds:
        draw = random.Random(seed)
        kill = {"what": "kill", "to": "@from", "when": {"what": "head", "to": "lists", "method": "PATCH"}}
        with tempfile.TemporaryDirectory(prefix="owning-") as folder:
            text = script(draw, 3, lease, [kill], 6.0 + 2.5 * lease)
            played_run = play(parse_script(text), seed, Path(folder) / "play")
        kill_event = next(r for r in played_run.log if r["what"] == "fault")
        effects_after = [r["t"] for r in played_run.log if r["what"] == "head" and r["to"] == "lists" and r["from"] != kill_event["to"]
                 and r["method"] in ("PUT", "PATCH") and r["t"] > kill_event["t"]]  # fmt: skip
        if effects_after:
            yield (effects_after[0] - kill_event["t"]) / 1e9


@click.group()
def main() -> None:
    """Benchmarks of the leader election."""


@main.command()
@click.option("--count", default=200)
@click.option("--first", default=0)
@click.option("--side-by-side", "side", default=3)
def histories(count: int, first: int, side: int) -> None:
    """Random histories; each that violates a property is listed by its seed."""
    began, violated, terms, refused = time.time(), 0, [], 0
    with ProcessPoolExecutor(side, mp_context=get_context("spawn")) as pool:
        for seed, violations, kept, late, trouble in pool.map(run_history, range(first, first + count)):
            terms.append(len(kept))
            violated += bool(violations)
            if violations or trouble:
                click.echo(f"seed {seed}: {violations} terms {kept} links late by {late:.0f} ms {trouble}")
    click.echo(f"{count} histories, {violated} broke a promise, {refused} void; owners in each: median "
               f"{statistics.median(terms):g}, most {max(terms)}; {time.time() - began:.0f} s")  # fmt: skip


@main.command()
def handover() -> None:
    """Hand-over after a kill, over lease lengths; store calls a minute over candidates."""
    for lease in (0.5, 1.0, 2.0, 4.0):
        durations = sorted(takeovers(lease, range(5)))
        click.echo(f"lease {lease:g} s: first effect of the next owner after {statistics.median(durations):.2f} s (median), "
                   f"{durations[-1]:.2f} s (worst of {len(durations)}); bound {lease + 1:g} s")  # fmt: skip
    for count in (1, 3, 10, 25):
        with tempfile.TemporaryDirectory(prefix="owning-") as folder:
            quiet = json.loads(script(random.Random(1), count, 2.0, [], 16.0))
            quiet["stewards"] |= {"publish": 0, "maintain": 0}
            played_run = play(parse_script(json.dumps(quiet)), 1, Path(folder) / "play")
        calls = [r for r in played_run.log if r["what"] == "head" and r["to"] == "register" and r["t"] > 5e9]
        worst = max((sum(abs(r["t"] - other["t"]) < 5e7 for other in calls) for r in calls), default=0)
        click.echo(
            f"{count} candidates, lease 2 s: {len(calls) / 11 * 60:.0f} calls a minute, {worst} within 100 ms at most"
        )


def day(seed: int, stewards: bool) -> Played:
    """Twelve nodes and ten engines under load, one engine hung for a while; with five controllers under faults, or none.

    Controllers publish the list and check the engines; without them the discovery service reads it from a file.
    """
    draw = random.Random(f"day/{seed}")
    engines = [{"name": f"{r[0]}{n}", "role": r, "cell": n % 2} for r in ("reader", "writer") for n in range(5)]
    faults_of_day: list[dict[str, Any]] = [{"what": "engine_hang", "to": "e:r1", "at": 16.0, "for_s": 4.0}]
    text: dict[str, Any] = {
        "name": f"service, stewards {stewards}", "seconds": 40.0, "nodes": 12, "listed": 0, "start_within_ms": 1_000,
        "load_from": 10.0, "lists": {"lists_per_second": 200.0, "waiting": 100.0}, "engines": engines,
        "node": {"source": {"heed_checks": stewards}}, "clients": {"rate": 40.0, "classes": [{"name": "chat"}]},
    }  # fmt: skip
    if stewards:
        text["stewards"] = {"count": 5, "publish": 1, "maintain": 0, "checks_s": 0.5}
        for at in (12.0, 18.0, 24.0, 30.0):
            faults_of_day.append(
                {"what": draw.choice(("stop", "kill")), "to": f"s{draw.randrange(5)}", "at": at, "for_s": 3.0}
            )
        faults_of_day.append({"what": "kill", "to": "register", "at": 27.0, "for_s": 2.0})
    with tempfile.TemporaryDirectory(prefix="owning-") as folder:
        return play(parse_script(json.dumps({**text, "faults": faults_of_day})), seed, Path(folder) / "play")


@main.command()
@click.option("--seeds", default=5)
def service(seeds: int) -> None:
    """Share of requests served with controllers under faults, against the same scenario without controllers."""
    pairs = []
    for seed in range(seeds):
        played = [day(seed, stewards) for stewards in (True, False)]
        verdicts = [played_run.verdict for played_run in played]
        assert verdicts[0] is not None and verdicts[1] is not None
        pairs.append((verdicts[0].service, verdicts[1].service))
        violations = [str(b) for verdict in verdicts if verdict is not None for b in verdict.breaches]
        late = max(played_run.late for played_run in played) / 1e6
        click.echo(f"seed {seed}: service {pairs[-1][0]:.3f} with stewards, {pairs[-1][1]:.3f} without; rules broken "
                   f"{len(violations)} {violations[:3]}; links late by {late:.0f} ms")  # fmt: skip
    click.echo(f"median difference {statistics.median(a - b for a, b in pairs):+.3f}")


@main.command("explore")
@click.option("--states", default=3_000_000)
def all_histories(states: int) -> None:
    """All histories within larger bounds than in the tests, and a shortest one for each omitted protection."""
    small = Bounds(lost_answers=0, restarts=0, max_states=states)
    for name, bounds in (
        ("lease alone, 6 ticks", replace(small, steps=0)),
        ("lease alone, an answer lost, 5 ticks", replace(small, steps=0, ticks=5, lost_answers=1)),
        ("one step, 6 ticks", replace(small, steps=1)),
        ("two steps, 5 ticks", replace(small, ticks=5)),
        ("one step, a receiver restarts, 5 ticks", replace(small, ticks=5, steps=1, restarts=1)),
        ("one step, the register loses a write, 4 ticks", replace(small, ticks=4, steps=1, rollbacks=1)),
    ):
        began = time.time()
        found = explore(bounds)
        whole = "all" if found.complete else "not all"
        click.echo(
            f"{name}: {found.states} states ({whole}) in {time.time() - began:.0f} s, broken: {found.violation or 'none'}"
        )
    for omitted, bounds in (
        (Omitted.FENCE, small), (Omitted.MARGIN, small), (Omitted.BEFORE, small), (Omitted.SECOND_LOOK, small),
        (Omitted.DURABLE, replace(small, restarts=1)), (Omitted.CLAIM, replace(small, rollbacks=1)),
    ):  # fmt: skip
        found = explore(bounds, omitted)
        click.echo(
            f"\nwithout {omitted.name}: {found.states} states, {len(found.history)} steps\n{sequence_diagram(found, bounds.candidates)}"
        )


if __name__ == "__main__":
    main()
