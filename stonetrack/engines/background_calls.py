"""Background calls at engines: places, releases, probes.  A few threads; nothing waits for them.

Places and releases of one request are kept in order: a release that is decided while its place is still being asked
for is carried out after that answer.
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
class _Hold:
    """A place that is asked for."""

    server: str
    number: int  # attempt during which it was asked
    sent: bool = False
    dropped: bool = False
    then: Callable[[], None] | None = None  # instead of telling the answer


class BackgroundCalls:
    """Runs the calls on ``threads`` threads, with at most ``most`` waiting."""

    def __init__(
        self,
        find: Callable[[str], Engine | None],
        clock: Callable[[], int],
        *,
        instance: str,
        timeout: float,
        release_within: int,
        probed: Callable[[api.ProbeEnded], None],
        threads: int = 4,
        most: int = 2_000,
        listed: Callable[[str], bool] = lambda server: True,
        seed: int = 0,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        self._find, self._clock, self._instance = find, clock, instance
        self._timeout, self._probed = timeout, probed  # see set_timeout()
        self._jobs: queue.Queue[Callable[[], None] | None] = queue.Queue(most)
        self._listed = listed
        self._releasing = ReleaseWorkers(clock, release_within, threads, self._release, seed=seed, log=log)
        self._holding: dict[str, _Hold] = {}  # places asked for and not answered yet, by request
        self._hold_lock = threading.Lock()
        self.dropped = 0
        self._threads = [restarting_thread(f"engines-{n}", self._work, log) for n in range(threads)]

    def set_timeout(self, seconds: float) -> None:
        """How long a call may take from here on."""
        self._timeout = seconds

    def start(self) -> None:
        """Start the threads."""
        self._releasing.start()
        for thread in self._threads:
            thread.start()

    def stop(self, wait: float) -> None:
        """Let open releases end for so many seconds, then stop."""
        self._releasing.stop(wait)
        for _ in range(len(self._threads)):
            try:
                self._jobs.put_nowait(None)
            except queue.Full:
                break

    @property
    def open_releases(self) -> int:
        """States and places not let go of yet."""
        return len(self._releasing)

    @property
    def dropped_releases(self) -> int:
        """Releases given up: what they were for stays held at engines that run."""
        return self._releasing.queue.dropped

    @property
    def unreachable_engines(self) -> int:
        """Engines that releases wait for."""
        return self._releasing.queue.unreachable_engines

    def _headers(self, engine: Engine, request: str, number: int = 0) -> list[tuple[str, str]]:
        return [
            ("X-Attempt", str(number)),
            ("Host", f"{engine.host}:{engine.port}"),
            ("Content-Type", "application/json"),
            ("X-Request-Id", request),
            ("X-Stonetrack-Instance", self._instance),
            ("Connection", "close"),
        ]

    def _post(self, engine: Engine, target: str, request: str, number: int, body: dict[str, Any]) -> int:
        message = writer.request("POST", target, self._headers(engine, request, number), msgspec.json.encode(body))
        return call(engine.host, engine.port, message, self._timeout)[0]

    def _work(self) -> None:
        while (job := self._jobs.get()) is not None:
            job()

    def _submit(self, job: Callable[[], None]) -> bool:
        try:
            self._jobs.put_nowait(job)
        except queue.Full:
            self.dropped += 1
            return False
        return True

    # Probes.

    def probe(self, server: str) -> None:
        """Read the engine's metrics page."""
        self._submit(lambda: self._probe(server))

    def _probe(self, server: str) -> None:
        engine = self._find(server)
        if engine is None:
            return
        since = self._clock()
        request = writer.request("GET", "/metrics", self._headers(engine, f"probe-{server}"))
        try:
            status, body = call(engine.host, engine.port, request, self._timeout)
            outcome = api.Outcome.SERVED if status == 200 else api.Outcome.ERROR
            report = load.from_metrics(body.decode("utf-8", "replace")) if status == 200 else None
        except CallFailed as error:
            outcome, report = error.outcome, None
        self._probed(api.ProbeEnded(server, outcome, self._clock() - since, report))

    # Places.

    def reserve(self, request: str, server: str, number: int, answer: Callable[[bool], None]) -> None:
        """Ask a writer for a place; ``answer`` is called unless it can't be heard or is no longer wanted."""
        asked = _Hold(server, number)
        with self._hold_lock:
            self._holding[request] = asked
        if not self._submit(lambda: self._hold(request, asked, answer)):
            with self._hold_lock:
                self._holding.pop(request, None)

    def _hold(self, request: str, asked: _Hold, answer: Callable[[bool], None]) -> None:
        with self._hold_lock:
            if asked.dropped:
                return
            asked.sent = True
        engine = self._find(asked.server)
        heard: bool | None = None
        if engine is not None and engine.kind.hold:
            try:
                heard = self._post(engine, protocol.RESERVE_PATH, request, asked.number, {"request_id": request}) in (
                    200,
                    202,
                    204,
                )
            except CallFailed:
                heard = None  # not heard: it may hold one, so a release still goes there
        with self._hold_lock:
            if self._holding.get(request) is asked:
                del self._holding[request]
            follows = asked.then
        if follows is not None:
            follows()
        elif heard is not None:
            answer(heard)

    def cancel_reservation(self, request: str) -> None:
        """The request goes to a writer now: a place not asked for yet is not, one asked for and not answered yet may
        come too late to be used and is let go of after its answer."""
        with self._hold_lock:
            if (asked := self._drop_hold(request)) is not None:
                asked.then = lambda: self._releasing.add(
                    [PendingRelease(request, asked.server, asked.number, None, self._clock())]
                )

    def _drop_hold(self, request: str) -> _Hold | None:
        """Take back a place not asked for yet; the one that is being asked for, if any.  Under the lock."""
        asked = self._holding.get(request)
        if asked is None or asked.sent:
            return asked
        asked.dropped = True
        del self._holding[request]
        return None

    # Releases.

    def release(self, request: str, reader: str, state: dict[str, Any] | None, place: str, number: int) -> None:
        """Let go of a state and a place, with repeats."""
        now = self._clock()
        items = [PendingRelease(request, reader, number, state or {}, now)] if reader else []
        if place:
            let_go = PendingRelease(request, place, number, None, now)
            with self._hold_lock:
                asked = self._drop_hold(request)
                if asked is not None and asked.server == place:
                    asked.then = lambda: self._releasing.add([let_go])
                else:
                    items.append(let_go)
        self._releasing.add(items)

    def _release(self, item: PendingRelease) -> ReleaseResult:
        engine = self._find(item.server)
        if engine is None or not engine.kind.release:
            return ReleaseResult.DONE  # gone with all it held, or lets go by its own time-out
        body: dict[str, Any] = {"request_id": item.request, "attempt": item.attempt}
        if item.state is not None:
            body["kv_transfer_params"] = item.state
        try:
            status = self._post(engine, protocol.RELEASE_PATH, item.request, item.attempt, body)
        except CallFailed:
            return ReleaseResult.UNREACHABLE if self._listed(item.server) else ReleaseResult.DELISTED
        return ReleaseResult.DONE if status in (200, 202, 204, 404) else ReleaseResult.RETRY
