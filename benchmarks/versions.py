"""Histories of settings versions under random faults: who decided with which, by engines' taps, links and the audit.

.venv/bin/python -m benchmarks.versions [--nodes 12] [--seeds 20] [--first 1] [--side-by-side 3]

Each history publishes versions of the settings while nodes are killed, stopped, lose their disks or get old copies back,
and the control service is killed and partitioned.  Three checks: no request is taken after a lease has expired; no
decision uses an older version than the node's last (except where its disk went back); and the audit, which compares
1,000 attempts drawn from the taps with the versions in the nodes' audit logs.  The audit may answer that it does not
know; it must not answer with another version.
"""

from __future__ import annotations

import json
import random
import statistics
import tempfile
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import click

from stonetrack.audit.hash_chain import ChainReading
from stonetrack.audit.log_writer import read_log
from stonetrack.fleet import versions
from stonetrack.fleet.rig import Played, play
from stonetrack.fleet.script import parse_script

SECOND = 1_000_000_000
SAMPLED_ATTEMPTS = 1_000
QUIET_END_S = 10.0  # without faults


def script(nodes: int, seed: int) -> str:
    """Return the script of a history drawn from the seed."""
    rng = random.Random(f"versions/{seed}")
    begin = 6.0 + nodes / 5.0
    end = begin + 20.0
    published = [{"at": at, "content": {"routing": {"over_share_worth": rng.random()}}, "term": 1}
                 for at in sorted(rng.uniform(begin, end) for _ in range(6))]  # fmt: skip
    faults: list[dict[str, Any]] = [{"what": "keep_state", "to": "n*", "at": begin}]
    for _ in range(8):
        what = rng.choice(["kill", "stop", "stop", "lose_state", "old_state", "cut", "cut_back", "kill control"])
        at, duration = rng.uniform(begin, end - 3.0), rng.uniform(0.3, 5.0)
        if what == "kill control":
            faults.append({"what": "kill", "to": "control", "at": at, "for_s": min(duration, 2.0)})
        elif what.startswith("cut"):
            faults.append(
                {"what": what, "to": "control", "of": f"n{rng.randrange(nodes)}", "at": at, "for_s": duration}
            )
        else:
            faults.append({"what": what, "to": f"n{rng.randrange(nodes)}", "at": at, "for_s": duration})
    return json.dumps({
        "name": f"versions, seed {seed}", "seconds": end + QUIET_END_S, "nodes": nodes, "listed": 0,
        "start_within_ms": 100 * nodes, "load_from": begin, "lists": {"lists_per_second": 100.0, "waiting": 400.0},
        "engines": [{"name": f"{role[0]}{n}", "role": role} for role in ("reader", "writer") for n in range(3)],
        "node": {"audit": {"dir": "audit", "every_ms": 1_000}, "control": {"steps_out": True}},
        "clients": {"rate": 40.0, "classes": [{"name": "chat"}], "leave_early": 0.0, "leave_at_first": 0.0},
        "control": {"settings": {"permit_s": 3.0, "wait_s": 0.5, "most_out": 0.3,
                                 "rule": {"grace_s": 1.5, "bound_s": 5.0, "steps_out": True}}, "versions": published},
        "faults": faults,
    })  # fmt: skip


def audited(made: Played, folder: Path, nodes: int, seed: int) -> dict[str, int]:
    """Compare the audit logs' versions of sampled attempts with those of the taps."""
    logs: dict[str, ChainReading] = {
        f"n{n}-0": read_log(folder / f"n{n}" / "state" / "audit", f"n{n}-0") for n in range(nodes)
    }
    taps = [json.loads(line) for line in (folder / "engines.log").read_text().splitlines()]
    with_version = [r for r in taps if r["what"] == "request" and "acting" in r]
    disk_changed = {
        str(f["to"]) for f in made.log if f["what"] == "fault" and f["fault"] in ("lose_state", "old_state")
    }
    found = dict.fromkeys(("asked", "right", "unknown", "unknown, disk lost", "wrong"), 0)
    for record in random.Random(seed).sample(with_version, min(SAMPLED_ATTEMPTS, len(with_version))):
        settings = record["acting"].partition("/")[0]
        spans = [s for s in logs[record["instance"]].spans if s.may_contain(record["id"])]
        found["asked"] += 1
        if any(s.acting.settings == settings for s in spans):
            found["right"] += 1
        elif not spans:
            found["unknown, disk lost" if record["instance"].rpartition("-")[0] in disk_changed else "unknown"] += 1
        else:
            found["wrong"] += 1
    return found


def play_history(case: tuple[int, int]) -> tuple[dict[str, float], list[str]]:
    """Play one history; return its figures and examples of violations."""
    nodes, seed = case
    with tempfile.TemporaryDirectory(prefix="versions-") as name:
        folder = Path(name) / "play"
        made = play(parse_script(script(nodes, seed)), seed, folder)
        taps = [json.loads(line) for line in (folder / "engines.log").read_text().splitlines()]
        found = audited(made, folder, nodes, seed)
        said = [json.loads(line) for line in (folder / "control" / "control.log").read_text().splitlines()]
    decided = versions.decisions(taps, made.start)
    sent = {s.request: s.sent - made.start for s in made.seen if s.request}
    went_back = {f["to"] for f in made.log if f["what"] == "fault" and f["fault"] in ("lose_state", "old_state")}
    late = versions.after_permit(decided, made.log, sent)
    back = [w for w in versions.steps_back(decided) if w.split(": ")[1].split(" ")[0] not in went_back]
    numbers = [r["number"] for r in made.log if r["what"] == "published"]
    end = max(r["t"] for r in made.log)
    last = {d.node: d.number for d in decided if d.t > end - 5 * SECOND}
    out = {r["node"] for r in said if r["event"] == "stale node" and r["order"] == "out"}
    return {
        "taken after a permit": float(len(late)),
        "steps back": float(len(back)),
        "not on the last version at the end": float(sum(n != numbers[-1] for n in last.values())),
        "nodes that were shut out": float(len(out)),
        "rules of requests broken": float(len(made.verdict.breaches) if made.verdict is not None else 0),
        "trouble": float(len(made.trouble) + len(made.unclean)),
        **{f"audit: {what}": float(count) for what, count in found.items()},
    }, [
        *late[:3],
        *back[:3],
        *map(str, made.verdict.breaches[:3] if made.verdict is not None else ()),
        *made.trouble[:3],
    ]


@click.command()
@click.option("--nodes", default=12)
@click.option("--seeds", default=20)
@click.option("--first", default=1)
@click.option("--side-by-side", "side", default=3)
def main(nodes: int, seeds: int, first: int, side: int) -> None:
    """Play the histories and print their figures."""
    cases = [(nodes, seed) for seed in range(first, first + seeds)]
    results: list[dict[str, float]] = []
    with ProcessPoolExecutor(side, mp_context=get_context("spawn")) as pool:
        for (_, seed), (found, said) in zip(cases, pool.map(play_history, cases), strict=True):
            results.append(found)
            click.echo(f"seed {seed}: " + ", ".join(f"{k} {v:.0f}" for k, v in found.items()))
            for line in said:
                click.echo(f"  {line}")
    click.echo(f"{len(results)} histories of {nodes} nodes: sum, worst history")
    for name in results[0]:
        values = [each[name] for each in results]
        click.echo(f"{name:<36}{sum(values):>10.0f}{max(values):>8.0f}{statistics.median(values):>8.0f} (median)")


if __name__ == "__main__":
    main()
