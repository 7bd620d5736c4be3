"""The lifecycle of one request without I/O: router actions and attempt events in, side effects out.

The router decides; this state machine keeps what only the node knows of a request: the attempt in flight, what the
prefill engine returned, the reservation, whether an answer has started and whether the final answer was given.  Its
states::

    WAITING ──Send──> IN_FLIGHT ──AnswerStarted──> STREAMING ──AttemptResult──> DONE
       ^                  │ AttemptResult (finished: DONE)
       └──────────────────┘
    any ──client gone──> the same, but nothing more is sent to the client
    WAITING ──Refuse or Fail──> DONE

Transitions that need a reason:

- A ``Cancel`` for an attempt whose answer has started is ignored: the answer belongs to the client by then.  The router
  may have decided it before it received the first token; both orders end the same.
- A ``Send`` while an attempt is in flight is a defect and is never carried out: two attempts never overlap.
- A request whose client may have gone unseen ends before its next attempt: an attempt for nobody may have an effect.
- When the client has gone, a streaming attempt is aborted at once (nobody reads the stream).  One whose answer has not
  started is only aborted on ``Cancel``: whether cancellation is allowed is the router's decision.
- A ``Send`` decided in another thread just before the client left is not carried out: its outcome is ``NOT_SENT``, so
  that the router, which counts the attempt as in flight, ends the request.
- Exactly one ``FinishAnswer`` is returned, and none after the client has gone.  The ``NotifyRouter`` with an attempt's
  end follows the ``FinishAnswer`` that it causes, so that the router never records an answer that was not given.
- A streamed answer that has started is within the client's deadline; a buffered one has to be complete by then.
- After ``Release`` nothing is held; the first token frees held state by itself (the engines' protocol).
- A ``Release`` while an attempt is in flight does not take the state that this attempt waits for, if the attempt has
  arrived: the next ``Release``, after the attempt's end, releases it.
- A reservation is good for one send to its decode engine.  When the request is sent elsewhere, or that send fails, it
  is released here: the router only counts reservations and takes this one as used from the send on.
- A prefill that ended uncertainly may have left state that nobody was told of; it is released by its attempt's number.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from stonetrack import api
from stonetrack.node import ports
from stonetrack.node.stream_deadline import StreamDeadline


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt; ``time_limit`` in nanoseconds, 0 for none."""

    server: str
    attempt_number: int
    state: Any
    reserved: bool
    time_limit: int


@dataclass(frozen=True, slots=True)
class AbortAttempt:
    """Abort the attempt in flight."""


@dataclass(frozen=True, slots=True)
class NotifyRouter:
    """Pass an event to the router."""

    event: api.Event


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Start the answer to the client."""


@dataclass(slots=True)
class DeliverPart:
    """Send a part of the answer to the client."""

    part: ports.AnswerPart


@dataclass(frozen=True, slots=True)
class FinishAnswer:
    """Give the final answer."""

    final: ports.Final


@dataclass(frozen=True, slots=True)
class Reserve:
    """Request a reservation at a decode engine."""

    server: str


@dataclass(frozen=True, slots=True)
class ReleaseHeld:
    """Release state at a prefill engine and a reservation at a decode engine (empty names where there is none).

    ``attempt_number`` is the last attempt covered: what a later attempt creates stays.  ``state_remains`` says that
    state at a prefill engine stays held for the request.
    """

    prefill_server: str
    state: Any
    decode_server: str
    attempt_number: int
    state_remains: bool = False


SideEffect = (
    StartAttempt | AbortAttempt | NotifyRouter | StartAnswer | DeliverPart | FinishAnswer | Reserve | ReleaseHeld
)


_UNCERTAIN = frozenset({api.Outcome.RESET, api.Outcome.TIMED_OUT, api.Outcome.CANCELLED, api.Outcome.ERROR})


class Stage(Enum):
    """State of a request."""

    WAITING = "waiting"  # no attempt in flight; the router has to act
    IN_FLIGHT = "out"  # an attempt is in flight, no answer yet
    STREAMING = "streaming"  # the answer is being sent to the client
    DONE = "done"  # final answer given or client gone, no attempt in flight


class LifecycleError(RuntimeError):
    """The router and this state machine disagree; a defect, never the client's fault."""


