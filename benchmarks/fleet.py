"""A list service under a whole fleet: this program, another checkout of it, and the model, from the same script.

.venv/bin/python -m benchmarks.fleet 40 [--before DIR] [--model-only]

Real processes, each with a link of its own to a service that bears ten whole lists a second and lets eight wait.  The
service is killed for a while (its history is lost, so that everybody needs a whole list), and once cut off silently.
``least`` is the time in which the service can serve all whole lists; times count from the first question, or from the
service's return.  200 nodes need about 16 GB and minutes.
"""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import Any

import click

from stonetrack.fleet import judge
from stonetrack.fleet.model import Model
from stonetrack.fleet.rig import play
from stonetrack.fleet.script import Script, parse_script

RATE = 10.0


def script(nodes: int, what: str, away: float, settle: float) -> tuple[Script, float, float]:
    """The play, and when the service goes and comes back; ``settle`` seconds are left for the processes to start."""
    least = nodes / RATE
    goes = settle + 1.4 * least
    back = goes + away
    rate = {"lists_per_second": RATE, "waiting": 8.0}
    text = json.dumps({
        "name": f"{nodes} nodes, {what} for {away:g} s", "seconds": back + 2.0 * least + 12.0, "nodes": nodes,
        "start_within_ms": 1_000, "lists": rate, "changes": [back - 0.5],
        "faults": [{"what": what, "to": "lists", "at": goes, "for_s": away}]})  # fmt: skip
    return parse_script(text), goes, back


def row(title: str, made: Script, log: list[dict[str, Any]], goes: float, back: float) -> None:
    """One line of figures."""
    nodes, least = made.nodes, made.nodes / RATE
    lists = judge.of_lists(log)
    first = min(r["t"] for r in lists if r["what"] == "head") / 1e9
    back = next((r["t"] / 1e9 for r in log if r["what"] == "listens"), back)
    told = [(r["t"] / 1e9, r["version"], r["origin"]) for r in lists if r["what"] == "answer" and "version" in r]
    start = {r["from"]: r["t"] / 1e9 for r in reversed(lists) if r["what"] == "answer" and r["status"] == 200}
    news = max((v, o) for t, v, o in told)
    held = judge.held_at([r for r in log if r["t"] / 1e9 >= back], news[0])
    s, o, a = judge.span(log, nodes, 0, goes), judge.span(log, nodes, goes, back), judge.span(log, nodes, back, 1e9)
    whole = max(r["bytes"] for r in lists if r["what"] == "answer" and r["status"] == 200)
    all_after = f"{(max(held.values()) - back) / least:5.2f}" if len(held) == nodes else f"{len(held)} only"
    click.echo(
        f"{title:<22} start {(max(start.values()) - first) / least:5.2f} x least, turned away {s.turned_away / nodes:5.2f}"
        f" a node, bytes {s.bytes / whole / nodes:4.2f} | away {o.per_node_second:5.3f} questions a node and second, "
        f"{o.worst_second:3d} at worst | back {all_after} x least, turned away {a.turned_away / nodes:5.2f}"
    )


@click.command()
@click.argument("nodes", type=click.IntRange(2, 10_000))
@click.option("--before", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--model-only", is_flag=True)
@click.option("--seed", type=int, default=1)
def main(nodes: int, before: Path | None, model_only: bool, seed: int) -> None:
    """Print a line for each program and trouble."""
    for what, away in (("lose_state", 8.0), ("lose_state", 45.0), ("cut", 45.0)):
        made, goes, back = script(nodes, what, away, 1.0)
        click.echo(f"{what}, {away:g} s; least {nodes / RATE:g} s")
        row("model", made, Model(made, seed).play(), goes, back)
        if model_only:
            continue
        made, goes, back = script(nodes, what, away, 8.0 + nodes / 8)
        for title, root in (("before", before), ("this program", None)):
            if title == "this program" or root is not None:
                with tempfile.TemporaryDirectory() as folder:
                    played = play(made, seed, Path(folder) / "play", root)
                row(title, made, played.log, goes, back)
                for text in (*played.trouble, *played.unclean):
                    click.echo(f"  {text}")


if __name__ == "__main__":
    main()
