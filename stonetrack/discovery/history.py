"""The versions of a server list, and the documents that describe them.  No I/O.

A *history* has a name (``origin``) and counts versions upwards from its first one.  Each change of the list is one
version; the names that it changed are remembered for the last ``most`` versions.  A node that has version *a* receives
the changes from *a* to the present: one line for each name, its present one, or its last with the state ``removed``.
Each document is encoded once, however many nodes request it: after a change the nodes are at only a few versions.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

Line = Mapping[str, Any]
Persist = Callable[[str, int, Mapping[str, Line]], None]
MAX_CACHED_DOCUMENTS = 64  # encoded documents of changes
MAX_REMOVED_LINES = 1_000  # lines of removed engines that are kept before old ones are dropped


def _not_persisted(origin: str, version: int, lines: Mapping[str, Line]) -> None:
    """Persist nothing."""


class LinesError(ValueError):
    """The lines are no valid list; the message names the line and what is allowed."""


@dataclass(frozen=True, slots=True)
class EncodedDocument:
    """An encoded document: the full list, or changes where ``full`` is false."""

    body: bytes
    version: int
    full: bool


class History:
    """The present list, its version, and the latest changes."""

    def __init__(self, origin: str, version: int, lines: Iterable[Line] = (), most: int = 1_000) -> None:
        self.origin, self.version = origin, version
        self.lines: dict[str, Line] = by_name(lines)
        self._changed: deque[tuple[int, frozenset[str]]] = deque(maxlen=most)  # version, names that it changed
        self._removed: dict[str, Line] = {}  # last lines of removed engines, for documents of changes
        self._full: bytes | None = None
        self._documents: OrderedDict[int, bytes] = OrderedDict()  # of changes, by the version that they apply to

    def put(self, lines: Iterable[Line], persist: Persist = _not_persisted) -> int:
        """Replace the list; returns how many names changed.  Without changes the version stays.  Raises LinesError.

        ``persist`` is called with the history's name, the new version and its lines before it is in force; if it
        raises, nothing changes.
        """
        lines_after = by_name(lines)
        names = {n for n in lines_after.keys() | self.lines.keys() if lines_after.get(n) != self.lines.get(n)}
        return self._change(lines_after, names, persist)

    def change(self, lines: Iterable[Line], persist: Persist = _not_persisted) -> int:
        """Change single lines, like :meth:`put`; engines whose state is ``removed`` are removed from the list."""
        changed_lines = by_name(lines)
        lines_after = {n: line for n, line in {**self.lines, **changed_lines}.items() if line.get("state") != "removed"}
        return self._change(lines_after, {n for n in changed_lines if lines_after.get(n) != self.lines.get(n)}, persist)

    def _change(self, lines_after: dict[str, Line], names: set[str], persist: Persist) -> int:
        if names:
            persist(self.origin, self.version + 1, lines_after)
            self._removed |= {n: self.lines[n] for n in names if n in self.lines and n not in lines_after}
            self.lines = lines_after
            self.version += 1
            self._changed.append((self.version, frozenset(names)))
            if len(self._removed) > 4 * len(self.lines) + MAX_REMOVED_LINES:
                remembered = set().union(*(each for _, each in self._changed))
                self._removed = {n: line for n, line in self._removed.items() if n in remembered}
            self._full = None
            self._documents.clear()
        return len(names)

    def client_is_ahead(self, after: int, origin: str) -> bool:
        """Whether a client has a later version of this history: an old state was restored here, and counting on from
        it would use version numbers twice."""
        return origin == self.origin and after > self.version

    def start_new_history(self, origin: str, version: int, persist: Persist = _not_persisted) -> None:
        """Start another history with the same list, from a version that no client has."""
        persist(origin, version, self.lines)
        self.origin, self.version = origin, version
        self._changed.clear()
        self._documents.clear()
        self._full = None

    @property
    def oldest_base(self) -> int:
        """The oldest version for which the changes since are known."""
        return self._changed[0][0] - 1 if self._changed else self.version

    def has_changes_since(self, after: int, origin: str) -> bool:
        """Whether the changes since this version are known."""
        return origin == self.origin and self.oldest_base <= after <= self.version

    def document_since(self, after: int, origin: str) -> EncodedDocument | None:
        """The document for a client that has this version; None if nothing changed since."""
        if not self.has_changes_since(after, origin):
            return self.full()
        if after == self.version:
            return None
        changes = self._changes(after)
        return changes if len(changes.body) < len(self.full().body) else self.full()

    def full(self) -> EncodedDocument:
        """The document of the full list."""
        if self._full is None:
            lines = list(self.lines.values())
            self._full = self._encode({"kind": "full", "engines": lines})
        return EncodedDocument(self._full, self.version, full=True)

    def _changes(self, after: int) -> EncodedDocument:
        body = self._documents.get(after)
        if body is None:
            names = sorted(set().union(*(names for version, names in self._changed if version > after)))
            lines = [self.lines.get(n) or {**self._removed[n], "state": "removed"} for n in names]
            body = self._encode({"kind": "changes", "after": after, "engines": lines})
            self._documents[after] = body
            if len(self._documents) > MAX_CACHED_DOCUMENTS:
                self._documents.popitem(last=False)
        else:
            self._documents.move_to_end(after)
        return EncodedDocument(body, self.version, full=False)

    def _encode(self, document: dict[str, Any]) -> bytes:
        return msgspec.json.encode({"version": self.version, "origin": self.origin, **document})


def by_name(lines: Iterable[Line]) -> dict[str, Line]:
    """Lines by their names.  Raises LinesError where a name is missing or a duplicate."""
    by_names: dict[str, Line] = {}
    for n, line in enumerate(lines):
        name = line.get("name") if isinstance(line, Mapping) else None
        if not isinstance(name, str) or not name:
            raise LinesError(f"engines[{n}]: an object with a name is allowed")
        if name in by_names:
            raise LinesError(f"engines[{n}]: {name!r} stands twice")
        by_names[name] = line
    return by_names
