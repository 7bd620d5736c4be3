"""Who decided on which version of the settings, from what engines and links saw.  No I/O.

Each attempt carries what it was decided with (``control.mark``), which the engines' taps keep; the links keep when each
node asked the control service and what it was told.  Nothing that a node says of itself counts but on its attempts.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

Record = Mapping[str, Any]
MS = 1_000_000


@dataclass(frozen=True, slots=True)
class Decided:
    """An attempt as it reached an engine; ``number`` is the version of the settings it was decided with."""

    t: int
    node: str
    request: str
    first: bool  # of its request
    number: int


def decisions(taps: Iterable[Record], start: int = 0) -> list[Decided]:
    """The marked attempts, in order; times from ``start`` on."""
    found = []
    for record in taps:
        if record["what"] == "request" and "acting" in record:
            settings = record["acting"].partition("/")[0]
            number, dot, _ = settings.partition(".")
            found.append(Decided(record["t"] - start, record["instance"].rpartition("-")[0], record["id"],
                                 record["n"] == "0", int(number) if dot else 0))  # fmt: skip
    return found


def permit_end(log: Iterable[Record], node: str, until: int) -> int | None:
    """The latest time to which a node may have taken requests by what it had been told; None where it need not stop.

    A node counts from before its question, so no later than from when that passed its link."""
    end, steps_out, asked = 0, False, 0
    for record in log:
        if record.get("to") != "control" or record.get("from") != node or record["t"] > until:
            continue
        if record["what"] == "head":
            asked = record["t"]
        elif record["what"] == "answer" and "permit_ms" in record:
            end, steps_out = max(end, asked + record["permit_ms"] * MS), record["steps_out"]
    return end if steps_out else None


def last_stop(log: Iterable[Record], node: str, until: int) -> int | None:
    """When a node was last stopped before a time; None where it was not."""
    stops = (r["t"] for r in log if r["what"] == "fault" and r["fault"] == "stop" and r["to"] == node)
    return max((t for t in stops if t <= until), default=None)


def after_permit(
    made: Sequence[Decided], log: Sequence[Record], sent: Mapping[str, int], slack: int = 100 * MS
) -> list[str]:
    """Requests that were taken though the node's permit had run out: their first attempts, which reached an engine
    then.

    ``sent`` is when each request's client sent it.  What a node had taken before it was stopped it may serve to its
    end.
    """
    asked = [r for r in log if r.get("to") == "control"]
    wrong = []
    for each in made:
        if not each.first or each.request not in sent:
            continue
        end = permit_end(asked, each.node, each.t)
        if end is None or each.t <= end + slack:
            continue
        stopped = last_stop(log, each.node, each.t)
        if sent[each.request] >= min(end if stopped is None else stopped, end):
            wrong.append(f"{each.request}: {each.node} took it by version {each.number} "
                         f"{(each.t - end) / MS:.0f} ms after its permit")  # fmt: skip
    return wrong


def steps_back(made: Iterable[Decided], log: Sequence[Record] = (), sent: Mapping[str, int] | None = None) -> list[str]:
    """Decisions on a request's first attempt by a lower version than the node's one before.

    Attempts are seen as they reach engines, not as they were decided.  A node that is stopped in between carries out
    after it woke what it had decided before, beside what it decides then.  So a request whose client sent it before the
    node was last stopped (``log`` and ``sent``, as in :func:`after_permit`) is no step back.
    """
    sent = sent or {}
    last: dict[str, int] = {}
    wrong = []
    for each in made:
        if not each.first:
            continue
        highest = last.get(each.node, 0)
        stopped = last_stop(log, each.node, each.t)
        before_stop = stopped is not None and each.request in sent and sent[each.request] < stopped
        if each.number < highest and not before_stop:
            wrong.append(f"{each.request}: {each.node} decided by {each.number} after {highest}")
        last[each.node] = max(highest, each.number)
    return wrong
