"""The steps of one request, typed, for its record, its log line and the run-time invariants.  No I/O.

A step states what this node *knows*.  Bytes handed to the kernel are :attr:`Step.SENT`, which proves no arrival; only
what an engine sends back (a first event, an outcome that the engine itself answered, an answered release) proves one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stonetrack.api import Outcome


class Step(Enum):
    """Kind of a step; the value is its text in the log."""

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
"""Outcomes that come from an engine's own answer: they prove that the attempt had arrived."""


@dataclass(frozen=True, slots=True)
class Transition:
    """One step of one request.  Times are in nanoseconds.

    ``at`` is the node's clock; ``engine`` and ``attempt`` identify the other side where there is one; ``is_prefill``
    says that the attempt is at a prefill engine; ``propagated_time`` is the time limit that an attempt passed to its
    engine; ``decided_at`` is when a release that an engine now confirms was decided; ``closed_for`` is for how long a
    server list has announced that the attempt's engine takes no new requests.
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
        """The step as the log shows it, with seconds since ``since``, the request's arrival."""
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
