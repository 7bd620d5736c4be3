"""How a node installs settings versions, and its lease on taking requests.  No I/O, no clock.

States of one version at a node, and the reason for each transition::

    offered ──ignored (older, or the same again)
       │ ────rejected (from a former owner, or a number with two contents)
       ▼
    validated ──rejected, with the reason: the previous version stays in force
       ▼
    persisted  on disk and synced, *before* it is in force: a node that dies in between restarts with it, and never
       │       with an older one after it has acknowledged this one
       ▼
    in force ──rejected (the program could not continue under it), and the previous version is persisted again
       ▼
    acknowledged: only now does the node report that it runs the version

Version numbers alone give the order, independent of clocks.  A term lower than the highest seen is a former owner's.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from stonetrack.control.documents import NO_VERSION, Document, problem

MAX_FAILED_STARTS = 3  # consecutive starts that did not last, after which a node no longer restarts with its version


def follower_after_restart(persisted: Document, starts: int) -> Follower:
    """Return the state of a node that starts with a persisted version for the ``starts``-th time without lasting.

    A version that ends each process that installs it must not disable the node permanently: after
    ``MAX_FAILED_STARTS`` such starts the node uses its own settings file, reports the rejection, and waits for another
    version."""
    if persisted.number and starts > MAX_FAILED_STARTS:
        return Follower(term=persisted.term, refused=persisted.number, quarantined=persisted.number,
                        why=f"the process ended under it {MAX_FAILED_STARTS} times")  # fmt: skip
    return Follower(running=persisted, term=persisted.term)


class InstallStep(Enum):
    """The next step of installing a document."""

    NONE = "nothing"
    VALIDATE = "check"
    PERSIST = "keep"
    APPLY = "force"


@dataclass(frozen=True, slots=True)
class Follower:
    """A node's installation state; each method returns the next state and the next step."""

    running: Document = NO_VERSION  # in force, and acknowledged
    installing: Document | None = None
    step: InstallStep = InstallStep.NONE  # of ``installing``
    term: int = 0  # highest seen
    refused: int = 0  # number of the last rejected version
    why: str = ""
    quarantined: int = 0  # number of a version under which the process ended repeatedly; never installed again

    def offered(self, document: Document) -> tuple[Follower, InstallStep]:
        """Handle an offered document.  During an installation others are ignored: the service sends them again."""
        if self.installing is not None:
            return self, InstallStep.NONE
        if document.term < self.term:
            return self._rejected(document, f"term {document.term} is over, {self.term} has begun"), InstallStep.NONE
        if document.number == self.running.number and document.digest != self.running.digest:
            return self._rejected(document, f"version {document.number} means two things"), InstallStep.NONE
        if document.number <= self.running.number:
            return self, InstallStep.NONE
        if document.number == self.quarantined:
            return self._rejected(document, f"the process ended under it {MAX_FAILED_STARTS} times"), InstallStep.NONE
        if wrong := problem(document):
            return self._rejected(document, wrong), InstallStep.NONE
        return replace(self, installing=document, step=InstallStep.VALIDATE, term=document.term), InstallStep.VALIDATE

    def validated(self, why: str) -> tuple[Follower, InstallStep]:
        """Handle the check against the node's own settings; ``why`` names the problem, empty for none."""
        return self._advanced(InstallStep.VALIDATE, InstallStep.PERSIST, why)

    def persisted(self, why: str) -> tuple[Follower, InstallStep]:
        """Handle the write to disk; ``why`` names the error, empty for none."""
        return self._advanced(InstallStep.PERSIST, InstallStep.APPLY, why)

    def applied(self, why: str) -> tuple[Follower, InstallStep]:
        """Handle the change of settings; after a failure (``why``) the previous version is to be persisted again."""
        assert self.step is InstallStep.APPLY and self.installing is not None
        if why:
            return self._rejected(self.installing, why), InstallStep.PERSIST
        return replace(self, running=self.installing, installing=None, step=InstallStep.NONE, refused=0, why="",
                       quarantined=0), InstallStep.NONE  # fmt: skip

    def _advanced(self, current: InstallStep, following: InstallStep, why: str) -> tuple[Follower, InstallStep]:
        assert self.step is current and self.installing is not None
        if why:
            return self._rejected(self.installing, why), InstallStep.NONE
        return replace(self, step=following), following

    def _rejected(self, document: Document, why: str) -> Follower:
        return replace(self, installing=None, step=InstallStep.NONE, refused=document.number, why=why)


@dataclass(frozen=True, slots=True)
class Lease:
    """Whether a node may take requests; times in nanoseconds of its own monotonic clock.

    A lease counts from *before* the report that it answers, while the service counts from its answer, so the service
    never considers a node out that still takes requests.  ``steps_out`` says whether a node stops taking requests when
    its lease expires without renewal: the service may be what failed.  A fence names the version that lifts it, so that
    a node that installs that version takes requests again even where the service cannot reach it.
    """

    steps_out: bool = False
    expires_at: int = 0  # 0: never granted, so a node with ``steps_out`` takes no requests before its first lease
    fence_reason: str = ""  # empty: not fenced
    lifted_by: int = 0  # number of the version that lifts the fence
    order: int = 0  # number of the last order received, which the next report repeats

    def renewed(self, asked_at: int, duration: int, steps_out: bool) -> Lease:
        """Return the lease after an answer to a report sent at ``asked_at``."""
        return replace(self, expires_at=max(self.expires_at, asked_at + duration), steps_out=steps_out)

    def fenced(self, why: str, lifted_by: int, order: int = 0) -> Lease:
        """Return the lease after the service fences the node; an empty reason lifts the fence."""
        return replace(self, fence_reason=why, lifted_by=lifted_by if why else 0, order=order)

    def is_fenced(self, running: int) -> bool:
        """Return whether the node is fenced while it runs this version."""
        return bool(self.fence_reason) and running < self.lifted_by

    def refusal(self, now: int, running: int) -> str:
        """Return why no request may be taken now; empty where one may."""
        if self.is_fenced(running):
            return self.fence_reason
        if self.steps_out and now >= self.expires_at:
            why = "its permit has run out" if self.expires_at else "it has no permit yet"
            return f"{why}: the control service does not answer"
        return ""
