"""Drawn histories of a whole fleet under clients: what breaks between nodes, engines and the list service, judged.

.venv/bin/python -m benchmarks.histories [--nodes 6] [--seeds 20] [--first 1] [--side-by-side 2]
    [--stewards 5] [--versions] [--keep DIR]

Each history has eight faults at drawn moments, of every kind that the rig knows: links between nodes and engines and to
the list service, processes of nodes and of the service, and the stand-ins' own.  Clients ask for safe, keyed and unsafe
requests all the time.  The judge of the five rules reads what clients and engines saw.  ``--keep`` keeps the folder of
each history that broke a rule.

With ``--stewards`` the list is put by stewards, which check the engines and take two of them out for maintenance, and a
third of the faults are at stewards, their register and their links; what the list service took is judged too
(:mod:`stonetrack.fleet.owners`): no two owners' effects interleaved, each result once.

With ``--versions`` a control service publishes versions of the settings meanwhile, and a fifth of the faults are at it and on
the way to it; what attempts were decided with is judged too (:mod:`stonetrack.fleet.versions`): no request is taken after a
permit ran out, no node decides by an older version than its last but where its disk went back.
"""

from __future__ import annotations

import json
import random
import shutil
import statistics
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import click

from stonetrack.fleet import owners, versions
from stonetrack.fleet.rig import LISTS_LOG, Played, play
from stonetrack.fleet.script import parse_script

FAULTS = 8
LOAD = 18.0  # seconds
REST = 9.0  # seconds at the end without faults and, for the last three, without requests
LEASE = 1.0  # seconds, of stewards
MAINTAINED = ("r3", "w3")
ENGINES = [(role, n) for role, count in (("reader", 4), ("writer", 4), ("mixed", 2)) for n in range(count)]


def fault(draw: random.Random, nodes: int, at: float) -> dict[str, Any]:
    """One of any kind."""
    node, lasts = f"n{draw.randrange(nodes)}", draw.choice((0.3, 1.0, 3.0, 7.0))
    role, n = draw.choice(ENGINES)
    engine = f"e:{role[0]}{n}"
    who = draw.choice(("*", node))
    match draw.choice(("link", "link", "link", "lists", "node", "node", "engine", "engine", "engine")):
        case "link":
            what = draw.choice(("cut", "cut_there", "cut_back", "refuse", "delay", "slow", "reset", "break_after"))
            extras: dict[str, dict[str, Any]] = {
                "delay": {"delay_ms": draw.choice((20.0, 200.0, 1_500.0)), "jitter_ms": 100.0},
                "slow": {"bytes": 20_000}, "break_after": {"bytes": draw.randint(1, 2_000)}}  # fmt: skip
            to = draw.choice((engine, "e:r*", "e:w[01]"))
            return {"what": what, "to": to, "of": who, "at": at, "for_s": lasts, **extras.get(what, {})}
        case "lists":
            what = draw.choice(("cut", "refuse", "reset", "kill", "stop", "lose_state"))
            of = {} if what in ("kill", "stop", "lose_state") else {"of": who}
            return {"what": what, "to": "lists", "at": at, "for_s": min(lasts, 3.0), **of}
        case "node":
            what = draw.choice(("kill", "kill", "stop", "hup", "lose_state"))
            return {"what": what, "to": node, "at": at, "for_s": min(lasts, 3.0)}
        case _:
            what = draw.choice(("crash", "hang", "pause", "slow", "half", "flush", "full", "lost", "errors", "leave"))
            more: dict[str, dict[str, Any]] = {
                "slow": {"factor": 6}, "half": {"count": 3}, "lost": {"share": 0.4}, "errors": {"share": 0.6},
                "leave": {"notice_ms": 900, "down_ms": 1_200}}  # fmt: skip
            args = more.get(what, {})
            return {"what": f"engine_{what}", "to": engine, "at": at, "for_s": min(lasts, 3.0), "args": args}


