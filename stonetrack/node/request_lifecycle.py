"""One request's life without I/O: commands and attempt events in, effects out.

The router decides; this machine keeps what only the node knows of a request: the attempt out, what the reader
returned, the place asked for, whether an answer began and whether the final one was given.  Its states::

    WAITING ──Send──> OUT ──Began──> STREAMING ──Over──> DONE
       ^               │ Over (finished: DONE)
       └───────────────┘
    any ──client gone──> the same, but nothing more goes to the client
    WAITING ──Refuse or Fail──> DONE

Edges that need a reason:

- A ``Cancel`` for an attempt that has begun is passed over: it belongs to the client now.  The router may have
  decided it before it heard of the first token; both orders end the same.
- A ``Send`` while an attempt is out is an error in the program, never carried out: two attempts never overlap.
- When the client has gone, an attempt that streams is aborted at once (a stream nobody reads ends).  One that has
  not begun is only aborted on ``Cancel``: whether that is allowed is the router's knowledge.
- A ``Send`` decided in another thread just before the client left is not carried out: its outcome is ``NOT_SENT``, so
  that the router, which counts it as out, ends the request.
- Exactly one ``Finish`` leaves this machine, none after the client has gone; ``Tell`` of an attempt's end follows the
  ``Finish`` that it causes, so that the router never books an answer that was not given.
- A streamed answer that has begun has met the client's time; a whole one is due by then as a whole.
- After ``Release`` nothing is held; with the first token what was held has gone by itself (the engines' protocol).
- A ``Release`` while an attempt is out leaves alone the state that the attempt waits for, if it has arrived: the next
  ``Release``, after that attempt's end, lets go of it.
- A place is good for one send to its writer.  When the request is sent elsewhere, or that send comes to nothing, it is
  let go of here: the router, which counts places only, takes it as gone from the send on.
- A read that ended uncertainly may have left a state that nobody was told of; it is let go of by its attempt's number.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from stonetrack import api
from stonetrack.node import ports


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt; ``limit`` in nanoseconds, 0 for none."""

    server: str
    attempt_number: int
    state: Any
    reserved: bool
    time_limit: int


@dataclass(frozen=True, slots=True)
class AbortAttempt:
    """Take the attempt out back."""


@dataclass(frozen=True, slots=True)
class NotifyRouter:
    """Hand an event to the router."""

    event: api.Event


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Begin the answer to the client."""


@dataclass(slots=True)
class DeliverPart:
    """Hand a piece to the client."""

    piece: ports.AnswerPart


@dataclass(frozen=True, slots=True)
class FinishAnswer:
    """Give the final answer."""

    final: ports.Final


@dataclass(frozen=True, slots=True)
class Reserve:
    """Ask a writer for a place."""

    server: str


@dataclass(frozen=True, slots=True)
class ReleaseHeld:
    """Release a state at a reader and a place at a writer (empty where there is none).

    ``number`` is the last attempt that it is for: what a later attempt brings about stays.  ``rest`` tells that a
    state at a reader stays held for the request.
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
    """Where a request stands."""

    WAITING = "waiting"  # no attempt out; the router holds it
    IN_FLIGHT = "out"  # an attempt out, no answer yet
    STREAMING = "streaming"  # the client's answer runs
    DONE = "done"  # final answer given or client gone, no attempt out


class LifecycleError(RuntimeError):
    """The router and this machine disagree; a defect, never a user's fault."""


