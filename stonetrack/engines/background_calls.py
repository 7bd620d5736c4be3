"""Calls to engines on background threads: reservations, releases and probes.  Requests do not wait for them.

The calls for one request's reservation stay in order: a release that is decided while the reservation is being made is
sent after the answer to the reservation.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from stonetrack import api
from stonetrack.engines import load, protocol
from stonetrack.engines.calls import CallFailed, call
from stonetrack.engines.release_queue import PendingRelease, ReleaseResult
from stonetrack.engines.release_workers import ReleaseWorkers
from stonetrack.engines.server_list import Engine
from stonetrack.node.threads import restarting_thread
from stonetrack.wire import writer


@dataclass(slots=True)
class _Reservation:
    """A reservation that is being made."""

    server: str
    attempt_number: int  # number of the attempt that it is made for
    sent: bool = False
    cancelled: bool = False
    then: Callable[[], None] | None = None  # called after the answer, in place of the caller's callback


class BackgroundCalls:
    """Runs calls on ``threads`` threads, with at most ``max_waiting`` queued;
    further calls are dropped and counted.

    ``timeout`` is in seconds, ``release_within`` in nanoseconds.
    """

    def __init__(
        self,
        engine_of: Callable[[str], Engine | None],
        clock: Callable[[], int],
        *,
        instance: str,
        timeout: float,
        release_within: int,
        on_probed: Callable[[api.ProbeEnded], None],
        threads: int = 4,
        max_waiting: int = 2_000,
        is_listed: Callable[[str], bool] = lambda server: True,
        seed: int = 0,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        self._engine_of, self._clock, self._instance = engine_of, clock, instance
        self._timeout, self._on_probed = timeout, on_probed
        self._queue: queue.Queue[Callable[[], None] | None] = queue.Queue(max_waiting)
        self._is_listed = is_listed
        self._release_workers = ReleaseWorkers(clock, release_within, threads, self._release, seed=seed, log=log)
        self._reservations: dict[str, _Reservation] = {}  # sent or queued, without an answer yet, by request
        self._reservations_lock = threading.Lock()
        self.dropped_calls = 0
        self._threads = [restarting_thread(f"engines-{n}", self._run_calls, log) for n in range(threads)]

    def set_timeout(self, seconds: float) -> None:
        """Set the timeout of the calls that begin from now on."""
        self._timeout = seconds

    def start(self) -> None:
        """Start the threads."""
        self._release_workers.start()
        for thread in self._threads:
            thread.start()

    def stop(self, wait: float) -> None:
        """Wait up to ``wait`` seconds for open releases, then stop."""
        self._release_workers.stop(wait)
        for _ in range(len(self._threads)):
            try:
                self._queue.put_nowait(None)
            except queue.Full:
                break

    @property
    def open_releases(self) -> int:
        """KV states and reservations whose release has not succeeded yet."""
        return len(self._release_workers)

    @property
    def dropped_releases(self) -> int:
        """Releases that were dropped; what they should release leaks at engines that keep running."""
        return self._release_workers.queue.dropped

    @property
    def unreachable_engines(self) -> int:
        """Unreachable engines that releases wait for."""
        return self._release_workers.queue.unreachable_engines

    def _headers(self, engine: Engine, request_id: str, attempt_number: int = 0) -> list[tuple[str, str]]:
        return [
            ("X-Attempt", str(attempt_number)),
            ("Host", f"{engine.host}:{engine.port}"),
            ("Content-Type", "application/json"),
            ("X-Request-Id", request_id),
            ("X-Stonetrack-Instance", self._instance),
            ("Connection", "close"),
        ]

    def _post(self, engine: Engine, target: str, request_id: str, attempt_number: int, body: dict[str, Any]) -> int:
        message = writer.request(
            "POST", target, self._headers(engine, request_id, attempt_number), msgspec.json.encode(body)
        )
        return call(engine.host, engine.port, message, self._timeout)[0]

    def _run_calls(self) -> None:
        while (background_call := self._queue.get()) is not None:
            background_call()

    def _enqueue(self, background_call: Callable[[], None]) -> bool:
        try:
            self._queue.put_nowait(background_call)
        except queue.Full:
            self.dropped_calls += 1
            return False
        return True

    # Probes.

    def probe(self, server: str) -> None:
        """Read the engine's metrics page."""
        self._enqueue(lambda: self._probe(server))

    def _probe(self, server: str) -> None:
        engine = self._engine_of(server)
        if engine is None:
            return
        since = self._clock()
        message = writer.request("GET", "/metrics", self._headers(engine, f"probe-{server}"))
        try:
            status, body = call(engine.host, engine.port, message, self._timeout)
            outcome = api.Outcome.SERVED if status == 200 else api.Outcome.ERROR
            report = load.from_metrics(body.decode("utf-8", "replace")) if status == 200 else None
        except CallFailed as error:
            outcome, report = error.outcome, None
        self._on_probed(api.ProbeEnded(server, outcome, self._clock() - since, report))

    # Reservations.

    def reserve(self, request_id: str, server: str, attempt_number: int, callback: Callable[[bool], None]) -> None:
        """Ask a decode engine for a reservation.

        ``callback`` gets whether it was made; it is not called if that fails or the reservation is no longer needed.
        """
        reservation = _Reservation(server, attempt_number)
        with self._reservations_lock:
            self._reservations[request_id] = reservation
        if not self._enqueue(lambda: self._run_reservation(request_id, reservation, callback)):
            with self._reservations_lock:
                self._reservations.pop(request_id, None)

    def _run_reservation(self, request_id: str, reservation: _Reservation, callback: Callable[[bool], None]) -> None:
        with self._reservations_lock:
            if reservation.cancelled:
                return
            reservation.sent = True
        engine = self._engine_of(reservation.server)
        reserved: bool | None = None
        if engine is not None and engine.kind.hold:
            try:
                reserved = self._post(
                    engine, protocol.RESERVE_PATH, request_id, reservation.attempt_number, {"request_id": request_id}
                ) in (
                    200,
                    202,
                    204,
                )
            except CallFailed:
                reserved = None  # the reservation may have been made, so a release is still sent
        with self._reservations_lock:
            if self._reservations.get(request_id) is reservation:
                del self._reservations[request_id]
            follow_up = reservation.then
        if follow_up is not None:
            follow_up()
        elif reserved is not None:
            callback(reserved)

    def cancel_reservation(self, request_id: str) -> None:
        """The request is sent to a decode engine now, so a reservation that is still being made comes too late.

        If it has not been sent yet, it is not sent; if it has been sent, it is released after its answer.
        """
        with self._reservations_lock:
            if (reservation := self._cancel_unsent(request_id)) is not None:
                reservation.then = lambda: self._release_workers.add(
                    [PendingRelease(request_id, reservation.server, reservation.attempt_number, None, self._clock())]
                )

    def _cancel_unsent(self, request_id: str) -> _Reservation | None:
        """Cancel a reservation that was not sent yet; return one that was sent, if any.  Requires the lock."""
        reservation = self._reservations.get(request_id)
        if reservation is None or reservation.sent:
            return reservation
        reservation.cancelled = True
        del self._reservations[request_id]
        return None

    # Releases.

    def release(
        self,
        request_id: str,
        prefill_server: str,
        state: dict[str, Any] | None,
        decode_server: str,
        attempt_number: int,
    ) -> None:
        """Release a KV state and a reservation, with retries; an empty engine name releases nothing."""
        now = self._clock()
        items = [PendingRelease(request_id, prefill_server, attempt_number, state or {}, now)] if prefill_server else []
        if decode_server:
            release_reservation = PendingRelease(request_id, decode_server, attempt_number, None, now)
            with self._reservations_lock:
                reservation = self._cancel_unsent(request_id)
                if reservation is not None and reservation.server == decode_server:
                    reservation.then = lambda: self._release_workers.add([release_reservation])
                else:
                    items.append(release_reservation)
        self._release_workers.add(items)

    def _release(self, item: PendingRelease) -> ReleaseResult:
        engine = self._engine_of(item.server)
        if engine is None or not engine.kind.release:
            return ReleaseResult.DONE  # the engine is gone with all held state, or releases it by its own timeout
        body: dict[str, Any] = {"request_id": item.request_id, "attempt": item.attempt_number}
        if item.state is not None:
            body["kv_transfer_params"] = item.state
        try:
            status = self._post(engine, protocol.RELEASE_PATH, item.request_id, item.attempt_number, body)
        except CallFailed:
            return ReleaseResult.UNREACHABLE if self._is_listed(item.server) else ReleaseResult.DELISTED
        return ReleaseResult.DONE if status in (200, 202, 204, 404) else ReleaseResult.RETRY
