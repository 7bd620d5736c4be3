"""The report of a scenario run: one HTML page with embedded SVG plots (matplotlib)."""

from __future__ import annotations

import html
from collections import defaultdict
from pathlib import Path
from typing import Any

from stonetrack.fleet.judge import quantile
from stonetrack.pages.style import STYLE, as_svg, table
from stonetrack.scenario.result import ScenarioResult

SECOND = 1e9
_COLOURS = {
    "served": "#3a7d44",
    "refused": "#e0a030",
    "failed": "#c0392b",
    "broken": "#8e44ad",
    "left": "#95a5a6",
    "cut": "#2c3e50",
    "rejected": "#d35400",
    "refused connection": "#7f8c8d",
    "no answer": "#000000",
    "garbled": "#ff00aa",
}
_RULES = {
    1: "One final answer in time, nothing after it",
    2: "No effect twice, no overlapping attempts",
    3: "Drains kept",
    4: "No cold engine pushed over",
    5: "Nothing left pinned",
}


def _plot(result: ScenarioResult) -> str:
    import matplotlib

    matplotlib.use("svg")
    import matplotlib.pyplot as plt

    load_started, seconds = result.load_started, result.scenario.seconds
    bins = max(10, int(seconds * 2))
    width = seconds / bins
    figure, axes = plt.subplots(3, 1, figsize=(11, 8.2), sharex=True, height_ratios=[2, 2, 1.3], layout="constrained")
    counts: dict[str, list[int]] = defaultdict(lambda: [0] * bins)
    for s in result.client_records:
        slot = min(bins - 1, max(0, int((s.sent - load_started) / SECOND / width)))
        counts[s.ended][slot] += 1
    xs = [(n + 0.5) * width for n in range(bins)]
    order = [name for name in _COLOURS if name in counts]
    if order:
        axes[0].stackplot(
            xs,
            *[[c / width for c in counts[n]] for n in order],
            labels=order,
            colors=[_COLOURS[n] for n in order],
            step="mid",
        )
        axes[0].legend(loc="lower left", bbox_to_anchor=(0, 0.98), ncol=len(order), fontsize=8, frameon=False)
    axes[0].set_ylabel("requests a second,\nby how they ended")
    for cls, colour in zip(result.verdict.service_by_class, ("#1f5fa8", "#c25b12", "#5b8c2a", "#7a4fa3"), strict=False):
        points = [
            ((s.sent - load_started) / SECOND, (s.first - s.sent) / SECOND)
            for s in result.client_records
            if s.cls == cls and s.first
        ]
        axes[1].scatter(
            [x for x, _ in points], [max(y, 1e-4) for _, y in points], s=5, color=colour, label=cls, alpha=0.6
        )
    axes[1].set_yscale("log")
    axes[1].set_ylabel("first token\nafter (s)")
    axes[1].legend(loc="lower left", bbox_to_anchor=(0, 0.98), fontsize=8, frameon=False, ncol=4)
    lanes = sorted({what for _, what, _ in result.injected_faults})
    for at, what, engine in result.injected_faults:
        lane = lanes.index(what)
        axes[2].plot([at], [lane], "v", color="#b3261e", markersize=6)
        axes[2].annotate(engine, (at, lane), fontsize=6, xytext=(4, -2), textcoords="offset points", color="#555")
    axes[2].set_yticks(range(len(lanes)), lanes, fontsize=8)
    axes[2].set_ylim(-0.8, len(lanes) - 0.2)
    axes[2].set_xlabel("seconds from the start of the load")
    axes[2].set_xlim(0, seconds)
    for axis in axes:
        axis.grid(True, alpha=0.25)
        axis.spines[["top", "right"]].set_visible(False)
    return as_svg(figure)


def _request_events(result: ScenarioResult, request: str) -> list[list[Any]]:
    """All client and engine events of one request, ordered by time."""
    rows = []
    for s in result.client_records:
        if s.request == request:
            rows.append((s.sent, "client", f"sent ({s.how}, {s.cls}, {s.behaviour}, try {s.retry + 1})"))
            if s.head:
                rows.append((s.head, "client", f"head {s.status} from {s.instance}"))
            rows.append((s.end, "client", f"{s.ended} {s.why}"))
    for r in result.engine_log:
        if r.get("id") == request:
            rest = " ".join(
                f"{k}={v}" for k, v in r.items() if k not in ("t", "what", "id", "engine", "key") and v != ""
            )
            rows.append((r["t"], r["engine"], f"{r['what']} {rest}"))
    rows.sort()
    return [[f"{(t - result.load_started) / SECOND:.4f}", who, text] for t, who, text in rows]


