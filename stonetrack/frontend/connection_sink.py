"""What every answer does with its client's connection: the part of ``ports.Sink`` that knows no API."""

from __future__ import annotations

from stonetrack.frontend.connection import Connection


class ConnectionSink:
    """Writes on one client's connection without blocking."""

    __slots__ = ("connection",)

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def fileno(self) -> int:
        """The client's descriptor."""
        return self.connection.fileno()

    @property
    def pending(self) -> int:
        """Bytes not yet taken by the socket."""
        return len(self.connection.pending)

    def flush(self) -> int:
        """Write what the socket takes."""
        return self.connection.flush()

    def cork(self, on: bool) -> None:
        """Keep what is written until uncorked."""
        self.connection.corked = on
