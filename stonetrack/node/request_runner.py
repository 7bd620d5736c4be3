"""The thread that runs one request: waits on its sockets, feeds :mod:`.request_lifecycle`, carries out what that says.

A thread waits in one ``poll`` on three descriptors: the client's (leaving, room to write), the attempt's, and its own
wake-up, written by whoever puts a command into its mailbox.  Where descriptors are short a waker has none, and its
thread looks into the mailbox by itself until the answer has begun (from then on nothing is put there that it waits
for).  Sockets are blocking ones, read and written only when ``poll`` says so, and never touched by another thread.
"""

from __future__ import annotations

import contextlib
import os
import select
from collections import deque
from dataclasses import dataclass
from typing import Any

from stonetrack.api import Action, AttemptEnded, Event, FirstToken, Outcome, PlaceAnswer, RequestGone
from stonetrack.node import sockets
from stonetrack.node.core import Core, Mailbox
from stonetrack.node.ports import (
    AnswerPart,
    AnswerStarted,
    Attempt,
    AttemptEvent,
    AttemptResult,
    ClientDisconnected,
    Engines,
    Final,
    InferenceRequest,
    Sink,
)
from stonetrack.node.records import Records
from stonetrack.node.request_lifecycle import (
    AbortAttempt,
    DeliverPart,
    FinishAnswer,
    NotifyRouter,
    ReleaseHeld,
    RequestLifecycle,
    Reserve,
    SideEffect,
    Stage,
    StartAnswer,
    StartAttempt,
)
from stonetrack.node.transitions import Step

_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
MS = 1_000_000
MAILBOX_POLL = 40 * MS  # a thread without a waker looks into its mailbox so often


