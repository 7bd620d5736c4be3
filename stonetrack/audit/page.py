"""The fleet over time as accounts tell it: an HTML page with its plot inside, one row a node, colour by version.

Where nothing was told of a time the row is hatched; where a chain is not whole its node's name is marked.
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
from stonetrack.audit.queries import known
from stonetrack.pages.style import STYLE, as_svg, table

SECOND = 1e9
GAP = 2.0  # seconds between two spans from which the time between them counts as not told
_COLOURS = ("#1f5fa8", "#c25b12", "#7a4fa3", "#0e7c86", "#a33a5e", "#5b8c2a", "#8a6d1d", "#4b5563")
_MOST_ROWS = 80


def versions(accounts: Mapping[str, ChainReading]) -> list[ActingVersion]:
    """All acting versions, in the order in which any node first decided on them."""
    first: dict[ActingVersion, int] = {}
    for read in accounts.values():
        for span in read.spans:
            first[span.acting] = min(first.get(span.acting, span.began), span.began)
    return sorted(first, key=lambda acting: first[acting])


def gaps(spans: tuple[Span, ...], since: int, until: int) -> list[tuple[int, int]]:
    """The times of which nothing was told between two moments."""
    found, at = [], since
    for span in sorted(spans, key=lambda s: s.began):
        if span.began - at > GAP * SECOND:
            found.append((at, span.began))
        at = max(at, span.ended)
    if until - at > GAP * SECOND:
        found.append((at, until))
    return found


def _natural(name: str) -> list[tuple[int, str]]:
    """n2 before n10."""
    return [(int(part), "") if part.isdigit() else (-1, part) for part in re.split(r"([0-9]+)", name)]


def _plot(accounts: Mapping[str, ChainReading], colour: Mapping[ActingVersion, str], since: int, until: int) -> str:
    import matplotlib

    matplotlib.use("svg")
    import matplotlib.patches as patches
    import matplotlib.pyplot as plt

    names = sorted(accounts, key=_natural)[:_MOST_ROWS]
    figure, axis = plt.subplots(figsize=(11, 1.6 + 0.2 * len(names)), layout="constrained")
    for row, name in enumerate(names):
        spans = accounts[name].spans
        for span in spans:
            left, wide = (span.began - since) / SECOND, max(span.ended - span.began, 1) / SECOND
            alpha = 1.0 if span.counts else 0.35
            axis.barh(row, wide, left=left, height=0.8, color=colour[span.acting], lw=0, alpha=alpha)
        for begin, end in gaps(spans, since, until):
            axis.barh(row, (end - begin) / SECOND, left=(begin - since) / SECOND, height=0.8, fill=False,
                      hatch="////", edgecolor="#999999", lw=0)  # fmt: skip
    labels = [name if accounts[name].intact else f"{name} !" for name in names]
    axis.set_yticks(range(len(names)), labels, fontsize=7)
    axis.set_ylim(len(names) - 0.4, -0.6)
    axis.set_xlim(0, max((until - since) / SECOND, 1e-3))
    axis.set_xlabel(f"seconds from {_when(since)}, each node's own clock")
    axis.spines[["top", "right"]].set_visible(False)
    handles: list[Any] = [
        patches.Patch(color=c, label=f"list {a.version}, settings {a.settings[:6] or '-'}")
        for a, c in list(colour.items())[-7:]
    ]
    handles.append(patches.Patch(fill=False, hatch="////", edgecolor="#999999", label="not told"))
    axis.legend(handles=handles, loc="lower left", bbox_to_anchor=(0, 1.0), ncol=4, fontsize=8, frameon=False)
    return as_svg(figure)


def _when(at: int) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(at / SECOND)) + "Z"


def write_page(accounts: Mapping[str, ChainReading], path: Path) -> None:
    """Write the page.  Raises OSError."""
    spans = [span for read in accounts.values() for span in read.spans]
    since, until = min((s.began for s in spans), default=0), max((s.ended for s in spans), default=1)
    found = versions(accounts)
    colour = {acting: _COLOURS[n % len(_COLOURS)] for n, acting in enumerate(found)}
    rows = []
    for acting in found:
        mine = [(name, s) for name, read in accounts.items() for s in read.spans if s.acting == acting]
        decided = sum(sum(s.counts.values()) for _, s in mine)
        rows.append([acting.version, acting.origin, acting.settings, acting.module, len({n for n, _ in mine}), decided,
                     _when(min(s.began for _, s in mine)), _when(max(s.ended for _, s in mine))])  # fmt: skip
    wrong = [[name, f.line, f.wrong.value] for name, read in sorted(accounts.items()) for f in read.findings]
    told = known(accounts)
    kind = "good" if not told.lacking else "bad"
    parts = [
        "<!doctype html><html lang=en><meta charset=utf-8>",
        f"<title>Audit of {len(accounts)} nodes</title><style>{STYLE}</style>",
        f"<h1>Audit of {len(accounts)} nodes</h1>",
        f"<p class={kind}>{html.escape(str(told))}</p>",
        "<h2>Who decided on what</h2>",
        _plot(accounts, colour, since, until) if spans else "<p>No span.</p>",
        "<h2>Versions</h2>",
        table(["list", "history", "settings", "module", "nodes", "decisions", "first", "last"], rows, {0, 4, 5}),
    ]
    if wrong:
        parts += ["<h2>What is wrong with accounts</h2>", table(["node", "line", "what"], wrong, {1})]
    path.write_text("\n".join(parts), "utf-8")
