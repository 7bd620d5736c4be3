"""Spans in a hash chain, one per line, and the defects that a reader finds in a chain.  No I/O.

A line is ``HASH JSON``; the hash covers the previous line's hash and the JSON, so a missing, changed or moved line
shows, as do all lines after a change.  The first line of a process names the last hash on its disk, or ``0`` where
there is none: the disk was lost.  A restored copy of a disk shows as a second line that follows the same line.

A chain cannot show that its end was cut off, or its beginning beyond what retention removes (``begins`` says where it
starts).  Another party that has read those lines can: the collector.
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
    """Content of a line: its number in the chain, the hash of the line before, the span."""

    number: int
    before: str
    span: Span


class ChainDefect(Enum):
    """A defect at a line.  The values are printed; the names are stored by the collector."""

    TORN = "the last line is not whole"
    CHANGED = "the line is not what was written"
    GAP = "lines are missing before it"
    RESTART = "the node began anew without what it had written before"
    BACK = "an older copy was put back: the same place was written twice"


@dataclass(frozen=True, slots=True)
class Finding:
    """One defect, at a line (from 1)."""

    line: int
    defect: ChainDefect


def encode_line(number: int, before: str, span: Span) -> tuple[bytes, str]:
    """Return the line of a span and its hash."""
    body = msgspec.json.encode(Entry(number, before, span))
    digest = _hash(before, body)
    return digest.encode() + b" " + body + b"\n", digest


def _hash(before: str, body: bytes) -> str:
    return blake2b(before.encode() + b"\n" + body, digest_size=12).hexdigest()


@dataclass(frozen=True, slots=True)
class ChainReading:
    """Result of reading lines: the valid spans in order, the defects, and the end of the chain."""

    spans: tuple[Span, ...]
    findings: tuple[Finding, ...]
    number: int  # of the next line
    last: str  # hash of the last valid line
    begins: int = 0  # number of the first line present; retention has removed older ones

    @property
    def intact(self) -> bool:
        """Whether nothing is missing that a chain can show."""
        return not any(f.defect is not ChainDefect.TORN for f in self.findings)


def read_chain(lines: Iterable[bytes], number: int = 0, last: str = START) -> ChainReading:
    """Follow a chain over its lines, those of several files in order; a file may be cut anywhere.

    A reader that continues passes the ``number`` and ``last`` of its previous result."""
    spans: list[Span] = []
    findings: list[Finding] = []
    begins = number if last != START else -1
    seen = {START, last}
    for n, raw in enumerate(lines, 1):
        entry, digest = _decode_line(raw)
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
        number, last = entry.number + 1, digest
        seen.add(digest)
    return ChainReading(tuple(spans), tuple(findings), number, last, max(0, begins))


def _decode_line(raw: bytes) -> tuple[Entry | None, str]:
    stated, space, body = raw.rstrip(b"\n").partition(b" ")
    if not space or not raw.endswith(b"\n"):
        return None, ""
    try:
        entry = msgspec.json.decode(body, type=Entry)
        digest = stated.decode("ascii")
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None, ""
    return (entry, digest) if _hash(entry.before, body) == digest else (None, "")