class RequestLifecycle:
    """State machine of one request.  Its methods return side effects to be carried out in order."""

    __slots__ = (
        "last_why",
        "may_have_run",
        "request",
        "client_gone",
        "answered",
        "attempt_deadline",
        "attempt_number",
        "reserved_server",
        "prefill_server",
        "sent_at",
        "server",
        "stream_deadline",
        "answer_deadline",
        "stage",
        "state",
        "timed_out",
    )

    def __init__(self, request: ports.InferenceRequest, silence: int, now: int = 0) -> None:
        self.request = request
        self.answer_deadline = now + request.time_left if request.buffered else 0  # 0 for a streamed answer
        self.stage = Stage.WAITING
        self.client_gone = False
        self.answered = False  # a final answer was given
        self.attempt_number = -1  # of the last attempt
        self.server = ""  # of the attempt in flight
        self.sent_at = 0
        self.attempt_deadline = 0  # of the attempt in flight; 0 for none
        self.stream_deadline = StreamDeadline(silence)
        self.prefill_server = ""
        self.state: Any = None
        self.reserved_server = ""
        self.timed_out = False  # whether the last attempt timed out: a failure is then reported as late
        self.last_why = ""
        self.may_have_run = False  # whether an attempt ended without its engine's answer

    @property
    def finished(self) -> bool:
        """Whether the request is over and no attempt is in flight."""
        return self.stage is Stage.DONE

    def next_deadline(self) -> int:
        """When :meth:`check_deadlines` must be called next, in nanoseconds; 0 for never."""
        if self.stage is Stage.STREAMING:
            stream_deadline = self.stream_deadline.at
            return min(stream_deadline, self.answer_deadline) if self.answer_deadline else stream_deadline
        return self.attempt_deadline if self.stage is Stage.IN_FLIGHT else 0

    # Actions of the router.

    def handle_action(self, action: api.Action, now: int) -> list[SideEffect]:
        """Carry out one action.  Raises LifecycleError for one that contradicts the request's state."""
        match action:
            case api.Send(_, server, limit):
                if self.client_gone and self.stage is Stage.DONE:
                    self.attempt_number += 1
                    ended = api.AttemptEnded(
                        self.request.request_id, self.attempt_number, server, api.Outcome.NOT_SENT, 0, finished=True
                    )
                    return [NotifyRouter(ended)]
                if self.stage is not Stage.WAITING or self.answered:
                    raise LifecycleError(
                        f"request {self.request.request_id}: a send to {server} in state {self.stage.value}"
                    )
                self.stage, self.server, self.sent_at = Stage.IN_FLIGHT, server, now
                self.attempt_number += 1
                self.attempt_deadline = now + limit if limit else 0
                # The state is passed to any server but the prefill engine that returned it.
                state = self.state if server != self.prefill_server else None
                superseded = (
                    self._release_reservation() if self.reserved_server and self.reserved_server != server else []
                )
                return [
                    *superseded,
                    StartAttempt(
                        server, self.attempt_number, state, reserved=self.reserved_server == server, time_limit=limit
                    ),
                ]
            case api.HoldPlace(_, server):
                if self.stage is not Stage.IN_FLIGHT:
                    return []  # the prefill was not sent after all: nobody would use the reservation
                self.reserved_server = server
                return [Reserve(server)]
            case api.Release():
                return self._release_held(keep_state=self.stage is Stage.IN_FLIGHT)
            case api.Refuse(_, after):
                return self._finish_request(ports.Refused(after))
            case api.Fail():
                return self._finish_request(ports.Failed(self.last_why, self.timed_out))
            case api.Cancel(_, attempt_number):
                if self.stage is Stage.IN_FLIGHT and attempt_number == self.attempt_number:
                    return [
                        AbortAttempt(),
                        *self.handle_attempt_event(ports.AttemptResult(api.Outcome.CANCELLED, "called off"), now),
                    ]
                return []
            case _:
                return []

    def _finish_request(self, final: ports.Final) -> list[SideEffect]:
        if self.answered:
            raise LifecycleError(f"request {self.request.request_id}: a second final answer")
        self.answered = True
        if self.stage is Stage.WAITING:
            self.stage = Stage.DONE
        return [] if self.client_gone else [FinishAnswer(final)]

    def _release_held(self, keep_state: bool = False) -> list[SideEffect]:
        """Release what is held.

        With ``keep_state`` an attempt is in flight that may wait for the state: the state is named again in a later
        release, once that attempt has ended without starting an answer.
        """
        if not self.prefill_server and not self.reserved_server:
            return []
        effect = ReleaseHeld(self.prefill_server, self.state, self.reserved_server, self.attempt_number)
        self.reserved_server = ""
        if not keep_state:
            self.prefill_server, self.state = "", None
        return [effect]

    def _release_reservation(self) -> list[SideEffect]:
        server, self.reserved_server = self.reserved_server, ""
        return [ReleaseHeld("", None, server, self.attempt_number, state_remains=bool(self.prefill_server))]

    # Events.

    def handle_attempt_event(self, event: ports.AttemptEvent, now: int) -> list[SideEffect]:
        """Handle an event of the attempt in flight; without one in flight the event is dropped (late bytes)."""
        if self.stage not in (Stage.IN_FLIGHT, Stage.STREAMING):
            return []
        if isinstance(event, ports.StreamProgress):
            self.stream_deadline.bytes_received(event, now)
            return []
        if isinstance(event, ports.AnswerPart):
            if event.ends_event:
                self.stream_deadline.event_completed(now)
            return [] if self.client_gone else [DeliverPart(event)]
        if isinstance(event, ports.AnswerStarted):
            self.stage = Stage.STREAMING
            self.stream_deadline.event_completed(now)
            self.prefill_server, self.state, self.reserved_server = "", None, ""
            elapsed = now - self.sent_at
            notify = NotifyRouter(api.FirstToken(self.request.request_id, self.attempt_number, self.server, elapsed))
            if self.client_gone:
                return [
                    notify,
                    AbortAttempt(),
                    *self.handle_attempt_event(ports.AttemptResult(api.Outcome.CANCELLED, "the client left"), now),
                ]
            return [notify, StartAnswer()]
        return self._finish_attempt(event, now)

    def _finish_attempt(self, result: ports.AttemptResult, now: int) -> list[SideEffect]:
        streamed = self.stage is Stage.STREAMING
        effects: list[SideEffect] = []
        outcome = result.outcome
        self.timed_out = outcome is api.Outcome.TIMED_OUT
        self.last_why = result.why or outcome.value
        self.may_have_run = self.may_have_run or outcome in _UNCERTAIN
        finished = streamed or self.client_gone or self.answered
        if result.rejection is not None and not finished:
            # The request itself is at fault: the engine's answer is final and nothing is retried.
            effects += self._finish_request(ports.Rejected(*result.rejection))
            finished = True
        elif streamed and not self.answered:
            final = ports.Served() if outcome is api.Outcome.SERVED else ports.Broken(self.last_why, self.timed_out)
            effects += self._finish_request(final)
        elif outcome is api.Outcome.SERVED and not finished:
            raise LifecycleError(f"request {self.request.request_id}: served without the start of an answer")
        if outcome is api.Outcome.READ:
            self.prefill_server, self.state = self.server, result.state
        elif self.reserved_server == self.server:
            # The reservation was for this attempt, which did not use it, or it is unknown whether it did.
            effects += self._release_reservation()
        if outcome in _UNCERTAIN and not streamed and self.server != self.prefill_server:
            # The prefill may have run and its answer been lost: state would remain there that nobody knows of.
            effects.append(
                ReleaseHeld(self.server, None, "", self.attempt_number, state_remains=bool(self.prefill_server))
            )
        effects.append(
            NotifyRouter(
                api.AttemptEnded(
                    self.request.request_id,
                    self.attempt_number,
                    self.server,
                    outcome,
                    max(0, now - self.sent_at),
                    finished,
                    result.kept_tokens,
                    result.state_missing,
                    result.report,
                )
            )
        )
        self.stage = Stage.DONE if finished else Stage.WAITING
        self.server, self.attempt_deadline = "", 0
        return effects

    def accept_part(self, part: ports.AnswerPart, now: int) -> bool:
        """Whether a part received now goes straight to the client; notes a complete event.

        The usual case of :meth:`handle_attempt_event` without a list of side effects, since it runs for every token.
        """
        if self.stage is not Stage.STREAMING or self.client_gone:
            return False
        if part.ends_event:
            self.stream_deadline.event_completed(now)
        return True

    def check_deadlines(self, now: int) -> list[SideEffect]:
        """End an attempt that has timed out, or a stream that has completed no event for too long.

        Owed: ``Obligation.ANSWER``, ``Obligation.ATTEMPT``."""
        if not self.next_deadline() or now < self.next_deadline():
            return []
        stuck = self.stage is Stage.STREAMING and now >= self.stream_deadline.at
        why = "the engine fell silent within its answer" if stuck else "out of time"
        return [AbortAttempt(), *self.handle_attempt_event(ports.AttemptResult(api.Outcome.TIMED_OUT, why), now)]

    def handle_client_gone(self, now: int) -> list[SideEffect]:
        """Handle that the client has disconnected; no answer is owed any more."""
        if self.client_gone or self.answered:
            self.client_gone = True
            return []
        self.client_gone = True
        effects: list[SideEffect] = [NotifyRouter(api.RequestGone(self.request.request_id))]
        if self.stage is Stage.STREAMING:
            effects += [
                AbortAttempt(),
                *self.handle_attempt_event(ports.AttemptResult(api.Outcome.CANCELLED, "the client left"), now),
            ]
        elif self.stage is Stage.WAITING:
            self.stage = Stage.DONE
        return effects

    def handle_input_unread(self) -> list[SideEffect]:
        """End a request before its next attempt: its client sends so much behind it that its end can't be seen.

        The router is told that the request is gone, and releases what is held.
        """
        if self.client_gone or self.answered or self.stage is Stage.STREAMING:
            return []
        why = "the client sends more behind its request than is read"
        final = ports.Failed(why) if self.may_have_run else ports.Refused(0)
        return [*self._finish_request(final), NotifyRouter(api.RequestGone(self.request.request_id))]
