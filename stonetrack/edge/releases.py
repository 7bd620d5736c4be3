"""Releases of all that is held for a request: ``DELETE /kv/leases/ID``, in the background.

A release names the request alone and any engine carries it out for all, so it goes to whichever is likeliest to hear
it: the one that answered anything last and has not failed since, another at each further try, until one answers.  Kept
connections say less: they are most where engines fell silent, since nothing that was sent there came back to use them.

Order.  A release that is decided before an attempt reaches an engine before it: one that came during the new read would
let go of what that reads (seen: 3 of 5 reads done anew ended at the writer as 410).  So an attempt that has its
connection waits for its request's release, ``RELEASE_WAIT_S`` at most; while that is not heard the attempt does not
begin.  A release is never dropped for an attempt: the attempt may not arrive, and then nobody would release what is
held.

What a prefill attempt may yet leave that was given up is owed beyond that (:mod:`.abandoned`).
"""

from __future__ import annotations

import time
from collections.abc import Callable
from enum import Enum

from stonetrack.edge.calls import EngineCalls
from stonetrack.edge.engine_table import Engine
from stonetrack.engines.releases import Heard, Item
from stonetrack.engines.releasing import Releasing
from stonetrack.node.records import Records
from stonetrack.node.transitions import Step
from stonetrack.wire import writer

PATH = "/kv/leases/"
RELEASE_TIMEOUT_S = 0.12  # seconds; where any engine may answer, the next is tried after that
OWN_RELEASE_TIMEOUT_S = 1.0  # seconds; one that stands still answers what lies there once it goes on
RELEASE_WAIT_S = 0.3  # seconds for which an attempt waits for an older release of its request: two tries of it


class ReleaseWaitResult(Enum):
    """What became of a request's release before its new attempt."""

    NONE_PENDING = "there was none"
    ACKNOWLEDGED = "heard"
    UNACKNOWLEDGED = "not heard: the attempt may not begin"


def choose_engine(
    engines: list[Engine], heard: Callable[[Engine], float], suspects: dict[str, int], now: int, tried: set[str]
) -> Engine | None:
    """The engine for a release's next try: not one that it was sent to already, nor one that failed of late; up; the
    last that answered anything.  Notes it as tried; once all were, all may be again."""
    if tried.issuperset(engine.name for engine in engines):
        tried.clear()
    if not engines:
        return None
    best = min(engines, key=lambda e: (e.name in tried, suspects.get(e.name, 0) > now, not e.up, -heard(e)))
    tried.add(best.name)
    return best


class Releases:
    """Runs the calls on a few threads."""

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
        self._releasing = Releasing(clock, release_within, threads, self.try_any_engine, self._over, log=log)
        self._open: dict[str, int] = {}  # releases that wait, by request; guarded as the book is

    def start(self) -> None:
        """Start the threads."""
        self._releasing.start()

    def stop(self) -> None:
        """Stop the threads; what is open stays so."""
        self._releasing.stop(0.0)

    def list_changed(self, engines: dict[str, Engine]) -> None:
        """Take a new list."""
        self._engines = engines

    @property
    def open(self) -> int:
        """Releases not heard yet."""
        return len(self._releasing)

    def wait(self, seconds: float) -> bool:
        """Let open releases end for so many seconds; whether all did."""
        end = time.monotonic() + seconds
        while self.open and time.monotonic() < end:
            time.sleep(0.01)
        return not self.open

    def await_release(self, request: str) -> ReleaseWaitResult:
        """A new attempt has its connection: see that what was decided before comes before it, or not at all.

        Owed: ``Obligation.RELEASE``."""
        if request not in self._open:
            return ReleaseWaitResult.NONE_PENDING
        with self._releasing.changed:
            heard = self._releasing.settle(lambda: request not in self._open, RELEASE_WAIT_S)
            return ReleaseWaitResult.ACKNOWLEDGED if heard else ReleaseWaitResult.UNACKNOWLEDGED

    def release(self, request: str) -> None:
        """Let go of all that is held for a request."""
        self._note(request, Step.RELEASE_DECIDED)
        self._add(request)

    def _add(self, request: str) -> None:
        with self._releasing.changed:
            book = self._releasing.book
            if request not in self._open:
                self._open[request] = book.add(Item(request, "", 0, None, self._clock()))
                if len(self._open) > 2 * book.most:  # the book dropped releases that were never tried
                    self._open = {name: number for name, number in self._open.items() if number in book}
                self._releasing.changed.notify_all()

    def _over(self, number: int, item: Item) -> None:
        if self._open.get(item.request) == number:
            del self._open[item.request]

    def try_any_engine(self, item: Item) -> Heard:
        """One try of a release, at the engine that is likeliest to hear it.  Owed: ``Obligation.RELEASE``."""
        engines = list(self._engines.values())
        engine = choose_engine(engines, self._calls.last_heard, self._calls.suspect_until, self._clock(), item.tried)
        if engine is None:
            return Heard.AGAIN
        try:
            return self._call(engine, item.request, item.decided, RELEASE_TIMEOUT_S)
        except OSError as error:
            self._note(item.request, Step.RELEASE_UNHEARD, engine.name, why=str(error), decided=item.decided)
            return Heard.AGAIN  # the next try goes to another engine

    def try_one_engine(self, engine: Engine, request: str) -> Heard:
        """One try of a release at one engine, at its present address."""
        listed = self._engines.get(engine.name)
        try:
            return self._call(listed or engine, request, self._clock(), OWN_RELEASE_TIMEOUT_S)
        except ConnectionRefusedError:
            return Heard.DONE  # its process is gone, with all that it held
        except OSError:
            return Heard.GONE if listed is None else Heard.AWAY

    def _call(self, engine: Engine, request: str, decided: int, timeout: float) -> Heard:
        """One call.  Raises OSError."""
        message = writer.request("DELETE", PATH + request, [("Host", f"{engine.host}:{engine.port}")], None)
        status = self._calls.call(engine, message, timeout).head.status
        heard = Step.RELEASE_HEARD if status < 500 else Step.RELEASE_UNHEARD
        self._note(request, heard, engine.name, why=str(status), decided=decided)
        return Heard.DONE if status < 500 else Heard.AGAIN

    def _note(self, request: str, step: Step, engine: str = "", why: str = "", decided: int = 0) -> None:
        if self._records is not None:
            self._records.note(request, step, engine, why=why, decided=decided)
