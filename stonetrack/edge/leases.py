"""Places asked for and all that is held let go of: ``POST`` and ``DELETE /kv/leases/ID``, in the background.

A release names the request alone and any engine carries it out for all, so it goes to whichever is likeliest to hear
it: the one that answered anything last and has not failed since, another at each further try, until one answers.  Kept
connections say less: they are most where engines fell silent, since nothing that was sent there came back to use them.

Order.  A release that is decided before an attempt reaches an engine before it: one that came during the new read would
let go of what that reads (seen: 3 of 5 reads done anew ended at the writer as 410).  So an attempt that has its
connection waits for its request's release, ``SETTLE`` at most; while that is not heard the attempt does not begin.  A
release is never dropped for an attempt: the attempt may not arrive, and then nobody would release what is held.

A place that is still being asked for when its request is let go of is let go of once more after the answer, unless a
new attempt has begun meanwhile.  One that is answered only after an attempt has begun may have been taken behind that
attempt: it is let go of when the request is over (:meth:`Leases.ended`), since a release during the attempt would take
what the attempt needs.  One that is not answered in time may be taken later still, when an engine or a path comes back:
its connection is watched for that (:mod:`.late_answers`).
"""

from __future__ import annotations

import contextlib
import queue
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

from stonetrack.api import Outcome
from stonetrack.edge.calls import Calls
from stonetrack.edge.hosts import Engine
from stonetrack.edge.late_answers import LateAnswers
from stonetrack.engines.releases import Heard, Item
from stonetrack.engines.releasing import Releasing
from stonetrack.node.records import Records
from stonetrack.node.threads import lasting
from stonetrack.node.transitions import Step
from stonetrack.wire import writer

PATH = "/kv/leases/"
RELEASE_TIMEOUT, HOLD_TIMEOUT = 0.12, 0.5  # seconds; an engine that can't tell of a place takes 0.3
SETTLE = 0.3  # seconds for which an attempt waits for an older release of its request: two tries of it
_NOT_HELD = frozenset({404, 409})  # answers to a place that say for certain that none is held
_MOST_PLACES = 64  # waiting to be asked for: more than that come too late


class Settled(Enum):
    """What became of a request's release before its new attempt."""

    NOTHING = "there was none"
    HEARD = "heard"
    UNHEARD = "not heard: the attempt may not begin"


@dataclass(slots=True)
class _Hold:
    """A place that is asked for."""

    sent: bool = False
    dropped: bool = False
    let_go: bool = False  # the request was let go of meanwhile
    passed: bool = False  # an attempt has begun meanwhile


