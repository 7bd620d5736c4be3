"""Prefill attempts that ended without their engine's word, and the states that they may yet leave there.

A prefill attempt whose request was written whole may arrive after it was given up, and a read that was given up may go
on to its end: its state is then held for nobody.  Closing a connection proves neither.  So each such attempt is a debt:

- Its connection stays open with this side's sending ended, which gives the attempt up as a close does, and is watched:
  what comes back on it, an answer or its end, is the engine's own word that it has acted.
- The engine is owed a release that it answers itself.  One that can't be reached is asked again until it answers; one
  that refuses connections has lost its process, and all that it held.
- From each of these moments on (given up, heard on the connection, release answered late) releases follow one another
  within the settings' time, so that a state which the engine finishes meanwhile is let go of in time:
  ``UNCONFIRMED_RELEASES`` of
  them, ``CONFIRMED_RELEASES`` where the engine is there to be heard.  A blind one is tried once: where all
  engines are slow, what
  is only a precaution may not add to their load.  They have threads of their own: when many engines come back at
  once, they keep no release waiting that a request under way has to have heard.

A debt ends when its connection has ended, its engine has answered a release and the last release was sent.  A release
would also take what another attempt of the request is reading, so it waits while one needs what is held, but no longer
than :data:`KNOWN_SHARE` of the settings' time where the engine's word says that a state is there.  Bounded in number,
connections and time; what is dropped is counted.
"""

from __future__ import annotations

import contextlib
import select
import socket
import threading
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from stonetrack.edge.engine_table import Engine
from stonetrack.engines.releases import Heard, Item
from stonetrack.engines.releasing import Releasing
from stonetrack.node import sockets
from stonetrack.node.threads import lasting

SECOND = 1_000_000_000
MOST = 1_024  # debts; past that the oldest are dropped
KEPT_FOR = 60 * SECOND  # a connection on which nothing came for so long is closed
LOOK = 0.05  # seconds from one look at the debts to the next
UNCONFIRMED_RELEASES, CONFIRMED_RELEASES = (
    2,
    2,
)  # releases after a moment from which on the engine may have left a state
FIRST_SHARE = 0.6  # of the settings' time until the first of them behind a giving up, which has had a release itself
KNOWN_SHARE = 0.7  # of the settings' time for which a state that is known to be there waits for another attempt
THREADS = 4
ASK_PAUSE = 2 * SECOND  # at most, between two tries at an engine that is away: each leaves a connection there


@dataclass(slots=True, eq=False)
class _Debt:
    """One attempt; times in nanoseconds of the node's clock."""

    request: str
    engine: Engine
    sock: socket.socket | None
    given_up: int
    due: int  # when its next release is
    left: int = UNCONFIRMED_RELEASES
    told_at: int = 0  # when its engine said on the connection that it has acted; 0: not yet
    asked: bool = False  # its engine is being asked for an answer to a release
    answered: bool = False  # it has answered one

    @property
    def paid(self) -> bool:
        """Whether nothing of it can be left."""
        return self.sock is None and self.answered and self.left == 0


@dataclass(slots=True)
class _Release(Item):
    """One release, tried until it is heard or ``once``."""

    once: bool = False


@dataclass(slots=True)
class Counts:
    """For the node's metrics."""

    given_up: int = 0  # attempts that became debts
    told: int = 0  # of these, engines that said something on the connection later
    paid: int = 0
    dropped: int = 0
    connections_dropped: int = 0
    releases: int = 0


@dataclass(slots=True)
class _Book:
    """The debts by number, oldest first, and those whose connections are watched, by descriptor."""

    debts: OrderedDict[int, _Debt] = field(default_factory=OrderedDict)
    watched: OrderedDict[int, _Debt] = field(default_factory=OrderedDict)
    number: int = 0


