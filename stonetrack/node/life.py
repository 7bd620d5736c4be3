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
class Start:
    """Start an attempt; ``limit`` in nanoseconds, 0 for none."""

    server: str
    number: int
    state: Any
    place: bool
    limit: int


@dataclass(frozen=True, slots=True)
class Abort:
    """Take the attempt out back."""


@dataclass(frozen=True, slots=True)
class Tell:
    """Hand an event to the router."""

    event: api.Event


@dataclass(frozen=True, slots=True)
class Begin:
    """Begin the answer to the client."""


@dataclass(slots=True)
class Deliver:
    """Hand a piece to the client."""

    piece: ports.Piece


@dataclass(frozen=True, slots=True)
class Finish:
    """Give the final answer."""

    final: ports.Final


@dataclass(frozen=True, slots=True)
class Hold:
    """Ask a writer for a place."""

    server: str


@dataclass(frozen=True, slots=True)
class LetGo:
    """Release a state at a reader and a place at a writer (empty where there is none).

    ``number`` is the last attempt that it is for: what a later attempt brings about stays.  ``rest`` tells that a
    state at a reader stays held for the request.
    """

    reader: str
    state: Any
    place: str
    number: int
    rest: bool = False


Effect = Start | Abort | Tell | Begin | Deliver | Finish | Hold | LetGo


_UNCERTAIN = frozenset({api.Outcome.RESET, api.Outcome.TIMED_OUT, api.Outcome.CANCELLED, api.Outcome.ERROR})


class Stage(Enum):
    """Where a request stands."""

    WAITING = "waiting"  # no attempt out; the router holds it
    OUT = "out"  # an attempt out, no answer yet
    STREAMING = "streaming"  # the client's answer runs
    DONE = "done"  # final answer given or client gone, no attempt out


class LifeError(RuntimeError):
    """The router and this machine disagree; a defect, never a user's fault."""


