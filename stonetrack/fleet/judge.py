"""What a fleet did to its list service, read from what passed on the links (or in the model).  No I/O.

Nothing that a process says of itself counts: a node holds a version when the answer that tells it had passed its link.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

SECOND = 1_000_000_000
Record = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Span:
    """What passed between two times; times in seconds, counts over the whole fleet."""

    asked: int  # questions whose head reached the service's side
    refused: int  # tries where nobody listened
    turned_away: int
    worst_second: int  # most questions within one second
    bytes: int  # of lists
    per_node_second: float  # questions


def of_lists(log: Iterable[Record]) -> list[Record]:
    """The records of links to the list service."""
    return [r for r in log if r.get("to") == "lists" and r["what"] != "fault"]


def span(log: Sequence[Record], nodes: int, since: float, until: float) -> Span:
    """The traffic between two times."""
    lo, hi = since * SECOND, until * SECOND
    mine = [r for r in of_lists(log) if lo <= r["t"] < hi]
    asked = [r["t"] for r in mine if r["what"] == "head"]
    answers = [r for r in mine if r["what"] == "answer"]
    seconds = Counter(int(t) // SECOND for t in asked)
    return Span(
        len(asked),
        sum(r["what"] == "refused" for r in mine),
        sum(r["status"] in (429, 503) for r in answers),
        max(seconds.values(), default=0),
        sum(r["bytes"] for r in answers if r["status"] == 200),
        len(asked) / max(nodes * (until - since), 1e-9),
    )


def told(log: Iterable[Record], instances: int) -> list[Record]:
    """What each instance was told of engines that leave, as the rules' judge reads it.

    An engine that a whole list no longer names is not told as leaving: nodes hold such a list until it is confirmed.
    """
    known: dict[str, dict[str, str]] = {}
    made = []
    for record in of_lists(log):
        if record["what"] != "answer" or "states" not in record:
            continue
        states = known.setdefault(record["from"], {})
        states.update(record["states"])
        leaving = sorted(name for name, state in states.items() if state != "up")
        up = sorted(name for name, state in states.items() if state == "up")
        made += [{"t": record["t"], "what": "told", "instance": f"{record['from']}-{n}", "version": record["version"],
                  "leaving": leaving, "up": up} for n in range(instances)]  # fmt: skip
    return made


def held_at(log: Sequence[Record], version: int) -> dict[str, float]:
    """When each node first held this version or a later one (of any history), in seconds."""
    held: dict[str, float] = {}
    for record in of_lists(log):
        if record["what"] == "answer" and record["status"] == 200 and record["version"] >= version:
            held.setdefault(record["from"], record["t"] / SECOND)
    return held


def all_hold(log: Sequence[Record], nodes: int, version: int) -> float | None:
    """When the last node came to hold the version; None where one never did."""
    held = held_at(log, version)
    return max(held.values()) if len(held) == nodes else None


def quantile(values: Sequence[float], share: float) -> float:
    """The value at a share of the sorted list, 0 where it is empty."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0
