"""The service's versions: what is published, to which nodes, and how far a staged version has progressed.  No I/O.

``base`` is the version for all nodes, ``candidate`` the one that a share of them runs first.  A hash of the node's name
and the version number decides whether a node is in the share: the same nodes stay in it as the share grows, and the
next version gets others.  A rollback publishes the previous content as a new version, so numbers never decrease and a
node that missed both versions ends with the right content.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from typing import Any

from stonetrack.control.documents import NO_VERSION, Document, make_document, problem

MAX_DOCUMENTS = 100
MIN_STAGED_NODES = 2  # where the fleet has as many; a single node gives no comparison


class HistoryError(ValueError):
    """A change that is not possible; the text says what is allowed."""


def share_position(name: str, number: int) -> float:
    """Return a node's position in the order in which nodes run a version, in [0, 1)."""
    return int.from_bytes(blake2b(f"{number}/{name}".encode(), digest_size=6).digest()) / float(1 << 48)


def nodes_in_share(names: Iterable[str], number: int, share: float) -> frozenset[str]:
    """Return the known nodes within a share by their positions; at least ``MIN_STAGED_NODES`` unless it is 0."""
    ordered = sorted(names, key=lambda name: share_position(name, number))
    within = sum(share_position(name, number) < share for name in ordered)
    return frozenset(ordered[: max(within, MIN_STAGED_NODES if share else 0)])


@dataclass(frozen=True, slots=True)
class History:
    """The published versions and the roll-out of the newest; each changing method returns the next state."""

    documents: tuple[Document, ...] = field(default=(NO_VERSION,))
    base: int = 0
    candidate: int = 0  # 0: none
    share: float = 0.0
    first: frozenset[str] = frozenset()  # nodes that run the candidate, whichever nodes join or leave

    @property
    def newest(self) -> Document:
        """The version published last."""
        return self.documents[-1]

    def document(self, number: int) -> Document:
        """Return a stored version.  Raises HistoryError."""
        for each in self.documents:
            if each.number == number:
                return each
        known = ", ".join(str(d.number) for d in self.documents[-5:])
        raise HistoryError(f"version {number} is not known; the last ones are {known}")

    def desired(self, name: str) -> Document:
        """Return the version that a node is to run."""
        staged = self.candidate and (name in self.first or share_position(name, self.candidate) < self.share)
        return self.document(self.candidate if staged else self.base)

    def published(
        self, content: dict[str, Any], kind: str, share: float, term: int = 0, owner: str = "",
        names: Iterable[str] = (), highest_running: int = 0,
    ) -> History:  # fmt: skip
        """Publish a version for a share of the nodes or, at 1, for all.  Repeating the newest content changes nothing.

        ``names`` are the known nodes; ``highest_running`` is the highest number that any of them runs, which exceeds
        every stored number where an old state was restored.  Raises HistoryError."""
        if not 0.0 <= share <= 1.0:
            raise HistoryError(f"share: found {share}; allowed: 0 to 1")
        document = make_document(max(self.newest.number, highest_running) + 1, content, kind, term, owner)
        if wrong := problem(document):
            raise HistoryError(wrong)
        if document.digest == self.newest.digest and self.newest.number:
            return self
        if self.candidate and share < 1.0:
            raise HistoryError(f"version {self.candidate} is staged; finish or roll it back first")
        stored = (*self.documents, document)
        old_base = [d for d in stored[:-MAX_DOCUMENTS] if d.number == self.base]
        stored = (*old_base, *stored[-MAX_DOCUMENTS:])
        if share < 1.0:
            first = nodes_in_share(names, document.number, share)
            return replace(self, documents=stored, candidate=document.number, share=share, first=first)
        return History(stored, document.number)

    def staged(self, number: int, share: float, names: Iterable[str] = ()) -> History:
        """Extend the candidate to a larger share, at 1 to all nodes.  Idempotent.  Raises HistoryError."""
        if number == self.base and share >= 1.0:
            return self
        if number != self.candidate or not self.candidate:
            raise HistoryError(f"version {number} is not staged (staged: {self.candidate or 'none'})")
        if share < self.share:
            raise HistoryError(f"share {share}: it stands at {self.share}; rolling back is a version of its own")
        if share >= 1.0:
            return replace(self, base=number, candidate=0, share=0.0, first=frozenset())
        return replace(self, share=share, first=self.first | nodes_in_share(names, number, share))

    def rolled_back(self, number: int, term: int = 0, owner: str = "") -> History:
        """Drop the candidate and publish the previous content to all nodes.  Idempotent.  Raises HistoryError."""
        if number != self.candidate:
            if any(d.number == number for d in self.documents):
                return self
            raise HistoryError(f"version {number} is not known")
        previous = self.document(self.base)
        again = make_document(self.newest.number + 1, previous.content, previous.kind, term, owner)
        return History((*self.documents, again), again.number)


def to_fields(history: History) -> dict[str, Any]:
    """Return the state as the fields of the JSON that is stored and served."""
    return {"documents": list(history.documents), "base": history.base, "candidate": history.candidate,
            "share": history.share, "first": sorted(history.first)}  # fmt: skip


def from_fields(
    documents: Iterable[Document], base: int, candidate: int, share: float, first: Iterable[str] = ()
) -> History:
    """Return the state from its stored fields.  Raises HistoryError."""
    history = History(tuple(documents), base, candidate, share, frozenset(first))
    numbers = [d.number for d in history.documents]
    if numbers != sorted(set(numbers)) or not numbers:
        raise HistoryError("versions are not in order")
    history.document(base)
    if candidate:
        history.document(candidate)
    return history
