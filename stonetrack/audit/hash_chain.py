"""Spans chained by hash, a line each, and what a reader finds wrong with a chain.  No I/O.

A line is ``HASH JSON``; the hash is that of the line before and the JSON, so that a line that is missing, changed or
moved shows, and all lines after a change with it.  The first line of a process names the hash it found on disk; one
that found nothing begins at ``0``: a lost disk.  A copy of a disk put back shows as a second line after one that had
another.

What a chain can't show: that its end was cut off, or its beginning beyond what retention takes (``begins`` tells where
it stands).  That shows at whoever had heard of other lines (the collector).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

import msgspec

from stonetrack.audit.audit_log import Span

START = "0"


class Entry(msgspec.Struct, frozen=True):
    """What a line holds: its number in the chain, the hash before it, the span."""

    number: int
    before: str
    span: Span


class ChainDefect(Enum):
    """What may be wrong at a line."""

    TORN = "the last line is not whole"
    CHANGED = "the line is not what was written"
    GAP = "lines are missing before it"
    RESTART = "the node began anew without what it had written before"
    BACK = "an older copy was put back: the same place was written twice"


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong, at a line (from 1)."""

    line: int
    wrong: ChainDefect


def encode_line(number: int, before: str, span: Span) -> tuple[bytes, str]:
    """The line of a span, and its hash."""
    body = msgspec.json.encode(Entry(number, before, span))
    made = _hash(before, body)
    return made.encode() + b" " + body + b"\n", made


def _hash(before: str, body: bytes) -> str:
    return blake2b(before.encode() + b"\n" + body, digest_size=12).hexdigest()


@dataclass(frozen=True, slots=True)
class ChainReading:
    """What a reader makes of lines: the spans that are sound, in order, what is wrong, and where the chain ends."""

    spans: tuple[Span, ...]
    findings: tuple[Finding, ...]
    number: int  # of the next line
    last: str  # hash of the last sound one
    begins: int = 0  # number of the first line there is; older ones have been let go

    @property
    def intact(self) -> bool:
        """Whether nothing is missing that a chain can show."""
        return not any(f.wrong is not ChainDefect.TORN for f in self.findings)


def read_chain(lines: Iterable[bytes], number: int = 0, last: str = START) -> ChainReading:
    """Follow a chain over its lines, those of several files in order; a file may be cut anywhere.

    ``number`` and ``last`` are where a reader that goes on had come to."""
    spans: list[Span] = []
    findings: list[Finding] = []
    begins = number if last != START else -1
    seen = {START, last}
    for n, raw in enumerate(lines, 1):
        entry, made = _entry(raw)
        if entry is None:
            findings.append(Finding(n, ChainDefect.TORN if not raw.endswith(b"\n") else ChainDefect.CHANGED))
            continue
        if begins < 0 and not findings:
            begins = entry.number
        elif entry.before != last:
            if entry.before == START:
                findings.append(Finding(n, ChainDefect.RESTART))
            else:
                findings.append(Finding(n, ChainDefect.BACK if entry.before in seen else ChainDefect.GAP))
        elif entry.number != number:
            findings.append(Finding(n, ChainDefect.GAP))
        spans.append(entry.span)
        number, last = entry.number + 1, made
        seen.add(made)
    return ChainReading(tuple(spans), tuple(findings), number, last, max(0, begins))


def _entry(raw: bytes) -> tuple[Entry | None, str]:
    told, space, body = raw.rstrip(b"\n").partition(b" ")
    if not space or not raw.endswith(b"\n"):
        return None, ""
    try:
        entry = msgspec.json.decode(body, type=Entry)
        made = told.decode("ascii")
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None, ""
    return (entry, made) if _hash(entry.before, body) == made else (None, "")
