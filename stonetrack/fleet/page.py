"""What a play showed: a few lines, and an HTML page with its plot inside as SVG (matplotlib)."""

from __future__ import annotations

import html
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

from stonetrack.fleet import judge
from stonetrack.fleet.rig import Played
from stonetrack.pages.style import STYLE, as_svg, table

MS, SECOND = 1e6, 1e9
STAGES = {
    "down": "#c9ced4",
    "no answer": "#5c6670",
    "no list": "#c0392b",
    "saved list": "#d98c2b",
    "list fresh": "#e5c04b",
    "no engines": "#e5c04b",
    "ready": "#3a7d44",
}
_VERSIONS = ("#1f5fa8", "#c25b12", "#7a4fa3", "#0e7c86", "#a33a5e", "#5b8c2a")
_MOST_ROWS = 60  # processes that get a row of their own


def versions(log: list[dict[str, Any]]) -> list[tuple[str, int]]:
    """Histories and versions that nodes were told of, in the order in which they came first."""
    each = [(r["origin"], r["version"]) for r in judge.of_lists(log) if r["what"] == "answer" and "version" in r]
    return list(dict.fromkeys(each))


def phases(played: Played) -> list[list[Any]]:
    """One row for each time between two changes of what is wrong with the list service."""
    script, log = played.script, played.log
    marks = [0.0, script.seconds]
    for record in log:
        if record["what"] in ("fault", "over", "listens") and record.get("to", record.get("part")) == "lists":
            marks.append(record["t"] / SECOND)
            if record["what"] == "fault" and played.start == 0:  # the model says at once when it is over
                marks.append(min(script.seconds, (record["t"]) / SECOND + record["for"]))
    rows = []
    edges = sorted(set(marks))
    for since, until in zip(edges, edges[1:], strict=False):
        if until - since < 0.2:
            continue
        s = judge.span(log, script.nodes, since, until)
        rows.append([f"{since:.1f} to {until:.1f}", s.asked, f"{s.per_node_second:.3f}", s.worst_second, s.turned_away,
                     f"{s.turned_away / script.nodes:.3f}", s.refused, s.bytes])  # fmt: skip
    return rows


HEAD = ["seconds", "questions", "a node and second", "in the worst second", "turned away", "a node", "reset at once",
        "bytes of lists"]  # fmt: skip


def told(played: Played) -> list[tuple[str, int, dict[str, float], float | None]]:
    """Each history and version, when each node first held it, and when the last one did if all do."""
    rows = []
    for origin, version in versions(played.log):
        held = judge.held_at(played.log, version)
        rows.append((origin, version, held, max(held.values()) if len(held) == played.script.nodes else None))
    return rows


def summary(played: Played) -> str:
    """The play in a few lines."""
    script = played.script
    lines = [f"{script.name}, seed {played.seed}: {script.nodes} nodes, {script.seconds:g} s"]
    for origin, version, held, last in told(played)[:20]:
        who = f"all at {last:.2f} s" if last is not None else f"{len(held)} of {script.nodes}"
        lines.append(f"version {version} of {origin or 'no history'}: first at {min(held.values()):.2f} s, {who}")
    lines += ["  ".join(f"{name} {value}" for name, value in zip(HEAD, row, strict=True)) for row in phases(played)]
    if played.verdict is not None:
        verdict = played.verdict
        lines.append(f"service {verdict.service:.3f}, {len(verdict.breaches)} breaches of the rules, nearest "
                     + ", ".join(f"{name} {value:.2f}" for name, value in verdict.margins.items()))  # fmt: skip
        lines += [f"BROKEN {breach}" for breach in verdict.breaches[:20]]
    if played.late > 100 * MS:
        lines.append(f"the links themselves were late by up to {played.late / MS:.0f} ms, which bounds were given more")
    lines += [f"not carried out: {text}" for text in played.trouble]
    lines += [f"{name} did not end by itself" for name in played.unclean]
    return "\n".join(lines)


def _bands(axis: Any, played: Played, rows: dict[str, int]) -> None:
    """Faults as grey bands, those of one node as a line in its row (none where its row is negative)."""
    over = {(r["fault"], r["to"]): r["t"] / SECOND for r in played.log if r["what"] == "over"}
    back = [r["t"] / SECOND for r in played.log if r["what"] == "listens"]
    for r in played.log:
        if r["what"] != "fault":
            continue
        began = r["t"] / SECOND
        ended = over.get((r["fault"], r["to"]), began + r.get("for", 0.0))
        if r["to"] == "lists" and (later := [t for t in back if t >= ended - 0.05]):
            ended = later[0]
        last = max(ended, began + played.script.seconds / 500)
        if r["to"] not in rows:
            axis.axvspan(began, last, color="#777777", alpha=0.18, lw=0)
        elif rows[r["to"]] >= 0:
            at = rows[r["to"]]
            axis.plot([began, last], [at, at], color="#222222", lw=2, solid_capstyle="butt")