class AbandonedPrefills:
    """See the module.

    ``release`` tries once to let go of all that is held for a request, at any engine; ``ask`` carries one release to
    one engine (:class:`.Heard`); ``needed`` tells whether another attempt of the request needs what is held.
    ``most_watched`` bounds the connections.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        within: int,
        release: Callable[[Item], Heard],
        ask: Callable[[Engine, str], Heard],
        needed: Callable[[str], bool],
        most_watched: int,
        log: Callable[[str], None],
        most: int = MOST,
    ) -> None:
        self._clock, self._within = clock, within
        self._release, self._ask, self._needed = release, ask, needed
        self._most, self._most_watched = most, most_watched
        self._book = _Book()
        self._asked: dict[int, _Debt] = {}  # by number of the release that its engine is asked to answer
        self._engines: dict[str, Engine] = {}  # those that are owed something; emptied when nothing is
        self._answers: deque[tuple[_Debt, bool]] = deque()  # releases answered since the last look: after a while?
        self._changed = threading.Condition(threading.Lock())
        self._stopping = False
        self.counts = Counts()
        self._releasing = Releasing(clock, ASK_PAUSE, THREADS, self._carry, self._over, log=log)
        self._thread = lasting("abandoned-reads", self._run, log)

    def __len__(self) -> int:
        return len(self._book.debts)

    @property
    def watched_connections(self) -> int:
        """Connections that are watched."""
        return len(self._book.watched)

    def start(self) -> None:
        """Start the threads."""
        self._releasing.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop, and close what is watched; what is owed stays so."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        self._releasing.stop(0.0)
        if self._thread.ident is not None:
            self._thread.join(2.0)
        with self._changed:
            for debt in self._book.debts.values():
                self._unwatch(debt)
            self._book.debts.clear()

    def add(self, request: str, engine: Engine, sock: socket.socket | None) -> None:
        """An attempt has ended without its engine's word; its connection, if there is one, is this object's from now
        on."""
        now = self._clock()
        debt = _Debt(request, engine, sock, now, now + int(FIRST_SHARE * self._within))
        with self._changed:
            book = self._book
            self._engines[engine.name] = engine
            book.number += 1
            book.debts[book.number] = debt
            self.counts.given_up += 1
            if sock is not None:
                book.watched[sock.fileno()] = debt
            if len(book.watched) > self._most_watched:
                self.counts.connections_dropped += 1
                self._unwatch(next(iter(book.watched.values())))
            if len(book.debts) > self._most:
                self.counts.dropped += 1
                self._unwatch(book.debts.popitem(last=False)[1])
            self._changed.notify_all()

    # The look at all debts.

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._book.debts and not self._stopping:
                    self._changed.wait()
                if self._stopping:
                    return
                watched = dict(self._book.watched)
            came = self._came(watched)
            with self._changed:
                for fd in came:
                    if self._book.watched.get(fd) is watched[fd]:
                        self._told(watched[fd])
                self._release_due(self._clock())

    def _came(self, watched: dict[int, _Debt]) -> list[int]:
        """Descriptors on which anything came, waited for until the next look."""
        poller = select.poll()
        for fd in watched:
            poller.register(fd, select.POLLIN | select.POLLRDHUP)
        with contextlib.suppress(OSError):
            return [fd for fd, _ in sockets.poll(poller, LOOK * 1_000.0)]
        return []

    def _told(self, debt: _Debt) -> None:
        """Its engine has said something: it has acted, or does so now."""
        self._unwatch(debt)
        self.counts.told += 1
        debt.told_at = self._clock()
        debt.due, debt.left, debt.asked = debt.told_at, CONFIRMED_RELEASES, False
        with self._releasing.changed:
            self._releasing.book.back(debt.engine.name, debt.told_at)
            self._releasing.changed.notify_all()

    def _release_due(self, now: int) -> None:
        """Release what is due; debts that are paid go.  Owed: ``Obligation.ABANDONED_READ``."""
        while self._answers:
            self._heard(*self._answers.popleft(), now)
        for number, debt in list(self._book.debts.items()):
            if debt.sock is not None and now > debt.given_up + KEPT_FOR:
                self._unwatch(debt)
            if debt.due > now or self._waits(debt, now):
                continue
            if debt.left:
                self._release_now(debt, now)
            elif debt.paid:
                del self._book.debts[number]
                self.counts.paid += 1
        if not self._book.debts:
            self._engines.clear()

    def _release_now(self, debt: _Debt, now: int) -> None:
        asks = not debt.asked
        if asks:
            debt.asked = True
            self._add(debt, debt.engine.name, now, once=False)
        if not asks or not debt.told_at:
            self._add(debt, "", now, once=not debt.told_at)
        debt.left -= 1
        debt.due = now + self._within

    @staticmethod
    def _heard(debt: _Debt, late: bool, now: int) -> None:
        """Its engine has answered a release, or nobody is there any more.  One that could not be reached for a while
        has only now acted on what lay there."""
        debt.answered = True
        if late:
            debt.due, debt.left = now, CONFIRMED_RELEASES

    def _waits(self, debt: _Debt, now: int) -> bool:
        """Whether another attempt of its request would lose what it needs."""
        if debt.told_at and now > debt.told_at + KNOWN_SHARE * self._within:
            return False
        return self._needed(debt.request)

    def _unwatch(self, debt: _Debt) -> None:
        if debt.sock is not None:
            self._book.watched.pop(debt.sock.fileno(), None)
            sockets.reset(debt.sock)
            debt.sock = None

    # The releases themselves: one that its engine has to answer, others that any may.

    def _add(self, debt: _Debt, server: str, now: int, once: bool) -> None:
        self.counts.releases += 1
        with self._releasing.changed:
            number = self._releasing.book.add(_Release(debt.request, server, 0, None, now, once=once))
            if server:
                self._asked[number] = debt
            self._releasing.changed.notify_all()

    def _carry(self, item: Item) -> Heard:
        if not item.server:
            heard = self._release(item)
            return Heard.DONE if isinstance(item, _Release) and item.once else heard
        engine = self._engines.get(item.server)
        return Heard.DONE if engine is None else self._ask(engine, item.request)  # none: its debts were dropped

    def _over(self, number: int, item: Item) -> None:
        if (debt := self._asked.pop(number, None)) is not None:
            self._answers.append((debt, item.tries > 1))
