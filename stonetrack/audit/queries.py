"""What accounts answer, and how complete each answer is.  No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from stonetrack.audit.audit_log import ActingVersion, Span
from stonetrack.audit.hash_chain import ChainReading


@dataclass(frozen=True, slots=True)
class Known:
    """What an answer rests on: nodes whose accounts are whole and reach so far, and those that lack something."""

    nodes: int
    lacking: dict[str, str]  # node: what is missing

    def __str__(self) -> str:
        if not self.lacking:
            return f"complete: {self.nodes} accounts, all whole and far enough"
        few = "; ".join(f"{name}: {why}" for name, why in sorted(self.lacking.items())[:10])
        return f"not complete: {len(self.lacking)} of {self.nodes} accounts lack something ({few})"


def known(accounts: Mapping[str, ChainReading], until: int = 0) -> Known:
    """Whether accounts are whole, and told of all up to a time."""
    lacking = {}
    for name, read in accounts.items():
        ends = read.spans[-1].ended if read.spans else 0
        if not read.intact:
            lacking[name] = read.findings[0].wrong.value
        elif ends < until:
            lacking[name] = "nothing was told of the time since" if ends else "nothing was told yet"
    return Known(len(accounts), lacking)


def at(accounts: Mapping[str, ChainReading], time: int) -> dict[str, list[Span]]:
    """Each node's spans that stood at a time."""
    return {name: [s for s in read.spans if s.began <= time <= s.ended] for name, read in accounts.items()}


def who(accounts: Mapping[str, ChainReading], version: int) -> dict[str, list[Span]]:
    """The spans of a list's version with any decision in them, by node."""
    found = {name: [s for s in read.spans if s.acting.version == version and s.counts]
             for name, read in accounts.items()}  # fmt: skip
    return {name: spans for name, spans in found.items() if spans}


def newest(accounts: Mapping[str, ChainReading]) -> dict[str, ActingVersion]:
    """The version that each node decided on last."""
    last: dict[str, ActingVersion] = {}
    for name, read in accounts.items():
        for span in read.spans:
            if span.counts or name not in last:
                last[name] = span.acting
    return last


def stale_nodes(accounts: Mapping[str, ChainReading], wanted: int, since: int) -> dict[str, Span]:
    """The last span of each node that decided anything under an older version of the list after a time."""
    late: dict[str, Span] = {}
    for name, read in accounts.items():
        for span in read.spans:
            if span.counts and span.acting.version < wanted and span.ended > since and span.began >= since:
                late[name] = span
    return late


def difference(accounts: Mapping[str, ChainReading], one: int, two: int) -> dict[str, tuple[float, float]]:
    """What was decided under two versions of the list: each kind's share of all decisions, by name."""
    counts = {version: Counter[str]() for version in (one, two)}
    for read in accounts.values():
        for span in read.spans:
            if span.acting.version in counts:
                counts[span.acting.version].update(span.counts)
    totals = {version: max(1, sum(each.values())) for version, each in counts.items()}
    names = sorted({*counts[one], *counts[two]})
    return {name: (counts[one][name] / totals[one], counts[two][name] / totals[two]) for name in names}
