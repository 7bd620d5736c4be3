"""A node's audit log: spans of decisions, each under one acting version.  No I/O.

The *acting version* is what a decision was made with: the digest of the settings, the server list's origin and version,
the program's version and the digest of the module.  Decisions arrive in the router's order, under the core's lock, each
with the acting version of that moment, so every decision is on one side of a change.  After a reload the old router
still decides for its own requests: spans of two versions are then open at the same time, and each decision is counted
under its own.

A span is closed when its version is no longer the node's newest and no decision was made under it for
``IDLE_CLOSE_NS``, when it has lasted ``max_duration``, or when it holds ``max_requests``, which bounds memory and what
a killed process loses.
"""

from __future__ import annotations

import base64
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from stonetrack.audit import filter as request_filter

IDLE_CLOSE_NS = 2_000_000_000  # without a decision, after which a span of an older version is closed


class ActingVersion(msgspec.Struct, frozen=True, order=True):
    """The versions that a decision is made with."""

    settings: str = ""  # digest
    origin: str = ""  # of the server list's history
    version: int = -1  # of the server list; -1 before the first
    program: str = ""
    module: str = ""  # digest


class Span(msgspec.Struct, frozen=True):
    """One closed span; times in nanoseconds of the node's clock (Unix time when the clock starts)."""

    boot: str  # of the process
    began: int
    ended: int
    acting: ActingVersion
    counts: dict[str, int]
    first: str
    last: str
    requests: str = ""  # filter of the request ids, base64; see :mod:`.filter`

    def may_contain(self, request: str) -> bool:
        """Return whether a request may have been decided in the span; False is certain."""
        return request_filter.may_contain(base64.b64decode(self.requests), request)


@dataclass
class _OpenSpan:
    began: int
    last_decision: int
    counts: Counter[str] = field(default_factory=Counter)
    requests: dict[str, None] = field(default_factory=dict)  # in order


class AuditLog:
    """The open spans of a node.  Not thread-safe: the core's lock orders the decisions.

    ``max_duration`` is in nanoseconds."""

    def __init__(self, boot: str, max_duration: int, max_requests: int = 10_000) -> None:
        self.boot, self._max_duration, self._max_requests = boot, max_duration, max_requests
        self._open: dict[ActingVersion, _OpenSpan] = {}
        self._newest: ActingVersion | None = None

    def switch_version(self, now: int, acting: ActingVersion) -> None:
        """Make this the node's newest version, and open a span of it even before the first decision."""
        self._newest = acting
        self._open.setdefault(acting, _OpenSpan(now, now))

    def record(self, now: int, acting: ActingVersion, request: str, actions: Iterable[str]) -> None:
        """Count a decision by the names of its actions; ``request`` is empty where it concerns none."""
        span = self._open.get(acting)
        if span is None:
            span = self._open[acting] = _OpenSpan(now, now)
        span.last_decision = now
        span.counts.update(actions)
        if request:
            span.requests[request] = None

    def close_due(self, now: int, close_all: bool = False) -> list[Span]:
        """Close the spans that are due, or all when the process ends, and return them, oldest first."""
        closed = []
        for acting, span in sorted(self._open.items(), key=lambda item: item[1].began):
            idle = acting != self._newest and now - span.last_decision >= IDLE_CLOSE_NS
            if (
                close_all or idle or now - span.began >= self._max_duration
                or len(span.requests) >= self._max_requests
            ):  # fmt: skip
                closed.append(self._closed(acting, span, now))
                del self._open[acting]
                if acting == self._newest and not close_all:
                    self._open[acting] = _OpenSpan(now, now)
        return closed

    def _closed(self, acting: ActingVersion, span: _OpenSpan, now: int) -> Span:
        names = list(span.requests)
        encoded = base64.b64encode(request_filter.encode(names)).decode()
        return Span(self.boot, span.began, now, acting, dict(span.counts), names[0] if names else "",
                    names[-1] if names else "", encoded)  # fmt: skip
