"""The engines as listed by the discovery service: turns documents into ``ServerList`` events and addresses.  No I/O.

A document is ``{"rev", "all", "targets": [...]}``, a full list or changes.  It is applied as a whole or, if it can't be
parsed, not at all.  A single target that can't be used (an unknown model, no address) is skipped and reported, so that
the changes of all others still apply.  Changes older than the held revision are ignored.  A full list at the beginning
of a watch is applied whatever its revision: its sender does not know ours.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from stonetrack import api
from stonetrack.edge.documents import DocumentError
from stonetrack.engines.server_list import split_address
from stonetrack.engines.start_times import StartTimes
from stonetrack.wire import json_limits

MS = 1_000_000
_STATES = {
    "SERVING": api.ServerState.UP,
    "DRAINING": api.ServerState.DRAINING,
    "DELETED": api.ServerState.REMOVED,
}


class ServerListError(DocumentError):
    """A document that can't be parsed; the text says why."""


class Target(msgspec.Struct, frozen=True):
    """One engine in discovery's form; ``boot_ms`` is Unix time, 0 for long ago."""

    uid: str
    endpoint: str = ""
    az: str = ""
    model: str = ""
    pod_group: int = 0
    state: str = "SERVING"
    capacity_hint: float = 1.0
    boot_ms: float = 0.0


class Document(msgspec.Struct, frozen=True):
    """A full list (``all``), or changes to the list."""

    rev: int
    targets: list[Target]
    all: bool = False


@dataclass(frozen=True, slots=True)
class Engine:
    """An engine's address and role as this node uses them."""

    name: str
    host: str
    port: int
    role: api.Role
    up: bool


class EngineTable:
    """The engines of the latest list."""

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...], roles: tuple[api.Role, ...]) -> None:
        self._kinds = {name: n for n, name in enumerate(kinds)}
        self._zones = {name: n for n, name in enumerate(zones)}
        self._roles = roles
        self.engines: dict[str, Engine] = {}
        self.rev = -1
        self._starts = StartTimes()
        self._has_live_list = False  # whether any list other than the configuration's was applied
        self.skipped: list[str] = []  # unusable targets of the last document, with the reason

    def apply(
        self, data: bytes, now: int, from_config: bool = False, first_of_watch: bool = False
    ) -> api.ServerList | None:
        """Apply a document; returns its event, None if the document is older than the held list.

        ``now`` is the node's clock in nanoseconds.  ``from_config`` marks the list given in the configuration,
        ``first_of_watch`` the first document of a watch.  Raises ServerListError.
        """
        try:
            document = json_limits.decode_as(data, Document)
        except msgspec.DecodeError as error:
            raise ServerListError(f"{error}: {data[:80]!r}") from None
        if document.rev < self.rev and not (document.all and first_of_watch):
            return None
        self.skipped = []
        entries = [entry for target in document.targets if (entry := self._entry(target, now)) is not None]
        if document.all:
            listed = {entry.server for entry in entries}
            self.engines = {name: engine for name, engine in self.engines.items() if name in listed}
        for entry in entries:
            if entry.state is api.ServerState.REMOVED:
                self.engines.pop(entry.server, None)
        self.rev = document.rev
        self._has_live_list = self._has_live_list or not from_config
        kind = api.ListKind.SAVED if from_config else api.ListKind.FULL if document.all else api.ListKind.CHANGES
        return api.ServerList(kind, document.rev, tuple(entries))

    def _entry(self, target: Target, now: int) -> api.ServerEntry | None:
        state = _STATES.get(target.state)
        if state is None:
            self._skip(target, f"state {target.state[:40]!r}")
            return None
        if state is api.ServerState.REMOVED:
            return api.ServerEntry(target.uid, 0, 0, target.pod_group, state)
        kind = self._kinds.get(target.model)
        if kind is None or kind >= len(self._roles):
            self._skip(target, f"model {target.model[:40]!r}")
            return None
        address = split_address(target.endpoint)
        if address is None:
            self._skip(target, f"endpoint: found {target.endpoint[:100]!r}; allowed: host:port")
            return None
        self.engines[target.uid] = Engine(target.uid, *address, self._roles[kind], state is api.ServerState.UP)
        weight = target.capacity_hint if 0.0 < target.capacity_hint < 1e6 else 1.0
        zone = self._zones.setdefault(target.az, len(self._zones))
        started = self._starts.on_node_clock(target.uid, int(target.boot_ms * MS), now, self._has_live_list)
        return api.ServerEntry(target.uid, zone, kind, target.pod_group, state, weight, started)

    def _skip(self, target: Target, why: str) -> None:
        self.skipped.append(f"{target.uid[:60]}: {why}")
