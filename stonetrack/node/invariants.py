"""The invariants of one request, checked at run time on its transitions.  No I/O, no clock.

The node follows the rules on its own; this is an independent check, counted and logged, that never changes what is
decided, except through :meth:`Ledger.may_begin`: the guard that every attempt passes right before its first byte,
whether it is the first or a retry.

What may be held for a request is derived only from what engines answered.  Its clock runs from the end of the last
attempt that is known to have arrived, and stops when nothing is held: after a first event, an answered release, or an
engine's statement that the state is gone.  Nothing else stops it.  Reservations are not requested; what an abandoned
attempt may still leave is tracked by :mod:`stonetrack.edge.abandoned`, which has its own counters.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stonetrack.api import Effect, Outcome
from stonetrack.node.transitions import ANSWERED_BY_ENGINE, Step, Transition

MS = 1_000_000
ANSWER_SLACK = 500 * MS  # after the client's deadline, within which a final answer is useless but not yet a violation
HELD_SLACK = 300 * MS  # beyond the configured time for held state
ARRIVING = 100 * MS  # within which an attempt that arrives at all usually does
DISCONNECT_SLACK = 100 * MS  # after a client's disconnection, within which an attempt may still begin
CLOSED_SLACK = 100 * MS  # from the guard's check to the first byte at an engine that a list has closed meanwhile
PROPAGATED_SLACK = 150 * MS  # by which the time limit passed to an engine may exceed the client's remaining time


class Invariant(Enum):
    """What must hold for every request; the numbers are those of the standing requirements."""

    ONE_ANSWER = 1
    NO_SECOND_EFFECT = 2
    NOTHING_LEAKED = 3
    NOTHING_FOR_A_CLIENT_GONE = 4
    NOTHING_TO_A_CLOSED_ENGINE = 5
    TIME_TOLD = 7


class Refusal(Enum):
    """Why an attempt may not begin."""

    CLIENT_GONE = "the client has gone"
    ANSWERED = "the request was answered"
    ATTEMPT_OUT = "another attempt is out"
    ENGINE_CLOSED = "the engine is draining or gone"
    INPUT_UNREAD = "whether the client has gone can't be seen: more lies behind its request than is read"


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that one request violated; ``at`` in nanoseconds."""

    invariant: Invariant
    request: str
    at: int
    text: str


