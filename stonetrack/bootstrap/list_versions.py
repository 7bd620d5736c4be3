"""Which documents come into force: within a history versions only increase, and a history may be replaced by another.

A *history* is the sequence of versions that one discovery service has issued since its first start.  Its name
(``origin``) is part of each document; versions of two histories can't be compared.  A service that sends no name has
one history, with an empty name.

- A whole document of the current history is accepted unless it is older.  If several services share an address, some
  may lag: an older document is ignored, and the list in force stays.
- If all documents for ``ROLLBACK_DELAY_NS`` are older, the older one is accepted: an earlier state of the service was
  restored.  Otherwise a fleet would ignore its service for ever.  Where instead every working replica lags that long,
  nodes send requests to engines that have left, until these refuse.
- A document of another history is accepted at once: its service was set up anew and has the current state.  Two
  services with different histories that answer in turn would change all lists with each answer, so after
  ``MAX_HISTORY_CHANGES`` changes within ``HISTORY_CHANGES_WINDOW_NS`` the current history is kept for that time.
- Changes are accepted only for the version that they are based on; otherwise a whole list is requested.
- A list without version (0) and without history can't be compared and is always accepted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000_000
ROLLBACK_DELAY_NS = 30 * SECOND
MAX_HISTORY_CHANGES, HISTORY_CHANGES_WINDOW_NS = 3, 60 * SECOND


@dataclass(frozen=True, slots=True)
class DocumentVersion:
    """The version of a document; ``base`` is the version that changes apply to, -1 for a whole list."""

    origin: str
    version: int
    base: int = -1


class Decision(Enum):
    """What to do with a document."""

    ACCEPT = "take"
    SAME = "same"  # equals the list in force
    OLDER = "older"  # ignored
    NO_BASE = "no base"  # changes to another version: a whole list is requested
    OTHER_HISTORY = "other"  # of a history that alternates with the current one: ignored


class VersionTracker:
    """The version in force; ``version`` is -1 before the first document.  Times are in nanoseconds."""

    def __init__(self) -> None:
        self.origin = ""
        self.version = -1
        self.request_full = False  # the next poll requests a whole list
        self._older_since = 0  # 0 if the last document was not older
        self._history_changes: list[int] = []  # times of changes to another history

    def restore(self, origin: str, version: int) -> None:
        """A saved list is the base for changes."""
        self.origin, self.version = origin, version

    def poll_base(self) -> tuple[int, str]:
        """Return the version and history for the next poll; version -1 requests a whole list."""
        return (-1, "") if self.request_full else (self.version, self.origin)

    def decide(self, document: DocumentVersion, now: int) -> Decision:
        """Decide about a document; does not change the version in force."""
        known = self.version >= 0
        if document.base >= 0 and not (known and document.origin == self.origin and document.base == self.version):
            self.request_full = True
            return Decision.NO_BASE
        if not known or (document.version <= 0 and not document.origin):
            return Decision.ACCEPT
        if document.origin != self.origin:
            return Decision.OTHER_HISTORY if self._histories_alternate(now) else Decision.ACCEPT
        if document.version > self.version:
            return Decision.ACCEPT
        if document.version == self.version:
            self._older_since = 0
            return Decision.SAME
        self._older_since = self._older_since or now
        return Decision.ACCEPT if now - self._older_since >= ROLLBACK_DELAY_NS else Decision.OLDER

    def accepted(self, document: DocumentVersion, now: int) -> None:
        """The document is in force."""
        if self.version >= 0 and document.origin != self.origin:
            self._history_changes.append(now)
        self.origin, self.version = document.origin, document.version
        self.request_full, self._older_since = False, 0

    def confirmed(self) -> None:
        """The service has no newer version."""
        self._older_since = 0

    def _histories_alternate(self, now: int) -> bool:
        self._history_changes = [at for at in self._history_changes if now - at < HISTORY_CHANGES_WINDOW_NS]
        return len(self._history_changes) >= MAX_HISTORY_CHANGES
