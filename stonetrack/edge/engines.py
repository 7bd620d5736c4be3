"""Engines reached by the platform's protocol (``ports.Engines``): attempts over a shared pool, places, releases."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any
from weakref import WeakKeyDictionary

from stonetrack import api
from stonetrack.edge.abandoned import AbandonedPrefills
from stonetrack.edge.engine_table import Engine
from stonetrack.edge.exchange import Exchange, ParseLoadReport
from stonetrack.edge.probes import Probes
from stonetrack.edge.releases import Releases, ReleaseWaitResult
from stonetrack.edge.requests import ID_HEADER, TIME_LEFT_HEADER
from stonetrack.engines.attempt import SocketAttempt
from stonetrack.engines.pool import Pool
from stonetrack.node.ports import Ask, Attempt, Over
from stonetrack.node.records import Records
from stonetrack.node.sockets import MachineShort, close, readable, reset
from stonetrack.node.transitions import Step
from stonetrack.wire import http1, writer

HOST = "origin.svc"
CANCEL_CONFIRM_S = 0.02  # seconds in which an engine may show that it saw an attempt taken back
_LIMITS = http1.Limits(head=16_384, headers=64, body=8 << 20)


def build_request(ask: Ask, left: int) -> bytes:
    """One attempt's request; ``left`` nanoseconds is how long the node will wait."""
    body = ask.body
    headers = [
        ("Host", HOST),
        (ID_HEADER.title(), ask.request),
        (TIME_LEFT_HEADER.title(), f"{max(left // 1_000_000, 1)}m"),
        *body.headers,
    ]
    return writer.request("POST", body.target, headers, body.data)


def _age(age: float | None) -> str:
    return "new connection" if age is None else f"connection kept for {age:.3f} s"


class EdgeEngines:
    """Reaches the engines of the current list."""

    def __init__(
        self,
        pool: Pool,
        releases: Releases,
        probes: Probes,
        clock: Callable[[], int],
        connect_timeout: float,
        read_report: ParseLoadReport,
        trace: Callable[[str], None] | None = None,
        records: Records | None = None,
        closed_for: Callable[[str], int] = lambda server: 0,
        abandoned: AbandonedPrefills | None = None,
    ) -> None:
        self.pool, self.releases, self.probes, self.abandoned = pool, releases, probes, abandoned
        self._clock, self._connect, self._read_report = clock, connect_timeout, read_report
        self._engines: dict[str, Engine] = {}
        self._trace, self._records, self._closed_for = trace, records, closed_for
        self._traced: WeakKeyDictionary[SocketAttempt, str] = WeakKeyDictionary()  # filled while there is a trace

    def list_changed(self, engines: dict[str, Engine]) -> None:
        """Take the addresses of a new list; what is kept to others is closed."""
        self._engines = engines
        self.releases.list_changed(engines)
        self.probes.list_changed(engines)
        self.pool.forget({(e.host, e.port) for e in engines.values()})

    def start(
        self, ask: Ask, server: str, number: int, state: Any, place: bool, may_send: Callable[[str], bool]
    ) -> Attempt | Over:
        """See ``ports.Engines.start``."""
        engine = self._engines.get(server)
        if engine is None or not may_send(server):
            return Over(api.Outcome.NOT_SENT, f"engine {server} is leaving or gone")
        try:
            # A release that is still open is tried on while this connects: an engine that is cut off takes all of
            # the time for connecting, and nothing of the request is out meanwhile.
            sock, age = self.pool.take(engine.host, engine.port, self._connect)
            settled = self.releases.await_release(ask.request)
            if settled is not ReleaseWaitResult.NONE_PENDING and age is not None and readable(sock):
                close(sock)  # it was closed while the release was waited for
                sock, age = self.pool.take(engine.host, engine.port, self._connect)
        except OSError as error:
            if self._trace is not None:
                self._trace(f"trace connect {server}: {type(error).__name__} {error}")
            short = isinstance(error, MachineShort)  # no fault of the engine's
            outcome = api.Outcome.NOT_SENT if short else api.Outcome.CONNECT_FAILED
            return Over(outcome, f"engine {server}: {error}")
        if settled is ReleaseWaitResult.UNACKNOWLEDGED:
            close(sock)  # not given back: nothing was heard on it
            return Over(api.Outcome.NOT_SENT, "an older release of the request is not heard yet")
        if not may_send(server):  # a list may have come while we connected
            reset(sock)
            return Over(api.Outcome.NOT_SENT, f"engine {server} is leaving")
        if self._trace is not None:
            self._trace(f"trace conn {ask.request} {number} {server} {age}")
        left = ask.body.deadline - self._clock()
        if self._records is not None:
            reads = engine.role is api.Role.READER
            self._records.note(
                ask.request,
                Step.SENT,
                server,
                number,
                why=_age(age),
                reads=reads,
                time_told=left,
                closed_for=self._closed_for(server),
            )
        attempt = SocketAttempt(
            sock,
            build_request(ask, left),
            Exchange(engine.role, _LIMITS, self._read_report, lambda: self.pool.unanswered(age)),
            CANCEL_CONFIRM_S,
            lambda back: self.pool.give(engine.host, engine.port, back),
            api.Outcome.CONNECT_FAILED,
            self._abandon(ask.request, engine),
        )
        if self._trace is not None:
            self._traced[attempt] = server
        for event in attempt.push():
            if isinstance(event, Over):
                return event
        return attempt

    def _abandon(self, request: str, engine: Engine) -> Callable[[socket.socket | None], None] | None:
        """What takes over an attempt that ends without its engine's word; only a read may leave something."""
        if self.abandoned is None or engine.role is not api.Role.READER:
            return None
        return partial(self.abandoned.add, request, engine)

    def open_attempts(self) -> Counter[str]:
        """Attempts whose sockets are open, by server; only while there is a trace."""
        return Counter(server for attempt, server in list(self._traced.items()) if attempt.fileno() >= 0)

    def idle_connections(self, server: str) -> int:
        """Idle connections to a server."""
        engine = self._engines.get(server)
        return self.pool.kept(engine.host, engine.port) if engine is not None else 0

    def hold(self, request: str, server: str, number: int, answer: Callable[[bool], None]) -> None:
        """See ``ports.Engines.hold``: the platform's node asks for no reservation (docs/obligations.md)."""
        answer(False)

    def release(self, request: str, reader: str, state: Any, place: str, number: int, rest: bool) -> None:
        """See ``ports.Engines.release``.  One call lets go of all that is held for a request, so with ``rest`` there
        is none: a place is given up by the send elsewhere, a writer that failed holds nothing of its own."""
        if not rest:
            self.releases.release(request)

    def probe(self, server: str) -> None:
        """See ``ports.Engines.probe``."""
        self.probes.probe(server)
