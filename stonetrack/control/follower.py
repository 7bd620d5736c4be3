"""How a node takes versions, and its permit.  No I/O, no clock.

States of one version at a node, and why each edge is there::

    offered ──passed over (older, or the same again)
       │ ────turned down (an old owner's, or a number that means two things)
       ▼
    checked ──turned down, with the reason: the version before stays in force
       ▼
     kept    on disk and synced, *before* it is in force: a node that dies in between comes back on it, and never on one
       │     that it acknowledged and then forgot
       ▼
    in force ──turned down (the program could not go on under it), and the version before is kept again
       ▼
    acknowledged: only now does the node say that it runs it

Numbers alone give the order; clocks don't matter.  A lower term than the highest seen is an old owner's.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from stonetrack.control.documents import NO_VERSION, Document, problem

MAX_FAILED_STARTS = 3  # starts in a row that did not last, after which a node no longer comes back on its version


def follower_after_restart(kept: Document, starts: int) -> Follower:
    """Where a node stands that comes back on a kept version for the n-th time without having lasted.

    A version that ends each process that takes it must not hold the node for ever: after ``MAX_FAILED_STARTS`` of them
    it comes back on its own file, says so, and waits for another version."""
    if kept.number and starts > MAX_FAILED_STARTS:
        return Follower(term=kept.term, refused=kept.number, quarantined=kept.number,
                        why=f"the process ended under it {MAX_FAILED_STARTS} times")  # fmt: skip
    return Follower(running=kept, term=kept.term)


class InstallStep(Enum):
    """What is to be done with a document next."""

    NONE = "nothing"
    VALIDATE = "check"
    PERSIST = "keep"
    APPLY = "force"


@dataclass(frozen=True, slots=True)
class Follower:
    """A node's state; every method gives the next one and what is to be done."""

    running: Document = NO_VERSION  # in force, and acknowledged
    installing: Document | None = None
    step: InstallStep = InstallStep.NONE  # with ``installing``
    term: int = 0  # highest seen
    refused: int = 0  # number of the version last turned down
    why: str = ""
    quarantined: int = 0  # a version under which the process ended again and again: never taken again

    def offered(self, document: Document) -> tuple[Follower, InstallStep]:
        """A document came.  While one is being taken others wait: the service tells again."""
        if self.installing is not None:
            return self, InstallStep.NONE
        if document.term < self.term:
            return self._turned_down(document, f"term {document.term} is over, {self.term} has begun"), InstallStep.NONE
        if document.number == self.running.number and document.digest != self.running.digest:
            return self._turned_down(document, f"version {document.number} means two things"), InstallStep.NONE
        if document.number <= self.running.number:
            return self, InstallStep.NONE
        if document.number == self.quarantined:
            return self._turned_down(
                document, f"the process ended under it {MAX_FAILED_STARTS} times"
            ), InstallStep.NONE
        if wrong := problem(document):
            return self._turned_down(document, wrong), InstallStep.NONE
        return replace(self, installing=document, step=InstallStep.VALIDATE, term=document.term), InstallStep.VALIDATE

    def validated(self, why: str) -> tuple[Follower, InstallStep]:
        """It was read against the node's own settings; ``why`` says what is wrong, empty for nothing."""
        return self._went(InstallStep.VALIDATE, InstallStep.PERSIST, why)

    def persisted(self, why: str) -> tuple[Follower, InstallStep]:
        """It is on disk, or could not be written."""
        return self._went(InstallStep.PERSIST, InstallStep.APPLY, why)

    def applied(self, why: str) -> tuple[Follower, InstallStep]:
        """It is in force, or the program could not go on under it: the version before is to be kept again."""
        assert self.step is InstallStep.APPLY and self.installing is not None
        if why:
            return self._turned_down(self.installing, why), InstallStep.PERSIST
        return replace(
            self, running=self.installing, installing=None, step=InstallStep.NONE, refused=0, why="", quarantined=0
        ), InstallStep.NONE

    def _went(self, now: InstallStep, then: InstallStep, why: str) -> tuple[Follower, InstallStep]:
        assert self.step is now and self.installing is not None
        if why:
            return self._turned_down(self.installing, why), InstallStep.NONE
        return replace(self, step=then), then

    def _turned_down(self, document: Document, why: str) -> Follower:
        return replace(self, installing=None, step=InstallStep.NONE, refused=document.number, why=why)


@dataclass(frozen=True, slots=True)
class Lease:
    """Whether a node may take requests; times in nanoseconds of its own monotonic clock.

    A permit counts from *before* the question that it answers, so the service, which counts from when it answered,
    never takes a node for out that still takes requests.  What happens when it runs out with nobody to renew it is
    ``steps_out``: the service may be what failed.  A shut-out names the version that lifts it, so that a node that
    was brought up comes back by itself, also where nobody can tell it.
    """

    steps_out: bool = False
    until: int = 0  # 0: never granted, so a node that must step out takes nothing before it was
    fence_reason: str = ""  # why it is shut out
    lifted_by: int = 0  # the version's number
    order: int = 0  # the last one heard, which the next question repeats

    def renewed(self, asked_at: int, span: int, steps_out: bool) -> Lease:
        """An answer came to a question asked then."""
        return replace(self, until=max(self.until, asked_at + span), steps_out=steps_out)

    def fenced(self, why: str, lifted_by: int, order: int = 0) -> Lease:
        """The service shuts this node out; an empty reason lets it in."""
        return replace(self, fence_reason=why, lifted_by=lifted_by if why else 0, order=order)

    def is_fenced(self, running: int) -> bool:
        """Whether it was shut out and is still."""
        return bool(self.fence_reason) and running < self.lifted_by

    def refusal(self, now: int, running: int) -> str:
        """Why no request may be taken now; empty where one may."""
        if self.is_fenced(running):
            return self.fence_reason
        if self.steps_out and now >= self.until:
            why = "its permit has run out" if self.until else "it has no permit yet"
            return f"{why}: the control service does not answer"
        return ""
