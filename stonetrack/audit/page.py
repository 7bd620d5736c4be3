"""An HTML page of the fleet over time from audit logs, with an embedded plot: one row per node, coloured by version.

Times without data are hatched; the name of a node whose chain is not intact is marked.
"""

from __future__ import annotations

import html
import re
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from stonetrack.audit.audit_log import ActingVersion, Span
from stonetrack.audit.hash_chain import ChainReading
from stonetrack.audit.queries import coverage
from stonetrack.pages.style import STYLE, as_svg, table

SECOND = 1e9
MIN_GAP_S = 2.0  # between two spans, above which the time between them counts as without data
_COLOURS = ("#1f5fa8", "#c25b12", "#7a4fa3", "#0e7c86", "#a33a5e", "#5b8c2a", "#8a6d1d", "#4b5563")
_MAX_ROWS = 80


def versions(logs: Mapping[str, ChainReading]) -> list[ActingVersion]:
    """Return all acting versions, in the order of their first span on any node."""
    first: dict[ActingVersion, int] = {}
    for read in logs.values():
        for span in read.spans:
            first[span.acting] = min(first.get(span.acting, span.began), span.began)
    return sorted(first, key=lambda acting: first[acting])


def gaps(spans: tuple[Span, ...], since: int, until: int) -> list[tuple[int, int]]:
    """Return the times without data between two moments."""
    found, end = [], since
    for span in sorted(spans, key=lambda s: s.began):
        if span.began - end > MIN_GAP_S * SECOND:
            found.append((end, span.began))
        end = max(end, span.ended)
    if until - end > MIN_GAP_S * SECOND:
        found.append((end, until))
    return found


def _natural(name: str) -> list[tuple[int, str]]:
    """Return a sort key that puts n2 before n10."""
    return [(int(part), "") if part.isdigit() else (-1, part) for part in re.split(r"([0-9]+)", name)]


def _plot(logs: Mapping[str, ChainReading], colour: Mapping[ActingVersion, str], since: int, until: int) -> str:
    import matplotlib

    matplotlib.use("svg")
    import matplotlib.patches as patches
    import matplotlib.pyplot as plt

    names = sorted(logs, key=_natural)[:_MAX_ROWS]
    figure, axis = plt.subplots(figsize=(11, 1.6 + 0.2 * len(names)), layout="constrained")
    for row, name in enumerate(names):
        spans = logs[name].spans
        for span in spans:
            left, width = (span.began - since) / SECOND, max(span.ended - span.began, 1) / SECOND
            alpha = 1.0 if span.counts else 0.35
            axis.barh(row, width, left=left, height=0.8, color=colour[span.acting], lw=0, alpha=alpha)
        for begin, end in gaps(spans, since, until):
            axis.barh(row, (end - begin) / SECOND, left=(begin - since) / SECOND, height=0.8, fill=False,
                      hatch="////", edgecolor="#999999", lw=0)  # fmt: skip
    labels = [name if logs[name].intact else f"{name} !" for name in names]
    axis.set_yticks(range(len(names)), labels, fontsize=7)
    axis.set_ylim(len(names) - 0.4, -0.6)
    axis.set_xlim(0, max((until - since) / SECOND, 1e-3))
    axis.set_xlabel(f"seconds from {_format_time(since)}, each node's own clock")
    axis.spines[["top", "right"]].set_visible(False)
    handles: list[Any] = [
        patches.Patch(color=c, label=f"list {a.version}, settings {a.settings[:6] or '-'}")
        for a, c in list(colour.items())[-7:]
    ]
    handles.append(patches.Patch(fill=False, hatch="////", edgecolor="#999999", label="no data"))
    axis.legend(handles=handles, loc="lower left", bbox_to_anchor=(0, 1.0), ncol=4, fontsize=8, frameon=False)
    return as_svg(figure)


def _format_time(at: int) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(at / SECOND)) + "Z"


def write_page(logs: Mapping[str, ChainReading], path: Path) -> None:
    """Write the page.  Raises OSError."""
    spans = [span for read in logs.values() for span in read.spans]
    since, until = min((s.began for s in spans), default=0), max((s.ended for s in spans), default=1)
    found = versions(logs)
    colour = {acting: _COLOURS[n % len(_COLOURS)] for n, acting in enumerate(found)}
    rows = []
    for acting in found:
        matching = [(name, s) for name, read in logs.items() for s in read.spans if s.acting == acting]
        decisions = sum(sum(s.counts.values()) for _, s in matching)
        rows.append([acting.version, acting.origin, acting.settings, acting.module, len({n for n, _ in matching}),
                     decisions, _format_time(min(s.began for _, s in matching)),
                     _format_time(max(s.ended for _, s in matching))])  # fmt: skip
    findings = [[name, f.line, f.defect.value] for name, read in sorted(logs.items()) for f in read.findings]
    covered = coverage(logs)
    kind = "good" if not covered.lacking else "bad"
    parts = [
        "<!doctype html><html lang=en><meta charset=utf-8>",
        f"<title>Audit of {len(logs)} nodes</title><style>{STYLE}</style>",
        f"<h1>Audit of {len(logs)} nodes</h1>",
        f"<p class={kind}>{html.escape(str(covered))}</p>",
        "<h2>Decisions by node and version</h2>",
        _plot(logs, colour, since, until) if spans else "<p>No span.</p>",
        "<h2>Versions</h2>",
        table(["list", "history", "settings", "module", "nodes", "decisions", "first", "last"], rows, {0, 4, 5}),
    ]
    if findings:
        parts += ["<h2>Defects of audit logs</h2>", table(["node", "line", "what"], findings, {1})]
    path.write_text("\n".join(parts), "utf-8")
