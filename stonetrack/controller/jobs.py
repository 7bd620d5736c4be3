"""What a job is, and the journal from which a successor takes it up in the middle.  No I/O.

A kind is a small pure class: from the job's state and the facts it says the next step, and from a step's result the
next state.  The journal holds, under the job's name in the register, the state, and the step that was begun and is not
known to be done.  Its order::

    write the step as begun  →  carry out its effect, with the token  →  write the state after it

A successor that finds a step begun does it again, so each step says what makes it harmless to repeat.  The writes are
compare-and-set with the owner's term inside: an old owner's write fails because the revision is another, and one with a
higher term than the writer's is never written over.

Times in a state are Unix times of whoever wrote it, and two stewards' clocks may be an hour apart.  So who takes a
journal over moves them as if no time had passed since its last line, and writes that down first: a phase may last
longer where owners change, never shorter.
"""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from stonetrack.election.fencing import Token


class Step(msgspec.Struct, frozen=True):
    """One effect.  ``what`` names the receiver's call, ``harmless`` why it may be repeated."""

    what: str
    args: dict[str, Any] = {}
    harmless: str = ""


class Wait(msgspec.Struct, frozen=True):
    """Nothing to do now; look again after so many seconds."""

    seconds: float
    why: str = ""


class Facts(msgspec.Struct, frozen=True):
    """What is known of the fleet when a step is chosen; ``at`` is Unix time in seconds."""

    at: float
    engines: tuple[dict[str, Any], ...] = ()  # the list service's lines
    origin: str = ""  # the history that it counts versions in
    version: int = 0
    wanted: tuple[dict[str, Any], ...] = ()  # what the operator's folder asks to be published, in order
    failing: dict[str, float | None] = {}  # by the checks: since when, 0 for well, None for not known
    versions: tuple[dict[str, Any], ...] = ()  # what the operator's folder asks to be rolled out, in order
    nodes: tuple[dict[str, Any], ...] = ()  # what the control service knows of each node
    service: float | None = None  # share of requests served since the last look; None where nobody tells


class Job(Protocol):
    """One kind of job; settings are given to its constructor."""

    name: str

    def initial_state(self) -> dict[str, Any]:
        """The state of a job that was never done."""

    def next_step(self, state: dict[str, Any], facts: Facts) -> Step | Wait:
        """The next step.  The same state and facts give the same one."""

    def state_after(self, state: dict[str, Any], step: Step, result: dict[str, Any], at: float) -> dict[str, Any]:
        """The state once a step is done."""

    def shift_times(self, state: dict[str, Any], by: float) -> dict[str, Any]:
        """The state by a clock that is so many seconds ahead."""


class WithoutTimes:
    """A kind whose state holds no times that count."""

    def shift_times(self, state: dict[str, Any], by: float) -> dict[str, Any]:
        """See ``Job``."""
        return state


class JournalEntry(msgspec.Struct, frozen=True):
    """What the journal holds of one job."""

    term: int
    owner: str
    state: dict[str, Any]
    number: int = 0  # steps done
    begun: Step | None = None
    at: float = 0.0  # when it was written, Unix time of the owner
    trouble: str = ""  # why the last try failed


class Superseded(Exception):
    """The journal was written by a later owner."""


def resume(found: JournalEntry | None, kind: Job, token: Token, at: float) -> JournalEntry:
    """The journal as this owner goes on with it, by its own clock.  Raises Superseded."""
    if found is None:
        return JournalEntry(token.term, token.owner, kind.initial_state())
    if found.term > token.term or (found.term == token.term and found.owner != token.owner):
        raise Superseded(f"job {kind.name}: term {found.term} of {found.owner} has begun")
    if found.owner == token.owner:
        return msgspec.structs.replace(found, term=token.term)
    state = kind.shift_times(found.state, at - found.at)
    return msgspec.structs.replace(found, term=token.term, owner=token.owner, state=state, at=at)


def begin_step(noted: JournalEntry, step: Step, at: float) -> JournalEntry:
    """The journal with a step about to be carried out."""
    return msgspec.structs.replace(noted, begun=step, at=at, trouble="")


def finish_step(noted: JournalEntry, kind: Job, result: dict[str, Any], at: float) -> JournalEntry:
    """The journal once the step that was begun is done."""
    assert noted.begun is not None
    state = kind.state_after(noted.state, noted.begun, result, at)
    return msgspec.structs.replace(noted, state=state, number=noted.number + 1, begun=None, at=at, trouble="")