class Waker:
    """A descriptor that another thread can make readable, or none; one for each worker thread."""

    __slots__ = ("_woken", "fd")

    def __init__(self, descriptor: bool = True) -> None:
        self.fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC) if descriptor else -1
        self._woken = False

    def wake(self) -> None:
        """Make it readable."""
        if self.fd < 0:
            return
        self._woken = True
        with contextlib.suppress(BlockingIOError):  # it is readable already
            os.eventfd_write(self.fd, 1)

    def clear(self) -> None:
        """Make it unreadable."""
        if not self._woken:
            return
        self._woken = False
        with contextlib.suppress(BlockingIOError):
            os.eventfd_read(self.fd)

    def close(self) -> None:
        """Give the descriptor back."""
        if self.fd >= 0:
            os.close(self.fd)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time and size bounds of one request, in nanoseconds and bytes."""

    stream_silence: int
    client_stall: int
    send_buffer: int


class RequestRunner:
    """Runs one request to its end."""

    def __init__(
        self,
        core: Core,
        engines: Engines,
        bounds: Bounds,
        request: InferenceRequest,
        sink: Sink,
        waker: Waker,
        records: Records | None = None,
    ) -> None:
        self.core, self.engines, self.bounds, self.sink, self.waker = core, engines, bounds, sink, waker
        self.records = records  # told of each step, and asked before each attempt
        self.lifecycle = RequestLifecycle(request, bounds.stream_silence, core.clock())
        self.mailbox: Mailbox | None = None
        self.attempt: Attempt | None = None
        self.early_results: deque[AttemptResult] = deque()  # outcomes of attempts that ended at once
        self.actions: deque[Action] = deque()
        self.last_progress_at = 0  # when the client last took a byte

    def run(self) -> RequestLifecycle:
        """From arrival to the last outcome; the finished life, for the record."""
        core, lifecycle = self.core, self.lifecycle
        self.waker.clear()
        mailbox = self.mailbox = core.accept_request(lifecycle.request, self.waker.wake)
        self.actions = mailbox.actions
        self.last_progress_at = core.clock()
        try:
            while True:
                self._commands()
                if lifecycle.finished and not self.actions and (lifecycle.client_gone or not self.sink.pending):
                    return lifecycle
                self._wait()
        except Exception:
            self._abandon()
            raise
        finally:
            if self.attempt is not None:
                self.attempt.abort()
            core.finish_request(mailbox)

    def _abandon(self) -> None:
        """A defect ends the run: nothing of the request stays at an engine, nor in the router's books."""
        with contextlib.suppress(Exception):
            now = self.core.clock()
            self._do(self.lifecycle.handle_client_gone(now))
            if self.lifecycle.stage is Stage.IN_FLIGHT:
                self._take_back(Outcome.CANCELLED, "this node could not go on with the request", now)
            self._commands()

    def _take_back(self, outcome: Outcome, why: str, now: int) -> None:
        self._do([AbortAttempt(), *self.lifecycle.handle_attempt_event(AttemptResult(outcome, why), now)])

    def _commands(self) -> None:
        while self.actions or self.early_results:
            now = self.core.clock()
            if self.early_results:
                self._do(self.lifecycle.handle_attempt_event(self.early_results.popleft(), now))
            else:
                self._do(self.lifecycle.handle_action(self.actions.popleft(), now))

    # One wait.

    def _wait(self) -> None:
        lifecycle, attempt, sink = self.lifecycle, self.attempt, self.sink
        poller = select.poll()
        if self.waker.fd >= 0:
            poller.register(self.waker.fd, select.POLLIN)
        client = -1 if lifecycle.client_gone else sink.fileno()
        if client >= 0:
            poller.register(client, select.POLLRDHUP | (select.POLLOUT if sink.pending else 0))
        engine = attempt.fileno() if attempt is not None else -1
        full = not lifecycle.client_gone and sink.pending > self.bounds.send_buffer
        if engine >= 0 and attempt is not None:
            mask = (0 if full else select.POLLIN) | (select.POLLOUT if attempt.has_unsent_data else 0)
            poller.register(engine, mask) if mask else None
        # The descriptors stay the same through a stream; stay in here while nothing else changes.
        while True:
            now = self.core.clock()
            ready = sockets.poll(poller, self._timeout(now))
            now = self.core.clock()
            woken = self.waker.fd < 0 and bool(self.actions)
            for fd, mask in ready:
                if fd == client:
                    self._client(mask, now)
                elif fd == engine:
                    self._engine(now)
                else:
                    self.waker.clear()
                    woken = True
            self._times(now)
            if (
                woken
                or self.attempt is not attempt
                or lifecycle.finished
                or lifecycle.client_gone
                or self.early_results
                or sink.pending
                or client < 0
                or (attempt is not None and (attempt.has_unsent_data or attempt.fileno() != engine))
                or lifecycle.stage is not Stage.STREAMING
            ):
                return

    def _timeout(self, now: int) -> float | None:
        """Milliseconds until something is due."""
        dues = [self.lifecycle.next_deadline()] if not self._blocked() else []
        if self.sink.pending and not self.lifecycle.client_gone:
            dues.append(self.last_progress_at + self.bounds.client_stall)
        dues = [due for due in dues if due]
        if self.waker.fd < 0 and self.lifecycle.stage is not Stage.STREAMING:
            dues.append(now + MAILBOX_POLL)
        return max(0.0, (min(dues) - now) / MS + 1.0) if dues else None

    def _blocked(self) -> bool:
        """Whether the engine is not read because the client takes nothing: silence is then the client's."""
        return self.lifecycle.stage is Stage.STREAMING and self.sink.pending > self.bounds.send_buffer

    def _client(self, mask: int, now: int) -> None:
        if mask & _LEFT:
            self._lost(now)
        elif mask & select.POLLOUT:
            self._flush(now)

    def _lost(self, now: int) -> None:
        self._do(self.lifecycle.handle_client_gone(now))
        if self.attempt is not None and self.attempt.has_unsent_data:
            # An attempt begins with its request's last byte: it would begin for nobody.
            self._take_back(Outcome.NOT_SENT, "the client left", now)

    def _engine(self, now: int) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        events = attempt.process_io()
        if len(events) == 1:
            self._event(events[0], now)
            return
        self.sink.cork(True)
        for event in events:
            self._event(event, now)
            if self.attempt is not attempt and not isinstance(event, AttemptResult):
                break  # aborted meanwhile: what follows reaches nobody
        self.sink.cork(False)
        if self.sink.pending and not self.lifecycle.client_gone:
            self._flush(now)

    def _event(self, event: AttemptEvent, now: int) -> None:
        if isinstance(event, AnswerPart) and self.lifecycle.accept_part(now):
            self._give(event)
            return
        if isinstance(event, AttemptResult):
            self.attempt = None
        self._do(self.lifecycle.handle_attempt_event(event, now))

    def _flush(self, now: int) -> None:
        try:
            before = self.sink.pending
            if self.sink.flush() < before:
                self.last_progress_at = now
                if self.lifecycle.stage is Stage.STREAMING:
                    self.lifecycle.silence_deadline = max(
                        self.lifecycle.silence_deadline, now + self.bounds.stream_silence
                    )
        except ClientDisconnected:
            self._lost(now)

    def _times(self, now: int) -> None:
        if not self._blocked():
            self._do(self.lifecycle.check_deadlines(now))
        if (
            self.sink.pending
            and not self.lifecycle.client_gone
            and now > self.last_progress_at + self.bounds.client_stall
        ):
            self._lost(now)  # it takes nothing: gone for us, and its connection is closed

    # Effects.

    def _do(self, effects: list[SideEffect]) -> None:
        for effect in effects:
            match effect:
                case DeliverPart(piece):
                    self._give(piece)
                case NotifyRouter(event):
                    self._note(event)
                    self.core.handle_event(event)
                case StartAnswer():
                    self._give(AnswerStarted())
                case StartAttempt(server, number, state, place, _):
                    self._start(server, number, state, place)
                case AbortAttempt():
                    if self.attempt is not None:
                        attempt, self.attempt = self.attempt, None
                        attempt.abort()
                case FinishAnswer(final):
                    self._note_answer(final)
                    try:
                        self.sink.finish(final)
                        self.last_progress_at = self.core.clock()
                    except ClientDisconnected:
                        self.lifecycle.client_gone = True
                case Reserve(server):
                    self._hold(server)
                case ReleaseHeld(prefill_server, state, place, number, rest):
                    self.engines.release(self.lifecycle.request.request_id, prefill_server, state, place, number, rest)

    def _give(self, what: AnswerPart | AnswerStarted) -> None:
        if self.lifecycle.client_gone:
            return
        had = self.sink.pending
        try:
            if isinstance(what, AnswerPart):
                self.sink.send_part(what)
            else:
                self.sink.begin()
        except ClientDisconnected:
            self._lost(self.core.clock())
            return
        if not had:
            self.last_progress_at = self.core.clock()

    def _start(self, server: str, number: int, state: Any, place: bool) -> None:
        if self.mailbox is not None:
            self.mailbox.owner_blocked, self.mailbox.released = True, False
        try:
            started = self.engines.start(self.lifecycle.request, server, number, state, place, self._may_send)
        finally:
            if self.mailbox is not None:
                self.mailbox.owner_blocked = False
        if not isinstance(started, AttemptResult):
            self.attempt = started
        if self._client_left():
            self._lost(self.core.clock())  # told first: else the router would try the next engine for nobody
        if isinstance(started, AttemptResult):
            self.early_results.append(started)

    def _may_send(self, server: str) -> bool:
        """Whether an attempt may still begin: asked right before its first byte, since connecting takes time in which
        the client may leave and the list may close the engine."""
        if self.mailbox is not None and self.mailbox.released:
            return False  # what it was to fetch has been released meanwhile
        left, closed = self._client_left(), not self.core.may_send(server)
        if self.records is None:
            return not left and not closed
        return self.records.may_begin(self.lifecycle.request.request_id, left, closed) is None

    def _note(self, event: Event) -> None:
        if self.records is None:
            return
        if isinstance(event, AttemptEnded):
            self.records.note(
                event.request,
                Step.ENDED,
                event.server,
                event.attempt,
                event.outcome,
                "" if event.outcome in (Outcome.READ, Outcome.SERVED) else self.lifecycle.last_why,
                state_missing=event.state_missing,
            )
        elif isinstance(event, FirstToken):
            self.records.note(event.request, Step.FIRST_EVENT, event.server, event.attempt)
        elif isinstance(event, RequestGone):
            self.records.note(event.request, Step.CLIENT_GONE)

    def _note_answer(self, final: Final) -> None:
        if self.records is not None:
            why = getattr(final, "why", "")
            name = type(final).__name__.lower()
            self.records.note(self.lifecycle.request.request_id, Step.ANSWERED, why=f"{name}: {why}" if why else name)

    def _client_left(self) -> bool:
        """Whether the client has closed its connection or its sending side, seen or not yet seen by :meth:`_wait`."""
        client = self.sink.fileno()
        if self.lifecycle.client_gone or client < 0:
            return True
        poller = select.poll()
        poller.register(client, select.POLLRDHUP)
        return any(mask & _LEFT for _, mask in sockets.poll(poller, 0))

    def _hold(self, server: str) -> None:
        request, number, core = self.lifecycle.request.request_id, self.lifecycle.attempt_number, self.core
        self.engines.reserve(
            request, server, number, lambda held: core.handle_event(PlaceAnswer(request, number, server, held))
        )