class Ledger:
    """What the node knows of one request, and the invariant checks on it.  Times in nanoseconds of one clock."""

    __slots__ = ("_answered", "_answer_started", "_deadline", "_effect", "_client_gone_at", "_held_limit",
                 "_held_since", "_held_reported", "_late_reported", "_may_have_run", "_attempt_in_flight",
                 "_is_prefill", "_release_at", "_sent_at", "request")  # fmt: skip

    def __init__(self, request: str, effect: Effect, deadline: int, release_within: int) -> None:
        self.request = request
        self._effect, self._deadline = effect, deadline
        self._held_limit = release_within + HELD_SLACK
        self._held_since = 0  # since when something may be held without a proven attempt in flight; 0 for nothing
        self._held_reported = self._late_reported = False  # each violation is reported once
        self._attempt_in_flight = -1  # its number, -1 for none
        self._is_prefill = False  # whether that attempt is at a prefill engine
        self._sent_at = 0  # when that attempt's first byte was written
        self._release_at = 0  # when a release was last decided
        self._client_gone_at = 0
        self._answered = False
        self._answer_started = False  # from here on the client's deadline no longer applies
        self._may_have_run = False  # whether an attempt that ended without proof may have had its effect

    def needs_state(self, now: int) -> bool:
        """Whether a release now could take what the request still needs.

        That is what a prefill attempt is working on, a state that waits to be sent on, or one whose decode attempt may
        not have arrived yet (an attempt that has arrived keeps its state).
        """
        if self._answer_started or self._answered or self._client_gone_at:
            return False
        return self._attempt_in_flight < 0 or self._is_prefill or now < self._sent_at + ARRIVING

    @property
    def settled(self) -> bool:
        """Whether no attempt is in flight, nothing may be held, and no answer is owed."""
        return self._attempt_in_flight < 0 and not self._held_since and (self._answered or self._client_gone_at > 0)

    def may_begin(self, client_left: bool, engine_closed: bool, input_unread: bool = False) -> Refusal | None:
        """The guard in front of every attempt's first byte: why the attempt may not begin, None where it may.

        Owed: ``Obligation.ATTEMPT``, ``Obligation.TOLD_CHANGE``."""
        if client_left or self._client_gone_at:
            return Refusal.CLIENT_GONE
        if input_unread:
            return Refusal.INPUT_UNREAD
        if self._answered:
            return Refusal.ANSWERED
        if self._attempt_in_flight >= 0:
            return Refusal.ATTEMPT_OUT
        return Refusal.ENGINE_CLOSED if engine_closed else None

    def note(self, step: Transition) -> list[Violation]:
        """Record one step and return the violations that it causes.  Owed: ``Obligation.RELEASE``."""
        violations = self.check(step.at)
        match step.step:
            case Step.SENT:
                violations += self._note_sent(step)
            case Step.FIRST_EVENT:
                self._answer_started = True
                self._clear_held()
            case Step.ENDED:
                self._note_ended(step)
            case Step.RELEASE_DECIDED:
                self._release_at = step.at
            case Step.RELEASE_HEARD if step.decided_at >= self._held_since:
                self._clear_held()
            case Step.CLIENT_GONE:
                self._client_gone_at = self._client_gone_at or step.at
            case Step.ANSWERED:
                if self._answered:
                    violations.append(self._violation(Invariant.ONE_ANSWER, step.at, "a second final answer"))
                self._answered = True
            case _:
                pass
        return violations

    def check(self, now: int) -> list[Violation]:
        """The violations that the passing of time has caused by now, each reported once.

        Owed: ``Obligation.ANSWER``, ``Obligation.STATE``."""
        violations = []
        since = self._held_since
        if since and now - since > self._held_limit and not self._held_reported:
            self._held_reported = True
            text = f"held for {(now - since) / 1e9:.3f} s without proof that it was used or released"
            violations.append(self._violation(Invariant.NOTHING_LEAKED, now, text))
        unanswered = not self._answered and not self._answer_started and not self._client_gone_at
        if unanswered and now > self._deadline + ANSWER_SLACK and not self._late_reported:
            self._late_reported = True
            violations.append(
                self._violation(Invariant.ONE_ANSWER, now, "no final answer before the client's deadline")
            )
        return violations

    def _violation(self, invariant: Invariant, at: int, text: str) -> Violation:
        return Violation(invariant, self.request, at, text)

    def _note_sent(self, step: Transition) -> list[Violation]:
        violations = []
        if self._attempt_in_flight >= 0:
            text = f"attempt {step.attempt} begins while {self._attempt_in_flight} is in flight"
            violations.append(self._violation(Invariant.NO_SECOND_EFFECT, step.at, text))
        if self._effect is Effect.UNSAFE and self._may_have_run and not step.is_prefill:
            violations.append(self._violation(Invariant.NO_SECOND_EFFECT, step.at, "retried although it may have run"))
        if self._client_gone_at and step.at > self._client_gone_at + DISCONNECT_SLACK:
            text = f"begun {(step.at - self._client_gone_at) / 1e9:.3f} s after the client disconnected"
            violations.append(self._violation(Invariant.NOTHING_FOR_A_CLIENT_GONE, step.at, text))
        if step.closed_for > CLOSED_SLACK:
            text = f"{step.engine} has been closed for {step.closed_for / 1e9:.3f} s"
            violations.append(self._violation(Invariant.NOTHING_TO_A_CLOSED_ENGINE, step.at, text))
        if step.propagated_time > max(self._deadline - step.at, 0) + PROPAGATED_SLACK:
            text = f"passed on {step.propagated_time / 1e9:.3f} s of {(self._deadline - step.at) / 1e9:.3f} s left"
            violations.append(self._violation(Invariant.TIME_TOLD, step.at, text))
        self._attempt_in_flight, self._is_prefill, self._sent_at = step.attempt, step.is_prefill, step.at
        return violations

    def _note_ended(self, step: Transition) -> None:
        answered_by_engine = step.outcome in ANSWERED_BY_ENGINE
        in_flight, self._attempt_in_flight = self._attempt_in_flight, -1
        if step.state_missing:
            self._clear_held()
        elif step.outcome is Outcome.READ:
            self._set_held(step.at)
        elif step.outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT) or in_flight < 0:
            return  # no engine has received anything of it
        elif answered_by_engine and self._held_since:
            self._set_held(step.at)
        elif self._is_prefill and not answered_by_engine:
            # The prefill may have finished as its connection broke; its release may have been decided already.
            since = self._held_since or step.at
            self._set_held(min(since, self._release_at) if self._release_at >= self._sent_at else since)
        self._may_have_run = self._may_have_run or not self._is_prefill and step.outcome is not Outcome.FULL

    def _set_held(self, since: int) -> None:
        self._held_since, self._held_reported = since, False

    def _clear_held(self) -> None:
        self._held_since, self._held_reported = 0, False
