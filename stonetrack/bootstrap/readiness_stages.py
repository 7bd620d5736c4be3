"""Readiness stages of a node, from its start without a list until it serves: what each allows, and its transitions.

::

    NO_LIST ──saved list──> SAVED_LIST ──document──> FRESH_LIST ──connected to each role──> READY
       │                       │                        ^  │ (or no connections are required)
       └───────document────────┼────────────────────────┘  └──timeout──> READY if connected to any engine, else stays
                               └──allowed by the settings──> READY with a saved list (``on_saved_list``)
    READY ──no engine of a role left──> FRESH_LIST ──one again──> ...

- *NO_LIST*: no engine is known.  Readiness is 503, so that load balancers skip the node.
- *SAVED_LIST*: there is a list from before the restart.  It may be old: engines may have left, and their addresses may
  be in use by others.  The node serves with it only if the settings allow that and the service confirmed the list
  within ``max_saved_age``; an older one is only the base for changes, and no request is sent to its engines.
- *FRESH_LIST*: the list is current, but it is unknown whether this process can reach its engines.  The node opens a few
  connections, to engines chosen with its own seed so that a fleet spreads over all engines, and keeps them for the
  first requests.
- *READY*: one engine of each required role was reached; readiness is 200.  The node stays ready while the discovery
  service is unavailable, with the list in force.  It is no longer ready when no engine of a role is left, because every
  request would fail.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000_000


class Stage(Enum):
    """How far a process has come."""

    NO_LIST = "no list"
    SAVED_LIST = "saved list"
    FRESH_LIST = "list fresh"
    READY = "ready"


@dataclass(frozen=True, slots=True)
class ReadinessSettings:
    """Limits from the settings; times in nanoseconds.

    ``max_saved_age`` is how long after its last confirmation a saved list may be used (0: never),
    ``connections_per_role`` the number of engines of each role to connect to before the node is ready (0: none),
    ``max_connect_time`` the timeout for these connections.
    """

    max_saved_age: int = 600 * SECOND
    connections_per_role: int = 2
    max_connect_time: int = 3 * SECOND


@dataclass(frozen=True, slots=True)
class Permissions:
    """What a stage allows the node to do."""

    serve: bool  # report readiness
    send: bool  # send requests, with their probes and reservations
    connect: bool  # open connections in advance


_PERMISSIONS = {
    Stage.NO_LIST: Permissions(False, False, False),
    Stage.SAVED_LIST: Permissions(False, False, False),
    Stage.FRESH_LIST: Permissions(False, True, True),  # a client that connects despite 503 is served
    Stage.READY: Permissions(True, True, False),
}


class StageMachine:
    """The stage of one process.

    Of each set in ``roles`` one engine is required (prefill or mixed, decode or mixed).  Engines are given as roles by
    name, times in nanoseconds.
    """

    def __init__(self, settings: ReadinessSettings, roles: tuple[frozenset[str], ...]) -> None:
        self._settings, self._roles = settings, roles
        self.stage = Stage.NO_LIST
        self.on_saved_list = False  # READY with a saved list
        self._connected: set[str] = set()
        self.engines: dict[str, str] = {}
        self._fresh_since = 0

    def permissions(self) -> Permissions:
        """Return what the current stage allows."""
        return _PERMISSIONS[self.stage]

    def not_ready_reason(self) -> str:
        """Return why the node is not ready; empty if it is."""
        if self.stage is Stage.READY:
            return ""
        if self.stage is Stage.NO_LIST:
            return "no server list yet"
        if self.stage is Stage.SAVED_LIST:
            return "the saved list is too old, waiting for the list service"
        missing = self._missing_roles(self.engines)
        if missing:
            return f"no {missing} in the server list"
        return "no engine reached yet"

    # Events.

    def restore_saved(self, engines: dict[str, str], age: int, now: int) -> bool:
        """A saved list was found, last confirmed ``age`` ago; return whether it may be used."""
        usable = 0 <= age <= self._settings.max_saved_age and not self._missing_roles(engines)
        self.stage = Stage.READY if usable else Stage.SAVED_LIST
        self.on_saved_list, self.engines = usable, engines if usable else {}
        return usable

    def confirm_list(self, engines: dict[str, str], now: int) -> None:
        """The discovery service has sent or confirmed the list in force."""
        self.on_saved_list, self.engines = False, engines
        self._connected &= engines.keys()
        if self.stage is Stage.READY and not self._missing_roles(engines):
            return
        self._fresh_since = now
        self.stage = Stage.FRESH_LIST
        self._update_ready(now)

    def connected(self, engine: str, now: int) -> None:
        """A connection to an engine was established."""
        if engine in self.engines:
            self._connected.add(engine)
            self._update_ready(now)

    def tick(self, now: int) -> None:
        """Check the timeout."""
        self._update_ready(now)

    def connection_targets(self, weights: Iterable[tuple[float, str]]) -> list[str]:
        """Return engines to connect to in advance: of each role those with the lowest weights; none if not allowed."""
        if not self.permissions().connect:
            return []
        chosen: list[str] = []
        order = [name for _, name in sorted(weights)]
        for roles in self._roles:
            chosen += [n for n in order if self.engines.get(n) in roles and n not in chosen][
                : self._settings.connections_per_role
            ]
        return chosen

    def _missing_roles(self, engines: Iterable[str] | dict[str, str]) -> str:
        present = {self.engines.get(e) for e in engines} if not isinstance(engines, dict) else set(engines.values())
        for roles in self._roles:
            if not roles & present:
                return " or ".join(sorted(roles))
        return ""

    def _update_ready(self, now: int) -> None:
        if self.stage is not Stage.FRESH_LIST or self._missing_roles(self.engines):
            return
        timed_out = now - self._fresh_since >= self._settings.max_connect_time
        if (
            not self._settings.connections_per_role
            or not self._missing_roles(self._connected)
            or (timed_out and self._connected)
        ):
            self.stage = Stage.READY
