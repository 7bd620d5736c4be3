"""Engines reached by the platform's protocol (``ports.Engines``): attempts over a shared pool, places, releases."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any
from weakref import WeakKeyDictionary

from stonetrack import api
from stonetrack.edge.abandoned import AbandonedReads
from stonetrack.edge.asks import ID, LEFT
from stonetrack.edge.exchange import Exchange, ReadReport
from stonetrack.edge.hosts import Engine
from stonetrack.edge.leases import Leases, Settled
from stonetrack.edge.probes import Probes
from stonetrack.engines.attempt import SocketAttempt
from stonetrack.engines.pool import ConnectionPool
from stonetrack.node.ports import Attempt, AttemptResult, InferenceRequest
from stonetrack.node.records import Records
from stonetrack.node.sockets import ResourceExhausted, close, readable, reset
from stonetrack.node.transitions import Step
from stonetrack.wire import http1, writer

SERVICE = "origin.svc"
CONFIRM = 0.02  # seconds in which an engine may show that it saw an attempt taken back
_LIMITS = http1.Limits(head=16_384, headers=64, body=8 << 20)


def request_bytes(ask: InferenceRequest, left: int) -> bytes:
    """One attempt's request; ``left`` nanoseconds is how long the node will wait."""
    body = ask.body
    headers = [
        ("Host", SERVICE),
        (ID.title(), ask.request_id),
        (LEFT.title(), f"{max(left // 1_000_000, 1)}m"),
        *body.headers,
    ]
    return writer.request("POST", body.target, headers, body.data)


def _age(age: float | None) -> str:
    return "new connection" if age is None else f"connection kept for {age:.3f} s"


class EdgeEngines:
    """Reaches the engines of the current list."""

    def __init__(
        self,
        pool: ConnectionPool,
        leases: Leases,
        probes: Probes,
        clock: Callable[[], int],
        connect_timeout: float,
        read_report: ReadReport,
        trace: Callable[[str], None] | None = None,
        records: Records | None = None,
        closed_for: Callable[[str], int] = lambda server: 0,
        abandoned: AbandonedReads | None = None,
    ) -> None:
        self.pool, self.leases, self.probes, self.abandoned = pool, leases, probes, abandoned
        self._clock, self._connect, self._read_report = clock, connect_timeout, read_report
        self._engines: dict[str, Engine] = {}
        self._trace, self._records, self._closed_for = trace, records, closed_for
        self._traced: WeakKeyDictionary[SocketAttempt, str] = WeakKeyDictionary()  # filled while there is a trace

    def list_changed(self, engines: dict[str, Engine]) -> None:
        """Take the addresses of a new list; what is kept to others is closed."""
        self._engines = engines
        self.leases.list_changed(engines)
        self.probes.list_changed(engines)
        self.pool.retain({(e.host, e.port) for e in engines.values()})

    def start(
        self, ask: InferenceRequest, server: str, number: int, state: Any, place: bool, may_send: Callable[[str], bool]
    ) -> Attempt | AttemptResult:
        """See ``ports.Engines.start``."""
        engine = self._engines.get(server)
        if engine is None or not may_send(server):
            return AttemptResult(api.Outcome.NOT_SENT, f"engine {server} is leaving or gone")
        try:
            # A release that is still open is tried on while this connects: an engine that is cut off takes all of
            # the time for connecting, and nothing of the request is out meanwhile.
            sock, age = self.pool.acquire(engine.host, engine.port, self._connect)
            settled = self.leases.settle(ask.request_id)
            if settled is not Settled.NOTHING and age is not None and readable(sock):
                close(sock)  # it was closed while the release was waited for
                sock, age = self.pool.acquire(engine.host, engine.port, self._connect)
        except OSError as error:
            if self._trace is not None:
                self._trace(f"trace connect {server}: {type(error).__name__} {error}")
            short = isinstance(error, ResourceExhausted)  # no fault of the engine's
            outcome = api.Outcome.NOT_SENT if short else api.Outcome.CONNECT_FAILED
            return AttemptResult(outcome, f"engine {server}: {error}")
        if settled is Settled.UNHEARD:
            close(sock)  # not given back: nothing was heard on it
            return AttemptResult(api.Outcome.NOT_SENT, "an older release of the request is not heard yet")
        if not may_send(server):  # a list may have come while we connected
            reset(sock)
            return AttemptResult(api.Outcome.NOT_SENT, f"engine {server} is leaving")
        if self._trace is not None:
            self._trace(f"trace conn {ask.request_id} {number} {server} {age}")
        left = ask.body.deadline - self._clock()
        if self._records is not None:
            reads = engine.role is api.Role.PREFILL
            self._records.note(
                ask.request_id,
                Step.SENT,
                server,
                number,
                why=_age(age),
                is_prefill=reads,
                propagated_time=left,
                closed_for=self._closed_for(server),
            )
        attempt = SocketAttempt(
            sock,
            request_bytes(ask, left),
            Exchange(engine.role, _LIMITS, self._read_report, lambda: self.pool.record_unanswered(age)),
            CONFIRM,
            lambda back: self.pool.put_back(engine.host, engine.port, back),
            api.Outcome.CONNECT_FAILED,
            self._abandon(ask.request_id, engine),
        )
        if self._trace is not None:
            self._traced[attempt] = server
        for event in attempt.push():
            if isinstance(event, AttemptResult):
                return event
        return attempt

    def _abandon(self, request: str, engine: Engine) -> Callable[[socket.socket | None], None] | None:
        """What takes over an attempt that ends without its engine's word; only a read may leave something."""
        if self.abandoned is None or engine.role is not api.Role.PREFILL:
            return None
        return partial(self.abandoned.add, request, engine)

    def open_attempts(self) -> Counter[str]:
        """Attempts whose sockets are open, by server; only while there is a trace."""
        return Counter(server for attempt, server in list(self._traced.items()) if attempt.fileno() >= 0)

    def kept(self, server: str) -> int:
        """Idle connections to a server."""
        engine = self._engines.get(server)
        return self.pool.idle_count(engine.host, engine.port) if engine is not None else 0

    def reserve(self, request: str, server: str, number: int, answer: Callable[[bool], None]) -> None:
        """See ``ports.Engines.reserve``: the platform's node asks for no reservation (docs/obligations.md)."""
        answer(False)

    def release(self, request: str, reader: str, state: Any, place: str, number: int, rest: bool) -> None:
        """See ``ports.Engines.release``.  One call lets go of all that is held for a request, so with ``rest`` there
        is none: a place is given up by the send elsewhere, a writer that failed holds nothing of its own."""
        if not rest:
            self.leases.release(request)

    def probe(self, server: str) -> None:
        """See ``ports.Engines.probe``."""
        self.probes.probe(server)
