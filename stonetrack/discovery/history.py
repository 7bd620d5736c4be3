"""The versions of a list, and the documents that tell of them.  No I/O.

A *history* has a name (``origin``) and counts versions upwards from where it began.  Each change of the list is one
version; the names that changed are remembered for the last ``most`` versions.  Who holds version *a* is told what
changed from *a* to now: one line for each name, its present one, or its last with the state ``removed``.  Every
document is encoded once, however many ask for it: after a change all nodes hold one of few versions.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

Line = Mapping[str, Any]
Persist = Callable[[str, int, Mapping[str, Line]], None]
DOCUMENTS = 64  # documents of changes kept encoded
GONE = 1_000  # lines of engines taken out that are kept before they are looked through


def _not_persisted(origin: str, version: int, lines: Mapping[str, Line]) -> None:
    """Keep nothing."""


class LinesError(ValueError):
    """Lines that can't be a list; the text names which and what is allowed."""


@dataclass(frozen=True, slots=True)
class EncodedDocument:
    """A document as it goes out; ``full`` tells which kind."""

    body: bytes
    version: int
    full: bool


class History:
    """See the module."""

    def __init__(self, origin: str, version: int, lines: Iterable[Line] = (), most: int = 1_000) -> None:
        self.origin, self.version = origin, version
        self.lines: dict[str, Line] = by_name(lines)
        self._changed: deque[tuple[int, frozenset[str]]] = deque(maxlen=most)  # version, names that it changed
        self._removed: dict[str, Line] = {}  # last lines of what was taken out, to tell of it
        self._whole: bytes | None = None
        self._documents: OrderedDict[int, bytes] = OrderedDict()  # of changes, by the version they stand on

    def put(self, lines: Iterable[Line], persist: Persist = _not_persisted) -> int:
        """Make this the list; how many names changed.  None: the version stays.  Raises LinesError.

        ``persist`` is called with the history's name, the new version and its lines before it is in force; what it
        raises leaves all as it was.
        """
        fresh = by_name(lines)
        names = {n for n in fresh.keys() | self.lines.keys() if fresh.get(n) != self.lines.get(n)}
        return self._change(fresh, names, persist)

    def change(self, lines: Iterable[Line], persist: Persist = _not_persisted) -> int:
        """The same, of single lines; those whose state is ``removed`` are taken out."""
        given = by_name(lines)
        fresh = {n: line for n, line in {**self.lines, **given}.items() if line.get("state") != "removed"}
        return self._change(fresh, {n for n in given if fresh.get(n) != self.lines.get(n)}, persist)

    def _change(self, fresh: dict[str, Line], names: set[str], persist: Persist) -> int:
        if names:
            persist(self.origin, self.version + 1, fresh)
            self._removed |= {n: self.lines[n] for n in names if n in self.lines and n not in fresh}
            self.lines = fresh
            self.version += 1
            self._changed.append((self.version, frozenset(names)))
            if len(self._removed) > 4 * len(self.lines) + GONE:
                told = set().union(*(each for _, each in self._changed))
                self._removed = {n: line for n, line in self._removed.items() if n in told}
            self._whole = None
            self._documents.clear()
        return len(names)

    def client_is_ahead(self, after: int, origin: str) -> bool:
        """Whether who asks holds a later version of this very history: an old state was put back here, and versions
        counted on from it would mean two things."""
        return origin == self.origin and after > self.version

    def start_new_history(self, origin: str, version: int, persist: Persist = _not_persisted) -> None:
        """Another history with the same list, from a version on that nobody holds."""
        persist(origin, version, self.lines)
        self.origin, self.version = origin, version
        self._changed.clear()
        self._documents.clear()
        self._whole = None

    @property
    def oldest_base(self) -> int:
        """The oldest version that changes can be told after."""
        return self._changed[0][0] - 1 if self._changed else self.version

    def has_changes_since(self, after: int, origin: str) -> bool:
        """Whether changes after this version can be told."""
        return origin == self.origin and self.oldest_base <= after <= self.version

    def document_since(self, after: int, origin: str) -> EncodedDocument | None:
        """What there is to tell who holds this version; None for nothing."""
        if not self.has_changes_since(after, origin):
            return self.full()
        if after == self.version:
            return None
        changes = self._changes(after)
        return changes if len(changes.body) < len(self.full().body) else self.full()

    def full(self) -> EncodedDocument:
        """The whole list."""
        if self._whole is None:
            lines = list(self.lines.values())
            self._whole = self._encode({"kind": "full", "engines": lines})
        return EncodedDocument(self._whole, self.version, full=True)

    def _changes(self, after: int) -> EncodedDocument:
        body = self._documents.get(after)
        if body is None:
            names = sorted(set().union(*(names for version, names in self._changed if version > after)))
            lines = [self.lines.get(n) or {**self._removed[n], "state": "removed"} for n in names]
            body = self._encode({"kind": "changes", "after": after, "engines": lines})
            self._documents[after] = body
            if len(self._documents) > DOCUMENTS:
                self._documents.popitem(last=False)
        else:
            self._documents.move_to_end(after)
        return EncodedDocument(body, self.version, full=False)

    def _encode(self, document: dict[str, Any]) -> bytes:
        return msgspec.json.encode({"version": self.version, "origin": self.origin, **document})


def by_name(lines: Iterable[Line]) -> dict[str, Line]:
    """Lines by their names.  Raises LinesError where one has none or a name stands twice."""
    made: dict[str, Line] = {}
    for n, line in enumerate(lines):
        name = line.get("name") if isinstance(line, Mapping) else None
        if not isinstance(name, str) or not name:
            raise LinesError(f"engines[{n}]: an object with a name is allowed")
        if name in made:
            raise LinesError(f"engines[{n}]: {name!r} stands twice")
        made[name] = line
    return made
