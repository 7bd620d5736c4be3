"""The thread that runs one request: waits on its sockets, feeds :mod:`.request_lifecycle`, carries out side effects.

A thread waits in one ``poll`` on three descriptors: the client's (disconnection, room to write), the attempt's, and its
own waker, written by whoever puts an action into its mailbox.  Where descriptors run out a waker has none; its thread
then polls the mailbox until the answer has started (from then on it does not wait for any action).  Sockets are
blocking, used only when ``poll`` reports them ready, and never touched by another thread.
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
    Refused,
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

_DISCONNECTED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
MS = 1_000_000
SECOND = 1_000 * MS
MAILBOX_POLL = 40 * MS  # interval at which a thread without a waker checks its mailbox


class Waker:
    """A descriptor that other threads make readable, or none where descriptors ran out; one per worker thread."""

    __slots__ = ("_woken", "fd")

    def __init__(self, descriptor: bool = True) -> None:
        self.fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC) if descriptor else -1
        self._woken = False

    def wake(self) -> None:
        """Make the descriptor readable."""
        if self.fd < 0:
            return
        self._woken = True
        with contextlib.suppress(BlockingIOError):  # the counter is full: it is readable already
            os.eventfd_write(self.fd, 1)

    def clear(self) -> None:
        """Make the descriptor unreadable."""
        if not self._woken:
            return
        self._woken = False
        with contextlib.suppress(BlockingIOError):
            os.eventfd_read(self.fd)

    def close(self) -> None:
        """Close the descriptor."""
        if self.fd >= 0:
            os.close(self.fd)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of one request: times in nanoseconds, ``send_buffer`` in bytes."""

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
        self.records = records  # notes each step, and may refuse each attempt
        self.lifecycle = RequestLifecycle(request, bounds.stream_silence, core.clock())
        self.mailbox: Mailbox | None = None
        self.attempt: Attempt | None = None
        self.early_results: deque[AttemptResult] = deque()  # of attempts that ended while they were started
        self.actions: deque[Action] = deque()
        self.last_progress_at = 0  # when the client last took a byte
        self.engine_paused = False  # the engine is not read, since its client has not taken what came before
        self.aborted_position = ""  # the part of the message that an aborted stream was in
        self.input_unread = False  # more has come behind the request than is read: the client's end can't be seen

    def run(self) -> RequestLifecycle:
        """Run from arrival to the last outcome; the finished lifecycle, for the request's record."""
        core, lifecycle = self.core, self.lifecycle
        self.waker.clear()
        if self._client_left() or self.input_unread:
            self._end_unseen()
            return lifecycle
        mailbox = self.mailbox = core.accept_request(lifecycle.request, self.waker.wake)
        self.actions = mailbox.actions
        self.last_progress_at = core.clock()
        try:
            while True:
                self._run_actions()
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

    def _end_unseen(self) -> None:
        """End a request that the router has not seen: its client has gone, or that could not be seen."""
        if self.input_unread:
            self._finish_answer(Refused(0))
        else:
            self.lifecycle.client_gone = True
            self._note(Step.CLIENT_GONE)

    def _abandon(self) -> None:
        """After a defect: leave nothing of the request at an engine or in the router."""
        with contextlib.suppress(Exception):
            now = self.core.clock()
            self._apply(self.lifecycle.handle_client_gone(now))
            if self.lifecycle.stage is Stage.IN_FLIGHT:
                self._abort_attempt(Outcome.CANCELLED, "this node could not go on with the request", now)
            self._run_actions()

    def _abort_attempt(self, outcome: Outcome, why: str, now: int) -> None:
        self._apply([AbortAttempt(), *self.lifecycle.handle_attempt_event(AttemptResult(outcome, why), now)])

    def _run_actions(self) -> None:
        while self.actions or self.early_results:
            now = self.core.clock()
            if self.early_results:
                self._apply(self.lifecycle.handle_attempt_event(self.early_results.popleft(), now))
            else:
                self._apply(self.lifecycle.handle_action(self.actions.popleft(), now))

    # Waiting.

    def _wait(self) -> None:
        lifecycle, attempt, sink = self.lifecycle, self.attempt, self.sink
        poller = select.poll()
        if self.waker.fd >= 0:
            poller.register(self.waker.fd, select.POLLIN)
        client = -1 if lifecycle.client_gone else sink.fileno()
        if client >= 0:
            mask = select.POLLRDHUP | (0 if self.input_unread else select.POLLIN)
            poller.register(client, mask | (select.POLLOUT if sink.pending else 0))
        engine = attempt.fileno() if attempt is not None else -1
        self.engine_paused = self.engine_paused or self._client_blocked()
        buffer_full = not lifecycle.client_gone and sink.pending > self.bounds.send_buffer
        if engine >= 0 and attempt is not None:
            mask = (0 if buffer_full else select.POLLIN) | (select.POLLOUT if attempt.has_unsent_data else 0)
            poller.register(engine, mask) if mask else None
        input_was_unread, was_pending = self.input_unread, sink.pending > 0
        # The descriptors stay the same during a stream, so the poller is reused while nothing else changes.
        while True:
            now = self.core.clock()
            ready = sockets.poll(poller, self._poll_timeout(now))
            now = self.core.clock()
            woken = self.waker.fd < 0 and bool(self.actions)
            for fd, mask in ready:
                if fd == client:
                    self._handle_client_event(mask, now)
                elif fd == engine:
                    self._handle_engine_event(now)
                else:
                    self.waker.clear()
                    woken = True
            self._check_deadlines(now)
            if (
                woken
                or self.attempt is not attempt
                or lifecycle.finished
                or lifecycle.client_gone
                or self.early_results
                or self.input_unread is not input_was_unread
                or sink.pending
                or was_pending
                or client < 0
                or (attempt is not None and (attempt.has_unsent_data or attempt.fileno() != engine))
                or lifecycle.stage is not Stage.STREAMING
            ):
                return

    def _poll_timeout(self, now: int) -> float | None:
        """Milliseconds until the next deadline; None for no deadline."""
        deadlines = [self.lifecycle.next_deadline()] if not self._client_blocked() else []
        if self.sink.pending and not self.lifecycle.client_gone:
            deadlines.append(self.last_progress_at + self.bounds.client_stall)
        deadlines = [deadline for deadline in deadlines if deadline]
        if self.waker.fd < 0 and self.lifecycle.stage is not Stage.STREAMING:
            deadlines.append(now + MAILBOX_POLL)
        return max(0.0, (min(deadlines) - now) / MS + 1.0) if deadlines else None

    def _client_blocked(self) -> bool:
        """Whether the engine is not read because the client takes nothing: the stream is then silent on its account."""
        return self.lifecycle.stage is Stage.STREAMING and self.sink.pending > self.bounds.send_buffer

    def _handle_client_event(self, mask: int, now: int) -> None:
        if mask & _DISCONNECTED:
            self._handle_disconnect(now)
            return
        if mask & select.POLLIN:
            self.input_unread = not self.sink.read_ahead()
            if self.input_unread and self.attempt is not None and self.attempt.has_unsent_data:
                self._handle_input_unread(now)
        if mask & select.POLLOUT:
            self._flush(now)

    def _handle_disconnect(self, now: int) -> None:
        self._apply(self.lifecycle.handle_client_gone(now))
        if self.attempt is not None and self.attempt.has_unsent_data:
            # An attempt begins with its request's last byte: this one would begin without a client.
            self._abort_attempt(Outcome.NOT_SENT, "the client left", now)

    def _handle_input_unread(self, now: int) -> None:
        self._apply(self.lifecycle.handle_input_unread())
        if self.attempt is not None and self.attempt.has_unsent_data:
            self._abort_attempt(Outcome.NOT_SENT, "whether the client has left can't be seen", now)

    def _handle_engine_event(self, now: int) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        events = attempt.process_io()
        if len(events) == 1:
            self._handle_attempt_event(events[0], now)
            return
        self.sink.cork(True)
        for event in events:
            self._handle_attempt_event(event, now)
            if self.attempt is not attempt and not isinstance(event, AttemptResult):
                break  # aborted meanwhile: the remaining events are dropped
        self.sink.cork(False)
        if self.sink.pending and not self.lifecycle.client_gone:
            self._flush(now)

    def _handle_attempt_event(self, event: AttemptEvent, now: int) -> None:
        if isinstance(event, AnswerPart) and self.lifecycle.accept_part(event, now):
            self._deliver(event)
            return
        if isinstance(event, AttemptResult):
            self.attempt = None
        self._apply(self.lifecycle.handle_attempt_event(event, now))

    def _flush(self, now: int) -> None:
        try:
            pending_before = self.sink.pending
            if self.sink.flush() < pending_before:
                self.last_progress_at = now
                if self.engine_paused and not self._client_blocked():
                    self.engine_paused = False
                    self.lifecycle.stream_deadline.restart(now)
        except ClientDisconnected:
            self._handle_disconnect(now)

    def _check_deadlines(self, now: int) -> None:
        if not self._client_blocked():
            self._apply(self.lifecycle.check_deadlines(now))
        if self._client_stalled(now):
            # poll(2) reports room only once a good part of the send buffer is free, which takes a slow client long.
            self._flush(now)
            if self._client_stalled(now):
                self._handle_disconnect(now)  # a stalled client counts as gone, and its connection is closed

    def _client_stalled(self, now: int) -> bool:
        """Whether the client has taken nothing for too long."""
        waits = self.sink.pending and not self.lifecycle.client_gone
        return bool(waits) and now > self.last_progress_at + self.bounds.client_stall

    # Side effects.

    def _apply(self, effects: list[SideEffect]) -> None:
        for effect in effects:
            match effect:
                case DeliverPart(part):
                    self._deliver(part)
                case NotifyRouter(event):
                    self._note_event(event)
                    self.core.handle_event(event)
                case StartAnswer():
                    self._deliver(AnswerStarted())
                case StartAttempt(server, attempt_number, state, reserved, _):
                    self._start_attempt(server, attempt_number, state, reserved)
                case AbortAttempt():
                    if self.attempt is not None:
                        attempt, self.attempt = self.attempt, None
                        self._note_aborted(attempt)
                        attempt.abort()
                case FinishAnswer(final):
                    self._finish_answer(final)
                case Reserve(server):
                    self._reserve(server)
                case ReleaseHeld(prefill_server, state, decode_server, attempt_number, state_remains):
                    self.engines.release(
                        self.lifecycle.request.request_id,
                        prefill_server,
                        state,
                        decode_server,
                        attempt_number,
                        state_remains,
                    )

    def _finish_answer(self, final: Final) -> None:
        self._note_answer(final)
        try:
            self.sink.finish(final)
            self.last_progress_at = self.core.clock()
        except ClientDisconnected:
            self.lifecycle.client_gone = True

    def _deliver(self, event: AnswerPart | AnswerStarted) -> None:
        if self.lifecycle.client_gone:
            return
        pending_before = self.sink.pending
        try:
            if isinstance(event, AnswerPart):
                self.sink.send_part(event)
            else:
                self.sink.begin()
        except ClientDisconnected:
            self._handle_disconnect(self.core.clock())
            return
        if not pending_before:
            self.last_progress_at = self.core.clock()

    def _start_attempt(self, server: str, attempt_number: int, state: Any, reserved: bool) -> None:
        if self.mailbox is not None:
            self.mailbox.owner_blocked, self.mailbox.released = True, False
        try:
            started = self.engines.start(
                self.lifecycle.request, server, attempt_number, state, reserved, self._may_send
            )
        finally:
            if self.mailbox is not None:
                self.mailbox.owner_blocked = False
        if not isinstance(started, AttemptResult):
            self.attempt = started
        if self._client_left():
            self._handle_disconnect(
                self.core.clock()
            )  # first, else the router would try the next engine without a client
        elif isinstance(started, AttemptResult) and self.input_unread:
            self._handle_input_unread(self.core.clock())
        if isinstance(started, AttemptResult):
            self.early_results.append(started)

    def _may_send(self, server: str) -> bool:
        """Whether an attempt may still begin.

        Called right before its first byte: the client may leave and the list may close the engine while connecting.
        """
        if self.mailbox is not None and self.mailbox.released:
            return False  # the state that it would use has been released meanwhile
        client_left, engine_closed = self._client_left(), not self.core.may_send(server)
        if self.records is None:
            return not client_left and not engine_closed and not self.input_unread
        refusal = self.records.may_begin(
            self.lifecycle.request.request_id, client_left, engine_closed, self.input_unread
        )
        return refusal is None

    def _note_event(self, event: Event) -> None:
        if self.records is None:
            return
        if isinstance(event, AttemptEnded):
            self.records.note(
                event.request,
                Step.ENDED,
                event.server,
                event.attempt,
                event.outcome,
                "" if event.outcome in (Outcome.READ, Outcome.SERVED) else self._reason_of_end(),
                state_missing=event.state_missing,
            )
        elif isinstance(event, FirstToken):
            self.records.note(event.request, Step.FIRST_EVENT, event.server, event.attempt)
        elif isinstance(event, RequestGone) and self.lifecycle.client_gone:
            self._note(Step.CLIENT_GONE)

    def _note_aborted(self, attempt: Attempt) -> None:
        self.aborted_position = attempt.stream_position
        if self.records is not None and self.aborted_position:
            self.records.note_stream_given_up(self.aborted_position)

    def _reason_of_end(self) -> str:
        """Why the last attempt ended; for a stream that this node gave up, also when and where it stood still."""
        if not self.aborted_position:
            return self.lifecycle.last_why
        seconds = (self.core.clock() - self.lifecycle.stream_deadline.last_event_at) / SECOND
        return f"{self.lifecycle.last_why}; {seconds:.3f} s after its last event, in its {self.aborted_position}"

    def _note(self, step: Step, why: str = "") -> None:
        if self.records is not None:
            self.records.note(self.lifecycle.request.request_id, step, why=why)

    def _note_answer(self, final: Final) -> None:
        why = getattr(final, "why", "")
        name = type(final).__name__.lower()
        self._note(Step.ANSWERED, f"{name}: {why}" if why else name)

    def _client_left(self) -> bool:
        """Whether the client has closed its connection or its sending side, even if :meth:`_wait` has not seen it.

        Its end lies behind what it has sent, so that is read first; see ``input_unread``.
        """
        client = self.sink.fileno()
        if self.lifecycle.client_gone or client < 0:
            return True
        self.input_unread = not self.sink.read_ahead()
        poller = select.poll()
        poller.register(client, select.POLLRDHUP)
        return any(mask & _DISCONNECTED for _, mask in sockets.poll(poller, 0))

    def _reserve(self, server: str) -> None:
        request_id, attempt_number, core = self.lifecycle.request.request_id, self.lifecycle.attempt_number, self.core
        self.engines.reserve(
            request_id,
            server,
            attempt_number,
            lambda held: core.handle_event(PlaceAnswer(request_id, attempt_number, server, held)),
        )
