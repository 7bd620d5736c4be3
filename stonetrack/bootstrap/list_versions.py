"""Which documents come into force: versions of one history go forwards, and a history may begin anew.

A *history* is what one list service has counted since it first began; its name (``origin``) goes along with each
document, and versions of two histories can't be compared.  A service that names none has one history, the empty name.

- A whole document of the history held is taken if it is not older.  Of several services behind one address some may
  lag: an older one is passed over, and what is held stays in force.
- An older one that is all that comes for ``ROLLBACK_DELAY_NS`` is the truth: somebody restored an old state.
  Guards against a
  fleet that never again believes its service; acts after half a minute; could harm where every working replica lags
  that long (engines that left are then sent to again, until they refuse).
- A document of another history is taken at once: its service was built anew and knows what runs now.  Two services
  that take turns with two histories would have every node change lists at each answer, so after
  ``MAX_HISTORY_CHANGES`` changes within ``HISTORY_CHANGES_WINDOW_NS`` the history held is kept for that long.
- Changes are taken only on top of the version that they were made for; else a whole list is asked for.
- A list without a version (0, of no history) can't be compared and is always taken.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000_000
ROLLBACK_DELAY_NS = 30 * SECOND
MAX_HISTORY_CHANGES, HISTORY_CHANGES_WINDOW_NS = 3, 60 * SECOND


@dataclass(frozen=True, slots=True)
class DocumentVersion:
    """What a document says of itself; ``base`` is the version that changes stand on, -1 for a whole list."""

    origin: str
    version: int
    base: int = -1


class Decision(Enum):
    """What to do with a document."""

    ACCEPT = "take"
    SAME = "same"  # it says what is in force
    OLDER = "older"  # passed over
    NO_BASE = "no base"  # changes to something else: ask for a whole list
    OTHER_HISTORY = "other"  # of a history that takes turns with the one held: passed over


class VersionTracker:
    """What is in force; ``version`` is -1 before the first document."""

    def __init__(self) -> None:
        self.origin = ""
        self.version = -1
        self.request_full = False  # the next question is for a whole list
        self._older_since = 0  # 0 for none
        self._turns: list[int] = []  # when a history was left for another

    def restore(self, origin: str, version: int) -> None:
        """A saved list is in force: what came after it may be asked for."""
        self.origin, self.version = origin, version

    def poll_base(self) -> tuple[int, str]:
        """The version and history to ask after; -1 for a whole list."""
        return (-1, "") if self.request_full else (self.version, self.origin)

    def decide(self, stamp: DocumentVersion, now: int) -> Decision:
        """What to do with a document that came now; changes nothing but what is remembered of older ones."""
        known = self.version >= 0
        if stamp.base >= 0 and not (known and stamp.origin == self.origin and stamp.base == self.version):
            self.request_full = True
            return Decision.NO_BASE
        if not known or (stamp.version <= 0 and not stamp.origin):
            return Decision.ACCEPT
        if stamp.origin != self.origin:
            return Decision.OTHER_HISTORY if self._takes_turns(now) else Decision.ACCEPT
        if stamp.version > self.version:
            return Decision.ACCEPT
        if stamp.version == self.version:
            self._older_since = 0
            return Decision.SAME
        self._older_since = self._older_since or now
        return Decision.ACCEPT if now - self._older_since >= ROLLBACK_DELAY_NS else Decision.OLDER

    def accepted(self, stamp: DocumentVersion, now: int) -> None:
        """The document is in force."""
        if self.version >= 0 and stamp.origin != self.origin:
            self._turns.append(now)
        self.origin, self.version = stamp.origin, stamp.version
        self.request_full, self._older_since = False, 0

    def confirmed(self) -> None:
        """The service has nothing newer."""
        self._older_since = 0

    def _takes_turns(self, now: int) -> bool:
        self._turns = [at for at in self._turns if now - at < HISTORY_CHANGES_WINDOW_NS]
        return len(self._turns) >= MAX_HISTORY_CHANGES
