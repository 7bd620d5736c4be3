"""The service's versions: what is published, to whom, and how far a staged one has come.  No I/O.

``base`` is what every node is to run, ``candidate`` what a share of them runs first.  A node is in the share by a
hash of its name and the number: the same nodes as the share grows, others for the next version.  Going back is one
more version with the content before, so numbers never go down and a node that missed both ends right.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from typing import Any

from stonetrack.control.documents import NO_VERSION, Document, made, problem

REMEMBERED = 100  # documents
LEAST = 2  # nodes that run a staged version at the least, where there are so many: one alone tells nothing


class HistoryError(ValueError):
    """What can't be done; the text says what is allowed."""


def drawn(name: str, number: int) -> float:
    """A node's place among those that run a version first, in [0, 1)."""
    return int.from_bytes(blake2b(f"{number}/{name}".encode(), digest_size=6).digest()) / float(1 << 48)


def first_of(names: Iterable[str], number: int, share: float) -> frozenset[str]:
    """Those of the nodes known that are in a share, by their places; ``LEAST`` at the least, unless it is 0."""
    placed = sorted(names, key=lambda name: drawn(name, number))
    within = sum(drawn(name, number) < share for name in placed)
    return frozenset(placed[: max(within, LEAST if share else 0)])


@dataclass(frozen=True, slots=True)
class History:
    """See the module; every method gives the next state."""

    documents: tuple[Document, ...] = field(default=(NO_VERSION,))
    base: int = 0
    candidate: int = 0  # 0: none
    share: float = 0.0
    first: frozenset[str] = frozenset()  # nodes that the candidate is for, whoever joins or leaves

    @property
    def newest(self) -> Document:
        """The version published last."""
        return self.documents[-1]

    def document(self, number: int) -> Document:
        """A version that is remembered.  Raises HistoryError."""
        for each in self.documents:
            if each.number == number:
                return each
        known = ", ".join(str(d.number) for d in self.documents[-5:])
        raise HistoryError(f"version {number} is not known; the last ones are {known}")

    def wanted(self, name: str) -> Document:
        """What a node is to run."""
        staged = self.candidate and (name in self.first or drawn(name, self.candidate) < self.share)
        return self.document(self.candidate if staged else self.base)

    def published(
        self, content: dict[str, Any], kind: str, share: float, term: int = 0, owner: str = "",
        names: Iterable[str] = (), beyond: int = 0,
    ) -> History:  # fmt: skip
        """One more version, for a share of the nodes or, at 1, for all.  The same content again changes nothing.

        ``names`` are the nodes known; ``beyond`` is the highest number that any of them runs, which is higher than any
        here where an old state was put back.  Raises HistoryError."""
        if not 0.0 <= share <= 1.0:
            raise HistoryError(f"share: found {share}; allowed: 0 to 1")
        document = made(max(self.newest.number, beyond) + 1, content, kind, term, owner)
        if wrong := problem(document):
            raise HistoryError(wrong)
        if document.digest == self.newest.digest and self.newest.number:
            return self
        if self.candidate and share < 1.0:
            raise HistoryError(f"version {self.candidate} is staged; finish or roll it back first")
        kept = (*self.documents, document)
        old = [d for d in kept[:-REMEMBERED] if d.number == self.base]
        kept = (*old, *kept[-REMEMBERED:])
        if share < 1.0:
            first = first_of(names, document.number, share)
            return replace(self, documents=kept, candidate=document.number, share=share, first=first)
        return History(kept, document.number)

    def staged(self, number: int, share: float, names: Iterable[str] = ()) -> History:
        """A candidate goes on to a larger share; at 1 it is everybody's.  Said twice it is done once."""
        if number == self.base and share >= 1.0:
            return self
        if number != self.candidate or not self.candidate:
            raise HistoryError(f"version {number} is not staged (staged: {self.candidate or 'none'})")
        if share < self.share:
            raise HistoryError(f"share {share}: it stands at {self.share}; rolling back is a version of its own")
        if share >= 1.0:
            return replace(self, base=number, candidate=0, share=0.0, first=frozenset())
        return replace(self, share=share, first=self.first | first_of(names, number, share))

    def rolled_back(self, number: int, term: int = 0, owner: str = "") -> History:
        """A candidate is given up: the content before is published anew, to all.  Said twice it is done once."""
        if number != self.candidate:
            if any(d.number == number for d in self.documents):
                return self
            raise HistoryError(f"version {number} is not known")
        before = self.document(self.base)
        again = made(self.newest.number + 1, before.content, before.kind, term, owner)
        return History((*self.documents, again), again.number)


def fields(history: History) -> dict[str, Any]:
    """The state as JSON holds it."""
    return {"documents": list(history.documents), "base": history.base, "candidate": history.candidate,
            "share": history.share, "first": sorted(history.first)}  # fmt: skip


def restored(
    documents: Iterable[Document], base: int, candidate: int, share: float, first: Iterable[str] = ()
) -> History:
    """The state from what was kept.  Raises HistoryError."""
    made_of = History(tuple(documents), base, candidate, share, frozenset(first))
    numbers = [d.number for d in made_of.documents]
    if numbers != sorted(set(numbers)) or not numbers:
        raise HistoryError("versions are not in order")
    made_of.document(base)
    if candidate:
        made_of.document(candidate)
    return made_of
