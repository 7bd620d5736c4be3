"""Server lists without I/O: parses documents into ``ServerList`` events and engine addresses.

A document is ``{"version": 7, "kind": "full", "engines": [{"name", "address", "kind", "cell", "zone", "state",
"weight", "started", "failing"}]}``.  ``kind`` is ``full`` (engines that are absent are removed) or
``changes`` (relative to the version given as ``after``).  ``origin`` names the history that the version belongs to.
``started`` and ``failing`` are Unix times in seconds; 0 means long ago and not failing.  Cells and zones are numbers or
names.  A document with any error is rejected as a whole, and the previous list stays in force.

Exception (replaced engine): an engine with another address and the same start time is another machine, and counts as
just started.  This avoids prefix credit and full load for a machine with an empty cache.  It applies if only the
address changes.  If an address changes without a restart, the engine goes through one unnecessary slow start.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import msgspec

from stonetrack import api
from stonetrack.engines.start_times import StartTimes
from stonetrack.settings.schema import Kind
from stonetrack.wire import json_limits

SECOND = 1_000_000_000
_ORIGIN_PATTERN = re.compile(r"[A-Za-z0-9._-]{0,100}")


class ListError(ValueError):
    """An invalid server list; the text names the error, its place and what is allowed."""


def split_address(text: str) -> tuple[str, int] | None:
    """Host and port of ``host:port``, None for any other form."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdecimal()) or not 0 < int(port) < 65_536:
        return None
    return host.strip("[]"), int(port)


class EngineEntry(msgspec.Struct, frozen=True):
    """One engine in a document."""

    name: str
    address: str
    kind: str
    cell: int | str = 0
    zone: int | str = 0
    state: api.ServerState = api.ServerState.UP
    weight: float = 1.0
    started: float = 0.0
    failing: float = 0.0  # Unix time in s since when the controller can't reach it; 0: it can, or does not check


class ListDocument(msgspec.Struct, frozen=True):
    """A server list, or changes to one."""

    engines: tuple[EngineEntry, ...]
    version: int = 0
    kind: str = "full"
    origin: str = ""
    after: int = -1  # changes: the version that they apply to; -1 if the service gives none
    confirmed: float = 0.0  # saved list: when the service last confirmed it, Unix time in seconds


def parse_document(data: bytes) -> ListDocument:
    """Decode a document and check its types; its engines are checked later.  Raises ListError."""
    try:
        document = json_limits.decode_as(data, ListDocument)
    except msgspec.DecodeError as error:
        raise ListError(f"server list: {error}") from None
    if document.kind not in ("full", "changes"):
        raise ListError(f"server list: kind {document.kind!r}; allowed: full, changes")
    if not _ORIGIN_PATTERN.fullmatch(document.origin):
        raise ListError(f"server list: origin {document.origin[:120]!r}; allowed: up to 100 of A-Z a-z 0-9 . _ -")
    return document


@dataclass(frozen=True, slots=True)
class Engine:
    """Address and kind of an engine."""

    name: str
    host: str
    port: int
    kind: Kind


class ServerListState:
    """The server list as of the last document."""

    def __init__(self, kinds: tuple[Kind, ...]) -> None:
        self.kinds = kinds
        self.notified = False  # whether the router was notified of it
        self._kinds = {kind.name: (index, kind) for index, kind in enumerate(kinds)}
        self._numbers: dict[str, int] = {}  # of cells and zones that are given by name
        self.entries: dict[str, EngineEntry] = {}
        self.engines: dict[str, Engine] = {}
        self.started: dict[str, int] = {}  # on the node's clock, by name
        self._start_times = StartTimes()
        self.version = -1
        self.origin = ""

    def apply_json(self, data: bytes, now: int, saved: bool = False) -> api.ServerList:
        """Apply a document; return its event.  ``now`` is Unix time in ns.  Raises ListError, changing nothing."""
        return self.apply(parse_document(data), now, saved)

    def apply(self, document: ListDocument, now: int, saved: bool = False) -> api.ServerList:
        """Apply a document from :func:`parse_document`; return its event.  Raises ListError, changing nothing."""
        entries: dict[str, EngineEntry] = {}
        engines: dict[str, Engine] = {}
        for index, entry in enumerate(document.engines):
            if entry.name in entries:
                raise ListError(f"server list: engines[{index}]: {entry.name!r} is listed twice")
            engines[entry.name] = self._engine(index, entry)
            previous = self.entries.get(entry.name)
            if previous is not None and previous.address != entry.address and previous.started == entry.started:
                entry = msgspec.structs.replace(entry, started=now / SECOND)
            entries[entry.name] = entry
        if document.kind == "full":
            self.entries, self.engines = entries, engines
        else:
            self.entries, self.engines = self.entries | entries, self.engines | engines
        kind = api.ListKind.SAVED if saved else api.ListKind[document.kind.upper()]
        after_another_list = self.version >= 0 and not saved
        for entry in entries.values():
            self.started[entry.name] = self._start_times.on_node_clock(
                entry.name, int(entry.started * SECOND), now, after_another_list
            )
        event = api.ServerList(kind, document.version, tuple(self._router_entry(entry) for entry in entries.values()))
        for name in [key for key, entry in self.entries.items() if entry.state is api.ServerState.REMOVED]:
            del self.entries[name], self.engines[name]
        self.started = {name: started for name, started in self.started.items() if name in self.entries}
        self.version, self.origin = document.version, document.origin
        return event

    def router_entries(self) -> dict[str, api.ServerEntry]:
        """The router's entries for all engines, by name."""
        return {name: self._router_entry(entry) for name, entry in self.entries.items()}

    def adopt(self, other: ServerListState, notified: bool) -> None:
        """Take over the content of another list with the same kinds."""
        self.entries, self.engines, self.notified = other.entries, other.engines, notified
        self.version, self.origin, self._numbers = other.version, other.origin, other._numbers
        self.started, self._start_times = other.started, other._start_times

    def to_json(self, confirmed: float = 0.0) -> bytes:
        """The whole list as a document, saved for a restart; ``confirmed``: when the service last confirmed it."""
        return msgspec.json.encode(
            ListDocument(tuple(self.entries.values()), max(self.version, 0), origin=self.origin, confirmed=confirmed)
        )

    def _number_of(self, value: int | str) -> int:
        return value if isinstance(value, int) else self._numbers.setdefault(value, 1_000_000 + len(self._numbers))

    def _router_entry(self, entry: EngineEntry) -> api.ServerEntry:
        return api.ServerEntry(
            entry.name,
            self._number_of(entry.zone),
            self._kinds[entry.kind][0],
            self._number_of(entry.cell),
            entry.state,
            entry.weight,
            self.started[entry.name],
        )

    def _engine(self, index: int, entry: EngineEntry) -> Engine:
        where = f"server list: engines[{index}] ({entry.name!r})"
        if not entry.name or len(entry.name) > 200 or not entry.name.isprintable():
            raise ListError(f"{where}: name: 1 to 200 printable characters are allowed")
        address = split_address(entry.address)
        if address is None:
            raise ListError(f"{where}: address {entry.address!r}; allowed: host:port")
        if entry.kind not in self._kinds:
            raise ListError(f"{where}: kind {entry.kind!r}; allowed: {', '.join(self._kinds)}")
        if not 0.0 < entry.weight < 1e6 or not 0.0 <= entry.started < 1e11:
            raise ListError(
                f"{where}: weight {entry.weight}, started {entry.started}; allowed: over 0, seconds of Unix time"
            )
        return Engine(entry.name, *address, self._kinds[entry.kind][1])
