"""Releases of all that is held for a request: ``DELETE /kv/leases/ID``, in the background.

A release names the request alone and any engine performs it for all engines, so it goes to the one most likely to
answer: the engine that answered anything last and has not failed since, and another one at each retry, until one
answers.  The number of idle connections says less: it is highest at engines that fell silent, since no request that was
sent there ended and reused one.

Order: a release that is decided before an attempt has to reach an engine before the attempt does.  One that arrives
during the new prefill would drop the state that it builds (observed: 3 of 5 repeated prefills ended with 410 at the
decode engine).  So an attempt that has its connection waits for the request's release, ``RELEASE_WAIT_S`` at most, and
does not start if that is not acknowledged.  A release is never dropped in favour of an attempt: the attempt may not
arrive, and the held state would then leak.

What a cancelled prefill may still leave behind is released by :mod:`.abandoned`.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from enum import Enum

from stonetrack.edge.calls import EngineCalls
from stonetrack.edge.engine_table import Engine
from stonetrack.engines.release_queue import PendingRelease, ReleaseResult
from stonetrack.engines.release_workers import ReleaseWorkers
from stonetrack.node.records import Records
from stonetrack.node.transitions import Step
from stonetrack.wire import writer

PATH = "/kv/leases/"
_RELEASED = 204  # the status of every engine that took a release (protocol)
RELEASE_TIMEOUT_S = 0.12  # where any engine may answer; after that the next one is tried
OWN_RELEASE_TIMEOUT_S = 1.0  # where one engine has to answer: a stopped engine answers pending calls once it resumes
RELEASE_WAIT_S = 0.3  # an attempt waits so long for an older release of its request: time for two tries


class ReleaseWaitResult(Enum):
    """Result of waiting for a request's pending release before its new attempt."""

    NONE_PENDING = "there was none"
    ACKNOWLEDGED = "heard"
    UNACKNOWLEDGED = "not heard: the attempt may not begin"


def choose_engine(
    engines: list[Engine],
    last_response_at: Callable[[Engine], float],
    suspect_until: dict[str, int],
    now: int,
    tried: set[str],
) -> Engine | None:
    """Choose the engine for a release's next try, by preference: not tried yet, not failed recently, up, the last to
    answer anything.  Adds it to ``tried``, which is cleared once it holds all engines."""
    if tried.issuperset(engine.name for engine in engines):
        tried.clear()
    if not engines:
        return None
    best = min(
        engines, key=lambda e: (e.name in tried, suspect_until.get(e.name, 0) > now, not e.up, -last_response_at(e))
    )
    tried.add(best.name)
    return best


class Releases:
    """Sends releases on a few background threads and retries them until they are acknowledged."""

    def __init__(
        self,
        calls: EngineCalls,
        clock: Callable[[], int],
        release_within: int,
        threads: int = 3,
        log: Callable[[str], None] = lambda text: None,
        records: Records | None = None,
    ) -> None:
        self._calls, self._clock, self._records = calls, clock, records
        self._engines: dict[str, Engine] = {}
        self._workers = ReleaseWorkers(
            clock, release_within, threads, self.try_any_engine, self._release_ended, log=log
        )
        self._pending: dict[str, int] = {}  # numbers in the queue by request id; guarded by the lock of the queue

    def start(self) -> None:
        """Start the threads."""
        self._workers.start()

    def stop(self) -> None:
        """Stop the threads; pending releases are not sent."""
        self._workers.stop(0.0)

    def list_changed(self, engines: dict[str, Engine]) -> None:
        """Use the engines of a new list."""
        self._engines = engines

    @property
    def open(self) -> int:
        """Number of releases that are not acknowledged yet."""
        return len(self._workers)

    def wait(self, seconds: float) -> bool:
        """Wait up to so many seconds for pending releases; returns whether all ended."""
        end = time.monotonic() + seconds
        while self.open and time.monotonic() < end:
            time.sleep(0.01)
        return not self.open

    def await_release(self, request_id: str) -> ReleaseWaitResult:
        """Wait, before a new attempt starts on its connection, until the request's pending release is acknowledged.

        Fulfils ``Obligation.RELEASE``."""
        if request_id not in self._pending:
            return ReleaseWaitResult.NONE_PENDING
        with self._workers.changed:
            acknowledged = self._workers.wait_until(lambda: request_id not in self._pending, RELEASE_WAIT_S)
            return ReleaseWaitResult.ACKNOWLEDGED if acknowledged else ReleaseWaitResult.UNACKNOWLEDGED

    def release(self, request_id: str) -> None:
        """Release all that is held for a request, in the background."""
        self._note(request_id, Step.RELEASE_DECIDED)
        self._add(request_id)

    def _add(self, request_id: str) -> None:
        with self._workers.changed:
            queue = self._workers.queue
            if request_id not in self._pending:
                self._pending[request_id] = queue.add(PendingRelease(request_id, "", 0, None, self._clock()))
                if len(self._pending) > 2 * queue.max_open:  # the queue dropped some that were never tried
                    self._pending = {name: number for name, number in self._pending.items() if number in queue}
                self._workers.changed.notify_all()

    def _release_ended(self, number: int, pending: PendingRelease) -> None:
        if self._pending.get(pending.request_id) == number:
            del self._pending[pending.request_id]

    def try_any_engine(self, pending: PendingRelease) -> ReleaseResult:
        """Try a release once, at the engine most likely to answer.  Fulfils ``Obligation.RELEASE``."""
        engines = list(self._engines.values())
        engine = choose_engine(
            engines, self._calls.last_response_at, self._calls.suspect_until, self._clock(), pending.tried_engines
        )
        if engine is None:
            return ReleaseResult.RETRY
        try:
            return self._call(engine, pending.request_id, pending.decided_at, RELEASE_TIMEOUT_S)
        except OSError as error:
            self._note(
                pending.request_id, Step.RELEASE_UNHEARD, engine.name, why=str(error), decided_at=pending.decided_at
            )
            return ReleaseResult.RETRY  # the next try goes to another engine

    def try_one_engine(self, engine: Engine, request_id: str) -> ReleaseResult:
        """Try a release once at one engine, at its current address."""
        listed = self._engines.get(engine.name)
        try:
            return self._call(listed or engine, request_id, self._clock(), OWN_RELEASE_TIMEOUT_S)
        except ConnectionRefusedError:
            return ReleaseResult.DONE  # the engine's process is gone, and all that it held
        except OSError:
            return ReleaseResult.DELISTED if listed is None else ReleaseResult.UNREACHABLE

    def _call(self, engine: Engine, request_id: str, decided_at: int, timeout: float) -> ReleaseResult:
        """Send one release and record its result.  Raises OSError."""
        message = writer.request("DELETE", PATH + request_id, [("Host", f"{engine.host}:{engine.port}")], None)
        status = self._calls.call(engine, message, timeout).head.status
        heard = status == _RELEASED
        step = Step.RELEASE_HEARD if heard else Step.RELEASE_UNHEARD
        self._note(request_id, step, engine.name, why=str(status), decided_at=decided_at)
        return ReleaseResult.DONE if heard else ReleaseResult.RETRY

    def _note(self, request_id: str, step: Step, engine: str = "", why: str = "", decided_at: int = 0) -> None:
        if self._records is not None:
            self._records.note(request_id, step, engine, why=why, decided_at=decided_at)
