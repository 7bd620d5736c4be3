"""A node's account: spans of decisions, each under one acting version.  No I/O.

The *acting version* is what a decision was made with: the digest of the settings, the list's history and version, the
program's version and the digest of the module.  Decisions come in the router's order, under the core's lock, each with
the acting version of that moment, so every decision falls on one side of a change.  After a reload the old router still
decides for its own requests: spans of two versions are then open at one time, and each decision is counted under its
own.

A span is closed when its version is no longer the node's newest and nothing was decided under it for a while, when it
has stood for ``every``, or when it holds ``most`` requests, which bounds memory and what a kill can lose.
"""

from __future__ import annotations

import base64
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from stonetrack.audit import filter as prints

QUIET = 2_000_000_000  # nanoseconds without a decision after which a span of an older version is closed


class ActingVersion(msgspec.Struct, frozen=True, order=True):
    """What decisions are made with."""

    settings: str = ""  # digest
    origin: str = ""  # of the list's history
    version: int = -1  # of the list; -1 before the first
    program: str = ""
    module: str = ""  # digest


class Span(msgspec.Struct, frozen=True):
    """One closed span; times in nanoseconds of the node's clock, Unix time at its start.  ``requests`` is a filter."""

    boot: str  # of the process
    began: int
    ended: int
    acting: ActingVersion
    counts: dict[str, int]
    first: str
    last: str
    requests: str = ""

    def may_contain(self, request: str) -> bool:
        """Whether a request may have been decided in it; no is certain."""
        return prints.may_contain(base64.b64decode(self.requests), request)


@dataclass
class _Open:
    began: int
    at: int
    counts: Counter[str] = field(default_factory=Counter)
    requests: dict[str, None] = field(default_factory=dict)  # in order


class AuditLog:
    """See the module.  Not for several threads at once: the core's lock orders the decisions."""

    def __init__(self, boot: str, every: int, most: int = 10_000) -> None:
        self.boot, self._every, self._most = boot, every, most
        self._open: dict[ActingVersion, _Open] = {}
        self._newest: ActingVersion | None = None

    def switch_version(self, now: int, acting: ActingVersion) -> None:
        """From here on this is the node's newest version; a span of it opens though nothing is decided yet."""
        self._newest = acting
        self._open.setdefault(acting, _Open(now, now))

    def record(self, now: int, acting: ActingVersion, request: str, what: Iterable[str]) -> None:
        """A decision on a request (empty for one on none): the names of what it led to are counted."""
        span = self._open.get(acting)
        if span is None:
            span = self._open[acting] = _Open(now, now)
        span.at = now
        span.counts.update(what)
        if request:
            span.requests[request] = None

    def due(self, now: int, all_of: bool = False) -> list[Span]:
        """The spans to be closed now, oldest first; every one where the process ends."""
        closed = []
        for acting, span in sorted(self._open.items(), key=lambda item: item[1].began):
            old = acting != self._newest and now - span.at >= QUIET
            if all_of or old or now - span.began >= self._every or len(span.requests) >= self._most:
                closed.append(self._closed(acting, span, now))
                del self._open[acting]
                if acting == self._newest and not all_of:
                    self._open[acting] = _Open(now, now)
        return closed

    def _closed(self, acting: ActingVersion, span: _Open, now: int) -> Span:
        names = list(span.requests)
        held = base64.b64encode(prints.made(names)).decode()
        return Span(self.boot, span.began, now, acting, dict(span.counts), names[0] if names else "",
                    names[-1] if names else "", held)  # fmt: skip
