"""Queries over audit logs, and how complete each answer is.  No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from stonetrack.audit.audit_log import ActingVersion, Span
from stonetrack.audit.hash_chain import ChainReading


@dataclass(frozen=True, slots=True)
class Coverage:
    """The data behind an answer: the number of nodes, and the nodes whose audit logs lack something."""

    nodes: int
    lacking: dict[str, str]  # node: what is missing

    def __str__(self) -> str:
        if not self.lacking:
            return f"complete: {self.nodes} audit logs, all intact and recent enough"
        examples = "; ".join(f"{name}: {why}" for name, why in sorted(self.lacking.items())[:10])
        return f"not complete: {len(self.lacking)} of {self.nodes} audit logs lack something ({examples})"


def coverage(logs: Mapping[str, ChainReading], until: int = 0) -> Coverage:
    """Return whether audit logs are intact and reach up to a time."""
    lacking = {}
    for name, read in logs.items():
        ends = read.spans[-1].ended if read.spans else 0
        if not read.intact:
            lacking[name] = read.findings[0].defect.value
        elif ends < until:
            lacking[name] = "no span covers the time since" if ends else "no span was written yet"
    return Coverage(len(logs), lacking)


def spans_at(logs: Mapping[str, ChainReading], time: int) -> dict[str, list[Span]]:
    """Return each node's spans that cover a time."""
    return {name: [s for s in read.spans if s.began <= time <= s.ended] for name, read in logs.items()}


def spans_of_version(logs: Mapping[str, ChainReading], version: int) -> dict[str, list[Span]]:
    """Return the spans with decisions made under a version of the server list, by node."""
    found = {name: [s for s in read.spans if s.acting.version == version and s.counts]
             for name, read in logs.items()}  # fmt: skip
    return {name: spans for name, spans in found.items() if spans}


def latest_versions(logs: Mapping[str, ChainReading]) -> dict[str, ActingVersion]:
    """Return the acting version of each node's last decisions."""
    last: dict[str, ActingVersion] = {}
    for name, read in logs.items():
        for span in read.spans:
            if span.counts or name not in last:
                last[name] = span.acting
    return last


def stale_nodes(logs: Mapping[str, ChainReading], version: int, since: int) -> dict[str, Span]:
    """Return the last span of each node that made decisions under an older server list after a time."""
    stale: dict[str, Span] = {}
    for name, read in logs.items():
        for span in read.spans:
            if span.counts and span.acting.version < version and span.ended > since and span.began >= since:
                stale[name] = span
    return stale


def action_shares(logs: Mapping[str, ChainReading], first: int, second: int) -> dict[str, tuple[float, float]]:
    """Return each action's share of all decisions under two versions of the server list, by name of the action."""
    counts = {version: Counter[str]() for version in (first, second)}
    for read in logs.values():
        for span in read.spans:
            if span.acting.version in counts:
                counts[span.acting.version].update(span.counts)
    totals = {version: max(1, sum(each.values())) for version, each in counts.items()}
    names = sorted({*counts[first], *counts[second]})
    return {name: (counts[first][name] / totals[first], counts[second][name] / totals[second]) for name in names}
