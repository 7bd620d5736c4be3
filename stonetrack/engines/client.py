"""Implements ``ports.Engines``: engine addresses, attempts and background calls."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

from stonetrack import api
from stonetrack.engines import protocol
from stonetrack.engines.attempt import SocketAttempt
from stonetrack.engines.background_calls import BackgroundCalls
from stonetrack.engines.pool import Carried, ConnectionPool
from stonetrack.engines.server_list import Engine
from stonetrack.node.ports import Attempt, AttemptResult, InferenceRequest
from stonetrack.node.sockets import ResourceExhausted, reset
from stonetrack.settings import Node
from stonetrack.wire import http1

SECOND = 1e9


class EngineClient:
    """Communicates with the engines of the current server list."""

    def __init__(
        self,
        settings: Node,
        clock: Callable[[], int],
        instance: str,
        on_probed: Callable[[api.ProbeEnded], None],
        acting_of: Callable[[str], str] = lambda request: "",
    ) -> None:
        timing, limits, routing = settings.timing, settings.limits, settings.routing
        self._instance, self._acting_of = instance, acting_of
        self._connect_timeout = routing.connect_timeout_ms / 1000.0
        self._cancel_timeout = timing.cancel_confirm_ms / 1000.0
        self._limits = http1.Limits(body=limits.engine_body_bytes)
        self._engines: dict[str, Engine] = {}
        self._listed_names: frozenset[str] = frozenset()  # those of them that are in the current list
        self.pool = ConnectionPool(limits.pool_per_engine, timing.pool_idle_ms / 1000.0,
                         max_idle_timeout=timing.pool_longest_ms / 1000.0)  # fmt: skip
        self.background = BackgroundCalls(
            self._engine_of,
            clock,
            instance=instance,
            timeout=self._connect_timeout,
            on_probed=on_probed,
            release_within=routing.release_within_ms * 1_000_000,
            is_listed=lambda server: server in self._listed_names,
            seed=zlib.crc32(instance.encode()),
        )

    def apply_settings(self, settings: Node) -> None:
        """Use other settings from now on; connections, attempts and calls under way are kept."""
        timing, limits, routing = settings.timing, settings.limits, settings.routing
        self._connect_timeout = routing.connect_timeout_ms / 1000.0
        self._cancel_timeout = timing.cancel_confirm_ms / 1000.0
        self._limits = http1.Limits(body=limits.engine_body_bytes)
        self.pool.set_limits(limits.pool_per_engine, timing.pool_idle_ms / 1000.0, timing.pool_longest_ms / 1000.0)
        self.background.set_timeout(self._connect_timeout)

    def _engine_of(self, server: str) -> Engine | None:
        return self._engines.get(server)

    def list_changed(self, engines: dict[str, Engine]) -> None:
        """Use the addresses of a new list.  Up to 1,000 delisted engines stay known for releases of held state."""
        delisted = {name: engine for name, engine in self._engines.items() if name not in engines}
        remembered = dict(list(delisted.items())[-1_000:])
        self._engines, self._listed_names = remembered | engines, frozenset(engines)
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
        role = engine.kind.role
        if state is not None and role is api.Role.PREFILL:
            state = None
        if role is not api.Role.PREFILL:
            self.background.cancel_reservation(request.request_id)
        message = protocol.chat_request(
            request, role, f"{engine.host}:{engine.port}", attempt_number, self._instance, state, reserved,
            engine.kind.load_header, self._acting_of(request.request_id)
        )  # fmt: skip
        try:
            sock, age = self.pool.acquire(engine.host, engine.port, self._connect_timeout)
        except ResourceExhausted as error:
            return AttemptResult(api.Outcome.NOT_SENT, f"engine {server}: {error}")
        except OSError as error:
            return AttemptResult(api.Outcome.CONNECT_FAILED, f"engine {server}: {error}")
        if not may_send(server):  # the server list may have changed while connecting
            reset(sock)
            return AttemptResult(api.Outcome.NOT_SENT, f"engine {server} is leaving")
        attempt = SocketAttempt(
            sock,
            message,
            protocol.Exchange(role, self._limits),
            self._cancel_timeout,
            lambda idle_sock: self.pool.put_back(engine.host, engine.port, idle_sock),
            reused=age is not None,
        )
        for event in attempt.push():
            if isinstance(event, AttemptResult):
                return event
        return attempt

    def reserve(self, request_id: str, server: str, attempt_number: int, callback: Callable[[bool], None]) -> None:
        """See ``ports.Engines.reserve``."""
        self.background.reserve(request_id, server, attempt_number, callback)

    def release(
        self,
        request_id: str,
        prefill_server: str,
        state: Any,
        decode_server: str,
        attempt_number: int,
        state_remains: bool,
    ) -> None:
        """See ``ports.Engines.release``; these engines release a KV state and a reservation separately."""
        engine = self._engines.get(prefill_server)
        if state is None and (engine is None or engine.kind.role is not api.Role.PREFILL):
            prefill_server = ""
        if prefill_server or decode_server:
            self.background.release(request_id, prefill_server, state, decode_server, attempt_number)

    def probe(self, server: str) -> None:
        """See ``ports.Engines.probe``."""
        self.background.probe(server)

    def preconnect(self, server: str) -> bool:
        """Open a connection for the first request to an engine; return whether that succeeded."""
        engine = self._engines.get(server)
        if engine is None:
            return False
        try:
            sock, _ = self.pool.acquire(engine.host, engine.port, self._connect_timeout)
        except OSError:
            return False
        self.pool.put_back(engine.host, engine.port, sock, Carried.NOTHING)
        return True

    def close(self, wait: float = 1.0) -> None:
        """Wait up to ``wait`` seconds for open releases, then close idle connections."""
        self.background.stop(wait)
        self.pool.close()
