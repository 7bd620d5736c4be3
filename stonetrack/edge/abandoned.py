"""Abandoned prefills: attempts that ended without their engine's answer, and the state that they may still leave there.

A prefill whose request was sent whole may reach the engine after its cancellation, and a cancelled prefill may run to
its end: its state is then leaked, held for no request.  A closed connection proves neither.  So each such attempt is
tracked until nothing of it can be left:

- Its connection stays open with this side shut down for writing, which cancels the attempt as a close does.  Whatever
  arrives on it, an answer or the end of the stream, shows that the engine has acted.
- Its engine has to answer a release itself.  One that can't be reached is called again until it answers; one that
  refuses connections has lost its process, and with it all that it held.
- After each of these moments (cancellation, bytes on the connection, a late answer to a release) further releases
  follow at intervals of the settings' release time, so that a state which the engine completes meanwhile is released in
  time: ``UNCONFIRMED_RELEASES`` after the cancellation, ``CONFIRMED_RELEASES`` after a sign of the engine.  Before any
  sign of the engine such a release is tried only once: when all engines are slow, a precaution must not add to their
  load.  These releases have threads of their own: when many engines come back at once, they delay no release that a
  running request waits for.

Tracking ends when the connection has ended, the engine has answered a release and the last release was sent.  A release
would also drop the state that another attempt of the request is prefilling, so it waits while one needs that state, but
no longer than :data:`KNOWN_STATE_SHARE` of the release time once the engine has shown that it acted.  The number of
attempts, of connections and the time are bounded; what is dropped is counted.
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
from stonetrack.engines.release_queue import PendingRelease, ReleaseResult
from stonetrack.engines.release_workers import ReleaseWorkers
from stonetrack.node import sockets
from stonetrack.node.threads import restarting_thread

SECOND = 1_000_000_000
MAX_ATTEMPTS = 1_024  # tracked at a time; above that the oldest are dropped
WATCH_NS = 60 * SECOND  # a connection without any byte for longer is closed
POLL_INTERVAL_S = 0.05
UNCONFIRMED_RELEASES, CONFIRMED_RELEASES = 2, 2  # after the cancellation; after a sign that the engine has acted
FIRST_RELEASE_SHARE = 0.6  # of the release time, from the cancellation (itself followed by a release) to the next
KNOWN_STATE_SHARE = 0.7  # of the release time for which a state that is known to exist waits for another attempt
THREADS = 4
MAX_RETRY_PAUSE_NS = 2 * SECOND  # between two tries at an unreachable engine: each leaves a connection there


@dataclass(slots=True, eq=False)
class _Attempt:
    """One abandoned prefill attempt; times in nanoseconds of the node's clock."""

    request_id: str
    engine: Engine
    sock: socket.socket | None
    cancelled_at: int
    next_release_at: int
    releases_left: int = UNCONFIRMED_RELEASES
    acted_at: int = 0  # when the connection showed that the engine has acted; 0 if it has not
    confirming: bool = False  # a release that the engine has to answer itself is pending
    confirmed: bool = False  # the engine has answered a release

    @property
    def settled(self) -> bool:
        """Whether nothing of the attempt can be left at its engine."""
        return self.sock is None and self.confirmed and self.releases_left == 0


@dataclass(slots=True)
class _Release(PendingRelease):
    """One release, retried until it is acknowledged, or tried a single time if ``once``."""

    once: bool = False


@dataclass(slots=True)
class Counts:
    """Counters for the node's metrics, which show the fields' names."""

    given_up: int = 0  # attempts tracked
    told: int = 0  # of these, attempts whose connection later showed that the engine has acted
    paid: int = 0  # attempts of which nothing can be left
    dropped: int = 0  # attempts dropped above the bound
    connections_dropped: int = 0
    releases: int = 0


@dataclass(slots=True)
class _Table:
    """The tracked attempts by number, oldest first, and those with watched connections by descriptor."""

    attempts: OrderedDict[int, _Attempt] = field(default_factory=OrderedDict)
    watched: OrderedDict[int, _Attempt] = field(default_factory=OrderedDict)
    last_number: int = 0