def of_stewards(draw: random.Random, stewards: int, at: float) -> dict[str, Any]:
    """A fault at a steward, at the register or on the way between them, half of them at an effect."""
    who: str = f"s{draw.randrange(stewards)}"
    lasts = LEASE * draw.choice((0.5, 1.0, 3.0))
    when: dict[str, Any] = {"at": at}
    if draw.random() < 0.5:
        when = {"when": {"what": "head", "to": "lists", "method": draw.choice(("PUT", "PATCH"))},
                "times": draw.randint(1, 2), "after_s": draw.choice((0.0, 0.05, 0.3))}  # fmt: skip
        who = "@from"
    match draw.choice(("process", "process", "link", "register", "store")):
        case "process":
            return {"what": draw.choice(("stop", "kill")), "to": who, "for_s": lasts, **when}
        case "link":
            what = draw.choice(("cut", "cut_there", "cut_back", "reset"))
            return {"what": what, "to": draw.choice(("lists", "register")), "of": who, "for_s": lasts, **when}
        case "register":
            return {"what": draw.choice(("kill", "stop")), "to": "register", "for_s": min(lasts, 1.5), "at": at}
        case _:
            what = f"register_{draw.choice(('slow', 'late', 'lost', 'no_leader'))}"
            args = {"ms": draw.choice((100.0, 700.0))}
            return {"what": what, "to": "register", "for_s": min(lasts, 1.5), "args": args, "at": at}


def of_control(draw: random.Random, nodes: int, at: float) -> dict[str, Any]:
    """A fault at the control service or on a node's way to it."""
    if draw.random() < 0.4:
        return {"what": draw.choice(("kill", "stop")), "to": "control", "at": at, "for_s": draw.choice((0.5, 2.0))}
    what = draw.choice(("cut", "cut_there", "cut_back", "reset"))
    return {
        "what": what,
        "to": "control",
        "of": f"n{draw.randrange(nodes)}",
        "at": at,
        "for_s": draw.choice((1.0, 5.0)),
    }


def script(nodes: int, seed: int, rate: float, stewards: int = 0, versioned: bool = False) -> str:
    """A history drawn by the seed."""
    kind = f"/{stewards}/{versioned}" if versioned else f"/{stewards}" if stewards else ""
    draw = random.Random(f"histories/{seed}{kind}")
    begin = 5.0 + nodes / 5.0
    moments = sorted(draw.uniform(begin + 1.0, begin + LOAD - 7.0) for _ in range(FAULTS))
    faults = [of_stewards(draw, stewards, at) if stewards and draw.random() < 0.4 else fault(draw, nodes, at)
              for at in moments]  # fmt: skip
    if versioned:
        faults = [of_control(draw, nodes, f.get("at", begin + 2.0)) if draw.random() < 0.2 else f for f in faults]
    if stewards:  # their list does not follow engines that come and go by themselves
        faults = [{**f, "what": "engine_hang"} if f["what"] in ("engine_crash", "engine_leave") else f for f in faults]
    more: dict[str, Any] = {}
    if stewards:
        more = {"stewards": {"count": stewards, "lease_s": LEASE, "publish": 1, "maintained": MAINTAINED, "phase_s": 0.8,
                             "checks_s": 0.5},
                "clock_ms": {f"s{n}": draw.choice((-3_600_000, 0, 3_600_000)) for n in range(stewards)}}  # fmt: skip
    if versioned:
        told = [{"at": at, "content": {"routing": {"over_share_worth": draw.random()}}}
                for at in sorted(draw.uniform(begin, begin + LOAD - 6.0) for _ in range(4))]  # fmt: skip
        more["control"] = {"settings": {"permit_s": 3.0, "wait_s": 0.5, "most_out": 0.3,
                                        "rule": {"grace_s": 1.5, "bound_s": 5.0, "steps_out": True}},
                           "versions": told}  # fmt: skip
    spec = {"warm_ms": 4_000, "cold_window_ms": 1_500}
    return json.dumps({
        "name": f"history {seed}", "seconds": begin + LOAD + REST, "nodes": nodes, "listed": 0, "load_from": begin,
        "lists": {"lists_per_second": 100.0, "waiting": 400.0},
        "engines": [{"name": f"{role[0]}{n}", "role": role, "cell": n % 2, **spec} for role, n in ENGINES],
        "node": {"routing": {"warm_within_ms": 4_000, "cold_window_ms": 1_500, "may_hold_place": True},
                 **({"control": {"steps_out": True}} if versioned else {})},
        "clients": {"rate": rate, "classes": [
            {"name": "safe", "share": 0.7}, {"name": "keyed", "share": 0.15, "effect": "keyed"},
            {"name": "unsafe", "share": 0.15, "effect": "unsafe"}]},
        "faults": faults, **more,
    })  # fmt: skip