class Life:
    """One request.  Every method returns effects to be carried out in order."""

    __slots__ = (
        "last_why",
        "ask",
        "gone",
        "answered",
        "limit_at",
        "number",
        "place",
        "reader",
        "sent_at",
        "server",
        "silence",
        "silent_at",
        "whole_by",
        "stage",
        "state",
        "timed_out",
    )

    def __init__(self, ask: ports.Ask, silence: int, now: int = 0) -> None:
        self.ask = ask
        self.whole_by = now + ask.time_left if ask.whole else 0  # when a whole answer is due; 0 for a streamed one
        self.stage = Stage.WAITING
        self.gone = False  # the client
        self.answered = False  # a final answer was given
        self.number = -1  # of the last attempt
        self.server = ""  # of the attempt out
        self.sent_at = 0
        self.limit_at = 0  # when the attempt out has run out of time; 0 for never
        self.silence = silence  # longest pause within a stream
        self.silent_at = 0  # when a stream is silent for too long
        self.reader = ""
        self.state: Any = None
        self.place = ""
        self.timed_out = False  # the last attempt ran out of time: a failure is then a late one
        self.last_why = ""

    @property
    def over(self) -> bool:
        """Whether nothing more can happen."""
        return self.stage is Stage.DONE

    def due(self) -> int:
        """When :meth:`time` must be called next; 0 for never."""
        if self.stage is Stage.STREAMING:
            return min(self.silent_at, self.whole_by) if self.whole_by else self.silent_at
        return self.limit_at if self.stage is Stage.OUT else 0

    # What the router decided.

    def command(self, action: api.Action, now: int) -> list[Effect]:
        """Carry out one action."""
        match action:
            case api.Send(_, server, limit):
                if self.gone and self.stage is Stage.DONE:
                    self.number += 1
                    ended = api.AttemptEnded(
                        self.ask.request, self.number, server, api.Outcome.NOT_SENT, 0, finished=True
                    )
                    return [Tell(ended)]
                if self.stage is not Stage.WAITING or self.answered:
                    raise LifeError(f"request {self.ask.request}: a send to {server} while {self.stage.value}")
                self.stage, self.server, self.sent_at = Stage.OUT, server, now
                self.number += 1
                self.limit_at = now + limit if limit else 0
                # The state goes along to any server but the reader that returned it.
                state = self.state if server != self.reader else None
                elsewhere = self._let_go_place() if self.place and self.place != server else []
                return [*elsewhere, Start(server, self.number, state, place=self.place == server, limit=limit)]
            case api.HoldPlace(_, server):
                if self.stage is not Stage.OUT:
                    return []  # its read was not sent after all: a place would be held for nobody
                self.place = server
                return [Hold(server)]
            case api.Release():
                return self._let_go(keep=self.stage is Stage.OUT)
            case api.Refuse(_, after):
                return self._final(ports.Refused(after))
            case api.Fail():
                return self._final(ports.Failed(self.last_why, self.timed_out))
            case api.Cancel(_, number):
                if self.stage is Stage.OUT and number == self.number:
                    return [Abort(), *self.attempt(ports.Over(api.Outcome.CANCELLED, "called off"), now)]
                return []
            case _:
                return []

    def _final(self, final: ports.Final) -> list[Effect]:
        if self.answered:
            raise LifeError(f"request {self.ask.request}: a second final answer")
        self.answered = True
        if self.stage is Stage.WAITING:
            self.stage = Stage.DONE
        return [] if self.gone else [Finish(final)]

    def _let_go(self, keep: bool = False) -> list[Effect]:
        """Release what is held; with ``keep`` an attempt is out that may wait for the state: it is named once more when
        that has ended without a beginning."""
        if not self.reader and not self.place:
            return []
        effect = LetGo(self.reader, self.state, self.place, self.number)
        self.place = ""
        if not keep:
            self.reader, self.state = "", None
        return [effect]

    def _let_go_place(self) -> list[Effect]:
        place, self.place = self.place, ""
        return [LetGo("", None, place, self.number, rest=bool(self.reader))]

    # What happened.

    def attempt(self, event: ports.AttemptEvent, now: int) -> list[Effect]:
        """Take one event of the attempt out; those that come when none is out are dropped (late bytes)."""
        if self.stage not in (Stage.OUT, Stage.STREAMING):
            return []
        if isinstance(event, ports.Piece):
            self.silent_at = now + self.silence
            return [] if self.gone else [Deliver(event)]
        if isinstance(event, ports.Began):
            self.stage, self.silent_at = Stage.STREAMING, now + self.silence
            self.reader, self.state, self.place = "", None, ""
            elapsed = now - self.sent_at
            told = Tell(api.FirstToken(self.ask.request, self.number, self.server, elapsed))
            if self.gone:
                return [told, Abort(), *self.attempt(ports.Over(api.Outcome.CANCELLED, "the client left"), now)]
            return [told, Begin()]
        return self._over(event, now)

    def _over(self, over: ports.Over, now: int) -> list[Effect]:
        streamed = self.stage is Stage.STREAMING
        effects: list[Effect] = []
        outcome = over.outcome
        self.timed_out = outcome is api.Outcome.TIMED_OUT
        self.last_why = over.why or outcome.value
        finished = streamed or self.gone or self.answered
        if over.rejection is not None and not finished:
            # The request itself is at fault: the engine's answer is the final one, nothing is tried again.
            effects += self._final(ports.Rejected(*over.rejection))
            finished = True
        elif streamed and not self.answered:
            final = ports.Served() if outcome is api.Outcome.SERVED else ports.Broken(self.last_why, self.timed_out)
            effects += self._final(final)
        elif outcome is api.Outcome.SERVED and not finished:
            raise LifeError(f"request {self.ask.request}: served without a beginning")
        if outcome is api.Outcome.READ:
            self.reader, self.state = self.server, over.state
        elif self.place == self.server:
            # The place was for this attempt, which did not come to use it, or nobody knows.
            effects += self._let_go_place()
        if outcome in _UNCERTAIN and not streamed and self.server != self.reader:
            # It may have been read and the answer lost: a state would wait there that nobody knows of.
            effects.append(LetGo(self.server, None, "", self.number, rest=bool(self.reader)))
        effects.append(
            Tell(
                api.AttemptEnded(
                    self.ask.request,
                    self.number,
                    self.server,
                    outcome,
                    max(0, now - self.sent_at),
                    finished,
                    over.kept_tokens,
                    over.state_missing,
                    over.report,
                )
            )
        )
        self.stage = Stage.DONE if finished else Stage.WAITING
        self.server, self.limit_at = "", 0
        return effects

    def streams(self, now: int) -> bool:
        """Whether a piece that came just now goes straight to the client; notes that the stream is alive.

        The usual case of :meth:`attempt`, without its effects: it is asked for every token.
        """
        if self.stage is not Stage.STREAMING or self.gone:
            return False
        self.silent_at = now + self.silence
        return True

    def time(self, now: int) -> list[Effect]:
        """Time has passed: end an attempt that has had its time, or a stream that fell silent.

        Owed: ``Obligation.ANSWER``, ``Obligation.ATTEMPT``."""
        if not self.due() or now < self.due():
            return []
        silent = self.stage is Stage.STREAMING and now >= self.silent_at
        why = "the engine fell silent within its answer" if silent else "out of time"
        return [Abort(), *self.attempt(ports.Over(api.Outcome.TIMED_OUT, why), now)]

    def client_gone(self, now: int) -> list[Effect]:
        """The client has left; nothing more is owed."""
        if self.gone or self.answered:
            self.gone = True
            return []
        self.gone = True
        effects: list[Effect] = [Tell(api.RequestGone(self.ask.request))]
        if self.stage is Stage.STREAMING:
            effects += [Abort(), *self.attempt(ports.Over(api.Outcome.CANCELLED, "the client left"), now)]
        elif self.stage is Stage.WAITING:
            self.stage = Stage.DONE
        return effects
