"""The engines' side put together (``ports.Engines``): who is where, attempts, background calls."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

from stonetrack import api
from stonetrack.engines import protocol
from stonetrack.engines.attempt import SocketAttempt
from stonetrack.engines.background_calls import BackgroundCalls
from stonetrack.engines.pool import ConnectionPool
from stonetrack.engines.server_list import Engine
from stonetrack.node.ports import Attempt, AttemptResult, InferenceRequest
from stonetrack.node.sockets import ResourceExhausted, reset
from stonetrack.settings import Node
from stonetrack.wire import http1

SECOND = 1e9


class EngineClient:
    """Reaches the engines of the current list."""

    def __init__(
        self,
        settings: Node,
        clock: Callable[[], int],
        instance: str,
        probed: Callable[[api.ProbeEnded], None],
        acting_of: Callable[[str], str] = lambda request: "",
    ) -> None:
        timing, limits, routing = settings.timing, settings.limits, settings.routing
        self._instance, self._acting_of = instance, acting_of
        self._connect = routing.connect_timeout_ms / 1000.0
        self._confirm = timing.cancel_confirm_ms / 1000.0
        self._limits = http1.Limits(body=limits.engine_body_bytes)
        self._engines: dict[str, Engine] = {}
        self._listed: frozenset[str] = frozenset()  # of these, those that the list names
        self.pool = ConnectionPool(limits.pool_per_engine, timing.pool_idle_ms / 1000.0,
                         max_idle_timeout=timing.pool_longest_ms / 1000.0)  # fmt: skip
        self.background = BackgroundCalls(
            self._engines_get,
            clock,
            instance=instance,
            timeout=self._connect,
            probed=probed,
            release_within=routing.release_within_ms * 1_000_000,
            listed=lambda server: server in self._listed,
            seed=zlib.crc32(instance.encode()),
        )

    def apply_settings(self, settings: Node) -> None:
        """Go on under other settings; connections and what is under way stay."""
        timing, limits, routing = settings.timing, settings.limits, settings.routing
        self._connect = routing.connect_timeout_ms / 1000.0
        self._confirm = timing.cancel_confirm_ms / 1000.0
        self._limits = http1.Limits(body=limits.engine_body_bytes)
        self.pool.set_limits(limits.pool_per_engine, timing.pool_idle_ms / 1000.0, timing.pool_longest_ms / 1000.0)
        self.background.set_timeout(self._connect)

    def _engines_get(self, server: str) -> Engine | None:
        return self._engines.get(server)

    def list_changed(self, engines: dict[str, Engine]) -> None:
        """Take the addresses of a new list.  Engines that left are still known while something may be held there."""
        gone = {name: engine for name, engine in self._engines.items() if name not in engines}
        keep = dict(list(gone.items())[-1_000:])
        self._engines, self._listed = keep | engines, frozenset(engines)
        self.pool.retain({(e.host, e.port) for e in engines.values()})

    def start(
        self,
        ask: InferenceRequest,
        server: str,
        number: int,
        state: Any,
        place: bool,
        may_send: Callable[[str], bool],
    ) -> Attempt | AttemptResult:
        """See ``ports.Engines.start``."""
        engine = self._engines.get(server)
        if engine is None or not may_send(server):
            return AttemptResult(api.Outcome.NOT_SENT, f"engine {server} is leaving or gone")
        role = engine.kind.role
        if state is not None and role is api.Role.PREFILL:
            state = None
        if role is not api.Role.PREFILL:
            self.background.cancel_reservation(ask.request_id)
        request = protocol.chat_request(
            ask, role, f"{engine.host}:{engine.port}", number, self._instance, state, place, engine.kind.load_header,
            self._acting_of(ask.request_id)
        )  # fmt: skip
        try:
            sock, _ = self.pool.acquire(engine.host, engine.port, self._connect)
        except ResourceExhausted as error:
            return AttemptResult(api.Outcome.NOT_SENT, f"engine {server}: {error}")
        except OSError as error:
            return AttemptResult(api.Outcome.CONNECT_FAILED, f"engine {server}: {error}")
        if not may_send(server):  # a list may have come while we connected
            reset(sock)
            return AttemptResult(api.Outcome.NOT_SENT, f"engine {server} is leaving")
        attempt = SocketAttempt(
            sock,
            request,
            protocol.Exchange(role, self._limits),
            self._confirm,
            lambda back: self.pool.put_back(engine.host, engine.port, back),
        )
        for event in attempt.push():
            if isinstance(event, AttemptResult):
                return event
        return attempt

    def reserve(self, request: str, server: str, number: int, answer: Callable[[bool], None]) -> None:
        """See ``ports.Engines.reserve``."""
        self.background.reserve(request, server, number, answer)

    def release(self, request: str, reader: str, state: Any, place: str, number: int, rest: bool) -> None:
        """See ``ports.Engines.release``; these engines let go of each thing by itself."""
        engine = self._engines.get(reader)
        if state is None and (engine is None or engine.kind.role is not api.Role.PREFILL):
            reader = ""
        if reader or place:
            self.background.release(request, reader, state, place, number)

    def probe(self, server: str) -> None:
        """See ``ports.Engines.probe``."""
        self.background.probe(server)

    def preconnect(self, server: str) -> bool:
        """Open a connection ahead and keep it for the first request; whether one came about."""
        engine = self._engines.get(server)
        if engine is None:
            return False
        try:
            sock, _ = self.pool.acquire(engine.host, engine.port, self._connect)
        except OSError:
            return False
        self.pool.put_back(engine.host, engine.port, sock)
        return True

    def close(self, wait: float = 1.0) -> None:
        """Let releases end, close what is idle."""
        self.background.stop(wait)
        self.pool.close()
