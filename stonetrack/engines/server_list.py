"""Server lists without I/O: documents in, ``ServerList`` events and addresses out.

A document is ``{"version": 7, "kind": "full", "engines": [{"name", "address", "kind", "cell", "zone", "state",
"weight", "started", "failing"}]}``; ``kind`` is ``full`` (an engine that is absent is gone) or ``changes`` (to the
version given as ``after``).  ``origin`` names the history that the version counts in.  ``started`` and ``failing`` are
Unix times in seconds, 0 for long ago and for no.  Cells and zones are numbers or names.  A document with anything wrong
in it is refused whole, and the list before stays in force.

Exception (replaced): an engine that shows up under another address with the same start is another machine; it counts
as just started.  Guards against prefix credit and full load at an empty machine; acts when only the address changes;
could harm where an address changes without a restart (the engine then counts as cold once).
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import msgspec

from stonetrack import api
from stonetrack.engines.start_times import StartTimes
from stonetrack.settings.schema import Kind

SECOND = 1_000_000_000
_ORIGIN = re.compile(r"[A-Za-z0-9._-]{0,100}")


class ListError(ValueError):
    """A list that can't be used; the text names what, where and what is allowed."""


def split_address(text: str) -> tuple[str, int] | None:
    """Host and port of ``host:port``, None where it is not of this form."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdecimal()) or not 0 < int(port) < 65_536:
        return None
    return host.strip("[]"), int(port)


class EngineEntry(msgspec.Struct, frozen=True):
    """One engine as a document gives it."""

    name: str
    address: str
    kind: str
    cell: int | str = 0
    zone: int | str = 0
    state: api.ServerState = api.ServerState.UP
    weight: float = 1.0
    started: float = 0.0
    failing: float = 0.0  # since when the steward can't reach it, Unix time in seconds; 0: it can, or nobody checks


class ListDocument(msgspec.Struct, frozen=True):
    """One list, or changes to it."""

    engines: tuple[EngineEntry, ...]
    version: int = 0
    kind: str = "full"
    origin: str = ""
    after: int = -1  # changes: the version that they were made to; -1 where the service does not say
    confirmed: float = 0.0  # saved: when the service last said that it holds, Unix time in seconds


def parse_document(data: bytes) -> ListDocument:
    """A document's types checked, its engines not yet.  Raises ListError."""
    try:
        document = msgspec.json.decode(data, type=ListDocument)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ListError(f"server list: {error}") from None
    if document.kind not in ("full", "changes"):
        raise ListError(f"server list: kind {document.kind!r}; allowed: full, changes")
    if not _ORIGIN.fullmatch(document.origin):
        raise ListError(f"server list: origin {document.origin[:120]!r}; allowed: up to 100 of A-Z a-z 0-9 . _ -")
    return document


@dataclass(frozen=True, slots=True)
class Engine:
    """An engine as the node reaches it."""

    name: str
    host: str
    port: int
    kind: Kind


class ServerListState:
    """The list as last taken."""

    def __init__(self, kinds: tuple[Kind, ...]) -> None:
        self.kinds = kinds
        self.notified = False  # whether the router was told of it
        self._kinds = {kind.name: (n, kind) for n, kind in enumerate(kinds)}
        self._numbers: dict[str, int] = {}  # of cells and zones given by name
        self.entries: dict[str, EngineEntry] = {}
        self.engines: dict[str, Engine] = {}
        self.started: dict[str, int] = {}  # on the node's clock, by name
        self._starts = StartTimes()
        self.version = -1
        self.origin = ""

    def apply_json(self, data: bytes, now: int, saved: bool = False) -> api.ServerList:
        """The event of a document; ``now`` in nanoseconds of Unix time.  Raises ListError, changing nothing."""
        return self.apply(parse_document(data), now, saved)

    def apply(self, document: ListDocument, now: int, saved: bool = False) -> api.ServerList:
        """The event of a document that :func:`parse_document` gave.  Raises ListError, changing nothing."""
        lines: dict[str, EngineEntry] = {}
        engines: dict[str, Engine] = {}
        for n, line in enumerate(document.engines):
            if line.name in lines:
                raise ListError(f"server list: engines[{n}]: {line.name!r} stands twice")
            engines[line.name] = self._engine(n, line)
            before = self.entries.get(line.name)
            if before is not None and before.address != line.address and before.started == line.started:
                line = msgspec.structs.replace(line, started=now / SECOND)
            lines[line.name] = line
        if document.kind == "full":
            self.entries, self.engines = lines, engines
        else:
            self.entries, self.engines = self.entries | lines, self.engines | engines
        kind = api.ListKind.SAVED if saved else api.ListKind[document.kind.upper()]
        heard = self.version >= 0 and not saved
        for line in lines.values():
            self.started[line.name] = self._starts.on_node_clock(line.name, int(line.started * SECOND), now, heard)
        event = api.ServerList(kind, document.version, tuple(self._entry(line) for line in lines.values()))
        for name in [n for n, line in self.entries.items() if line.state is api.ServerState.REMOVED]:
            del self.entries[name], self.engines[name]
        self.started = {name: at for name, at in self.started.items() if name in self.entries}
        self.version, self.origin = document.version, document.origin
        return event

    def router_entries(self) -> dict[str, api.ServerEntry]:
        """All engines as the router is told of them, by name."""
        return {name: self._entry(line) for name, line in self.entries.items()}

    def adopt(self, other: ServerListState, acted: bool) -> None:
        """Take over what another listing of the same kinds holds."""
        self.entries, self.engines, self.notified = other.entries, other.engines, acted
        self.version, self.origin, self._numbers = other.version, other.origin, other._numbers
        self.started, self._starts = other.started, other._starts

    def to_json(self, confirmed: float = 0.0) -> bytes:
        """The whole list as a document, for a restart; when the service last said that it holds."""
        return msgspec.json.encode(
            ListDocument(tuple(self.entries.values()), max(self.version, 0), origin=self.origin, confirmed=confirmed)
        )

    def _number(self, value: int | str) -> int:
        return value if isinstance(value, int) else self._numbers.setdefault(value, 1_000_000 + len(self._numbers))

    def _entry(self, line: EngineEntry) -> api.ServerEntry:
        return api.ServerEntry(
            line.name,
            self._number(line.zone),
            self._kinds[line.kind][0],
            self._number(line.cell),
            line.state,
            line.weight,
            self.started[line.name],
        )

    def _engine(self, n: int, line: EngineEntry) -> Engine:
        at = f"server list: engines[{n}] ({line.name!r})"
        if not line.name or len(line.name) > 200 or not line.name.isprintable():
            raise ListError(f"{at}: name: 1 to 200 printable characters are allowed")
        address = split_address(line.address)
        if address is None:
            raise ListError(f"{at}: address {line.address!r}; allowed: host:port")
        if line.kind not in self._kinds:
            raise ListError(f"{at}: kind {line.kind!r}; allowed: {', '.join(self._kinds)}")
        if not 0.0 < line.weight < 1e6 or not 0.0 <= line.started < 1e11:
            raise ListError(
                f"{at}: weight {line.weight}, started {line.started}; allowed: over 0, seconds of Unix time"
            )
        return Engine(line.name, *address, self._kinds[line.kind][1])
