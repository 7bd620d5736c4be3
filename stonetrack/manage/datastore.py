"""Running, candidate and startup, with their locks, commits and history.  No I/O, threads or clocks.

The problem.  Several sessions, over two protocols and the command line, change one configuration.  A change must
apply whole or not at all, be refused with a reason before anything of it can be read, be undone where its author
vanishes before confirming it, and leave every reader with one version, never half of two.

The model (RFC 8342 for the stores, RFC 6241 for the rules):

- A configuration is a persistent map from paths to values, so a version is kept by keeping a reference, and a reader
  that holds one needs no lock.  Versions are numbered from 1; history is bounded.
- **running** changes by :meth:`Datastores.commit` (of the candidate) or :meth:`Datastores.edit_running` (directly):
  validated as a whole by the caller's function, first; only then is the number raised.
- **candidate** is one, shared (RFC 6241, 8.3): who wants it alone locks it.  A lock can't be had while it holds
  changes that are not committed; its session's end discards them.
- **Locks**: one owner a store; a locked store is changed by its owner only; an owner's end frees it.
- **Confirmed commit** (8.4): running changes at once, and goes back to what it was at the deadline unless confirmed
  by the same session, or by anybody who holds the ``persist`` token.  The end of the session that gave no token
  reverts it too. A further confirmed commit extends the deadline; what it goes back to stays the version before the
  first.

States of a confirmed commit, and why each edge exists::

    NONE --confirmed commit--> PENDING       running is new, the old version is held
    PENDING --confirmed commit--> PENDING    again, by who may confirm: the deadline moves, the held version stays
    PENDING --commit--> NONE                 confirmed: the held version is only history
    PENDING --deadline, cancel, the session's end--> NONE    running is the held version again, as a new number

Invariants (a hypothesis machine holds them against a plain model): every version in history passed validation;
numbers only rise; nothing of a refused change can be read from any store; after PENDING ends without a confirmation
running equals what it was before it; a store locked by one session is changed by no other.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import immutables

Path = str
Config = immutables.Map[Path, Any]
Validator = Callable[[Mapping[Path, Any]], Iterable["ConfigRejected"]]
NO_SESSION = 0  # no session


class Store(Enum):
    """The configuration stores (RFC 8342, section 5.1)."""

    RUNNING = "running"
    CANDIDATE = "candidate"
    STARTUP = "startup"


class Tag(Enum):
    """Error tags of RFC 6241, appendix A, that arise here."""

    LOCK_DENIED = "lock-denied"
    IN_USE = "in-use"
    INVALID_VALUE = "invalid-value"
    DATA_EXISTS = "data-exists"
    DATA_MISSING = "data-missing"
    OPERATION_FAILED = "operation-failed"


@dataclass(eq=False)
class ConfigRejected(Exception):
    """A change that was not made: tag, where, and words for a person; ``owner`` for a lock that another holds."""

    tag: Tag
    path: Path
    text: str
    owner: int = NO_SESSION

    def __str__(self) -> str:
        return f"{self.path or '/'}: {self.text}"


class Op(Enum):
    """Operations on one path (RFC 6241, 7.2); ``replace`` of a parent is delete and create of what is below it."""

    MERGE = "merge"
    CREATE = "create"
    DELETE = "delete"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class Edit:
    """One operation; deletes take what is below the path with it."""

    op: Op
    path: Path
    value: Any = None


@dataclass(frozen=True, slots=True)
class Version:
    """One version of running: its number, when (nanoseconds), by whom, and why it came about."""

    number: int
    timestamp_ns: int
    session: int
    reason: str
    config: Config


@dataclass(frozen=True, slots=True)
class PendingCommit:
    """A confirmed commit that waits: the version to go back to, until when, who may confirm."""

    previous_version: Version
    deadline: int
    session: int
    persist: str


@dataclass
class Datastores:
    """See the module.  ``validate`` gives what is wrong with a whole configuration, nothing where it may run."""

    validate: Validator
    max_versions: int = 64
    history: deque[Version] = field(init=False)
    candidate: Config = field(init=False)
    startup: Config = field(init=False)
    pending: PendingCommit | None = field(init=False, default=None)
    locks: dict[Store, int] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        empty: Config = immutables.Map()
        self.history = deque([Version(0, 0, NO_SESSION, "empty", empty)], maxlen=self.max_versions)
        self.candidate = self.startup = empty

    @property
    def running(self) -> Version:
        """The version in force."""
        return self.history[-1]

    def load(self, now: int, config: Mapping[Path, Any]) -> Version:
        """Begin with a configuration (of startup, or of settings).  Raises ConfigRejected."""
        made: Config = immutables.Map(config)
        self._check(made)
        self.startup = self.candidate = made
        return self._put(now, NO_SESSION, "startup", made)

    # Locks.

    def lock(self, session: int, store: Store) -> None:
        """Lock a store.  Raises ConfigRejected if a session holds the lock or the candidate has uncommitted changes."""
        if (owner := self.locks.get(store, NO_SESSION)) != NO_SESSION:
            raise ConfigRejected(Tag.LOCK_DENIED, "", f"{store.value} is locked by session {owner}", owner)
        if store is Store.CANDIDATE and self.candidate != self.running.config:
            raise ConfigRejected(
                Tag.LOCK_DENIED, "", "candidate holds changes; allowed: after commit or discard-changes"
            )
        if store is Store.RUNNING and self.pending is not None and self.pending.session != session:
            text = f"session {self.pending.session}'s commit waits to be confirmed"
            raise ConfigRejected(Tag.LOCK_DENIED, "", text, self.pending.session)
        self.locks[store] = session

    def unlock(self, session: int, store: Store) -> None:
        """Unlock a store; an unlocked candidate loses what was not committed.  Raises ConfigRejected."""
        if self.locks.get(store, NO_SESSION) != session:
            raise ConfigRejected(Tag.OPERATION_FAILED, "", f"{store.value} is not locked by session {session}")
        del self.locks[store]
        if store is Store.CANDIDATE:
            self.candidate = self.running.config

    def _mine(self, session: int, store: Store) -> None:
        owner = self.locks.get(store, NO_SESSION)
        if owner not in (NO_SESSION, session):
            raise ConfigRejected(Tag.IN_USE, "", f"{store.value} is locked by session {owner}", owner)

    # Changes.

    def edit_candidate(self, session: int, edits: Iterable[Edit]) -> None:
        """Change the candidate, all or nothing.  Raises ConfigRejected."""
        self._mine(session, Store.CANDIDATE)
        self.candidate = apply_edits(self.candidate, edits)

    def edit_running(self, now: int, session: int, edits: Iterable[Edit]) -> Version:
        """Change running directly, validated whole; a candidate without changes follows.  Raises ConfigRejected."""
        self._mine(session, Store.RUNNING)
        made = apply_edits(self.running.config, edits)
        self._check(made)
        follows = self.candidate == self.running.config
        version = self._put(now, session, "change", made)
        if follows:
            self.candidate = made
        return version

    def validate_store(self, store: Store) -> None:
        """Validate a store.  Raises ConfigRejected with the first thing wrong."""
        self._check({Store.RUNNING: self.running.config, Store.CANDIDATE: self.candidate}.get(store, self.startup))

    def discard_changes(self, session: int) -> None:
        """Take back what was not committed.  Raises ConfigRejected."""
        self._mine(session, Store.CANDIDATE)
        self.candidate = self.running.config

    def copy_to_startup(self, session: int) -> None:
        """Copy running to startup.  Raises ConfigRejected."""
        self._mine(session, Store.STARTUP)
        self.startup = self.running.config

    def commit(
        self, now: int, session: int, *, confirm_within: int = 0, persist: str = "", persist_id: str = ""
    ) -> Version:
        """Make the candidate running; with ``confirm_within`` (nanoseconds), only for so long unless it is confirmed.

        Raises ConfigRejected.
        """
        self.expire_pending(now)
        for store in (Store.RUNNING, Store.CANDIDATE):
            self._mine(session, store)
        waits = self.pending
        if waits is not None and not self._may_confirm(waits, session, persist_id):
            raise ConfigRejected(
                Tag.IN_USE, "", f"session {waits.session}'s commit waits to be confirmed", waits.session
            )
        if waits is None and persist_id:
            raise ConfigRejected(Tag.INVALID_VALUE, "", "persist-id: no commit waits to be confirmed")
        self._check(self.candidate)
        before = waits.previous_version if waits is not None else self.running
        version = self.running
        if self.candidate != version.config:
            version = self._put(now, session, "confirmed commit" if confirm_within else "commit", self.candidate)
        self.pending = PendingCommit(before, now + confirm_within, session, persist) if confirm_within else None
        return version

    def cancel_commit(self, now: int, session: int, persist_id: str = "") -> Version:
        """Go back from a confirmed commit at once.  Raises ConfigRejected."""
        self.expire_pending(now)
        if self.pending is None:
            raise ConfigRejected(Tag.OPERATION_FAILED, "", "no commit waits to be confirmed")
        if not self._may_confirm(self.pending, session, persist_id):
            raise ConfigRejected(Tag.INVALID_VALUE, "", "persist-id: not that of the commit that waits")
        return self._back(now, "cancelled")

    def expire_pending(self, now: int) -> Version | None:
        """Go back where a confirmation is overdue; the version then in force, None where nothing changed."""
        if self.pending is None or now < self.pending.deadline:
            return None
        return self._back(now, "not confirmed in time")

    def rollback(self, now: int, session: int, number: int) -> Version:
        """Make an earlier version running again, as a new one.  Raises ConfigRejected."""
        self._mine(session, Store.RUNNING)
        if self.pending is not None:
            raise ConfigRejected(
                Tag.IN_USE, "", f"session {self.pending.session}'s commit waits to be confirmed", self.pending.session
            )
        found = next((v for v in self.history if v.number == number), None)
        if found is None:
            allowed = f"{self.history[0].number} to {self.running.number}"
            raise ConfigRejected(Tag.DATA_MISSING, "", f"version {number} is not kept; allowed: {allowed}")
        self._check(found.config)
        follows = self.candidate == self.running.config
        version = self._put(now, session, f"rollback to {number}", found.config)
        if follows:
            self.candidate = version.config
        return version

    def end_session(self, now: int, session: int) -> Version | None:
        """A session is gone, with its locks, its candidate if it held the lock, and its unconfirmed commit.

        The version that came of it; None where running stays.
        """
        if self.locks.get(Store.CANDIDATE) == session:
            self.candidate = self.running.config
        self.locks = {store: owner for store, owner in self.locks.items() if owner != session}
        if self.pending is not None and self.pending.session == session and not self.pending.persist:
            return self._back(now, "its session ended unconfirmed")
        return None

    # Inside.

    @staticmethod
    def _may_confirm(waits: PendingCommit, session: int, persist_id: str) -> bool:
        return persist_id == waits.persist if waits.persist else waits.session == session and not persist_id

    def _back(self, now: int, reason: str) -> Version:
        assert self.pending is not None
        back, self.pending = self.pending.previous_version, None
        follows = self.candidate == self.running.config
        version = self._put(now, NO_SESSION, reason, back.config)
        if follows:
            self.candidate = back.config
        return version

    def _check(self, config: Config) -> None:
        for wrong in self.validate(config):
            raise wrong

    def _put(self, now: int, session: int, reason: str, config: Config) -> Version:
        version = Version(self.running.number + 1, now, session, reason, config)
        self.history.append(version)
        return version


def _below(path: Path, ancestor: Path) -> bool:
    return path == ancestor or path.startswith(ancestor + "/")


def apply_edits(config: Config, edits: Iterable[Edit]) -> Config:
    """A new configuration with the edits applied in order.  Raises ConfigRejected at the first that fails.

    Cost: O(log n) an edit, but a delete looks at every path.
    """
    made = config
    for edit in edits:
        match edit.op:
            case Op.CREATE if edit.path in made:
                raise ConfigRejected(Tag.DATA_EXISTS, edit.path, "it is there already; allowed: merge")
            case Op.MERGE | Op.CREATE:
                made = made.set(edit.path, edit.value)
            case Op.DELETE | Op.REMOVE:
                gone = [path for path in made if _below(path, edit.path)]
                if not gone and edit.op is Op.DELETE:
                    raise ConfigRejected(Tag.DATA_MISSING, edit.path, "it is not there; allowed: remove")
                for path in gone:
                    made = made.delete(path)
    return made


def diff_configs(old: Mapping[Path, Any], new: Mapping[Path, Any]) -> list[Edit]:
    """The edits that lead from one configuration to another: what goes first, then what is new, changed, or stood below
    what went."""
    gone = sorted(path for path in old if path not in new)
    again = {path for path in new if any(_below(path, ancestor) for ancestor in gone)}
    edits = [Edit(Op.REMOVE, path) for path in gone]
    there = sorted(path for path in new if path in again or path not in old or old[path] != new[path])
    return edits + [Edit(Op.MERGE, path, new[path]) for path in there]