class AbandonedPrefills:
    """Tracks abandoned prefills on a thread of its own and sends their releases.

    ``release_any`` tries once to release all that is held for a request, at any engine; ``release_at`` sends one
    release to one engine (result: :class:`.ReleaseResult`); ``is_needed`` returns whether another attempt of the
    request needs the held state.  ``within`` is the settings' release time in nanoseconds; ``max_watched`` bounds the
    connections.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        within: int,
        release_any: Callable[[PendingRelease], ReleaseResult],
        release_at: Callable[[Engine, str], ReleaseResult],
        is_needed: Callable[[str], bool],
        max_watched: int,
        log: Callable[[str], None],
        max_attempts: int = MAX_ATTEMPTS,
    ) -> None:
        self._clock, self._within = clock, within
        self._release_any, self._release_at, self._is_needed = release_any, release_at, is_needed
        self._max_attempts, self._max_watched = max_attempts, max_watched
        self._table = _Table()
        self._confirming: dict[int, _Attempt] = {}  # by number of the release that the engine has to answer
        self._engines: dict[str, Engine] = {}  # engines of tracked attempts; emptied when no attempt is left
        self._confirmations: deque[tuple[_Attempt, bool]] = deque()  # answers since the last pass, and whether late
        self._changed = threading.Condition(threading.Lock())
        self._stopping = False
        self.counts = Counts()
        self._workers = ReleaseWorkers(
            clock, MAX_RETRY_PAUSE_NS, THREADS, self._run_release, self._release_ended, log=log
        )
        self._thread = restarting_thread("abandoned-reads", self._run, log)

    def __len__(self) -> int:
        return len(self._table.attempts)

    @property
    def watched_connections(self) -> int:
        """Number of watched connections."""
        return len(self._table.watched)

    def start(self) -> None:
        """Start the threads."""
        self._workers.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop the threads and close the watched connections; outstanding releases are not sent."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        self._workers.stop(0.0)
        if self._thread.ident is not None:
            self._thread.join(2.0)
        with self._changed:
            for attempt in self._table.attempts.values():
                self._unwatch(attempt)
            self._table.attempts.clear()

    def add(self, request_id: str, engine: Engine, sock: socket.socket | None) -> None:
        """Track an attempt that ended without its engine's answer; takes over its connection, if there is one."""
        now = self._clock()
        attempt = _Attempt(request_id, engine, sock, now, now + int(FIRST_RELEASE_SHARE * self._within))
        with self._changed:
            table = self._table
            self._engines[engine.name] = engine
            table.last_number += 1
            table.attempts[table.last_number] = attempt
            self.counts.given_up += 1
            if sock is not None:
                table.watched[sock.fileno()] = attempt
            if len(table.watched) > self._max_watched:
                self.counts.connections_dropped += 1
                self._unwatch(next(iter(table.watched.values())))
            if len(table.attempts) > self._max_attempts:
                self.counts.dropped += 1
                self._unwatch(table.attempts.popitem(last=False)[1])
            self._changed.notify_all()

    # The periodic pass over all attempts.

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._table.attempts and not self._stopping:
                    self._changed.wait()
                if self._stopping:
                    return
                watched = dict(self._table.watched)
            readable = self._poll(watched)
            with self._changed:
                for fd in readable:
                    if self._table.watched.get(fd) is watched[fd]:
                        self._engine_acted(watched[fd])
                self._release_due(self._clock())

    def _poll(self, watched: dict[int, _Attempt]) -> list[int]:
        """Wait until the next pass at most; returns the descriptors on which anything arrived."""
        poller = select.poll()
        for fd in watched:
            poller.register(fd, select.POLLIN | select.POLLRDHUP)
        with contextlib.suppress(OSError):
            return [fd for fd, _ in sockets.poll(poller, POLL_INTERVAL_S * 1_000.0)]
        return []

    def _engine_acted(self, attempt: _Attempt) -> None:
        """Bytes or the end of the stream arrived: the engine has acted on the attempt or is doing so."""
        self._unwatch(attempt)
        self.counts.told += 1
        attempt.acted_at = self._clock()
        attempt.next_release_at, attempt.releases_left, attempt.confirming = attempt.acted_at, CONFIRMED_RELEASES, False
        with self._workers.changed:
            self._workers.queue.engine_reachable(attempt.engine.name, attempt.acted_at)
            self._workers.changed.notify_all()

    def _release_due(self, now: int) -> None:
        """Send the releases that are due and drop settled attempts.  Fulfils ``Obligation.ABANDONED_READ``."""
        while self._confirmations:
            self._engine_answered(*self._confirmations.popleft(), now)
        for number, attempt in list(self._table.attempts.items()):
            if attempt.sock is not None and now > attempt.cancelled_at + WATCH_NS:
                self._unwatch(attempt)
            if attempt.next_release_at > now or self._must_wait(attempt, now):
                continue
            if attempt.releases_left:
                self._release_now(attempt, now)
            elif attempt.settled:
                del self._table.attempts[number]
                self.counts.paid += 1
        if not self._table.attempts:
            self._engines.clear()

    def _release_now(self, attempt: _Attempt, now: int) -> None:
        needs_confirmation = not attempt.confirming
        if needs_confirmation:
            attempt.confirming = True
            self._add(attempt, attempt.engine.name, now, once=False)
        if not needs_confirmation or not attempt.acted_at:
            self._add(attempt, "", now, once=not attempt.acted_at)
        attempt.releases_left -= 1
        attempt.next_release_at = now + self._within

    @staticmethod
    def _engine_answered(attempt: _Attempt, late: bool, now: int) -> None:
        """The engine has answered a release, or is gone.  One that was unreachable for a while (``late``) has acted
        only now on what was sent to it, so further releases follow."""
        attempt.confirmed = True
        if late:
            attempt.next_release_at, attempt.releases_left = now, CONFIRMED_RELEASES

    def _must_wait(self, attempt: _Attempt, now: int) -> bool:
        """Whether a release now would drop the state that another attempt of the request needs."""
        if attempt.acted_at and now > attempt.acted_at + KNOWN_STATE_SHARE * self._within:
            return False
        return self._is_needed(attempt.request_id)

    def _unwatch(self, attempt: _Attempt) -> None:
        if attempt.sock is not None:
            self._table.watched.pop(attempt.sock.fileno(), None)
            sockets.reset(attempt.sock)
            attempt.sock = None

    # The releases: one that the attempt's own engine has to answer, and others that any engine may.

    def _add(self, attempt: _Attempt, server: str, now: int, once: bool) -> None:
        self.counts.releases += 1
        with self._workers.changed:
            number = self._workers.queue.add(_Release(attempt.request_id, server, 0, None, now, once=once))
            if server:
                self._confirming[number] = attempt
            self._workers.changed.notify_all()

    def _run_release(self, pending: PendingRelease) -> ReleaseResult:
        if not pending.server:
            result = self._release_any(pending)
            return ReleaseResult.DONE if isinstance(pending, _Release) and pending.once else result
        engine = self._engines.get(pending.server)
        return (
            ReleaseResult.DONE if engine is None else self._release_at(engine, pending.request_id)
        )  # None: attempts were dropped

    def _release_ended(self, number: int, pending: PendingRelease) -> None:
        if (attempt := self._confirming.pop(number, None)) is not None:
            self._confirmations.append((attempt, pending.tries > 1))
