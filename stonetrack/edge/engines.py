"""Engines over the platform's protocol (implements ``ports.Engines``): pooled attempts, releases and probes."""

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
from stonetrack.engines.pool import ConnectionPool
from stonetrack.node.ports import Attempt, AttemptResult, InferenceRequest
from stonetrack.node.records import Records
from stonetrack.node.sockets import ResourceExhausted, close, readable, reset
from stonetrack.node.transitions import Step
from stonetrack.wire import http1, writer

HOST = "origin.svc"
CANCEL_CONFIRM_S = 0.02  # an engine that sees a cancelled attempt closes its side within this time
_LIMITS = http1.Limits(head=16_384, headers=64, body=8 << 20)


def build_request(request: InferenceRequest, time_left: int) -> bytes:
    """Encode the HTTP request of one attempt; ``time_left`` is how long the node waits for it, in nanoseconds."""
    body = request.body
    headers = [
        ("Host", HOST),
        (ID_HEADER.title(), request.request_id),
        (TIME_LEFT_HEADER.title(), f"{max(time_left // 1_000_000, 1)}m"),
        *body.headers,
    ]
    return writer.request("POST", body.target, headers, body.data)


def _describe_age(age: float | None) -> str:
    return "new connection" if age is None else f"connection kept for {age:.3f} s"


class EdgeEngines:
    """Starts attempts, releases and probes at the engines of the current server list."""

    def __init__(
        self,
        pool: ConnectionPool,
        releases: Releases,
        probes: Probes,
        clock: Callable[[], int],
        connect_timeout: float,
        parse_report: ParseLoadReport,
        trace: Callable[[str], None] | None = None,
        records: Records | None = None,
        closed_for: Callable[[str], int] = lambda server: 0,
        abandoned: AbandonedPrefills | None = None,
    ) -> None:
        self.pool, self.releases, self.probes, self.abandoned = pool, releases, probes, abandoned
        self._clock, self._connect_timeout, self._parse_report = clock, connect_timeout, parse_report
        self._engines: dict[str, Engine] = {}
        self._trace, self._records, self._closed_for = trace, records, closed_for
        self._traced_attempts: WeakKeyDictionary[SocketAttempt, str] = WeakKeyDictionary()  # by server; only if tracing

    def list_changed(self, engines: dict[str, Engine]) -> None:
        """Use the addresses of a new list; idle connections to other addresses are closed."""
        self._engines = engines
        self.releases.list_changed(engines)
        self.probes.list_changed(engines)
        self.pool.retain({(e.host, e.port) for e in engines.values()})

    def start(
        self,
        request: InferenceRequest,
        server: str,
        attempt_number: int,
        state: Any,
        reserved: bool,
        may_send: Callable[[str], bool],
    ) -> Attempt | AttemptResult:
        """See ``ports.Engines.start``."""
        engine = self._engines.get(server)
        if engine is None or not may_send(server):
            return AttemptResult(api.Outcome.NOT_SENT, f"engine {server} is leaving or gone")
        try:
            # A pending release is retried while this connects: at an unreachable engine, connecting lasts for the whole
            # timeout, and nothing of the request has been sent meanwhile.
            sock, age = self.pool.acquire(engine.host, engine.port, self._connect_timeout)
            wait_result = self.releases.await_release(request.request_id)
            if wait_result is not ReleaseWaitResult.NONE_PENDING and age is not None and readable(sock):
                close(sock)  # the engine closed it while the release was awaited
                sock, age = self.pool.acquire(engine.host, engine.port, self._connect_timeout)
        except OSError as error:
            if self._trace is not None:
                self._trace(f"trace connect {server}: {type(error).__name__} {error}")
            exhausted = isinstance(error, ResourceExhausted)  # a local shortage, not a failure of the engine
            outcome = api.Outcome.NOT_SENT if exhausted else api.Outcome.CONNECT_FAILED
            return AttemptResult(outcome, f"engine {server}: {error}")
        if wait_result is ReleaseWaitResult.UNACKNOWLEDGED:
            close(sock)  # not returned to the pool: nothing was received on it, so it may be dead
            return AttemptResult(api.Outcome.NOT_SENT, "an older release of the request is not heard yet")
        if not may_send(server):  # a new list may have arrived while connecting
            reset(sock)
            return AttemptResult(api.Outcome.NOT_SENT, f"engine {server} is leaving")
        if self._trace is not None:
            self._trace(f"trace conn {request.request_id} {attempt_number} {server} {age}")
        time_left = request.body.deadline - self._clock()
        if self._records is not None:
            is_prefill = engine.role is api.Role.PREFILL
            self._records.note(
                request.request_id,
                Step.SENT,
                server,
                attempt_number,
                why=_describe_age(age),
                is_prefill=is_prefill,
                propagated_time=time_left,
                closed_for=self._closed_for(server),
            )
        attempt = SocketAttempt(
            sock,
            build_request(request, time_left),
            Exchange(engine.role, _LIMITS, self._parse_report, lambda: self.pool.record_unanswered(age)),
            CANCEL_CONFIRM_S,
            lambda returned: self.pool.put_back(engine.host, engine.port, returned),
            api.Outcome.CONNECT_FAILED,
            self._abandon_callback(request.request_id, engine),
            reused=age is not None,
        )
        if self._trace is not None:
            self._traced_attempts[attempt] = server
        for event in attempt.push():
            if isinstance(event, AttemptResult):
                return event
        return attempt

    def _abandon_callback(self, request_id: str, engine: Engine) -> Callable[[socket.socket | None], None] | None:
        """What to call when an attempt ends without its engine's answer; None for a decode, which leaves no state."""
        if self.abandoned is None or engine.role is not api.Role.PREFILL:
            return None
        return partial(self.abandoned.add, request_id, engine)

    def open_attempts(self) -> Counter[str]:
        """Number of attempts with open sockets, by server; counted only if tracing is on."""
        return Counter(server for attempt, server in list(self._traced_attempts.items()) if attempt.fileno() >= 0)

    def idle_connections(self, server: str) -> int:
        """Number of idle connections to a server."""
        engine = self._engines.get(server)
        return self.pool.idle_count(engine.host, engine.port) if engine is not None else 0

    def reserve(self, request_id: str, server: str, attempt_number: int, callback: Callable[[bool], None]) -> None:
        """See ``ports.Engines.reserve``: the platform's node requests no reservation (docs/obligations.md)."""
        callback(False)

    def release(
        self,
        request_id: str,
        prefill_server: str,
        state: Any,
        decode_server: str,
        attempt_number: int,
        state_remains: bool,
    ) -> None:
        """See ``ports.Engines.release``.  One call releases all that is held for a request, so with ``state_remains``
        none is made: a reservation ends with the send elsewhere, and a decode engine that failed holds nothing of its
        own."""
        if not state_remains:
            self.releases.release(request_id)

    def probe(self, server: str) -> None:
        """See ``ports.Engines.probe``."""
        self.probes.probe(server)