def _rows(axis: Any, played: Played) -> None:
    """One row a process: readiness as colour, versions as ticks."""
    names = [f"n{n}" for n in range(played.script.nodes)][:_MOST_ROWS]
    row = {name: n for n, name in enumerate(names)}
    end = played.script.seconds
    said: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for r in played.log:
        if r["what"] == "health" and r["part"] in row:
            said[r["part"]].append((r["t"] / SECOND, r["said"]))
    used = []
    for name, changes in said.items():
        for (since, what), (until, _) in zip(changes, [*changes[1:], (end, "")], strict=True):
            axis.barh(row[name], until - since, left=since, height=0.86, color=STAGES.get(what, "#999999"), lw=0)
            used.append(what)
    colour = {v: _VERSIONS[n % len(_VERSIONS)] for n, v in enumerate(versions(played.log))}
    seen: set[tuple[str, Any]] = set()
    for r in judge.of_lists(played.log):
        if r["what"] == "answer" and "version" in r and r["from"] in row:
            which = (r["origin"], r["version"])
            if (r["from"], which) not in seen:
                seen.add((r["from"], which))
                axis.plot([r["t"] / SECOND], [row[r["from"]]], "o", color=colour[which], ms=4, mec="white", mew=0.5)
        elif r["what"] == "answer" and r["status"] in (429, 503) and r["from"] in row:
            axis.plot([r["t"] / SECOND], [row[r["from"]]], "x", color="#b3261e", ms=4)
    import matplotlib.lines as lines
    import matplotlib.patches as patches

    handles: list[Any] = [patches.Patch(color=STAGES[s], label=s) for s in STAGES if s in used]
    handles += [
        lines.Line2D([], [], marker="o", ls="", color=c, label=f"version {v}") for (_, v), c in list(colour.items())[:6]
    ]
    handles.append(lines.Line2D([], [], marker="x", ls="", color="#b3261e", label="turned away"))
    axis.legend(handles=handles, loc="lower left", bbox_to_anchor=(0, 1.0), ncol=6, fontsize=8, frameon=False)
    axis.set_yticks(range(0, len(names), max(1, len(names) // 20)), names[:: max(1, len(names) // 20)], fontsize=7)
    axis.set_ylim(len(names) - 0.3, -0.7)


def _plot(played: Played) -> str:
    import matplotlib

    matplotlib.use("svg")
    import matplotlib.pyplot as plt

    script = played.script
    tall = min(9.0, 1.2 + 0.13 * min(played.script.nodes, _MOST_ROWS))
    figure, axes = plt.subplots(2, 1, figsize=(11, 2.6 + tall), sharex=True, height_ratios=[tall, 2.2],
                                layout="constrained")  # fmt: skip
    _rows(axes[0], played)
    seconds = int(played.script.seconds) + 1
    mine = judge.of_lists(played.log)
    for what, colour, label in (("head", "#1f5fa8", "questions"), ("refused", "#7f8c8d", "reset at once")):
        counts = Counter(int(r["t"] / SECOND) for r in mine if r["what"] == what)
        if counts:
            axes[1].stairs([counts[s] for s in range(seconds)], range(seconds + 1), color=colour, label=label)
    away = Counter(int(r["t"] / SECOND) for r in mine if r["what"] == "answer" and r["status"] in (429, 503))
    if away:
        axes[1].stairs([away[s] for s in range(seconds)], range(seconds + 1), color="#b3261e", label="turned away")
    axes[1].set_ylabel("a second, to the\nlist service")
    axes[1].set_xlabel("seconds from the start")
    axes[1].legend(loc="upper right", fontsize=8, frameon=False)
    for axis in axes:
        nodes = {f"n{n}": n if axis is axes[0] and n < _MOST_ROWS else -1 for n in range(script.nodes)}
        _bands(axis, played, nodes)
        axis.set_xlim(0, played.script.seconds)
        axis.grid(True, axis="x", alpha=0.25)
        axis.spines[["top", "right"]].set_visible(False)
    return as_svg(figure)


def write_page(played: Played, folder: Path) -> Path:
    """Write ``report.html``; where it is."""
    script = played.script
    folder.mkdir(parents=True, exist_ok=True)
    simulated = "" if played.start else " Simulated time, no process was started."
    known = [
        [version, origin, f"{min(held.values()):.2f}", f"{judge.quantile(list(held.values()), 0.5):.2f}",
         f"{last:.2f}" if last is not None else f"{len(held)} of {script.nodes}"]
        for origin, version, held, last in told(played)]  # fmt: skip
    faults = [
        [f"{r['t'] / SECOND:.2f}", r["fault"], r["to"], r.get("of", "*"), r.get("for", "")]
        for r in played.log
        if r["what"] == "fault"
    ]
    parts = [
        "<!doctype html><html lang=en><meta charset=utf-8>",
        f"<title>{html.escape(script.name)}, seed {played.seed}</title><style>{STYLE}</style>",
        f"<h1>{html.escape(script.name)}, seed {played.seed}</h1>",
        f"<p class=quiet>{script.nodes} nodes, {len(script.engines)} stand-in engines, {script.seconds:g} s. Read from "
        f"what passed on the links.{simulated}</p>",
        *(f"<p class=bad>{html.escape(text)}</p>" for text in played.trouble),
        *(f"<p class=bad>{html.escape(name)} did not end by itself</p>" for name in played.unclean),
        *(f"<p class=bad>{html.escape(str(each))}</p>" for each in (played.verdict.breaches if played.verdict else ())),
        "<h2>The play</h2>",
        _plot(played),
        "<h2>Versions</h2>",
        table(["version", "history", "first node (s)", "median (s)", "last node (s)"], known, {0, 2, 3, 4}),
        "<h2>The list service</h2>",
        table(HEAD, phases(played), set(range(1, 8))),
    ]
    if faults:
        parts += ["<h2>Faults</h2>", table(["at (s)", "what", "to", "of", "for (s)"], faults, {0, 4})]
    path = folder / "report.html"
    path.write_text("\n".join(parts), "utf-8")
    return path
