"""What happens to one request, as typed steps: for its record, its log line and the run-time invariants.  No I/O.

A step says what this node *knows*.  Bytes handed to the kernel are :attr:`Step.SENT`, never an arrival; only what comes
back from an engine (a first event, an outcome that the engine itself answered, a release that was answered) proves one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stonetrack.api import Outcome


class Step(Enum):
    """One kind of step; the text stands in the log."""

    ARRIVED = "arrived"
    SENT = "sent"
    FIRST_EVENT = "first event"
    ENDED = "attempt ended"
    RELEASE_DECIDED = "release decided"
    RELEASE_HEARD = "release heard"
    RELEASE_UNHEARD = "release not heard"
    CLIENT_GONE = "client gone"
    ANSWERED = "answered"


ANSWERED_BY_ENGINE = frozenset({Outcome.READ, Outcome.SERVED, Outcome.ERROR, Outcome.FULL})
"""Outcomes that an engine's own answer gave: they prove that the attempt had arrived."""


@dataclass(frozen=True, slots=True)
class Transition:
    """One step of one request.

    ``at`` is the node's clock in nanoseconds; ``engine`` and ``attempt`` name the other side where there is one;
    ``reads`` tells that the attempt is at a prefill engine; ``time_told`` is the time that an attempt told its engine,
    in nanoseconds; ``decided`` is when a release that is now heard was decided; ``closed_for``
    for how many nanoseconds a list has told that an attempt's engine is to be sent nothing.
    """

    at: int
    step: Step
    engine: str = ""
    attempt: int = -1
    outcome: Outcome | None = None
    why: str = ""
    is_prefill: bool = False
    state_missing: bool = False
    propagated_time: int = 0
    decided_at: int = 0
    closed_for: int = 0

    def text(self, since: int) -> str:
        """This step as the log has it, with seconds since the request's arrival."""
        parts = [f"{(self.at - since) / 1e9:.3f} {self.step.value}"]
        if self.attempt >= 0:
            parts.append(f"#{self.attempt}")
        if self.engine:
            parts.append(self.engine)
        if self.outcome is not None:
            parts.append(self.outcome.value)
        if self.why:
            parts.append(f"({self.why[:120]})")
        return " ".join(parts)
