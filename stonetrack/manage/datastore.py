"""The running, candidate and startup datastores with their locks, commits and history.  No I/O, threads or clocks.

Several sessions, over two protocols and the command line, change one configuration.  A change has to be atomic, be
rejected with a reason before any of it becomes visible, be reverted if its session ends before confirming it, and
leave each reader with one consistent version.

The model (RFC 8342 for the datastores, RFC 6241 for the operations):

- A configuration is a persistent map from paths to values, so a reference is enough to retain a version, and a reader
  that holds one needs no lock.  Versions are numbered from 1; the history is bounded.
- **running** changes by :meth:`Datastores.commit` (of the candidate) or :meth:`Datastores.edit_running` (directly):
  the caller's function validates the whole configuration before the version number is incremented.
- **candidate** is shared by all sessions (RFC 6241, 8.3): a session that needs exclusive access locks it.  It can't be
  locked while it has uncommitted changes; the end of the session that holds the lock discards them.
- **Locks**: one owner per datastore; only the owner changes a locked datastore; the end of its session releases it.
- **Confirmed commit** (8.4): running changes at once, and reverts at the deadline unless the commit is confirmed
  by the same session, or by any session with the ``persist`` token.  Without a token the end of the session
  reverts it too.  A further confirmed commit extends the deadline; the revert target stays the version before the
  first.

State transitions of a confirmed commit::

    NONE --confirmed commit--> PENDING       running is new, the previous version is retained
    PENDING --confirmed commit--> PENDING    by a session that may confirm: new deadline, same revert target
    PENDING --commit--> NONE                 confirmed: the previous version is only history
    PENDING --deadline, cancel, end of the session--> NONE    running reverts to it, under a new number

Invariants (a hypothesis state machine compares them with a plain model): every version in the history passed
validation; numbers only increase; no part of a rejected change is visible in any datastore; when PENDING ends without
a confirmation, running equals its content before the commit; a datastore locked by one session is changed by no other.
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
NO_SESSION = 0


class Store(Enum):
    """The configuration datastores (RFC 8342, section 5.1)."""

    RUNNING = "running"
    CANDIDATE = "candidate"
    STARTUP = "startup"


class Tag(Enum):
    """The error tags of RFC 6241, appendix A, that the datastores raise."""

    LOCK_DENIED = "lock-denied"
    IN_USE = "in-use"
    INVALID_VALUE = "invalid-value"
    DATA_EXISTS = "data-exists"
    DATA_MISSING = "data-missing"
    OPERATION_FAILED = "operation-failed"


@dataclass(eq=False)
class ConfigRejected(Exception):
    """A rejected change: error tag, path and message; ``owner`` is the session that holds the conflicting lock."""

    tag: Tag
    path: Path
    text: str
    owner: int = NO_SESSION

    def __str__(self) -> str:
        return f"{self.path or '/'}: {self.text}"


class Op(Enum):
    """Operations on one path (RFC 6241, 7.2); ``replace`` of a parent is a delete and a create of its subtree."""

    MERGE = "merge"
    CREATE = "create"
    DELETE = "delete"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class Edit:
    """One operation; a delete or remove applies to the whole subtree of the path."""

    op: Op
    path: Path
    value: Any = None


@dataclass(frozen=True, slots=True)
class Version:
    """One version of running: number, time (nanoseconds), session that made it, and reason."""

    number: int
    timestamp_ns: int
    session: int
    reason: str
    config: Config


@dataclass(frozen=True, slots=True)
class PendingCommit:
    """An unconfirmed commit: the revert target, the deadline (nanoseconds), and the session or token that confirms."""

    previous_version: Version
    deadline: int
    session: int
    persist: str


@dataclass
class Datastores:
    """The three datastores.  ``validate`` yields the errors of a whole configuration, nothing if it is valid."""

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
        """The current version."""
        return self.history[-1]

    def load(self, now: int, config: Mapping[Path, Any]) -> Version:
        """Load the initial configuration (from startup or from settings).  Raises ConfigRejected."""
        updated: Config = immutables.Map(config)
        self._validate(updated)
        self.startup = self.candidate = updated
        return self._append_version(now, NO_SESSION, "startup", updated)

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
        """Unlock a store; unlocking the candidate discards its uncommitted changes.  Raises ConfigRejected."""
        if self.locks.get(store, NO_SESSION) != session:
            raise ConfigRejected(Tag.OPERATION_FAILED, "", f"{store.value} is not locked by session {session}")
        del self.locks[store]
        if store is Store.CANDIDATE:
            self.candidate = self.running.config

    def _check_lock(self, session: int, store: Store) -> None:
        owner = self.locks.get(store, NO_SESSION)
        if owner not in (NO_SESSION, session):
            raise ConfigRejected(Tag.IN_USE, "", f"{store.value} is locked by session {owner}", owner)

    # Changes.

    def edit_candidate(self, session: int, edits: Iterable[Edit]) -> None:
        """Change the candidate atomically.  Raises ConfigRejected."""
        self._check_lock(session, Store.CANDIDATE)
        self.candidate = apply_edits(self.candidate, edits)

    def edit_running(self, now: int, session: int, edits: Iterable[Edit]) -> Version:
        """Change running directly after validation; an unchanged candidate follows.  Raises ConfigRejected."""
        self._check_lock(session, Store.RUNNING)
        updated = apply_edits(self.running.config, edits)
        self._validate(updated)
        candidate_unchanged = self.candidate == self.running.config
        version = self._append_version(now, session, "change", updated)
        if candidate_unchanged:
            self.candidate = updated
        return version

    def validate_store(self, store: Store) -> None:
        """Validate a store.  Raises ConfigRejected for the first error."""
        self._validate({Store.RUNNING: self.running.config, Store.CANDIDATE: self.candidate}.get(store, self.startup))

    def discard_changes(self, session: int) -> None:
        """Reset the candidate to running.  Raises ConfigRejected."""
        self._check_lock(session, Store.CANDIDATE)
        self.candidate = self.running.config

    def copy_to_startup(self, session: int) -> None:
        """Copy running to startup.  Raises ConfigRejected."""
        self._check_lock(session, Store.STARTUP)
        self.startup = self.running.config

    def commit(
        self, now: int, session: int, *, confirm_within: int = 0, persist: str = "", persist_id: str = ""
    ) -> Version:
        """Make the candidate running; with ``confirm_within`` (nanoseconds), revert after that time unless confirmed.

        Raises ConfigRejected.
        """
        self.expire_pending(now)
        for store in (Store.RUNNING, Store.CANDIDATE):
            self._check_lock(session, store)
        open_commit = self.pending
        if open_commit is not None and not self._may_confirm(open_commit, session, persist_id):
            raise ConfigRejected(
                Tag.IN_USE, "", f"session {open_commit.session}'s commit waits to be confirmed", open_commit.session
            )
        if open_commit is None and persist_id:
            raise ConfigRejected(Tag.INVALID_VALUE, "", "persist-id: no commit waits to be confirmed")
        self._validate(self.candidate)
        revert_target = open_commit.previous_version if open_commit is not None else self.running
        version = self.running
        if self.candidate != version.config:
            version = self._append_version(
                now, session, "confirmed commit" if confirm_within else "commit", self.candidate
            )
        self.pending = PendingCommit(revert_target, now + confirm_within, session, persist) if confirm_within else None
        return version

    def cancel_commit(self, now: int, session: int, persist_id: str = "") -> Version:
        """Revert an unconfirmed commit at once.  Raises ConfigRejected."""
        self.expire_pending(now)
        if self.pending is None:
            raise ConfigRejected(Tag.OPERATION_FAILED, "", "no commit waits to be confirmed")
        if not self._may_confirm(self.pending, session, persist_id):
            raise ConfigRejected(Tag.INVALID_VALUE, "", "persist-id: not that of the commit that waits")
        return self._revert(now, "cancelled")

    def expire_pending(self, now: int) -> Version | None:
        """Revert a commit whose deadline has passed; returns the new version, None if nothing changed."""
        if self.pending is None or now < self.pending.deadline:
            return None
        return self._revert(now, "not confirmed in time")

    def rollback(self, now: int, session: int, number: int) -> Version:
        """Restore an earlier version as a new version of running.  Raises ConfigRejected."""
        self._check_lock(session, Store.RUNNING)
        if self.pending is not None:
            raise ConfigRejected(
                Tag.IN_USE, "", f"session {self.pending.session}'s commit waits to be confirmed", self.pending.session
            )
        target = next((v for v in self.history if v.number == number), None)
        if target is None:
            allowed = f"{self.history[0].number} to {self.running.number}"
            raise ConfigRejected(Tag.DATA_MISSING, "", f"version {number} is not kept; allowed: {allowed}")
        self._validate(target.config)
        candidate_unchanged = self.candidate == self.running.config
        version = self._append_version(now, session, f"rollback to {number}", target.config)
        if candidate_unchanged:
            self.candidate = version.config
        return version

    def end_session(self, now: int, session: int) -> Version | None:
        """Release a session's locks, discard its candidate if it held that lock, and revert its unconfirmed commit.

        Returns the version that a revert made; None if running is unchanged.
        """
        if self.locks.get(Store.CANDIDATE) == session:
            self.candidate = self.running.config
        self.locks = {store: owner for store, owner in self.locks.items() if owner != session}
        if self.pending is not None and self.pending.session == session and not self.pending.persist:
            return self._revert(now, "its session ended unconfirmed")
        return None

    # Internal.

    @staticmethod
    def _may_confirm(open_commit: PendingCommit, session: int, persist_id: str) -> bool:
        return (
            persist_id == open_commit.persist
            if open_commit.persist
            else open_commit.session == session and not persist_id
        )

    def _revert(self, now: int, reason: str) -> Version:
        assert self.pending is not None
        reverted, self.pending = self.pending.previous_version, None
        candidate_unchanged = self.candidate == self.running.config
        version = self._append_version(now, NO_SESSION, reason, reverted.config)
        if candidate_unchanged:
            self.candidate = reverted.config
        return version

    def _validate(self, config: Config) -> None:
        for error in self.validate(config):
            raise error

    def _append_version(self, now: int, session: int, reason: str, config: Config) -> Version:
        version = Version(self.running.number + 1, now, session, reason, config)
        self.history.append(version)
        return version


def _is_at_or_below(path: Path, ancestor: Path) -> bool:
    return path == ancestor or path.startswith(ancestor + "/")


def apply_edits(config: Config, edits: Iterable[Edit]) -> Config:
    """A new configuration with the edits applied in order.  Raises ConfigRejected at the first that fails.

    Cost: O(log n) per edit; a delete is O(n) in the number of paths.
    """
    updated = config
    for edit in edits:
        match edit.op:
            case Op.CREATE if edit.path in updated:
                raise ConfigRejected(Tag.DATA_EXISTS, edit.path, "it is there already; allowed: merge")
            case Op.MERGE | Op.CREATE:
                updated = updated.set(edit.path, edit.value)
            case Op.DELETE | Op.REMOVE:
                removed = [path for path in updated if _is_at_or_below(path, edit.path)]
                if not removed and edit.op is Op.DELETE:
                    raise ConfigRejected(Tag.DATA_MISSING, edit.path, "it is not there; allowed: remove")
                for path in removed:
                    updated = updated.delete(path)
    return updated


def diff_configs(old: Mapping[Path, Any], new: Mapping[Path, Any]) -> list[Edit]:
    """The edits that turn one configuration into another: removals, then paths that are new, changed or below a removed
    path."""
    removed = sorted(path for path in old if path not in new)
    recreated = {path for path in new if any(_is_at_or_below(path, ancestor) for ancestor in removed)}
    edits = [Edit(Op.REMOVE, path) for path in removed]
    written = sorted(path for path in new if path in recreated or path not in old or old[path] != new[path])
    return edits + [Edit(Op.MERGE, path, new[path]) for path in written]
