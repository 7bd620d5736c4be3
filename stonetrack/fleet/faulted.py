"""For how long a node was stopped, or its link to an engine could not carry what it should, by the rig's log.  No I/O.

A node is judged by what engines saw.  Where the link was cut, nobody listened or bytes came late, an engine saw late
what the node did in time (a release, the end of an attempt), and a node heard late, or never, what the engine did.  So
the time of such faults, span by span and pair by pair, is added to what a rule allows; a node that is late by more is
late.  What a client is promised (an answer in time) stays promised whatever links do; only a node that was stopped
(SIGSTOP) is given that time there too.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from fnmatch import fnmatchcase
from typing import Any

HINDERS = ("refuse", "cut", "cut_there", "cut_back", "delay", "slow")
STOPS = "stop"
MS = 1_000_000


@dataclass(frozen=True, slots=True)
class Span:
    """One fault: on the way of whoever the pattern ``of`` names to ``engine`` (``""``: it was stopped itself);
    nanoseconds of the log's clock."""

    engine: str
    of: str
    begin: int
    end: int


class Faulted:
    """The faults of a play."""

    def __init__(self, spans: Iterable[Span] = ()) -> None:
        self._of: dict[str, list[Span]] = {}
        for span in spans:
            self._of.setdefault(span.engine, []).append(span)

    def held(self, engine: str, instance: str, since: int, until: int) -> int:
        """Nanoseconds between two times in which something stood on the way; overlapping faults count once.

        Without an engine, the time in which the node was stopped.
        """
        return _covered(self._spans(engine, instance), since, until)

    def held_anywhere(self, instance: str, since: int, until: int) -> int:
        """The same, on the way to any engine."""
        node = _node(instance)
        spans = [span for each in self._of.values() for span in each if fnmatchcase(node, span.of)]
        return _covered(sorted(spans, key=lambda each: each.begin), since, until)

    def heard(self, engine: str, instance: str, at: int) -> int:
        """When an instance could hear at last what the engine said ``at`` some time."""
        for span in self._spans(engine, instance):
            if span.begin <= at < span.end:
                at = span.end
        return at

    def sent(self, engine: str, instance: str, at: int, slack: int) -> int:
        """When an instance may have sent at first what reached the engine ``at`` some time, ``slack`` after a fault."""
        for span in reversed(self._spans(engine, instance)):
            if span.begin <= at <= span.end + slack:
                at = span.begin
        return at

    def _spans(self, engine: str, instance: str) -> list[Span]:
        """In order of their beginnings."""
        node = _node(instance)
        spans = {*self._of.get(engine, ()), *self._of.get("", ())}
        return sorted((s for s in spans if fnmatchcase(node, s.of)), key=lambda each: (each.begin, each.end))


def _node(instance: str) -> str:
    return instance.rpartition("-")[0] or instance


def _covered(spans: Iterable[Span], since: int, until: int) -> int:
    """Nanoseconds between two times that spans, in order, cover."""
    total, past = 0, since
    for span in spans:
        begin, end = max(span.begin, past), min(span.end, until)
        if end > begin:
            total += end - begin
            past = end
    return total


def faults(log: Iterable[dict[str, Any]], until: int) -> Faulted:
    """Of a rig's log (``fault`` and ``over`` records, in order); what is not over lasts ``until``."""
    spans: list[Span] = []
    begun: dict[tuple[str, str, str], tuple[int, int]] = {}
    for record in log:
        if record["what"] not in ("fault", "over"):
            continue
        fault, to = record["fault"], record["to"]
        if not (fault in HINDERS and to.startswith("e:")) and fault != STOPS:
            continue
        key = (fault, to, record["of"])
        if record["what"] == "fault":
            begun.setdefault(key, (record["t"], int(2 * record.get("late_ms", 0.0) * MS)))
        elif key in begun:
            begin, late = begun.pop(key)  # what was sent before the end still comes late, there and back
            spans.append(_span(key, begin, record["t"] + late))
    spans += [_span(key, begin, until) for key, (begin, _) in begun.items()]
    return Faulted(spans)


def _span(key: tuple[str, str, str], begin: int, end: int) -> Span:
    fault, to, of = key
    return Span("", to, begin, end) if fault == STOPS else Span(to.removeprefix("e:"), of, begin, end)