class RequestLifecycle:
    """One request.  Every method returns effects to be carried out in order."""

    __slots__ = (
        "last_why",
        "request",
        "client_gone",
        "answered",
        "attempt_deadline",
        "attempt_number",
        "reserved_server",
        "prefill_server",
        "sent_at",
        "server",
        "silence_limit",
        "silence_deadline",
        "answer_deadline",
        "stage",
        "state",
        "timed_out",
    )

    def __init__(self, request: ports.InferenceRequest, silence: int, now: int = 0) -> None:
        self.request = request
        self.answer_deadline = (
            now + request.time_left if request.buffered else 0
        )  # when a whole answer is due; 0 for a streamed one
        self.stage = Stage.WAITING
        self.client_gone = False  # the client
        self.answered = False  # a final answer was given
        self.attempt_number = -1  # of the last attempt
        self.server = ""  # of the attempt out
        self.sent_at = 0
        self.attempt_deadline = 0  # when the attempt out has run out of time; 0 for never
        self.silence_limit = silence  # longest pause within a stream
        self.silence_deadline = 0  # when a stream is silent for too long
        self.prefill_server = ""
        self.state: Any = None
        self.reserved_server = ""
        self.timed_out = False  # the last attempt ran out of time: a failure is then a late one
        self.last_why = ""

    @property
    def finished(self) -> bool:
        """Whether nothing more can happen."""
        return self.stage is Stage.DONE

    def next_deadline(self) -> int:
        """When :meth:`check_deadlines` must be called next; 0 for never."""
        if self.stage is Stage.STREAMING:
            return min(self.silence_deadline, self.answer_deadline) if self.answer_deadline else self.silence_deadline
        return self.attempt_deadline if self.stage is Stage.IN_FLIGHT else 0

    # What the router decided.

    def handle_action(self, action: api.Action, now: int) -> list[SideEffect]:
        """Carry out one action."""
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
                        f"request {self.request.request_id}: a send to {server} while {self.stage.value}"
                    )
                self.stage, self.server, self.sent_at = Stage.IN_FLIGHT, server, now
                self.attempt_number += 1
                self.attempt_deadline = now + limit if limit else 0
                # The state goes along to any server but the reader that returned it.
                state = self.state if server != self.prefill_server else None
                elsewhere = self._let_go_place() if self.reserved_server and self.reserved_server != server else []
                return [
                    *elsewhere,
                    StartAttempt(
                        server, self.attempt_number, state, reserved=self.reserved_server == server, time_limit=limit
                    ),
                ]
            case api.HoldPlace(_, server):
                if self.stage is not Stage.IN_FLIGHT:
                    return []  # its read was not sent after all: a place would be held for nobody
                self.reserved_server = server
                return [Reserve(server)]
            case api.Release():
                return self._let_go(keep=self.stage is Stage.IN_FLIGHT)
            case api.Refuse(_, after):
                return self._final(ports.Refused(after))
            case api.Fail():
                return self._final(ports.Failed(self.last_why, self.timed_out))
            case api.Cancel(_, number):
                if self.stage is Stage.IN_FLIGHT and number == self.attempt_number:
                    return [
                        AbortAttempt(),
                        *self.handle_attempt_event(ports.AttemptResult(api.Outcome.CANCELLED, "called off"), now),
                    ]
                return []
            case _:
                return []

    def _final(self, final: ports.Final) -> list[SideEffect]:
        if self.answered:
            raise LifecycleError(f"request {self.request.request_id}: a second final answer")
        self.answered = True
        if self.stage is Stage.WAITING:
            self.stage = Stage.DONE
        return [] if self.client_gone else [FinishAnswer(final)]

    def _let_go(self, keep: bool = False) -> list[SideEffect]:
        """Release what is held; with ``keep`` an attempt is out that may wait for the state: it is named once more when
        that has ended without a beginning."""
        if not self.prefill_server and not self.reserved_server:
            return []
        effect = ReleaseHeld(self.prefill_server, self.state, self.reserved_server, self.attempt_number)
        self.reserved_server = ""
        if not keep:
            self.prefill_server, self.state = "", None
        return [effect]

    def _let_go_place(self) -> list[SideEffect]:
        place, self.reserved_server = self.reserved_server, ""
        return [ReleaseHeld("", None, place, self.attempt_number, state_remains=bool(self.prefill_server))]

    # What happened.

    def handle_attempt_event(self, event: ports.AttemptEvent, now: int) -> list[SideEffect]:
        """Take one event of the attempt out; those that come when none is out are dropped (late bytes)."""
        if self.stage not in (Stage.IN_FLIGHT, Stage.STREAMING):
            return []
        if isinstance(event, ports.AnswerPart):
            self.silence_deadline = now + self.silence_limit
            return [] if self.client_gone else [DeliverPart(event)]
        if isinstance(event, ports.AnswerStarted):
            self.stage, self.silence_deadline = Stage.STREAMING, now + self.silence_limit
            self.prefill_server, self.state, self.reserved_server = "", None, ""
            elapsed = now - self.sent_at
            told = NotifyRouter(api.FirstToken(self.request.request_id, self.attempt_number, self.server, elapsed))
            if self.client_gone:
                return [
                    told,
                    AbortAttempt(),
                    *self.handle_attempt_event(ports.AttemptResult(api.Outcome.CANCELLED, "the client left"), now),
                ]
            return [told, StartAnswer()]
        return self._over(event, now)

    def _over(self, result: ports.AttemptResult, now: int) -> list[SideEffect]:
        streamed = self.stage is Stage.STREAMING
        effects: list[SideEffect] = []
        outcome = result.outcome
        self.timed_out = outcome is api.Outcome.TIMED_OUT
        self.last_why = result.why or outcome.value
        finished = streamed or self.client_gone or self.answered
        if result.rejection is not None and not finished:
            # The request itself is at fault: the engine's answer is the final one, nothing is tried again.
            effects += self._final(ports.Rejected(*result.rejection))
            finished = True
        elif streamed and not self.answered:
            final = ports.Served() if outcome is api.Outcome.SERVED else ports.Broken(self.last_why, self.timed_out)
            effects += self._final(final)
        elif outcome is api.Outcome.SERVED and not finished:
            raise LifecycleError(f"request {self.request.request_id}: served without a beginning")
        if outcome is api.Outcome.READ:
            self.prefill_server, self.state = self.server, result.state
        elif self.reserved_server == self.server:
            # The place was for this attempt, which did not come to use it, or nobody knows.
            effects += self._let_go_place()
        if outcome in _UNCERTAIN and not streamed and self.server != self.prefill_server:
            # It may have been read and the answer lost: a state would wait there that nobody knows of.
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

    def accept_part(self, now: int) -> bool:
        """Whether a piece that came just now goes straight to the client; notes that the stream is alive.

        The usual case of :meth:`handle_attempt_event`, without its effects: it is asked for every token.
        """
        if self.stage is not Stage.STREAMING or self.client_gone:
            return False
        self.silence_deadline = now + self.silence_limit
        return True

    def check_deadlines(self, now: int) -> list[SideEffect]:
        """Time has passed: end an attempt that has had its time, or a stream that fell silent.

        Owed: ``Obligation.ANSWER``, ``Obligation.ATTEMPT``."""
        if not self.next_deadline() or now < self.next_deadline():
            return []
        silent = self.stage is Stage.STREAMING and now >= self.silence_deadline
        why = "the engine fell silent within its answer" if silent else "out of time"
        return [AbortAttempt(), *self.handle_attempt_event(ports.AttemptResult(api.Outcome.TIMED_OUT, why), now)]

    def handle_client_gone(self, now: int) -> list[SideEffect]:
        """The client has left; nothing more is owed."""
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
