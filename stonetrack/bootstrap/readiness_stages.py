"""From a process that knows nothing to a node that serves: what each stage may do, and why it is left.

::

    NOTHING ──saved list──> SAVED ──document──> FRESH ──an engine of each role reached──> READY
       │                      │                  ^  │ (or nothing asked of engines)
       └──────document────────┼──────────────────┘  └──patience over──> READY where one was reached, else stays
                              └──the settings allow──> READY on a saved list (``on_saved_list``)
    READY ──no engine of a role left──> FRESH ──one again──> ...

- *NOTHING*: no engine is known.  Clients get 503 on readiness, so that whoever spreads them over nodes passes by.
- *SAVED*: a list from before the restart is in force.  It may be old: engines may have gone and their addresses may
  belong to others.  It is served on only where the settings allow, and only if the service had confirmed it within
  ``max_saved_age``; an older one is kept as what changes are asked on, and nothing is sent by it.
- *FRESH*: the service has said what runs; whether this process reaches any of it is not known.  A few connections are
  tried, picked by the node's own seed so that a fleet spreads over all engines, and kept for the first requests.
- *READY*: engines are known well enough, one of each role that a request needs was reached; told to clients.  It is not
  taken back because the list service is away: the list held serves on.  It is taken back when no engine of a role is
  left, since every request would fail.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000_000


class Stage(Enum):
    """Where a process stands."""

    NO_LIST = "no list"
    SAVED_LIST = "saved list"
    FRESH_LIST = "list fresh"
    READY = "ready"


@dataclass(frozen=True, slots=True)
class ReadinessSettings:
    """What the settings allow; times in nanoseconds.

    ``max_saved_age`` is how long after its last confirmation a saved list may be served on (0: never),
    ``connections_per_role`` how many
    engines of each role are tried before the node says that it is ready (0: none), ``max_connect_time`` how long.
    """

    max_saved_age: int = 600 * SECOND
    connections_per_role: int = 2
    max_connect_time: int = 3 * SECOND


@dataclass(frozen=True, slots=True)
class Permissions:
    """What a stage allows."""

    serve: bool  # readiness
    send: bool  # requests, with the probes and places that belong to them
    connect: bool  # connections opened ahead


_MAY = {
    Stage.NO_LIST: Permissions(False, False, False),
    Stage.SAVED_LIST: Permissions(False, False, False),
    Stage.FRESH_LIST: Permissions(False, True, True),  # a client that comes all the same is served
    Stage.READY: Permissions(True, True, False),
}


class StageMachine:
    """One process's stage.  ``roles`` are sets of roles of which one must be there each (reader and mixed, writer and
    mixed); engines are given by name and role."""

    def __init__(self, rules: ReadinessSettings, roles: tuple[frozenset[str], ...]) -> None:
        self._rules, self._roles = rules, roles
        self.stage = Stage.NO_LIST
        self.on_saved_list = False  # READY by a saved list
        self._reached: set[str] = set()
        self.engines: dict[str, str] = {}
        self._fresh_at = 0

    def permissions(self) -> Permissions:
        """What may be done now."""
        return _MAY[self.stage]

    def not_ready_reason(self) -> str:
        """Why the node is not ready, in a few words; empty where it is."""
        if self.stage is Stage.READY:
            return ""
        if self.stage is Stage.NO_LIST:
            return "no server list yet"
        if self.stage is Stage.SAVED_LIST:
            return "the saved list is too old, waiting for the list service"
        missing = self._missing(self.engines)
        if missing:
            return f"no {missing} in the server list"
        return "no engine reached yet"

    # Events.

    def restore_saved(self, engines: dict[str, str], age: int, now: int) -> bool:
        """A saved list was found, confirmed ``age`` ago; whether it may be acted on."""
        usable = 0 <= age <= self._rules.max_saved_age and not self._missing(engines)
        self.stage = Stage.READY if usable else Stage.SAVED_LIST
        self.on_saved_list, self.engines = usable, engines if usable else {}
        return usable

    def confirm_list(self, engines: dict[str, str], now: int) -> None:
        """A document of the service is in force (or says that what is in force still holds)."""
        self.on_saved_list, self.engines = False, engines
        self._reached &= engines.keys()
        if self.stage is Stage.READY and not self._missing(engines):
            return
        self._fresh_at = now
        self.stage = Stage.FRESH_LIST
        self._try(now)

    def connected(self, engine: str, now: int) -> None:
        """A connection to an engine came about."""
        if engine in self.engines:
            self._reached.add(engine)
            self._try(now)

    def tick(self, now: int) -> None:
        """Time has passed."""
        self._try(now)

    def connection_targets(self, weights: Iterable[tuple[float, str]]) -> list[str]:
        """Engines to connect to ahead, of each role the first few by the node's own numbers; none where not allowed."""
        if not self.permissions().connect:
            return []
        picked: list[str] = []
        order = [name for _, name in sorted(weights)]
        for roles in self._roles:
            picked += [n for n in order if self.engines.get(n) in roles and n not in picked][
                : self._rules.connections_per_role
            ]
        return picked

    def _missing(self, engines: Iterable[str] | dict[str, str]) -> str:
        held = {self.engines.get(e) for e in engines} if not isinstance(engines, dict) else set(engines.values())
        for roles in self._roles:
            if not roles & held:
                return " or ".join(sorted(roles))
        return ""

    def _try(self, now: int) -> None:
        if self.stage is not Stage.FRESH_LIST or self._missing(self.engines):
            return
        over = now - self._fresh_at >= self._rules.max_connect_time
        if not self._rules.connections_per_role or not self._missing(self._reached) or (over and self._reached):
            self.stage = Stage.READY