def write_page(result: ScenarioResult, folder: Path) -> Path:
    """Write ``report.html`` and return its path."""
    verdict, scenario = result.verdict, result.scenario
    broken: dict[int, int] = defaultdict(int)
    for breach in verdict.breaches:
        broken[breach.rule] += 1
    margins = {int(name[0]): value for name, value in verdict.margins.items()}
    rules = "".join(
        f"<tr><td class=n>{n}</td><td>{html.escape(text)}</td>"
        f"<td class={'bad' if broken[n] else 'good'}>{f'broken {broken[n]} times' if broken[n] else 'kept'}</td>"
        f"<td class=n>{f'{margins[n]:.2f}' if n in margins else ''}</td></tr>"
        for n, text in _RULES.items()
    )
    by_class = []
    for name, service in verdict.service_by_class.items():
        first_token_seconds = [
            (s.first - s.sent) / SECOND
            for s in result.client_records
            if s.cls == name and s.first and s.behaviour == "normal"
        ]
        class_records = [s for s in result.client_records if s.cls == name]
        by_class.append(
            [
                name,
                len(class_records),
                f"{service:.3f}",
                f"{quantile(first_token_seconds, 0.5):.3f}",
                f"{quantile(first_token_seconds, 0.99):.3f}",
                sum(s.ended == "served" for s in class_records),
                sum(s.ended == "refused" for s in class_records),
                sum(s.ended in ("failed", "broken") for s in class_records),
            ]
        )
    parts = [
        "<!doctype html><html lang=en><meta charset=utf-8>",
        f"<title>{html.escape(scenario.name)}, seed {result.seed}</title>",
        f"<style>{STYLE}</style><h1>{html.escape(scenario.name)}, seed {result.seed}</h1>",
        f"<p class=quiet>{scenario.instances} instances, {len(scenario.engines)} emulated engines, {verdict.counts['requests']} requests in "
        f"{scenario.seconds:g} s, {verdict.counts['attempts']} attempts. Judged from what passed on client and engine sockets.</p>",
        f"<p>{'<span class=good>Every rule was kept.</span>' if verdict.kept else '<span class=bad>Rules were broken.</span>'} "
        f"Service {verdict.service:.3f}. {verdict.excused} requests or states were excused, held by an instance that was killed.</p>",
        "<h2>Rules</h2><table><tr><th class=n></th><th>Rule</th><th></th>"
        f"<th class=n>nearest to its bound (1)</th></tr>{rules}</table>",
        "<h2>Service</h2>",
        table(
            ["class", "requests", "service", "first token, median (s)", "99th (s)", "served", "refused", "failed"],
            by_class,
            set(range(1, 8)),
        ),
        "<h2>The run</h2>",
        _plot(result),
    ]
    if verdict.breaches:
        parts.append("<h2>Breaches</h2>")
        parts.append(
            table(
                ["rule", "at (s)", "request", "what"],
                [
                    [b.rule, f"{(b.at - result.load_started) / SECOND:.3f}", b.request, b.text]
                    for b in verdict.breaches[:100]
                ],
                {0, 1},
            )
        )
        for request in list(dict.fromkeys(b.request for b in verdict.breaches if b.request))[:5]:
            parts.append(f"<h2>What passed for <code>{html.escape(request)}</code></h2>")
            parts.append(table(["s", "where", "what"], _request_events(result, request), {0}))
    slowest = sorted(
        (s for s in result.client_records if s.first and s.behaviour == "normal"), key=lambda s: s.sent - s.first
    )[:3]
    for s in slowest:
        took = (s.first - s.sent) / SECOND
        parts.append(f"<h2>Slow: <code>{html.escape(s.request)}</code>, first token after {took:.3f} s</h2>")
        parts.append(table(["s", "where", "what"], _request_events(result, s.request), {0}))
    path = folder / "report.html"
    path.write_text("\n".join(parts), "utf-8")
    return path