def of_versions(made: Played, folder: Path) -> list[str]:
    """What the engines' taps say of versions."""
    taps = [json.loads(line) for line in (folder / "engines.log").read_text().splitlines()]
    decided = versions.decisions(taps, made.start)
    sent = {s.request: s.sent - made.start for s in made.seen if s.request}
    back = {f["to"] for f in made.log if f["what"] == "fault" and f["fault"] in ("lose_state", "old_state")}
    went = [w for w in versions.steps_back(decided) if w.split(": ")[1].split(" ")[0] not in back]
    return [f"versions: {b}" for b in (*versions.after_permit(decided, made.log, sent), *went)]


def one(case: tuple[int, int, float, str, int, bool]) -> tuple[float, list[str], list[str], dict[str, float], float]:
    """One history: service, breaches, trouble of the rig, how near each rule came, how late the links were (ms)."""
    nodes, seed, rate, keep, stewards, versioned = case
    with tempfile.TemporaryDirectory(prefix="histories-") as name:
        folder = Path(name) / "play"
        made = play(parse_script(script(nodes, seed, rate, stewards, versioned)), seed, folder)
        verdict = made.verdict
        assert verdict is not None
        breaches = [str(b) for b in verdict.breaches]
        if stewards:
            log = [json.loads(line) for line in (folder / "lists" / LISTS_LOG).read_text().splitlines()]
            taken = owners.effects(log)
            breaches += [f"owners: {b}" for b in (*owners.interleaved(taken), *owners.results(taken, 1, MAINTAINED))]
        if versioned:
            breaches += of_versions(made, folder)
        if breaches and keep:
            shutil.copytree(folder, Path(keep) / str(seed), dirs_exist_ok=True)
    trouble = [*made.trouble, *(f"{part} had to be killed" for part in made.unclean)]
    return verdict.service, breaches, trouble, verdict.margins, made.late / 1e6


@click.command()
@click.option("--nodes", default=6)
@click.option("--seeds", default=20)
@click.option("--first", default=1)
@click.option("--rate", default=50.0)
@click.option("--side-by-side", "side", default=2)
@click.option("--stewards", default=0)
@click.option("--versions", "versioned", is_flag=True)
@click.option("--keep", default="", help="Where the folders of histories that broke a rule go.")
def main(nodes: int, seeds: int, first: int, rate: float, side: int, stewards: int, versioned: bool, keep: str) -> None:
    """See the module."""
    cases = [(nodes, seed, rate, keep, stewards, versioned) for seed in range(first, first + seeds)]
    services, broken, nearest = [], Counter[str](), dict[str, list[float]]()
    with ProcessPoolExecutor(side, mp_context=get_context("spawn")) as pool:
        for (_, seed, *_), (service, breaches, trouble, margins, late) in zip(cases, pool.map(one, cases), strict=True):
            services.append(service)
            broken.update({breach.partition(":")[0] for breach in breaches})
            for name, value in margins.items():
                nearest.setdefault(name, []).append(value)
            click.echo(f"seed {seed}: service {service:.3f}, {len(breaches)} breaches, links late {late:.0f} ms")
            for line in (*breaches[:6], *trouble[:3]):
                click.echo(f"  {line}")
    click.echo(
        f"{seeds} histories of {nodes} nodes: service {statistics.median(services):.3f} (median), "
        f"{min(services):.3f} (worst); histories that broke a rule: {dict(broken)}"
    )
    for name, values in sorted(nearest.items()):
        click.echo(f"  {name:<20} median {statistics.median(values):.2f}, most {max(values):.2f}")


if __name__ == "__main__":
    main()