def pick(
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


class Leases:
    """Runs the calls on a few threads."""

    def __init__(
        self,
        calls: Calls,
        clock: Callable[[], int],
        release_within: int,
        threads: int = 3,
        log: Callable[[str], None] = lambda text: None,
        records: Records | None = None,
        late_most: int = 16,
    ) -> None:
        self._calls, self._clock, self._records = calls, clock, records
        self._late_answers = LateAnswers(late_most, self._came_late, log)
        self._under_way: set[str] = set()  # requests that asked for a place and are not over
        self._engines: dict[str, Engine] = {}
        self._jobs: queue.Queue[tuple[str, Engine, _Hold, Callable[[bool], None]] | None] = queue.Queue(_MOST_PLACES)
        self._holding: dict[str, _Hold] = {}
        self._late: set[str] = set()  # requests under way that a place may be held for, taken behind their attempt
        self._hold_lock = threading.Lock()
        self._releasing = Releasing(clock, release_within, threads, self._release, self._over, log=log)
        self._open: dict[str, int] = {}  # releases that wait, by request; guarded as the book is
        self._threads = [lasting(f"places-{n}", self._places, log) for n in range(threads)]

    def start(self) -> None:
        """Start the threads."""
        self._releasing.start()
        self._late_answers.start()
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads; what is open stays so."""
        self._releasing.stop(0.0)
        self._late_answers.stop()
        for _ in self._threads:
            with contextlib.suppress(queue.Full):
                self._jobs.put_nowait(None)

    def list_changed(self, engines: dict[str, Engine]) -> None:
        """Take a new list."""
        self._engines = engines

    @property
    def open(self) -> int:
        """Releases not heard yet and places being asked for."""
        return len(self._releasing) + len(self._holding)

    @property
    def unsettled(self) -> int:
        """Those, and calls that may be carried out yet."""
        return self.open + len(self._late_answers)

    def wait(self, seconds: float) -> bool:
        """Let open releases end for so many seconds; whether all did."""
        end = time.monotonic() + seconds
        while self.open and time.monotonic() < end:
            time.sleep(0.01)
        return not self.open

    def _call(
        self,
        engine: Engine,
        method: str,
        request: str,
        timeout: float,
        late: Callable[[socket.socket], None] | None = None,
    ) -> int:
        """One call's status.  Raises OSError."""
        message = writer.request(method, PATH + request, [("Host", f"{engine.host}:{engine.port}")],
                                 b"" if method == "POST" else None)  # fmt: skip
        return self._calls.call(engine, message, timeout, late).head.status

    # Places.

    def hold(self, request: str, server: str, answer: Callable[[bool], None]) -> None:
        """Ask a writer for a place; ``answer`` is called unless it can't be heard or is no longer wanted."""
        engine = self._engines.get(server)
        if engine is None:
            return
        self._note(request, Step.RESERVATION_ASKED, server)
        asked = _Hold()
        with self._hold_lock:
            self._holding[request] = asked
            self._under_way.add(request)
        try:
            self._jobs.put_nowait((request, engine, asked, answer))
        except queue.Full:
            with self._hold_lock:
                self._holding.pop(request, None)

    def _places(self) -> None:
        while (job := self._jobs.get()) is not None:
            request, engine, asked, answer = job
            with self._hold_lock:
                if asked.dropped:
                    continue
                asked.sent = True
            try:
                late = partial(self._late_answers.watch, request)
                status = self._call(engine, "POST", request, HOLD_TIMEOUT, late)
            except OSError:
                status = 0  # not heard: it may hold one all the same
            told = Outcome.SERVED if status in (200, 409) else None  # either tells of a read that is out there
            self._note(request, Step.RESERVATION_ANSWERED, engine.name, outcome=told, why=str(status or "not heard"))
            with self._hold_lock:
                if self._holding.get(request) is asked:
                    del self._holding[request]
                let_go = asked.let_go
                if asked.passed and not let_go and status not in _NOT_HELD:
                    self._late.add(request)
            if let_go:
                self._add(request, again=True)
            elif status in (200, 409):
                answer(status == 200)

    def settle(self, request: str) -> Settled:
        """A new attempt has its connection: see that what was decided before comes before it, or not at all.

        A place not asked for yet is not any more.
        """
        self._drop_hold(request, let_go=False)
        self._pass_hold(request)
        if request not in self._open:
            return Settled.NOTHING
        with self._releasing.changed:
            heard = self._releasing.settle(lambda: request not in self._open, SETTLE)
            return Settled.HEARD if heard else Settled.UNHEARD

    def _came_late(self, request: str) -> None:
        """A place that was asked for long ago may be held since just now: for nobody, unless an attempt needs it."""
        self._note(request, Step.RESERVATION_ANSWERED, why="late, or not at all")
        needed = self._records is None or not self._records.begun(request)
        with self._hold_lock:
            if needed and request in self._under_way:
                self._late.add(request)
                return
        self._add(request, again=True)

    def _drop_hold(self, request: str, let_go: bool) -> None:
        """Take back a place not asked for yet; of one that is being asked for, note what follows its answer."""
        with self._hold_lock:
            if (asked := self._holding.get(request)) is not None:
                asked.let_go = let_go
                if not asked.sent:
                    asked.dropped = True
                    del self._holding[request]

    def _pass_hold(self, request: str) -> None:
        """An attempt begins: what is answered from here on may have been taken behind it."""
        with self._hold_lock:
            if (asked := self._holding.get(request)) is not None:
                asked.passed = True

    def ended(self, request: str) -> None:
        """The request is over: let go of a place that was taken too late for it, now or after its answer."""
        self._drop_hold(request, let_go=True)
        with self._hold_lock:
            late = request in self._late
            self._late.discard(request)
            self._under_way.discard(request)
        if late:
            self._add(request, again=True)

    # Releases.

    def release(self, request: str) -> None:
        """Let go of all that is held for a request."""
        self._note(request, Step.RELEASE_DECIDED)
        self._drop_hold(request, let_go=True)
        self._add(request)

    def _add(self, request: str, again: bool = False) -> None:
        """Owe a release.  ``again`` is for what came about just now: a release that is open already may have passed it,
        so that one is no longer waited for and another begins."""
        with self._releasing.changed:
            book = self._releasing.book
            if again and request in self._open:
                book.done(self._open.pop(request))
            if request not in self._open:
                self._open[request] = book.add(Item(request, "", 0, None, self._clock()))
                if len(self._open) > 2 * book.most:  # the book dropped releases that were never tried
                    self._open = {name: number for name, number in self._open.items() if number in book}
                self._releasing.changed.notify_all()

    def _over(self, number: int, item: Item) -> None:
        if self._open.get(item.request) == number:
            del self._open[item.request]

    def _release(self, item: Item) -> Heard:
        engines = list(self._engines.values())
        engine = pick(engines, self._calls.heard, self._calls.suspects, self._clock(), item.tried)
        if engine is None:
            return Heard.AGAIN
        try:
            status = self._call(engine, "DELETE", item.request, RELEASE_TIMEOUT)
        except OSError as error:
            self._note(item.request, Step.RELEASE_UNHEARD, engine.name, why=str(error), decided=item.decided)
            return Heard.AGAIN  # the next try goes to another engine
        heard = Step.RELEASE_HEARD if status < 500 else Step.RELEASE_UNHEARD
        self._note(item.request, heard, engine.name, why=str(status), decided=item.decided)
        return Heard.DONE if status < 500 else Heard.AGAIN

    def _note(
        self,
        request: str,
        step: Step,
        engine: str = "",
        outcome: Outcome | None = None,
        why: str = "",
        decided: int = 0,
    ) -> None:
        if self._records is not None:
            self._records.note(request, step, engine, outcome=outcome, why=why, decided=decided)
