"""Style sheet, tables and figures of the report pages."""

from __future__ import annotations

import html
import io
from typing import Any

STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 68rem; padding: 0 1rem; color: #222; }
h1 { font-size: 1.5rem; margin-bottom: .2rem } h2 { font-size: 1.15rem; margin-top: 2rem }
table { border-collapse: collapse; width: 100% } th, td { text-align: left; padding: .25rem .6rem;
border-bottom: 1px solid #ddd } td.n, th.n { text-align: right; font-variant-numeric: tabular-nums }
.good { color: #2d6a34; font-weight: 600 } .bad { color: #b3261e; font-weight: 600 }
svg { max-width: 100%; height: auto } code { background: #f4f4f4; padding: 0 .2rem } .quiet { color: #666 }
"""


def table(head: list[str], rows: list[list[Any]], numeric_columns: set[int]) -> str:
    """An HTML table; ``numeric_columns`` are right-aligned."""

    def cell(tag: str, n: int, value: Any) -> str:
        kind = ' class="n"' if n in numeric_columns else ""
        return f"<{tag}{kind}>{html.escape(str(value))}</{tag}>"

    lines = ["<tr>" + "".join(cell("th", n, v) for n, v in enumerate(head)) + "</tr>"]
    lines += ["<tr>" + "".join(cell("td", n, v) for n, v in enumerate(row)) + "</tr>" for row in rows]
    return "<table>" + "".join(lines) + "</table>"


def as_svg(figure: Any) -> str:
    """Convert a matplotlib figure to an SVG element and close the figure."""
    import matplotlib.pyplot as plt

    out = io.StringIO()
    figure.savefig(out, format="svg")
    plt.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]
