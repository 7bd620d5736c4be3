"""Jobs, and the journal from which a successor continues a job in the middle.  No I/O.

A job is a small pure class: it chooses the next step from its state and the facts, and computes the next state from the
result of a step.  The journal in the store, under the job's name, holds the state and the step that was begun and is
not known to be done.  The order is::

    write the step as begun  →  carry out its effect, with the token  →  write the state after it

A successor that finds a step begun does it again, so each step states what makes it harmless to repeat.  The writes are
compare-and-set and contain the leader's term: an old leader's write fails because the revision has changed, and an
entry with a higher term than the writer's is never overwritten.

Times in a state are Unix times of the writer's clock, and the clocks of two controllers may be an hour apart.  So a
successor shifts them as if no time had passed since the last journal entry, and writes that entry first: a phase may
last longer where leaders change, never shorter.
"""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from stonetrack.election.fencing import Token


class Step(msgspec.Struct, frozen=True):
    """One effect.  ``what`` names the receiver's call, ``harmless`` states why it may be repeated."""

    what: str
    args: dict[str, Any] = {}
    harmless: str = ""


class Wait(msgspec.Struct, frozen=True):
    """Nothing to do now; choose again after this many seconds."""

    seconds: float
    why: str = ""


class Facts(msgspec.Struct, frozen=True):
    """The state of the fleet when a step is chosen; ``at`` is Unix time in seconds."""

    at: float
    engines: tuple[dict[str, Any], ...] = ()  # server list of the discovery service
    origin: str = ""  # history that ``version`` belongs to
    version: int = 0
    wanted: tuple[dict[str, Any], ...] = ()  # lists in the operator's folder to publish, in order
    failing: dict[str, float | None] = {}  # by the health checks: since when, 0 for healthy, None for unknown
    versions: tuple[dict[str, Any], ...] = ()  # versions in the operator's folder to roll out, in order
    nodes: tuple[dict[str, Any], ...] = ()  # reports of the control service on each node
    service: float | None = None  # share of requests served since the last look; None where unknown


class Job(Protocol):
    """One job; its constructor takes the settings."""

    name: str

    def initial_state(self) -> dict[str, Any]:
        """The state before the first step."""

    def next_step(self, state: dict[str, Any], facts: Facts) -> Step | Wait:
        """The next step.  Deterministic in state and facts."""

    def state_after(self, state: dict[str, Any], step: Step, result: dict[str, Any], at: float) -> dict[str, Any]:
        """The state after a step is done; ``at`` is Unix time in seconds."""

    def shift_times(self, state: dict[str, Any], by: float) -> dict[str, Any]:
        """The state with all its times moved by ``by`` seconds, for a clock that is ahead by them."""


class WithoutTimes:
    """A job whose state holds no times that need shifting."""

    def shift_times(self, state: dict[str, Any], by: float) -> dict[str, Any]:
        """See ``Job``."""
        return state


class JournalEntry(msgspec.Struct, frozen=True):
    """The journal of one job."""

    term: int
    owner: str
    state: dict[str, Any]
    number: int = 0  # steps done
    begun: Step | None = None
    at: float = 0.0  # when it was written, Unix time of the leader's clock
    trouble: str = ""  # why the last attempt failed


class Superseded(Exception):
    """A later leader has written the journal."""


def resume(found: JournalEntry | None, job: Job, token: Token, at: float) -> JournalEntry:
    """The entry from which this leader continues, by its own clock.  Raises Superseded."""
    if found is None:
        return JournalEntry(token.term, token.owner, job.initial_state())
    if found.term > token.term or (found.term == token.term and found.owner != token.owner):
        raise Superseded(f"job {job.name}: term {found.term} of {found.owner} has begun")
    if found.owner == token.owner:
        return msgspec.structs.replace(found, term=token.term)
    state = job.shift_times(found.state, at - found.at)
    return msgspec.structs.replace(found, term=token.term, owner=token.owner, state=state, at=at)


def begin_step(entry: JournalEntry, step: Step, at: float) -> JournalEntry:
    """The entry with a step that is about to be carried out."""
    return msgspec.structs.replace(entry, begun=step, at=at, trouble="")


def finish_step(entry: JournalEntry, job: Job, result: dict[str, Any], at: float) -> JournalEntry:
    """The entry after the step that was begun is done."""
    assert entry.begun is not None
    state = job.state_after(entry.state, entry.begun, result, at)
    return msgspec.structs.replace(entry, state=state, number=entry.number + 1, begun=None, at=at, trouble="")
